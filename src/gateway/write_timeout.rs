//! Ends connections whose callers stop reading their responses.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use super::metrics::Metrics;

/// Time for which a caller may read nothing while a response waits. Upstreams drop a response that stays unread for
/// seconds as well, and longer pauses of a reader are rarely recovered from.
pub const UNREAD_MAX: Duration = Duration::from_secs(5);

/// A stream whose writes fail once the other end has accepted nothing for [`UNREAD_MAX`].
#[derive(Debug)]
pub struct WriteTimeoutStream<S> {
    stream: S,
    metrics: Arc<Metrics>,
    /// Runs while a write waits.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeoutStream<S> {
    /// Wraps a stream. Connections that are ended are counted in `metrics`.
    pub fn new(stream: S, metrics: Arc<Metrics>) -> WriteTimeoutStream<S> {
        WriteTimeoutStream {
            stream,
            metrics,
            timer: None,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeoutStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeoutStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        if polled.is_ready() {
            this.timer = None;
            return polled;
        }
        let timer = this
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(UNREAD_MAX)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        this.timer = None;
        this.metrics.responses_unread.inc();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
