//! Response bodies: complete ones, and long ones that are streamed from the upstream.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use crate::body_memory::BodyShare;
use crate::clock::Clock;
use crate::entry::body::TruncatedAnswer;
use crate::entry::pool::Connection;

use super::upstream_client::UpstreamClient;

/// Maximum size of a buffered response, in bytes; longer ones are streamed. As long as nothing was sent to
/// the caller, the request of a truncated response can be retried on another upstream.
const BUFFERED_MAX_BYTES: usize = 1 << 20;

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body, with the memory that it takes if it came from an upstream.
    Complete(Full<Bytes>, Option<BodyShare>),
    /// A body that is still being received from an upstream.
    Streamed(Box<StreamedBody>),
}

impl ResponseBody {
    /// Returns a complete body.
    pub fn complete(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Complete(Full::new(bytes.into()), None)
    }

    /// Returns the known lower bound of the length, in bytes.
    pub fn min_bytes(&self) -> u64 {
        match self {
            ResponseBody::Complete(body, _) => body.size_hint().lower(),
            ResponseBody::Streamed(body) => body.size_hint().lower(),
        }
    }
}

/// The connection that a response is read from, held until the end of the body.
#[derive(Debug)]
pub struct ResponseSource {
    /// The upstream.
    pub client: Arc<UpstreamClient>,
    /// The connection.
    pub connection: Connection,
    /// The memory that the buffered part takes.
    pub memory: BodyShare,
    /// Idle timeout that the upstream announced for the connection, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// The clock.
    pub clock: Clock,
    /// Time until the deadline of the request.
    pub remaining: Duration,
}

impl ResponseSource {
    /// Returns the connection to its pool, and the memory of the buffered part.
    fn return_connection(self) -> BodyShare {
        let pool = &self.client.pool;
        pool.put(self.connection, self.keep_alive_ms, self.clock.now());
        self.memory
    }
}

/// A body whose first part is buffered and whose remainder is still being received.
#[derive(Debug)]
pub struct StreamedBody {
    buffered: Option<Bytes>,
    incoming: Incoming,
    source: Option<ResponseSource>,
    deadline: Pin<Box<Sleep>>,
}

/// Reads a response body to its end, or returns it as a stream once `BUFFERED_MAX_BYTES` were read or the memory
/// for buffered responses is used up.
///
/// # Errors
///
/// [`TruncatedAnswer`] if the body ends early.
pub async fn buffer_or_stream(
    mut incoming: Incoming,
    mut source: ResponseSource,
) -> Result<ResponseBody, TruncatedAnswer> {
    let mut buffered = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| TruncatedAnswer)?;
        let mut has_memory = true;
        if let Ok(data) = frame.into_data() {
            has_memory = source.memory.try_grow(data.len());
            buffered.extend_from_slice(&data);
        }
        if !has_memory || buffered.len() >= BUFFERED_MAX_BYTES {
            let deadline = Box::pin(tokio::time::sleep(source.remaining));
            return Ok(ResponseBody::Streamed(Box::new(StreamedBody {
                buffered: Some(buffered.freeze()),
                incoming,
                source: Some(source),
                deadline,
            })));
        }
    }
    let memory = source.return_connection();
    Ok(ResponseBody::Complete(
        Full::new(buffered.freeze()),
        Some(memory),
    ))
}

impl StreamedBody {
    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        if let Some(buffered) = self.buffered.take() {
            if let Some(source) = &mut self.source {
                source.memory.clear();
            }
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
            ResponseBody::Complete(body, _) => {
                Pin::new(body).poll_frame(cx).map_err(|e| match e {})
            }
            ResponseBody::Streamed(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Complete(body, _) => body.is_end_stream(),
            // The final poll returns the connection to its pool.
            ResponseBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(body, _) => body.size_hint(),
            ResponseBody::Streamed(body) => body.size_hint(),
        }
    }
}
