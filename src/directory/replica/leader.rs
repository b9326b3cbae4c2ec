//! The work of a leader: its lease, grants, membership changes and replies.

use super::*;
use crate::event::list_names;
use crate::rate_limit::RateLimit;

use super::super::lessor::{Call, CallResult};

use super::super::model::Incarnation;
use super::super::packed::PreparedUpdate;
use super::super::permits::PermitCounts;
use super::super::protocol::{PermitRequest, RenewalResult};
use super::super::renewals::HELPER_LEASE_MAX_MS;
use super::super::suspects::{ready_versions, Stage};

/// The interval at which the leader looks for upstreams that haven't announced themselves for long, in
/// milliseconds.
const SILENCE_CHECK_MS: u64 = 1_000;
/// How long an upstream gets no permits once a limit was inferred, in milliseconds: it has a queue from before the
/// entry hosts knew of the limit, and gives away keys only after the work on them has ended.
const BACKLOG_PAUSE_MS: u64 = 1_000;

/// The versions of the state, the rate limits and the suspected requests that a host has.
type KnownVersions = (Versions, u64, u64);

impl<T> LeaderState<T> {
    /// Acknowledges a committed change once entry hosts have received it.
    pub(super) fn ack_once_received(&mut self, change: Change, reply_to: T, now: Mono) {
        self.pending_acks.push(PendingAck {
            reply_to,
            change,
            deadline: now.plus(ACK_TIMEOUT_MS),
        });
    }

    /// Returns the update for hosts that know the versions `known`.
    fn prepare_update(
        &self,
        known: KnownVersions,
        state: &State,
        raft: &Raft,
        now: Mono,
    ) -> PreparedUpdate {
        let (known_versions, known_limits, known_suspects) = known;
        let (suspects, suspects_complete) = state.suspects.listed_since(known_suspects);
        PreparedUpdate::new(Update {
            replicas: raft.membership().hosts(),
            entry_hosts: self.watchers.len() as u32,
            limits_version: self.permits.version(),
            limits: match self.permits.has_news(known_limits) || self.permits.has_inferred() {
                true => self.permits.reports(now),
                false => Vec::new(),
            },
            suspects_version: state.suspects.version(),
            suspects,
            suspects_complete,
            ..state.update_since(known_versions)
        })
    }

    fn forget_silent_watchers(&mut self, now: Mono) {
        let is_heard = |w: &Watcher| now.since(w.received_at) < WATCHER_EXPIRY_MS;
        self.watchers.retain(|_, w| is_heard(w));
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
        let names: Vec<String> = lacking.map(|(name, _)| name.clone()).collect();
        let hosts = names.len() as u64;
        let (change, version) = match ack.change {
            Change::Upstreams(index) => ("upstreams", index),
            Change::Config(version) => ("config", version),
            Change::Evacuations(index) => ("evacuations", index),
        };
        Event::AckedWithoutHosts {
            change: change.to_string(),
            version,
            waited_ms: ACK_TIMEOUT_MS + now.since(ack.deadline),
            hosts,
            names: list_names(names, ","),
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

    /// Records the results of a directory host's calls and returns its next calls.
    pub(super) fn exchange_renewals(
        &mut self,
        host: &str,
        received: u64,
        results: &[RenewalResult],
        now: Mono,
    ) -> Reply {
        for finished in results {
            // The call ended no later than this, as its age was taken before the request was sent.
            let finished_at = Mono(now.0.saturating_sub(finished.age_ms));
            self.renewals
                .record_result(finished.id, &finished.result, now);
            let result = finished.result.clone();
            self.lessor
                .handle_call_result(finished.id, result, finished_at);
        }
        let lease_ms = self.lease_until.since(now).min(HELPER_LEASE_MAX_MS);
        let batch = self.renewals.take(host, received, lease_ms, now);
        Reply::Renewals {
            calls: batch.calls,
            number: batch.number,
            lease_ms,
            pause_ms: batch.pause_ms,
        }
    }

    /// Returns the calls that the leader makes itself; the others are assigned to other directory hosts.
    fn share_calls(&mut self, calls: Vec<Call>, now: Mono) -> Vec<Call> {
        let per_s = self.lessor.grants_per_s();
        let mut own = self.renewals.assign(calls, per_s, now);
        own.extend(self.renewals.take_unfetched(now));
        self.lessor.set_helpers(self.renewals.helpers(now));
        own
    }
}

impl<S: Store, T> Replica<S, T> {
    pub(super) fn propose(&mut self, command: Command, reply_to: T, now: Mono) {
        let payload = Payload::Command(encode(&command));
        let term = self.raft.term();
        match (self.raft.propose(payload, now), &mut self.leader_state) {
            (Ok(index), Some(leader_state)) => {
                leader_state.proposals.insert(index, (term, reply_to));
            }
            _ => {
                let reply = Reply::NotLeader(self.leader_address());
                self.output.replies.push((reply_to, reply));
            }
        }
    }

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

    /// Returns the number of services whose owners may be in any region because the regions that their routes
    /// allow have no upstream; 0 unless this replica leads.
    pub fn services_outside_regions(&self) -> usize {
        let leader_state = self.leader_state.as_ref();
        leader_state.map_or(0, |l| l.lessor.services_outside_regions())
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
        leader_state.sync_cold_limits(&self.state, now);
        let may_call = now < leader_state.lease_until;
        for lost in leader_state.renewals.take_lost(now) {
            let lessor = &mut leader_state.lessor;
            lessor.handle_call_result(lost, CallResult::Unknown, now);
        }
        let output = leader_state.lessor.step(&self.state, now, may_call);
        let own_calls = leader_state.share_calls(output.calls, now);
        self.output.calls.extend(own_calls);
        self.output.events.extend(output.events);
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
        if now.since(leader_state.silence_checked_at) >= SILENCE_CHECK_MS {
            leader_state.silence_checked_at = now;
            let is_expired = |id: &String| {
                let heard_at = leader_state.last_heard.get(id).copied().unwrap_or(now);
                now.since(heard_at) > FORGET_AFTER_MS
            };
            let upstreams = self.state.upstreams.values().map(|u| &u.incarnation);
            let expired: Vec<_> = upstreams.filter(|i| is_expired(&i.id)).cloned().collect();
            if !expired.is_empty() {
                commands.push(Command::Forget(expired));
            }
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
        if !leader_state.pending_acks.is_empty() {
            leader_state.forget_silent_watchers(now);
        }
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
        let mut prepared_update: Option<(KnownVersions, PreparedUpdate)> = None;
        let state = &self.state;
        let is_known = |upstream: &Incarnation| state.find_live(upstream).is_some();
        if leader_state.permits.forget_ended(is_known, now) {
            let limits = leader_state.permits.limits();
            leader_state.lessor.set_rate_limits(limits);
        }
        let versions = state.versions;
        let suspects_version = state.suspects.version();
        let is_due = |pending: &PendingRequest<T>, permits: &PermitIssuer, budget_milli: u64| {
            let DirectoryRequest::Watch {
                known_versions,
                known_limits,
                known_suspects,
                ..
            } = &pending.request
            else {
                return pending.heartbeat_round <= confirmed;
            };
            let is_ready = *known_versions != versions
                || permits.has_news(*known_limits)
                || *known_suspects != suspects_version
                || now >= pending.hold_until;
            has_lease && is_ready && budget_milli >= 1_000
        };
        let budget_milli = leader_state.update_budget_milli;
        let permits = &leader_state.permits;
        let mut pending_requests = leader_state.pending_requests.iter();
        if !pending_requests.any(|p| is_due(p, permits, budget_milli)) {
            return;
        }
        leader_state.forget_silent_watchers(now);
        for pending in std::mem::take(&mut leader_state.pending_requests) {
            if !is_due(
                &pending,
                &leader_state.permits,
                leader_state.update_budget_milli,
            ) {
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
                    let known = (*known_versions, *known_limits, *known_suspects);
                    let prepared = match prepared_update.take() {
                        Some((of_known, prepared)) if of_known == known => prepared,
                        _ => leader_state.prepare_update(known, state, &self.raft, now),
                    };
                    let cost = prepared.send_cost() * 1_000;
                    leader_state.update_budget_milli =
                        leader_state.update_budget_milli.saturating_sub(cost);
                    let reply = prepared.reply(now.since(pending.received_at));
                    prepared_update = Some((known, prepared));
                    reply
                }
                _ => Reply::Config(self.state.config.as_ref().map(|c| c.source.clone())),
            };
            self.output.replies.push((pending.reply_to, reply));
        }
    }
}
