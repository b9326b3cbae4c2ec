//! A caller's request, its attempts, and how it ends without an upstream's response.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};

use crate::body_memory::{BodyError, BodyMemory, BodyShare};
use crate::clock::Mono;
use crate::directory::model::{Key, RepeatPolicy, Route};
use crate::directory::suspects::SuspectId;

use crate::request_digest::{RequestDigest, RequestParts};

use super::body::ResponseBody;
use super::protocol::RequestMetadata;
use super::traffic_split::Distance;
use super::upstream_client::UpstreamClient;
use super::view::DirectoryView;

/// `Retry-After` while the bodies being held leave no memory for another one, in milliseconds.
const NO_MEMORY_RETRY_AFTER_MS: u64 = 500;

/// A caller's request with its complete body, route and service.
pub(super) struct CallerRequest<'a> {
    pub(super) metadata: RequestMetadata,
    pub(super) parts: &'a Parts,
    pub(super) body: Bytes,
    /// The memory that the body takes.
    pub(super) _body_share: BodyShare,
    pub(super) route: &'a Route,
    /// The version of the configuration that `route` belongs to.
    pub(super) config_version: u64,
    pub(super) service: &'a str,
    pub(super) key: Option<Key>,
    pub(super) arrived_at: Mono,
    pub(super) deadline: Mono,
    /// The digest, once it was needed.
    pub(super) digest: OnceLock<RequestDigest>,
}

impl CallerRequest<'_> {
    /// Returns the caller's timeout, or the route's if the caller sent none, in milliseconds.
    pub(super) fn timeout_ms(&self) -> u64 {
        self.metadata.timeout_ms.unwrap_or(self.route.timeout_ms)
    }

    /// Returns the time that earlier tries of the caller took, in milliseconds: a timeout below the route's
    /// is taken as what is left after them.
    pub(super) fn elapsed_before_ms(&self) -> u64 {
        self.route.timeout_ms.saturating_sub(self.timeout_ms())
    }

    /// Returns the digest of what the request asks for.
    pub(super) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| self.make_digest())
    }

    /// Returns what the request would be suspected as.
    pub(super) fn suspect_id(&self) -> SuspectId {
        SuspectId {
            service: self.service.to_string(),
            digest: self.digest(),
        }
    }

    /// Reports whether this host may repeat the request after it may have run.
    pub(super) fn is_repeatable(&self) -> bool {
        self.route.repeat == RepeatPolicy::Idempotent
    }

    fn make_digest(&self) -> RequestDigest {
        let host = host_of(self.parts).unwrap_or("").to_ascii_lowercase();
        let target = self.parts.uri.path_and_query().map_or("/", |t| t.as_str());
        let caller = self.metadata.caller.as_ref();
        RequestDigest::of(RequestParts {
            method: self.parts.method.as_str(),
            host: &host,
            target,
            caller: caller.map_or(&[], |v| v.as_bytes()),
            body: &self.body,
        })
    }

    /// Returns the request id for logs.
    pub(super) fn log_id(&self) -> String {
        id_for_log(&self.metadata.id)
    }
}

/// An upstream selected for a request, with the estimates at that time.
#[derive(Clone, Debug)]
pub(super) struct Selection {
    pub(super) client: Arc<UpstreamClient>,
    /// The fencing token of the key's owner; 0 for services that aren't divided by key.
    pub(super) fence: u64,
    /// Expected response time, in milliseconds.
    pub(super) expected_ms: u64,
    /// Distance to the upstream.
    pub(super) distance: Distance,
    /// Network round trip to the upstream, in milliseconds.
    pub(super) round_trip_ms: u64,
    /// Age of the upstream's last load report, in milliseconds.
    pub(super) load_report_age_ms: Option<u64>,
    /// The upstream's fresh figure on its service time, in percent of the usual.
    pub(super) service_time_percent: Option<u64>,
}

/// The attempts made for a request so far.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    /// Upstreams that the request was sent to, in order.
    pub(super) attempted: Vec<Selection>,
    /// The upstream that the request wasn't sent to because it couldn't respond in time.
    pub(super) not_admitted: Option<Selection>,
    /// Time spent waiting for an owner of the key, in milliseconds.
    pub(super) owner_wait_ms: u64,
}

impl AttemptHistory {
    /// Returns the ids of the upstreams that the request was sent to, separated by commas.
    pub(super) fn upstreams(&self) -> String {
        let ids = self
            .attempted
            .iter()
            .map(|c| c.client.incarnation.id.as_str());
        ids.collect::<Vec<_>>().join(",")
    }

    /// Reports whether the request was sent to this upstream process.
    pub(super) fn has_attempted(&self, incarnation: &crate::directory::model::Incarnation) -> bool {
        let mut attempted = self.attempted.iter();
        attempted.any(|c| c.client.incarnation == *incarnation)
    }
}

/// The end of a request without an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Failure {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
    pub(super) retry_after_ms: Option<u64>,
}

impl Failure {
    pub(super) fn refused(reason: &'static str, retry_after_ms: u64) -> Failure {
        Failure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    pub(super) fn failed(status: StatusCode, reason: &'static str) -> Failure {
        Failure {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    /// Returns the failure of a request that an upstream may have run, which a refusal would deny. A caller that may
    /// repeat it is still told when.
    pub(super) fn after_possible_run(self, is_repeatable: bool) -> Failure {
        Failure {
            status: StatusCode::BAD_GATEWAY,
            retry_after_ms: self.retry_after_ms.filter(|_| is_repeatable),
            ..self
        }
    }

    pub(super) fn response(&self) -> Response<ResponseBody> {
        let body = Bytes::from_static(self.reason.as_bytes());
        let mut response = Response::new(ResponseBody::complete(body));
        *response.status_mut() = self.status;
        if let Some(ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", ms as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Returns a request id for logs, or `-` if there is none.
pub(super) fn id_for_log(id: &Option<HeaderValue>) -> String {
    let id = id.as_ref().and_then(|v| v.to_str().ok());
    id.unwrap_or("-").to_string()
}

/// Returns the host from the `Host` header or the URI.
pub(super) fn host_of(parts: &Parts) -> Option<&str> {
    let from_header = parts.headers.get(HOST).and_then(|v| v.to_str().ok());
    from_header.or_else(|| parts.uri.authority().map(|a| a.as_str()))
}

/// Reads a request body within the configured size and `timeout_ms`.
pub(super) async fn read_body(
    body: Incoming,
    view: &DirectoryView,
    memory: &Arc<BodyMemory>,
    timeout_ms: u64,
) -> Result<(Bytes, BodyShare), Failure> {
    let max_bytes = view.config.limits.body_bytes_max as usize;
    let reading = memory.read(body, max_bytes);
    let outcome = tokio::time::timeout(Duration::from_millis(timeout_ms), reading).await;
    match outcome {
        Ok(Ok(read)) => Ok(read),
        Ok(Err(BodyError::TooLong)) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Failure::failed(status, "body too long"))
        }
        Ok(Err(BodyError::NoMemory)) => {
            let reason = "no memory for the body";
            Err(Failure::refused(reason, NO_MEMORY_RETRY_AFTER_MS))
        }
        Ok(Err(BodyError::Broken)) => Err(Failure::failed(StatusCode::BAD_REQUEST, "broken body")),
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(Failure::failed(status, "body not read in time"))
        }
    }
}
