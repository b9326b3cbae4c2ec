//! The data that the directory replicates: route configuration, upstreams, and owners of key ranges.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::rate_limit::RateLimit;

/// A key of a service whose keys are divided among its upstreams.
pub type Key = u16;

/// How often a route's requests may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// A request may be executed any number of times.
    Idempotent,
    /// A request may be executed at most once.
    AtMostOnce,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its share of the requests, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A rule that sends requests for a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name, used in logs.
    pub name: String,
    /// The host name that callers request, in lower case.
    pub host: String,
    /// The path prefix, which ends with a slash.
    pub prefix: String,
    /// Whether requests may be sent again after a failed attempt.
    pub repeat: RepeatPolicy,
    /// The time within which a caller must have an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The target latency, within which an answer counts as fully on time, in milliseconds.
    pub objective_ms: u64,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The services that share the route's requests; never empty.
    pub targets: Vec<Target>,
    /// The maximum number of upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// The regions whose upstreams may serve the route; empty if all may.
    pub allowed_regions: BTreeSet<String>,
}

impl Route {
    /// Reports whether upstreams in `region` may serve the route. An upstream of an availability zone that isn't
    /// known to be in a region may only serve routes without restrictions.
    pub fn allows_region(&self, region: Option<&str>) -> bool {
        self.allowed_regions.is_empty() || region.is_some_and(|r| self.allowed_regions.contains(r))
    }
}

/// The settings that all upstreams of a service have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The path of the upstreams' health check.
    pub health_path: String,
    /// The maximum number of connections to one upstream, from all entry hosts together.
    pub connections_max: u32,
    /// Whether keys are divided among the upstreams, so that each key has one owner.
    pub sharded: bool,
    /// How long keys are served slowly by an owner that received them without a handover, in milliseconds.
    pub warmup_ms: u64,
    /// How long an upstream stays cold after it starts, in milliseconds.
    pub cold_start_ms: u64,
    /// The requests per second that a cold upstream bears from all entry hosts together, if it bears fewer than a
    /// warm one.
    pub cold_limit: Option<RateLimit>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub header_bytes_max: u64,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes_max: u64,
    /// The maximum time from a request's first byte to the end of its head, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes_max: 16 << 10,
            body_bytes_max: 64 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the complete route configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// The version, which grows with each change; the highest one is in force.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The limits on what callers may send.
    pub limits: CallerLimits,
}

impl RouteConfig {
    /// Returns the requests per second that an upstream bears from all entry hosts together because it is cold,
    /// or `None` if it is warm or its service has no such limit.
    pub fn cold_limit(&self, upstream: &Upstream) -> Option<RateLimit> {
        if !upstream.is_cold {
            return None;
        }
        self.services.get(&upstream.service)?.cold_limit
    }
}

/// One run of an upstream process. An upstream that restarts may keep its id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// The upstream's id.
    pub id: String,
    /// When the process started, in Unix milliseconds by its own clock.
    pub born_ms: u64,
}

/// How far an upstream's shutdown has come. An upstream never returns to an earlier phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Accepts requests.
    Ready,
    /// Shuts down soon and accepts no new requests.
    Draining,
    /// Has deregistered, or another process has taken over its address.
    Gone,
}

/// The registration that an upstream announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The process that announced it.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// The number of requests that it executes concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub phase: Phase,
    /// Whether it is cold: just started, or slow again for another reason.
    pub is_cold: bool,
    /// The sequence number of the heartbeat that `is_cold` is from. Heartbeats that don't change `is_cold` leave
    /// it, so that they needn't be replicated.
    pub cold_sequence: Option<u64>,
}

impl Upstream {
    /// Reports whether it accepts requests.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }
}

/// A range of adjacent keys with one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    pub from: Key,
    /// The last key.
    pub to: Key,
    /// The owner.
    pub owner: Incarnation,
    /// The fencing token of this ownership. It is higher than all earlier ones of these keys, and no two
    /// ownerships of a deployment share one.
    pub fence: u64,
}

impl KeyRange {
    /// Reports whether `key` is in the range.
    pub fn contains(&self, key: Key) -> bool {
        self.from <= key && key <= self.to
    }
}

/// The key ranges of one service. They never overlap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyTable {
    /// The ranges by their first key.
    pub ranges: BTreeMap<Key, KeyRange>,
}

impl KeyTable {
    /// Returns the range that holds `key`.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::model::{Incarnation, KeyTable};
    ///
    /// let mut table = KeyTable::default();
    /// let owner = Incarnation { id: "a".to_string(), born_ms: 1 };
    /// table.assign(0, 9, owner.clone(), 1);
    /// table.assign(4, 5, Incarnation { id: "b".to_string(), born_ms: 1 }, 2);
    /// assert_eq!(table.owner_of(4).map(|r| r.fence), Some(2));
    /// assert_eq!(table.owner_of(6).map(|r| (r.from, r.to, r.fence)), Some((6, 9, 1)));
    /// assert_eq!(table.owner_of(10), None);
    /// ```
    pub fn owner_of(&self, key: Key) -> Option<&KeyRange> {
        let (_, range) = self.ranges.range(..=key).next_back()?;
        range.contains(key).then_some(range)
    }

    /// Makes `owner` the owner of `from..=to`. Ranges that overlap it keep their remaining keys.
    pub fn assign(&mut self, from: Key, to: Key, owner: Incarnation, fence: u64) {
        let overlapping: Vec<KeyRange> = self
            .ranges
            .values()
            .filter(|r| r.from <= to && from <= r.to)
            .cloned()
            .collect();
        for range in overlapping {
            self.ranges.remove(&range.from);
            if range.from < from {
                let left = KeyRange {
                    to: from - 1,
                    ..range.clone()
                };
                self.ranges.insert(left.from, left);
            }
            if range.to > to {
                let right = KeyRange {
                    from: to + 1,
                    ..range
                };
                self.ranges.insert(right.from, right);
            }
        }
        let range = KeyRange {
            from,
            to,
            owner,
            fence,
        };
        self.ranges.insert(from, range);
    }

    /// Returns the parts of the key space without an owner.
    pub fn gaps(&self) -> Vec<(Key, Key)> {
        let owned: Vec<(Key, Key)> = self.ranges.values().map(|r| (r.from, r.to)).collect();
        uncovered_ranges(0, Key::MAX, owned)
    }
}

/// Returns the parts of `from..=to` that none of the ranges in `covered` contains.
///
/// # Examples
///
/// ```
/// use carobreel::directory::model::uncovered_ranges;
///
/// assert_eq!(uncovered_ranges(0, 9, vec![(4, 5), (8, 20)]), vec![(0, 3), (6, 7)]);
/// ```
pub fn uncovered_ranges(from: Key, to: Key, mut covered: Vec<(Key, Key)>) -> Vec<(Key, Key)> {
    covered.retain(|(a, b)| *a <= to && from <= *b);
    covered.sort_unstable();
    let mut uncovered = Vec::new();
    let mut next = u32::from(from);
    for (a, b) in covered {
        if u32::from(a) > next {
            uncovered.push((next as Key, a - 1));
        }
        next = next.max(u32::from(b) + 1);
    }
    if next <= u32::from(to) {
        uncovered.push((next as Key, to));
    }
    uncovered
}
