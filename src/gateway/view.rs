//! What a gateway knows of the directory: routes, upstreams and owners of keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Mono;
use crate::directory::model::{
    Incarnation, Key, KeyTable, Phase, Route, RouteConfig, Service, Upstream,
};
use crate::directory::protocol::Update;
use crate::directory::state::Versions;

/// One state of the directory, as far as it is known here. Views never change; a newer one replaces
/// an older one as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Versions of the parts.
    pub versions: Versions,
    /// The configuration in force.
    pub config: Arc<RouteConfig>,
    /// Positions of routes by host, the longest prefix first.
    by_host: Arc<BTreeMap<String, Vec<usize>>>,
    /// Upstreams that take work, by service.
    ready: Arc<BTreeMap<String, Vec<Upstream>>>,
    /// All upstreams by id.
    upstreams: Arc<BTreeMap<String, Upstream>>,
    owners: Arc<BTreeMap<String, KeyTable>>,
    /// Addresses of the directory's replicas.
    pub replicas: Vec<String>,
    /// Entry hosts that share the upstreams.
    pub entry_hosts: u32,
    /// When the leader last confirmed this view, at the earliest.
    pub confirmed_at: Mono,
}

impl View {
    /// Returns the view after an update that was asked for at `asked_at`. A configuration older than the one in
    /// force is left out.
    pub fn updated(&self, update: Update, asked_at: Mono) -> View {
        let confirmed_at = update.confirmed_at(asked_at);
        let mut next = self.clone();
        let config = update.config.as_ref();
        let newer = config.filter(|c| c.version > self.versions.config);
        if let Some(config) = newer.and_then(|c| c.applied_to(&self.config)) {
            next.versions.config = config.version;
            next.by_host = Arc::new(index(&config));
            next.config = Arc::new(config);
        }
        if !update.upstreams.is_empty() || update.upstreams_complete {
            let mut by_id = if update.upstreams_complete {
                BTreeMap::new()
            } else {
                (*self.upstreams).clone()
            };
            for upstream in update.upstreams {
                by_id.insert(upstream.incarnation.id.clone(), upstream);
            }
            let mut ready: BTreeMap<String, Vec<Upstream>> = BTreeMap::new();
            for upstream in by_id.values().filter(|u| u.phase == Phase::Ready) {
                let of_service = ready.entry(upstream.service.clone()).or_default();
                of_service.push(upstream.clone());
            }
            next.ready = Arc::new(ready);
            next.upstreams = Arc::new(by_id);
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
        next.confirmed_at = confirmed_at.max(self.confirmed_at);
        next
    }

    /// Tells whether a configuration is known.
    pub fn is_usable(&self) -> bool {
        self.versions.config > 0
    }

    /// Returns the route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = match self.by_host.get(host) {
            Some(list) => list,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut routes = list.iter().filter_map(|n| self.config.routes.get(*n));
        routes.find(|r| path.starts_with(&r.prefix))
    }

    /// Returns a service of the configuration.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config.services.get(name)
    }

    /// Returns the upstreams of a service that take work.
    pub fn ready(&self, service: &str) -> &[Upstream] {
        self.ready.get(service).map_or(&[], Vec::as_slice)
    }

    /// Tells whether an upstream of that id is known.
    pub fn has_upstream(&self, id: &str) -> bool {
        self.upstreams.contains_key(id)
    }

    /// Returns the owner of a key with its fencing token, if the owner is known and takes work.
    pub fn owner(&self, service: &str, key: Key) -> Option<(&Upstream, u64)> {
        let range = self.owners.get(service)?.owner_of(key)?;
        let upstream = self.live(&range.owner)?;
        Some((upstream, range.fence))
    }

    /// Returns an upstream, if it takes work.
    pub fn live(&self, who: &Incarnation) -> Option<&Upstream> {
        let known = self.upstreams.get(&who.id)?;
        (known.incarnation == *who && known.phase == Phase::Ready).then_some(known)
    }
}

fn index(config: &RouteConfig) -> BTreeMap<String, Vec<usize>> {
    let mut by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (n, route) in config.routes.iter().enumerate() {
        by_host.entry(route.host.clone()).or_default().push(n);
    }
    let length = |n: &usize| config.routes.get(*n).map_or(0, |r| r.prefix.len());
    for list in by_host.values_mut() {
        list.sort_by_key(|n| std::cmp::Reverse(length(n)));
    }
    by_host
}
