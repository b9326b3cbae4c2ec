//! Chooses keys to move so that no upstream carries much more than its share of the load.
//!
//! Handles two situations in particular: a run of adjacent keys that becomes hot within a second, and an
//! upstream that joins without keys.

mod evacuation;

use std::collections::{BTreeMap, BTreeSet};

use super::key_rates::{DecayingCounts, KeyRates};
use super::model::{uncovered_ranges, Incarnation, Key, KeyTable};
use super::speeds::{Speeds, LIMIT_USED_SHARE};

/// Keys are taken from an owner whose load exceeds this factor of the mean.
const OVERLOAD_FACTOR: f64 = 1.35;
/// An owner whose load is below this share of the mean is given keys.
const UNDERLOAD_FACTOR: f64 = 0.5;
/// The minimum load of a move as a share of the mean load, at the speed of the slower owner; less isn't worth a
/// change of owner.
const MIN_MOVE_SHARE: f64 = 0.1;
/// The maximum load of a move, relative to the load to be moved.
const MAX_MOVE_FACTOR: f64 = 1.15;
/// The minimum load of a move, relative to the load to be moved.
const MIN_MOVE_FACTOR: f64 = 0.6;
/// A long-term load within this many standard deviations of the mean is treated as noise. With some hundred
/// owners, one of them is beyond three in most rounds.
const LONG_TERM_NOISE_DEVIATIONS: f64 = 4.0;
/// The same for an owner with a rate limit: requests above it are refused, which costs callers more than an
/// unnecessary move.
const LIMITED_NOISE_DEVIATIONS: f64 = 2.0;
/// A recent load, counted over about a second, within this many standard deviations of the mean is treated as
/// noise. There are more because the owners' true loads differ too.
const RECENT_NOISE_DEVIATIONS: f64 = 6.0;
/// An owner with too little load is given up to this share of a donor's load in one move; many small moves
/// would leave many small ranges.
const MAX_GIVEN_SHARE: f64 = 0.5;
/// The share of the total load that is added as a baseline, spread evenly over the keys, so that owners
/// without load are given keys even if the load is unknown.
const BASELINE_SHARE: f64 = 0.2;
/// The load assumed for the baseline if less was reported, in requests a second.
const BASELINE_RATE_MIN: f64 = 10.0;
/// A key whose load exceeds this factor of the mean load is moved to a faster upstream.
const HOT_KEY_FACTOR: f64 = 2.0;
/// The minimum speed of a hot key's new owner, relative to the old one.
const MIN_SPEEDUP: f64 = 1.25;

/// A range of keys that should change owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The first key.
    pub from: Key,
    /// The last key.
    pub to: Key,
    /// The present owner.
    pub donor: Incarnation,
    /// The new owner.
    pub receiver: Incarnation,
}

/// A range of keys that is changing owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OngoingMove {
    /// The first key.
    pub from: Key,
    /// The last key.
    pub to: Key,
    /// The new owner, if it is known.
    pub receiver: Option<Incarnation>,
}

/// A range of keys that changed owner recently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecentMove {
    /// The first key.
    pub from: Key,
    /// The last key.
    pub to: Key,
    /// The owner before that.
    pub former_owner: Incarnation,
}

/// Plans transfers of a service's keys from the state of one planning round.
#[derive(Debug)]
pub struct TransferPlanner<'a> {
    /// The owners of the service's keys.
    pub table: &'a KeyTable,
    /// The request rates by key.
    pub rates: &'a KeyRates,
    /// The speeds of upstreams.
    pub speeds: &'a Speeds,
    /// Upstreams that may own keys.
    pub owners: &'a BTreeSet<Incarnation>,
    /// Those of them that may be given more keys.
    pub receivers: &'a BTreeSet<Incarnation>,
    /// Ranges that are already changing owner.
    pub ongoing_moves: &'a [OngoingMove],
    /// Ranges that recently changed owner. They are moved on only from an owner whose load is certainly too
    /// high, and not back to the former one.
    pub recent_moves: &'a [RecentMove],
}

impl TransferPlanner<'_> {
    /// Returns at most `limit` transfers.
    pub fn transfers(&self, limit: usize) -> Vec<Transfer> {
        let baseline = baseline_rate(&self.rates.recent);
        let rate = self.rates.total_between(0, Key::MAX);
        let speeds = self.speeds.relative_speeds(self.owners, rate);
        let mut loads = self.loads(&self.rates.recent, &speeds);
        if loads.len() < 2 {
            return Vec::new();
        }
        let mean = mean_load(&loads, &speeds);
        let long_term = self.loads(&self.rates.long_term, &speeds);
        let long_term_scale = mean / mean_load(&long_term, &speeds);
        let deviation = |window: &DecayingCounts, owner: &Incarnation| {
            let speed = speeds.get(owner).copied().unwrap_or(1.0);
            window.std_deviation(mean * speed) / speed
        };
        // Recent loads are used only where their deviation from the mean exceeds noise, otherwise long-term
        // ones.
        let mut hot_donors: BTreeSet<Incarnation> = BTreeSet::new();
        for (owner, load) in &mut loads {
            let noise = RECENT_NOISE_DEVIATIONS * deviation(&self.rates.recent, owner);
            if *load - mean > noise {
                hot_donors.insert(owner.clone());
            } else if let Some(long_term) = long_term.get(owner).filter(|_| mean - *load < noise) {
                *load = long_term * long_term_scale;
            }
        }
        let mut transfers = self.hot_key_transfers(mean, &speeds);
        for transfer in &transfers {
            self.apply_transfer(&mut loads, &speeds, transfer, baseline);
        }
        while transfers.len() < limit {
            let may_receive = |owner: &Incarnation, _| self.receivers.contains(owner);
            let Some((receiver, receiver_load)) = select_owner(&loads, |a, b| a < b, may_receive)
            else {
                break;
            };
            let noise = |owner: &Incarnation, deviations: f64| {
                deviations * deviation(&self.rates.long_term, owner)
            };
            let is_overloaded = |owner: &Incarnation, load| {
                let (factor, deviations) = match self.speeds.has_limit(owner) {
                    true => (1.0 / LIMIT_USED_SHARE, LIMITED_NOISE_DEVIATIONS),
                    false => (OVERLOAD_FACTOR, LONG_TERM_NOISE_DEVIATIONS),
                };
                load > mean * factor && load - mean > noise(owner, deviations)
            };
            let has_no_load = receiver_load < baseline;
            let is_underloaded = receiver_load < mean * UNDERLOAD_FACTOR
                && mean - receiver_load > noise(&receiver, LONG_TERM_NOISE_DEVIATIONS);
            let overloaded = select_owner(&loads, |a, b| a > b, is_overloaded);
            let needs_keys = has_no_load || is_underloaded;
            let busiest = || select_owner(&loads, |a, b| a > b, |_, _| needs_keys);
            let Some((donor, donor_load)) = overloaded.or_else(busiest) else {
                break;
            };
            let (receiver_speed, donor_speed) = (speeds[&receiver], speeds[&donor]);
            let surplus = match needs_keys {
                true => (donor_load - mean).max(donor_load * MAX_GIVEN_SHARE),
                false => donor_load - mean,
            };
            let target_load = (surplus * donor_speed).min((mean - receiver_load) * receiver_speed);
            let min_load = mean * MIN_MOVE_SHARE * donor_speed.min(receiver_speed).min(1.0);
            if target_load < min_load {
                break;
            }
            let gap = hot_donors
                .contains(&donor)
                .then_some(donor_load - receiver_load);
            let Some((from, to)) =
                self.find_segment((&donor, &receiver), target_load, gap, baseline, &transfers)
            else {
                // This donor has no suitable range, for example only a single hot key. Another one may.
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
            self.apply_transfer(&mut loads, &speeds, &transfer, baseline);
            transfers.push(transfer);
        }
        transfers
    }

    /// Returns transfers of hot keys to the fastest upstream that owns none of them.
    fn hot_key_transfers(&self, mean: f64, speeds: &BTreeMap<Incarnation, f64>) -> Vec<Transfer> {
        let mut transfers = Vec::new();
        let all = self.rates.recent.rates_between(0, Key::MAX);
        let hot: Vec<(Key, f64)> = all
            .filter(|(_, rate)| *rate > mean * HOT_KEY_FACTOR)
            .collect();
        let is_moving = |key: Key| {
            self.ongoing_moves
                .iter()
                .any(|m| m.from <= key && key <= m.to)
        };
        let mut excluded: BTreeSet<&Incarnation> = hot
            .iter()
            .filter_map(|(key, _)| self.table.owner_of(*key))
            .map(|r| &r.owner)
            .collect();
        for (key, _) in &hot {
            let Some(range) = self.table.owner_of(*key) else {
                continue;
            };
            let Some(owner_speed) = speeds.get(&range.owner).filter(|_| !is_moving(*key)) else {
                continue;
            };
            let available = speeds
                .iter()
                .filter(|(owner, _)| self.receivers.contains(owner) && !excluded.contains(owner));
            let fastest = available.max_by(|a, b| a.1.total_cmp(b.1));
            let Some((receiver, _)) =
                fastest.filter(|(_, speed)| **speed > owner_speed * MIN_SPEEDUP)
            else {
                continue;
            };
            excluded.insert(receiver);
            transfers.push(Transfer {
                from: *key,
                to: *key,
                donor: range.owner.clone(),
                receiver: receiver.clone(),
            });
        }
        transfers
    }

    /// Adjusts the loads, which are relative to speed, for a transfer.
    fn apply_transfer(
        &self,
        loads: &mut BTreeMap<Incarnation, f64>,
        speeds: &BTreeMap<Incarnation, f64>,
        transfer: &Transfer,
        baseline: f64,
    ) {
        let load = range_load(&self.rates.recent, transfer.from, transfer.to, baseline);
        let speed = |owner: &Incarnation| speeds.get(owner).copied().unwrap_or(1.0);
        if let Some(donor) = loads.get_mut(&transfer.donor) {
            *donor -= load / speed(&transfer.donor);
        }
        if let Some(receiver) = loads.get_mut(&transfer.receiver) {
            *receiver += load / speed(&transfer.receiver);
        }
    }

    /// Returns the load of each owner within one window, divided by its speed.
    fn loads(
        &self,
        window: &DecayingCounts,
        speeds: &BTreeMap<Incarnation, f64>,
    ) -> BTreeMap<Incarnation, f64> {
        let baseline = baseline_rate(window);
        let load_of = |from: Key, to: Key| range_load(window, from, to, baseline);
        let mut loads: BTreeMap<Incarnation, f64> =
            self.owners.iter().map(|o| (o.clone(), 0.0)).collect();
        for range in self.table.ranges.values() {
            if let Some(load) = loads.get_mut(&range.owner) {
                *load += load_of(range.from, range.to);
            }
        }
        for m in self.ongoing_moves {
            let moved = load_of(m.from, m.to);
            let donor = self.table.owner_of(m.from).map(|r| &r.owner);
            if let Some(load) = donor.and_then(|d| loads.get_mut(d)) {
                *load -= moved;
            }
            if let Some(load) = m.receiver.as_ref().and_then(|r| loads.get_mut(r)) {
                *load += moved;
            }
        }
        for (owner, load) in &mut loads {
            *load /= speeds.get(owner).copied().unwrap_or(1.0);
        }
        loads
    }

    /// Returns the parts of the donor's ranges that may be moved to `receiver`.
    fn movable_parts(
        &self,
        donor: &Incarnation,
        receiver: &Incarnation,
        has_hot_keys: bool,
        transfers: &[Transfer],
    ) -> Vec<(Key, Key)> {
        let moving = self.ongoing_moves.iter().map(|m| (m.from, m.to));
        let is_blocked = |r: &&RecentMove| !has_hot_keys || r.former_owner == *receiver;
        let recently_moved = self
            .recent_moves
            .iter()
            .filter(is_blocked)
            .map(|r| (r.from, r.to));
        let unavailable: Vec<(Key, Key)> = moving
            .chain(transfers.iter().map(|t| (t.from, t.to)))
            .chain(recently_moved)
            .collect();
        let ranges = self.table.ranges.values();
        ranges
            .filter(|r| r.owner == *donor)
            .flat_map(|r| uncovered_ranges(r.from, r.to, unavailable.clone()))
            .collect()
    }

    /// Returns adjacent keys of the donor that carry about `target_load`. With `load_gap`, the difference
    /// between donor and receiver where the donor has hot keys, it returns as few keys as possible.
    /// Otherwise, or if there are none, it takes the keys from the start of the largest range, which leaves
    /// one range behind and not two.
    fn find_segment(
        &self,
        (donor, receiver): (&Incarnation, &Incarnation),
        target_load: f64,
        load_gap: Option<f64>,
        baseline: f64,
        transfers: &[Transfer],
    ) -> Option<(Key, Key)> {
        let parts = self.movable_parts(donor, receiver, load_gap.is_some(), transfers);
        let mut best: Option<(f64, Key, Key)> = None;
        let searched_parts = load_gap.map_or(0, |_| parts.len());
        let gap = load_gap.unwrap_or(0.0);
        for (first, last) in parts.iter().take(searched_parts) {
            let hot: Vec<(Key, f64)> = self.rates.recent.rates_between(*first, *last).collect();
            let mut start = 0;
            let mut sum = 0.0;
            for end in 0..hot.len() {
                sum += hot[end].1;
                while start < end && sum > target_load * MAX_MOVE_FACTOR {
                    sum -= hot[start].1;
                    start += 1;
                }
                let fits =
                    sum >= target_load * MIN_MOVE_FACTOR && sum <= target_load * MAX_MOVE_FACTOR;
                let is_single_hot_key = start == end
                    && sum > target_load * MAX_MOVE_FACTOR
                    && sum < gap * MIN_MOVE_FACTOR;
                if !fits && !is_single_hot_key {
                    continue;
                }
                // Prefers few keys for their load, and a load near the target.
                let (from, to) = (hot[start].0, hot[end].0);
                let keys = f64::from(to - from) + 1.0;
                let cost = keys / sum * (1.0 + (target_load - sum).abs() / target_load);
                if best.is_none_or(|(other, _, _)| cost < other) {
                    best = Some((cost, from, to));
                }
            }
        }
        if let Some((_, from, to)) = best {
            return Some((from, to));
        }
        let largest = parts.into_iter().max_by_key(|(from, to)| to - from)?;
        self.leading_segment(largest, target_load, baseline)
    }

    /// Returns keys from the start of a part that carry enough load.
    fn leading_segment(
        &self,
        part: (Key, Key),
        target_load: f64,
        baseline: f64,
    ) -> Option<(Key, Key)> {
        let (from, last) = part;
        let mut sum = 0.0;
        let mut hot = self.rates.recent.rates_between(from, last).peekable();
        let mut to = from;
        loop {
            sum += baseline;
            if let Some((_, rate)) = hot.next_if(|(key, _)| *key == to) {
                sum += rate;
            }
            if sum >= target_load * MIN_MOVE_FACTOR || to == last {
                break;
            }
            to += 1;
        }
        let fits = sum >= target_load * MIN_MOVE_SHARE && sum <= target_load * MAX_MOVE_FACTOR;
        (fits && to < last).then_some((from, to))
    }
}

/// Returns the baseline load of each key, in requests a second.
fn baseline_rate(window: &DecayingCounts) -> f64 {
    (window.total_rate(0, Key::MAX) * BASELINE_SHARE).max(BASELINE_RATE_MIN) / 65_536.0
}

fn range_load(window: &DecayingCounts, from: Key, to: Key, baseline: f64) -> f64 {
    window.total_rate(from, to) + (f64::from(to - from) + 1.0) * baseline
}

/// Returns the load, relative to speed, that each owner would carry in an even division.
fn mean_load(loads: &BTreeMap<Incarnation, f64>, speeds: &BTreeMap<Incarnation, f64>) -> f64 {
    let speed = |owner: &Incarnation| speeds.get(owner).copied().unwrap_or(1.0);
    let total: f64 = loads.iter().map(|(owner, load)| load * speed(owner)).sum();
    total / speeds.values().sum::<f64>()
}

/// Returns the eligible owner with the best load.
fn select_owner(
    loads: &BTreeMap<Incarnation, f64>,
    is_better: impl Fn(f64, f64) -> bool,
    is_eligible: impl Fn(&Incarnation, f64) -> bool,
) -> Option<(Incarnation, f64)> {
    let mut best: Option<(&Incarnation, f64)> = None;
    for (owner, load) in loads
        .iter()
        .filter(|(owner, load)| is_eligible(owner, **load))
    {
        if best.is_none_or(|(_, other)| is_better(*load, other)) {
            best = Some((owner, *load));
        }
    }
    best.map(|(owner, load)| (owner.clone(), load))
}
