//! Health of an upstream as an entry host observes it: latency, failures, ejection and slow start.
//!
//! An upstream's own reports of its health and load aren't used: they lag behind or mislead.

use crate::clock::Mono;

/// The number of consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// The length of the first ejection, in milliseconds; each consecutive one is twice as long.
const EJECTION_INITIAL_MS: u64 = 1_000;
const EJECTION_MAX_MS: u64 = 30_000;
/// How long a new upstream's share of the work takes to grow to its full size, in milliseconds.
const WARM_UP_MS: u64 = 10_000;
/// The share of its full work that a new upstream starts with.
const WARM_UP_SHARE_MIN: f64 = 0.1;
/// The weight of the newest answer in the exponentially weighted mean of the latency.
const LATENCY_EWMA_ALPHA: f64 = 0.1;

/// The change of an upstream's state by an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// Neither ejected nor readmitted.
    None,
    /// The upstream is ejected.
    Ejected,
    /// The upstream answered again after an ejection.
    Readmitted,
}

/// The observed health of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    first_seen_at: Mono,
    mean_latency_ms: f64,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Mono,
}

impl Health {
    /// Returns the health of an upstream that is new at `now`.
    pub fn new(now: Mono) -> Health {
        Health {
            first_seen_at: now,
            mean_latency_ms: 1.0,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: Mono(0),
        }
    }

    /// Records an answer whose head took `latency_ms`.
    pub fn record_success(&mut self, latency_ms: f64) -> HealthChange {
        self.mean_latency_ms += (latency_ms - self.mean_latency_ms) * LATENCY_EWMA_ALPHA;
        self.consecutive_failures = 0;
        if self.consecutive_ejections == 0 {
            return HealthChange::None;
        }
        self.consecutive_ejections = 0;
        self.ejected_until = Mono(0);
        HealthChange::Readmitted
    }

    /// Records a failure: no connection, no answer, or a broken one.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::entry::health::{HealthChange, Health};
    ///
    /// let mut health = Health::new(Mono(0));
    /// let changes: Vec<HealthChange> = (0..5).map(|_| health.record_failure(Mono(10))).collect();
    /// assert_eq!(changes[4], HealthChange::Ejected);
    /// assert!(health.is_ejected(Mono(11)));
    /// ```
    pub fn record_failure(&mut self, now: Mono) -> HealthChange {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return HealthChange::None;
        }
        let length_ms = EJECTION_INITIAL_MS << self.consecutive_ejections.min(8);
        self.ejected_until = now.plus(length_ms.min(EJECTION_MAX_MS));
        self.consecutive_ejections += 1;
        self.consecutive_failures = FAILURES_TO_EJECT - 1;
        HealthChange::Ejected
    }

    /// Reports whether the upstream is ejected, that is, gets no new work.
    pub fn is_ejected(&self, now: Mono) -> bool {
        now < self.ejected_until
    }

    /// Returns the expected cost of one more request, in milliseconds, with `load` requests in
    /// flight and waiting.
    pub fn expected_cost(&self, load: usize, now: Mono) -> f64 {
        let warm_up_progress = now.since(self.first_seen_at) as f64 / WARM_UP_MS as f64;
        let work_share = warm_up_progress.clamp(WARM_UP_SHARE_MIN, 1.0);
        self.mean_latency_ms * (load as f64 + 1.0) / work_share
    }
}
