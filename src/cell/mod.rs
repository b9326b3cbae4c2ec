//! A cell: the replicated log and state that decide who owns what in one region.
//!
//! * [`command`]: what changes the state.
//! * [`state`]: the replicated state machine.
//! * [`ownership`]: leases and the leader's decisions about owners.
//! * [`loads`]: measured load.
//! * [`placement`]: which upstream a slot should go to.
//! * [`describe`]: what a command did, as events.
//! * [`update`]: what changed in the state since a version.
//! * [`ask`]: what is asked of the leader, and its answers.
//! * [`members`]: how a replica on a new disk becomes a voter.
//! * [`store`]: where a replica keeps what must last.
//! * [`replica`]: one replica: log, state and waiting requests.

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
