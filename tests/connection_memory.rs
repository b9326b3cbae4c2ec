//! Guards against connections that take so much memory that a directory host with hundreds of entry hosts
//! exceeds its own. The test is alone in its process, whose memory it measures.

use std::collections::BTreeMap;
use std::time::Duration;

use carobreel::credentials;
use carobreel::daemon::discard_logger;
use carobreel::directory::daemon::STREAMS_PER_PEER_MAX;
use carobreel::event::Recorder;
use carobreel::slope::resident_bytes;
use carobreel::transport::{Endpoint, IncomingRequest};
use carobreel::wire::{Request, Response};

const PEERS: usize = 100;
/// The maximum memory of a connection, both of its ends together: 400 of them take a quarter of the 256 MB of
/// a directory host.
const BYTES_PER_CONNECTION_MAX: f64 = 160_000.0;

#[tokio::test]
async fn hundreds_of_connections_fit_in_the_memory_of_a_directory_host() {
    let tls = credentials::unverified_tls().unwrap();
    let recorder = Recorder::new("server", discard_logger());
    let any = "127.0.0.1:0".parse().unwrap();
    let server =
        Endpoint::bind_with_streams(any, BTreeMap::new(), &tls, recorder, STREAMS_PER_PEER_MAX)
            .unwrap();
    let host = server.local_address().unwrap().to_string();
    let answering = server.clone();
    let serve = move |incoming: IncomingRequest| {
        let answering = answering.clone();
        async move {
            if let Some(mut tx) = incoming.tx {
                answering.send_response(&mut tx, Response::Ack).await.ok();
            }
        }
    };
    tokio::spawn(async move { server.accept(serve).await });
    let client = || {
        let recorder = Recorder::new("client", discard_logger());
        Endpoint::bind(any, BTreeMap::new(), &tls, recorder).unwrap()
    };
    let call = async |client: &Endpoint| {
        let timeout = Duration::from_secs(10);
        client.call(&host, Request::Ping, timeout).await.unwrap();
    };
    // The buffers of the server's socket are allocated with the first connection.
    let first = client();
    call(&first).await;
    let clients: Vec<Endpoint> = (0..PEERS).map(|_| client()).collect();
    let before = resident_bytes();
    for client in &clients {
        call(client).await;
    }
    let per_connection = (resident_bytes() - before) / PEERS as f64;
    println!("{per_connection:.0} bytes per connection");
    assert!(
        per_connection < BYTES_PER_CONNECTION_MAX,
        "{per_connection:.0} bytes per connection"
    );
}
