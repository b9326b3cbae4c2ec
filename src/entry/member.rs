//! The upstreams that an entry host sends requests to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use rand::RngExt;

use crate::cell::state::{Announcement, UpstreamId};
use crate::clock::Mono;
use crate::event::{Event, Recorder};

use super::gate::Gate;
use super::health::{Change, Health};
use super::pool::Pool;
use super::table::Table;

/// Connections of this host that an upstream may not have seen closed yet.
const CLOSING_CONNECTIONS: usize = 2;
/// At most this share of a service's upstreams may be ejected at once.
const EJECTED_SHARE_MAX: f64 = 0.5;

/// One upstream as this host uses it.
#[derive(Debug)]
pub struct Member {
    /// Its id.
    pub id: UpstreamId,
    /// Its name.
    pub name: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its connections.
    pub pool: Pool,
    /// Its limit.
    pub gate: Gate,
    health: Mutex<Health>,
    recorder: Recorder,
}

impl Member {
    fn new(
        id: UpstreamId,
        a: &Announcement,
        share: Share,
        recorder: Recorder,
        now: Mono,
    ) -> Member {
        let connections = (a.connections as usize / share.hosts.max(1)).max(1);
        // A connection that is being closed still counts at the upstream.
        let places = connections.saturating_sub(CLOSING_CONNECTIONS).max(1);
        Member {
            id,
            name: a.name.clone(),
            address: a.address,
            pool: Pool::new(a.address, places),
            gate: Gate::new(a.slots as usize, places, share.queue_max),
            health: Mutex::new(Health::new(now)),
            recorder,
        }
    }

    /// Notes an answer whose head took `latency_ms`.
    pub fn succeed(&self, latency_ms: f64) {
        let change = self.health().succeed(latency_ms);
        self.gate.succeed(latency_ms as u64);
        if change == Change::Readmitted {
            self.recorder.record(Event::UpstreamReadmitted {
                upstream: self.name.clone(),
            });
        }
    }

    /// Notes a failure.
    pub fn fail(&self, reason: &str, now: Mono) {
        let change = self.health().fail(now);
        self.gate.back_off();
        if change == Change::Ejected {
            self.recorder.record(Event::UpstreamEjected {
                upstream: self.name.clone(),
                reason: reason.to_string(),
            });
        }
    }

    fn is_ejected(&self, now: Mono) -> bool {
        self.health().is_ejected(now)
    }

    fn cost(&self, now: Mono) -> f64 {
        let load = self.gate.load();
        self.health().cost(load, now)
    }

    fn health(&self) -> MutexGuard<'_, Health> {
        match self.health.lock() {
            Ok(health) => health,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

/// This host's share of each upstream.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Entry hosts that share the upstreams.
    pub hosts: usize,
    /// Requests that may wait for one upstream.
    pub queue_max: usize,
}

/// All upstreams by id; clones share them.
#[derive(Clone, Debug)]
pub struct Members {
    share: Share,
    recorder: Recorder,
    all: Arc<RwLock<BTreeMap<UpstreamId, Arc<Member>>>>,
}

impl Members {
    /// Returns an empty set.
    pub fn new(share: Share, recorder: Recorder) -> Members {
        Members {
            share,
            recorder,
            all: Arc::default(),
        }
    }

    /// Follows a new table: adds upstreams that came and drops those that went.
    pub fn follow(&self, table: &Table, now: Mono) {
        let mut all = match self.all.write() {
            Ok(all) => all,
            Err(poisoned) => poisoned.into_inner(),
        };
        all.retain(|id, _| table.upstreams.contains_key(id));
        for (id, upstream) in &table.upstreams {
            all.entry(*id).or_insert_with(|| {
                let a = &upstream.announcement;
                Arc::new(Member::new(*id, a, self.share, self.recorder.clone(), now))
            });
        }
    }

    /// Returns an upstream.
    pub fn get(&self, id: UpstreamId) -> Option<Arc<Member>> {
        let all = match self.all.read() {
            Ok(all) => all,
            Err(poisoned) => poisoned.into_inner(),
        };
        all.get(&id).cloned()
    }

    /// Picks one of `ids`: the cheaper of two drawn at random among those that aren't ejected.
    ///
    /// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    pub fn pick(&self, ids: &[UpstreamId], skip: &[UpstreamId], now: Mono) -> Option<Arc<Member>> {
        let known: Vec<Arc<Member>> = ids
            .iter()
            .filter(|id| !skip.contains(id))
            .filter_map(|id| self.get(*id))
            .collect();
        let healthy: Vec<Arc<Member>> = known
            .iter()
            .filter(|m| !m.is_ejected(now))
            .cloned()
            .collect();
        let floor = (known.len() as f64 * (1.0 - EJECTED_SHARE_MAX)).ceil();
        let pool = if healthy.len() as f64 >= floor {
            healthy
        } else {
            known
        };
        if pool.is_empty() {
            return None;
        }
        let mut rng = rand::rng();
        let first = &pool[rng.random_range(0..pool.len())];
        let second = &pool[rng.random_range(0..pool.len())];
        if first.cost(now) <= second.cost(now) {
            return Some(first.clone());
        }
        Some(second.clone())
    }
}
