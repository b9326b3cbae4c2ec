//! Access to the replica's thread from the other threads of its process.

use std::net::IpAddr;

use tokio::sync::{mpsc, oneshot, watch};

use crate::wire::RaftBatch;

use super::lessor::{Call, CallResult};
use super::protocol::{DirectoryRequest, Reply};
use super::steering::HeartbeatHosts;

pub(super) enum DaemonInput {
    Raft(RaftBatch),
    /// A request, its origin, and the channel for the reply.
    Request(DirectoryRequest, Origin, oneshot::Sender<Reply>),
    CallFinished(Call, CallResult),
    /// A call that this host made for the leader failed.
    SharedCallFailed(Call, CallResult),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// This process, which expects the leader's reply.
    Local,
    /// Another process, which looks for the leader itself.
    Remote,
}

/// Sends requests to the directory from any thread of its process. Clones share the same channel.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) tx: mpsc::Sender<DaemonInput>,
    pub(super) heartbeat_hosts: watch::Receiver<HeartbeatHosts>,
}

impl Handle {
    /// Returns the host to which the upstream `id` should send its next heartbeats, if it makes a difference.
    pub fn heartbeat_host(&self, id: &str) -> Option<IpAddr> {
        self.heartbeat_hosts.borrow().choose(id)
    }

    /// Sends a request to the leader, on whichever host it runs, and returns its reply. [`Reply::NotLeader`]
    /// means that no leader gave a reliable reply; the request may have been carried out.
    pub async fn ask(&self, request: DirectoryRequest) -> Reply {
        let (tx, rx) = oneshot::channel();
        if self
            .tx
            .send(DaemonInput::Request(request, Origin::Local, tx))
            .await
            .is_err()
        {
            return Reply::NotLeader(None);
        }
        rx.await.unwrap_or(Reply::NotLeader(None))
    }
}
