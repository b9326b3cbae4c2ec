//! How a replica on a new disk becomes a voter.

use crate::raft::{Membership, Raft, ReplicaId};

/// A learner that lacks at most this many entries becomes a voter.
const CAUGHT_UP_LAG_MAX_ENTRIES: u64 = 8;

/// Returns the membership that brings a joining replica one step further.
///
/// The host's earlier identity goes first: its disk is gone, so it can only weaken the quorum, and a
/// host that loses one disk after another would otherwise leave dead voters behind.
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
