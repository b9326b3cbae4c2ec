//! Stored data and messages of a replicated log.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Id of a replica, drawn at random when its data folder is created.
///
/// A host that lost its disk comes back with a new id, so it can't vote twice in one term under the old
/// one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

/// The replicas of a log and their hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that count towards a quorum, with their host names.
    pub voters: BTreeMap<ReplicaId, String>,
    /// Replicas that receive the log but don't count towards a quorum, with their host names.
    pub learners: BTreeMap<ReplicaId, String>,
}

impl Membership {
    /// Returns the number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Reports whether `acked` includes a majority of the voters.
    pub fn is_quorum(&self, acked: &BTreeSet<ReplicaId>) -> bool {
        let count = self.voters.keys().filter(|id| acked.contains(id)).count();
        count >= self.majority()
    }

    /// Returns all replicas with their host names, voters first.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaId, &String)> {
        self.voters
            .iter()
            .chain(self.learners.iter())
            .map(|(id, host)| (*id, host))
    }

    /// Returns the host names of all replicas.
    pub fn hosts(&self) -> Vec<String> {
        self.replicas().map(|(_, host)| host.clone()).collect()
    }

    /// Returns the number of voters that are in only one of the two memberships.
    pub fn voter_distance(&self, other: &Membership) -> usize {
        let left = self
            .voters
            .keys()
            .filter(|id| !other.voters.contains_key(id));
        let right = other
            .voters
            .keys()
            .filter(|id| !self.voters.contains_key(id));
        left.count() + right.count()
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No command; the first entry of each leader's term.
    Noop,
    /// The membership that is in force from this entry on.
    Membership(Membership),
    /// An encoded command of the state machine.
    Command(Vec<u8>),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Index of the entry in the log, starting at 1.
    pub index: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// State beside the log that a replica must keep across restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Candidate that this replica voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// State of the state machine after the entry at `index` was applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub membership: Membership,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// Content of a message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a vote or, with `pre`, a pre-vote.
    VoteRequest {
        /// Whether this is a pre-vote, which changes nothing at the receiver.
        pre: bool,
        /// Whether all voters granted the candidate's [`Body::Poll`].
        after_poll: bool,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether it answers a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Asks whether the receiver has just started, as the sender has, and its log isn't newer.
    Poll {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Grants a [`Body::Poll`].
    PollGranted,
    /// Entries to append; a heartbeat if there are none.
    Append {
        /// Index of the entry before the first one in `entries`.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Heartbeat round that the message belongs to.
        round: u64,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// Whether the receiver's log contained the entry at `prev_index`.
        matched: bool,
        /// Last matching index, or if the log didn't match, the index to try next.
        index: u64,
        /// Heartbeat round of the answered message.
        round: u64,
    },
    /// A snapshot for a replica whose missing entries the leader has discarded.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Heartbeat round that the message belongs to.
        round: u64,
    },
}

impl Body {
    /// Reports whether the message carries entries or a snapshot, and so may take long to transfer.
    pub fn is_bulk(&self) -> bool {
        match self {
            Body::Append { entries, .. } => !entries.is_empty(),
            Body::Snapshot { .. } => true,
            _ => false,
        }
    }
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Id of the sender.
    pub from: ReplicaId,
    /// Id of the receiver.
    pub to: ReplicaId,
    /// Term of the sender, or of a pre-vote's prospective election.
    pub term: u64,
    /// Content of the message.
    pub body: Body,
}
