//! Metrics of a directory process.

use std::fmt;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::clock::Mono;
use crate::exposition::encode_registry;

use super::replica::Replica;

/// Labels of the results of calls to upstreams about their keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// `grant` or `release`.
    pub order: &'static str,
    /// `done`, `fenced`, `not_sent`, `lease_ended`, `elsewhere` or `unanswered`.
    pub result: &'static str,
}

/// All metrics of one directory process.
pub struct Metrics {
    registry: Registry,
    leads: Gauge,
    term: Gauge,
    committed: Gauge,
    log_entries: Gauge,
    config_version: Gauge,
    owners_version: Gauge,
    upstreams: Gauge,
    evacuated_zones: Gauge,
    evacuations_version: Gauge,
    cold_upstreams: Gauge,
    late_heartbeats: Gauge,
    voters: Gauge,
    waiting: Gauge,
    lease_left: Gauge,
    services_outside_regions: Gauge,
    /// Finished calls to upstreams about their keys.
    pub calls: Family<CallLabels, Counter>,
    /// Key ranges that were assigned to an owner, counted by the leader.
    pub keys_assigned: Counter,
    /// Failures of the data folder.
    pub storage_failures: Counter,
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
    /// Returns metrics at zero.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::metrics::Metrics;
    ///
    /// let metrics = Metrics::new();
    /// metrics.storage_failures.inc();
    /// assert!(metrics.text().contains("carobreel_directory_storage_failures_total 1"));
    /// ```
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("carobreel_directory"),
            leads: Gauge::default(),
            term: Gauge::default(),
            committed: Gauge::default(),
            log_entries: Gauge::default(),
            config_version: Gauge::default(),
            owners_version: Gauge::default(),
            upstreams: Gauge::default(),
            evacuated_zones: Gauge::default(),
            evacuations_version: Gauge::default(),
            cold_upstreams: Gauge::default(),
            late_heartbeats: Gauge::default(),
            voters: Gauge::default(),
            waiting: Gauge::default(),
            lease_left: Gauge::default(),
            services_outside_regions: Gauge::default(),
            calls: Family::default(),
            keys_assigned: Counter::default(),
            storage_failures: Counter::default(),
        };
        metrics.register();
        metrics
    }

    /// Sets the gauges from the state of a replica.
    pub fn observe<S: crate::cell::store::Store, T>(&self, replica: &Replica<S, T>, now: Mono) {
        let raft = replica.raft();
        let log = raft.log();
        let state = replica.state();
        self.leads.set(i64::from(replica.leads()));
        self.term.set(raft.term() as i64);
        self.committed.set(raft.commit_index() as i64);
        let entries = log.last_index().saturating_sub(log.snapshot().index);
        self.log_entries.set(entries as i64);
        self.config_version.set(state.config_version() as i64);
        self.owners_version.set(state.versions.owners as i64);
        self.upstreams.set(state.upstreams.len() as i64);
        self.evacuated_zones.set(state.evacuated_zones.len() as i64);
        self.evacuations_version
            .set(state.versions.evacuations as i64);
        let (cold, late) = replica.cold_counts();
        self.cold_upstreams.set(cold as i64);
        self.late_heartbeats.set(late as i64);
        self.voters.set(raft.membership().voters.len() as i64);
        self.waiting.set(replica.pending_requests() as i64);
        self.lease_left.set(replica.lease_left_ms(now) as i64);
        self.services_outside_regions
            .set(replica.services_outside_regions() as i64);
    }

    /// Returns all metrics in the text exposition format.
    pub fn text(&self) -> String {
        encode_registry(&self.registry)
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        let gauges = [
            (
                "leads",
                "1 while this replica is the leader, otherwise 0",
                &self.leads,
            ),
            ("term", "Current term of this replica", &self.term),
            (
                "committed",
                "Log index of the newest committed entry",
                &self.committed,
            ),
            (
                "log_entries",
                "Log entries since the last snapshot",
                &self.log_entries,
            ),
            (
                "config_version",
                "Version of the newest applied configuration",
                &self.config_version,
            ),
            (
                "owners_version",
                "Version of the owners of keys",
                &self.owners_version,
            ),
            ("upstreams", "Registered upstreams", &self.upstreams),
            (
                "evacuated_zones",
                "Evacuated availability zones",
                &self.evacuated_zones,
            ),
            (
                "evacuations_version",
                "Log index of the newest change of the evacuated zones",
                &self.evacuations_version,
            ),
            (
                "cold_upstreams",
                "Cold upstreams with a limit for that reason, at the leader",
                &self.cold_upstreams,
            ),
            (
                "late_heartbeats",
                "Heartbeats since the election that came after a newer one and left their upstreams cold",
                &self.late_heartbeats,
            ),
            (
                "voters",
                "Voters in the membership of the log",
                &self.voters,
            ),
            (
                "waiting",
                "Requests that wait for a reply of this leader",
                &self.waiting,
            ),
            (
                "lease_left_milliseconds",
                "Time left to answer and grant without hearing from a majority",
                &self.lease_left,
            ),
            (
                "services_outside_regions",
                "Services whose keys have owners in any region, since the regions that their routes allow have \
                 no upstream",
                &self.services_outside_regions,
            ),
        ];
        for (name, help, gauge) in gauges {
            r.register(name, help, gauge.clone());
        }
        r.register(
            "calls",
            "Finished calls to upstreams about their keys",
            self.calls.clone(),
        );
        r.register(
            "keys_assigned",
            "Key ranges that were assigned to an owner",
            self.keys_assigned.clone(),
        );
        r.register(
            "storage_failures",
            "Failures of the data folder",
            self.storage_failures.clone(),
        );
    }
}
