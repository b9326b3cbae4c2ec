//! Client for granting keys to upstreams and releasing them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;

use crate::clock::{Clock, Mono};
use crate::directory::daemon::GrantTransport;
use crate::directory::lessor::{Call, CallKind, CallResult};
use crate::http::{HttpClient, HttpResponse};
use crate::lock::lock;

use super::headers::{EXPECTED_UPSTREAM, REQUEST_ID};

/// Timeout for opening a connection: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Header in which an upstream hands over its state of released keys.
const HANDOVER_HEADER: &str = "carobreel-handover";

/// Maximum size of an answer's body, in bytes. Its content isn't used.
const ANSWER_BYTES_MAX: usize = 16 << 10;
/// Maximum idle connections per upstream: calls to one upstream seldom overlap.
const IDLE_PER_ADDRESS_MAX: usize = 2;
/// Minimum number of addresses above which those without open connections are removed.
const SWEEP_ADDRESSES_MIN: usize = 1_024;

/// Calls upstreams over persistent connections.
#[derive(Debug)]
pub struct GrantClient {
    clock: Clock,
    idle: Mutex<IdleConnections>,
}

/// Idle connections by address.
#[derive(Debug)]
struct IdleConnections {
    by_address: BTreeMap<SocketAddr, Vec<HttpClient>>,
    /// Number of addresses above which those without open connections are removed: twice the number left
    /// after the last removal, but at least `SWEEP_ADDRESSES_MIN`.
    sweep_above: usize,
}

impl GrantClient {
    /// Returns a client without any connections.
    pub fn new(clock: Clock) -> GrantClient {
        GrantClient {
            clock,
            idle: Mutex::new(IdleConnections {
                by_address: BTreeMap::new(),
                sweep_above: SWEEP_ADDRESSES_MIN,
            }),
        }
    }

    fn take(&self, address: SocketAddr) -> HttpClient {
        let mut idle = lock(&self.idle);
        let open = idle.by_address.get_mut(&address).and_then(Vec::pop);
        open.unwrap_or_else(|| {
            HttpClient::with_reset_on_close(address).with_answer_bytes_max(ANSWER_BYTES_MAX)
        })
    }

    /// Returns a connection to the pool for the next call to its upstream.
    fn put_back(&self, address: SocketAddr, client: HttpClient) {
        let mut idle = lock(&self.idle);
        if idle.by_address.len() > idle.sweep_above {
            let is_open = |clients: &[HttpClient]| clients.iter().any(HttpClient::is_open);
            idle.by_address.retain(|_, clients| is_open(clients));
            idle.sweep_above = SWEEP_ADDRESSES_MIN.max(2 * idle.by_address.len());
        }
        let clients = idle.by_address.entry(address).or_default();
        if clients.len() < IDLE_PER_ADDRESS_MAX {
            clients.push(client);
        }
    }
}

impl GrantTransport for GrantClient {
    async fn call(&self, call: Call, until: Mono) -> CallResult {
        let mut client = self.take(call.address);
        let is_reused = client.is_open();
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, client.open()).await;
        if !matches!(opened, Ok(Ok(()))) {
            return CallResult::NotSent;
        }
        if self.clock.now() >= until {
            self.put_back(call.address, client);
            return CallResult::LeaseEnded;
        }
        let request_id = format!("{:016x}", rand::random::<u64>());
        let request = build_request(&call)
            .header(REQUEST_ID.as_str(), &request_id)
            .timeout(Duration::from_millis(call.timeout_ms));
        match client.send(request).await {
            Ok(answer) => match answer.header(REQUEST_ID.as_str()) {
                id if id == request_id => {
                    self.put_back(call.address, client);
                    call_result(&answer)
                }
                // Only the first answer on a connection needs no id to be this call's. Later ones could be
                // copies of it, so the connection isn't used again.
                "" if !is_reused => call_result(&answer),
                _ => CallResult::Mismatched,
            },
            // The caller logs the failure with the result.
            Err(_) => CallResult::Unknown,
        }
    }
}

fn build_request(call: &Call) -> crate::http::HttpRequest {
    let request = match &call.kind {
        CallKind::Grant { hold_ms, handover } => {
            let mut body = json!({
                "from": call.from,
                "to": call.to,
                "fence": call.fence,
                "hold_time": format!("{hold_ms}ms"),
            });
            if let Some(handover) = handover {
                body["handover"] = json!(handover);
            }
            crate::http::HttpRequest::post("/v1/grant", body.to_string())
        }
        CallKind::Release => {
            let body = json!({ "from": call.from, "to": call.to, "fence": call.fence });
            crate::http::HttpRequest::post("/v1/release", body.to_string())
        }
    };
    request.header(EXPECTED_UPSTREAM.as_str(), &call.upstream)
}

fn call_result(answer: &HttpResponse) -> CallResult {
    match answer.status {
        StatusCode::OK => {
            let handover = answer.header(HANDOVER_HEADER);
            CallResult::Done((!handover.is_empty()).then(|| handover.to_string()))
        }
        StatusCode::CONFLICT => CallResult::Fenced,
        StatusCode::MISDIRECTED_REQUEST => CallResult::Misdirected,
        _ => CallResult::Unknown,
    }
}
