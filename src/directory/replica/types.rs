//! The inputs and outputs of a replica, and the state it keeps while it leads.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Mono;
use crate::event::Event;
use crate::raft::{Message, Timing};

use super::super::departures::DepartureAges;
use super::super::lessor::{Call, CallId, CallResult, Lessor};
use super::super::membership::MembershipPlanner;
use super::super::model::Phase;
use super::super::permits::PermitIssuer;
use super::super::protocol::{DirectoryRequest, Reply};
use super::super::regions::RegionsByZone;
use super::super::renewals::SharedRenewals;
use super::super::state::{Command, State, Versions};
use super::super::trials::Trials;
use super::cold::ColdTracker;

/// Everything that the caller of [`Replica::advance`](super::Replica::advance) has to send or log.
#[derive(Debug)]
pub struct Output<T> {
    /// Messages to other replicas.
    pub messages: Vec<Message>,
    /// Replies to requests.
    pub replies: Vec<(T, Reply)>,
    /// Calls to upstreams.
    pub calls: Vec<Call>,
    /// The time before which the calls must be written; later ones must not be sent.
    pub calls_until: Mono,
    /// Events to log.
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

/// An input of a replica.
#[derive(Debug)]
pub enum Input<T> {
    /// Messages from other replicas.
    Messages(Vec<Message>),
    /// A request, and the value that identifies its sender in the reply.
    Request(DirectoryRequest, T),
    /// A call to an upstream, and its result.
    CallFinished(CallId, CallResult),
}

/// A request that is answered later.
#[derive(Debug)]
pub(super) struct PendingRequest<T> {
    pub(super) request: DirectoryRequest,
    pub(super) reply_to: T,
    /// The heartbeat round that must be confirmed before a read is answered.
    pub(super) heartbeat_round: u64,
    pub(super) received_at: Mono,
    /// When a watch request is answered even without changes.
    pub(super) hold_until: Mono,
}

/// The leader's record of an entry host that watches the directory.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watcher {
    pub(super) received_at: Mono,
    /// The versions that it has.
    pub(super) known_versions: Versions,
}

/// A change that is acknowledged once entry hosts have received it.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    /// A change of upstreams, by its log index.
    Upstreams(u64),
    /// A change of the configuration, by its version.
    Config(u64),
    /// A change of the evacuated availability zones, by its log index.
    Evacuations(u64),
}

impl Change {
    /// Returns what the entry at `index` changes that is acknowledged only once entry hosts have received it.
    /// `state` is the one before the entry is applied.
    pub(super) fn of(command: &Command, state: &State, index: u64) -> Option<Change> {
        match command {
            Command::Register(upstream) if upstream.phase != Phase::Ready => {
                Some(Change::Upstreams(index))
            }
            Command::Deregister(_) => Some(Change::Upstreams(index)),
            Command::Configure(stored) => Some(Change::Config(stored.config.version)),
            Command::SetEvacuation { zone, is_evacuated } => {
                let version = state.evacuations_version_after(index, zone, *is_evacuated);
                Some(Change::Evacuations(version))
            }
            _ => None,
        }
    }

    /// Reports whether a host with these versions has received the change.
    pub(super) fn is_covered_by(self, known_versions: &Versions) -> bool {
        match self {
            Change::Upstreams(index) => known_versions.upstreams >= index,
            Change::Config(version) => known_versions.config >= version,
            Change::Evacuations(index) => known_versions.evacuations >= index,
        }
    }
}

/// A committed change whose acknowledgement waits until entry hosts have received it.
#[derive(Debug)]
pub(super) struct PendingAck<T> {
    pub(super) reply_to: T,
    pub(super) change: Change,
    pub(super) deadline: Mono,
}

/// The state that a replica keeps while it leads.
#[derive(Debug)]
pub(super) struct LeaderState<T> {
    pub(super) term: u64,
    pub(super) elected_at: Mono,
    pub(super) lessor: Lessor,
    pub(super) lessor_stepped_at: Mono,
    /// The log index up to which commands must be applied before the next step of the lessor.
    pub(super) lessor_pending_index: u64,
    pub(super) pending_requests: VecDeque<PendingRequest<T>>,
    /// The term and the sender of each proposed command, by log index.
    pub(super) proposals: BTreeMap<u64, (u64, T)>,
    /// Heartbeat rounds that aren't confirmed yet, and when they began.
    pub(super) heartbeat_rounds: VecDeque<(u64, Mono)>,
    pub(super) lease_until: Mono,
    pub(super) watchers: BTreeMap<String, Watcher>,
    /// Changes to be acknowledged once entry hosts have received them.
    pub(super) pending_acks: Vec<PendingAck<T>>,
    /// The remaining update budget, in thousandths of an update without changes.
    pub(super) update_budget_milli: u64,
    pub(super) budget_refilled_at: Mono,
    /// When each upstream last announced itself, by id.
    pub(super) last_heard: BTreeMap<String, Mono>,
    pub(super) silence_checked_at: Mono,
    pub(super) membership_planner: MembershipPlanner,
    pub(super) permits: PermitIssuer,
    pub(super) cold: ColdTracker,
    pub(super) trials: Trials,
    pub(super) renewals: SharedRenewals,
    pub(super) departure_ages: DepartureAges,
}

/// The stored state and the parameters that a replica starts with.
#[derive(Debug)]
pub struct StartOptions {
    /// The time intervals of the log.
    pub timing: Timing,
    /// How long an upstream holds granted keys, in milliseconds.
    pub hold_ms: u64,
    /// The target number of voters.
    pub voters: usize,
    /// The number of grants a second above which the leader shares them with other replicas.
    pub shared_above_per_s: u64,
    /// The contents of the data folder.
    pub recovered: crate::storage::Recovered,
    /// Whether the process was just started, so that no work of an earlier replica in it is in progress.
    pub is_process_start: bool,
    /// The seed for the jitter of election intervals.
    pub seed: u64,
    /// Regions by availability zone.
    pub regions_by_zone: RegionsByZone,
}
