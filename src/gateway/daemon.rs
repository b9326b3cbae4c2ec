//! The gateway's process: listeners, the view of the directory, and an orderly end.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
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

use crate::clock::Clock;
use crate::credentials::Tls;
use crate::event::{Event, Recorder};
use crate::exposition;
use crate::host::HostSettings;
use crate::lock::lock;
use crate::pace::{LinkPacers, Paced};
use crate::transport::Endpoint;

use super::follow::{Follower, KeyCounter};
use super::intake::Intake;
use super::ledger::{Ledger, COUNT_EVERY_MS};
use super::outage::Outage;
use super::peer::Peers;
use super::protocol::Protocol;
use super::proxy::{Inner, Proxy};
use super::retry::RetryBudget;
use super::split::Splits;
use super::view::View;

/// After a request to stop, answers close their connections from this point on.
const CLOSE_AFTER: Duration = Duration::from_millis(500);
/// After a request to stop, new connections are taken for this long: the balancer in front learns of
/// it only by asking.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3_200);
/// The process ends this long before it would be killed.
const END_MARGIN: Duration = Duration::from_millis(500);
/// A pause after a connection that couldn't be taken, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// What is added to the time for which callers may leave a connection idle.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// How long a connection may be idle before a configuration tells.
const IDLE_FIRST: Duration = Duration::from_secs(30);
/// The HTTP library reads into a buffer of this size or more, in bytes.
const HEAD_BYTES_LEAST: usize = 8_192;

/// Why a gateway can't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The settings name no address for callers or for readiness.
    NoAddress,
    /// This address can't be bound.
    Bind(SocketAddr),
    /// Other processes can't be talked to.
    Network,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::NoAddress => f.write_str("the settings name no address for callers"),
            StartError::Bind(address) => write!(f, "can't listen on {address}"),
            StartError::Network => f.write_str("can't talk to other processes"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway<P> {
    proxy: Proxy<P>,
    seeds: Arc<Mutex<Vec<SocketAddr>>>,
    stopping: Arc<AtomicBool>,
    stop: watch::Sender<bool>,
    serving: tokio::task::JoinHandle<()>,
    recorder: Recorder,
}

impl<P: Protocol> Gateway<P> {
    /// Starts a gateway in the present runtime and returns once it listens.
    pub async fn spawn(
        settings: &HostSettings,
        tls: &Tls,
        protocol: P,
        clock: Clock,
        recorder: Recorder,
    ) -> Result<Gateway<P>, Report<StartError>> {
        let no_address = || Report::new(StartError::NoAddress);
        let callers = settings.callers.ok_or_else(no_address)?;
        let readiness = settings.readiness.ok_or_else(no_address)?;
        let endpoint = Endpoint::bind(
            settings.peer_address,
            BTreeMap::new(),
            tls,
            recorder.clone(),
        )
        .change_context(StartError::Network)?;
        let (view_tx, view) = watch::channel(Arc::new(View::default()));
        let counter = Arc::new(KeyCounter::default());
        let ledger = Arc::new(Ledger::new(clock, view.clone(), recorder.clone()));
        let link = LinkPacers::new(settings.link_mbps);
        let metrics = ledger.metrics.clone();
        let peers = Arc::new(Peers::new(recorder.clone(), metrics, link.clone()));
        let seeds = Arc::new(Mutex::new(settings.seeds.clone()));
        let outage = Arc::new(Outage::default());
        let follower = Follower {
            host: settings.host.clone(),
            seeds: seeds.clone(),
            endpoint,
            view: view_tx,
            counter: counter.clone(),
            peers: peers.clone(),
            outage: outage.clone(),
            clock,
            recorder: recorder.clone(),
        };
        let proxy = Proxy::new(Inner {
            protocol,
            zone: settings.zone.clone(),
            regions: settings.zones.clone(),
            view: view.clone(),
            peers,
            budget: Mutex::new(RetryBudget::new(settings.retry)),
            outage,
            counter,
            splits: Splits::default(),
            answer_kib: Mutex::default(),
            closing: AtomicBool::new(false),
            clock,
            ledger: ledger.clone(),
        });
        let stopping = Arc::new(AtomicBool::new(false));
        let front = listen(callers).await?;
        let ready = listen(readiness).await?;
        tokio::spawn(follower.run());
        tokio::spawn(count_traffic(ledger.clone()));
        if let Some(address) = settings.metrics {
            let text = move || ledger.text();
            tokio::spawn(exposition::serve(address, text, recorder.clone()));
        }
        tokio::spawn(serve_readiness(ready, view.clone(), stopping.clone()));
        let (stop, stopped) = watch::channel(false);
        let serving = tokio::spawn(serve_callers(front, proxy.clone(), view, link, stopped));
        Ok(Gateway {
            proxy,
            seeds,
            stopping,
            stop,
            serving,
            recorder,
        })
    }

    /// Replaces the hosts through which the directory is found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *lock(&self.seeds) = seeds;
    }

    /// Ends in order: not ready at once, then no new connections, then the end of what is in flight.
    pub async fn stop(self, grace: Duration) {
        self.stopping.store(true, Ordering::Relaxed);
        self.recorder
            .record(Event::ProcessStopping { in_flight: 0 });
        tokio::time::sleep(CLOSE_AFTER).await;
        self.proxy.close_connections();
        tokio::time::sleep(ACCEPT_AFTER_STOP - CLOSE_AFTER).await;
        // The receiver is gone only when serving has ended.
        let _ = self.stop.send(true);
        let left = grace.saturating_sub(ACCEPT_AFTER_STOP + END_MARGIN);
        if tokio::time::timeout(left, self.serving).await.is_err() {
            self.recorder
                .record(Event::ProcessStopping { in_flight: 1 });
        }
    }
}

async fn count_traffic(ledger: Arc<Ledger>) {
    loop {
        tokio::time::sleep(Duration::from_millis(COUNT_EVERY_MS)).await;
        ledger.flush();
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
    view: watch::Receiver<Arc<View>>,
    link: LinkPacers,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(stream, &proxy, &view, &link, &graceful),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    graceful.shutdown().await;
}

fn serve_connection<P: Protocol>(
    stream: TcpStream,
    proxy: &Proxy<P>,
    view: &watch::Receiver<Arc<View>>,
    link: &LinkPacers,
    graceful: &GracefulShutdown,
) {
    // Without it answers are only a little later.
    let _ = stream.set_nodelay(true);
    // What a connection is held to is read when it is opened.
    let (limits, idle) = {
        let view = view.borrow();
        let limits = view.config.limits;
        let idle = match view.is_usable() {
            true => Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN,
            false => IDLE_FIRST,
        };
        (limits, idle)
    };
    let head_bytes_max = (limits.header_bytes_max as usize).max(HEAD_BYTES_LEAST);
    let head_limit = Duration::from_millis(limits.header_timeout_ms);
    let (intake, phase) = Intake::new(Paced::new(stream, link.clone()), head_limit);
    let proxy = proxy.clone();
    let service = service_fn(move |req| {
        let (proxy, phase) = (proxy.clone(), phase.clone());
        async move {
            phase.begin_request();
            let response = proxy.serve(req).await;
            phase.end_request();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head_bytes_max)
        .serve_connection(TokioIo::new(intake), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // A caller that breaks its connection has no one to be told.
        let _ = connection.await;
    });
}

async fn serve_readiness(
    listener: TcpListener,
    view: watch::Receiver<Arc<View>>,
    stopping: Arc<AtomicBool>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let view = view.clone();
        let stopping = stopping.clone();
        let service = service_fn(move |_req| {
            let is_ready = view.borrow().is_usable() && !stopping.load(Ordering::Relaxed);
            async move { Ok::<_, Infallible>(readiness(is_ready)) }
        });
        tokio::spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

fn readiness(is_ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
