//! Settings of one host on a platform that assigns addresses to each process.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::duration::parse_ms;

/// Maximum time for which upstreams hold granted keys, in milliseconds: long enough for an election and a
/// renewal by the new leader, short enough for a lost upstream's keys to be served again within 5 s.
const KEY_HOLD_MAX_MS: u64 = 2_500;
/// Default of the maximum time from a request to stop to the end of the process, in milliseconds.
const DEFAULT_GRACE_MS: u64 = 6_000;

/// Default of the memory that a process may use, in MB.
const DEFAULT_MEMORY_MB: u64 = 256;

/// All errors of a settings file. They are displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<String>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl std::error::Error for SettingsErrors {}

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
    memory_mb: Option<u64>,
}

/// The validated settings of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The host's name.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Regions by availability zone.
    pub regions_by_zone: BTreeMap<String, String>,
    /// Address of this process for messages between processes.
    pub peer_address: SocketAddr,
    /// Listen address for callers.
    pub caller_address: Option<SocketAddr>,
    /// Listen address for readiness checks.
    pub readiness_address: Option<SocketAddr>,
    /// Listen address for upstreams and operators.
    pub operator_address: Option<SocketAddr>,
    /// Listen address for metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Peer addresses of hosts at which the directory is searched. The ports in the settings are replaced by
    /// the peer port, which is the same on all hosts.
    pub seeds: Vec<SocketAddr>,
    /// Folder of durable state.
    pub data_folder: Option<PathBuf>,
    /// Whether the deployment starts for the first time.
    pub first_start: bool,
    /// Number of hosts with a disk whose simultaneous loss is tolerated.
    pub losses_tolerated: u32,
    /// Time for which upstreams hold granted keys, in milliseconds.
    pub hold_ms: u64,
    /// Maximum time from a request to stop to the end of the process, in milliseconds.
    pub grace_ms: u64,
    /// Bandwidth of the host's link in each direction, in Mbit/s, if known.
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in MB.
    pub memory_mb: u64,
    /// Limits on the retries of all entry hosts together.
    pub retry_limits: crate::gateway::retry::RetryLimits,
}

impl HostSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// All errors of the file.
    pub fn read(path: &Path) -> Result<HostSettings, SettingsErrors> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsErrors(vec![format!("{}: {e}", path.display())]))?;
        HostSettings::parse(&text)
    }

    /// Parses and validates settings. Unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// All errors of the settings.
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
    pub fn parse(text: &str) -> Result<HostSettings, SettingsErrors> {
        let raw: Raw = serde_json::from_str(text)
            .map_err(|e| SettingsErrors(vec![format!("not readable: {e}")]))?;
        let mut errors = Vec::new();
        if raw.host.is_empty() {
            errors.push("host: is missing".to_string());
        }
        if !raw.zones.contains_key(&raw.zone) {
            errors.push(format!("zone: zones doesn't name {:?}", raw.zone));
        }
        let peer_address = parse_address("peer_address", &raw.peer_address, &mut errors);
        let caller_address = parse_address("callers", &raw.callers, &mut errors);
        let readiness_address = parse_address("readiness", &raw.readiness, &mut errors);
        let operator_address = parse_address("operators", &raw.operators, &mut errors);
        let metrics_address = parse_address("metrics", &raw.metrics, &mut errors);
        if raw.peer_address.is_empty() {
            errors.push("peer_address: is missing".to_string());
        }
        if caller_address.is_none() && operator_address.is_none() && errors.is_empty() {
            errors.push("one of callers and operators must be given".to_string());
        }
        if operator_address.is_some() && raw.data_folder.is_none() {
            errors.push("data_folder: is missing where operators connect".to_string());
        }
        let mut seeds = Vec::new();
        for seed in &raw.seeds {
            let port = peer_address.map_or(0, |a| a.port());
            if let Some(seed) = parse_address("seeds", seed, &mut errors) {
                seeds.push(SocketAddr::new(seed.ip(), port));
            }
        }
        if seeds.is_empty() {
            errors.push("seeds: names no host".to_string());
        }
        let hold_max_ms =
            parse_time("hold_max", &raw.hold_max, &mut errors).unwrap_or(KEY_HOLD_MAX_MS);
        let grace_ms = parse_time("grace", &raw.grace, &mut errors).unwrap_or(DEFAULT_GRACE_MS);
        let window_ms =
            parse_time("retry_window", &raw.retry_window, &mut errors).unwrap_or(10_000);
        let ratio = raw.retry_ratio.unwrap_or(0.1);
        if !(0.0..=1.0).contains(&ratio) {
            errors.push(format!("retry_ratio: {ratio} is not between 0 and 1"));
        }
        if raw.link_mbps.is_some_and(|mbps| mbps <= 0.0) {
            errors.push("link_mbps: must be above 0".to_string());
        }
        let peer_address = match (peer_address, errors.is_empty()) {
            (Some(peer_address), true) => peer_address,
            _ => return Err(SettingsErrors(errors)),
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
            memory_mb: raw.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
            retry_limits: crate::gateway::retry::RetryLimits {
                ratio,
                slack: raw.retry_slack.unwrap_or(0.0),
                window_ms,
            },
        })
    }
}

fn parse_address(field: &str, text: &str, errors: &mut Vec<String>) -> Option<SocketAddr> {
    if text.is_empty() {
        return None;
    }
    let parsed = text.parse().ok();
    if parsed.is_none() {
        errors.push(format!("{field}: {text:?} is not IP:PORT"));
    }
    parsed
}

fn parse_time(field: &str, text: &Option<String>, errors: &mut Vec<String>) -> Option<u64> {
    let text = text.as_ref().filter(|t| !t.is_empty())?;
    let parsed = parse_ms(text);
    if parsed.is_none() {
        errors.push(format!(
            "{field}: {text:?} is not a time such as 1500ms or 2s"
        ));
    }
    parsed
}
