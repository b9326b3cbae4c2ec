//! Tests the evacuation of availability zones with running processes.

mod testbed;

use std::time::{Duration, Instant};

use carobreel::clock::Mono;
use carobreel::diagnosis::diagnose;
use carobreel::directory::protocol::Update;
use carobreel::directory::state::Versions;
use carobreel::event::Event;
use carobreel::gateway::attempt::AttemptOutcome;
use carobreel::http::HttpRequest;
use testbed::direct::DirectSender;
use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{document, get, wait_for, Testbed, READY_TIMEOUT};

/// The time within which an order is acknowledged in calm state.
const CALM_ACK: Duration = Duration::from_secs(1);
/// The time after the acknowledgement from which on an order is obeyed.
const IN_FORCE: Duration = Duration::from_secs(5);
/// The time within which a request that no upstream may serve is refused.
const REFUSED_WITHIN: Duration = Duration::from_millis(200);

async fn call(testbed: &Testbed, zone: &str, order: &str) -> u16 {
    let call = HttpRequest::post(&format!("/v1/evacuate/{zone}/{order}"), String::new());
    let answer = testbed.call_directory(call).await;
    answer.map_or(0, |a| a.status.as_u16())
}

/// Sends an order that must be acknowledged in time.
async fn order(testbed: &Testbed, zone: &str, order: &str) {
    let started_at = Instant::now();
    assert_eq!(call(testbed, zone, order).await, 200);
    let took = started_at.elapsed();
    assert!(took <= CALM_ACK, "acknowledged after {took:?}");
}

/// Starts a deployment with an upstream of `files` in each of the two zones: one in zone b and one in zone a.
async fn start_with_two_zones(network: u8) -> (Testbed, FakeUpstream, FakeUpstream) {
    let testbed = Testbed::start(network).await;
    testbed.configure_until_ready(&document(1)).await;
    let stays = FakeUpstream::start_in_zone(&testbed, 1, "files", "b").await;
    let leaves = FakeUpstream::start_in_zone(&testbed, 2, "files", "a").await;
    stays.join(&testbed).await;
    leaves.join(&testbed).await;
    // The gateway is in zone a and prefers the upstream there. It knows the other one by then, which joined earlier.
    wait_until_used(&testbed, &leaves).await;
    (testbed, stays, leaves)
}

async fn wait_until_used(testbed: &Testbed, upstream: &FakeUpstream) {
    let before = upstream.run_count();
    wait_for("the upstream is used", READY_TIMEOUT, async || {
        let mut requests = tokio::task::JoinSet::new();
        for n in 0..6 {
            let call = get("/read/x", &format!("w{n}"), 1_000).header("host", "one.example");
            requests.spawn(carobreel::http::send(testbed.caller_address(), call));
        }
        requests.join_all().await;
        upstream.run_count() > before
    })
    .await;
}

/// An operator must learn that a name is wrong, instead of waiting for a zone that doesn't exist.
#[tokio::test]
async fn calls_are_idempotent_and_an_unknown_zone_gets_an_error() {
    let (testbed, _stays, _leaves) = start_with_two_zones(201).await;
    for step in ["begin", "begin", "finish", "finish", "begin", "finish"] {
        order(&testbed, "a", step).await;
    }
    let unknown = HttpRequest::post("/v1/evacuate/nowhere/begin", String::new());
    let answer = testbed.call_directory(unknown).await.unwrap();
    assert_eq!(answer.status, 404);
    let error: serde_json::Value = serde_json::from_str(&answer.text()).unwrap();
    assert!(
        error["error"].as_str().unwrap().contains("nowhere"),
        "{error}"
    );
    assert_eq!(call(&testbed, "a", "pause").await, 404);
    let events = testbed.events();
    let begun = events
        .iter()
        .filter(|r| matches!(&r.event, Event::EvacuationBegun { zone, .. } if zone == "a"));
    // Repeated orders change nothing.
    assert_eq!(begun.count(), 2);
    let refused =
        |r: &carobreel::event::EventRecord| matches!(r.event, Event::EvacuationRefused { .. });
    assert!(events.iter().any(refused));
}

/// Upstreams of the zone must get nothing once it is evacuated, those that register meanwhile included, nor from an entry
/// host that starts meanwhile.
#[tokio::test]
async fn upstreams_of_an_evacuated_zone_get_no_requests_until_it_ends() {
    let (mut testbed, stays, leaves) = start_with_two_zones(202).await;
    order(&testbed, "a", "begin").await;
    let acked_at = Instant::now();
    let before = leaves.run_count();
    let late = FakeUpstream::start_in_zone(&testbed, 3, "files", "a").await;
    late.join(&testbed).await;
    let gateway = testbed.start_another_gateway(1).await;
    testbed.wait_for_gateway(1).await;
    let served_before = stays.run_count();
    let mut statuses = Vec::new();
    while acked_at.elapsed() < Duration::from_secs(3) {
        for n in 0..2 {
            let id = format!("r{}", statuses.len());
            let call = get("/read/x", &id, 1_000).header("host", "one.example");
            let answer = carobreel::http::send(testbed.caller_address_of(n), call).await;
            statuses.push(answer.map_or(0, |a| a.status.as_u16()));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    assert_eq!(leaves.run_count(), before);
    assert_eq!(late.run_count(), 0);
    assert!(stays.run_count() >= served_before + statuses.len());
    order(&testbed, "a", "finish").await;
    wait_until_used(&testbed, &leaves).await;
    wait_until_used(&testbed, &late).await;
    drop(gateway);
}

/// Callers must not wait for an owner that can't come, and must learn when to return.
#[tokio::test]
async fn requests_are_refused_at_once_while_all_zones_are_evacuated() {
    let (testbed, _stays, _leaves) = start_with_two_zones(203).await;
    let owner = FakeUpstream::start_in_zone(&testbed, 4, "maps", "b").await;
    owner.join(&testbed).await;
    let keyed = |id: &str| get("/maps/x", id, 1_000).header("carobreel-shard-key", "77");
    wait_for("the key is served", READY_TIMEOUT, async || {
        let answer = testbed.request(keyed("w")).await;
        answer.is_ok_and(|a| a.status == 200)
    })
    .await;
    order(&testbed, "b", "begin").await;
    order(&testbed, "a", "begin").await;
    for (id, call) in [
        ("all1", get("/read/x", "all1", 1_000)),
        ("all2", keyed("all2")),
    ] {
        let sent_at = Instant::now();
        let answer = testbed.request(call).await.unwrap();
        let took = sent_at.elapsed();
        assert_eq!(answer.status, 503, "{id}");
        assert!(took <= REFUSED_WITHIN, "{id} refused after {took:?}");
        let retry_after: f64 = answer.header("retry-after").parse().unwrap();
        assert!(retry_after > 0.0, "{id}");
        let cause = diagnose(&testbed.events(), id).unwrap().cause;
        assert!(
            cause.contains("evacuated availability zones (a,b;"),
            "{cause}"
        );
    }
    // The keys stayed where they are, so that their owner serves them at once.
    order(&testbed, "b", "finish").await;
    let answer = testbed.request(keyed("after")).await.unwrap();
    assert_eq!(answer.status, 200);
}

/// A quarter of the keys must not be refused while they are handed over, and must not be served in the zone afterwards.
#[tokio::test]
async fn keys_are_served_while_they_leave_an_evacuated_zone() {
    let testbed = Testbed::start(204).await;
    testbed.configure_until_ready(&document(1)).await;
    let mut upstreams = Vec::new();
    for (n, zone) in [(1, "a"), (2, "a"), (3, "a"), (4, "b")] {
        let upstream = FakeUpstream::start_in_zone(&testbed, n, "maps", zone).await;
        upstream.join(&testbed).await;
        upstreams.push(upstream);
    }
    let keys: Vec<u16> = (0..64).map(|n| n * 1_024).collect();
    let leaves = upstreams[3].clone();
    wait_for("all keys are held", READY_TIMEOUT, async || {
        let held: usize = upstreams.iter().map(|u| u.held_count(&keys)).sum();
        held == keys.len() && leaves.held_count(&keys) > 0
    })
    .await;
    let request = async |key: u16| {
        let call = get("/maps/x", &format!("k{key}"), 1_500);
        let call = call.header("carobreel-shard-key", &key.to_string());
        testbed.request(call).await.map_or(0, |a| a.status.as_u16())
    };
    wait_for("all keys are served", READY_TIMEOUT, async || {
        for key in &keys {
            if request(*key).await != 200 {
                return false;
            }
        }
        true
    })
    .await;
    order(&testbed, "b", "begin").await;
    let acked_at = Instant::now();
    let mut failed = Vec::new();
    let mut sent = 0;
    while acked_at.elapsed() < IN_FORCE {
        for key in &keys {
            let status = request(*key).await;
            sent += 1;
            if status != 200 {
                failed.push((*key, status, acked_at.elapsed()));
            }
        }
    }
    assert!(
        failed.len() * 100 <= sent,
        "{sent} sent, failed: {failed:?}"
    );
    assert_eq!(leaves.held_count(&keys), 0);
    let runs = leaves.run_count();
    for key in &keys {
        assert_eq!(request(*key).await, 200, "key {key}");
    }
    assert_eq!(leaves.run_count(), runs);
    let events = testbed.events();
    let is_done = |r: &carobreel::event::EventRecord| matches!(&r.event, Event::KeysEvacuated { zones, .. } if zones == "b");
    assert!(events.iter().any(is_done));
}

fn evacuate(zones: &[&str], version: u64) -> Update {
    Update {
        versions: Versions {
            upstreams: 1,
            evacuations: version,
            ..Versions::default()
        },
        evacuated_zones: Some(zones.iter().map(|z| z.to_string()).collect()),
        ..Update::default()
    }
}

/// A request whose upstream was selected before the order arrived must be checked again when it is sent.
#[tokio::test]
async fn a_request_that_waits_when_the_order_arrives_isn_t_sent() {
    let (_testbed, upstream) = Testbed::start_with_upstream(205).await;
    let sender = DirectSender::new(&upstream);
    assert!(matches!(sender.send().await, AttemptOutcome::Response(_)));
    let evacuated = sender.view.updated(evacuate(&["a"], 2), Mono(1));
    sender.clients.sync_with_view(&evacuated);
    let before = upstream.run_count();
    let outcome = sender.send().await;
    assert!(matches!(outcome, AttemptOutcome::NotSent), "{outcome:?}");
    assert_eq!(upstream.run_count(), before);
    // A request that still has the view before the order creates the client of another upstream at that time.
    let mut other = sender.upstream.clone();
    other.incarnation.id = "u9".to_string();
    let client = sender.clients.get(&other, &sender.view);
    assert!(!client.accepts_requests(sender.clock.now()));
    let after = evacuated.updated(evacuate(&[], 3), Mono(2));
    sender.clients.sync_with_view(&after);
    assert!(matches!(sender.send().await, AttemptOutcome::Response(_)));
}

/// An entry host without the directory keeps what it knows: the order outlasts the loss of the directory.
#[tokio::test]
async fn a_host_that_loses_the_directory_keeps_obeying() {
    let (mut testbed, stays, leaves) = start_with_two_zones(206).await;
    order(&testbed, "a", "begin").await;
    testbed.stop_directory();
    let before = (stays.run_count(), leaves.run_count());
    stays.set_behavior(Behavior::Normal);
    for n in 0..40 {
        let answer = testbed
            .request(get("/read/x", &format!("l{n}"), 1_000))
            .await;
        assert_eq!(answer.unwrap().status, 200);
    }
    assert_eq!(stays.run_count(), before.0 + 40);
    assert_eq!(leaves.run_count(), before.1);
}
