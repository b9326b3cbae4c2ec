//! The work of a leader: its lease, grants, membership changes and replies.

use super::*;
use crate::rate_limit::RateLimit;

use super::super::model::Incarnation;
use super::super::permits::PermitCounts;
use super::super::protocol::PermitRequest;
use super::super::suspects::{ready_versions, Stage};

/// How long an upstream gets no permits once a limit was inferred, in milliseconds: it has a queue from before the
/// entry hosts knew of the limit, and gives away keys only after the work on them has ended.
const BACKLOG_PAUSE_MS: u64 = 1_000;
/// The maximum number of hosts that an event names.
const HOSTS_LOGGED_MAX: usize = 8;

impl<T> LeaderState<T> {
    /// Acknowledges a committed change once entry hosts have received it.
    pub(super) fn ack_once_received(&mut self, change: Change, reply_to: T, now: Mono) {
        self.pending_acks.push(PendingAck {
            reply_to,
            change,
            deadline: now.plus(ACK_TIMEOUT_MS),
        });
    }

    /// Reports whether all entry hosts that watch the directory have received a change, as far as this leader
    /// can tell.
    fn has_reached_watchers(&self, change: Change, now: Mono) -> bool {
        now.since(self.elected_at) >= WATCHER_DISCOVERY_MS
            && self
                .watchers
                .values()
                .all(|w| change.is_covered_by(&w.known_versions))
    }

    /// Returns the event for a change that is acknowledged before all watchers have received it.
    fn acked_without_hosts_event(&self, ack: &PendingAck<T>, now: Mono) -> Event {
        let lacks = |w: &Watcher| !ack.change.is_covered_by(&w.known_versions);
        let lacking = self.watchers.iter().filter(|(_, w)| lacks(w));
        let mut names: Vec<&str> = lacking.map(|(name, _)| name.as_str()).collect();
        let hosts = names.len() as u64;
        names.truncate(HOSTS_LOGGED_MAX);
        let (change, version) = match ack.change {
            Change::Upstreams(index) => ("upstreams", index),
            Change::Config(version) => ("config", version),
        };
        Event::AckedWithoutHosts {
            change: change.to_string(),
            version,
            waited_ms: ACK_TIMEOUT_MS + now.since(ack.deadline),
            hosts,
            names: names.join(","),
            leads_for_ms: now.since(self.elected_at),
        }
    }

    /// Returns the position of a host's pending watch request, which it gave up if it sends a new one.
    pub(super) fn watch_position(&self, host: &str) -> Option<usize> {
        let is_of_host = |pending: &PendingRequest<T>| {
            matches!(
                &pending.request,
                DirectoryRequest::Watch { host: h, .. } if h == host
            )
        };
        self.pending_requests.iter().position(is_of_host)
    }

    /// Issues permits for upstreams with a rate limit, while the lease rules out another leader that issues
    /// them as well.
    pub(super) fn issue_permits(
        &mut self,
        host: &str,
        requests: &[PermitRequest],
        now: Mono,
        events: &mut Vec<Event>,
    ) -> Reply {
        if now >= self.lease_until {
            return Reply::NotLeader(None);
        }
        let mut grants = Vec::new();
        for request in requests {
            if let Some((before, limit)) = self.permits.record(request, now) {
                self.lessor.set_rate_limits(self.permits.limits());
                events.push(Event::RateLimitReported {
                    upstream: request.known.upstream.id.clone(),
                    from_milli_per_s: before.map_or(0, RateLimit::milli_per_s),
                    to_milli_per_s: limit.map_or(0, RateLimit::milli_per_s),
                    age_ms: request.known.age_ms,
                });
            }
            grants.push(self.permits.issue(request, now));
        }
        let pause_ms = self.permits.record_request(host, now);
        Reply::Permits { grants, pause_ms }
    }
}

impl<S: Store, T> Replica<S, T> {
    /// Handles a request about suspected requests.
    pub(super) fn handle_suspect_request(
        &mut self,
        request: DirectoryRequest,
        reply_to: T,
        now: Mono,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let suspects = &self.state.suspects;
        match request {
            DirectoryRequest::ReportCrashes {
                host,
                mut crashes,
                mut acquittals,
                unused_trials,
            } => {
                crashes.retain(|report| suspects.is_news(report));
                acquittals.retain(|acquittal| suspects.get(&acquittal.id).is_some());
                if crashes.is_empty() && acquittals.is_empty() && unused_trials.is_empty() {
                    self.output.replies.push((reply_to, Reply::Done));
                    return;
                }
                let command = Command::RecordCrashes {
                    host,
                    crashes,
                    acquittals,
                    unused_trials,
                };
                self.propose(command, reply_to, now);
            }
            DirectoryRequest::BeginTrial { id, for_ms } => {
                if now >= leader_state.lease_until {
                    self.output.replies.push((reply_to, Reply::NotLeader(None)));
                    return;
                }
                let versions = ready_versions(self.state.upstreams.values(), &id.service);
                let suspect = suspects.get(&id).filter(|s| s.stage() > Stage::Noted);
                let Some(suspect) = suspect else {
                    self.output.replies.push((reply_to, Reply::NotSuspected));
                    return;
                };
                let is_replaced = suspect.is_untried_at(&versions);
                leader_state.trials.retain(|id| suspects.get(id).is_some());
                let wait_ms = leader_state.trials.wait_ms(&id, suspect, is_replaced, now);
                if wait_ms > 0 {
                    let reply = Reply::NoTrial { wait_ms };
                    self.output.replies.push((reply_to, reply));
                    return;
                }
                leader_state.trials.begin(&id, for_ms, now);
                self.propose(Command::BeginTrial(id, versions), reply_to, now);
            }
            DirectoryRequest::ClearSuspect(id) => {
                self.propose(Command::ClearSuspect(id), reply_to, now);
            }
            _ => {
                let (listed, _) = suspects.listed_since(0);
                self.output
                    .replies
                    .push((reply_to, Reply::Suspects(listed)));
            }
        }
    }

    /// Returns the rate limits in force with the permits issued since the last call, while this replica leads.
    pub fn take_permit_counts(&mut self) -> Vec<(Incarnation, RateLimit, PermitCounts)> {
        let leader_state = self.leader_state.as_mut();
        leader_state.map_or(Vec::new(), |l| l.permits.take_counts())
    }

    pub(super) fn end_leadership(&mut self, leader_state: LeaderState<T>) {
        self.output.events.push(Event::LeaderLost {
            cell: LOG_NAME.to_string(),
            term: leader_state.term,
        });
        let pending_requests = leader_state
            .pending_requests
            .into_iter()
            .map(|pending| pending.reply_to);
        let pending_acks = leader_state.pending_acks.into_iter().map(|s| s.reply_to);
        let proposed = leader_state
            .proposals
            .into_values()
            .map(|(_, reply_to)| reply_to);
        let leader = self.leader_address();
        for reply_to in pending_requests.chain(proposed).chain(pending_acks) {
            let reply = Reply::NotLeader(leader.clone());
            self.output.replies.push((reply_to, reply));
        }
    }

    /// Extends the lease after a majority has answered a heartbeat: it grants no vote for an election timeout
    /// after its answer, so no other replica can be elected meanwhile. The lease counts from the sending of
    /// the heartbeat, which precedes all answers.
    pub(super) fn extend_lease(&mut self, now: Mono) {
        let round = self.raft.current_round().unwrap_or(0);
        let confirmed = self.raft.confirmed_round().unwrap_or(0);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if leader_state
            .heartbeat_rounds
            .back()
            .is_none_or(|(newest, _)| *newest < round)
        {
            leader_state.heartbeat_rounds.push_back((round, now));
        }
        while let Some((oldest_round, sent_at)) = leader_state.heartbeat_rounds.front().copied() {
            if oldest_round > confirmed {
                break;
            }
            let until = sent_at.plus(self.timing.election_ms - LEASE_MARGIN_MS);
            leader_state.lease_until = leader_state.lease_until.max(until);
            leader_state.heartbeat_rounds.pop_front();
        }
    }

    pub(super) fn step_lessor(&mut self, now: Mono) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if now.since(leader_state.lessor_stepped_at) < LESSOR_INTERVAL_MS
            || leader_state.lessor_pending_index > self.applied_index
        {
            return;
        }
        leader_state.lessor_stepped_at = now;
        let may_call = now < leader_state.lease_until;
        let output = leader_state.lessor.step(&self.state, now, may_call);
        self.output.calls.extend(output.calls);
        self.output.calls_until = leader_state.lease_until;
        for change in leader_state.lessor.infer_limits(&self.state, now) {
            leader_state
                .permits
                .set_inferred(&change, BACKLOG_PAUSE_MS, now);
            self.output.events.push(Event::LimitInferred {
                upstream: change.upstream.id,
                from_milli_per_s: change.before.map_or(0, RateLimit::milli_per_s),
                to_milli_per_s: change.limit.map_or(0, RateLimit::milli_per_s),
                demand_milli_per_s: (change.demand_per_s * 1_000.0) as u64,
            });
        }
        let mut commands = output.commands;
        let is_expired = |id: &String| {
            let heard_at = leader_state.last_heard.get(id).copied().unwrap_or(now);
            now.since(heard_at) > FORGET_AFTER_MS
        };
        let expired: Vec<_> = self
            .state
            .upstreams
            .values()
            .filter(|u| is_expired(&u.incarnation.id))
            .map(|u| u.incarnation.clone())
            .collect();
        if !expired.is_empty() {
            commands.push(Command::Forget(expired));
        }
        let expired = leader_state
            .departure_ages
            .expired(&self.state.departures, now);
        if !expired.is_empty() {
            commands.push(Command::ForgetDepartures(expired));
        }
        for command in commands {
            let payload = Payload::Command(encode(&command));
            match self.raft.propose(payload, now) {
                Ok(index) => leader_state.lessor_pending_index = index,
                Err(_) => break,
            }
        }
    }

    pub(super) fn manage_membership(&mut self, now: Mono) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some(next) = leader_state.membership_planner.next_change(&self.raft, now) else {
            return;
        };
        // The log refuses it while an earlier change isn't committed; the next step proposes it again.
        let _ = self.raft.propose(Payload::Membership(next), now);
    }

    pub(super) fn answer_pending_requests(&mut self, now: Mono) {
        let confirmed = self.raft.confirmed_round().unwrap_or(0);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state
            .watchers
            .retain(|_, w| now.since(w.received_at) < WATCHER_EXPIRY_MS);
        for ack in std::mem::take(&mut leader_state.pending_acks) {
            if leader_state.has_reached_watchers(ack.change, now) {
                self.output.replies.push((ack.reply_to, Reply::Done));
            } else if now >= ack.deadline {
                let event = leader_state.acked_without_hosts_event(&ack, now);
                self.output.events.push(event);
                self.output.replies.push((ack.reply_to, Reply::Done));
            } else {
                leader_state.pending_acks.push(ack);
            }
        }
        let has_lease = now < leader_state.lease_until;
        let refill = now.since(leader_state.budget_refilled_at) * UPDATE_BUDGET_PER_S;
        leader_state.update_budget_milli =
            (leader_state.update_budget_milli + refill).min(UPDATE_BURST * 1_000);
        leader_state.budget_refilled_at = now;
        // Most watchers have the same versions, so an update is reused for the next one. The request that has
        // waited longest is first.
        let mut cached_update: Option<((Versions, u64, u64), Update)> = None;
        let state = &self.state;
        let is_known = |upstream: &Incarnation| state.find_live(upstream).is_some();
        if leader_state.permits.forget_ended(is_known, now) {
            let limits = leader_state.permits.limits();
            leader_state.lessor.set_rate_limits(limits);
        }
        for pending in std::mem::take(&mut leader_state.pending_requests) {
            let is_due = match &pending.request {
                DirectoryRequest::Watch {
                    known_versions,
                    known_limits,
                    known_suspects,
                    ..
                } => {
                    let is_ready = *known_versions != self.state.versions
                        || leader_state.permits.has_news(*known_limits)
                        || *known_suspects != self.state.suspects.version()
                        || now >= pending.hold_until;
                    has_lease && is_ready && leader_state.update_budget_milli >= 1_000
                }
                _ => pending.heartbeat_round <= confirmed,
            };
            if !is_due {
                leader_state.pending_requests.push_back(pending);
                continue;
            }
            let reply = match &pending.request {
                DirectoryRequest::Watch {
                    known_versions,
                    known_limits,
                    known_suspects,
                    ..
                } => {
                    let permits = &leader_state.permits;
                    let known = (*known_versions, *known_limits, *known_suspects);
                    let update = match cached_update.take() {
                        Some((of_known, update)) if of_known == known => update,
                        _ => {
                            let (suspects, suspects_complete) =
                                self.state.suspects.listed_since(*known_suspects);
                            Update {
                                replicas: self.raft.membership().hosts(),
                                entry_hosts: leader_state.watchers.len() as u32,
                                limits_version: permits.version(),
                                limits: match permits.has_news(*known_limits)
                                    || permits.has_inferred()
                                {
                                    true => permits.reports(now),
                                    false => Vec::new(),
                                },
                                suspects_version: self.state.suspects.version(),
                                suspects,
                                suspects_complete,
                                ..self.state.update_since(*known_versions)
                            }
                        }
                    };
                    let cost = update.send_cost() * 1_000;
                    leader_state.update_budget_milli =
                        leader_state.update_budget_milli.saturating_sub(cost);
                    cached_update = Some((known, update.clone()));
                    let held_ms = now.since(pending.received_at);
                    Reply::Update(Box::new(Update { held_ms, ..update }))
                }
                _ => Reply::Config(self.state.config.as_ref().map(|c| c.source.clone())),
            };
            self.output.replies.push((pending.reply_to, reply));
        }
    }
}
