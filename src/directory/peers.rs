//! Messages of the log to other replicas, in order, on one channel for each.

use std::collections::BTreeMap;
use std::time::Duration;

use error_stack::Report;
use tokio::sync::mpsc;

use crate::raft::Message;
use crate::transport::{Channel, Endpoint, TransportError};
use crate::wire::{RaftBatch, Request};

use super::replica::LOG_NAME;

/// Batches that may wait for a peer; more are dropped, and the log sends them again.
const PEER_QUEUE_MAX: usize = 64;
/// A batch is dropped when it isn't sent after this long and nothing arrived from the peer meanwhile.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_200);
/// It is dropped after this many such times in any case.
const SEND_TURNS_MAX: u32 = 8;

/// Queues of messages by the peer's address.
pub struct Peers {
    own: String,
    endpoint: Endpoint,
    queues: BTreeMap<String, mpsc::Sender<RaftBatch>>,
}

impl Peers {
    /// Returns queues for the replica at `own`.
    pub fn new(own: String, endpoint: Endpoint) -> Peers {
        Peers {
            own,
            endpoint,
            queues: BTreeMap::new(),
        }
    }

    /// Queues messages for a peer. What doesn't fit is dropped.
    pub fn send(&mut self, host: &str, messages: Vec<Message>) {
        if !self.queues.contains_key(host) {
            let tx = open_queue(self.endpoint.clone(), host.to_string());
            self.queues.insert(host.to_string(), tx);
        }
        let batch = RaftBatch {
            cell: LOG_NAME.to_string(),
            host: self.own.clone(),
            messages,
        };
        if let Some(queue) = self.queues.get(host) {
            // A full queue means a peer out of reach; the log repeats what it lacks.
            let _ = queue.try_send(batch);
        }
    }
}

fn open_queue(endpoint: Endpoint, peer: String) -> mpsc::Sender<RaftBatch> {
    let (tx, mut rx) = mpsc::channel::<RaftBatch>(PEER_QUEUE_MAX);
    tokio::spawn(async move {
        let mut channel = None;
        while let Some(mut batch) = rx.recv().await {
            while let Ok(next) = rx.try_recv() {
                batch.messages.extend(next.messages);
            }
            channel = send_batch(&endpoint, &peer, channel, batch).await;
        }
    });
    tx
}

/// Sends a batch and returns the channel, unless it failed. A lost batch is sent again by the log's
/// own heartbeats.
async fn send_batch(
    endpoint: &Endpoint,
    peer: &str,
    open: Option<Channel>,
    batch: RaftBatch,
) -> Option<Channel> {
    let sending = async {
        let mut channel = match open {
            Some(channel) => channel,
            None => endpoint.channel(peer).await?,
        };
        channel.send(Request::Raft(batch)).await?;
        Ok::<_, Report<TransportError>>(channel)
    };
    let mut watch = endpoint.watch(peer);
    tokio::pin!(sending);
    // A large entry on a narrow link takes its time; to begin anew would take longer.
    for _ in 0..SEND_TURNS_MAX {
        match tokio::time::timeout(SEND_TIMEOUT, &mut sending).await {
            Ok(Ok(channel)) => return Some(channel),
            Err(_) if watch.has_heard() => {}
            Ok(Err(_)) | Err(_) => break,
        }
    }
    endpoint.drop_silent(peer, watch);
    None
}
