//! Paced connections: no more than the link's share passes, and all of it arrives.

use std::time::{Duration, Instant};

use carobreel::pace::{LinkPacers, Paced};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// In megabits a second; 80% of it is 800 KB a second.
const LINK_MBPS: f64 = 8.0;
const BYTES: usize = 200_000;
/// 400 KB at 800 KB a second, less the burst of 30 ms.
const LEAST: Duration = Duration::from_millis(450);

#[tokio::test]
async fn two_connections_share_what_a_link_admits() {
    let link = LinkPacers::new(Some(LINK_MBPS));
    let began = Instant::now();
    let mut transfers = tokio::task::JoinSet::new();
    for fill in 0..2_u8 {
        let (mut near, far) = tokio::io::duplex(64 << 10);
        let mut far = Paced::new(far, link.clone());
        transfers.spawn(async move {
            let sent = vec![fill; BYTES];
            let sending = async {
                near.write_all(&sent).await.unwrap();
                near.shutdown().await.unwrap();
            };
            let mut got = Vec::new();
            let (_, read) = tokio::join!(sending, far.read_to_end(&mut got));
            read.unwrap();
            got == vec![fill; BYTES]
        });
    }
    assert!(transfers.join_all().await.into_iter().all(|whole| whole));
    let took = began.elapsed();
    assert!(took >= LEAST, "{took:?}");
}

#[tokio::test]
async fn writes_are_paced_and_whole() {
    let (mut near, far) = tokio::io::duplex(64 << 10);
    let mut far = Paced::new(far, LinkPacers::new(Some(LINK_MBPS)));
    let began = Instant::now();
    let writing = async {
        far.write_all(&vec![7; 2 * BYTES]).await.unwrap();
        far.shutdown().await.unwrap();
    };
    let mut got = Vec::new();
    let (_, read) = tokio::join!(writing, near.read_to_end(&mut got));
    read.unwrap();
    assert_eq!(got, vec![7; 2 * BYTES]);
    assert!(began.elapsed() >= LEAST);
}

/// In megabits a second: one turn of a long answer takes 80 ms.
const NARROW_MBPS: f64 = 1.0;
/// What a short answer may wait beside long ones: far less than such a turn.
const SHORT_WITHIN: Duration = Duration::from_millis(10);

#[tokio::test]
async fn short_answers_don_t_stand_behind_long_ones() {
    let link = LinkPacers::new(Some(NARROW_MBPS));
    let mut long = tokio::task::JoinSet::new();
    for _ in 0..3 {
        let (mut near, far) = tokio::io::duplex(64 << 10);
        let mut far = Paced::new(far, link.clone());
        long.spawn(async move { far.write_all(&vec![1; BYTES]).await });
        long.spawn(async move {
            let mut got = Vec::new();
            near.read_to_end(&mut got).await.map(|_| ())
        });
    }
    // The long ones have used up what passes at once.
    tokio::time::sleep(Duration::from_millis(100)).await;
    for _ in 0..5 {
        let (mut near, far) = tokio::io::duplex(64 << 10);
        let mut far = Paced::new(far, link.clone());
        let began = Instant::now();
        far.write_all(&[2; 1_500]).await.unwrap();
        near.read_exact(&mut [0; 1_500]).await.unwrap();
        let took = began.elapsed();
        assert!(took <= SHORT_WITHIN, "{took:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(long.try_join_next().is_none());
}

/// 400 KB at 800 KB a second, less the burst of 30 ms and a first turn of each of eight connections.
const MANY_LEAST: Duration = Duration::from_millis(380);

#[tokio::test]
async fn connections_that_wait_long_for_their_turn_keep_to_the_link_as_well() {
    let link = LinkPacers::new(Some(LINK_MBPS));
    let began = Instant::now();
    let mut sent = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let (mut near, far) = tokio::io::duplex(64 << 10);
        let mut far = Paced::new(far, link.clone());
        sent.spawn(async move {
            let writing = async {
                far.write_all(&vec![3; 50_000]).await.unwrap();
                far.shutdown().await.unwrap();
            };
            let mut got = Vec::new();
            let (_, read) = tokio::join!(writing, near.read_to_end(&mut got));
            read.unwrap();
        });
    }
    sent.join_all().await;
    let took = began.elapsed();
    assert!(took >= MANY_LEAST, "{took:?}");
}
