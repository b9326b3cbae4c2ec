//! One request to one upstream, and what its outcome proves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};

use crate::clock::Clock;
use crate::directory::model::RepeatPolicy;
use crate::entry::pool::ConnectionReuse;
use crate::entry::request::strip_hop_by_hop;

use super::body::{self, ResponseBody, ResponseSource};
use super::protocol::{Protocol, ResponseMetadata};
use super::upstream_client::{InFlightRequest, UpstreamClient, UpstreamClients};

/// A request that may run once goes out on a connection that was proven alive this recently, in
/// milliseconds; one that went silent would leave its outcome unknown.
const CONNECTION_PROOF_MAX_AGE_MS: u64 = 1_500;

/// What a failed attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The upstream hasn't run the request and won't.
    NotRun,
    /// It may have run, or may still.
    MayHaveRun,
}

/// The outcome of one attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The upstream's answer: whole, or so long that the rest is passed on as it comes.
    Response(Response<ResponseBody>),
    /// The same, and it says that the upstream failed.
    ErrorResponse(Response<ResponseBody>),
    /// No answer, and why.
    Failed(&'static str, Execution),
    /// Nothing was sent: while the request waited for a connection, the upstream ceased to take work.
    NotSent,
}

/// A request as it goes to an upstream.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The id that the answer must carry, if it carries one.
    pub id: Option<HeaderValue>,
    /// Whether the request may run twice.
    pub repeat: RepeatPolicy,
    /// The time that is left, in milliseconds.
    pub remaining_ms: u64,
    /// The way to the upstream and back, in milliseconds.
    pub round_trip_ms: u64,
}

impl UpstreamRequest {
    /// Sends the request and reads the whole answer.
    pub async fn send<P: Protocol>(
        self,
        client: &Arc<UpstreamClient>,
        clients: &UpstreamClients,
        protocol: &P,
        clock: &Clock,
    ) -> AttemptOutcome {
        let mut in_flight = InFlightRequest::start(client, clock);
        let remaining = Duration::from_millis(self.remaining_ms);
        let round_trip_ms = self.round_trip_ms;
        let sending = self.send_untimed(client, clients, protocol, clock);
        let outcome = match tokio::time::timeout(remaining, sending).await {
            Ok(outcome) => outcome,
            Err(_) => {
                // The connection may have gone silent, and others to the same upstream with it.
                client.pool.close_idle();
                AttemptOutcome::Failed("no answer in time", Execution::MayHaveRun)
            }
        };
        match &outcome {
            AttemptOutcome::Response(_) => in_flight.complete(clients, round_trip_ms),
            AttemptOutcome::ErrorResponse(_) => {
                clients.record_failure(client, "error answer", clock)
            }
            AttemptOutcome::Failed(reason, Execution::MayHaveRun) => {
                clients.record_failure(client, reason, clock)
            }
            AttemptOutcome::Failed(_, Execution::NotRun) | AttemptOutcome::NotSent => {
                in_flight.mark_not_run()
            }
        }
        outcome
    }

    async fn send_untimed<P: Protocol>(
        self,
        client: &Arc<UpstreamClient>,
        clients: &UpstreamClients,
        protocol: &P,
        clock: &Clock,
    ) -> AttemptOutcome {
        let proof = match self.repeat {
            RepeatPolicy::Idempotent => ConnectionReuse::Any,
            RepeatPolicy::AtMostOnce => {
                ConnectionReuse::AnsweredWithin(CONNECTION_PROOF_MAX_AGE_MS)
            }
        };
        let started_at = Instant::now();
        let Ok(mut connection) = client.pool.take(proof, clock.now()).await else {
            clients.record_unreachable(client, clock);
            return AttemptOutcome::Failed("can't connect", Execution::NotRun);
        };
        // What was known when the upstream was chosen may be old by now.
        if !client.accepts_requests(clock.now()) {
            return AttemptOutcome::NotSent;
        }
        let mut request = Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = self.uri;
        *request.headers_mut() = self.headers;
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => {
                return match e.take_message() {
                    Some(_) => AttemptOutcome::Failed(
                        "connection closed before sending",
                        Execution::NotRun,
                    ),
                    None => AttemptOutcome::Failed("connection broke", Execution::MayHaveRun),
                }
            }
        };
        let metadata = protocol.read_response(response.headers());
        if metadata.id.is_some() && self.id.is_some() && metadata.id != self.id {
            return AttemptOutcome::Failed("answer to another request", Execution::MayHaveRun);
        }
        let now = clock.now();
        let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        clients.record_upstream_state(client, &metadata, is_refusal, now);
        if let Some(load) = metadata.load {
            let in_flight_total = load.running + load.waiting;
            client
                .load()
                .record_report(in_flight_total, load.slots, now);
        }
        let source = ResponseSource {
            client: client.clone(),
            connection,
            keep_alive_ms: metadata.keep_alive_ms,
            clock: *clock,
            remaining: Duration::from_millis(self.remaining_ms)
                .saturating_sub(started_at.elapsed()),
        };
        read_response(response, metadata, source).await
    }
}

async fn read_response(
    response: Response<Incoming>,
    metadata: ResponseMetadata,
    source: ResponseSource,
) -> AttemptOutcome {
    let (mut head, body) = response.into_parts();
    let Ok(body) = body::buffer_or_stream(body, source).await else {
        return AttemptOutcome::Failed("answer cut off", Execution::MayHaveRun);
    };
    if metadata.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::Failed("upstream refused", Execution::NotRun);
    }
    if let Some(fault) = response_fault(head.status, &head.headers, &metadata) {
        return AttemptOutcome::Failed(fault, Execution::MayHaveRun);
    }
    strip_hop_by_hop(&mut head.headers);
    let is_error = head.status.is_server_error();
    let response = Response::from_parts(head, body);
    if is_error {
        AttemptOutcome::ErrorResponse(response)
    } else {
        AttemptOutcome::Response(response)
    }
}

/// Tells why an answer can't be passed on as it is.
fn response_fault(
    status: StatusCode,
    headers: &HeaderMap,
    metadata: &ResponseMetadata,
) -> Option<&'static str> {
    if status.is_success() && !metadata.is_stamped {
        return Some("success without the upstream's stamp");
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Some("answer in an encoding that nobody asked for");
    }
    // To a caller these would say that the request wasn't run, and nothing proves it.
    let retryable = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    retryable
        .contains(&status)
        .then_some("refusal without proof")
}
