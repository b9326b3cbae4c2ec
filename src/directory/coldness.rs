//! Which upstreams are cold, by heartbeats that may arrive late.
//!
//! A heartbeat tells whether its upstream is cold. A change is replicated with the heartbeat's sequence number, so that
//! an earlier heartbeat that arrives later doesn't change it back on any replica, after any change of the leader.

use std::collections::BTreeMap;

use crate::rate_limit::RateLimit;

use super::model::{Incarnation, Phase, Upstream};
use super::state::State;

/// Reports whether a heartbeat was sent before the newest one whose number is known. A heartbeat without a number is
/// taken as the newest.
pub(super) fn is_late(sequence: Option<u64>, newest: Option<u64>) -> bool {
    sequence.is_some_and(|sequence| newest.is_some_and(|newest| sequence < newest))
}

/// Decides whether `next`, a registration of the process `known`, changes whether it is cold.
pub(super) fn resolve(next: &mut Upstream, known: &Upstream) {
    let newest = known.cold_sequence;
    if is_late(next.cold_sequence, newest) || next.is_cold == known.is_cold {
        next.is_cold = known.is_cold;
        next.cold_sequence = newest;
    } else {
        next.cold_sequence = next.cold_sequence.or(newest);
    }
}

impl State {
    /// Returns the limits of all cold upstreams whose service has one.
    pub fn cold_limits(&self) -> BTreeMap<Incarnation, RateLimit> {
        let Some(stored) = &self.config else {
            return BTreeMap::new();
        };
        let cold_limit = |upstream: &Upstream| {
            let limit = stored.config.cold_limit(upstream)?;
            Some((upstream.incarnation.clone(), limit))
        };
        let present = self.upstreams.values().filter(|u| u.phase != Phase::Gone);
        present.filter_map(cold_limit).collect()
    }

    /// Reports whether an upstream is cold and has a limit for that reason.
    pub fn has_cold_limit(&self, upstream: &Upstream) -> bool {
        let stored = self.config.as_ref();
        stored.is_some_and(|s| s.config.cold_limit(upstream).is_some())
    }

    /// Reports whether the upstream of this process is known to be cold and has a limit for that reason.
    pub fn is_limited_as_cold(&self, incarnation: &Incarnation) -> bool {
        let known = self.find_live(incarnation);
        known.is_some_and(|upstream| self.has_cold_limit(upstream))
    }

    /// Reports whether an announcement of a live upstream changes nothing and the leader needn't see it. It sees
    /// those of cold upstreams, so that it knows the number of the newest one.
    pub fn is_routine(&self, upstream: &Upstream) -> bool {
        self.find_live(&upstream.incarnation).is_some()
            && !self.would_change(upstream)
            && !self.has_cold_limit(upstream)
    }
}
