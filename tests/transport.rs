//! Connections between processes: how many are opened, and when one is given up.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use carobreel::daemon::silent;
use carobreel::event::Recorder;
use carobreel::keys;
use carobreel::transport::{Endpoint, Incoming, TransportError};
use carobreel::wire::{Request, Response};

/// Longer than any answer here takes.
const PATIENCE: Duration = Duration::from_secs(10);

fn endpoint(name: &str) -> Endpoint {
    let tls = keys::unverified().unwrap();
    let recorder = Recorder::new(name, silent());
    let any = "127.0.0.1:0".parse().unwrap();
    Endpoint::bind(any, BTreeMap::new(), &tls, recorder).unwrap()
}

/// Answers each request after `delay_ms`.
fn serve(endpoint: &Endpoint, delay_ms: Arc<AtomicU64>) {
    let endpoint = endpoint.clone();
    tokio::spawn(async move {
        let answering = endpoint.clone();
        let serve = move |incoming: Incoming| {
            let (endpoint, delay_ms) = (answering.clone(), delay_ms.clone());
            async move {
                tokio::time::sleep(Duration::from_millis(delay_ms.load(Ordering::Relaxed))).await;
                if let Some(mut tx) = incoming.tx {
                    endpoint.answer(&mut tx, Response::Ack).await.ok();
                }
            }
        };
        endpoint.accept(serve).await;
    });
}

#[tokio::test]
async fn requests_at_once_to_a_host_open_one_connection() {
    let (server, client) = (endpoint("s"), endpoint("c"));
    serve(&server, Arc::default());
    let host = server.local_address().unwrap().to_string();
    let mut asked = tokio::task::JoinSet::new();
    for _ in 0..30 {
        let (client, host) = (client.clone(), host.clone());
        asked.spawn(async move { client.call(&host, Request::Ping, PATIENCE).await.is_ok() });
    }
    assert!(asked.join_all().await.into_iter().all(|ok| ok));
    assert_eq!(client.dialled().opened, 1);
}

#[tokio::test]
async fn callers_that_give_up_leave_the_attempt_to_connect_to_the_next_one() {
    let (server, client) = (endpoint("s"), endpoint("c"));
    serve(&server, Arc::default());
    let host = server.local_address().unwrap().to_string();
    for _ in 0..5 {
        let call = client.call(&host, Request::Ping, Duration::from_micros(1));
        assert!(call.await.is_err());
    }
    client.call(&host, Request::Ping, PATIENCE).await.unwrap();
    // Nothing can have arrived meanwhile, which says nothing of the connection.
    for _ in 0..5 {
        let call = client.call(&host, Request::Ping, Duration::from_micros(1));
        assert!(call.await.is_err());
    }
    client.call(&host, Request::Ping, PATIENCE).await.unwrap();
    let dialled = client.dialled();
    assert_eq!((dialled.opened, dialled.failed), (1, 0));
}

#[tokio::test]
async fn a_late_answer_doesn_t_cost_the_connection() {
    let (server, client) = (endpoint("s"), endpoint("c"));
    let delay_ms = Arc::new(AtomicU64::new(400));
    serve(&server, delay_ms.clone());
    let host = server.local_address().unwrap().to_string();
    let short = Duration::from_millis(150);
    for _ in 0..3 {
        let answer = client.call(&host, Request::Ping, short).await;
        let e = answer.unwrap_err();
        assert_eq!(*e.current_context(), TransportError::Timeout);
    }
    delay_ms.store(0, Ordering::Relaxed);
    client.call(&host, Request::Ping, PATIENCE).await.unwrap();
    assert_eq!(client.dialled().opened, 1);
}
