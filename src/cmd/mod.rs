//! One module a command.

pub mod apply;
pub mod check;
pub mod demo;
pub mod explain;
pub mod keys;
pub mod load;
pub mod plan;
pub mod slopes;
pub mod standin;
pub mod status;
pub mod timeline;
pub mod trial;
pub mod watch;
