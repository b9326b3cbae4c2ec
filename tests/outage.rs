//! Retry-After while the directory has no leader, and how soon a started replica contacts the others.

mod testbed;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carobreel::clock::Clock;
use carobreel::credentials;
use carobreel::daemon::discard_logger;
use carobreel::directory::daemon::{Directory, Settings};
use carobreel::event::Recorder;
use carobreel::platform::grant_client::GrantClient;
use carobreel::transport::{Endpoint, IncomingRequest};
use carobreel::wire::Request;
use testbed::{get, wait_for, Testbed, READY_TIMEOUT};

/// Time for which a replica withholds its vote after its start; connections must be open by then.
const VOTE_WITHHELD_TIME: Duration = Duration::from_millis(600);

#[tokio::test]
async fn callers_without_a_configuration_are_told_when_a_leader_is_expected() {
    let testbed = Testbed::start_without_leader(70).await;
    wait_for(
        "callers get the time until the election in Retry-After",
        READY_TIMEOUT,
        async || {
            let answer = testbed.request(get("/read/x", "r", 3_000)).await;
            answer.is_ok_and(|a| {
                let seconds = a.header("retry-after").parse::<f64>();
                a.status == 503 && seconds.is_ok_and(|s| s > 0.7)
            })
        },
    )
    .await;
}

#[tokio::test]
async fn a_started_replica_contacts_the_others_before_it_stands_for_election() {
    let host = |n: u8| SocketAddr::from(([127, 0, 71, n], 21_700));
    let tls = credentials::unverified_tls().unwrap();
    let contacted = Arc::new(Mutex::new(BTreeSet::new()));
    for n in [2, 3] {
        let recorder = Recorder::new("peer", discard_logger());
        let endpoint = Endpoint::bind(host(n), BTreeMap::new(), &tls, recorder).unwrap();
        let contacted = contacted.clone();
        tokio::spawn(async move {
            let serve = move |incoming: IncomingRequest| {
                let contacted = contacted.clone();
                async move {
                    if let Request::Raft(_) = incoming.request {
                        contacted.lock().unwrap().insert(n);
                    }
                }
            };
            endpoint.accept(serve).await;
        });
    }
    let folder = tempfile::tempdir().unwrap();
    let settings = Settings {
        address: host(1),
        seeds: Arc::new(Mutex::new(vec![host(1), host(2), host(3)])),
        first_start: true,
        data_folder: folder.path().to_path_buf(),
        hold_ms: 2_500,
        voters: 3,
        regions_by_zone: Default::default(),
    };
    let clock = Clock::start();
    let recorder = Recorder::new("c1", discard_logger());
    let calls = GrantClient::new(clock);
    let directory = Directory::spawn(settings, tls, calls, clock, recorder).unwrap();
    wait_for(
        "both others got a message",
        VOTE_WITHHELD_TIME,
        async || contacted.lock().unwrap().len() == 2,
    )
    .await;
    directory.stop();
}
