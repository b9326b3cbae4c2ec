//! The callers' side: HTTP connections, requests, and claims around those that may not be repeated.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};

use crate::claim::{ClaimId, ClaimRequest, KeptAnswer, ANSWER_BODY_BYTES_MAX};
use crate::metrics::RequestLabels;

use super::body::AnswerBody;
use super::claims::ClaimOutcome;
use super::outcome::{
    full_response, NotRun, NotRunReason, Outcome, UnknownReason, OUTCOME, REPLAYED,
};
use super::request::{
    from_wire, parse_target, strip_hop_by_hop, timeout_ms, to_wire, CallerRequest, Origin,
};
use super::router::Router;

/// A caller must have sent a request's head within this time.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest head of a request that is served, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;
/// The largest head that is read, so that its sender can be told, in bytes.
const HEAD_READ_BYTES_MAX: usize = 256 << 10;
/// Connections of callers that one host holds.
const CONNECTIONS_MAX: usize = 16_384;

/// Serves callers.
#[derive(Clone, Debug)]
pub struct Proxy {
    router: Arc<Router>,
    stopping: watch::Receiver<bool>,
    connection_permits: Arc<Semaphore>,
    open_count: Arc<AtomicUsize>,
}

impl Proxy {
    /// Returns a proxy over a request path; it stops when `stopping` turns true.
    pub fn new(router: Arc<Router>, stopping: watch::Receiver<bool>) -> Proxy {
        Proxy {
            router,
            stopping,
            connection_permits: Arc::new(Semaphore::new(CONNECTIONS_MAX)),
            open_count: Arc::default(),
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_count.load(Ordering::SeqCst)
    }

    /// Accepts callers until the process stops.
    pub async fn accept(&self, listener: &TcpListener) {
        let mut stopping = self.stopping.clone();
        loop {
            let Ok(permit) = self.connection_permits.clone().acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopping.wait_for(|s| *s) => return,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let proxy = self.clone();
            tokio::spawn(async move {
                proxy.open_count.fetch_add(1, Ordering::SeqCst);
                proxy.serve(stream).await;
                proxy.open_count.fetch_sub(1, Ordering::SeqCst);
                drop(permit);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let router = self.router.clone();
        let service = service_fn(move |req| {
            let router = router.clone();
            async move { Ok::<_, Infallible>(handle_request(router, req).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(HEAD_READ_BYTES_MAX)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut stopping = self.stopping.clone();
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stopping.wait_for(|s| *s) => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }
}

/// Binds the callers' address.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

async fn handle_request(router: Arc<Router>, req: Request<Incoming>) -> Response<AnswerBody> {
    let started = std::time::Instant::now();
    router.metrics.in_flight.inc();
    let (service, outcome) = match read_request(&router, req).await {
        Ok(req) => {
            let service = req.service.clone();
            (service, route_request(router.clone(), req).await)
        }
        Err(not_run) => ("-".to_string(), Outcome::NotRun(not_run)),
    };
    let response = outcome.into_response();
    router.metrics.in_flight.dec();
    let outcome = response.headers().get(OUTCOME);
    let labels = RequestLabels {
        service,
        outcome: outcome
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .to_string(),
    };
    router.metrics.requests.get_or_create(&labels).inc();
    router
        .metrics
        .request_seconds
        .observe(started.elapsed().as_secs_f64());
    response
}

async fn read_request(router: &Router, req: Request<Incoming>) -> Result<CallerRequest, NotRun> {
    let limits = router.deployment.limits;
    let (head, body) = req.into_parts();
    let header_fields = head.headers.iter();
    let head_bytes: usize = header_fields.map(|(n, v)| n.as_str().len() + v.len()).sum();
    if head_bytes > HEAD_BYTES_MAX {
        return Err(NotRun::permanent(NotRunReason::HeadTooLarge));
    }
    let wait_ms = timeout_ms(&head.headers, limits.default_timeout_ms);
    let deadline = router.clock.now().plus(wait_ms);
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let target = parse_target(path);
    let is_known = router
        .table
        .borrow()
        .document
        .services
        .contains_key(&target.service);
    if !is_known && router.table.borrow().version > 0 {
        return Err(NotRun::permanent(NotRunReason::UnknownService));
    }
    let reading = Limited::new(body, limits.body_bytes_max).collect();
    let read = tokio::time::timeout(Duration::from_millis(wait_ms), reading).await;
    let body = match read {
        Err(_) => return Err(NotRun::permanent(NotRunReason::SlowBody)),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            return Err(NotRun::permanent(NotRunReason::TooLarge));
        }
        Ok(Err(_)) => return Err(NotRun::permanent(NotRunReason::BadRequest)),
        Ok(Ok(body)) => body.to_bytes(),
    };
    let mut headers = head.headers;
    let path = path.to_string();
    strip_hop_by_hop(&mut headers);
    Ok(CallerRequest {
        method: head.method,
        path,
        service: target.service,
        key: target.key,
        headers,
        body,
        deadline,
        origin: Origin::Caller,
        claimed: false,
    })
}

/// Carries a request to its outcome; one with a request id goes on when its caller leaves.
async fn route_request(router: Arc<Router>, mut req: CallerRequest) -> Outcome {
    let Some(id) = req.claim_id() else {
        return router.route(&req).await;
    };
    req.claimed = true;
    let task = tokio::spawn(async move { route_claimed(router, req, id).await });
    task.await
        .unwrap_or(Outcome::Unknown(UnknownReason::Broken))
}

async fn route_claimed(router: Arc<Router>, req: CallerRequest, id: ClaimId) -> Outcome {
    let claim = ClaimRequest {
        id,
        token: rand::random(),
        digest: req.digest(),
    };
    match router.claims.claim(claim).await {
        ClaimOutcome::Granted => {}
        ClaimOutcome::Done(stored) => return replay_answer(stored),
        ClaimOutcome::Mismatch => return request_id_reused(),
        ClaimOutcome::Held => {
            router.claims.release(claim).await;
            return Outcome::Unknown(UnknownReason::ClaimHeld);
        }
        ClaimOutcome::Unavailable => {
            router.claims.release(claim).await;
            return Outcome::Unknown(UnknownReason::ClaimUnavailable);
        }
    }
    let outcome = router.route(&req).await;
    let response = match outcome {
        Outcome::Unknown(reason) => return Outcome::Unknown(reason),
        Outcome::NotRun(not_run) => {
            router.claims.release(claim).await;
            return Outcome::NotRun(not_run);
        }
        Outcome::Answered(response) => response,
    };
    let remote_outcome = response.headers().get(OUTCOME).cloned();
    match remote_outcome.as_ref().map(|v| v.as_bytes()) {
        Some(b"not-run") => {
            router.claims.release(claim).await;
            Outcome::Answered(response)
        }
        Some(b"unknown") => Outcome::Answered(response),
        _ => store_answer(&router, claim, response).await,
    }
}

/// Stores an answer for resends and passes it on.
async fn store_answer(
    router: &Router,
    claim: ClaimRequest,
    response: Response<AnswerBody>,
) -> Outcome {
    let (head, body) = response.into_parts();
    let stored = |body: Option<Vec<u8>>| KeptAnswer {
        status: head.status.as_u16(),
        headers: to_wire(&head.headers),
        body,
    };
    let size = hyper::body::Body::size_hint(&body).exact();
    if size.is_none_or(|s| s > ANSWER_BODY_BYTES_MAX as u64) {
        router.claims.complete(claim, stored(None)).await;
        return Outcome::Answered(Response::from_parts(head, body));
    }
    let Ok(body) = body.collect().await else {
        return Outcome::Unknown(UnknownReason::Broken);
    };
    let body = body.to_bytes();
    router
        .claims
        .complete(claim, stored(Some(body.to_vec())))
        .await;
    let body = AnswerBody::Buffered(http_body_util::Full::new(body));
    Outcome::Answered(Response::from_parts(head, body))
}

fn replay_answer(stored: KeptAnswer) -> Outcome {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let mut headers = from_wire(stored.headers);
    let extent = if stored.body.is_some() {
        "whole"
    } else {
        "head-only"
    };
    headers.insert(REPLAYED, HeaderValue::from_static(extent));
    let body = stored.body.unwrap_or_default();
    Outcome::Answered(full_response(status, headers, Bytes::from(body)))
}

fn request_id_reused() -> Outcome {
    let text = r#"{"outcome":"not-run","reason":"id-reused","detail":"this request id was used for another request"}"#;
    let mut response = full_response(StatusCode::UNPROCESSABLE_ENTITY, Default::default(), text);
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static("not-run"));
    Outcome::Answered(response)
}
