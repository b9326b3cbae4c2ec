//! Handles callers' requests: routing, selection of upstreams, admission and retries.

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

use super::attempt::{AttemptOutcome, Execution, UpstreamRequest};
use super::balance::{admit, choose, TimeLimits};
use super::body::ResponseBody;
use super::caller_request::{
    host_of, read_body, AttemptHistory, CallerRequest, Failure, Selection,
};
use super::follower::KeyCounter;
use super::leader_outage::LeaderOutage;
use super::protocol::{Protocol, RequestMetadata};
use super::request_tracker::{RequestTracker, TrackedRequest};
use super::retry::RetryBudget;
use super::traffic_split::{Distance, TrafficSplitter};
use super::upstream_client::{UpstreamClient, UpstreamClients};
use super::view::DirectoryView;

/// Added to the estimate of an upstream in another availability zone, in milliseconds: the traffic costs.
const OTHER_ZONE_COST_MS: f64 = 12.0;
/// Added as well per KiB of the expected response, in milliseconds.
const OTHER_ZONE_MS_PER_KIB: f64 = 1.5;
/// Added to the estimate of an upstream in another region, in milliseconds: the round trip.
const OTHER_REGION_COST_MS: f64 = 90.0;
/// Added as well per KiB of the expected response, in milliseconds: the link is narrow and paid by volume.
const OTHER_REGION_MS_PER_KIB: f64 = 10.0;
/// Weight of a new response in the running mean of a route's response sizes.
const SIZE_SAMPLE_WEIGHT: f64 = 0.05;
/// Round trip to an upstream of another region, in milliseconds.
const OTHER_REGION_ROUND_TRIP_MS: u64 = 62;
/// Round trip to an upstream of the same region, in milliseconds.
const SAME_REGION_ROUND_TRIP_MS: u64 = 2;
/// Minimum time until the deadline for sending a request to an upstream, in milliseconds.
const REMAINING_MIN_MS: u64 = 8;
/// Timeout of a request whose caller sends none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Maximum time that a request waits for a new owner of its key, in milliseconds.
const OWNER_WAIT_MAX_MS: u64 = 350;
/// `Retry-After` while no owner of the key is available, in milliseconds.
const OWNER_RETRY_AFTER_MS: u64 = 300;
/// Minimum `Retry-After` of a host without a configuration, in milliseconds.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 500;
/// Maximum age of a view whose configuration is known to be in force, in milliseconds: the platform requires
/// a new one to be applied 2.5 s after it was acknowledged, and a request takes part of that.
const CONFIG_FRESH_MS: u64 = 2_000;
/// `Retry-After` for a route missing from an older view, in milliseconds: following a leader takes about 1 s.
const STALE_RETRY_AFTER_MS: u64 = 500;
/// `Retry-After` when no upstream could run the request, in milliseconds.
const BUSY_RETRY_AFTER_MS: u64 = 150;

/// Serves callers' requests. Clones share the state.
#[derive(Clone, Debug)]
pub struct Proxy<P> {
    state: Arc<ProxyState<P>>,
}

/// State shared by all requests of a proxy.
#[derive(Debug)]
pub struct ProxyState<P> {
    /// Reads and writes headers.
    pub protocol: P,
    /// This host's availability zone.
    pub zone: String,
    /// Regions by availability zone.
    pub regions_by_zone: BTreeMap<String, String>,
    /// The current view of the directory.
    pub view: watch::Receiver<Arc<DirectoryView>>,
    /// Connections to upstreams.
    pub clients: Arc<UpstreamClients>,
    /// This host's share of the retry budget.
    pub retry_budget: Mutex<RetryBudget>,
    /// Tracks how long the directory has had no leader.
    pub outage: Arc<LeaderOutage>,
    /// Counts requests by key for the directory.
    pub key_counter: Arc<KeyCounter>,
    /// Selects the service of routes that name several.
    pub splitter: TrafficSplitter,
    /// Running mean of response sizes by route, in KiB.
    pub mean_response_kib: Mutex<BTreeMap<String, f64>>,
    /// Whether the process is stopping, so that responses close their connections.
    pub is_closing: AtomicBool,
    /// The clock.
    pub clock: Clock,
    /// Records metrics and log lines of requests.
    pub tracker: Arc<RequestTracker>,
}

impl<P: Protocol> Proxy<P> {
    /// Returns a proxy with the given state.
    pub fn new(state: ProxyState<P>) -> Proxy<P> {
        Proxy {
            state: Arc::new(state),
        }
    }

    /// Closes callers' connections after their next response.
    pub fn close_connections(&self) {
        self.state.is_closing.store(true, Ordering::Relaxed);
    }

    /// Returns the response to a request.
    pub async fn serve(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let mut response = self.answer(req).await;
        if self.state.is_closing.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let arrived_at = self.state.clock.now();
        let (mut parts, body) = req.into_parts();
        let meta = self.state.protocol.read_request(&parts.headers);
        let view = self.state.view.borrow().clone();
        let reject = |parts: &Parts, meta: &RequestMetadata, failure: Failure| {
            self.state.tracker.reject(parts, meta, failure, arrived_at);
            failure.response()
        };
        if !view.has_config() {
            let outage_ms = self.state.outage.retry_after_ms(arrived_at, rand::random());
            let retry_after_ms = outage_ms.unwrap_or(0).max(NO_CONFIG_RETRY_AFTER_MS);
            let failure = Failure::refused("no configuration", retry_after_ms);
            return reject(&parts, &meta, failure);
        }
        let Some(host) = host_of(&parts).map(str::to_string) else {
            let failure = Failure::failed(StatusCode::BAD_REQUEST, "no host");
            return reject(&parts, &meta, failure);
        };
        let Some(route) = view.route(&host, parts.uri.path()) else {
            let is_fresh = arrived_at.since(view.confirmed_at) <= CONFIG_FRESH_MS;
            let failure = match is_fresh {
                true => Failure::failed(StatusCode::NOT_FOUND, "no route"),
                false => Failure::refused("no route in an old configuration", STALE_RETRY_AFTER_MS),
            };
            return reject(&parts, &meta, failure);
        };
        let timeout_ms = meta.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
        let time_limit_ms = timeout_ms.min(route.timeout_ms);
        let deadline = arrived_at.plus(time_limit_ms);
        let body = match read_body(body, &view, time_limit_ms).await {
            Ok(body) => body,
            Err(failure) => return reject(&parts, &meta, failure),
        };
        strip_hop_by_hop(&mut parts.headers);
        if let Ok(host) = HeaderValue::from_str(&host) {
            parts.headers.insert(HOST, host);
        }
        let distance_of = |service: &str| self.owner_distance(&view, service, meta.key);
        let counts_of = |service: &str| self.count_by_distance(&view, service);
        let service = self.state.splitter.choose(route, distance_of, counts_of);
        let keyed = view.service(service).is_some_and(|s| s.sharded);
        let req = CallerRequest {
            key: meta.key.filter(|_| keyed),
            metadata: meta,
            parts: &parts,
            body,
            route,
            service,
            arrived_at,
            deadline,
        };
        if let Some(key) = req.key {
            self.state.key_counter.count(service, key);
        }
        lock(&self.state.retry_budget).record_request(service, arrived_at);
        let mut tracked = self.state.tracker.start(&req);
        match self.send_with_retries(&req, &mut tracked).await {
            Ok(response) => {
                tracked.finish_answered(response.status().as_u16(), response.body().min_bytes());
                response
            }
            Err(failure) => {
                tracked.finish_failed(&failure);
                failure.response()
            }
        }
    }

    /// Sends a request to one upstream after another until one responds or no retry is allowed.
    async fn send_with_retries(
        &self,
        req: &CallerRequest<'_>,
        tracked: &mut TrackedRequest<'_>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let mut may_have_run = false;
        let mut error_response: Option<Response<ResponseBody>> = None;
        let mut refused_fence: Option<u64> = None;
        let failure = loop {
            let now = self.state.clock.now();
            let remaining_ms = req.deadline.since(now);
            if remaining_ms < REMAINING_MIN_MS {
                break Failure::failed(StatusCode::GATEWAY_TIMEOUT, "out of time");
            }
            let attempts = tracked.history.attempted.len();
            if attempts >= req.route.attempts_max.max(1) as usize {
                break Failure::refused("attempts used up", BUSY_RETRY_AFTER_MS);
            }
            let selection = self
                .select_upstream(req, &mut tracked.history, refused_fence)
                .await;
            let selected = match selection {
                Some(selected) => selected,
                None if req.key.is_some() => break self.owner_unavailable(req),
                None => break Failure::refused("no upstream", BUSY_RETRY_AFTER_MS),
            };
            if let Err(retry_after_ms) = self.admit(req, &selected, now) {
                tracked.history.not_admitted = Some(selected);
                break Failure::refused("no room in time", retry_after_ms);
            }
            let entry_hosts = self.state.view.borrow().entry_hosts;
            if attempts > 0 {
                if !lock(&self.state.retry_budget).try_take(req.service, entry_hosts, now) {
                    break Failure::refused("retry budget used up", BUSY_RETRY_AFTER_MS);
                }
                tracked.record_retry();
            }
            tracked.history.attempted.push(selected.clone());
            let (reason, execution) = match self.send_to(req, &selected).await {
                AttemptOutcome::Response(response) => {
                    self.record_response_size(&req.route.name, &response);
                    return Ok(response);
                }
                AttemptOutcome::ErrorResponse(response) => {
                    error_response = Some(response);
                    ("error answer", Execution::MayHaveRun)
                }
                AttemptOutcome::Failed(reason, execution) => (reason, execution),
                AttemptOutcome::NotSent => {
                    tracked.history.attempted.pop();
                    continue;
                }
            };
            tracked.record_failed_attempt(&selected, reason, execution, now);
            match execution {
                Execution::NotRun => refused_fence = Some(selected.fence),
                Execution::MayHaveRun => may_have_run = true,
            }
            if execution == Execution::MayHaveRun && req.route.repeat == RepeatPolicy::AtMostOnce {
                break Failure::failed(StatusCode::BAD_GATEWAY, reason);
            }
        };
        if let Some(response) = error_response {
            return Ok(response);
        }
        if may_have_run && failure.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Failure::failed(StatusCode::BAD_GATEWAY, failure.reason));
        }
        Err(failure)
    }

    /// Selects an upstream; waits up to `OWNER_WAIT_MAX_MS` for a new owner if the key's is unavailable.
    async fn select_upstream(
        &self,
        req: &CallerRequest<'_>,
        history: &mut AttemptHistory,
        refused: Option<u64>,
    ) -> Option<Selection> {
        let Some(key) = req.key else {
            return self.select_any(req, history);
        };
        if let Some(selected) = self.select_owner(req.service, key, refused) {
            return Some(selected);
        }
        if self.owner_backoff_ms(req) > OWNER_WAIT_MAX_MS {
            return None;
        }
        let wait_started_at = self.state.clock.now();
        let wait_ms = OWNER_WAIT_MAX_MS.min(req.deadline.since(wait_started_at) / 3);
        let mut view = self.state.view.clone();
        let new_owner = async {
            loop {
                if view.changed().await.is_err() {
                    return None;
                }
                if let Some(selected) = self.select_owner(req.service, key, refused) {
                    return Some(selected);
                }
            }
        };
        let waiting = &self.state.tracker.metrics.waiting_for_owner;
        let _guard = OwnerWaitGuard::begin(waiting);
        let waited = tokio::time::timeout(Duration::from_millis(wait_ms), new_owner).await;
        history.owner_wait_ms += self.state.clock.now().since(wait_started_at);
        waited.ok().flatten()
    }

    /// Returns the key's owner, unless it already refused with this fencing token or is unavailable.
    fn select_owner(&self, service: &str, key: Key, refused: Option<u64>) -> Option<Selection> {
        let view = self.state.view.borrow().clone();
        let (upstream, fence) = view.owner(service, key)?;
        let client = self.state.clients.get(upstream, &view);
        let now = self.state.clock.now();
        if refused == Some(fence) || client.expected_ms_if_available(now).is_none() {
            return None;
        }
        Some(self.selection_of(client, fence, now))
    }

    /// Returns the refusal of a request whose key has no available owner.
    fn owner_unavailable(&self, req: &CallerRequest<'_>) -> Failure {
        match self.owner_backoff_ms(req) {
            0 => Failure::refused("key has no owner in reach", OWNER_RETRY_AFTER_MS),
            remaining_ms => Failure::refused("owner wants no work", remaining_ms),
        }
    }

    /// Returns the remaining backoff that the key's owner asked for, in milliseconds.
    fn owner_backoff_ms(&self, req: &CallerRequest<'_>) -> u64 {
        let view = self.state.view.borrow().clone();
        let owner = req.key.and_then(|key| view.owner(req.service, key));
        let Some((upstream, _)) = owner else { return 0 };
        let client = self.state.clients.get(upstream, &view);
        let remaining_ms = client.load().backoff_remaining_ms(self.state.clock.now());
        remaining_ms
    }

    fn select_any(&self, req: &CallerRequest<'_>, history: &AttemptHistory) -> Option<Selection> {
        let now = self.state.clock.now();
        let view = self.state.view.borrow().clone();
        let upstreams = view.ready_upstreams(req.service);
        let clients: Vec<Arc<UpstreamClient>> = upstreams
            .iter()
            .filter(|u: &&Upstream| !history.has_attempted(&u.incarnation))
            .map(|u| self.state.clients.get(u, &view))
            .collect();
        let response_kib = self.mean_response_kib(&req.route.name);
        let estimates = clients.iter().enumerate().map(|(position, client)| {
            (
                position,
                client.expected_ms_if_available(now),
                self.distance_cost_ms(&client.zone, response_kib),
            )
        });
        let mut rng = rand::rng();
        let choice = choose(estimates, || rng.random_range(0.0..1.0))?;
        Some(self.selection_of(clients[choice.position].clone(), 0, now))
    }

    /// Returns the cost of sending to an availability zone, in milliseconds of waiting.
    fn distance_cost_ms(&self, zone: &str, response_kib: f64) -> f64 {
        match self.distance_to_zone(zone) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_COST_MS + OTHER_ZONE_MS_PER_KIB * response_kib,
            Distance::OtherRegion => OTHER_REGION_COST_MS + OTHER_REGION_MS_PER_KIB * response_kib,
        }
    }

    fn mean_response_kib(&self, route: &str) -> f64 {
        lock(&self.state.mean_response_kib)
            .get(route)
            .copied()
            .unwrap_or(0.0)
    }

    fn record_response_size(&self, route: &str, response: &Response<ResponseBody>) {
        let kib = response.body().min_bytes() as f64 / 1_024.0;
        let mut sizes = lock(&self.state.mean_response_kib);
        match sizes.get_mut(route) {
            Some(mean) => *mean += (kib - *mean) * SIZE_SAMPLE_WEIGHT,
            None => {
                sizes.insert(route.to_string(), kib);
            }
        }
    }

    /// Checks that `selected` can respond in time; the error is the caller's `Retry-After` in milliseconds.
    fn admit(&self, req: &CallerRequest<'_>, selected: &Selection, now: Mono) -> Result<(), u64> {
        let elapsed_ms = req.elapsed_before_ms() + now.since(req.arrived_at);
        let limits = TimeLimits {
            objective_ms: req.route.objective_ms as f64,
            objective_remaining_ms: req.route.objective_ms as f64 - elapsed_ms as f64,
            deadline_remaining_ms: req.deadline.since(now) as f64,
        };
        admit(
            &selected.client.load(),
            selected.round_trip_ms as f64,
            limits,
            now,
        )
    }

    fn selection_of(&self, client: Arc<UpstreamClient>, fence: u64, now: Mono) -> Selection {
        let (expected_ms, load_report_age_ms) = {
            let load = client.load();
            (load.expected_ms(now) as u64, load.report_age_ms(now))
        };
        let distance = self.distance_to_zone(&client.zone);
        Selection {
            distance,
            round_trip_ms: match distance {
                Distance::SameZone | Distance::SameRegion => SAME_REGION_ROUND_TRIP_MS,
                Distance::OtherRegion => OTHER_REGION_ROUND_TRIP_MS,
            },
            client,
            fence,
            expected_ms,
            load_report_age_ms,
        }
    }

    /// Returns the distance to a key's owner, or `None` for services that aren't divided by key.
    fn owner_distance(
        &self,
        view: &DirectoryView,
        service: &str,
        key: Option<Key>,
    ) -> Option<Distance> {
        if !view.service(service).is_some_and(|s| s.sharded) {
            return None;
        }
        let owner = key.and_then(|key| view.owner(service, key));
        Some(owner.map_or(Distance::OtherRegion, |(u, _)| {
            self.distance_to_zone(&u.zone)
        }))
    }

    /// Counts the ready upstreams of a service by distance.
    fn count_by_distance(&self, view: &DirectoryView, service: &str) -> [u32; 3] {
        let mut counts = [0; 3];
        for upstream in view.ready_upstreams(service) {
            counts[self.distance_to_zone(&upstream.zone) as usize] += 1;
        }
        counts
    }

    fn distance_to_zone(&self, zone: &str) -> Distance {
        let regions = &self.state.regions_by_zone;
        if zone == self.state.zone {
            Distance::SameZone
        } else if regions.get(zone) == regions.get(&self.state.zone) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    async fn send_to(&self, req: &CallerRequest<'_>, selected: &Selection) -> AttemptOutcome {
        let Selection {
            client,
            round_trip_ms,
            ..
        } = selected;
        let round_trip_ms = *round_trip_ms;
        let remaining_ms = req.deadline.since(self.state.clock.now());
        let mut headers = req.parts.headers.clone();
        let upstream_timeout_ms = remaining_ms.saturating_sub(round_trip_ms / 2).max(1);
        let upstream = &client.incarnation.id;
        self.state
            .protocol
            .mark_request(&mut headers, upstream_timeout_ms, upstream);
        let upstream_request = UpstreamRequest {
            method: req.parts.method.clone(),
            uri: req.parts.uri.clone(),
            headers,
            body: req.body.clone(),
            id: req.metadata.id.clone(),
            repeat: req.route.repeat,
            remaining_ms,
            round_trip_ms,
        };
        let state = &self.state;
        upstream_request
            .send(client, &state.clients, &state.protocol, &state.clock)
            .await
    }
}

/// Counts a waiting request in a gauge until dropped.
struct OwnerWaitGuard<'a>(&'a prometheus_client::metrics::gauge::Gauge);

impl OwnerWaitGuard<'_> {
    fn begin(gauge: &prometheus_client::metrics::gauge::Gauge) -> OwnerWaitGuard<'_> {
        gauge.inc();
        OwnerWaitGuard(gauge)
    }
}

impl Drop for OwnerWaitGuard<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}
