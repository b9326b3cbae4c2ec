//! One replica of a cell: its log, its state machine and the requests that await an answer.
//!
//! Time and messages are passed in; messages and replies to send are returned as [`Output`]. The only
//! side effect is on the [`Store`], which is written before anything that depends on it is returned.

use std::collections::{BTreeMap, VecDeque};

use error_stack::Report;
use serde::Serialize;

use crate::clock::Mono;
use crate::event::Event;
use crate::raft::{
    Entry, HardState, Log, Membership, Message, Payload, Raft, Ready, ReplicaId, Snapshot, Timing,
};
use crate::storage::StorageError;

use super::command_events::command_events;
use super::membership::next_membership;
use super::ownership::{LeaseTiming, Ownership, RegionPosition};
use super::request::{Heartbeat, Inspection, LeaderRequest, RenewedLease, Reply};
use super::state::{Command, Outcome, State};
use super::store::Store;

/// Maximum time that a lease renewal waits for a state change before it is answered, in milliseconds.
pub const RENEWAL_WAIT_MAX_MS: u64 = 500;
/// Interval between two evaluations of leases and placement while there are changes, in milliseconds.
const DECIDE_INTERVAL_MS: u64 = 20;
/// The same interval without changes, in milliseconds; expired leases are noticed this way.
const DECIDE_IDLE_INTERVAL_MS: u64 = 250;

/// Messages, replies and events that a step produced.
#[derive(Debug)]
pub struct Output<T> {
    /// Messages to other replicas.
    pub messages: Vec<Message>,
    /// Replies to requests, each with the request's token.
    pub replies: Vec<(T, Reply)>,
    /// Events for the log and the timeline.
    pub events: Vec<Event>,
}

impl<T> Default for Output<T> {
    fn default() -> Output<T> {
        Output {
            messages: Vec::new(),
            replies: Vec::new(),
            events: Vec::new(),
        }
    }
}

#[derive(Debug)]
struct PendingRequest<T> {
    round: u64,
    reply_by: Mono,
    request: LeaderRequest,
    token: T,
}

#[derive(Debug)]
struct PendingProposal<T> {
    term: u64,
    token: T,
}

/// State that a replica keeps only while it leads.
#[derive(Debug)]
struct LeaderState<T> {
    term: u64,
    ownership: Ownership,
    pending: VecDeque<PendingRequest<T>>,
    proposals: BTreeMap<u64, PendingProposal<T>>,
    last_command_index: u64,
    last_decided_at: Mono,
    last_decided_version: u64,
    joining: BTreeMap<String, ReplicaId>,
}

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Region of the cell.
    pub cell: String,
    /// Name of this host.
    pub host: String,
    /// Position of the region in the deployment's list of regions.
    pub region: RegionPosition,
    /// Intervals of the replicated log.
    pub raft: Timing,
    /// Lease durations.
    pub lease: LeaseTiming,
}

/// Stored state and seed that a replica starts with.
#[derive(Debug)]
pub struct StartState {
    /// The replica's id.
    pub id: ReplicaId,
    /// The stored hard state.
    pub hard: HardState,
    /// The stored snapshot and the entries after it.
    pub log: Log,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// One replica of a cell.
#[derive(Debug)]
pub struct Replica<S, T> {
    config: ReplicaConfig,
    raft: Raft,
    store: S,
    state: State,
    applied: u64,
    leader_state: Option<LeaderState<T>>,
    output: Output<T>,
}

impl<S: Store, T> Replica<S, T> {
    /// Returns a replica that continues from its stored state.
    pub fn open(config: ReplicaConfig, store: S, start: StartState, now: Mono) -> Replica<S, T> {
        let snapshot = start.log.snapshot();
        let state = decode_state(snapshot);
        let applied = snapshot.index;
        let raft = Raft::open(
            start.id,
            config.raft,
            start.hard,
            start.log,
            now,
            start.seed,
        );
        Replica {
            config,
            raft,
            store,
            state,
            applied,
            leader_state: None,
            output: Output::default(),
        }
    }

    /// Returns the state machine as applied by this replica.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the replica of the log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the store.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Consumes the replica and returns its store.
    pub fn into_store(self) -> S {
        self.store
    }

    /// Reports whether this replica leads and answers requests.
    pub fn is_leader(&self) -> bool {
        self.leader_state.is_some()
    }

    /// Advances timers to `now`.
    pub fn tick(&mut self, now: Mono) -> Result<Output<T>, Report<StorageError>> {
        self.raft.tick(now);
        self.process_ready(now)
    }

    /// Handles messages from other replicas.
    pub fn receive(
        &mut self,
        messages: Vec<Message>,
        now: Mono,
    ) -> Result<Output<T>, Report<StorageError>> {
        for msg in messages {
            self.raft.receive(msg, now);
        }
        self.process_ready(now)
    }

    /// Handles requests; each token is returned with its reply, in this or a later output.
    pub fn handle_requests(
        &mut self,
        requests: Vec<(LeaderRequest, T)>,
        now: Mono,
    ) -> Result<Output<T>, Report<StorageError>> {
        for (request, token) in requests {
            self.handle_request(request, token, now);
        }
        self.process_ready(now)
    }

    fn handle_request(&mut self, request: LeaderRequest, token: T, now: Mono) {
        let leader_host = self.leader_host();
        let Some(leader) = &mut self.leader_state else {
            self.output
                .replies
                .push((token, Reply::NotLeader(leader_host)));
            return;
        };
        let mut reply_by = now;
        match request {
            LeaderRequest::Apply(command) => {
                self.propose(command, token, now);
                return;
            }
            LeaderRequest::Join(join) => {
                leader.joining.insert(join.host, join.replica);
                self.output.replies.push((token, Reply::Acknowledged));
                return;
            }
            LeaderRequest::Release(router) => {
                leader.ownership.release_route(&router);
                self.output.replies.push((token, Reply::Acknowledged));
                return;
            }
            LeaderRequest::Renew(ref renewal) => {
                let router = &renewal.router;
                leader
                    .ownership
                    .acknowledge_route(router, renewal.drained_version);
                for report in &renewal.loads {
                    leader.ownership.record_load(report);
                }
                reply_by = now.plus(RENEWAL_WAIT_MAX_MS);
            }
            LeaderRequest::Heartbeats(ref list) => {
                for h in list {
                    leader
                        .ownership
                        .acknowledge_grant(h.upstream, h.acked_version);
                }
            }
            LeaderRequest::Inspect => {}
        }
        let round = self.raft.current_round().unwrap_or(0) + 1;
        leader.pending.push_back(PendingRequest {
            round,
            reply_by,
            request,
            token,
        });
    }

    fn propose(&mut self, command: Command, token: T, now: Mono) {
        let payload = Payload::Command(encode(&command));
        let term = self.raft.term();
        match self.raft.propose(payload, now) {
            Ok(index) => {
                if let Some(leader) = &mut self.leader_state {
                    leader
                        .proposals
                        .insert(index, PendingProposal { term, token });
                }
            }
            Err(_) => {
                let leader_host = self.leader_host();
                self.output
                    .replies
                    .push((token, Reply::NotLeader(leader_host)));
            }
        }
    }

    fn leader_host(&self) -> Option<String> {
        let leader = self.raft.leader()?;
        let replicas = self.raft.membership().replicas();
        let mut with_id = replicas.filter(|(id, _)| *id == leader);
        with_id.next().map(|(_, host)| host.clone())
    }

    /// Stores, applies and proposes until nothing is left to do, and returns the output.
    fn process_ready(&mut self, now: Mono) -> Result<Output<T>, Report<StorageError>> {
        loop {
            let ready = self.raft.take_ready();
            let is_idle = ready.committed.is_empty() && ready.entries.is_empty();
            self.store_ready(ready, now)?;
            self.update_leadership();
            if is_idle {
                self.propose_decisions(now);
                self.propose_membership(now);
                if !self.raft.has_ready() {
                    break;
                }
            }
        }
        self.reply_to_pending(now);
        self.compact()?;
        Ok(std::mem::take(&mut self.output))
    }

    fn store_ready(&mut self, ready: Ready, now: Mono) -> Result<(), Report<StorageError>> {
        if let Some(snapshot) = &ready.snapshot {
            self.store.append(ready.hard, &[])?;
            self.store.save_snapshot(snapshot, &ready.entries)?;
            self.state = decode_state(snapshot);
            self.applied = snapshot.index;
            self.output.events.push(Event::SnapshotInstalled {
                cell: self.config.cell.clone(),
                index: snapshot.index,
            });
        } else {
            self.store.append(ready.hard, &ready.entries)?;
        }
        self.output.messages.extend(ready.messages);
        for entry in ready.committed {
            self.apply(entry, now);
        }
        Ok(())
    }

    fn apply(&mut self, entry: Entry, now: Mono) {
        assert_eq!(
            entry.index,
            self.applied + 1,
            "entries must be applied in order"
        );
        self.applied = entry.index;
        match entry.payload {
            Payload::Noop => {}
            Payload::Membership(m) => self.record_membership(&m),
            Payload::Command(bytes) => {
                let command: Command =
                    postcard::from_bytes(&bytes).expect("committed commands must decode");
                let outcome = self.state.apply(command.clone());
                self.record_command(&command, &outcome);
                self.reply_to_proposer(entry.term, entry.index, outcome, now);
            }
        }
    }

    fn reply_to_proposer(&mut self, term: u64, index: u64, outcome: Outcome, now: Mono) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if let Outcome::Announced(id) = outcome {
            leader.ownership.assume_grant(id, now);
        }
        let Some(proposal) = leader.proposals.remove(&index) else {
            return;
        };
        if proposal.term == term {
            let reply = Reply::Applied(outcome);
            self.output.replies.push((proposal.token, reply));
        }
    }

    fn update_leadership(&mut self) {
        let is_leader = self.raft.is_caught_up_leader();
        let term = self.raft.term();
        let is_same_term = self.leader_state.as_ref().is_some_and(|l| l.term == term);
        if is_leader && is_same_term {
            return;
        }
        if let Some(leader) = self.leader_state.take() {
            self.end_leadership(leader);
        }
        let Some(elected_at) = self.raft.elected_at().filter(|_| is_leader) else {
            return;
        };
        self.output.events.push(Event::LeaderElected {
            cell: self.config.cell.clone(),
            term,
        });
        self.leader_state = Some(LeaderState {
            term,
            ownership: Ownership::new(self.config.lease, self.config.region, elected_at),
            pending: VecDeque::new(),
            proposals: BTreeMap::new(),
            last_command_index: 0,
            last_decided_at: Mono::default(),
            last_decided_version: 0,
            joining: BTreeMap::new(),
        });
    }

    fn end_leadership(&mut self, leader: LeaderState<T>) {
        self.output.events.push(Event::LeaderLost {
            cell: self.config.cell.clone(),
            term: leader.term,
        });
        let leader_host = self.leader_host();
        let pending = leader.pending.into_iter().map(|r| r.token);
        let proposed = leader.proposals.into_values().map(|p| p.token);
        for token in pending.chain(proposed) {
            let reply = Reply::NotLeader(leader_host.clone());
            self.output.replies.push((token, reply));
        }
    }

    /// Proposes the commands that leases and placement call for, once the previous ones are applied.
    fn propose_decisions(&mut self, now: Mono) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let has_changes = leader.ownership.has_unhandled_acks()
            || leader.last_decided_version != self.state.version;
        let wait_ms = if has_changes {
            DECIDE_INTERVAL_MS
        } else {
            DECIDE_IDLE_INTERVAL_MS
        };
        if leader.last_command_index > self.applied || now.since(leader.last_decided_at) < wait_ms {
            return;
        }
        leader.last_decided_at = now;
        leader.last_decided_version = self.state.version;
        for command in leader.ownership.next_commands(&self.state, now) {
            let payload = Payload::Command(encode(&command));
            if let Ok(index) = self.raft.propose(payload, now) {
                leader.last_command_index = index;
            }
        }
    }

    fn reply_to_pending(&mut self, now: Mono) {
        let confirmed_round = self.raft.confirmed_round().unwrap_or(0);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let pending = std::mem::take(&mut leader.pending);
        for queued in pending {
            let has_changes = match &queued.request {
                LeaderRequest::Renew(renewal) => renewal.table_version != self.state.version,
                _ => true,
            };
            let is_due = has_changes || now >= queued.reply_by;
            if queued.round > confirmed_round || !is_due {
                leader.pending.push_back(queued);
                continue;
            }
            let reply = match queued.request {
                LeaderRequest::Renew(renewal) => {
                    let update = self.state.update_since(renewal.table_version);
                    let drained_version = renewal.drained_version;
                    let lease_ms =
                        leader
                            .ownership
                            .renew_route(renewal.router, drained_version, now);
                    Reply::Renewed(RenewedLease { lease_ms, update })
                }
                LeaderRequest::Heartbeats(list) => {
                    let renew = |h: &Heartbeat| {
                        let ownership = &mut leader.ownership;
                        ownership.renew_grant(&self.state, h.upstream, h.acked_version, now)
                    };
                    Reply::Grants(list.iter().map(renew).collect())
                }
                _ => {
                    let inspection = inspect(
                        &self.config,
                        &self.raft,
                        &self.state,
                        &leader.ownership,
                        now,
                    );
                    Reply::Inspected(Box::new(inspection))
                }
            };
            self.output.replies.push((queued.token, reply));
        }
    }

    /// Proposes the next membership change that makes a joining replica a voter, one change at a time.
    fn propose_membership(&mut self, now: Mono) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let current = self.raft.membership();
        let next = leader
            .joining
            .iter()
            .find_map(|(host, id)| next_membership(&self.raft, current, host, *id));
        let Some(next) = next else {
            return;
        };
        let _ = self.raft.propose(Payload::Membership(next), now);
    }

    fn compact(&mut self) -> Result<(), Report<StorageError>> {
        if !self.store.is_snapshot_due() {
            return Ok(());
        }
        let snapshot = self.raft.compact(encode(&self.state));
        let entries_after = self.raft.log().slice(snapshot.index + 1, usize::MAX);
        self.store.save_snapshot(&snapshot, &entries_after)?;
        self.output.events.push(Event::SnapshotTaken {
            cell: self.config.cell.clone(),
            index: snapshot.index,
            bytes: snapshot.data.len() as u64,
        });
        Ok(())
    }

    fn record_membership(&mut self, membership: &Membership) {
        self.output.events.push(Event::MembershipChanged {
            cell: self.config.cell.clone(),
            voters: membership.voters.values().cloned().collect(),
            learners: membership.learners.values().cloned().collect(),
        });
    }

    /// Records the events of a command. Only the leader does so, so that each change is reported once.
    fn record_command(&mut self, command: &Command, outcome: &Outcome) {
        if self.leader_state.is_none() || *outcome == Outcome::Stale {
            return;
        }
        let events = command_events(&self.config.cell, &self.state, command, outcome);
        self.output.events.extend(events);
    }
}

fn encode<V: Serialize>(value: &V) -> Vec<u8> {
    postcard::to_stdvec(value).expect("states and commands must encode")
}

fn decode_state(snapshot: &Snapshot) -> State {
    if snapshot.data.is_empty() {
        return State::default();
    }
    postcard::from_bytes(&snapshot.data).expect("verified snapshots must decode")
}

fn inspect(
    config: &ReplicaConfig,
    raft: &Raft,
    state: &State,
    ownership: &Ownership,
    now: Mono,
) -> Inspection {
    let voters = raft.membership().voters.iter();
    let lag = |id: &ReplicaId| raft.lag(*id).unwrap_or(0);
    let routers = ownership.live_routers(now).into_iter();
    let grants = state.upstreams.keys();
    Inspection {
        cell: config.cell.clone(),
        region: config.region.index,
        regions: config.region.count,
        leader: config.host.clone(),
        term: raft.term(),
        committed: raft.commit_index(),
        voters: voters.map(|(id, host)| (host.clone(), lag(id))).collect(),
        state: state.clone(),
        routers: routers.map(|(r, version)| (r.host, version)).collect(),
        grants: grants
            .map(|id| (*id, ownership.grant_remaining_ms(*id, now)))
            .collect(),
    }
}
