//! The replicated state machine: commands and what they change.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ask::{ConfigUpdate, Update};
use super::model::{Incarnation, Key, KeyRange, KeyTable, Phase, Route, RouteConfig, Upstream};

/// A configuration with the text it was read from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The configuration.
    pub config: RouteConfig,
    /// The document as the operator sent it.
    pub source: Vec<u8>,
}

/// Routes that are gone and of which followers are told one by one. Those that lack more are sent the whole
/// configuration.
const REMOVED_MAX: usize = 1_024;

/// Which configuration last changed each route, by host and prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct RouteChanges {
    changed: BTreeMap<(String, String), u64>,
    removed: BTreeMap<(String, String), u64>,
    /// Followers with an older configuration than this lack removed routes that aren't listed any longer.
    complete_from: u64,
}

impl RouteChanges {
    /// Notes what `next` changes.
    fn note(&mut self, before: Option<&RouteConfig>, next: &RouteConfig) {
        let place = |r: &Route| (r.host.clone(), r.prefix.clone());
        let none = Vec::new();
        let routes = before.map_or(&none, |b| &b.routes);
        let mut old: BTreeMap<_, &Route> = routes.iter().map(|r| (place(r), r)).collect();
        for route in &next.routes {
            let place = place(route);
            if old.remove(&place) != Some(route) {
                self.removed.remove(&place);
                self.changed.insert(place, next.version);
            }
        }
        for place in old.into_keys() {
            self.changed.remove(&place);
            self.removed.insert(place, next.version);
        }
        while self.removed.len() > REMOVED_MAX {
            let Some(oldest) = self.removed.values().min().copied() else {
                break;
            };
            self.removed.retain(|_, version| *version > oldest);
            self.complete_from = self.complete_from.max(oldest);
        }
    }

    /// Returns what changed since configuration `have`.
    fn since(&self, have: u64, config: &RouteConfig) -> ConfigUpdate {
        let is_whole = have == 0 || have < self.complete_from || have > config.version;
        let place = |r: &Route| (r.host.clone(), r.prefix.clone());
        let is_new = |r: &&Route| {
            let changed = self.changed.get(&place(r)).copied().unwrap_or(0);
            is_whole || changed > have
        };
        let removed = self
            .removed
            .iter()
            .filter(|(_, version)| !is_whole && **version > have);
        ConfigUpdate {
            version: config.version,
            base: (!is_whole).then_some(have),
            routes: config.routes.iter().filter(is_new).cloned().collect(),
            removed: removed.map(|(place, _)| place.clone()).collect(),
            services: config.services.clone(),
            limits: config.limits,
        }
    }
}

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Takes a configuration, if its version is the highest so far.
    Configure(Box<StoredConfig>),
    /// Notes what an upstream says of itself.
    Register(Upstream),
    /// Notes what several upstreams say of themselves.
    RegisterAll(Vec<Upstream>),
    /// Notes that an upstream leaves.
    Deregister(Incarnation),
    /// Drops upstreams that haven't been heard of for long.
    Forget(Vec<Incarnation>),
    /// Draws new fencing tokens for all keys; owners stay.
    DrawFences,
    /// Gives keys to an owner, with a new fencing token.
    Assign {
        /// The service.
        service: String,
        /// The first key.
        from: Key,
        /// The last key.
        to: Key,
        /// The new owner.
        owner: Incarnation,
    },
}

/// Versions of the parts of the state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The configuration's number.
    pub config: u64,
    /// The upstreams: the log index of their last change.
    pub upstreams: u64,
    /// The owners of keys: the newest fencing token.
    pub owners: u64,
}

/// The whole replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The configuration in force.
    pub config: Option<StoredConfig>,
    route_changes: RouteChanges,
    /// Every upstream that is known, by id.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Ids of the upstreams at each address.
    by_address: BTreeMap<SocketAddr, BTreeSet<String>>,
    /// When each upstream last changed, by id.
    changed: BTreeMap<String, u64>,
    /// When an upstream was last forgotten.
    forgot: u64,
    /// Owners of keys, by service.
    pub owners: BTreeMap<String, KeyTable>,
    /// Versions of the parts.
    pub versions: Versions,
}

impl State {
    /// Applies the command of log entry `index`.
    pub fn apply(&mut self, index: u64, command: Command) {
        match command {
            Command::Configure(stored) => self.configure(*stored),
            Command::Register(upstream) => self.register(index, upstream),
            Command::RegisterAll(list) => {
                for upstream in list {
                    self.register(index, upstream);
                }
            }
            Command::Deregister(who) => self.deregister(index, &who),
            Command::Forget(list) => {
                for who in list {
                    let known = self.upstreams.get(&who.id);
                    if let Some(address) = known.filter(|u| u.incarnation == who).map(|u| u.address)
                    {
                        self.upstreams.remove(&who.id);
                        self.leave_address(address, &who.id);
                        self.changed.remove(&who.id);
                        self.forgot = index;
                        self.versions.upstreams = index;
                    }
                }
            }
            Command::DrawFences => {
                let tables = self.owners.values_mut();
                for range in tables.flat_map(|t| t.ranges.values_mut()) {
                    self.versions.owners += 1;
                    range.fence = self.versions.owners;
                }
            }
            Command::Assign {
                service,
                from,
                to,
                owner,
            } => {
                self.versions.owners += 1;
                let table = self.owners.entry(service).or_default();
                table.assign(from, to, owner, self.versions.owners);
            }
        }
    }

    /// Returns what changed since `have`.
    pub fn update_since(&self, have: Versions) -> Update {
        let config = self.config.as_ref().map(|c| &c.config);
        let versions = self.versions;
        let whole = have.upstreams < self.forgot || have.upstreams > versions.upstreams;
        let is_new = |u: &&Upstream| {
            let changed = self.changed.get(&u.incarnation.id).copied().unwrap_or(0);
            whole || changed > have.upstreams
        };
        let upstreams = self.upstreams.values().filter(is_new).cloned().collect();
        let mut owners = Vec::new();
        for (service, table) in &self.owners {
            let newer = table.ranges.values().filter(|r| r.fence > have.owners);
            let mut ranges: Vec<KeyRange> = newer.cloned().collect();
            ranges.sort_by_key(|r| r.fence);
            if !ranges.is_empty() {
                owners.push((service.clone(), ranges));
            }
        }
        Update {
            versions,
            config: config
                .filter(|_| have.config != versions.config)
                .map(|config| self.route_changes.since(have.config, config)),
            upstreams,
            whole,
            owners,
            replicas: Vec::new(),
            entry_hosts: 0,
            held_ms: 0,
        }
    }

    /// Returns the version of the upstreams in which one last changed, 0 when it isn't known.
    pub fn changed_at(&self, id: &str) -> u64 {
        self.changed.get(id).copied().unwrap_or(0)
    }

    /// Returns the number of the configuration in force, 0 for none.
    pub fn config_version(&self) -> u64 {
        self.versions.config
    }

    /// Tells whether registering `upstream` would change anything.
    pub fn would_change(&self, upstream: &Upstream) -> bool {
        match self.accepted(upstream) {
            Some(next) => self.upstreams.get(&next.incarnation.id) != Some(&next),
            None => false,
        }
    }

    /// Returns the process, when it is the newest one known under its id.
    pub fn live(&self, who: &Incarnation) -> Option<&Upstream> {
        let known = self.upstreams.get(&who.id)?;
        (known.incarnation == *who && known.phase != Phase::Gone).then_some(known)
    }

    fn configure(&mut self, stored: StoredConfig) {
        let version = stored.config.version;
        if version <= self.versions.config {
            return;
        }
        let before = self.config.as_ref().map(|c| &c.config);
        self.route_changes.note(before, &stored.config);
        self.versions.config = version;
        self.config = Some(stored);
    }

    /// Returns what would be stored for `upstream`, or `None` when a later process is known.
    fn accepted(&self, upstream: &Upstream) -> Option<Upstream> {
        let who = &upstream.incarnation;
        let mut next = upstream.clone();
        if let Some(known) = self.upstreams.get(&who.id) {
            if known.incarnation.born_ms > who.born_ms {
                return None;
            }
            if known.incarnation == *who {
                next.phase = next.phase.max(known.phase);
            }
        }
        let mut others = self.others_at(upstream);
        if others.any(|other| other.incarnation.born_ms > who.born_ms) {
            next.phase = Phase::Gone;
        }
        Some(next)
    }

    fn register(&mut self, index: u64, upstream: Upstream) {
        let Some(next) = self.accepted(&upstream) else {
            return;
        };
        let who = next.incarnation.clone();
        let is_older = |other: &&Upstream| other.incarnation.born_ms < who.born_ms;
        let replaced = self.others_at(&next).filter(is_older);
        let replaced: Vec<String> = replaced.map(|u| u.incarnation.id.clone()).collect();
        for id in replaced {
            if let Some(other) = self.upstreams.get_mut(&id) {
                other.phase = Phase::Gone;
            }
            self.changed.insert(id, index);
        }
        if let Some(before) = self.upstreams.get(&who.id).map(|u| u.address) {
            self.leave_address(before, &who.id);
        }
        let at = self.by_address.entry(next.address).or_default();
        at.insert(who.id.clone());
        self.changed.insert(who.id.clone(), index);
        self.upstreams.insert(who.id, next);
        self.versions.upstreams = index;
    }

    /// Returns the other upstreams at an upstream's address.
    fn others_at<'a>(&'a self, upstream: &'a Upstream) -> impl Iterator<Item = &'a Upstream> {
        let ids = self.by_address.get(&upstream.address).into_iter().flatten();
        ids.filter(|id| **id != upstream.incarnation.id)
            .filter_map(|id| self.upstreams.get(id))
    }

    fn leave_address(&mut self, address: SocketAddr, id: &str) {
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    fn deregister(&mut self, index: u64, who: &Incarnation) {
        let Some(known) = self.upstreams.get_mut(&who.id) else {
            return;
        };
        if known.incarnation.born_ms <= who.born_ms || who.born_ms == 0 {
            known.phase = Phase::Gone;
            self.changed.insert(who.id.clone(), index);
            self.versions.upstreams = index;
        }
    }
}
