//! Requests of this process to its replica's thread.

use tokio::sync::{mpsc, oneshot};

use crate::wire::RaftBatch;

use super::lessor::{Call, CallResult};
use super::protocol::{DirectoryRequest, Reply};

pub(super) enum DaemonInput {
    Raft(RaftBatch),
    /// A request with where it came from.
    Request(DirectoryRequest, Origin, oneshot::Sender<Reply>),
    CallFinished(Call, CallResult),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// This process, which wants the leader's answer.
    Local,
    /// Another process, which looks for the leader itself.
    Remote,
}

/// Asks the directory from any thread of its process; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) tx: mpsc::Sender<DaemonInput>,
}

impl Handle {
    /// Asks the leader, wherever it is. [`Reply::NotLeader`] means that there is no sure answer now.
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
