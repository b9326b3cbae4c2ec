//! Tests which answers of the directory an entry host relies on.

mod testbed;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use carobreel::credentials;
use carobreel::daemon::discard_logger;
use carobreel::directory::protocol::{ConfigUpdate, DirectoryRequest, Reply, Update};
use carobreel::directory::state::Versions;
use carobreel::event::Recorder;
use carobreel::transport::{Endpoint, IncomingRequest};
use carobreel::wire::{Request, Response};
use testbed::{get, start_gateway, wait_for, READY_TIMEOUT};

/// Longer than the time within which an acknowledged configuration must be in force.
const ANSWER_DELAY: Duration = Duration::from_millis(3_000);

/// Serves as a leader whose first answer is empty and arrives at once. The later ones contain a configuration
/// and are delayed: when they arrive, they describe the state of `ANSWER_DELAY` ago.
fn serve_delayed_answers(address: SocketAddr) {
    let tls = credentials::unverified_tls().unwrap();
    let recorder = Recorder::new("leader", discard_logger());
    let endpoint = Endpoint::bind(address, BTreeMap::new(), &tls, recorder).unwrap();
    let has_answered = Arc::new(AtomicBool::new(false));
    tokio::spawn(async move {
        let answering = endpoint.clone();
        let serve = move |incoming: IncomingRequest| {
            let (endpoint, has_answered) = (answering.clone(), has_answered.clone());
            async move {
                let (Request::Directory(DirectoryRequest::Watch { .. }), Some(mut tx)) =
                    (incoming.request, incoming.tx)
                else {
                    return;
                };
                let update = Update {
                    versions: Versions {
                        config: 1,
                        ..Versions::default()
                    },
                    config: Some(ConfigUpdate {
                        version: 1,
                        base: None,
                        routes: Vec::new(),
                        removed: Vec::new(),
                        services: BTreeMap::new(),
                        limits: Default::default(),
                    }),
                    ..Update::default()
                };
                let update = match has_answered.swap(true, Ordering::SeqCst) {
                    true => update,
                    false => Update::default(),
                };
                if update.config.is_some() {
                    tokio::time::sleep(ANSWER_DELAY).await;
                }
                let response = Response::Directory(Reply::Update(Box::new(update)));
                endpoint.send_response(&mut tx, response).await.ok();
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
