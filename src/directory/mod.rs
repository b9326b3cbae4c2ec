//! The directory: one log replicated over all regions that decides the route configuration, the set of
//! upstreams and the owner of each key. It grants keys to upstreams, which check fencing tokens themselves,
//! and sends its changes to the entry hosts that watch it.

pub mod balance;
pub mod codec;
mod coldness;
mod command_events;
pub mod daemon;
pub mod departures;
mod follower;
pub mod handle;
mod helper;
pub mod inferred_limits;
pub mod key_rates;
pub mod lessor;
pub mod membership;
pub mod metrics;
pub mod model;
pub mod packed;
mod peers;
pub mod permits;
pub mod protocol;
pub mod regions;
pub mod renewals;
pub mod replica;
mod serve;
mod settings;
pub mod speeds;
pub mod state;
mod stats;
pub mod steering;
pub mod suspects;
pub mod trials;
