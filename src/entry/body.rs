//! Bodies of answers: buffered ones, and those that stream from an upstream or another entry host.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use quinn::RecvStream;

use super::in_flight::InFlightGuard;
use super::limiter::Permit;
use super::pool::Connection;
use super::upstream::UpstreamClient;
use crate::clock::Clock;

use std::sync::Arc;

/// The most bytes read from another entry host at once.
const READ_CHUNK_BYTES: usize = 64 << 10;

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// A body that is complete.
    Buffered(Full<Bytes>),
    /// A body that streams from an upstream.
    Upstream(Box<UpstreamBody>),
    /// A body that streams from another entry host.
    Remote(Box<RemoteBody>),
}

/// The error of an answer that broke off before its end. The caller's connection is closed without
/// the end of the body, so that the caller notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedAnswer;

impl std::fmt::Display for TruncatedAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was cut off before its end")
    }
}

impl std::error::Error for TruncatedAnswer {}

/// The resources that a streaming answer holds until its end.
#[derive(Debug)]
pub struct AnswerResources {
    /// The upstream that answers.
    pub upstream: Arc<UpstreamClient>,
    /// The connection, which is returned to the pool after the last byte.
    pub connection: Option<Connection>,
    /// The permit of the upstream's concurrency limit.
    pub permit: Permit,
    /// The request's entry among those in flight, for keyed services.
    pub in_flight: Option<InFlightGuard>,
    /// The clock that gives the time at which the connection is returned.
    pub clock: Clock,
}

impl AnswerResources {
    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.upstream.pool.put(connection, None, self.clock.now());
        }
    }
}

/// A body that streams from an upstream.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    resources: Option<AnswerResources>,
}

impl UpstreamBody {
    /// Returns a body that keeps `resources` until it ends.
    pub fn new(incoming: Incoming, resources: AnswerResources) -> UpstreamBody {
        UpstreamBody {
            incoming,
            resources: Some(resources),
        }
    }

    fn release_resources(&mut self) {
        if let Some(mut resources) = self.resources.take() {
            resources.return_connection();
        }
    }
}

/// A body that streams from another entry host.
#[derive(Debug)]
pub struct RemoteBody {
    rx: RecvStream,
    done: bool,
}

impl RemoteBody {
    /// Returns a body that reads what follows an answer's head on `rx`.
    pub fn new(rx: RecvStream) -> RemoteBody {
        RemoteBody { rx, done: false }
    }

    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        if self.done {
            return Poll::Ready(None);
        }
        let mut buf = vec![0; READ_CHUNK_BYTES];
        match self.rx.poll_read(cx, &mut buf) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(0)) => {
                self.done = true;
                Poll::Ready(None)
            }
            Poll::Ready(Ok(len)) => {
                buf.truncate(len);
                Poll::Ready(Some(Ok(Frame::data(Bytes::from(buf)))))
            }
            Poll::Ready(Err(_)) => Poll::Ready(Some(Err(TruncatedAnswer))),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match self.get_mut() {
            AnswerBody::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|e| match e {}),
            AnswerBody::Remote(body) => body.poll(cx),
            AnswerBody::Upstream(body) => {
                let polled = Pin::new(&mut body.incoming).poll_frame(cx);
                let ended = matches!(polled, Poll::Ready(None)) || body.incoming.is_end_stream();
                if ended && !matches!(polled, Poll::Ready(Some(Err(_)))) {
                    body.release_resources();
                }
                polled.map_err(|_| TruncatedAnswer)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Buffered(body) => body.is_end_stream(),
            AnswerBody::Remote(body) => body.done,
            AnswerBody::Upstream(body) => body.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered(body) => body.size_hint(),
            AnswerBody::Remote(_) => SizeHint::default(),
            AnswerBody::Upstream(body) => body.incoming.size_hint(),
        }
    }
}
