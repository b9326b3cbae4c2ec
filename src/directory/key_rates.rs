//! Request rates by key, measured with exponential decay.

use std::collections::BTreeMap;

use crate::decay::remaining_weight;

use super::model::Key;

/// The half-life of the recent counts, in milliseconds; a run of hot keys is detected within it.
const RECENT_HALF_LIFE_MS: f64 = 1_000.0;
/// The half-life of the long-term counts, in milliseconds, which separate differences from noise where
/// requests are few.
const LONG_TERM_HALF_LIFE_MS: f64 = 8_000.0;
/// A key whose decayed count falls below this is no longer tracked.
const MIN_TRACKED_COUNT: f64 = 0.02;

/// Requests by key, with an exponential decay.
#[derive(Clone, Debug)]
pub(super) struct DecayingCounts {
    half_life_ms: f64,
    counts: BTreeMap<Key, f64>,
}

impl DecayingCounts {
    fn new(half_life_ms: f64) -> DecayingCounts {
        DecayingCounts {
            half_life_ms,
            counts: BTreeMap::new(),
        }
    }

    fn decay(&mut self, elapsed_ms: u64) {
        let decay_factor = remaining_weight(elapsed_ms, self.half_life_ms);
        self.counts.retain(|_, count| {
            *count *= decay_factor;
            *count >= MIN_TRACKED_COUNT
        });
    }

    pub(super) fn rates_between(
        &self,
        from: Key,
        to: Key,
    ) -> impl Iterator<Item = (Key, f64)> + '_ {
        let per_s = std::f64::consts::LN_2 / (self.half_life_ms / 1_000.0);
        let counts = self.counts.range(from..=to);
        counts.map(move |(key, count)| (*key, count * per_s))
    }

    pub(super) fn total_rate(&self, from: Key, to: Key) -> f64 {
        self.rates_between(from, to).map(|(_, rate)| rate).sum()
    }

    /// Returns the standard deviation of a measured rate if requests arrive independently: that of a Poisson
    /// count under weights that halve every half-life.
    pub(super) fn std_deviation(&self, rate: f64) -> f64 {
        (rate * std::f64::consts::LN_2 / (2.0 * self.half_life_ms / 1_000.0)).sqrt()
    }
}

/// Request rates by key, over a short and a long window.
#[derive(Clone, Debug)]
pub struct KeyRates {
    pub(super) recent: DecayingCounts,
    pub(super) long_term: DecayingCounts,
}

impl Default for KeyRates {
    fn default() -> KeyRates {
        KeyRates {
            recent: DecayingCounts::new(RECENT_HALF_LIFE_MS),
            long_term: DecayingCounts::new(LONG_TERM_HALF_LIFE_MS),
        }
    }
}

impl KeyRates {
    /// Adds requests for a key.
    pub fn add(&mut self, key: Key, count: u32) {
        for window in [&mut self.recent, &mut self.long_term] {
            *window.counts.entry(key).or_default() += f64::from(count);
        }
    }

    /// Returns the standard deviation of a recent rate if requests arrive independently.
    pub(super) fn recent_deviation(rate: f64) -> f64 {
        DecayingCounts::new(RECENT_HALF_LIFE_MS).std_deviation(rate)
    }

    /// Decays the counts by `elapsed_ms`.
    pub fn decay(&mut self, elapsed_ms: u64) {
        self.recent.decay(elapsed_ms);
        self.long_term.decay(elapsed_ms);
    }

    /// Returns the recent rate of requests for `from..=to`, in requests a second.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::key_rates::KeyRates;
    ///
    /// let mut rates = KeyRates::default();
    /// rates.add(7, 10);
    /// assert!(rates.total_between(0, 9) > 6.0);
    /// rates.decay(10_000);
    /// assert_eq!(rates.total_between(0, 9), 0.0);
    /// ```
    pub fn total_between(&self, from: Key, to: Key) -> f64 {
        self.recent.total_rate(from, to)
    }
}
