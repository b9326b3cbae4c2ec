//! What goes into a replica, what comes out, and what it keeps while it leads.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Mono;
use crate::event::Event;
use crate::raft::{Message, Timing};

use super::super::ask::{Ask, Reply};
use super::super::lessor::{Call, CallResult, Lessor};
use super::super::membership::Roster;
use super::super::state::Versions;

/// What a step hands out.
#[derive(Debug)]
pub struct Output<T> {
    /// Messages to other replicas.
    pub messages: Vec<Message>,
    /// Answers to requests.
    pub replies: Vec<(T, Reply)>,
    /// Calls to upstreams.
    pub calls: Vec<Call>,
    /// Calls may be written until this point only.
    pub calls_until: Mono,
    /// What happened.
    pub events: Vec<Event>,
}

impl<T> Default for Output<T> {
    fn default() -> Output<T> {
        Output {
            messages: Vec::new(),
            replies: Vec::new(),
            calls: Vec::new(),
            calls_until: Mono(0),
            events: Vec::new(),
        }
    }
}

/// Something that a replica takes in.
#[derive(Debug)]
pub enum Step<T> {
    /// Messages from other replicas.
    Messages(Vec<Message>),
    /// A request; the token comes back with the answer.
    Ask(Ask, T),
    /// The result of the call of that number to an upstream.
    Called(u64, CallResult),
}

/// A request that is answered later.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub(super) ask: Ask,
    pub(super) token: T,
    pub(super) round: u64,
    pub(super) asked_at: Mono,
    pub(super) answer_at: Mono,
}

/// What a leader knows of an entry host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Follower {
    pub(super) asked_at: Mono,
    /// What it has.
    pub(super) have: Versions,
}

/// A change that entry hosts have to know of.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    /// Upstreams, by the entry that changed them.
    Upstreams(u64),
    /// The configuration, by its number.
    Config(u64),
}

impl Change {
    /// Tells whether a host with these versions knows of it.
    pub(super) fn is_in(self, have: &Versions) -> bool {
        match self {
            Change::Upstreams(index) => have.upstreams >= index,
            Change::Config(version) => have.config >= version,
        }
    }
}

/// A change that is in the log and is acknowledged once entry hosts know of it.
#[derive(Debug)]
pub(super) struct Spreading<T> {
    pub(super) token: T,
    pub(super) change: Change,
    pub(super) answer_by: Mono,
}

/// What a replica keeps while it leads.
#[derive(Debug)]
pub(super) struct Lead<T> {
    pub(super) term: u64,
    pub(super) elected_at: Mono,
    pub(super) lessor: Lessor,
    pub(super) lent_at: Mono,
    pub(super) lend_pending: u64,
    pub(super) waiting: VecDeque<Waiting<T>>,
    pub(super) proposals: BTreeMap<u64, (u64, T)>,
    pub(super) rounds: VecDeque<(u64, Mono)>,
    pub(super) lease_until: Mono,
    pub(super) followers: BTreeMap<String, Follower>,
    /// Changes to be acknowledged once entry hosts know of them.
    pub(super) spreading: Vec<Spreading<T>>,
    /// What may be sent to followers now, in thousandths of an update without news.
    pub(super) allowance: u64,
    pub(super) answered_at: Mono,
    pub(super) heard: BTreeMap<String, Mono>,
    pub(super) roster: Roster,
}

/// What a replica starts from.
#[derive(Debug)]
pub struct Start {
    /// The log's intervals.
    pub timing: Timing,
    /// How long an upstream holds granted keys, in milliseconds.
    pub hold_ms: u64,
    /// Voters that the log should have.
    pub voters: usize,
    /// What the folder held.
    pub recovered: crate::storage::Recovered,
    /// Whether the process was just started, so that nothing of an earlier replica in it is under way.
    pub is_first: bool,
    /// Seeds the spread of election intervals.
    pub seed: u64,
}
