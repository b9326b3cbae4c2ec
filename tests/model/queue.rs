//! Events in the order of their time.

use carobreel::directory::ask::{Ask, Reply};
use carobreel::directory::lessor::{Call, CallResult};
use carobreel::raft::Message;

/// An event with its time.
pub struct Queued {
    pub at: u64,
    pub order: u64,
    pub event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        self.order == other.order
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// What happens in the model.
#[derive(Clone, Debug)]
pub enum Event {
    Tick(usize),
    Deliver(usize, Vec<Message>),
    Ask(usize, Ask, u64),
    Reply(u64, Reply),
    CallArrives(usize, Call, bool),
    Called(usize, u64, u64, CallResult),
    Restart(usize),
    /// A full disk takes bytes again.
    DiskFreed(usize),
    Announce(usize),
    Join(usize),
    /// A host's processor takes what waits for it.
    Work(usize),
    /// An entry host asks for what changed.
    Follow(usize),
    FollowTimeout(usize, u64),
    /// An acknowledged configuration must be in force at every entry host.
    CheckVersion(u64),
}

/// What a question was about, until its answer comes.
#[derive(Clone, Debug)]
pub enum Question {
    Configure(u64),
    /// The version that was acknowledged when the question was put.
    Read(u64),
    Drain(usize),
    Announce(usize, u64),
    /// An entry host and its request's number.
    Follow(usize, u64),
    Other,
}

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Messages lost, of a thousand.
    pub lost: u32,
    /// Calls to upstreams that are answered by nothing and applied late, of a thousand.
    pub late_calls: u32,
    /// How much longer than told upstreams hold keys, in percent; the contract allows 2.
    pub slow_clock_percent: u64,
}
