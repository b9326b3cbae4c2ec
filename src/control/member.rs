//! One cell's replica on this host, from an empty folder to a running voter.
//!
//! A cell is founded once: the voter listed first asks the others for their identities and starts the
//! log only when every folder is empty. A host that comes to a founded cell with a new
//! folder asks the leader for a place under its new identity.

use std::collections::BTreeMap;
use std::time::Duration;

use error_stack::Report;
use tokio::sync::{mpsc, oneshot};

use crate::cell::ask::{Ask, Join, Reply};
use crate::cell::ownership::Home;
use crate::cell::replica::{Place, Replica, Start};
use crate::clock::Mono;
use crate::event::{Event, Recorder};
use crate::raft::{Entry, HardState, Log, Membership, Message, Payload, ReplicaId};
use crate::settings::Cell;
use crate::storage::{Storage, StorageError};
use crate::transport::Endpoint;
use crate::wire::{CellRequest, FoundingStatus, RaftBatch, Request, Response};

use super::{Input, Settings};

/// Between two tries to found or to join, in milliseconds.
const INTRODUCE_EVERY_MS: u64 = 500;
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The term of the entry that a founder writes.
const FOUNDING_TERM: u64 = 1;

/// A voter that founds a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Founder {
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
    place: Place,
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
        let place = Place {
            cell: cell.region.clone(),
            host: settings.host.clone(),
            home: Home {
                region: regions.position(|r| r.name == cell.region).unwrap_or(0),
                regions: deployment.regions.len(),
            },
            raft: deployment.timing.raft(is_witness),
            lease: deployment.timing.into(),
        };
        let start = Start {
            id: recovered.identity.replica,
            hard: recovered.hard,
            log: recovered.log,
            seed: rand::random(),
        };
        Ok(Member {
            replica: Replica::open(place.clone(), store, start, now),
            voters: cell.voters.clone(),
            hosts: BTreeMap::new(),
            place,
        })
    }

    /// Remembers where replicas are that the membership doesn't name.
    pub fn learn_hosts(&mut self, batch: &RaftBatch) {
        for msg in &batch.messages {
            self.hosts.insert(msg.from, batch.host.clone());
        }
    }

    /// Tells whether a request may be taken: only hosts listed for the cell may join it.
    pub fn admits(&self, ask: &Ask) -> bool {
        match ask {
            Ask::Join(join) => self.voters.contains(&join.host),
            _ => true,
        }
    }

    /// Sorts messages by the host that they go to.
    pub fn by_host(&self, messages: Vec<Message>) -> BTreeMap<String, Vec<Message>> {
        let mut sorted: BTreeMap<String, Vec<Message>> = BTreeMap::new();
        for msg in messages {
            if let Some(host) = self.host_of(msg.to) {
                sorted.entry(host).or_default().push(msg);
            }
        }
        sorted
    }

    /// Returns what this replica knows of its cell's founding.
    pub fn founding(&self) -> FoundingStatus {
        let raft = self.replica.raft();
        FoundingStatus {
            replica: raft.id(),
            founded: raft.term() > 0 || raft.log().last_index() > 0,
        }
    }

    /// Writes the first entry of a cell's log.
    pub fn found(
        &mut self,
        settings: &Settings,
        founders: &[Founder],
        now: Mono,
    ) -> Result<(), Report<StorageError>> {
        if self.founding().founded {
            return Ok(());
        }
        let voters = founders.iter().map(|f| (f.replica, f.host.clone()));
        let membership = Membership {
            voters: voters.collect(),
            learners: BTreeMap::new(),
        };
        let entry = Entry {
            term: FOUNDING_TERM,
            index: 1,
            payload: Payload::Membership(membership),
        };
        let hard = HardState {
            term: FOUNDING_TERM,
            vote: None,
        };
        let folder = settings.data_folder.join(&self.place.cell);
        let id = self.replica.raft().id();
        let (mut store, _) = Storage::open(&folder, id)?;
        store.append(Some(hard), std::slice::from_ref(&entry))?;
        let start = Start {
            id,
            hard,
            log: Log::new(Default::default(), vec![entry]),
            seed: rand::random(),
        };
        self.replica = Replica::open(self.place.clone(), store, start, now);
        Ok(())
    }

    /// Returns what [`introduce`] needs.
    pub fn introduction(&self, cell: &str, settings: &Settings) -> Introduction {
        Introduction {
            cell: cell.to_string(),
            me: Founder {
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
pub struct Introduction {
    cell: String,
    me: Founder,
    voters: Vec<String>,
}

/// Founds the cell or asks for a place in it until this replica is a voter.
pub async fn introduce(intro: Introduction, endpoint: Endpoint, tx: mpsc::Sender<Input>) {
    let first = intro.voters.first() == Some(&intro.me.host);
    loop {
        let Some(mine) = own_founding(&intro, &tx).await else {
            return;
        };
        if !mine.founded && first {
            if let Some(founders) = gather(&intro, &endpoint).await {
                let _ = tx.send(Input::Founders(intro.cell.clone(), founders)).await;
            }
        }
        ask_to_join(&intro, &endpoint, &tx).await;
        tokio::time::sleep(Duration::from_millis(INTRODUCE_EVERY_MS)).await;
    }
}

async fn own_founding(intro: &Introduction, tx: &mpsc::Sender<Input>) -> Option<FoundingStatus> {
    let (answer, rx) = oneshot::channel();
    tx.send(Input::Founding(intro.cell.clone(), answer))
        .await
        .ok()?;
    rx.await.ok()?
}

/// Returns all founders when every other voter answered that its folder is empty.
async fn gather(intro: &Introduction, endpoint: &Endpoint) -> Option<Vec<Founder>> {
    let mut founders = vec![intro.me.clone()];
    for host in intro.voters.iter().filter(|h| **h != intro.me.host) {
        let request = Request::FoundingStatus(intro.cell.clone());
        let answer = endpoint.call(host, request, CALL_TIMEOUT).await.ok()?;
        let Response::FoundingStatus(founding) = answer else {
            return None;
        };
        if founding.founded {
            return None;
        }
        founders.push(Founder {
            host: host.clone(),
            replica: founding.replica,
        });
    }
    Some(founders)
}

/// Asks every other voter for a place; the leader notes it, and forgets it when there is one.
async fn ask_to_join(intro: &Introduction, endpoint: &Endpoint, tx: &mpsc::Sender<Input>) {
    if is_sole_voter_of_host(intro, tx).await {
        return;
    }
    for host in intro.voters.iter().filter(|h| **h != intro.me.host) {
        let request = Request::Cell(CellRequest {
            cell: intro.cell.clone(),
            request: Ask::Join(Join {
                replica: intro.me.replica,
                host: intro.me.host.clone(),
            }),
        });
        let _ = endpoint.call(host, request, CALL_TIMEOUT).await;
    }
}

async fn is_sole_voter_of_host(intro: &Introduction, tx: &mpsc::Sender<Input>) -> bool {
    let (answer, rx) = oneshot::channel();
    let asked = tx.send(Input::Membership(intro.cell.clone(), answer)).await;
    if asked.is_err() {
        return true;
    }
    let Ok(Some(membership)) = rx.await else {
        return false;
    };
    let mut of_host = membership
        .voters
        .iter()
        .filter(|(_, h)| **h == intro.me.host);
    let first = of_host.next().map(|(id, _)| *id);
    first == Some(intro.me.replica) && of_host.next().is_none()
}
