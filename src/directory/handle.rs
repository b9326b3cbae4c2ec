//! Access to the replica's thread from the other threads of its process.

use tokio::sync::{mpsc, oneshot};

use crate::wire::RaftBatch;

use super::lessor::{Call, CallResult};
use super::protocol::{DirectoryRequest, Reply};

pub(super) enum DaemonInput {
    Raft(RaftBatch),
    /// A request, its origin, and the channel for the reply.
    Request(DirectoryRequest, Origin, oneshot::Sender<Reply>),
    CallFinished(Call, CallResult),
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
}

impl Handle {
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
