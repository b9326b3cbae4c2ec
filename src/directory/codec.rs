//! Encodes commands and states for the log. Long ones are compressed: in a configuration most words repeat in
//! each route.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// The first byte of a compressed value. No uncompressed value begins with it, since commands and states
/// begin with the number of a variant or an option.
const COMPRESSED_MARKER: u8 = 0xff;
/// Encoded values of fewer bytes than this are stored uncompressed.
const COMPRESS_MIN_BYTES: usize = 1_024;
/// The maximum size of a decompressed value in bytes: four times the longest configuration.
const DECOMPRESSED_BYTES_MAX: usize = 256 << 20;

/// Encodes a value, compressed if it is long.
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
    let encoded = postcard::to_stdvec(value).expect("commands and states are serializable");
    if encoded.len() < COMPRESS_MIN_BYTES {
        return encoded;
    }
    let mut compressed = vec![COMPRESSED_MARKER];
    compressed.extend(lz4_flex::compress_prepend_size(&encoded));
    compressed
}

/// Decodes the output of [`encode`] or a value that was stored before compression was introduced; returns
/// `None` for other bytes.
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
