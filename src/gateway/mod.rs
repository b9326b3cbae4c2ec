//! The gateway, the reverse proxy that runs on an entry host. It follows the directory, selects an upstream
//! for each request and forwards the request to it; upstreams check their grants themselves.

pub mod allowed_regions;
pub mod attempt;
pub mod balance;
pub mod body;
mod caller_request;
mod clearance;
pub mod crash_watch;
pub mod daemon;
pub mod evacuation;
pub mod follower;
pub mod head_timeout;
pub mod leader_outage;
pub mod metrics;
pub mod permit;
pub mod permit_book;
pub mod protocol;
pub mod proxy;
pub mod rate_limit;
pub mod request_log;
pub mod request_tracker;
pub mod retry;
pub mod saturation;
pub mod selection;
pub mod service_time;
pub mod suspect_book;
pub mod suspects;
pub mod traffic_split;
pub mod upstream_client;
pub mod view;
pub mod write_timeout;
