//! Makes calls to upstreams that the leader hands out to this host.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use crate::clock::{Clock, Mono};
use crate::lock::lock;
use crate::transport::Endpoint;
use crate::wire::{Request, Response};

use super::daemon::GrantTransport;
use super::handle::DaemonInput;
use super::lessor::{CallId, CallResult};
use super::protocol::{DirectoryRequest, RenewalResult, Reply};

/// The timeout of a request to the leader: a later answer would be of little use, as the lease ends 450 ms
/// after the request at the latest.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay after a request without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Results that the leader hasn't got for this long are dropped, in milliseconds; it counts the calls as
/// unanswered before.
const RESULT_KEPT_MS: u64 = 2_000;

type Results = Arc<Mutex<Vec<(CallId, CallResult, Mono)>>>;

/// Asks the leader for calls and makes them.
pub(super) struct RenewalHelper<C> {
    pub(super) own_address: String,
    pub(super) endpoint: Endpoint,
    pub(super) calls: Arc<C>,
    pub(super) clock: Clock,
    /// For the log of failed calls.
    pub(super) tx: mpsc::Sender<DaemonInput>,
}

impl<C: GrantTransport> RenewalHelper<C> {
    /// Asks until `leader`, which holds the leader's address while another host leads, is closed.
    pub(super) async fn run(self, mut leader: watch::Receiver<Option<String>>) {
        let results = Results::default();
        let mut received = 0;
        let mut asked_host = String::new();
        loop {
            let known = leader.borrow_and_update().clone();
            let Some(host) = known else {
                if leader.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if asked_host != host {
                received = 0;
                asked_host.clone_from(&host);
            }
            let asked_at = self.clock.now();
            let reply = self.ask(&host, received, &results, asked_at).await;
            let pause = match reply {
                Some(Reply::Renewals {
                    calls,
                    number,
                    lease_ms,
                    pause_ms,
                }) => {
                    received = number;
                    // The leader computed the rest of its lease after the request was sent.
                    let until = asked_at.plus(lease_ms);
                    for call in calls {
                        let (transport, results) = (self.calls.clone(), results.clone());
                        let (clock, tx) = (self.clock, self.tx.clone());
                        tokio::spawn(async move {
                            let result = transport.call(call.clone(), until).await;
                            lock(&results).push((call.id, result.clone(), clock.now()));
                            if !matches!(result, CallResult::Done(_)) {
                                let _ = tx.send(DaemonInput::SharedCallFailed(call, result)).await;
                            }
                        });
                    }
                    Duration::from_millis(pause_ms)
                }
                _ => RETRY_DELAY,
            };
            tokio::time::sleep(pause).await;
            if leader.has_changed().is_err() {
                return;
            }
        }
    }

    /// Sends the results so far and asks for calls. Results are kept if no answer arrives.
    async fn ask(
        &self,
        host: &str,
        received: u64,
        results: &Results,
        asked_at: Mono,
    ) -> Option<Reply> {
        let mut finished = std::mem::take(&mut *lock(results));
        finished.retain(|(_, _, at)| asked_at.since(*at) < RESULT_KEPT_MS);
        let report = |(id, result, at): &(CallId, CallResult, Mono)| RenewalResult {
            id: *id,
            result: result.clone(),
            age_ms: asked_at.since(*at),
        };
        let request = DirectoryRequest::TakeRenewals {
            host: self.own_address.clone(),
            received,
            results: finished.iter().map(report).collect(),
        };
        let request = Request::Directory(request);
        match self.endpoint.call(host, request, ASK_TIMEOUT).await {
            Ok(Response::Directory(reply @ Reply::Renewals { .. })) => Some(reply),
            _ => {
                lock(results).extend(finished);
                None
            }
        }
    }
}
