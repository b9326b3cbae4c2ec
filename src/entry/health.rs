//! What an entry host itself observes of an upstream: latency, failures, ejection, slow start.
//!
//! An upstream's own health and load reports are not used: they lag or mislead.

use crate::clock::Mono;

/// Failures in a row after which an upstream gets no new work for a while.
const FAILURES_TO_EJECT: u32 = 5;
/// The first ejection's length, in milliseconds; each further one is twice as long.
const EJECTION_INITIAL_MS: u64 = 1_000;
const EJECTION_MAX_MS: u64 = 30_000;
/// A new upstream's share of work grows to its full size over this time, in milliseconds.
const WARM_UP_MS: u64 = 10_000;
/// The share of work that a new upstream starts with.
const WARM_UP_SHARE_MIN: f64 = 0.1;
/// The weight of the newest answer in the mean latency.
const LATENCY_EWMA_ALPHA: f64 = 0.1;

/// What changed with an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing that matters to others.
    None,
    /// The upstream is ejected from now on.
    Ejected,
    /// The upstream answered again after an ejection.
    Readmitted,
}

/// One upstream as observed by this host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    first_seen_at: Mono,
    mean_latency_ms: f64,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Mono,
}

impl Health {
    /// Returns the record of an upstream first seen now.
    pub fn new(now: Mono) -> Health {
        Health {
            first_seen_at: now,
            mean_latency_ms: 1.0,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: Mono(0),
        }
    }

    /// Notes an answer.
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

    /// Notes a failure: no connection, no answer, or a broken one.
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

    /// Tells whether the upstream gets no new work.
    pub fn is_ejected(&self, now: Mono) -> bool {
        now < self.ejected_until
    }

    /// Returns the expected cost of one more request, given those in flight and waiting.
    pub fn expected_cost(&self, load: usize, now: Mono) -> f64 {
        let warm_up_progress = now.since(self.first_seen_at) as f64 / WARM_UP_MS as f64;
        let work_share = warm_up_progress.clamp(WARM_UP_SHARE_MIN, 1.0);
        self.mean_latency_ms * (load as f64 + 1.0) / work_share
    }
}
