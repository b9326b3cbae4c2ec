//! Grants and renewals that are due, limited to what the leader can complete.

use super::*;

/// The maximum number of grants in flight: what a leader can complete before its lease ends.
const GRANTS_IN_FLIGHT_MAX: usize = 64;
/// The maximum number of grants in flight at each host that makes calls for the leader. A call is in flight
/// from its assignment until its result arrives, about twice the interval at which the host asks for calls.
const GRANTS_IN_FLIGHT_PER_HELPER: usize = 192;
/// The minimum limit of grants a second. It spreads the grants that are due at once after an election over
/// the time that renewals take anyway.
const GRANTS_PER_S: u64 = 400;
/// The limit of grants a second in percent of what renewing all ranges takes, where that is more.
const GRANTS_SHARE_PERCENT: u64 = 150;

impl Lessor {
    /// Sets the number of other hosts that make calls for the leader.
    pub fn set_helpers(&mut self, helpers: usize) {
        self.helpers = helpers;
    }

    /// Returns the number of grants a second that all ranges take.
    pub fn grants_per_s(&self) -> u64 {
        self.renewals.len() as u64 * 1_000 * RENEWALS_PER_HOLD / self.hold_ms
    }

    /// Sends grants and renewals that are due, the longest overdue first, within the limits of the number in
    /// flight and the rate.
    pub(super) fn renew(&mut self, state: &State, now: Mono, output: &mut LessorOutput) {
        self.sync_renewals(state, now);
        let in_flight = self.grants_in_flight();
        let per_s = GRANTS_PER_S.max(self.grants_per_s() * GRANTS_SHARE_PERCENT / 100);
        let refill = now.since(self.budget_refilled_at) * per_s;
        let in_flight_max = GRANTS_IN_FLIGHT_MAX + self.helpers * GRANTS_IN_FLIGHT_PER_HELPER;
        let room = in_flight_max.saturating_sub(in_flight);
        self.budget_refilled_at = now;
        self.grant_budget_milli =
            (self.grant_budget_milli + refill).min(GRANTS_IN_FLIGHT_MAX as u64 * 1_000);
        let limit = room.min((self.grant_budget_milli / 1_000) as usize);
        let due = self.renewals.iter().filter(|(_, r)| {
            let unanswered = || self.bounds.get(&r.owner).map_or(0, |b| b.unanswered);
            !r.in_flight
                && now >= r.next_at
                && unanswered() < UNANSWERED_MAX
                && !self.is_silent(&r.owner, now)
                && state.find_live(&r.owner).is_some()
        });
        let mut due: Vec<(Mono, GrantId)> = due.map(|(p, r)| (r.next_at, p.clone())).collect();
        due.sort();
        due.truncate(limit);
        self.grant_budget_milli -= due.len() as u64 * 1_000;
        for (_, grant_id) in due {
            let id = self.next_call();
            let Some(renewal) = self.renewals.get_mut(&grant_id) else {
                continue;
            };
            let (owner, to) = (renewal.owner.clone(), renewal.to);
            let Some(upstream) = state.find_live(&owner) else {
                continue;
            };
            renewal.in_flight = true;
            let handover = renewal.handover.clone();
            let is_renewal = renewal.granted;
            let (service, fence, from) = grant_id.clone();
            let pending = PendingCall::Grant {
                owner,
                grant_id,
                to,
            };
            self.pending_calls.insert(id, pending);
            output.calls.push(Call {
                id,
                address: upstream.address,
                upstream: upstream.incarnation.id.clone(),
                service,
                from,
                to,
                fence,
                kind: CallKind::Grant {
                    hold_ms: self.hold_ms,
                    handover,
                    is_renewal,
                },
                timeout_ms: GRANT_TIMEOUT_MS,
            });
        }
    }

    fn grants_in_flight(&self) -> usize {
        let is_grant = |p: &&PendingCall| matches!(p, PendingCall::Grant { .. });
        self.pending_calls.values().filter(is_grant).count()
    }

    pub(super) fn releases_in_flight(&self) -> usize {
        self.pending_calls.len() - self.grants_in_flight()
    }
}
