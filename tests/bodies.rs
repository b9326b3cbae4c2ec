//! Bodies and heads of various lengths through a gateway, with truncated, early and slow messages.

mod testbed;

use std::time::{Duration, Instant};

use bytes::Bytes;
use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{document, get, post, wait_for, Testbed, READY_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Larger than socket buffers and than the part of a response that the gateway buffers.
const LONG_BODY_BYTES: usize = 3 << 20;
/// The configured timeout for reading a head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(700);

#[tokio::test]
async fn long_responses_are_streamed_whole_and_truncated_ones_fail() {
    let (testbed, upstream) = Testbed::start_with_upstream(51).await;
    upstream.set_behavior(Behavior::LongBody(LONG_BODY_BYTES));
    for n in 0..4 {
        let answer = testbed
            .request(get("/read/x", &n.to_string(), 1_400))
            .await
            .unwrap();
        assert_eq!(
            (answer.status.as_u16(), answer.body.len()),
            (200, LONG_BODY_BYTES)
        );
    }
    upstream.set_behavior(Behavior::TruncatedLongBody(LONG_BODY_BYTES));
    for n in 0..4 {
        let answer = testbed
            .request(get("/read/x", &format!("t{n}"), 1_400))
            .await;
        let is_success = answer.is_ok_and(|a| a.status == 200);
        assert!(!is_success);
    }
}

#[tokio::test]
async fn an_early_response_to_a_long_body_does_not_corrupt_the_next_one() {
    let (testbed, upstream) = Testbed::start_with_upstream(52).await;
    upstream.set_behavior(Behavior::RespondsBeforeBody);
    for n in 0..6 {
        let mut call = post("/file/x", &format!("e{n}"), 1_400);
        call.body = Bytes::from(vec![b'b'; LONG_BODY_BYTES]);
        let answer = testbed.request(call).await.unwrap();
        assert_eq!(answer.status, 200);
        let answer = testbed
            .request(get("/read/x", &format!("f{n}"), 1_400))
            .await
            .unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("carobreel-request-id"), format!("f{n}"));
    }
    // The upstream doesn't record interrupted bodies; a recorded body must be one that was sent.
    let observed = upstream.observed.lock().unwrap();
    for (len, is_uniform) in &observed.bodies {
        assert!(
            [0, LONG_BODY_BYTES].contains(len) && *is_uniform,
            "{len} bytes, uniform: {is_uniform}"
        );
    }
}

#[tokio::test]
async fn only_bodies_over_the_limit_are_rejected() {
    let (testbed, _upstream) = Testbed::start_with_upstream(53).await;
    for (len, status) in [(4 << 20, 200), ((4 << 20) + 1, 413)] {
        let mut call = post("/file/x", &format!("l{len}"), 1_400);
        call.body = Bytes::from(vec![b'b'; len]);
        let answer = testbed.request(call).await.unwrap();
        assert_eq!(answer.status, status);
    }
}

#[tokio::test]
async fn slow_or_long_heads_are_rejected_and_idle_connections_are_kept() {
    let (testbed, _upstream) = Testbed::start_with_upstream(54).await;
    let head = |id: &str, filler: usize| {
        format!(
            "GET /read/x HTTP/1.1\r\nhost: one.example\r\ncarobreel-request-id: {id}\r\n\
             carobreel-deadline-ms: 1200\r\nx-filler: {}\r\n\r\n",
            "f".repeat(filler)
        )
    };
    let mut stream = TcpStream::connect(testbed.caller_address()).await.unwrap();
    stream.write_all(head("a", 9_000).as_bytes()).await.unwrap();
    assert!(read_once(&mut stream).await.starts_with("HTTP/1.1 200"));
    // Idle for longer than the timeout for a head.
    tokio::time::sleep(HEAD_TIMEOUT * 2).await;
    stream.write_all(head("b", 10).as_bytes()).await.unwrap();
    assert!(read_once(&mut stream).await.starts_with("HTTP/1.1 200"));

    let mut stream = TcpStream::connect(testbed.caller_address()).await.unwrap();
    stream
        .write_all(head("c", 30_000).as_bytes())
        .await
        .unwrap();
    assert!(read_once(&mut stream).await.starts_with("HTTP/1.1 431"));

    let mut stream = TcpStream::connect(testbed.caller_address()).await.unwrap();
    let began = Instant::now();
    stream
        .write_all(&head("d", 10).as_bytes()[..40])
        .await
        .unwrap();
    let mut byte = [0];
    let ended = stream.read(&mut byte).await;
    assert!(!matches!(ended, Ok(1)), "a response to an incomplete head");
    let took = began.elapsed();
    assert!(took >= HEAD_TIMEOUT && took < HEAD_TIMEOUT * 3, "{took:?}");
}

async fn read_once(stream: &mut TcpStream) -> String {
    let mut buf = [0; 4_096];
    let read = stream.read(&mut buf).await.unwrap();
    String::from_utf8_lossy(&buf[..read]).into_owned()
}

/// Bandwidth of the link in Mbit/s, of which callers and upstreams may use 80% in each direction.
const LINK_MBPS: f64 = 8.0;
/// Three bodies of 100 KB at 800 KB/s, less the burst of 30 ms and one chunk per connection.
const UPLOADS_MIN_TIME: Duration = Duration::from_millis(310);

#[tokio::test]
async fn uploads_are_paced_on_a_narrow_link() {
    let testbed = Testbed::start_with_link(71, Some(LINK_MBPS)).await;
    testbed.configure_until_ready(&document(1)).await;
    let upstream = FakeUpstream::start(&testbed, 1, "files").await;
    upstream.join(&testbed).await;
    testbed.wait_until_served().await;
    let began = Instant::now();
    let mut sent = JoinSet::new();
    for n in 0..3 {
        let mut call = post("/file/x", &format!("u{n}"), 9_000).header("host", "one.example");
        call.body = vec![7; 100_000].into();
        sent.spawn(carobreel::http::send(testbed.caller_address(), call));
    }
    for answer in sent.join_all().await {
        assert_eq!(answer.unwrap().status, 200);
    }
    let took = began.elapsed();
    assert!(took >= UPLOADS_MIN_TIME, "{took:?}");
    let observed = upstream.observed.lock().unwrap();
    let whole = observed
        .bodies
        .iter()
        .filter(|(len, is_uniform)| *len == 100_000 && *is_uniform);
    assert_eq!(whole.count(), 3);
}

/// The body that callers announce, and the part that they send, in bytes. The gateway may hold 80 MB of bodies.
const ANNOUNCED_BYTES: usize = 60_000_000;
const SENT_BYTES: usize = 30_000_000;
/// A refusal that reads no body takes a moment only.
const AT_ONCE: Duration = Duration::from_millis(400);

/// Callers' bodies were collected without a bound on all of them together: a few callers with bodies within the
/// configured size took a gateway over its memory limit.
#[tokio::test]
async fn bodies_beyond_the_memory_for_all_of_them_are_refused_at_once() {
    let (testbed, upstream) = Testbed::start_with_upstream(81).await;
    let mut document = document(2);
    document["limits"]["maxBodyBytes"] = (64 << 20).into();
    for route in document["routes"].as_array_mut().unwrap() {
        route["timeout"] = "20s".into();
    }
    testbed.configure_until_ready(&document).await;
    let begin = async |id: &str| {
        let mut stream = TcpStream::connect(testbed.caller_address()).await.unwrap();
        let head = format!(
            "POST /file/x HTTP/1.1\r\nhost: one.example\r\ncarobreel-request-id: {id}\r\n\
             carobreel-deadline-ms: 15000\r\ncontent-length: {ANNOUNCED_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream
    };
    let part = vec![b'b'; SENT_BYTES];
    let mut first = begin("a").await;
    let mut second = begin("b").await;
    for stream in [&mut first, &mut second] {
        stream.write_all(&part).await.unwrap();
    }
    let runs = upstream.run_count();
    let began = Instant::now();
    let refusal = read_once(&mut begin("c").await).await;
    let took = began.elapsed();
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("retry-after: 0.5"), "{refusal}");
    assert!(took < AT_ONCE, "{took:?}");
    assert_eq!(upstream.run_count(), runs, "a refused request didn't run");
    // A body without a stated length is refused where the memory ends.
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 20, "b".repeat(1 << 20));
    let mut chunked = TcpStream::connect(testbed.caller_address()).await.unwrap();
    let head = "POST /file/x HTTP/1.1\r\nhost: one.example\r\ncarobreel-request-id: d\r\n\
                carobreel-deadline-ms: 15000\r\ntransfer-encoding: chunked\r\n\r\n";
    chunked.write_all(head.as_bytes()).await.unwrap();
    let mut sent_chunks = 0;
    while sent_chunks < 60 && chunked.write_all(chunk.as_bytes()).await.is_ok() {
        sent_chunks += 1;
    }
    assert!(sent_chunks < 60, "the body was taken whole");
    // Once the others are gone, their memory is free.
    drop((first, second, chunked));
    wait_for("a body is taken again", READY_TIMEOUT, async || {
        let mut call = post("/file/x", "e", 9_000);
        call.body = Bytes::from(vec![b'b'; ANNOUNCED_BYTES]);
        testbed.request(call).await.is_ok_and(|a| a.status == 200)
    })
    .await;
}
