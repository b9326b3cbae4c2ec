//! Which replicas vote: founding the log, taking in new disks, replacing lost voters.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::cell::membership::next_membership;
use crate::clock::Mono;
use crate::raft::{Membership, Raft, ReplicaId, Snapshot};

/// A voter that hasn't answered for this long is replaced when another replica can take its place,
/// in milliseconds. Longer than a process takes to restart.
const VOTER_LOST_MS: u64 = 1_800;
/// A learner that hasn't answered for this long is dropped, in milliseconds.
const LEARNER_LOST_MS: u64 = 20_000;
/// A replica whose wish to join is older than this has gone again, in milliseconds.
const JOIN_REQUEST_TTL_MS: u64 = 5_000;
/// A learner that lacks at most this many entries may replace a voter.
const CATCH_UP_ENTRIES: u64 = 8;

/// Returns the identity that a founding replica draws: all founders must know all identities
/// without having spoken to each other.
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

/// Returns the state that every founder begins with. It is the same for all of them, so that the log
/// is founded once, in whatever order they start.
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

/// The leader's view of who should vote.
#[derive(Clone, Debug)]
pub struct MembershipPlanner {
    voters: usize,
    join_requests: BTreeMap<String, JoinRequest>,
}

impl MembershipPlanner {
    /// Returns a roster that aims at `voters` voters.
    pub fn new(voters: usize) -> MembershipPlanner {
        MembershipPlanner {
            voters,
            join_requests: BTreeMap::new(),
        }
    }

    /// Notes that the replica at `host` wants to be part of the log.
    pub fn record_join_request(&mut self, host: String, replica: ReplicaId, now: Mono) {
        self.join_requests.insert(
            host,
            JoinRequest {
                replica,
                received_at: now,
            },
        );
    }

    /// Returns the next membership, which differs by one voter at most, if there is a change to make.
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

    /// Takes a replica in as a learner. An earlier identity of its host goes first.
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

    /// Makes a learner a voter where one is missing.
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

/// Drops a voter that is lost, once a learner can take its place, and learners that are lost.
fn replace_lost(raft: &Raft, current: &Membership, now: Mono) -> Option<Membership> {
    let is_lost = |id: &ReplicaId, after_ms: u64| {
        *id != raft.id()
            && raft
                .ms_since_reply(*id, now)
                .is_some_and(|ms| ms > after_ms)
    };
    let mut next = current.clone();
    let lost = current.voters.keys().find(|id| is_lost(id, VOTER_LOST_MS));
    if let Some(id) = lost {
        caught_up_learner(raft, current, now)?;
        next.voters.remove(id);
        return Some(next);
    }
    let mut learners = current.learners.keys();
    let gone = learners.find(|id| is_lost(id, LEARNER_LOST_MS))?;
    next.learners.remove(gone);
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
