//! Connections to upstreams, and this entry host's estimates of their load.

mod unserved;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use crate::body_memory::BodyMemory;
use crate::clock::{Clock, Mono};
use crate::directory::model::{Incarnation, Upstream};
use crate::directory::protocol::UpstreamSpeed;
use crate::entry::pool::ConnectionPool;
use crate::event::{Event, Recorder};
use crate::lock::lock;
use crate::pace::LinkPacers;

use super::attempt::RESET_WHEN_OPENED;
use super::balance::{ProcessingMean, UpstreamLoad};
use super::evacuation::EvacuatedZones;
use super::metrics::Metrics;
use super::protocol::ResponseMetadata;
use super::rate_limit::RateLimits;
use super::saturation::{SendSample, Verdict};
use super::view::DirectoryView;

/// Share of an upstream's connections that all entry hosts use together; the rest is kept for health checks
/// and for hosts that join.
const USABLE_CONNECTIONS_PERCENT: u32 = 80;

/// How long after a reset new connections are expected to be reset as well, in milliseconds. Bursts that exhaust an
/// upstream's connections last up to 7 s.
const RESETS_EXPECTED_MS: u64 = 10_000;

/// Processing time assumed for a service without samples, in milliseconds.
pub const INITIAL_PROCESSING_MS: f64 = 90.0;

/// A time that doesn't come.
const NEVER: Mono = Mono(u64::MAX);

/// The connections to one upstream process, and its load.
#[derive(Debug)]
pub struct UpstreamClient {
    /// The upstream process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: String,
    /// Its listen address.
    pub address: SocketAddr,
    /// Its connection pool.
    pub pool: ConnectionPool,
    service: String,
    load: Mutex<UpstreamLoad>,
    unreported_processing: Mutex<ProcessingTotals>,
    /// Whether the directory no longer lists it as ready.
    is_withdrawn: AtomicBool,
    /// From when on it gets no requests because its availability zone is evacuated, as a [`Mono`].
    evacuated_from: AtomicU64,
    /// When the latest of the requests that it answered was sent, as a [`Mono`].
    answered_request_at: AtomicU64,
    /// Whether a figure of this process that was ignored has been logged.
    has_logged_figure: AtomicBool,
    /// When it last reset a new connection, as a [`Mono`]; 0 if it never did.
    reset_at: AtomicU64,
}

/// Processing times that weren't reported to the directory yet.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessingTotals {
    total_ms: f64,
    answers: u32,
}

impl UpstreamClient {
    fn record_processing(&self, sample_ms: f64) {
        let mut unreported_processing = lock(&self.unreported_processing);
        unreported_processing.total_ms += sample_ms;
        unreported_processing.answers += 1;
    }

    /// Returns the service that the upstream belongs to.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Reports whether the upstream is about to leave or has left, by its own responses or the directory.
    pub fn is_leaving(&self) -> bool {
        self.is_withdrawn.load(Ordering::Relaxed) || self.load().is_leaving()
    }

    /// Reports whether it gets no requests because its availability zone is evacuated.
    pub fn is_evacuated(&self, now: Mono) -> bool {
        now.0 >= self.evacuated_from.load(Ordering::Relaxed)
    }

    /// Records that the upstream answered a request that was sent at `sent_at`.
    pub fn record_answer(&self, sent_at: Mono) {
        self.answered_request_at
            .fetch_max(sent_at.0, Ordering::Relaxed);
    }

    /// Returns when the latest of the requests that it answered was sent.
    pub fn last_answered_request_at(&self) -> Mono {
        Mono(self.answered_request_at.load(Ordering::Relaxed))
    }

    /// Records that the upstream reset a new connection.
    pub fn record_reset(&self, now: Mono) {
        self.reset_at.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Reports whether the upstream reset a new connection a short time ago.
    pub fn resets_new_connections(&self, now: Mono) -> bool {
        let reset_at = self.reset_at.load(Ordering::Relaxed);
        reset_at > 0 && now.since(Mono(reset_at)) < RESETS_EXPECTED_MS
    }

    /// Reports whether the upstream accepts requests, by its own responses and the directory.
    pub fn accepts_requests(&self, now: Mono) -> bool {
        !self.is_withdrawn.load(Ordering::Relaxed)
            && !self.is_evacuated(now)
            && self.load().accepts_requests(now)
    }

    /// Returns the expected response time of a request sent now, in milliseconds, or `None` while the
    /// upstream is ejected or doesn't accept requests.
    pub fn expected_ms_if_available(&self, now: Mono) -> Option<f64> {
        let is_withdrawn = self.is_withdrawn.load(Ordering::Relaxed) || self.is_evacuated(now);
        self.load()
            .expected_ms_if_available(now)
            .filter(|_| !is_withdrawn)
    }

    /// Locks and returns the load.
    pub fn load(&self) -> MutexGuard<'_, UpstreamLoad> {
        lock(&self.load)
    }
}

/// Counts a request as in flight at an upstream until dropped, and records its processing time.
#[derive(Debug)]
pub struct InFlightRequest {
    client: Arc<UpstreamClient>,
    /// Estimated requests at the upstream when this one was sent, itself included.
    in_flight_at_start: f64,
    sample: SendSample,
    clock: Clock,
    started_at: Instant,
    is_recorded: bool,
}

impl InFlightRequest {
    /// Counts one more request to `client` until the result is dropped.
    pub fn start(client: &Arc<UpstreamClient>, clock: &Clock) -> InFlightRequest {
        let mut load = client.load();
        load.own_in_flight += 1;
        let now = clock.now();
        let in_flight_at_start = load.estimated_in_flight(now);
        let sample = load.saturation.record_send(now);
        InFlightRequest {
            client: client.clone(),
            in_flight_at_start,
            sample,
            clock: *clock,
            started_at: Instant::now(),
            is_recorded: false,
        }
    }

    /// Records a response; `round_trip_ms` of its time was spent on the network.
    pub fn complete(&mut self, clients: &UpstreamClients, round_trip_ms: u64) {
        self.is_recorded = true;
        let elapsed_ms = (self.elapsed_ms() - round_trip_ms as f64).max(1.0);
        let was_ejected = self.client.load().was_ejected();
        if was_ejected {
            clients.record_readmitted(&self.client);
        }
        let now = self.clock.now();
        let processing_ms = {
            let mut load = self.client.load();
            let processing_ms =
                load.estimate_processing_ms(elapsed_ms, self.in_flight_at_start, now);
            let total = self.in_flight_at_start;
            clients.with_processing_mean(&self.client.service, |mean| {
                load.record_success(elapsed_ms, total, mean, now);
            });
            processing_ms
        };
        self.client.record_processing(processing_ms);
    }

    /// Returns the demand at the time of sending.
    pub fn sample(&self) -> SendSample {
        self.sample
    }

    /// Marks the request as not run, or as sent to a full upstream, so that no processing time is recorded.
    pub fn discard_time(&mut self) {
        self.is_recorded = true;
    }

    fn elapsed_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1_000.0
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let mut load = self.client.load();
        load.own_in_flight = load.own_in_flight.saturating_sub(1);
        if self.is_recorded {
            return;
        }
        let sample_ms =
            load.record_unanswered(self.elapsed_ms(), self.in_flight_at_start, self.clock.now());
        drop(load);
        if let Some(sample_ms) = sample_ms {
            self.client.record_processing(sample_ms);
        }
    }
}

/// The clients of all upstreams in use, by id.
#[derive(Debug)]
pub struct UpstreamClients {
    /// The rate limits of upstreams.
    pub rate_limits: RateLimits,
    recorder: Recorder,
    metrics: Arc<Metrics>,
    link_pacers: LinkPacers,
    /// Memory for buffered responses.
    pub(super) response_memory: Arc<BodyMemory>,
    /// Upstreams that announced in a response that they leave, and weren't reported to the directory yet.
    unreported_leaving: Mutex<Vec<Incarnation>>,
    by_id: Mutex<BTreeMap<String, Arc<UpstreamClient>>>,
    /// The evacuated zones of the newest view, for clients that are created by an older one.
    evacuated_zones: Mutex<Arc<EvacuatedZones>>,
    processing_by_service: Mutex<BTreeMap<String, ProcessingMean>>,
    /// Entry hosts that share the upstreams, as in the view last used.
    entry_hosts: AtomicU32,
}

impl UpstreamClients {
    /// Returns an empty set of clients. Ejections are recorded in `recorder` and `metrics`; connections are
    /// paced by `link_pacers`, and buffered responses share `response_memory`.
    pub fn new(
        recorder: Recorder,
        metrics: Arc<Metrics>,
        link_pacers: LinkPacers,
        response_memory: Arc<BodyMemory>,
    ) -> UpstreamClients {
        UpstreamClients {
            rate_limits: RateLimits::new(recorder.clone(), metrics.clone()),
            recorder,
            metrics,
            link_pacers,
            response_memory,
            unreported_leaving: Mutex::default(),
            by_id: Mutex::default(),
            evacuated_zones: Mutex::default(),
            processing_by_service: Mutex::default(),
            entry_hosts: AtomicU32::new(1),
        }
    }

    /// Records a failed request, and the ejection that may follow.
    pub fn record_failure(&self, client: &UpstreamClient, reason: &str, clock: &Clock) {
        if client.load().record_failure(clock.now()) {
            self.record_ejected(client, reason);
        }
    }

    /// Records that no connection could be opened, and ejects the upstream.
    pub fn record_unreachable(&self, client: &UpstreamClient, clock: &Clock) {
        client.load().record_connect_failure(clock.now());
        self.record_ejected(client, "can't connect");
    }

    fn record_ejected(&self, client: &UpstreamClient, reason: &str) {
        self.metrics.ejections.inc();
        self.recorder.record(Event::UpstreamEjected {
            upstream: client.incarnation.id.clone(),
            reason: reason.to_string(),
        });
    }

    fn record_readmitted(&self, client: &UpstreamClient) {
        self.recorder.record(Event::UpstreamReadmitted {
            upstream: client.incarnation.id.clone(),
        });
    }

    /// Returns the client of an upstream; creates it on first use, and when the process or address changed.
    pub fn get(&self, upstream: &Upstream, view: &DirectoryView) -> Arc<UpstreamClient> {
        self.entry_hosts
            .store(view.entry_hosts.max(1), Ordering::Relaxed);
        let mut by_id = lock(&self.by_id);
        let id = &upstream.incarnation.id;
        if let Some(client) = by_id.get(id) {
            let is_same_process =
                client.incarnation == upstream.incarnation && client.address == upstream.address;
            if is_same_process {
                client
                    .load()
                    .set_service_mean_ms(self.mean_processing_ms(&upstream.service));
                return client.clone();
            }
        }
        let service = view.service(&upstream.service);
        let connections_max = service.map_or(1, |s| s.connections_max);
        let share = connections_max * USABLE_CONNECTIONS_PERCENT / 100 / view.entry_hosts.max(1);
        let evacuated_from = lock(&self.evacuated_zones)
            .withdrawn_from(&upstream.zone, service.is_some_and(|s| s.sharded))
            .unwrap_or(NEVER);
        let client = Arc::new(UpstreamClient {
            incarnation: upstream.incarnation.clone(),
            zone: upstream.zone.clone(),
            address: upstream.address,
            pool: ConnectionPool::new(upstream.address, share as usize)
                .with_pacing(self.link_pacers.clone()),
            service: upstream.service.clone(),
            load: Mutex::new(UpstreamLoad::new(
                upstream.slots,
                self.mean_processing_ms(&upstream.service),
            )),
            unreported_processing: Mutex::default(),
            is_withdrawn: AtomicBool::new(false),
            evacuated_from: AtomicU64::new(evacuated_from.0),
            answered_request_at: AtomicU64::new(0),
            has_logged_figure: AtomicBool::new(false),
            reset_at: AtomicU64::new(0),
        });
        by_id.insert(id.clone(), client.clone());
        client
    }

    fn with_processing_mean(&self, service: &str, update: impl FnOnce(&mut ProcessingMean)) {
        let mut by_service = lock(&self.processing_by_service);
        match by_service.get_mut(service) {
            Some(mean) => update(mean),
            None => update(by_service.entry(service.to_string()).or_default()),
        }
    }

    /// Returns the processing times of upstreams since the last call.
    pub fn take_speeds(&self) -> Vec<UpstreamSpeed> {
        let by_id = lock(&self.by_id);
        let mut speeds = Vec::new();
        for (id, client) in by_id.iter() {
            let unreported_processing = std::mem::take(&mut *lock(&client.unreported_processing));
            if unreported_processing.answers > 0 {
                speeds.push(UpstreamSpeed {
                    upstream: id.clone(),
                    total_ms: unreported_processing.total_ms as u32,
                    answers: unreported_processing.answers,
                });
            }
        }
        speeds
    }

    /// Returns the mean processing time of a service's upstreams, in milliseconds.
    fn mean_processing_ms(&self, service: &str) -> f64 {
        let by_service = lock(&self.processing_by_service);
        by_service
            .get(service)
            .and_then(ProcessingMean::mean_ms)
            .unwrap_or(INITIAL_PROCESSING_MS)
    }

    /// Records that an upstream leaves or asks for a backoff, as its response says. This takes effect at
    /// once, without the directory. A backoff counts only if the response is a refusal (`is_refusal`).
    pub fn record_upstream_state(
        &self,
        client: &UpstreamClient,
        metadata: &ResponseMetadata,
        is_refusal: bool,
        now: Mono,
    ) {
        let mut load = client.load();
        if metadata.is_leaving && load.mark_leaving() {
            self.recorder.record(Event::LeavingSeen {
                upstream: client.incarnation.id.clone(),
            });
            lock(&self.unreported_leaving).push(client.incarnation.clone());
        }
        if let Some(retry_after_ms) = metadata.retry_after_ms.filter(|_| is_refusal) {
            load.back_off(retry_after_ms, now);
            self.recorder.record(Event::RestAsked {
                upstream: client.incarnation.id.clone(),
                rest_ms: retry_after_ms,
            });
        }
    }

    /// Records the figure of an upstream on how long work takes there now.
    pub fn record_service_time(&self, client: &UpstreamClient, percent: Option<u32>, now: Mono) {
        let Some(percent) = percent else { return };
        if client.load().record_service_time(percent, now) {
            return;
        }
        self.metrics.load_figures_ignored.inc();
        if !client.has_logged_figure.swap(true, Ordering::Relaxed) {
            self.recorder.record(Event::LoadFigureIgnored {
                upstream: client.incarnation.id.clone(),
                percent: u64::from(percent),
            });
        }
    }

    /// Returns the upstreams that announced in a response that they leave, since the last call.
    pub fn take_leaving(&self) -> Vec<Incarnation> {
        std::mem::take(&mut lock(&self.unreported_leaving))
    }

    /// Removes the clients of upstreams that `view` doesn't contain, and withdraws those that aren't ready or are in
    /// evacuated zones.
    pub fn sync_with_view(&self, view: &DirectoryView) {
        let mut by_id = lock(&self.by_id);
        let evacuated_zones = &view.evacuated_zones;
        evacuated_zones.clone_into(&mut lock(&self.evacuated_zones));
        by_id.retain(|id, client| {
            let ready = view.find_ready(&client.incarnation);
            client
                .is_withdrawn
                .store(ready.is_none(), Ordering::Relaxed);
            let evacuated_from = ready
                .and_then(|u| evacuated_zones.withdrawn_from(&u.zone, view.is_sharded(&u.service)));
            let evacuated_from = evacuated_from.unwrap_or(NEVER);
            client
                .evacuated_from
                .store(evacuated_from.0, Ordering::Relaxed);
            view.has_upstream(id)
        });
        self.rate_limits
            .retain(|upstream| view.find_ready(upstream).is_some());
    }
}
