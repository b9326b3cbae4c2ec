//! One replica of the directory: its log, its state, and on the leader the pending requests and the
//! [`Lessor`].
//!
//! Time, messages, requests and results of calls are inputs; what is to be sent is returned as [`Output`].
//! The only side effect is on the [`Store`], which is written before anything that depends on it is returned.

mod cold;
mod leader;
mod snapshot;
mod types;

use std::collections::{BTreeMap, VecDeque};

use error_stack::Report;

use crate::cell::store::Store;
use crate::clock::Mono;
use crate::event::Event;
use crate::raft::{Entry, Log, Payload, Raft, Ready, Timing};
use crate::storage::StorageError;

use super::codec::{decode, encode};
use super::command_events;
use super::departures::DepartureAges;
use super::lessor::Lessor;
use super::membership::MembershipPlanner;
use super::model::{Phase, Upstream};
use super::permits::PermitIssuer;
use super::protocol::{DirectoryRequest, Reply, Update};
use super::regions::RegionsByZone;
use super::renewals::SharedRenewals;
use super::state::{Command, State, Versions};
use super::trials::Trials;
use snapshot::decode_state;
use types::{Change, LeaderState, PendingAck, PendingRequest, Watcher};
pub use types::{Input, Output, StartOptions};

/// The name of this log in events and messages.
pub const LOG_NAME: &str = "directory";
/// How long the leader holds a watch request while nothing changes, in milliseconds.
const WATCH_HOLD_MS: u64 = 200;
/// The maximum of that time with many watchers, in milliseconds; they give up soon after it.
const WATCH_HOLD_MAX_MS: u64 = 1_000;
/// A leader's lease ends this long before a successor can be elected, in milliseconds.
const LEASE_MARGIN_MS: u64 = 150;
/// The update budget of a leader per second, in updates without changes: sending that many takes half of a
/// small processor share. When the budget is spent, all watchers wait longer.
const UPDATE_BUDGET_PER_S: u64 = 400;
/// The maximum budget that accumulates while nothing is sent.
const UPDATE_BURST: u64 = 64;
/// The interval between two steps of the lessor, in milliseconds.
const LESSOR_INTERVAL_MS: u64 = 40;
/// A change is acknowledged after this long even if an entry host may not have it yet, in milliseconds.
/// Requesters turn to another replica after a second, and the network and the log take part of that.
const ACK_TIMEOUT_MS: u64 = 500;
/// The time after which a new leader has heard from all entry hosts, in milliseconds: they search for it at
/// once and repeat their requests after at most [`WATCH_HOLD_MAX_MS`].
const WATCHER_DISCOVERY_MS: u64 = 1_500;
/// An entry host that hasn't sent a request for this long isn't counted as a watcher, in milliseconds.
const WATCHER_EXPIRY_MS: u64 = 3_000;
/// An upstream that hasn't announced itself for this long is removed, in milliseconds.
const FORGET_AFTER_MS: u64 = 60_000;

/// One replica of the directory. `T` identifies the sender of a request, to which the reply goes.
#[derive(Debug)]
pub struct Replica<S, T> {
    raft: Raft,
    store: S,
    state: State,
    applied_index: u64,
    /// The index of the last entry stored before the start.
    recovered_index: u64,
    timing: Timing,
    hold_ms: u64,
    voters: usize,
    regions_by_zone: RegionsByZone,
    shared_above_per_s: u64,
    leader_state: Option<LeaderState<T>>,
    output: Output<T>,
}

impl<S: Store, T> Replica<S, T> {
    /// Returns a replica that continues from its stored state.
    pub fn open(store: S, options: StartOptions, now: Mono) -> Replica<S, T> {
        let recovered = options.recovered;
        let id = recovered.identity.replica;
        let state = decode_state(&recovered.log);
        let applied_index = recovered.log.snapshot().index;
        let recovered_index = recovered.log.last_index();
        let (hard, log) = (recovered.hard, recovered.log);
        let mut raft = Raft::open(id, options.timing, hard, log, now, options.seed);
        // A promise to a leader made before the restart may hold for up to an election interval.
        raft.withhold_votes(now.plus(options.timing.election_ms));
        if options.is_process_start {
            raft.poll_after_start(now);
        }
        Replica {
            raft,
            store,
            state,
            applied_index,
            recovered_index,
            timing: options.timing,
            hold_ms: options.hold_ms,
            voters: options.voters,
            regions_by_zone: options.regions_by_zone,
            shared_above_per_s: options.shared_above_per_s,
            leader_state: None,
            output: Output::default(),
        }
    }

    /// Returns the state as of the last entry applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the Raft replica of the log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the storage.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Reports whether this replica leads and has applied everything that was acknowledged.
    pub fn leads(&self) -> bool {
        self.leader_state.is_some()
    }

    /// Returns the number of requests that wait for a reply.
    pub fn pending_requests(&self) -> usize {
        self.leader_state
            .as_ref()
            .map_or(0, |leader_state| leader_state.pending_requests.len())
    }

    /// Returns how long this replica may answer and grant without hearing from a majority, in milliseconds.
    pub fn lease_left_ms(&self, now: Mono) -> u64 {
        self.leader_state
            .as_ref()
            .map_or(0, |l| l.lease_until.since(now))
    }

    /// Reports whether a follower may acknowledge an announcement on its own: it changes nothing that is
    /// committed, the leader was heard from recently, and the announcement will be reported to it.
    pub fn can_confirm(&self, upstream: &Upstream, now: Mono) -> bool {
        let heard_ms = self.raft.ms_since_leader_contact(now);
        upstream.phase == Phase::Ready
            && heard_ms.is_some_and(|ms| ms <= 3 * self.timing.heartbeat_ms)
            && self.state.is_routine(upstream)
    }

    /// Returns the leader's address, if it is known.
    pub fn leader_address(&self) -> Option<String> {
        let leader = self.raft.leader()?;
        let mut replicas = self.raft.membership().replicas();
        let (_, host) = replicas.find(|(id, _)| *id == leader)?;
        Some(host.clone())
    }

    /// Processes the inputs and advances the time to `now`. All inputs together are stored once and answered.
    pub fn advance(
        &mut self,
        inputs: impl IntoIterator<Item = Input<T>>,
        now: Mono,
    ) -> Result<Output<T>, Report<StorageError>> {
        for input in inputs {
            match input {
                Input::Messages(messages) => {
                    for msg in messages {
                        self.raft.receive(msg, now);
                    }
                }
                Input::Request(request, reply_to) => self.handle_request(request, reply_to, now),
                Input::CallFinished(id, result) => {
                    if let Some(leader_state) = &mut self.leader_state {
                        leader_state.lessor.handle_call_result(id, result, now);
                    }
                }
            }
        }
        self.raft.tick(now);
        self.run_until_idle(now)
    }

    fn handle_request(&mut self, mut request: DirectoryRequest, reply_to: T, now: Mono) {
        let leader = self.leader_address();
        let Some(leader_state) = &mut self.leader_state else {
            self.output
                .replies
                .push((reply_to, Reply::NotLeader(leader)));
            return;
        };
        leader_state.cold.ignore_late(&mut request, &self.state);
        let mut hold_until = now;
        let mut superseded = None;
        match &request {
            DirectoryRequest::Announce(upstream) => {
                leader_state
                    .last_heard
                    .insert(upstream.incarnation.id.clone(), now);
                if !self.state.would_change(upstream) {
                    if self.state.find_live(&upstream.incarnation).is_some() {
                        leader_state
                            .lessor
                            .record_announcement(&upstream.incarnation, now);
                    }
                    if upstream.phase == Phase::Ready {
                        self.output.replies.push((reply_to, Reply::Done));
                    } else {
                        let change_index = self.state.change_index(&upstream.incarnation.id);
                        leader_state.ack_once_received(
                            Change::Upstreams(change_index),
                            reply_to,
                            now,
                        );
                    }
                    return;
                }
                leader_state
                    .lessor
                    .record_announcement(&upstream.incarnation, now);
                let command = Command::Register(upstream.clone());
                return self.propose(command, reply_to, now);
            }
            DirectoryRequest::AnnounceAll(list) => {
                let mut changed = Vec::new();
                for upstream in list {
                    let incarnation = &upstream.incarnation;
                    leader_state.last_heard.insert(incarnation.id.clone(), now);
                    let changes_state = self.state.would_change(upstream);
                    if changes_state || self.state.find_live(incarnation).is_some() {
                        leader_state.lessor.record_announcement(incarnation, now);
                    }
                    if changes_state {
                        changed.push(upstream.clone());
                    }
                }
                if changed.is_empty() {
                    self.output.replies.push((reply_to, Reply::Done));
                    return;
                }
                return self.propose(Command::RegisterAll(changed), reply_to, now);
            }
            DirectoryRequest::Leave(incarnation) => {
                let command = Command::Deregister(incarnation.clone());
                return self.propose(command, reply_to, now);
            }
            DirectoryRequest::Configure(stored) => {
                let version = stored.config.version;
                if version <= self.state.config_version() {
                    return leader_state.ack_once_received(Change::Config(version), reply_to, now);
                }
                let command = Command::Configure(stored.clone());
                return self.propose(command, reply_to, now);
            }
            DirectoryRequest::ReportAlive(list) => {
                for incarnation in list {
                    if self.state.find_live(incarnation).is_some() {
                        leader_state.last_heard.insert(incarnation.id.clone(), now);
                        leader_state.lessor.record_announcement(incarnation, now);
                    }
                }
                self.output.replies.push((reply_to, Reply::Done));
                return;
            }
            DirectoryRequest::Join { host, replica } => {
                leader_state
                    .membership_planner
                    .record_join_request(host.clone(), *replica, now);
                self.output.replies.push((reply_to, Reply::Done));
                return;
            }
            DirectoryRequest::TakePermits { host, requests } => {
                leader_state.sync_cold_limits(&self.state, now);
                let events = &mut self.output.events;
                let reply = leader_state.issue_permits(host, requests, now, events);
                self.output.replies.push((reply_to, reply));
                return;
            }
            DirectoryRequest::TakeRenewals {
                host,
                received,
                results,
            } => {
                let reply = leader_state.exchange_renewals(host, *received, results, now);
                self.output.replies.push((reply_to, reply));
                return;
            }
            DirectoryRequest::ReportCrashes { .. }
            | DirectoryRequest::BeginTrial { .. }
            | DirectoryRequest::ListSuspects
            | DirectoryRequest::ClearSuspect(_) => {
                return self.handle_suspect_request(request, reply_to, now);
            }
            // A repeated order goes through the log as well: only its commitment proves that no later leader has
            // accepted the opposite meanwhile.
            DirectoryRequest::SetEvacuation { zone, is_evacuated } => {
                let command = Command::SetEvacuation {
                    zone: zone.clone(),
                    is_evacuated: *is_evacuated,
                };
                return self.propose(command, reply_to, now);
            }
            DirectoryRequest::ReadConfig => {}
            DirectoryRequest::Watch {
                host,
                known_versions,
                counts,
                speeds,
                ..
            } => {
                let watcher = Watcher {
                    received_at: now,
                    known_versions: *known_versions,
                };
                leader_state.watchers.insert(host.clone(), watcher);
                superseded = leader_state.watch_position(host);
                for report in counts {
                    leader_state
                        .lessor
                        .add_key_counts(&report.service, &report.counts);
                }
                for speed in speeds {
                    leader_state.lessor.add_speed(speed);
                }
                // Updates without changes may take at most half of the budget.
                let fair_hold_ms = leader_state.watchers.len() as u64 * 2_000 / UPDATE_BUDGET_PER_S;
                hold_until = now.plus(fair_hold_ms.clamp(WATCH_HOLD_MS, WATCH_HOLD_MAX_MS));
            }
        }
        let heartbeat_round = self.raft.current_round().unwrap_or(0) + 1;
        let mut pending = PendingRequest {
            request,
            reply_to,
            heartbeat_round,
            received_at: now,
            hold_until,
        };
        // A host that asks again keeps its place: while the budget is short, the place decides when it is
        // answered.
        match superseded.and_then(|n| leader_state.pending_requests.get_mut(n)) {
            Some(place) => {
                std::mem::swap(place, &mut pending);
                let reply = Reply::NotLeader(None);
                self.output.replies.push((pending.reply_to, reply));
            }
            None => leader_state.pending_requests.push_back(pending),
        }
    }

    /// Stores, applies and decides until nothing is left to do, and returns what is to be sent.
    fn run_until_idle(&mut self, now: Mono) -> Result<Output<T>, Report<StorageError>> {
        loop {
            let ready = self.raft.take_ready();
            let is_idle = ready.committed.is_empty() && ready.entries.is_empty();
            self.store_ready(ready, now)?;
            self.update_leadership();
            if is_idle {
                self.extend_lease(now);
                self.step_lessor(now);
                self.manage_membership(now);
                if !self.raft.has_ready() {
                    break;
                }
            }
        }
        self.answer_pending_requests(now);
        self.compact()?;
        Ok(std::mem::take(&mut self.output))
    }

    fn store_ready(&mut self, ready: Ready, now: Mono) -> Result<(), Report<StorageError>> {
        if let Some(snapshot) = &ready.snapshot {
            self.store.append(ready.hard, &[])?;
            self.store.save_snapshot(snapshot, &ready.entries)?;
            self.state = decode_state(self.raft.log());
            self.applied_index = snapshot.index;
            self.output.events.push(Event::SnapshotInstalled {
                cell: LOG_NAME.to_string(),
                index: snapshot.index,
            });
        } else {
            self.store.append(ready.hard, &ready.entries)?;
        }
        self.output.messages.extend(ready.messages);
        for entry in ready.committed {
            self.apply(entry, now);
        }
        Ok(())
    }

    fn apply(&mut self, entry: Entry, now: Mono) {
        assert_eq!(
            entry.index,
            self.applied_index + 1,
            "entries must be applied in order"
        );
        self.applied_index = entry.index;
        let mut change = None;
        if let Payload::Command(bytes) = &entry.payload {
            let command: Command = decode(bytes).expect("a committed command decodes");
            change = Change::of(&command, &self.state, entry.index);
            let leads = self.leader_state.is_some();
            // Entries that were stored before the start were logged then.
            if entry.index > self.recovered_index {
                let events = command_events::events_for(&self.state, &command, leads);
                self.output.events.extend(events);
            }
            if let Some(leader_state) = &mut self.leader_state {
                leader_state.trials.finish_all(&command);
            }
            self.state.apply(entry.index, command);
        }
        if let Payload::Membership(m) = &entry.payload {
            self.output.events.push(Event::MembershipChanged {
                cell: LOG_NAME.to_string(),
                voters: m.voters.values().cloned().collect(),
                learners: m.learners.values().cloned().collect(),
            });
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some((term, reply_to)) = leader_state.proposals.remove(&entry.index) else {
            return;
        };
        if term != entry.term {
            self.output.replies.push((reply_to, Reply::NotLeader(None)));
        } else if let Some(change) = change {
            leader_state.ack_once_received(change, reply_to, now);
        } else {
            self.output.replies.push((reply_to, Reply::Done));
        }
    }

    fn update_leadership(&mut self) {
        let leads = self.raft.is_caught_up_leader();
        let term = self.raft.term();
        let same = self.leader_state.as_ref().is_some_and(|l| l.term == term);
        if leads && same {
            return;
        }
        if let Some(leader_state) = self.leader_state.take() {
            self.end_leadership(leader_state);
        }
        let Some(elected_at) = self.raft.elected_at().filter(|_| leads) else {
            return;
        };
        self.output.events.push(Event::LeaderElected {
            cell: LOG_NAME.to_string(),
            term,
        });
        let ids = self.state.upstreams.keys();
        self.leader_state = Some(LeaderState {
            term,
            elected_at,
            lessor: Lessor::new(self.hold_ms, term, elected_at)
                .with_regions(self.regions_by_zone.clone()),
            lessor_stepped_at: Mono(0),
            lessor_pending_index: 0,
            pending_requests: VecDeque::new(),
            proposals: BTreeMap::new(),
            heartbeat_rounds: VecDeque::new(),
            lease_until: Mono(0),
            watchers: BTreeMap::new(),
            pending_acks: Vec::new(),
            update_budget_milli: 0,
            budget_refilled_at: elected_at,
            last_heard: ids.map(|id| (id.clone(), elected_at)).collect(),
            silence_checked_at: elected_at,
            membership_planner: MembershipPlanner::new(self.voters),
            permits: PermitIssuer::new(term, elected_at),
            cold: Default::default(),
            trials: Trials::new(elected_at),
            renewals: SharedRenewals::new(self.shared_above_per_s),
            departure_ages: DepartureAges::default(),
        });
    }
}
