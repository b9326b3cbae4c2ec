//! Requests of this process to its replica's thread.

use tokio::sync::{mpsc, oneshot};

use crate::wire::RaftBatch;

use super::ask::{Ask, Reply};
use super::lessor::{Call, CallResult};

pub(super) enum Input {
    Raft(RaftBatch),
    /// A request with where it came from.
    Ask(Ask, Origin, oneshot::Sender<Reply>),
    Called(Call, CallResult),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// This process, which wants the leader's answer.
    Here,
    /// Another process, which looks for the leader itself.
    Elsewhere,
}

/// Asks the directory from any thread of its process; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) tx: mpsc::Sender<Input>,
}

impl Handle {
    /// Asks the leader, wherever it is. [`Reply::NotLeader`] means that there is no sure answer now.
    pub async fn ask(&self, ask: Ask) -> Reply {
        let (tx, rx) = oneshot::channel();
        if self
            .tx
            .send(Input::Ask(ask, Origin::Here, tx))
            .await
            .is_err()
        {
            return Reply::NotLeader(None);
        }
        rx.await.unwrap_or(Reply::NotLeader(None))
    }
}
