//! Tests that the logs alone suffice to find the causes of failed requests.

mod bed;

use bed::upstream::{Manner, Upstream};
use bed::{document, get, post, wait_for, Bed, READY};
use carobreel::diagnosis::diagnose;
use carobreel::event::Event;
use std::time::Duration;

fn cause(bed: &Bed, id: &str) -> String {
    let diagnosis = diagnose(&bed.events(), id).unwrap_or_else(|| panic!("no line names {id}"));
    assert!(!diagnosis.lines.is_empty());
    diagnosis.cause
}

#[tokio::test]
async fn a_broken_answer_is_traced_to_its_upstream() {
    let (bed, upstream) = Bed::serving(41).await;
    let expected = [
        (Manner::Truncates, "answer cut off"),
        (Manner::Confuses, "answer to another request"),
        (Manner::Unstamped, "without the upstream's stamp"),
        (Manner::FailsLikeShedding, "refusal without proof"),
    ];
    for (n, (manner, reason)) in expected.into_iter().enumerate() {
        // Each failure ejects the upstream for a while.
        upstream.set(Manner::Well);
        bed.wait_until_served().await;
        upstream.set(manner);
        let id = format!("broken{n}");
        let answer = bed.request(post("/file/x", &id, 900)).await.unwrap();
        assert_eq!(answer.status, 502);
        let cause = cause(&bed, &id);
        assert!(
            cause.contains(reason) && cause.contains("u1"),
            "{manner:?}: {cause}"
        );
        assert!(cause.contains("whether it ran"), "{cause}");
    }
}

#[tokio::test]
async fn slow_upstreams_refusals_and_callers_that_left_are_distinguished() {
    let (bed, upstream) = Bed::serving(42).await;
    upstream.set(Manner::Slow(5_000));
    let answer = bed.request(get("/read/x", "slow", 600)).await.unwrap();
    assert_eq!(answer.status, 504);
    let text = cause(&bed, "slow");
    assert!(text.contains("The time was spent at u1"), "{text}");

    let call = get("/read/x", "left", 1_400).timeout(Duration::from_millis(150));
    assert!(bed.request(call).await.is_err());
    wait_for("the gateway notices", READY, async || {
        let events = bed.events();
        let mut left = events.iter().map(|s| &s.event);
        left.any(|e| matches!(e, Event::RequestAbandoned { request, .. } if request == "left"))
    })
    .await;
    let text = cause(&bed, "left");
    assert!(text.contains("The caller closed its connection"), "{text}");

    upstream.set(Manner::Sheds);
    wait_for("the upstream receives requests again", READY, async || {
        let answer = bed.request(post("/file/x", "shed", 900)).await.unwrap();
        assert_eq!(answer.status, 503);
        cause(&bed, "shed").contains("The attempt at u1 failed")
    })
    .await;
    let text = cause(&bed, "shed");
    assert!(text.contains("it didn't run there"), "{text}");
}

#[tokio::test]
async fn a_key_without_an_owner_is_traced_to_the_lost_upstream() {
    let bed = Bed::start(43).await;
    bed.configure_first(&document(1)).await;
    let upstream = Upstream::start(&bed, 1, "maps").await;
    upstream.join(&bed).await;
    let send_keyed = |id: String| {
        let call = get("/maps/x", &id, 900).header("carobreel-shard-key", "77");
        bed.request(call)
    };
    wait_for("the key is served", READY, async || {
        send_keyed("w".to_string())
            .await
            .is_ok_and(|a| a.status == 200)
    })
    .await;
    upstream.crash();
    let mut n = 0;
    let mut id = String::new();
    wait_for("the key has no owner", READY, async || {
        n += 1;
        id = format!("lost{n}");
        send_keyed(id.clone()).await.is_ok_and(|a| a.status == 503)
    })
    .await;
    let text = cause(&bed, &id);
    assert!(text.contains("u1"), "{text}");
    assert!(
        text.contains("can't connect") || text.contains("was"),
        "{text}"
    );
}
