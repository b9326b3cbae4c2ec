//! What the directory replicates: route configuration, upstreams, and owners of key ranges.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A key of a service that is divided by key.
pub type Key = u16;

/// What a route's requests allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run once at most.
    AtMostOnce,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its share of the sum of all weights.
    pub weight: u32,
}

/// A rule that sends requests to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host that callers ask for, in lower case.
    pub host: String,
    /// The path's beginning; it ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// The longest time until a caller has an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer earns its full worth, in milliseconds.
    pub objective_ms: u64,
    /// The rank; 0 goes first.
    pub priority: u32,
    /// The services, never empty.
    pub targets: Vec<Target>,
    /// The most upstreams that one request may be sent to.
    pub attempts_max: u32,
}

/// What all upstreams of a service have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The path that tells an upstream's health.
    pub health_path: String,
    /// Connections that one upstream takes from all entry hosts together.
    pub connections_max: u32,
    /// Whether each key has one owner among the upstreams.
    pub sharded: bool,
    /// How long keys are slow at an owner that didn't get them by handover, in milliseconds.
    pub warmup_ms: u64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The head of a request, in bytes.
    pub header_bytes_max: u64,
    /// The body of a request, in bytes.
    pub body_bytes_max: u64,
    /// From a request's first byte to the end of its head, in milliseconds.
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

/// One version of the whole route configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Grows with each change; the highest is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// One start of an upstream process. An upstream that starts again may keep its id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// The upstream's id.
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock.
    pub born_ms: u64,
}

/// How far an upstream is on its way out; it never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Ends soon and takes no new work.
    Draining,
    /// Has said that it leaves, or another process took its address.
    Gone,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Which process this is.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes work.
    pub phase: Phase,
}

/// Adjacent keys with one owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    pub from: Key,
    /// The last key.
    pub to: Key,
    /// The owner.
    pub owner: Incarnation,
    /// The fencing token of this ownership; higher than any before it on these keys. All
    /// ownerships of a deployment have fences of their own.
    pub fence: u64,
}

impl KeyRange {
    /// Tells whether `key` is in the range.
    pub fn contains(&self, key: Key) -> bool {
        self.from <= key && key <= self.to
    }
}

/// The key ranges of one service, by first key. They never overlap.
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

    /// Gives `from..=to` to `owner`; ranges that it cuts keep what is left of them.
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

    /// Returns the parts of the key space that nobody owns.
    pub fn gaps(&self) -> Vec<(Key, Key)> {
        let owned: Vec<(Key, Key)> = self.ranges.values().map(|r| (r.from, r.to)).collect();
        uncovered_ranges(0, Key::MAX, owned)
    }
}

/// Returns the parts of `from..=to` that none of `covered` covers.
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
