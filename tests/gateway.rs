//! What callers get through a gateway, against what upstreams ran, when upstreams misbehave.

mod bed;

use std::time::{Duration, Instant};

use bed::upstream::{Manner, Upstream};
use bed::{document, get, post, two, wait_for, Bed, READY};
use carobreel::http::HttpRequest;
use serde_json::json;

/// The platform's bound for work to a leaving upstream.
const DRAIN: Duration = Duration::from_millis(2_500);
/// The platform's bound for a configuration to come into force.
const IN_FORCE: Duration = Duration::from_millis(2_500);
/// What an answer may take past its route's limit.
const PAST_LIMIT: Duration = Duration::from_millis(500);
/// The bound for a key to be served again after a loss.
const SERVED_AGAIN: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_request_is_passed_on_unchanged_and_its_answer_too() {
    let (bed, one, other) = two(1).await;
    let call = post("/file/a%20b?c=d", "77", 900).header("x-own", "kept");
    let answer = bed.request(call).await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body.len(), 400);
    let server = answer.header("carobreel-server-stamp")[..2].to_string();
    let upstream = if server == one.id { &one } else { &other };
    let seen = upstream.seen.lock().unwrap();
    let head = seen.heads.last().unwrap();
    assert!(head.starts_with("POST /file/a%20b?c=d HTTP/1.1"), "{head}");
    for part in [
        "host: one.example",
        "x-own: kept",
        "carobreel-request-id: 77",
    ] {
        assert!(head.to_ascii_lowercase().contains(part), "{part} in {head}");
    }
    assert!(head.contains(&format!("carobreel-expect-instance: {server}")));
    let lines = head
        .lines()
        .find_map(|l| l.strip_prefix("carobreel-deadline-ms: "));
    let left: u64 = lines.unwrap().parse().unwrap();
    assert!((1..900).contains(&left), "{left}");
}

#[tokio::test]
async fn a_gateway_without_a_configuration_refuses_and_isn_t_ready() {
    let bed = Bed::start(2).await;
    assert_eq!(bed.readiness().await, 503);
    let answer = bed.request(get("/read/x", "1", 500)).await.unwrap();
    assert_eq!(answer.status, 503);
    assert!(!answer.header("retry-after").is_empty());
    bed.configure_first(&document(1)).await;
    let answer = bed.request(get("/none/x", "2", 500)).await.unwrap();
    assert_eq!(answer.status, 404);
}

#[tokio::test]
async fn broken_answers_are_never_passed_off_as_whole() {
    let (bed, one, other) = two(3).await;
    let broken = [
        Manner::Truncates,
        Manner::ResetsUnframed,
        Manner::Confuses,
        Manner::Unstamped,
    ];
    for manner in broken {
        one.set(manner);
        other.set(manner);
        for n in 0..4 {
            let id = format!("{manner:?}{n}");
            let answer = bed.request(get("/read/x", &id, 800)).await.unwrap();
            assert!(
                answer.status.is_server_error(),
                "{manner:?}: {}",
                answer.status
            );
            let answer = bed.request(post("/file/x", &id, 800)).await.unwrap();
            assert!(
                answer.status.is_server_error(),
                "{manner:?}: {}",
                answer.status
            );
            assert!(answer.header("carobreel-server-stamp").is_empty());
        }
    }
}

#[tokio::test]
async fn what_may_be_repeated_is_repeated_elsewhere_and_nothing_else() {
    let (bed, one, other) = two(4).await;
    one.set(Manner::Truncates);
    let (mut whole, mut runs) = (0, 0);
    for n in 0..12 {
        let answer = bed
            .request(get("/read/x", &n.to_string(), 900))
            .await
            .unwrap();
        whole += usize::from(answer.status == 200 && answer.body.len() == 400);
        let id = format!("once{n}");
        let _ = bed.request(post("/file/x", &id, 900)).await.unwrap();
        for upstream in [&one, &other] {
            let seen = upstream.seen.lock().unwrap();
            runs += seen.runs.iter().filter(|(run, _)| *run == id).count();
        }
    }
    assert_eq!(whole, 12);
    // Each of the twelve was sent to one upstream and no more.
    assert_eq!(runs, 12);
}

#[tokio::test]
async fn a_refusal_with_proof_goes_elsewhere_and_one_without_isn_t_passed_on() {
    let (bed, one, other) = two(5).await;
    one.set(Manner::Sheds);
    let before = other.runs();
    for n in 0..6 {
        let answer = bed
            .request(post("/file/x", &n.to_string(), 900))
            .await
            .unwrap();
        assert_eq!(answer.status, 200);
    }
    assert_eq!(other.runs() - before, 6);
    one.set(Manner::FailsLikeShedding);
    other.set(Manner::FailsLikeShedding);
    for n in 0..4 {
        let answer = bed
            .request(post("/file/x", &format!("f{n}"), 900))
            .await
            .unwrap();
        assert_eq!(answer.status, 502, "it may have run");
    }
    one.set(Manner::Sheds);
    other.set(Manner::Sheds);
    let answer = bed.request(post("/file/x", "s", 900)).await.unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").parse::<f64>().unwrap() > 0.0);
}

#[tokio::test]
async fn extra_answers_reach_nobody_and_unframed_ones_are_whole() {
    let (bed, one, other) = two(6).await;
    for manner in [Manner::AddsAnother, Manner::Unframed] {
        one.set(manner);
        other.set(manner);
        let mut whole = 0;
        for n in 0..10 {
            let answer = bed
                .request(get("/read/x", &format!("{n}"), 900))
                .await
                .unwrap();
            if answer.status == 200 {
                whole += 1;
                assert_eq!(answer.body.len(), 400, "{manner:?}");
                assert_eq!(answer.header("carobreel-request-id"), n.to_string());
            }
        }
        assert!(whole >= 8, "{manner:?}: {whole} of 10");
    }
}

#[tokio::test]
async fn a_route_s_limit_ends_a_request_in_time() {
    let (bed, one, other) = two(7).await;
    one.set(Manner::Slow(5_000));
    other.set(Manner::Slow(5_000));
    let began = Instant::now();
    let answer = bed.request(get("/read/x", "1", 10_000)).await.unwrap();
    assert_eq!(answer.status, 504);
    let limit = Duration::from_millis(1_500);
    assert!(
        began.elapsed() < limit + PAST_LIMIT,
        "{:?}",
        began.elapsed()
    );
}

#[tokio::test]
async fn work_ends_when_its_caller_leaves() {
    let (bed, one, other) = two(8).await;
    one.set(Manner::Slow(5_000));
    other.set(Manner::Slow(5_000));
    let call = get("/read/x", "1", 1_400).timeout(Duration::from_millis(200));
    assert!(bed.request(call).await.is_err());
    let left_at = Instant::now();
    wait_for("the upstream is told", PAST_LIMIT, async || {
        let abandoned = |u: &Upstream| !u.seen.lock().unwrap().abandoned.is_empty();
        abandoned(&one) || abandoned(&other)
    })
    .await;
    assert!(left_at.elapsed() < PAST_LIMIT);
}

#[tokio::test]
async fn a_leaving_upstream_gets_no_work_after_its_notice_is_acknowledged() {
    let (bed, one, other) = two(9).await;
    wait_for("the notice is acknowledged", READY, async || {
        one.announce(&bed, "draining").await == 200
    })
    .await;
    let acked_at = Instant::now();
    while acked_at.elapsed() < DRAIN + Duration::from_millis(800) {
        let _ = bed.request(get("/read/x", "1", 900)).await;
    }
    // A late heartbeat doesn't bring it back.
    assert_eq!(one.announce(&bed, "ready").await, 200);
    for _ in 0..20 {
        let _ = bed.request(get("/read/x", "2", 900)).await;
    }
    let seen = one.seen.lock().unwrap();
    let late = seen.runs.iter().filter(|(_, at)| *at > acked_at + DRAIN);
    assert_eq!(late.count(), 0);
    drop(seen);
    assert!(other.runs() > 20);
}

#[tokio::test]
async fn malformed_heartbeats_change_nothing() {
    let (bed, _one, _other) = two(10).await;
    let bodies = [
        "",
        "{",
        "[]",
        r#"{"state":"ready"}"#,
        r#"{"service":7,"address":[]}"#,
    ];
    for body in bodies {
        let call = HttpRequest::post("/v1/instances/u1/heartbeat", body);
        let answer = bed.control(call).await.unwrap();
        assert_eq!(answer.status, 400, "{body}");
        assert!(answer.text().contains("error"), "{}", answer.text());
    }
    let answer = bed.request(get("/read/x", "1", 900)).await.unwrap();
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn the_highest_version_is_in_force_and_read_back_as_sent() {
    let (bed, _one, _other) = two(11).await;
    let mut higher = document(9);
    higher["routes"].as_array_mut().unwrap().remove(1);
    assert_eq!(bed.configure(&higher).await, 200);
    wait_for("the route is gone", IN_FORCE, async || {
        let answer = bed.request(post("/file/x", "1", 900)).await;
        answer.is_ok_and(|a| a.status == 404)
    })
    .await;
    // An older one and other content under the same number are acknowledged and change nothing.
    assert_eq!(bed.configure(&document(5)).await, 200);
    assert_eq!(bed.configure(&document(9)).await, 200);
    let mut invalid = document(12);
    invalid["routes"][0]["service"] = json!("none");
    assert_eq!(bed.configure(&invalid).await, 400);
    let read = bed
        .control(HttpRequest::get("/v1/config/read"))
        .await
        .unwrap();
    assert_eq!(read.text(), higher.to_string());
    let answer = bed.request(post("/file/x", "2", 900)).await.unwrap();
    assert_eq!(answer.status, 404);
}

#[tokio::test]
async fn every_key_has_an_owner_again_after_a_loss() {
    let bed = Bed::start(12).await;
    bed.configure_first(&document(1)).await;
    let mut upstreams = Vec::new();
    for n in 1..=3 {
        let upstream = Upstream::start(&bed, n, "maps").await;
        upstream.join(&bed).await;
        upstreams.push(upstream);
    }
    let keys: Vec<u16> = (0..64).map(|n| n * 1_000).collect();
    let held = |list: &[Upstream]| list.iter().map(|u| u.held(&keys)).sum::<usize>();
    wait_for("all keys are held", READY, async || {
        held(&upstreams) == keys.len()
    })
    .await;
    for key in &keys {
        let call = get("/maps/x", &key.to_string(), 900);
        let answer = bed.request(call.header("carobreel-shard-key", &key.to_string()));
        assert_eq!(answer.await.unwrap().status, 200, "key {key}");
    }
    let lost = upstreams.remove(0);
    lost.crash();
    wait_for("all keys are held again", SERVED_AGAIN, async || {
        held(&upstreams) == keys.len()
    })
    .await;
}

#[tokio::test]
async fn a_gateway_goes_on_without_the_directory() {
    let (mut bed, _one, _other) = two(13).await;
    bed.stop_directory();
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let answer = bed.request(get("/read/x", "1", 900)).await.unwrap();
        assert_eq!(answer.status, 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(bed.readiness().await, 200);
}

#[tokio::test]
async fn a_stopping_gateway_finishes_what_is_in_flight() {
    let (mut bed, one, other) = two(14).await;
    one.set(Manner::Slow(700));
    other.set(Manner::Slow(700));
    let gateway = bed.gateway.take().unwrap();
    let stopping = tokio::spawn(gateway.stop(Duration::from_secs(6)));
    wait_for(
        "it isn't ready any more",
        Duration::from_secs(1),
        async || bed.readiness().await == 503,
    )
    .await;
    let mut served = 0;
    for n in 0..3 {
        let answer = bed
            .request(get("/read/x", &n.to_string(), 1_400))
            .await
            .unwrap();
        served += usize::from(answer.status == 200);
    }
    assert_eq!(served, 3);
    tokio::time::timeout(Duration::from_secs(6), stopping)
        .await
        .expect("it ends within its grace")
        .unwrap();
}

#[tokio::test]
async fn chunked_bodies_and_kept_connections_are_served() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (bed, one, other) = two(15).await;
    let mut stream = tokio::net::TcpStream::connect(bed.callers()).await.unwrap();
    for n in 0..3 {
        let head = format!(
            "POST /file/x HTTP/1.1\r\nhost: one.example\r\ncarobreel-request-id: c{n}\r\n\
             carobreel-deadline-ms: 1200\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        for part in ["4\r\nwhol\r\n", "4\r\ne on\r\n", "1\r\ne\r\n", "0\r\n\r\n"] {
            stream.write_all(part.as_bytes()).await.unwrap();
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut text = String::new();
        let mut buf = [0; 2_048];
        while !text.ends_with(&"x".repeat(400)) {
            let read = stream.read(&mut buf).await.unwrap();
            assert!(read > 0, "closed after {text}");
            text.push_str(&String::from_utf8_lossy(&buf[..read]));
        }
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    }
    let heads = |u: &Upstream| u.seen.lock().unwrap().heads.clone();
    let all = [heads(&one), heads(&other)].concat();
    let of_these: Vec<&String> = all.iter().filter(|h| h.contains("-id: c")).collect();
    assert_eq!(of_these.len(), 3);
    assert!(
        of_these.iter().all(|h| h.contains("content-length: 9")),
        "{of_these:?}"
    );
}

#[tokio::test]
async fn hundreds_of_routes_and_changes_come_into_force() {
    let (bed, _one, _other) = two(16).await;
    for version in 2..120 {
        let mut large = document(version);
        let routes = large["routes"].as_array_mut().unwrap();
        let model = routes[0].clone();
        for n in 0..300 {
            let mut route = model.clone();
            route["name"] = json!(format!("extra{n}"));
            route["pathPrefix"] = json!(format!("/extra{version}-{n}/"));
            routes.push(route);
        }
        assert_eq!(bed.configure(&large).await, 200);
    }
    wait_for("the last one is in force", IN_FORCE, async || {
        let last = bed.request(get("/extra119-299/x", "1", 900)).await;
        let former = bed.request(get("/extra118-0/x", "2", 900)).await;
        last.is_ok_and(|a| a.status == 200) && former.is_ok_and(|a| a.status == 404)
    })
    .await;
}

#[tokio::test]
async fn an_unknown_route_isn_t_denied_while_no_directory_confirms_the_configuration() {
    let (mut bed, _upstream) = Bed::serving(17).await;
    let unknown = async |bed: &Bed| {
        let answer = bed.request(get("/added/later", "u", 1_000)).await.unwrap();
        (
            answer.status.as_u16(),
            answer.header("retry-after").to_string(),
        )
    };
    assert_eq!(unknown(&bed).await.0, 404);
    bed.stop_directory();
    // By then a route may have been added and be due to be served.
    tokio::time::sleep(IN_FORCE).await;
    let (status, retry_after) = unknown(&bed).await;
    assert_eq!(status, 503);
    assert!(!retry_after.is_empty());
    let known = bed.request(get("/read/x", "k", 1_000)).await.unwrap();
    assert_eq!(known.status, 200);
}
