//! The entry process: serves callers, upstreams and operators over HTTP.
//!
//! One thread holds the control state ([`control_plane`]); the others serve traffic ([`proxy`],
//! [`router`]).

pub mod admin;
pub mod body;
pub mod budget;
pub mod claims;
pub mod control_plane;
pub mod forward;
pub mod health;
pub mod in_flight;
pub mod limiter;
pub mod load_meter;
pub mod operator;
pub mod outcome;
pub mod pool;
pub mod proxy;
pub mod request;
pub mod router;
pub mod table;
pub mod upstream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch, Mutex};

use crate::cell::state::RouterId;
use crate::client::CellClient;
use crate::clock::Clock;
use crate::control::StartError;
use crate::credentials::Tls;
use crate::event::{Event, Recorder};
use crate::metrics::Metrics;
use crate::settings::{Deployment, EntryHost};
use crate::supervisor::Supervisor;
use crate::transport::{Endpoint, IncomingRequest};
use crate::wire::{Request, Response};

use admin::AdminApi;
use budget::{ByteRateLimiter, RetryBudget};
use claims::ClaimCoordinator;
use control_plane::{ControlPlaneClient, PendingHeartbeat};
use in_flight::InFlightRequests;
use load_meter::LoadMeter;
use operator::OperatorApi;
use proxy::Proxy;
use router::{LeaseExpiry, Router};
use table::RoutingTable;
use upstream::{CapacityShare, UpstreamClients};

/// The most heartbeats that wait for the control-state thread.
const HEARTBEAT_QUEUE_MAX: usize = 8_192;
/// How long a stopping process waits for open caller connections.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(15);
/// How long new connections are still accepted after `/readyz` reports that the process stops.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(500);

/// The settings of an entry process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this host.
    pub host: String,
    /// The deployment's settings.
    pub deployment: Deployment,
    /// The certificates for connections to other hosts.
    pub tls: Tls,
    /// The bearer token that operators must send.
    pub token: String,
    /// The number of threads that serve traffic.
    pub traffic_threads: usize,
}

/// A running entry process.
#[derive(Debug)]
pub struct EntryProcess {
    runtime: Option<Runtime>,
    control_plane: ControlPlaneClient,
    control_thread: Option<JoinHandle<()>>,
    proxy: Proxy,
    in_flight: InFlightRequests,
    announce_stop: watch::Sender<bool>,
    stop_accepting: watch::Sender<bool>,
    stop_control: watch::Sender<bool>,
    recorder: Recorder,
    endpoint: Endpoint,
}

struct Listeners {
    callers: TcpListener,
    admin: TcpListener,
}

impl EntryProcess {
    /// Starts the threads and returns once all addresses are bound.
    pub fn spawn(
        settings: Settings,
        recorder: Recorder,
    ) -> Result<EntryProcess, Report<StartError>> {
        let Some(host) = settings.deployment.entry_host(&settings.host).cloned() else {
            let e = StartError::NotInDeployment(settings.host.clone());
            return Err(Report::new(e));
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .change_context(StartError::Thread)?;
        let (listeners, endpoint) = runtime.block_on(listen(&settings, &host, &recorder))?;
        let (announce_stop, stopping) = watch::channel(false);
        let (stop_accepting, accept_stopped) = watch::channel(false);
        let (stop_control, control_stopped) = watch::channel(false);
        let shared = SharedState::new(&settings, &host, &endpoint, &recorder);
        let (heartbeats, heartbeats_rx) = mpsc::channel(HEARTBEAT_QUEUE_MAX);
        let control_plane =
            start_control_plane(&settings, &host, &shared, heartbeats_rx, control_stopped)?;
        let router = Arc::new(shared.router(&settings, &host, &endpoint, &recorder));
        let proxy = Proxy::new(router.clone(), accept_stopped);
        let cells = CellClient::all(&endpoint, &settings.deployment);
        let region_index = router.region_index;
        let admin = AdminApi {
            router: router.clone(),
            cell: cells[region_index].clone(),
            operator: OperatorApi::new(cells, Arc::new(settings.deployment.clone())),
            acked_versions: Default::default(),
            heartbeats,
            token: settings.token.clone(),
            stopping,
            recorder: recorder.clone(),
        };
        let servers = TrafficServers {
            listeners: Arc::new(listeners),
            proxy: proxy.clone(),
            admin,
            router,
            endpoint: endpoint.clone(),
            recorder: recorder.clone(),
        };
        runtime.spawn(servers.run());
        recorder.record(Event::ProcessStarted {
            role: "entry".to_string(),
            version: env!("CARGO_PKG_VERSION").to_string(),
        });
        Ok(EntryProcess {
            runtime: Some(runtime),
            control_plane: control_plane.0,
            control_thread: Some(control_plane.1),
            proxy,
            in_flight: shared.in_flight,
            announce_stop,
            stop_accepting,
            stop_control,
            recorder,
            endpoint,
        })
    }

    /// Finishes requests in flight, releases the routing lease and ends the process's threads.
    pub fn stop(mut self) {
        self.recorder.record(Event::ProcessStopping {
            in_flight: self.in_flight.count(),
        });
        let _ = self.announce_stop.send(true);
        std::thread::sleep(SHUTDOWN_DELAY);
        let _ = self.stop_accepting.send(true);
        let started = std::time::Instant::now();
        while self.proxy.open_connections() > 0 && started.elapsed() < SHUTDOWN_TIMEOUT {
            std::thread::sleep(Duration::from_millis(10));
        }
        if let Some(runtime) = self.runtime.take() {
            // With requests still at owners the lease isn't released: it must expire by itself.
            if self.in_flight.count() == 0 {
                runtime.block_on(self.control_plane.release_lease());
            }
            let _ = self.stop_control.send(true);
            if let Some(thread) = self.control_thread.take() {
                let _ = thread.join();
            }
            self.endpoint.close();
            runtime.shutdown_timeout(Duration::from_millis(200));
        }
    }
}

async fn listen(
    settings: &Settings,
    host: &EntryHost,
    recorder: &Recorder,
) -> Result<(Listeners, Endpoint), Report<StartError>> {
    let listeners = Listeners {
        callers: proxy::bind(host.caller_address)
            .await
            .change_context(StartError::Network)?,
        admin: proxy::bind(host.admin_address)
            .await
            .change_context(StartError::Network)?,
    };
    let endpoint = Endpoint::bind(
        host.peer_address,
        settings.deployment.peer_addresses(),
        &settings.tls,
        recorder.clone(),
    )
    .change_context(StartError::Network)?;
    Ok((listeners, endpoint))
}

/// The state that the control-state thread and the traffic threads share.
struct SharedState {
    clock: Clock,
    table_tx: watch::Sender<Arc<RoutingTable>>,
    table: watch::Receiver<Arc<RoutingTable>>,
    lease: Arc<LeaseExpiry>,
    in_flight: InFlightRequests,
    upstreams: UpstreamClients,
    claims: ClaimCoordinator,
    load_meter: LoadMeter,
    metrics: Arc<Metrics>,
    recorder: Recorder,
    region_index: usize,
}

impl SharedState {
    fn new(
        settings: &Settings,
        host: &EntryHost,
        endpoint: &Endpoint,
        recorder: &Recorder,
    ) -> SharedState {
        let deployment = Arc::new(settings.deployment.clone());
        let clock = Clock::start();
        let (table_tx, table) = watch::channel(Arc::new(RoutingTable::default()));
        let region_name = deployment.region_of(&host.availability_zone);
        let mut regions = deployment.regions.iter();
        let region_index = regions.position(|r| Some(r.name.as_str()) == region_name);
        let in_region = |h: &&EntryHost| deployment.region_of(&h.availability_zone) == region_name;
        let capacity_share = CapacityShare {
            entry_hosts: deployment.entry_hosts.iter().filter(in_region).count(),
            queue_max: deployment.limits.queue_per_upstream,
        };
        SharedState {
            clock,
            table_tx,
            table,
            lease: Arc::default(),
            in_flight: InFlightRequests::default(),
            upstreams: UpstreamClients::new(capacity_share, recorder.clone()),
            claims: ClaimCoordinator::new(
                &settings.host,
                deployment.clone(),
                endpoint.clone(),
                clock,
            ),
            load_meter: LoadMeter::default(),
            metrics: Arc::new(Metrics::new()),
            recorder: recorder.clone(),
            region_index: region_index.unwrap_or(0),
        }
    }

    fn router(
        &self,
        settings: &Settings,
        host: &EntryHost,
        endpoint: &Endpoint,
        recorder: &Recorder,
    ) -> Router {
        let limits = settings.deployment.limits;
        let bytes = limits.region_link_bytes_per_second;
        Router {
            host: host.name.clone(),
            region_index: self.region_index,
            deployment: settings.deployment.clone(),
            clock: self.clock,
            table: self.table.clone(),
            lease: self.lease.clone(),
            in_flight: self.in_flight.clone(),
            upstreams: self.upstreams.clone(),
            retries: RetryBudget::new(limits.retry_percent),
            region_link: ByteRateLimiter::new(bytes, self.clock.now()),
            claims: self.claims.clone(),
            load_meter: self.load_meter.clone(),
            endpoint: endpoint.clone(),
            unresponsive_peers: Default::default(),
            owner_wait_permits: router::new_owner_wait_permits(),
            metrics: self.metrics.clone(),
            recorder: recorder.clone(),
        }
    }

    fn control_plane_client(&self, host: &str, cell: CellClient) -> ControlPlaneClient {
        ControlPlaneClient {
            router: RouterId {
                host: host.to_string(),
                instance: rand::random(),
            },
            clock: self.clock,
            cell,
            table: self.table_tx.clone(),
            lease: self.lease.clone(),
            in_flight: self.in_flight.clone(),
            upstreams: self.upstreams.clone(),
            claims: self.claims.clone(),
            load_meter: self.load_meter.clone(),
            metrics: self.metrics.clone(),
            recorder: self.recorder.clone(),
        }
    }
}

/// Starts the control-state thread, which has connections of its own to the cell.
fn start_control_plane(
    settings: &Settings,
    host: &EntryHost,
    shared: &SharedState,
    heartbeats: mpsc::Receiver<PendingHeartbeat>,
    mut stopped: watch::Receiver<bool>,
) -> Result<(ControlPlaneClient, JoinHandle<()>), Report<StartError>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StartError::Thread)?;
    let address = SocketAddr::new(host.peer_address.ip(), 0);
    let deployment = &settings.deployment;
    let runtime_guard = runtime.enter();
    let endpoint = Endpoint::bind(
        address,
        deployment.peer_addresses(),
        &settings.tls,
        shared.recorder.clone(),
    )
    .change_context(StartError::Network)?;
    drop(runtime_guard);
    let cells = CellClient::all(&endpoint, deployment);
    let control_plane = shared.control_plane_client(&host.name, cells[shared.region_index].clone());
    let supervised = control_plane.clone();
    let thread = std::thread::Builder::new()
        .name("control-state".to_string())
        .spawn(move || {
            runtime.block_on(async move {
                let supervisor = supervise(supervised, heartbeats);
                let _ = stopped.wait_for(|s| *s).await;
                supervisor.stop().await;
                endpoint.close();
            });
        })
        .change_context(StartError::Thread)?;
    Ok((control_plane, thread))
}

fn supervise(
    control_plane: ControlPlaneClient,
    heartbeats: mpsc::Receiver<PendingHeartbeat>,
) -> Supervisor {
    let mut supervisor = Supervisor::new(control_plane.recorder.clone());
    let heartbeats = Arc::new(Mutex::new(heartbeats));
    let client = control_plane.clone();
    supervisor.spawn("register", move || client.clone().register());
    let client = control_plane.clone();
    supervisor.spawn("renew", move || client.clone().renew());
    let client = control_plane.clone();
    supervisor.spawn("watch-lease", move || client.clone().watch_lease());
    supervisor.spawn("heartbeats", move || {
        control_plane.clone().forward_heartbeats(heartbeats.clone())
    });
    supervisor
}

/// The servers that run on the traffic threads.
struct TrafficServers {
    listeners: Arc<Listeners>,
    proxy: Proxy,
    admin: AdminApi,
    router: Arc<Router>,
    endpoint: Endpoint,
    recorder: Recorder,
}

impl TrafficServers {
    async fn run(self) {
        let mut supervisor = Supervisor::new(self.recorder);
        let (proxy, listeners) = (self.proxy, self.listeners.clone());
        supervisor.spawn("callers", move || {
            let (proxy, listeners) = (proxy.clone(), listeners.clone());
            async move {
                proxy.accept(&listeners.callers).await;
                std::future::pending::<()>().await
            }
        });
        let (admin, listeners) = (self.admin, self.listeners);
        supervisor.spawn("admin", move || {
            let (admin, listeners) = (admin.clone(), listeners.clone());
            async move { serve_admin(&listeners.admin, admin).await }
        });
        let (router, endpoint) = (self.router, self.endpoint);
        supervisor.spawn("peers", move || {
            let (router, endpoint) = (router.clone(), endpoint.clone());
            async move { serve_peers(endpoint, router).await }
        });
        std::future::pending::<()>().await
    }
}

async fn serve_admin(listener: &TcpListener, admin: AdminApi) {
    let routes = admin.routes();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let service = hyper_util::service::TowerToHyperService::new(routes.clone());
        tokio::spawn(async move {
            let io = hyper_util::rt::TokioIo::new(stream);
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(hyper_util::rt::TokioTimer::new())
                .header_read_timeout(Duration::from_secs(30))
                .serve_connection(io, service)
                .await;
        });
    }
}

async fn serve_peers(endpoint: Endpoint, router: Arc<Router>) {
    let reply_endpoint = endpoint.clone();
    endpoint
        .accept(move |incoming| serve_peer(reply_endpoint.clone(), router.clone(), incoming))
        .await;
}

async fn serve_peer(endpoint: Endpoint, router: Arc<Router>, incoming: IncomingRequest) {
    let Some(mut tx) = incoming.tx else {
        return;
    };
    let response = match incoming.request {
        Request::Forward(forward) => {
            router.serve_forward(*forward, tx).await;
            return;
        }
        Request::Timeline => Response::Timeline(router.recorder.recent()),
        Request::Ping => Response::Ack,
        request => router.claims.serve(request),
    };
    let _ = endpoint.send_response(&mut tx, response).await;
}
