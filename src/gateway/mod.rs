//! The gateway: what an entry host does with callers' requests where upstreams check their grants
//! themselves. It follows the directory, chooses upstreams, and passes requests on.

pub mod attempt;
pub mod balance;
pub mod body;
mod caller_request;
pub mod daemon;
pub mod follower;
pub mod head_timeout;
pub mod leader_outage;
pub mod metrics;
pub mod protocol;
pub mod proxy;
pub mod request_log;
pub mod request_tracker;
pub mod retry;
pub mod traffic_split;
pub mod upstream_client;
pub mod view;
