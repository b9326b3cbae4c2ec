//! Applies results of calls and changes of the owners to the lessor's records.

use super::*;

impl Lessor {
    pub(super) fn next_call(&mut self) -> CallId {
        self.last_call.number += 1;
        self.last_call
    }

    /// Returns the parts of `range` that aren't changing owner.
    pub(super) fn parts_not_moving(&self, service: &str, range: &KeyRange) -> Vec<(Key, Key)> {
        let moves = self.moves.iter();
        let moving = moves
            .filter(|m| m.service == service && m.fence == range.fence)
            .map(|m| (m.from, m.to))
            .collect();
        uncovered_ranges(range.from, range.to, moving)
    }

    /// Updates the renewals if the table of owners or the set of moves has changed.
    pub(super) fn sync_renewals(&mut self, state: &State, now: Mono) {
        let moving = self.moves.iter().map(|m| (m.fence, m.from, m.to));
        let layout = LayoutVersion {
            owners: state.versions.owners,
            moving: moving.collect(),
        };
        if self.synced_layout.as_ref() == Some(&layout) {
            return;
        }
        let moving: BTreeSet<u64> = self.moves.iter().map(|m| m.fence).collect();
        let mut renewals: Vec<(GrantId, Renewal)> = Vec::new();
        let mut kept = 0;
        self.sync_round += 1;
        for (service, table) in &state.owners {
            let mut grant_id = (service.clone(), 0, 0);
            for range in table.ranges.values() {
                (grant_id.1, grant_id.2) = (range.fence, range.from);
                let unchanged = match moving.contains(&range.fence) {
                    false => self.renewals.get_mut(&grant_id),
                    true => None,
                };
                if let Some(renewal) = unchanged.filter(|r| r.to == range.to) {
                    renewal.synced_in = self.sync_round;
                    kept += 1;
                    continue;
                }
                for (from, to) in self.parts_not_moving(service, range) {
                    let grant_id = (service.clone(), range.fence, from);
                    let renewal = self.derive_renewal(&grant_id, to, &range.owner, state, now);
                    renewals.push((grant_id, renewal));
                }
            }
        }
        if kept < self.renewals.len() {
            let round = self.sync_round;
            self.renewals.retain(|_, r| r.synced_in == round);
        }
        self.renewals.extend(renewals);
        self.synced_layout = Some(layout);
    }

    /// Returns the renewal of a range that is new or has other keys than before. A part that was split off a granted
    /// range keeps its renewal time.
    fn derive_renewal(
        &mut self,
        grant_id: &GrantId,
        to: Key,
        owner: &Incarnation,
        state: &State,
        now: Mono,
    ) -> Renewal {
        let (service, fence, from) = grant_id;
        let within = self
            .renewals
            .range((service.clone(), *fence, 0)..=grant_id.clone());
        let parent = within.rev().find(|(_, r)| r.to >= *from);
        match parent {
            Some((parent_id, parent)) => Renewal {
                to,
                in_flight: parent.in_flight && parent_id == grant_id,
                synced_in: self.sync_round,
                ..parent.clone()
            },
            None => Renewal {
                to,
                owner: owner.clone(),
                in_flight: false,
                next_at: now,
                failures: 0,
                handover: self.take_handover(service, *fence, *from, state),
                granted: false,
                synced_in: self.sync_round,
            },
        }
    }

    /// Removes and returns the previous owner's handover data for a range that starts at `from` and has a new
    /// fencing token.
    fn take_handover(
        &mut self,
        service: &str,
        fence: u64,
        from: Key,
        state: &State,
    ) -> Option<String> {
        let range = state.owners.get(service)?.owner_of(from)?;
        if range.fence != fence || range.from != from {
            return None;
        }
        self.handovers
            .remove(&(service.to_string(), from, range.to))
    }

    pub(super) fn handle_grant_result(
        &mut self,
        owner: Incarnation,
        grant_id: &GrantId,
        result: CallResult,
        now: Mono,
    ) {
        let until = now.plus(longest_hold_ms(self.hold_ms));
        let bounds = self.bounds.entry(owner).or_default();
        let mut next_at = now.plus(RETRY_MS);
        let is_done = matches!(result, CallResult::Done(_));
        let is_not_sent = result == CallResult::NotSent;
        match result {
            CallResult::Done(_) => {
                bounds.confirmed_until = bounds.confirmed_until.max(until);
                bounds.heard_at = bounds.heard_at.max(now);
                bounds.unanswered = 0;
                next_at = now.plus(self.hold_ms / RENEWALS_PER_HOLD);
            }
            CallResult::Fenced => {
                bounds.heard_at = bounds.heard_at.max(now);
                self.refused_grants.insert(grant_id.clone());
            }
            CallResult::NotSent | CallResult::LeaseEnded => {}
            // Another process has the address, so this one has ended.
            CallResult::Misdirected => bounds.heard_at = Mono(0),
            CallResult::Unknown | CallResult::Mismatched => {
                bounds.unconfirmed_until = bounds.unconfirmed_until.max(until);
                bounds.unanswered += 1;
            }
        }
        if let Some(renewal) = self.renewals.get_mut(grant_id) {
            renewal.in_flight = false;
            if is_not_sent {
                let pause_ms = RETRY_MS << renewal.failures.min(3);
                next_at = now.plus(pause_ms.min(RETRY_MAX_MS));
                renewal.failures += 1;
            } else {
                renewal.failures = 0;
            }
            renewal.next_at = next_at;
            renewal.granted |= is_done;
        }
    }

    /// Continues the move that waits for this call. A call may last longer than its move, whose keys may be
    /// moving again by then.
    pub(super) fn handle_release_result(&mut self, id: CallId, result: CallResult, now: Mono) {
        let mut moves = self.moves.iter_mut();
        let Some(m) = moves.find(|m| m.stage == MoveStage::Releasing(id)) else {
            return;
        };
        match result {
            CallResult::Done(handover) => {
                m.stage = MoveStage::AwaitingExpiry(m.unconfirmed_until.max(now));
                if let Some(handover) = handover {
                    let keys = (m.service.clone(), m.from, m.to);
                    self.handovers.insert(keys, handover);
                }
            }
            // The donor has ended, and its successor at the address refuses calls that were meant for it.
            CallResult::Misdirected => m.stage = MoveStage::AwaitingExpiry(now),
            _ => m.stage = MoveStage::ReleaseDue(now.plus(RETRY_MS)),
        }
    }
}
