//! The control-state thread of an entry host: renews the routing lease, follows the routing table
//! and forwards upstreams' heartbeats.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};

use crate::cell::loads::LoadReport;
use crate::cell::ownership::Grant;
use crate::cell::request::{Heartbeat, LeaderRequest, Renewal, RenewedLease, Reply};
use crate::cell::state::{Command, Outcome, RouterId, SlotPhase, UpstreamId};
use crate::cell::update::Update;
use crate::client::CellClient;
use crate::clock::{Clock, Mono};
use crate::event::{Event, Recorder};
use crate::metrics::Metrics;

use super::claims::ClaimCoordinator;
use super::in_flight::InFlightRequests;
use super::load_meter::LoadMeter;
use super::router::LeaseExpiry;
use super::table::RoutingTable;
use super::upstream::UpstreamClients;

/// How long a request to the cell waits for its answer before it is sent again.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay after a failed renewal, and the interval at which the lease is checked.
const RENEW_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The interval between two load reports, in milliseconds.
const LOAD_REPORT_INTERVAL_MS: u64 = 1_000;
/// How long requests to a revoked owner may go on before they are aborted.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long heartbeats are collected before they are forwarded as one batch.
const HEARTBEAT_BATCH_WINDOW: Duration = Duration::from_millis(10);
/// The most heartbeats in one batch.
const HEARTBEAT_BATCH_MAX: usize = 4_096;
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A heartbeat and the channel for its grant.
pub type PendingHeartbeat = (Heartbeat, oneshot::Sender<Grant>);

/// Represents this process to its cell; clones share the state.
#[derive(Clone, Debug)]
pub struct ControlPlaneClient {
    /// The id of this process.
    pub router: RouterId,
    /// The process's monotonic clock.
    pub clock: Clock,
    /// The client of the region's cell.
    pub cell: CellClient,
    /// Publishes routing tables to the traffic threads.
    pub table: watch::Sender<Arc<RoutingTable>>,
    /// The expiry of the routing lease.
    pub lease: Arc<LeaseExpiry>,
    /// Keyed requests in flight, by owner.
    pub in_flight: InFlightRequests,
    /// Connections, limits and health of the upstreams.
    pub upstreams: UpstreamClients,
    /// Claims of request ids, with the claim replica of this host.
    pub claims: ClaimCoordinator,
    /// Counts requests by slot and key.
    pub load_meter: LoadMeter,
    /// The metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Records events.
    pub recorder: Recorder,
}

impl ControlPlaneClient {
    /// Registers this process with the cell, then recovers this host's claim replica.
    pub async fn register(self) {
        let ask = LeaderRequest::Apply(Command::Register(self.router.clone()));
        loop {
            let answer = self.cell.ask(ask.clone(), RENEW_TIMEOUT).await;
            if let Ok(Reply::Applied(Outcome::Registered { has_predecessor })) = answer {
                self.claims.recover(has_predecessor).await;
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(RENEW_RETRY_DELAY).await;
        }
    }

    /// Renews the routing lease and reports load for as long as the process runs.
    pub async fn renew(self) {
        let mut reported_at = self.clock.now();
        loop {
            let mut loads = Vec::new();
            if self.clock.now().since(reported_at) >= LOAD_REPORT_INTERVAL_MS {
                reported_at = self.clock.now();
                loads = self.load_meter.take_reports();
            }
            self.renew_once(loads).await;
        }
    }

    /// Records when the lease is gained and lost, and aborts keyed requests when it is lost; runs
    /// beside [`ControlPlaneClient::renew`].
    pub async fn watch_lease(self) {
        let mut held = false;
        loop {
            tokio::time::sleep(RENEW_RETRY_DELAY).await;
            let remaining_ms = self.lease.remaining_ms(self.clock.now());
            self.metrics.lease_left_ms.set(remaining_ms as i64);
            self.metrics.claims.set(self.claims.len() as i64);
            if held && remaining_ms == 0 {
                self.abort_all();
                self.recorder.record(Event::RouteLeaseLost {
                    cell: self.cell.cell().to_string(),
                });
            }
            if !held && remaining_ms > 0 {
                self.recorder.record(Event::RouteLeaseGained {
                    cell: self.cell.cell().to_string(),
                    version: self.table.borrow().version,
                });
            }
            held = remaining_ms > 0;
        }
    }

    /// Forwards upstreams' heartbeats to the cell in batches.
    pub async fn forward_heartbeats(
        self,
        heartbeats: Arc<tokio::sync::Mutex<mpsc::Receiver<PendingHeartbeat>>>,
    ) {
        let mut heartbeats = heartbeats.lock().await;
        loop {
            let Some(first) = heartbeats.recv().await else {
                return;
            };
            tokio::time::sleep(HEARTBEAT_BATCH_WINDOW).await;
            let mut batch = vec![first];
            while batch.len() < HEARTBEAT_BATCH_MAX {
                let Ok(heartbeat) = heartbeats.try_recv() else {
                    break;
                };
                batch.push(heartbeat);
            }
            let client = self.clone();
            tokio::spawn(async move { client.forward_batch(batch).await });
        }
    }

    /// Expires the lease here and releases it at the cell.
    pub async fn release_lease(&self) {
        self.lease.expire();
        let ask = LeaderRequest::Release(self.router.clone());
        let _ = self.cell.ask(ask, RENEW_RETRY_DELAY * 5).await;
    }

    async fn forward_batch(&self, batch: Vec<PendingHeartbeat>) {
        let list = batch.iter().map(|(heartbeat, _)| *heartbeat).collect();
        let answer = self
            .cell
            .ask(LeaderRequest::Heartbeats(list), HEARTBEAT_TIMEOUT)
            .await;
        let Ok(Reply::Grants(grants)) = answer else {
            return;
        };
        for ((_, tx), grant) in batch.into_iter().zip(grants) {
            let _ = tx.send(grant);
        }
    }

    async fn renew_once(&self, loads: Vec<LoadReport>) {
        let have = self.table.borrow().version;
        let mut drained = self.in_flight.watch_drained();
        let asked_at = self.clock.now();
        let renewal = Renewal {
            router: self.router.clone(),
            table_version: have,
            drained_version: self.in_flight.drained(),
            loads,
        };
        drained.mark_unchanged();
        let asking = self.cell.ask(LeaderRequest::Renew(renewal), RENEW_TIMEOUT);
        let answer = tokio::select! {
            answer = asking => answer,
            _ = drained.changed() => return,
        };
        match answer {
            Ok(Reply::Renewed(renewed)) => self.accept_renewal(renewed, asked_at),
            _ => tokio::time::sleep(RENEW_RETRY_DELAY).await,
        }
    }

    fn accept_renewal(&self, renewed: RenewedLease, asked_at: Mono) {
        let version = self.table.borrow().version;
        if renewed.update.to_version != version {
            let bytes = postcard::to_stdvec(&renewed.update).map_or(0, |b| b.len());
            self.metrics.update_bytes.inc_by(bytes as u64);
            if !self.apply_update(renewed.update) {
                return;
            }
        }
        self.lease.extend(asked_at.plus(renewed.lease_ms));
    }

    /// Applies an update to the routing table and reports whether it followed the current version;
    /// if not, resets the table.
    fn apply_update(&self, update: Update) -> bool {
        let mut table = RoutingTable::clone(&self.table.borrow());
        let revoked = revoked_owners(&table, &update);
        let number = table.document.number;
        if table.apply(update).is_err() {
            self.table.send_replace(Arc::default());
            return false;
        }
        self.metrics.table_version.set(table.version as i64);
        self.metrics
            .document_number
            .set(table.document.number as i64);
        if table.document.number != number {
            self.recorder.record(Event::DocumentInForce {
                cell: self.cell.cell().to_string(),
                number: table.document.number,
            });
        }
        let version = table.version;
        let now = self.clock.now();
        self.upstreams.apply_table(&table, now);
        self.table.send_replace(Arc::new(table));
        self.in_flight.advance(version, &revoked);
        self.abort_after_drain_timeout(revoked, version);
        true
    }

    /// Aborts the requests that are still at revoked owners after [`DRAIN_TIMEOUT`].
    fn abort_after_drain_timeout(&self, revoked: Vec<UpstreamId>, version: u64) {
        if revoked.is_empty() {
            return;
        }
        let client = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(DRAIN_TIMEOUT).await;
            for id in revoked {
                client.abort(id, version);
            }
        });
    }

    /// Aborts all requests at owners: without a lease the owners may be replaced at any time.
    fn abort_all(&self) {
        let table = self.table.borrow().clone();
        for id in table.upstreams.keys() {
            self.abort(*id, u64::MAX);
        }
    }

    fn abort(&self, id: UpstreamId, version: u64) {
        let count = self.in_flight.abort(id, version);
        if count == 0 {
            return;
        }
        let upstream = self.upstreams.get(id);
        let name = upstream.map_or(format!("#{}", id.0), |u| u.name.clone());
        self.recorder.record(Event::RequestsAborted {
            upstream: name,
            count,
        });
    }
}

/// Returns the upstreams that lose a slot with an update.
fn revoked_owners(table: &RoutingTable, update: &Update) -> Vec<UpstreamId> {
    let mut owners = BTreeSet::new();
    for (name, changes) in &update.slot_tables {
        let Some(slot_table) = table.slot_tables.get(name) else {
            continue;
        };
        for (id, new) in &changes.slots {
            let Some(old) = slot_table.slot(*id).filter(|s| s.phase == SlotPhase::Held) else {
                continue;
            };
            if new.phase != SlotPhase::Held || new.owner != old.owner {
                owners.insert(old.owner);
            }
        }
    }
    owners.into_iter().collect()
}
