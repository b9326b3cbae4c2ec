//! Messages between replicas: what keeps a leader known isn't held up by entries under way.

mod link;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use carobreel::daemon::silent;
use carobreel::event::Recorder;
use carobreel::keys;
use carobreel::raft::{Body, Entry, Message, Payload, ReplicaId};
use carobreel::transport::{Endpoint, Incoming};
use carobreel::wire::{RaftBatch, Request};
use tokio::sync::mpsc;

/// Between regions, with the loss of a busy link.
const REGIONS: link::Quality = link::Quality {
    one_way: Duration::from_millis(30),
    loss: 0.025,
    kb_per_s: 7_500.0,
    seed: 7,
};
/// A configuration of some thousand routes with what changes beside it.
const LARGE_BYTES: usize = 440_000;
/// A change is to be in force everywhere within 2.5 s; two thirds of it may go to the last replica.
const ARRIVED_WITHIN: Duration = Duration::from_millis(1_650);

fn endpoint(name: &str) -> Endpoint {
    let tls = keys::unverified().unwrap();
    let recorder = Recorder::new(name, silent());
    let any = "127.0.0.1:0".parse().unwrap();
    Endpoint::bind(any, BTreeMap::new(), &tls, recorder).unwrap()
}

fn batch(bytes: usize) -> Request {
    let entry = Entry {
        term: 1,
        index: 1,
        payload: Payload::Command(vec![7; bytes]),
    };
    let message = Message {
        from: ReplicaId(1),
        to: ReplicaId(2),
        term: 1,
        body: Body::Append {
            prev_index: 0,
            prev_term: 0,
            entries: vec![entry],
            commit: 0,
            round: 1,
        },
    };
    Request::Raft(RaftBatch {
        cell: "directory".to_string(),
        host: "a".to_string(),
        messages: vec![message],
    })
}

/// Passes on each request's size as it arrives.
fn serve(endpoint: &Endpoint) -> mpsc::UnboundedReceiver<()> {
    let (tx, rx) = mpsc::unbounded_channel();
    let endpoint = endpoint.clone();
    tokio::spawn(async move {
        let serve = move |_: Incoming| {
            let _ = tx.send(());
            async {}
        };
        endpoint.accept(serve).await;
    });
    rx
}

#[tokio::test]
async fn a_large_entry_crosses_regions_within_the_time_for_a_change() {
    let (server, client) = (endpoint("s"), endpoint("c"));
    let mut arrived = serve(&server);
    let link = link::bind(server.local_address().unwrap(), REGIONS).await;
    let mut channel = client.channel(&link.to_string()).await.unwrap();
    channel.send(batch(100)).await.unwrap();
    arrived.recv().await.unwrap();
    for round in 0..3 {
        let began = Instant::now();
        channel.send(batch(LARGE_BYTES)).await.unwrap();
        arrived.recv().await.unwrap();
        let took = began.elapsed();
        assert!(took <= ARRIVED_WITHIN, "round {round}: {took:?}");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
