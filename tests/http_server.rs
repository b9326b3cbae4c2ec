//! Tests the limits of the HTTP server for upstreams and operators.

use std::time::Duration;

use axum::routing::get;
use axum::Router;
use carobreel::daemon::discard_logger;
use carobreel::event::Recorder;
use carobreel::http::{HttpClient, HttpRequest};
use carobreel::http_server::serve_at_most;
use tokio::net::TcpListener;

const CONNECTIONS_MAX: usize = 8;

/// Guards against upstreams that can't send heartbeats because others keep idle connections to each host.
#[tokio::test]
async fn idle_connections_are_closed_for_new_ones_and_used_ones_are_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = Router::new().route("/", get(|| async { "ok" }));
    let recorder = Recorder::new("server", discard_logger());
    tokio::spawn(serve_at_most(CONNECTIONS_MAX, listener, router, recorder));
    let send = async |client: &mut HttpClient| {
        let request = HttpRequest::get("/").timeout(Duration::from_secs(6));
        client.send(request).await.map(|response| response.text())
    };
    let mut clients: Vec<HttpClient> = (0..CONNECTIONS_MAX)
        .map(|_| HttpClient::new(address))
        .collect();
    for client in &mut clients {
        assert_eq!(send(client).await.unwrap(), "ok");
    }
    let mut used = clients.pop().unwrap();
    // Longer than a connection may be idle while the server is near its limit.
    for _ in 0..6 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(send(&mut used).await.unwrap(), "ok");
    }
    let mut late = HttpClient::new(address);
    assert_eq!(send(&mut late).await.unwrap(), "ok");
    assert!(used.is_open());
    assert!(clients.iter().all(|client| !client.is_open()));
}
