//! One replica of a cell: its log, its state and the requests that wait for the leader.
//!
//! Time and messages are inputs; what is to be sent comes back as [`Output`]. The only effect is on
//! the [`Store`], which is written before anything that depends on it is handed out.

use std::collections::{BTreeMap, VecDeque};

use error_stack::Report;
use serde::Serialize;

use crate::clock::Mono;
use crate::event::Event;
use crate::raft::{
    Entry, HardState, Log, Membership, Message, Payload, Raft, Ready, ReplicaId, Snapshot, Timing,
};
use crate::storage::StorageError;

use super::ask::{Ask, Heartbeat, Inspection, Renewed, Reply};
use super::describe::describe;
use super::members::next_membership;
use super::ownership::{Home, LeaseTiming, Ownership};
use super::state::{Command, Outcome, State};
use super::store::Store;

/// How long a renewal waits for a change before it is answered all the same, in milliseconds.
pub const RENEWAL_HOLD_MS: u64 = 500;
/// Between two looks at what the leases call for, in milliseconds, while there is news.
const DECIDE_EVERY_MS: u64 = 20;
/// The same without news: leases run out all the same.
const DECIDE_IDLE_MS: u64 = 250;

/// What a step hands out.
#[derive(Debug)]
pub struct Output<T> {
    /// Messages to other replicas.
    pub messages: Vec<Message>,
    /// Answers to requests.
    pub replies: Vec<(T, Reply)>,
    /// What happened.
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
struct Waiting<T> {
    round: u64,
    answer_at: Mono,
    ask: Ask,
    token: T,
}

#[derive(Debug)]
struct Proposal<T> {
    term: u64,
    token: T,
}

/// What a replica keeps while it leads.
#[derive(Debug)]
struct Lead<T> {
    term: u64,
    ownership: Ownership,
    waiting: VecDeque<Waiting<T>>,
    proposals: BTreeMap<u64, Proposal<T>>,
    decided_index: u64,
    decided_at: Mono,
    decided_version: u64,
    joins: BTreeMap<String, ReplicaId>,
}

/// What a replica is part of.
#[derive(Clone, Debug)]
pub struct Place {
    /// The cell's region.
    pub cell: String,
    /// This host.
    pub host: String,
    /// The region's place in the list of regions.
    pub home: Home,
    /// Intervals of the log.
    pub raft: Timing,
    /// Lengths of leases.
    pub lease: LeaseTiming,
}

/// What a replica starts from.
#[derive(Debug)]
pub struct Start {
    /// Its identity.
    pub id: ReplicaId,
    /// Its hard state.
    pub hard: HardState,
    /// Its snapshot and log.
    pub log: Log,
    /// Seeds the spread of its election intervals.
    pub seed: u64,
}

/// One replica of a cell.
#[derive(Debug)]
pub struct Replica<S, T> {
    place: Place,
    raft: Raft,
    store: S,
    state: State,
    applied: u64,
    lead: Option<Lead<T>>,
    output: Output<T>,
}

impl<S: Store, T> Replica<S, T> {
    /// Returns a replica that goes on from what it stored.
    pub fn open(place: Place, store: S, start: Start, now: Mono) -> Replica<S, T> {
        let snapshot = start.log.snapshot();
        let state = decode_state(snapshot);
        let applied = snapshot.index;
        let raft = Raft::open(start.id, place.raft, start.hard, start.log, now, start.seed);
        Replica {
            place,
            raft,
            store,
            state,
            applied,
            lead: None,
            output: Output::default(),
        }
    }

    /// Returns the replicated state as applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the log's replica.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the storage.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Ends the replica and returns its storage.
    pub fn into_store(self) -> S {
        self.store
    }

    /// Tells whether this replica leads and answers requests.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Mono) -> Result<Output<T>, Report<StorageError>> {
        self.raft.tick(now);
        self.settle(now)
    }

    /// Takes messages from other replicas.
    pub fn receive(
        &mut self,
        messages: Vec<Message>,
        now: Mono,
    ) -> Result<Output<T>, Report<StorageError>> {
        for msg in messages {
            self.raft.receive(msg, now);
        }
        self.settle(now)
    }

    /// Takes requests; each token comes back with its answer.
    pub fn ask(
        &mut self,
        asks: Vec<(Ask, T)>,
        now: Mono,
    ) -> Result<Output<T>, Report<StorageError>> {
        for (ask, token) in asks {
            self.take(ask, token, now);
        }
        self.settle(now)
    }

    fn take(&mut self, ask: Ask, token: T, now: Mono) {
        let leader = self.leader_host();
        let Some(lead) = &mut self.lead else {
            self.output.replies.push((token, Reply::NotLeader(leader)));
            return;
        };
        let mut answer_at = now;
        match ask {
            Ask::Apply(command) => {
                self.propose(command, token, now);
                return;
            }
            Ask::Join(join) => {
                lead.joins.insert(join.host, join.replica);
                self.output.replies.push((token, Reply::Noted));
                return;
            }
            Ask::Release(router) => {
                lead.ownership.end_route(&router);
                self.output.replies.push((token, Reply::Noted));
                return;
            }
            Ask::Renew(ref renewal) => {
                let router = &renewal.router;
                lead.ownership.acknowledge_route(router, renewal.drained);
                for report in &renewal.loads {
                    lead.ownership.report_load(report);
                }
                answer_at = now.plus(RENEWAL_HOLD_MS);
            }
            Ask::Heartbeats(ref list) => {
                for h in list {
                    lead.ownership.acknowledge_grant(h.upstream, h.acked);
                }
            }
            Ask::Inspect => {}
        }
        let round = self.raft.current_round().unwrap_or(0) + 1;
        lead.waiting.push_back(Waiting {
            round,
            answer_at,
            ask,
            token,
        });
    }

    fn propose(&mut self, command: Command, token: T, now: Mono) {
        let payload = Payload::Command(encode(&command));
        let term = self.raft.term();
        match self.raft.propose(payload, now) {
            Ok(index) => {
                if let Some(lead) = &mut self.lead {
                    lead.proposals.insert(index, Proposal { term, token });
                }
            }
            Err(_) => {
                let leader = self.leader_host();
                self.output.replies.push((token, Reply::NotLeader(leader)));
            }
        }
    }

    fn leader_host(&self) -> Option<String> {
        let leader = self.raft.leader()?;
        let replicas = self.raft.membership().replicas();
        let mut named = replicas.filter(|(id, _)| *id == leader);
        named.next().map(|(_, host)| host.clone())
    }

    /// Stores, applies and decides until nothing is left to do, and returns what is to be sent.
    fn settle(&mut self, now: Mono) -> Result<Output<T>, Report<StorageError>> {
        loop {
            let ready = self.raft.take_ready();
            let idle = ready.committed.is_empty() && ready.entries.is_empty();
            self.store_ready(ready, now)?;
            self.follow_leadership();
            if idle {
                self.decide(now);
                self.manage_members(now);
                if !self.raft.has_ready() {
                    break;
                }
            }
        }
        self.answer(now);
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
                cell: self.place.cell.clone(),
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
        assert_eq!(entry.index, self.applied + 1, "entries apply in order");
        self.applied = entry.index;
        match entry.payload {
            Payload::Noop => {}
            Payload::Membership(m) => self.note_membership(&m),
            Payload::Command(bytes) => {
                let command: Command =
                    postcard::from_bytes(&bytes).expect("committed commands decode");
                let outcome = self.state.apply(command.clone());
                self.note_command(&command, &outcome);
                self.resolve(entry.term, entry.index, outcome, now);
            }
        }
    }

    fn resolve(&mut self, term: u64, index: u64, outcome: Outcome, now: Mono) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if let Outcome::Announced(id) = outcome {
            lead.ownership.expect_upstream(id, now);
        }
        let Some(proposal) = lead.proposals.remove(&index) else {
            return;
        };
        if proposal.term == term {
            let reply = Reply::Applied(outcome);
            self.output.replies.push((proposal.token, reply));
        }
    }

    fn follow_leadership(&mut self) {
        let leads = self.raft.is_caught_up_leader();
        let term = self.raft.term();
        let same = self.lead.as_ref().is_some_and(|l| l.term == term);
        if leads && same {
            return;
        }
        if let Some(lead) = self.lead.take() {
            self.drop_lead(lead);
        }
        let Some(elected_at) = self.raft.elected_at().filter(|_| leads) else {
            return;
        };
        self.output.events.push(Event::LeaderElected {
            cell: self.place.cell.clone(),
            term,
        });
        self.lead = Some(Lead {
            term,
            ownership: Ownership::new(self.place.lease, self.place.home, elected_at),
            waiting: VecDeque::new(),
            proposals: BTreeMap::new(),
            decided_index: 0,
            decided_at: Mono::default(),
            decided_version: 0,
            joins: BTreeMap::new(),
        });
    }

    fn drop_lead(&mut self, lead: Lead<T>) {
        self.output.events.push(Event::LeaderLost {
            cell: self.place.cell.clone(),
            term: lead.term,
        });
        let leader = self.leader_host();
        let waiting = lead.waiting.into_iter().map(|w| w.token);
        let proposed = lead.proposals.into_values().map(|p| p.token);
        for token in waiting.chain(proposed) {
            let reply = Reply::NotLeader(leader.clone());
            self.output.replies.push((token, reply));
        }
    }

    /// Lets the leader decide about owners, one set of commands at a time.
    fn decide(&mut self, now: Mono) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let has_news = lead.ownership.has_news() || lead.decided_version != self.state.version;
        let wait_ms = if has_news {
            DECIDE_EVERY_MS
        } else {
            DECIDE_IDLE_MS
        };
        if lead.decided_index > self.applied || now.since(lead.decided_at) < wait_ms {
            return;
        }
        lead.decided_at = now;
        lead.decided_version = self.state.version;
        for command in lead.ownership.decide(&self.state, now) {
            let payload = Payload::Command(encode(&command));
            if let Ok(index) = self.raft.propose(payload, now) {
                lead.decided_index = index;
            }
        }
    }

    fn answer(&mut self, now: Mono) {
        let confirmed = self.raft.confirmed_round().unwrap_or(0);
        let Some(lead) = &mut self.lead else {
            return;
        };
        let waiting = std::mem::take(&mut lead.waiting);
        for w in waiting {
            let news = match &w.ask {
                Ask::Renew(renewal) => renewal.have != self.state.version,
                _ => true,
            };
            let due = news || now >= w.answer_at;
            if w.round > confirmed || !due {
                lead.waiting.push_back(w);
                continue;
            }
            let reply = match w.ask {
                Ask::Renew(renewal) => {
                    let update = self.state.update_since(renewal.have);
                    let drained = renewal.drained;
                    let lease_ms = lead.ownership.renew_route(renewal.router, drained, now);
                    Reply::Renewed(Renewed { lease_ms, update })
                }
                Ask::Heartbeats(list) => {
                    let renew = |h: &Heartbeat| {
                        let o = &mut lead.ownership;
                        o.renew_grant(&self.state, h.upstream, h.acked, now)
                    };
                    Reply::Grants(list.iter().map(renew).collect())
                }
                _ => {
                    let inspection =
                        inspect(&self.place, &self.raft, &self.state, &lead.ownership, now);
                    Reply::Inspected(Box::new(inspection))
                }
            };
            self.output.replies.push((w.token, reply));
        }
    }

    /// Brings replicas on new disks in, one membership change at a time.
    fn manage_members(&mut self, now: Mono) {
        let Some(lead) = &self.lead else {
            return;
        };
        let current = self.raft.membership();
        let next = lead
            .joins
            .iter()
            .find_map(|(host, id)| next_membership(&self.raft, current, host, *id));
        let Some(next) = next else {
            return;
        };
        let _ = self.raft.propose(Payload::Membership(next), now);
    }

    fn compact(&mut self) -> Result<(), Report<StorageError>> {
        if !self.store.wants_snapshot() {
            return Ok(());
        }
        let snapshot = self.raft.compact(encode(&self.state));
        let rest = self.raft.log().slice(snapshot.index + 1, usize::MAX);
        self.store.save_snapshot(&snapshot, &rest)?;
        self.output.events.push(Event::SnapshotTaken {
            cell: self.place.cell.clone(),
            index: snapshot.index,
            bytes: snapshot.data.len() as u64,
        });
        Ok(())
    }

    fn note_membership(&mut self, m: &Membership) {
        self.output.events.push(Event::MembershipChanged {
            cell: self.place.cell.clone(),
            voters: m.voters.values().cloned().collect(),
            learners: m.learners.values().cloned().collect(),
        });
    }

    /// Records what a command did; only the leader does, so that each change is told once.
    fn note_command(&mut self, command: &Command, outcome: &Outcome) {
        if self.lead.is_none() || *outcome == Outcome::Stale {
            return;
        }
        let events = describe(&self.place.cell, &self.state, command, outcome);
        self.output.events.extend(events);
    }
}

fn encode<V: Serialize>(value: &V) -> Vec<u8> {
    postcard::to_stdvec(value).expect("states and commands always encode")
}

fn decode_state(snapshot: &Snapshot) -> State {
    if snapshot.data.is_empty() {
        return State::default();
    }
    postcard::from_bytes(&snapshot.data).expect("checked snapshots decode")
}

fn inspect(
    place: &Place,
    raft: &Raft,
    state: &State,
    ownership: &Ownership,
    now: Mono,
) -> Inspection {
    let voters = raft.membership().voters.iter();
    let lag = |id: &ReplicaId| raft.lag(*id).unwrap_or(0);
    let routers = ownership.routers(now).into_iter();
    let grants = state.upstreams.keys();
    Inspection {
        cell: place.cell.clone(),
        region: place.home.region,
        regions: place.home.regions,
        leader: place.host.clone(),
        term: raft.term(),
        committed: raft.commit_index(),
        voters: voters.map(|(id, host)| (host.clone(), lag(id))).collect(),
        state: state.clone(),
        routers: routers.map(|(r, version)| (r.host, version)).collect(),
        grants: grants
            .map(|id| (*id, ownership.grant_left_ms(*id, now)))
            .collect(),
    }
}
