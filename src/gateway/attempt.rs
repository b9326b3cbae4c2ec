//! One request to one upstream, and what its outcome proves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};

use crate::clock::Clock;
use crate::directory::model::Repeat;
use crate::entry::pool::ConnectionReuse;
use crate::entry::request::strip_hop_by_hop;

use super::body::{self, ReplyBody, Source};
use super::peer::{Peer, Peers, Place};
use super::protocol::{AnswerFacts, Protocol};

/// A request that may run once goes out on a connection that was proven alive this recently, in
/// milliseconds; one that went silent would leave its outcome unknown.
const PROVEN_WITHIN_MS: u64 = 1_500;

/// What a failed attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The upstream hasn't run the request and won't.
    NotRun,
    /// It may have run, or may still.
    MayHaveRun,
}

/// The outcome of one attempt.
#[derive(Debug)]
pub enum Attempt {
    /// The upstream's answer: whole, or so long that the rest is passed on as it comes.
    Answer(Response<ReplyBody>),
    /// The same, and it says that the upstream failed.
    ErrorAnswer(Response<ReplyBody>),
    /// No answer, and why.
    Failed(&'static str, Sent),
    /// Nothing was sent: while the request waited for a connection, the upstream ceased to take work.
    Withdrawn,
}

/// A request as it goes to an upstream.
#[derive(Debug)]
pub struct Exchange {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The id that the answer must carry, if it carries one.
    pub id: Option<HeaderValue>,
    /// Whether the request may run twice.
    pub repeat: Repeat,
    /// The time that is left, in milliseconds.
    pub left_ms: u64,
    /// The way to the upstream and back, in milliseconds.
    pub way_ms: u64,
}

impl Exchange {
    /// Sends the request and reads the whole answer.
    pub async fn run<P: Protocol>(
        self,
        peer: &Arc<Peer>,
        peers: &Peers,
        protocol: &P,
        clock: &Clock,
    ) -> Attempt {
        let mut place = Place::take(peer, clock);
        let left = Duration::from_millis(self.left_ms);
        let way_ms = self.way_ms;
        let attempt = self.exchange(peer, peers, protocol, clock);
        let outcome = match tokio::time::timeout(left, attempt).await {
            Ok(outcome) => outcome,
            Err(_) => {
                // The connection may have gone silent, and others to the same upstream with it.
                peer.pool.close_idle();
                Attempt::Failed("no answer in time", Sent::MayHaveRun)
            }
        };
        match &outcome {
            Attempt::Answer(_) => place.succeed(peers, way_ms),
            Attempt::ErrorAnswer(_) => peers.note_failure(peer, "error answer", clock),
            Attempt::Failed(reason, Sent::MayHaveRun) => peers.note_failure(peer, reason, clock),
            Attempt::Failed(_, Sent::NotRun) | Attempt::Withdrawn => place.settle(),
        }
        outcome
    }

    async fn exchange<P: Protocol>(
        self,
        peer: &Arc<Peer>,
        peers: &Peers,
        protocol: &P,
        clock: &Clock,
    ) -> Attempt {
        let proof = match self.repeat {
            Repeat::Idempotent => ConnectionReuse::Any,
            Repeat::Once => ConnectionReuse::AnsweredWithin(PROVEN_WITHIN_MS),
        };
        let began = Instant::now();
        let Ok(mut connection) = peer.pool.take(proof, clock.now()).await else {
            peers.note_unreachable(peer, clock);
            return Attempt::Failed("can't connect", Sent::NotRun);
        };
        // What was known when the upstream was chosen may be old by now.
        if !peer.takes_work(clock.now()) {
            return Attempt::Withdrawn;
        }
        let mut request = Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = self.uri;
        *request.headers_mut() = self.headers;
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => {
                return match e.take_message() {
                    Some(_) => Attempt::Failed("connection closed before sending", Sent::NotRun),
                    None => Attempt::Failed("connection broke", Sent::MayHaveRun),
                }
            }
        };
        let facts = protocol.read_answer(response.headers());
        if facts.id.is_some() && self.id.is_some() && facts.id != self.id {
            return Attempt::Failed("answer to another request", Sent::MayHaveRun);
        }
        let now = clock.now();
        let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        peers.note_word(peer, &facts, refused, now);
        if let Some(load) = facts.load {
            let total = load.running + load.waiting;
            peer.load().report(total, load.slots, now);
        }
        let source = Source {
            peer: peer.clone(),
            connection,
            idle_ms: facts.idle_ms,
            clock: *clock,
            left: Duration::from_millis(self.left_ms).saturating_sub(began.elapsed()),
        };
        read_answer(response, facts, source).await
    }
}

async fn read_answer(response: Response<Incoming>, facts: AnswerFacts, source: Source) -> Attempt {
    let (mut head, body) = response.into_parts();
    let Ok(body) = body::read(body, source).await else {
        return Attempt::Failed("answer cut off", Sent::MayHaveRun);
    };
    if facts.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        return Attempt::Failed("upstream refused", Sent::NotRun);
    }
    if let Some(fault) = fault_of(head.status, &head.headers, &facts) {
        return Attempt::Failed(fault, Sent::MayHaveRun);
    }
    strip_hop_by_hop(&mut head.headers);
    let is_error = head.status.is_server_error();
    let response = Response::from_parts(head, body);
    if is_error {
        Attempt::ErrorAnswer(response)
    } else {
        Attempt::Answer(response)
    }
}

/// Tells why an answer can't be passed on as it is.
fn fault_of(status: StatusCode, headers: &HeaderMap, facts: &AnswerFacts) -> Option<&'static str> {
    if status.is_success() && !facts.is_stamped {
        return Some("success without the upstream's stamp");
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Some("answer in an encoding that nobody asked for");
    }
    // To a caller these would say that the request wasn't run, and nothing proves it.
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    promises
        .contains(&status)
        .then_some("refusal without proof")
}
