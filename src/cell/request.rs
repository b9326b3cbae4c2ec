//! What is asked of a cell's leader, and what it answers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::raft::ReplicaId;

use super::loads::LoadReport;
use super::ownership::Grant;
use super::state::{Command, Outcome, RouterId, State, UpstreamId};
use super::update::Update;

/// An entry host's request for a routing lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Who asks.
    pub router: RouterId,
    /// The version of the table it uses.
    pub table_version: u64,
    /// Nothing is in flight there for slots frozen by this version.
    pub drained_version: u64,
    /// Its load since the last request.
    pub loads: Vec<LoadReport>,
}

/// An upstream's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The version of the grant it follows.
    pub acked_version: u64,
}

/// A replica on a new disk that asks to become a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// The new identity.
    pub replica: ReplicaId,
    /// Its host.
    pub host: String,
}

/// What is asked of a cell's leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// A routing lease and the changes since a version.
    Renew(Renewal),
    /// A routing lease is given back.
    Release(RouterId),
    /// Grants for upstreams.
    Heartbeats(Vec<Heartbeat>),
    /// A command for the log.
    Apply(Command),
    /// The present state and leases.
    Inspect,
    /// A place among the voters.
    Join(Join),
}

/// A routing lease with the changes that it is bound to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewedLease {
    /// How long, in milliseconds from before the holder asked.
    pub lease_ms: u64,
    /// The changes, to be applied before the lease counts.
    pub update: Update,
}

/// What an operator may see of a cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Inspection {
    /// The region.
    pub cell: String,
    /// The region's place in the list of regions.
    pub region: usize,
    /// The number of regions.
    pub regions: usize,
    /// The leader's host.
    pub leader: String,
    /// Its term.
    pub term: u64,
    /// Entries committed.
    pub committed: u64,
    /// Voters by host, with the entries that each lacks.
    pub voters: BTreeMap<String, u64>,
    /// The state.
    pub state: State,
    /// Entry hosts with a routing lease and the version that each acknowledged.
    pub routers: Vec<(String, u64)>,
    /// Upstreams by id and how long the leader counts their grants as held, in milliseconds.
    pub grants: BTreeMap<UpstreamId, u64>,
}

/// What the leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// This replica doesn't lead; the leader's host when it is known.
    NotLeader(Option<String>),
    /// A routing lease.
    Renewed(RenewedLease),
    /// A grant for each heartbeat, in their order.
    Grants(Vec<Grant>),
    /// What became of a command.
    Applied(Outcome),
    /// The state.
    Inspected(Box<Inspection>),
    /// The join or release was noted.
    Acknowledged,
}
