//! Upstreams that reset new connections.

mod testbed;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use assert_matches::assert_matches;
use carobreel::gateway::attempt::{AttemptOutcome, Execution};
use testbed::direct::DirectSender;
use testbed::upstream::FakeUpstream;
use testbed::{wait_for, Testbed, READY_TIMEOUT};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Time after which a new connection is reset.
const RESET_AFTER: Duration = Duration::from_millis(12);

/// Accepts connections and resets them. Returns the number of bytes received on each.
async fn reset_connections(upstream: &FakeUpstream) -> Arc<Mutex<Vec<usize>>> {
    upstream.crash();
    let mut listener = None;
    wait_for("the address is free", READY_TIMEOUT, async || {
        listener = TcpListener::bind(upstream.address).await.ok();
        listener.is_some()
    })
    .await;
    let listener = listener.unwrap();
    let received: Arc<Mutex<Vec<usize>>> = Arc::default();
    let counts = received.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::time::sleep(RESET_AFTER).await;
            let mut buf = [0; 4_096];
            let reading = tokio::time::timeout(Duration::from_millis(1), stream.read(&mut buf));
            let bytes = reading.await.map_or(0, |read| read.unwrap_or(0));
            counts.lock().unwrap().push(bytes);
            stream.set_zero_linger().unwrap();
        }
    });
    received
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_isn_t_sent_on_a_new_connection_that_the_upstream_resets() {
    let testbed = Testbed::start(184).await;
    let upstream = FakeUpstream::start(&testbed, 1, "files").await;
    let sender = DirectSender::new(&upstream);
    let received = reset_connections(&upstream).await;
    // The first request shows that the upstream resets new connections. It may have run.
    assert_matches!(sender.send().await, AttemptOutcome::Broken(_));
    for _ in 0..3 {
        let outcome = sender.send().await;
        assert_matches!(
            outcome,
            AttemptOutcome::Failed(_, Execution::NotRun) | AttemptOutcome::NotSent
        );
    }
    let received = received.lock().unwrap().clone();
    assert!(received[0] > 0);
    assert!(
        received[1..].iter().all(|bytes| *bytes == 0),
        "{received:?}"
    );
}
