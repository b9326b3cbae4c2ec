//! Keeps key ranges few: each one is renewed by the leader, whatever load it carries.

use super::super::balance::{KeyRates, Transfer};
use super::*;

/// With more ranges than this for each upstream, small ones are given to a neighbour.
const RANGES_PER_UPSTREAM: usize = 2;
/// So many ranges cost a leader little, however few upstreams there are: about 200 renewals a second.
const RANGES_FREE: usize = 256;
/// Small ranges that go to a neighbour in one planning round, and pairs of ranges that are joined.
const TIDY_MAX: usize = 8;
/// A range is small with at most this share of the keys that each upstream would own by an even division.
const SMALL_SHARE: f64 = 0.25;
/// A small range with less load than this is given to a neighbour, in requests a second. Half of an
/// upstream's slots are busy at ten times as much.
const SMALL_RATE: f64 = 2.0;

impl Lessor {
    /// Returns small ranges that nobody asks for any longer, each with the owner next to it.
    pub(super) fn small_ranges(
        &self,
        service: &str,
        table: &KeyTable,
        candidates: &BTreeSet<Incarnation>,
        room: usize,
    ) -> Vec<Transfer> {
        let most = RANGES_FREE.max(candidates.len() * RANGES_PER_UPSTREAM);
        let mut chosen = Vec::new();
        if table.ranges.len() <= most {
            return chosen;
        }
        let cold = KeyRates::default();
        let rates = self.rates.get(service).unwrap_or(&cold);
        let keys_max = 65_536.0 / candidates.len().max(1) as f64 * SMALL_SHARE;
        let ranges: Vec<&KeyRange> = table.ranges.values().collect();
        let is_small = |n: usize| {
            let small = ranges[n];
            let is_idle = f64::from(width(small)) <= keys_max
                && rates.total_between(small.from, small.to) < SMALL_RATE;
            // One that arrived beside its owner's other keys is joined with them soon.
            let has_arrived = neighbours(&ranges, n).any(|r| r.owner == small.owner);
            is_idle
                && !has_arrived
                && !self.rests(service, small)
                && self.is_settled(service, small)
        };
        let pairs = (0..ranges.len()).filter_map(|n| {
            let takes = |r: &&KeyRange| candidates.contains(&r.owner);
            let largest = neighbours(&ranges, n)
                .filter(takes)
                .max_by_key(|r| width(r))?;
            let may_go = is_small(n) && self.is_settled(service, largest);
            may_go.then_some((width(ranges[n]), ranges[n], largest))
        });
        let mut pairs: Vec<(u32, &KeyRange, &KeyRange)> = pairs.collect();
        pairs.sort_by_key(|(keys, small, _)| (*keys, small.from));
        // Neither range of a pair is part of another one at the same time.
        let mut used: BTreeSet<Key> = BTreeSet::new();
        for (_, small, large) in pairs {
            if chosen.len() >= room.min(TIDY_MAX) {
                break;
            }
            if used.contains(&small.from) || used.contains(&large.from) {
                continue;
            }
            used.extend([small.from, large.from]);
            chosen.push(Transfer {
                from: small.from,
                to: small.to,
                donor: small.owner.clone(),
                receiver: large.owner.clone(),
            });
        }
        chosen
    }

    /// Tells whether some of a range's keys were moved for their load a moment ago.
    fn rests(&self, service: &str, range: &KeyRange) -> bool {
        let first = (service.to_string(), 0, 0);
        let last = (service.to_string(), range.to, Key::MAX);
        let mut before = self.moved.range(first..=last);
        before.any(|((_, _, to), _)| *to >= range.from)
    }

    /// Gives neighbouring ranges of one owner a common fencing token.
    pub(super) fn join_neighbours(&self, state: &State, step: &mut Step) {
        for (service, table) in &state.owners {
            let mut ranges = table.ranges.values().peekable();
            let mut joined = 0;
            while let Some(first) = ranges.next() {
                let mut to = first.to;
                if joined >= TIDY_MAX || !self.is_settled(service, first) {
                    continue;
                }
                while let Some(next) = ranges.next_if(|r| {
                    r.owner == first.owner
                        && u32::from(r.from) == u32::from(to) + 1
                        && self.is_settled(service, r)
                }) {
                    to = next.to;
                }
                if to != first.to {
                    joined += 1;
                    step.commands.push(Command::Assign {
                        service: service.clone(),
                        from: first.from,
                        to,
                        owner: first.owner.clone(),
                    });
                }
            }
        }
    }

    /// Tells whether a range is granted, and nothing about it is under way.
    fn is_settled(&self, service: &str, range: &KeyRange) -> bool {
        let place = (service.to_string(), range.fence, range.from);
        let renewal = self.renewals.get(&place);
        renewal.is_some_and(|r| r.granted && !r.in_flight && r.to == range.to)
    }
}

fn neighbours<'a>(ranges: &'a [&'a KeyRange], n: usize) -> impl Iterator<Item = &'a KeyRange> {
    let left = n.checked_sub(1).and_then(|n| ranges.get(n));
    left.into_iter().chain(ranges.get(n + 1)).copied()
}

fn width(range: &KeyRange) -> u32 {
    u32::from(range.to) - u32::from(range.from) + 1
}
