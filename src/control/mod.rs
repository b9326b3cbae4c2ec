//! The control daemon: replicas of the cells on one host with a disk.
//!
//! * [`member`]: one cell's replica, from an empty folder to a running voter.
//! * [`install`]: brings decided documents to every cell.

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

use crate::cell::ask::{Ask, Reply};
use crate::cell::replica::Output;
use crate::clock::Clock;
use crate::credentials::Tls;
use crate::document::Document;
use crate::event::{Event, Recorder};
use crate::raft::Membership;
use crate::settings::Deployment;
use crate::transport::{Endpoint, IncomingRequest};
use crate::wire::{FoundingStatus, RaftBatch, Request, Response};

use member::Member;

/// Between two looks at the clock, in milliseconds.
const TICK_MS: u64 = 10;
/// Requests that may wait for the control thread.
const QUEUE_MAX: usize = 4_096;

/// What a control process needs.
#[derive(Debug)]
pub struct Settings {
    /// This host's name.
    pub host: String,
    /// The deployment.
    pub deployment: Deployment,
    /// Certificates.
    pub tls: Tls,
    /// Where replicas are kept.
    pub data_folder: PathBuf,
}

/// Why a process can't start.
#[derive(Debug, PartialEq, Eq)]
pub enum StartError {
    /// The deployment doesn't name this host in that role.
    NotInDeployment(String),
    /// A thread or its runtime can't be made.
    Thread,
    /// The network can't be used.
    Network,
    /// A data folder can't be used.
    Folder,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::NotInDeployment(host) => {
                write!(
                    f,
                    "the deployment names no such host for this program: {host}"
                )
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
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Control {
    /// Starts the control thread and returns once it listens.
    pub fn spawn(settings: Settings, recorder: Recorder) -> Result<Control, Report<StartError>> {
        let (stop, stopped) = watch::channel(false);
        let (ready, started) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("control-state".to_string())
            .spawn(move || run_thread(settings, recorder, stopped, ready))
            .change_context(StartError::Thread)?;
        started.recv().change_context(StartError::Thread)??;
        Ok(Control {
            stop,
            thread: Some(thread),
        })
    }

    /// Stops the process and waits for its thread.
    pub fn stop(mut self) {
        let _ = self.stop.send(true);
        self.join();
    }

    /// Waits until the control thread ends.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

type Started = std::sync::mpsc::Sender<Result<(), Report<StartError>>>;

fn run_thread(
    settings: Settings,
    recorder: Recorder,
    stopped: watch::Receiver<bool>,
    ready: Started,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime.change_context(StartError::Thread) {
        Ok(runtime) => runtime,
        Err(e) => {
            let _ = ready.send(Err(e));
            return;
        }
    };
    runtime.block_on(async move {
        match Core::open(settings, recorder) {
            Ok((core, rx)) => {
                let _ = ready.send(Ok(()));
                core.run(rx, stopped).await;
            }
            Err(e) => {
                let _ = ready.send(Err(e));
            }
        }
    });
}

/// What reaches the control thread's loop.
#[derive(Debug)]
pub enum Input {
    /// Messages between replicas.
    Raft(RaftBatch),
    /// A request to a cell.
    Ask(CellAsk),
    /// Whether a cell was founded here.
    Founding(String, oneshot::Sender<Option<FoundingStatus>>),
    /// The membership of a cell as known here.
    Membership(String, oneshot::Sender<Option<Membership>>),
    /// The newest decided document, when this host leads the cell.
    Newest(String, oneshot::Sender<Option<Document>>),
    /// Identities of a cell's founders, all of which have empty folders.
    Founders(String, Vec<member::Founder>),
}

/// A request to a cell and where its answer goes.
#[derive(Debug)]
pub struct CellAsk {
    /// The cell.
    pub cell: String,
    /// The request.
    pub ask: Ask,
    /// Where the answer goes.
    pub tx: oneshot::Sender<Reply>,
}

struct Core {
    settings: Settings,
    clock: Clock,
    endpoint: Endpoint,
    recorder: Recorder,
    tx: mpsc::Sender<Input>,
    members: BTreeMap<String, Member>,
}

impl Core {
    fn open(
        settings: Settings,
        recorder: Recorder,
    ) -> Result<(Core, mpsc::Receiver<Input>), Report<StartError>> {
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
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        let core = Core {
            settings,
            clock,
            endpoint,
            recorder,
            tx,
            members,
        };
        Ok((core, rx))
    }

    async fn run(mut self, mut rx: mpsc::Receiver<Input>, mut stopped: watch::Receiver<bool>) {
        self.recorder.record(Event::ProcessStarted {
            role: "control".to_string(),
            version: env!("CARGO_PKG_VERSION").to_string(),
        });
        self.spawn_tasks();
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = stopped.changed() => break,
                _ = tick.tick() => self.tick(),
                input = rx.recv() => {
                    let Some(input) = input else { break };
                    self.take(input);
                }
            }
        }
        self.recorder
            .record(Event::ProcessStopping { in_flight: 0 });
        self.endpoint.close();
    }

    fn spawn_tasks(&self) {
        let endpoint = self.endpoint.clone();
        let server = Server {
            endpoint: endpoint.clone(),
            tx: self.tx.clone(),
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
            tokio::spawn(member::introduce(
                member.introduction(cell, &self.settings),
                self.endpoint.clone(),
                self.tx.clone(),
            ));
        }
        tokio::spawn(install::run(
            self.endpoint.clone(),
            self.settings.deployment.clone(),
            self.tx.clone(),
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
            self.finish(&cell, output);
        }
    }

    fn take(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Raft(batch) => {
                let Some(member) = self.members.get_mut(&batch.cell) else {
                    return;
                };
                member.learn_hosts(&batch);
                let output = member.replica.receive(batch.messages, now);
                self.finish(&batch.cell, output);
            }
            Input::Ask(ask) => {
                let Some(member) = self.members.get_mut(&ask.cell) else {
                    let _ = ask.tx.send(Reply::NotLeader(None));
                    return;
                };
                if !member.admits(&ask.ask) {
                    let _ = ask.tx.send(Reply::NotLeader(None));
                    return;
                }
                let output = member.replica.ask(vec![(ask.ask, ask.tx)], now);
                self.finish(&ask.cell, output);
            }
            Input::Founding(cell, tx) => {
                let _ = tx.send(self.members.get(&cell).map(Member::founding));
            }
            Input::Membership(cell, tx) => {
                let member = self.members.get(&cell);
                let _ = tx.send(member.map(|m| m.replica.raft().membership().clone()));
            }
            Input::Newest(cell, tx) => {
                let leading = self.members.get(&cell).filter(|m| m.replica.leads());
                let newest = leading.map(|m| m.replica.state().newest.clone());
                let _ = tx.send(newest.filter(|d| d.number > 0));
            }
            Input::Founders(cell, founders) => {
                let Some(member) = self.members.get_mut(&cell) else {
                    return;
                };
                if let Err(e) = member.found(&self.settings, &founders, now) {
                    self.refuse_folder(&cell, &e.current_context().to_string());
                    return;
                }
                self.recorder.record(Event::CellFounded {
                    cell,
                    voters: founders.into_iter().map(|f| f.host).collect(),
                });
            }
        }
    }

    /// Sends what a step handed out; a replica whose disk fails is taken out of service.
    fn finish(
        &mut self,
        cell: &str,
        output: Result<Output<oneshot::Sender<Reply>>, Report<crate::storage::StorageError>>,
    ) {
        let output = match output {
            Ok(output) => output,
            Err(e) => {
                self.refuse_folder(cell, &e.current_context().to_string());
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
        for (host, messages) in member.by_host(output.messages) {
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

    fn refuse_folder(&mut self, cell: &str, reason: &str) {
        self.members.remove(cell);
        self.recorder.record(Event::FolderRefused {
            cell: cell.to_string(),
            reason: reason.to_string(),
        });
    }
}

#[derive(Clone)]
struct Server {
    endpoint: Endpoint,
    tx: mpsc::Sender<Input>,
    recorder: Recorder,
}

impl Server {
    async fn serve(&self, incoming: IncomingRequest) {
        let response = match incoming.request {
            Request::Raft(batch) => {
                let _ = self.tx.send(Input::Raft(batch)).await;
                return;
            }
            Request::Cell(req) => self.ask(req.cell, req.request).await,
            Request::FoundingStatus(cell) => self.founding(cell).await,
            Request::Timeline => Response::Timeline(self.recorder.recent()),
            Request::Ping => Response::Ack,
            _ => Response::Unsupported,
        };
        if let Some(mut tx) = incoming.tx {
            self.answer(&mut tx, response).await;
        }
    }

    async fn ask(&self, cell: String, ask: Ask) -> Response {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Ask(CellAsk { cell, ask, tx })).await;
        Response::Cell(rx.await.unwrap_or(Reply::NotLeader(None)))
    }

    async fn founding(&self, cell: String) -> Response {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Input::Founding(cell, tx)).await;
        match rx.await {
            Ok(Some(founding)) => Response::FoundingStatus(founding),
            _ => Response::Unsupported,
        }
    }

    async fn answer(&self, tx: &mut SendStream, response: Response) {
        let _ = self.endpoint.send_response(tx, response).await;
    }
}
