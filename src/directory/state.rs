//! The replicated state machine of the directory: its commands and the state that they change.

mod evacuation;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::coldness;
use super::departures::Departures;
use super::model::{Incarnation, Key, KeyRange, KeyTable, Phase, Route, RouteConfig, Upstream};
use super::protocol::{ConfigUpdate, Update};
use super::suspects::{Acquittal, CrashReport, SuspectChange, SuspectId, Suspects};
pub use evacuation::join_zones;

/// A configuration together with the document it was parsed from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The parsed configuration.
    pub config: RouteConfig,
    /// The document as the operator sent it.
    pub source: Vec<u8>,
}

/// The maximum number of removed routes that are remembered, so that watchers can be sent their removal
/// alone. A watcher that misses older removals is sent the whole configuration.
const REMOVED_ROUTES_MAX: usize = 1_024;

/// The configuration version in which each route last changed or was removed, by host and path prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct RouteChanges {
    changed_in: BTreeMap<(String, String), u64>,
    removed_in: BTreeMap<(String, String), u64>,
    /// The oldest version from which a diff can be made: removals up to it are no longer listed.
    oldest_base: u64,
}

impl RouteChanges {
    /// Records the routes that differ between `before` and `next`.
    fn record(&mut self, before: Option<&RouteConfig>, next: &RouteConfig) {
        let route_id = |r: &Route| (r.host.clone(), r.prefix.clone());
        let no_routes = Vec::new();
        let routes = before.map_or(&no_routes, |b| &b.routes);
        let mut previous: BTreeMap<_, &Route> = routes.iter().map(|r| (route_id(r), r)).collect();
        for route in &next.routes {
            let route_id = route_id(route);
            if previous.remove(&route_id) != Some(route) {
                self.removed_in.remove(&route_id);
                self.changed_in.insert(route_id, next.version);
            }
        }
        for route_id in previous.into_keys() {
            self.changed_in.remove(&route_id);
            self.removed_in.insert(route_id, next.version);
        }
        while self.removed_in.len() > REMOVED_ROUTES_MAX {
            let Some(oldest) = self.removed_in.values().min().copied() else {
                break;
            };
            self.removed_in.retain(|_, version| *version > oldest);
            self.oldest_base = self.oldest_base.max(oldest);
        }
    }

    /// Returns the changes since configuration `known`, or the whole configuration where no diff can be made.
    fn update_since(&self, known: u64, config: &RouteConfig) -> ConfigUpdate {
        let is_full = known == 0 || known < self.oldest_base || known > config.version;
        let route_id = |r: &Route| (r.host.clone(), r.prefix.clone());
        let is_new = |r: &&Route| {
            let changed = self.changed_in.get(&route_id(r)).copied().unwrap_or(0);
            is_full || changed > known
        };
        let removed = self
            .removed_in
            .iter()
            .filter(|(_, version)| !is_full && **version > known);
        ConfigUpdate {
            version: config.version,
            base: (!is_full).then_some(known),
            routes: config.routes.iter().filter(is_new).cloned().collect(),
            removed: removed.map(|(route_id, _)| route_id.clone()).collect(),
            services: config.services.clone(),
            limits: config.limits,
        }
    }
}

/// A command that changes the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration, if the new version is higher than the current one.
    Configure(Box<StoredConfig>),
    /// Registers an upstream.
    Register(Upstream),
    /// Registers several upstreams.
    RegisterAll(Vec<Upstream>),
    /// Marks an upstream as gone.
    Deregister(Incarnation),
    /// Removes upstreams that haven't announced themselves for a long time.
    Forget(Vec<Incarnation>),
    /// Issues new fencing tokens for all key ranges; the owners stay.
    ReissueFences,
    /// Assigns keys to an owner, with a new fencing token.
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
    /// Records an entry host's reports of upstreams that ended, and of answers to suspected requests.
    RecordCrashes {
        /// The entry host's name.
        host: String,
        /// The ends of upstreams.
        crashes: Vec<CrashReport>,
        /// The answers.
        acquittals: Vec<Acquittal>,
        /// Requests that were to be tried but weren't run.
        unused_trials: Vec<SuspectId>,
    },
    /// Begins a trial of a suspected request at upstreams with these versions of their software.
    BeginTrial(SuspectId, BTreeSet<String>),
    /// Drops all suspicions against a request.
    ClearSuspect(SuspectId),
    /// Removes traces of upstreams that left, by id and the log index of the trace.
    ForgetDepartures(Vec<(String, u64)>),
    /// Sets whether an availability zone is evacuated.
    SetEvacuation {
        /// The availability zone.
        zone: String,
        /// Whether it is evacuated from then on.
        is_evacuated: bool,
    },
}

/// The versions of the parts of the state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration.
    pub config: u64,
    /// The log index of the last change of the upstreams.
    pub upstreams: u64,
    /// The newest fencing token, which changes with the owners of keys.
    pub owners: u64,
    /// The log index of the last change of the evacuated availability zones.
    pub evacuations: u64,
}

/// The whole replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The configuration in force.
    pub config: Option<StoredConfig>,
    route_changes: RouteChanges,
    /// All registered upstreams, by id.
    pub upstreams: BTreeMap<String, Upstream>,
    /// The ids of the upstreams at each address.
    ids_by_address: BTreeMap<SocketAddr, BTreeSet<String>>,
    /// The log index of each upstream's last change, by id.
    change_indexes: BTreeMap<String, u64>,
    /// The log index at which an upstream was last removed.
    last_forget_index: u64,
    /// The owners of keys, by service.
    pub owners: BTreeMap<String, KeyTable>,
    /// The versions of the parts.
    pub versions: Versions,
    /// Requests that are suspected of ending upstreams.
    pub suspects: Suspects,
    /// Upstreams that left, or whose records were removed.
    pub departures: Departures,
    /// Availability zones whose upstreams are to get no requests and own no keys.
    pub evacuated_zones: BTreeSet<String>,
}

impl State {
    /// Applies the command of the log entry at `index`.
    pub fn apply(&mut self, index: u64, command: Command) {
        match command {
            Command::Configure(stored) => self.configure(*stored),
            Command::Register(upstream) => self.register(index, upstream),
            Command::RegisterAll(list) => {
                for upstream in list {
                    self.register(index, upstream);
                }
            }
            Command::Deregister(incarnation) => self.deregister(index, &incarnation),
            Command::Forget(list) => {
                for incarnation in list {
                    let known = self.upstreams.get(&incarnation.id);
                    if let Some((address, phase)) = known
                        .filter(|u| u.incarnation == incarnation)
                        .map(|u| (u.address, u.phase))
                    {
                        self.departures.record(index, &incarnation, phase);
                        self.upstreams.remove(&incarnation.id);
                        self.remove_address(address, &incarnation.id);
                        self.change_indexes.remove(&incarnation.id);
                        self.last_forget_index = index;
                        self.versions.upstreams = index;
                    }
                }
            }
            Command::ReissueFences => {
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
            Command::RecordCrashes {
                host,
                crashes,
                acquittals,
                unused_trials,
            } => {
                let mut suspects = std::mem::take(&mut self.suspects);
                self.record_crashes(&mut suspects, index, &host, &crashes, &acquittals);
                self.suspects = suspects;
                for id in &unused_trials {
                    self.suspects.take_back_trial(index, id);
                }
            }
            Command::BeginTrial(id, versions) => {
                self.suspects.begin_trial(index, &id, &versions);
            }
            Command::ClearSuspect(id) => {
                self.suspects.remove(index, &id);
            }
            Command::ForgetDepartures(list) => self.departures.remove_all(&list),
            Command::SetEvacuation { zone, is_evacuated } => {
                self.set_evacuation(index, zone, is_evacuated);
            }
        }
    }

    /// Records reports of an entry host in `suspects`, and returns what they change.
    pub(super) fn record_crashes(
        &self,
        suspects: &mut Suspects,
        index: u64,
        host: &str,
        crashes: &[CrashReport],
        acquittals: &[Acquittal],
    ) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        for report in crashes {
            let version = self.version_of(&report.upstream);
            changes.extend(suspects.record_crash(index, host, report, &version));
        }
        for acquittal in acquittals {
            let version = self.version_of(&acquittal.upstream);
            changes.extend(suspects.acquit(index, acquittal, &version));
        }
        changes
    }

    /// Returns the version of an upstream's software, empty if it is unknown.
    fn version_of(&self, incarnation: &Incarnation) -> String {
        let known = self.upstreams.get(&incarnation.id);
        known.map_or(String::new(), |u| u.version.clone())
    }

    /// Returns the changes since the versions `known`.
    pub fn update_since(&self, known: Versions) -> Update {
        let config = self.config.as_ref().map(|c| &c.config);
        let versions = self.versions;
        let upstreams_complete =
            known.upstreams < self.last_forget_index || known.upstreams > versions.upstreams;
        let upstreams = match upstreams_complete {
            true => self.upstreams.values().cloned().collect(),
            // Looks up only upstreams that changed: most updates have few of thousands.
            false => {
                let changes = self.change_indexes.iter();
                let changed = changes.filter(|(_, index)| **index > known.upstreams);
                let changed = changed.filter_map(|(id, _)| self.upstreams.get(id));
                changed.cloned().collect()
            }
        };
        let mut owners = Vec::new();
        for (service, table) in &self.owners {
            let newer = table.ranges.values().filter(|r| r.fence > known.owners);
            let mut ranges: Vec<KeyRange> = newer.cloned().collect();
            ranges.sort_by_key(|r| r.fence);
            if !ranges.is_empty() {
                owners.push((service.clone(), ranges));
            }
        }
        Update {
            versions,
            config: config
                .filter(|_| known.config != versions.config)
                .map(|config| self.route_changes.update_since(known.config, config)),
            upstreams,
            upstreams_complete,
            owners,
            evacuated_zones: (known.evacuations != versions.evacuations)
                .then(|| self.evacuated_zones.clone()),
            replicas: Vec::new(),
            entry_hosts: 0,
            limits_version: 0,
            limits: Vec::new(),
            suspects_version: 0,
            suspects: Vec::new(),
            suspects_complete: false,
            held_ms: 0,
        }
    }

    /// Returns the log index at which an upstream last changed, or 0 if it is unknown.
    pub fn change_index(&self, id: &str) -> u64 {
        self.change_indexes.get(id).copied().unwrap_or(0)
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.versions.config
    }

    /// Reports whether registering `upstream` would change the state.
    pub fn would_change(&self, upstream: &Upstream) -> bool {
        match self.resolve_registration(upstream) {
            Some(next) => self.upstreams.get(&next.incarnation.id) != Some(&next),
            None => false,
        }
    }

    /// Returns the upstream with this incarnation, unless a newer process has its id or it is gone.
    pub fn find_live(&self, incarnation: &Incarnation) -> Option<&Upstream> {
        let known = self.upstreams.get(&incarnation.id)?;
        (known.incarnation == *incarnation && known.phase != Phase::Gone).then_some(known)
    }

    fn configure(&mut self, stored: StoredConfig) {
        let version = stored.config.version;
        if version <= self.versions.config {
            return;
        }
        let before = self.config.as_ref().map(|c| &c.config);
        self.route_changes.record(before, &stored.config);
        self.versions.config = version;
        self.config = Some(stored);
    }

    /// Returns the record that registering `upstream` would store, or `None` if a later process with its id
    /// is known or it left before it was known.
    pub(super) fn resolve_registration(&self, upstream: &Upstream) -> Option<Upstream> {
        let incarnation = &upstream.incarnation;
        let mut next = upstream.clone();
        if let Some(known) = self.upstreams.get(&incarnation.id) {
            if known.incarnation.born_ms > incarnation.born_ms {
                return None;
            }
            if known.incarnation == *incarnation {
                next.phase = next.phase.max(known.phase);
                coldness::resolve(&mut next, known);
            }
        }
        match self.departures.phase_of(incarnation) {
            Some(Phase::Gone) if !self.upstreams.contains_key(&incarnation.id) => return None,
            Some(phase) => next.phase = next.phase.max(phase),
            None => {}
        }
        let mut others = self.others_at_address(upstream);
        if others.any(|other| other.incarnation.born_ms > incarnation.born_ms) {
            next.phase = Phase::Gone;
        }
        Some(next)
    }

    fn register(&mut self, index: u64, upstream: Upstream) {
        let Some(next) = self.resolve_registration(&upstream) else {
            return;
        };
        let incarnation = next.incarnation.clone();
        self.departures.supersede(&incarnation);
        let is_older = |other: &&Upstream| other.incarnation.born_ms < incarnation.born_ms;
        let replaced = self.others_at_address(&next).filter(is_older);
        let replaced: Vec<String> = replaced.map(|u| u.incarnation.id.clone()).collect();
        for id in replaced {
            if let Some(other) = self.upstreams.get_mut(&id) {
                other.phase = Phase::Gone;
            }
            self.change_indexes.insert(id, index);
        }
        if let Some(before) = self.upstreams.get(&incarnation.id).map(|u| u.address) {
            self.remove_address(before, &incarnation.id);
        }
        let ids = self.ids_by_address.entry(next.address).or_default();
        ids.insert(incarnation.id.clone());
        self.change_indexes.insert(incarnation.id.clone(), index);
        self.upstreams.insert(incarnation.id, next);
        self.versions.upstreams = index;
    }

    /// Returns the other upstreams at an upstream's address.
    fn others_at_address<'a>(
        &'a self,
        upstream: &'a Upstream,
    ) -> impl Iterator<Item = &'a Upstream> {
        let ids = self
            .ids_by_address
            .get(&upstream.address)
            .into_iter()
            .flatten();
        ids.filter(|id| **id != upstream.incarnation.id)
            .filter_map(|id| self.upstreams.get(id))
    }

    fn remove_address(&mut self, address: SocketAddr, id: &str) {
        if let Some(ids) = self.ids_by_address.get_mut(&address) {
            ids.remove(id);
            if ids.is_empty() {
                self.ids_by_address.remove(&address);
            }
        }
    }

    fn deregister(&mut self, index: u64, incarnation: &Incarnation) {
        let known = self.upstreams.get(&incarnation.id);
        // The first announcement of the process that leaves may arrive later.
        if known.is_none_or(|u| u.incarnation.born_ms < incarnation.born_ms) {
            self.departures.record(index, incarnation, Phase::Gone);
        }
        let Some(known) = self.upstreams.get_mut(&incarnation.id) else {
            return;
        };
        // A start time of 0 means that the deregistration named no process; it applies to the newest one.
        if known.incarnation.born_ms <= incarnation.born_ms || incarnation.born_ms == 0 {
            known.phase = Phase::Gone;
            self.change_indexes.insert(incarnation.id.clone(), index);
            self.versions.upstreams = index;
        }
    }
}
