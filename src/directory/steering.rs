//! Chooses the directory host to which an upstream sends its heartbeats.

use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::cell::store::Store;
use crate::clock::Mono;

use super::replica::Replica;

/// The number of upstreams above which heartbeats are steered. Below, one host serves the heartbeats of all of
/// them with a tenth of a core.
const STEERED_ABOVE_UPSTREAMS: usize = 500;
/// A follower that hasn't answered the leader for this long isn't named, in milliseconds: upstreams that turned
/// away from it would be sent back.
const ANSWERED_WITHIN_MS: u64 = 500;

/// What a directory process knows of the hosts that may receive heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatHosts {
    /// This host.
    pub own: Option<IpAddr>,
    /// The number of registered upstreams.
    pub upstreams: usize,
    /// The followers that answer, while this process leads. A follower knows only of itself.
    pub followers: Option<Vec<IpAddr>>,
}

impl HeartbeatHosts {
    /// Returns what a replica on `own` knows.
    pub(super) fn of<S: Store, T>(
        replica: &Replica<S, T>,
        own: SocketAddr,
        now: Mono,
    ) -> HeartbeatHosts {
        let raft = replica.raft();
        let answers = |id| {
            let silent_ms = raft.ms_since_reply(id, now);
            id != raft.id() && silent_ms.is_some_and(|ms| ms <= ANSWERED_WITHIN_MS)
        };
        let followers = || {
            let replicas = raft.membership().replicas();
            let answering = replicas.filter(|(id, _)| answers(*id));
            let addresses = answering.filter_map(|(_, host)| host.parse::<SocketAddr>().ok());
            addresses.map(|address| address.ip()).collect()
        };
        HeartbeatHosts {
            own: Some(own.ip()),
            upstreams: replica.state().upstreams.len(),
            followers: replica.leads().then(followers),
        }
    }

    /// Returns the host to which the upstream `id` should send its next heartbeats, or `None` if it makes no
    /// difference. Followers keep the upstreams that turn to them; the leader spreads them over the followers.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::steering::HeartbeatHosts;
    ///
    /// let own = Some([10, 0, 0, 1].into());
    /// let follower = HeartbeatHosts { own, upstreams: 3_000, followers: None };
    /// assert_eq!(follower.choose("u1"), own);
    /// let other = [10, 0, 0, 2].into();
    /// let leader = HeartbeatHosts { followers: Some(vec![other]), ..follower.clone() };
    /// assert_eq!(leader.choose("u1"), Some(other));
    /// let small = HeartbeatHosts { upstreams: 300, ..follower };
    /// assert_eq!(small.choose("u1"), None);
    /// ```
    pub fn choose(&self, id: &str) -> Option<IpAddr> {
        if self.upstreams <= STEERED_ABOVE_UPSTREAMS {
            return None;
        }
        let weight = |host: &&IpAddr| {
            let seed = xxh3_64(host.to_string().as_bytes());
            xxh3_64_with_seed(id.as_bytes(), seed)
        };
        match &self.followers {
            Some(followers) => followers.iter().max_by_key(weight).copied(),
            None => self.own,
        }
    }
}
