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
const HEAD: u8 = 1;
const SERVING: u8 = 2;

/// What a connection is doing; the service that gets its requests tells.
#[derive(Clone, Debug, Default)]
pub struct Phase(Arc<AtomicU8>);

impl Phase {
    /// Notes that a head was read to its end.
    pub fn begin_request(&self) {
        self.0.store(SERVING, Ordering::Relaxed);
    }

    /// Notes that the request is answered.
    pub fn end_request(&self) {
        self.0.store(IDLE, Ordering::Relaxed);
    }
}

/// A connection that fails when a head isn't read to its end within the limit, counted from its first
/// byte. Time between requests doesn't count.
#[derive(Debug)]
pub struct Intake<S> {
    stream: S,
    phase: Phase,
    limit: Duration,
    deadline: Pin<Box<Sleep>>,
}

impl<S> Intake<S> {
    /// Returns a connection with its phase.
    pub fn new(stream: S, limit: Duration) -> (Intake<S>, Phase) {
        let phase = Phase::default();
        let intake = Intake {
            stream,
            phase: phase.clone(),
            limit,
            deadline: Box::pin(tokio::time::sleep(limit)),
        };
        (intake, phase)
    }

    fn is_late(&mut self, cx: &mut Context<'_>) -> bool {
        let is_head = self.phase.0.load(Ordering::Relaxed) == HEAD;
        is_head && self.deadline.as_mut().poll(cx).is_ready()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Intake<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let has_bytes = buf.filled().len() > before;
        if has_bytes && self.phase.0.load(Ordering::Relaxed) == IDLE {
            self.phase.0.store(HEAD, Ordering::Relaxed);
            let end = Instant::now() + self.limit;
            self.deadline.as_mut().reset(end);
        }
        if self.is_late(cx) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Intake<S> {
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
