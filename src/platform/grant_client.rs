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
    by_address: BTreeMap<SocketAddr, Vec<IdleConnection>>,
    /// Number of addresses above which those without open connections are removed: twice the number left
    /// after the last removal, but at least `SWEEP_ADDRESSES_MIN`.
    sweep_above: usize,
}

/// A connection on which every call was answered.
#[derive(Debug)]
struct IdleConnection {
    client: HttpClient,
    /// Whether its answers had the ids of their calls.
    has_ids: bool,
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

    /// Returns a connection for a call. Where an upstream's answers have no ids, only renewals share connections.
    fn take(&self, call: &Call) -> HttpClient {
        let mut idle = lock(&self.idle);
        let clients = idle.by_address.entry(call.address).or_default();
        let usable = clients.iter().rposition(|c| c.has_ids || is_renewal(call));
        match usable {
            Some(n) => clients.remove(n).client,
            None => HttpClient::with_reset_on_close(call.address)
                .with_answer_bytes_max(ANSWER_BYTES_MAX),
        }
    }

    /// Returns a connection to the pool for the next call to its upstream.
    fn put_back(&self, address: SocketAddr, client: HttpClient, has_ids: bool) {
        let mut idle = lock(&self.idle);
        if idle.by_address.len() > idle.sweep_above {
            let is_open = |clients: &[IdleConnection]| clients.iter().any(|c| c.client.is_open());
            idle.by_address.retain(|_, clients| is_open(clients));
            idle.sweep_above = SWEEP_ADDRESSES_MIN.max(2 * idle.by_address.len());
        }
        let clients = idle.by_address.entry(address).or_default();
        if clients.len() < IDLE_PER_ADDRESS_MAX {
            clients.push(IdleConnection { client, has_ids });
        }
    }
}

impl GrantTransport for GrantClient {
    async fn call(&self, call: Call, until: Mono) -> CallResult {
        let mut client = self.take(&call);
        let is_reused = client.is_open();
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, client.open()).await;
        if !matches!(opened, Ok(Ok(()))) {
            return CallResult::NotSent;
        }
        if self.clock.now() >= until {
            if is_reused {
                self.put_back(call.address, client, false);
            }
            return CallResult::LeaseEnded;
        }
        let request_id = format!("{:016x}", rand::random::<u64>());
        let request = build_request(&call)
            .header(REQUEST_ID.as_str(), &request_id)
            .timeout(Duration::from_millis(call.timeout_ms));
        match client.send(request).await {
            Ok(answer) => match answer.header(REQUEST_ID.as_str()) {
                id if id == request_id => {
                    self.put_back(call.address, client, true);
                    call_result(&answer)
                }
                // Without an id, only the first answer on a connection is certain to be this call's; a later
                // one may be a copy. Renewals accept that: the upstream holds the keys already, and the next
                // renewal follows within half of the hold.
                "" if !is_reused || is_renewal(&call) => {
                    self.put_back(call.address, client, false);
                    call_result(&answer)
                }
                _ => CallResult::Mismatched,
            },
            // The caller logs the failure with the result.
            Err(_) => CallResult::Unknown,
        }
    }
}

fn build_request(call: &Call) -> crate::http::HttpRequest {
    let request = match &call.kind {
        CallKind::Grant {
            hold_ms, handover, ..
        } => {
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

fn is_renewal(call: &Call) -> bool {
    let kind = &call.kind;
    matches!(
        kind,
        CallKind::Grant {
            is_renewal: true,
            ..
        }
    )
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
