//! Events in the order of their time.

use carobreel::directory::lessor::{Call, CallResult};
use carobreel::directory::protocol::{DirectoryRequest, Reply};
use carobreel::raft::Message;

/// An event with its time.
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

/// What happens in the model.
#[derive(Clone, Debug)]
pub enum Event {
    Tick(usize),
    Deliver(usize, Vec<Message>),
    Request(usize, DirectoryRequest, u64),
    Reply(u64, Reply),
    CallArrives(usize, Call, bool),
    CallFinished(usize, u64, u64, CallResult),
    Restart(usize),
    /// A full disk takes bytes again.
    DiskFreed(usize),
    Announce(usize),
    Join(usize),
    /// A host's processor takes what waits for it.
    RunBacklog(usize),
    /// An entry host asks for what changed.
    Watch(usize),
    WatchTimeout(usize, u64),
    /// An acknowledged configuration must be in force at every entry host.
    CheckVersion(u64),
}

/// What a question was about, until its answer comes.
#[derive(Clone, Debug)]
pub enum PendingRequest {
    Configure(u64),
    /// The version that was acknowledged when the question was put.
    Read(u64),
    Drain(usize),
    Announce(usize, u64),
    /// An entry host and its request's number.
    Watch(usize, u64),
    Other,
}

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Messages lost, of a thousand.
    pub lost_per_mille: u32,
    /// Calls to upstreams that are answered by nothing and applied late, of a thousand.
    pub delayed_calls_per_mille: u32,
    /// How much longer than told upstreams hold keys, in percent; the contract allows 2.
    pub slow_clock_percent: u64,
}
