//! Records every request in metrics and log lines, and logs a traffic summary every few seconds.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use hdrhistogram::Histogram;
use hyper::http::request::Parts;
use hyper::StatusCode;
use tokio::sync::watch;

use crate::clock::{Clock, Mono};
use crate::directory::suspects::{Stage, SuspectId};
use crate::event::{Event, Recorder};
use crate::lock::lock;
use crate::request_digest::RequestDigest;

use super::attempt::Execution;
use super::caller_request::{
    host_of, id_for_log, AttemptHistory, CallerRequest, Failure, Selection,
};
use super::metrics::{DistanceLabels, Metrics, ReasonLabels, RequestLabels, RouteLabels};
use super::protocol::RequestMetadata;
use super::request_log::RequestLog;
use super::suspects::Suspects;
use super::view::DirectoryView;

/// Interval between two traffic summaries in the log, in milliseconds.
pub const TRAFFIC_LOG_INTERVAL_MS: u64 = 5_000;
/// Upper bound of recorded latencies, in milliseconds; longer ones are recorded as this value. It is above
/// the timeouts that routes are expected to have.
const LATENCY_MAX_MS: u64 = 60_000;
/// Maximum number of characters of a path in the log.
const LOGGED_PATH_CHARS_MAX: usize = 80;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Refused,
    Failed,
    Abandoned,
}

impl Outcome {
    fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Abandoned => "abandoned",
        }
    }
}

/// Versions of the directory view in use, and its age.
struct ViewVersions {
    config: u64,
    owners: u64,
    age_ms: u64,
}

/// Counts since the last traffic summary.
#[derive(Debug)]
struct TrafficCounts {
    started_at: Mono,
    answered: u64,
    refused: u64,
    failed: u64,
    abandoned: u64,
    retries: u64,
    reasons: BTreeMap<&'static str, u64>,
    bytes_by_distance: BTreeMap<&'static str, u64>,
    latencies: Option<Histogram<u32>>,
}

impl TrafficCounts {
    fn new(started_at: Mono) -> TrafficCounts {
        TrafficCounts {
            started_at,
            answered: 0,
            refused: 0,
            failed: 0,
            abandoned: 0,
            retries: 0,
            reasons: BTreeMap::new(),
            bytes_by_distance: BTreeMap::new(),
            // Two significant digits. These bounds never fail.
            latencies: Histogram::new_with_max(LATENCY_MAX_MS, 2).ok(),
        }
    }

    fn quantile_ms(&self, quantile: f64) -> u64 {
        let latencies = self.latencies.as_ref();
        latencies.map_or(0, |l| l.value_at_quantile(quantile))
    }
}

/// Records the requests of a gateway.
#[derive(Debug)]
pub struct RequestTracker {
    clock: Clock,
    view: watch::Receiver<Arc<DirectoryView>>,
    recorder: Recorder,
    request_log: RequestLog,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    traffic: Mutex<TrafficCounts>,
    /// The number of unread responses that were logged.
    unread_logged: AtomicU64,
}

impl RequestTracker {
    /// Returns a tracker without any requests.
    pub fn new(
        clock: Clock,
        view: watch::Receiver<Arc<DirectoryView>>,
        recorder: Recorder,
    ) -> RequestTracker {
        let metrics = Arc::new(Metrics::new());
        RequestTracker {
            clock,
            view,
            request_log: RequestLog::new(recorder.clone(), metrics.clone()),
            recorder,
            metrics,
            traffic: Mutex::new(TrafficCounts::new(clock.now())),
            unread_logged: AtomicU64::new(0),
        }
    }

    /// Starts tracking a request. If the result is dropped unfinished, its caller abandoned the request.
    pub(super) fn start<'a>(&'a self, request: &'a CallerRequest<'a>) -> TrackedRequest<'a> {
        self.metrics.in_flight.inc();
        TrackedRequest {
            tracker: self,
            request,
            history: AttemptHistory::default(),
            is_finished: false,
        }
    }

    fn view_versions(&self, now: Mono) -> ViewVersions {
        let view = self.view.borrow();
        ViewVersions {
            config: view.versions.config,
            owners: view.versions.owners,
            age_ms: now.since(view.confirmed_at),
        }
    }

    /// Records a request that ended before an upstream was selected.
    pub(super) fn reject(
        &self,
        parts: &Parts,
        metadata: &RequestMetadata,
        failure: Failure,
        started_at: Mono,
    ) {
        let now = self.clock.now();
        let versions = self.view_versions(now);
        self.count_outcome("-", "-", outcome_of(&failure), Some(failure.reason), None);
        let path = parts
            .uri
            .path()
            .chars()
            .take(LOGGED_PATH_CHARS_MAX)
            .collect();
        self.request_log
            .record_unusual(now, || Event::RequestRejected {
                request: id_for_log(&metadata.id),
                host: host_of(parts).unwrap_or("").to_string(),
                path,
                status: failure.status.as_u16(),
                reason: failure.reason.to_string(),
                waited_ms: now.since(started_at),
                config: versions.config,
                age_ms: versions.age_ms,
            });
    }

    /// Logs a summary of the traffic since the last one, and updates gauges.
    pub fn log_traffic(&self) {
        let now = self.clock.now();
        let versions = self.view_versions(now);
        let metrics = &self.metrics;
        metrics.observe_evacuations(&self.view.borrow());
        metrics.config_version.set(versions.config as i64);
        metrics.owners_version.set(versions.owners as i64);
        metrics.view_age_ms.set(versions.age_ms as i64);
        let unread = metrics.responses_unread.get();
        let count = unread - self.unread_logged.swap(unread, Ordering::Relaxed);
        if count > 0 {
            self.recorder.record(Event::ResponsesUnread { count });
        }
        let traffic = std::mem::replace(&mut *lock(&self.traffic), TrafficCounts::new(now));
        let kib = |distance| {
            traffic
                .bytes_by_distance
                .get(distance)
                .map_or(0, |bytes| bytes / 1_024)
        };
        let reasons = traffic.reasons.iter().map(|(r, n)| format!("{r}: {n}"));
        self.recorder.record(Event::TrafficCounted {
            over_ms: now.since(traffic.started_at),
            answered: traffic.answered,
            refused: traffic.refused,
            failed: traffic.failed,
            abandoned: traffic.abandoned,
            repeats: traffic.retries,
            in_flight: metrics.in_flight.get().max(0) as u64,
            p50_ms: traffic.quantile_ms(0.5),
            p99_ms: traffic.quantile_ms(0.99),
            zone_kib: kib("zone"),
            region_kib: kib("region"),
            far_kib: kib("far"),
            reasons: reasons.collect::<Vec<_>>().join("; "),
            config: versions.config,
            owners: versions.owners,
            age_ms: versions.age_ms,
        });
    }

    /// Returns the metrics in the text format.
    pub fn encode_metrics(&self) -> String {
        let versions = self.view_versions(self.clock.now());
        self.metrics.view_age_ms.set(versions.age_ms as i64);
        self.metrics.encode()
    }

    fn count_outcome(
        &self,
        route: &str,
        service: &str,
        outcome: Outcome,
        reason: Option<&'static str>,
        duration_ms: Option<u64>,
    ) {
        let route = match route {
            "-" => "-".to_string(),
            _ => self.metrics.route_label(route),
        };
        if let Some(ms) = duration_ms {
            let labels = RouteLabels {
                route: route.clone(),
            };
            let histogram = self.metrics.duration_seconds.get_or_create(&labels);
            histogram.observe(ms as f64 / 1_000.0);
        }
        if let Some(reason) = reason {
            let labels = ReasonLabels { reason };
            self.metrics.refusals.get_or_create(&labels).inc();
        }
        let labels = RequestLabels {
            route,
            service: service.to_string(),
            outcome: outcome.name(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        let mut traffic = lock(&self.traffic);
        match outcome {
            Outcome::Answered => traffic.answered += 1,
            Outcome::Refused => traffic.refused += 1,
            Outcome::Failed => traffic.failed += 1,
            Outcome::Abandoned => traffic.abandoned += 1,
        }
        if let Some(reason) = reason {
            *traffic.reasons.entry(reason).or_default() += 1;
        }
        if let (Some(ms), Some(latencies)) = (duration_ms, &mut traffic.latencies) {
            latencies.saturating_record(ms);
        }
    }
}

fn outcome_of(failure: &Failure) -> Outcome {
    match failure.status {
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// A request that is being tracked.
pub(super) struct TrackedRequest<'a> {
    tracker: &'a RequestTracker,
    request: &'a CallerRequest<'a>,
    pub(super) history: AttemptHistory,
    is_finished: bool,
}

impl TrackedRequest<'_> {
    /// Records that the request is retried on another upstream.
    pub(super) fn record_retry(&self) {
        self.tracker.metrics.retries.inc();
        lock(&self.tracker.traffic).retries += 1;
    }

    /// Records a failed attempt.
    pub(super) fn record_failed_attempt(
        &self,
        selected: &Selection,
        reason: &'static str,
        execution: Execution,
        started_at: Mono,
    ) {
        let tracker = self.tracker;
        let now = tracker.clock.now();
        let labels = ReasonLabels { reason };
        tracker.metrics.attempts_failed.get_or_create(&labels).inc();
        tracker
            .request_log
            .record_unusual(now, || Event::AttemptFailed {
                request: self.request.log_id(),
                upstream: selected.client.incarnation.id.clone(),
                fence: selected.fence,
                reason: reason.to_string(),
                sent: execution == Execution::MayHaveRun,
                expected_ms: selected.expected_ms,
                load_age_ms: selected.load_report_age_ms,
                waited_ms: now.since(started_at),
            });
    }

    /// Records that the connection ended while an upstream had the request.
    pub(super) fn record_broken(&self, selected: &Selection, digest: RequestDigest) {
        let now = self.tracker.clock.now();
        let upstream = &selected.client.incarnation;
        let request_log = &self.tracker.request_log;
        request_log.record_unusual(now, || Event::RequestBroken {
            request: self.request.log_id(),
            service: self.request.service.to_string(),
            digest: digest.to_string(),
            upstream: upstream.id.clone(),
            born_ms: upstream.born_ms,
        });
    }

    /// Records that the request is refused because upstreams ended while they had it.
    pub(super) fn record_suspect_refused(
        &self,
        suspects: &Suspects,
        id: &SuspectId,
        stage: Stage,
        retry_after_ms: u64,
    ) {
        let tracker = self.tracker;
        tracker.metrics.suspects_refused.inc();
        let now = tracker.clock.now();
        tracker
            .request_log
            .record_unusual(now, || Event::SuspectRefused {
                request: self.request.log_id(),
                service: id.service.clone(),
                digest: id.digest.to_string(),
                stage: stage.name().to_string(),
                crashes: suspects.describe_crashes(id),
                version: suspects.version(),
                retry_after_ms,
            });
    }

    /// Finishes the request with an upstream's response of `bytes` bytes.
    pub(super) fn finish_answered(mut self, status: u16, bytes: u64) {
        self.is_finished = true;
        let tracker = self.tracker;
        let now = tracker.clock.now();
        let request = self.request;
        let waited_ms = now.since(request.arrived_at);
        let (route, service) = (&request.route.name, request.service);
        tracker.count_outcome(route, service, Outcome::Answered, None, Some(waited_ms));
        if let Some(last) = self.history.attempted.last() {
            let distance = last.distance.name();
            let labels = DistanceLabels { distance };
            let counter = tracker.metrics.body_bytes.get_or_create(&labels);
            let bytes = bytes + request.body.len() as u64;
            counter.inc_by(bytes);
            *lock(&tracker.traffic)
                .bytes_by_distance
                .entry(distance)
                .or_default() += bytes;
        }
        tracker.request_log.record_sampled(now, || {
            let versions = tracker.view_versions(now);
            let last = self.history.attempted.last();
            Event::RequestServed {
                request: request.log_id(),
                route: route.clone(),
                service: service.to_string(),
                key: request.key,
                status,
                upstream: last.map_or(String::new(), |c| c.client.incarnation.id.clone()),
                distance: last.map_or(String::new(), |c| c.distance.name().to_string()),
                bytes,
                fence: last.map_or(0, |c| c.fence),
                attempts: self.history.attempted.len() as u64,
                owner_wait_ms: self.history.owner_wait_ms,
                expected_ms: last.map_or(0, |c| c.expected_ms),
                load_age_ms: last.and_then(|c| c.load_report_age_ms),
                waited_ms,
                config: versions.config,
                owners: versions.owners,
                age_ms: versions.age_ms,
            }
        });
    }

    /// Finishes the request without an upstream's response.
    pub(super) fn finish_failed(mut self, failure: &Failure) {
        self.is_finished = true;
        let tracker = self.tracker;
        let now = tracker.clock.now();
        let request = self.request;
        let waited_ms = now.since(request.arrived_at);
        let (route, service) = (&request.route.name, request.service);
        let outcome = outcome_of(failure);
        tracker.count_outcome(route, service, outcome, Some(failure.reason), None);
        tracker.request_log.record_unusual(now, || {
            let versions = tracker.view_versions(now);
            let not_admitted = self.history.not_admitted.as_ref();
            Event::RequestFailed {
                request: request.log_id(),
                route: route.clone(),
                service: service.to_string(),
                key: request.key,
                status: failure.status.as_u16(),
                reason: failure.reason.to_string(),
                retry_after_ms: failure.retry_after_ms,
                patience_ms: request.timeout_ms(),
                objective_ms: request.route.objective_ms,
                before_ms: request.elapsed_before_ms(),
                upstreams: self.history.upstreams(),
                considered: not_admitted.map(|c| c.client.incarnation.id.clone()),
                expected_ms: not_admitted.map(|c| c.expected_ms),
                way_ms: not_admitted.map_or(0, |c| c.round_trip_ms),
                load_age_ms: not_admitted.and_then(|c| c.load_report_age_ms),
                service_time_percent: not_admitted.and_then(|c| c.service_time_percent),
                owner_wait_ms: self.history.owner_wait_ms,
                waited_ms,
                config: versions.config,
                owners: versions.owners,
                age_ms: versions.age_ms,
            }
        });
    }

    fn record_abandoned(&self) {
        let tracker = self.tracker;
        let now = tracker.clock.now();
        let request = self.request;
        let (route, service) = (&request.route.name, request.service);
        tracker.count_outcome(route, service, Outcome::Abandoned, None, None);
        tracker.request_log.record_unusual(now, || {
            let versions = tracker.view_versions(now);
            Event::RequestAbandoned {
                request: request.log_id(),
                route: route.clone(),
                service: service.to_string(),
                key: request.key,
                upstreams: self.history.upstreams(),
                waited_ms: now.since(request.arrived_at),
                config: versions.config,
                owners: versions.owners,
                age_ms: versions.age_ms,
            }
        });
    }
}

impl Drop for TrackedRequest<'_> {
    fn drop(&mut self) {
        self.tracker.metrics.in_flight.dec();
        if !self.is_finished {
            self.record_abandoned();
        }
    }
}
