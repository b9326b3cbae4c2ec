//! Serves an HTTP router within limits on connections, heads and the time of a request.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};

use crate::event::{Event, Recorder};
use crate::lock::lock;

/// Maximum number of open connections; further ones wait in the listener's queue.
const CONNECTIONS_MAX: usize = 2_048;
/// Idle connections are closed while fewer connections than this part of the maximum are left.
const CONNECTIONS_LEFT_PART: usize = 4;
/// How long a connection must be idle to be closed then: longer than the interval between two messages of an
/// upstream that sends all of them here.
const IDLE_MIN: Duration = Duration::from_secs(2);
/// Minimum interval between two searches for idle connections.
const IDLE_SEARCH_INTERVAL: Duration = Duration::from_millis(500);
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
    serve_at_most(CONNECTIONS_MAX, listener, router, recorder).await;
}

/// Serves at most `connections_max` connections at a time until the future is dropped. When few more can be
/// opened, idle ones are closed, so that callers which try one host after the other don't lock others out.
pub async fn serve_at_most(
    connections_max: usize,
    listener: TcpListener,
    router: Router,
    recorder: Recorder,
) {
    let permits = Arc::new(Semaphore::new(connections_max));
    let (idle_search, _) = watch::channel(());
    let mut searched_at = Instant::now();
    loop {
        let left = permits.available_permits();
        let is_crowded = left < connections_max / CONNECTIONS_LEFT_PART;
        if is_crowded && searched_at.elapsed() >= IDLE_SEARCH_INTERVAL {
            searched_at = Instant::now();
            idle_search.send_replace(());
        }
        let acquire = permits.clone().acquire_owned();
        let permit = match tokio::time::timeout(IDLE_SEARCH_INTERVAL, acquire).await {
            Ok(Ok(permit)) => permit,
            // The semaphore is never closed.
            Ok(Err(_)) => return,
            Err(_) => continue,
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
        let idle_search = idle_search.subscribe();
        tokio::spawn(async move {
            serve_connection(stream, router, idle_search).await;
            drop(permit);
        });
    }
}

/// When a connection was last used.
struct Activity {
    pending: AtomicUsize,
    used_at: Mutex<Instant>,
}

impl Activity {
    fn is_idle(&self) -> bool {
        self.pending.load(Ordering::Relaxed) == 0 && lock(&self.used_at).elapsed() >= IDLE_MIN
    }
}

/// Serves a connection until it ends. Each change of `idle_search` closes it if it is idle.
async fn serve_connection(stream: TcpStream, router: Router, mut idle_search: watch::Receiver<()>) {
    let activity = Arc::new(Activity {
        pending: AtomicUsize::new(0),
        used_at: Mutex::new(Instant::now()),
    });
    let served = activity.clone();
    // Without it responses are only sent slightly later.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req: Request<Incoming>| {
        let router = TowerToHyperService::new(router.clone());
        let activity = served.clone();
        activity.pending.fetch_add(1, Ordering::Relaxed);
        // A request that takes too long is ended with its connection.
        tokio::time::timeout(REQUEST_TIMEOUT, async move {
            let Ok(response) = hyper::service::Service::call(&router, req).await;
            *lock(&activity.used_at) = Instant::now();
            activity.pending.fetch_sub(1, Ordering::Relaxed);
            response
        })
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    loop {
        tokio::select! {
            // An error means that the caller broke the connection or exceeded a limit.
            _ = &mut connection => return,
            Ok(()) = idle_search.changed() => {
                if activity.is_idle() {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
