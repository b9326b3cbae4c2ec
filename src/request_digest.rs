//! A digest that tells whether two requests ask for the same, whichever attempt and host they come with.

use std::fmt;
use std::str::FromStr;

use ring::digest::{Context, SHA256};
use serde::{Deserialize, Serialize};

/// The number of bytes of the hash that are kept: enough that callers can't make two requests meet.
const DIGEST_BYTES: usize = 16;

/// The parts of a request that come again when the caller repeats it.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that the request is for.
    pub host: &'a str,
    /// The path and the query.
    pub target: &'a str,
    /// What identifies the caller; empty if nothing does.
    pub caller: &'a [u8],
    /// The complete body.
    pub body: &'a [u8],
}

/// Identifies what a request asks for. Bodies and credentials can't be read from it.
///
/// # Examples
///
/// ```
/// use carobreel::request_digest::{RequestDigest, RequestParts};
///
/// let parts = RequestParts { method: "GET", host: "a", target: "/x", caller: b"", body: b"" };
/// let digest = RequestDigest::of(parts);
/// assert_eq!(digest, RequestDigest::of(parts));
/// assert_ne!(digest, RequestDigest::of(RequestParts { target: "/", body: b"x", ..parts }));
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

/// The error that a text isn't a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseDigestError;

impl RequestDigest {
    /// Returns the digest of a request.
    pub fn of(parts: RequestParts<'_>) -> RequestDigest {
        let mut cx = Context::new(&SHA256);
        let fields = [
            parts.method.as_bytes(),
            parts.host.as_bytes(),
            parts.target.as_bytes(),
            parts.caller,
            parts.body,
        ];
        for field in fields {
            // Without the lengths, the end of one field could be taken for the beginning of the next.
            cx.update(&(field.len() as u64).to_le_bytes());
            cx.update(field);
        }
        let hash = cx.finish();
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&hash.as_ref()[..DIGEST_BYTES]);
        RequestDigest(kept)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for RequestDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<RequestDigest, ParseDigestError> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(ParseDigestError);
        }
        let mut kept = [0; DIGEST_BYTES];
        for (n, byte) in kept.iter_mut().enumerate() {
            let digits = &text[2 * n..2 * n + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseDigestError)?;
        }
        Ok(RequestDigest(kept))
    }
}
