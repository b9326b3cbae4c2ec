//! The upstreams of an entry host: their connections, limits and health, and the choice among them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use rand::RngExt;

use crate::cell::state::{Announcement, UpstreamId};
use crate::clock::Mono;
use crate::event::{Event, Recorder};

use super::health::{Health, HealthChange};
use super::limiter::ConcurrencyLimiter;
use super::pool::ConnectionPool;
use super::table::RoutingTable;

/// How many of this host's connections to an upstream are kept unused, because the upstream may still
/// count connections that are being closed.
const CLOSING_CONNECTIONS_MAX: usize = 2;
/// The largest share of a service's upstreams that may be ejected at once; beyond it ejections are
/// ignored.
const EJECTED_SHARE_MAX: f64 = 0.5;

/// One upstream, with this host's connections to it.
#[derive(Debug)]
pub struct UpstreamClient {
    /// The upstream's id.
    pub id: UpstreamId,
    /// The upstream's name.
    pub name: String,
    /// The address at which it serves requests.
    pub address: SocketAddr,
    /// This host's connections to it.
    pub pool: ConnectionPool,
    /// Limits the requests sent to it at the same time.
    pub limiter: ConcurrencyLimiter,
    health: Mutex<Health>,
    recorder: Recorder,
}

impl UpstreamClient {
    fn new(
        id: UpstreamId,
        announcement: &Announcement,
        capacity_share: CapacityShare,
        recorder: Recorder,
        now: Mono,
    ) -> UpstreamClient {
        let connections =
            (announcement.connections as usize / capacity_share.entry_hosts.max(1)).max(1);
        // A connection that is being closed still counts at the upstream.
        let connections_max = connections.saturating_sub(CLOSING_CONNECTIONS_MAX).max(1);
        UpstreamClient {
            id,
            name: announcement.name.clone(),
            address: announcement.address,
            pool: ConnectionPool::new(announcement.address, connections_max),
            limiter: ConcurrencyLimiter::new(
                announcement.slots as usize,
                connections_max,
                capacity_share.queue_max,
            ),
            health: Mutex::new(Health::new(now)),
            recorder,
        }
    }

    /// Records an answer whose head took `latency_ms`.
    pub fn record_success(&self, latency_ms: f64) {
        let change = self.health().record_success(latency_ms);
        self.limiter.record_success(latency_ms as u64);
        if change == HealthChange::Readmitted {
            self.recorder.record(Event::UpstreamReadmitted {
                upstream: self.name.clone(),
            });
        }
    }

    /// Records a failure.
    pub fn record_failure(&self, reason: &str, now: Mono) {
        let change = self.health().record_failure(now);
        self.limiter.back_off();
        if change == HealthChange::Ejected {
            self.recorder.record(Event::UpstreamEjected {
                upstream: self.name.clone(),
                reason: reason.to_string(),
            });
        }
    }

    fn is_ejected(&self, now: Mono) -> bool {
        self.health().is_ejected(now)
    }

    fn expected_cost(&self, now: Mono) -> f64 {
        let load = self.limiter.load();
        self.health().expected_cost(load, now)
    }

    fn health(&self) -> MutexGuard<'_, Health> {
        match self.health.lock() {
            Ok(health) => health,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

/// How upstreams are shared among the entry hosts of a region.
#[derive(Clone, Copy, Debug)]
pub struct CapacityShare {
    /// The number of entry hosts that share the upstreams.
    pub entry_hosts: usize,
    /// The most requests that wait for one upstream.
    pub queue_max: usize,
}

/// All upstreams of this host by id; clones share them.
#[derive(Clone, Debug)]
pub struct UpstreamClients {
    capacity_share: CapacityShare,
    recorder: Recorder,
    clients: Arc<RwLock<BTreeMap<UpstreamId, Arc<UpstreamClient>>>>,
}

impl UpstreamClients {
    /// Returns a set without upstreams.
    pub fn new(capacity_share: CapacityShare, recorder: Recorder) -> UpstreamClients {
        UpstreamClients {
            capacity_share,
            recorder,
            clients: Arc::default(),
        }
    }

    /// Adds the upstreams that are new in a routing table and drops those that aren't in it.
    pub fn apply_table(&self, table: &RoutingTable, now: Mono) {
        let mut clients = match self.clients.write() {
            Ok(clients) => clients,
            Err(poisoned) => poisoned.into_inner(),
        };
        clients.retain(|id, _| table.upstreams.contains_key(id));
        for (id, upstream) in &table.upstreams {
            clients.entry(*id).or_insert_with(|| {
                let announcement = &upstream.announcement;
                Arc::new(UpstreamClient::new(
                    *id,
                    announcement,
                    self.capacity_share,
                    self.recorder.clone(),
                    now,
                ))
            });
        }
    }

    /// Returns the upstream with this id.
    pub fn get(&self, id: UpstreamId) -> Option<Arc<UpstreamClient>> {
        let clients = match self.clients.read() {
            Ok(clients) => clients,
            Err(poisoned) => poisoned.into_inner(),
        };
        clients.get(&id).cloned()
    }

    /// Picks one of `ids` without `exclude`: of two drawn at random among those that aren't
    /// ejected, the one with the lower expected cost.
    ///
    /// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    pub fn pick(
        &self,
        ids: &[UpstreamId],
        exclude: &[UpstreamId],
        now: Mono,
    ) -> Option<Arc<UpstreamClient>> {
        let known: Vec<Arc<UpstreamClient>> = ids
            .iter()
            .filter(|id| !exclude.contains(id))
            .filter_map(|id| self.get(*id))
            .collect();
        let healthy: Vec<Arc<UpstreamClient>> = known
            .iter()
            .filter(|u| !u.is_ejected(now))
            .cloned()
            .collect();
        let healthy_min = (known.len() as f64 * (1.0 - EJECTED_SHARE_MAX)).ceil();
        let candidates = if healthy.len() as f64 >= healthy_min {
            healthy
        } else {
            known
        };
        if candidates.is_empty() {
            return None;
        }
        let mut rng = rand::rng();
        let first = &candidates[rng.random_range(0..candidates.len())];
        let second = &candidates[rng.random_range(0..candidates.len())];
        if first.expected_cost(now) <= second.expected_cost(now) {
            return Some(first.clone());
        }
        Some(second.clone())
    }
}
