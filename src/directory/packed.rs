//! Updates that are encoded once and sent to many entry hosts.

use std::fmt;
use std::sync::Arc;

use serde::de::{Deserializer, Error, Visitor};
use serde::{Deserialize, Serialize, Serializer};

use super::codec::{decode, encode};
use super::protocol::{Reply, Update};

/// Updates with at least this many routes, upstreams, key ranges and suspected requests are packed. Smaller ones
/// cost less than their compression.
const PACKED_ITEMS_MIN: usize = 1_024;
/// The number of bytes that take as much processor time to encrypt and send as an update without changes.
const BYTES_PER_COST_UNIT: usize = 16 << 10;

/// The encoded and compressed form of an update; clones share the bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct PackedUpdate(Arc<[u8]>);

impl PackedUpdate {
    /// Encodes an update.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::packed::PackedUpdate;
    /// use carobreel::directory::protocol::Update;
    ///
    /// let update = Update { held_ms: 20, ..Update::default() };
    /// let packed = PackedUpdate::of(&Update::default());
    /// assert_eq!(packed.unpack(20), Some(update));
    /// ```
    pub fn of(update: &Update) -> PackedUpdate {
        PackedUpdate(encode(update).into())
    }

    /// Decodes the update for a host whose request was held for `held_ms`. Returns `None` for invalid bytes.
    pub fn unpack(&self, held_ms: u64) -> Option<Update> {
        let update: Update = decode(&self.0)?;
        Some(Update { held_ms, ..update })
    }

    /// Returns the number of bytes that are sent.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

impl fmt::Debug for PackedUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PackedUpdate({} bytes)", self.size())
    }
}

impl Serialize for PackedUpdate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for PackedUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<PackedUpdate, D::Error> {
        struct BytesVisitor;
        impl Visitor<'_> for BytesVisitor {
            type Value = PackedUpdate;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an encoded update")
            }

            fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<PackedUpdate, E> {
                Ok(PackedUpdate(bytes.into()))
            }
        }
        deserializer.deserialize_bytes(BytesVisitor)
    }
}

/// An update that is ready to be sent to any number of hosts.
#[derive(Clone, Debug)]
pub(super) enum PreparedUpdate {
    Small(Box<Update>),
    Large(PackedUpdate),
}

impl PreparedUpdate {
    pub(super) fn new(update: Update) -> PreparedUpdate {
        match update.item_count() >= PACKED_ITEMS_MIN {
            true => PreparedUpdate::Large(PackedUpdate::of(&update)),
            false => PreparedUpdate::Small(Box::new(update)),
        }
    }

    /// Returns the approximate cost of sending the update, relative to one without changes.
    pub(super) fn send_cost(&self) -> u64 {
        match self {
            PreparedUpdate::Small(update) => update.send_cost(),
            PreparedUpdate::Large(packed) => 1 + (packed.size() / BYTES_PER_COST_UNIT) as u64,
        }
    }

    /// Returns the reply to a host whose request was held for `held_ms`.
    pub(super) fn reply(&self, held_ms: u64) -> Reply {
        match self {
            PreparedUpdate::Small(update) => Reply::Update(Box::new(Update {
                held_ms,
                ..(**update).clone()
            })),
            PreparedUpdate::Large(packed) => Reply::PackedUpdate {
                packed: packed.clone(),
                held_ms,
            },
        }
    }
}
