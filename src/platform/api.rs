//! The calls of upstreams and operators, answered by the directory.

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;

use crate::directory::handle::Handle;
use crate::directory::protocol::{DirectoryRequest, Reply};
use crate::directory::state::StoredConfig;
use crate::event::{Event, Recorder};

use super::config;
use super::registration::{read_heartbeat, read_leave};

/// The largest body of a call, in bytes: a configuration of some thousand routes.
const BODY_BYTES_MAX: usize = 16 << 20;
/// When to ask again where no leader is sure of its place, in seconds: about half an election.
const RETRY_AFTER_SECONDS: &str = "0.5";

#[derive(Clone)]
struct Served {
    directory: Handle,
    recorder: Recorder,
}

/// Returns the routes of the calls.
pub fn router(directory: Handle, recorder: Recorder) -> Router {
    Router::new()
        .route("/v1/instances/{id}/heartbeat", post(heartbeat))
        .route("/v1/instances/{id}/deregister", post(leave))
        .route("/v1/config/replace", post(replace_config))
        .route("/v1/config/read", get(read_config))
        .layer(DefaultBodyLimit::max(BODY_BYTES_MAX))
        .with_state(Served {
            directory,
            recorder,
        })
}

async fn heartbeat(State(served): State<Served>, Path(id): Path<String>, body: Bytes) -> Response {
    match read_heartbeat(&id, &body) {
        Ok(upstream) => answer(
            served
                .directory
                .ask(DirectoryRequest::Announce(upstream))
                .await,
        ),
        Err(reason) => refuse(&reason),
    }
}

async fn leave(State(served): State<Served>, Path(id): Path<String>, body: Bytes) -> Response {
    match read_leave(&id, &body) {
        Ok(who) => answer(served.directory.ask(DirectoryRequest::Leave(who)).await),
        Err(reason) => refuse(&reason),
    }
}

async fn replace_config(State(served): State<Served>, body: Bytes) -> Response {
    let config = match config::read(&body) {
        Ok(config) => config,
        Err(reason) => {
            let event = Event::RoutesRefused {
                reason: reason.clone(),
            };
            served.recorder.record(event);
            return refuse(&reason);
        }
    };
    let stored = StoredConfig {
        config,
        source: body.to_vec(),
    };
    let ask = DirectoryRequest::Configure(Box::new(stored));
    answer(served.directory.ask(ask).await)
}

async fn read_config(State(served): State<Served>) -> Response {
    answer(served.directory.ask(DirectoryRequest::ReadConfig).await)
}

fn answer(reply: Reply) -> Response {
    match reply {
        Reply::Done => json(StatusCode::OK, b"{}".to_vec()),
        Reply::Config(Some(source)) => json(StatusCode::OK, source),
        Reply::Config(None) | Reply::NotLeader(_) | Reply::Update(_) => {
            let headers = [(RETRY_AFTER, RETRY_AFTER_SECONDS)];
            (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
        }
    }
}

fn refuse(reason: &str) -> Response {
    let body = serde_json::json!({ "error": reason });
    json(StatusCode::BAD_REQUEST, body.to_string().into_bytes())
}

fn json(status: StatusCode, body: Vec<u8>) -> Response {
    (status, [(CONTENT_TYPE, "application/json")], body).into_response()
}
