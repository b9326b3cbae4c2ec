//! The request path: from a caller's request to its outcome.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Request, Response};
use tokio::sync::{oneshot, watch, Semaphore};

use crate::cell::state::UpstreamId;
use crate::clock::{Clock, Mono};
use crate::event::{Event, Recorder};
use crate::metrics::Metrics;
use crate::settings::Deployment;
use crate::slot::{home_region, KeyHash};
use crate::transport::Endpoint;

use super::body::{AnswerBody, AnswerResources, UpstreamBody};
use super::budget::{ByteRateLimiter, RetryBudget};
use super::claims::ClaimCoordinator;
use super::forward::UnresponsivePeers;
use super::in_flight::{InFlightGuard, InFlightRequests};
use super::limiter::Permit;
use super::load_meter::LoadMeter;
use super::outcome::{NotRun, NotRunReason, Outcome, UnknownReason, FENCE, RUN, SLOT, TIMEOUT_MS};
use super::pool::{Connection, ConnectionReuse};
use super::request::{strip_hop_by_hop, CallerRequest, Origin};
use super::table::{Ownership, RoutingTable, SlotOwner};
use super::upstream::{UpstreamClient, UpstreamClients};

/// Tries of one request, the first included.
const ATTEMPTS_MAX: usize = 3;
/// How long a request waits for its key's next owner, in milliseconds.
const OWNER_WAIT_MS: u64 = 4_000;
/// The pause before an owner that can't be reached is tried again, in milliseconds.
const OWNER_RETRY_DELAY_MS: u64 = 100;
/// Requests that may wait for owners at once.
const OWNER_WAIT_QUEUE_MAX: usize = 2_048;
/// A used connection that is silent for this long may be dead, in milliseconds.
const SILENT_CONNECTION_MS: u64 = 1_000;
/// When to come back after a refusal for want of a lease or an owner, in milliseconds.
const CONTROL_PLANE_RETRY_MS: u64 = 1_000;

/// The end of this host's routing lease, on its own clock.
#[derive(Debug, Default)]
pub struct LeaseExpiry(AtomicU64);

impl LeaseExpiry {
    /// Moves the end forward.
    pub fn extend(&self, until: Mono) {
        self.0.fetch_max(until.0, Ordering::SeqCst);
    }

    /// Ends the lease.
    pub fn expire(&self) {
        self.0.store(0, Ordering::SeqCst);
    }

    /// Returns what is left, in milliseconds.
    pub fn remaining_ms(&self, now: Mono) -> u64 {
        Mono(self.0.load(Ordering::SeqCst)).since(now)
    }
}

/// What the request path works with.
#[derive(Debug)]
pub struct Router {
    /// This host's name.
    pub host: String,
    /// The place of this host's region.
    pub region: usize,
    /// The deployment.
    pub deployment: Deployment,
    /// The process's clock.
    pub clock: Clock,
    /// The newest table.
    pub table: watch::Receiver<Arc<RoutingTable>>,
    /// The routing lease.
    pub lease: Arc<LeaseExpiry>,
    /// Requests in flight to owners.
    pub in_flight: InFlightRequests,
    /// Upstreams.
    pub upstreams: UpstreamClients,
    /// Retries left.
    pub retries: RetryBudget,
    /// Bytes left for other regions.
    pub region_link: ByteRateLimiter,
    /// Claims of request ids.
    pub claims: ClaimCoordinator,
    /// Load by slot and key.
    pub load_meter: LoadMeter,
    /// Connections to other entry hosts.
    pub endpoint: Endpoint,
    /// Entry hosts of other regions that didn't answer.
    pub unresponsive_peers: UnresponsivePeers,
    /// Requests waiting for owners.
    pub owner_wait_permits: Semaphore,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Events.
    pub recorder: Recorder,
}

/// Returns the number of requests that may wait for owners at once.
pub fn new_owner_wait_permits() -> Semaphore {
    Semaphore::new(OWNER_WAIT_QUEUE_MAX)
}

/// What one try came to.
enum AttemptResult {
    Answered(Response<AnswerBody>),
    /// Nothing reached the upstream, or it said that it ran nothing.
    NotSent(NotRun),
    /// The request may have reached the upstream.
    MaybeSent(UnknownReason),
}

/// What a keyed request holds at its owner.
struct OwnerHandle {
    ownership: Ownership,
    in_flight: InFlightGuard,
    aborted: oneshot::Receiver<()>,
}

impl Router {
    /// Carries a request to its outcome.
    pub async fn route(&self, req: &CallerRequest) -> Outcome {
        self.retries.deposit();
        let table = self.table.borrow().clone();
        let Some(service) = table.document.services.get(&req.service) else {
            return Outcome::NotRun(self.unknown_service(&table));
        };
        if !service.divided_by_key {
            return self.route_unkeyed(req).await;
        }
        let Some(key) = req.key else {
            return Outcome::NotRun(NotRun::permanent(NotRunReason::MissingKey));
        };
        let Some(division) = table.divisions.get(&req.service) else {
            return Outcome::NotRun(NotRun::retryable(
                NotRunReason::NoOwner,
                CONTROL_PLANE_RETRY_MS,
            ));
        };
        let regions = self.deployment.regions.len();
        let home = home_region(key.slot(division.hash_slot_count), regions);
        if home == self.region {
            return self.route_keyed(req, key).await;
        }
        if req.origin == Origin::OtherRegion {
            return Outcome::NotRun(NotRun::retryable(
                NotRunReason::NoOwner,
                CONTROL_PLANE_RETRY_MS,
            ));
        }
        self.forward(req, home).await
    }

    fn unknown_service(&self, table: &RoutingTable) -> NotRun {
        if table.version == 0 {
            return NotRun::retryable(NotRunReason::NoLease, CONTROL_PLANE_RETRY_MS);
        }
        NotRun::permanent(NotRunReason::UnknownService)
    }

    /// Sends a request to any upstream of its service that this region has.
    async fn route_unkeyed(&self, req: &CallerRequest) -> Outcome {
        let mut tried: Vec<UpstreamId> = Vec::new();
        let mut last = Outcome::NotRun(NotRun::retryable(
            NotRunReason::NoUpstream,
            CONTROL_PLANE_RETRY_MS,
        ));
        loop {
            let table = self.table.borrow().clone();
            let ids = table.upstreams_of(&req.service);
            if ids.is_empty() {
                return self.route_to_other_region(req).await;
            }
            let now = self.clock.now();
            let untried = self.upstreams.pick(ids, &tried, now);
            let Some(upstream) = untried.or_else(|| self.upstreams.pick(ids, &[], now)) else {
                return last;
            };
            let reuse = reuse_for(req, tried.len());
            tried.push(upstream.id);
            let may_retry = tried.len() < ATTEMPTS_MAX;
            match self.send_once(req, &upstream, None, reuse).await {
                AttemptResult::Answered(response) => return Outcome::Answered(response),
                AttemptResult::NotSent(not_run) => last = last.combine(Outcome::NotRun(not_run)),
                AttemptResult::MaybeSent(unknown_reason) => last = Outcome::Unknown(unknown_reason),
            }
            let may_have_run = matches!(last, Outcome::Unknown(_));
            let may_retry = may_retry && (req.is_idempotent() || !may_have_run);
            if !may_retry || !self.take_retry(req) {
                return last;
            }
        }
    }

    /// Passes a request on when this region has no upstream of its service.
    async fn route_to_other_region(&self, req: &CallerRequest) -> Outcome {
        let regions = self.deployment.regions.len();
        if req.origin == Origin::OtherRegion || regions < 2 {
            return Outcome::NotRun(NotRun::retryable(
                NotRunReason::NoUpstream,
                CONTROL_PLANE_RETRY_MS,
            ));
        }
        self.forward(req, (self.region + 1) % regions).await
    }

    /// Sends a request to its key's owner, waiting for one while the key changes hands.
    async fn route_keyed(&self, req: &CallerRequest, key: KeyHash) -> Outcome {
        let mut unknown_reason = None;
        let outcome = self.try_owners(req, key, &mut unknown_reason).await;
        match unknown_reason {
            Some(unknown_reason) => Outcome::Unknown(unknown_reason).combine(outcome),
            None => outcome,
        }
    }

    /// Tries owners until one answers; `doubt` is set once a try may have reached one.
    async fn try_owners(
        &self,
        req: &CallerRequest,
        key: KeyHash,
        unknown_reason: &mut Option<UnknownReason>,
    ) -> Outcome {
        let wait_deadline = self.clock.now().plus(OWNER_WAIT_MS).min(req.deadline);
        let mut table = self.table.clone();
        let mut attempts = 0;
        loop {
            let current = table.borrow_and_update().clone();
            if self.lease.remaining_ms(self.clock.now()) == 0 {
                return Outcome::NotRun(NotRun::retryable(
                    NotRunReason::NoLease,
                    CONTROL_PLANE_RETRY_MS,
                ));
            }
            let refusal = match current.owner(&req.service, key) {
                SlotOwner::Unassigned => {
                    NotRun::retryable(NotRunReason::NoOwner, CONTROL_PLANE_RETRY_MS)
                }
                SlotOwner::Held(ownership) => {
                    let Some(upstream) = self.upstreams.get(ownership.upstream) else {
                        return Outcome::NotRun(NotRun::retryable(
                            NotRunReason::NoOwner,
                            CONTROL_PLANE_RETRY_MS,
                        ));
                    };
                    let Ok((in_flight, aborted)) =
                        self.in_flight.begin(ownership.upstream, current.version)
                    else {
                        continue;
                    };
                    let owner_handle = OwnerHandle {
                        ownership,
                        in_flight,
                        aborted,
                    };
                    if attempts == 0 {
                        self.load_meter.count(&req.service, ownership.slot, key);
                    }
                    let reuse = reuse_for(req, attempts);
                    attempts += 1;
                    match self
                        .send_once(req, &upstream, Some(owner_handle), reuse)
                        .await
                    {
                        AttemptResult::Answered(response) => return Outcome::Answered(response),
                        AttemptResult::NotSent(not_run) if not_run.reason == NotRunReason::Busy => {
                            return Outcome::NotRun(not_run);
                        }
                        AttemptResult::NotSent(not_run) => not_run,
                        AttemptResult::MaybeSent(reason) => {
                            *unknown_reason = Some(reason);
                            let may_retry = req.is_idempotent() && attempts < ATTEMPTS_MAX;
                            if !may_retry || !self.take_retry(req) {
                                return Outcome::Unknown(reason);
                            }
                            continue;
                        }
                    }
                }
            };
            if let Err(not_run) = self
                .wait_for_owner(&mut table, wait_deadline, refusal)
                .await
            {
                return Outcome::NotRun(not_run);
            }
        }
    }

    /// Waits for another table; an owner that can't be reached is tried again after a pause.
    async fn wait_for_owner(
        &self,
        table: &mut watch::Receiver<Arc<RoutingTable>>,
        until: Mono,
        refusal: NotRun,
    ) -> Result<(), NotRun> {
        let now = self.clock.now();
        if now >= until {
            return Err(refusal);
        }
        let Ok(_waiting) = self.owner_wait_permits.try_acquire() else {
            return Err(NotRun::retryable(
                NotRunReason::QueueFull,
                CONTROL_PLANE_RETRY_MS,
            ));
        };
        let pause_ms = match refusal.reason {
            NotRunReason::NoOwner => until.since(now),
            _ => OWNER_RETRY_DELAY_MS.min(until.since(now)),
        };
        let pause = Duration::from_millis(pause_ms);
        let _ = tokio::time::timeout(pause, table.changed()).await;
        Ok(())
    }

    fn take_retry(&self, req: &CallerRequest) -> bool {
        let allowed = self.clock.now() < req.deadline && self.retries.try_withdraw();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Sends a request to one upstream, once.
    async fn send_once(
        &self,
        req: &CallerRequest,
        upstream: &Arc<UpstreamClient>,
        owner_handle: Option<OwnerHandle>,
        reuse: ConnectionReuse,
    ) -> AttemptResult {
        let now = self.clock.now();
        let (mut aborted, in_flight, ownership) = split_owner_handle(owner_handle);
        let acquiring = upstream.limiter.acquire(now, req.deadline);
        let acquired = tokio::select! {
            acquired = acquiring => acquired,
            _ = &mut aborted => return owner_lost(),
        };
        let permit = match acquired {
            Ok(permit) => permit,
            Err(overloaded) => {
                self.metrics.shed.inc();
                return AttemptResult::NotSent(NotRun::retryable(
                    NotRunReason::Busy,
                    overloaded.retry_after_ms,
                ));
            }
        };
        let now = self.clock.now();
        if now >= req.deadline {
            return AttemptResult::NotSent(NotRun::retryable(NotRunReason::Busy, 1));
        }
        let Ok(connection) = upstream.pool.take(reuse, now).await else {
            upstream.record_failure("no connection", now);
            return AttemptResult::NotSent(NotRun::retryable(
                NotRunReason::NoUpstream,
                CONTROL_PLANE_RETRY_MS,
            ));
        };
        let dispatch = Dispatch {
            upstream: upstream.clone(),
            permit,
            in_flight,
            ownership,
        };
        self.exchange(req, dispatch, connection, aborted).await
    }

    async fn exchange(
        &self,
        req: &CallerRequest,
        dispatch: Dispatch,
        mut connection: Connection,
        mut aborted: AbortSignal,
    ) -> AttemptResult {
        let upstream = dispatch.upstream.clone();
        let sent_at = self.clock.now();
        if dispatch.ownership.is_some() && self.lease.remaining_ms(sent_at) == 0 {
            upstream.pool.put(connection, None, sent_at);
            return AttemptResult::NotSent(NotRun::retryable(
                NotRunReason::NoLease,
                CONTROL_PLANE_RETRY_MS,
            ));
        }
        let request = upstream_request(req, &dispatch, sent_at);
        let reused = connection.reused;
        let answering = connection.sender.try_send_request(request);
        tokio::pin!(answering);
        let may_be_stale = reused && req.is_idempotent();
        let deadline = self.clock.instant(req.deadline).into();
        let silence = self
            .clock
            .instant(sent_at.plus(SILENT_CONNECTION_MS))
            .into();
        let silent = tokio::time::sleep_until(silence);
        tokio::pin!(silent);
        let mut check_silence = may_be_stale;
        let answered = loop {
            tokio::select! {
                answered = &mut answering => break answered,
                _ = tokio::time::sleep_until(deadline) => {
                    upstream.pool.close_idle();
                    upstream.record_failure("no answer before the deadline", self.clock.now());
                    return AttemptResult::MaybeSent(UnknownReason::Deadline);
                }
                _ = &mut aborted => return AttemptResult::MaybeSent(UnknownReason::OwnerReplaced),
                _ = &mut silent, if check_silence => {
                    check_silence = false;
                    if self.take_retry(req) {
                        self.close_idle_connections(&upstream);
                        return AttemptResult::MaybeSent(UnknownReason::Deadline);
                    }
                }
            }
        };
        match answered {
            Ok(response) => self.accept_answer(response, dispatch, connection, sent_at),
            Err(mut e) => {
                if e.take_message().is_some() {
                    return AttemptResult::NotSent(NotRun::retryable(NotRunReason::NoUpstream, 1));
                }
                upstream.record_failure("the connection broke", self.clock.now());
                AttemptResult::MaybeSent(UnknownReason::Broken)
            }
        }
    }

    /// Closes an upstream's idle connections after one of them went silent.
    fn close_idle_connections(&self, upstream: &UpstreamClient) {
        upstream.pool.close_idle();
        self.recorder.record(Event::ConnectionSilent {
            upstream: upstream.name.clone(),
        });
    }

    fn accept_answer(
        &self,
        response: Response<hyper::body::Incoming>,
        dispatch: Dispatch,
        connection: Connection,
        sent_at: Mono,
    ) -> AttemptResult {
        let now = self.clock.now();
        let (mut head, incoming) = response.into_parts();
        let resources = AnswerResources {
            upstream: dispatch.upstream.clone(),
            connection: Some(connection),
            permit: dispatch.permit,
            in_flight: dispatch.in_flight,
            clock: self.clock,
        };
        let not_executed = head.headers.get(RUN).is_some_and(|v| v == "no");
        if not_executed {
            dispatch.upstream.limiter.back_off();
            let reason = match dispatch.ownership {
                Some(_) if head.status == hyper::StatusCode::MISDIRECTED_REQUEST => {
                    NotRunReason::NoUpstream
                }
                _ => NotRunReason::Busy,
            };
            let body = AnswerBody::Upstream(Box::new(UpstreamBody::new(incoming, resources)));
            tokio::spawn(discard_body(body));
            return AttemptResult::NotSent(NotRun::retryable(
                reason,
                retry_after_ms(&head.headers),
            ));
        }
        dispatch.upstream.record_success(now.since(sent_at) as f64);
        strip_hop_by_hop(&mut head.headers);
        let body = AnswerBody::Upstream(Box::new(UpstreamBody::new(incoming, resources)));
        AttemptResult::Answered(Response::from_parts(head, body))
    }
}

/// What a request holds while it is sent.
struct Dispatch {
    upstream: Arc<UpstreamClient>,
    permit: Permit,
    in_flight: Option<InFlightGuard>,
    ownership: Option<Ownership>,
}

/// Completes when the key's owner was replaced; never for services without owners.
struct AbortSignal(Option<oneshot::Receiver<()>>);

impl std::future::Future for AbortSignal {
    type Output = ();

    fn poll(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<()> {
        let Some(rx) = &mut self.0 else {
            return std::task::Poll::Pending;
        };
        std::pin::Pin::new(rx).poll(cx).map(|_| ())
    }
}

fn split_owner_handle(
    owner_handle: Option<OwnerHandle>,
) -> (AbortSignal, Option<InFlightGuard>, Option<Ownership>) {
    let Some(owner_handle) = owner_handle else {
        return (AbortSignal(None), None, None);
    };
    let aborted = AbortSignal(Some(owner_handle.aborted));
    (
        aborted,
        Some(owner_handle.in_flight),
        Some(owner_handle.ownership),
    )
}

fn owner_lost() -> AttemptResult {
    AttemptResult::NotSent(NotRun::retryable(
        NotRunReason::NoOwner,
        CONTROL_PLANE_RETRY_MS,
    ))
}

/// A request that may not be repeated, and every retry, goes on a new connection.
fn reuse_for(req: &CallerRequest, attempts: usize) -> ConnectionReuse {
    if attempts == 0 && req.is_idempotent() {
        return ConnectionReuse::Any;
    }
    ConnectionReuse::NewOnly
}

fn upstream_request(req: &CallerRequest, dispatch: &Dispatch, now: Mono) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(req.body.clone()));
    *request.method_mut() = req.method.clone();
    if let Ok(uri) = req.path.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = req.headers.clone();
    let headers = request.headers_mut();
    let address = dispatch.upstream.address.to_string();
    if let Ok(host) = HeaderValue::from_str(&address) {
        headers.insert(HOST, host);
    }
    headers.insert(TIMEOUT_MS, HeaderValue::from(req.deadline.since(now)));
    if let Some(ownership) = &dispatch.ownership {
        headers.insert(FENCE, HeaderValue::from(ownership.fence));
        headers.insert(SLOT, HeaderValue::from(ownership.slot.0));
    }
    request
}

fn retry_after_ms(headers: &HeaderMap) -> u64 {
    let given = headers.get(super::outcome::RETRY_AFTER_MS);
    let text = given.and_then(|v| v.to_str().ok());
    text.and_then(|v| v.parse().ok())
        .unwrap_or(OWNER_RETRY_DELAY_MS)
}

/// Reads a refusal's body so that its connection can be used again.
async fn discard_body(body: AnswerBody) {
    let _ = http_body_util::BodyExt::collect(body).await;
}
