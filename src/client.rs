//! Asks the leader of a cell, whichever control host that is.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::cell::ask::{Ask, Reply};
use crate::settings::{Cell, Deployment};
use crate::transport::Endpoint;
use crate::wire::{CellRequest, Request, Response};

/// The least time that one try may take, in milliseconds.
const TRY_MS: u64 = 1_200;
/// The pause before the hosts are tried again, in milliseconds.
const PAUSE_MS: u64 = 50;

/// Why a cell gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreachable;

/// Talks to one cell; clones share what is known of its leader.
#[derive(Clone, Debug)]
pub struct CellClient {
    endpoint: Endpoint,
    cell: String,
    hosts: Vec<String>,
    leader: Arc<Mutex<Option<String>>>,
}

impl CellClient {
    /// Returns a client for a cell.
    pub fn new(endpoint: Endpoint, cell: &Cell) -> CellClient {
        CellClient {
            endpoint,
            cell: cell.region.clone(),
            hosts: cell.voters.clone(),
            leader: Arc::default(),
        }
    }

    /// Returns a client for each cell of a deployment, in the regions' order.
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

    /// Asks the leader, looking for it until `patience` is over.
    ///
    /// # Errors
    ///
    /// [`Unreachable`] when no leader answered; the request may have been carried out.
    pub async fn ask(&self, ask: Ask, patience: Duration) -> Result<Reply, Unreachable> {
        let search = self.search(ask);
        let found = tokio::time::timeout(patience, search).await;
        found.map_err(|_| Unreachable)
    }

    async fn search(&self, ask: Ask) -> Reply {
        loop {
            let mut order = self.hosts.clone();
            if let Some(leader) = self.known_leader() {
                order.retain(|h| *h != leader);
                order.insert(0, leader);
            }
            for host in order {
                match self.ask_host(&host, ask.clone()).await {
                    Some(Reply::NotLeader(Some(leader))) if leader != host => {
                        self.set_leader(Some(leader));
                        break;
                    }
                    Some(Reply::NotLeader(_)) | None => self.forget_leader(&host),
                    Some(reply) => {
                        self.set_leader(Some(host));
                        return reply;
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }

    /// Asks one host; `None` when it gave no answer.
    pub async fn ask_host(&self, host: &str, ask: Ask) -> Option<Reply> {
        let request = Request::Cell(CellRequest {
            cell: self.cell.clone(),
            ask,
        });
        let timeout = Duration::from_millis(TRY_MS);
        match self.endpoint.call(host, request, timeout).await {
            Ok(Response::Cell(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Returns the control hosts of the cell.
    pub fn hosts(&self) -> &[String] {
        &self.hosts
    }

    fn known_leader(&self) -> Option<String> {
        match self.leader.lock() {
            Ok(leader) => leader.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    fn set_leader(&self, host: Option<String>) {
        match self.leader.lock() {
            Ok(mut leader) => *leader = host,
            Err(poisoned) => *poisoned.into_inner() = host,
        }
    }

    fn forget_leader(&self, host: &str) {
        if self.known_leader().as_deref() == Some(host) {
            self.set_leader(None);
        }
    }
}
