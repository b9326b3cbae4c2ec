//! The gateway process: listeners, the directory follower, and graceful shutdown.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body_memory::BodyMemory;
use crate::clock::Clock;
use crate::credentials::Tls;
use crate::event::{Event, Recorder};
use crate::exposition;
use crate::host::HostSettings;
use crate::lock::lock;
use crate::pace::{LinkPacers, PacedStream};
use crate::transport::Endpoint;

use super::allowed_regions::UnservedRoutes;
use super::crash_watch::CrashWatch;
use super::follower::{DirectoryFollower, KeyCounter};
use super::head_timeout::HeadTimeoutStream;
use super::leader_outage::LeaderOutage;
use super::protocol::Protocol;
use super::proxy::{Proxy, ProxyState, StopSchedule};
use super::request_tracker::{RequestTracker, TRAFFIC_LOG_INTERVAL_MS};
use super::retry::RetryBudget;
use super::suspects::Suspects;
use super::traffic_split::TrafficSplitter;
use super::upstream_client::UpstreamClients;
use super::view::DirectoryView;
use super::write_timeout::WriteTimeoutStream;

/// Delay from the request to stop until responses close their connections.
const CLOSE_CONNECTIONS_AFTER: Duration = Duration::from_millis(500);
/// Time for which new connections are accepted after the request to stop: the load balancer in front only
/// learns of it by polling readiness.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3_200);
/// Share of the grace period after which no connections are accepted, where that is earlier.
const ACCEPT_SHARE: f64 = 0.55;
/// Time for which requests are taken that may last beyond the end of the process: most need only a part of the
/// time that their callers allow.
const TAKE_LONG_AFTER_STOP: Duration = Duration::from_millis(2_800);
/// Share of the grace period after which such requests are refused, where that is earlier.
const TAKE_LONG_SHARE: f64 = 0.45;
/// Margin between the end of the process and the end of its grace period, when it would be killed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(250);
/// Delay after a failure to accept a connection, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Added to the configured idle timeout of callers' connections.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle timeout of callers' connections while no configuration is known.
const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum buffer size that the HTTP library supports, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8_192;

/// Share of the process's memory for callers' bodies, in percent. A body of the usual maximum of 64 MiB fits.
const CALLER_BODIES_PERCENT: usize = 50;
/// Share of the process's memory for buffered responses, in percent.
const BUFFERED_RESPONSES_PERCENT: usize = 12;
/// Timeout for reading the head of a readiness check.
const READINESS_HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a gateway can't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The settings lack the address for callers or for readiness.
    NoAddress,
    /// This address can't be bound.
    Bind(SocketAddr),
    /// The endpoint for other processes can't be opened.
    Endpoint,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::NoAddress => {
                f.write_str("settings lack the address for callers or readiness")
            }
            StartError::Bind(address) => write!(f, "can't listen on {address}"),
            StartError::Endpoint => f.write_str("can't open the endpoint for other processes"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway<P> {
    proxy: Proxy<P>,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    is_stopping: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    serve_task: tokio::task::JoinHandle<()>,
    recorder: Recorder,
}

impl<P: Protocol> Gateway<P> {
    /// Starts a gateway in the current runtime and returns once it listens.
    pub async fn spawn(
        settings: &HostSettings,
        tls: &Tls,
        protocol: P,
        clock: Clock,
        recorder: Recorder,
    ) -> Result<Gateway<P>, Report<StartError>> {
        let no_address = || Report::new(StartError::NoAddress);
        let callers = settings.caller_address.ok_or_else(no_address)?;
        let readiness = settings.readiness_address.ok_or_else(no_address)?;
        let endpoint = Endpoint::bind(
            settings.peer_address,
            BTreeMap::new(),
            tls,
            recorder.clone(),
        )
        .change_context(StartError::Endpoint)?;
        let (view_tx, view) = watch::channel(Arc::new(DirectoryView::default()));
        let key_counter = Arc::new(KeyCounter::default());
        let tracker = Arc::new(RequestTracker::new(clock, view.clone(), recorder.clone()));
        let memory_bytes = settings.memory_mb as usize * 1_000_000;
        let link_pacers = LinkPacers::new(settings.link_mbps);
        let metrics = tracker.metrics.clone();
        let clients = Arc::new(UpstreamClients::new(
            recorder.clone(),
            metrics,
            link_pacers.clone(),
            BodyMemory::with_bytes(memory_bytes * BUFFERED_RESPONSES_PERCENT / 100),
        ));
        let seeds = Arc::new(Mutex::new(settings.seeds.clone()));
        let outage = Arc::new(LeaderOutage::default());
        let suspects = Arc::new(Suspects::new(
            settings.host.clone(),
            endpoint.clone(),
            clock,
            recorder.clone(),
            tracker.metrics.clone(),
        ));
        let follower = DirectoryFollower {
            host: settings.host.clone(),
            seeds: seeds.clone(),
            endpoint,
            view: view_tx,
            key_counter: key_counter.clone(),
            clients: clients.clone(),
            suspects: suspects.clone(),
            outage: outage.clone(),
            clock,
            recorder: recorder.clone(),
            unserved_routes: UnservedRoutes::new(
                settings.regions_by_zone.clone(),
                recorder.clone(),
                tracker.metrics.clone(),
            ),
        };
        let watched_view = view.clone();
        let crash_watch = CrashWatch::new(recorder.clone(), clock, watched_view, suspects.clone());
        let proxy = Proxy::new(ProxyState {
            protocol,
            zone: settings.zone.clone(),
            regions_by_zone: settings.regions_by_zone.clone(),
            view: view.clone(),
            clients: clients.clone(),
            retry_budget: Mutex::new(RetryBudget::new(settings.retry_limits)),
            outage,
            key_counter,
            splitter: TrafficSplitter::default(),
            mean_response_kib: Mutex::default(),
            body_memory: BodyMemory::with_bytes(memory_bytes * CALLER_BODIES_PERCENT / 100),
            stop_schedule: OnceLock::new(),
            is_closing: AtomicBool::new(false),
            clock,
            suspects: suspects.clone(),
            crash_watch: Arc::new(crash_watch),
            tracker: tracker.clone(),
        });
        let is_stopping = Arc::new(AtomicBool::new(false));
        let caller_listener = listen(callers).await?;
        let readiness_listener = listen(readiness).await?;
        tokio::spawn(follower.run());
        tokio::spawn(async move { suspects.run().await });
        tokio::spawn(log_traffic_periodically(
            tracker.clone(),
            clients.clone(),
            clock,
        ));
        if let Some(address) = settings.metrics_address {
            let text = move || tracker.encode_metrics();
            tokio::spawn(exposition::serve(address, text, recorder.clone()));
        }
        tokio::spawn(serve_readiness(
            readiness_listener,
            view.clone(),
            is_stopping.clone(),
        ));
        let (stop, stopped) = watch::channel(false);
        let serve_task = tokio::spawn(serve_callers(
            caller_listener,
            proxy.clone(),
            view,
            link_pacers,
            stopped,
        ));
        Ok(Gateway {
            proxy,
            seeds,
            is_stopping,
            stop,
            serve_task,
            recorder,
        })
    }

    /// Returns the metrics in the text format.
    pub fn metrics_text(&self) -> String {
        self.proxy.state.tracker.encode_metrics()
    }

    /// Replaces the addresses at which the directory is searched.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    /// Shuts down: reports not ready at once, refuses requests that may outlast the process from
    /// `TAKE_LONG_AFTER_STOP` on, stops accepting connections after `ACCEPT_AFTER_STOP`, and then waits for
    /// in-flight requests until `SHUTDOWN_MARGIN` before the end of `grace`.
    pub async fn stop(self, grace: Duration) {
        let time_left = grace.saturating_sub(SHUTDOWN_MARGIN);
        let ends_at = tokio::time::Instant::now() + time_left;
        let after = |time: Duration| self.proxy.state.clock.now().plus(time.as_millis() as u64);
        self.proxy.begin_stop(StopSchedule {
            refuse_long_from: after(TAKE_LONG_AFTER_STOP.min(grace.mul_f64(TAKE_LONG_SHARE))),
            ends_at: after(time_left),
        });
        let accept_for = ACCEPT_AFTER_STOP.min(grace.mul_f64(ACCEPT_SHARE));
        self.is_stopping.store(true, Ordering::Relaxed);
        self.recorder
            .record(Event::ProcessStopping { in_flight: 0 });
        tokio::time::sleep(CLOSE_CONNECTIONS_AFTER).await;
        self.proxy.close_connections();
        tokio::time::sleep(accept_for.saturating_sub(CLOSE_CONNECTIONS_AFTER)).await;
        // Fails only if the serving task has ended.
        let _ = self.stop.send(true);
        if tokio::time::timeout_at(ends_at, self.serve_task)
            .await
            .is_err()
        {
            self.recorder
                .record(Event::ProcessStopping { in_flight: 1 });
        }
    }
}

async fn log_traffic_periodically(
    tracker: Arc<RequestTracker>,
    clients: Arc<UpstreamClients>,
    clock: Clock,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(TRAFFIC_LOG_INTERVAL_MS)).await;
        tracker.log_traffic();
        clients.rate_limits.log_traffic(clock.now());
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Report<StartError>> {
    TcpListener::bind(address)
        .await
        .change_context(StartError::Bind(address))
}

async fn serve_callers<P: Protocol>(
    listener: TcpListener,
    proxy: Proxy<P>,
    view: watch::Receiver<Arc<DirectoryView>>,
    link_pacers: LinkPacers,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(stream, &proxy, &view, &link_pacers, &graceful),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    graceful.shutdown().await;
}

fn serve_connection<P: Protocol>(
    stream: TcpStream,
    proxy: &Proxy<P>,
    view: &watch::Receiver<Arc<DirectoryView>>,
    link_pacers: &LinkPacers,
    graceful: &GracefulShutdown,
) {
    // Without it responses are only sent slightly later.
    let _ = stream.set_nodelay(true);
    // The limits of a connection are those in force when it is opened.
    let (limits, idle_timeout) = {
        let view = view.borrow();
        let limits = view.config.limits;
        let idle_timeout = match view.has_config() {
            true => Duration::from_millis(limits.idle_timeout_ms) + IDLE_TIMEOUT_MARGIN,
            false => INITIAL_IDLE_TIMEOUT,
        };
        (limits, idle_timeout)
    };
    let head_buffer_bytes = (limits.header_bytes_max as usize).max(HEAD_BUFFER_MIN_BYTES);
    let head_timeout = Duration::from_millis(limits.header_timeout_ms);
    // Below the pacer, so that the time for which a busy link delays a write doesn't count.
    let stream = WriteTimeoutStream::new(stream, proxy.state.tracker.metrics.clone());
    let (stream, connection_state) =
        HeadTimeoutStream::new(PacedStream::new(stream, link_pacers.clone()), head_timeout);
    let proxy = proxy.clone();
    let service = service_fn(move |req| {
        let (proxy, connection_state) = (proxy.clone(), connection_state.clone());
        async move {
            connection_state.begin_serving();
            let response = proxy.serve(req).await;
            connection_state.end_serving();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // An error means that the caller broke the connection; there is no one to report it to.
        let _ = connection.await;
    });
}

async fn serve_readiness(
    listener: TcpListener,
    view: watch::Receiver<Arc<DirectoryView>>,
    is_stopping: Arc<AtomicBool>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let view = view.clone();
        let is_stopping = is_stopping.clone();
        let service = service_fn(move |_req| {
            let is_ready = view.borrow().has_config() && !is_stopping.load(Ordering::Relaxed);
            async move { Ok::<_, Infallible>(readiness_response(is_ready)) }
        });
        tokio::spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(READINESS_HEAD_TIMEOUT)
                .max_buf_size(HEAD_BUFFER_MIN_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

fn readiness_response(is_ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
