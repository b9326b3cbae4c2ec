//! Connections to one upstream, and proof that they are alive.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::clock::Mono;

/// Opening a connection takes at most this long.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An idle connection is kept at most this long, in milliseconds.
const IDLE_MAX_MS: u64 = 30_000;

/// No connection could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotConnected;

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// When it last answered, or was opened.
    pub proven_at: Mono,
    /// Whether it was used before.
    pub reused: bool,
}

/// Which connection a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Any open one.
    Open,
    /// Only a new one: an open one may have gone silent.
    New,
}

/// The idle connections of one upstream; clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(address: SocketAddr) -> Pool {
        Pool {
            address,
            idle: Arc::default(),
        }
    }

    /// Returns an idle connection that is fresh enough, or opens one.
    pub async fn take(&self, proof: Proof, now: Mono) -> Result<Connection, NotConnected> {
        while let Some(connection) = self.pop(proof, now) {
            if connection.sender.is_ready() {
                return Ok(connection);
            }
        }
        self.connect(now).await
    }

    /// Takes a connection back whose answer was read to its end.
    pub fn put(&self, mut connection: Connection, now: Mono) {
        if connection.sender.is_closed() {
            return;
        }
        connection.proven_at = now;
        connection.reused = true;
        self.lock().push(connection);
    }

    /// Closes all idle connections: one of them stopped answering.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn pop(&self, proof: Proof, now: Mono) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|c| now.since(c.proven_at) < IDLE_MAX_MS);
        match proof {
            Proof::New => None,
            Proof::Open => idle.pop(),
        }
    }

    async fn connect(&self, now: Mono) -> Result<Connection, NotConnected> {
        let opening = TcpStream::connect(self.address);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
        let Ok(Ok(stream)) = opened else {
            return Err(NotConnected);
        };
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(stream);
        let (sender, driver) = http1::handshake(io).await.map_err(|_| NotConnected)?;
        tokio::spawn(driver);
        Ok(Connection {
            sender,
            proven_at: now,
            reused: false,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        match self.idle.lock() {
            Ok(idle) => idle,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}
