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
struct State {
    target: std::sync::Mutex<Option<SocketAddr>>,
    opened: AtomicU64,
    silent_below: AtomicU64,
    cut_after: AtomicUsize,
    hold_ms: AtomicU64,
}

/// A running relay.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    pub async fn bind() -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State::default());
        let relay = Relay {
            address,
            state: state.clone(),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = state.opened.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(carry(state.clone(), stream, number));
            }
        });
        relay
    }

    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap() = Some(target);
    }

    /// Swallows all bytes of the connections open now; new ones work.
    pub fn silence(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.silent_below.store(opened, Ordering::SeqCst);
    }

    /// Closes each connection after this many bytes of answers; 0 for never.
    pub fn cut_after(&self, bytes: usize) {
        self.state.cut_after.store(bytes, Ordering::SeqCst);
    }

    /// Holds every answer back.
    pub fn hold(&self, ms: u64) {
        self.state.hold_ms.store(ms, Ordering::SeqCst);
    }
}

async fn carry(state: Arc<State>, stream: TcpStream, number: u64) {
    let target = *state.target.lock().unwrap();
    let Some(target) = target else { return };
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (caller_rx, caller_tx) = stream.into_split();
    let (upstream_rx, upstream_tx) = upstream.into_split();
    let asking = pass(state.clone(), caller_rx, upstream_tx, number, false);
    let answering = pass(state, upstream_rx, caller_tx, number, true);
    tokio::join!(asking, answering);
}

async fn pass(
    state: Arc<State>,
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    number: u64,
    is_answer: bool,
) {
    let mut buf = vec![0; 16 << 10];
    let mut passed = 0;
    while let Ok(len) = rx.read(&mut buf).await {
        if len == 0 {
            return;
        }
        if number < state.silent_below.load(Ordering::SeqCst) {
            continue;
        }
        let mut bytes = &buf[..len];
        if is_answer {
            let hold = state.hold_ms.load(Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(hold)).await;
            let cut = state.cut_after.load(Ordering::SeqCst);
            if cut > 0 && passed + len > cut {
                bytes = &bytes[..cut.saturating_sub(passed)];
                let _ = tx.write_all(bytes).await;
                return;
            }
        }
        passed += len;
        if tx.write_all(bytes).await.is_err() {
            return;
        }
    }
}
