//! One cell's replica on this host, from an empty folder to a running voter.
//!
//! A cell is founded once: the voter listed first asks the others for their identities and starts the
//! log only when every folder is empty. A host that comes to a founded cell with a new
//! folder asks the leader for a place under its new identity.

use std::collections::BTreeMap;
use std::time::Duration;

use error_stack::Report;
use tokio::sync::{mpsc, oneshot};

use crate::cell::ownership::RegionPosition;
use crate::cell::replica::{Replica, ReplicaConfig, StartState};
use crate::cell::request::{Join, LeaderRequest, Reply};
use crate::clock::Mono;
use crate::event::{Event, Recorder};
use crate::raft::{Entry, HardState, Log, Membership, Message, Payload, ReplicaId};
use crate::settings::Cell;
use crate::storage::{Storage, StorageError};
use crate::transport::Endpoint;
use crate::wire::{CellRequest, FoundingStatus, RaftBatch, Request, Response};

use super::{Input, Settings};

/// Between two tries to found or to join, in milliseconds.
const JOIN_RETRY_MS: u64 = 500;
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The term of the entry that a founder writes.
const BOOTSTRAP_TERM: u64 = 1;

/// A voter that founds a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialVoter {
    /// Its host.
    pub host: String,
    /// Its identity.
    pub replica: ReplicaId,
}

/// One cell's replica with its surroundings.
pub struct Member {
    /// The replica.
    pub replica: Replica<Storage, oneshot::Sender<Reply>>,
    voters: Vec<String>,
    hosts: BTreeMap<ReplicaId, String>,
    config: ReplicaConfig,
}

impl Member {
    /// Opens this host's folder for a cell.
    pub fn open(
        settings: &Settings,
        cell: &Cell,
        recorder: &Recorder,
        now: Mono,
    ) -> Result<Member, Report<StorageError>> {
        let folder = settings.data_folder.join(&cell.region);
        let (store, recovered) = Storage::open(&folder, ReplicaId(rand::random()))?;
        if recovered.torn_bytes > 0 {
            recorder.record(Event::TornRecord {
                cell: cell.region.clone(),
                bytes: recovered.torn_bytes,
            });
        }
        let deployment = &settings.deployment;
        let host = deployment.control_host(&settings.host);
        let region = host.and_then(|h| deployment.region_of(&h.availability_zone));
        let is_witness = region != Some(cell.region.as_str());
        let mut regions = deployment.regions.iter();
        let config = ReplicaConfig {
            cell: cell.region.clone(),
            host: settings.host.clone(),
            region: RegionPosition {
                index: regions.position(|r| r.name == cell.region).unwrap_or(0),
                count: deployment.regions.len(),
            },
            raft: deployment.timing.raft_timing(is_witness),
            lease: deployment.timing.into(),
        };
        let start = StartState {
            id: recovered.identity.replica,
            hard: recovered.hard,
            log: recovered.log,
            seed: rand::random(),
        };
        Ok(Member {
            replica: Replica::open(config.clone(), store, start, now),
            voters: cell.voters.clone(),
            hosts: BTreeMap::new(),
            config,
        })
    }

    /// Remembers where replicas are that the membership doesn't name.
    pub fn record_sender_hosts(&mut self, batch: &RaftBatch) {
        for msg in &batch.messages {
            self.hosts.insert(msg.from, batch.host.clone());
        }
    }

    /// Tells whether a request may be taken: only hosts listed for the cell may join it.
    pub fn allows(&self, request: &LeaderRequest) -> bool {
        match request {
            LeaderRequest::Join(join) => self.voters.contains(&join.host),
            _ => true,
        }
    }

    /// Sorts messages by the host that they go to.
    pub fn group_by_host(&self, messages: Vec<Message>) -> BTreeMap<String, Vec<Message>> {
        let mut by_host: BTreeMap<String, Vec<Message>> = BTreeMap::new();
        for msg in messages {
            if let Some(host) = self.host_of(msg.to) {
                by_host.entry(host).or_default().push(msg);
            }
        }
        by_host
    }

    /// Returns what this replica knows of its cell's founding.
    pub fn bootstrap_status(&self) -> FoundingStatus {
        let raft = self.replica.raft();
        FoundingStatus {
            replica: raft.id(),
            founded: raft.term() > 0 || raft.log().last_index() > 0,
        }
    }

    /// Writes the first entry of a cell's log.
    pub fn bootstrap(
        &mut self,
        settings: &Settings,
        initial_voters: &[InitialVoter],
        now: Mono,
    ) -> Result<(), Report<StorageError>> {
        if self.bootstrap_status().founded {
            return Ok(());
        }
        let voters = initial_voters.iter().map(|f| (f.replica, f.host.clone()));
        let membership = Membership {
            voters: voters.collect(),
            learners: BTreeMap::new(),
        };
        let entry = Entry {
            term: BOOTSTRAP_TERM,
            index: 1,
            payload: Payload::Membership(membership),
        };
        let hard = HardState {
            term: BOOTSTRAP_TERM,
            vote: None,
        };
        let folder = settings.data_folder.join(&self.config.cell);
        let id = self.replica.raft().id();
        let (mut store, _) = Storage::open(&folder, id)?;
        store.append(Some(hard), std::slice::from_ref(&entry))?;
        let start = StartState {
            id,
            hard,
            log: Log::new(Default::default(), vec![entry]),
            seed: rand::random(),
        };
        self.replica = Replica::open(self.config.clone(), store, start, now);
        Ok(())
    }

    /// Returns what [`introduce`] needs.
    pub fn join_context(&self, cell: &str, settings: &Settings) -> JoinContext {
        JoinContext {
            cell: cell.to_string(),
            own_replica: InitialVoter {
                host: settings.host.clone(),
                replica: self.replica.raft().id(),
            },
            voters: self.voters.clone(),
        }
    }

    fn host_of(&self, id: ReplicaId) -> Option<String> {
        let membership = self.replica.raft().membership();
        let mut named = membership.replicas();
        let host = named.find(|(r, _)| *r == id).map(|(_, host)| host);
        host.or_else(|| self.hosts.get(&id)).cloned()
    }
}

/// Who introduces itself to a cell.
#[derive(Clone, Debug)]
pub struct JoinContext {
    cell: String,
    own_replica: InitialVoter,
    voters: Vec<String>,
}

/// Founds the cell or asks for a place in it until this replica is a voter.
pub async fn bootstrap_or_join(context: JoinContext, endpoint: Endpoint, tx: mpsc::Sender<Input>) {
    let first = context.voters.first() == Some(&context.own_replica.host);
    loop {
        let Some(status) = own_bootstrap_status(&context, &tx).await else {
            return;
        };
        if !status.founded && first {
            if let Some(initial_voters) = collect_initial_voters(&context, &endpoint).await {
                let _ = tx
                    .send(Input::Bootstrap(context.cell.clone(), initial_voters))
                    .await;
            }
        }
        ask_to_join(&context, &endpoint, &tx).await;
        tokio::time::sleep(Duration::from_millis(JOIN_RETRY_MS)).await;
    }
}

async fn own_bootstrap_status(
    context: &JoinContext,
    tx: &mpsc::Sender<Input>,
) -> Option<FoundingStatus> {
    let (reply_tx, rx) = oneshot::channel();
    tx.send(Input::BootstrapStatus(context.cell.clone(), reply_tx))
        .await
        .ok()?;
    rx.await.ok()?
}

/// Returns all founders when every other voter answered that its folder is empty.
async fn collect_initial_voters(
    context: &JoinContext,
    endpoint: &Endpoint,
) -> Option<Vec<InitialVoter>> {
    let mut initial_voters = vec![context.own_replica.clone()];
    for host in context
        .voters
        .iter()
        .filter(|h| **h != context.own_replica.host)
    {
        let request = Request::FoundingStatus(context.cell.clone());
        let answer = endpoint.call(host, request, CALL_TIMEOUT).await.ok()?;
        let Response::FoundingStatus(founding) = answer else {
            return None;
        };
        if founding.founded {
            return None;
        }
        initial_voters.push(InitialVoter {
            host: host.clone(),
            replica: founding.replica,
        });
    }
    Some(initial_voters)
}

/// Asks every other voter for a place; the leader notes it, and forgets it when there is one.
async fn ask_to_join(context: &JoinContext, endpoint: &Endpoint, tx: &mpsc::Sender<Input>) {
    if is_sole_voter_of_host(context, tx).await {
        return;
    }
    for host in context
        .voters
        .iter()
        .filter(|h| **h != context.own_replica.host)
    {
        let request = Request::Cell(CellRequest {
            cell: context.cell.clone(),
            request: LeaderRequest::Join(Join {
                replica: context.own_replica.replica,
                host: context.own_replica.host.clone(),
            }),
        });
        let _ = endpoint.call(host, request, CALL_TIMEOUT).await;
    }
}

async fn is_sole_voter_of_host(context: &JoinContext, tx: &mpsc::Sender<Input>) -> bool {
    let (reply_tx, rx) = oneshot::channel();
    let sent = tx
        .send(Input::Membership(context.cell.clone(), reply_tx))
        .await;
    if sent.is_err() {
        return true;
    }
    let Ok(Some(membership)) = rx.await else {
        return false;
    };
    let mut of_host = membership
        .voters
        .iter()
        .filter(|(_, h)| **h == context.own_replica.host);
    let first = of_host.next().map(|(id, _)| *id);
    first == Some(context.own_replica.replica) && of_host.next().is_none()
}
