//! Sends requests to the leader of a cell, on whichever control host it runs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::cell::replica::RENEWAL_WAIT_MAX_MS;
use crate::cell::request::{LeaderRequest, Reply};
use crate::clock::{Clock, Mono};
use crate::settings::{Cell, Deployment};
use crate::transport::Endpoint;
use crate::wire::{CellRequest, Request, Response};

/// The timeout of a request that isn't held, in milliseconds: the minimum time without a leader's heartbeat
/// before another one may be elected.
const ANSWER_TIMEOUT_MS: u64 = 500;
/// How long a host that didn't answer is skipped while others are available, in milliseconds: the time of a
/// routing lease, within which a frozen leader is replaced.
const SILENT_HOST_PAUSE_MS: u64 = 2_000;
/// The pause before the hosts are tried again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 50;

/// No leader of the cell answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreachable;

/// A client of one cell. Clones share the known state of its control hosts.
#[derive(Clone, Debug)]
pub struct CellClient {
    endpoint: Endpoint,
    cell: String,
    clock: Clock,
    control_hosts: Arc<Mutex<ControlHosts>>,
}

/// The control hosts of a cell and the order in which to try them.
///
/// ```
/// use carobreel::client::ControlHosts;
/// use carobreel::clock::Mono;
///
/// let hosts = ["c-1", "c-2"].map(String::from);
/// let mut control_hosts = ControlHosts::new(hosts.to_vec());
/// control_hosts.set_leader("c-2");
/// assert_eq!(control_hosts.by_preference(Mono(0)), ["c-2", "c-1"]);
/// control_hosts.record_answer("c-2", true, Mono(5));
/// control_hosts.record_timeout("c-2", Mono(0), Mono(500));
/// assert_eq!(control_hosts.by_preference(Mono(501)), ["c-2", "c-1"], "it answered a later request");
/// control_hosts.record_timeout("c-2", Mono(6), Mono(506));
/// assert_eq!(control_hosts.by_preference(Mono(507)), ["c-1"]);
/// control_hosts.record_answer("c-1", false, Mono(510));
/// assert_eq!(control_hosts.by_preference(Mono(3_000)), ["c-1", "c-2"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ControlHosts {
    hosts: Vec<String>,
    leader: Option<String>,
    answered_at: BTreeMap<String, Mono>,
    silent_until: BTreeMap<String, Mono>,
}

impl ControlHosts {
    /// Returns hosts without any known state.
    pub fn new(hosts: Vec<String>) -> ControlHosts {
        ControlHosts {
            hosts,
            ..ControlHosts::default()
        }
    }

    /// Returns the hosts in the order in which to try them: the leader, then those that answered most
    /// recently. Hosts that didn't answer lately are left out unless that applies to all.
    pub fn by_preference(&self, now: Mono) -> Vec<String> {
        let mut hosts = self.hosts.clone();
        if hosts.iter().any(|h| !self.is_silent(h, now)) {
            hosts.retain(|h| !self.is_silent(h, now));
        }
        let leader = self.leader.as_ref();
        let answered_at = |h: &String| self.answered_at.get(h).copied();
        hosts.sort_by_key(|h| (leader != Some(h), Reverse(answered_at(h))));
        hosts
    }

    /// Sets the host that is taken for the leader.
    pub fn set_leader(&mut self, host: &str) {
        self.leader = Some(host.to_string());
    }

    /// Records an answer of a host and whether the host leads.
    pub fn record_answer(&mut self, host: &str, leads: bool, now: Mono) {
        self.answered_at.insert(host.to_string(), now);
        self.silent_until.remove(host);
        if leads {
            self.set_leader(host);
        } else {
            self.clear_leader(host);
        }
    }

    /// Records that a host didn't answer a request sent at `asked_at`. A host that has answered another
    /// request since then is slow but not silent.
    pub fn record_timeout(&mut self, host: &str, asked_at: Mono, now: Mono) {
        if self.answered_at.get(host).is_some_and(|at| *at >= asked_at) {
            return;
        }
        self.silent_until
            .insert(host.to_string(), now.plus(SILENT_HOST_PAUSE_MS));
        self.clear_leader(host);
    }

    /// Reports whether a host didn't answer lately.
    pub fn is_silent(&self, host: &str, now: Mono) -> bool {
        self.silent_until.get(host).is_some_and(|t| *t > now)
    }

    fn clear_leader(&mut self, host: &str) {
        if self.leader.as_deref() == Some(host) {
            self.leader = None;
        }
    }
}

impl CellClient {
    /// Returns a client of a cell.
    pub fn new(endpoint: Endpoint, cell: &Cell) -> CellClient {
        CellClient {
            endpoint,
            cell: cell.region.clone(),
            clock: Clock::start(),
            control_hosts: Arc::new(Mutex::new(ControlHosts::new(cell.voters.clone()))),
        }
    }

    /// Returns a client of each cell of a deployment, in the order of the regions.
    pub fn all(endpoint: &Endpoint, deployment: &Deployment) -> Vec<CellClient> {
        let regions = deployment.regions.iter();
        let cells = regions.filter_map(|r| deployment.cells.iter().find(|c| c.region == r.name));
        cells
            .map(|cell| CellClient::new(endpoint.clone(), cell))
            .collect()
    }

    /// Returns the cell's region.
    pub fn cell(&self) -> &str {
        &self.cell
    }

    /// Sends a request to the leader, searching for it until `timeout` is over.
    ///
    /// # Errors
    ///
    /// [`Unreachable`] if no leader answered; the request may have been carried out.
    pub async fn ask(
        &self,
        request: LeaderRequest,
        timeout: Duration,
    ) -> Result<Reply, Unreachable> {
        let asking = self.ask_leader(request);
        let found = tokio::time::timeout(timeout, asking).await;
        found.map_err(|_| Unreachable)
    }

    async fn ask_leader(&self, request: LeaderRequest) -> Reply {
        loop {
            let hosts = self.control_hosts().by_preference(self.clock.now());
            for host in hosts {
                let asked_at = self.clock.now();
                match self.ask_host(&host, request.clone()).await {
                    Some(Reply::NotLeader(leader)) => {
                        let now = self.clock.now();
                        self.control_hosts().record_answer(&host, false, now);
                        let other = leader.filter(|l| *l != host);
                        if other.is_some_and(|leader| self.accept_leader_hint(&leader)) {
                            break;
                        }
                    }
                    Some(reply) => {
                        let now = self.clock.now();
                        self.control_hosts().record_answer(&host, true, now);
                        return reply;
                    }
                    None => {
                        let now = self.clock.now();
                        self.control_hosts().record_timeout(&host, asked_at, now);
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }

    /// Sets the leader that a host named, unless that one didn't answer lately. Returns whether it was set.
    fn accept_leader_hint(&self, leader: &str) -> bool {
        let mut control_hosts = self.control_hosts();
        if control_hosts.is_silent(leader, self.clock.now()) {
            return false;
        }
        control_hosts.set_leader(leader);
        true
    }

    /// Sends a request to one host; returns `None` if it didn't answer in time.
    pub async fn ask_host(&self, host: &str, request: LeaderRequest) -> Option<Reply> {
        let timeout_ms = match request {
            LeaderRequest::Renew(_) => RENEWAL_WAIT_MAX_MS + ANSWER_TIMEOUT_MS,
            _ => ANSWER_TIMEOUT_MS,
        };
        let request = Request::Cell(CellRequest {
            cell: self.cell.clone(),
            request,
        });
        let timeout = Duration::from_millis(timeout_ms);
        match self.endpoint.call(host, request, timeout).await {
            Ok(Response::Cell(reply)) => Some(reply),
            _ => None,
        }
    }

    fn control_hosts(&self) -> MutexGuard<'_, ControlHosts> {
        match self.control_hosts.lock() {
            Ok(control_hosts) => control_hosts,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}
