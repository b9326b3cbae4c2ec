//! Tells callers when to come back to a host that knows no configuration yet.
//!
//! Answers a return of power of everything at once: all entry hosts start without a configuration, and the
//! directory has yet to choose its leader. Callers mostly come back once, so that they shouldn't come
//! before there is one.

use std::sync::Mutex;

use crate::clock::Mono;
use crate::lock::lock;

/// From the first word that no leader is known to the routes that the next one sends, in milliseconds: a
/// replica that was started again gives no vote for 600, and an election and the routes each take some
/// ways between regions and back.
const EXPECTED_ELECTION_MS: u64 = 1_000;
/// Callers are spread over this time, in milliseconds, so that they don't come back all at once.
const JITTER_MAX_MS: f64 = 300.0;

/// Since when the directory is known to be without a leader.
#[derive(Debug, Default)]
pub struct LeaderOutage {
    since: Mutex<Option<Mono>>,
}

impl LeaderOutage {
    /// Notes that a process of the directory knows no leader.
    pub fn record_no_leader(&self, now: Mono) {
        lock(&self.since).get_or_insert(now);
    }

    /// Notes that a leader has answered.
    pub fn record_leader(&self) {
        *lock(&self.since) = None;
    }

    /// Returns when there should be a leader, in milliseconds from now, or `None` where nothing says that
    /// there is none. `draw` is evenly distributed between 0 and 1.
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
        // An election that failed is followed by the next one.
        let until_leader_ms = EXPECTED_ELECTION_MS - now.since(since) % EXPECTED_ELECTION_MS;
        Some(until_leader_ms + (JITTER_MAX_MS * jitter) as u64)
    }
}
