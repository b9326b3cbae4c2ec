//! A pool of connections to one upstream, with the time of each connection's last answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::clock::Mono;
use crate::pace::{LinkPacers, PacedStream};

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept, in milliseconds, unless the upstream states its own limit.
const IDLE_MAX_MS: u64 = 30_000;
/// How long before the upstream's own limit an idle connection is closed, in milliseconds.
const IDLE_MARGIN_MS: u64 = 500;

/// The error that no connection could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectError;

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// When the connection last answered, or was opened.
    pub last_answered_at: Mono,
    /// Whether the connection carried a request before.
    pub reused: bool,
    idle_max_ms: u64,
    _open_count_guard: OpenCountGuard,
}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
struct OpenCountGuard(Arc<AtomicUsize>);

impl OpenCountGuard {
    fn new(open: &Arc<AtomicUsize>) -> OpenCountGuard {
        open.fetch_add(1, Ordering::SeqCst);
        OpenCountGuard(open.clone())
    }
}

impl Drop for OpenCountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Which connection a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Any idle connection.
    Any,
    /// An idle connection that answered within this many milliseconds; the one that was idle
    /// longest goes first.
    AnsweredWithin(u64),
    /// Only a new connection: an open one may be dead without any error.
    NewOnly,
}

/// The connections of one upstream; clones share them.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    connections_max: usize,
    pacers: LinkPacers,
    open_connections: Arc<AtomicUsize>,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl ConnectionPool {
    /// Returns an empty pool that keeps to `connections_max` connections by closing idle ones.
    pub fn new(address: SocketAddr, connections_max: usize) -> ConnectionPool {
        ConnectionPool {
            address,
            connections_max: connections_max.max(1),
            pacers: LinkPacers::default(),
            open_connections: Arc::default(),
            idle: Arc::default(),
        }
    }

    /// Returns the pool with both directions of its connections paced to a link's bandwidth.
    pub fn with_pacing(self, pacers: LinkPacers) -> ConnectionPool {
        ConnectionPool { pacers, ..self }
    }

    /// Returns the number of open connections, idle ones included.
    pub fn open_count(&self) -> usize {
        self.open_connections.load(Ordering::SeqCst)
    }

    /// Returns an idle connection that `reuse` allows, or opens one.
    pub async fn take(
        &self,
        reuse: ConnectionReuse,
        now: Mono,
    ) -> Result<Connection, ConnectError> {
        while let Some(connection) = self.take_idle(reuse, now) {
            if connection.sender.is_ready() {
                return Ok(connection);
            }
        }
        self.close_excess_idle();
        self.connect(now).await
    }

    /// Takes back a connection whose answer was read to its end. `idle_ms` is how long the upstream
    /// says it keeps the connection open.
    pub fn put(&self, mut connection: Connection, idle_ms: Option<u64>, now: Mono) {
        if connection.sender.is_closed() {
            return;
        }
        connection.last_answered_at = now;
        connection.reused = true;
        if let Some(ms) = idle_ms {
            connection.idle_max_ms = ms.saturating_sub(IDLE_MARGIN_MS);
        }
        self.lock().push(connection);
    }

    /// Closes all idle connections, after one connection to the upstream stopped answering.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    /// Closes idle connections, oldest first, until a new one is within the limit.
    fn close_excess_idle(&self) {
        let mut idle = self.lock();
        while self.open_count() >= self.connections_max && !idle.is_empty() {
            idle.remove(0);
        }
    }

    fn take_idle(&self, reuse: ConnectionReuse, now: Mono) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(|c| now.since(c.last_answered_at) < c.idle_max_ms);
        match reuse {
            ConnectionReuse::NewOnly => None,
            ConnectionReuse::Any => idle.pop(),
            ConnectionReuse::AnsweredWithin(ms) => {
                let first = idle
                    .iter()
                    .position(|c| now.since(c.last_answered_at) < ms)?;
                Some(idle.remove(first))
            }
        }
    }

    async fn connect(&self, now: Mono) -> Result<Connection, ConnectError> {
        let opening = TcpStream::connect(self.address);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await;
        let Ok(Ok(stream)) = opened else {
            return Err(ConnectError);
        };
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(PacedStream::new(stream, self.pacers.clone()));
        let (sender, driver) = http1::handshake(io).await.map_err(|_| ConnectError)?;
        tokio::spawn(driver);
        Ok(Connection {
            sender,
            last_answered_at: now,
            reused: false,
            idle_max_ms: IDLE_MAX_MS,
            _open_count_guard: OpenCountGuard::new(&self.open_connections),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        match self.idle.lock() {
            Ok(idle) => idle,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}
