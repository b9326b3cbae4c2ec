//! The Raft consensus protocol, with snapshots and membership changes of one voter at a time.
//!
//! Based on Ongaro, "Consensus: Bridging Theory and Practice", 2014: pre-vote (9.6), leader stickiness
//! and quorum check (6.2), read rounds (6.4). Time and messages are passed in, and what to store and
//! send is returned; the caller must store before it sends.

mod election;
mod follower;
mod leader;
mod log;
mod message;
mod restart;

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::clock::Mono;

pub use log::Log;
pub use message::{Body, Entry, HardState, Membership, Message, Payload, ReplicaId, Snapshot};

/// Maximum number of entries in one append.
const APPEND_ENTRIES_MAX: usize = 64;
/// Size of commands, in bytes, after which an append takes no further entry. It keeps a lagging replica
/// from filling a narrow link between two heartbeats.
const APPEND_BYTES_MAX: usize = 128 << 10;

/// Maximum number of entries in flight to a replica, so that a slow replica isn't sent more than it can
/// store.
const IN_FLIGHT_ENTRIES_MAX: u64 = 256;
/// Size of unconfirmed commands, in bytes, from which on a replica is sent no further entries. On a narrow
/// link more of them would be abandoned halfway and sent again.
const IN_FLIGHT_BYTES_MAX: usize = 256 << 10;
/// Number of heartbeat rounds after which an unconfirmed snapshot is sent again.
const SNAPSHOT_RESEND_ROUNDS: u64 = 10;
/// Time without any confirmation after which entries in flight are considered lost, in milliseconds.
const REPLICATION_TIMEOUT_MS: u64 = 800;
/// Addition to that time per KiB in flight, in milliseconds; sets the slowest supported inter-region link.
const REPLICATION_TIMEOUT_MS_PER_KIB: u64 = 8;

/// Divisor of the election timeout that yields the maximum random delay of elections after a restart. That
/// maximum is several times as long as a vote takes within a region.
const RESTART_JITTER_DIVISOR: u64 = 4;

/// Intervals of a replicated log, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Minimum election timeout; the maximum is twice as long.
    pub election_ms: u64,
    /// Addition to the election timeout of a replica that should only lead if no other replica can.
    pub election_delay_ms: u64,
}

/// Role of a replica.
#[derive(Clone, Debug)]
enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(LeaderState),
}

/// Replication state of another replica, as known to the leader.
#[derive(Clone, Copy, Debug)]
struct Progress {
    match_index: u64,
    next_index: u64,
    round: u64,
    last_reply_at: Mono,
    /// Last entry that the replica is assumed to have: the confirmed one, once it has confirmed any.
    assumed_index: u64,
    /// Whether the replica rejected an append and has since not confirmed which entries it has.
    is_probing: bool,
    /// Time of the last newly confirmed entry, or of sending entries while none were in flight.
    advanced_at: Mono,
    /// Round in which the unconfirmed snapshot was sent, if one is in flight.
    snapshot_round: Option<u64>,
}

/// State that a leader keeps for its term.
#[derive(Clone, Debug)]
struct LeaderState {
    progress: BTreeMap<ReplicaId, Progress>,
    round: u64,
    confirmed_round: u64,
    elected_at: Mono,
    term_start_index: u64,
}

/// Data to store, send and apply after a step, in the order of the fields.
#[derive(Debug, Default)]
pub struct Ready {
    /// A received snapshot, which replaces the log and the state machine.
    pub snapshot: Option<Snapshot>,
    /// The hard state, if it changed.
    pub hard: Option<HardState>,
    /// Entries to store; they replace the stored log from the index of the first one on.
    pub entries: Vec<Entry>,
    /// Messages to send after the fields above are stored.
    pub messages: Vec<Message>,
    /// Committed entries to apply to the state machine.
    pub committed: Vec<Entry>,
}

/// Reason why a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica isn't the leader.
    NotLeader,
    /// An earlier membership change isn't committed yet.
    ChangeInProgress,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Raft {
    id: ReplicaId,
    timing: Timing,
    rng: Pcg64Mcg,
    hard: HardState,
    stored_hard: HardState,
    log: Log,
    membership: Membership,
    membership_index: u64,
    commit: u64,
    applied: u64,
    role: Role,
    leader: Option<ReplicaId>,
    last_leader_contact_at: Option<Mono>,
    votes_withheld_until: Mono,
    election_at: Mono,
    /// Time of the next poll of the voters after the process started; `None` if this replica doesn't poll.
    next_poll_at: Option<Mono>,
    /// Voters that granted this replica's poll.
    poll_grants: BTreeSet<ReplicaId>,
    heartbeat_at: Mono,
    unstored_from: Option<u64>,
    received_snapshot: Option<Snapshot>,
    outbox: Vec<Message>,
    /// Time of the last proposal, if there are proposed entries that no message carries yet.
    unsent_since: Option<Mono>,
}

impl Raft {
    /// Returns a replica that continues from its stored state.
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
            stored_hard: hard,
            log,
            membership,
            membership_index,
            commit,
            applied: commit,
            role: Role::Follower,
            leader: None,
            last_leader_contact_at: None,
            votes_withheld_until: Mono(0),
            election_at: now,
            next_poll_at: None,
            poll_grants: BTreeSet::new(),
            heartbeat_at: now,
            unstored_from: None,
            received_snapshot: None,
            outbox: Vec::new(),
            unsent_since: None,
        };
        raft.reset_election_timer(now);
        raft
    }

    /// Denies votes before `until`, since before its restart this replica may have answered a leader that
    /// still relies on that answer. Unless it hears from a leader, it stands for election soon afterwards:
    /// if all replicas restart at once, there is no leader left.
    pub fn withhold_votes(&mut self, until: Mono) {
        self.votes_withheld_until = until;
        let jitter_max_ms = self.timing.election_ms / RESTART_JITTER_DIVISOR;
        let jitter = self.rng.random_range(0..=jitter_max_ms);
        self.election_at = until.plus(jitter);
    }

    /// Returns the time since `replica` last replied to this leader, in milliseconds.
    pub fn ms_since_reply(&self, replica: ReplicaId, now: Mono) -> Option<u64> {
        let Role::Leader(leader_state) = &self.role else {
            return None;
        };
        Some(now.since(leader_state.progress.get(&replica)?.last_reply_at))
    }

    /// Returns the time since this follower last heard from its leader, in milliseconds.
    pub fn ms_since_leader_contact(&self, now: Mono) -> Option<u64> {
        self.leader?;
        Some(now.since(self.last_leader_contact_at?))
    }

    /// Returns the id of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the highest term seen.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the latest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the time of this replica's election, if it leads.
    pub fn elected_at(&self) -> Option<Mono> {
        match &self.role {
            Role::Leader(leader_state) => Some(leader_state.elected_at),
            _ => None,
        }
    }

    /// Reports whether this replica leads and has applied an entry of its term, so that its state machine
    /// reflects every acknowledged command.
    pub fn is_caught_up_leader(&self) -> bool {
        match &self.role {
            Role::Leader(leader_state) => self.applied >= leader_state.term_start_index,
            _ => false,
        }
    }

    /// Starts a heartbeat round and returns its number; see [`Raft::confirmed_round`].
    pub fn begin_round(&mut self, now: Mono) -> Option<u64> {
        let Role::Leader(leader_state) = &mut self.role else {
            return None;
        };
        leader_state.round += 1;
        let round = leader_state.round;
        self.heartbeat_at = now.plus(self.timing.heartbeat_ms);
        for to in self.peers(true) {
            self.send_heartbeat(to, now);
        }
        self.advance_round();
        Some(round)
    }

    /// Returns the number of the latest round, if this replica leads.
    pub fn current_round(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(leader_state) => Some(leader_state.round),
            _ => None,
        }
    }

    /// Returns the latest round that a majority answered; this replica led when that round began.
    pub fn confirmed_round(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(leader_state) => Some(leader_state.confirmed_round),
            _ => None,
        }
    }

    /// Returns the number of entries that `replica` lacks, as known to this leader.
    pub fn lag(&self, replica: ReplicaId) -> Option<u64> {
        let Role::Leader(leader_state) = &self.role else {
            return None;
        };
        let progress = leader_state.progress.get(&replica)?;
        Some(self.log.last_index().saturating_sub(progress.match_index))
    }

    /// Advances timers to `now`: elections, heartbeats and the leader's quorum check.
    pub fn tick(&mut self, now: Mono) {
        if let Role::Leader(leader_state) = &self.role {
            if !self.has_quorum_contact(leader_state, now) {
                self.become_follower(self.hard.term, None, now);
                return;
            }
            if now >= self.heartbeat_at {
                self.begin_round(now);
            }
            return;
        }
        self.poll_voters(now);
        if now >= self.election_at && self.membership.voters.contains_key(&self.id) {
            self.campaign(true, now);
        }
    }

    /// Appends an entry to the log of this leader and returns its index.
    pub fn propose(&mut self, payload: Payload, now: Mono) -> Result<u64, ProposeError> {
        let Role::Leader(leader_state) = &self.role else {
            return Err(ProposeError::NotLeader);
        };
        if let Payload::Membership(next) = &payload {
            if self.membership_index > self.commit || self.commit < leader_state.term_start_index {
                return Err(ProposeError::ChangeInProgress);
            }
            assert!(
                self.membership.voter_distance(next) <= 1,
                "a membership change may add or remove one voter only"
            );
        }
        let index = self.append_new_entry(payload, now);
        self.unsent_since = Some(now);
        self.advance_commit();
        Ok(index)
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, msg: Message, now: Mono) {
        if msg.to != self.id {
            return;
        }
        if matches!(&msg.body, Body::Poll { .. } | Body::PollGranted) {
            return self.on_poll(&msg, now);
        }
        if let Body::VoteRequest {
            pre, after_poll, ..
        } = &msg.body
        {
            if *after_poll {
                self.end_vote_withholding(now);
            }
            let denies_votes = self.must_deny_votes(now);
            if denies_votes || (!*pre && !self.adopt_term(msg.term, now)) {
                return;
            }
            self.on_vote_request(msg, now);
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

    /// Replaces the applied part of the log by a snapshot that holds the encoded state `data`.
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

    /// Reports whether [`Raft::take_ready`] would return anything.
    pub fn has_ready(&self) -> bool {
        self.received_snapshot.is_some()
            || self.hard != self.stored_hard
            || self.unstored_from.is_some()
            || !self.outbox.is_empty()
            || self.unsent_since.is_some()
            || self.commit > self.applied
    }

    /// Returns the work that accumulated since the last call. Entries proposed since then are sent to each
    /// replica in one message.
    pub fn take_ready(&mut self) -> Ready {
        if let Some(now) = self.unsent_since.take() {
            for to in self.peers(true) {
                self.send_entries(to, now);
            }
        }
        let hard = (self.hard != self.stored_hard).then_some(self.hard);
        self.stored_hard = self.hard;
        let entries = match self.unstored_from.take() {
            Some(from) => self.log.slice(from, usize::MAX),
            None => Vec::new(),
        };
        let committed: Vec<Entry> = (self.applied + 1..=self.commit)
            .filter_map(|i| self.log.get(i).cloned())
            .collect();
        assert!(
            self.commit <= self.log.last_index(),
            "state machine safety: committed entries must be in the log"
        );
        self.applied = self.commit;
        Ready {
            snapshot: self.received_snapshot.take(),
            hard,
            entries,
            messages: std::mem::take(&mut self.outbox),
            committed,
        }
    }

    fn adopt_term(&mut self, term: u64, now: Mono) -> bool {
        if term > self.hard.term {
            self.become_follower(term, None, now);
        }
        true
    }

    fn must_deny_votes(&self, now: Mono) -> bool {
        if matches!(self.role, Role::Leader(_)) || now < self.votes_withheld_until {
            return true;
        }
        let Some(contact_at) = self.last_leader_contact_at else {
            return false;
        };
        self.leader.is_some() && now.since(contact_at) < self.timing.election_ms
    }

    fn reset_election_timer(&mut self, now: Mono) {
        let jitter = self.rng.random_range(0..=self.timing.election_ms);
        let silence_ms = self.timing.election_ms + self.timing.election_delay_ms;
        self.election_at = now.plus(silence_ms + jitter);
    }

    fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>, now: Mono) {
        assert!(term >= self.hard.term, "terms must not decrease");
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now);
    }

    fn peers(&self, with_learners: bool) -> Vec<ReplicaId> {
        let learners = self.membership.learners.keys().filter(|_| with_learners);
        let all = self.membership.voters.keys().chain(learners);
        all.copied().filter(|id| *id != self.id).collect()
    }

    fn append_entry(&mut self, entry: Entry) {
        let index = entry.index;
        if let Payload::Membership(m) = &entry.payload {
            self.membership = m.clone();
            self.membership_index = index;
        }
        self.log.push(entry);
        self.unstored_from = Some(self.unstored_from.map_or(index, |from| from.min(index)));
    }

    fn send(&mut self, to: ReplicaId, body: Body) {
        self.send_in_term(to, self.hard.term, body);
    }

    fn send_in_term(&mut self, to: ReplicaId, term: u64, body: Body) {
        self.outbox.push(Message {
            from: self.id,
            to,
            term,
            body,
        });
    }
}
