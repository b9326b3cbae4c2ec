//! A relay between entry hosts and a stand-in that loses track of connections, cuts answers off or
//! holds them back.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

#[derive(Default)]
struct RelayState {
    target: std::sync::Mutex<Option<SocketAddr>>,
    opened_count: AtomicU64,
    silenced_before: AtomicU64,
    cut_after_bytes: AtomicUsize,
    response_delay_ms: AtomicU64,
}

/// A running relay.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<RelayState>,
}

impl Relay {
    pub async fn bind() -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(RelayState::default());
        let relay = Relay {
            address,
            state: state.clone(),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection_number = state.opened_count.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(relay_connection(state.clone(), stream, connection_number));
            }
        });
        relay
    }

    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap() = Some(target);
    }

    /// Swallows all bytes of the connections open now; new ones work.
    pub fn silence_open_connections(&self) {
        let opened_count = self.state.opened_count.load(Ordering::SeqCst);
        self.state
            .silenced_before
            .store(opened_count, Ordering::SeqCst);
    }

    /// Closes each connection after this many bytes of answers; 0 for never.
    pub fn cut_responses_after(&self, bytes: usize) {
        self.state.cut_after_bytes.store(bytes, Ordering::SeqCst);
    }

    /// Holds every answer back.
    pub fn delay_responses(&self, ms: u64) {
        self.state.response_delay_ms.store(ms, Ordering::SeqCst);
    }
}

async fn relay_connection(state: Arc<RelayState>, stream: TcpStream, connection_number: u64) {
    let target = *state.target.lock().unwrap();
    let Some(target) = target else { return };
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (caller_rx, caller_tx) = stream.into_split();
    let (upstream_rx, upstream_tx) = upstream.into_split();
    let requests = copy_bytes(
        state.clone(),
        caller_rx,
        upstream_tx,
        connection_number,
        false,
    );
    let responses = copy_bytes(state, upstream_rx, caller_tx, connection_number, true);
    tokio::join!(requests, responses);
}

async fn copy_bytes(
    state: Arc<RelayState>,
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    connection_number: u64,
    is_response: bool,
) {
    let mut buf = vec![0; 16 << 10];
    let mut copied = 0;
    while let Ok(len) = rx.read(&mut buf).await {
        if len == 0 {
            return;
        }
        if connection_number < state.silenced_before.load(Ordering::SeqCst) {
            continue;
        }
        let mut bytes = &buf[..len];
        if is_response {
            let delay_ms = state.response_delay_ms.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let cut_after_bytes = state.cut_after_bytes.load(Ordering::SeqCst);
            if cut_after_bytes > 0 && copied + len > cut_after_bytes {
                bytes = &bytes[..cut_after_bytes.saturating_sub(copied)];
                let _ = tx.write_all(bytes).await;
                return;
            }
        }
        copied += len;
        if tx.write_all(bytes).await.is_err() {
            return;
        }
    }
}
