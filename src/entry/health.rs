//! What an entry host itself observes of an upstream: latency, failures, ejection, slow start.
//!
//! An upstream's own health and load reports are not used: they lag or mislead.

use crate::clock::Mono;

/// Failures in a row after which an upstream gets no new work for a while.
const FAILURES_TO_EJECT: u32 = 5;
/// The first ejection's length, in milliseconds; each further one is twice as long.
const EJECT_FIRST_MS: u64 = 1_000;
const EJECT_MAX_MS: u64 = 30_000;
/// A new upstream's share of work grows to its full size over this time, in milliseconds.
const WARM_UP_MS: u64 = 10_000;
/// The share of work that a new upstream starts with.
const WARM_UP_SHARE_MIN: f64 = 0.1;
/// The weight of the newest answer in the mean latency.
const LATENCY_NEWEST_SHARE: f64 = 0.1;

/// What changed with an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
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
    seen_at: Mono,
    latency_ms: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Mono,
}

impl Health {
    /// Returns the record of an upstream first seen now.
    pub fn new(now: Mono) -> Health {
        Health {
            seen_at: now,
            latency_ms: 1.0,
            failures: 0,
            ejections: 0,
            ejected_until: Mono(0),
        }
    }

    /// Notes an answer.
    pub fn succeed(&mut self, latency_ms: f64) -> Change {
        self.latency_ms += (latency_ms - self.latency_ms) * LATENCY_NEWEST_SHARE;
        self.failures = 0;
        if self.ejections == 0 {
            return Change::None;
        }
        self.ejections = 0;
        self.ejected_until = Mono(0);
        Change::Readmitted
    }

    /// Notes a failure: no connection, no answer, or a broken one.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::entry::health::{Change, Health};
    ///
    /// let mut health = Health::new(Mono(0));
    /// let changes: Vec<Change> = (0..5).map(|_| health.fail(Mono(10))).collect();
    /// assert_eq!(changes[4], Change::Ejected);
    /// assert!(health.is_ejected(Mono(11)));
    /// ```
    pub fn fail(&mut self, now: Mono) -> Change {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return Change::None;
        }
        let length_ms = EJECT_FIRST_MS << self.ejections.min(8);
        self.ejected_until = now.plus(length_ms.min(EJECT_MAX_MS));
        self.ejections += 1;
        self.failures = FAILURES_TO_EJECT - 1;
        Change::Ejected
    }

    /// Tells whether the upstream gets no new work.
    pub fn is_ejected(&self, now: Mono) -> bool {
        now < self.ejected_until
    }

    /// Returns the expected cost of one more request, given those in flight and waiting.
    pub fn cost(&self, load: usize, now: Mono) -> f64 {
        let age = now.since(self.seen_at) as f64 / WARM_UP_MS as f64;
        let share = age.clamp(WARM_UP_SHARE_MIN, 1.0);
        self.latency_ms * (load as f64 + 1.0) / share
    }
}
