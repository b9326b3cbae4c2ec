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
const ELECTION_MS: u64 = 1_000;
/// Callers are spread over this time, in milliseconds, so that they don't come back all at once.
const SPREAD_MS: f64 = 300.0;

/// Since when the directory is known to be without a leader.
#[derive(Debug, Default)]
pub struct Outage {
    since: Mutex<Option<Mono>>,
}

impl Outage {
    /// Notes that a process of the directory knows no leader.
    pub fn note_leaderless(&self, now: Mono) {
        lock(&self.since).get_or_insert(now);
    }

    /// Notes that a leader has answered.
    pub fn end(&self) {
        *lock(&self.since) = None;
    }

    /// Returns when there should be a leader, in milliseconds from now, or `None` where nothing says that
    /// there is none. `draw` is evenly distributed between 0 and 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::outage::Outage;
    ///
    /// let outage = Outage::default();
    /// assert_eq!(outage.left_ms(Mono(50), 0.5), None);
    /// outage.note_leaderless(Mono(100));
    /// outage.note_leaderless(Mono(400));
    /// assert_eq!(outage.left_ms(Mono(400), 0.0), Some(700));
    /// assert_eq!(outage.left_ms(Mono(400), 0.5), Some(850));
    /// outage.end();
    /// assert_eq!(outage.left_ms(Mono(500), 0.5), None);
    /// ```
    pub fn left_ms(&self, now: Mono, draw: f64) -> Option<u64> {
        let since = (*lock(&self.since))?;
        // An election that failed is followed by the next one.
        let left_ms = ELECTION_MS - now.since(since) % ELECTION_MS;
        Some(left_ms + (SPREAD_MS * draw) as u64)
    }
}
