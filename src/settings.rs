//! Settings of a deployment and of one process, read from JSON.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::raft;
use crate::schema::{self, Faults, FileKind};

/// Intervals that all processes of a deployment share, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Between two heartbeats of a cell's leader.
    pub heartbeat_ms: u64,
    /// The shortest silence after which an election begins; the longest is twice that.
    pub election_ms: u64,
    /// How long a lease lasts, counted by its holder from before it asked.
    pub lease_ms: u64,
    /// What the leader adds to a lease before it counts it as over: clock drift.
    pub lease_margin_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_ms: 100,
            election_ms: 500,
            lease_ms: 2_000,
            lease_margin_ms: 200,
        }
    }
}

impl Timing {
    /// Returns the intervals of the replicated log; a witness leaves the lead to the region's hosts.
    pub fn raft_timing(&self, is_witness: bool) -> raft::Timing {
        raft::Timing {
            heartbeat_ms: self.heartbeat_ms,
            election_ms: self.election_ms,
            election_delay_ms: if is_witness { 2 * self.election_ms } else { 0 },
        }
    }

    /// Returns how long the leader holds a lease that it gave, in milliseconds.
    pub fn lease_expiry_ms(&self) -> u64 {
        self.lease_ms + self.lease_margin_ms
    }
}

/// Bounds of the request path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The deadline of a request that names none, in milliseconds.
    pub default_timeout_ms: u64,
    /// The largest request body, in bytes.
    pub body_bytes_max: usize,
    /// Requests that may wait for one upstream at one entry host.
    pub queue_per_upstream: usize,
    /// Retries allowed for each hundred requests.
    pub retry_percent: u32,
    /// How long a claimed request id is remembered, in milliseconds.
    pub claim_lifetime_ms: u64,
    /// Bytes a second that one entry host may send to other regions.
    pub region_link_bytes_per_second: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            default_timeout_ms: 10_000,
            body_bytes_max: 4 << 20,
            queue_per_upstream: 64,
            retry_percent: 10,
            claim_lifetime_ms: 600_000,
            region_link_bytes_per_second: 400_000,
        }
    }
}

/// A region and its availability zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region's name.
    pub name: String,
    /// Its availability zones.
    pub availability_zones: Vec<String>,
}

/// A host with a disk that holds replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlHost {
    /// The host's name.
    pub name: String,
    /// Where it stands.
    pub availability_zone: String,
    /// Where other processes reach it over QUIC.
    pub peer_address: SocketAddr,
}

/// A host that callers, upstreams and operators reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHost {
    /// The host's name.
    pub name: String,
    /// Where it stands.
    pub availability_zone: String,
    /// Where other processes reach it over QUIC.
    pub peer_address: SocketAddr,
    /// Where callers reach it over HTTP.
    pub caller_address: SocketAddr,
    /// Where upstreams and operators reach it over HTTP.
    pub admin_address: SocketAddr,
}

/// The replicated log that decides for one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// The region.
    pub region: String,
    /// The control hosts that found it.
    pub voters: Vec<String>,
}

/// Everything that the processes of one deployment share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The deployment's name.
    pub name: String,
    /// The regions; the first one's cell numbers the configuration documents.
    pub regions: Vec<Region>,
    /// The hosts with a disk.
    pub control_hosts: Vec<ControlHost>,
    /// The entry hosts.
    pub entry_hosts: Vec<EntryHost>,
    /// One cell a region.
    pub cells: Vec<Cell>,
    /// Intervals.
    #[serde(default)]
    pub timing: Timing,
    /// Bounds of the request path.
    #[serde(default)]
    pub limits: Limits,
}

impl Deployment {
    /// Parses and checks a deployment.
    ///
    /// # Errors
    ///
    /// Every fault of the text, each with its place.
    pub fn parse(text: &str) -> Result<Deployment, Faults> {
        let value = schema::parse(FileKind::Deployment, text)?;
        let deployment: Deployment = decode(value)?;
        let mut faults = Faults::default();
        deployment.check_names(&mut faults);
        deployment.check_availability_zones(&mut faults);
        deployment.check_cells(&mut faults);
        deployment.check_timing(&mut faults);
        faults.into_result(deployment)
    }

    /// Reads a deployment's file.
    pub fn read(path: &Path) -> Result<Deployment, Faults> {
        Deployment::parse(&read_text(path)?)
    }

    /// Returns the region of an availability zone.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        let region = self
            .regions
            .iter()
            .find(|r| r.availability_zones.iter().any(|z| z == zone))?;
        Some(&region.name)
    }

    /// Returns the names of the regions in their order.
    pub fn region_names(&self) -> Vec<String> {
        self.regions.iter().map(|r| r.name.clone()).collect()
    }

    /// Returns a control host by name.
    pub fn control_host(&self, name: &str) -> Option<&ControlHost> {
        self.control_hosts.iter().find(|h| h.name == name)
    }

    /// Returns an entry host by name.
    pub fn entry_host(&self, name: &str) -> Option<&EntryHost> {
        self.entry_hosts.iter().find(|h| h.name == name)
    }

    /// Returns the QUIC address of every host by name.
    pub fn peer_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let control = self.control_hosts.iter().map(|h| (&h.name, h.peer_address));
        let entry = self.entry_hosts.iter().map(|h| (&h.name, h.peer_address));
        control
            .chain(entry)
            .map(|(name, address)| (name.clone(), address))
            .collect()
    }

    fn check_names(&self, faults: &mut Faults) {
        let mut seen = BTreeSet::new();
        let control = self
            .control_hosts
            .iter()
            .map(|h| ("control_hosts", &h.name));
        let entry = self.entry_hosts.iter().map(|h| ("entry_hosts", &h.name));
        for (list, name) in control.chain(entry) {
            if !seen.insert(name) {
                faults.push(format!("/{list}"), format!("'{name}' is named twice"));
            }
        }
    }

    fn check_availability_zones(&self, faults: &mut Faults) {
        let control = self.control_hosts.iter().map(|h| &h.availability_zone);
        let entry = self.entry_hosts.iter().map(|h| &h.availability_zone);
        let control = control.enumerate().map(|(i, z)| ("control_hosts", i, z));
        let entry = entry.enumerate().map(|(i, z)| ("entry_hosts", i, z));
        for (list, i, zone) in control.chain(entry) {
            if self.region_of(zone).is_none() {
                faults.push(
                    format!("/{list}/{i}/availability_zone"),
                    format!("'{zone}' is in no region; expected one listed under /regions"),
                );
            }
        }
    }

    fn check_cells(&self, faults: &mut Faults) {
        for (i, cell) in self.cells.iter().enumerate() {
            if !self.regions.iter().any(|r| r.name == cell.region) {
                let message = format!("'{}' is no region", cell.region);
                faults.push(format!("/cells/{i}/region"), message);
            }
            for (j, voter) in cell.voters.iter().enumerate() {
                if self.control_host(voter).is_none() {
                    let message = format!("'{voter}' is no control host");
                    faults.push(format!("/cells/{i}/voters/{j}"), message);
                }
            }
        }
        for region in &self.regions {
            let count = self.cells.iter().filter(|c| c.region == region.name);
            if count.count() != 1 {
                let message = format!("expected exactly one cell for region '{}'", region.name);
                faults.push("/cells", message);
            }
        }
    }

    fn check_timing(&self, faults: &mut Faults) {
        if self.timing.heartbeat_ms * 3 > self.timing.election_ms {
            faults.push("/timing/election_ms", "expected 3 heartbeats or more");
        }
        if self.timing.election_ms * 3 > self.timing.lease_ms {
            faults.push("/timing/lease_ms", "expected 3 times election_ms or more");
        }
    }
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// For a person at a terminal.
    Terminal,
}

/// What one process needs to find its part in a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// The host's name in the deployment.
    pub name: String,
    /// The deployment's file, relative to this one.
    pub deployment: PathBuf,
    /// The folder with this host's certificates, relative to this file.
    pub keys_folder: PathBuf,
    /// Where a control host keeps its replicas, relative to this file.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Threads for traffic on an entry host.
    #[serde(default = "traffic_threads_default")]
    pub traffic_threads: usize,
    /// How log lines are written.
    #[serde(default)]
    pub log: LogFormat,
}

fn traffic_threads_default() -> usize {
    2
}

impl Process {
    /// Reads a process's file; paths in it come back relative to the working folder.
    pub fn read(path: &Path) -> Result<Process, Faults> {
        let value = schema::parse(FileKind::Process, &read_text(path)?)?;
        let mut process: Process = decode(value)?;
        let base = path.parent().unwrap_or(Path::new(""));
        process.deployment = base.join(&process.deployment);
        process.keys_folder = base.join(&process.keys_folder);
        process.data_folder = process.data_folder.map(|f| base.join(f));
        Ok(process)
    }
}

fn decode<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, Faults> {
    serde_json::from_value(value).map_err(|e| {
        let mut faults = Faults::default();
        faults.push("", e.to_string());
        faults
    })
}

/// Reads a text file; a failure is reported as a fault of the file.
pub fn read_text(path: &Path) -> Result<String, Faults> {
    fs::read_to_string(path).map_err(|e| {
        let mut faults = Faults::default();
        faults.push("", format!("can't read {}: {e}", path.display()));
        faults
    })
}
