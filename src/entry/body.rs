//! Bodies of answers: whole ones, and those that stream from an upstream or another entry host.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use quinn::RecvStream;

use super::flight::Flight;
use super::gate::Pass;
use super::member::Member;
use super::pool::Connection;
use crate::clock::Clock;

use std::sync::Arc;

/// Bytes that are read from another entry host at once.
const CHUNK_BYTES: usize = 64 << 10;

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// It comes from an upstream.
    Upstream(Box<UpstreamBody>),
    /// It comes from another entry host.
    Remote(Box<RemoteBody>),
}

/// The answer was cut off before its end; the caller's connection is closed without an end mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutOff;

impl std::fmt::Display for CutOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was cut off before its end")
    }
}

impl std::error::Error for CutOff {}

/// What a streaming answer holds until its end.
#[derive(Debug)]
pub struct Hold {
    /// The upstream.
    pub member: Arc<Member>,
    /// The connection; it goes back to the pool after the last byte.
    pub connection: Option<Connection>,
    /// The place at the upstream.
    pub pass: Pass,
    /// The request's flight, for keyed services.
    pub flight: Option<Flight>,
    /// Tells when the answer ended.
    pub clock: Clock,
}

impl Hold {
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.member.pool.put(connection, None, self.clock.now());
        }
    }
}

/// A body that streams from an upstream.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    hold: Option<Hold>,
}

impl UpstreamBody {
    /// Returns a body that keeps `hold` until it ends.
    pub fn new(incoming: Incoming, hold: Hold) -> UpstreamBody {
        UpstreamBody {
            incoming,
            hold: Some(hold),
        }
    }

    fn end(&mut self) {
        if let Some(mut hold) = self.hold.take() {
            hold.finish();
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
    /// Returns the body that follows an answer's head on its stream.
    pub fn new(rx: RecvStream) -> RemoteBody {
        RemoteBody { rx, done: false }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        if self.done {
            return Poll::Ready(None);
        }
        let mut buf = vec![0; CHUNK_BYTES];
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
            Poll::Ready(Err(_)) => Poll::Ready(Some(Err(CutOff))),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|e| match e {}),
            AnswerBody::Remote(body) => body.poll(cx),
            AnswerBody::Upstream(body) => {
                let polled = Pin::new(&mut body.incoming).poll_frame(cx);
                let ended = matches!(polled, Poll::Ready(None)) || body.incoming.is_end_stream();
                if ended && !matches!(polled, Poll::Ready(Some(Err(_)))) {
                    body.end();
                }
                polled.map_err(|_| CutOff)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(body) => body.is_end_stream(),
            AnswerBody::Remote(body) => body.done,
            AnswerBody::Upstream(body) => body.incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => body.size_hint(),
            AnswerBody::Remote(_) => SizeHint::default(),
            AnswerBody::Upstream(body) => body.incoming.size_hint(),
        }
    }
}
