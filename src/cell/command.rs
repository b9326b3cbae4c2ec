//! Commands that change a cell's state, and their outcomes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::selector::Labels;
use crate::slot::{KeyHash, SlotId};

/// Id of a registered upstream; never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UpstreamId(pub u32);

/// One process of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouterId {
    /// Name of the host.
    pub host: String,
    /// Random number drawn at the start of the process.
    pub instance: u64,
}

/// An upstream's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the upstream, unique in the deployment.
    pub name: String,
    /// Random number drawn at each start, which distinguishes a restarted upstream from its predecessor.
    pub instance: u64,
    /// Address on which it serves HTTP.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: String,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Whether it rejects requests that its grant doesn't cover.
    #[serde(default)]
    pub checks_fences: bool,
}

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Registers an upstream, or registers it anew after a restart.
    Announce(Announcement),
    /// Registers a process of an entry host.
    Register(RouterId),
    /// Marks an upstream as leaving, so that it receives no new work.
    Leave(UpstreamId),
    /// Removes an upstream that owns no slot and holds no grant.
    Forget(UpstreamId),
    /// Claims the document's number for it; sent to the first region's cell only.
    Decide(Document),
    /// Installs a decided document in this cell.
    Install(Document),
    /// Freezes slots: they are no longer served, so that their owner can change.
    Freeze(SlotList),
    /// Assigns owners to free or released slots.
    Assign(Vec<Assignment>),
    /// Pins a hot key: gives it a slot of its own, with the same owner.
    Pin(ServiceKey),
    /// Unpins a key whose load has dropped: returns it to its hash slot, which has the same owner.
    Unpin(ServiceKey),
}

/// Slots of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotList {
    /// The service.
    pub service: String,
    /// Ids of the slots.
    pub slots: Vec<SlotId>,
}

/// A slot and its new owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The service.
    pub service: String,
    /// Id of the slot.
    pub slot: SlotId,
    /// The new owner.
    pub owner: UpstreamId,
}

/// A key of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceKey {
    /// The service.
    pub service: String,
    /// Hash of the key.
    pub key: KeyHash,
}

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied, now or by an earlier repetition.
    Done,
    /// The upstream is registered under this id.
    Announced(UpstreamId),
    /// The process of the entry host is registered.
    Registered {
        /// Whether another process of this host was registered before.
        has_predecessor: bool,
    },
    /// The command doesn't apply to the current state; nothing changed.
    Stale,
    /// Another document was decided under this number.
    Conflict {
        /// Digest of that document.
        winner: u64,
    },
    /// The document's number isn't the next one.
    WrongNumber {
        /// The next number.
        next: u64,
    },
}
