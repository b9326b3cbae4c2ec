//! The control daemon: runs this host's replicas of the cells.
//!
//! * [`member`]: one cell's replica, from bootstrap to a running voter.
//! * [`install`]: installation of decided documents in every cell.

pub mod install;
pub mod member;

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use quinn::SendStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use crate::cell::replica::Output;
use crate::cell::request::{LeaderRequest, Reply};
use crate::clock::Clock;
use crate::credentials::Tls;
use crate::document::Document;
use crate::event::{Event, Recorder};
use crate::raft::Membership;
use crate::settings::Deployment;
use crate::transport::{Endpoint, IncomingRequest};
use crate::wire::{FoundingStatus, RaftBatch, Request, Response};

use member::Member;

/// Interval in which the replicas' timers are advanced, in milliseconds.
const TICK_INTERVAL_MS: u64 = 10;
/// Maximum number of inputs queued for the control thread.
const INPUT_QUEUE_MAX: usize = 4_096;

/// Settings of a control process.
#[derive(Debug)]
pub struct Settings {
    /// Name of this host.
    pub host: String,
    /// The deployment.
    pub deployment: Deployment,
    /// Certificates and keys for connections between processes.
    pub tls: Tls,
    /// Folder in which the replicas are stored.
    pub data_folder: PathBuf,
}

/// Reason why a process can't start.
#[derive(Debug, PartialEq, Eq)]
pub enum StartError {
    /// The deployment doesn't list this host in the role of the program.
    NotInDeployment(String),
    /// A thread or its runtime can't be created.
    Thread,
    /// The peer address can't be bound.
    Network,
    /// A data folder can't be opened.
    Folder,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::NotInDeployment(host) => {
                write!(f, "the deployment lists no host {host} for this program")
            }
            StartError::Thread => f.write_str("can't start a thread"),
            StartError::Network => f.write_str("can't use the network"),
            StartError::Folder => f.write_str("can't use the data folder"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running control process.
#[derive(Debug)]
pub struct Control {
    stop_tx: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Control {
    /// Starts the control thread and returns once it accepts connections.
    pub fn spawn(settings: Settings, recorder: Recorder) -> Result<Control, Report<StartError>> {
        let (stop_tx, stop_rx) = watch::channel(false);
        let (startup_tx, startup_rx) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("control-state".to_string())
            .spawn(move || run_thread(settings, recorder, stop_rx, startup_tx))
            .change_context(StartError::Thread)?;
        startup_rx.recv().change_context(StartError::Thread)??;
        Ok(Control {
            stop_tx,
            thread: Some(thread),
        })
    }

    /// Stops the control thread and waits for it to end.
    pub fn stop(mut self) {
        let _ = self.stop_tx.send(true);
        self.join();
    }

    /// Waits until the control thread ends.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

type StartupSender = std::sync::mpsc::Sender<Result<(), Report<StartError>>>;

fn run_thread(
    settings: Settings,
    recorder: Recorder,
    stop_rx: watch::Receiver<bool>,
    startup_tx: StartupSender,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime.change_context(StartError::Thread) {
        Ok(runtime) => runtime,
        Err(e) => {
            let _ = startup_tx.send(Err(e));
            return;
        }
    };
    runtime.block_on(async move {
        match ControlLoop::open(settings, recorder) {
            Ok((control_loop, rx)) => {
                let _ = startup_tx.send(Ok(()));
                control_loop.run(rx, stop_rx).await;
            }
            Err(e) => {
                let _ = startup_tx.send(Err(e));
            }
        }
    });
}

/// Input of the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// Messages between replicas of a cell.
    Raft(RaftBatch),
    /// A request to a cell's leader.
    LeaderRequest(CellCall),
    /// Queries whether a cell was bootstrapped on this host.
    FoundingStatus(String, oneshot::Sender<Option<FoundingStatus>>),
    /// Queries the membership of a cell as known to this host.
    Membership(String, oneshot::Sender<Option<Membership>>),
    /// Queries the latest decided document; answered if this host leads the cell.
    NewestDocument(String, oneshot::Sender<Option<Document>>),
    /// Bootstraps a cell with these voters, all of which have empty folders.
    Bootstrap(String, Vec<member::InitialVoter>),
}

/// A request to a cell's leader and the channel for its reply.
#[derive(Debug)]
pub struct CellCall {
    /// Region of the cell.
    pub cell: String,
    /// The request.
    pub request: LeaderRequest,
    /// Channel for the reply.
    pub reply_tx: oneshot::Sender<Reply>,
}

struct ControlLoop {
    settings: Settings,
    clock: Clock,
    endpoint: Endpoint,
    recorder: Recorder,
    input_tx: mpsc::Sender<ControlInput>,
    members: BTreeMap<String, Member>,
}

impl ControlLoop {
    fn open(
        settings: Settings,
        recorder: Recorder,
    ) -> Result<(ControlLoop, mpsc::Receiver<ControlInput>), Report<StartError>> {
        let Some(host) = settings.deployment.control_host(&settings.host) else {
            return Err(Report::new(StartError::NotInDeployment(
                settings.host.clone(),
            )));
        };
        let addresses = settings.deployment.peer_addresses();
        let endpoint = Endpoint::bind(
            host.peer_address,
            addresses,
            &settings.tls,
            recorder.clone(),
        )
        .change_context(StartError::Network)?;
        let clock = Clock::start();
        let mut members = BTreeMap::new();
        for cell in &settings.deployment.cells {
            if !cell.voters.contains(&settings.host) {
                continue;
            }
            let member = Member::open(&settings, cell, &recorder, clock.now())
                .change_context(StartError::Folder)?;
            members.insert(cell.region.clone(), member);
        }
        let (input_tx, rx) = mpsc::channel(INPUT_QUEUE_MAX);
        let control_loop = ControlLoop {
            settings,
            clock,
            endpoint,
            recorder,
            input_tx,
            members,
        };
        Ok((control_loop, rx))
    }

    async fn run(
        mut self,
        mut rx: mpsc::Receiver<ControlInput>,
        mut stop_rx: watch::Receiver<bool>,
    ) {
        self.recorder.record(Event::ProcessStarted {
            role: "control".to_string(),
            version: env!("CARGO_PKG_VERSION").to_string(),
        });
        self.spawn_tasks();
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = stop_rx.changed() => break,
                _ = tick.tick() => self.tick(),
                input = rx.recv() => {
                    let Some(input) = input else { break };
                    self.handle_input(input);
                }
            }
        }
        self.recorder
            .record(Event::ProcessStopping { in_flight: 0 });
        self.endpoint.close();
    }

    fn spawn_tasks(&self) {
        let endpoint = self.endpoint.clone();
        let server = PeerServer {
            endpoint: endpoint.clone(),
            input_tx: self.input_tx.clone(),
            recorder: self.recorder.clone(),
        };
        tokio::spawn(async move {
            endpoint
                .accept(move |incoming| {
                    let server = server.clone();
                    async move { server.serve(incoming).await }
                })
                .await;
        });
        for (cell, member) in &self.members {
            tokio::spawn(member::bootstrap_or_join(
                member.join_context(cell, &self.settings),
                self.endpoint.clone(),
                self.input_tx.clone(),
            ));
        }
        tokio::spawn(install::run(
            self.endpoint.clone(),
            self.settings.deployment.clone(),
            self.input_tx.clone(),
        ));
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let cells: Vec<String> = self.members.keys().cloned().collect();
        for cell in cells {
            let Some(member) = self.members.get_mut(&cell) else {
                continue;
            };
            let output = member.replica.tick(now);
            self.dispatch_output(&cell, output);
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        let now = self.clock.now();
        match input {
            ControlInput::Raft(batch) => {
                let Some(member) = self.members.get_mut(&batch.cell) else {
                    return;
                };
                member.record_sender_hosts(&batch);
                let output = member.replica.receive(batch.messages, now);
                self.dispatch_output(&batch.cell, output);
            }
            ControlInput::LeaderRequest(call) => {
                let Some(member) = self.members.get_mut(&call.cell) else {
                    let _ = call.reply_tx.send(Reply::NotLeader(None));
                    return;
                };
                if !member.allows(&call.request) {
                    let _ = call.reply_tx.send(Reply::NotLeader(None));
                    return;
                }
                let output = member
                    .replica
                    .handle_requests(vec![(call.request, call.reply_tx)], now);
                self.dispatch_output(&call.cell, output);
            }
            ControlInput::FoundingStatus(cell, tx) => {
                let _ = tx.send(self.members.get(&cell).map(Member::founding_status));
            }
            ControlInput::Membership(cell, tx) => {
                let member = self.members.get(&cell);
                let _ = tx.send(member.map(|m| m.replica.raft().membership().clone()));
            }
            ControlInput::NewestDocument(cell, tx) => {
                let leader = self.members.get(&cell).filter(|m| m.replica.is_leader());
                let newest = leader.map(|m| m.replica.state().newest_document.clone());
                let _ = tx.send(newest.filter(|d| d.number > 0));
            }
            ControlInput::Bootstrap(cell, initial_voters) => {
                let Some(member) = self.members.get_mut(&cell) else {
                    return;
                };
                if let Err(e) = member.bootstrap(&self.settings, &initial_voters, now) {
                    self.remove_failed_replica(&cell, &e.current_context().to_string());
                    return;
                }
                self.recorder.record(Event::CellFounded {
                    cell,
                    voters: initial_voters.into_iter().map(|v| v.host).collect(),
                });
            }
        }
    }

    /// Sends the messages and replies of a step. A replica whose storage fails is removed.
    fn dispatch_output(
        &mut self,
        cell: &str,
        output: Result<Output<oneshot::Sender<Reply>>, Report<crate::storage::StorageError>>,
    ) {
        let output = match output {
            Ok(output) => output,
            Err(e) => {
                self.remove_failed_replica(cell, &e.current_context().to_string());
                return;
            }
        };
        for event in output.events {
            self.recorder.record(event);
        }
        for (tx, reply) in output.replies {
            let _ = tx.send(reply);
        }
        let Some(member) = self.members.get(cell) else {
            return;
        };
        for (host, messages) in member.group_by_host(output.messages) {
            let batch = RaftBatch {
                cell: cell.to_string(),
                host: self.settings.host.clone(),
                messages,
            };
            let endpoint = self.endpoint.clone();
            tokio::spawn(async move {
                let _ = endpoint.send(&host, Request::Raft(batch)).await;
            });
        }
    }

    fn remove_failed_replica(&mut self, cell: &str, reason: &str) {
        self.members.remove(cell);
        self.recorder.record(Event::FolderRefused {
            cell: cell.to_string(),
            reason: reason.to_string(),
        });
    }
}

#[derive(Clone)]
struct PeerServer {
    endpoint: Endpoint,
    input_tx: mpsc::Sender<ControlInput>,
    recorder: Recorder,
}

impl PeerServer {
    async fn serve(&self, incoming: IncomingRequest) {
        let response = match incoming.request {
            Request::Raft(batch) => {
                let _ = self.input_tx.send(ControlInput::Raft(batch)).await;
                return;
            }
            Request::Cell(req) => self.forward(req.cell, req.request).await,
            Request::FoundingStatus(cell) => self.founding_status(cell).await,
            Request::Timeline => Response::Timeline(self.recorder.recent()),
            Request::Ping => Response::Ack,
            _ => Response::Unsupported,
        };
        if let Some(mut tx) = incoming.tx {
            self.send_response(&mut tx, response).await;
        }
    }

    async fn forward(&self, cell: String, request: LeaderRequest) -> Response {
        let (reply_tx, rx) = oneshot::channel();
        let call = CellCall {
            cell,
            request,
            reply_tx,
        };
        let _ = self.input_tx.send(ControlInput::LeaderRequest(call)).await;
        Response::Cell(rx.await.unwrap_or(Reply::NotLeader(None)))
    }

    async fn founding_status(&self, cell: String) -> Response {
        let (tx, rx) = oneshot::channel();
        let _ = self
            .input_tx
            .send(ControlInput::FoundingStatus(cell, tx))
            .await;
        match rx.await {
            Ok(Some(founding)) => Response::FoundingStatus(founding),
            _ => Response::Unsupported,
        }
    }

    async fn send_response(&self, tx: &mut SendStream, response: Response) {
        let _ = self.endpoint.send_response(tx, response).await;
    }
}
