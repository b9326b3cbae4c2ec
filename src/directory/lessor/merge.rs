//! Keeps the number of key ranges low, since the leader renews each one whatever its load.

use super::super::balance::Transfer;
use super::super::key_rates::KeyRates;
use super::*;

/// With more ranges per upstream than this, small ones are moved to a neighbour's owner.
const RANGES_PER_UPSTREAM: usize = 2;
/// Up to this many ranges, none are moved to a neighbour's owner, however few upstreams there are: the leader
/// renews them with about 200 calls a second.
const RANGES_ALWAYS_ALLOWED: usize = 256;
/// The maximum number, per service and planning round, of small ranges that move to a neighbour's owner and
/// of merges.
const MERGES_PER_ROUND_MAX: usize = 8;
/// A range is small if it has at most this share of the keys that each upstream would own in an even
/// division.
const SMALL_RANGE_SHARE: f64 = 0.25;
/// A small range is moved if it has less load than this, in requests a second. At ten times as much, half of
/// an upstream's slots would be busy.
const SMALL_RANGE_RATE: f64 = 2.0;

impl Lessor {
    /// Returns transfers of small ranges with little load to the owner of a neighbouring range.
    pub(super) fn plan_merges(
        &self,
        service: &str,
        table: &KeyTable,
        receivers: &BTreeSet<Incarnation>,
        room: usize,
    ) -> Vec<Transfer> {
        let limit = RANGES_ALWAYS_ALLOWED.max(receivers.len() * RANGES_PER_UPSTREAM);
        let mut transfers = Vec::new();
        if table.ranges.len() <= limit {
            return transfers;
        }
        let no_rates = KeyRates::default();
        let rates = self.rates.get(service).unwrap_or(&no_rates);
        let keys_max = 65_536.0 / receivers.len().max(1) as f64 * SMALL_RANGE_SHARE;
        let ranges: Vec<&KeyRange> = table.ranges.values().collect();
        let is_small = |n: usize| {
            let small = ranges[n];
            let is_idle = f64::from(key_count(small)) <= keys_max
                && rates.total_between(small.from, small.to) < SMALL_RANGE_RATE;
            // A range next to another one of its owner is merged by `merge_neighbours`.
            let adjoins_own_range = neighbours(&ranges, n).any(|r| r.owner == small.owner);
            is_idle
                && !adjoins_own_range
                && !self.moved_recently(service, small)
                && self.is_stable(service, small)
        };
        let pairs = (0..ranges.len()).filter_map(|n| {
            let is_receiver = |r: &&KeyRange| receivers.contains(&r.owner);
            let largest = neighbours(&ranges, n)
                .filter(is_receiver)
                .max_by_key(|r| key_count(r))?;
            let can_merge = is_small(n) && self.is_stable(service, largest);
            can_merge.then_some((key_count(ranges[n]), ranges[n], largest))
        });
        let mut pairs: Vec<(u32, &KeyRange, &KeyRange)> = pairs.collect();
        pairs.sort_by_key(|(keys, small, _)| (*keys, small.from));
        // No range takes part in two transfers at the same time.
        let mut paired: BTreeSet<Key> = BTreeSet::new();
        for (_, small, large) in pairs {
            if transfers.len() >= room.min(MERGES_PER_ROUND_MAX) {
                break;
            }
            if paired.contains(&small.from) || paired.contains(&large.from) {
                continue;
            }
            paired.extend([small.from, large.from]);
            transfers.push(Transfer {
                from: small.from,
                to: small.to,
                donor: small.owner.clone(),
                receiver: large.owner.clone(),
            });
        }
        transfers
    }

    /// Reports whether some of a range's keys were moved within [`MERGE_COOLDOWN_MS`].
    fn moved_recently(&self, service: &str, range: &KeyRange) -> bool {
        let first = (service.to_string(), 0, 0);
        let last = (service.to_string(), range.to, Key::MAX);
        let mut preceding = self.recent_moves.range(first..=last);
        preceding.any(|((_, _, to), _)| *to >= range.from)
    }

    /// Merges neighbouring ranges of one owner under a new fencing token.
    pub(super) fn merge_neighbours(&self, state: &State, output: &mut LessorOutput) {
        for (service, table) in &state.owners {
            let mut ranges = table.ranges.values().peekable();
            let mut merged = 0;
            while let Some(first) = ranges.next() {
                let mut to = first.to;
                if merged >= MERGES_PER_ROUND_MAX || !self.is_stable(service, first) {
                    continue;
                }
                while let Some(next) = ranges.next_if(|r| {
                    r.owner == first.owner
                        && u32::from(r.from) == u32::from(to) + 1
                        && self.is_stable(service, r)
                }) {
                    to = next.to;
                }
                if to != first.to {
                    merged += 1;
                    output.commands.push(Command::Assign {
                        service: service.clone(),
                        from: first.from,
                        to,
                        owner: first.owner.clone(),
                    });
                }
            }
        }
    }

    /// Reports whether a range is granted with no grant of it in flight.
    fn is_stable(&self, service: &str, range: &KeyRange) -> bool {
        let grant_id = (service.to_string(), range.fence, range.from);
        let renewal = self.renewals.get(&grant_id);
        renewal.is_some_and(|r| r.granted && !r.in_flight && r.to == range.to)
    }
}

fn neighbours<'a>(ranges: &'a [&'a KeyRange], n: usize) -> impl Iterator<Item = &'a KeyRange> {
    let left = n.checked_sub(1).and_then(|n| ranges.get(n));
    left.into_iter().chain(ranges.get(n + 1)).copied()
}

fn key_count(range: &KeyRange) -> u32 {
    u32::from(range.to) - u32::from(range.from) + 1
}
