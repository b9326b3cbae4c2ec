//! The interface through which the gateway reads and writes headers of callers and upstreams. The header
//! names and formats are up to the implementation.

use hyper::header::{HeaderMap, HeaderValue};

use crate::directory::model::Key;
use crate::rate_limit::RateLimit;

/// Metadata from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The request id, as the caller sent it.
    pub id: Option<HeaderValue>,
    /// The caller's timeout, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The key, for services that are divided by key.
    pub key: Option<Key>,
    /// What identifies the client account, if anything does. It may be a secret.
    pub caller: Option<HeaderValue>,
}

/// Load reported by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Requests that can be processed at once.
    pub slots: u32,
    /// How long work takes there now in percent of the usual time, if the upstream says so.
    pub slowness_percent: Option<u32>,
}

/// What a response says about the upstream's rate limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RateLimitNotice {
    /// Nothing: the upstream has no limit, or no longer one.
    #[default]
    Absent,
    /// The limit in force.
    Named(RateLimit),
    /// A value that can't be a limit.
    Malformed(String),
}

/// Metadata from the headers of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The id of the request that the response belongs to.
    pub id: Option<HeaderValue>,
    /// Whether the response carries the stamp that proves that the upstream's own code produced it.
    pub is_stamped: bool,
    /// Whether the upstream states that it didn't run the request.
    pub not_run: bool,
    /// The upstream's load.
    pub load: Option<ReportedLoad>,
    /// The upstream's id, if sent.
    pub upstream: Option<String>,
    /// Idle timeout of the connection at the upstream, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// Whether the upstream announces that it leaves.
    pub is_leaving: bool,
    /// Backoff that an upstream asks for when it refuses a request, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The rate limit that the upstream names.
    pub rate_limit: RateLimitNotice,
}

/// Reads and writes the headers of one kind of deployment.
pub trait Protocol: Clone + Send + Sync + 'static {
    /// Reads the headers of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Sets the remaining time and the only upstream that may run the request in its headers.
    fn mark_request(&self, headers: &mut HeaderMap, remaining_ms: u64, upstream: &str);

    /// Reads the headers of an upstream's response.
    fn read_response(&self, headers: &HeaderMap) -> ResponseMetadata;
}
