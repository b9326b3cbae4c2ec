//! Finds out whether an upstream ended when a connection to it broke, or whether it still runs.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::clock::{Clock, Mono};
use crate::directory::model::Incarnation;
use crate::event::{Event, Recorder};
use crate::lock::lock;

use super::upstream_client::UpstreamClient;
use super::view::DirectoryView;

/// How long a break is looked into, in milliseconds: the time in which a process that was started again at the
/// same address has announced itself.
const VERIFY_MAX_MS: u64 = 5_000;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next attempt to connect.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before it is looked again whether an upstream that accepts connections has answered since.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of upstreams that are looked into at once.
const UPSTREAMS_MAX: usize = 256;
/// Maximum number of requests that are remembered for one upstream.
const REQUESTS_MAX: usize = 64;

/// What became of an upstream whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakOutcome {
    /// The process has ended.
    Ended,
    /// Something accepts connections at its address.
    AcceptsConnections,
    /// Nothing answers at its address.
    Unresolved,
}

/// One upstream that is being looked into.
#[derive(Debug)]
struct Inquiry<R> {
    outcome: watch::Sender<Option<BreakOutcome>>,
    requests: Vec<R>,
}

/// Receives the requests that an upstream had when it ended.
pub trait CrashSink<R>: Send + Sync + 'static {
    /// Records that `upstream` of `service` ended while it had `requests`.
    fn record_crash(&self, service: &str, upstream: &Incarnation, requests: Vec<R>);
}

/// Looks into breaks, one inquiry at a time for each upstream process. `R` describes a request that broke.
#[derive(Debug)]
pub struct CrashWatch<R, S> {
    recorder: Recorder,
    clock: Clock,
    view: watch::Receiver<Arc<DirectoryView>>,
    sink: Arc<S>,
    inquiries: Mutex<BTreeMap<Incarnation, Inquiry<R>>>,
}

impl<R: Send + 'static, S: CrashSink<R>> CrashWatch<R, S> {
    /// Returns a watch that passes the requests of upstreams that ended to `sink`.
    pub fn new(
        recorder: Recorder,
        clock: Clock,
        view: watch::Receiver<Arc<DirectoryView>>,
        sink: Arc<S>,
    ) -> CrashWatch<R, S> {
        CrashWatch {
            recorder,
            clock,
            view,
            sink,
            inquiries: Mutex::default(),
        }
    }

    /// Records that the connection of a request broke, and returns the channel for the outcome. Returns `None`
    /// if the upstream was about to leave, or if too many are being looked into.
    pub fn record_break(
        self: &Arc<Self>,
        client: &Arc<UpstreamClient>,
        request: R,
    ) -> Option<watch::Receiver<Option<BreakOutcome>>> {
        if client.is_leaving() {
            return None;
        }
        let mut inquiries = lock(&self.inquiries);
        if let Some(inquiry) = inquiries.get_mut(&client.incarnation) {
            let rx = inquiry.outcome.subscribe();
            if inquiry.requests.len() < REQUESTS_MAX {
                inquiry.requests.push(request);
            }
            let is_known = *rx.borrow() == Some(BreakOutcome::Ended);
            if is_known {
                let requests = std::mem::take(&mut inquiry.requests);
                drop(inquiries);
                self.sink
                    .record_crash(client.service(), &client.incarnation, requests);
            }
            return Some(rx);
        }
        if inquiries.len() >= UPSTREAMS_MAX {
            return None;
        }
        let (tx, rx) = watch::channel(None);
        let inquiry = Inquiry {
            outcome: tx,
            requests: vec![request],
        };
        inquiries.insert(client.incarnation.clone(), inquiry);
        let (watch, client) = (self.clone(), client.clone());
        tokio::spawn(async move { watch.inquire(client).await });
        Some(rx)
    }

    async fn inquire(&self, client: Arc<UpstreamClient>) {
        let broke_at = self.clock.now();
        let (outcome, evidence) = self.find_outcome(&client, broke_at).await;
        self.conclude(&client, outcome, evidence, broke_at);
        if outcome == BreakOutcome::Ended {
            // Further requests may notice only now that their connections broke.
            let age_ms = self.clock.now().since(broke_at);
            let rest_ms = VERIFY_MAX_MS.saturating_sub(age_ms);
            tokio::time::sleep(Duration::from_millis(rest_ms)).await;
        }
        lock(&self.inquiries).remove(&client.incarnation);
    }

    /// Returns what became of the upstream, and the evidence.
    async fn find_outcome(
        &self,
        client: &UpstreamClient,
        broke_at: Mono,
    ) -> (BreakOutcome, &'static str) {
        let until = broke_at.plus(VERIFY_MAX_MS);
        let mut accepts_connections = false;
        loop {
            if self.view.borrow().is_replaced(client) {
                return (BreakOutcome::Ended, "a later process announced itself");
            }
            if client.last_answered_request_at() > broke_at {
                return (
                    BreakOutcome::AcceptsConnections,
                    "it answered a later request",
                );
            }
            if self.clock.now() >= until {
                break;
            }
            if accepts_connections {
                tokio::time::sleep(ANSWER_POLL_INTERVAL).await;
                continue;
            }
            let opening = TcpStream::connect(client.address);
            match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
                Ok(Ok(_)) => {
                    accepts_connections = true;
                    self.publish(client, BreakOutcome::AcceptsConnections);
                }
                Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                    return (BreakOutcome::Ended, "its address refuses connections");
                }
                Ok(Err(_)) | Err(_) => tokio::time::sleep(CONNECT_RETRY_DELAY).await,
            }
        }
        match accepts_connections {
            true => (
                BreakOutcome::AcceptsConnections,
                "its address accepts connections",
            ),
            false => (BreakOutcome::Unresolved, "its address doesn't answer"),
        }
    }

    fn publish(&self, client: &UpstreamClient, outcome: BreakOutcome) {
        if let Some(inquiry) = lock(&self.inquiries).get(&client.incarnation) {
            inquiry.outcome.send_replace(Some(outcome));
        }
    }

    fn conclude(
        &self,
        client: &UpstreamClient,
        outcome: BreakOutcome,
        evidence: &'static str,
        broke_at: Mono,
    ) {
        let requests = match lock(&self.inquiries).get_mut(&client.incarnation) {
            Some(inquiry) => std::mem::take(&mut inquiry.requests),
            None => Vec::new(),
        };
        let upstream = client.incarnation.id.clone();
        let (born_ms, evidence) = (client.incarnation.born_ms, evidence.to_string());
        let count = requests.len() as u64;
        let waited_ms = self.clock.now().since(broke_at);
        self.recorder.record(match outcome {
            BreakOutcome::Ended => Event::UpstreamEnded {
                upstream,
                born_ms,
                evidence,
                requests: count,
                waited_ms,
            },
            BreakOutcome::AcceptsConnections | BreakOutcome::Unresolved => Event::BreakNotACrash {
                upstream,
                born_ms,
                evidence,
                requests: count,
                waited_ms,
            },
        });
        if outcome == BreakOutcome::Ended {
            self.sink
                .record_crash(client.service(), &client.incarnation, requests);
        }
        self.publish(client, outcome);
    }
}
