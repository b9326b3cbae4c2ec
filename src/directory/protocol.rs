//! Requests to the directory's leader and its replies.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::clock::Mono;
use crate::raft::ReplicaId;
use crate::rate_limit::RateLimit;

use super::lessor::{Call, CallId, CallResult};
use super::model::{
    CallerLimits, Incarnation, Key, KeyRange, Route, RouteConfig, Service, Upstream,
};
use super::packed::PackedUpdate;
use super::state::{StoredConfig, Versions};
use super::suspects::{Acquittal, CrashReport, ListedSuspect, SuspectId};

/// The number of routes, upstreams, key ranges and suspected requests, of about 60 to 150 bytes each, that take as much processor
/// time to encode and encrypt as an update without any.
const ITEMS_PER_COST_UNIT: u64 = 256;

/// The number of requests that an entry host received, by key of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCounts {
    /// The service.
    pub service: String,
    /// The number of requests by key since the last report.
    pub counts: Vec<(Key, u32)>,
}

/// How fast an upstream answered an entry host's requests since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSpeed {
    /// The upstream's id.
    pub upstream: String,
    /// The total time it spent on requests, in milliseconds.
    pub total_ms: u32,
    /// The number of requests that it answered.
    pub answers: u32,
}

/// What a process knows of an upstream's rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The upstream.
    pub upstream: Incarnation,
    /// The limit; `None` once it has ended.
    pub limit: Option<RateLimit>,
    /// How long ago an entry host read it in a response, in milliseconds.
    pub age_ms: u64,
    /// The limit that the leader infers from what the upstream can serve; `None` in reports of entry hosts.
    pub inferred: Option<RateLimit>,
}

impl LimitReport {
    /// Returns the limit in force: the lowest of those that the upstream has.
    pub fn effective(&self) -> Option<RateLimit> {
        [self.limit, self.inferred].into_iter().flatten().min()
    }
}

/// An entry host's request for permits to send requests to an upstream with a rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The limit as the host knows it.
    pub known: LimitReport,
    /// Whether the host read the limit itself and the leader may not know it. Otherwise it came from a leader:
    /// passed on again it would count as newer than it is.
    pub is_observed: bool,
    /// The number of permits; 0 only reports the limit.
    pub count: u32,
    /// How long the host's requests can wait for the start of their permits, in milliseconds.
    pub wait_max_ms: u64,
}

/// The terms under which permits are issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitTerms {
    /// The limit in force: the lowest of those that the leader knows.
    pub limit: RateLimit,
    /// Whether the upstream was cold. While it is, hosts use no other permits.
    pub is_cold: bool,
    /// How long a permit can be used from its start time on, in milliseconds.
    pub lifetime_ms: u64,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The limit that the upstream names, as the leader knows it.
    pub known: LimitReport,
    /// The terms of the permits; `None` if the leader knows no limit.
    pub terms: Option<PermitTerms>,
    /// The time until each permit starts, in milliseconds, in ascending order.
    pub starts_in_ms: Vec<u64>,
}

/// The result of a call that a directory host made for the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalResult {
    /// The call.
    pub id: CallId,
    /// Its result.
    pub result: CallResult,
    /// How long ago the call ended when this was sent, in milliseconds.
    pub age_ms: u64,
}

/// A request to the directory's leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryRequest {
    /// Registers an upstream or refreshes its registration.
    Announce(Upstream),
    /// Registers upstreams that announced a change to a follower, which answers them once the leader has
    /// replied.
    AnnounceAll(Vec<Upstream>),
    /// Reports upstreams that announced themselves without a change to a follower, which has already
    /// acknowledged it.
    ReportAlive(Vec<Incarnation>),
    /// Deregisters an upstream.
    Leave(Incarnation),
    /// Replaces the configuration, on behalf of an operator.
    Configure(Box<StoredConfig>),
    /// Reads the document of the configuration in force.
    ReadConfig,
    /// Waits for changes since the versions that an entry host has.
    Watch {
        /// The entry host's name.
        host: String,
        /// The versions that it has.
        known_versions: Versions,
        /// Requests by key since its last request.
        counts: Vec<KeyCounts>,
        /// How fast upstreams were since its last request.
        speeds: Vec<UpstreamSpeed>,
        /// The version of the rate limits that it has.
        known_limits: u64,
        /// The version of the suspected requests that it has.
        known_suspects: u64,
    },
    /// Asks to add a replica to the log's membership.
    Join {
        /// The replica's address, `IP:PORT`.
        host: String,
        /// The replica's identity.
        replica: ReplicaId,
    },
    /// Asks for permits, and reports the limits of upstreams.
    TakePermits {
        /// The entry host's name.
        host: String,
        /// The permits that it needs.
        requests: Vec<PermitRequest>,
    },
    /// Reports upstreams that ended while they had requests, and answers to suspected requests.
    ReportCrashes {
        /// The entry host's name.
        host: String,
        /// The ends of upstreams.
        crashes: Vec<CrashReport>,
        /// The answers.
        acquittals: Vec<Acquittal>,
        /// Requests that were to be tried but weren't run.
        unused_trials: Vec<SuspectId>,
    },
    /// Asks for leave to send a suspected request as a trial.
    BeginTrial {
        /// The request.
        id: SuspectId,
        /// How long the trial takes at most, in milliseconds.
        for_ms: u64,
    },
    /// Lists the requests that are on trial or in quarantine.
    ListSuspects,
    /// Drops all suspicions against a request, on behalf of an operator.
    ClearSuspect(SuspectId),
    /// Begins or ends the evacuation of an availability zone, on behalf of an operator.
    SetEvacuation {
        /// The availability zone.
        zone: String,
        /// Whether it is to be evacuated.
        is_evacuated: bool,
    },
    /// Asks for calls to upstreams that another directory host makes for the leader.
    TakeRenewals {
        /// The address of the directory host.
        host: String,
        /// The number of the last batch of calls that it got from this leader; 0 if none.
        received: u64,
        /// The results of earlier calls.
        results: Vec<RenewalResult>,
    },
}

/// The difference between a new configuration and an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The version of the new configuration.
    pub version: u64,
    /// The version that `routes` and `removed` are relative to; `None` if `routes` contains all routes.
    pub base: Option<u64>,
    /// The routes that are new or changed.
    pub routes: Vec<Route>,
    /// The host and path prefix of each removed route.
    pub removed: Vec<(String, String)>,
    /// All services by name.
    pub services: BTreeMap<String, Service>,
    /// The limits on what callers may send.
    pub limits: CallerLimits,
}

impl ConfigUpdate {
    /// Applies the update to `before` and returns the new configuration, or `None` if the update is relative
    /// to another version.
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

/// Changes of the directory's state, sent to an entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The versions of all parts after the update.
    pub versions: Versions,
    /// The configuration, if it changed.
    pub config: Option<ConfigUpdate>,
    /// The upstreams that changed.
    pub upstreams: Vec<Upstream>,
    /// Whether `upstreams` contains all upstreams, so that others must be dropped.
    pub upstreams_complete: bool,
    /// The key ranges with a new owner or fencing token, by service and in the order of their tokens.
    pub owners: Vec<(String, Vec<KeyRange>)>,
    /// The evacuated availability zones, if they changed.
    pub evacuated_zones: Option<BTreeSet<String>>,
    /// The addresses of all replicas.
    pub replicas: Vec<String>,
    /// The number of entry hosts that watch the directory.
    pub entry_hosts: u32,
    /// The version of the rate limits.
    pub limits_version: u64,
    /// All rate limits of upstreams, if they changed.
    pub limits: Vec<LimitReport>,
    /// The version of the suspected requests.
    pub suspects_version: u64,
    /// The requests on trial or in quarantine that changed.
    pub suspects: Vec<ListedSuspect>,
    /// Whether `suspects` contains all of them, so that others must be dropped.
    pub suspects_complete: bool,
    /// How long the leader held the request before it created the update, in milliseconds.
    pub held_ms: u64,
}

impl Update {
    /// Returns the earliest time at which the leader confirmed this update. A request that was sent at
    /// `asked_at` can't have arrived earlier, however long the answer took.
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

    /// Returns the approximate cost of sending the update, relative to one without changes.
    pub fn send_cost(&self) -> u64 {
        1 + self.item_count() as u64 / ITEMS_PER_COST_UNIT
    }

    /// Returns the number of routes, upstreams, key ranges and suspected requests in the update.
    pub(super) fn item_count(&self) -> usize {
        let routes = self.config.as_ref().map_or(0, |c| c.routes.len());
        let owners = self.owners.iter().map(|(_, ranges)| ranges.len());
        routes + self.upstreams.len() + owners.sum::<usize>() + self.suspects.len()
    }
}

/// A reply to a [`DirectoryRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request was carried out, and what it changed is durable.
    Done,
    /// The receiver isn't the leader or can't be sure that it is. Contains the leader's address, if known.
    NotLeader(Option<String>),
    /// The document of the configuration in force, if there is one.
    Config(Option<Vec<u8>>),
    /// The changes since the versions that the request named.
    Update(Box<Update>),
    /// The permits that were asked for.
    Permits {
        /// The permits, in the order of the request.
        grants: Vec<PermitGrant>,
        /// The minimum time from this request to the host's next one, in milliseconds.
        pause_ms: u64,
    },
    /// No trial may begin now.
    NoTrial {
        /// The time after which one may, in milliseconds.
        wait_ms: u64,
    },
    /// The request needs no trial.
    NotSuspected,
    /// The requests on trial or in quarantine.
    Suspects(Vec<ListedSuspect>),
    /// Many changes since the versions that the request named.
    PackedUpdate {
        /// The changes.
        packed: PackedUpdate,
        /// How long the leader held the request before it created the update, in milliseconds.
        held_ms: u64,
    },
    /// Calls to upstreams.
    Renewals {
        /// The calls.
        calls: Vec<Call>,
        /// The number of this batch of calls.
        number: u64,
        /// How much longer the calls may be written, in milliseconds from the request on.
        lease_ms: u64,
        /// The time after which the host asks again, in milliseconds.
        pause_ms: u64,
    },
}
