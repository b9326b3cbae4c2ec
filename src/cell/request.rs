//! Requests to a cell's leader and their replies.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::raft::ReplicaId;

use super::loads::LoadReport;
use super::ownership::Grant;
use super::state::{Command, Outcome, RouterId, State, UpstreamId};
use super::update::Update;

/// An entry host's request to renew its routing lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The entry host's process.
    pub router: RouterId,
    /// Version of its routing table.
    pub table_version: u64,
    /// The entry host has no request in flight for slots frozen up to this version.
    pub drained_version: u64,
    /// Load since its last renewal.
    pub loads: Vec<LoadReport>,
}

/// An upstream's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Version of the grant that the upstream acknowledges.
    pub acked_version: u64,
}

/// Request of a replica with a new disk to become a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Id of the new replica.
    pub replica: ReplicaId,
    /// The replica's host.
    pub host: String,
}

/// A request to a cell's leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Renews a routing lease and returns the changes since the table's version.
    Renew(Renewal),
    /// Releases a routing lease.
    Release(RouterId),
    /// Renews the grants of upstreams.
    Heartbeats(Vec<Heartbeat>),
    /// Proposes a command.
    Apply(Command),
    /// Returns the current state and leases.
    Inspect,
    /// Asks the leader to make a replica a voter; the reply doesn't wait for it.
    Join(Join),
}

/// A routing lease and the table changes that it requires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewedLease {
    /// Duration of the lease in milliseconds, counted from before the request was sent.
    pub lease_ms: u64,
    /// Changes that must be applied before the lease is valid.
    pub update: Update,
}

/// State of a cell as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Inspection {
    /// Region of the cell.
    pub cell: String,
    /// Index of the region in the list of regions.
    pub region: usize,
    /// Number of regions.
    pub regions: usize,
    /// Host of the leader.
    pub leader: String,
    /// Term of the leader.
    pub term: u64,
    /// Index of the last committed entry.
    pub committed: u64,
    /// Voters by host, with the number of entries that each lacks.
    pub voters: BTreeMap<String, u64>,
    /// The replicated state.
    pub state: State,
    /// Entry hosts with a routing lease, each with the version that it acknowledged.
    pub routers: Vec<(String, u64)>,
    /// Upstreams by id, with the time until the leader considers their grant expired, in milliseconds.
    pub grants: BTreeMap<UpstreamId, u64>,
}

/// A reply of a replica to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// This replica isn't the leader; names the leader's host if known.
    NotLeader(Option<String>),
    /// The renewed routing lease.
    Renewed(RenewedLease),
    /// One grant for each heartbeat, in the same order.
    Grants(Vec<Grant>),
    /// Outcome of the command.
    Applied(Outcome),
    /// The cell's state and leases.
    Inspected(Box<Inspection>),
    /// The join or release was received.
    Acknowledged,
}
