//! Prometheus metrics of an entry process.

use std::fmt;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Registry, Unit};

use crate::exposition::encode_registry;

/// Labels of the request counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service, or `-` if the request names no known service.
    pub service: String,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: String,
}

/// Labels of the byte counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabels {
    /// Why the bytes were sent: `request` or `answer`.
    pub cause: String,
}

/// The metrics of one entry process.
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Seconds from the head of a request to the head of its answer.
    pub request_seconds: Histogram,
    /// Retried requests.
    pub retries: Counter,
    /// Requests refused because upstreams were busy.
    pub shed: Counter,
    /// Bytes sent to other regions, by cause.
    pub cross_region_bytes: Family<CauseLabels, Counter>,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Milliseconds left of the routing lease.
    pub lease_left_ms: Gauge,
    /// Version of the routing table in use.
    pub table_version: Gauge<i64>,
    /// Number of the configuration document in use.
    pub document_number: Gauge<i64>,
    /// Claims held.
    pub claims: Gauge,
    /// Bytes of received updates to the routing table.
    pub update_bytes: Counter<u64, AtomicU64>,
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

impl Metrics {
    /// Returns metrics with all values at zero.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("carobreel"),
            requests: Family::default(),
            request_seconds: Histogram::new(exponential_buckets(0.000_1, 2.0, 18)),
            retries: Counter::default(),
            shed: Counter::default(),
            cross_region_bytes: Family::default(),
            in_flight: Gauge::default(),
            lease_left_ms: Gauge::default(),
            table_version: Gauge::default(),
            document_number: Gauge::default(),
            claims: Gauge::default(),
            update_bytes: Counter::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns all metrics in the OpenMetrics text format.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::metrics::Metrics;
    ///
    /// let metrics = Metrics::new();
    /// metrics.retries.inc();
    /// assert!(metrics.text().contains("carobreel_retries_total 1"));
    /// ```
    pub fn text(&self) -> String {
        encode_registry(&self.registry)
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests of callers", self.requests.clone());
        r.register_with_unit(
            "request_duration",
            "Time from the head of a request to the head of its response",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        r.register("retries", "Retried requests", self.retries.clone());
        r.register(
            "shed",
            "Requests refused because upstreams were busy",
            self.shed.clone(),
        );
        r.register_with_unit(
            "region_link",
            "Data sent to other regions",
            Unit::Bytes,
            self.cross_region_bytes.clone(),
        );
        r.register("in_flight", "Requests in flight", self.in_flight.clone());
        r.register(
            "routing_lease_left_milliseconds",
            "Time left of the routing lease",
            self.lease_left_ms.clone(),
        );
        r.register(
            "table_version",
            "Version of the routing table in use",
            self.table_version.clone(),
        );
        r.register(
            "document_number",
            "Number of the configuration document in use",
            self.document_number.clone(),
        );
        r.register("claims", "Claims held", self.claims.clone());
        r.register_with_unit(
            "table_updates",
            "Updates of the routing table received",
            Unit::Bytes,
            self.update_bytes.clone(),
        );
    }
}
