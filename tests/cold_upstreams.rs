//! Cold upstreams behind real gateways.

mod testbed;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use carobreel::diagnosis::diagnose;
use serde_json::json;
use testbed::deployment::Deployment;
use testbed::upstream::FakeUpstream;
use testbed::{document, wait_for, READY_TIMEOUT};

/// Requests per second that a cold upstream takes.
const COLD_PER_S: f64 = 4.0;
/// Time until all hosts know of a change of an upstream's state that was acknowledged.
const KNOWN_AFTER: Duration = Duration::from_millis(700);

/// Sends the heartbeats of an upstream that can become cold.
#[derive(Clone)]
struct Heartbeats {
    is_cold: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
}

impl Heartbeats {
    fn new(is_cold: bool) -> Heartbeats {
        Heartbeats {
            is_cold: Arc::new(AtomicBool::new(is_cold)),
            sequence: Arc::default(),
        }
    }

    async fn send(&self, deployment: &Deployment, upstream: &FakeUpstream, service: &str) -> bool {
        let is_cold = self.is_cold.load(Ordering::Relaxed);
        let body = json!({
            "service": service, "address": upstream.address.to_string(), "zone": "a",
            "version": "v1", "slots": 3, "state": "ready", "born": 1_700_000_000_000u64,
            "coldRemaining": if is_cold { "1500ms" } else { "0ms" },
            "sequence": self.sequence.fetch_add(1, Ordering::Relaxed),
        });
        let path = format!("/v1/instances/{}/heartbeat", upstream.id);
        let call = carobreel::http::HttpRequest::post(&path, body.to_string());
        let answer = deployment.testbed.call_directory(call).await;
        answer.is_ok_and(|a| a.status == 200)
    }

    /// Makes the upstream cold or warm, and waits until all hosts know.
    async fn set(&self, is_cold: bool, deployment: &Deployment, upstream: &FakeUpstream) {
        self.is_cold.store(is_cold, Ordering::Relaxed);
        wait_for("the change is acknowledged", READY_TIMEOUT, async || {
            self.send(deployment, upstream, "files").await
        })
        .await;
        tokio::time::sleep(KNOWN_AFTER).await;
    }
}

async fn start(network: u8) -> Deployment {
    let deployment = Deployment::start(network, 8).await;
    let mut document = document(2);
    document["services"][0]["coldPerS"] = json!(COLD_PER_S);
    document["services"][0]["coldStart"] = json!("3s");
    deployment.testbed.configure_until_ready(&document).await;
    deployment
}

/// Returns the number of requests since `from`, and checks that no second had more than a cold upstream bears.
fn check_seconds(upstream: &FakeUpstream, from: Instant) -> usize {
    let arrivals = upstream.observed.lock().unwrap().arrivals.clone();
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    for (n, start) in counted.iter().enumerate() {
        let within = |at: &&Instant| **at - *start < Duration::from_secs(1);
        let count = counted[n..].iter().filter(within).count();
        assert!(
            count as f64 <= COLD_PER_S * 1.5 + 8.0,
            "{count} in a second"
        );
    }
    counted.len()
}

/// Guards against a cold upstream that gets its full share, and against one that gets nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_upstream_gets_at_most_its_limit_until_it_is_warm() {
    let mut deployment = start(90).await;
    let upstream = FakeUpstream::start(&deployment.testbed, 1, "files").await;
    let heartbeats = Heartbeats::new(true);
    heartbeats.set(true, &deployment, &upstream).await;
    let from = Instant::now();
    let load = |duration| deployment.send_load("/read/x", 40.0, duration, |n| n);
    let answers = load(Duration::from_secs(5)).await;
    let cold = check_seconds(&upstream, from);
    assert!(cold >= 10, "{cold} requests in 5 s");
    assert!(answers.iter().all(|a| a.status == 200 || a.status == 503));
    let refusals = answers.iter().filter(|a| a.status == 503);
    assert!(refusals.clone().all(|a| a.retry_after.is_some()));
    heartbeats.set(false, &deployment, &upstream).await;
    let from = Instant::now();
    load(Duration::from_secs(2)).await;
    let arrivals = upstream.observed.lock().unwrap().arrivals.clone();
    let warm = arrivals.iter().filter(|at| **at >= from).count();
    assert!(warm >= 60, "{warm} of 80 requests once it was warm");
    // Cold again, and then the directory is lost: without permits nothing is sent.
    heartbeats.set(true, &deployment, &upstream).await;
    deployment.testbed.stop_directory();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let from = Instant::now();
    let load = deployment.send_load("/read/x", 40.0, Duration::from_secs(2), |n| n);
    load.await;
    assert_eq!(check_seconds(&upstream, from), 0);
    // A refusal is explained.
    let request = testbed::get("/read/x", "cold-1", 1_000);
    let answer = deployment.testbed.request(request).await.unwrap();
    assert_eq!(answer.status, 503);
    let diagnosis = diagnose(&deployment.testbed.events(), "cold-1").unwrap();
    assert!(
        diagnosis.cause.contains("u1 is cold") && diagnosis.cause.contains("takes 4 requests"),
        "{}",
        diagnosis.cause
    );
}
