//! The gateway: what an entry host does with callers' requests where upstreams check their grants
//! themselves. It follows the directory, chooses upstreams, and passes requests on.

pub mod attempt;
pub mod balance;
pub mod body;
mod call;
pub mod daemon;
pub mod follow;
pub mod intake;
pub mod journal;
pub mod ledger;
pub mod metrics;
pub mod outage;
pub mod peer;
pub mod protocol;
pub mod proxy;
pub mod retry;
pub mod split;
pub mod view;
