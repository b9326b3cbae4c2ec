//! Runs the directory on one host: the replica on a thread of its own, the exchange of its messages, and its
//! calls to upstreams while it leads.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use crate::clock::{Clock, Mono};
use crate::credentials::Tls;
use crate::event::{Event, Recorder};
use crate::lock::lock;
use crate::raft::{Log, Message, ReplicaId, Timing};
use crate::storage::{Storage, StorageError};
use crate::transport::Endpoint;

use super::handle::{DaemonInput, Handle};
use super::helper::RenewalHelper;
use super::lessor::{Call, CallResult};
use super::membership::{founder_id, founding_snapshot};
use super::metrics::{CallLabels, Metrics};
use super::model::{Incarnation, Phase, Upstream};
use super::peers::PeerQueues;
use super::protocol::{DirectoryRequest, Reply};
use super::renewals::SHARED_ABOVE_PER_S;
use super::replica::{Input, Output, Replica, StartOptions, LOG_NAME};
use super::serve::Server;
pub use super::settings::Settings;
use super::stats::LeaderStats;
use super::steering::HeartbeatHosts;

/// The interval at which the replica is advanced without input.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The interval between two heartbeats of a leader, in milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// The minimum election timeout, in milliseconds: several round trips between regions.
const ELECTION_MS: u64 = 600;
/// The maximum number of inputs queued for the replica's thread.
const QUEUE_MAX: usize = 4_096;
/// The interval at which a follower reports confirmed upstreams to the leader, in milliseconds: a tenth of
/// the time after which an upstream counts as silent.
const REPORT_INTERVAL_MS: u64 = 200;
/// The interval between forwarded batches, in milliseconds: short against the second that upstreams wait.
const FORWARD_INTERVAL_MS: u64 = 40;
/// The number of announcements that are forwarded without waiting for the interval.
const FORWARD_BATCH_MAX: usize = 128;
/// The maximum number of inputs processed in one pass, before the time is checked for heartbeats again.
const INPUTS_PER_PASS_MAX: usize = 256;
/// The maximum number of streams of each kind that one process may have open to this one: an entry host has a
/// few, a follower one for each request that it forwards.
pub const STREAMS_PER_PEER_MAX: u32 = 256;
/// The timeout of a forwarded request; the leader may wait half a second for entry hosts to get a change.
pub(super) const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// The delay before a failed data folder is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(300);
/// The interval between two requests of a replica to join the log.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Makes calls to upstreams about their keys.
pub trait GrantTransport: Send + Sync + 'static {
    /// Makes one call. Nothing may be written at or after `until`.
    fn call(&self, call: Call, until: Mono) -> impl Future<Output = CallResult> + Send;
}

/// The reason why a directory process can't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A thread or its runtime can't be created.
    Thread,
    /// The network endpoint can't be opened.
    Network,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartError::Thread => "can't start a thread",
            StartError::Network => "can't open the network endpoint",
        })
    }
}

impl std::error::Error for StartError {}

/// A running directory process.
#[derive(Debug)]
pub struct Directory {
    handle: Handle,
    metrics: Arc<Metrics>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Directory {
    /// Starts the replica's thread and returns once it listens.
    pub fn spawn<C: GrantTransport>(
        settings: Settings,
        tls: Tls,
        calls: C,
        clock: Clock,
        recorder: Recorder,
    ) -> Result<Directory, Report<StartError>> {
        let (stop, stopped) = watch::channel(false);
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        let (ready, started) = std::sync::mpsc::channel();
        let (heartbeat_hosts_tx, heartbeat_hosts) = watch::channel(HeartbeatHosts::default());
        let handle = Handle {
            tx: tx.clone(),
            heartbeat_hosts,
        };
        let metrics = Arc::new(Metrics::new());
        let thread_metrics = metrics.clone();
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(e) => {
                    let report = Report::new(e).change_context(StartError::Thread);
                    let _ = ready.send(Err(report));
                    return;
                }
            };
            runtime.block_on(async move {
                let bound = Endpoint::bind_with_streams(
                    settings.address,
                    BTreeMap::new(),
                    &tls,
                    recorder.clone(),
                    STREAMS_PER_PEER_MAX,
                );
                let endpoint = match bound.change_context(StartError::Network) {
                    Ok(endpoint) => endpoint,
                    Err(e) => {
                        let _ = ready.send(Err(e));
                        return;
                    }
                };
                let _ = ready.send(Ok(()));
                let own_address = settings.address.to_string();
                let (leader_tx, leader_rx) = watch::channel(None);
                let calls = Arc::new(calls);
                let helper = RenewalHelper {
                    own_address: own_address.clone(),
                    endpoint: endpoint.clone(),
                    calls: calls.clone(),
                    clock,
                    tx: tx.clone(),
                };
                tokio::spawn(helper.run(leader_rx));
                let runner = ReplicaRunner {
                    other_leader: leader_tx,
                    heartbeat_hosts: heartbeat_hosts_tx,
                    peers: PeerQueues::new(own_address, endpoint.clone()),
                    settings,
                    endpoint,
                    recorder,
                    clock,
                    tx,
                    calls,
                    metrics: thread_metrics,
                    stats: LeaderStats::default(),
                    addresses: BTreeMap::new(),
                    confirmed: BTreeSet::new(),
                    announcements: Vec::new(),
                };
                runner.run(rx, stopped).await;
            });
        };
        let thread = std::thread::Builder::new()
            .name("directory".to_string())
            .spawn(run)
            .change_context(StartError::Thread)?;
        started.recv().change_context(StartError::Thread)??;
        Ok(Directory {
            handle,
            metrics,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns a handle for requests.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Returns the process's metrics.
    pub fn metrics(&self) -> Arc<Metrics> {
        self.metrics.clone()
    }

    /// Stops the replica and waits for its thread.
    pub fn stop(mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

pub(super) type DiskReplica = Replica<Storage, oneshot::Sender<Reply>>;

pub(super) struct ReplicaRunner<C> {
    pub(super) settings: Settings,
    pub(super) endpoint: Endpoint,
    recorder: Recorder,
    clock: Clock,
    tx: mpsc::Sender<DaemonInput>,
    calls: Arc<C>,
    peers: PeerQueues,
    metrics: Arc<Metrics>,
    stats: LeaderStats,
    /// The leader's address while another host leads.
    pub(super) other_leader: watch::Sender<Option<String>>,
    pub(super) heartbeat_hosts: watch::Sender<HeartbeatHosts>,
    /// The sender addresses of replicas, for a new replica that doesn't know the membership yet.
    addresses: BTreeMap<ReplicaId, String>,
    /// Upstreams whose announcements were confirmed here and not yet reported to the leader.
    pub(super) confirmed: BTreeSet<Incarnation>,
    /// Announcements that can't be confirmed here and weren't forwarded to the leader yet.
    pub(super) announcements: Vec<(Upstream, oneshot::Sender<Reply>)>,
}

impl<C: GrantTransport> ReplicaRunner<C> {
    async fn run(mut self, mut rx: mpsc::Receiver<DaemonInput>, mut stop: watch::Receiver<bool>) {
        let server = Server {
            endpoint: self.endpoint.clone(),
            tx: self.tx.clone(),
        };
        let endpoint = self.endpoint.clone();
        tokio::spawn(async move {
            let serve = move |incoming| {
                let server = server.clone();
                async move { server.serve(incoming).await }
            };
            endpoint.accept(serve).await;
        });
        let mut is_process_start = true;
        loop {
            let opened = self.open(std::mem::replace(&mut is_process_start, false));
            let reason = match opened {
                Ok(replica) => match self.run_replica(replica, &mut rx, &mut stop).await {
                    Ok(()) => break,
                    Err(e) => e.current_context().to_string(),
                },
                Err(e) => {
                    if let StorageError::Corrupt(..) = e.current_context() {
                        self.delete_replica_files(&e.current_context().to_string());
                    }
                    e.current_context().to_string()
                }
            };
            self.metrics.storage_failures.inc();
            self.recorder.record(Event::StorageFailed { reason });
            tokio::time::sleep(REOPEN_DELAY).await;
        }
        self.endpoint.close();
    }

    /// Opens the data folder. Founders of a new deployment store their common initial snapshot.
    fn open(&self, is_process_start: bool) -> Result<DiskReplica, Report<StorageError>> {
        let address = self.settings.address;
        let seeds = self.seeds();
        let is_founder = self.settings.first_start && seeds.contains(&address);
        let new_id = if is_founder {
            founder_id(address)
        } else {
            ReplicaId(rand::random())
        };
        let (mut storage, mut recovered) = Storage::open(&self.settings.data_folder, new_id)?;
        let is_empty = recovered.log.snapshot().membership.voters.is_empty()
            && recovered.log.last_index() == 0;
        if is_founder && is_empty {
            let snapshot = founding_snapshot(&seeds);
            storage.save_snapshot(&snapshot, &[])?;
            recovered.log = Log::new(snapshot, Vec::new());
        }
        if recovered.torn_bytes > 0 {
            self.recorder.record(Event::TornRecord {
                cell: LOG_NAME.to_string(),
                bytes: recovered.torn_bytes,
            });
        }
        let options = StartOptions {
            timing: Timing {
                heartbeat_ms: HEARTBEAT_MS,
                election_ms: ELECTION_MS,
                election_delay_ms: 0,
            },
            hold_ms: self.settings.hold_ms,
            voters: self.settings.voters,
            shared_above_per_s: SHARED_ABOVE_PER_S,
            is_process_start,
            recovered,
            seed: rand::random(),
            regions_by_zone: self.settings.regions_by_zone.clone(),
        };
        Ok(Replica::open(storage, options, self.clock.now()))
    }

    fn delete_replica_files(&self, reason: &str) {
        let folder = &self.settings.data_folder;
        let mut reason = reason.to_string();
        for name in ["identity", "log", "snapshot"] {
            if let Err(e) = std::fs::remove_file(folder.join(name)) {
                reason.push_str(&format!("; {name}: {e}"));
            }
        }
        self.recorder.record(Event::FolderReplaced { reason });
    }

    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        lock(&self.settings.seeds).clone()
    }

    async fn run_replica(
        &mut self,
        mut replica: DiskReplica,
        rx: &mut mpsc::Receiver<DaemonInput>,
        stopped: &mut watch::Receiver<bool>,
    ) -> Result<(), Report<StorageError>> {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut join_at = self.clock.now().plus(ELECTION_MS);
        let mut report_at = join_at;
        let mut forward_at = self.clock.now();
        let mut inputs = Vec::new();
        self.connect_to_peers(&replica);
        loop {
            tokio::select! {
                _ = stopped.changed() => return Ok(()),
                _ = tick.tick() => {}
                input = rx.recv() => {
                    let Some(input) = input else { return Ok(()) };
                    inputs.extend(self.handle_input(&replica, input, self.clock.now()));
                    // Inputs that have arrived meanwhile are stored and answered together.
                    while inputs.len() < INPUTS_PER_PASS_MAX {
                        let Ok(input) = rx.try_recv() else { break };
                        inputs.extend(self.handle_input(&replica, input, self.clock.now()));
                    }
                }
            }
            let now = self.clock.now();
            let output = replica.advance(inputs.drain(..), now)?;
            self.send_output(&replica, output);
            self.metrics.observe(&replica, now);
            self.stats.record_pass(now);
            if now >= forward_at || self.announcements.len() >= FORWARD_BATCH_MAX {
                forward_at = now.plus(FORWARD_INTERVAL_MS);
                self.forward_announcements(&replica);
            }
            if now >= report_at {
                report_at = now.plus(REPORT_INTERVAL_MS);
                self.report_confirmed(&replica);
                self.publish_hosts(&replica, now);
            }
            let unlogged = self.stats.take_unlogged(now);
            let summary = self.stats.summary(&mut replica, &self.endpoint, now);
            for event in unlogged.into_iter().chain(summary) {
                self.recorder.record(event);
            }
            let is_member = replica
                .raft()
                .membership()
                .replicas()
                .any(|(id, _)| id == replica.raft().id());
            let needs_join = !is_member || replica.raft().leader().is_none();
            if needs_join && now >= join_at {
                join_at = now.plus(JOIN_RETRY_INTERVAL.as_millis() as u64);
                self.request_join(&replica);
            }
        }
    }

    /// Converts an input for the replica, or returns `None` if it is answered here or by another process.
    fn handle_input(
        &mut self,
        replica: &DiskReplica,
        input: DaemonInput,
        now: Mono,
    ) -> Option<Input<oneshot::Sender<Reply>>> {
        match input {
            DaemonInput::Raft(batch) => {
                for msg in &batch.messages {
                    self.addresses.insert(msg.from, batch.host.clone());
                }
                Some(Input::Messages(batch.messages))
            }
            DaemonInput::Request(request, origin, tx) => {
                if !replica.leads() {
                    match request {
                        DirectoryRequest::Announce(upstream)
                            if replica.can_confirm(&upstream, now) =>
                        {
                            self.confirmed.insert(upstream.incarnation);
                            let _ = tx.send(Reply::Done);
                        }
                        DirectoryRequest::Announce(upstream) if upstream.phase == Phase::Ready => {
                            self.announcements.push((upstream, tx));
                        }
                        request => self.forward(replica, request, origin, tx),
                    }
                    return None;
                }
                Some(Input::Request(request, tx))
            }
            DaemonInput::CallFinished(call, result) => {
                self.record_call(&call, &result);
                Some(Input::CallFinished(call.id, result))
            }
            DaemonInput::SharedCallFailed(call, result) => {
                self.record_call(&call, &result);
                None
            }
        }
    }

    fn record_call(&mut self, call: &Call, result: &CallResult) {
        let labels = CallLabels {
            order: call.kind.name(),
            result: result.name(),
        };
        self.metrics.calls.get_or_create(&labels).inc();
        if self.stats.count_call_result(result) {
            self.recorder.record(Event::CallFailed {
                term: call.id.term,
                number: call.id.number,
                upstream: call.upstream.clone(),
                address: call.address.to_string(),
                order: call.kind.name().to_string(),
                from: call.from,
                to: call.to,
                fence: call.fence,
                result: result.name().to_string(),
            });
        }
    }

    /// Sends the replica's output.
    fn send_output(&mut self, replica: &DiskReplica, output: Output<oneshot::Sender<Reply>>) {
        self.stats.count_output(&output);
        for event in output.events {
            if let Event::KeysAssigned { .. } = event {
                self.metrics.keys_assigned.inc();
            }
            self.recorder.record(event);
        }
        for (tx, reply) in output.replies {
            let _ = tx.send(reply);
        }
        let mut by_host: BTreeMap<String, Vec<Message>> = BTreeMap::new();
        for msg in output.messages {
            let mut replicas = replica.raft().membership().replicas();
            let known = replicas.find(|(id, _)| *id == msg.to);
            let host = known.map(|(_, host)| host.clone());
            if let Some(host) = host.or_else(|| self.addresses.get(&msg.to).cloned()) {
                by_host.entry(host).or_default().push(msg);
            }
        }
        for (host, messages) in by_host {
            self.peers.send(&host, messages);
        }
        for call in output.calls {
            let calls = self.calls.clone();
            let tx = self.tx.clone();
            let until = output.calls_until;
            tokio::spawn(async move {
                let result = calls.call(call.clone(), until).await;
                let _ = tx.send(DaemonInput::CallFinished(call, result)).await;
            });
        }
    }
}
