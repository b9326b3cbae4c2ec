//! A caller's request, read and checked.

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION};
use hyper::Method;
use xxhash_rust::xxh3::xxh3_64;

use crate::claim::ClaimId;
use crate::clock::Mono;
use crate::slot::KeyHash;
use crate::wire::Header;

use super::outcome::{IDEMPOTENCY_KEY, TIMEOUT_MS};

/// Headers that belong to one connection and aren't passed on.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "keep-alive",
    "proxy-connection",
];

/// Whence a request came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From a caller.
    Caller,
    /// From an entry host of another region; it isn't passed on again.
    OtherRegion,
}

/// A request on its way to an upstream.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The first segment of the path.
    pub service: String,
    /// The second segment of the path, hashed.
    pub key: Option<KeyHash>,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Mono,
    /// Whence it came.
    pub origin: Origin,
    /// Whether its id is claimed already.
    pub claimed: bool,
}

impl CallerRequest {
    /// Tells whether sending the request twice does no harm (RFC 9110, 9.2.2).
    pub fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Returns the claim id of a request that may not be repeated, when the caller gave one.
    pub fn claim_id(&self) -> Option<ClaimId> {
        if self.is_idempotent() {
            return None;
        }
        let key = self.headers.get(IDEMPOTENCY_KEY)?.to_str().ok()?;
        Some(ClaimId::of(&self.service, key))
    }

    /// Returns a digest that tells a resend from another request with the same id.
    pub fn digest(&self) -> u64 {
        let mut buf = Vec::with_capacity(self.body.len() + self.path.len() + 16);
        buf.extend_from_slice(self.method.as_str().as_bytes());
        buf.push(b' ');
        buf.extend_from_slice(self.path.as_bytes());
        buf.push(b'\n');
        buf.extend_from_slice(&self.body);
        xxh3_64(&buf)
    }
}

/// Service and key of a path: `/SERVICE/KEY/...`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// The key.
    pub key: Option<KeyHash>,
}

/// Splits a path into service and key.
///
/// # Examples
///
/// ```
/// use carobreel::entry::request::parse_target;
/// use carobreel::slot::KeyHash;
///
/// let target = parse_target("/mapa-cortes/rua-direita/map?size=2");
/// assert_eq!(target.service, "mapa-cortes");
/// assert_eq!(target.key, Some(KeyHash::of("rua-direita")));
/// ```
pub fn parse_target(path: &str) -> Target {
    let path_only = path.split('?').next().unwrap_or("");
    let mut segments = path_only.split('/').skip(1);
    let service = segments.next().unwrap_or("").to_string();
    let key = segments.next().filter(|k| !k.is_empty());
    Target {
        service,
        key: key.map(KeyHash::of),
    }
}

/// Returns how long the caller waits, in milliseconds.
pub fn timeout_ms(headers: &HeaderMap, default_ms: u64) -> u64 {
    let header = headers.get(TIMEOUT_MS).and_then(|v| v.to_str().ok());
    header.and_then(|v| v.parse().ok()).unwrap_or(default_ms)
}

/// Drops the headers that belong to one connection.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(*name);
    }
}

/// Turns headers into what is sent between entry hosts.
pub fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_string(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}

/// Turns what was sent between entry hosts into headers; what can't be one is dropped.
pub fn from_wire(list: Vec<Header>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for header in list {
        let name = header.name.parse::<HeaderName>();
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
