//! Estimates when the directory has a leader again, for the `Retry-After` of a host without a configuration.
//!
//! After a power failure of all hosts, entry hosts start without a configuration while the directory has
//! yet to elect a leader. Most callers retry once only, so the retry must not come before the election.

use std::sync::Mutex;

use crate::clock::Mono;
use crate::lock::lock;

/// Expected time from the first report of a missing leader to the routes sent by the next one, in
/// milliseconds: a restarted replica withholds its vote for 600 ms, and the election and the routes each
/// take a few round trips between regions.
const EXPECTED_ELECTION_MS: u64 = 1_000;
/// Maximum jitter, in milliseconds, so that callers don't retry all at once.
const JITTER_MAX_MS: f64 = 300.0;

/// The time since which the directory is known to have no leader.
#[derive(Debug, Default)]
pub struct LeaderOutage {
    since: Mutex<Option<Mono>>,
}

impl LeaderOutage {
    /// Records that a replica of the directory knows no leader.
    pub fn record_no_leader(&self, now: Mono) {
        lock(&self.since).get_or_insert(now);
    }

    /// Records a response of a leader, which ends the outage.
    pub fn record_leader(&self) {
        *lock(&self.since) = None;
    }

    /// Returns the expected time until there is a leader plus jitter, in milliseconds, or `None` if no outage
    /// is known. `jitter` is uniformly distributed between 0 and 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::leader_outage::LeaderOutage;
    ///
    /// let outage = LeaderOutage::default();
    /// assert_eq!(outage.retry_after_ms(Mono(50), 0.5), None);
    /// outage.record_no_leader(Mono(100));
    /// outage.record_no_leader(Mono(400));
    /// assert_eq!(outage.retry_after_ms(Mono(400), 0.0), Some(700));
    /// assert_eq!(outage.retry_after_ms(Mono(400), 0.5), Some(850));
    /// outage.record_leader();
    /// assert_eq!(outage.retry_after_ms(Mono(500), 0.5), None);
    /// ```
    pub fn retry_after_ms(&self, now: Mono, jitter: f64) -> Option<u64> {
        let since = (*lock(&self.since))?;
        // A failed election is followed by another one.
        let until_leader_ms = EXPECTED_ELECTION_MS - now.since(since) % EXPECTED_ELECTION_MS;
        Some(until_leader_ms + (JITTER_MAX_MS * jitter) as u64)
    }
}
