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

use crate::cell::ownership::Grant;
use crate::cell::request::{Heartbeat, LeaderRequest, Reply};
use crate::cell::state::{Announcement, Command, Outcome, UpstreamId};
use crate::client::CellClient;
use crate::event::{merge_timelines, EventRecord, Recorder};
use crate::wire;

use super::control_plane::PendingHeartbeat;
use super::operator::{ApplyResult, OperatorApi};
use super::router::Router;
use super::table::RoutingTable;

/// The largest body that operators and upstreams may send, in bytes.
const BODY_BYTES_MAX: usize = 1 << 20;
/// How long a cell may take to answer.
const CELL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The pause that an upstream makes between an answer and its next heartbeat, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 10;
/// A heartbeat without news is held this long, so that a revocation reaches its upstream at once.
const HEARTBEAT_LONG_POLL: Duration = Duration::from_millis(500);
const RETRY_AFTER_MS: u64 = 500;

/// What the admin side works with.
#[derive(Clone, Debug)]
pub struct AdminApi {
    /// The request path.
    pub router: Arc<Router>,
    /// The region's cell.
    pub cell: CellClient,
    /// Operators' work.
    pub operator: OperatorApi,
    /// Acknowledgements that were passed on.
    pub acked_versions: AckedVersions,
    /// Where heartbeats go.
    pub heartbeats: mpsc::Sender<PendingHeartbeat>,
    /// What operators must show.
    pub token: String,
    /// Turns true when the process stops.
    pub stopping: watch::Receiver<bool>,
    /// Events.
    pub recorder: Recorder,
}

/// What an upstream gets for its announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceResponse {
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

impl AdminApi {
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

fn problem_response(status: StatusCode, text: &str, retry_after_ms: Option<u64>) -> Response {
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
    problem_response(StatusCode::SERVICE_UNAVAILABLE, text, Some(RETRY_AFTER_MS))
}

async fn check_token(State(admin): State<AdminApi>, req: Request, next: Next) -> Response {
    let authorization = req.headers().get(header::AUTHORIZATION);
    let authorization = authorization.and_then(|v| v.to_str().ok()).unwrap_or("");
    let expected = format!("Bearer {}", admin.token);
    if !constant_time_eq(authorization.as_bytes(), expected.as_bytes()) {
        let text = "operators must send the deployment's token as a bearer token";
        return problem_response(StatusCode::UNAUTHORIZED, text, None);
    }
    next.run(req).await
}

/// Compares in a time that doesn't depend on where the texts differ.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    let differences = a.iter().zip(b).fold(0, |d, (x, y)| d | (x ^ y));
    a.len() == b.len() && differences == 0
}

async fn announce(
    State(admin): State<AdminApi>,
    Json(announcement): Json<Announcement>,
) -> Response {
    let region = admin
        .router
        .deployment
        .region_of(&announcement.availability_zone)
        .map(str::to_string);
    if region.as_deref() != Some(admin.cell.cell()) {
        let text = "the upstream's availability zone is not in this host's region";
        return problem_response(StatusCode::BAD_REQUEST, text, None);
    }
    let ask = LeaderRequest::Apply(Command::Announce(announcement));
    match admin.cell.ask(ask, CELL_TIMEOUT).await {
        Ok(Reply::Applied(Outcome::Announced(id))) => Json(AnnounceResponse {
            id,
            heartbeat_every_ms: HEARTBEAT_INTERVAL_MS,
        })
        .into_response(),
        _ => unavailable(),
    }
}

async fn heartbeat(
    State(admin): State<AdminApi>,
    Path(id): Path<u32>,
    Json(body): Json<HeartbeatBody>,
) -> Response {
    let id = UpstreamId(id);
    let heartbeat = Heartbeat {
        upstream: id,
        acked_version: body.acked,
    };
    if admin.acked_versions.is_recorded(id, body.acked) {
        wait_for_slot_change(&admin, id, body.acked).await;
    }
    let (tx, rx) = oneshot::channel();
    if admin.heartbeats.try_send((heartbeat, tx)).is_err() {
        return unavailable();
    }
    match tokio::time::timeout(CELL_TIMEOUT, rx).await {
        Ok(Ok(Grant::Unknown)) => {
            problem_response(StatusCode::GONE, "announce the upstream again", Some(0))
        }
        Ok(Ok(grant)) => {
            admin.acked_versions.record(id, body.acked);
            Json(grant).into_response()
        }
        _ => unavailable(),
    }
}

/// Waits until the table shows a change of an upstream's slots, or the hold is over.
async fn wait_for_slot_change(admin: &AdminApi, id: UpstreamId, acked: u64) {
    let mut table = admin.router.table.clone();
    let has_changed = |table: &std::sync::Arc<RoutingTable>| {
        let upstream = table.upstreams.get(&id);
        upstream.is_none_or(|u| u.changed_version > acked)
    };
    let _ = tokio::time::timeout(HEARTBEAT_LONG_POLL, table.wait_for(has_changed)).await;
}

/// The versions that upstreams acknowledged through this host and the leader has noted; clones
/// share them.
#[derive(Clone, Debug, Default)]
pub struct AckedVersions(Arc<Mutex<BTreeMap<UpstreamId, u64>>>);

impl AckedVersions {
    fn is_recorded(&self, id: UpstreamId, acked: u64) -> bool {
        self.lock().get(&id) == Some(&acked)
    }

    fn record(&self, id: UpstreamId, acked: u64) {
        self.lock().insert(id, acked);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, u64>> {
        match self.0.lock() {
            Ok(acked_versions) => acked_versions,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

async fn leave(State(admin): State<AdminApi>, Path(id): Path<u32>) -> Response {
    let ask = LeaderRequest::Apply(Command::Leave(UpstreamId(id)));
    match admin.cell.ask(ask, CELL_TIMEOUT).await {
        Ok(Reply::Applied(Outcome::Done)) => StatusCode::NO_CONTENT.into_response(),
        Ok(Reply::Applied(_)) => problem_response(StatusCode::GONE, "no such upstream", None),
        _ => unavailable(),
    }
}

async fn metrics(State(admin): State<AdminApi>) -> Response {
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let text = admin.router.metrics.text();
    ([(header::CONTENT_TYPE, kind)], text).into_response()
}

async fn healthz() -> &'static str {
    "ok\n"
}

async fn readyz(State(admin): State<AdminApi>) -> Response {
    let remaining_ms = admin.router.lease.remaining_ms(admin.router.clock.now());
    if *admin.stopping.borrow() {
        return problem_response(StatusCode::SERVICE_UNAVAILABLE, "stopping", None);
    }
    if admin.router.table.borrow().version == 0 {
        let text = "no table received yet";
        return problem_response(StatusCode::SERVICE_UNAVAILABLE, text, Some(RETRY_AFTER_MS));
    }
    if remaining_ms == 0 {
        return "ready; without a routing lease, keyed requests are refused\n".into_response();
    }
    "ready\n".into_response()
}

async fn status(State(admin): State<AdminApi>) -> Response {
    Json(admin.operator.inspect_all().await).into_response()
}

async fn apply(State(admin): State<AdminApi>, body: String) -> Response {
    let applied = admin.operator.apply(&body).await;
    let status = match &applied {
        ApplyResult::Accepted { .. } => StatusCode::OK,
        ApplyResult::Pending { .. } => StatusCode::ACCEPTED,
        ApplyResult::Conflict { .. } | ApplyResult::WrongNumber { .. } => StatusCode::CONFLICT,
        ApplyResult::Faulty { .. } | ApplyResult::Empty { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ApplyResult::Unreachable { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, Json(applied)).into_response()
}

async fn plan(State(admin): State<AdminApi>, body: String) -> Response {
    match admin.operator.plan(&body).await {
        Ok(plan) => Json(plan).into_response(),
        Err(applied) => (StatusCode::UNPROCESSABLE_ENTITY, Json(applied)).into_response(),
    }
}

async fn timeline(State(admin): State<AdminApi>) -> Response {
    Json(collect_timeline(&admin).await).into_response()
}

async fn collect_timeline(admin: &AdminApi) -> Vec<EventRecord> {
    let deployment = &admin.router.deployment;
    let calls = deployment.peer_addresses().into_keys().map(|host| {
        let endpoint = admin.router.endpoint.clone();
        let own_host = admin.router.host.clone();
        let recorder = admin.recorder.clone();
        async move {
            if host == own_host {
                return recorder.recent();
            }
            let answer = endpoint
                .call(&host, wire::Request::Timeline, CELL_TIMEOUT)
                .await;
            match answer {
                Ok(wire::Response::Timeline(events)) => events,
                _ => Vec::new(),
            }
        }
    });
    merge_timelines(futures_util::future::join_all(calls).await)
}
