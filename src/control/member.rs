//! One cell's replica on this host, from bootstrap to a running voter.
//!
//! A cell is bootstrapped, or founded, once: the first voter in the deployment's list collects the ids of
//! the others and starts the log only if the folders of all of them are empty. A host that comes to a
//! bootstrapped cell with a new folder asks the leader to become a voter under its new id.

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

use super::{ControlInput, Settings};

/// Interval between two attempts to bootstrap or join the cell, in milliseconds.
const JOIN_RETRY_MS: u64 = 500;
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Term of the log entry that bootstraps a cell.
const BOOTSTRAP_TERM: u64 = 1;

/// A replica and its host, as listed in the bootstrap entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialVoter {
    /// Name of the host.
    pub host: String,
    /// Id of the replica.
    pub replica: ReplicaId,
}

/// One cell's replica on this host, with what is needed to reach its peers.
pub struct Member {
    /// The replica.
    pub replica: Replica<Storage, oneshot::Sender<Reply>>,
    voters: Vec<String>,
    sender_hosts: BTreeMap<ReplicaId, String>,
    config: ReplicaConfig,
}

impl Member {
    /// Opens the folder of a cell's replica on this host.
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
            sender_hosts: BTreeMap::new(),
            config,
        })
    }

    /// Records the hosts that messages came from, for replicas that the membership doesn't list.
    pub fn record_sender_hosts(&mut self, batch: &RaftBatch) {
        for msg in &batch.messages {
            self.sender_hosts.insert(msg.from, batch.host.clone());
        }
    }

    /// Reports whether a request is allowed: only hosts in the cell's list of voters may join.
    pub fn allows(&self, request: &LeaderRequest) -> bool {
        match request {
            LeaderRequest::Join(join) => self.voters.contains(&join.host),
            _ => true,
        }
    }

    /// Groups messages by the host that they are sent to; those to unknown replicas are dropped.
    pub fn group_by_host(&self, messages: Vec<Message>) -> BTreeMap<String, Vec<Message>> {
        let mut by_host: BTreeMap<String, Vec<Message>> = BTreeMap::new();
        for msg in messages {
            if let Some(host) = self.host_of(msg.to) {
                by_host.entry(host).or_default().push(msg);
            }
        }
        by_host
    }

    /// Returns this replica's id and whether its log was bootstrapped.
    pub fn founding_status(&self) -> FoundingStatus {
        let raft = self.replica.raft();
        FoundingStatus {
            replica: raft.id(),
            founded: raft.term() > 0 || raft.log().last_index() > 0,
        }
    }

    /// Writes the first entry of the cell's log and restarts the replica from it.
    pub fn bootstrap(
        &mut self,
        settings: &Settings,
        initial_voters: &[InitialVoter],
        now: Mono,
    ) -> Result<(), Report<StorageError>> {
        if self.founding_status().founded {
            return Ok(());
        }
        let voters = initial_voters.iter().map(|v| (v.replica, v.host.clone()));
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

    /// Returns the arguments of [`bootstrap_or_join`].
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
        let mut replicas = membership.replicas();
        let host = replicas.find(|(r, _)| *r == id).map(|(_, host)| host);
        host.or_else(|| self.sender_hosts.get(&id)).cloned()
    }
}

/// Identity of a replica that bootstraps or joins a cell.
#[derive(Clone, Debug)]
pub struct JoinContext {
    cell: String,
    own_replica: InitialVoter,
    voters: Vec<String>,
}

/// Repeatedly tries to bootstrap the cell, if this is its first voter, and to become a voter of it.
pub async fn bootstrap_or_join(
    context: JoinContext,
    endpoint: Endpoint,
    tx: mpsc::Sender<ControlInput>,
) {
    let is_first_voter = context.voters.first() == Some(&context.own_replica.host);
    loop {
        let Some(status) = own_founding_status(&context, &tx).await else {
            return;
        };
        if !status.founded && is_first_voter {
            if let Some(initial_voters) = collect_initial_voters(&context, &endpoint).await {
                let _ = tx
                    .send(ControlInput::Bootstrap(
                        context.cell.clone(),
                        initial_voters,
                    ))
                    .await;
            }
        }
        ask_to_join(&context, &endpoint, &tx).await;
        tokio::time::sleep(Duration::from_millis(JOIN_RETRY_MS)).await;
    }
}

async fn own_founding_status(
    context: &JoinContext,
    tx: &mpsc::Sender<ControlInput>,
) -> Option<FoundingStatus> {
    let (reply_tx, rx) = oneshot::channel();
    tx.send(ControlInput::FoundingStatus(context.cell.clone(), reply_tx))
        .await
        .ok()?;
    rx.await.ok()?
}

/// Returns all initial voters if every other one answered that its folder is empty.
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

/// Asks every other voter to let this replica join; only the leader acts on it. Does nothing if this
/// replica is its host's only voter.
async fn ask_to_join(context: &JoinContext, endpoint: &Endpoint, tx: &mpsc::Sender<ControlInput>) {
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

async fn is_sole_voter_of_host(context: &JoinContext, tx: &mpsc::Sender<ControlInput>) -> bool {
    let (reply_tx, rx) = oneshot::channel();
    let sent = tx
        .send(ControlInput::Membership(context.cell.clone(), reply_tx))
        .await;
    if sent.is_err() {
        return true;
    }
    let Ok(Some(membership)) = rx.await else {
        return false;
    };
    let mut voters_of_host = membership
        .voters
        .iter()
        .filter(|(_, h)| **h == context.own_replica.host);
    let first_id = voters_of_host.next().map(|(id, _)| *id);
    first_id == Some(context.own_replica.replica) && voters_of_host.next().is_none()
}
