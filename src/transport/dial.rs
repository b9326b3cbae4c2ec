//! Connections to other hosts. Concurrent requests share one attempt to connect, and only silent
//! connections are dropped.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::MutexGuard;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use quinn::{Connecting, Connection};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::lock::lock;

use super::{Endpoint, TransportError, CONNECT_TIMEOUT};

/// The state of the connection to one host, shared by all requests that wait for it.
pub(super) type SharedDial = watch::Receiver<DialState>;

#[derive(Clone, Debug)]
pub(super) enum DialState {
    Pending,
    Open(Connection),
    Failed(TransportError),
}

impl DialState {
    fn is_usable(&self) -> bool {
        match self {
            DialState::Pending => true,
            DialState::Open(connection) => connection.close_reason().is_none(),
            DialState::Failed(_) => false,
        }
    }
}

/// Attempts to connect to a host that may still be starting; they begin
/// [`STARTING_ATTEMPT_INTERVAL`] apart.
const STARTING_ATTEMPTS: usize = 5;
/// Longer than a handshake within a region; to another region a second attempt may begin before the
/// first completes.
const STARTING_ATTEMPT_INTERVAL: Duration = Duration::from_millis(100);

/// Starts up to `attempts_max` concurrent attempts to connect and returns the first connection.
async fn connect_with_attempts(
    quic: &quinn::Endpoint,
    first_attempt: Connecting,
    address: SocketAddr,
    name: &str,
    attempts_max: usize,
) -> Option<Connection> {
    let mut attempts = JoinSet::new();
    attempts.spawn(first_attempt);
    for _ in 1..attempts_max {
        let connected = tokio::time::timeout(STARTING_ATTEMPT_INTERVAL, attempts.join_next()).await;
        if let Ok(Some(Ok(Ok(connection)))) = connected {
            return Some(connection);
        }
        if let Ok(connecting) = quic.connect(address, name) {
            attempts.spawn(connecting);
        }
    }
    while let Some(connected) = attempts.join_next().await {
        if let Ok(Ok(connection)) = connected {
            return Some(connection);
        }
    }
    None
}

/// Outgoing connections of a process since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DialCounts {
    /// Connections opened.
    pub opened: u64,
    /// Connections that couldn't be opened, counted once whatever the number of attempts.
    pub failed: u64,
}

impl Endpoint {
    /// Returns the number of outgoing connections opened and failed.
    pub fn dial_counts(&self) -> DialCounts {
        DialCounts {
            opened: self.inner.opened.load(Ordering::Relaxed),
            failed: self.inner.failed.load(Ordering::Relaxed),
        }
    }

    /// Returns a watch that reports whether anything arrives from a host from now on.
    pub fn watch_received(&self, host: &str) -> ReceiveWatch {
        let mut watch = ReceiveWatch {
            connection: self.open_connection(host),
            datagrams: 0,
        };
        watch.has_received();
        watch
    }

    /// Drops the connection of a watch if nothing arrived on it.
    pub fn drop_if_silent(&self, host: &str, mut watch: ReceiveWatch) {
        if watch.has_received() {
            return;
        }
        if let Some(connection) = &watch.connection {
            self.drop_connection(host, connection);
        }
    }

    pub(super) fn drop_if_lost<T, E>(
        &self,
        host: &str,
        connection: &Connection,
        opened: Result<T, E>,
    ) -> Result<T, Report<TransportError>>
    where
        E: std::error::Error + Send + Sync + 'static,
    {
        if opened.is_err() {
            self.drop_connection(host, connection);
        }
        opened.change_context(TransportError::Connect)
    }

    pub(super) async fn connection(
        &self,
        host: &str,
    ) -> Result<Connection, Report<TransportError>> {
        let mut dial = self.dial(host, 1)?;
        let state = dial.wait_for(|d| !matches!(d, DialState::Pending)).await;
        match state.as_deref() {
            Ok(DialState::Open(connection)) => Ok(connection.clone()),
            Ok(DialState::Failed(e)) => Err(Report::new(*e)),
            Ok(DialState::Pending) | Err(_) => Err(Report::new(TransportError::Connect)),
        }
    }

    /// Begins to connect to a host that starts at the same time as this one. Datagrams that arrive
    /// before the host listens are lost and would be resent only after a while, so several attempts
    /// are made.
    pub fn connect_to_starting_host(&self, host: &str) {
        // The failure is logged by the request that needs the connection.
        let _ = self.dial(host, STARTING_ATTEMPTS);
    }

    /// Returns the connection to a host, or begins to open one with up to `attempts_max` attempts.
    /// Later requests for the host share this dial, which continues when one of them is given up.
    fn dial(&self, host: &str, attempts_max: usize) -> Result<SharedDial, Report<TransportError>> {
        let mut connections = self.connections();
        if let Some(dial) = connections.get(host) {
            if dial.borrow().is_usable() {
                return Ok(dial.clone());
            }
        }
        let configured = self.inner.peer_addresses.get(host).copied();
        let Some(address) = configured.or_else(|| host.parse().ok()) else {
            return Err(Report::new(TransportError::UnknownHost));
        };
        let name = host.rsplit_once(':').map_or(host, |(ip, _)| ip);
        let first_attempt = self
            .inner
            .quic
            .connect(address, name)
            .change_context(TransportError::Connect)?;
        let (tx, dial) = watch::channel(DialState::Pending);
        connections.insert(host.to_string(), dial.clone());
        let inner = self.inner.clone();
        let name = name.to_string();
        tokio::spawn(async move {
            let attempts =
                connect_with_attempts(&inner.quic, first_attempt, address, &name, attempts_max);
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, attempts).await;
            let state = match connected {
                Ok(Some(connection)) => {
                    inner.opened.fetch_add(1, Ordering::Relaxed);
                    DialState::Open(connection)
                }
                // Requests that wait for the connection log the failure with their own context.
                Ok(None) | Err(_) => {
                    inner.failed.fetch_add(1, Ordering::Relaxed);
                    DialState::Failed(TransportError::Connect)
                }
            };
            tx.send_replace(state);
        });
        Ok(dial)
    }

    fn connections(&self) -> MutexGuard<'_, BTreeMap<String, SharedDial>> {
        lock(&self.inner.connections)
    }

    /// Returns the connection to a host if it is open.
    pub(super) fn open_connection(&self, host: &str) -> Option<Connection> {
        let connections = self.connections();
        let state = connections.get(host)?.borrow().clone();
        match state {
            DialState::Open(connection) => Some(connection),
            _ => None,
        }
    }

    pub(super) fn drop_connection(&self, host: &str, connection: &Connection) {
        let is_same = self
            .open_connection(host)
            .is_some_and(|c| c.stable_id() == connection.stable_id());
        if is_same {
            self.connections().remove(host);
        }
    }
}

/// Watches the datagrams received on a connection, to distinguish a slow process from a silent one.
#[derive(Debug)]
pub struct ReceiveWatch {
    pub(super) connection: Option<Connection>,
    datagrams: u64,
}

impl ReceiveWatch {
    /// Reports whether anything arrived since the last call or, at the first call, since the watch
    /// began.
    pub fn has_received(&mut self) -> bool {
        let Some(connection) = &self.connection else {
            return false;
        };
        let datagrams = connection.stats().udp_rx.datagrams;
        std::mem::replace(&mut self.datagrams, datagrams) < datagrams
    }
}
