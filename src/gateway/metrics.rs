//! Metrics of a gateway.

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

/// Routes that have series of their own; configurations may name hundreds over a day.
const LABELED_ROUTES_MAX: usize = 64;
/// The label of all further routes.
const OTHER_ROUTES_LABEL: &str = "other";
/// The upper bound of the first bucket of latencies, in seconds; each further one is twice as far.
const FIRST_LATENCY_BUCKET_S: f64 = 0.001;
/// Buckets of latencies: up to 16 s.
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

/// Labels of a latency.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// The route, as in [`RequestLabels`].
    pub route: String,
}

/// Why a request ended without an answer, or an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabels {
    /// The reason, as in the log.
    pub reason: &'static str,
}

/// How far an upstream is.
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
    /// From a request's head to its answer, in seconds.
    pub duration_seconds: Histograms,
    /// Requests that ended without an upstream's answer.
    pub refusals: Family<ReasonLabels, Counter>,
    /// Attempts that failed.
    pub attempts_failed: Family<ReasonLabels, Counter>,
    /// Bytes of bodies, there and back.
    pub body_bytes: Family<DistanceLabels, Counter>,
    /// Requests that were sent to a further upstream.
    pub retries: Counter,
    /// Upstreams that were passed over for their failures.
    pub ejections: Counter,
    /// Requests in work.
    pub in_flight: Gauge,
    /// Keyed requests that wait for their key's owner.
    pub waiting_for_owner: Gauge,
    /// The configuration in force.
    pub config_version: Gauge,
    /// The version of the table of owners.
    pub owners_version: Gauge,
    /// Milliseconds since the directory's leader confirmed the view.
    pub view_age_ms: Gauge,
    /// Log lines about requests that were left out.
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
    /// Returns metrics at zero.
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
            in_flight: Gauge::default(),
            waiting_for_owner: Gauge::default(),
            config_version: Gauge::default(),
            owners_version: Gauge::default(),
            view_age_ms: Gauge::default(),
            lines_suppressed: Counter::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns the label of a route; the set of labels is bounded.
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

    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
        encode_registry(&self.registry)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Finished requests", self.requests.clone());
        registry.register_with_unit(
            "request_duration",
            "From a request's head to its answer",
            Unit::Seconds,
            self.duration_seconds.clone(),
        );
        registry.register(
            "refusals",
            "Requests that ended without an upstream's answer",
            self.refusals.clone(),
        );
        registry.register(
            "attempts_failed",
            "Attempts that failed",
            self.attempts_failed.clone(),
        );
        registry.register_with_unit(
            "bodies",
            "Bodies there and back",
            Unit::Bytes,
            self.body_bytes.clone(),
        );
        registry.register(
            "repeats",
            "Requests sent to a further upstream",
            self.retries.clone(),
        );
        registry.register("ejections", "Upstreams passed over", self.ejections.clone());
        registry.register("in_flight", "Requests in work", self.in_flight.clone());
        registry.register(
            "owner_waits",
            "Requests that wait for their key's owner",
            self.waiting_for_owner.clone(),
        );
        registry.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "owners_version",
            "Version of the table of owners",
            self.owners_version.clone(),
        );
        registry.register(
            "view_age_milliseconds",
            "Since the directory's leader confirmed the view",
            self.view_age_ms.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Lines about requests that were left out",
            self.lines_suppressed.clone(),
        );
    }
}
