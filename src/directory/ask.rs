//! What processes ask of the directory's leader.

use serde::{Deserialize, Serialize};

use crate::raft::ReplicaId;

use super::model::{Incarnation, Key, KeyRange, RouteConfig, Upstream};
use super::state::{StoredConfig, Versions};

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
pub enum Ask {
    /// An upstream announces itself.
    Announce(Upstream),
    /// An upstream leaves.
    Leave(Incarnation),
    /// An operator hands in a configuration.
    Configure(Box<StoredConfig>),
    /// An operator reads the configuration back.
    ReadConfig,
    /// An entry host wants what changed since the versions that it has.
    Follow {
        /// The entry host.
        host: String,
        /// What it has.
        have: Versions,
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

/// What changed in the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Versions of all parts.
    pub versions: Versions,
    /// The configuration, when it changed.
    pub config: Option<RouteConfig>,
    /// Upstreams that changed.
    pub upstreams: Vec<Upstream>,
    /// Whether `upstreams` names all that there are.
    pub whole: bool,
    /// Key ranges with a new owner by service, in the order of their fencing tokens.
    pub owners: Vec<(String, Vec<KeyRange>)>,
    /// Addresses of all replicas.
    pub replicas: Vec<String>,
    /// Entry hosts that follow the directory.
    pub entry_hosts: u32,
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
