//! Settings of a deployment and of a process, read from JSON files.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::raft;
use crate::schema::{self, FileKind, ValidationErrors};

/// Intervals shared by all processes of a deployment, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Interval between two heartbeats of a cell's leader.
    pub heartbeat_ms: u64,
    /// Minimum election timeout; the maximum is twice as long.
    pub election_ms: u64,
    /// Duration of a lease; its holder counts it from before the request was sent.
    pub lease_ms: u64,
    /// Margin for clock drift that the leader adds to a lease before it considers the lease expired.
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
    /// Returns the intervals of the replicated log. A witness, which is a voter outside the cell's region,
    /// gets a longer election timeout, so that a host of the region leads if possible.
    pub fn raft_timing(&self, is_witness: bool) -> raft::Timing {
        raft::Timing {
            heartbeat_ms: self.heartbeat_ms,
            election_ms: self.election_ms,
            election_delay_ms: if is_witness { 2 * self.election_ms } else { 0 },
        }
    }

    /// Returns the time after which the leader considers a lease expired, in milliseconds.
    pub fn lease_expiry_ms(&self) -> u64 {
        self.lease_ms + self.lease_margin_ms
    }
}

/// Limits of request processing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Timeout of a request that doesn't state one, in milliseconds.
    pub default_timeout_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: usize,
    /// Maximum number of requests that wait for one upstream at one entry host.
    pub queue_per_upstream: usize,
    /// Maximum number of retries per hundred requests.
    pub retry_percent: u32,
    /// Time that a claimed request id is kept, in milliseconds.
    pub claim_lifetime_ms: u64,
    /// Maximum rate at which one entry host sends to other regions, in bytes per second.
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
    /// Name of the region.
    pub name: String,
    /// Names of its availability zones.
    pub availability_zones: Vec<String>,
}

/// A host with a disk that runs replicas of cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlHost {
    /// Name of the host.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Address on which other processes reach it over QUIC.
    pub peer_address: SocketAddr,
}

/// A host that serves callers, upstreams and operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryHost {
    /// Name of the host.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Address on which other processes reach it over QUIC.
    pub peer_address: SocketAddr,
    /// Address on which callers reach it over HTTP.
    pub caller_address: SocketAddr,
    /// Address on which upstreams and operators reach it over HTTP.
    pub admin_address: SocketAddr,
}

/// The replicated log that assigns slots in one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// Name of the region.
    pub region: String,
    /// Control hosts that are the initial voters.
    pub voters: Vec<String>,
}

/// Settings shared by all processes of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// The regions; the first one's cell decides the numbers of configuration documents.
    pub regions: Vec<Region>,
    /// The control hosts.
    pub control_hosts: Vec<ControlHost>,
    /// The entry hosts.
    pub entry_hosts: Vec<EntryHost>,
    /// The cells, one per region.
    pub cells: Vec<Cell>,
    /// Intervals.
    #[serde(default)]
    pub timing: Timing,
    /// Limits of request processing.
    #[serde(default)]
    pub limits: Limits,
}

impl Deployment {
    /// Parses and validates a deployment.
    ///
    /// # Errors
    ///
    /// All errors in the text, each with its location.
    pub fn parse(text: &str) -> Result<Deployment, ValidationErrors> {
        let value = schema::parse(FileKind::Deployment, text)?;
        let deployment: Deployment = decode(value)?;
        let mut errors = ValidationErrors::default();
        deployment.check_names(&mut errors);
        deployment.check_availability_zones(&mut errors);
        deployment.check_cells(&mut errors);
        deployment.check_timing(&mut errors);
        errors.into_result(deployment)
    }

    /// Reads and validates a deployment file.
    pub fn read(path: &Path) -> Result<Deployment, ValidationErrors> {
        Deployment::parse(&read_text(path)?)
    }

    /// Returns the name of the region that contains an availability zone.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        let region = self
            .regions
            .iter()
            .find(|r| r.availability_zones.iter().any(|z| z == zone))?;
        Some(&region.name)
    }

    /// Returns the names of the regions in their configured order.
    pub fn region_names(&self) -> Vec<String> {
        self.regions.iter().map(|r| r.name.clone()).collect()
    }

    /// Returns the control host with a name.
    pub fn control_host(&self, name: &str) -> Option<&ControlHost> {
        self.control_hosts.iter().find(|h| h.name == name)
    }

    /// Returns the entry host with a name.
    pub fn entry_host(&self, name: &str) -> Option<&EntryHost> {
        self.entry_hosts.iter().find(|h| h.name == name)
    }

    /// Returns the QUIC addresses of all hosts by name.
    pub fn peer_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let control = self.control_hosts.iter().map(|h| (&h.name, h.peer_address));
        let entry = self.entry_hosts.iter().map(|h| (&h.name, h.peer_address));
        control
            .chain(entry)
            .map(|(name, address)| (name.clone(), address))
            .collect()
    }

    fn check_names(&self, errors: &mut ValidationErrors) {
        let mut seen = BTreeSet::new();
        let control = self
            .control_hosts
            .iter()
            .map(|h| ("control_hosts", &h.name));
        let entry = self.entry_hosts.iter().map(|h| ("entry_hosts", &h.name));
        for (list, name) in control.chain(entry) {
            if !seen.insert(name) {
                errors.push(format!("/{list}"), format!("'{name}' is named twice"));
            }
        }
    }

    fn check_availability_zones(&self, errors: &mut ValidationErrors) {
        let control = self.control_hosts.iter().map(|h| &h.availability_zone);
        let entry = self.entry_hosts.iter().map(|h| &h.availability_zone);
        let control = control.enumerate().map(|(i, z)| ("control_hosts", i, z));
        let entry = entry.enumerate().map(|(i, z)| ("entry_hosts", i, z));
        for (list, i, zone) in control.chain(entry) {
            if self.region_of(zone).is_none() {
                errors.push(
                    format!("/{list}/{i}/availability_zone"),
                    format!("'{zone}' is in no region; expected one listed under /regions"),
                );
            }
        }
    }

    fn check_cells(&self, errors: &mut ValidationErrors) {
        for (i, cell) in self.cells.iter().enumerate() {
            if !self.regions.iter().any(|r| r.name == cell.region) {
                let message = format!("'{}' is not a region", cell.region);
                errors.push(format!("/cells/{i}/region"), message);
            }
            for (j, voter) in cell.voters.iter().enumerate() {
                if self.control_host(voter).is_none() {
                    let message = format!("'{voter}' is not a control host");
                    errors.push(format!("/cells/{i}/voters/{j}"), message);
                }
            }
        }
        for region in &self.regions {
            let count = self.cells.iter().filter(|c| c.region == region.name);
            if count.count() != 1 {
                let message = format!("expected exactly one cell for region '{}'", region.name);
                errors.push("/cells", message);
            }
        }
    }

    fn check_timing(&self, errors: &mut ValidationErrors) {
        if self.timing.heartbeat_ms * 3 > self.timing.election_ms {
            errors.push("/timing/election_ms", "expected 3 heartbeats or more");
        }
        if self.timing.election_ms * 3 > self.timing.lease_ms {
            errors.push("/timing/lease_ms", "expected 3 times election_ms or more");
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Text for a terminal.
    Terminal,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Name of the host in the deployment.
    pub name: String,
    /// Path of the deployment file, relative to this file.
    pub deployment: PathBuf,
    /// Folder of this host's certificates and keys, relative to this file.
    pub keys_folder: PathBuf,
    /// Folder in which a control host stores its replicas, relative to this file.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Number of threads that serve requests on an entry host.
    #[serde(default = "traffic_threads_default")]
    pub traffic_threads: usize,
    /// Format of log lines.
    #[serde(default)]
    pub log: LogFormat,
}

fn traffic_threads_default() -> usize {
    2
}

impl Process {
    /// Reads a process file; paths in the result are relative to the working directory.
    pub fn read(path: &Path) -> Result<Process, ValidationErrors> {
        let value = schema::parse(FileKind::Process, &read_text(path)?)?;
        let mut process: Process = decode(value)?;
        let parent_folder = path.parent().unwrap_or(Path::new(""));
        process.deployment = parent_folder.join(&process.deployment);
        process.keys_folder = parent_folder.join(&process.keys_folder);
        process.data_folder = process.data_folder.map(|f| parent_folder.join(f));
        Ok(process)
    }
}

fn decode<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, ValidationErrors> {
    serde_json::from_value(value).map_err(|e| {
        let mut errors = ValidationErrors::default();
        errors.push("", e.to_string());
        errors
    })
}

/// Reads a text file; an I/O error is reported as an error of the whole file.
pub fn read_text(path: &Path) -> Result<String, ValidationErrors> {
    fs::read_to_string(path).map_err(|e| {
        let mut errors = ValidationErrors::default();
        errors.push("", format!("can't read {}: {e}", path.display()));
        errors
    })
}
