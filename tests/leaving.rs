//! Responses in which upstreams announce that they leave or ask for a backoff.

mod testbed;

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use carobreel::directory::model::{self, Phase};
use carobreel::gateway::attempt::AttemptOutcome;
use testbed::direct::{update, DirectSender};
use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{document, get, start_with_two_upstreams, wait_for, Testbed, READY_TIMEOUT};
use tokio::task::JoinSet;

/// Maximum number of requests that an upstream may still get during its backoff.
const REQUESTS_DURING_BACKOFF_MAX: usize = 2;
/// Time after the refusal from which on these requests are counted.
const BACKOFF_OBSERVED_AFTER: Duration = Duration::from_millis(500);
/// Duration of the backoff.
const BACKOFF: Duration = Duration::from_secs(2);
/// Time within which a key must be served again after the loss of its owner.
const REASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends `count` requests at once and returns how many succeeded.
async fn send_concurrently(testbed: &Testbed, count: usize) -> usize {
    let callers = testbed.caller_address();
    let mut sent = JoinSet::new();
    for n in 0..count {
        let call = get("/read/x", &format!("b{n}"), 1_000).header("host", "one.example");
        sent.spawn(carobreel::http::send(callers, call));
    }
    let answers = sent.join_all().await;
    answers.iter().flatten().filter(|a| a.status == 200).count()
}

fn request_count(upstream: &FakeUpstream) -> usize {
    upstream.observed.lock().unwrap().heads.len()
}

#[tokio::test]
async fn an_upstream_that_announces_leaving_in_a_response_gets_no_more_requests() {
    let (mut testbed, one, other) = start_with_two_upstreams(60).await;
    testbed.stop_directory();
    let before = one.run_count();
    one.set_behavior(Behavior::AnnouncesLeaving);
    other.set_behavior(Behavior::Delayed(150));
    wait_for(
        "the upstream announces leaving",
        READY_TIMEOUT,
        async || {
            send_concurrently(&testbed, 6).await;
            one.run_count() > before
        },
    )
    .await;
    let runs_before_leaving = one.run_count();
    other.set_behavior(Behavior::Normal);
    for _ in 0..12 {
        let answer = testbed.request(get("/read/x", "o", 1_000)).await.unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(one.run_count(), runs_before_leaving);
}

#[tokio::test]
async fn keys_of_an_upstream_that_announces_leaving_in_a_response_are_handed_over() {
    let testbed = Testbed::start(61).await;
    testbed.configure_until_ready(&document(1)).await;
    let one = FakeUpstream::start(&testbed, 1, "maps").await;
    let other = FakeUpstream::start(&testbed, 2, "maps").await;
    one.join(&testbed).await;
    other.join(&testbed).await;
    let keys: Vec<u16> = (0..64).map(|n| n * 1_000).collect();
    wait_for("all keys are held", READY_TIMEOUT, async || {
        one.held_count(&keys) > 0 && one.held_count(&keys) + other.held_count(&keys) == keys.len()
    })
    .await;
    one.set_behavior(Behavior::AnnouncesLeaving);
    wait_for(
        "the other upstream holds all keys",
        REASSIGNMENT_TIMEOUT,
        async || {
            for key in &keys {
                let call =
                    get("/maps/x", "k", 1_000).header("carobreel-shard-key", &key.to_string());
                testbed.request(call).await.ok();
            }
            other.held_count(&keys) == keys.len()
        },
    )
    .await;
}

#[tokio::test]
async fn an_upstream_that_asks_for_backoff_gets_no_requests_until_it_ends() {
    let (testbed, one, other) = start_with_two_upstreams(62).await;
    one.set_behavior(Behavior::AsksForBackoff("2"));
    other.set_behavior(Behavior::Delayed(150));
    let before = request_count(&one);
    wait_for(
        "the upstream refuses a request",
        READY_TIMEOUT,
        async || {
            send_concurrently(&testbed, 6).await;
            request_count(&one) > before
        },
    )
    .await;
    let refused_at = Instant::now();
    tokio::time::sleep(BACKOFF_OBSERVED_AFTER).await;
    let counted = request_count(&one);
    // The last requests end before the backoff does.
    while refused_at.elapsed() < BACKOFF - Duration::from_millis(500) {
        assert!(send_concurrently(&testbed, 6).await > 0);
    }
    assert!(request_count(&one) - counted <= REQUESTS_DURING_BACKOFF_MAX);
    one.set_behavior(Behavior::Normal);
    let runs = one.run_count();
    wait_for("the upstream is used again", READY_TIMEOUT, async || {
        send_concurrently(&testbed, 6).await;
        one.run_count() > runs
    })
    .await;
}

#[tokio::test]
async fn requests_for_a_key_whose_owner_backs_off_get_503_with_the_remaining_time() {
    let testbed = Testbed::start(63).await;
    testbed.configure_until_ready(&document(1)).await;
    let one = FakeUpstream::start(&testbed, 1, "maps").await;
    one.join(&testbed).await;
    let call = || get("/maps/x", "k", 1_000).header("carobreel-shard-key", "7");
    wait_for("the key is served", READY_TIMEOUT, async || {
        testbed.request(call()).await.is_ok_and(|a| a.status == 200)
    })
    .await;
    one.set_behavior(Behavior::AsksForBackoff("2"));
    testbed.request(call()).await.unwrap();
    let asked_at = Instant::now();
    let answer = testbed.request(call()).await.unwrap();
    assert_eq!(answer.status, 503);
    let seconds: f64 = answer.header("retry-after").parse().unwrap();
    assert!((1.0..=2.0).contains(&seconds), "{seconds}");
    assert!(asked_at.elapsed() < Duration::from_millis(200));
}

#[tokio::test]
async fn invalid_retry_after_values_are_ignored() {
    let (testbed, one, other) = start_with_two_upstreams(64).await;
    other.set_behavior(Behavior::Delayed(150));
    for value in ["-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "0", "NaN"] {
        one.set_behavior(Behavior::AsksForBackoff(value));
        let before = request_count(&one);
        wait_for(value, READY_TIMEOUT, async || {
            send_concurrently(&testbed, 6).await;
            request_count(&one) >= before + 3
        })
        .await;
    }
}

#[tokio::test]
async fn a_request_is_not_sent_to_an_upstream_that_left_after_selection() {
    let testbed = Testbed::start(65).await;
    let upstream = FakeUpstream::start(&testbed, 1, "files").await;
    let sender = DirectSender::new(&upstream);
    assert_matches!(sender.send().await, AttemptOutcome::Response(_));
    // The upstream is selected already when the directory reports that it leaves.
    let draining = model::Upstream {
        phase: Phase::Draining,
        ..sender.upstream.clone()
    };
    let view = sender
        .view
        .updated(update(&draining, 2), sender.clock.now());
    sender.clients.sync_with_view(&view);
    assert_matches!(sender.send().await, AttemptOutcome::NotSent);
    assert_eq!(request_count(&upstream), 1);
}

#[tokio::test]
async fn a_request_is_not_sent_to_an_upstream_that_named_a_rate_limit_after_selection() {
    let testbed = Testbed::start(66).await;
    let upstream = FakeUpstream::start(&testbed, 1, "files").await;
    let sender = DirectSender::new(&upstream);
    upstream.set_behavior(Behavior::NamesRateLimit("2"));
    assert_matches!(sender.send().await, AttemptOutcome::Response(_));
    // Without a permit, as if it had been selected before.
    assert_matches!(sender.send().await, AttemptOutcome::NotSent);
    assert_eq!(request_count(&upstream), 1);
}
