//! Membership of the log: founding it, adding replicas on new disks, and replacing lost voters.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::cell::membership::next_membership;
use crate::clock::Mono;
use crate::raft::{Membership, Raft, ReplicaId, Snapshot};

/// A voter that hasn't answered for this long is replaced if a learner can take its place, in milliseconds.
/// This is longer than a process takes to restart.
const VOTER_LOST_MS: u64 = 1_800;
/// A learner that hasn't answered for this long is removed, in milliseconds.
const LEARNER_LOST_MS: u64 = 20_000;
/// A join request expires after this long, in milliseconds. A replica repeats it until it is a
/// member, so one that hasn't done so for this long has gone.
const JOIN_REQUEST_TTL_MS: u64 = 5_000;
/// A learner may replace a voter if it lacks at most this many entries.
const CATCH_UP_ENTRIES: u64 = 8;

/// Returns the identity of a founding replica. It is derived from the address, because all founders must know
/// each other's identities before they have communicated.
///
/// # Examples
///
/// ```
/// use carobreel::directory::membership::founder_id;
///
/// let address = "10.1.0.36:7540".parse().unwrap();
/// assert_eq!(founder_id(address), founder_id(address));
/// ```
pub fn founder_id(address: SocketAddr) -> ReplicaId {
    ReplicaId(xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes()))
}

/// Returns the initial snapshot of every founder. It is the same for all of them, so that the log is founded
/// once, in whatever order they start.
pub fn founding_snapshot(founders: &[SocketAddr]) -> Snapshot {
    let voters = founders.iter().map(|a| (founder_id(*a), a.to_string()));
    Snapshot {
        membership: Membership {
            voters: voters.collect(),
            learners: BTreeMap::new(),
        },
        ..Snapshot::default()
    }
}

#[derive(Clone, Copy, Debug)]
struct JoinRequest {
    replica: ReplicaId,
    received_at: Mono,
}

/// Decides on the leader which membership change comes next.
#[derive(Clone, Debug)]
pub struct MembershipPlanner {
    voters: usize,
    join_requests: BTreeMap<String, JoinRequest>,
}

impl MembershipPlanner {
    /// Returns a planner that keeps the number of voters at `voters`.
    pub fn new(voters: usize) -> MembershipPlanner {
        MembershipPlanner {
            voters,
            join_requests: BTreeMap::new(),
        }
    }

    /// Records that the replica at `host` asks to join.
    pub fn record_join_request(&mut self, host: String, replica: ReplicaId, now: Mono) {
        self.join_requests.insert(
            host,
            JoinRequest {
                replica,
                received_at: now,
            },
        );
    }

    /// Returns the next membership if a change is due. It differs from the current one by at most one voter.
    pub fn next_change(&mut self, raft: &Raft, now: Mono) -> Option<Membership> {
        self.join_requests
            .retain(|_, request| now.since(request.received_at) < JOIN_REQUEST_TTL_MS);
        let current = raft.membership();
        let admitted = self
            .join_requests
            .iter()
            .find_map(|(host, request)| self.admit(raft, current, host, request.replica));
        admitted
            .or_else(|| self.promote(raft, current, now))
            .or_else(|| replace_lost(raft, current, now))
    }

    /// Adds a replica as a learner. An earlier identity at the same address is removed first.
    fn admit(
        &self,
        raft: &Raft,
        current: &Membership,
        host: &str,
        id: ReplicaId,
    ) -> Option<Membership> {
        if current.learners.contains_key(&id) {
            return None;
        }
        next_membership(raft, current, host, id)
    }

    /// Promotes a learner if there are too few voters.
    fn promote(&self, raft: &Raft, current: &Membership, now: Mono) -> Option<Membership> {
        if current.voters.len() >= self.voters {
            return None;
        }
        let (id, host) = caught_up_learner(raft, current, now)?;
        let mut next = current.clone();
        next.learners.remove(&id);
        next.voters.insert(id, host);
        Some(next)
    }
}

/// Removes a lost voter once a learner can take its place, or a lost learner.
fn replace_lost(raft: &Raft, current: &Membership, now: Mono) -> Option<Membership> {
    let is_lost = |id: &ReplicaId, after_ms: u64| {
        *id != raft.id()
            && raft
                .ms_since_reply(*id, now)
                .is_some_and(|ms| ms > after_ms)
    };
    let mut next = current.clone();
    let lost_voter = current.voters.keys().find(|id| is_lost(id, VOTER_LOST_MS));
    if let Some(id) = lost_voter {
        caught_up_learner(raft, current, now)?;
        next.voters.remove(id);
        return Some(next);
    }
    let mut learners = current.learners.keys();
    let lost_learner = learners.find(|id| is_lost(id, LEARNER_LOST_MS))?;
    next.learners.remove(lost_learner);
    Some(next)
}

fn caught_up_learner(raft: &Raft, current: &Membership, now: Mono) -> Option<(ReplicaId, String)> {
    let is_caught_up = |id: &ReplicaId| {
        let lag = raft.lag(*id).unwrap_or(u64::MAX);
        let silent_ms = raft.ms_since_reply(*id, now).unwrap_or(u64::MAX);
        lag <= CATCH_UP_ENTRIES && silent_ms < VOTER_LOST_MS / 2
    };
    let mut learners = current.learners.iter();
    let (id, host) = learners.find(|(id, _)| is_caught_up(id))?;
    Some((*id, host.clone()))
}
