//! The directory: one replicated log over all regions that decides the route configuration, which
//! upstreams there are, and who owns which keys. It grants keys to upstreams that check fences
//! themselves, and entry hosts follow its changes.

pub mod balance;
pub mod codec;
mod command_events;
pub mod daemon;
mod follower;
pub mod handle;
pub mod lessor;
pub mod membership;
pub mod metrics;
pub mod model;
mod peers;
pub mod protocol;
pub mod replica;
mod serve;
pub mod speeds;
pub mod state;
mod stats;
