//! Owners of keys that are full or break requests: what reaches them, and what callers are told.

mod testbed;

use carobreel::diagnosis::diagnose;
use carobreel::event::Event;
use carobreel::http::HttpRequest;
use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{document, get, wait_for, Testbed, READY_TIMEOUT};

fn keyed(id: &str) -> HttpRequest {
    get("/maps/x", id, 1_400).header("carobreel-shard-key", "7")
}

async fn start_with_owner(network: u8) -> (Testbed, FakeUpstream) {
    let testbed = Testbed::start(network).await;
    testbed.configure_until_ready(&document(1)).await;
    let owner = FakeUpstream::start(&testbed, 1, "maps").await;
    owner.join(&testbed).await;
    wait_until_served(&testbed).await;
    (testbed, owner)
}

async fn wait_until_served(testbed: &Testbed) {
    wait_for("the key is served", READY_TIMEOUT, async || {
        let answer = testbed.request(keyed("warm")).await;
        answer.is_ok_and(|a| a.status == 200)
    })
    .await;
}

fn arrivals(owner: &FakeUpstream) -> usize {
    owner.observed.lock().unwrap().arrivals.len()
}

#[tokio::test]
async fn a_full_owner_isn_t_sent_a_request_again_that_it_may_have_run() {
    let (testbed, owner) = start_with_owner(181).await;
    let refusal = "HTTP/1.1 503 X\r\ncarobreel-request-id: broken\r\n\
                   carobreel-server-load: 3,6,3\r\ncontent-length: 0\r\n\r\n";
    owner.set_raw_response(refusal.as_bytes().to_vec());
    let before = arrivals(&owner);
    let answer = testbed.request(keyed("broken")).await.unwrap();
    assert_eq!(answer.status, 502, "it may have run");
    // It is idempotent, so the caller may repeat it.
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(arrivals(&owner) - before, 1);
}

#[tokio::test]
async fn an_owner_with_free_slots_is_sent_an_idempotent_request_again() {
    let (testbed, owner) = start_with_owner(183).await;
    owner.set_behavior(Behavior::TruncatedBody);
    let before = arrivals(&owner);
    let answer = testbed.request(keyed("cut")).await.unwrap();
    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(arrivals(&owner) - before, 2);
}

#[tokio::test]
async fn an_owner_that_refuses_for_lack_of_room_isn_t_asked_twice_nor_ejected() {
    let (testbed, owner) = start_with_owner(182).await;
    let refusal = "HTTP/1.1 503 X\r\ncarobreel-request-id: full\r\ncarobreel-not-executed: 1\r\n\
                   carobreel-server-load: 3,6,3\r\ncontent-length: 0\r\n\r\n";
    let before = arrivals(&owner);
    for n in 1..=3 {
        owner.set_raw_response(refusal.as_bytes().to_vec());
        let answer = testbed.request(keyed("full")).await.unwrap();
        assert_eq!(answer.status, 503);
        let retry_after: f64 = answer.header("retry-after").parse().unwrap();
        assert!((0.8..=1.3).contains(&retry_after), "{retry_after}");
        assert_eq!(arrivals(&owner) - before, n);
        owner.set_behavior(Behavior::Normal);
        wait_until_served(&testbed).await;
        owner.observed.lock().unwrap().arrivals.truncate(before + n);
    }
    let events = testbed.events();
    let is_full =
        |e: &Event| matches!(e, Event::UpstreamFull { evidence, .. } if evidence == "load report");
    assert!(events.iter().any(|e| is_full(&e.event)));
    let is_ejected = |e: &Event| matches!(e, Event::UpstreamEjected { .. });
    assert!(!events.iter().any(|e| is_ejected(&e.event)));
    let cause = diagnose(&events, "full").unwrap().cause;
    assert!(
        cause.contains("no free capacity") && cause.contains("u1"),
        "{cause}"
    );
}
