//! Keys on their way from one owner to the next: settling, release, wait, new owner.

use super::*;

impl Lessor {
    /// Starts moves away from owners that leave or are lost, and from those with too much load.
    pub(super) fn plan_moves(&mut self, service: &str, state: &State, now: Mono) {
        let Some(table) = state.owners.get(service) else {
            return;
        };
        let candidates = self.candidates(service, state, now);
        if candidates.is_empty() {
            return;
        }
        self.moved_alone
            .retain(|_, at| now.since(*at) < HOT_KEY_REST_MS);
        let mut moving: Vec<Moving> = self
            .moves
            .iter()
            .filter(|m| m.service == service)
            .map(|m| Moving {
                from: m.from,
                to: m.to,
                receiver: m.receiver.clone(),
            })
            .collect();
        // Keys that rest count as moving to the owner that they have.
        let resting = self.moved_alone.keys().filter(|(of, _)| of == service);
        moving.extend(resting.filter_map(|(_, key)| {
            let owner = table.owner_of(*key)?.owner.clone();
            Some(Moving {
                from: *key,
                to: *key,
                receiver: Some(owner),
            })
        }));
        let moved = self.moved.iter().filter(|((of, ..), _)| of == service);
        let resting: Vec<Resting> = moved
            .filter(|(_, m)| now.since(m.at) < PASSED_ON_REST_MS)
            .map(|((_, from, to), m)| Resting {
                from: *from,
                to: *to,
                former: m.former.clone(),
            })
            .collect();
        let mut started: Vec<(KeyRange, Option<Incarnation>)> = Vec::new();
        for range in table.ranges.values() {
            if candidates.contains(&range.owner) {
                continue;
            }
            for (from, to) in self.settled_parts(service, range) {
                let part = KeyRange {
                    from,
                    to,
                    ..range.clone()
                };
                started.push((part, None));
            }
        }
        let room = MOVES_MAX.saturating_sub(self.moves.len());
        let unknown = KeyRates::default();
        let plan = Plan {
            table,
            rates: self.rates.get(service).unwrap_or(&unknown),
            speeds: &self.speeds,
            owners: &candidates,
            moving: &moving,
            resting: &resting,
        };
        let for_load = plan.transfers(room);
        let room = room - for_load.len().min(room);
        let mut small = self.small_ranges(service, table, &candidates, room);
        small.retain(|t| for_load.iter().all(|l| l.to < t.from || t.to < l.from));
        let hot = for_load.iter().filter(|t| t.from == t.to);
        let hot = hot.map(|t| ((service.to_string(), t.from), now));
        self.moved_alone.extend(hot);
        self.moved.retain(|_, m| now.since(m.at) < MOVED_REST_MS);
        self.moved.extend(for_load.iter().chain(&small).map(|t| {
            let moved = Moved {
                former: t.donor.clone(),
                at: now,
            };
            ((service.to_string(), t.from, t.to), moved)
        }));
        for transfer in for_load.into_iter().chain(small) {
            let Some(range) = table.owner_of(transfer.from) else {
                continue;
            };
            let part = KeyRange {
                from: transfer.from,
                to: transfer.to,
                ..range.clone()
            };
            started.push((part, Some(transfer.receiver)));
        }
        for (range, receiver) in started {
            let has_own_fence = self.is_granted(service, &range);
            self.moves.push(Move {
                service: service.to_string(),
                from: range.from,
                to: range.to,
                fence: range.fence,
                donor: range.owner,
                receiver,
                stage: Stage::Settling,
                has_own_fence,
                expires_at: now,
                doubtful_until: now,
            });
        }
    }

    pub(super) fn advance_moves(
        &mut self,
        state: &State,
        now: Mono,
        may_call: bool,
        step: &mut Step,
    ) {
        if self.moves.is_empty() {
            return;
        }
        let mut moves = std::mem::take(&mut self.moves);
        let mut loads = self.key_counts(state);
        for m in &mut moves {
            self.advance_move(m, state, now, may_call, &mut loads, step);
        }
        self.moves = moves;
    }

    pub(super) fn advance_move(
        &mut self,
        m: &mut Move,
        state: &State,
        now: Mono,
        may_call: bool,
        loads: &mut BTreeMap<Incarnation, u32>,
        step: &mut Step,
    ) {
        let bounds = self.bounds.get(&m.donor).copied().unwrap_or_default();
        if m.stage == Stage::Settling && !self.has_grant_in_flight(m) {
            let own = bounds.confirmed_until.max(bounds.doubtful_until);
            m.expires_at = own.max(bounds.inherited_until);
            m.doubtful_until = if m.has_own_fence {
                bounds.doubtful_until
            } else {
                bounds.doubtful_until.max(bounds.inherited_until)
            };
            m.stage = Stage::Retrying(now);
        }
        if let Stage::Retrying(at) = m.stage {
            // A successor of the donor at its address may have taken a renewal that was meant for it,
            // so that the end of a process isn't the end of what it was granted.
            let donor = state.upstreams.get(&m.donor.id);
            let may_release = may_call && self.releases_in_flight() < RELEASES_IN_FLIGHT_MAX;
            if now >= m.expires_at {
                m.stage = Stage::Waiting(now);
            } else if let (Some(donor), true, true) = (donor, may_release, now >= at) {
                let number = self.number();
                let pending = Pending::Release {
                    service: m.service.clone(),
                    from: m.from,
                };
                self.pending.insert(number, pending);
                step.calls.push(Call {
                    number,
                    address: donor.address,
                    upstream: donor.incarnation.id.clone(),
                    service: m.service.clone(),
                    from: m.from,
                    to: m.to,
                    fence: m.fence,
                    order: Order::Release,
                    timeout_ms: m.expires_at.since(now).max(GRANT_TIMEOUT_MS),
                });
                m.stage = Stage::Releasing;
            }
        }
        if m.stage == Stage::Releasing && now >= m.expires_at {
            m.stage = Stage::Waiting(now);
        }
        let Stage::Waiting(until) = m.stage else {
            return;
        };
        if now < until {
            return;
        }
        let candidates = self.candidates(&m.service, state, now);
        let chosen = m.receiver.clone().filter(|r| candidates.contains(r));
        let fewest = || {
            candidates
                .iter()
                .min_by_key(|c| loads.get(*c).copied().unwrap_or(0))
                .cloned()
        };
        let Some(owner) = chosen.or_else(fewest) else {
            return;
        };
        *loads.entry(owner.clone()).or_default() += u32::from(m.to - m.from) + 1;
        step.commands.push(Command::Assign {
            service: m.service.clone(),
            from: m.from,
            to: m.to,
            owner,
        });
        m.stage = Stage::Proposed;
    }

    pub(super) fn key_counts(&self, state: &State) -> BTreeMap<Incarnation, u32> {
        let mut counts: BTreeMap<Incarnation, u32> = BTreeMap::new();
        for range in state.owners.values().flat_map(|t| t.ranges.values()) {
            *counts.entry(range.owner.clone()).or_default() += u32::from(range.to - range.from) + 1;
        }
        counts
    }

    /// Tells whether the owner of `part` has taken a grant of it from this leader.
    pub(super) fn is_granted(&self, service: &str, part: &KeyRange) -> bool {
        let first = (service.to_string(), part.fence, 0);
        let last = (service.to_string(), part.fence, part.from);
        let mut before = self.renewals.range(first..=last);
        let piece = before.next_back();
        piece.is_some_and(|(_, r)| r.granted && r.to >= part.to)
    }

    pub(super) fn has_grant_in_flight(&self, m: &Move) -> bool {
        self.pending.values().any(|p| match p {
            // Whatever its fence: joined ranges may have been granted under their former ones.
            Pending::Grant { place, to, .. } => {
                let (service, _, from) = place;
                *service == m.service && *from <= m.to && *to >= m.from
            }
            Pending::Release { .. } => false,
        })
    }
}
