//! Tests of connections between processes: how many are opened, and when one is dropped.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use carobreel::credentials;
use carobreel::daemon::discard_logger;
use carobreel::event::Recorder;
use carobreel::transport::{Endpoint, IncomingRequest, TransportError};
use carobreel::wire::{Request, Response};

/// Longer than any answer in these tests takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn endpoint(name: &str) -> Endpoint {
    endpoint_at(name, "127.0.0.1:0".parse().unwrap())
}

fn endpoint_at(name: &str, address: SocketAddr) -> Endpoint {
    let tls = credentials::unverified_tls().unwrap();
    let recorder = Recorder::new(name, discard_logger());
    Endpoint::bind(address, BTreeMap::new(), &tls, recorder).unwrap()
}

/// Serves an endpoint that answers each request after `delay_ms`.
fn serve(endpoint: &Endpoint, delay_ms: Arc<AtomicU64>) {
    let endpoint = endpoint.clone();
    tokio::spawn(async move {
        let serving_endpoint = endpoint.clone();
        let serve = move |incoming: IncomingRequest| {
            let (endpoint, delay_ms) = (serving_endpoint.clone(), delay_ms.clone());
            async move {
                tokio::time::sleep(Duration::from_millis(delay_ms.load(Ordering::Relaxed))).await;
                if let Some(mut tx) = incoming.tx {
                    endpoint.send_response(&mut tx, Response::Ack).await.ok();
                }
            }
        };
        endpoint.accept(serve).await;
    });
}

#[tokio::test]
async fn concurrent_requests_to_a_host_share_one_connection() {
    let (server, client) = (endpoint("s"), endpoint("c"));
    serve(&server, Arc::default());
    let host = server.local_address().unwrap().to_string();
    let mut pending = tokio::task::JoinSet::new();
    for _ in 0..30 {
        let (client, host) = (client.clone(), host.clone());
        pending.spawn(async move {
            client
                .call(&host, Request::Ping, CALL_TIMEOUT)
                .await
                .is_ok()
        });
    }
    assert!(pending.join_all().await.into_iter().all(|ok| ok));
    assert_eq!(client.dial_counts().opened, 1);
}

#[tokio::test]
async fn calls_that_time_out_keep_the_connection_attempt() {
    let (server, client) = (endpoint("s"), endpoint("c"));
    serve(&server, Arc::default());
    let host = server.local_address().unwrap().to_string();
    for _ in 0..5 {
        let call = client.call(&host, Request::Ping, Duration::from_micros(1));
        assert!(call.await.is_err());
    }
    client
        .call(&host, Request::Ping, CALL_TIMEOUT)
        .await
        .unwrap();
    // Nothing can have arrived within a microsecond, but that doesn't show that the connection is
    // broken.
    for _ in 0..5 {
        let call = client.call(&host, Request::Ping, Duration::from_micros(1));
        assert!(call.await.is_err());
    }
    client
        .call(&host, Request::Ping, CALL_TIMEOUT)
        .await
        .unwrap();
    let dials = client.dial_counts();
    assert_eq!((dials.opened, dials.failed), (1, 0));
}

#[tokio::test]
async fn a_late_answer_keeps_the_connection() {
    let (server, client) = (endpoint("s"), endpoint("c"));
    let delay_ms = Arc::new(AtomicU64::new(400));
    serve(&server, delay_ms.clone());
    let host = server.local_address().unwrap().to_string();
    let short = Duration::from_millis(150);
    for _ in 0..3 {
        let answer = client.call(&host, Request::Ping, short).await;
        let e = answer.unwrap_err();
        assert_eq!(*e.current_context(), TransportError::Timeout);
    }
    delay_ms.store(0, Ordering::Relaxed);
    client
        .call(&host, Request::Ping, CALL_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(client.dial_counts().opened, 1);
}

/// A process with its own runtime, which can be stopped without sending anything, as by a power
/// failure.
struct Process {
    runtime: tokio::runtime::Runtime,
    host: SocketAddr,
}

impl Process {
    /// Starts a process at `host` that answers each request after `delay`.
    fn start(host: &str, delay: Duration) -> Process {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let host = host.parse().unwrap();
        let bound = runtime.block_on(async move {
            let server = endpoint_at("s", host);
            let delay_ms = Arc::new(AtomicU64::new(delay.as_millis() as u64));
            serve(&server, delay_ms);
            server.local_address().unwrap()
        });
        Process {
            runtime,
            host: bound,
        }
    }

    /// Stops the process and starts a new one at the same address.
    async fn restart(self, delay: Duration) -> Process {
        self.runtime.shutdown_background();
        let host = self.host;
        let end = tokio::time::Instant::now() + CALL_TIMEOUT;
        while UdpSocket::bind(host).is_err() {
            assert!(tokio::time::Instant::now() < end, "the address stays taken");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let host = host.to_string();
        tokio::task::spawn_blocking(move || Process::start(&host, delay))
            .await
            .unwrap()
    }
}

/// Returns a loopback address that is currently free.
fn free_address() -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap().to_string()
}

/// Longest time in which a peer detects the restart of a process: the interval in which a peer
/// sends at least one packet, and a round trip.
const RESTART_DETECTION_MAX: Duration = Duration::from_millis(1_200);

#[tokio::test]
async fn a_pending_request_fails_at_once_when_the_process_restarts() {
    let host = free_address();
    let never_answers = CALL_TIMEOUT * 10;
    let address = host.clone();
    let first = tokio::task::spawn_blocking(move || Process::start(&address, never_answers));
    let first = first.await.unwrap();
    let client = endpoint("c");
    let calling_client = client.clone();
    let pending = tokio::spawn(async move {
        calling_client
            .call(&host, Request::Ping, CALL_TIMEOUT)
            .await
    });
    let end = tokio::time::Instant::now() + CALL_TIMEOUT;
    while client.dial_counts().opened == 0 {
        assert!(tokio::time::Instant::now() < end, "no connection");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let second = first.restart(Duration::ZERO).await;
    let answer = tokio::time::timeout(RESTART_DETECTION_MAX, pending).await;
    let e = answer.expect("still waits").unwrap().unwrap_err();
    assert_eq!(*e.current_context(), TransportError::Lost);
    let host = second.host.to_string();
    client
        .call(&host, Request::Ping, CALL_TIMEOUT)
        .await
        .unwrap();
    second.runtime.shutdown_background();
}

#[tokio::test]
async fn many_peers_detect_a_restart_at_once() {
    const PEERS: usize = 100;
    let host = free_address();
    let address = host.clone();
    let first = tokio::task::spawn_blocking(move || Process::start(&address, Duration::ZERO));
    let first = first.await.unwrap();
    let clients: Vec<Endpoint> = (0..PEERS).map(|_| endpoint("c")).collect();
    for client in &clients {
        client
            .call(&host, Request::Ping, CALL_TIMEOUT)
            .await
            .unwrap();
    }
    let second = first.restart(Duration::ZERO).await;
    let mut pending = tokio::task::JoinSet::new();
    for client in clients {
        let host = host.clone();
        pending.spawn(async move {
            // The first request may use the connection to the earlier process and fails when that
            // turns out to be gone.
            let started_at = tokio::time::Instant::now();
            client.call(&host, Request::Ping, CALL_TIMEOUT).await.ok();
            (started_at.elapsed(), client)
        });
    }
    let answers = pending.join_all().await;
    let late = answers
        .iter()
        .filter(|(took, _)| *took > RESTART_DETECTION_MAX);
    assert_eq!(late.count(), 0, "of {PEERS} peers");
    second.runtime.shutdown_background();
}

#[tokio::test]
async fn a_process_killed_after_acknowledging_a_request_is_given_up_after_one_silence_timeout() {
    let silence_timeout = Duration::from_secs(1);
    let host = free_address();
    let address = host.clone();
    let server = tokio::task::spawn_blocking(move || Process::start(&address, CALL_TIMEOUT * 10));
    let server = server.await.unwrap();
    let client = endpoint("c");
    let calling_client = client.clone();
    let started_at = tokio::time::Instant::now();
    let pending = tokio::spawn(async move {
        let call = calling_client.call_while_receiving(
            &host,
            Request::Ping,
            silence_timeout,
            CALL_TIMEOUT,
        );
        call.await.map_err(|e| *e.current_context())
    });
    while client.dial_counts().opened == 0 {
        assert!(started_at.elapsed() < CALL_TIMEOUT, "no connection");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let ended = tokio::time::Instant::now();
    server.runtime.shutdown_background();
    assert_eq!(pending.await.unwrap().unwrap_err(), TransportError::Timeout);
    assert!(
        ended.elapsed() < silence_timeout * 3 / 2,
        "{:?}",
        ended.elapsed()
    );
}

#[tokio::test]
async fn connect_to_starting_host_succeeds_as_soon_as_the_host_is_up() {
    let host = free_address();
    let client = endpoint("c");
    let started_at = tokio::time::Instant::now();
    client.connect_to_starting_host(&host);
    // By then the first datagram was resent once, also without an answer.
    tokio::time::sleep(Duration::from_millis(250)).await;
    let server = endpoint_at("s", host.parse().unwrap());
    serve(&server, Arc::default());
    client
        .call(&host, Request::Ping, CALL_TIMEOUT)
        .await
        .unwrap();
    assert!(started_at.elapsed() < Duration::from_millis(500));
}
