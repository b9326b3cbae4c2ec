//! HTTP for upstreams, operators and monitoring.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::extract::{DefaultBodyLimit, Path, Request, State};
use axum::http::{header, StatusCode};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router as Routes};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::cell::ask::{Ask, Heartbeat, Reply};
use crate::cell::ownership::Grant;
use crate::cell::state::{Announcement, Command, Outcome, UpstreamId};
use crate::client::CellClient;
use crate::event::{merge_timelines, EventRecord, Recorder};
use crate::wire;

use super::lease::Beat;
use super::operate::{Applied, Operator};
use super::router::Router;
use super::table::Table;

/// The largest body that operators and upstreams may send, in bytes.
const BODY_BYTES_MAX: usize = 1 << 20;
/// How long a cell may take to answer.
const PATIENCE: Duration = Duration::from_millis(3_000);
/// The pause that an upstream makes between an answer and its next heartbeat, in milliseconds.
const HEARTBEAT_EVERY_MS: u64 = 10;
/// A heartbeat without news is held this long, so that a revocation reaches its upstream at once.
const HEARTBEAT_HOLD: Duration = Duration::from_millis(500);
const RETRY_MS: u64 = 500;

/// What the admin side works with.
#[derive(Clone, Debug)]
pub struct Admin {
    /// The request path.
    pub router: Arc<Router>,
    /// The region's cell.
    pub cell: CellClient,
    /// Operators' work.
    pub operator: Operator,
    /// Acknowledgements that were passed on.
    pub acks: Acks,
    /// Where heartbeats go.
    pub beats: mpsc::Sender<Beat>,
    /// What operators must show.
    pub token: String,
    /// Turns true when the process stops.
    pub stopping: watch::Receiver<bool>,
    /// Events.
    pub recorder: Recorder,
}

/// What an upstream gets for its announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Its id, for heartbeats.
    pub id: UpstreamId,
    /// When to send the first heartbeat and the next ones, in milliseconds.
    pub heartbeat_every_ms: u64,
}

/// An upstream's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatBody {
    /// The version of the grant it follows.
    pub acked: u64,
}

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What is wrong, for a person.
    pub problem: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Admin {
    /// Returns the HTTP routes.
    pub fn routes(self) -> Routes {
        let operators = Routes::new()
            .route("/v1/status", get(status))
            .route("/v1/documents", post(apply))
            .route("/v1/plan", post(plan))
            .route("/v1/timeline", get(timeline))
            .layer(middleware::from_fn_with_state(self.clone(), check_token));
        Routes::new()
            .route("/v1/upstreams", post(announce))
            .route("/v1/upstreams/{id}/heartbeat", post(heartbeat))
            .route("/v1/upstreams/{id}/leave", post(leave))
            .route("/metrics", get(metrics))
            .route("/healthz", get(healthz))
            .route("/readyz", get(readyz))
            .merge(operators)
            .layer(DefaultBodyLimit::max(BODY_BYTES_MAX))
            .with_state(self)
    }
}

fn problem(status: StatusCode, text: &str, retry_after_ms: Option<u64>) -> Response {
    let body = Problem {
        problem: text.to_string(),
        retry_after_ms,
    };
    let mut response = (status, Json(body)).into_response();
    if let Some(ms) = retry_after_ms {
        let seconds = header::HeaderValue::from(ms.div_ceil(1_000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn unavailable() -> Response {
    let text = "the region's control hosts can't be reached";
    problem(StatusCode::SERVICE_UNAVAILABLE, text, Some(RETRY_MS))
}

async fn check_token(State(admin): State<Admin>, req: Request, next: Next) -> Response {
    let given = req.headers().get(header::AUTHORIZATION);
    let given = given.and_then(|v| v.to_str().ok()).unwrap_or("");
    let wanted = format!("Bearer {}", admin.token);
    if !same(given.as_bytes(), wanted.as_bytes()) {
        let text = "operators must send the deployment's token as a bearer token";
        return problem(StatusCode::UNAUTHORIZED, text, None);
    }
    next.run(req).await
}

/// Compares in a time that doesn't depend on where the texts differ.
fn same(a: &[u8], b: &[u8]) -> bool {
    let differences = a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y));
    a.len() == b.len() && differences == 0
}

async fn announce(State(admin): State<Admin>, Json(a): Json<Announcement>) -> Response {
    let region = admin
        .router
        .deployment
        .region_of(&a.availability_zone)
        .map(str::to_string);
    if region.as_deref() != Some(admin.cell.cell()) {
        let text = "the upstream's availability zone is not in this host's region";
        return problem(StatusCode::BAD_REQUEST, text, None);
    }
    let ask = Ask::Apply(Command::Announce(a));
    match admin.cell.ask(ask, PATIENCE).await {
        Ok(Reply::Applied(Outcome::Announced(id))) => Json(Announced {
            id,
            heartbeat_every_ms: HEARTBEAT_EVERY_MS,
        })
        .into_response(),
        _ => unavailable(),
    }
}

async fn heartbeat(
    State(admin): State<Admin>,
    Path(id): Path<u32>,
    Json(body): Json<HeartbeatBody>,
) -> Response {
    let id = UpstreamId(id);
    let heartbeat = Heartbeat {
        upstream: id,
        acked: body.acked,
    };
    if admin.acks.is_known(id, body.acked) {
        wait_for_news(&admin, id, body.acked).await;
    }
    let (tx, rx) = oneshot::channel();
    if admin.beats.try_send((heartbeat, tx)).is_err() {
        return unavailable();
    }
    match tokio::time::timeout(PATIENCE, rx).await {
        Ok(Ok(Grant::Unknown)) => problem(StatusCode::GONE, "announce the upstream again", Some(0)),
        Ok(Ok(grant)) => {
            admin.acks.note(id, body.acked);
            Json(grant).into_response()
        }
        _ => unavailable(),
    }
}

/// Waits until the table shows a change of an upstream's slots, or the hold is over.
async fn wait_for_news(admin: &Admin, id: UpstreamId, acked: u64) {
    let mut table = admin.router.table.clone();
    let has_news = |table: &std::sync::Arc<Table>| {
        let upstream = table.upstreams.get(&id);
        upstream.is_none_or(|u| u.changed > acked)
    };
    let _ = tokio::time::timeout(HEARTBEAT_HOLD, table.wait_for(has_news)).await;
}

/// The versions that upstreams acknowledged through this host and the leader has noted; clones
/// share them.
#[derive(Clone, Debug, Default)]
pub struct Acks(Arc<Mutex<BTreeMap<UpstreamId, u64>>>);

impl Acks {
    fn is_known(&self, id: UpstreamId, acked: u64) -> bool {
        self.lock().get(&id) == Some(&acked)
    }

    fn note(&self, id: UpstreamId, acked: u64) {
        self.lock().insert(id, acked);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, u64>> {
        match self.0.lock() {
            Ok(acks) => acks,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

async fn leave(State(admin): State<Admin>, Path(id): Path<u32>) -> Response {
    let ask = Ask::Apply(Command::Leave(UpstreamId(id)));
    match admin.cell.ask(ask, PATIENCE).await {
        Ok(Reply::Applied(Outcome::Done)) => StatusCode::NO_CONTENT.into_response(),
        Ok(Reply::Applied(_)) => problem(StatusCode::GONE, "no such upstream", None),
        _ => unavailable(),
    }
}

async fn metrics(State(admin): State<Admin>) -> Response {
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let text = admin.router.metrics.text();
    ([(header::CONTENT_TYPE, kind)], text).into_response()
}

async fn healthz() -> &'static str {
    "ok\n"
}

async fn readyz(State(admin): State<Admin>) -> Response {
    let left_ms = admin.router.lease.left_ms(admin.router.clock.now());
    if *admin.stopping.borrow() {
        return problem(StatusCode::SERVICE_UNAVAILABLE, "stopping", None);
    }
    if admin.router.table.borrow().version == 0 {
        let text = "no table received yet";
        return problem(StatusCode::SERVICE_UNAVAILABLE, text, Some(RETRY_MS));
    }
    if left_ms == 0 {
        return "ready; without a routing lease, keyed requests are refused\n".into_response();
    }
    "ready\n".into_response()
}

async fn status(State(admin): State<Admin>) -> Response {
    Json(admin.operator.inspect_all().await).into_response()
}

async fn apply(State(admin): State<Admin>, body: String) -> Response {
    let applied = admin.operator.apply(&body).await;
    let status = match &applied {
        Applied::Accepted { .. } => StatusCode::OK,
        Applied::Pending { .. } => StatusCode::ACCEPTED,
        Applied::Conflict { .. } | Applied::WrongNumber { .. } => StatusCode::CONFLICT,
        Applied::Faulty { .. } | Applied::Empty { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Applied::Unreachable { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, Json(applied)).into_response()
}

async fn plan(State(admin): State<Admin>, body: String) -> Response {
    match admin.operator.plan(&body).await {
        Ok(plan) => Json(plan).into_response(),
        Err(applied) => (StatusCode::UNPROCESSABLE_ENTITY, Json(applied)).into_response(),
    }
}

async fn timeline(State(admin): State<Admin>) -> Response {
    Json(collect_timeline(&admin).await).into_response()
}

async fn collect_timeline(admin: &Admin) -> Vec<EventRecord> {
    let deployment = &admin.router.deployment;
    let calls = deployment.peer_addresses().into_keys().map(|host| {
        let endpoint = admin.router.endpoint.clone();
        let me = admin.router.host.clone();
        let recorder = admin.recorder.clone();
        async move {
            if host == me {
                return recorder.recent();
            }
            let answer = endpoint
                .call(&host, wire::Request::Timeline, PATIENCE)
                .await;
            match answer {
                Ok(wire::Response::Timeline(events)) => events,
                _ => Vec::new(),
            }
        }
    });
    merge_timelines(futures_util::future::join_all(calls).await)
}
