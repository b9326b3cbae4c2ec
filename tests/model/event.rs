//! Events of the simulation, ordered by time.

use carobreel::directory::lessor::{Call, CallId, CallResult};
use carobreel::directory::protocol::{DirectoryRequest, Reply};
use carobreel::raft::Message;

/// An event and its time.
pub struct ScheduledEvent {
    pub at: u64,
    pub sequence: u64,
    pub event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.sequence == other.sequence
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum Event {
    Tick(usize),
    Deliver(usize, Vec<Message>),
    Request(usize, DirectoryRequest, u64),
    Reply(u64, Reply),
    CallArrives(usize, Call, bool),
    CallDone(usize, u64, CallId, CallResult),
    Restart(usize),
    /// A full disk accepts writes again.
    DiskFreed(usize),
    Announce(usize),
    Join(usize),
    /// A host's processor continues with its backlog.
    RunBacklog(usize),
    /// An entry host requests changes.
    Watch(usize),
    WatchTimeout(usize, u64),
    /// A replica asks the leader for calls to make.
    AskForRenewals(usize, u64),
    RenewalTimeout(usize, u64),
    /// Checks that an acknowledged configuration is in force at every entry host.
    CheckVersion(u64),
}

/// The purpose of a request that waits for its reply.
#[derive(Clone, Debug)]
pub enum Purpose {
    Configure(u64),
    /// The newest version acknowledged when the request was sent.
    Read(u64),
    Drain(usize),
    Announce(usize, u64),
    /// The number of an order about an availability zone.
    Evacuate(u64),
    /// An entry host and the number of its attempt.
    Watch(usize, u64),
    /// A replica that asks for calls to make, and the number of its attempt.
    Renewals(usize, u64),
    Other,
}

/// The faults of the simulated platform.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// The share of messages between replicas that are lost, in thousandths.
    pub lost_per_mille: u32,
    /// The share of calls to upstreams that get no answer and are applied late, in thousandths.
    pub delayed_calls_per_mille: u32,
    /// How much longer than granted upstreams hold keys, in percent; the contract allows 2.
    pub slow_clock_percent: u64,
}
