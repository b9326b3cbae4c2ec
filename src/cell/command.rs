//! The commands that change a cell's state, and what becomes of them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::selector::Labels;
use crate::slot::{KeyHash, SlotId};

/// An upstream's place in the state; never used twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UpstreamId(pub u32);

/// One process of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouterId {
    /// The host.
    pub host: String,
    /// Drawn at the process's start.
    pub instance: u64,
}

/// What an upstream says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Its name, unique in the deployment.
    pub name: String,
    /// A number drawn at each start, which tells a restarted upstream from its predecessor.
    pub instance: u64,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Where it stands.
    pub availability_zone: String,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
    /// Requests it works on at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Whether it refuses requests that its grant doesn't cover.
    #[serde(default)]
    pub checks_fences: bool,
}

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An upstream joins, or joins again after a restart.
    Announce(Announcement),
    /// A process of an entry host starts.
    Register(RouterId),
    /// An upstream asks for no new work.
    Leave(UpstreamId),
    /// An upstream that owns nothing and holds no lease is dropped.
    Forget(UpstreamId),
    /// A document asks for its number; only the first region's cell takes this.
    Decide(Document),
    /// A decided document takes effect in this cell.
    Install(Document),
    /// Slots stop being served, ahead of a change of owner.
    Freeze(SlotList),
    /// Free or released slots get an owner.
    Assign(Vec<Assignment>),
    /// A hot key gets a slot of its own, with the owner it has.
    Pin(ServiceKey),
    /// A key that cooled down goes back to its hash slot, which has the same owner.
    Unpin(ServiceKey),
}

/// Slots of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotList {
    /// The service.
    pub service: String,
    /// The slots.
    pub slots: Vec<SlotId>,
}

/// A slot and its next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The service.
    pub service: String,
    /// The slot.
    pub slot: SlotId,
    /// The owner to be.
    pub owner: UpstreamId,
}

/// A key of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceKey {
    /// The service.
    pub service: String,
    /// The key.
    pub key: KeyHash,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done, or done before.
    Done,
    /// The upstream has this id from now on.
    Announced(UpstreamId),
    /// The entry host's process is known from now on.
    Registered {
        /// Whether another process of this host ran before it.
        has_predecessor: bool,
    },
    /// The command no longer fits the state; nothing changed.
    Stale,
    /// Another document has this number, with this digest.
    Conflict {
        /// The winner's digest.
        winner: u64,
    },
    /// The number isn't the next one.
    WrongNumber {
        /// The next free number.
        next: u64,
    },
}
