//! A caller's connection, which is closed when the head of a request takes too long.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

const IDLE: u8 = 0;
const READING_HEAD: u8 = 1;
const SERVING: u8 = 2;

/// What a connection is doing; the service that gets its requests tells.
#[derive(Clone, Debug, Default)]
pub struct ConnectionState(Arc<AtomicU8>);

impl ConnectionState {
    /// Notes that a head was read to its end.
    pub fn begin_serving(&self) {
        self.0.store(SERVING, Ordering::Relaxed);
    }

    /// Notes that the request is answered.
    pub fn end_serving(&self) {
        self.0.store(IDLE, Ordering::Relaxed);
    }
}

/// A connection that fails when a head isn't read to its end within the limit, counted from its first
/// byte. Time between requests doesn't count.
#[derive(Debug)]
pub struct HeadTimeoutStream<S> {
    stream: S,
    state: ConnectionState,
    head_timeout: Duration,
    deadline: Pin<Box<Sleep>>,
}

impl<S> HeadTimeoutStream<S> {
    /// Returns a connection with its phase.
    pub fn new(stream: S, head_timeout: Duration) -> (HeadTimeoutStream<S>, ConnectionState) {
        let state = ConnectionState::default();
        let stream = HeadTimeoutStream {
            stream,
            state: state.clone(),
            head_timeout,
            deadline: Box::pin(tokio::time::sleep(head_timeout)),
        };
        (stream, state)
    }

    fn is_head_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        let is_reading_head = self.state.0.load(Ordering::Relaxed) == READING_HEAD;
        is_reading_head && self.deadline.as_mut().poll(cx).is_ready()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadTimeoutStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let has_bytes = buf.filled().len() > filled_before;
        if has_bytes && self.state.0.load(Ordering::Relaxed) == IDLE {
            self.state.0.store(READING_HEAD, Ordering::Relaxed);
            let end = Instant::now() + self.head_timeout;
            self.deadline.as_mut().reset(end);
        }
        if self.is_head_overdue(cx) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadTimeoutStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
