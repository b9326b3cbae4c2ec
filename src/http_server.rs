//! Serves an HTTP router within limits on connections, heads and the time of a request.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::event::{Event, Recorder};

/// Maximum number of open connections; further ones wait in the listener's queue.
const CONNECTIONS_MAX: usize = 2_048;
/// Timeout for reading a head. An idle connection is closed after it as well.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a request's head, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;
/// Timeout for a request, its body and its answer included.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failure to accept a connection, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves connections until the future is dropped.
pub async fn serve(listener: TcpListener, router: Router, recorder: Recorder) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        // The semaphore is never closed.
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                recorder.record(Event::AcceptFailed {
                    reason: e.to_string(),
                });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let router = router.clone();
        tokio::spawn(async move {
            serve_connection(stream, router).await;
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, router: Router) {
    // Without it responses are only sent slightly later.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req: Request<Incoming>| {
        let router = TowerToHyperService::new(router.clone());
        // A request that takes too long is ended with its connection.
        tokio::time::timeout(REQUEST_TIMEOUT, async move {
            let Ok(response) = hyper::service::Service::call(&router, req).await;
            response
        })
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), service);
    // An error means that the caller broke the connection or exceeded a limit.
    let _ = connection.await;
}
