//! A caller's request from its head to its answer.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, HOST};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use rand::RngExt;
use tokio::sync::watch;

use crate::clock::{Clock, Mono};
use crate::directory::model::{Key, RepeatPolicy, Upstream};
use crate::entry::request::strip_hop_by_hop;
use crate::lock::lock;

use super::attempt::{Attempt, Exchange, Sent};
use super::balance::{admit, choose, TimeLeft};
use super::body::ReplyBody;
use super::call::{host_of, read_body, Call, Chosen, Failure, Trail};
use super::follow::KeyCounter;
use super::ledger::{Account, Ledger};
use super::outage::Outage;
use super::peer::{Peer, Peers};
use super::protocol::{CallerFacts, Protocol};
use super::retry::RetryBudget;
use super::split::{Distance, Splits};
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
/// A configuration that the directory confirmed within this long is the one in force, in milliseconds: the
/// platform wants a new one obeyed 2.5 s after it was acknowledged, less what a request takes.
const CERTAIN_MS: u64 = 2_000;
/// When a caller may come back whose route isn't in a configuration older than that, in milliseconds: a
/// leader is found and followed in about a second.
const STALE_RETRY_AFTER_MS: u64 = 500;
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
    /// Since when the directory has no leader.
    pub outage: Arc<Outage>,
    /// Load by key, for the directory.
    pub counter: Arc<KeyCounter>,
    /// Draws services for routes that name several.
    pub splits: Splits,
    /// The mean size of a route's answers, in KiB.
    pub answer_kib: Mutex<BTreeMap<String, f64>>,
    /// Whether the process ends soon and connections are to be closed.
    pub closing: AtomicBool,
    /// Time.
    pub clock: Clock,
    /// The account of requests.
    pub ledger: Arc<Ledger>,
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
    pub async fn serve(&self, req: Request<Incoming>) -> Response<ReplyBody> {
        let mut response = self.answer(req).await;
        if self.inner.closing.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<ReplyBody> {
        let began = self.inner.clock.now();
        let (mut parts, body) = req.into_parts();
        let facts = self.inner.protocol.read_request(&parts.headers);
        let view = self.inner.view.borrow().clone();
        let reject = |parts: &Parts, facts: &CallerFacts, failure: Failure| {
            self.inner.ledger.reject(parts, facts, failure, began);
            failure.response()
        };
        if !view.is_usable() {
            let left_ms = self.inner.outage.left_ms(began, rand::random());
            let retry_after_ms = left_ms.unwrap_or(0).max(START_RETRY_AFTER_MS);
            let failure = Failure::refused("no configuration", retry_after_ms);
            return reject(&parts, &facts, failure);
        }
        let Some(host) = host_of(&parts).map(str::to_string) else {
            let failure = Failure::failed(StatusCode::BAD_REQUEST, "no host");
            return reject(&parts, &facts, failure);
        };
        let Some(route) = view.route(&host, parts.uri.path()) else {
            let is_certain = began.since(view.confirmed_at) <= CERTAIN_MS;
            let failure = match is_certain {
                true => Failure::failed(StatusCode::NOT_FOUND, "no route"),
                false => Failure::refused("no route in an old configuration", STALE_RETRY_AFTER_MS),
            };
            return reject(&parts, &facts, failure);
        };
        let patience_ms = facts.patience_ms.unwrap_or(PATIENCE_MS);
        let limit_ms = patience_ms.min(route.timeout_ms);
        let end = began.plus(limit_ms);
        let body = match read_body(body, &view, limit_ms).await {
            Ok(body) => body,
            Err(failure) => return reject(&parts, &facts, failure),
        };
        strip_hop_by_hop(&mut parts.headers);
        if let Ok(host) = HeaderValue::from_str(&host) {
            parts.headers.insert(HOST, host);
        }
        let distance = |service: &str| self.distance(&view, service, facts.key);
        let places = |service: &str| self.places(&view, service);
        let service = self.inner.splits.draw(route, distance, places);
        let keyed = view.service(service).is_some_and(|s| s.sharded);
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
        let mut account = self.inner.ledger.open(&call);
        match self.run(&call, &mut account).await {
            Ok(response) => {
                account.answer(response.status().as_u16(), response.body().known_bytes());
                response
            }
            Err(failure) => {
                account.fail(&failure);
                failure.response()
            }
        }
    }

    /// Sends a request to one upstream after another until one answers or nothing may be repeated.
    async fn run(
        &self,
        call: &Call<'_>,
        account: &mut Account<'_>,
    ) -> Result<Response<ReplyBody>, Failure> {
        let mut may_have_run = false;
        let mut kept: Option<Response<ReplyBody>> = None;
        let mut refused_fence: Option<u64> = None;
        let failure = loop {
            let now = self.inner.clock.now();
            let left_ms = call.end.since(now);
            if left_ms < TIME_LEFT_MIN_MS {
                break Failure::failed(StatusCode::GATEWAY_TIMEOUT, "out of time");
            }
            let tries = account.trail.tried.len();
            if tries >= call.route.attempts_max.max(1) as usize {
                break Failure::refused("attempts used up", BUSY_RETRY_AFTER_MS);
            }
            let picked = self.pick(call, &mut account.trail, refused_fence).await;
            let chosen = match picked {
                Some(chosen) => chosen,
                None if call.key.is_some() => break self.without_owner(call),
                None => break Failure::refused("no upstream", BUSY_RETRY_AFTER_MS),
            };
            if let Err(retry_after_ms) = self.admit(call, &chosen, now) {
                account.trail.considered = Some(chosen);
                break Failure::refused("no room in time", retry_after_ms);
            }
            let entry_hosts = self.inner.view.borrow().entry_hosts;
            if tries > 0 {
                if !lock(&self.inner.budget).take(call.service, entry_hosts, now) {
                    break Failure::refused("retry budget used up", BUSY_RETRY_AFTER_MS);
                }
                account.repeat();
            }
            account.trail.tried.push(chosen.clone());
            let (reason, sent) = match self.attempt(call, &chosen).await {
                Attempt::Answer(response) => {
                    self.note_size(&call.route.name, &response);
                    return Ok(response);
                }
                Attempt::ErrorAnswer(response) => {
                    kept = Some(response);
                    ("error answer", Sent::MayHaveRun)
                }
                Attempt::Failed(reason, sent) => (reason, sent),
                Attempt::Withdrawn => {
                    account.trail.tried.pop();
                    continue;
                }
            };
            account.fail_attempt(&chosen, reason, sent, now);
            match sent {
                Sent::NotRun => refused_fence = Some(chosen.fence),
                Sent::MayHaveRun => may_have_run = true,
            }
            if sent == Sent::MayHaveRun && call.route.repeat == RepeatPolicy::AtMostOnce {
                break Failure::failed(StatusCode::BAD_GATEWAY, reason);
            }
        };
        if let Some(response) = kept {
            return Ok(response);
        }
        if may_have_run && failure.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Failure::failed(StatusCode::BAD_GATEWAY, failure.reason));
        }
        Err(failure)
    }

    /// Chooses an upstream. A request whose key changes hands waits a little for the new owner.
    async fn pick(
        &self,
        call: &Call<'_>,
        trail: &mut Trail,
        refused: Option<u64>,
    ) -> Option<Chosen> {
        let Some(key) = call.key else {
            return self.pick_any(call, trail);
        };
        if let Some(chosen) = self.owner(call.service, key, refused) {
            return Some(chosen);
        }
        if self.rest_left_ms(call) > OWNER_WAIT_MS {
            return None;
        }
        let began = self.inner.clock.now();
        let wait_ms = OWNER_WAIT_MS.min(call.end.since(began) / 3);
        let mut view = self.inner.view.clone();
        let owner = async {
            loop {
                if view.changed().await.is_err() {
                    return None;
                }
                if let Some(chosen) = self.owner(call.service, key, refused) {
                    return Some(chosen);
                }
            }
        };
        let waits = &self.inner.ledger.metrics.owner_waits;
        let _waiting = Waiting::begin(waits);
        let waited = tokio::time::timeout(Duration::from_millis(wait_ms), owner).await;
        trail.owner_wait_ms += self.inner.clock.now().since(began);
        waited.ok().flatten()
    }

    /// Returns a key's owner, unless it refused with this fencing token already or is passed over.
    fn owner(&self, service: &str, key: Key, refused: Option<u64>) -> Option<Chosen> {
        let view = self.inner.view.borrow().clone();
        let (upstream, fence) = view.owner(service, key)?;
        let peer = self.inner.peers.get(upstream, &view);
        let now = self.inner.clock.now();
        if refused == Some(fence) || peer.estimate(now).is_none() {
            return None;
        }
        Some(self.choose_peer(peer, fence, now))
    }

    /// Tells a caller whose key has no owner that takes work when to come back.
    fn without_owner(&self, call: &Call<'_>) -> Failure {
        match self.rest_left_ms(call) {
            0 => Failure::refused("key has no owner in reach", OWNER_RETRY_AFTER_MS),
            left_ms => Failure::refused("owner wants no work", left_ms),
        }
    }

    /// Returns for how long the owner of a request's key wants no work, in milliseconds.
    fn rest_left_ms(&self, call: &Call<'_>) -> u64 {
        let view = self.inner.view.borrow().clone();
        let owner = call.key.and_then(|key| view.owner(call.service, key));
        let Some((upstream, _)) = owner else { return 0 };
        let peer = self.inner.peers.get(upstream, &view);
        let left_ms = peer.load().rest_left_ms(self.inner.clock.now());
        left_ms
    }

    fn pick_any(&self, call: &Call<'_>, trail: &Trail) -> Option<Chosen> {
        let now = self.inner.clock.now();
        let view = self.inner.view.borrow().clone();
        let list = view.ready(call.service);
        let peers: Vec<Arc<Peer>> = list
            .iter()
            .filter(|u: &&Upstream| !trail.has(&u.incarnation))
            .map(|u| self.inner.peers.get(u, &view))
            .collect();
        let answer_kib = self.answer_kib(&call.route.name);
        let views = peers.iter().enumerate().map(|(n, peer)| {
            (
                n,
                peer.estimate(now),
                self.way_cost_ms(&peer.zone, answer_kib),
            )
        });
        let mut rng = rand::rng();
        let choice = choose(views, || rng.random_range(0.0..1.0))?;
        Some(self.choose_peer(peers[choice.position].clone(), 0, now))
    }

    /// Returns what the way to a zone is worth, in milliseconds of waiting.
    fn way_cost_ms(&self, zone: &str, answer_kib: f64) -> f64 {
        match self.distance_to(zone) {
            Distance::Zone => 0.0,
            Distance::Region => OTHER_ZONE_MS + OTHER_ZONE_MS_PER_KIB * answer_kib,
            Distance::Far => OTHER_REGION_MS + OTHER_REGION_MS_PER_KIB * answer_kib,
        }
    }

    fn answer_kib(&self, route: &str) -> f64 {
        lock(&self.inner.answer_kib)
            .get(route)
            .copied()
            .unwrap_or(0.0)
    }

    fn note_size(&self, route: &str, response: &Response<ReplyBody>) {
        let kib = response.body().known_bytes() as f64 / 1_024.0;
        let mut sizes = lock(&self.inner.answer_kib);
        match sizes.get_mut(route) {
            Some(mean) => *mean += (kib - *mean) * SIZE_WEIGHT,
            None => {
                sizes.insert(route.to_string(), kib);
            }
        }
    }

    /// Tells whether `chosen` can answer in time, or when the caller may come back.
    fn admit(&self, call: &Call<'_>, chosen: &Chosen, now: Mono) -> Result<(), u64> {
        let passed_ms = call.before_ms() + now.since(call.began);
        let left = TimeLeft {
            whole_objective_ms: call.route.objective_ms as f64,
            objective_ms: call.route.objective_ms as f64 - passed_ms as f64,
            deadline_ms: call.end.since(now) as f64,
        };
        admit(&chosen.peer.load(), chosen.way_ms as f64, left, now)
    }

    fn choose_peer(&self, peer: Arc<Peer>, fence: u64, now: Mono) -> Chosen {
        let (expected_ms, load_age_ms) = {
            let load = peer.load();
            (load.answer_ms(now) as u64, load.report_age_ms(now))
        };
        let distance = self.distance_to(&peer.zone);
        Chosen {
            distance,
            way_ms: match distance {
                Distance::Zone | Distance::Region => ROUND_TRIP_MS,
                Distance::Far => REGION_ROUND_TRIP_MS,
            },
            peer,
            fence,
            expected_ms,
            load_age_ms,
        }
    }

    /// Tells how far the owner of a key is; `None` for services that aren't divided by key.
    fn distance(&self, view: &View, service: &str, key: Option<Key>) -> Option<Distance> {
        if !view.service(service).is_some_and(|s| s.sharded) {
            return None;
        }
        let owner = key.and_then(|key| view.owner(service, key));
        Some(owner.map_or(Distance::Far, |(u, _)| self.distance_to(&u.zone)))
    }

    /// Counts a service's upstreams by distance.
    fn places(&self, view: &View, service: &str) -> [u32; 3] {
        let mut places = [0; 3];
        for upstream in view.ready(service) {
            places[self.distance_to(&upstream.zone) as usize] += 1;
        }
        places
    }

    fn distance_to(&self, zone: &str) -> Distance {
        let regions = &self.inner.regions;
        if zone == self.inner.zone {
            Distance::Zone
        } else if regions.get(zone) == regions.get(&self.inner.zone) {
            Distance::Region
        } else {
            Distance::Far
        }
    }

    async fn attempt(&self, call: &Call<'_>, chosen: &Chosen) -> Attempt {
        let Chosen { peer, way_ms, .. } = chosen;
        let way_ms = *way_ms;
        let left_ms = call.end.since(self.inner.clock.now());
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
}

/// Counts a request that waits until it is dropped.
struct Waiting<'a>(&'a prometheus_client::metrics::gauge::Gauge);

impl Waiting<'_> {
    fn begin(gauge: &prometheus_client::metrics::gauge::Gauge) -> Waiting<'_> {
        gauge.inc();
        Waiting(gauge)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}
