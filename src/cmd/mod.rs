//! The commands, one module each, and the code that serving commands share.

pub mod apply;
pub mod check;
pub mod demo;
pub mod directory;
pub mod explain;
pub mod gateway;
pub mod keys;
pub mod load;
pub mod plan;
pub mod quarantine;
pub mod report;
pub mod serve;
pub mod slopes;
pub mod standin;
pub mod status;
pub mod timeline;
pub mod trial;
pub mod watch;
