//! A whole deployment inside one process, on loopback ports, with stand-in upstreams.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use slog::Logger;

use crate::cell::state::Announcement;
use crate::control::{self, Control};
use crate::credentials;
use crate::document::Document;
use crate::entry::{self, EntryProcess};
use crate::event::Recorder;
use crate::http::{self, HttpRequest, HttpResponse};
use crate::settings::Deployment;
use crate::standin::{self, RunLog, StandIn};

/// Why a deployment can't be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalDeploymentError {
    /// No free ports.
    Ports,
    /// Certificates.
    Keys,
    /// A process.
    Process,
    /// Not ready in time.
    NotReady,
}

impl fmt::Display for LocalDeploymentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LocalDeploymentError::Ports => "no free ports",
            LocalDeploymentError::Keys => "can't make certificates",
            LocalDeploymentError::Process => "a process can't be started",
            LocalDeploymentError::NotReady => "the deployment isn't ready in time",
        })
    }
}

impl std::error::Error for LocalDeploymentError {}

/// Upstreams of one service.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The service; upstreams are named after it and labelled `service=NAME`.
    pub service: String,
    /// How many.
    pub count: usize,
    /// Requests that each works on at once.
    pub slots: u32,
    /// Connections that each accepts.
    pub connections: u32,
    /// Whether they refuse requests that their grants don't cover.
    pub checks_fences: bool,
    /// How long a request takes.
    pub service_time: Duration,
}

/// A running deployment.
#[derive(Debug)]
pub struct LocalDeployment {
    /// The deployment with its ports filled in.
    pub deployment: Deployment,
    /// Control processes by host.
    pub control_processes: BTreeMap<String, Control>,
    /// Entry processes by host.
    pub entry_processes: BTreeMap<String, EntryProcess>,
    /// Stand-ins by name.
    pub standins: BTreeMap<String, StandIn>,
    /// What the stand-ins ran.
    pub run_log: RunLog,
    folder: PathBuf,
    token: String,
    logger: Logger,
}

/// Gives every host of a deployment free loopback ports.
pub fn assign_ports(deployment: &mut Deployment) -> Result<(), Report<LocalDeploymentError>> {
    for host in &mut deployment.control_hosts {
        host.peer_address = free_udp()?;
    }
    for host in &mut deployment.entry_hosts {
        host.peer_address = free_udp()?;
        host.caller_address = free_tcp()?;
        host.admin_address = free_tcp()?;
    }
    Ok(())
}

/// Ports that the system doesn't give to outgoing connections, so that none is taken in between.
const PORT_RANGE: std::ops::Range<u32> = 10_000..30_000;
/// Ports that one process goes through before the next one's begin.
const PORTS_PER_PROCESS: u32 = 97;

/// Returns a loopback port that this process didn't use before.
fn free_port(
    is_free: impl Fn(SocketAddr) -> bool,
) -> Result<SocketAddr, Report<LocalDeploymentError>> {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in PORT_RANGE {
        let index = NEXT_OFFSET.fetch_add(1, Ordering::SeqCst);
        let offset = first.wrapping_add(index) % (PORT_RANGE.end - PORT_RANGE.start);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, (PORT_RANGE.start + offset) as u16));
        if is_free(address) {
            return Ok(address);
        }
    }
    Err(Report::new(LocalDeploymentError::Ports))
}

fn free_udp() -> Result<SocketAddr, Report<LocalDeploymentError>> {
    free_port(|address| UdpSocket::bind(address).is_ok())
}

fn free_tcp() -> Result<SocketAddr, Report<LocalDeploymentError>> {
    free_port(|address| TcpListener::bind(address).is_ok())
}

impl LocalDeployment {
    /// Starts all processes of a deployment; certificates and data are kept under `folder`.
    pub fn spawn(
        mut deployment: Deployment,
        folder: &Path,
        logger: Logger,
    ) -> Result<LocalDeployment, Report<LocalDeploymentError>> {
        assign_ports(&mut deployment)?;
        let hosts: Vec<String> = deployment.peer_addresses().into_keys().collect();
        let keys_folder = folder.join("keys");
        credentials::generate(&keys_folder, &hosts, false)
            .change_context(LocalDeploymentError::Keys)?;
        let token =
            credentials::read_token(&keys_folder).change_context(LocalDeploymentError::Keys)?;
        let mut local = LocalDeployment {
            deployment,
            control_processes: BTreeMap::new(),
            entry_processes: BTreeMap::new(),
            standins: BTreeMap::new(),
            run_log: RunLog::default(),
            folder: folder.to_path_buf(),
            token,
            logger,
        };
        for host in local.deployment.control_hosts.clone() {
            local.start_control(&host.name)?;
        }
        for host in local.deployment.entry_hosts.clone() {
            local.start_entry(&host.name)?;
        }
        Ok(local)
    }

    /// Starts a control process; its data folder is kept between starts.
    pub fn start_control(&mut self, host: &str) -> Result<(), Report<LocalDeploymentError>> {
        let tls = credentials::read_tls(&self.folder.join("keys"), host)
            .change_context(LocalDeploymentError::Keys)?;
        let settings = control::Settings {
            host: host.to_string(),
            deployment: self.deployment.clone(),
            tls,
            data_folder: self.data_folder(host),
        };
        let recorder = Recorder::new(host, self.logger.clone());
        let control =
            Control::spawn(settings, recorder).change_context(LocalDeploymentError::Process)?;
        self.control_processes.insert(host.to_string(), control);
        Ok(())
    }

    /// Starts an entry process.
    pub fn start_entry(&mut self, host: &str) -> Result<(), Report<LocalDeploymentError>> {
        let tls = credentials::read_tls(&self.folder.join("keys"), host)
            .change_context(LocalDeploymentError::Keys)?;
        let settings = entry::Settings {
            host: host.to_string(),
            deployment: self.deployment.clone(),
            tls,
            token: self.token.clone(),
            traffic_threads: 1,
        };
        let recorder = Recorder::new(host, self.logger.clone());
        let entry = EntryProcess::spawn(settings, recorder)
            .change_context(LocalDeploymentError::Process)?;
        self.entry_processes.insert(host.to_string(), entry);
        Ok(())
    }

    /// Stops an entry process, which finishes what it has in flight.
    pub fn stop_entry(&mut self, host: &str) {
        if let Some(entry) = self.entry_processes.remove(host) {
            entry.stop();
        }
    }

    /// Stops a control process.
    pub fn stop_control(&mut self, host: &str) {
        if let Some(control) = self.control_processes.remove(host) {
            control.stop();
        }
    }

    /// Returns where a control host keeps its replicas.
    pub fn data_folder(&self, host: &str) -> PathBuf {
        self.folder.join("data").join(host)
    }

    /// Starts the upstreams of a service, spread over the availability zones.
    pub async fn start_fleet(&mut self, fleet: &Fleet) -> Result<(), Report<LocalDeploymentError>> {
        let regions = self.deployment.regions.iter();
        let zones: Vec<String> = regions.flat_map(|r| r.availability_zones.clone()).collect();
        for n in 0..fleet.count {
            let zone = &zones[n % zones.len()];
            let name = format!("{}-{n}", fleet.service);
            self.start_standin(fleet, &name, zone).await?;
        }
        Ok(())
    }

    /// Starts one upstream.
    pub async fn start_standin(
        &mut self,
        fleet: &Fleet,
        name: &str,
        zone: &str,
    ) -> Result<(), Report<LocalDeploymentError>> {
        let labels = [("service".to_string(), fleet.service.clone())];
        let settings = standin::Settings {
            announcement: Announcement {
                name: name.to_string(),
                instance: 0,
                address: (Ipv4Addr::LOCALHOST, 0).into(),
                availability_zone: zone.to_string(),
                labels: labels.into(),
                slots: fleet.slots,
                connections: fleet.connections,
                checks_fences: fleet.checks_fences,
            },
            admin_addresses: self.admin_addresses(zone),
            service_time: fleet.service_time,
            advertised_address: None,
        };
        let standin = StandIn::spawn(settings, self.run_log.clone())
            .await
            .change_context(LocalDeploymentError::Process)?;
        self.standins.insert(name.to_string(), standin);
        Ok(())
    }

    /// Returns the callers' addresses of all entry hosts.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.deployment.entry_hosts.iter();
        hosts.map(|h| h.caller_address).collect()
    }

    /// Sends an operator's request to the first entry host.
    pub async fn send_operator_request(&self, call: HttpRequest) -> Option<HttpResponse> {
        let host = self.deployment.entry_hosts.first()?;
        let call = call.header("authorization", &format!("Bearer {}", self.token));
        http::send(host.admin_address, call).await.ok()
    }

    /// Applies a document until it is accepted.
    pub async fn apply(&self, document: &Document, timeout: Duration) -> bool {
        let text = serde_json::to_string(document).unwrap_or_default();
        let started = Instant::now();
        while started.elapsed() < timeout {
            let call = HttpRequest::post("/v1/documents", text.clone());
            if let Some(answer) = self.send_operator_request(call).await {
                if answer.status.is_success() {
                    return true;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Waits until every entry host answers `path`.
    pub async fn wait_until_served(&self, path: &str, timeout: Duration) -> bool {
        let started = Instant::now();
        for address in self.caller_addresses() {
            loop {
                let call = HttpRequest::get(path).timeout(Duration::from_secs(2));
                let answer = http::send(address, call).await;
                if answer.is_ok_and(|a| a.header("carobreel-outcome") == "answered") {
                    break;
                }
                if started.elapsed() > timeout {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        true
    }

    /// Stops everything.
    pub fn stop(mut self) {
        for standin in self.standins.values() {
            standin.kill();
        }
        for entry in std::mem::take(&mut self.entry_processes).into_values() {
            entry.stop();
        }
        for control in std::mem::take(&mut self.control_processes).into_values() {
            control.stop();
        }
    }

    /// Returns admin addresses of the entry hosts of a zone's region, those of the zone first.
    pub fn admin_addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let region = self.deployment.region_of(zone);
        let mut hosts: Vec<_> = self
            .deployment
            .entry_hosts
            .iter()
            .filter(|h| self.deployment.region_of(&h.availability_zone) == region)
            .collect();
        hosts.sort_by_key(|h| h.availability_zone != zone);
        hosts.into_iter().map(|h| h.admin_address).collect()
    }
}
