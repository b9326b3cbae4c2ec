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

use super::body::{AnswerBody, Hold, UpstreamBody};
use super::budget::{ByteBudget, RetryBudget};
use super::claims::Claims;
use super::flight::{Flight, Flights};
use super::forward::PeersDown;
use super::gate::Pass;
use super::load::LoadMeter;
use super::member::{Member, Members};
use super::outcome::{Doubt, NotRun, Outcome, Reason, FENCE, RUN, SLOT, TIMEOUT_MS};
use super::pool::{Connection, Proof};
use super::request::{strip_hop_by_hop, CallerRequest, Origin};
use super::table::{Owner, Ownership, Table};

/// Tries of one request, the first included.
const TRIES_MAX: usize = 3;
/// How long a request waits for its key's next owner, in milliseconds.
const OWNER_WAIT_MS: u64 = 4_000;
/// The pause before an owner that can't be reached is tried again, in milliseconds.
const OWNER_PAUSE_MS: u64 = 100;
/// Requests that may wait for owners at once.
const OWNER_WAITERS_MAX: usize = 2_048;
/// A used connection that is silent for this long may be dead, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// When to come back after a refusal for want of a lease or an owner, in milliseconds.
const CONTROL_RETRY_MS: u64 = 1_000;

/// The end of this host's routing lease, on its own clock.
#[derive(Debug, Default)]
pub struct LeaseEnd(AtomicU64);

impl LeaseEnd {
    /// Moves the end forward.
    pub fn extend(&self, until: Mono) {
        self.0.fetch_max(until.0, Ordering::SeqCst);
    }

    /// Ends the lease.
    pub fn end(&self) {
        self.0.store(0, Ordering::SeqCst);
    }

    /// Returns what is left, in milliseconds.
    pub fn left_ms(&self, now: Mono) -> u64 {
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
    pub table: watch::Receiver<Arc<Table>>,
    /// The routing lease.
    pub lease: Arc<LeaseEnd>,
    /// Requests in flight to owners.
    pub flights: Flights,
    /// Upstreams.
    pub members: Members,
    /// Retries left.
    pub retries: RetryBudget,
    /// Bytes left for other regions.
    pub link: ByteBudget,
    /// Claims of request ids.
    pub claims: Claims,
    /// Load by slot and key.
    pub load: LoadMeter,
    /// Connections to other entry hosts.
    pub endpoint: Endpoint,
    /// Entry hosts of other regions that didn't answer.
    pub peers_down: PeersDown,
    /// Requests waiting for owners.
    pub owner_waiters: Semaphore,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Events.
    pub recorder: Recorder,
}

/// Returns the number of requests that may wait for owners at once.
pub fn owner_waiters() -> Semaphore {
    Semaphore::new(OWNER_WAITERS_MAX)
}

/// What one try came to.
enum Tried {
    Answered(Response<AnswerBody>),
    /// Nothing reached the upstream, or it said that it ran nothing.
    NotSent(NotRun),
    /// The request may have reached the upstream.
    Doubtful(Doubt),
}

/// What a keyed request holds at its owner.
struct Keyed {
    ownership: Ownership,
    flight: Flight,
    aborted: oneshot::Receiver<()>,
}

impl Router {
    /// Carries a request to its outcome.
    pub async fn route(&self, req: &CallerRequest) -> Outcome {
        self.retries.earn();
        let table = self.table.borrow().clone();
        let Some(service) = table.document.services.get(&req.service) else {
            return Outcome::NotRun(self.unknown_service(&table));
        };
        if !service.divided_by_key {
            return self.route_shared(req).await;
        }
        let Some(key) = req.key else {
            return Outcome::NotRun(NotRun::never(Reason::MissingKey));
        };
        let Some(division) = table.divisions.get(&req.service) else {
            return Outcome::NotRun(NotRun::later(Reason::NoOwner, CONTROL_RETRY_MS));
        };
        let regions = self.deployment.regions.len();
        let home = home_region(key.slot(division.hash_slot_count), regions);
        if home == self.region {
            return self.route_keyed(req, key).await;
        }
        if req.origin == Origin::Region {
            return Outcome::NotRun(NotRun::later(Reason::NoOwner, CONTROL_RETRY_MS));
        }
        self.forward(req, home).await
    }

    fn unknown_service(&self, table: &Table) -> NotRun {
        if table.version == 0 {
            return NotRun::later(Reason::NoLease, CONTROL_RETRY_MS);
        }
        NotRun::never(Reason::UnknownService)
    }

    /// Sends a request to any upstream of its service that this region has.
    async fn route_shared(&self, req: &CallerRequest) -> Outcome {
        let mut tried: Vec<UpstreamId> = Vec::new();
        let mut last = Outcome::NotRun(NotRun::later(Reason::NoUpstream, CONTROL_RETRY_MS));
        loop {
            let table = self.table.borrow().clone();
            let ids = table.selected(&req.service);
            if ids.is_empty() {
                return self.route_elsewhere(req).await;
            }
            let now = self.clock.now();
            let fresh = self.members.pick(ids, &tried, now);
            let Some(member) = fresh.or_else(|| self.members.pick(ids, &[], now)) else {
                return last;
            };
            let proof = proof_of(req, tried.len());
            tried.push(member.id);
            let may_retry = tried.len() < TRIES_MAX;
            match self.attempt(req, &member, None, proof).await {
                Tried::Answered(response) => return Outcome::Answered(response),
                Tried::NotSent(not_run) => last = last.then(Outcome::NotRun(not_run)),
                Tried::Doubtful(doubt) => last = Outcome::Unknown(doubt),
            }
            let doubtful = matches!(last, Outcome::Unknown(_));
            let may_retry = may_retry && (req.is_idempotent() || !doubtful);
            if !may_retry || !self.retry_allowed(req) {
                return last;
            }
        }
    }

    /// Passes a request on when this region has no upstream of its service.
    async fn route_elsewhere(&self, req: &CallerRequest) -> Outcome {
        let regions = self.deployment.regions.len();
        if req.origin == Origin::Region || regions < 2 {
            return Outcome::NotRun(NotRun::later(Reason::NoUpstream, CONTROL_RETRY_MS));
        }
        self.forward(req, (self.region + 1) % regions).await
    }

    /// Sends a request to its key's owner, waiting for one while the key changes hands.
    async fn route_keyed(&self, req: &CallerRequest, key: KeyHash) -> Outcome {
        let mut doubt = None;
        let outcome = self.try_owners(req, key, &mut doubt).await;
        match doubt {
            Some(doubt) => Outcome::Unknown(doubt).then(outcome),
            None => outcome,
        }
    }

    /// Tries owners until one answers; `doubt` is set once a try may have reached one.
    async fn try_owners(
        &self,
        req: &CallerRequest,
        key: KeyHash,
        doubt: &mut Option<Doubt>,
    ) -> Outcome {
        let wait_until = self.clock.now().plus(OWNER_WAIT_MS).min(req.deadline);
        let mut table = self.table.clone();
        let mut tries = 0;
        loop {
            let seen = table.borrow_and_update().clone();
            if self.lease.left_ms(self.clock.now()) == 0 {
                return Outcome::NotRun(NotRun::later(Reason::NoLease, CONTROL_RETRY_MS));
            }
            let refusal = match seen.owner(&req.service, key) {
                Owner::Waiting => NotRun::later(Reason::NoOwner, CONTROL_RETRY_MS),
                Owner::Held(ownership) => {
                    let Some(member) = self.members.get(ownership.upstream) else {
                        return Outcome::NotRun(NotRun::later(Reason::NoOwner, CONTROL_RETRY_MS));
                    };
                    let Ok((flight, aborted)) =
                        self.flights.enter(ownership.upstream, seen.version)
                    else {
                        continue;
                    };
                    let keyed = Keyed {
                        ownership,
                        flight,
                        aborted,
                    };
                    if tries == 0 {
                        self.load.count(&req.service, ownership.slot, key);
                    }
                    let proof = proof_of(req, tries);
                    tries += 1;
                    match self.attempt(req, &member, Some(keyed), proof).await {
                        Tried::Answered(response) => return Outcome::Answered(response),
                        Tried::NotSent(not_run) if not_run.reason == Reason::Busy => {
                            return Outcome::NotRun(not_run);
                        }
                        Tried::NotSent(not_run) => not_run,
                        Tried::Doubtful(d) => {
                            *doubt = Some(d);
                            let again = req.is_idempotent() && tries < TRIES_MAX;
                            if !again || !self.retry_allowed(req) {
                                return Outcome::Unknown(d);
                            }
                            continue;
                        }
                    }
                }
            };
            if let Err(not_run) = self.wait_for_owner(&mut table, wait_until, refusal).await {
                return Outcome::NotRun(not_run);
            }
        }
    }

    /// Waits for another table; an owner that can't be reached is tried again after a pause.
    async fn wait_for_owner(
        &self,
        table: &mut watch::Receiver<Arc<Table>>,
        until: Mono,
        refusal: NotRun,
    ) -> Result<(), NotRun> {
        let now = self.clock.now();
        if now >= until {
            return Err(refusal);
        }
        let Ok(_waiting) = self.owner_waiters.try_acquire() else {
            return Err(NotRun::later(Reason::QueueFull, CONTROL_RETRY_MS));
        };
        let pause_ms = match refusal.reason {
            Reason::NoOwner => until.since(now),
            _ => OWNER_PAUSE_MS.min(until.since(now)),
        };
        let pause = Duration::from_millis(pause_ms);
        let _ = tokio::time::timeout(pause, table.changed()).await;
        Ok(())
    }

    fn retry_allowed(&self, req: &CallerRequest) -> bool {
        let allowed = self.clock.now() < req.deadline && self.retries.take();
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Sends a request to one upstream, once.
    async fn attempt(
        &self,
        req: &CallerRequest,
        member: &Arc<Member>,
        keyed: Option<Keyed>,
        proof: Proof,
    ) -> Tried {
        let now = self.clock.now();
        let (mut aborted, flight, ownership) = split(keyed);
        let entering = member.gate.enter(now, req.deadline);
        let entered = tokio::select! {
            entered = entering => entered,
            _ = &mut aborted => return owner_lost(),
        };
        let pass = match entered {
            Ok(pass) => pass,
            Err(shed) => {
                self.metrics.shed.inc();
                return Tried::NotSent(NotRun::later(Reason::Busy, shed.retry_after_ms));
            }
        };
        let now = self.clock.now();
        if now >= req.deadline {
            return Tried::NotSent(NotRun::later(Reason::Busy, 1));
        }
        let Ok(connection) = member.pool.take(proof, now).await else {
            member.fail("no connection", now);
            return Tried::NotSent(NotRun::later(Reason::NoUpstream, CONTROL_RETRY_MS));
        };
        let sending = Sending {
            member: member.clone(),
            pass,
            flight,
            ownership,
        };
        self.exchange(req, sending, connection, aborted).await
    }

    async fn exchange(
        &self,
        req: &CallerRequest,
        sending: Sending,
        mut connection: Connection,
        mut aborted: Aborted,
    ) -> Tried {
        let member = sending.member.clone();
        let sent_at = self.clock.now();
        if sending.ownership.is_some() && self.lease.left_ms(sent_at) == 0 {
            member.pool.put(connection, None, sent_at);
            return Tried::NotSent(NotRun::later(Reason::NoLease, CONTROL_RETRY_MS));
        }
        let request = upstream_request(req, &sending, sent_at);
        let reused = connection.reused;
        let answering = connection.sender.try_send_request(request);
        tokio::pin!(answering);
        let watched = reused && req.is_idempotent();
        let deadline = self.clock.instant(req.deadline).into();
        let silence = self.clock.instant(sent_at.plus(SILENCE_MS)).into();
        let silent = tokio::time::sleep_until(silence);
        tokio::pin!(silent);
        let mut suspect = watched;
        let answered = loop {
            tokio::select! {
                answered = &mut answering => break answered,
                _ = tokio::time::sleep_until(deadline) => {
                    member.pool.clear();
                    member.fail("no answer before the deadline", self.clock.now());
                    return Tried::Doubtful(Doubt::Deadline);
                }
                _ = &mut aborted => return Tried::Doubtful(Doubt::OwnerReplaced),
                _ = &mut silent, if suspect => {
                    suspect = false;
                    if self.retry_allowed(req) {
                        self.suspect(&member);
                        return Tried::Doubtful(Doubt::Deadline);
                    }
                }
            }
        };
        match answered {
            Ok(response) => self.accept(response, sending, connection, sent_at),
            Err(mut e) => {
                if e.take_message().is_some() {
                    return Tried::NotSent(NotRun::later(Reason::NoUpstream, 1));
                }
                member.fail("the connection broke", self.clock.now());
                Tried::Doubtful(Doubt::Broken)
            }
        }
    }

    /// Closes an upstream's idle connections after one of them went silent.
    fn suspect(&self, member: &Member) {
        member.pool.clear();
        self.recorder.record(Event::ConnectionSilent {
            upstream: member.name.clone(),
        });
    }

    fn accept(
        &self,
        response: Response<hyper::body::Incoming>,
        sending: Sending,
        connection: Connection,
        sent_at: Mono,
    ) -> Tried {
        let now = self.clock.now();
        let (mut head, incoming) = response.into_parts();
        let hold = Hold {
            member: sending.member.clone(),
            connection: Some(connection),
            pass: sending.pass,
            flight: sending.flight,
            clock: self.clock,
        };
        let refused = head.headers.get(RUN).is_some_and(|v| v == "no");
        if refused {
            sending.member.gate.back_off();
            let reason = match sending.ownership {
                Some(_) if head.status == hyper::StatusCode::MISDIRECTED_REQUEST => {
                    Reason::NoUpstream
                }
                _ => Reason::Busy,
            };
            let body = AnswerBody::Upstream(Box::new(UpstreamBody::new(incoming, hold)));
            tokio::spawn(drain(body));
            return Tried::NotSent(NotRun::later(reason, retry_after_ms(&head.headers)));
        }
        sending.member.succeed(now.since(sent_at) as f64);
        strip_hop_by_hop(&mut head.headers);
        let body = AnswerBody::Upstream(Box::new(UpstreamBody::new(incoming, hold)));
        Tried::Answered(Response::from_parts(head, body))
    }
}

/// What a request holds while it is sent.
struct Sending {
    member: Arc<Member>,
    pass: Pass,
    flight: Option<Flight>,
    ownership: Option<Ownership>,
}

/// Completes when the key's owner was replaced; never for services without owners.
struct Aborted(Option<oneshot::Receiver<()>>);

impl std::future::Future for Aborted {
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

fn split(keyed: Option<Keyed>) -> (Aborted, Option<Flight>, Option<Ownership>) {
    let Some(keyed) = keyed else {
        return (Aborted(None), None, None);
    };
    let aborted = Aborted(Some(keyed.aborted));
    (aborted, Some(keyed.flight), Some(keyed.ownership))
}

fn owner_lost() -> Tried {
    Tried::NotSent(NotRun::later(Reason::NoOwner, CONTROL_RETRY_MS))
}

/// A request that may not be repeated, and every retry, goes on a new connection.
fn proof_of(req: &CallerRequest, tries: usize) -> Proof {
    if tries == 0 && req.is_idempotent() {
        return Proof::Open;
    }
    Proof::New
}

fn upstream_request(req: &CallerRequest, sending: &Sending, now: Mono) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(req.body.clone()));
    *request.method_mut() = req.method.clone();
    if let Ok(uri) = req.path.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = req.headers.clone();
    let headers = request.headers_mut();
    let address = sending.member.address.to_string();
    if let Ok(host) = HeaderValue::from_str(&address) {
        headers.insert(HOST, host);
    }
    headers.insert(TIMEOUT_MS, HeaderValue::from(req.deadline.since(now)));
    if let Some(ownership) = &sending.ownership {
        headers.insert(FENCE, HeaderValue::from(ownership.fence));
        headers.insert(SLOT, HeaderValue::from(ownership.slot.0));
    }
    request
}

fn retry_after_ms(headers: &HeaderMap) -> u64 {
    let given = headers.get(super::outcome::RETRY_AFTER_MS);
    let text = given.and_then(|v| v.to_str().ok());
    text.and_then(|v| v.parse().ok()).unwrap_or(OWNER_PAUSE_MS)
}

/// Reads a refusal's body so that its connection can be used again.
async fn drain(body: AnswerBody) {
    let _ = http_body_util::BodyExt::collect(body).await;
}
