//! What processes ask of the directory's leader.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::clock::Mono;
use crate::raft::ReplicaId;

use super::model::{
    CallerLimits, Incarnation, Key, KeyRange, Route, RouteConfig, Service, Upstream,
};
use super::state::{StoredConfig, Versions};

/// Routes, upstreams and ranges, of some 60 to 150 bytes each, that take as much processor time to encode
/// and encrypt as an update itself.
const ITEMS_PER_COST_UNIT: u64 = 256;

/// Requests that an entry host has seen, by key of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCounts {
    /// The service.
    pub service: String,
    /// Requests by key since the last report.
    pub counts: Vec<(Key, u32)>,
}

/// How fast an upstream has worked for an entry host since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSpeed {
    /// The upstream's id.
    pub upstream: String,
    /// The time that it worked on requests, in milliseconds.
    pub total_ms: u32,
    /// The requests.
    pub answers: u32,
}

/// A request to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryRequest {
    /// An upstream announces itself.
    Announce(Upstream),
    /// Upstreams that announced themselves to a follower with news, which waits for the answer.
    AnnounceAll(Vec<Upstream>),
    /// Upstreams that announced themselves to a follower, which acknowledged it.
    ReportAlive(Vec<Incarnation>),
    /// An upstream leaves.
    Leave(Incarnation),
    /// An operator hands in a configuration.
    Configure(Box<StoredConfig>),
    /// An operator reads the configuration back.
    ReadConfig,
    /// An entry host wants what changed since the versions that it has.
    Watch {
        /// The entry host.
        host: String,
        /// What it has.
        known_versions: Versions,
        /// What it has seen since its last request.
        counts: Vec<KeyCounts>,
        /// How fast upstreams were.
        speeds: Vec<UpstreamSpeed>,
    },
    /// A replica that isn't part of the log wants to become one.
    Join {
        /// Its address, `IP:PORT`.
        host: String,
        /// Its identity.
        replica: ReplicaId,
    },
}

/// A new configuration, as far as it differs from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The new number.
    pub version: u64,
    /// The configuration that `routes` and `removed` change; `None` when `routes` names all that there are.
    pub base: Option<u64>,
    /// Routes that are new or different.
    pub routes: Vec<Route>,
    /// Host and prefix of the routes that are gone.
    pub removed: Vec<(String, String)>,
    /// All services by name.
    pub services: BTreeMap<String, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl ConfigUpdate {
    /// Returns the configuration after this update of `before`, or `None` where it is an update of another
    /// one.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::protocol::ConfigUpdate;
    /// use carobreel::directory::model::RouteConfig;
    ///
    /// let update = ConfigUpdate {
    ///     version: 3,
    ///     base: Some(2),
    ///     routes: Vec::new(),
    ///     removed: Vec::new(),
    ///     services: Default::default(),
    ///     limits: Default::default(),
    /// };
    /// let second = RouteConfig { version: 2, ..RouteConfig::default() };
    /// assert_eq!(update.applied_to(&second).map(|c| c.version), Some(3));
    /// assert_eq!(update.applied_to(&RouteConfig::default()), None);
    /// ```
    pub fn applied_to(&self, before: &RouteConfig) -> Option<RouteConfig> {
        let mut routes = self.routes.clone();
        if let Some(base) = self.base {
            if base != before.version {
                return None;
            }
            let route_id = |r: &Route| (r.host.clone(), r.prefix.clone());
            let changed: BTreeSet<_> = self.routes.iter().map(route_id).collect();
            let removed: BTreeSet<_> = self.removed.iter().cloned().collect();
            let is_unchanged =
                |r: &&Route| !changed.contains(&route_id(r)) && !removed.contains(&route_id(r));
            routes.extend(before.routes.iter().filter(is_unchanged).cloned());
        }
        Some(RouteConfig {
            version: self.version,
            routes,
            services: self.services.clone(),
            limits: self.limits,
        })
    }
}

/// What changed in the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Versions of all parts.
    pub versions: Versions,
    /// The configuration, when it changed.
    pub config: Option<ConfigUpdate>,
    /// Upstreams that changed.
    pub upstreams: Vec<Upstream>,
    /// Whether `upstreams` names all that there are.
    pub upstreams_complete: bool,
    /// Key ranges with a new owner by service, in the order of their fencing tokens.
    pub owners: Vec<(String, Vec<KeyRange>)>,
    /// Addresses of all replicas.
    pub replicas: Vec<String>,
    /// Entry hosts that follow the directory.
    pub entry_hosts: u32,
    /// How long the leader held the request before it looked, in milliseconds.
    pub held_ms: u64,
}

impl Update {
    /// Returns when the leader confirmed this, at the earliest: a request that left at `asked_at` arrived no
    /// earlier, however long the answer was on its way.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::directory::protocol::Update;
    ///
    /// let update = Update { held_ms: 200, ..Update::default() };
    /// assert_eq!(update.confirmed_at(Mono(1_000)), Mono(1_200));
    /// ```
    pub fn confirmed_at(&self, asked_at: Mono) -> Mono {
        asked_at.plus(self.held_ms)
    }

    /// Returns about how much an update takes to send, against one without news.
    pub fn send_cost(&self) -> u64 {
        let routes = self.config.as_ref().map_or(0, |c| c.routes.len());
        let owners = self.owners.iter().map(|(_, ranges)| ranges.len());
        let items = routes + self.upstreams.len() + owners.sum::<usize>();
        1 + items as u64 / ITEMS_PER_COST_UNIT
    }
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It is noted, for good where the request changes something.
    Done,
    /// The receiver doesn't lead, or can't be sure that it does; the leader's address, if known.
    NotLeader(Option<String>),
    /// The document in force, or none.
    Config(Option<Vec<u8>>),
    /// What changed.
    Update(Box<Update>),
}
