//! Calls of operators that evacuate availability zones.

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::Response;

use crate::directory::protocol::DirectoryRequest;
use crate::event::Event;

use super::api::{error_response, reply_response, ApiState};

/// The maximum number of characters of an unknown zone's name that are logged and returned.
const ZONE_CHARS_MAX: usize = 64;

pub(super) async fn begin(State(state): State<ApiState>, Path(zone): Path<String>) -> Response {
    set_evacuation(state, zone, true).await
}

pub(super) async fn finish(State(state): State<ApiState>, Path(zone): Path<String>) -> Response {
    set_evacuation(state, zone, false).await
}

async fn set_evacuation(state: ApiState, zone: String, is_evacuated: bool) -> Response {
    if !state.zones.contains(&zone) {
        let zone: String = zone.chars().take(ZONE_CHARS_MAX).collect();
        let reason = format!("zones of the settings don't name {zone:?}");
        state.recorder.record(Event::EvacuationRefused { zone });
        return error_response(StatusCode::NOT_FOUND, &reason);
    }
    let request = DirectoryRequest::SetEvacuation { zone, is_evacuated };
    reply_response(state.directory.ask(request).await)
}
