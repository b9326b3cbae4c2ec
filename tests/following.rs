//! Tests which answers of the directory an entry host relies on.

mod testbed;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carobreel::credentials;
use carobreel::daemon::discard_logger;
use carobreel::directory::protocol::{ConfigUpdate, DirectoryRequest, Reply, Update};
use carobreel::directory::state::Versions;
use carobreel::event::Recorder;
use carobreel::transport::{Endpoint, IncomingRequest};
use carobreel::wire::{encode_frame, Envelope, Request, Response};
use quinn::SendStream;
use testbed::{get, start_gateway, wait_for, READY_TIMEOUT};

/// Longer than the time within which an acknowledged configuration must be in force.
const ANSWER_DELAY: Duration = Duration::from_millis(3_000);

/// The time within which an acknowledged configuration must be in force.
const IN_FORCE: Duration = Duration::from_millis(2_500);
/// The time that the transfer of a slow answer takes, and the number of its parts.
const TRANSFER: Duration = Duration::from_millis(2_400);
const TRANSFER_PARTS: usize = 6;

fn bind_leader(address: SocketAddr) -> (Endpoint, Recorder) {
    let tls = credentials::unverified_tls().unwrap();
    let recorder = Recorder::new("leader", discard_logger());
    let endpoint = Endpoint::bind(address, BTreeMap::new(), &tls, recorder.clone()).unwrap();
    (endpoint, recorder)
}

/// Returns an answer that brings a configuration without routes into force.
fn answer_with_config(version: u64) -> Response {
    let update = Update {
        versions: Versions {
            config: version,
            ..Versions::default()
        },
        config: Some(ConfigUpdate {
            version,
            base: None,
            routes: Vec::new(),
            removed: Vec::new(),
            services: BTreeMap::new(),
            limits: Default::default(),
        }),
        ..Update::default()
    };
    Response::Directory(Reply::Update(Box::new(update)))
}

/// Sends an answer in parts over `time`.
async fn write_slowly(tx: &mut SendStream, recorder: &Recorder, body: Response, time: Duration) {
    let envelope = Envelope {
        time: recorder.clock().tick(),
        body,
    };
    let frame = encode_frame(&envelope).unwrap();
    for part in frame.chunks(frame.len().div_ceil(TRANSFER_PARTS)) {
        tokio::time::sleep(time / TRANSFER_PARTS as u32).await;
        // Fails once the host has given the answer up.
        if tx.write_all(part).await.is_err() {
            return;
        }
    }
}

/// What a leader does with the second request for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondAnswer {
    Lost,
    Slow,
}

/// A request for changes: when it came, and the configuration that the host had.
type Asked = (tokio::time::Instant, u64);

/// Serves as a leader that brings configuration 1 into force with its first answer and 2 with the others.
fn serve_second_answer(address: SocketAddr, second: SecondAnswer) -> Arc<Mutex<Vec<Asked>>> {
    let (endpoint, recorder) = bind_leader(address);
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let record = asked.clone();
    tokio::spawn(async move {
        let answering = endpoint.clone();
        let serve = move |incoming: IncomingRequest| {
            let (endpoint, asked) = (answering.clone(), record.clone());
            let recorder = recorder.clone();
            async move {
                let request = incoming.request;
                let Request::Directory(DirectoryRequest::Watch { known_versions, .. }) = request
                else {
                    return;
                };
                let mut tx = incoming.tx.unwrap();
                let count = {
                    let mut asked = asked.lock().unwrap();
                    asked.push((tokio::time::Instant::now(), known_versions.config));
                    asked.len()
                };
                match (count, second) {
                    (1, _) => endpoint
                        .send_response(&mut tx, answer_with_config(1))
                        .await
                        .unwrap(),
                    // The stream stays open, and the connection is kept alive.
                    (2, SecondAnswer::Lost) => std::future::pending().await,
                    (2, SecondAnswer::Slow) => {
                        write_slowly(&mut tx, &recorder, answer_with_config(2), TRANSFER).await;
                    }
                    _ => {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        endpoint
                            .send_response(&mut tx, answer_with_config(2))
                            .await
                            .ok();
                    }
                }
            }
        };
        endpoint.accept(serve).await;
    });
    asked
}

/// Starts an entry host and returns when it first asked with configuration `version`, after the second request.
async fn time_to_configuration(network: u8, second: SecondAnswer) -> (Duration, usize) {
    let leader = SocketAddr::from(([127, 77, network, 1], 21_700));
    let asked = serve_second_answer(leader, second);
    let _gateway = start_gateway(network, None, Recorder::new("e1", discard_logger())).await;
    wait_for("configuration 2 is in force", READY_TIMEOUT, async || {
        asked
            .lock()
            .unwrap()
            .iter()
            .any(|(_, version)| *version == 2)
    })
    .await;
    let asked = asked.lock().unwrap();
    let in_force = asked.iter().position(|(_, version)| *version == 2).unwrap();
    (asked[in_force].0 - asked[1].0, in_force)
}

/// A host waited up to 4.8 s for an answer that was lost, as long as anything else arrived from the leader, and
/// went on with its configuration meanwhile.
#[tokio::test]
async fn a_lost_answer_delays_a_configuration_by_less_than_the_time_to_be_in_force() {
    let (took, _) = time_to_configuration(82, SecondAnswer::Lost).await;
    assert!(took < IN_FORCE, "{took:?}");
}

#[tokio::test]
async fn an_answer_in_transfer_is_not_asked_for_again() {
    let (took, requests) = time_to_configuration(83, SecondAnswer::Slow).await;
    assert!(took >= TRANSFER, "{took:?}");
    assert_eq!(requests, 2, "requests before configuration 2");
}

/// Serves as a leader whose first answer is empty and arrives at once. The later ones contain a configuration
/// and are in transfer for long: when they have arrived, they describe the state of `ANSWER_DELAY` ago.
fn serve_delayed_answers(address: SocketAddr) {
    let (endpoint, recorder) = bind_leader(address);
    let has_answered = Arc::new(AtomicBool::new(false));
    tokio::spawn(async move {
        let answering = endpoint.clone();
        let serve = move |incoming: IncomingRequest| {
            let (endpoint, has_answered) = (answering.clone(), has_answered.clone());
            let recorder = recorder.clone();
            async move {
                let (Request::Directory(DirectoryRequest::Watch { .. }), Some(mut tx)) =
                    (incoming.request, incoming.tx)
                else {
                    return;
                };
                let is_delayed = has_answered.swap(true, Ordering::SeqCst);
                let response = match is_delayed {
                    true => answer_with_config(1),
                    false => Response::Directory(Reply::Update(Box::default())),
                };
                if is_delayed {
                    write_slowly(&mut tx, &recorder, response, ANSWER_DELAY).await;
                } else {
                    endpoint.send_response(&mut tx, response).await.ok();
                }
            }
        };
        endpoint.accept(serve).await;
    });
}

#[tokio::test]
async fn a_delayed_answer_doesn_t_make_a_configuration_certain() {
    let network = 72;
    serve_delayed_answers(SocketAddr::from(([127, 77, network, 1], 21_700)));
    let _gateway = start_gateway(network, None, Recorder::new("e1", discard_logger())).await;
    let callers = SocketAddr::from(([127, 77, network, 2], 21_701));
    wait_for("the delayed update arrives", READY_TIMEOUT, async || {
        let call = get("/added/later", "u", 1_000).header("host", "one.example");
        let Ok(answer) = carobreel::http::send(callers, call).await else {
            return false;
        };
        assert_eq!(answer.status, 503, "{}", answer.text());
        answer.text() != "no configuration"
    })
    .await;
}
