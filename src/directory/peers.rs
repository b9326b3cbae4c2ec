//! Messages of the log to other replicas: on one channel what keeps a leader known, on another one entries
//! and states, which may take long on a narrow link. Each channel keeps its order.

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
const SEND_TIMEOUTS_MAX: u32 = 8;

/// Which channel carries a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ChannelKind {
    /// Heartbeats, votes and replies.
    Control,
    /// Entries and states.
    Bulk,
}

/// Queues of messages by the peer's address and channel.
pub struct PeerQueues {
    own_address: String,
    endpoint: Endpoint,
    queues: BTreeMap<(String, ChannelKind), mpsc::Sender<RaftBatch>>,
}

impl PeerQueues {
    /// Returns queues for the replica at `own_address`.
    pub fn new(own_address: String, endpoint: Endpoint) -> PeerQueues {
        PeerQueues {
            own_address,
            endpoint,
            queues: BTreeMap::new(),
        }
    }

    /// Queues messages for a peer. What doesn't fit is dropped.
    pub fn send(&mut self, host: &str, messages: Vec<Message>) {
        let is_bulk = |msg: &Message| msg.body.is_bulk();
        let (bulk, control) = messages.into_iter().partition(is_bulk);
        self.enqueue(host, ChannelKind::Control, control);
        self.enqueue(host, ChannelKind::Bulk, bulk);
    }

    fn enqueue(&mut self, host: &str, kind: ChannelKind, messages: Vec<Message>) {
        if messages.is_empty() {
            return;
        }
        let endpoint = &self.endpoint;
        let queue = self
            .queues
            .entry((host.to_string(), kind))
            .or_insert_with(|| open_queue(endpoint.clone(), host.to_string(), kind));
        let batch = RaftBatch {
            cell: LOG_NAME.to_string(),
            host: self.own_address.clone(),
            messages,
        };
        // A full queue means a peer out of reach; the log repeats what it lacks.
        let _ = queue.try_send(batch);
    }
}

fn open_queue(endpoint: Endpoint, peer: String, kind: ChannelKind) -> mpsc::Sender<RaftBatch> {
    let (tx, mut rx) = mpsc::channel::<RaftBatch>(PEER_QUEUE_MAX);
    tokio::spawn(async move {
        let mut channel = None;
        while let Some(mut batch) = rx.recv().await {
            while let Ok(next) = rx.try_recv() {
                batch.messages.extend(next.messages);
            }
            channel = send_batch(&endpoint, &peer, kind, channel, batch).await;
        }
    });
    tx
}

/// Sends a batch and returns the channel, unless it failed. What a lost batch carried is sent again by the
/// log.
async fn send_batch(
    endpoint: &Endpoint,
    peer: &str,
    kind: ChannelKind,
    open: Option<Channel>,
    batch: RaftBatch,
) -> Option<Channel> {
    let sending = async {
        let mut channel = match (open, kind) {
            (Some(channel), _) => channel,
            (None, ChannelKind::Control) => endpoint.open_channel(peer).await?,
            (None, ChannelKind::Bulk) => endpoint.open_bulk_channel(peer).await?,
        };
        channel.send(Request::Raft(batch)).await?;
        Ok::<_, Report<TransportError>>(channel)
    };
    let mut watch = endpoint.watch_received(peer);
    tokio::pin!(sending);
    // A large entry on a narrow link takes its time; to begin anew would take longer.
    for _ in 0..SEND_TIMEOUTS_MAX {
        match tokio::time::timeout(SEND_TIMEOUT, &mut sending).await {
            Ok(Ok(channel)) => return Some(channel),
            Err(_) if watch.has_received() => {}
            Ok(Err(_)) | Err(_) => break,
        }
    }
    endpoint.drop_if_silent(peer, watch);
    None
}
