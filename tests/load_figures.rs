//! Tests the figure of upstreams on their present service time, and the memory of responses to slow readers.

mod testbed;

use std::time::{Duration, Instant};

use bytes::Bytes;
use carobreel::body_memory::BodyMemory;
use carobreel::clock::Mono;
use carobreel::event::Event;
use carobreel::gateway::balance::{admit, TimeLimits, UpstreamLoad};
use carobreel::gateway::body::{CompleteBody, ResponseBody};
use carobreel::gateway::protocol::Protocol;
use carobreel::gateway::write_timeout::UNREAD_MAX;
use carobreel::platform::headers::PlatformHeaders;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use testbed::upstream::Behavior;
use testbed::{document, get, start_with_two_upstreams, wait_for, Testbed};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

/// The time after which a figure of an upstream may have changed, in milliseconds.
const CHANGE_MS: u64 = 400;
/// More than socket buffers and the gateway hold of a response.
const LONG_BODY_BYTES: usize = 12 << 20;

#[test]
fn a_figure_scales_the_expected_time_only_while_it_is_fresh() {
    let mut usual = UpstreamLoad::new(6, 500.0);
    let mut slow = usual.clone();
    let at = Mono(10_000);
    assert!(usual.record_service_time(100, at) && slow.record_service_time(300, at));
    let ratio = |ms: u64| slow.expected_ms(at.plus(ms)) / usual.expected_ms(at.plus(ms));
    assert!((2.0..=3.0).contains(&ratio(0)), "{}", ratio(0));
    assert!(
        (1.2..=2.0).contains(&ratio(CHANGE_MS / 2)),
        "{}",
        ratio(CHANGE_MS / 2)
    );
    assert!(ratio(CHANGE_MS) < 1.3, "{}", ratio(CHANGE_MS));
    // An old figure is worse than none.
    assert_eq!(ratio(CHANGE_MS + 100), 1.0);
    assert_eq!(slow.service_time_percent(at.plus(CHANGE_MS + 100)), None);
}

#[test]
fn a_figure_counts_relative_to_those_of_the_measured_requests() {
    // An upstream that always reports 300 is measured as slow already.
    let mut load = UpstreamLoad::new(6, 500.0);
    let mut mean = Default::default();
    for n in 0..100 {
        let now = Mono(10_000 + 50 * n);
        load.record_service_time(300, now);
        load.record_success(1_500.0, 1.0, &mut mean, now);
    }
    let now = Mono(10_000 + 50 * 99);
    let expected_ms = load.expected_ms(now);
    assert!((1_400.0..=1_700.0).contains(&expected_ms), "{expected_ms}");
}

#[test]
fn a_request_is_refused_by_a_fresh_figure_and_admitted_by_an_old_one() {
    let mut load = UpstreamLoad::new(6, 500.0);
    load.record_report(11, 6, Mono(10_000));
    let limits = TimeLimits {
        objective_ms: 1_200.0,
        objective_remaining_ms: 1_200.0,
        deadline_remaining_ms: 3_000.0,
    };
    assert!(admit(&load, 2.0, limits, Mono(10_000)).is_ok());
    load.record_service_time(300, Mono(10_000));
    assert!(admit(&load, 2.0, limits, Mono(10_000)).is_err());
    assert!(admit(&load, 2.0, limits, Mono(10_600)).is_ok());
}

#[test]
fn absurd_figures_leave_the_rest_of_the_load_report() {
    let name = HeaderName::from_static("carobreel-server-load");
    let read = |text: &str| {
        let value = HeaderValue::from_str(text).unwrap();
        let headers = HeaderMap::from_iter([(name.clone(), value)]);
        PlatformHeaders.read_response(&headers).load.unwrap()
    };
    for text in [
        "0",
        "1001",
        "4294967295",
        "99999999999999",
        "fast",
        "-5",
        "1e2",
        "150.5",
        "",
        "NaN",
    ] {
        let load = read(&format!("4,2,6,{text}"));
        assert_eq!(
            (load.running, load.waiting, load.slots),
            (4, 2, 6),
            "{text}"
        );
        let mut upstream = UpstreamLoad::new(6, 500.0);
        let before_ms = upstream.expected_ms(Mono(10_000));
        if let Some(percent) = load.slowness_percent {
            assert!(
                !upstream.record_service_time(percent, Mono(10_000)),
                "{text}"
            );
        }
        assert_eq!(upstream.expected_ms(Mono(10_000)), before_ms, "{text}");
    }
    assert_eq!(read("4,2,6").slowness_percent, None);
    assert_eq!(read("4, 2, 6, 300").slowness_percent, Some(300));
}

#[tokio::test]
async fn requests_avoid_an_upstream_while_it_says_that_it_is_slow() {
    let (testbed, one, other) = start_with_two_upstreams(1).await;
    let send = async |count: u32| {
        for n in 0..count {
            let answer = testbed.request(get("/read/x", &n.to_string(), 1_000)).await;
            assert_eq!(answer.unwrap().status, 200);
        }
    };
    // Until the gateway has measured both with the same processing time.
    one.set_behavior(Behavior::ReportsLoad("1,0,3,100"));
    other.set_behavior(Behavior::ReportsLoad("1,0,3,100"));
    send(40).await;
    one.set_behavior(Behavior::ReportsLoad("1,0,3,300"));
    let before = (one.run_count(), other.run_count());
    send(60).await;
    let (slow, usual) = (one.run_count() - before.0, other.run_count() - before.1);
    // It is tried again each time its figure is no longer fresh.
    assert!((1..=14).contains(&slow), "{slow} and {usual}");
    // A figure out of range is logged once.
    other.set_behavior(Behavior::ReportsLoad("1,0,3,0"));
    for n in 0..20 {
        let _ = testbed
            .request(get("/read/x", &format!("z{n}"), 1_000))
            .await;
    }
    let events = testbed.events();
    let ignored = events.iter().filter(|r| {
        matches!(&r.event, Event::LoadFigureIgnored { upstream, percent: 0 } if *upstream == other.id)
    });
    assert_eq!(ignored.count(), 1);
}

/// A complete body was passed on as a whole, which returned its memory while the HTTP library still held it for a
/// caller that didn't read.
#[tokio::test]
async fn an_unread_body_takes_memory_until_its_last_part_is_passed_on() {
    const BODY_BYTES: usize = 900_000;
    let memory = BodyMemory::with_bytes(1 << 20);
    let mut share = memory.share();
    assert!(share.try_grow(BODY_BYTES));
    let bytes = Bytes::from(vec![b'y'; BODY_BYTES]);
    let remaining = Duration::from_secs(1);
    let mut body = ResponseBody::Complete(CompleteBody::from_upstream(bytes, share, remaining));
    assert_eq!(body.size_hint().exact(), Some(BODY_BYTES as u64));
    let mut passed_on = 0;
    while passed_on < BODY_BYTES {
        assert!(
            !memory.share().try_grow(BODY_BYTES),
            "after {passed_on} bytes"
        );
        let part = body.frame().await.unwrap().unwrap().into_data().unwrap();
        assert!(part.len() <= 16 << 10, "{}", part.len());
        passed_on += part.len();
    }
    assert!(body.is_end_stream() && body.frame().await.is_none());
    assert!(memory.share().try_grow(BODY_BYTES));
}

/// A caller that stops reading held a connection to an upstream and a buffered response for as long as it stayed.
#[tokio::test]
async fn a_caller_that_leaves_its_response_unread_is_disconnected() {
    let (testbed, upstream) = Testbed::start_with_upstream(2).await;
    let mut long = document(2);
    for route in long["routes"].as_array_mut().unwrap() {
        route["timeout"] = "60s".into();
    }
    testbed.configure_until_ready(&long).await;
    upstream.set_behavior(Behavior::LongBody(LONG_BODY_BYTES));
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    let mut stream = socket.connect(testbed.caller_address()).await.unwrap();
    let head = "GET /read/x HTTP/1.1\r\nhost: one.example\r\ncarobreel-request-id: u\r\n\
                carobreel-deadline-ms: 50000\r\n\r\n";
    let sent_at = Instant::now();
    stream.write_all(head.as_bytes()).await.unwrap();
    let text = || testbed.gateway.as_ref().unwrap().metrics_text();
    let patience = UNREAD_MAX + Duration::from_secs(5);
    wait_for("the connection is ended", patience, async || {
        text().contains("responses_unread_total 1")
    })
    .await;
    assert!(sent_at.elapsed() >= UNREAD_MAX, "{:?}", sent_at.elapsed());
    let mut received = Vec::new();
    // The connection may end with a reset.
    let _ = stream.read_to_end(&mut received).await;
    assert!(received.len() < LONG_BODY_BYTES, "{}", received.len());
    // A caller that reads gets the whole body, however slowly the first parts were read.
    let answer = testbed.request(get("/read/x", "v", 50_000)).await.unwrap();
    assert_eq!(answer.body.len(), LONG_BODY_BYTES);
}
