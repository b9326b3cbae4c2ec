//! Paced connections: no more than the link's share passes, and all of it arrives.

use std::time::{Duration, Instant};

use carobreel::pace::{LinkPacers, PacedStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// In megabits a second; 80% of it is 800 KB a second.
const LINK_MBPS: f64 = 8.0;
const MESSAGE_BYTES: usize = 200_000;
/// 400 KB at 800 KB a second, less the burst of 30 ms.
const MIN_TIME: Duration = Duration::from_millis(450);

#[tokio::test]
async fn two_connections_share_the_bandwidth_of_a_link() {
    let pacers = LinkPacers::new(Some(LINK_MBPS));
    let began = Instant::now();
    let mut transfers = tokio::task::JoinSet::new();
    for fill in 0..2_u8 {
        let (mut peer, paced) = tokio::io::duplex(64 << 10);
        let mut paced = PacedStream::new(paced, pacers.clone());
        transfers.spawn(async move {
            let sent = vec![fill; MESSAGE_BYTES];
            let sending = async {
                peer.write_all(&sent).await.unwrap();
                peer.shutdown().await.unwrap();
            };
            let mut received = Vec::new();
            let (_, read) = tokio::join!(sending, paced.read_to_end(&mut received));
            read.unwrap();
            received == vec![fill; MESSAGE_BYTES]
        });
    }
    assert!(transfers
        .join_all()
        .await
        .into_iter()
        .all(|is_complete| is_complete));
    let took = began.elapsed();
    assert!(took >= MIN_TIME, "{took:?}");
}

#[tokio::test]
async fn writes_are_paced_and_complete() {
    let (mut peer, paced) = tokio::io::duplex(64 << 10);
    let mut paced = PacedStream::new(paced, LinkPacers::new(Some(LINK_MBPS)));
    let began = Instant::now();
    let writing = async {
        paced.write_all(&vec![7; 2 * MESSAGE_BYTES]).await.unwrap();
        paced.shutdown().await.unwrap();
    };
    let mut received = Vec::new();
    let (_, read) = tokio::join!(writing, peer.read_to_end(&mut received));
    read.unwrap();
    assert_eq!(received, vec![7; 2 * MESSAGE_BYTES]);
    assert!(began.elapsed() >= MIN_TIME);
}

/// In megabits a second: one turn of a long answer takes 80 ms.
const NARROW_LINK_MBPS: f64 = 1.0;
/// What a short answer may wait beside long ones: far less than such a turn.
const SHORT_MESSAGE_MAX_TIME: Duration = Duration::from_millis(10);

#[tokio::test]
async fn short_messages_are_not_delayed_by_long_ones() {
    let pacers = LinkPacers::new(Some(NARROW_LINK_MBPS));
    let mut long_messages = tokio::task::JoinSet::new();
    for _ in 0..3 {
        let (mut peer, paced) = tokio::io::duplex(64 << 10);
        let mut paced = PacedStream::new(paced, pacers.clone());
        long_messages.spawn(async move { paced.write_all(&vec![1; MESSAGE_BYTES]).await });
        long_messages.spawn(async move {
            let mut received = Vec::new();
            peer.read_to_end(&mut received).await.map(|_| ())
        });
    }
    // The long ones have used up what passes at once.
    tokio::time::sleep(Duration::from_millis(100)).await;
    for _ in 0..5 {
        let (mut peer, paced) = tokio::io::duplex(64 << 10);
        let mut paced = PacedStream::new(paced, pacers.clone());
        let began = Instant::now();
        paced.write_all(&[2; 1_500]).await.unwrap();
        peer.read_exact(&mut [0; 1_500]).await.unwrap();
        let took = began.elapsed();
        assert!(took <= SHORT_MESSAGE_MAX_TIME, "{took:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(long_messages.try_join_next().is_none());
}

/// 400 KB at 800 KB a second, less the burst of 30 ms and a first turn of each of eight connections.
const MANY_MIN_TIME: Duration = Duration::from_millis(380);

#[tokio::test]
async fn connections_with_long_delays_stay_within_the_link_rate() {
    let pacers = LinkPacers::new(Some(LINK_MBPS));
    let began = Instant::now();
    let mut sent = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (mut peer, paced) = tokio::io::duplex(64 << 10);
        let mut paced = PacedStream::new(paced, pacers.clone());
        sent.spawn(async move {
            let writing = async {
                paced.write_all(&vec![3; 50_000]).await.unwrap();
                paced.shutdown().await.unwrap();
            };
            let mut received = Vec::new();
            let (_, read) = tokio::join!(writing, peer.read_to_end(&mut received));
            read.unwrap();
        });
    }
    sent.join_all().await;
    let took = began.elapsed();
    assert!(took >= MANY_MIN_TIME, "{took:?}");
}
