//! Moves of keys between owners: waiting for grants in flight, release, waiting for expiry, new owner.

use super::*;
use crate::rate_limit::RateLimit;

/// The upstreams that ranges may be assigned to in one step, determined when the first range is assigned.
#[derive(Debug, Default)]
pub(super) struct Receivers {
    /// The upstreams by service.
    by_service: BTreeMap<String, BTreeSet<Incarnation>>,
    /// The number of keys of each owner.
    key_counts: Option<BTreeMap<Incarnation, u32>>,
}

impl Lessor {
    /// Sets the rate limits of upstreams. Owners are given no more keys than they can serve within them.
    pub fn set_rate_limits(&mut self, limits: BTreeMap<Incarnation, RateLimit>) {
        self.speeds.set_limits(limits);
    }

    /// Starts moves away from owners that are leaving or lost and, if `plans_loads` is true, moves for load and
    /// merges of small ranges.
    pub(super) fn plan_moves(
        &mut self,
        service: &str,
        state: &State,
        now: Mono,
        plans_loads: bool,
    ) {
        let Some(table) = state.owners.get(service) else {
            return;
        };
        let candidates = self.candidates(service, state, now);
        if candidates.is_empty() {
            return;
        }
        let receivers = self.receivers(&candidates, state);
        self.hot_key_moves
            .retain(|_, at| now.since(*at) < HOT_KEY_COOLDOWN_MS);
        let mut ongoing: Vec<OngoingMove> = self
            .moves
            .iter()
            .filter(|m| m.service == service)
            .map(|m| OngoingMove {
                from: m.from,
                to: m.to,
                receiver: m.receiver.clone(),
            })
            .collect();
        // Keys in their cooldown count as moving to their present owner.
        let cooling = self
            .hot_key_moves
            .keys()
            .filter(|(name, _)| name == service);
        ongoing.extend(cooling.filter_map(|(_, key)| {
            let owner = table.owner_of(*key)?.owner.clone();
            Some(OngoingMove {
                from: *key,
                to: *key,
                receiver: Some(owner),
            })
        }));
        let recent = self
            .recent_moves
            .iter()
            .filter(|((name, ..), _)| name == service);
        let recent: Vec<RecentMove> = recent
            .filter(|(_, m)| now.since(m.moved_at) < MOVE_COOLDOWN_MS)
            .map(|((_, from, to), m)| RecentMove {
                from: *from,
                to: *to,
                former_owner: m.former_owner.clone(),
            })
            .collect();
        let mut new_moves: Vec<(KeyRange, Option<Incarnation>)> = Vec::new();
        for range in table.ranges.values() {
            if candidates.contains(&range.owner)
                || self.is_evacuated_by_handover(&range.owner, state, now)
            {
                continue;
            }
            for (from, to) in self.parts_not_moving(service, range) {
                let part = KeyRange {
                    from,
                    to,
                    ..range.clone()
                };
                new_moves.push((part, None));
            }
        }
        let room = MOVES_MAX.saturating_sub(self.moves.len());
        let no_rates = KeyRates::default();
        let planner = TransferPlanner {
            table,
            rates: self.rates.get(service).unwrap_or(&no_rates),
            speeds: &self.speeds,
            owners: &candidates,
            receivers: &receivers,
            ongoing_moves: &ongoing,
            recent_moves: &recent,
        };
        let to_evacuate = self.ranges_to_evacuate(service, state, now);
        let evacuations = self.plan_evacuation(&planner, &to_evacuate, state);
        let room = self.room_beside_evacuations(room, &to_evacuate, now);
        let (mut load_transfers, mut merges) = (Vec::new(), Vec::new());
        if plans_loads {
            load_transfers = planner.transfers(room);
            let room = room - load_transfers.len().min(room);
            merges = self.plan_merges(service, table, &receivers, room);
        }
        merges.retain(|t| {
            load_transfers
                .iter()
                .all(|l| l.to < t.from || t.to < l.from)
        });
        let hot_keys = load_transfers.iter().filter(|t| t.from == t.to);
        let hot_keys = hot_keys.map(|t| ((service.to_string(), t.from), now));
        self.hot_key_moves.extend(hot_keys);
        self.recent_moves
            .retain(|_, m| now.since(m.moved_at) < MERGE_COOLDOWN_MS);
        self.recent_moves
            .extend(load_transfers.iter().chain(&merges).map(|t| {
                let record = MoveRecord {
                    former_owner: t.donor.clone(),
                    moved_at: now,
                };
                ((service.to_string(), t.from, t.to), record)
            }));
        let transfers = load_transfers.into_iter().chain(merges);
        for transfer in transfers.chain(evacuations) {
            let Some(range) = table.owner_of(transfer.from) else {
                continue;
            };
            let part = KeyRange {
                from: transfer.from,
                to: transfer.to,
                ..range.clone()
            };
            new_moves.push((part, Some(transfer.receiver)));
        }
        for (range, receiver) in new_moves {
            let granted_by_this_leader = self.is_granted(service, &range);
            self.moves.push(Move {
                service: service.to_string(),
                from: range.from,
                to: range.to,
                fence: range.fence,
                donor: range.owner,
                receiver,
                stage: MoveStage::AwaitingGrants,
                granted_by_this_leader,
                expires_at: now,
                unconfirmed_until: now,
            });
        }
    }

    pub(super) fn advance_moves(
        &mut self,
        state: &State,
        now: Mono,
        may_call: bool,
        output: &mut LessorOutput,
    ) {
        if self.moves.is_empty() {
            return;
        }
        let mut moves = std::mem::take(&mut self.moves);
        let mut receivers = Receivers::default();
        for m in &mut moves {
            self.advance_move(m, state, now, may_call, &mut receivers, output);
        }
        self.moves = moves;
    }

    pub(super) fn advance_move(
        &mut self,
        m: &mut Move,
        state: &State,
        now: Mono,
        may_call: bool,
        receivers: &mut Receivers,
        output: &mut LessorOutput,
    ) {
        let bounds = self.bounds.get(&m.donor).copied().unwrap_or_default();
        if m.stage == MoveStage::AwaitingGrants && !self.has_grant_in_flight(m) {
            let granted_until = bounds.confirmed_until.max(bounds.unconfirmed_until);
            m.expires_at = granted_until.max(bounds.inherited_until);
            m.unconfirmed_until = if m.granted_by_this_leader {
                bounds.unconfirmed_until
            } else {
                bounds.unconfirmed_until.max(bounds.inherited_until)
            };
            m.stage = MoveStage::ReleaseDue(now);
        }
        if let MoveStage::ReleaseDue(at) = m.stage {
            // A successor at the donor's address may have accepted a renewal that was meant for the donor, so
            // the end of a process doesn't end its grants.
            let donor = state.upstreams.get(&m.donor.id);
            let may_release = may_call && self.releases_in_flight() < RELEASES_IN_FLIGHT_MAX;
            if now >= m.expires_at {
                m.stage = MoveStage::AwaitingExpiry(now);
            } else if let (Some(donor), true, true) = (donor, may_release, now >= at) {
                let id = self.next_call();
                self.pending_calls.insert(id, PendingCall::Release);
                output.calls.push(Call {
                    id,
                    address: donor.address,
                    upstream: donor.incarnation.id.clone(),
                    service: m.service.clone(),
                    from: m.from,
                    to: m.to,
                    fence: m.fence,
                    kind: CallKind::Release,
                    timeout_ms: m.expires_at.since(now).max(GRANT_TIMEOUT_MS),
                });
                m.stage = MoveStage::Releasing(id);
            }
        }
        if matches!(m.stage, MoveStage::Releasing(_)) && now >= m.expires_at {
            m.stage = MoveStage::AwaitingExpiry(now);
        }
        let MoveStage::AwaitingExpiry(until) = m.stage else {
            return;
        };
        if now < until {
            return;
        }
        let key_counts = receivers
            .key_counts
            .get_or_insert_with(|| self.key_counts(state));
        let eligible = receivers
            .by_service
            .entry(m.service.clone())
            .or_insert_with(|| {
                let candidates = self.candidates(&m.service, state, now);
                self.receivers(&candidates, state)
            });
        let planned_receiver = m.receiver.clone().filter(|r| eligible.contains(r));
        let least_loaded = || {
            eligible
                .iter()
                .min_by_key(|c| key_counts.get(*c).copied().unwrap_or(0))
                .cloned()
        };
        let Some(owner) = planned_receiver.or_else(least_loaded) else {
            return;
        };
        *key_counts.entry(owner.clone()).or_default() += u32::from(m.to - m.from) + 1;
        output.commands.push(Command::Assign {
            service: m.service.clone(),
            from: m.from,
            to: m.to,
            owner,
        });
        m.stage = MoveStage::Proposed;
    }

    pub(super) fn key_counts(&self, state: &State) -> BTreeMap<Incarnation, u32> {
        let mut counts: BTreeMap<Incarnation, u32> = BTreeMap::new();
        for range in state.owners.values().flat_map(|t| t.ranges.values()) {
            *counts.entry(range.owner.clone()).or_default() += u32::from(range.to - range.from) + 1;
        }
        counts
    }

    /// Reports whether the owner of `part` has acknowledged a grant of it by this leader.
    pub(super) fn is_granted(&self, service: &str, part: &KeyRange) -> bool {
        let first = (service.to_string(), part.fence, 0);
        let last = (service.to_string(), part.fence, part.from);
        let mut preceding = self.renewals.range(first..=last);
        let range = preceding.next_back();
        range.is_some_and(|(_, r)| r.granted && r.to >= part.to)
    }

    pub(super) fn has_grant_in_flight(&self, m: &Move) -> bool {
        self.pending_calls.values().any(|p| match p {
            // Any fencing token counts: parts of a merged range may have been granted under their former
            // ones.
            PendingCall::Grant { grant_id, to, .. } => {
                let (service, _, from) = grant_id;
                *service == m.service && *from <= m.to && *to >= m.from
            }
            PendingCall::Release => false,
        })
    }
}
