//! Relative speeds of upstreams, measured by all entry hosts together.

use std::collections::{BTreeMap, BTreeSet};

use crate::decay::remaining_weight;
use crate::rate_limit::RateLimit;

use super::model::Incarnation;

/// The number of answers from which an upstream's speed is used.
const ANSWERS_MIN: f64 = 6.0;
/// The half-life of speed measurements, in milliseconds.
const SPEED_HALF_LIFE_MS: f64 = 4_000.0;
/// The minimum and maximum of a relative speed, to which measurements are clamped.
const SPEED_RANGE: (f64, f64) = (0.05, 2.5);
/// The share of an owner's rate limit that its keys should need; requests come unevenly.
pub(super) const LIMIT_USED_SHARE: f64 = 0.8;
/// Rounds in which load that owners with rate limits can't take is spread over the others.
const LIMIT_ROUNDS: u32 = 4;

#[derive(Clone, Copy, Debug, Default)]
struct WorkTotals {
    total_ms: f64,
    answers: f64,
}

/// Measured speeds of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    by_id: BTreeMap<String, WorkTotals>,
    limits: BTreeMap<Incarnation, RateLimit>,
}

impl Speeds {
    /// Adds the measurements of a number of answers.
    pub fn add(&mut self, id: &str, total_ms: u32, answers: u32) {
        let totals = self.by_id.entry(id.to_string()).or_default();
        totals.total_ms += f64::from(total_ms);
        totals.answers += f64::from(answers);
    }

    /// Decays the measurements by `elapsed_ms`.
    pub fn decay(&mut self, elapsed_ms: u64) {
        let decay_factor = remaining_weight(elapsed_ms, SPEED_HALF_LIFE_MS);
        self.by_id.retain(|_, totals| {
            totals.total_ms *= decay_factor;
            totals.answers *= decay_factor;
            totals.answers > 0.5
        });
    }

    /// Sets the rate limits in force.
    pub fn set_limits(&mut self, limits: BTreeMap<Incarnation, RateLimit>) {
        self.limits = limits;
    }

    /// Reports whether an upstream has a rate limit.
    pub(super) fn has_limit(&self, owner: &Incarnation) -> bool {
        self.limits.contains_key(owner)
    }

    /// Returns the mean time each of `ids` takes for a request, relative to their average. Upstreams with too
    /// few answers are left out.
    pub fn slowness<'a>(&self, ids: impl IntoIterator<Item = &'a String>) -> BTreeMap<String, f64> {
        let known = |id: &'a String| Some((id, self.mean_ms(id)?));
        let means: Vec<(&String, f64)> = ids.into_iter().filter_map(known).collect();
        let mean = means.iter().map(|(_, ms)| ms).sum::<f64>() / means.len().max(1) as f64;
        let slowness = |ms: f64| (ms / mean).clamp(1.0 / SPEED_RANGE.1, 1.0 / SPEED_RANGE.0);
        let all = means.into_iter();
        all.map(|(id, ms)| (id.clone(), slowness(ms))).collect()
    }

    /// Returns the mean time an upstream takes for a request, in milliseconds, if there are enough answers.
    pub(super) fn mean_ms(&self, id: &str) -> Option<f64> {
        let totals = self.by_id.get(id)?;
        (totals.answers >= ANSWERS_MIN).then(|| totals.total_ms / totals.answers)
    }

    /// Returns the speed of each of `owners`, relative to their average; 1 for those with too few answers. Owners
    /// with a rate limit count as slow enough for their share of `rate`, in requests a second, to stay below it.
    pub(super) fn relative_speeds(
        &self,
        owners: &BTreeSet<Incarnation>,
        rate: f64,
    ) -> BTreeMap<Incarnation, f64> {
        let known = |incarnation: &Incarnation| self.mean_ms(&incarnation.id);
        let means: Vec<f64> = owners.iter().filter_map(known).collect();
        let mean = means.iter().sum::<f64>() / means.len().max(1) as f64;
        let speed = |incarnation: &Incarnation| match known(incarnation) {
            Some(mean_ms) if mean_ms > 0.0 => (mean / mean_ms).clamp(SPEED_RANGE.0, SPEED_RANGE.1),
            _ => 1.0,
        };
        let mut speeds: BTreeMap<_, f64> = owners.iter().map(|o| (o.clone(), speed(o))).collect();
        for _ in 0..LIMIT_ROUNDS {
            let rate_per_speed = rate / speeds.values().sum::<f64>();
            for (owner, limit) in &self.limits {
                let usable_rate = LIMIT_USED_SHARE * limit.milli_per_s() as f64 / 1_000.0;
                if let Some(speed) = speeds.get_mut(owner) {
                    *speed = speed.min(usable_rate / rate_per_speed);
                }
            }
        }
        speeds
    }
}
