//! Slots: keys are hashed into a fixed number of them, and each has a home region.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The number of a slot in its service.
///
/// Numbers below the service's slot count are hash slots. Each number from there on is the slot of
/// one pinned key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SlotId(pub u32);

/// The 64-bit hash of a key, which represents the key in all tables.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Returns the XXH3 hash of a key.
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

    /// Returns the hash slot of this key among `count` slots.
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

/// Returns the index of a hash slot's home region among `regions` regions.
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

/// Returns sorted slots as text, with consecutive ones as ranges: `0-4, 7`.
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
