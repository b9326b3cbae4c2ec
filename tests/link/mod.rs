//! A link between two processes that delays datagrams and loses some of them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;

/// What a link does to datagrams.
#[derive(Clone, Copy)]
pub struct Conditions {
    pub one_way: Duration,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// Kilobytes a second in each direction.
    pub kb_per_s: f64,
    pub seed: u64,
}

/// Starts a link to `target` for one client and returns its address.
pub async fn bind(target: SocketAddr, conditions: Conditions) -> SocketAddr {
    let client_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let server_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    server_socket.connect(target).await.unwrap();
    let address = client_socket.local_addr().unwrap();
    let client: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    let (rx, tx, seen) = (client_socket.clone(), server_socket.clone(), client.clone());
    tokio::spawn(async move {
        let mut direction = Direction::new(conditions);
        let mut buf = vec![0; 2_048];
        while let Ok((len, from)) = rx.recv_from(&mut buf).await {
            *seen.lock().unwrap() = Some(from);
            let Some(delay) = direction.delay(len) else {
                continue;
            };
            let (tx, bytes) = (tx.clone(), buf[..len].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                tx.send(&bytes).await.ok();
            });
        }
    });
    tokio::spawn(async move {
        let mut direction = Direction::new(conditions);
        let mut buf = vec![0; 2_048];
        while let Ok(len) = server_socket.recv(&mut buf).await {
            let to = *client.lock().unwrap();
            let (Some(delay), Some(to)) = (direction.delay(len), to) else {
                continue;
            };
            let (tx, bytes) = (client_socket.clone(), buf[..len].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                tx.send_to(&bytes, to).await.ok();
            });
        }
    });
    address
}

/// One direction.
struct Direction {
    conditions: Conditions,
    rng: Pcg64Mcg,
    free_at: tokio::time::Instant,
}

impl Direction {
    fn new(conditions: Conditions) -> Direction {
        Direction {
            conditions,
            rng: Pcg64Mcg::seed_from_u64(conditions.seed),
            free_at: tokio::time::Instant::now(),
        }
    }

    /// Returns when a datagram of `len` bytes arrives, or `None` when it is lost.
    fn delay(&mut self, len: usize) -> Option<Duration> {
        let now = tokio::time::Instant::now();
        let sending = Duration::from_secs_f64(len as f64 / 1_000.0 / self.conditions.kb_per_s);
        self.free_at = self.free_at.max(now) + sending;
        let is_lost = self.rng.random_range(0.0..1.0) < self.conditions.loss;
        (!is_lost).then(|| self.free_at - now + self.conditions.one_way)
    }
}
