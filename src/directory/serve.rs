//! Requests of other processes to a directory process.

use tokio::sync::{mpsc, oneshot};

use crate::transport::{Endpoint, IncomingRequest};
use crate::wire::{Request, Response};

use super::handle::{DaemonInput, Origin};
use super::protocol::Reply;

#[derive(Clone)]
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    pub(super) tx: mpsc::Sender<DaemonInput>,
}

impl Server {
    /// Takes one request and answers it.
    pub(super) async fn serve(&self, incoming: IncomingRequest) {
        let response = match incoming.request {
            Request::Raft(batch) => {
                let _ = self.tx.send(DaemonInput::Raft(batch)).await;
                return;
            }
            Request::Directory(request) => {
                let (tx, rx) = oneshot::channel();
                let _ = self
                    .tx
                    .send(DaemonInput::Request(request, Origin::Remote, tx))
                    .await;
                Response::Directory(rx.await.unwrap_or(Reply::NotLeader(None)))
            }
            Request::Ping => Response::Ack,
            _ => Response::Unsupported,
        };
        if let Some(mut tx) = incoming.tx {
            // A caller that has gone asks again.
            let _ = self.endpoint.send_response(&mut tx, response).await;
        }
    }
}
