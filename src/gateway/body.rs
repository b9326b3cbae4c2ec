//! Response bodies: complete ones, and long ones that are streamed from the upstream.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
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

/// Maximum size of a part of a buffered body that is passed on at once, in bytes. What was passed on waits in the
/// HTTP library's buffer for the caller to read, where it doesn't count towards the memory for buffered responses.
const PART_MAX_BYTES: usize = 16 << 10;
/// Time after its request's deadline for which a complete body is still passed on. A caller that reads slowly would
/// hold the memory of other responses for an answer without worth.
const LATE_READ_MAX: Duration = Duration::from_secs(5);

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body.
    Complete(CompleteBody),
    /// A body that is still being received from an upstream.
    Streamed(Box<StreamedBody>),
}

impl ResponseBody {
    /// Returns a complete body.
    pub fn complete(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Complete(CompleteBody {
            remaining: bytes.into(),
            memory: None,
            ends_at: None,
        })
    }

    /// Returns the known lower bound of the length, in bytes.
    pub fn min_bytes(&self) -> u64 {
        match self {
            ResponseBody::Complete(body) => body.remaining.len() as u64,
            ResponseBody::Streamed(body) => body.size_hint().lower(),
        }
    }
}

/// A complete body, which is passed on in parts.
#[derive(Debug)]
pub struct CompleteBody {
    remaining: Bytes,
    /// The memory that the body takes until its last part was passed on, if it came from an upstream.
    memory: Option<BodyShare>,
    /// When the rest of the body is dropped.
    ends_at: Option<Instant>,
}

impl CompleteBody {
    /// Returns a body from an upstream that takes `memory`. It is passed on until `LATE_READ_MAX` after the deadline,
    /// which is in `remaining_time`.
    pub fn from_upstream(
        bytes: Bytes,
        memory: BodyShare,
        remaining_time: Duration,
    ) -> CompleteBody {
        CompleteBody {
            remaining: bytes,
            memory: Some(memory),
            ends_at: Some(Instant::now() + remaining_time + LATE_READ_MAX),
        }
    }

    fn next_part(&mut self) -> Option<Result<Frame<Bytes>, TruncatedAnswer>> {
        if self.remaining.is_empty() {
            return None;
        }
        if self.ends_at.is_some_and(|end| Instant::now() >= end) {
            return Some(Err(TruncatedAnswer));
        }
        let part = take_part(&mut self.remaining);
        if self.remaining.is_empty() {
            self.memory = None;
        }
        Some(Ok(Frame::data(part)))
    }
}

fn take_part(bytes: &mut Bytes) -> Bytes {
    bytes.split_to(bytes.len().min(PART_MAX_BYTES))
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
    /// What was received and not passed on yet.
    buffered: Bytes,
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
                buffered: buffered.freeze(),
                incoming,
                source: Some(source),
                deadline,
            })));
        }
    }
    let remaining_time = source.remaining;
    let memory = source.return_connection();
    let body = CompleteBody::from_upstream(buffered.freeze(), memory, remaining_time);
    Ok(ResponseBody::Complete(body))
}

impl StreamedBody {
    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(TruncatedAnswer)));
        }
        if self.buffered.is_empty() {
            let polled = Pin::new(&mut self.incoming).poll_frame(cx);
            match ready!(polled).transpose().map_err(|_| TruncatedAnswer) {
                Ok(Some(frame)) => match frame.into_data() {
                    Ok(data) => self.buffer(data),
                    Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                },
                Ok(None) => {
                    if let Some(source) = self.source.take() {
                        source.return_connection();
                    }
                    return Poll::Ready(None);
                }
                Err(e) => return Poll::Ready(Some(Err(e))),
            }
        }
        let part = take_part(&mut self.buffered);
        if let Some(source) = self.source.as_mut().filter(|_| self.buffered.is_empty()) {
            source.memory.clear();
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn buffer(&mut self, data: Bytes) {
        if let Some(source) = &mut self.source {
            // It has been received already. Without free memory it goes uncounted, one frame per connection.
            source.memory.try_grow(data.len());
        }
        self.buffered = data;
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
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
            ResponseBody::Complete(body) => Poll::Ready(body.next_part()),
            ResponseBody::Streamed(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Complete(body) => body.remaining.is_empty(),
            // The final poll returns the connection to its pool.
            ResponseBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(body) => SizeHint::with_exact(body.remaining.len() as u64),
            ResponseBody::Streamed(body) => body.size_hint(),
        }
    }
}
