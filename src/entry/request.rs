//! A caller's request as it is routed, and its form between entry hosts.

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION};
use hyper::Method;
use xxhash_rust::xxh3::xxh3_64;

use crate::claim::ClaimId;
use crate::clock::Mono;
use crate::slot::KeyHash;
use crate::wire::Header;

use super::outcome::{IDEMPOTENCY_KEY, TIMEOUT_MS};

/// Headers that apply to one connection and aren't forwarded.
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

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// An entry host of another region; such a request isn't forwarded again.
    OtherRegion,
}

/// A request with its service, its key and its deadline.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub path: String,
    /// The service: the first segment of the path.
    pub service: String,
    /// The hash of the key: the second segment of the path.
    pub key: Option<KeyHash>,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Mono,
    /// Where the request came from.
    pub origin: Origin,
    /// Whether the request's id was claimed before it was forwarded.
    pub claimed: bool,
}

impl CallerRequest {
    /// Reports whether the method is idempotent (RFC 9110, section 9.2.2), so that the request may
    /// be sent twice.
    pub fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Returns the claim id of a request that may not be repeated, if the caller sent an id.
    pub fn claim_id(&self) -> Option<ClaimId> {
        if self.is_idempotent() {
            return None;
        }
        let key = self.headers.get(IDEMPOTENCY_KEY)?.to_str().ok()?;
        Some(ClaimId::of(&self.service, key))
    }

    /// Returns a digest that distinguishes a resend from another request with the same id.
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

/// The service and the key of a path `/SERVICE/KEY/...`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// The hash of the key.
    pub key: Option<KeyHash>,
}

/// Returns the service and the key of a path.
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

/// Returns how long the caller waits, in milliseconds: as the header says, or `default_ms`.
pub fn timeout_ms(headers: &HeaderMap, default_ms: u64) -> u64 {
    let header = headers.get(TIMEOUT_MS).and_then(|v| v.to_str().ok());
    header.and_then(|v| v.parse().ok()).unwrap_or(default_ms)
}

/// Removes the headers that apply to one connection.
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

/// Returns the headers in the form in which entry hosts send them to each other.
pub fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_string(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}

/// Returns the headers that another entry host sent; invalid ones are dropped.
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
