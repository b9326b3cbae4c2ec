//! Planned stops of a gateway: each request that it reads gets an answer, and a refused one didn't run.

mod testbed;

use std::time::Duration;

use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{document, Testbed};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

const GRACE: Duration = Duration::from_secs(6);
/// The upstream's time for a request, and the callers' and the route's timeout, in milliseconds.
const WORK_MS: u64 = 2_700;
const BUDGET_MS: u64 = 4_000;
const ROUTE_TIMEOUT: &str = "5s";
/// The time within which a refusal must come.
const AT_ONCE: Duration = Duration::from_millis(300);

/// The time within which bytes that were sent before the end of the process arrive.
const DELIVERY: Duration = Duration::from_millis(50);

/// A request to be sent at a time after the stop.
#[derive(Clone, Copy, Debug)]
struct Planned {
    at_ms: u64,
    budget_ms: Option<u64>,
    /// Whether the connection is opened before the stop.
    is_kept: bool,
    /// How long the body is held back, in milliseconds.
    body_delay_ms: u64,
}

#[derive(Debug)]
struct Outcome {
    id: String,
    planned: Planned,
    status: Option<u16>,
    head: String,
    took: Duration,
    answered_at: Instant,
}

async fn send_planned(
    address: std::net::SocketAddr,
    n: usize,
    planned: Planned,
    stopped_at: Instant,
) -> Outcome {
    let id = format!("s{n}");
    let kept = match planned.is_kept {
        true => Some(TcpStream::connect(address).await.unwrap()),
        false => None,
    };
    tokio::time::sleep_until(stopped_at + Duration::from_millis(planned.at_ms)).await;
    let mut stream = match kept {
        Some(stream) => stream,
        None => TcpStream::connect(address).await.unwrap(),
    };
    let began = Instant::now();
    let budget = planned.budget_ms.map_or(String::new(), |ms| {
        format!("carobreel-deadline-ms: {ms}\r\n")
    });
    let head = format!(
        "POST /file/x HTTP/1.1\r\nhost: one.example\r\ncarobreel-request-id: {id}\r\n\
         {budget}content-length: 8\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(planned.body_delay_ms)).await;
    let _ = stream.write_all(b"a filing").await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let head = String::from_utf8_lossy(&answer).to_lowercase();
    let status = head.get(9..12).and_then(|text| text.parse().ok());
    Outcome {
        id,
        planned,
        status,
        head,
        took: began.elapsed(),
        answered_at: Instant::now(),
    }
}

/// Requests that came late in the grace period were taken although they could outlast the process, and were cut
/// off without an answer at its end, also ones that may run only once.
#[tokio::test(flavor = "multi_thread")]
async fn requests_late_in_a_planned_stop_are_answered_or_refused_but_not_cut_off() {
    let (mut testbed, upstream) = Testbed::start_with_upstream(84).await;
    let mut document = document(2);
    for route in document["routes"].as_array_mut().unwrap() {
        route["timeout"] = ROUTE_TIMEOUT.into();
    }
    testbed.configure_until_ready(&document).await;
    upstream.set_behavior(Behavior::Delayed(WORK_MS));
    let mut plan = Vec::new();
    for is_kept in [true, false] {
        for at_ms in [200, 2_000, 2_900, 3_000, 3_050, 3_100, 3_150] {
            for budget_ms in [Some(BUDGET_MS), Some(1_500), None] {
                plan.push(Planned {
                    at_ms,
                    budget_ms,
                    is_kept,
                    body_delay_ms: 0,
                });
            }
        }
    }
    plan.push(Planned {
        at_ms: 3_000,
        budget_ms: Some(BUDGET_MS),
        is_kept: true,
        body_delay_ms: 400,
    });
    let address = testbed.caller_address();
    let gateway = testbed.gateway.take().unwrap();
    // Kept connections are opened before the stop begins.
    let stopped_at = Instant::now() + Duration::from_millis(300);
    let mut pending = tokio::task::JoinSet::new();
    for (n, planned) in plan.into_iter().enumerate() {
        pending.spawn(send_planned(address, n, planned, stopped_at));
    }
    tokio::time::sleep_until(stopped_at).await;
    gateway.stop(GRACE).await;
    // The process would end now; the test's runtime goes on.
    let ended_at = Instant::now();
    assert!(ended_at < stopped_at + GRACE, "{:?}", ended_at - stopped_at);
    check_outcomes(&upstream, pending.join_all().await, ended_at);
}

fn check_outcomes(upstream: &FakeUpstream, outcomes: Vec<Outcome>, ended_at: Instant) {
    let runs: Vec<String> = {
        let observed = upstream.observed.lock().unwrap();
        observed.runs.iter().map(|(id, _)| id.clone()).collect()
    };
    let mut counts = (0, 0);
    for outcome in &outcomes {
        let Some(status) = outcome.status else {
            panic!("no answer: {outcome:?}");
        };
        assert!(
            outcome.answered_at < ended_at + DELIVERY,
            "cut off: {outcome:?}"
        );
        if status == 503 {
            counts.1 += 1;
            assert!(!runs.contains(&outcome.id), "refused but run: {outcome:?}");
            assert!(outcome.head.contains("retry-after: "), "{outcome:?}");
            assert!(outcome.head.contains("connection: close"), "{outcome:?}");
            let held = Duration::from_millis(outcome.planned.body_delay_ms);
            assert!(outcome.took < AT_ONCE + held, "{outcome:?}");
        } else if outcome.planned.budget_ms.is_none_or(|ms| ms > WORK_MS) {
            assert_eq!(status, 200, "{outcome:?}");
            counts.0 += 1;
        }
    }
    assert!(
        counts.0 > 0 && counts.1 > 0,
        "answered and refused: {counts:?}"
    );
}
