//! A day's course, read from logs: rates, latency, refusals, ownership, leadership, configurations.

use std::collections::{BTreeMap, BTreeSet};

use crate::chart::{draw, escape, Series};
use crate::diagnosis::sentence;
use crate::event::{Event, EventRecord};

/// Points of a chart lie this far apart, in milliseconds: gateways count over the same time.
const STEP_MS: u64 = 5_000;
/// Lines of the table of notable events.
const NOTABLE_MAX: usize = 200;

const STYLE: &str = "body{font:14px/1.45 system-ui,sans-serif;max-width:900px;margin:2em auto;\
color:#222}h1{font-size:22px}h2{font-size:16px;margin:1.4em 0 .2em}small{color:#666;font-weight:400}\
svg{width:100%}.grid{stroke:#ddd}text{font-size:11px;fill:#555}.y{text-anchor:end}.x{text-anchor:middle}\
.legend span{margin-right:1.2em}.legend i{display:inline-block;width:12px;height:3px;margin-right:5px;\
vertical-align:middle}table{border-collapse:collapse;width:100%}td{border-top:1px solid #eee;\
padding:2px 8px 2px 0;vertical-align:top}td:first-child{text-align:right;white-space:nowrap}";

type Steps = BTreeMap<u64, f64>;

/// What a page shows.
#[derive(Clone, Debug, Default)]
pub struct Report {
    began_ms: u64,
    ended_ms: u64,
    hosts: BTreeSet<String>,
    rates: BTreeMap<&'static str, Steps>,
    latency: BTreeMap<&'static str, Steps>,
    reasons: BTreeMap<String, Steps>,
    changes: BTreeMap<&'static str, Steps>,
    versions: BTreeMap<String, Vec<(u64, u64)>>,
    notable: Vec<(u64, String, String)>,
}

impl Report {
    /// Reads the events of a day.
    pub fn new(events: &[EventRecord]) -> Report {
        let times = || events.iter().map(|s| s.time.wall_ms);
        let mut report = Report {
            began_ms: times().min().unwrap_or(0),
            ended_ms: times().max().unwrap_or(0),
            ..Report::default()
        };
        for stamped in events {
            report.take(stamped);
        }
        report
    }

    fn take(&mut self, stamped: &EventRecord) {
        let at_ms = stamped.time.wall_ms - self.began_ms;
        let step = at_ms / STEP_MS;
        self.hosts.insert(stamped.host.clone());
        match &stamped.event {
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
                    add(&mut self.rates, name, step, count as f64 / seconds);
                }
                raise(&mut self.latency, "p50, slowest host", step, *p50_ms as f64);
                raise(&mut self.latency, "p99, slowest host", step, *p99_ms as f64);
                for (reason, count) in read_reasons(reasons) {
                    let steps = self.reasons.entry(reason).or_default();
                    *steps.entry(step).or_default() += count as f64 / seconds;
                }
                return;
            }
            Event::KeysAssigned { .. } => add(&mut self.changes, "ranges assigned", step, 1.0),
            Event::CallFailed { .. } => add(&mut self.changes, "calls failed", step, 1.0),
            Event::UpstreamEjected { .. } => {
                add(&mut self.changes, "upstreams passed over", step, 1.0);
            }
            Event::RoutesInForce { version, .. } => {
                let versions = self.versions.entry(stamped.host.clone()).or_default();
                versions.push((at_ms, *version));
                return;
            }
            event if is_notable(event) => {}
            _ => return,
        }
        if is_notable(&stamped.event) && self.notable.len() < NOTABLE_MAX {
            let text = sentence(&stamped.event);
            self.notable.push((at_ms, stamped.host.clone(), text));
        }
    }

    /// Returns the page: one file that fetches nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::report::Report;
    ///
    /// let page = Report::new(&[]).page("an empty day");
    /// assert!(page.starts_with("<!doctype html>") && !page.contains("http"));
    /// ```
    pub fn page(&self, title: &str) -> String {
        let until_s = (self.ended_ms - self.began_ms) as f64 / 1_000.0;
        let mut body = format!(
            "<h1>{}</h1><p>{} hosts, {until_s:.0} s from the first line to the last.</p>",
            escape(title),
            self.hosts.len()
        );
        body += &draw(
            "Requests by outcome",
            "a second, all hosts",
            &lines(&self.rates),
            until_s,
        );
        body += &draw("Latency of answers", "ms", &lines(&self.latency), until_s);
        body += &draw(
            "Refusals and failures",
            "a second",
            &lines(&self.reasons),
            until_s,
        );
        body += &draw(
            "Owners and upstreams",
            "in 5 s",
            &lines(&self.changes),
            until_s,
        );
        let versions = self.in_force(until_s);
        body += &draw("Configuration in force", "version", &versions, until_s);
        body += "<section><h2>Notable events</h2><table>";
        for (at_ms, host, text) in &self.notable {
            body += &format!(
                "<tr><td>{:.3} s</td><td>{}</td><td>{}</td></tr>",
                *at_ms as f64 / 1_000.0,
                escape(host),
                escape(text)
            );
        }
        body += "</table></section>";
        format!(
            "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{}</title>\
             <style>{STYLE}</style></head><body>{body}</body></html>\n",
            escape(title)
        )
    }

    /// Returns the oldest and the newest configuration in force on any host, over time.
    fn in_force(&self, until_s: f64) -> Vec<Series> {
        let mut changes: Vec<(u64, &String, u64)> = Vec::new();
        for (host, versions) in &self.versions {
            changes.extend(versions.iter().map(|(at, version)| (*at, host, *version)));
        }
        changes.sort();
        let mut current: BTreeMap<&String, u64> = BTreeMap::new();
        let mut lines = ["oldest on any host", "newest on any host"].map(|name| Series {
            name: name.to_string(),
            points: Vec::new(),
        });
        for (at_ms, host, version) in changes {
            let at = at_ms as f64 / 1_000.0;
            step_to(&mut lines, &current, at);
            current.insert(host, version);
            step_to(&mut lines, &current, at);
        }
        step_to(&mut lines, &current, until_s);
        lines.to_vec()
    }
}

fn step_to(lines: &mut [Series; 2], current: &BTreeMap<&String, u64>, at: f64) {
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
            | Event::UpstreamDeregistered { .. }
            | Event::DirectoryLost { .. }
            | Event::SettingsChanged { .. }
            | Event::SettingsRefused { .. }
            | Event::RequestsUnlogged { .. }
            | Event::MetricsUnavailable { .. }
    )
}

fn add(map: &mut BTreeMap<&'static str, Steps>, name: &'static str, step: u64, value: f64) {
    *map.entry(name).or_default().entry(step).or_default() += value;
}

fn raise(map: &mut BTreeMap<&'static str, Steps>, name: &'static str, step: u64, value: f64) {
    let highest = map.entry(name).or_default().entry(step).or_default();
    *highest = highest.max(value);
}

/// Returns lines that are at 0 where nothing was counted.
fn lines<K: AsRef<str>>(map: &BTreeMap<K, Steps>) -> Vec<Series> {
    let last = map.values().flat_map(|s| s.keys()).max().copied();
    let series = map.iter().map(|(name, steps)| {
        let points = (0..=last.unwrap_or(0)).map(|step| {
            let at = ((step + 1) * STEP_MS) as f64 / 1_000.0;
            (at, steps.get(&step).copied().unwrap_or(0.0))
        });
        Series {
            name: name.as_ref().to_string(),
            points: points.collect(),
        }
    });
    series.collect()
}

/// Reads `reason: count; reason: count`.
fn read_reasons(text: &str) -> Vec<(String, u64)> {
    let parts = text.split("; ").filter_map(|part| {
        let (reason, count) = part.rsplit_once(": ")?;
        Some((reason.to_string(), count.parse().ok()?))
    });
    parts.collect()
}
