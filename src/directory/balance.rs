//! Chooses which keys change owner so that no upstream carries much more than its share.
//!
//! Answers two loads: a run of adjacent keys that turns hot within a second, and an upstream that
//! joins empty.

use std::collections::{BTreeMap, BTreeSet};

use super::model::{parts_outside, Incarnation, Key, KeyTable};

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
/// An owner without keys is given this share of its donor's load at once.
const FIRST_SHARE: f64 = 0.5;
/// The share of all load that counts as spread evenly over the keys, so that empty upstreams are
/// given keys also where nothing is known of the load.
const EVEN_SHARE: f64 = 0.2;
/// The load that is assumed when none was reported, in requests a second.
const EVEN_FLOOR: f64 = 10.0;
/// Half of a key's counted requests are forgotten after this long, in milliseconds.
const HALF_LIFE_MS: f64 = 1_000.0;
/// A key below this many requests a second is no longer counted on its own.
const COLD_RATE: f64 = 0.02;

/// Requests a second, by key.
#[derive(Clone, Debug, Default)]
pub struct KeyRates {
    counts: BTreeMap<Key, f64>,
}

impl KeyRates {
    /// Adds requests that were seen.
    pub fn add(&mut self, key: Key, count: u32) {
        *self.counts.entry(key).or_default() += f64::from(count);
    }

    /// Forgets a part of what was seen `elapsed_ms` ago.
    pub fn decay(&mut self, elapsed_ms: u64) {
        let keep = 0.5_f64.powf(elapsed_ms as f64 / HALF_LIFE_MS);
        self.counts.retain(|_, count| {
            *count *= keep;
            *count >= COLD_RATE
        });
    }

    fn rate(count: f64) -> f64 {
        count * std::f64::consts::LN_2 / (HALF_LIFE_MS / 1_000.0)
    }

    fn between(&self, from: Key, to: Key) -> impl Iterator<Item = (Key, f64)> + '_ {
        self.counts
            .range(from..=to)
            .map(|(key, count)| (*key, KeyRates::rate(*count)))
    }

    /// Returns the requests a second of `from..=to`.
    pub fn total_between(&self, from: Key, to: Key) -> f64 {
        self.between(from, to).map(|(_, rate)| rate).sum()
    }

    fn total(&self) -> f64 {
        self.counts.values().map(|c| KeyRates::rate(*c)).sum()
    }

    /// Returns how far a measured rate may lie from the true one by chance, in requests a second, when
    /// requests come independently of each other.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::balance::KeyRates;
    ///
    /// assert!(KeyRates::chance(7.0) > 0.8 * 7.0);
    /// assert!(KeyRates::chance(400.0) < 0.15 * 400.0);
    /// ```
    pub fn chance(rate: f64) -> f64 {
        // A Poisson count under weights that halve every half-life.
        let variance = rate * std::f64::consts::LN_2 / (2.0 * HALF_LIFE_MS / 1_000.0);
        CHANCE_DEVIATIONS * variance.sqrt()
    }
}

/// A key that loads its owner this many times the mean goes to a faster upstream.
const HOT_KEY: f64 = 2.0;
/// What a hot key's new owner must be faster by.
const FASTER: f64 = 1.25;
/// Answers that must be known before an upstream's speed is believed.
const ANSWERS_MIN: f64 = 6.0;
/// Half of what is known of speeds is forgotten after this long, in milliseconds.
const SPEED_HALF_LIFE_MS: f64 = 4_000.0;
/// The slowest and the fastest that an upstream is taken for, against the mean.
const SPEED_RANGE: (f64, f64) = (0.05, 2.5);

#[derive(Clone, Copy, Debug, Default)]
struct Worked {
    total_ms: f64,
    answers: f64,
}

/// How fast upstreams are, against the mean of their service.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    by_id: BTreeMap<String, Worked>,
}

impl Speeds {
    /// Adds answers that were seen.
    pub fn add(&mut self, id: &str, total_ms: u32, answers: u32) {
        let worked = self.by_id.entry(id.to_string()).or_default();
        worked.total_ms += f64::from(total_ms);
        worked.answers += f64::from(answers);
    }

    /// Forgets a part of what was seen `elapsed_ms` ago.
    pub fn decay(&mut self, elapsed_ms: u64) {
        let keep = 0.5_f64.powf(elapsed_ms as f64 / SPEED_HALF_LIFE_MS);
        self.by_id.retain(|_, worked| {
            worked.total_ms *= keep;
            worked.answers *= keep;
            worked.answers > 0.5
        });
    }

    /// Returns the speeds of `owners`; those of which little is known count as average.
    fn of(&self, owners: &BTreeSet<Incarnation>) -> BTreeMap<Incarnation, f64> {
        let known = |who: &Incarnation| {
            let worked = self.by_id.get(&who.id)?;
            (worked.answers >= ANSWERS_MIN).then(|| worked.total_ms / worked.answers)
        };
        let means: Vec<f64> = owners.iter().filter_map(known).collect();
        let mean = means.iter().sum::<f64>() / means.len().max(1) as f64;
        let speed = |who: &Incarnation| match known(who) {
            Some(own) if own > 0.0 => (mean / own).clamp(SPEED_RANGE.0, SPEED_RANGE.1),
            _ => 1.0,
        };
        owners.iter().map(|o| (o.clone(), speed(o))).collect()
    }
}

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
}

impl Plan<'_> {
    /// Returns at most `most` transfers.
    pub fn transfers(&self, most: usize) -> Vec<Transfer> {
        let even = (self.rates.total() * EVEN_SHARE).max(EVEN_FLOOR) / 65_536.0;
        let speeds = self.speeds.of(self.owners);
        let mut loads = self.loads(even);
        if loads.len() < 2 {
            return Vec::new();
        }
        let mean = loads.values().sum::<f64>() / speeds.values().sum::<f64>();
        for (who, load) in &mut loads {
            *load /= speeds.get(who).copied().unwrap_or(1.0);
        }
        let mut chosen = self.hot_keys(mean, &speeds);
        for t in &chosen {
            self.shift(&mut loads, &speeds, t, even);
        }
        while chosen.len() < most {
            let Some((receiver, low)) = extreme(&loads, |a, b| a < b, |_, _| true) else {
                break;
            };
            let chance = |who: &Incarnation| {
                let speed = speeds.get(who).copied().unwrap_or(1.0);
                KeyRates::chance(mean * speed) / speed
            };
            let is_over =
                |who: &Incarnation, load| load > mean * OVERLOAD && load - mean > chance(who);
            let is_empty = low < even;
            let is_under = low < mean * UNDERLOAD && mean - low > chance(&receiver);
            let overloaded = extreme(&loads, |a, b| a > b, is_over);
            let busiest = || extreme(&loads, |a, b| a > b, |_, _| true);
            let Some((donor, high)) = overloaded.or_else(|| match is_empty || is_under {
                true => busiest(),
                false => None,
            }) else {
                break;
            };
            let (fast, slow) = (speeds[&receiver], speeds[&donor]);
            let spare = match is_empty {
                true => (high - mean).max(high * FIRST_SHARE),
                false => (high - mean).max(mean * WORTHWHILE),
            };
            let wanted = (spare * slow).min((mean - low) * fast);
            if wanted < mean * WORTHWHILE {
                break;
            }
            let Some((from, to)) = self.segment(&donor, wanted, high - low, even, &chosen) else {
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
        let all = self.rates.between(0, Key::MAX);
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
        let load = self.load(t.from, t.to, even);
        let speed = |who: &Incarnation| speeds.get(who).copied().unwrap_or(1.0);
        if let Some(donor) = loads.get_mut(&t.donor) {
            *donor -= load / speed(&t.donor);
        }
        if let Some(receiver) = loads.get_mut(&t.receiver) {
            *receiver += load / speed(&t.receiver);
        }
    }

    fn loads(&self, even: f64) -> BTreeMap<Incarnation, f64> {
        let mut loads: BTreeMap<Incarnation, f64> =
            self.owners.iter().map(|o| (o.clone(), 0.0)).collect();
        for range in self.table.ranges.values() {
            if let Some(load) = loads.get_mut(&range.owner) {
                *load += self.load(range.from, range.to, even);
            }
        }
        for m in self.moving {
            let moved = self.load(m.from, m.to, even);
            let donor = self.table.owner_of(m.from).map(|r| &r.owner);
            if let Some(load) = donor.and_then(|d| loads.get_mut(d)) {
                *load -= moved;
            }
            if let Some(load) = m.receiver.as_ref().and_then(|r| loads.get_mut(r)) {
                *load += moved;
            }
        }
        loads
    }

    fn load(&self, from: Key, to: Key, even: f64) -> f64 {
        self.rates.total_between(from, to) + (f64::from(to - from) + 1.0) * even
    }

    /// Returns the donor's keys that aren't changing hands.
    fn free_parts(&self, donor: &Incarnation, chosen: &[Transfer]) -> Vec<(Key, Key)> {
        let moving = self.moving.iter().map(|m| (m.from, m.to));
        let cuts: Vec<(Key, Key)> = moving
            .chain(chosen.iter().map(|t| (t.from, t.to)))
            .collect();
        let ranges = self.table.ranges.values();
        ranges
            .filter(|r| r.owner == *donor)
            .flat_map(|r| parts_outside(r.from, r.to, cuts.clone()))
            .collect()
    }

    /// Finds adjacent keys of `donor` that carry about `wanted`, as few as can be.
    fn segment(
        &self,
        donor: &Incarnation,
        wanted: f64,
        gap: f64,
        even: f64,
        chosen: &[Transfer],
    ) -> Option<(Key, Key)> {
        let parts = self.free_parts(donor, chosen);
        let mut best: Option<(f64, Key, Key)> = None;
        for (first, last) in &parts {
            let hot: Vec<(Key, f64)> = self.rates.between(*first, *last).collect();
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
        let mut hot = self.rates.between(from, last).peekable();
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
