//! The directory on one host with a disk: a replica on a thread of its own, its messages, and the
//! calls to upstreams that it asks for while it leads.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
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
use crate::wire::{Request, Response};

use super::ask::{Ask, Reply};
use super::handle::{Handle, Input, Origin};
use super::lessor::{Call, CallResult};
use super::membership::{founder_id, founding};
use super::metrics::{CallLabels, Metrics};
use super::model::{Incarnation, Phase, Upstream};
use super::peers::Peers;
use super::replica::{Output, Replica, Start, Step, LOG_NAME};
use super::serve::Server;
use super::work::Work;

/// Between two looks at the clock.
const TICK: Duration = Duration::from_millis(25);
/// Between two heartbeats of a leader, in milliseconds.
const HEARTBEAT_MS: u64 = 100;
/// The shortest silence before an election, in milliseconds: several round trips between regions.
const ELECTION_MS: u64 = 600;
/// Requests that may wait for the replica's thread.
const QUEUE_MAX: usize = 4_096;
/// A follower tells the leader this often which upstreams it heard of, in milliseconds: a tenth of the time
/// after which one counts as silent.
const HEARD_EVERY_MS: u64 = 200;
/// It passes announcements with news on to the leader this often, all at once, in milliseconds: little against
/// the second that an upstream waits.
const ANNOUNCED_EVERY_MS: u64 = 40;
/// It passes them on at once when there are this many.
const ANNOUNCED_MAX: usize = 128;
/// Requests, messages and results that are taken at once, before heartbeats are looked at again.
const STEPS_MAX: usize = 256;
/// The leader's answer is awaited this long: it may wait half a second for entry hosts to know of a change.
pub(super) const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// A failed data folder is opened again after this long.
const REOPEN_AFTER: Duration = Duration::from_millis(300);
/// Between two wishes of a replica to be taken into the log.
const JOIN_EVERY: Duration = Duration::from_millis(300);

/// What a directory process needs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where this process talks to the others.
    pub address: SocketAddr,
    /// Where others may be reached at first.
    pub seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// Whether the deployment starts for the first time.
    pub first_start: bool,
    /// Where the replica is kept.
    pub data_folder: PathBuf,
    /// How long an upstream holds granted keys, in milliseconds.
    pub hold_ms: u64,
    /// Voters that the log should have.
    pub voters: usize,
}

/// Makes calls to upstreams about their keys.
pub trait KeyCalls: Send + Sync + 'static {
    /// Makes one call. Nothing is written at or after `until`.
    fn call(&self, call: Call, until: Mono) -> impl Future<Output = CallResult> + Send;
}

/// Why a directory process can't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A thread or its runtime can't be made.
    Thread,
    /// The network can't be used.
    Network,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartError::Thread => "can't start a thread",
            StartError::Network => "can't use the network",
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
    pub fn spawn<C: KeyCalls>(
        settings: Settings,
        tls: Tls,
        calls: C,
        clock: Clock,
        recorder: Recorder,
    ) -> Result<Directory, Report<StartError>> {
        let (stop, stopped) = watch::channel(false);
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        let (ready, started) = std::sync::mpsc::channel();
        let handle = Handle { tx: tx.clone() };
        let metrics = Arc::new(Metrics::new());
        let shown = metrics.clone();
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
                let bound =
                    Endpoint::bind(settings.address, BTreeMap::new(), &tls, recorder.clone());
                let endpoint = match bound.change_context(StartError::Network) {
                    Ok(endpoint) => endpoint,
                    Err(e) => {
                        let _ = ready.send(Err(e));
                        return;
                    }
                };
                let _ = ready.send(Ok(()));
                let own = settings.address.to_string();
                let host = Host {
                    peers: Peers::new(own, endpoint.clone()),
                    settings,
                    endpoint,
                    recorder,
                    clock,
                    tx,
                    calls: Arc::new(calls),
                    metrics: shown,
                    work: Work::default(),
                    hosts: BTreeMap::new(),
                    heard: BTreeSet::new(),
                    announced: Vec::new(),
                };
                host.run(rx, stopped).await;
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

pub(super) type Member = Replica<Storage, oneshot::Sender<Reply>>;

pub(super) struct Host<C> {
    pub(super) settings: Settings,
    pub(super) endpoint: Endpoint,
    recorder: Recorder,
    clock: Clock,
    tx: mpsc::Sender<Input>,
    calls: Arc<C>,
    peers: Peers,
    metrics: Arc<Metrics>,
    work: Work,
    /// Where replicas write from; one that was just taken in knows no membership yet.
    hosts: BTreeMap<ReplicaId, String>,
    /// Upstreams that were heard of here, and of which the leader wasn't told yet.
    pub(super) heard: BTreeSet<Incarnation>,
    /// Announcements with news, of which the leader wasn't told yet.
    pub(super) announced: Vec<(Upstream, oneshot::Sender<Reply>)>,
}

impl<C: KeyCalls> Host<C> {
    async fn run(mut self, mut rx: mpsc::Receiver<Input>, mut stopped: watch::Receiver<bool>) {
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
        let mut is_first = true;
        loop {
            let opened = self.open(std::mem::replace(&mut is_first, false));
            let reason = match opened {
                Ok(member) => match self.drive(member, &mut rx, &mut stopped).await {
                    Ok(()) => break,
                    Err(e) => e.current_context().to_string(),
                },
                Err(e) => {
                    if let StorageError::Corrupt(..) = e.current_context() {
                        self.set_aside(&e.current_context().to_string());
                    }
                    e.current_context().to_string()
                }
            };
            self.metrics.storage_failures.inc();
            self.recorder.record(Event::StorageFailed { reason });
            tokio::time::sleep(REOPEN_AFTER).await;
        }
        self.endpoint.close();
    }

    /// Opens the data folder; founders of a new deployment write the state that they all begin with.
    fn open(&self, is_first: bool) -> Result<Member, Report<StorageError>> {
        let address = self.settings.address;
        let seeds = self.seeds();
        let founds = self.settings.first_start && seeds.contains(&address);
        let fresh = if founds {
            founder_id(address)
        } else {
            ReplicaId(rand::random())
        };
        let (mut storage, mut recovered) = Storage::open(&self.settings.data_folder, fresh)?;
        let is_empty = recovered.log.snapshot().membership.voters.is_empty()
            && recovered.log.last_index() == 0;
        if founds && is_empty {
            let snapshot = founding(&seeds);
            storage.save_snapshot(&snapshot, &[])?;
            recovered.log = Log::new(snapshot, Vec::new());
        }
        if recovered.torn_bytes > 0 {
            self.recorder.record(Event::TornRecord {
                cell: LOG_NAME.to_string(),
                bytes: recovered.torn_bytes,
            });
        }
        let start = Start {
            timing: Timing {
                heartbeat_ms: HEARTBEAT_MS,
                election_ms: ELECTION_MS,
                reserve_ms: 0,
            },
            hold_ms: self.settings.hold_ms,
            voters: self.settings.voters,
            is_first,
            recovered,
            seed: rand::random(),
        };
        Ok(Replica::open(storage, start, self.clock.now()))
    }

    fn set_aside(&self, reason: &str) {
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

    async fn drive(
        &mut self,
        mut member: Member,
        rx: &mut mpsc::Receiver<Input>,
        stopped: &mut watch::Receiver<bool>,
    ) -> Result<(), Report<StorageError>> {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut join_at = self.clock.now().plus(ELECTION_MS);
        let mut heard_at = join_at;
        let mut announced_at = self.clock.now();
        let mut steps = Vec::new();
        self.connect(&member);
        loop {
            tokio::select! {
                _ = stopped.changed() => return Ok(()),
                _ = tick.tick() => {}
                input = rx.recv() => {
                    let Some(input) = input else { return Ok(()) };
                    steps.extend(self.take(&member, input, self.clock.now()));
                    // What else has arrived is stored and answered together with it.
                    while steps.len() < STEPS_MAX {
                        let Ok(input) = rx.try_recv() else { break };
                        steps.extend(self.take(&member, input, self.clock.now()));
                    }
                }
            }
            let now = self.clock.now();
            let output = member.advance(steps.drain(..), now)?;
            self.finish(&member, output);
            self.metrics.observe(&member, now);
            self.work.note_pass(now);
            if now >= announced_at || self.announced.len() >= ANNOUNCED_MAX {
                announced_at = now.plus(ANNOUNCED_EVERY_MS);
                self.tell_announced(&member);
            }
            if now >= heard_at {
                heard_at = now.plus(HEARD_EVERY_MS);
                self.tell_heard(&member);
            }
            let unlogged = self.work.unlogged(now);
            let summary = self.work.summary(&member, &self.endpoint, now);
            for event in unlogged.into_iter().chain(summary) {
                self.recorder.record(event);
            }
            let is_member = member
                .raft()
                .membership()
                .replicas()
                .any(|(id, _)| id == member.raft().id());
            let is_lost = !is_member || member.raft().leader().is_none();
            if is_lost && now >= join_at {
                join_at = now.plus(JOIN_EVERY.as_millis() as u64);
                self.ask_to_join(&member);
            }
        }
    }

    /// Opens connections to the other replicas, so that the first votes don't wait for handshakes.
    fn connect(&self, member: &Member) {
        let own = member.raft().id();
        let replicas = member.raft().membership().replicas();
        for (_, host) in replicas.filter(|(id, _)| *id != own) {
            self.endpoint.connect_to_starting_host(host);
        }
    }

    /// Returns what an input is to the replica, unless another one is to answer it.
    fn take(
        &mut self,
        member: &Member,
        input: Input,
        now: Mono,
    ) -> Option<Step<oneshot::Sender<Reply>>> {
        match input {
            Input::Raft(batch) => {
                for msg in &batch.messages {
                    self.hosts.insert(msg.from, batch.host.clone());
                }
                Some(Step::Messages(batch.messages))
            }
            Input::Ask(ask, origin, tx) => {
                if !member.leads() {
                    match ask {
                        Ask::Announce(upstream) if member.may_confirm(&upstream, now) => {
                            self.heard.insert(upstream.incarnation);
                            let _ = tx.send(Reply::Done);
                        }
                        Ask::Announce(upstream) if upstream.phase == Phase::Ready => {
                            self.announced.push((upstream, tx));
                        }
                        ask => self.forward(member, ask, origin, tx),
                    }
                    return None;
                }
                Some(Step::Ask(ask, tx))
            }
            Input::Called(call, result) => {
                let labels = CallLabels {
                    order: call.order.name(),
                    result: result.name(),
                };
                self.metrics.calls.get_or_create(&labels).inc();
                if self.work.note_result(&result) {
                    self.recorder.record(Event::CallFailed {
                        number: call.number,
                        upstream: call.upstream.clone(),
                        address: call.address.to_string(),
                        order: call.order.name().to_string(),
                        from: call.from,
                        to: call.to,
                        fence: call.fence,
                        result: result.name().to_string(),
                    });
                }
                Some(Step::Called(call.number, result))
            }
        }
    }

    /// Passes a request on to the leader. Another process is only told where that is.
    pub(super) fn forward(
        &self,
        member: &Member,
        ask: Ask,
        origin: Origin,
        tx: oneshot::Sender<Reply>,
    ) {
        let own = self.settings.address.to_string();
        let leader = member.leader_host().filter(|host| *host != own);
        let Some(leader) = leader else {
            let _ = tx.send(Reply::NotLeader(None));
            return;
        };
        if origin == Origin::Elsewhere {
            let _ = tx.send(Reply::NotLeader(Some(leader)));
            return;
        }
        let endpoint = self.endpoint.clone();
        tokio::spawn(async move {
            let request = Request::Directory(ask);
            let reply = match endpoint.call(&leader, request, FORWARD_TIMEOUT).await {
                Ok(Response::Directory(reply)) => reply,
                // The caller asks again, here or elsewhere; every request bears that.
                Ok(_) | Err(_) => Reply::NotLeader(None),
            };
            let _ = tx.send(reply);
        });
    }

    /// Sends what a step handed out.
    fn finish(&mut self, member: &Member, output: Output<oneshot::Sender<Reply>>) {
        self.work.note_output(&output);
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
            let mut replicas = member.raft().membership().replicas();
            let known = replicas.find(|(id, _)| *id == msg.to);
            let host = known.map(|(_, host)| host.clone());
            if let Some(host) = host.or_else(|| self.hosts.get(&msg.to).cloned()) {
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
                let _ = tx.send(Input::Called(call, result)).await;
            });
        }
    }
}
