//! Forwards requests between regions, in one hop: to an entry host of the key's home region, or of
//! the next region when a service without keys has no upstream in this one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::HeaderMap;
use hyper::{Method, Response, StatusCode};
use quinn::{SendStream, VarInt};
use rand::seq::SliceRandom;

use crate::clock::Mono;
use crate::metrics::CauseLabels;
use crate::transport::TransportError;
use crate::wire::{self, ForwardedResponseHead, Request, Response as Answer};

use super::body::{AnswerBody, RemoteBody};
use super::outcome::{NotRun, NotRunReason, Outcome, UnknownReason};
use super::request::{from_wire, parse_target, to_wire, CallerRequest, Origin};
use super::router::Router;

/// The most entry hosts of the other region that one request is sent to.
const FORWARD_ATTEMPTS_MAX: usize = 2;
/// The bytes counted for a request's head.
const HEAD_BYTES_ESTIMATE: u64 = 512;
/// The least time that a host gets to answer before another one is tried, in milliseconds.
const ATTEMPT_TIMEOUT_MIN_MS: u64 = 1_000;
/// How long a forwarded request waits for its answer before the host is pinged.
const FIRST_PING_DELAY: Duration = Duration::from_millis(250);
/// The pause between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a host may take to answer a ping; several round trips between regions.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a host that didn't answer is tried only after the others, in milliseconds.
const UNRESPONSIVE_MS: u64 = 3_000;
const REGION_RETRY_AFTER_MS: u64 = 1_000;
/// The stream reset code of a truncated answer.
const ANSWER_TRUNCATED: VarInt = VarInt::from_u32(1);
/// How much the timeout that is passed on is shortened, in milliseconds, so that the answer is back
/// in time.
const RETURN_TRIP_MS: u64 = 35;

impl Router {
    /// Sends a request to an entry host of another region and returns its outcome.
    pub async fn forward(&self, req: &CallerRequest, region: usize) -> Outcome {
        let bytes = HEAD_BYTES_ESTIMATE + req.body.len() as u64;
        let now = self.clock.now();
        match self
            .region_link
            .reserve(bytes, req.deadline.since(now), now)
        {
            Ok(wait_ms) => tokio::time::sleep(Duration::from_millis(wait_ms)).await,
            Err(wait_ms) => {
                return Outcome::NotRun(NotRun::retryable(NotRunReason::RegionLinkFull, wait_ms));
            }
        }
        self.count_region_bytes("request", bytes);
        let mut hosts = self.entry_hosts_of(region);
        hosts.shuffle(&mut rand::rng());
        let now = self.clock.now();
        hosts.sort_by_key(|host| self.unresponsive_peers.is_unresponsive(host, now));
        let unreachable = NotRun::retryable(NotRunReason::RegionUnreachable, REGION_RETRY_AFTER_MS);
        let mut last = Outcome::NotRun(unreachable);
        let mut attempts = hosts.iter().take(FORWARD_ATTEMPTS_MAX).peekable();
        while let Some(host) = attempts.next() {
            let remaining_ms = req.deadline.since(self.clock.now());
            let is_last = attempts.peek().is_none() || !req.is_idempotent();
            let timeout_ms = if is_last {
                remaining_ms
            } else {
                remaining_ms.min((remaining_ms / 3).max(ATTEMPT_TIMEOUT_MIN_MS))
            };
            let failure = match self.forward_to(req, host, timeout_ms).await {
                Ok(outcome) => return last.combine(outcome),
                Err(failure) => failure,
            };
            self.unresponsive_peers.record(host, self.clock.now());
            last = match failure {
                ForwardFailure::NotSent => last,
                ForwardFailure::MaybeSent => Outcome::Unknown(UnknownReason::Broken),
                ForwardFailure::TimedOut => Outcome::Unknown(UnknownReason::Deadline),
            };
            if is_last && failure != ForwardFailure::NotSent {
                return last;
            }
        }
        last
    }

    /// Serves a request that was forwarded by an entry host of another region.
    pub async fn serve_forward(
        self: Arc<Self>,
        forward: wire::ForwardedRequest,
        mut tx: SendStream,
    ) {
        let Some(req) = self.read_forward(forward) else {
            let _ = tx.reset(ANSWER_TRUNCATED);
            return;
        };
        let outcome = self.route(&req).await;
        let response = outcome.into_response();
        let (head, body) = response.into_parts();
        let answer = Answer::Forward(ForwardedResponseHead {
            status: head.status.as_u16(),
            headers: to_wire(&head.headers),
        });
        if self.endpoint.send_response(&mut tx, answer).await.is_err() {
            return;
        }
        if self.send_body(body, &mut tx).await.is_err() {
            let _ = tx.reset(ANSWER_TRUNCATED);
            return;
        }
        let _ = tx.finish();
    }

    fn entry_hosts_of(&self, region: usize) -> Vec<String> {
        let Some(region) = self.deployment.regions.get(region) else {
            return Vec::new();
        };
        let hosts = self.deployment.entry_hosts.iter();
        hosts
            .filter(|h| region.availability_zones.contains(&h.availability_zone))
            .map(|h| h.name.clone())
            .collect()
    }

    fn count_region_bytes(&self, cause: &str, bytes: u64) {
        let labels = CauseLabels {
            cause: cause.to_string(),
        };
        self.metrics
            .cross_region_bytes
            .get_or_create(&labels)
            .inc_by(bytes);
    }

    async fn forward_to(
        &self,
        req: &CallerRequest,
        host: &str,
        timeout_ms: u64,
    ) -> Result<Outcome, ForwardFailure> {
        let forward = wire::ForwardedRequest {
            method: req.method.as_str().to_string(),
            path: req.path.clone(),
            headers: to_wire(&req.headers),
            body: req.body.to_vec(),
            timeout_ms: timeout_ms.saturating_sub(RETURN_TRIP_MS),
            claimed: req.claimed,
        };
        let timeout = Duration::from_millis(timeout_ms);
        let exchange = async {
            let opened = self
                .endpoint
                .open_stream(host, Request::Forward(Box::new(forward)));
            let (_tx, mut rx) = opened
                .await
                .map_err(|e| forward_failure(*e.current_context()))?;
            let answer = tokio::select! {
                answer = self.endpoint.read_response(&mut rx) => answer,
                _ = self.wait_until_unresponsive(host) => return Err(ForwardFailure::TimedOut),
            };
            let answer = answer.map_err(|_| ForwardFailure::MaybeSent)?;
            Ok((answer, rx))
        };
        let exchanged = tokio::time::timeout(timeout, exchange).await;
        let Ok(exchanged) = exchanged else {
            return Err(ForwardFailure::TimedOut);
        };
        let (answer, rx) = exchanged?;
        let Answer::Forward(head) = answer else {
            return Err(ForwardFailure::NotSent);
        };
        let body = AnswerBody::Remote(Box::new(RemoteBody::new(rx)));
        let mut response = Response::new(body);
        *response.status_mut() =
            StatusCode::from_u16(head.status).map_err(|_| ForwardFailure::MaybeSent)?;
        *response.headers_mut() = from_wire(head.headers);
        Ok(Outcome::Answered(response))
    }

    /// Pings a host and returns once it doesn't answer. An open connection to a host that was
    /// killed shows no error.
    async fn wait_until_unresponsive(&self, host: &str) {
        let mut pause = FIRST_PING_DELAY;
        loop {
            tokio::time::sleep(pause).await;
            let ping = self.endpoint.call(host, Request::Ping, PING_TIMEOUT);
            if ping.await.is_err() {
                return;
            }
            pause = PING_INTERVAL;
        }
    }

    fn read_forward(&self, forward: wire::ForwardedRequest) -> Option<CallerRequest> {
        let method: Method = forward.method.parse().ok()?;
        let target = parse_target(&forward.path);
        let headers: HeaderMap = from_wire(forward.headers);
        Some(CallerRequest {
            method,
            service: target.service,
            key: target.key,
            path: forward.path,
            headers,
            body: Bytes::from(forward.body),
            deadline: self.clock.now().plus(forward.timeout_ms),
            origin: Origin::OtherRegion,
            claimed: forward.claimed,
        })
    }

    async fn send_body(
        &self,
        mut body: AnswerBody,
        tx: &mut SendStream,
    ) -> Result<(), ForwardFailure> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ForwardFailure::MaybeSent)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let now = self.clock.now();
            let bytes = data.len() as u64;
            let wait_ms = self.region_link.reserve(bytes, u64::MAX, now).unwrap_or(0);
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            self.count_region_bytes("answer", bytes);
            tx.write_chunk(data)
                .await
                .map_err(|_| ForwardFailure::MaybeSent)?;
        }
        Ok(())
    }
}

/// Why forwarding to one host failed, and whether the request may have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ForwardFailure {
    NotSent,
    MaybeSent,
    /// The request was sent and not answered in time.
    TimedOut,
}

/// The entry hosts that recently didn't answer, with the time until which each is tried last.
#[derive(Debug, Default)]
pub struct UnresponsivePeers(Mutex<BTreeMap<String, Mono>>);

impl UnresponsivePeers {
    fn record(&self, host: &str, now: Mono) {
        self.lock()
            .insert(host.to_string(), now.plus(UNRESPONSIVE_MS));
    }

    fn is_unresponsive(&self, host: &str, now: Mono) -> bool {
        self.lock().get(host).is_some_and(|until| *until > now)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Mono>> {
        match self.0.lock() {
            Ok(peers) => peers,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

fn forward_failure(e: TransportError) -> ForwardFailure {
    match e {
        TransportError::Connect | TransportError::UnknownHost => ForwardFailure::NotSent,
        _ => ForwardFailure::MaybeSent,
    }
}
