//! Chooses which keys change owner so that no upstream carries much more than its share.
//!
//! Answers two loads: a run of adjacent keys that turns hot within a second, and an upstream that
//! joins empty.

use std::collections::{BTreeMap, BTreeSet};

use super::model::{parts_outside, Incarnation, Key, KeyTable};
use super::speeds::Speeds;

/// A donor must carry this much more than the mean before keys are taken from it.
const OVERLOAD: f64 = 1.35;
/// An owner with less than this share of the mean is given keys.
const UNDERLOAD: f64 = 0.5;
/// What a move must carry, as a share of the mean, to be worth an owner change.
const WORTHWHILE: f64 = 0.1;
/// A move may carry this much more than is asked for.
const OVERSHOOT: f64 = 1.15;
/// A move may carry this much less than is asked for.
const UNDERSHOOT: f64 = 0.6;
/// A load that lies less than this many standard deviations from the mean may do so by chance: with
/// some hundred owners, three are passed by one of them in most rounds.
const CHANCE_DEVIATIONS: f64 = 4.0;
/// The same for what was counted within a second: owners' true loads differ too.
const RECENT_DEVIATIONS: f64 = 6.0;
/// An owner with too little is given up to this share of a donor's load at once: many small moves would
/// leave many small ranges.
const GIVEN_SHARE: f64 = 0.5;
/// The share of all load that counts as spread evenly over the keys, so that empty upstreams are
/// given keys also where nothing is known of the load.
const EVEN_SHARE: f64 = 0.2;
/// The load that is assumed when none was reported, in requests a second.
const EVEN_FLOOR: f64 = 10.0;
/// Half of a key's counted requests are forgotten after this long, in milliseconds: a run of hot keys is
/// found within it.
const RECENT_HALF_LIFE_MS: f64 = 1_000.0;
/// The same for the longer measure, which tells differences from chance where requests are few.
const LASTING_HALF_LIFE_MS: f64 = 8_000.0;
/// A key of which less than this many requests are left in a count is no longer counted on its own.
const COLD_COUNT: f64 = 0.02;

/// Requests a second by key, measured over one time.
#[derive(Clone, Debug)]
struct Decaying {
    half_life_ms: f64,
    counts: BTreeMap<Key, f64>,
}

impl Decaying {
    fn new(half_life_ms: f64) -> Decaying {
        Decaying {
            half_life_ms,
            counts: BTreeMap::new(),
        }
    }

    fn decay(&mut self, elapsed_ms: u64) {
        let keep = 0.5_f64.powf(elapsed_ms as f64 / self.half_life_ms);
        self.counts.retain(|_, count| {
            *count *= keep;
            *count >= COLD_COUNT
        });
    }

    fn between(&self, from: Key, to: Key) -> impl Iterator<Item = (Key, f64)> + '_ {
        let per_s = std::f64::consts::LN_2 / (self.half_life_ms / 1_000.0);
        let counts = self.counts.range(from..=to);
        counts.map(move |(key, count)| (*key, count * per_s))
    }

    fn total(&self, from: Key, to: Key) -> f64 {
        self.between(from, to).map(|(_, rate)| rate).sum()
    }

    /// Returns the standard deviation of a measured rate, when requests come independently of each other:
    /// that of a Poisson count under weights that halve every half-life.
    fn deviation(&self, rate: f64) -> f64 {
        (rate * std::f64::consts::LN_2 / (2.0 * self.half_life_ms / 1_000.0)).sqrt()
    }
}

/// Requests a second, by key.
#[derive(Clone, Debug)]
pub struct KeyRates {
    recent: Decaying,
    lasting: Decaying,
}

impl Default for KeyRates {
    fn default() -> KeyRates {
        KeyRates {
            recent: Decaying::new(RECENT_HALF_LIFE_MS),
            lasting: Decaying::new(LASTING_HALF_LIFE_MS),
        }
    }
}

impl KeyRates {
    /// Adds requests that were seen.
    pub fn add(&mut self, key: Key, count: u32) {
        for measure in [&mut self.recent, &mut self.lasting] {
            *measure.counts.entry(key).or_default() += f64::from(count);
        }
    }

    /// Forgets a part of what was seen `elapsed_ms` ago.
    pub fn decay(&mut self, elapsed_ms: u64) {
        self.recent.decay(elapsed_ms);
        self.lasting.decay(elapsed_ms);
    }

    /// Returns the requests a second of `from..=to` within the last second.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::balance::KeyRates;
    ///
    /// let mut rates = KeyRates::default();
    /// rates.add(7, 10);
    /// assert!(rates.total_between(0, 9) > 6.0);
    /// rates.decay(10_000);
    /// assert_eq!(rates.total_between(0, 9), 0.0);
    /// ```
    pub fn total_between(&self, from: Key, to: Key) -> f64 {
        self.recent.total(from, to)
    }
}

/// A key that loads its owner this many times the mean goes to a faster upstream.
const HOT_KEY: f64 = 2.0;
/// What a hot key's new owner must be faster by.
const FASTER: f64 = 1.25;
/// Keys that should go to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The first key.
    pub from: Key,
    /// The last key.
    pub to: Key,
    /// The present owner.
    pub donor: Incarnation,
    /// The owner to be.
    pub receiver: Incarnation,
}

/// Keys that are changing hands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moving {
    /// The first key.
    pub from: Key,
    /// The last key.
    pub to: Key,
    /// The owner to be, when it is known.
    pub receiver: Option<Incarnation>,
}

/// Keys that were moved a moment ago.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resting {
    /// The first key.
    pub from: Key,
    /// The last key.
    pub to: Key,
    /// The owner that they were taken from.
    pub former: Incarnation,
}

/// What one planning round looks at.
#[derive(Debug)]
pub struct Plan<'a> {
    /// The owners of the service.
    pub table: &'a KeyTable,
    /// The load.
    pub rates: &'a KeyRates,
    /// How fast upstreams are.
    pub speeds: &'a Speeds,
    /// Upstreams that may own keys.
    pub owners: &'a BTreeSet<Incarnation>,
    /// Keys that are changing hands already.
    pub moving: &'a [Moving],
    /// Keys that were moved for their load a moment ago. They are passed on only by an owner whose load can't
    /// be chance, and not back to the former one.
    pub resting: &'a [Resting],
}

impl Plan<'_> {
    /// Returns at most `most` transfers.
    pub fn transfers(&self, most: usize) -> Vec<Transfer> {
        let even = even_rate(&self.rates.recent);
        let speeds = self.speeds.of(self.owners);
        let mut loads = self.loads(&self.rates.recent, &speeds);
        if loads.len() < 2 {
            return Vec::new();
        }
        let mean = mean_load(&loads, &speeds);
        let lasting = self.loads(&self.rates.lasting, &speeds);
        let scale = mean / mean_load(&lasting, &speeds);
        let deviation = |measure: &Decaying, who: &Incarnation| {
            let speed = speeds.get(who).copied().unwrap_or(1.0);
            measure.deviation(mean * speed) / speed
        };
        // What was seen within a second counts only where it can't be chance.
        let mut hot_donors: BTreeSet<Incarnation> = BTreeSet::new();
        for (who, load) in &mut loads {
            let chance = RECENT_DEVIATIONS * deviation(&self.rates.recent, who);
            if *load - mean > chance {
                hot_donors.insert(who.clone());
            } else if let Some(lasting) = lasting.get(who).filter(|_| mean - *load < chance) {
                *load = lasting * scale;
            }
        }
        let mut chosen = self.hot_keys(mean, &speeds);
        for t in &chosen {
            self.shift(&mut loads, &speeds, t, even);
        }
        while chosen.len() < most {
            let Some((receiver, low)) = extreme(&loads, |a, b| a < b, |_, _| true) else {
                break;
            };
            let chance =
                |who: &Incarnation| CHANCE_DEVIATIONS * deviation(&self.rates.lasting, who);
            let is_over =
                |who: &Incarnation, load| load > mean * OVERLOAD && load - mean > chance(who);
            let is_empty = low < even;
            let is_under = low < mean * UNDERLOAD && mean - low > chance(&receiver);
            let overloaded = extreme(&loads, |a, b| a > b, is_over);
            let needs_keys = is_empty || is_under;
            let busiest = || extreme(&loads, |a, b| a > b, |_, _| needs_keys);
            let Some((donor, high)) = overloaded.or_else(busiest) else {
                break;
            };
            let (fast, slow) = (speeds[&receiver], speeds[&donor]);
            let spare = match needs_keys {
                true => (high - mean).max(high * GIVEN_SHARE),
                false => high - mean,
            };
            let wanted = (spare * slow).min((mean - low) * fast);
            if wanted < mean * WORTHWHILE {
                break;
            }
            let gap = hot_donors.contains(&donor).then_some(high - low);
            let Some((from, to)) = self.segment((&donor, &receiver), wanted, gap, even, &chosen)
            else {
                // This donor has nothing suitable, such as a single hot key: the next one may.
                loads.remove(&donor);
                if loads.len() < 2 {
                    break;
                }
                continue;
            };
            let transfer = Transfer {
                from,
                to,
                donor,
                receiver,
            };
            self.shift(&mut loads, &speeds, &transfer, even);
            chosen.push(transfer);
        }
        chosen
    }

    /// Moves keys that are too hot for their owner to the fastest upstream that has none such.
    fn hot_keys(&self, mean: f64, speeds: &BTreeMap<Incarnation, f64>) -> Vec<Transfer> {
        let mut chosen = Vec::new();
        let all = self.rates.recent.between(0, Key::MAX);
        let hot: Vec<(Key, f64)> = all.filter(|(_, rate)| *rate > mean * HOT_KEY).collect();
        let is_moving = |key: Key| self.moving.iter().any(|m| m.from <= key && key <= m.to);
        let mut taken: BTreeSet<&Incarnation> = hot
            .iter()
            .filter_map(|(key, _)| self.table.owner_of(*key))
            .map(|r| &r.owner)
            .collect();
        for (key, _) in &hot {
            let Some(range) = self.table.owner_of(*key) else {
                continue;
            };
            let Some(own) = speeds.get(&range.owner).filter(|_| !is_moving(*key)) else {
                continue;
            };
            let free = speeds.iter().filter(|(who, _)| !taken.contains(who));
            let fastest = free.max_by(|a, b| a.1.total_cmp(b.1));
            let Some((receiver, _)) = fastest.filter(|(_, speed)| **speed > own * FASTER) else {
                continue;
            };
            taken.insert(receiver);
            chosen.push(Transfer {
                from: *key,
                to: *key,
                donor: range.owner.clone(),
                receiver: receiver.clone(),
            });
        }
        chosen
    }

    /// Counts a transfer in the loads for each speed.
    fn shift(
        &self,
        loads: &mut BTreeMap<Incarnation, f64>,
        speeds: &BTreeMap<Incarnation, f64>,
        t: &Transfer,
        even: f64,
    ) {
        let load = load(&self.rates.recent, t.from, t.to, even);
        let speed = |who: &Incarnation| speeds.get(who).copied().unwrap_or(1.0);
        if let Some(donor) = loads.get_mut(&t.donor) {
            *donor -= load / speed(&t.donor);
        }
        if let Some(receiver) = loads.get_mut(&t.receiver) {
            *receiver += load / speed(&t.receiver);
        }
    }

    /// Returns the load of each owner by one measure, for its speed.
    fn loads(
        &self,
        measure: &Decaying,
        speeds: &BTreeMap<Incarnation, f64>,
    ) -> BTreeMap<Incarnation, f64> {
        let even = even_rate(measure);
        let load_of = |from: Key, to: Key| load(measure, from, to, even);
        let mut loads: BTreeMap<Incarnation, f64> =
            self.owners.iter().map(|o| (o.clone(), 0.0)).collect();
        for range in self.table.ranges.values() {
            if let Some(load) = loads.get_mut(&range.owner) {
                *load += load_of(range.from, range.to);
            }
        }
        for m in self.moving {
            let moved = load_of(m.from, m.to);
            let donor = self.table.owner_of(m.from).map(|r| &r.owner);
            if let Some(load) = donor.and_then(|d| loads.get_mut(d)) {
                *load -= moved;
            }
            if let Some(load) = m.receiver.as_ref().and_then(|r| loads.get_mut(r)) {
                *load += moved;
            }
        }
        for (who, load) in &mut loads {
            *load /= speeds.get(who).copied().unwrap_or(1.0);
        }
        loads
    }

    /// Returns the donor's keys that aren't changing hands and may go to `receiver`.
    fn free_parts(
        &self,
        donor: &Incarnation,
        receiver: &Incarnation,
        is_hot: bool,
        chosen: &[Transfer],
    ) -> Vec<(Key, Key)> {
        let moving = self.moving.iter().map(|m| (m.from, m.to));
        let stays = |r: &&Resting| !is_hot || r.former == *receiver;
        let resting = self.resting.iter().filter(stays).map(|r| (r.from, r.to));
        let cuts: Vec<(Key, Key)> = moving
            .chain(chosen.iter().map(|t| (t.from, t.to)))
            .chain(resting)
            .collect();
        let ranges = self.table.ranges.values();
        ranges
            .filter(|r| r.owner == *donor)
            .flat_map(|r| parts_outside(r.from, r.to, cuts.clone()))
            .collect()
    }

    /// Finds adjacent keys of a donor for a receiver that carry about `wanted`: where it has hot keys, and is `hot_gap`
    /// above the receiver, as few as can be; else those at the edge of its largest range, which leave one
    /// range behind and not two.
    fn segment(
        &self,
        (donor, receiver): (&Incarnation, &Incarnation),
        wanted: f64,
        hot_gap: Option<f64>,
        even: f64,
        chosen: &[Transfer],
    ) -> Option<(Key, Key)> {
        let parts = self.free_parts(donor, receiver, hot_gap.is_some(), chosen);
        let mut best: Option<(f64, Key, Key)> = None;
        let searched = hot_gap.map_or(0, |_| parts.len());
        let gap = hot_gap.unwrap_or(0.0);
        for (first, last) in parts.iter().take(searched) {
            let hot: Vec<(Key, f64)> = self.rates.recent.between(*first, *last).collect();
            let mut start = 0;
            let mut sum = 0.0;
            for end in 0..hot.len() {
                sum += hot[end].1;
                while start < end && sum > wanted * OVERSHOOT {
                    sum -= hot[start].1;
                    start += 1;
                }
                let fits = sum >= wanted * UNDERSHOOT && sum <= wanted * OVERSHOOT;
                let alone = start == end && sum > wanted * OVERSHOOT && sum < gap * UNDERSHOOT;
                if !fits && !alone {
                    continue;
                }
                // Few keys for their load, and near to what is wanted.
                let (from, to) = (hot[start].0, hot[end].0);
                let keys = f64::from(to - from) + 1.0;
                let cost = keys / sum * (1.0 + (wanted - sum).abs() / wanted);
                if best.is_none_or(|(other, _, _)| cost < other) {
                    best = Some((cost, from, to));
                }
            }
        }
        if let Some((_, from, to)) = best {
            return Some((from, to));
        }
        let largest = parts.into_iter().max_by_key(|(from, to)| to - from)?;
        self.even_segment(largest, wanted, even)
    }

    /// Takes keys from the beginning of a part until they carry enough.
    fn even_segment(&self, part: (Key, Key), wanted: f64, even: f64) -> Option<(Key, Key)> {
        let (from, last) = part;
        let mut sum = 0.0;
        let mut hot = self.rates.recent.between(from, last).peekable();
        let mut to = from;
        loop {
            sum += even;
            if let Some((_, rate)) = hot.next_if(|(key, _)| *key == to) {
                sum += rate;
            }
            if sum >= wanted * UNDERSHOOT || to == last {
                break;
            }
            to += 1;
        }
        let fits = sum >= wanted * WORTHWHILE && sum <= wanted * OVERSHOOT;
        (fits && to < last).then_some((from, to))
    }
}

/// Returns the load that every key counts with, whether it was asked for or not, in requests a second.
fn even_rate(measure: &Decaying) -> f64 {
    (measure.total(0, Key::MAX) * EVEN_SHARE).max(EVEN_FLOOR) / 65_536.0
}

fn load(measure: &Decaying, from: Key, to: Key, even: f64) -> f64 {
    measure.total(from, to) + (f64::from(to - from) + 1.0) * even
}

/// Returns the load that each owner would carry by its speed.
fn mean_load(loads: &BTreeMap<Incarnation, f64>, speeds: &BTreeMap<Incarnation, f64>) -> f64 {
    let speed = |who: &Incarnation| speeds.get(who).copied().unwrap_or(1.0);
    let total: f64 = loads.iter().map(|(who, load)| load * speed(who)).sum();
    total / speeds.values().sum::<f64>()
}

/// Returns the owner whose load beats all others' among those that `counts` admits.
fn extreme(
    loads: &BTreeMap<Incarnation, f64>,
    beats: impl Fn(f64, f64) -> bool,
    counts: impl Fn(&Incarnation, f64) -> bool,
) -> Option<(Incarnation, f64)> {
    let mut best: Option<(&Incarnation, f64)> = None;
    for (who, load) in loads.iter().filter(|(who, load)| counts(who, **load)) {
        if best.is_none_or(|(_, other)| beats(*load, other)) {
            best = Some((who, *load));
        }
    }
    best.map(|(who, load)| (who.clone(), load))
}
