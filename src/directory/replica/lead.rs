//! What a replica does while it leads: its lease, grants, members, and answers.

use super::*;

impl<T> Lead<T> {
    /// Has a change that is in the log acknowledged once entry hosts know of it.
    pub(super) fn spread(&mut self, change: Change, token: T, now: Mono) {
        self.spreading.push(Spreading {
            token,
            change,
            answer_by: now.plus(SPREAD_MS),
        });
    }

    /// Tells whether all entry hosts that follow know of a change, as far as this leader can tell yet.
    fn is_known(&self, change: Change, now: Mono) -> bool {
        now.since(self.elected_at) >= GATHER_MS
            && self.followers.values().all(|f| change.is_in(&f.have))
    }
}

impl<S: Store, T> Replica<S, T> {
    /// Works out until when no other replica can have been elected: a majority answered a heartbeat
    /// and gives no vote for the election interval from then on.
    pub(super) fn extend_lease(&mut self, now: Mono) {
        let round = self.raft.current_round().unwrap_or(0);
        let confirmed = self.raft.confirmed_round().unwrap_or(0);
        let Some(lead) = &mut self.lead else {
            return;
        };
        if lead.rounds.back().is_none_or(|(newest, _)| *newest < round) {
            lead.rounds.push_back((round, now));
        }
        while let Some((begun, at)) = lead.rounds.front().copied() {
            if begun > confirmed {
                break;
            }
            let until = at.plus(self.timing.election_ms - LEASE_MARGIN_MS);
            lead.lease_until = lead.lease_until.max(until);
            lead.rounds.pop_front();
        }
    }

    pub(super) fn lend(&mut self, now: Mono) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if now.since(lead.lent_at) < LEND_EVERY_MS || lead.lend_pending > self.applied {
            return;
        }
        lead.lent_at = now;
        let may_call = now < lead.lease_until;
        let step = lead.lessor.step(&self.state, now, may_call);
        self.output.calls.extend(step.calls);
        self.output.calls_until = lead.lease_until;
        let mut commands = step.commands;
        let is_lost = |id: &String| {
            let heard_at = lead.heard.get(id).copied().unwrap_or(now);
            now.since(heard_at) > FORGET_AFTER_MS
        };
        let lost: Vec<_> = self
            .state
            .upstreams
            .values()
            .filter(|u| is_lost(&u.incarnation.id))
            .map(|u| u.incarnation.clone())
            .collect();
        if !lost.is_empty() {
            commands.push(Command::Forget(lost));
        }
        for command in commands {
            let payload = Payload::Command(encode(&command));
            match self.raft.propose(payload, now) {
                Ok(index) => lead.lend_pending = index,
                Err(_) => break,
            }
        }
    }

    pub(super) fn manage_members(&mut self, now: Mono) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(next) = lead.roster.next(&self.raft, now) else {
            return;
        };
        // Refused while an earlier change isn't committed; the next step proposes it again.
        let _ = self.raft.propose(Payload::Membership(next), now);
    }

    pub(super) fn answer(&mut self, now: Mono) {
        let confirmed = self.raft.confirmed_round().unwrap_or(0);
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.followers
            .retain(|_, f| now.since(f.asked_at) < FOLLOWER_GONE_MS);
        for spreading in std::mem::take(&mut lead.spreading) {
            if lead.is_known(spreading.change, now) || now >= spreading.answer_by {
                self.output.replies.push((spreading.token, Reply::Done));
            } else {
                lead.spreading.push(spreading);
            }
        }
        let is_sure = now < lead.lease_until;
        let earned = now.since(lead.answered_at) * UPDATES_PER_S;
        lead.allowance = (lead.allowance + earned).min(UPDATES_AT_ONCE * 1_000);
        lead.answered_at = now;
        // Followers mostly have the same; the longest waiting one comes first.
        let mut made: Option<(Versions, Update)> = None;
        for w in std::mem::take(&mut lead.waiting) {
            let due = match &w.ask {
                Ask::Follow { have, .. } => {
                    let is_news = *have != self.state.versions || now >= w.answer_at;
                    is_sure && is_news && lead.allowance >= 1_000
                }
                _ => w.round <= confirmed,
            };
            if !due {
                lead.waiting.push_back(w);
                continue;
            }
            let reply = match &w.ask {
                Ask::Follow { have, .. } => {
                    let update = match made.take() {
                        Some((of, update)) if of == *have => update,
                        _ => Update {
                            replicas: self.raft.membership().hosts(),
                            entry_hosts: lead.followers.len() as u32,
                            ..self.state.update_since(*have)
                        },
                    };
                    let cost = update.weight() * 1_000;
                    lead.allowance = lead.allowance.saturating_sub(cost);
                    made = Some((*have, update.clone()));
                    let held_ms = now.since(w.asked_at);
                    Reply::Update(Box::new(Update { held_ms, ..update }))
                }
                _ => Reply::Config(self.state.config.as_ref().map(|c| c.source.clone())),
            };
            self.output.replies.push((w.token, reply));
        }
    }
}
