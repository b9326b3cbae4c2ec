//! Bodies of answers: whole ones, and long ones that are passed on while they come.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use crate::clock::Clock;
use crate::entry::body::TruncatedAnswer;
use crate::entry::pool::Connection;

use super::peer::Peer;

/// Of an answer, so much is held back until it is whole, in bytes: as long as nothing was passed on, a
/// broken answer can be asked for again elsewhere. Longer ones are passed on as they come.
const HELD_MAX: usize = 1 << 20;

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum ReplyBody {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// The rest comes from an upstream.
    Rest(Box<Rest>),
}

impl ReplyBody {
    /// Returns a body that is all here.
    pub fn whole(bytes: impl Into<Bytes>) -> ReplyBody {
        ReplyBody::Whole(Full::new(bytes.into()))
    }

    /// Returns its length as far as it is known, in bytes.
    pub fn known_bytes(&self) -> u64 {
        match self {
            ReplyBody::Whole(body) => body.size_hint().lower(),
            ReplyBody::Rest(rest) => rest.size_hint().lower(),
        }
    }
}

/// What an upstream's connection is needed for until the answer's end.
#[derive(Debug)]
pub struct Source {
    /// The upstream.
    pub peer: Arc<Peer>,
    /// The connection that the answer comes on.
    pub connection: Connection,
    /// How long the upstream keeps it open without a request, in milliseconds.
    pub idle_ms: Option<u64>,
    /// Time.
    pub clock: Clock,
    /// How long the answer may still take.
    pub left: Duration,
}

impl Source {
    fn finish(self) {
        let pool = &self.peer.pool;
        pool.put(self.connection, self.idle_ms, self.clock.now());
    }
}

/// A body of which a part was read.
#[derive(Debug)]
pub struct Rest {
    held: Option<Bytes>,
    incoming: Incoming,
    source: Option<Source>,
    end: Pin<Box<Sleep>>,
}

/// Reads an answer's body up to its end, or up to what may be held back.
///
/// # Errors
///
/// [`TruncatedAnswer`] when it ends early.
pub async fn read(mut incoming: Incoming, source: Source) -> Result<ReplyBody, TruncatedAnswer> {
    let mut held = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| TruncatedAnswer)?;
        if let Ok(data) = frame.into_data() {
            held.extend_from_slice(&data);
        }
        if held.len() >= HELD_MAX {
            let end = Box::pin(tokio::time::sleep(source.left));
            return Ok(ReplyBody::Rest(Box::new(Rest {
                held: Some(held.freeze()),
                incoming,
                source: Some(source),
                end,
            })));
        }
    }
    source.finish();
    Ok(ReplyBody::whole(held))
}

impl Rest {
    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        if let Some(held) = self.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        if self.end.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(TruncatedAnswer)));
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        if let Poll::Ready(None) = polled {
            if let Some(source) = self.source.take() {
                source.finish();
            }
        }
        polled.map_err(|_| TruncatedAnswer)
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.as_ref().map_or(0, |h| h.len() as u64);
        let coming = self.incoming.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(held + coming.lower());
        if let Some(upper) = coming.upper() {
            hint.set_upper(held + upper);
        }
        hint
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match self.get_mut() {
            ReplyBody::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|e| match e {}),
            ReplyBody::Rest(rest) => rest.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Whole(body) => body.is_end_stream(),
            // Its end is what gives the connection back.
            ReplyBody::Rest(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(body) => body.size_hint(),
            ReplyBody::Rest(rest) => rest.size_hint(),
        }
    }
}
