//! What replicas of one log store and say to each other.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// One replica's identity, drawn at random when its data folder is made.
///
/// A host whose disk was lost comes back with another identity, so it can never vote twice in one
/// term under the old one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

/// The replicas of one log and the hosts they run on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that count towards a quorum, each with its host's name.
    pub voters: BTreeMap<ReplicaId, String>,
    /// Replicas that receive the log and don't count.
    pub learners: BTreeMap<ReplicaId, String>,
}

impl Membership {
    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Tells whether `acked` holds a majority of the voters.
    pub fn is_quorum(&self, acked: &BTreeSet<ReplicaId>) -> bool {
        let count = self.voters.keys().filter(|id| acked.contains(id)).count();
        count >= self.majority()
    }

    /// Returns every replica, voters first, with its host's name.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaId, &String)> {
        self.voters
            .iter()
            .chain(self.learners.iter())
            .map(|(id, host)| (*id, host))
    }

    /// Returns the hosts of all replicas.
    pub fn hosts(&self) -> Vec<String> {
        self.replicas().map(|(_, host)| host.clone()).collect()
    }

    /// Returns the number of voters in which two memberships differ.
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

/// What one log entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of each leader's term.
    Noop,
    /// The replicas from this entry on.
    Membership(Membership),
    /// A command of the state machine, encoded.
    Command(Vec<u8>),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that made the entry.
    pub term: u64,
    /// The entry's place, from 1.
    pub index: u64,
    /// The content.
    pub payload: Payload,
}

/// What a replica must remember over restarts beside its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term heard of.
    pub term: u64,
    /// Whom this replica voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// The state machine's state after the entry at `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry the snapshot covers.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The replicas as of that entry.
    pub membership: Membership,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// What one replica says to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a vote; with `pre` set it only asks whether one would be given.
    VoteRequest {
        /// A poll that changes nothing at the receiver.
        pre: bool,
        /// All voters granted a [`Body::Poll`] of the candidate.
        after_poll: bool,
        /// The candidate's last entry.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
    },
    /// Answers a vote.
    VoteReply {
        /// The poll's kind.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Asks whether the receiver was started a moment ago, as the sender was, and has no newer log.
    Poll {
        /// The sender's last entry.
        last_index: u64,
        /// That entry's term.
        last_term: u64,
    },
    /// Says so.
    PollGranted,
    /// New entries, or none as a heartbeat.
    Append {
        /// The entry before the first one carried.
        prev_index: u64,
        /// That entry's term.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The heartbeat round this message belongs to.
        round: u64,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// Whether the log matched.
        matched: bool,
        /// The last index known to match, or the place to try next.
        index: u64,
        /// The round answered.
        round: u64,
    },
    /// A whole state for a replica that is too far behind.
    Snapshot {
        /// The state.
        snapshot: Snapshot,
        /// The heartbeat round this message belongs to.
        round: u64,
    },
}

impl Body {
    /// Tells whether the message carries entries or a state, and so may take long on its way.
    pub fn is_bulk(&self) -> bool {
        match self {
            Body::Append { entries, .. } => !entries.is_empty(),
            Body::Snapshot { .. } => true,
            _ => false,
        }
    }
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver.
    pub to: ReplicaId,
    /// The sender's term.
    pub term: u64,
    /// The content.
    pub body: Body,
}
