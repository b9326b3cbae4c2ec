//! QUIC transport with mutual TLS between carobreel processes.

use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{EndpointConfig, IdleTimeout, RecvStream, SendStream, TransportConfig, VarInt};
use quinn_proto::HashedConnectionIdGenerator;

use crate::credentials::Tls;
use crate::event::{Event, Recorder};
use crate::wire::{self, Envelope, Request, Response, WireError};

mod congestion;
mod dial;

use congestion::LossTolerantFactory;
use dial::SharedDial;
pub use dial::{DialCounts, ReceiveWatch};

/// Idle timeout of a connection, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 3_000;
/// At most half of the shortest silence after which a peer gives up on this process.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between stateless resets, which answer packets of connections to an earlier
/// process at the same address. Zero, because hundreds of peers send such packets at once; each
/// reset is shorter than the packet that it answers.
const RESET_INTERVAL: Duration = Duration::ZERO;
/// Round-trip time that is assumed before the first measurement: the longest between regions. A
/// lost first datagram, for example while the peer starts, is sent again after three of them.
const INITIAL_RTT: Duration = Duration::from_millis(70);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A connection isn't dropped after a shorter silence than this: four round trips between regions.
const SILENCE_MIN: Duration = Duration::from_millis(300);
/// How often a pending call checks whether anything arrived from the process that it called.
const RECEIVE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Streams of each kind that one peer may have open at once, unless an endpoint sets another limit.
const STREAMS_MAX: u32 = 4_096;
/// Control messages are sent before traffic on the same connection.
const CONTROL_PRIORITY: i32 = 1;
/// Large messages share the priority of traffic.
const BULK_PRIORITY: i32 = 0;

/// Why a process can't be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransportError {
    /// The address can't be bound.
    Bind(SocketAddr),
    /// TLS can't be set up.
    Tls,
    /// The deployment has no host of this name.
    UnknownHost,
    /// The connection can't be opened.
    Connect,
    /// The connection or the stream was lost.
    Lost,
    /// No response arrived in time.
    Timeout,
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TransportError::Bind(address) => write!(f, "can't listen on {address}"),
            TransportError::Tls => f.write_str("can't set up TLS"),
            TransportError::UnknownHost => f.write_str("no such host in the deployment"),
            TransportError::Connect => f.write_str("can't connect"),
            TransportError::Lost => f.write_str("the connection was lost"),
            TransportError::Timeout => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for TransportError {}

/// The local endpoint of all QUIC connections of a process; clones share it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    quic: quinn::Endpoint,
    peer_addresses: BTreeMap<String, SocketAddr>,
    connections: Mutex<BTreeMap<String, SharedDial>>,
    opened: AtomicU64,
    failed: AtomicU64,
    recorder: Recorder,
}

/// A request from another process, with the stream for the response.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The request.
    pub request: Request,
    /// The stream for the response, or `None` for requests that aren't answered.
    pub tx: Option<SendStream>,
}

/// A stream to one host for requests that aren't answered.
#[derive(Debug)]
pub struct Channel {
    endpoint: Endpoint,
    tx: SendStream,
}

impl Channel {
    /// Sends a request.
    ///
    /// # Errors
    ///
    /// [`TransportError::Lost`] when the stream was closed or its connection was lost.
    pub async fn send(&mut self, request: Request) -> Result<(), Report<TransportError>> {
        let envelope = self.endpoint.envelope(request);
        wire::write_frame(&mut self.tx, &envelope)
            .await
            .change_context(TransportError::Lost)
    }
}

impl Endpoint {
    /// Returns an endpoint that listens on `address`; `peer_addresses` holds the other hosts of the
    /// deployment by name.
    pub fn bind(
        address: SocketAddr,
        peer_addresses: BTreeMap<String, SocketAddr>,
        tls: &Tls,
        recorder: Recorder,
    ) -> Result<Endpoint, Report<TransportError>> {
        Endpoint::bind_with_streams(address, peer_addresses, tls, recorder, STREAMS_MAX)
    }

    /// Works like [`Endpoint::bind`], with another limit of the streams of each kind that one peer may have open
    /// at once. A connection takes about 100 bytes of memory for each of them, whether it is open or not.
    pub fn bind_with_streams(
        address: SocketAddr,
        peer_addresses: BTreeMap<String, SocketAddr>,
        tls: &Tls,
        recorder: Recorder,
        streams_max: u32,
    ) -> Result<Endpoint, Report<TransportError>> {
        let crypto =
            QuicServerConfig::try_from(tls.server.clone()).change_context(TransportError::Tls)?;
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        server.transport_config(Arc::new(transport_config(streams_max)));
        let crypto =
            QuicClientConfig::try_from(tls.client.clone()).change_context(TransportError::Tls)?;
        let mut client = quinn::ClientConfig::new(Arc::new(crypto));
        // Only the process that opened a connection opens streams on it.
        client.transport_config(Arc::new(transport_config(0)));
        let socket =
            std::net::UdpSocket::bind(address).change_context(TransportError::Bind(address))?;
        let runtime = quinn::default_runtime().ok_or(TransportError::Bind(address))?;
        let config = endpoint_config(address)?;
        let mut quic = quinn::Endpoint::new(config, Some(server), socket, runtime)
            .change_context(TransportError::Bind(address))?;
        quic.set_default_client_config(client);
        let inner = Inner {
            quic,
            peer_addresses,
            connections: Mutex::default(),
            opened: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            recorder,
        };
        Ok(Endpoint {
            inner: Arc::new(inner),
        })
    }

    /// Returns the address that the endpoint is bound to.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.inner.quic.local_addr().ok()
    }

    /// Sends a request to a host and returns its response. After a timeout, the connection is dropped
    /// if nothing at all arrived on it for 300 ms or more; otherwise it is kept, since a new
    /// connection would be no faster.
    ///
    /// # Errors
    ///
    /// [`TransportError::Connect`] when nothing was sent; after any other error the request may
    /// have arrived.
    pub async fn call(
        &self,
        host: &str,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Report<TransportError>> {
        self.call_while_receiving(host, request, timeout, timeout)
            .await
    }

    /// Works like [`Endpoint::call`], but keeps waiting, for at most `timeout_max`, while the response is in
    /// transfer, until nothing of it has arrived for `stall_timeout`. Other data on the connection says
    /// nothing about the response.
    pub async fn call_while_receiving(
        &self,
        host: &str,
        request: Request,
        stall_timeout: Duration,
        timeout_max: Duration,
    ) -> Result<Response, Report<TransportError>> {
        let mut watch = self.watch_received(host);
        let received = AtomicU64::new(0);
        let exchange = self.exchange(host, request, &received);
        tokio::pin!(exchange);
        let (mut elapsed, mut silent_for) = (Duration::ZERO, Duration::ZERO);
        let (mut stalled_for, mut received_before) = (Duration::ZERO, 0);
        loop {
            let interval = RECEIVE_POLL_INTERVAL
                .min(stall_timeout - stalled_for)
                .min(timeout_max - elapsed);
            if let Ok(result) = tokio::time::timeout(interval, &mut exchange).await {
                return result;
            }
            elapsed += interval;
            if watch.connection.is_none() {
                watch.connection = self.open_connection(host);
            }
            silent_for = match watch.has_received() {
                true => Duration::ZERO,
                false => silent_for + interval,
            };
            let received_now = received.load(Ordering::Relaxed);
            stalled_for = match std::mem::replace(&mut received_before, received_now) < received_now
            {
                true => Duration::ZERO,
                false => stalled_for + interval,
            };
            if stalled_for < stall_timeout && elapsed < timeout_max {
                continue;
            }
            // Nothing arrived during the whole call, or for the full stall timeout: packets that
            // arrived before such a silence don't show that the connection still works.
            let is_silent = silent_for == elapsed || silent_for >= stall_timeout;
            if is_silent && silent_for >= SILENCE_MIN {
                if let Some(connection) = &watch.connection {
                    self.drop_connection(host, connection);
                }
            }
            return Err(Report::new(TransportError::Timeout));
        }
    }

    /// Sends a request that isn't answered.
    pub async fn send(&self, host: &str, request: Request) -> Result<(), Report<TransportError>> {
        let connection = self.connection(host).await?;
        let opened = connection.open_uni().await;
        let mut tx = self.drop_if_lost(host, &connection, opened)?;
        let _ = tx.set_priority(CONTROL_PRIORITY);
        let envelope = self.envelope(request);
        wire::write_frame(&mut tx, &envelope)
            .await
            .change_context(TransportError::Lost)?;
        let _ = tx.finish();
        Ok(())
    }

    /// Opens a channel to a host for requests that aren't answered; they arrive in order.
    pub async fn open_channel(&self, host: &str) -> Result<Channel, Report<TransportError>> {
        self.open_channel_with_priority(host, CONTROL_PRIORITY)
            .await
    }

    /// Opens a channel for large requests; requests on other channels are sent before them.
    pub async fn open_bulk_channel(&self, host: &str) -> Result<Channel, Report<TransportError>> {
        self.open_channel_with_priority(host, BULK_PRIORITY).await
    }

    async fn open_channel_with_priority(
        &self,
        host: &str,
        priority: i32,
    ) -> Result<Channel, Report<TransportError>> {
        let connection = self.connection(host).await?;
        let opened = connection.open_uni().await;
        let tx = self.drop_if_lost(host, &connection, opened)?;
        let _ = tx.set_priority(priority);
        Ok(Channel {
            endpoint: self.clone(),
            tx,
        })
    }

    /// Sends a request whose response has a body; returns the stream of the request and that of
    /// the response.
    pub async fn open_stream(
        &self,
        host: &str,
        request: Request,
    ) -> Result<(SendStream, RecvStream), Report<TransportError>> {
        let connection = self.connection(host).await?;
        let opened = connection.open_bi().await;
        let (mut tx, rx) = self.drop_if_lost(host, &connection, opened)?;
        let envelope = self.envelope(request);
        wire::write_frame(&mut tx, &envelope)
            .await
            .change_context(TransportError::Lost)?;
        let _ = tx.finish();
        Ok((tx, rx))
    }

    /// Writes a response and leaves the stream open for a body.
    pub async fn send_response(
        &self,
        tx: &mut SendStream,
        response: Response,
    ) -> Result<(), Report<TransportError>> {
        let envelope = self.envelope(response);
        wire::write_frame(tx, &envelope)
            .await
            .change_context(TransportError::Lost)
    }

    /// Reads a response.
    pub async fn read_response(
        &self,
        rx: &mut RecvStream,
    ) -> Result<Response, Report<TransportError>> {
        let envelope: Envelope<Response> = wire::read_frame(rx)
            .await
            .change_context(TransportError::Lost)?;
        self.inner.recorder.clock().merge(envelope.time);
        Ok(envelope.body)
    }

    /// Accepts connections until the endpoint is closed and passes each request to `handler`.
    pub async fn accept<F, Fut>(&self, handler: F)
    where
        F: Fn(IncomingRequest) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        while let Some(incoming) = self.inner.quic.accept().await {
            let endpoint = self.clone();
            let handler = handler.clone();
            tokio::spawn(async move { endpoint.serve_peer(incoming, handler).await });
        }
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.inner.quic.close(VarInt::from_u32(0), b"closing");
    }

    async fn serve_peer<F, Fut>(&self, incoming: quinn::Incoming, handler: F)
    where
        F: Fn(IncomingRequest) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let address = incoming.remote_address();
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(e) => {
                self.inner.recorder.record(Event::PeerRefused {
                    address: address.to_string(),
                    reason: e.to_string(),
                });
                return;
            }
        };
        loop {
            tokio::select! {
                stream = connection.accept_bi() => {
                    let Ok((tx, rx)) = stream else { break };
                    self.serve_stream(rx, tx, handler.clone());
                }
                stream = connection.accept_uni() => {
                    let Ok(rx) = stream else { break };
                    self.serve_channel(rx, handler.clone());
                }
            }
        }
    }

    fn serve_stream<F, Fut>(&self, mut rx: RecvStream, tx: SendStream, handler: F)
    where
        F: Fn(IncomingRequest) -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let endpoint = self.clone();
        tokio::spawn(async move {
            match endpoint.read_request(&mut rx).await {
                Ok(request) => {
                    let tx = Some(tx);
                    handler(IncomingRequest { request, tx }).await;
                }
                Err(e) => endpoint.record_refused_message(&e),
            }
        });
    }

    /// Handles requests that aren't answered one after the other until the stream ends.
    fn serve_channel<F, Fut>(&self, mut rx: RecvStream, handler: F)
    where
        F: Fn(IncomingRequest) -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let endpoint = self.clone();
        tokio::spawn(async move {
            loop {
                match endpoint.read_request(&mut rx).await {
                    Ok(request) => handler(IncomingRequest { request, tx: None }).await,
                    Err(e) if *e.current_context() == WireError::Closed => break,
                    Err(e) => {
                        endpoint.record_refused_message(&e);
                        break;
                    }
                }
            }
        });
    }

    async fn read_request(&self, rx: &mut RecvStream) -> Result<Request, Report<WireError>> {
        let envelope: Envelope<Request> = wire::read_frame(rx).await?;
        self.inner.recorder.clock().merge(envelope.time);
        Ok(envelope.body)
    }

    fn record_refused_message(&self, e: &Report<WireError>) {
        self.inner.recorder.record(Event::MessageRefused {
            reason: e.current_context().to_string(),
        });
    }

    async fn exchange(
        &self,
        host: &str,
        request: Request,
        received: &AtomicU64,
    ) -> Result<Response, Report<TransportError>> {
        let connection = self.connection(host).await?;
        let opened = connection.open_bi().await;
        let (mut tx, mut rx) = self.drop_if_lost(host, &connection, opened)?;
        let _ = tx.set_priority(CONTROL_PRIORITY);
        let envelope = self.envelope(request);
        wire::write_frame(&mut tx, &envelope)
            .await
            .change_context(TransportError::Lost)?;
        let _ = tx.finish();
        let envelope: Envelope<Response> = wire::read_counted_frame(&mut rx, received)
            .await
            .change_context(TransportError::Lost)?;
        self.inner.recorder.clock().merge(envelope.time);
        Ok(envelope.body)
    }

    fn envelope<B>(&self, body: B) -> Envelope<B> {
        Envelope {
            time: self.inner.recorder.clock().tick(),
            body,
        }
    }
}

/// Returns a configuration whose stateless resets stay valid after a restart, so that peers of a
/// restarted process learn at once that their connections are gone.
fn endpoint_config(address: SocketAddr) -> Result<EndpointConfig, Report<TransportError>> {
    let port = address.port();
    if port == 0 {
        return Ok(EndpointConfig::default());
    }
    let key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, address.to_string().as_bytes());
    let mut id_key = [0; size_of::<u64>()];
    let signed = ring::hmac::sign(&key, b"connection ids");
    id_key.copy_from_slice(&signed.as_ref()[..size_of::<u64>()]);
    let mut config = EndpointConfig::new(Arc::new(key));
    // Resets are sent only for connection ids that this process recognizes as its own, so the key
    // of the ids has to be the same after a restart.
    let id_key = u64::from_le_bytes(id_key);
    config.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(id_key)));
    config.min_reset_interval(RESET_INTERVAL);
    Ok(config)
}

/// Returns the configuration of connections on which the peer may open `streams_max` streams of each kind.
fn transport_config(streams_max: u32) -> TransportConfig {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    config.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    config.initial_rtt(INITIAL_RTT);
    config.congestion_controller_factory(Arc::new(LossTolerantFactory));
    config.max_concurrent_bidi_streams(VarInt::from_u32(streams_max));
    config.max_concurrent_uni_streams(VarInt::from_u32(streams_max));
    config
}
