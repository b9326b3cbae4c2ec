//! Settings of one host on a platform that hands addresses to each process.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::duration::parse_ms;

/// How long upstreams hold granted keys, in milliseconds: long enough for an election and a renewal
/// by the new leader, short enough for a lost upstream's keys to be served again within 5 s.
const KEY_HOLD_MAX_MS: u64 = 2_500;
/// The longest time from a request to stop to the end, when the settings name none, in milliseconds.
const DEFAULT_GRACE_MS: u64 = 6_000;

/// Every fault of a settings file, one a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<String>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for Faults {}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Raw {
    host: String,
    zone: String,
    zones: BTreeMap<String, String>,
    peer_address: String,
    callers: String,
    readiness: String,
    operators: String,
    metrics: String,
    seeds: Vec<String>,
    data_folder: Option<String>,
    first_start: bool,
    losses_tolerated: u32,
    hold_max: Option<String>,
    grace: Option<String>,
    retry_ratio: Option<f64>,
    retry_slack: Option<f64>,
    retry_window: Option<String>,
    link_mbps: Option<f64>,
}

/// A host's settings, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The host's name.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Regions by availability zone.
    pub regions_by_zone: BTreeMap<String, String>,
    /// Where this process talks to the others.
    pub peer_address: SocketAddr,
    /// Where callers connect.
    pub caller_address: Option<SocketAddr>,
    /// Where readiness is asked for.
    pub readiness_address: Option<SocketAddr>,
    /// Where upstreams and operators connect.
    pub operator_address: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics_address: Option<SocketAddr>,
    /// Where other processes talk, of hosts that may know the rest. The peer port is the same on all
    /// hosts.
    pub seeds: Vec<SocketAddr>,
    /// Where durable state is kept.
    pub data_folder: Option<PathBuf>,
    /// Whether the deployment starts for the first time.
    pub first_start: bool,
    /// Hosts with a disk that may be lost at once.
    pub losses_tolerated: u32,
    /// How long upstreams hold granted keys, in milliseconds.
    pub hold_ms: u64,
    /// From a request to stop to the end, in milliseconds.
    pub grace_ms: u64,
    /// The bandwidth of the host's link in each direction, in megabits a second, when known.
    pub link_mbps: Option<f64>,
    /// What all entry hosts together may repeat.
    pub retry_limits: crate::gateway::retry::RetryLimits,
}

impl HostSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Every fault of the file.
    pub fn read(path: &Path) -> Result<HostSettings, Faults> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Faults(vec![format!("{}: {e}", path.display())]))?;
        HostSettings::parse(&text)
    }

    /// Checks settings. Fields that this version doesn't know are left out.
    ///
    /// # Errors
    ///
    /// Every fault, in words.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::host::HostSettings;
    ///
    /// let text = r#"{"host": "e1", "zone": "a", "zones": {"a": "north"},
    ///     "peer_address": "10.0.0.1:7540", "callers": "10.0.0.1:80",
    ///     "seeds": ["10.0.0.9:8080"], "hold_max": "10s"}"#;
    /// let settings = HostSettings::parse(text).unwrap();
    /// assert_eq!(settings.seeds[0].port(), 7540);
    /// assert!(HostSettings::parse("{}").unwrap_err().0.len() >= 3);
    /// ```
    pub fn parse(text: &str) -> Result<HostSettings, Faults> {
        let raw: Raw =
            serde_json::from_str(text).map_err(|e| Faults(vec![format!("not readable: {e}")]))?;
        let mut faults = Vec::new();
        if raw.host.is_empty() {
            faults.push("host: is missing".to_string());
        }
        if !raw.zones.contains_key(&raw.zone) {
            faults.push(format!("zone: zones doesn't name {:?}", raw.zone));
        }
        let peer_address = parse_address("peer_address", &raw.peer_address, &mut faults);
        let caller_address = parse_address("callers", &raw.callers, &mut faults);
        let readiness_address = parse_address("readiness", &raw.readiness, &mut faults);
        let operator_address = parse_address("operators", &raw.operators, &mut faults);
        let metrics_address = parse_address("metrics", &raw.metrics, &mut faults);
        if raw.peer_address.is_empty() {
            faults.push("peer_address: is missing".to_string());
        }
        if caller_address.is_none() && operator_address.is_none() && faults.is_empty() {
            faults.push("one of callers and operators must be given".to_string());
        }
        if operator_address.is_some() && raw.data_folder.is_none() {
            faults.push("data_folder: is missing where operators connect".to_string());
        }
        let mut seeds = Vec::new();
        for seed in &raw.seeds {
            let port = peer_address.map_or(0, |a| a.port());
            if let Some(seed) = parse_address("seeds", seed, &mut faults) {
                seeds.push(SocketAddr::new(seed.ip(), port));
            }
        }
        if seeds.is_empty() {
            faults.push("seeds: names no host".to_string());
        }
        let hold_max_ms =
            parse_time("hold_max", &raw.hold_max, &mut faults).unwrap_or(KEY_HOLD_MAX_MS);
        let grace_ms = parse_time("grace", &raw.grace, &mut faults).unwrap_or(DEFAULT_GRACE_MS);
        let window_ms =
            parse_time("retry_window", &raw.retry_window, &mut faults).unwrap_or(10_000);
        let ratio = raw.retry_ratio.unwrap_or(0.1);
        if !(0.0..=1.0).contains(&ratio) {
            faults.push(format!("retry_ratio: {ratio} is not between 0 and 1"));
        }
        if raw.link_mbps.is_some_and(|mbps| mbps <= 0.0) {
            faults.push("link_mbps: must be above 0".to_string());
        }
        let peer_address = match (peer_address, faults.is_empty()) {
            (Some(peer_address), true) => peer_address,
            _ => return Err(Faults(faults)),
        };
        Ok(HostSettings {
            host: raw.host,
            zone: raw.zone,
            regions_by_zone: raw.zones,
            peer_address,
            caller_address,
            readiness_address,
            operator_address,
            metrics_address,
            seeds,
            data_folder: raw.data_folder.map(PathBuf::from),
            first_start: raw.first_start,
            losses_tolerated: raw.losses_tolerated,
            hold_ms: KEY_HOLD_MAX_MS.min(hold_max_ms),
            grace_ms,
            link_mbps: raw.link_mbps,
            retry_limits: crate::gateway::retry::RetryLimits {
                ratio,
                slack: raw.retry_slack.unwrap_or(0.0),
                window_ms,
            },
        })
    }
}

fn parse_address(field: &str, text: &str, faults: &mut Vec<String>) -> Option<SocketAddr> {
    if text.is_empty() {
        return None;
    }
    let parsed = text.parse().ok();
    if parsed.is_none() {
        faults.push(format!("{field}: {text:?} is not IP:PORT"));
    }
    parsed
}

fn parse_time(field: &str, text: &Option<String>, faults: &mut Vec<String>) -> Option<u64> {
    let text = text.as_ref().filter(|t| !t.is_empty())?;
    let parsed = parse_ms(text);
    if parsed.is_none() {
        faults.push(format!(
            "{field}: {text:?} is not a time such as 1500ms or 2s"
        ));
    }
    parsed
}
