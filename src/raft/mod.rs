//! A replicated log: elections, log matching, snapshots and membership changes of one voter.
//!
//! Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014 (pre-vote in 9.6, leader
//! stickiness and quorum check in 6.2, read rounds in 6.4). The code takes time and messages as
//! input and returns what is to be stored and sent: the caller must store before it sends.

mod log;
mod message;

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Mono;

pub use log::Log;
pub use message::{Body, Entry, HardState, Membership, Message, Payload, ReplicaId, Snapshot};

/// The most entries one append carries.
const APPEND_ENTRIES_MAX: usize = 64;

/// Intervals of one replicated log, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// The shortest silence after which a replica stands for election; the longest is twice that.
    pub election_ms: u64,
}

/// A replica's part in its log.
#[derive(Clone, Debug)]
enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Leadership),
}

/// What a leader knows of one other replica.
#[derive(Clone, Copy, Debug)]
struct Progress {
    matched: u64,
    next: u64,
    round: u64,
    heard_at: Mono,
}

/// What a leader keeps for its term.
#[derive(Clone, Debug)]
struct Leadership {
    progress: BTreeMap<ReplicaId, Progress>,
    round: u64,
    confirmed: u64,
    elected_at: Mono,
    first_index: u64,
}

/// What must be stored, sent and applied after a step, in this order.
#[derive(Debug, Default)]
pub struct Ready {
    /// A snapshot received, which replaces the log and the state.
    pub snapshot: Option<Snapshot>,
    /// The hard state, when it changed.
    pub hard: Option<HardState>,
    /// Entries that replace the stored log from the first one's index on.
    pub entries: Vec<Entry>,
    /// Messages to send once the above is stored.
    pub messages: Vec<Message>,
    /// Entries to apply to the state machine.
    pub committed: Vec<Entry>,
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica doesn't lead.
    NotLeader,
    /// An earlier membership change is not committed yet.
    ChangeInProgress,
}

/// One replica of the log.
#[derive(Debug)]
pub struct Raft {
    id: ReplicaId,
    timing: Timing,
    rng: Pcg64Mcg,
    hard: HardState,
    stored: HardState,
    log: Log,
    membership: Membership,
    membership_index: u64,
    commit: u64,
    applied: u64,
    role: Role,
    leader: Option<ReplicaId>,
    leader_heard_at: Option<Mono>,
    election_at: Mono,
    heartbeat_at: Mono,
    changed_from: Option<u64>,
    received: Option<Snapshot>,
    outbox: Vec<Message>,
}

impl Raft {
    /// Returns a replica with the state that it stored before.
    pub fn open(
        id: ReplicaId,
        timing: Timing,
        hard: HardState,
        log: Log,
        now: Mono,
        seed: u64,
    ) -> Raft {
        let (membership_index, membership) = log.membership();
        let commit = log.snapshot().index;
        let mut raft = Raft {
            id,
            timing,
            rng: Pcg64Mcg::seed_from_u64(seed),
            hard,
            stored: hard,
            log,
            membership,
            membership_index,
            commit,
            applied: commit,
            role: Role::Follower,
            leader: None,
            leader_heard_at: None,
            election_at: now,
            heartbeat_at: now,
            changed_from: None,
            received: None,
            outbox: Vec::new(),
        };
        raft.reset_election(now);
        raft
    }

    /// Returns this replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the newest term heard of.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the leader, when one is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the newest membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the index up to which entries are committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns when this replica was elected, when it leads.
    pub fn elected_at(&self) -> Option<Mono> {
        match &self.role {
            Role::Leader(lead) => Some(lead.elected_at),
            _ => None,
        }
    }

    /// Tells whether this replica leads and has committed an entry of its term, so that its state
    /// holds all that was ever acknowledged.
    pub fn is_caught_up_leader(&self) -> bool {
        match &self.role {
            Role::Leader(lead) => self.applied >= lead.first_index,
            _ => false,
        }
    }

    /// Begins a heartbeat round and returns its number; see [`Raft::confirmed_round`].
    pub fn begin_round(&mut self, now: Mono) -> Option<u64> {
        let Role::Leader(lead) = &mut self.role else {
            return None;
        };
        lead.round += 1;
        let round = lead.round;
        self.heartbeat_at = now.plus(self.timing.heartbeat_ms);
        self.broadcast();
        self.advance_round();
        Some(round)
    }

    /// Returns the newest round that was begun.
    pub fn current_round(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(lead) => Some(lead.round),
            _ => None,
        }
    }

    /// Returns the newest round that a majority answered: this replica led when that round began.
    pub fn confirmed_round(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(lead) => Some(lead.confirmed),
            _ => None,
        }
    }

    /// Returns how many entries `replica` lacks, as the leader knows it.
    pub fn lag(&self, replica: ReplicaId) -> Option<u64> {
        let Role::Leader(lead) = &self.role else {
            return None;
        };
        let progress = lead.progress.get(&replica)?;
        Some(self.log.last_index().saturating_sub(progress.matched))
    }

    /// Lets time pass: elections, heartbeats and the leader's check for its quorum.
    pub fn tick(&mut self, now: Mono) {
        if let Role::Leader(lead) = &self.role {
            if !self.hears_quorum(lead, now) {
                self.become_follower(self.hard.term, None, now);
                return;
            }
            if now >= self.heartbeat_at {
                self.begin_round(now);
            }
            return;
        }
        if now >= self.election_at && self.membership.voters.contains_key(&self.id) {
            self.campaign(true, now);
        }
    }

    /// Adds an entry, when this replica leads, and returns its index.
    pub fn propose(&mut self, payload: Payload, now: Mono) -> Result<u64, Refusal> {
        let Role::Leader(lead) = &self.role else {
            return Err(Refusal::NotLeader);
        };
        if let Payload::Membership(next) = &payload {
            if self.membership_index > self.commit || self.commit < lead.first_index {
                return Err(Refusal::ChangeInProgress);
            }
            assert!(
                self.membership.voter_distance(next) <= 1,
                "a membership change may add or remove one voter only"
            );
        }
        let index = self.append(payload, now);
        self.broadcast();
        self.advance_commit();
        Ok(index)
    }

    /// Takes a message from another replica.
    pub fn receive(&mut self, msg: Message, now: Mono) {
        if msg.to != self.id {
            return;
        }
        if let Body::Vote { pre, .. } = &msg.body {
            let sticky = self.hears_leader(now);
            if sticky || (!*pre && !self.admits(msg.term, now)) {
                return;
            }
            self.on_vote(msg, now);
            return;
        }
        let is_pre_reply = matches!(&msg.body, Body::VoteReply { pre: true, .. });
        if msg.term > self.hard.term && !is_pre_reply {
            self.become_follower(msg.term, None, now);
        }
        match msg.body {
            Body::VoteReply { pre, granted } => {
                self.on_vote_reply(msg.from, msg.term, pre, granted, now)
            }
            Body::AppendReply {
                matched,
                index,
                round,
            } => {
                if msg.term == self.hard.term {
                    self.on_append_reply(msg.from, matched, index, round, now);
                }
            }
            body => self.on_leader_message(msg.from, msg.term, body, now),
        }
    }

    /// Replaces the applied part of the log by a snapshot of the state at the applied index.
    pub fn compact(&mut self, data: Vec<u8>) -> Snapshot {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else {
            return self.log.snapshot().clone();
        };
        let (_, membership) = self.log.membership_at(index);
        let snapshot = Snapshot {
            index,
            term,
            membership,
            data,
        };
        self.log.compact(snapshot.clone());
        snapshot
    }

    /// Tells whether [`Raft::take_ready`] has something to hand out.
    pub fn has_ready(&self) -> bool {
        self.received.is_some()
            || self.hard != self.stored
            || self.changed_from.is_some()
            || !self.outbox.is_empty()
            || self.commit > self.applied
    }

    /// Returns what the steps since the last call ask for.
    pub fn take_ready(&mut self) -> Ready {
        let hard = (self.hard != self.stored).then_some(self.hard);
        self.stored = self.hard;
        let entries = match self.changed_from.take() {
            Some(from) => self.log.slice(from, usize::MAX),
            None => Vec::new(),
        };
        let committed: Vec<Entry> = (self.applied + 1..=self.commit)
            .filter_map(|i| self.log.get(i).cloned())
            .collect();
        assert!(
            self.commit <= self.log.last_index(),
            "state machine safety: committed entries are in the log"
        );
        self.applied = self.commit;
        Ready {
            snapshot: self.received.take(),
            hard,
            entries,
            messages: std::mem::take(&mut self.outbox),
            committed,
        }
    }

    fn admits(&mut self, term: u64, now: Mono) -> bool {
        if term > self.hard.term {
            self.become_follower(term, None, now);
        }
        true
    }

    fn hears_leader(&self, now: Mono) -> bool {
        if matches!(self.role, Role::Leader(_)) {
            return true;
        }
        let Some(heard_at) = self.leader_heard_at else {
            return false;
        };
        self.leader.is_some() && now.since(heard_at) < self.timing.election_ms
    }

    fn hears_quorum(&self, lead: &Leadership, now: Mono) -> bool {
        let heard = |p: &Progress| now.since(p.heard_at) < 2 * self.timing.election_ms;
        let mut acked: BTreeSet<ReplicaId> = lead
            .progress
            .iter()
            .filter(|(_, p)| heard(p))
            .map(|(id, _)| *id)
            .collect();
        acked.insert(self.id);
        self.membership.is_quorum(&acked)
    }

    fn reset_election(&mut self, now: Mono) {
        let spread = self.rng.random_range(0..=self.timing.election_ms);
        self.election_at = now.plus(self.timing.election_ms + spread);
    }

    fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>, now: Mono) {
        assert!(term >= self.hard.term, "terms never go back");
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election(now);
    }

    fn campaign(&mut self, pre: bool, now: Mono) {
        self.leader = None;
        let granted = BTreeSet::from([self.id]);
        if pre {
            self.role = Role::PreCandidate { granted };
        } else {
            self.hard = HardState {
                term: self.hard.term + 1,
                vote: Some(self.id),
            };
            self.role = Role::Candidate { granted };
        }
        self.reset_election(now);
        let term = self.hard.term + u64::from(pre);
        let body = Body::Vote {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let others: Vec<ReplicaId> = self.others(false);
        for to in others {
            self.send_at(to, term, body.clone());
        }
        self.count_votes(now);
    }

    fn others(&self, with_learners: bool) -> Vec<ReplicaId> {
        let learners = self.membership.learners.keys().filter(|_| with_learners);
        let all = self.membership.voters.keys().chain(learners);
        all.copied().filter(|id| *id != self.id).collect()
    }

    fn on_vote(&mut self, msg: Message, now: Mono) {
        let Body::Vote {
            pre,
            last_index,
            last_term,
        } = msg.body
        else {
            return;
        };
        let newest = (self.log.last_term(), self.log.last_index());
        let up_to_date = (last_term, last_index) >= newest;
        let free = self.hard.vote.is_none() || self.hard.vote == Some(msg.from);
        let granted = if pre {
            up_to_date && msg.term > self.hard.term
        } else {
            up_to_date && msg.term == self.hard.term && free
        };
        if granted && !pre {
            self.hard.vote = Some(msg.from);
            self.reset_election(now);
        }
        let term = if pre && granted {
            msg.term
        } else {
            self.hard.term
        };
        self.send_at(msg.from, term, Body::VoteReply { pre, granted });
    }

    fn on_vote_reply(&mut self, from: ReplicaId, term: u64, pre: bool, granted: bool, now: Mono) {
        if !granted {
            if term > self.hard.term {
                self.become_follower(term, None, now);
            }
            return;
        }
        let wanted = self.hard.term + u64::from(pre);
        if term != wanted {
            return;
        }
        match &mut self.role {
            Role::PreCandidate { granted } if pre => granted.insert(from),
            Role::Candidate { granted } if !pre => granted.insert(from),
            _ => return,
        };
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Mono) {
        match &self.role {
            Role::PreCandidate { granted } if self.membership.is_quorum(granted) => {
                self.campaign(false, now)
            }
            Role::Candidate { granted } if self.membership.is_quorum(granted) => self.lead(now),
            _ => {}
        }
    }

    fn lead(&mut self, now: Mono) {
        self.leader = Some(self.id);
        self.role = Role::Leader(Leadership {
            progress: BTreeMap::new(),
            round: 0,
            confirmed: 0,
            elected_at: now,
            first_index: self.log.last_index() + 1,
        });
        self.append(Payload::Noop, now);
        self.begin_round(now);
        self.advance_commit();
    }

    fn append(&mut self, payload: Payload, now: Mono) -> u64 {
        let index = self.log.last_index() + 1;
        self.push(Entry {
            term: self.hard.term,
            index,
            payload,
        });
        self.track_members(now);
        index
    }

    fn push(&mut self, entry: Entry) {
        let index = entry.index;
        if let Payload::Membership(m) = &entry.payload {
            self.membership = m.clone();
            self.membership_index = index;
        }
        self.log.push(entry);
        self.changed_from = Some(self.changed_from.map_or(index, |from| from.min(index)));
    }

    fn track_members(&mut self, now: Mono) {
        let next = self.log.last_index();
        let others = self.others(true);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.progress.retain(|id, _| others.contains(id));
        for id in others {
            lead.progress.entry(id).or_insert(Progress {
                matched: 0,
                next,
                round: 0,
                heard_at: now,
            });
        }
    }

    fn broadcast(&mut self) {
        for to in self.others(true) {
            self.send_append(to);
        }
    }

    fn send_append(&mut self, to: ReplicaId) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let round = lead.round;
        let Some(progress) = lead.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next.saturating_sub(1);
        let Some(prev_term) = self.log.term_at(prev_index) else {
            let snapshot = self.log.snapshot().clone();
            self.send(to, Body::Snapshot { snapshot, round });
            return;
        };
        let entries = self.log.slice(progress.next, APPEND_ENTRIES_MAX);
        progress.next += entries.len() as u64;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round,
        };
        self.send(to, body);
    }

    fn on_append_reply(
        &mut self,
        from: ReplicaId,
        matched: bool,
        index: u64,
        round: u64,
        now: Mono,
    ) {
        let last = self.log.last_index();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(&from) else {
            return;
        };
        progress.heard_at = now;
        progress.round = progress.round.max(round);
        if matched {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = index.max(progress.matched) + 1;
        }
        // A refusal below what is known to match is an old one, or comes from a replica that lost
        // its log; answering it at once could go on for ever.
        let credible = matched || index >= progress.matched;
        let behind = credible && progress.next <= last;
        self.advance_round();
        self.advance_commit();
        if behind {
            self.send_append(from);
        }
    }

    fn advance_round(&mut self) {
        let voters = self.membership.voters.clone();
        let majority = self.membership.majority();
        let me = self.id;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let round_of = |id: &ReplicaId| {
            if *id == me {
                return lead.round;
            }
            lead.progress.get(id).map_or(0, |p| p.round)
        };
        let mut rounds: Vec<u64> = voters.keys().map(round_of).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(confirmed) = rounds.get(majority - 1) else {
            return;
        };
        lead.confirmed = lead.confirmed.max(*confirmed);
    }

    fn advance_commit(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let last = self.log.last_index();
        let matched_of = |id: &ReplicaId| {
            if *id == self.id {
                return last;
            }
            lead.progress.get(id).map_or(0, |p| p.matched)
        };
        let mut matched: Vec<u64> = self.membership.voters.keys().map(matched_of).collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.membership.majority() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit = index;
        }
    }

    fn on_leader_message(&mut self, from: ReplicaId, term: u64, body: Body, now: Mono) {
        if term < self.hard.term {
            let reply = Body::AppendReply {
                matched: false,
                index: 0,
                round: 0,
            };
            self.send(from, reply);
            return;
        }
        assert!(
            !matches!(self.role, Role::Leader(_)),
            "election safety: one leader a term"
        );
        self.become_follower(term, Some(from), now);
        self.leader_heard_at = Some(now);
        let (matched, index, round) = match body {
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                let (matched, index) = self.store(prev_index, prev_term, entries, commit);
                (matched, index, round)
            }
            Body::Snapshot { snapshot, round } => (true, self.install(snapshot), round),
            _ => return,
        };
        let reply = Body::AppendReply {
            matched,
            index,
            round,
        };
        self.send(from, reply);
    }

    fn store(
        &mut self,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
    ) -> (bool, u64) {
        if prev_index < self.log.snapshot().index {
            return (true, self.commit);
        }
        if self.log.term_at(prev_index) != Some(prev_term) {
            let back = prev_index.saturating_sub(1).min(self.log.last_index());
            return (false, back.max(self.commit));
        }
        let end = prev_index + entries.len() as u64;
        for entry in entries {
            if self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            self.truncate(entry.index);
            self.push(entry);
        }
        self.commit = self.commit.max(commit.min(end));
        (true, end)
    }

    fn truncate(&mut self, index: u64) {
        if index > self.log.last_index() {
            return;
        }
        assert!(
            index > self.commit,
            "leader completeness: a committed entry is never replaced"
        );
        self.log.truncate(index);
        let (membership_index, membership) = self.log.membership();
        self.membership_index = membership_index;
        self.membership = membership;
        self.changed_from = Some(self.changed_from.map_or(index, |from| from.min(index)));
    }

    fn install(&mut self, snapshot: Snapshot) -> u64 {
        if snapshot.index <= self.commit {
            return self.commit;
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.membership = snapshot.membership.clone();
        self.membership_index = snapshot.index;
        self.changed_from = None;
        self.log.reset(snapshot.clone());
        self.received = Some(snapshot);
        self.commit
    }

    fn send(&mut self, to: ReplicaId, body: Body) {
        self.send_at(to, self.hard.term, body);
    }

    fn send_at(&mut self, to: ReplicaId, term: u64, body: Body) {
        self.outbox.push(Message {
            from: self.id,
            to,
            term,
            body,
        });
    }
}
