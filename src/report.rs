//! An HTML report from captured logs: rates, latency, refusals, ownership, leadership and
//! configurations.

use std::collections::{BTreeMap, BTreeSet};

use crate::chart::{escape_html, render_chart, Series};
use crate::diagnosis::describe_event;
use crate::event::{Event, EventRecord};

/// Width of a chart's time buckets, in milliseconds; gateways report their counts at the same
/// interval.
const BUCKET_MS: u64 = 5_000;
/// Maximum number of rows in the table of notable events.
const NOTABLE_EVENTS_MAX: usize = 200;

const STYLE: &str = "body{font:14px/1.45 system-ui,sans-serif;max-width:900px;margin:2em auto;\
color:#222}h1{font-size:22px}h2{font-size:16px;margin:1.4em 0 .2em}small{color:#666;font-weight:400}\
svg{width:100%}.grid{stroke:#ddd}text{font-size:11px;fill:#555}.y{text-anchor:end}.x{text-anchor:middle}\
.legend span{margin-right:1.2em}.legend i{display:inline-block;width:12px;height:3px;margin-right:5px;\
vertical-align:middle}table{border-collapse:collapse;width:100%}td{border-top:1px solid #eee;\
padding:2px 8px 2px 0;vertical-align:top}td:first-child{text-align:right;white-space:nowrap}";

type Buckets = BTreeMap<u64, f64>;

/// The data of a report.
#[derive(Clone, Debug, Default)]
pub struct LogReport {
    start_ms: u64,
    end_ms: u64,
    hosts: BTreeSet<String>,
    outcome_rates: BTreeMap<&'static str, Buckets>,
    latency: BTreeMap<&'static str, Buckets>,
    reason_rates: BTreeMap<String, Buckets>,
    ownership_changes: BTreeMap<&'static str, Buckets>,
    config_versions: BTreeMap<String, Vec<(u64, u64)>>,
    notable_events: Vec<(u64, String, String)>,
}

impl LogReport {
    /// Returns a report on the given events.
    pub fn new(events: &[EventRecord]) -> LogReport {
        let times = || events.iter().map(|s| s.time.wall_ms);
        let mut report = LogReport {
            start_ms: times().min().unwrap_or(0),
            end_ms: times().max().unwrap_or(0),
            ..LogReport::default()
        };
        for record in events {
            report.add_event(record);
        }
        report
    }

    fn add_event(&mut self, record: &EventRecord) {
        let at_ms = record.time.wall_ms - self.start_ms;
        let bucket = at_ms / BUCKET_MS;
        self.hosts.insert(record.host.clone());
        match &record.event {
            Event::TrafficCounted {
                over_ms,
                answered,
                refused,
                failed,
                abandoned,
                p50_ms,
                p99_ms,
                reasons,
                ..
            } => {
                let seconds = (*over_ms as f64 / 1_000.0).max(0.001);
                let counts = [
                    ("answered", *answered),
                    ("refused", *refused),
                    ("failed", *failed),
                    ("abandoned", *abandoned),
                ];
                for (name, count) in counts {
                    add_to_bucket(
                        &mut self.outcome_rates,
                        name,
                        bucket,
                        count as f64 / seconds,
                    );
                }
                raise_bucket(
                    &mut self.latency,
                    "p50, slowest host",
                    bucket,
                    *p50_ms as f64,
                );
                raise_bucket(
                    &mut self.latency,
                    "p99, slowest host",
                    bucket,
                    *p99_ms as f64,
                );
                for (reason, count) in parse_reasons(reasons) {
                    let buckets = self.reason_rates.entry(reason).or_default();
                    *buckets.entry(bucket).or_default() += count as f64 / seconds;
                }
                return;
            }
            Event::KeysAssigned { .. } => {
                add_to_bucket(&mut self.ownership_changes, "ranges assigned", bucket, 1.0)
            }
            Event::CallFailed { .. } => {
                add_to_bucket(&mut self.ownership_changes, "calls failed", bucket, 1.0)
            }
            Event::UpstreamEjected { .. } => {
                add_to_bucket(
                    &mut self.ownership_changes,
                    "upstreams ejected",
                    bucket,
                    1.0,
                );
            }
            Event::RoutesInForce { version, .. } => {
                let config_versions = self.config_versions.entry(record.host.clone()).or_default();
                config_versions.push((at_ms, *version));
                return;
            }
            event if is_notable(event) => {}
            _ => return,
        }
        if is_notable(&record.event) && self.notable_events.len() < NOTABLE_EVENTS_MAX {
            let text = describe_event(&record.event);
            self.notable_events.push((at_ms, record.host.clone(), text));
        }
    }

    /// Renders the report as one self-contained HTML file.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::report::LogReport;
    ///
    /// let page = LogReport::new(&[]).render_html("an empty day");
    /// assert!(page.starts_with("<!doctype html>") && !page.contains("http"));
    /// ```
    pub fn render_html(&self, title: &str) -> String {
        let end_s = (self.end_ms - self.start_ms) as f64 / 1_000.0;
        let mut body = format!(
            "<h1>{}</h1><p>{} hosts, {end_s:.0} s from the first line to the last.</p>",
            escape_html(title),
            self.hosts.len()
        );
        body += &render_chart(
            "Requests by outcome",
            "per second, all hosts",
            &to_series(&self.outcome_rates),
            end_s,
        );
        body += &render_chart("Latency of answers", "ms", &to_series(&self.latency), end_s);
        body += &render_chart(
            "Refusals and failures",
            "per second",
            &to_series(&self.reason_rates),
            end_s,
        );
        body += &render_chart(
            "Owners and upstreams",
            "per 5 s",
            &to_series(&self.ownership_changes),
            end_s,
        );
        let config_versions = self.config_versions_over_time(end_s);
        body += &render_chart("Configuration in force", "version", &config_versions, end_s);
        body += "<section><h2>Notable events</h2><table>";
        for (at_ms, host, text) in &self.notable_events {
            body += &format!(
                "<tr><td>{:.3} s</td><td>{}</td><td>{}</td></tr>",
                *at_ms as f64 / 1_000.0,
                escape_html(host),
                escape_html(text)
            );
        }
        body += "</table></section>";
        format!(
            "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{}</title>\
             <style>{STYLE}</style></head><body>{body}</body></html>\n",
            escape_html(title)
        )
    }

    /// Returns the oldest and the newest configuration version in force on any host, over time.
    fn config_versions_over_time(&self, end_s: f64) -> Vec<Series> {
        let mut version_changes: Vec<(u64, &String, u64)> = Vec::new();
        for (host, config_versions) in &self.config_versions {
            version_changes.extend(
                config_versions
                    .iter()
                    .map(|(at, version)| (*at, host, *version)),
            );
        }
        version_changes.sort();
        let mut current: BTreeMap<&String, u64> = BTreeMap::new();
        let mut lines = ["oldest on any host", "newest on any host"].map(|name| Series {
            name: name.to_string(),
            points: Vec::new(),
        });
        for (at_ms, host, version) in version_changes {
            let at = at_ms as f64 / 1_000.0;
            extend_version_range(&mut lines, &current, at);
            current.insert(host, version);
            extend_version_range(&mut lines, &current, at);
        }
        extend_version_range(&mut lines, &current, end_s);
        lines.to_vec()
    }
}

fn extend_version_range(lines: &mut [Series; 2], current: &BTreeMap<&String, u64>, at: f64) {
    let ends = [current.values().min(), current.values().max()];
    for (line, version) in lines.iter_mut().zip(ends) {
        if let Some(version) = version {
            line.points.push((at, *version as f64));
        }
    }
}

fn is_notable(event: &Event) -> bool {
    matches!(
        event,
        Event::ProcessStarted { .. }
            | Event::ProcessStopping { .. }
            | Event::LeaderElected { .. }
            | Event::LeaderLost { .. }
            | Event::MembershipChanged { .. }
            | Event::FolderRefused { .. }
            | Event::FolderReplaced { .. }
            | Event::StorageFailed { .. }
            | Event::TornRecord { .. }
            | Event::RoutesDecided { .. }
            | Event::RoutesRefused { .. }
            | Event::EvacuationBegun { .. }
            | Event::EvacuationFinished { .. }
            | Event::KeysEvacuated { .. }
            | Event::UpstreamDeregistered { .. }
            | Event::DirectoryLost { .. }
            | Event::SettingsChanged { .. }
            | Event::SettingsRefused { .. }
            | Event::RequestsUnlogged { .. }
            | Event::MetricsUnavailable { .. }
    )
}

fn add_to_bucket(
    map: &mut BTreeMap<&'static str, Buckets>,
    name: &'static str,
    bucket: u64,
    value: f64,
) {
    *map.entry(name).or_default().entry(bucket).or_default() += value;
}

fn raise_bucket(
    map: &mut BTreeMap<&'static str, Buckets>,
    name: &'static str,
    bucket: u64,
    value: f64,
) {
    let highest = map.entry(name).or_default().entry(bucket).or_default();
    *highest = highest.max(value);
}

/// Returns a series for each name, with 0 in buckets without a value.
fn to_series<K: AsRef<str>>(map: &BTreeMap<K, Buckets>) -> Vec<Series> {
    let last = map.values().flat_map(|s| s.keys()).max().copied();
    let series = map.iter().map(|(name, buckets)| {
        let points = (0..=last.unwrap_or(0)).map(|bucket| {
            let at = ((bucket + 1) * BUCKET_MS) as f64 / 1_000.0;
            (at, buckets.get(&bucket).copied().unwrap_or(0.0))
        });
        Series {
            name: name.as_ref().to_string(),
            points: points.collect(),
        }
    });
    series.collect()
}

/// Parses `reason: count; reason: count`.
fn parse_reasons(text: &str) -> Vec<(String, u64)> {
    let parts = text.split("; ").filter_map(|part| {
        let (reason, count) = part.rsplit_once(": ")?;
        Some((reason.to_string(), count.parse().ok()?))
    });
    parts.collect()
}
