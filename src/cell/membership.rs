//! Membership changes that make a replica with a new disk a voter.

use crate::raft::{Membership, Raft, ReplicaId};

/// Maximum number of entries that a learner may lack to become a voter.
const CAUGHT_UP_LAG_MAX_ENTRIES: u64 = 8;

/// Returns the next membership on the way to making a joining replica a voter, or `None` if it already is
/// one or hasn't caught up yet.
///
/// The host's earlier replica is removed first: its disk is lost, so it only weakens the quorum. A host
/// that loses several disks in turn would otherwise leave dead voters behind.
pub fn next_membership(
    raft: &Raft,
    current: &Membership,
    host: &str,
    id: ReplicaId,
) -> Option<Membership> {
    let mut next = current.clone();
    let mut earlier = current.voters.iter();
    if let Some((old, _)) = earlier.find(|(old, h)| *h == host && **old != id) {
        next.voters.remove(old);
        return Some(next);
    }
    if current.voters.contains_key(&id) {
        return None;
    }
    if !current.learners.contains_key(&id) {
        next.learners.retain(|_, h| h != host);
        next.learners.insert(id, host.to_string());
        return Some(next);
    }
    if raft.lag(id)? > CAUGHT_UP_LAG_MAX_ENTRIES {
        return None;
    }
    next.learners.remove(&id);
    next.voters.insert(id, host.to_string());
    Some(next)
}
