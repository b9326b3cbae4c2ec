//! How fast upstreams work, as all entry hosts found them together.

use std::collections::{BTreeMap, BTreeSet};

use super::model::Incarnation;

/// Answers that must be known before an upstream's speed is believed.
const ANSWERS_MIN: f64 = 6.0;
/// Half of what is known of speeds is forgotten after this long, in milliseconds.
const SPEED_HALF_LIFE_MS: f64 = 4_000.0;
/// The slowest and the fastest that an upstream is taken for, against the mean.
const SPEED_RANGE: (f64, f64) = (0.05, 2.5);

#[derive(Clone, Copy, Debug, Default)]
struct WorkTotals {
    total_ms: f64,
    answers: f64,
}

/// How fast upstreams are, against the mean of their service.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    by_id: BTreeMap<String, WorkTotals>,
}

impl Speeds {
    /// Adds answers that were seen.
    pub fn add(&mut self, id: &str, total_ms: u32, answers: u32) {
        let totals = self.by_id.entry(id.to_string()).or_default();
        totals.total_ms += f64::from(total_ms);
        totals.answers += f64::from(answers);
    }

    /// Forgets a part of what was seen `elapsed_ms` ago.
    pub fn decay(&mut self, elapsed_ms: u64) {
        let decay_factor = 0.5_f64.powf(elapsed_ms as f64 / SPEED_HALF_LIFE_MS);
        self.by_id.retain(|_, totals| {
            totals.total_ms *= decay_factor;
            totals.answers *= decay_factor;
            totals.answers > 0.5
        });
    }

    /// Returns how long each of `ids` works on a request, against their mean; those of which little is known
    /// are left out.
    pub fn slowness<'a>(&self, ids: impl IntoIterator<Item = &'a String>) -> BTreeMap<String, f64> {
        let known = |id: &'a String| Some((id, self.mean_ms(id)?));
        let means: Vec<(&String, f64)> = ids.into_iter().filter_map(known).collect();
        let mean = means.iter().map(|(_, ms)| ms).sum::<f64>() / means.len().max(1) as f64;
        let slowness = |ms: f64| (ms / mean).clamp(1.0 / SPEED_RANGE.1, 1.0 / SPEED_RANGE.0);
        let all = means.into_iter();
        all.map(|(id, ms)| (id.clone(), slowness(ms))).collect()
    }

    /// Returns how long an upstream works on a request, in milliseconds, if enough is known of it.
    fn mean_ms(&self, id: &str) -> Option<f64> {
        let totals = self.by_id.get(id)?;
        (totals.answers >= ANSWERS_MIN).then(|| totals.total_ms / totals.answers)
    }

    /// Returns the speeds of `owners`; those of which little is known count as average.
    pub(super) fn relative_speeds(
        &self,
        owners: &BTreeSet<Incarnation>,
    ) -> BTreeMap<Incarnation, f64> {
        let known = |incarnation: &Incarnation| self.mean_ms(&incarnation.id);
        let means: Vec<f64> = owners.iter().filter_map(known).collect();
        let mean = means.iter().sum::<f64>() / means.len().max(1) as f64;
        let speed = |incarnation: &Incarnation| match known(incarnation) {
            Some(mean_ms) if mean_ms > 0.0 => (mean / mean_ms).clamp(SPEED_RANGE.0, SPEED_RANGE.1),
            _ => 1.0,
        };
        owners.iter().map(|o| (o.clone(), speed(o))).collect()
    }
}
