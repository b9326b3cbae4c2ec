//! Serves the metrics of a process over HTTP.

use std::net::SocketAddr;

use axum::http::header::CONTENT_TYPE;
use axum::routing::get;
use axum::Router;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

use crate::event::{Event, Recorder};
use crate::http_server;

/// Content type of the OpenMetrics text format.
const TEXT_FORMAT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Returns all metrics of a registry in the OpenMetrics text format.
///
/// # Examples
///
/// ```
/// use carobreel::exposition::encode_registry;
/// use prometheus_client::registry::Registry;
///
/// assert_eq!(encode_registry(&Registry::default()), "# EOF\n");
/// ```
pub fn encode_registry(registry: &Registry) -> String {
    let mut text = String::new();
    // Encoding into a string doesn't fail; if it did, partial metrics would be misleading.
    if encode(&mut text, registry).is_err() {
        text.clear();
    }
    text
}

/// Serves the output of `text` at `GET /metrics` until the runtime ends. If the address can't be
/// used, that is logged and the process continues without metrics.
pub async fn serve<F>(address: SocketAddr, text: F, recorder: Recorder)
where
    F: Fn() -> String + Clone + Send + Sync + 'static,
{
    let answer = move || {
        let text = text();
        async move { ([(CONTENT_TYPE, TEXT_FORMAT)], text) }
    };
    let router = Router::new().route("/metrics", get(answer));
    match TcpListener::bind(address).await {
        Ok(listener) => http_server::serve(listener, router, recorder).await,
        Err(e) => recorder.record(Event::MetricsUnavailable {
            address: address.to_string(),
            reason: e.to_string(),
        }),
    }
}
