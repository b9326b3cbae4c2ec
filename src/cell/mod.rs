//! A cell: the replicated log and state that decide who owns what in one region.
//!
//! * [`state`]: the replicated state machine.
//! * [`ownership`]: leases and the leader's decisions about owners.
//! * [`placement`]: which upstream a slot should go to.
//! * [`update`]: what changed in the state since a version.
//! * [`replica`]: one replica: log, state and waiting requests.

pub mod ownership;
pub mod placement;
pub mod replica;
pub mod state;
pub mod update;
