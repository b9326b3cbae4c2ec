//! What the gateway needs to read from and write into messages of callers and upstreams. How it is
//! spelled there is the implementation's matter.

use hyper::header::{HeaderMap, HeaderValue};

use crate::directory::model::Key;

/// What a caller's request says beside its path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The request's id, as the caller wrote it.
    pub id: Option<HeaderValue>,
    /// How long the caller waits, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The key, for services that are divided by key.
    pub key: Option<Key>,
}

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in work.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can be in work at once.
    pub slots: u32,
}

/// What an upstream's answer says beside its status and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The id of the request that it answers.
    pub id: Option<HeaderValue>,
    /// Whether the upstream's own code made the answer.
    pub is_stamped: bool,
    /// Whether the upstream proves that it didn't run the request.
    pub not_run: bool,
    /// The upstream's load.
    pub load: Option<ReportedLoad>,
    /// The upstream's id, where it tells it.
    pub upstream: Option<String>,
    /// How long the upstream keeps the connection open without a request, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// Whether the upstream says that it leaves.
    pub is_leaving: bool,
    /// For how long an upstream that turned the request away wants nothing more, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Reads and writes the headers of one kind of deployment.
pub trait Protocol: Clone + Send + Sync + 'static {
    /// Reads a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Marks a request for an upstream: what is left of the caller's time, and whom it is for.
    fn mark_request(&self, headers: &mut HeaderMap, remaining_ms: u64, upstream: &str);

    /// Reads an upstream's answer.
    fn read_response(&self, headers: &HeaderMap) -> ResponseMetadata;
}
