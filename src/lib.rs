//! A router for upstream servers that own their keys exclusively.
//!
//! Decision code ([`raft`], [`cell`], the tables and limits in [`entry`]) takes time and messages
//! as input; the daemons in [`control`] and [`entry`] connect it to sockets, disks and clocks.

pub mod body_memory;
pub mod cell;
pub mod chart;
pub mod claim;
pub mod client;
pub mod clock;
pub mod control;
pub mod credentials;
pub mod daemon;
pub mod decay;
pub mod diagnosis;
pub mod directory;
pub mod document;
pub mod duration;
pub mod entry;
pub mod event;
pub mod exposition;
pub mod gateway;
pub mod history;
pub mod host;
pub mod http;
pub mod http_server;
pub mod load_generator;
pub mod local_deployment;
pub mod lock;
pub mod logs;
pub mod metrics;
pub mod pace;
pub mod platform;
pub mod raft;
pub mod rate_limit;
pub mod report;
pub mod request_digest;
pub mod schema;
pub mod selector;
pub mod settings;
pub mod sketch;
pub mod slope;
pub mod slot;
pub mod standin;
pub mod storage;
pub mod supervisor;
pub mod transport;
pub mod trial;
pub mod wire;
