//! What the leader does about cold upstreams: their limits apply to permits and to the planning of keys, and it knows
//! the newest heartbeats of these upstreams.

use super::super::coldness::is_late;
use super::super::model::Incarnation;
use super::*;

/// The leader's record of cold upstreams.
#[derive(Debug, Default)]
pub(super) struct ColdTracker {
    /// The versions of the configuration and the upstreams that the limits are from.
    limits_from: (u64, u64),
    /// The number of the newest heartbeat of each cold upstream. The log contains only those that changed whether it
    /// is cold.
    newest: BTreeMap<Incarnation, u64>,
    /// Heartbeats that came after a newer one and would have made a cold upstream warm.
    pub(super) late_heartbeats: u64,
}

impl ColdTracker {
    /// Makes heartbeats that came after a newer one leave their upstreams cold.
    pub(super) fn ignore_late(&mut self, request: &mut DirectoryRequest, state: &State) {
        match request {
            DirectoryRequest::Announce(upstream) => self.check(upstream, state),
            DirectoryRequest::AnnounceAll(list) => {
                list.iter_mut()
                    .for_each(|upstream| self.check(upstream, state));
            }
            _ => {}
        }
    }

    fn check(&mut self, upstream: &mut Upstream, state: &State) {
        let Some(sequence) = upstream.cold_sequence else {
            return;
        };
        if state.has_cold_limit(upstream) {
            let newest = self.newest.entry(upstream.incarnation.clone()).or_default();
            *newest = sequence.max(*newest);
            return;
        }
        let newest = self.newest.get(&upstream.incarnation).copied();
        let known = state.find_live(&upstream.incarnation);
        if let Some(known) = known.filter(|known| known.is_cold && is_late(Some(sequence), newest))
        {
            upstream.is_cold = true;
            upstream.cold_sequence = known.cold_sequence;
            self.late_heartbeats += 1;
        }
    }
}

impl<T> LeaderState<T> {
    /// Takes over the limits of cold upstreams from the replicated state, if it has changed.
    pub(super) fn sync_cold_limits(&mut self, state: &State, now: Mono) {
        let versions = (state.versions.config, state.versions.upstreams);
        if std::mem::replace(&mut self.cold.limits_from, versions) == versions {
            return;
        }
        let limits = state.cold_limits();
        self.cold
            .newest
            .retain(|upstream, _| limits.contains_key(upstream));
        if self.permits.set_cold_limits(&limits, now) {
            self.lessor.set_rate_limits(self.permits.limits());
        }
    }
}

impl<S: Store, T> Replica<S, T> {
    /// Returns the number of cold upstreams with a limit, and of late heartbeats that left their upstreams cold, while
    /// this replica leads.
    pub fn cold_counts(&self) -> (usize, u64) {
        let leader_state = self.leader_state.as_ref();
        leader_state.map_or((0, 0), |l| (l.permits.cold_count(), l.cold.late_heartbeats))
    }
}
