//! Bodies and heads of every length, through a gateway, when upstreams and callers don't keep to the
//! usual order.

mod bed;

use std::time::{Duration, Instant};

use bed::upstream::{Manner, Upstream};
use bed::{document, get, post, Bed};
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Longer than what sockets buffer, and than what is held back of an answer.
const LONG: usize = 3 << 20;
/// The configuration's time for a head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(700);

#[tokio::test]
async fn long_answers_are_passed_on_whole_and_broken_ones_never_look_so() {
    let (bed, upstream) = Bed::serving(51).await;
    upstream.set(Manner::Long(LONG));
    for n in 0..4 {
        let answer = bed
            .request(get("/read/x", &n.to_string(), 1_400))
            .await
            .unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.len()), (200, LONG));
    }
    upstream.set(Manner::LongTruncated(LONG));
    for n in 0..4 {
        let answer = bed.request(get("/read/x", &format!("t{n}"), 1_400)).await;
        let looks_whole = answer.is_ok_and(|a| a.status == 200);
        assert!(!looks_whole);
    }
}

#[tokio::test]
async fn an_early_answer_to_a_long_body_leaves_no_other_bytes_in_its_place() {
    let (bed, upstream) = Bed::serving(52).await;
    upstream.set(Manner::Early);
    for n in 0..6 {
        let mut call = post("/file/x", &format!("e{n}"), 1_400);
        call.body = Bytes::from(vec![b'b'; LONG]);
        let answer = bed.request(call).await.unwrap();
        assert_eq!(answer.status, 200);
        let answer = bed
            .request(get("/read/x", &format!("f{n}"), 1_400))
            .await
            .unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("carobreel-request-id"), format!("f{n}"));
    }
    // A body that was broken off isn't counted; what was counted is what was sent.
    let seen = upstream.seen.lock().unwrap();
    for (len, is_even) in &seen.bodies {
        assert!(
            [0, LONG].contains(len) && *is_even,
            "{len} bytes, even: {is_even}"
        );
    }
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_and_one_at_the_limit_isn_t() {
    let (bed, _upstream) = Bed::serving(53).await;
    for (len, status) in [(4 << 20, 200), ((4 << 20) + 1, 413)] {
        let mut call = post("/file/x", &format!("l{len}"), 1_400);
        call.body = Bytes::from(vec![b'b'; len]);
        let answer = bed.request(call).await.unwrap();
        assert_eq!(answer.status, status);
    }
}

#[tokio::test]
async fn heads_are_held_to_their_limits_and_idle_connections_aren_t() {
    let (bed, _upstream) = Bed::serving(54).await;
    let head = |id: &str, filler: usize| {
        format!(
            "GET /read/x HTTP/1.1\r\nhost: one.example\r\ncarobreel-request-id: {id}\r\n\
             carobreel-deadline-ms: 1200\r\nx-filler: {}\r\n\r\n",
            "f".repeat(filler)
        )
    };
    let mut stream = TcpStream::connect(bed.callers()).await.unwrap();
    stream.write_all(head("a", 9_000).as_bytes()).await.unwrap();
    assert!(read_some(&mut stream).await.starts_with("HTTP/1.1 200"));
    // Idle for longer than a head may take.
    tokio::time::sleep(HEAD_TIMEOUT * 2).await;
    stream.write_all(head("b", 10).as_bytes()).await.unwrap();
    assert!(read_some(&mut stream).await.starts_with("HTTP/1.1 200"));

    let mut stream = TcpStream::connect(bed.callers()).await.unwrap();
    stream
        .write_all(head("c", 30_000).as_bytes())
        .await
        .unwrap();
    assert!(read_some(&mut stream).await.starts_with("HTTP/1.1 431"));

    let mut stream = TcpStream::connect(bed.callers()).await.unwrap();
    let began = Instant::now();
    stream
        .write_all(&head("d", 10).as_bytes()[..40])
        .await
        .unwrap();
    let mut byte = [0];
    let ended = stream.read(&mut byte).await;
    assert!(!matches!(ended, Ok(1)), "an answer to half a head");
    let took = began.elapsed();
    assert!(took >= HEAD_TIMEOUT && took < HEAD_TIMEOUT * 3, "{took:?}");
}

async fn read_some(stream: &mut TcpStream) -> String {
    let mut buf = [0; 4_096];
    let read = stream.read(&mut buf).await.unwrap();
    String::from_utf8_lossy(&buf[..read]).into_owned()
}

/// In megabits a second; callers and upstreams may take 80% of it in each direction.
const LINK_MBPS: f64 = 8.0;
/// Three bodies of 100 KB at 800 KB a second, less the burst of 30 ms and a turn of each connection.
const UPLOADS_LEAST: Duration = Duration::from_millis(310);

#[tokio::test]
async fn uploads_leave_room_for_control_on_a_narrow_link() {
    let bed = Bed::start_on(71, Some(LINK_MBPS)).await;
    bed.configure_first(&document(1)).await;
    let upstream = Upstream::start(&bed, 1, "files").await;
    upstream.join(&bed).await;
    bed.wait_until_served().await;
    let began = Instant::now();
    let mut sent = JoinSet::new();
    for n in 0..3 {
        let mut call = post("/file/x", &format!("u{n}"), 9_000).header("host", "one.example");
        call.body = vec![7; 100_000].into();
        sent.spawn(carobreel::http::send(bed.callers(), call));
    }
    for answer in sent.join_all().await {
        assert_eq!(answer.unwrap().status, 200);
    }
    let took = began.elapsed();
    assert!(took >= UPLOADS_LEAST, "{took:?}");
    let seen = upstream.seen.lock().unwrap();
    let whole = seen
        .bodies
        .iter()
        .filter(|(len, even)| *len == 100_000 && *even);
    assert_eq!(whole.count(), 3);
}
