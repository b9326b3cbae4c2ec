//! The replicated state machine: commands and what they change.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::model::{Incarnation, Key, KeyTable, Phase, RouteConfig, Upstream};

/// A configuration with the text it was read from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The configuration.
    pub config: RouteConfig,
    /// The document as the operator sent it.
    pub source: Vec<u8>,
}

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Takes a configuration, if its version is the highest so far.
    Configure(Box<StoredConfig>),
    /// Notes what an upstream says of itself.
    Register(Upstream),
    /// Notes that an upstream leaves.
    Deregister(Incarnation),
    /// Drops upstreams that haven't been heard of for long.
    Forget(Vec<Incarnation>),
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

/// Versions of the parts of the state; each is the log index of the part's last change, and the
/// configuration's is its own number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The configuration's number.
    pub config: u64,
    /// The upstreams.
    pub upstreams: u64,
    /// The owners of keys.
    pub owners: u64,
}

/// The whole replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The configuration in force.
    pub config: Option<StoredConfig>,
    /// Every upstream that is known, by id.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Owners of keys, by service.
    pub owners: BTreeMap<String, KeyTable>,
    /// The newest fencing token.
    pub fence: u64,
    /// Versions of the parts.
    pub versions: Versions,
}

impl State {
    /// Applies the command of log entry `index`.
    pub fn apply(&mut self, index: u64, command: Command) {
        match command {
            Command::Configure(stored) => self.configure(*stored),
            Command::Register(upstream) => self.register(index, upstream),
            Command::Deregister(who) => self.deregister(index, &who),
            Command::Forget(list) => {
                for who in list {
                    let known = self.upstreams.get(&who.id);
                    if known.is_some_and(|u| u.incarnation == who) {
                        self.upstreams.remove(&who.id);
                        self.versions.upstreams = index;
                    }
                }
            }
            Command::Assign {
                service,
                from,
                to,
                owner,
            } => {
                self.fence += 1;
                let table = self.owners.entry(service).or_default();
                table.assign(from, to, owner, self.fence);
                self.versions.owners = index;
            }
        }
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
        let superseded = |other: &Upstream| {
            other.address == upstream.address
                && other.incarnation.id != who.id
                && other.incarnation.born_ms > who.born_ms
        };
        if self.upstreams.values().any(superseded) {
            next.phase = Phase::Gone;
        }
        Some(next)
    }

    fn register(&mut self, index: u64, upstream: Upstream) {
        let Some(next) = self.accepted(&upstream) else {
            return;
        };
        let who = next.incarnation.clone();
        for other in self.upstreams.values_mut() {
            let replaced = other.address == next.address
                && other.incarnation.id != who.id
                && other.incarnation.born_ms < who.born_ms;
            if replaced {
                other.phase = Phase::Gone;
            }
        }
        self.upstreams.insert(who.id, next);
        self.versions.upstreams = index;
    }

    fn deregister(&mut self, index: u64, who: &Incarnation) {
        let Some(known) = self.upstreams.get_mut(&who.id) else {
            return;
        };
        if known.incarnation.born_ms <= who.born_ms || who.born_ms == 0 {
            known.phase = Phase::Gone;
            self.versions.upstreams = index;
        }
    }
}
