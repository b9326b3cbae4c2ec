//! A caller's request from its head to its answer.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use rand::RngExt;
use tokio::sync::watch;

use crate::clock::{Clock, Mono};
use crate::directory::model::{Key, Repeat, Route, Upstream};
use crate::entry::request::strip_hop_by_hop;
use crate::event::Event;
use crate::lock::lock;

use super::attempt::{Attempt, Exchange, Sent};
use super::balance::{admit, choose, TimeLeft};
use super::follow::KeyCounter;
use super::journal::RequestJournal;
use super::peer::{Peer, Peers};
use super::protocol::{CallerFacts, Protocol};
use super::retry::RetryBudget;
use super::view::View;

/// What an upstream in another availability zone must be better by, in milliseconds of waiting:
/// traffic between zones costs.
const OTHER_ZONE_MS: f64 = 12.0;
/// The same for each KiB of the answer that is expected.
const OTHER_ZONE_MS_PER_KIB: f64 = 1.5;
/// What an upstream in another region must be better by, in milliseconds: the way there and back.
const OTHER_REGION_MS: f64 = 90.0;
/// The same for each KiB of the answer that is expected: the link is narrow and paid by volume.
const OTHER_REGION_MS_PER_KIB: f64 = 10.0;
/// The weight of a new answer in the running mean of a route's answers.
const SIZE_WEIGHT: f64 = 0.05;
/// The way to another region and back, in milliseconds.
const REGION_ROUND_TRIP_MS: u64 = 62;
/// The way to an upstream of the same region and back, in milliseconds.
const ROUND_TRIP_MS: u64 = 2;
/// With less time left than this, in milliseconds, no upstream is asked.
const TIME_LEFT_MIN_MS: u64 = 8;
/// A caller that names no time is given this long, in milliseconds.
const PATIENCE_MS: u64 = 30_000;
/// How long a request waits for its keys' new owner, in milliseconds.
const OWNER_WAIT_MS: u64 = 350;
/// When a caller may come back whose key has no owner in reach, in milliseconds.
const OWNER_RETRY_AFTER_MS: u64 = 300;
/// When a caller may come back to a host that has no configuration, in milliseconds.
const START_RETRY_AFTER_MS: u64 = 500;
/// When a caller may come back after upstreams refused its request, in milliseconds.
const BUSY_RETRY_AFTER_MS: u64 = 150;

/// Serves callers' requests; clones share everything.
#[derive(Clone, Debug)]
pub struct Proxy<P> {
    inner: Arc<Inner<P>>,
}

/// What a proxy works with.
#[derive(Debug)]
pub struct Inner<P> {
    /// How headers are spelled.
    pub protocol: P,
    /// This host's availability zone.
    pub zone: String,
    /// Regions by zone.
    pub regions: BTreeMap<String, String>,
    /// What is known of the directory.
    pub view: watch::Receiver<Arc<View>>,
    /// Upstreams.
    pub peers: Arc<Peers>,
    /// The retry budget.
    pub budget: Mutex<RetryBudget>,
    /// Load by key, for the directory.
    pub counter: Arc<KeyCounter>,
    /// The mean size of a route's answers, in KiB.
    pub answer_kib: Mutex<BTreeMap<String, f64>>,
    /// Whether the process ends soon and connections are to be closed.
    pub closing: AtomicBool,
    /// Time.
    pub clock: Clock,
    /// Lines about requests.
    pub journal: RequestJournal,
}

/// A request whose body is complete.
struct Call<'a> {
    facts: CallerFacts,
    parts: &'a Parts,
    body: Bytes,
    route: &'a Route,
    service: &'a str,
    key: Option<Key>,
    began: Mono,
    end: Mono,
}

/// How a request ended without an upstream's answer.
struct Failure {
    status: StatusCode,
    reason: &'static str,
    retry_after_ms: Option<u64>,
}

impl Failure {
    fn refused(reason: &'static str, retry_after_ms: u64) -> Failure {
        Failure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    fn failed(status: StatusCode, reason: &'static str) -> Failure {
        Failure {
            status,
            reason,
            retry_after_ms: None,
        }
    }
}

/// Whom a request can be sent to.
enum Pick {
    Peer(Arc<Peer>, u64),
    Nobody,
}

impl<P: Protocol> Proxy<P> {
    /// Returns a proxy.
    pub fn new(inner: Inner<P>) -> Proxy<P> {
        Proxy {
            inner: Arc::new(inner),
        }
    }

    /// Closes callers' connections after their next answer.
    pub fn close_connections(&self) {
        self.inner.closing.store(true, Ordering::Relaxed);
    }

    /// Answers one request.
    pub async fn serve(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = self.answer(req).await;
        if self.inner.closing.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let began = self.inner.clock.now();
        let (mut parts, body) = req.into_parts();
        let facts = self.inner.protocol.read_request(&parts.headers);
        let view = self.inner.view.borrow().clone();
        if !view.is_usable() {
            return respond(&Failure::refused("no configuration", START_RETRY_AFTER_MS));
        }
        let host = match host_of(&parts) {
            Some(host) => host.to_string(),
            None => return respond(&Failure::failed(StatusCode::BAD_REQUEST, "no host")),
        };
        let Some(route) = view.route(&host, parts.uri.path()) else {
            return respond(&Failure::failed(StatusCode::NOT_FOUND, "no route"));
        };
        let patience_ms = facts.patience_ms.unwrap_or(PATIENCE_MS);
        let limit_ms = patience_ms.min(route.timeout_ms);
        let end = began.plus(limit_ms);
        let read = read_body(body, &view, limit_ms).await;
        let body = match read {
            Ok(body) => body,
            Err(failure) => return respond(&failure),
        };
        strip_hop_by_hop(&mut parts.headers);
        if let Ok(host) = HeaderValue::from_str(&host) {
            parts.headers.insert(HOST, host);
        }
        let service = pick_target(route);
        let keyed = view.service(service).is_some_and(|s| s.keyed);
        let call = Call {
            key: facts.key.filter(|_| keyed),
            facts,
            parts: &parts,
            body,
            route,
            service,
            began,
            end,
        };
        if let Some(key) = call.key {
            self.inner.counter.note(service, key);
        }
        lock(&self.inner.budget).note_request(service, began);
        self.run(&call).await
    }

    /// Sends a request to one upstream after another until one answers or nothing may be repeated.
    async fn run(&self, call: &Call<'_>) -> Response<Full<Bytes>> {
        let mut tried: Vec<Arc<Peer>> = Vec::new();
        let mut may_have_run = false;
        let mut kept: Option<Response<Full<Bytes>>> = None;
        let mut refused_fence: Option<u64> = None;
        let failure = loop {
            let now = self.inner.clock.now();
            let left_ms = call.end.since(now);
            if left_ms < TIME_LEFT_MIN_MS {
                break Failure::failed(StatusCode::GATEWAY_TIMEOUT, "out of time");
            }
            if tried.len() >= call.route.attempts_max.max(1) as usize {
                break Failure::refused("attempts used up", BUSY_RETRY_AFTER_MS);
            }
            let (peer, fence) = match self.pick(call, &tried, refused_fence).await {
                Pick::Peer(peer, fence) => (peer, fence),
                Pick::Nobody if call.key.is_some() => {
                    break Failure::refused("key has no owner in reach", OWNER_RETRY_AFTER_MS)
                }
                Pick::Nobody => break Failure::refused("no upstream", BUSY_RETRY_AFTER_MS),
            };
            if let Err(retry_after_ms) = self.admit(call, &peer, now) {
                break Failure::refused("no room in time", retry_after_ms);
            }
            let entry_hosts = self.inner.view.borrow().entry_hosts;
            let is_repeat = !tried.is_empty();
            if is_repeat && !lock(&self.inner.budget).take(call.service, entry_hosts, now) {
                break Failure::refused("retry budget used up", BUSY_RETRY_AFTER_MS);
            }
            tried.push(peer.clone());
            let attempt = self.attempt(call, &peer).await;
            let (reason, sent) = match attempt {
                Attempt::Answer(response) => {
                    self.note_size(&call.route.name, &response);
                    return response;
                }
                Attempt::ErrorAnswer(response) => {
                    kept = Some(response);
                    ("error answer", Sent::MayHaveRun)
                }
                Attempt::Failed(reason, sent) => (reason, sent),
            };
            self.note_attempt(call, &peer, reason, sent, now);
            match sent {
                Sent::NotRun => refused_fence = Some(fence),
                Sent::MayHaveRun => may_have_run = true,
            }
            if sent == Sent::MayHaveRun && call.route.repeat == Repeat::Once {
                break Failure::failed(StatusCode::BAD_GATEWAY, reason);
            }
        };
        if let Some(response) = kept {
            return response;
        }
        let failure = if may_have_run && failure.status == StatusCode::SERVICE_UNAVAILABLE {
            Failure::failed(StatusCode::BAD_GATEWAY, failure.reason)
        } else {
            failure
        };
        self.note_failure(call, &failure, &tried);
        respond(&failure)
    }

    /// Chooses an upstream. A request whose key changes hands waits a little for the new owner.
    async fn pick(&self, call: &Call<'_>, tried: &[Arc<Peer>], refused: Option<u64>) -> Pick {
        let Some(key) = call.key else {
            return self.pick_any(call, tried);
        };
        let mut view = self.inner.view.clone();
        let wait_ms = OWNER_WAIT_MS.min(call.end.since(self.inner.clock.now()) / 3);
        let owner = async {
            loop {
                let current = view.borrow_and_update().clone();
                if let Some((upstream, fence)) = current.owner(call.service, key) {
                    let peer = self.inner.peers.get(upstream, &current);
                    let is_ejected = peer.load().is_ejected(self.inner.clock.now());
                    if refused != Some(fence) && !is_ejected {
                        return Pick::Peer(peer, fence);
                    }
                }
                if view.changed().await.is_err() {
                    return Pick::Nobody;
                }
            }
        };
        let waited = tokio::time::timeout(Duration::from_millis(wait_ms), owner).await;
        waited.unwrap_or(Pick::Nobody)
    }

    fn pick_any(&self, call: &Call<'_>, tried: &[Arc<Peer>]) -> Pick {
        let now = self.inner.clock.now();
        let view = self.inner.view.borrow().clone();
        let list = view.ready(call.service);
        let is_tried = |u: &Upstream| tried.iter().any(|p| p.incarnation == u.incarnation);
        let peers: Vec<Arc<Peer>> = list
            .iter()
            .filter(|u| !is_tried(u))
            .map(|u| self.inner.peers.get(u, &view))
            .collect();
        let loads: Vec<_> = peers.iter().map(|p| p.load().clone()).collect();
        let answer_kib = self.answer_kib(&call.route.name);
        let ways = peers.iter().map(|p| self.way_cost_ms(&p.zone, answer_kib));
        let views = loads.iter().zip(ways).enumerate();
        let views = views.map(|(n, (load, way_ms))| (n, load, way_ms));
        let mut rng = rand::rng();
        match choose(views, now, || rng.random_range(0.0..1.0)) {
            Some(choice) => Pick::Peer(peers[choice.position].clone(), 0),
            None => Pick::Nobody,
        }
    }

    /// Returns what the way to a zone is worth, in milliseconds of waiting.
    fn way_cost_ms(&self, zone: &str, answer_kib: f64) -> f64 {
        if zone == self.inner.zone {
            0.0
        } else if self.is_near(zone) {
            OTHER_ZONE_MS + OTHER_ZONE_MS_PER_KIB * answer_kib
        } else {
            OTHER_REGION_MS + OTHER_REGION_MS_PER_KIB * answer_kib
        }
    }

    fn answer_kib(&self, route: &str) -> f64 {
        lock(&self.inner.answer_kib)
            .get(route)
            .copied()
            .unwrap_or(0.0)
    }

    fn note_size(&self, route: &str, response: &Response<Full<Bytes>>) {
        let kib = response.body().size_hint().lower() as f64 / 1_024.0;
        let mut sizes = lock(&self.inner.answer_kib);
        match sizes.get_mut(route) {
            Some(mean) => *mean += (kib - *mean) * SIZE_WEIGHT,
            None => {
                sizes.insert(route.to_string(), kib);
            }
        }
    }

    fn round_trip_ms(&self, zone: &str) -> u64 {
        if self.is_near(zone) {
            ROUND_TRIP_MS
        } else {
            REGION_ROUND_TRIP_MS
        }
    }

    /// Tells whether `peer` can answer in time, or when the caller may come back. A caller that has
    /// less patience than the route allows was here before: that time has passed already.
    fn admit(&self, call: &Call<'_>, peer: &Peer, now: Mono) -> Result<(), u64> {
        let patience_ms = call.facts.patience_ms.unwrap_or(call.route.timeout_ms);
        let before_ms = call.route.timeout_ms.saturating_sub(patience_ms);
        let passed_ms = before_ms + now.since(call.began);
        let left = TimeLeft {
            objective_ms: call.route.objective_ms as f64 - passed_ms as f64,
            deadline_ms: call.end.since(now) as f64,
        };
        let way_ms = self.round_trip_ms(&peer.zone) as f64;
        admit(&peer.load(), way_ms, left, now)
    }

    fn is_near(&self, zone: &str) -> bool {
        let regions = &self.inner.regions;
        regions.get(zone) == regions.get(&self.inner.zone)
    }

    async fn attempt(&self, call: &Call<'_>, peer: &Arc<Peer>) -> Attempt {
        let left_ms = call.end.since(self.inner.clock.now());
        let way_ms = self.round_trip_ms(&peer.zone);
        let mut headers = call.parts.headers.clone();
        let budget_ms = left_ms.saturating_sub(way_ms / 2).max(1);
        let upstream = &peer.incarnation.id;
        self.inner
            .protocol
            .mark_request(&mut headers, budget_ms, upstream);
        let exchange = Exchange {
            method: call.parts.method.clone(),
            uri: call.parts.uri.clone(),
            headers,
            body: call.body.clone(),
            id: call.facts.id.clone(),
            repeat: call.route.repeat,
            left_ms,
            way_ms,
        };
        let inner = &self.inner;
        exchange
            .run(peer, &inner.peers, &inner.protocol, &inner.clock)
            .await
    }

    fn note_attempt(
        &self,
        call: &Call<'_>,
        peer: &Peer,
        reason: &'static str,
        sent: Sent,
        began: Mono,
    ) {
        let now = self.inner.clock.now();
        let event = Event::AttemptFailed {
            request: text(&call.facts.id),
            upstream: peer.incarnation.id.clone(),
            reason: reason.to_string(),
            sent: sent == Sent::MayHaveRun,
            waited_ms: now.since(began),
        };
        self.inner.journal.record(event, now);
    }

    fn note_failure(&self, call: &Call<'_>, failure: &Failure, tried: &[Arc<Peer>]) {
        let now = self.inner.clock.now();
        let view = self.inner.view.borrow().clone();
        let ids: Vec<&str> = tried.iter().map(|p| p.incarnation.id.as_str()).collect();
        let event = Event::RequestFailed {
            request: text(&call.facts.id),
            route: call.route.name.clone(),
            service: call.service.to_string(),
            status: failure.status.as_u16(),
            reason: failure.reason.to_string(),
            upstreams: ids.join(","),
            waited_ms: now.since(call.began),
            config: view.versions.config,
            age_ms: now.since(view.confirmed_at),
        };
        self.inner.journal.record(event, now);
    }
}

fn text(id: &Option<HeaderValue>) -> String {
    let id = id.as_ref().and_then(|v| v.to_str().ok());
    id.unwrap_or("-").to_string()
}

fn host_of(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(HOST).and_then(|v| v.to_str().ok());
    named.or_else(|| parts.uri.authority().map(|a| a.as_str()))
}

/// Draws a service by the weights of a route.
fn pick_target(route: &Route) -> &str {
    let total: u32 = route.targets.iter().map(|t| t.weight).sum();
    let mut left = match total {
        0 => 0,
        _ => rand::rng().random_range(0..total),
    };
    for target in &route.targets {
        if left < target.weight {
            return &target.service;
        }
        left -= target.weight;
    }
    route.targets.first().map_or("", |t| &t.service)
}

async fn read_body(body: Incoming, view: &View, limit_ms: u64) -> Result<Bytes, Failure> {
    let max = view.config.limits.body_bytes_max as usize;
    let reading = Limited::new(body, max).collect();
    let read = tokio::time::timeout(Duration::from_millis(limit_ms), reading).await;
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Failure::failed(status, "body too long"))
        }
        Ok(Err(_)) => Err(Failure::failed(StatusCode::BAD_REQUEST, "broken body")),
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(Failure::failed(status, "body not read in time"))
        }
    }
}

fn respond(failure: &Failure) -> Response<Full<Bytes>> {
    let body = Full::new(Bytes::from_static(failure.reason.as_bytes()));
    let mut response = Response::new(body);
    *response.status_mut() = failure.status;
    if let Some(ms) = failure.retry_after_ms {
        let seconds = format!("{:.3}", ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
