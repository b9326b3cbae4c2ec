//! Divides the keys of upstreams in evacuated availability zones among the other owners.

use super::*;
use crate::directory::model::KeyRange;

/// A range is divided among at most this many receivers. With a quarter of the owners evacuated, each of the others
/// takes a third of what an owner had.
const PARTS_MAX: usize = 3;
/// With more ranges than this to evacuate, fewer are divided: each part costs a release, an assignment and a grant,
/// and entry hosts stop using the former owners after a fixed time.
const PARTS_TOTAL: usize = 192;

impl TransferPlanner<'_> {
    /// Returns at most `limit` transfers of `ranges`, whose present owners aren't among the owners of the plan. Each
    /// receiver gets what brings its load, relative to its speed, to the mean after the evacuation.
    pub fn evacuation_transfers(&self, ranges: &[KeyRange], limit: usize) -> Vec<Transfer> {
        let window = &self.rates.long_term;
        let baseline = baseline_rate(window);
        let rate = self.rates.total_between(0, Key::MAX);
        let speeds = self.speeds.relative_speeds(self.owners, rate);
        let mut loads = self.loads(window, &speeds);
        let load_of = |from: Key, to: Key| range_load(window, from, to, baseline);
        let evacuated: f64 = ranges.iter().map(|r| load_of(r.from, r.to)).sum();
        let mean = mean_load(&loads, &speeds) + evacuated / speeds.values().sum::<f64>();
        let parts_max = (PARTS_TOTAL / ranges.len().max(1)).clamp(1, PARTS_MAX);
        let mut transfers = Vec::new();
        for range in ranges {
            let mut from = range.from;
            for parts_left in (1..=parts_max).rev() {
                let least_loaded = select_owner(&loads, |a, b| a < b, |_, _| true);
                let Some((receiver, load)) = least_loaded.filter(|_| transfers.len() < limit)
                else {
                    return transfers;
                };
                let speed = speeds.get(&receiver).copied().unwrap_or(1.0);
                let rest = load_of(from, range.to);
                let target = ((mean - load) * speed).max(rest / parts_left as f64);
                let to = match parts_left == 1 || target * MAX_MOVE_FACTOR >= rest {
                    true => range.to,
                    false => self.key_at_load(from, range.to, target, baseline),
                };
                if let Some(load) = loads.get_mut(&receiver) {
                    *load += load_of(from, to) / speed;
                }
                transfers.push(Transfer {
                    from,
                    to,
                    donor: range.owner.clone(),
                    receiver,
                });
                if to == range.to {
                    break;
                }
                from = to + 1;
            }
        }
        transfers
    }

    /// Returns the first key up to which the keys from `from` on carry `target_load`, or `last` if they carry less.
    fn key_at_load(&self, from: Key, last: Key, target_load: f64, baseline: f64) -> Key {
        let mut rates = self.rates.long_term.rates_between(from, last).peekable();
        let mut sum = 0.0;
        for key in from..last {
            sum += baseline;
            if let Some((_, rate)) = rates.next_if(|(k, _)| *k == key) {
                sum += rate;
            }
            if sum >= target_load {
                return key;
            }
        }
        last
    }
}
