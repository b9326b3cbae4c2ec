//! Routes a caller's request: finds the key's owner or an upstream, sends the request there,
//! retries where that is allowed, and returns its outcome.

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
use crate::http::is_final_status;
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

/// The most attempts for one request, the first included.
const ATTEMPTS_MAX: usize = 3;
/// How long a request waits for its key to get an owner, in milliseconds.
const OWNER_WAIT_MS: u64 = 4_000;
/// The delay before an owner that can't be reached is tried again, in milliseconds.
const OWNER_RETRY_DELAY_MS: u64 = 100;
/// The most requests that wait for owners at the same time.
const OWNER_WAIT_QUEUE_MAX: usize = 2_048;
/// How long an idempotent request on a reused connection waits for an answer before it is sent
/// again, because the connection may be dead, in milliseconds. It is sent again only if the retry
/// budget allows that.
const SILENT_CONNECTION_MS: u64 = 1_000;
/// The retry-after time of refusals for lack of a routing lease, an owner or an upstream, in
/// milliseconds.
const CONTROL_PLANE_RETRY_MS: u64 = 1_000;

/// When this host's routing lease expires, by the process's monotonic clock.
#[derive(Debug, Default)]
pub struct LeaseExpiry(AtomicU64);

impl LeaseExpiry {
    /// Moves the expiry to `until`; never moves it back.
    pub fn extend(&self, until: Mono) {
        self.0.fetch_max(until.0, Ordering::SeqCst);
    }

    /// Expires the lease at once.
    pub fn expire(&self) {
        self.0.store(0, Ordering::SeqCst);
    }

    /// Returns the remaining time, in milliseconds; 0 once the lease has expired.
    pub fn remaining_ms(&self, now: Mono) -> u64 {
        Mono(self.0.load(Ordering::SeqCst)).since(now)
    }
}

/// The state and the connections that requests are routed with.
#[derive(Debug)]
pub struct Router {
    /// The name of this host.
    pub host: String,
    /// The index of this host's region in the deployment.
    pub region_index: usize,
    /// The deployment's settings.
    pub deployment: Deployment,
    /// The process's monotonic clock.
    pub clock: Clock,
    /// The current routing table.
    pub table: watch::Receiver<Arc<RoutingTable>>,
    /// The expiry of the routing lease.
    pub lease: Arc<LeaseExpiry>,
    /// Keyed requests in flight, by owner.
    pub in_flight: InFlightRequests,
    /// Connections, limits and health of the upstreams.
    pub upstreams: UpstreamClients,
    /// Limits retries to a share of the requests.
    pub retries: RetryBudget,
    /// Limits the bytes sent to other regions.
    pub region_link: ByteRateLimiter,
    /// Claims request ids before requests that may not be repeated are sent.
    pub claims: ClaimCoordinator,
    /// Counts requests by slot and key.
    pub load_meter: LoadMeter,
    /// Connections to the other hosts.
    pub endpoint: Endpoint,
    /// Entry hosts of other regions that recently didn't answer.
    pub unresponsive_peers: UnresponsivePeers,
    /// One permit for each request that may wait for an owner.
    pub owner_wait_permits: Semaphore,
    /// The metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Records events.
    pub recorder: Recorder,
}

/// Returns the permits of requests that may wait for an owner.
pub fn new_owner_wait_permits() -> Semaphore {
    Semaphore::new(OWNER_WAIT_QUEUE_MAX)
}

/// The result of sending a request once.
enum AttemptResult {
    Answered(Response<AnswerBody>),
    /// The request didn't reach the upstream, or the upstream answered that it didn't run it.
    NotRun(NotRun),
    /// The request may have reached the upstream, and there is no answer.
    MaybeSent(UnknownReason),
}

/// The ownership that a keyed request is sent under, and its entry among the requests in flight.
struct OwnerHandle {
    ownership: Ownership,
    in_flight: InFlightGuard,
    aborted: oneshot::Receiver<()>,
}

impl Router {
    /// Routes a request and returns its outcome.
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
        let Some(slot_table) = table.slot_tables.get(&req.service) else {
            return Outcome::NotRun(NotRun::retryable(
                NotRunReason::NoOwner,
                CONTROL_PLANE_RETRY_MS,
            ));
        };
        let regions = self.deployment.regions.len();
        let home = home_region(key.slot(slot_table.hash_slot_count), regions);
        if home == self.region_index {
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

    /// Sends a request to any upstream of its service in this region.
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
                AttemptResult::NotRun(not_run) => last = last.combine(Outcome::NotRun(not_run)),
                AttemptResult::MaybeSent(unknown_reason) => last = Outcome::Unknown(unknown_reason),
            }
            let may_have_run = matches!(last, Outcome::Unknown(_));
            let may_retry = may_retry && (req.is_idempotent() || !may_have_run);
            if !may_retry || !self.take_retry(req) {
                return last;
            }
        }
    }

    /// Forwards a request to the next region when this one has no upstream of its service.
    async fn route_to_other_region(&self, req: &CallerRequest) -> Outcome {
        let regions = self.deployment.regions.len();
        if req.origin == Origin::OtherRegion || regions < 2 {
            return Outcome::NotRun(NotRun::retryable(
                NotRunReason::NoUpstream,
                CONTROL_PLANE_RETRY_MS,
            ));
        }
        self.forward(req, (self.region_index + 1) % regions).await
    }

    /// Sends a request to its key's owner; while the key has no owner, waits for one.
    async fn route_keyed(&self, req: &CallerRequest, key: KeyHash) -> Outcome {
        let mut unknown_reason = None;
        let outcome = self.try_owners(req, key, &mut unknown_reason).await;
        match unknown_reason {
            Some(unknown_reason) => Outcome::Unknown(unknown_reason).combine(outcome),
            None => outcome,
        }
    }

    /// Sends the request to the key's owner until one answers; sets `unknown_reason` once an
    /// attempt may have reached an owner.
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
                        AttemptResult::NotRun(not_run) if not_run.reason == NotRunReason::Busy => {
                            return Outcome::NotRun(not_run);
                        }
                        AttemptResult::NotRun(not_run) => not_run,
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

    /// Waits for a new routing table; where the key has an owner that couldn't be reached, waits
    /// [`OWNER_RETRY_DELAY_MS`] at most. Returns `refusal` once `until` has passed.
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

    /// Sends a request to one upstream, once, after a permit and a connection were obtained.
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
                return AttemptResult::NotRun(NotRun::retryable(
                    NotRunReason::Busy,
                    overloaded.retry_after_ms,
                ));
            }
        };
        let now = self.clock.now();
        if now >= req.deadline {
            return AttemptResult::NotRun(NotRun::retryable(NotRunReason::Busy, 1));
        }
        let Ok(connection) = upstream.pool.take(reuse, now).await else {
            upstream.record_failure("no connection", now);
            return AttemptResult::NotRun(NotRun::retryable(
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
            return AttemptResult::NotRun(NotRun::retryable(
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
            Ok(response) if !is_final_status(response.status()) => {
                upstream.record_failure("invalid status", self.clock.now());
                AttemptResult::MaybeSent(UnknownReason::Broken)
            }
            Ok(response) => self.accept_answer(response, dispatch, connection, sent_at),
            Err(mut e) => {
                if e.take_message().is_some() {
                    return AttemptResult::NotRun(NotRun::retryable(NotRunReason::NoUpstream, 1));
                }
                upstream.record_failure("the connection broke", self.clock.now());
                AttemptResult::MaybeSent(UnknownReason::Broken)
            }
        }
    }

    /// Closes an upstream's idle connections because one connection to it stopped answering, and
    /// records that.
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
            return AttemptResult::NotRun(NotRun::retryable(reason, retry_after_ms(&head.headers)));
        }
        dispatch.upstream.record_success(now.since(sent_at) as f64);
        strip_hop_by_hop(&mut head.headers);
        let body = AnswerBody::Upstream(Box::new(UpstreamBody::new(incoming, resources)));
        AttemptResult::Answered(Response::from_parts(head, body))
    }
}

/// The upstream, the permit and the ownership of one attempt.
struct Dispatch {
    upstream: Arc<UpstreamClient>,
    permit: Permit,
    in_flight: Option<InFlightGuard>,
    ownership: Option<Ownership>,
}

/// Completes when the request is aborted because its key's owner was replaced; never completes for
/// services without keys.
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
    AttemptResult::NotRun(NotRun::retryable(
        NotRunReason::NoOwner,
        CONTROL_PLANE_RETRY_MS,
    ))
}

/// Returns which connection an attempt may use: a request that may not be repeated, and every
/// retry, gets a new one.
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

/// Reads a refusal's body to its end, so that the connection can be reused.
async fn discard_body(body: AnswerBody) {
    let _ = http_body_util::BodyExt::collect(body).await;
}
