//! Packs commands and states for the log: a configuration repeats most of its words in each route.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Begins what is packed. No enum or option that is stored as it is begins so.
const PACKED: u8 = 0xff;
/// Less than this many bytes are stored as they are.
const PACK_FROM: usize = 1_024;
/// What is packed holds no more than this many bytes: four times the longest configuration.
const UNPACKED_MAX: usize = 256 << 20;

/// Encodes a value, packed where that may save something.
///
/// # Examples
///
/// ```
/// use carobreel::directory::packing::{decode, encode};
///
/// let routes = vec!["a-route-like-all-others".to_string(); 1_000];
/// let bytes = encode(&routes);
/// assert!(bytes.len() < 2_000);
/// assert_eq!(decode::<Vec<String>>(&bytes), Some(routes));
/// ```
pub fn encode<V: Serialize>(value: &V) -> Vec<u8> {
    let plain = postcard::to_stdvec(value).expect("state always encodes");
    if plain.len() < PACK_FROM {
        return plain;
    }
    let mut packed = vec![PACKED];
    packed.extend(lz4_flex::compress_prepend_size(&plain));
    packed
}

/// Decodes what [`encode`] returned, or what was stored before it packed anything; `None` for other bytes.
pub fn decode<V: DeserializeOwned>(bytes: &[u8]) -> Option<V> {
    let Some((&PACKED, packed)) = bytes.split_first() else {
        return postcard::from_bytes(bytes).ok();
    };
    let (size, packed) = lz4_flex::block::uncompressed_size(packed).ok()?;
    if size > UNPACKED_MAX {
        return None;
    }
    let plain = lz4_flex::decompress(packed, size).ok()?;
    postcard::from_bytes(&plain).ok()
}
