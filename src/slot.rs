//! Keys are hashed into a fixed number of slots; each slot belongs to one region.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The place of a slot in its service.
///
/// Numbers below the service's slot count are hash slots; those from there on hold one pinned key
/// each.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotId(pub u32);

/// A key's 64-bit hash, which stands for the key in every table.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key with XXH3.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::slot::KeyHash;
    ///
    /// assert_eq!(KeyHash::of("rua-direita"), KeyHash::of("rua-direita"));
    /// ```
    pub fn of(key: &str) -> KeyHash {
        KeyHash(xxh3_64(key.as_bytes()))
    }

    /// Returns the hash slot of this key among `count`.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::slot::KeyHash;
    ///
    /// assert!(KeyHash::of("rua-direita").slot(4096).0 < 4096);
    /// ```
    pub fn slot(self, count: u32) -> SlotId {
        let scaled = u128::from(self.0) * u128::from(count);
        SlotId((scaled >> u64::BITS) as u32)
    }
}

/// Returns the place, in the list of `regions` regions, of the one that hash slot `slot` is homed in.
///
/// # Examples
///
/// ```
/// use carobreel::slot::{home_region, SlotId};
///
/// assert_eq!(home_region(SlotId(0), 2), 0);
/// assert_eq!(home_region(SlotId(3), 2), 1);
/// ```
pub fn home_region(slot: SlotId, regions: usize) -> usize {
    slot.0 as usize % regions.max(1)
}

/// Formats slots as ranges: `0-4, 7`.
///
/// # Examples
///
/// ```
/// use carobreel::slot::{format_ranges, SlotId};
///
/// assert_eq!(format_ranges(&[SlotId(0), SlotId(1), SlotId(7)]), "0-1, 7");
/// ```
pub fn format_ranges(slots: &[SlotId]) -> String {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for slot in slots {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == slot.0 => *last = slot.0,
            _ => ranges.push((slot.0, slot.0)),
        }
    }
    let text = |(first, last): &(u32, u32)| {
        if first == last {
            return first.to_string();
        }
        format!("{first}-{last}")
    };
    ranges.iter().map(text).collect::<Vec<_>>().join(", ")
}
