//! The entry daemon: callers, upstreams and operators meet it over HTTP.
//!
//! One thread holds the control state ([`lease`]); others carry traffic ([`proxy`], [`router`]).

pub mod admin;
pub mod body;
pub mod budget;
pub mod claims;
pub mod flight;
pub mod forward;
pub mod gate;
pub mod health;
pub mod lease;
pub mod load;
pub mod member;
pub mod operate;
pub mod outcome;
pub mod pool;
pub mod proxy;
pub mod request;
pub mod router;
pub mod table;

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

use admin::Admin;
use budget::{ByteBudget, RetryBudget};
use claims::Claims;
use flight::Flights;
use lease::{Beat, Control};
use load::LoadMeter;
use member::{Members, Share};
use operate::Operator;
use proxy::Proxy;
use router::{LeaseEnd, Router};
use table::Table;

/// Heartbeats that may wait for the control-state thread.
const BEATS_MAX: usize = 8_192;
/// A stopping process waits at most this long for requests in flight.
const STOP_PATIENCE: Duration = Duration::from_secs(15);
/// New connections are accepted for this long after the process says that it isn't ready.
const STOP_NOTICE: Duration = Duration::from_millis(500);

/// What an entry process needs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host's name.
    pub host: String,
    /// The deployment.
    pub deployment: Deployment,
    /// Certificates.
    pub tls: Tls,
    /// What operators must show.
    pub token: String,
    /// Threads for traffic.
    pub traffic_threads: usize,
}

/// A running entry process.
#[derive(Debug)]
pub struct Entry {
    runtime: Option<Runtime>,
    control: Control,
    control_thread: Option<JoinHandle<()>>,
    proxy: Proxy,
    flights: Flights,
    stop_notice: watch::Sender<bool>,
    stop_accepting: watch::Sender<bool>,
    stop_control: watch::Sender<bool>,
    recorder: Recorder,
    endpoint: Endpoint,
}

struct Listeners {
    callers: TcpListener,
    admin: TcpListener,
}

impl Entry {
    /// Starts the threads and returns once everything listens.
    pub fn spawn(settings: Settings, recorder: Recorder) -> Result<Entry, Report<StartError>> {
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
        let (stop_notice, noticed) = watch::channel(false);
        let (stop_accepting, not_accepting) = watch::channel(false);
        let (stop_control, control_stopped) = watch::channel(false);
        let parts = Parts::new(&settings, &host, &endpoint, &recorder);
        let (beats, beats_rx) = mpsc::channel(BEATS_MAX);
        let control = start_control(&settings, &host, &parts, beats_rx, control_stopped)?;
        let router = Arc::new(parts.router(&settings, &host, &endpoint, &recorder));
        let proxy = Proxy::new(router.clone(), not_accepting);
        let cells = CellClient::all(&endpoint, &settings.deployment);
        let region = router.region;
        let admin = Admin {
            router: router.clone(),
            cell: cells[region].clone(),
            operator: Operator::new(cells, Arc::new(settings.deployment.clone())),
            acks: Default::default(),
            beats,
            token: settings.token.clone(),
            stopping: noticed,
            recorder: recorder.clone(),
        };
        let serving = Serving {
            listeners: Arc::new(listeners),
            proxy: proxy.clone(),
            admin,
            router,
            endpoint: endpoint.clone(),
            recorder: recorder.clone(),
        };
        runtime.spawn(serving.run());
        recorder.record(Event::ProcessStarted {
            role: "entry".to_string(),
            version: env!("CARGO_PKG_VERSION").to_string(),
        });
        Ok(Entry {
            runtime: Some(runtime),
            control: control.0,
            control_thread: Some(control.1),
            proxy,
            flights: parts.flights,
            stop_notice,
            stop_accepting,
            stop_control,
            recorder,
            endpoint,
        })
    }

    /// Finishes what is in flight, gives the lease back and ends the process's threads.
    pub fn stop(mut self) {
        self.recorder.record(Event::ProcessStopping {
            in_flight: self.flights.count(),
        });
        let _ = self.stop_notice.send(true);
        std::thread::sleep(STOP_NOTICE);
        let _ = self.stop_accepting.send(true);
        let started = std::time::Instant::now();
        while self.proxy.open_connections() > 0 && started.elapsed() < STOP_PATIENCE {
            std::thread::sleep(Duration::from_millis(10));
        }
        if let Some(runtime) = self.runtime.take() {
            // With requests still at owners the lease must run out by itself.
            if self.flights.count() == 0 {
                runtime.block_on(self.control.release());
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

/// What the control-state thread and the traffic threads share.
struct Parts {
    clock: Clock,
    table_tx: watch::Sender<Arc<Table>>,
    table: watch::Receiver<Arc<Table>>,
    lease: Arc<LeaseEnd>,
    flights: Flights,
    members: Members,
    claims: Claims,
    load: LoadMeter,
    metrics: Arc<Metrics>,
    recorder: Recorder,
    region: usize,
}

impl Parts {
    fn new(
        settings: &Settings,
        host: &EntryHost,
        endpoint: &Endpoint,
        recorder: &Recorder,
    ) -> Parts {
        let deployment = Arc::new(settings.deployment.clone());
        let clock = Clock::start();
        let (table_tx, table) = watch::channel(Arc::new(Table::default()));
        let name = deployment.region_of(&host.availability_zone);
        let mut regions = deployment.regions.iter();
        let region = regions.position(|r| Some(r.name.as_str()) == name);
        let in_region = |h: &&EntryHost| deployment.region_of(&h.availability_zone) == name;
        let share = Share {
            hosts: deployment.entry_hosts.iter().filter(in_region).count(),
            queue_max: deployment.limits.queue_per_upstream,
        };
        Parts {
            clock,
            table_tx,
            table,
            lease: Arc::default(),
            flights: Flights::default(),
            members: Members::new(share, recorder.clone()),
            claims: Claims::new(&settings.host, deployment.clone(), endpoint.clone(), clock),
            load: LoadMeter::default(),
            metrics: Arc::new(Metrics::new()),
            recorder: recorder.clone(),
            region: region.unwrap_or(0),
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
            region: self.region,
            deployment: settings.deployment.clone(),
            clock: self.clock,
            table: self.table.clone(),
            lease: self.lease.clone(),
            flights: self.flights.clone(),
            members: self.members.clone(),
            retries: RetryBudget::new(limits.retry_percent),
            link: ByteBudget::new(bytes, self.clock.now()),
            claims: self.claims.clone(),
            load: self.load.clone(),
            endpoint: endpoint.clone(),
            peers_down: Default::default(),
            owner_waiters: router::owner_waiters(),
            metrics: self.metrics.clone(),
            recorder: recorder.clone(),
        }
    }

    fn control(&self, host: &str, cell: CellClient) -> Control {
        Control {
            router: RouterId {
                host: host.to_string(),
                instance: rand::random(),
            },
            clock: self.clock,
            cell,
            table: self.table_tx.clone(),
            lease: self.lease.clone(),
            flights: self.flights.clone(),
            members: self.members.clone(),
            claims: self.claims.clone(),
            load: self.load.clone(),
            metrics: self.metrics.clone(),
            recorder: self.recorder.clone(),
        }
    }
}

/// Starts the control-state thread, which has its own connections to the cell.
fn start_control(
    settings: &Settings,
    host: &EntryHost,
    parts: &Parts,
    beats: mpsc::Receiver<Beat>,
    mut stopped: watch::Receiver<bool>,
) -> Result<(Control, JoinHandle<()>), Report<StartError>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(StartError::Thread)?;
    let address = SocketAddr::new(host.peer_address.ip(), 0);
    let deployment = &settings.deployment;
    let entered = runtime.enter();
    let endpoint = Endpoint::bind(
        address,
        deployment.peer_addresses(),
        &settings.tls,
        parts.recorder.clone(),
    )
    .change_context(StartError::Network)?;
    drop(entered);
    let cells = CellClient::all(&endpoint, deployment);
    let control = parts.control(&host.name, cells[parts.region].clone());
    let supervised = control.clone();
    let thread = std::thread::Builder::new()
        .name("control-state".to_string())
        .spawn(move || {
            runtime.block_on(async move {
                let supervisor = supervise(supervised, beats);
                let _ = stopped.wait_for(|s| *s).await;
                supervisor.stop().await;
                endpoint.close();
            });
        })
        .change_context(StartError::Thread)?;
    Ok((control, thread))
}

fn supervise(control: Control, beats: mpsc::Receiver<Beat>) -> Supervisor {
    let mut supervisor = Supervisor::new(control.recorder.clone());
    let beats = Arc::new(Mutex::new(beats));
    let c = control.clone();
    supervisor.spawn("register", move || c.clone().register());
    let c = control.clone();
    supervisor.spawn("renew", move || c.clone().renew());
    let c = control.clone();
    supervisor.spawn("watch-lease", move || c.clone().watch_lease());
    supervisor.spawn("heartbeats", move || {
        control.clone().pass_heartbeats(beats.clone())
    });
    supervisor
}

/// What the traffic threads run.
struct Serving {
    listeners: Arc<Listeners>,
    proxy: Proxy,
    admin: Admin,
    router: Arc<Router>,
    endpoint: Endpoint,
    recorder: Recorder,
}

impl Serving {
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

async fn serve_admin(listener: &TcpListener, admin: Admin) {
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
    let answering = endpoint.clone();
    endpoint
        .accept(move |incoming| serve_peer(answering.clone(), router.clone(), incoming))
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
