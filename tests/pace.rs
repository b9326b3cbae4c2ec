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
