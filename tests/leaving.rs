//! What upstreams say of themselves in answers: that they leave, or want nothing for a while.

mod bed;

use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use bed::upstream::{Manner, Upstream};
use bed::{document, get, two, wait_for, Bed, READY};
use carobreel::clock::Clock;
use carobreel::daemon::discard_logger;
use carobreel::directory::ask::Update;
use carobreel::directory::model::{self, Incarnation, Phase, Repeat};
use carobreel::directory::state::Versions;
use carobreel::event::Recorder;
use carobreel::gateway::attempt::{Attempt, Exchange};
use carobreel::gateway::metrics::Metrics;
use carobreel::gateway::peer::Peers;
use carobreel::gateway::view::View;
use carobreel::pace::LinkPacers;
use carobreel::platform::headers::Headers;
use tokio::task::JoinSet;

/// Requests that may still come to an upstream that wants nothing.
const WHILE_RESTING_MAX: usize = 2;
/// From when on that counts.
const RESTS_AFTER: Duration = Duration::from_millis(500);
/// How long the upstream wants nothing.
const REST: Duration = Duration::from_secs(2);
/// The bound for a key to be served again after a loss.
const SERVED_AGAIN: Duration = Duration::from_secs(5);

/// Sends `count` requests at once and returns how many were answered with success.
async fn burst(bed: &Bed, count: usize) -> usize {
    let callers = bed.callers();
    let mut sent = JoinSet::new();
    for n in 0..count {
        let call = get("/read/x", &format!("b{n}"), 1_000).header("host", "one.example");
        sent.spawn(carobreel::http::send(callers, call));
    }
    let answers = sent.join_all().await;
    answers.iter().flatten().filter(|a| a.status == 200).count()
}

fn heads(upstream: &Upstream) -> usize {
    upstream.seen.lock().unwrap().heads.len()
}

#[tokio::test]
async fn an_upstream_that_says_in_an_answer_that_it_leaves_gets_nothing_more_without_the_directory()
{
    let (mut bed, one, other) = two(60).await;
    bed.stop_directory();
    let before = one.runs();
    one.set(Manner::Leaves);
    other.set(Manner::Slow(150));
    wait_for("it answered once more", READY, async || {
        burst(&bed, 6).await;
        one.runs() > before
    })
    .await;
    let left = one.runs();
    other.set(Manner::Well);
    for _ in 0..12 {
        let answer = bed.request(get("/read/x", "o", 1_000)).await.unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(one.runs(), left);
}

#[tokio::test]
async fn the_keys_of_an_upstream_that_says_in_an_answer_that_it_leaves_are_handed_over() {
    let bed = Bed::start(61).await;
    bed.configure_first(&document(1)).await;
    let one = Upstream::start(&bed, 1, "maps").await;
    let other = Upstream::start(&bed, 2, "maps").await;
    one.join(&bed).await;
    other.join(&bed).await;
    let keys: Vec<u16> = (0..64).map(|n| n * 1_000).collect();
    wait_for("all keys are held", READY, async || {
        one.held(&keys) > 0 && one.held(&keys) + other.held(&keys) == keys.len()
    })
    .await;
    one.set(Manner::Leaves);
    wait_for("the other one holds all keys", SERVED_AGAIN, async || {
        for key in &keys {
            let call = get("/maps/x", "k", 1_000).header("carobreel-shard-key", &key.to_string());
            bed.request(call).await.ok();
        }
        other.held(&keys) == keys.len()
    })
    .await;
}

#[tokio::test]
async fn an_upstream_that_wants_nothing_for_a_while_is_left_alone_until_then() {
    let (bed, one, other) = two(62).await;
    one.set(Manner::Rests("2"));
    other.set(Manner::Slow(150));
    let before = heads(&one);
    wait_for("it refused", READY, async || {
        burst(&bed, 6).await;
        heads(&one) > before
    })
    .await;
    let refused_at = Instant::now();
    tokio::time::sleep(RESTS_AFTER).await;
    let counted = heads(&one);
    // The last one ends before the rest does.
    while refused_at.elapsed() < REST - Duration::from_millis(500) {
        assert!(burst(&bed, 6).await > 0);
    }
    assert!(heads(&one) - counted <= WHILE_RESTING_MAX);
    one.set(Manner::Well);
    let runs = one.runs();
    wait_for("it is used again", READY, async || {
        burst(&bed, 6).await;
        one.runs() > runs
    })
    .await;
}

#[tokio::test]
async fn a_request_for_a_key_whose_owner_wants_nothing_is_refused_at_once_with_the_time_left() {
    let bed = Bed::start(63).await;
    bed.configure_first(&document(1)).await;
    let one = Upstream::start(&bed, 1, "maps").await;
    one.join(&bed).await;
    let call = || get("/maps/x", "k", 1_000).header("carobreel-shard-key", "7");
    wait_for("the key is served", READY, async || {
        bed.request(call()).await.is_ok_and(|a| a.status == 200)
    })
    .await;
    one.set(Manner::Rests("2"));
    bed.request(call()).await.unwrap();
    let asked_at = Instant::now();
    let answer = bed.request(call()).await.unwrap();
    assert_eq!(answer.status, 503);
    let seconds: f64 = answer.header("retry-after").parse().unwrap();
    assert!((1.0..=2.0).contains(&seconds), "{seconds}");
    assert!(asked_at.elapsed() < Duration::from_millis(200));
}

#[tokio::test]
async fn words_that_are_no_time_ask_for_no_rest() {
    let (bed, one, other) = two(64).await;
    other.set(Manner::Slow(150));
    for word in ["-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "0", "NaN"] {
        one.set(Manner::Rests(word));
        let before = heads(&one);
        wait_for(word, READY, async || {
            burst(&bed, 6).await;
            heads(&one) >= before + 3
        })
        .await;
    }
}

/// A directory's word of one upstream.
fn update(known: &model::Upstream, version: u64) -> Update {
    Update {
        versions: Versions {
            upstreams: version,
            ..Versions::default()
        },
        upstreams: vec![known.clone()],
        ..Update::default()
    }
}

#[tokio::test]
async fn a_request_chosen_for_an_upstream_that_left_meanwhile_isn_t_sent() {
    let bed = Bed::start(65).await;
    let upstream = Upstream::start(&bed, 1, "files").await;
    let ready = model::Upstream {
        incarnation: Incarnation {
            id: upstream.id.clone(),
            born_ms: 1,
        },
        service: "files".to_string(),
        address: upstream.address,
        zone: "a".to_string(),
        slots: 3,
        phase: Phase::Ready,
    };
    let recorder = Recorder::new("e1", discard_logger());
    let peers = Peers::new(recorder, Arc::new(Metrics::new()), LinkPacers::default());
    let clock = Clock::start();
    let view = View::default().updated(update(&ready, 1), clock.now());
    let peer = peers.get(&ready, &view);
    let exchange = || Exchange {
        method: hyper::Method::GET,
        uri: "/read/x".parse().unwrap(),
        headers: Default::default(),
        body: Default::default(),
        id: None,
        repeat: Repeat::Idempotent,
        left_ms: 1_000,
        way_ms: 0,
    };
    let answer = exchange().run(&peer, &peers, &Headers, &clock).await;
    assert_matches!(answer, Attempt::Answer(_));
    // The choice was made; now the directory says that the upstream leaves.
    let draining = model::Upstream {
        phase: Phase::Draining,
        ..ready
    };
    peers.retain(&view.updated(update(&draining, 2), clock.now()));
    let answer = exchange().run(&peer, &peers, &Headers, &clock).await;
    assert_matches!(answer, Attempt::Withdrawn);
    assert_eq!(heads(&upstream), 1);
}
