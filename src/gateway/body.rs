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

use super::upstream_client::UpstreamClient;

/// Of an answer, so much is held back until it is whole, in bytes: as long as nothing was passed on, a
/// broken answer can be asked for again elsewhere. Longer ones are passed on as they come.
const BUFFERED_MAX_BYTES: usize = 1 << 20;

/// The body of an answer to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// The rest comes from an upstream.
    Streamed(Box<StreamedBody>),
}

impl ResponseBody {
    /// Returns a body that is all here.
    pub fn whole(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Whole(Full::new(bytes.into()))
    }

    /// Returns its length as far as it is known, in bytes.
    pub fn known_bytes(&self) -> u64 {
        match self {
            ResponseBody::Whole(body) => body.size_hint().lower(),
            ResponseBody::Streamed(body) => body.size_hint().lower(),
        }
    }
}

/// What an upstream's connection is needed for until the answer's end.
#[derive(Debug)]
pub struct ResponseSource {
    /// The upstream.
    pub client: Arc<UpstreamClient>,
    /// The connection that the answer comes on.
    pub connection: Connection,
    /// How long the upstream keeps it open without a request, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// Time.
    pub clock: Clock,
    /// How long the answer may still take.
    pub remaining: Duration,
}

impl ResponseSource {
    fn return_connection(self) {
        let pool = &self.client.pool;
        pool.put(self.connection, self.keep_alive_ms, self.clock.now());
    }
}

/// A body of which a part was read.
#[derive(Debug)]
pub struct StreamedBody {
    buffered: Option<Bytes>,
    incoming: Incoming,
    source: Option<ResponseSource>,
    deadline: Pin<Box<Sleep>>,
}

/// Reads an answer's body up to its end, or up to what may be held back.
///
/// # Errors
///
/// [`TruncatedAnswer`] when it ends early.
pub async fn buffer_or_stream(
    mut incoming: Incoming,
    source: ResponseSource,
) -> Result<ResponseBody, TruncatedAnswer> {
    let mut buffered = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| TruncatedAnswer)?;
        if let Ok(data) = frame.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() >= BUFFERED_MAX_BYTES {
            let deadline = Box::pin(tokio::time::sleep(source.remaining));
            return Ok(ResponseBody::Streamed(Box::new(StreamedBody {
                buffered: Some(buffered.freeze()),
                incoming,
                source: Some(source),
                deadline,
            })));
        }
    }
    source.return_connection();
    Ok(ResponseBody::whole(buffered))
}

impl StreamedBody {
    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(TruncatedAnswer)));
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        if let Poll::Ready(None) = polled {
            if let Some(source) = self.source.take() {
                source.return_connection();
            }
        }
        polled.map_err(|_| TruncatedAnswer)
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, |h| h.len() as u64);
        let upcoming = self.incoming.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(buffered + upcoming.lower());
        if let Some(upper) = upcoming.upper() {
            hint.set_upper(buffered + upper);
        }
        hint
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match self.get_mut() {
            ResponseBody::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|e| match e {}),
            ResponseBody::Streamed(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(body) => body.is_end_stream(),
            // Its end is what gives the connection back.
            ResponseBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(body) => body.size_hint(),
            ResponseBody::Streamed(body) => body.size_hint(),
        }
    }
}
