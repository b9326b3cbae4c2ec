//! A cell: the replicated log and state that assign slots to upstreams in one region.
//!
//! * [`command`]: commands that change the state, and their outcomes.
//! * [`state`]: the replicated state machine.
//! * [`ownership`]: leases and slot assignment on the leader.
//! * [`loads`]: request rates by slot and key.
//! * [`placement`]: distribution of slots over upstreams.
//! * [`command_events`]: events that describe applied commands.
//! * [`update`]: incremental updates of the state for entry hosts.
//! * [`request`]: requests to the leader and their replies.
//! * [`membership`]: membership changes for replicas with a new disk.
//! * [`store`]: durable storage of a replica.
//! * [`replica`]: one replica with its log, state and pending requests.

pub mod command;
pub mod command_events;
pub mod loads;
pub mod membership;
pub mod ownership;
pub mod placement;
pub mod replica;
pub mod request;
pub mod state;
pub mod store;
pub mod update;
