//! The HTTP API for upstreams and operators, served by replicas of the directory.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::body::{Body, Bytes};
use axum::extract::{Path, State};
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;

use crate::body_memory::{BodyError, BodyMemory, BodyShare};
use crate::directory::handle::Handle;
use crate::directory::protocol::{DirectoryRequest, Reply};
use crate::directory::state::StoredConfig;
use crate::event::{Event, Recorder};

use super::config;
use super::evacuation;
use super::registration::{parse_heartbeat, parse_leave};

/// Maximum size of an upstream's message, in bytes.
const MESSAGE_BYTES_MAX: usize = 512 << 10;
/// Maximum size of all messages of upstreams that are being received, in bytes.
const MESSAGE_MEMORY_BYTES: usize = 16 << 20;
/// Maximum size of a configuration, in bytes: a few thousand routes.
const CONFIG_BYTES_MAX: usize = 16 << 20;
/// Maximum size of all configurations that are being received, in bytes.
const CONFIG_MEMORY_BYTES: usize = 24 << 20;
/// `Retry-After` while no leader is known or confirmed, in seconds: about half the time of an election.
const RETRY_AFTER_SECONDS: &str = "0.5";

#[derive(Clone)]
pub(super) struct ApiState {
    pub(super) directory: Handle,
    /// The port of this API on every directory host, where heartbeats are steered to other hosts.
    port: Option<u16>,
    pub(super) recorder: Recorder,
    /// The availability zones of the settings.
    pub(super) zones: Arc<BTreeSet<String>>,
    /// The memory for messages of upstreams that are being received.
    message_memory: Arc<BodyMemory>,
    /// The memory for configurations that are being received.
    config_memory: Arc<BodyMemory>,
}

/// Returns the router of the API of a deployment with these availability zones, which doesn't steer heartbeats.
pub fn router(directory: Handle, recorder: Recorder, zones: BTreeSet<String>) -> Router {
    router_with_port(directory, recorder, zones, None)
}

/// Returns the router of the API. With the port that it has on every directory host, responses to heartbeats
/// may name another host for the next ones.
pub fn router_with_port(
    directory: Handle,
    recorder: Recorder,
    zones: BTreeSet<String>,
    port: Option<u16>,
) -> Router {
    Router::new()
        .route("/v1/instances/{id}/heartbeat", post(heartbeat))
        .route("/v1/instances/{id}/deregister", post(deregister))
        .route("/v1/config/replace", post(replace_config))
        .route("/v1/config/read", get(read_config))
        .route("/v1/evacuate/{zone}/begin", post(evacuation::begin))
        .route("/v1/evacuate/{zone}/finish", post(evacuation::finish))
        .with_state(ApiState {
            directory,
            port,
            recorder,
            zones: Arc::new(zones),
            message_memory: BodyMemory::with_bytes(MESSAGE_MEMORY_BYTES),
            config_memory: BodyMemory::with_bytes(CONFIG_MEMORY_BYTES),
        })
}

/// Reads a request's body, or returns the response to one that can't be read.
async fn read_body(
    memory: &Arc<BodyMemory>,
    body: Body,
    bytes_max: usize,
) -> Result<(Bytes, BodyShare), Response> {
    memory.read(body, bytes_max).await.map_err(|e| match e {
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        BodyError::NoMemory => unavailable(),
        BodyError::Broken => bad_request("the body ended early"),
    })
}

async fn heartbeat(State(state): State<ApiState>, Path(id): Path<String>, body: Body) -> Response {
    let (body, _share) = match read_body(&state.message_memory, body, MESSAGE_BYTES_MAX).await {
        Ok(read) => read,
        Err(response) => return response,
    };
    match parse_heartbeat(&id, &body) {
        Ok(upstream) => {
            let request = DirectoryRequest::Announce(upstream);
            match state.directory.ask(request).await {
                Reply::Done => heartbeat_response(&state, &id),
                reply => reply_response(reply),
            }
        }
        Err(reason) => bad_request(&reason),
    }
}

/// Returns the response to an accepted heartbeat.
fn heartbeat_response(state: &ApiState, id: &str) -> Response {
    let host = state.directory.heartbeat_host(id);
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let Some((host, port)) = host.zip(state.port).filter(|_| id.bytes().all(is_plain)) else {
        return reply_response(Reply::Done);
    };
    let address = SocketAddr::new(host, port);
    let url = format!("http://{address}/v1/instances/{id}/heartbeat");
    let body = serde_json::json!({ "heartbeatUrl": url });
    json_response(StatusCode::OK, body.to_string().into_bytes())
}

async fn deregister(State(state): State<ApiState>, Path(id): Path<String>, body: Body) -> Response {
    let (body, _share) = match read_body(&state.message_memory, body, MESSAGE_BYTES_MAX).await {
        Ok(read) => read,
        Err(response) => return response,
    };
    match parse_leave(&id, &body) {
        Ok(incarnation) => reply_response(
            state
                .directory
                .ask(DirectoryRequest::Leave(incarnation))
                .await,
        ),
        Err(reason) => bad_request(&reason),
    }
}

async fn replace_config(State(state): State<ApiState>, body: Body) -> Response {
    let (body, _share) = match read_body(&state.config_memory, body, CONFIG_BYTES_MAX).await {
        Ok(read) => read,
        Err(response) => return response,
    };
    let config = match config::parse(&body) {
        Ok(config) => config,
        Err(reason) => {
            let event = Event::RoutesRefused {
                reason: reason.clone(),
            };
            state.recorder.record(event);
            return bad_request(&reason);
        }
    };
    let stored = StoredConfig {
        config,
        source: body.to_vec(),
    };
    let request = DirectoryRequest::Configure(Box::new(stored));
    reply_response(state.directory.ask(request).await)
}

async fn read_config(State(state): State<ApiState>) -> Response {
    reply_response(state.directory.ask(DirectoryRequest::ReadConfig).await)
}

pub(super) fn reply_response(reply: Reply) -> Response {
    match reply {
        Reply::Done => json_response(StatusCode::OK, b"{}".to_vec()),
        Reply::Config(Some(source)) => json_response(StatusCode::OK, source),
        Reply::Config(None)
        | Reply::NotLeader(_)
        | Reply::Update(_)
        | Reply::Permits { .. }
        | Reply::NoTrial { .. }
        | Reply::NotSuspected
        | Reply::Suspects(_)
        | Reply::PackedUpdate { .. }
        | Reply::Renewals { .. } => unavailable(),
    }
}

fn unavailable() -> Response {
    let headers = [(RETRY_AFTER, RETRY_AFTER_SECONDS)];
    (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
}

fn bad_request(reason: &str) -> Response {
    error_response(StatusCode::BAD_REQUEST, reason)
}

pub(super) fn error_response(status: StatusCode, reason: &str) -> Response {
    let body = serde_json::json!({ "error": reason });
    json_response(status, body.to_string().into_bytes())
}

fn json_response(status: StatusCode, body: Vec<u8>) -> Response {
    (status, [(CONTENT_TYPE, "application/json")], body).into_response()
}
