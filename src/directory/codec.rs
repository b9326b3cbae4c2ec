//! Packs commands and states for the log: a configuration repeats most of its words in each route.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Begins what is packed. No enum or option that is stored as it is begins so.
const COMPRESSED_MARKER: u8 = 0xff;
/// Less than this many bytes are stored as they are.
const COMPRESS_MIN_BYTES: usize = 1_024;
/// What is packed holds no more than this many bytes: four times the longest configuration.
const DECOMPRESSED_BYTES_MAX: usize = 256 << 20;

/// Encodes a value, packed where that may save something.
///
/// # Examples
///
/// ```
/// use carobreel::directory::codec::{decode, encode};
///
/// let routes = vec!["a-route-like-all-others".to_string(); 1_000];
/// let bytes = encode(&routes);
/// assert!(bytes.len() < 2_000);
/// assert_eq!(decode::<Vec<String>>(&bytes), Some(routes));
/// ```
pub fn encode<V: Serialize>(value: &V) -> Vec<u8> {
    let encoded = postcard::to_stdvec(value).expect("state always encodes");
    if encoded.len() < COMPRESS_MIN_BYTES {
        return encoded;
    }
    let mut compressed = vec![COMPRESSED_MARKER];
    compressed.extend(lz4_flex::compress_prepend_size(&encoded));
    compressed
}

/// Decodes what [`encode`] returned, or what was stored before it packed anything; `None` for other bytes.
pub fn decode<V: DeserializeOwned>(bytes: &[u8]) -> Option<V> {
    let Some((&COMPRESSED_MARKER, compressed)) = bytes.split_first() else {
        return postcard::from_bytes(bytes).ok();
    };
    let (size, compressed) = lz4_flex::block::uncompressed_size(compressed).ok()?;
    if size > DECOMPRESSED_BYTES_MAX {
        return None;
    }
    let encoded = lz4_flex::decompress(compressed, size).ok()?;
    postcard::from_bytes(&encoded).ok()
}
