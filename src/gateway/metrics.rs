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
const ROUTES_MAX: usize = 64;
/// The label of all further routes.
const OTHER_ROUTES: &str = "other";
/// The upper bound of the first bucket of latencies, in seconds; each further one is twice as far.
const FIRST_BUCKET_S: f64 = 0.001;
/// Buckets of latencies: up to 16 s.
const BUCKETS: u16 = 15;

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
    routes: Mutex<BTreeSet<String>>,
    /// Finished requests.
    pub requests: Family<RequestLabels, Counter>,
    /// From a request's head to its answer, in seconds.
    pub seconds: Histograms,
    /// Requests that ended without an upstream's answer.
    pub refusals: Family<ReasonLabels, Counter>,
    /// Attempts that failed.
    pub attempts_failed: Family<ReasonLabels, Counter>,
    /// Bytes of bodies, there and back.
    pub bytes: Family<DistanceLabels, Counter>,
    /// Requests that were sent to a further upstream.
    pub repeats: Counter,
    /// Upstreams that were passed over for their failures.
    pub ejections: Counter,
    /// Requests in work.
    pub in_flight: Gauge,
    /// Keyed requests that wait for their key's owner.
    pub owner_waits: Gauge,
    /// The configuration in force.
    pub config_version: Gauge,
    /// The version of the table of owners.
    pub owners_version: Gauge,
    /// Milliseconds since the directory's leader confirmed the view.
    pub view_age: Gauge,
    /// Log lines about requests that were left out.
    pub lines_left_out: Counter<u64, AtomicU64>,
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

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}

impl Metrics {
    /// Returns metrics at zero.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("carobreel_gateway"),
            routes: Mutex::default(),
            requests: Family::default(),
            seconds: Family::new_with_constructor(histogram),
            refusals: Family::default(),
            attempts_failed: Family::default(),
            bytes: Family::default(),
            repeats: Counter::default(),
            ejections: Counter::default(),
            in_flight: Gauge::default(),
            owner_waits: Gauge::default(),
            config_version: Gauge::default(),
            owners_version: Gauge::default(),
            view_age: Gauge::default(),
            lines_left_out: Counter::default(),
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
        let mut routes = lock(&self.routes);
        if routes.contains(route) {
            return route.to_string();
        }
        if routes.len() >= ROUTES_MAX {
            return OTHER_ROUTES.to_string();
        }
        routes.insert(route.to_string());
        route.to_string()
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        encode_registry(&self.registry)
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Finished requests", self.requests.clone());
        r.register_with_unit(
            "request_duration",
            "From a request's head to its answer",
            Unit::Seconds,
            self.seconds.clone(),
        );
        r.register(
            "refusals",
            "Requests that ended without an upstream's answer",
            self.refusals.clone(),
        );
        r.register(
            "attempts_failed",
            "Attempts that failed",
            self.attempts_failed.clone(),
        );
        r.register_with_unit(
            "bodies",
            "Bodies there and back",
            Unit::Bytes,
            self.bytes.clone(),
        );
        r.register(
            "repeats",
            "Requests sent to a further upstream",
            self.repeats.clone(),
        );
        r.register("ejections", "Upstreams passed over", self.ejections.clone());
        r.register("in_flight", "Requests in work", self.in_flight.clone());
        r.register(
            "owner_waits",
            "Requests that wait for their key's owner",
            self.owner_waits.clone(),
        );
        r.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        r.register(
            "owners_version",
            "Version of the table of owners",
            self.owners_version.clone(),
        );
        r.register(
            "view_age_milliseconds",
            "Since the directory's leader confirmed the view",
            self.view_age.clone(),
        );
        r.register(
            "log_lines_left_out",
            "Lines about requests that were left out",
            self.lines_left_out.clone(),
        );
    }
}
