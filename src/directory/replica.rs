//! One replica of the directory: its log, its state, and while it leads the waiting requests and
//! the book of grants.
//!
//! Time, messages and results of calls are inputs; what is to be sent comes back as [`Output`]. The
//! only effect is on the [`Store`], which is written before anything that depends on it is returned.

mod lead;
mod parts;

use std::collections::{BTreeMap, VecDeque};

use error_stack::Report;

use crate::cell::store::Store;
use crate::clock::Mono;
use crate::event::Event;
use crate::raft::{Entry, Log, Payload, Raft, Ready, Timing};
use crate::storage::StorageError;

use super::ask::{Ask, Reply, Update};
use super::describe;
use super::lessor::Lessor;
use super::membership::Roster;
use super::model::{Phase, Upstream};
use super::packing::{decode, encode};
use super::state::{Command, State, Versions};
use parts::{Change, Follower, Lead, Spreading, Waiting};
pub use parts::{Output, Start, Step};

/// The name of this log in events and messages.
pub const LOG_NAME: &str = "directory";
/// How long a follower's request waits for a change, in milliseconds.
const FOLLOW_HOLD_MS: u64 = 200;
/// The longest that it waits where followers are many, in milliseconds: they give up soon after.
const FOLLOW_HOLD_MOST_MS: u64 = 1_000;
/// The lease of a leader ends this much before a successor can be elected, in milliseconds.
const LEASE_MARGIN_MS: u64 = 150;
/// What a leader sends to followers a second, against updates without news: half of a small processor
/// share. Where more is due, all followers are told less often.
const UPDATES_PER_S: u64 = 400;
/// What it may send at once, after a pause.
const UPDATES_AT_ONCE: u64 = 64;
/// Between two looks at what is to be granted, in milliseconds.
const LEND_EVERY_MS: u64 = 40;
/// A change is acknowledged after this long even if an entry host doesn't know of it yet, in milliseconds:
/// whoever waits for it asks another replica after a second, and the way and the log take some of that.
const SPREAD_MS: u64 = 500;
/// A new leader has heard of all entry hosts after this long, in milliseconds: they look for it at once and
/// ask again after [`FOLLOW_HOLD_MOST_MS`] at most.
const GATHER_MS: u64 = 1_500;
/// An entry host that hasn't asked for this long isn't counted, in milliseconds.
const FOLLOWER_GONE_MS: u64 = 3_000;
/// An upstream that hasn't been heard of for this long is forgotten, in milliseconds.
const FORGET_AFTER_MS: u64 = 60_000;

/// One replica of the directory.
#[derive(Debug)]
pub struct Replica<S, T> {
    raft: Raft,
    store: S,
    state: State,
    applied: u64,
    /// The last entry that was stored before the start.
    recovered_to: u64,
    timing: Timing,
    hold_ms: u64,
    voters: usize,
    lead: Option<Lead<T>>,
    output: Output<T>,
}

impl<S: Store, T> Replica<S, T> {
    /// Returns a replica that goes on from what it stored.
    pub fn open(store: S, start: Start, now: Mono) -> Replica<S, T> {
        let recovered = start.recovered;
        let id = recovered.identity.replica;
        let state = decode_state(&recovered.log);
        let applied = recovered.log.snapshot().index;
        let recovered_to = recovered.log.last_index();
        let (hard, log) = (recovered.hard, recovered.log);
        let mut raft = Raft::open(id, start.timing, hard, log, now, start.seed);
        // What this replica promised before it was restarted may hold that much longer.
        raft.withhold_votes(now.plus(start.timing.election_ms));
        if start.is_first {
            raft.poll_after_start(now);
        }
        Replica {
            raft,
            store,
            state,
            applied,
            recovered_to,
            timing: start.timing,
            hold_ms: start.hold_ms,
            voters: start.voters,
            lead: None,
            output: Output::default(),
        }
    }

    /// Returns the state as applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the log's replica.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns the storage.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Tells whether this replica leads and has applied all that was acknowledged.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// Returns how many requests wait for an answer.
    pub fn waiting(&self) -> usize {
        self.lead.as_ref().map_or(0, |lead| lead.waiting.len())
    }

    /// Returns how long this replica may answer and grant without hearing from a majority, in
    /// milliseconds.
    pub fn lease_left_ms(&self, now: Mono) -> u64 {
        self.lead.as_ref().map_or(0, |l| l.lease_until.since(now))
    }

    /// Tells whether a follower may acknowledge an announcement by itself: it changes nothing that was
    /// committed, and the leader was heard of a moment ago and will be told.
    pub fn may_confirm(&self, upstream: &Upstream, now: Mono) -> bool {
        let heard_ms = self.raft.ms_since_leader_contact(now);
        upstream.phase == Phase::Ready
            && heard_ms.is_some_and(|ms| ms <= 3 * self.timing.heartbeat_ms)
            && !self.state.would_change(upstream)
            && self.state.live(&upstream.incarnation).is_some()
    }

    /// Returns the leader's address, when one is known.
    pub fn leader_host(&self) -> Option<String> {
        let leader = self.raft.leader()?;
        let mut replicas = self.raft.membership().replicas();
        let (_, host) = replicas.find(|(id, _)| *id == leader)?;
        Some(host.clone())
    }

    /// Takes what has arrived and lets time pass. However much it is, it is stored and answered at once.
    pub fn advance(
        &mut self,
        steps: impl IntoIterator<Item = Step<T>>,
        now: Mono,
    ) -> Result<Output<T>, Report<StorageError>> {
        for step in steps {
            match step {
                Step::Messages(messages) => {
                    for msg in messages {
                        self.raft.receive(msg, now);
                    }
                }
                Step::Ask(ask, token) => self.take(ask, token, now),
                Step::Called(number, result) => {
                    if let Some(lead) = &mut self.lead {
                        lead.lessor.finish(number, result, now);
                    }
                }
            }
        }
        self.raft.tick(now);
        self.settle(now)
    }

    fn take(&mut self, ask: Ask, token: T, now: Mono) {
        let leader = self.leader_host();
        let Some(lead) = &mut self.lead else {
            self.output.replies.push((token, Reply::NotLeader(leader)));
            return;
        };
        let mut answer_at = now;
        match &ask {
            Ask::Announce(upstream) => {
                lead.heard.insert(upstream.incarnation.id.clone(), now);
                if !self.state.would_change(upstream) {
                    if self.state.live(&upstream.incarnation).is_some() {
                        lead.lessor.hear(&upstream.incarnation, now);
                    }
                    if upstream.phase == Phase::Ready {
                        self.output.replies.push((token, Reply::Done));
                    } else {
                        let changed_at = self.state.changed_at(&upstream.incarnation.id);
                        lead.spread(Change::Upstreams(changed_at), token, now);
                    }
                    return;
                }
                lead.lessor.hear(&upstream.incarnation, now);
                let command = Command::Register(upstream.clone());
                return self.propose(command, token, now);
            }
            Ask::AnnounceAll(list) => {
                let mut news = Vec::new();
                for upstream in list {
                    let who = &upstream.incarnation;
                    lead.heard.insert(who.id.clone(), now);
                    let is_news = self.state.would_change(upstream);
                    if is_news || self.state.live(who).is_some() {
                        lead.lessor.hear(who, now);
                    }
                    if is_news {
                        news.push(upstream.clone());
                    }
                }
                if news.is_empty() {
                    self.output.replies.push((token, Reply::Done));
                    return;
                }
                return self.propose(Command::RegisterAll(news), token, now);
            }
            Ask::Leave(who) => {
                let command = Command::Deregister(who.clone());
                return self.propose(command, token, now);
            }
            Ask::Configure(stored) => {
                let version = stored.config.version;
                if version <= self.state.config_version() {
                    return lead.spread(Change::Config(version), token, now);
                }
                let command = Command::Configure(stored.clone());
                return self.propose(command, token, now);
            }
            Ask::Heard(list) => {
                for who in list {
                    if self.state.live(who).is_some() {
                        lead.heard.insert(who.id.clone(), now);
                        lead.lessor.hear(who, now);
                    }
                }
                self.output.replies.push((token, Reply::Done));
                return;
            }
            Ask::Join { host, replica } => {
                lead.roster.ask_to_join(host.clone(), *replica, now);
                self.output.replies.push((token, Reply::Done));
                return;
            }
            Ask::ReadConfig => {}
            Ask::Follow {
                host,
                have,
                counts,
                speeds,
            } => {
                let follower = Follower {
                    asked_at: now,
                    have: *have,
                };
                lead.followers.insert(host.clone(), follower);
                // One that asks again has given up its former request.
                let is_former =
                    |w: &Waiting<T>| matches!(&w.ask, Ask::Follow { host: h, .. } if h == host);
                if let Some(n) = lead.waiting.iter().position(is_former) {
                    if let Some(former) = lead.waiting.remove(n) {
                        self.output
                            .replies
                            .push((former.token, Reply::NotLeader(None)));
                    }
                }
                for report in counts {
                    lead.lessor.report(&report.service, &report.counts);
                }
                for speed in speeds {
                    lead.lessor.report_speed(speed);
                }
                // Answers without news take half of what may be sent at most.
                let even_ms = lead.followers.len() as u64 * 2_000 / UPDATES_PER_S;
                answer_at = now.plus(even_ms.clamp(FOLLOW_HOLD_MS, FOLLOW_HOLD_MOST_MS));
            }
        }
        let round = self.raft.current_round().unwrap_or(0) + 1;
        lead.waiting.push_back(Waiting {
            ask,
            token,
            round,
            asked_at: now,
            answer_at,
        });
    }

    fn propose(&mut self, command: Command, token: T, now: Mono) {
        let payload = Payload::Command(encode(&command));
        let term = self.raft.term();
        match (self.raft.propose(payload, now), &mut self.lead) {
            (Ok(index), Some(lead)) => {
                lead.proposals.insert(index, (term, token));
            }
            _ => {
                let reply = Reply::NotLeader(self.leader_host());
                self.output.replies.push((token, reply));
            }
        }
    }

    /// Stores, applies and decides until nothing is left to do, and returns what is to be sent.
    fn settle(&mut self, now: Mono) -> Result<Output<T>, Report<StorageError>> {
        loop {
            let ready = self.raft.take_ready();
            let idle = ready.committed.is_empty() && ready.entries.is_empty();
            self.store_ready(ready, now)?;
            self.follow_leadership();
            if idle {
                self.extend_lease(now);
                self.lend(now);
                self.manage_members(now);
                if !self.raft.has_ready() {
                    break;
                }
            }
        }
        self.answer(now);
        self.compact()?;
        Ok(std::mem::take(&mut self.output))
    }

    fn store_ready(&mut self, ready: Ready, now: Mono) -> Result<(), Report<StorageError>> {
        if let Some(snapshot) = &ready.snapshot {
            self.store.append(ready.hard, &[])?;
            self.store.save_snapshot(snapshot, &ready.entries)?;
            self.state = decode_state(self.raft.log());
            self.applied = snapshot.index;
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
        assert_eq!(entry.index, self.applied + 1, "entries apply in order");
        self.applied = entry.index;
        let mut change = None;
        if let Payload::Command(bytes) = &entry.payload {
            let command: Command = decode(bytes).expect("committed commands decode");
            change = match &command {
                Command::Register(upstream) if upstream.phase != Phase::Ready => {
                    Some(Change::Upstreams(entry.index))
                }
                Command::Deregister(_) => Some(Change::Upstreams(entry.index)),
                Command::Configure(stored) => Some(Change::Config(stored.config.version)),
                _ => None,
            };
            let leads = self.lead.is_some();
            // What was stored before the start was told of then.
            if entry.index > self.recovered_to {
                let events = describe::events_of(&self.state, &command, leads);
                self.output.events.extend(events);
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
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some((term, token)) = lead.proposals.remove(&entry.index) else {
            return;
        };
        if term != entry.term {
            self.output.replies.push((token, Reply::NotLeader(None)));
        } else if let Some(change) = change {
            lead.spread(change, token, now);
        } else {
            self.output.replies.push((token, Reply::Done));
        }
    }

    fn follow_leadership(&mut self) {
        let leads = self.raft.is_caught_up_leader();
        let term = self.raft.term();
        let same = self.lead.as_ref().is_some_and(|l| l.term == term);
        if leads && same {
            return;
        }
        if let Some(lead) = self.lead.take() {
            self.drop_lead(lead);
        }
        let Some(elected_at) = self.raft.elected_at().filter(|_| leads) else {
            return;
        };
        self.output.events.push(Event::LeaderElected {
            cell: LOG_NAME.to_string(),
            term,
        });
        let heard = self.state.upstreams.keys();
        self.lead = Some(Lead {
            term,
            elected_at,
            lessor: Lessor::new(self.hold_ms, elected_at),
            lent_at: Mono(0),
            lend_pending: 0,
            waiting: VecDeque::new(),
            proposals: BTreeMap::new(),
            rounds: VecDeque::new(),
            lease_until: Mono(0),
            followers: BTreeMap::new(),
            spreading: Vec::new(),
            allowance: 0,
            answered_at: elected_at,
            heard: heard.map(|id| (id.clone(), elected_at)).collect(),
            roster: Roster::new(self.voters),
        });
    }

    fn drop_lead(&mut self, lead: Lead<T>) {
        self.output.events.push(Event::LeaderLost {
            cell: LOG_NAME.to_string(),
            term: lead.term,
        });
        let waiting = lead.waiting.into_iter().map(|w| w.token);
        let spreading = lead.spreading.into_iter().map(|s| s.token);
        let proposed = lead.proposals.into_values().map(|(_, token)| token);
        let leader = self.leader_host();
        for token in waiting.chain(proposed).chain(spreading) {
            let reply = Reply::NotLeader(leader.clone());
            self.output.replies.push((token, reply));
        }
    }

    fn compact(&mut self) -> Result<(), Report<StorageError>> {
        if !self.store.is_snapshot_due() {
            return Ok(());
        }
        let snapshot = self.raft.compact(encode(&self.state));
        let rest = self.raft.log().slice(snapshot.index + 1, usize::MAX);
        self.store.save_snapshot(&snapshot, &rest)?;
        self.output.events.push(Event::SnapshotTaken {
            cell: LOG_NAME.to_string(),
            index: snapshot.index,
            bytes: snapshot.data.len() as u64,
        });
        Ok(())
    }
}

fn decode_state(log: &Log) -> State {
    let data = &log.snapshot().data;
    if data.is_empty() {
        return State::default();
    }
    decode(data).expect("a checked snapshot decodes")
}
