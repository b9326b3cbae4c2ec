//! Takes keys from upstreams in evacuated availability zones.

use super::super::balance::Transfer;
use super::super::state::join_zones;
use super::*;
use crate::event::Event;

/// The maximum number of ranges that leave evacuated zones at the same time. Keys that wait are served by their
/// former owners meanwhile. It is as high as the number of releases in flight, since a release may take as long as
/// a request, and entry hosts use the former owners for a few seconds only.
const EVACUATION_MOVES_MAX: usize = RELEASES_IN_FLIGHT_MAX;

/// How far the keys have left the evacuated zones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EvacuationProgress {
    /// The version of the evacuations that it is about.
    version: u64,
    began_at: Mono,
    is_complete: bool,
}

impl Lessor {
    /// Returns the parts of ranges that are to leave evacuated zones by handover and aren't moving yet. Owners that are
    /// lost or leaving hand their keys over like everywhere else.
    pub(super) fn ranges_to_evacuate(
        &self,
        service: &str,
        state: &State,
        now: Mono,
    ) -> Vec<KeyRange> {
        let mut parts = Vec::new();
        if state.evacuated_zones.is_empty() {
            return parts;
        }
        let ranges = state.owners.get(service).into_iter();
        for range in ranges.flat_map(|t| t.ranges.values()) {
            if !self.is_evacuated_by_handover(&range.owner, state, now) {
                continue;
            }
            for (from, to) in self.parts_not_moving(service, range) {
                parts.push(KeyRange {
                    from,
                    to,
                    ..range.clone()
                });
            }
        }
        parts
    }

    /// Reports whether an owner's keys are to be handed over because of an evacuation.
    pub(super) fn is_evacuated_by_handover(
        &self,
        owner: &Incarnation,
        state: &State,
        now: Mono,
    ) -> bool {
        let upstream = state.find_live(owner).filter(|u| u.is_ready());
        upstream.is_some_and(|u| state.is_evacuated(u)) && !self.is_silent(owner, now)
    }

    /// Plans which of `ranges` leave evacuated zones now, and who gets them.
    pub(super) fn plan_evacuation(
        &self,
        planner: &TransferPlanner<'_>,
        ranges: &[KeyRange],
        state: &State,
    ) -> Vec<Transfer> {
        if ranges.is_empty() {
            return Vec::new();
        }
        let is_evacuated = |m: &&Move| is_owner_evacuated(&m.donor, state);
        let ongoing = self.moves.iter().filter(is_evacuated).count();
        planner.evacuation_transfers(ranges, EVACUATION_MOVES_MAX.saturating_sub(ongoing))
    }

    /// Returns an event once no key belongs to an upstream of an evacuated zone that could be moved.
    pub(super) fn record_evacuation_progress(&mut self, state: &State, now: Mono) -> Option<Event> {
        let version = state.versions.evacuations;
        if self.evacuation.version != version {
            self.evacuation = EvacuationProgress {
                version,
                began_at: now,
                is_complete: false,
            };
        }
        if self.evacuation.is_complete || state.evacuated_zones.is_empty() {
            return None;
        }
        let mut tables = state.owners.iter();
        let is_pending = tables.any(|(service, table)| {
            let mut ranges = table.ranges.values();
            ranges.any(|r| is_owner_evacuated(&r.owner, state))
                && !self.candidates(service, state, now).is_empty()
        });
        if is_pending {
            return None;
        }
        self.evacuation.is_complete = true;
        Some(Event::KeysEvacuated {
            zones: join_zones(&state.evacuated_zones),
            version,
            over_ms: now.since(self.evacuation.began_at),
        })
    }
}

fn is_owner_evacuated(owner: &Incarnation, state: &State) -> bool {
    let upstream = state.upstreams.get(&owner.id);
    upstream.is_some_and(|u| state.is_evacuated(u))
}
