//! Prometheus metrics of a gateway.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::Mutex;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};

use crate::exposition::encode_registry;
use crate::lock::lock;

/// Maximum number of routes with series of their own; configurations may name hundreds over a day.
const LABELED_ROUTES_MAX: usize = 64;
/// Label of all further routes.
const OTHER_ROUTES_LABEL: &str = "other";
/// Upper bound of the first latency bucket, in seconds; it doubles with each further bucket.
const FIRST_LATENCY_BUCKET_S: f64 = 0.001;
/// Number of latency buckets: up to 16 s.
const LATENCY_BUCKETS: u16 = 15;

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The route, `other` beyond the first 64, `-` when there is none.
    pub route: String,
    /// The service, or `-`.
    pub service: String,
    /// `answered`, `refused`, `failed` or `abandoned`.
    pub outcome: &'static str,
}

/// Labels of a request duration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// The route, as in [`RequestLabels`].
    pub route: String,
}

/// Why a request ended without an upstream's response, or an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabels {
    /// The reason, as in the log.
    pub reason: &'static str,
}

/// Distance to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DistanceLabels {
    /// `zone`, `region` or `far`.
    pub distance: &'static str,
}

type Histograms = Family<RouteLabels, Histogram, fn() -> Histogram>;

/// All metrics of one gateway.
pub struct Metrics {
    registry: Registry,
    labeled_routes: Mutex<BTreeSet<String>>,
    /// Finished requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from a request's head to its response, in seconds.
    pub duration_seconds: Histograms,
    /// Requests that ended without an upstream's response.
    pub refusals: Family<ReasonLabels, Counter>,
    /// Failed attempts.
    pub attempts_failed: Family<ReasonLabels, Counter>,
    /// Bytes of request and response bodies.
    pub body_bytes: Family<DistanceLabels, Counter>,
    /// Retries on another upstream.
    pub retries: Counter,
    /// Ejections of upstreams.
    pub ejections: Counter,
    /// Times that upstreams were found full.
    pub upstreams_full: Counter,
    /// Requests being processed.
    pub in_flight: Gauge,
    /// Requests waiting for an owner of their key.
    pub waiting_for_owner: Gauge,
    /// Upstreams that name a rate limit.
    pub rate_limited_upstreams: Gauge,
    /// Upstreams that are cold and have a limit for that reason.
    pub cold_upstreams: Gauge,
    /// Permits for upstreams with a rate limit.
    pub permits: Counter,
    /// Requests that are sent only as trials.
    pub suspects_on_trial: Gauge,
    /// Requests in quarantine.
    pub suspects_quarantined: Gauge,
    /// Refusals of requests on trial or in quarantine.
    pub suspects_refused: Counter,
    /// Suspected requests that an upstream answered.
    pub suspects_acquitted: Counter,
    /// Evacuated availability zones.
    pub evacuated_zones: Gauge,
    /// Ready upstreams in evacuated zones.
    pub evacuated_upstreams: Gauge,
    /// Callers' connections that were ended because a response stayed unread.
    pub responses_unread: Counter,
    /// Load figures of upstreams that were ignored because they are out of range.
    pub load_figures_ignored: Counter,
    /// Routes and services whose allowed regions have no ready upstream.
    pub routes_unserved: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Version of the owner table.
    pub owners_version: Gauge,
    /// Time since the directory's leader confirmed the view, in milliseconds.
    pub view_age_ms: Gauge,
    /// Suppressed log lines about requests.
    pub lines_suppressed: Counter<u64, AtomicU64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_LATENCY_BUCKET_S,
        2.0,
        LATENCY_BUCKETS,
    ))
}

impl Metrics {
    /// Returns metrics with all values at zero.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("carobreel_gateway"),
            labeled_routes: Mutex::default(),
            requests: Family::default(),
            duration_seconds: Family::new_with_constructor(latency_histogram),
            refusals: Family::default(),
            attempts_failed: Family::default(),
            body_bytes: Family::default(),
            retries: Counter::default(),
            ejections: Counter::default(),
            upstreams_full: Counter::default(),
            in_flight: Gauge::default(),
            waiting_for_owner: Gauge::default(),
            rate_limited_upstreams: Gauge::default(),
            cold_upstreams: Gauge::default(),
            permits: Counter::default(),
            suspects_on_trial: Gauge::default(),
            suspects_quarantined: Gauge::default(),
            suspects_refused: Counter::default(),
            suspects_acquitted: Counter::default(),
            evacuated_zones: Gauge::default(),
            evacuated_upstreams: Gauge::default(),
            responses_unread: Counter::default(),
            load_figures_ignored: Counter::default(),
            routes_unserved: Gauge::default(),
            config_version: Gauge::default(),
            owners_version: Gauge::default(),
            view_age_ms: Gauge::default(),
            lines_suppressed: Counter::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns the label of a route. Routes beyond `LABELED_ROUTES_MAX` share one label.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::gateway::metrics::Metrics;
    ///
    /// let metrics = Metrics::new();
    /// assert_eq!(metrics.route_label("maps"), "maps");
    /// for n in 0..100 {
    ///     metrics.route_label(&format!("route-{n}"));
    /// }
    /// assert_eq!(metrics.route_label("one more"), "other");
    /// assert_eq!(metrics.route_label("maps"), "maps");
    /// ```
    pub fn route_label(&self, route: &str) -> String {
        let mut labeled_routes = lock(&self.labeled_routes);
        if labeled_routes.contains(route) {
            return route.to_string();
        }
        if labeled_routes.len() >= LABELED_ROUTES_MAX {
            return OTHER_ROUTES_LABEL.to_string();
        }
        labeled_routes.insert(route.to_string());
        route.to_string()
    }

    /// Returns all metrics in the text format.
    pub fn encode(&self) -> String {
        encode_registry(&self.registry)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Finished requests", self.requests.clone());
        registry.register_with_unit(
            "request_duration",
            "Time from a request's head to its response",
            Unit::Seconds,
            self.duration_seconds.clone(),
        );
        registry.register(
            "refusals",
            "Requests that ended without an upstream's response",
            self.refusals.clone(),
        );
        registry.register(
            "attempts_failed",
            "Failed attempts",
            self.attempts_failed.clone(),
        );
        registry.register_with_unit(
            "bodies",
            "Request and response bodies",
            Unit::Bytes,
            self.body_bytes.clone(),
        );
        registry.register(
            "repeats",
            "Retries on another upstream",
            self.retries.clone(),
        );
        registry.register(
            "ejections",
            "Ejections of upstreams",
            self.ejections.clone(),
        );
        registry.register(
            "upstreams_full",
            "Times that upstreams were found full and got no requests for a while",
            self.upstreams_full.clone(),
        );
        registry.register(
            "in_flight",
            "Requests being processed",
            self.in_flight.clone(),
        );
        registry.register(
            "owner_waits",
            "Requests waiting for an owner of their key",
            self.waiting_for_owner.clone(),
        );
        registry.register(
            "rate_limited_upstreams",
            "Upstreams that name a rate limit",
            self.rate_limited_upstreams.clone(),
        );
        registry.register(
            "cold_upstreams",
            "Upstreams that are cold and have a limit for that reason",
            self.cold_upstreams.clone(),
        );
        registry.register(
            "permits",
            "Permits for upstreams with a rate limit",
            self.permits.clone(),
        );
        registry.register(
            "suspects_on_trial",
            "Requests that are sent only as trials because upstreams ended while they had them",
            self.suspects_on_trial.clone(),
        );
        registry.register(
            "suspects_quarantined",
            "Requests that are refused because a trial ended its upstream",
            self.suspects_quarantined.clone(),
        );
        registry.register(
            "suspects_refused",
            "Refusals of requests on trial or in quarantine",
            self.suspects_refused.clone(),
        );
        registry.register(
            "suspects_acquitted",
            "Suspected requests that an upstream answered",
            self.suspects_acquitted.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Evacuated availability zones",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "evacuated_upstreams",
            "Ready upstreams in evacuated availability zones",
            self.evacuated_upstreams.clone(),
        );
        registry.register(
            "responses_unread",
            "Callers' connections that were ended because a response stayed unread",
            self.responses_unread.clone(),
        );
        registry.register(
            "load_figures_ignored",
            "Load figures of upstreams that were ignored because they are out of range",
            self.load_figures_ignored.clone(),
        );
        registry.register(
            "routes_unserved",
            "Routes and services whose allowed regions have no ready upstream",
            self.routes_unserved.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "owners_version",
            "Version of the owner table",
            self.owners_version.clone(),
        );
        registry.register(
            "view_age_milliseconds",
            "Time since the directory's leader confirmed the view",
            self.view_age_ms.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Suppressed log lines about requests",
            self.lines_suppressed.clone(),
        );
    }
}
