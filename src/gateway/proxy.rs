//! Handles callers' requests: routing, selection of upstreams, admission and retries.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, HOST};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use tokio::sync::watch;

use crate::body_memory::BodyMemory;
use crate::clock::{Clock, Mono};
use crate::directory::suspects::BrokenRequest;
use crate::entry::request::strip_hop_by_hop;
use crate::lock::lock;

use super::attempt::{
    AttemptOutcome, Execution, UpstreamRequest, CLOSED_BEFORE_SENDING, REFUSED, REMAINING_MIN_MS,
    RESET_WHEN_OPENED,
};
use super::body::ResponseBody;
use super::caller_request::{host_of, read_body, CallerRequest, Failure, Selection};
use super::clearance::Clearance;
use super::crash_watch::CrashWatch;
use super::follower::KeyCounter;
use super::leader_outage::LeaderOutage;
use super::permit::Permit;
use super::protocol::{Protocol, RequestMetadata};
use super::request_tracker::{RequestTracker, TrackedRequest};
use super::retry::RetryBudget;
use super::suspects::Suspects;
use super::traffic_split::TrafficSplitter;
use super::upstream_client::UpstreamClients;
use super::view::DirectoryView;

/// Timeout of a request whose caller sends none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Minimum `Retry-After` of a host without a configuration, in milliseconds.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 500;
/// Maximum age of a view whose configuration is known to be in force, in milliseconds: the platform requires
/// a new one to be applied 2.5 s after it was acknowledged, and a request takes part of that.
const CONFIG_FRESH_MS: u64 = 2_000;
/// `Retry-After` for a route missing from an older view, in milliseconds: following a leader takes about 1 s.
const STALE_RETRY_AFTER_MS: u64 = 500;
/// `Retry-After` when no upstream could run the request, in milliseconds.
pub(super) const BUSY_RETRY_AFTER_MS: u64 = 150;

/// `Retry-After` of a host that stops before it could answer, in milliseconds: other hosts can answer now.
const STOPPING_RETRY_AFTER_MS: u64 = 100;

/// When a process that stops takes which requests.
#[derive(Clone, Copy, Debug)]
pub struct StopSchedule {
    /// From then on, requests that may last beyond the end of the process are refused.
    pub refuse_long_from: Mono,
    /// When requests in flight are cut off.
    pub ends_at: Mono,
}

/// Serves callers' requests. Clones share the state.
#[derive(Clone, Debug)]
pub struct Proxy<P> {
    pub(super) state: Arc<ProxyState<P>>,
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
    /// Memory for callers' bodies.
    pub body_memory: Arc<BodyMemory>,
    /// The schedule of the process's stop, once it has begun.
    pub stop_schedule: OnceLock<StopSchedule>,
    /// Whether the process is stopping, so that responses close their connections.
    pub is_closing: AtomicBool,
    /// The clock.
    pub clock: Clock,
    /// Requests that upstreams had when they ended.
    pub suspects: Arc<Suspects>,
    /// Finds out whether upstreams whose connections broke have ended.
    pub crash_watch: Arc<CrashWatch<BrokenRequest, Suspects>>,
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

    /// Begins to stop. Only the first schedule counts.
    pub fn begin_stop(&self, schedule: StopSchedule) {
        self.state.stop_schedule.get_or_init(|| schedule);
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
        let stop_schedule = self.state.stop_schedule.get();
        let may_be_cut_off =
            |s: &StopSchedule| arrived_at >= s.refuse_long_from && deadline > s.ends_at;
        if stop_schedule.is_some_and(may_be_cut_off) {
            let failure = Failure::refused("stopping", STOPPING_RETRY_AFTER_MS);
            return reject(&parts, &meta, failure);
        }
        let memory = &self.state.body_memory;
        let (body, body_share) = match read_body(body, &view, memory, time_limit_ms).await {
            Ok(read) => read,
            Err(failure) => return reject(&parts, &meta, failure),
        };
        strip_hop_by_hop(&mut parts.headers);
        if let Ok(host) = HeaderValue::from_str(&host) {
            parts.headers.insert(HOST, host);
        }
        let distance_of = |service: &str| self.owner_distance(&view, route, service, meta.key);
        let counts_of = |service: &str| self.count_by_distance(&view, route, service);
        let service = self.state.splitter.choose(route, distance_of, counts_of);
        let keyed = view.service(service).is_some_and(|s| s.sharded);
        let req = CallerRequest {
            key: meta.key.filter(|_| keyed),
            metadata: meta,
            parts: &parts,
            body,
            _body_share: body_share,
            route,
            config_version: view.versions.config,
            service,
            arrived_at,
            deadline,
            digest: OnceLock::new(),
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
        let mut clearance = Clearance::default();
        let failure = loop {
            let now = self.state.clock.now();
            let remaining_ms = req.deadline.since(now);
            if remaining_ms < REMAINING_MIN_MS {
                break Failure::failed(StatusCode::GATEWAY_TIMEOUT, "out of time");
            }
            if let Err(failure) = self.check_suspicion(req, tracked, &mut clearance).await {
                break failure;
            }
            let attempts = tracked.history.attempted.len();
            if attempts >= req.route.attempts_max.max(1) as usize {
                break Failure::refused("attempts used up", BUSY_RETRY_AFTER_MS);
            }
            if let Err(failure) = self.refuse_if_evacuated(req.service) {
                break failure;
            }
            let selection = self
                .select_upstream(req, &mut tracked.history, refused_fence)
                .await;
            let selected = match selection {
                Some(selected) => selected,
                None => break self.no_selection(req),
            };
            if let Err(retry_after_ms) = self.admit(req, &selected, now) {
                tracked.history.not_admitted = Some(selected);
                break Failure::refused("no room in time", retry_after_ms);
            }
            let permit = match self.acquire_permit(req, &selected).await {
                Ok(permit) => permit,
                Err(retry_after_ms) => {
                    let reason = self.limit_reason(&selected);
                    tracked.history.not_admitted = Some(selected);
                    break Failure::refused(reason, retry_after_ms);
                }
            };
            if !self.may_send(req, &mut clearance, now).await {
                self.return_permit(&selected, permit);
                continue;
            }
            let entry_hosts = self.state.view.borrow().entry_hosts;
            if attempts > 0 {
                if !lock(&self.state.retry_budget).try_take(req.service, entry_hosts, now) {
                    self.return_permit(&selected, permit);
                    break Failure::refused("retry budget used up", BUSY_RETRY_AFTER_MS);
                }
                tracked.record_retry();
            }
            let was_refused = tracked.history.has_attempted(&selected.client.incarnation);
            tracked.history.attempted.push(selected.clone());
            let mut has_ended_upstream = false;
            let (reason, execution) = match self.send_to(req, &selected, permit, was_refused).await
            {
                AttemptOutcome::Response(response) => {
                    clearance.mark_run();
                    let is_served = !response.status().is_server_error();
                    self.record_suspect_answer(req, &selected, &clearance, is_served);
                    self.record_response_size(&req.route.name, &response);
                    return Ok(response);
                }
                AttemptOutcome::ErrorResponse(response) => {
                    error_response = Some(response);
                    ("error answer", Execution::MayHaveRun)
                }
                AttemptOutcome::Failed(reason, execution) => (reason, execution),
                AttemptOutcome::Broken(reason) => {
                    has_ended_upstream = self
                        .has_ended_upstream(req, tracked, &selected, &clearance)
                        .await;
                    (reason, Execution::MayHaveRun)
                }
                AttemptOutcome::NotSent => {
                    tracked.history.attempted.pop();
                    continue;
                }
            };
            tracked.record_failed_attempt(&selected, reason, execution, now);
            match execution {
                Execution::NotRun => {
                    let may_ask_again = self.may_ask_again(&selected, reason);
                    refused_fence = (!may_ask_again).then_some(selected.fence);
                }
                Execution::MayHaveRun => {
                    let is_full = selected.client.load().is_full(self.state.clock.now());
                    refused_fence = is_full.then_some(selected.fence).or(refused_fence);
                    may_have_run = true;
                    clearance.mark_run();
                }
            }
            // The next upstream could end as well. The caller decides whether it asks again.
            let may_repeat = req.is_repeatable() && !has_ended_upstream;
            if execution == Execution::MayHaveRun && !may_repeat {
                break Failure::failed(StatusCode::BAD_GATEWAY, reason);
            }
        };
        self.end_clearance(&clearance);
        if let Some(response) = error_response {
            return Ok(response);
        }
        if may_have_run && failure.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(failure.after_possible_run(req.is_repeatable()));
        }
        Err(failure)
    }

    /// Reports whether a key's owner may be asked again after an attempt that didn't run there. A full one is
    /// selected only once it has free capacity.
    fn may_ask_again(&self, selected: &Selection, reason: &'static str) -> bool {
        let now = self.state.clock.now();
        let load = selected.client.load();
        let knows_load = load.is_full(now) || load.saturation.has_free_slot(now);
        let is_refusal = [REFUSED, RESET_WHEN_OPENED].contains(&reason);
        reason == CLOSED_BEFORE_SENDING || (is_refusal && knows_load)
    }

    fn return_permit(&self, selected: &Selection, permit: Option<Permit>) {
        let rate_limits = &self.state.clients.rate_limits;
        rate_limits.put_back(&selected.client.incarnation, permit);
    }

    async fn send_to(
        &self,
        req: &CallerRequest<'_>,
        selected: &Selection,
        permit: Option<Permit>,
        was_refused: bool,
    ) -> AttemptOutcome {
        let upstream_request = UpstreamRequest {
            method: req.parts.method.clone(),
            uri: req.parts.uri.clone(),
            headers: req.parts.headers.clone(),
            body: req.body.clone(),
            id: req.metadata.id.clone(),
            repeat: req.route.repeat,
            was_refused,
            deadline: req.deadline,
            round_trip_ms: selected.round_trip_ms,
            permit,
        };
        let state = &self.state;
        upstream_request
            .send(
                &selected.client,
                &state.clients,
                &state.protocol,
                &state.clock,
                || self.allows_region_now(req, &selected.client),
            )
            .await
    }
}
