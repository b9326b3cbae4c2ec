//! Takes keys from upstreams in evacuated availability zones.

use super::super::balance::Transfer;
use super::super::state::join_zones;
use super::*;
use crate::event::Event;

/// The maximum number of ranges that leave evacuated zones at the same time. Keys that wait are served by their
/// former owners meanwhile. It is as high as the number of releases in flight, since a release may take as long as
/// a request, and entry hosts use the former owners for a few seconds only.
const EVACUATION_MOVES_MAX: usize = RELEASES_IN_FLIGHT_MAX;

/// How long keys return slowly after the end of an evacuation, in milliseconds.
const RETURN_MS: u64 = 10_000;
/// The maximum number of ranges that change owner for their load at the same time meanwhile. The upstreams of the zone
/// have no keys then, and would otherwise get their whole share within a second.
const RETURN_MOVES_MAX: usize = 6;

/// How far the keys have left the evacuated zones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EvacuationProgress {
    /// The version of the evacuations that it is about.
    version: u64,
    began_at: Mono,
    /// The number of evacuated zones.
    zones: usize,
    is_complete: bool,
    /// Until when keys return slowly to a zone that was evacuated.
    returning_until: Mono,
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

    /// Records a change of the evacuated zones.
    pub(super) fn track_evacuations(&mut self, state: &State, now: Mono) {
        let before = self.evacuation;
        if before.version == state.versions.evacuations {
            return;
        }
        let zones = state.evacuated_zones.len();
        self.evacuation = EvacuationProgress {
            version: state.versions.evacuations,
            began_at: now,
            zones,
            is_complete: false,
            returning_until: match zones < before.zones {
                true => now.plus(RETURN_MS),
                false => before.returning_until,
            },
        };
    }

    /// Returns how many moves for load may begin now, out of `room`.
    pub(super) fn room_beside_evacuations(
        &self,
        room: usize,
        to_evacuate: &[KeyRange],
        now: Mono,
    ) -> usize {
        if !to_evacuate.is_empty() {
            // The planner doesn't know of the moves that begin now. Hot keys move nevertheless.
            0
        } else if now < self.evacuation.returning_until {
            room.min(RETURN_MOVES_MAX.saturating_sub(self.moves.len()))
        } else {
            room
        }
    }

    /// Returns an event once no key belongs to an upstream of an evacuated zone that could be moved.
    pub(super) fn record_evacuation_progress(&mut self, state: &State, now: Mono) -> Option<Event> {
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
            version: self.evacuation.version,
            over_ms: now.since(self.evacuation.began_at),
        })
    }
}

fn is_owner_evacuated(owner: &Incarnation, state: &State) -> bool {
    let upstream = state.upstreams.get(&owner.id);
    upstream.is_some_and(|u| state.is_evacuated(u))
}
