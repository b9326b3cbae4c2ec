//! A stand-in upstream for tests and the demo: announces itself, renews its grant by heartbeats, and logs each
//! request that it ran.
//!
//! It behaves as the platform's upstreams are specified: a fixed number of slots, a limit on
//! connections, fenced grants whose fences it may or may not check, draining, and load shedding.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};

use crate::cell::ownership::{Grant, GrantedSlot};
use crate::cell::state::{Announcement, UpstreamId};
use crate::clock::{Clock, Mono};
use crate::entry::admin::{AnnounceResponse, HeartbeatBody};
use crate::entry::outcome::{FENCE, IDEMPOTENCY_KEY, RUN, SLOT};
use crate::entry::request::parse_target;
use crate::http::{self, HttpRequest};
use crate::slot::{KeyHash, SlotId};

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(200);
/// The most requests in progress per slot, waiting ones included.
const QUEUE_PER_SLOT: usize = 16;

/// The settings of a stand-in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The announcement; its address is filled in once the stand-in listens.
    pub announcement: Announcement,
    /// The admin addresses of entry hosts, tried in turn.
    pub admin_addresses: Vec<SocketAddr>,
    /// How long one request takes to run.
    pub service_time: Duration,
    /// The address to announce instead of its own, when it is reached through a relay.
    pub advertised_address: Option<SocketAddr>,
}

/// One request that a stand-in ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRun {
    /// The upstream's name.
    pub upstream: String,
    /// The key, if the service is keyed.
    pub key: Option<KeyHash>,
    /// The slot that the request named.
    pub slot: Option<SlotId>,
    /// The fence that the request carried.
    pub fence: Option<u64>,
    /// The service.
    pub service: String,
    /// The request id, if there was one.
    pub id: Option<String>,
    /// When the run began, in microseconds on the log's clock.
    pub began_us: u64,
    /// When the run ended, in microseconds on the log's clock.
    pub ended_us: u64,
}

/// The runs of several stand-ins, timed on one clock; clones share them.
#[derive(Clone, Debug)]
pub struct RunLog {
    start: std::time::Instant,
    runs: Arc<Mutex<Vec<RequestRun>>>,
    file: Option<Arc<File>>,
}

impl Default for RunLog {
    fn default() -> RunLog {
        RunLog {
            start: std::time::Instant::now(),
            runs: Arc::default(),
            file: None,
        }
    }
}

impl RunLog {
    /// Returns a log that also appends each run to a file, as a line of JSON, before the request is
    /// answered.
    pub fn create(path: &Path) -> std::io::Result<RunLog> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(RunLog {
            file: Some(Arc::new(file)),
            ..RunLog::default()
        })
    }

    /// Returns the time on the log's clock, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Returns all runs, ordered by the time they began.
    pub fn runs(&self) -> Vec<RequestRun> {
        let mut runs = self.lock().clone();
        runs.sort_by_key(|r| r.began_us);
        runs
    }

    fn push(&self, run: RequestRun) {
        if let Some(mut file) = self.file.as_deref() {
            let mut line = serde_json::to_vec(&run).unwrap_or_default();
            line.push(b'\n');
            let _ = file.write_all(&line);
        }
        self.lock().push(run);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RequestRun>> {
        match self.runs.lock() {
            Ok(runs) => runs,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

#[derive(Debug, Default)]
struct GrantLease {
    until: Mono,
    version: u64,
    slots: BTreeMap<(String, SlotId), u64>,
}

#[derive(Debug)]
struct Shared {
    announcement: Announcement,
    service_time: Duration,
    clock: Clock,
    lease: Mutex<GrantLease>,
    leaving: AtomicBool,
    in_progress: AtomicU64,
    slots: Semaphore,
    connections: Arc<Semaphore>,
    log: RunLog,
}

/// A running stand-in.
#[derive(Debug)]
pub struct StandIn {
    shared: Arc<Shared>,
    admin_addresses: Vec<SocketAddr>,
    id: watch::Receiver<Option<UpstreamId>>,
    stop: watch::Sender<bool>,
    address: SocketAddr,
}

impl StandIn {
    /// Listens on the announcement's address and announces the stand-in in the background.
    pub async fn spawn(settings: Settings, log: RunLog) -> std::io::Result<StandIn> {
        let listener = TcpListener::bind(settings.announcement.address).await?;
        let address = listener.local_addr()?;
        let mut announcement = settings.announcement;
        announcement.address = settings.advertised_address.unwrap_or(address);
        announcement.instance = rand::random();
        let slots = announcement.slots as usize;
        let shared = Arc::new(Shared {
            service_time: settings.service_time,
            clock: Clock::start(),
            lease: Mutex::default(),
            leaving: AtomicBool::new(false),
            in_progress: AtomicU64::new(0),
            slots: Semaphore::new(slots),
            connections: Arc::new(Semaphore::new(announcement.connections as usize)),
            announcement,
            log,
        });
        let (stop, stopped) = watch::channel(false);
        let (id_tx, id) = watch::channel(None);
        tokio::spawn(accept(shared.clone(), listener, stopped.clone()));
        let heartbeats = keep_heartbeating(
            shared.clone(),
            settings.admin_addresses.clone(),
            id_tx,
            stopped,
        );
        tokio::spawn(heartbeats);
        Ok(StandIn {
            shared,
            admin_addresses: settings.admin_addresses,
            id,
            stop,
            address,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.shared.announcement.name
    }

    /// Returns the number of slots currently granted.
    pub fn granted_slots(&self) -> usize {
        lock(&self.shared.lease).slots.len()
    }

    /// Stops at once, as if the host were lost.
    pub fn kill(&self) {
        let _ = self.stop.send(true);
    }

    /// Asks the entry hosts in turn to send no new work, and reports whether one accepted that.
    pub async fn leave(&self) -> bool {
        self.shared.leaving.store(true, Ordering::SeqCst);
        let Some(id) = *self.id.borrow() else {
            return false;
        };
        let path = format!("/v1/upstreams/{}/leave", id.0);
        for address in &self.admin_addresses {
            let call = HttpRequest::post(&path, "").timeout(CALL_TIMEOUT);
            if http::send(*address, call)
                .await
                .is_ok_and(|a| a.status.is_success())
            {
                return true;
            }
        }
        false
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    match mutex.lock() {
        Ok(guard) => guard,
        Err(poisoned) => poisoned.into_inner(),
    }
}

async fn keep_heartbeating(
    shared: Arc<Shared>,
    admin_addresses: Vec<SocketAddr>,
    id_tx: watch::Sender<Option<UpstreamId>>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut attempt = 0;
    loop {
        let session = announce_and_heartbeat(&shared, &admin_addresses, &id_tx, attempt);
        tokio::select! {
            _ = session => {}
            _ = stopped.wait_for(|s| *s) => return,
        }
        attempt += 1;
    }
}

/// Announces the stand-in to one entry host, then sends heartbeats to it until one fails.
async fn announce_and_heartbeat(
    shared: &Shared,
    admin_addresses: &[SocketAddr],
    id_tx: &watch::Sender<Option<UpstreamId>>,
    attempt: usize,
) {
    let Some(address) = admin_addresses.get(attempt % admin_addresses.len().max(1)) else {
        return;
    };
    let mut client = http::HttpClient::new(*address);
    let body = serde_json::to_vec(&shared.announcement).unwrap_or_default();
    let call = HttpRequest::post("/v1/upstreams", body).timeout(CALL_TIMEOUT);
    let announced = client.send(call).await;
    let announced = announced.ok().filter(|a| a.status.is_success());
    let announced =
        announced.and_then(|a| serde_json::from_slice::<AnnounceResponse>(&a.body).ok());
    let Some(announced) = announced else {
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
        return;
    };
    let _ = id_tx.send(Some(announced.id));
    let interval = Duration::from_millis(announced.heartbeat_every_ms);
    let path = format!("/v1/upstreams/{}/heartbeat", announced.id.0);
    loop {
        let asked_at = shared.clock.now();
        let acked = lock(&shared.lease).version;
        let body = serde_json::to_vec(&HeartbeatBody { acked }).unwrap_or_default();
        let call = HttpRequest::post(&path, body).timeout(CALL_TIMEOUT);
        let Ok(answer) = client.send(call).await else {
            return;
        };
        if !answer.status.is_success() {
            *lock(&shared.lease) = GrantLease::default();
            return;
        }
        if let Ok(grant) = serde_json::from_slice::<Grant>(&answer.body) {
            apply_grant(shared, grant, asked_at);
        }
        tokio::time::sleep(interval).await;
    }
}

fn apply_grant(shared: &Shared, grant: Grant, asked_at: Mono) {
    let Grant::Renewed {
        lease_ms,
        version,
        slots,
    } = grant
    else {
        return;
    };
    let mut lease = lock(&shared.lease);
    if version < lease.version {
        return;
    }
    if let Some(slots) = slots {
        let slot_fence = |g: GrantedSlot| ((g.service, g.slot), g.fence);
        lease.slots = slots.into_iter().map(slot_fence).collect();
    }
    lease.version = version;
    lease.until = lease.until.max(asked_at.plus(lease_ms));
}

async fn accept(shared: Arc<Shared>, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|s| *s) => return,
        };
        let Ok((stream, _)) = accepted else { return };
        let Ok(permit) = shared.connections.clone().try_acquire_owned() else {
            continue;
        };
        let shared = shared.clone();
        let mut stopped = stopped.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = serve(shared, stream) => {}
                _ = stopped.wait_for(|s| *s) => {}
            }
            drop(permit);
        });
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle_request(&shared, req).await) }
    });
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request(shared: &Shared, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let number = |name: HeaderName| {
        let value = req.headers().get(name).and_then(|v| v.to_str().ok());
        value.and_then(|v| v.parse::<u64>().ok())
    };
    let fence = number(FENCE);
    let slot = number(SLOT).map(|s| SlotId(s as u32));
    let id = req.headers().get(IDEMPOTENCY_KEY);
    let id = id.and_then(|v| v.to_str().ok()).map(str::to_string);
    let path = req.uri().path().to_string();
    let target = parse_target(&path);
    if shared.announcement.checks_fences && !grant_covers(shared, &target.service, slot, fence) {
        return refuse(StatusCode::MISDIRECTED_REQUEST);
    }
    let waiting = shared.in_progress.fetch_add(1, Ordering::SeqCst);
    let _in_progress = InProgressGuard(&shared.in_progress);
    if waiting as usize >= shared.announcement.slots as usize * QUEUE_PER_SLOT {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Ok(_slot) = shared.slots.acquire().await else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    let began_us = shared.log.now_us();
    let body = req.into_body().collect().await;
    let body = body.map(|b| b.to_bytes()).unwrap_or_default();
    tokio::time::sleep(shared.service_time).await;
    shared.log.push(RequestRun {
        upstream: shared.announcement.name.clone(),
        key: slot.and(target.key),
        slot,
        fence,
        service: target.service,
        id,
        began_us,
        ended_us: shared.log.now_us(),
    });
    let text = format!(
        "{} ran {path} with {} bytes\n",
        shared.announcement.name,
        body.len()
    );
    Response::new(Full::new(Bytes::from(text)))
}

struct InProgressGuard<'a>(&'a AtomicU64);

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Reports whether the current grant covers a request.
fn grant_covers(shared: &Shared, service: &str, slot: Option<SlotId>, fence: Option<u64>) -> bool {
    let (Some(slot), Some(fence)) = (slot, fence) else {
        return true;
    };
    let lease = lock(&shared.lease);
    let granted = lease.slots.get(&(service.to_string(), slot)).copied();
    shared.clock.now() < lease.until && granted == Some(fence)
}

fn refuse(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(b"not run\n")));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(RUN, HeaderValue::from_static("no"));
    response
}
