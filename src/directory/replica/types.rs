//! What goes into a replica, what comes out, and what it keeps while it leads.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Mono;
use crate::event::Event;
use crate::raft::{Message, Timing};

use super::super::lessor::{Call, CallResult, Lessor};
use super::super::membership::MembershipPlanner;
use super::super::protocol::{DirectoryRequest, Reply};
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
pub enum Input<T> {
    /// Messages from other replicas.
    Messages(Vec<Message>),
    /// A request; the token comes back with the answer.
    Request(DirectoryRequest, T),
    /// The result of the call of that number to an upstream.
    CallFinished(u64, CallResult),
}

/// A request that is answered later.
#[derive(Debug)]
pub(super) struct PendingRequest<T> {
    pub(super) request: DirectoryRequest,
    pub(super) reply_to: T,
    pub(super) heartbeat_round: u64,
    pub(super) received_at: Mono,
    pub(super) hold_until: Mono,
}

/// What a leader knows of an entry host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watcher {
    pub(super) received_at: Mono,
    /// What it has.
    pub(super) known_versions: Versions,
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
    pub(super) fn is_covered_by(self, known_versions: &Versions) -> bool {
        match self {
            Change::Upstreams(index) => known_versions.upstreams >= index,
            Change::Config(version) => known_versions.config >= version,
        }
    }
}

/// A change that is in the log and is acknowledged once entry hosts know of it.
#[derive(Debug)]
pub(super) struct PendingAck<T> {
    pub(super) reply_to: T,
    pub(super) change: Change,
    pub(super) deadline: Mono,
}

/// What a replica keeps while it leads.
#[derive(Debug)]
pub(super) struct LeaderState<T> {
    pub(super) term: u64,
    pub(super) elected_at: Mono,
    pub(super) lessor: Lessor,
    pub(super) lessor_stepped_at: Mono,
    pub(super) lessor_pending_index: u64,
    pub(super) pending_requests: VecDeque<PendingRequest<T>>,
    pub(super) proposals: BTreeMap<u64, (u64, T)>,
    pub(super) heartbeat_rounds: VecDeque<(u64, Mono)>,
    pub(super) lease_until: Mono,
    pub(super) watchers: BTreeMap<String, Watcher>,
    /// Changes to be acknowledged once entry hosts know of them.
    pub(super) pending_acks: Vec<PendingAck<T>>,
    /// What may be sent to followers now, in thousandths of an update without news.
    pub(super) update_budget_milli: u64,
    pub(super) budget_refilled_at: Mono,
    pub(super) last_heard: BTreeMap<String, Mono>,
    pub(super) membership_planner: MembershipPlanner,
}

/// What a replica starts from.
#[derive(Debug)]
pub struct StartOptions {
    /// The log's intervals.
    pub timing: Timing,
    /// How long an upstream holds granted keys, in milliseconds.
    pub hold_ms: u64,
    /// Voters that the log should have.
    pub voters: usize,
    /// What the folder held.
    pub recovered: crate::storage::Recovered,
    /// Whether the process was just started, so that nothing of an earlier replica in it is under way.
    pub is_process_start: bool,
    /// Seeds the spread of election intervals.
    pub seed: u64,
}
