//! A gateway's view of the directory: routes, upstreams and owners of keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Mono;
use crate::directory::model::{
    Incarnation, Key, KeyTable, Phase, Route, RouteConfig, Service, Upstream,
};
use crate::directory::protocol::Update;
use crate::directory::state::{join_zones, Versions};
use crate::event::Event;
use crate::rate_limit::RateLimit;

use super::evacuation::{EvacuatedZones, ReadyIndex};
use super::upstream_client::UpstreamClient;

/// An immutable view of the directory's state. A newer view replaces an older one as a whole.
#[derive(Clone, Debug, Default)]
pub struct DirectoryView {
    /// Versions of the configuration, the upstreams and the owners.
    pub versions: Versions,
    /// The configuration in force.
    pub config: Arc<RouteConfig>,
    /// Positions in `config.routes` by host name, the longest path prefix first.
    routes_by_host: Arc<BTreeMap<String, Vec<usize>>>,
    /// Ready upstreams outside evacuated zones.
    ready: Arc<ReadyIndex>,
    /// All upstreams by id.
    upstreams: Arc<BTreeMap<String, Upstream>>,
    owners: Arc<BTreeMap<String, KeyTable>>,
    /// The evacuated availability zones.
    pub evacuated_zones: Arc<EvacuatedZones>,
    /// Addresses of the directory's replicas.
    pub replicas: Vec<String>,
    /// Number of entry hosts that share the upstreams.
    pub entry_hosts: u32,
    /// The version of the rate limits that this host was told.
    pub limits_version: u64,
    /// Lower bound of the time at which the leader last confirmed this view.
    pub confirmed_at: Mono,
}

impl DirectoryView {
    /// Returns the view after an update that was requested at `asked_at`. A configuration is ignored if it
    /// isn't newer than the current one, or if it lists the changes to another version; then the view isn't
    /// confirmed either.
    pub fn updated(&self, update: Update, asked_at: Mono) -> DirectoryView {
        let confirmed_at = update.confirmed_at(asked_at);
        let mut next = self.clone();
        let config = update.config.as_ref();
        let newer_config = config.filter(|c| c.version > self.versions.config);
        let applied_config = newer_config.and_then(|c| c.applied_to(&self.config));
        let is_confirmed = newer_config.is_some() == applied_config.is_some();
        if let Some(config) = applied_config {
            next.versions.config = config.version;
            next.routes_by_host = Arc::new(index_routes(&config));
            next.config = Arc::new(config);
        }
        if let Some(zones) = &update.evacuated_zones {
            let known_at = Some(self.confirmed_at).filter(|at| *at != Mono::default());
            next.evacuated_zones = Arc::new(self.evacuated_zones.updated(zones, known_at));
            next.versions.evacuations = update.versions.evacuations;
        }
        let has_upstreams = !update.upstreams.is_empty() || update.upstreams_complete;
        if has_upstreams {
            let mut by_id = if update.upstreams_complete {
                BTreeMap::new()
            } else {
                (*self.upstreams).clone()
            };
            for upstream in update.upstreams {
                by_id.insert(upstream.incarnation.id.clone(), upstream);
            }
            next.upstreams = Arc::new(by_id);
        }
        if has_upstreams || update.evacuated_zones.is_some() {
            let upstreams = next.upstreams.values();
            next.ready = Arc::new(ReadyIndex::new(upstreams, &next.evacuated_zones));
        }
        if !update.owners.is_empty() {
            let mut owners = (*self.owners).clone();
            for (service, ranges) in update.owners {
                let table = owners.entry(service).or_default();
                for range in ranges {
                    table.assign(range.from, range.to, range.owner, range.fence);
                }
            }
            next.owners = Arc::new(owners);
        }
        next.versions.upstreams = update.versions.upstreams;
        next.versions.owners = update.versions.owners;
        next.replicas = update.replicas;
        next.entry_hosts = update.entry_hosts.max(1);
        next.limits_version = update.limits_version;
        if is_confirmed {
            next.confirmed_at = confirmed_at.max(self.confirmed_at);
        }
        next
    }

    /// Reports whether a configuration is known.
    pub fn has_config(&self) -> bool {
        self.versions.config > 0
    }

    /// Returns the route of `host` with the longest path prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let positions = match self.routes_by_host.get(host) {
            Some(positions) => positions,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut routes = positions
            .iter()
            .filter_map(|position| self.config.routes.get(*position));
        routes.find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config.services.get(name)
    }

    /// Returns the ready upstreams of a service outside evacuated zones.
    pub fn ready_upstreams(&self, service: &str) -> &[Upstream] {
        self.ready
            .by_service
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    /// Reports whether all ready upstreams of a service are in evacuated zones.
    pub fn is_service_evacuated(&self, service: &str) -> bool {
        self.ready.evacuated_services.contains(service)
    }

    /// Returns the event for evacuations that changed. `before` is the version of the former ones, and
    /// `unconfirmed_ms` tells for how long the view with them had been unconfirmed.
    pub(super) fn evacuations_event(&self, before: u64, unconfirmed_ms: u64) -> Event {
        Event::EvacuationsInForce {
            zones: join_zones(self.evacuated_zones.names()),
            upstreams: self.evacuated_upstreams(),
            version: self.versions.evacuations,
            before,
            unconfirmed_ms,
        }
    }

    /// Returns the number of ready upstreams in evacuated zones.
    pub fn evacuated_upstreams(&self) -> u64 {
        let ready = self.upstreams.values().filter(|u| u.is_ready());
        ready.filter(|u| self.evacuated_zones.contain(u)).count() as u64
    }

    /// Reports whether the keys of a service are divided among its upstreams.
    pub fn is_sharded(&self, service: &str) -> bool {
        self.service(service).is_some_and(|s| s.sharded)
    }

    /// Reports whether an upstream with this id is known.
    pub fn has_upstream(&self, id: &str) -> bool {
        self.upstreams.contains_key(id)
    }

    /// Reports whether a later process has the id or the address of a client's upstream.
    pub fn is_replaced(&self, client: &UpstreamClient) -> bool {
        let Incarnation { id, born_ms } = &client.incarnation;
        let is_later = |u: &Upstream| u.incarnation.born_ms > *born_ms;
        let mut at_address = self
            .upstreams
            .values()
            .filter(|u| u.address == client.address);
        self.upstreams.get(id).is_some_and(is_later) || at_address.any(is_later)
    }

    /// Returns the owner of a key with its fencing token, if the owner is known and ready.
    pub fn owner(&self, service: &str, key: Key) -> Option<(&Upstream, u64)> {
        let range = self.owners.get(service)?.owner_of(key)?;
        let upstream = self.find_ready(&range.owner)?;
        Some((upstream, range.fence))
    }

    /// Returns the limits of all ready upstreams that are cold and have one for that reason.
    pub fn cold_limits(&self) -> BTreeMap<Incarnation, RateLimit> {
        let ready = self.upstreams.values().filter(|u| u.is_ready());
        let cold_limit = |u: &Upstream| Some((u.incarnation.clone(), self.config.cold_limit(u)?));
        ready.filter_map(cold_limit).collect()
    }

    /// Returns the upstream of this process, if it is ready.
    pub fn find_ready(&self, incarnation: &Incarnation) -> Option<&Upstream> {
        let upstream = self.upstreams.get(&incarnation.id)?;
        (upstream.incarnation == *incarnation && upstream.phase == Phase::Ready).then_some(upstream)
    }
}

fn index_routes(config: &RouteConfig) -> BTreeMap<String, Vec<usize>> {
    let mut routes_by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (position, route) in config.routes.iter().enumerate() {
        routes_by_host
            .entry(route.host.clone())
            .or_default()
            .push(position);
    }
    let length = |position: &usize| config.routes.get(*position).map_or(0, |r| r.prefix.len());
    for positions in routes_by_host.values_mut() {
        positions.sort_by_key(|position| std::cmp::Reverse(length(position)));
    }
    routes_by_host
}
