//! Limits bulk traffic to a part of a link's bandwidth. On a saturated link, datagrams between processes are
//! lost, and with them updates about new configurations and leaving upstreams.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

use crate::lock::lock;

/// Share of a link that paced traffic may use in each direction, in percent. Packet headers take about 5%
/// more, and control traffic on a link of 5 Mbit/s up to 5%.
const USABLE_LINK_PERCENT: f64 = 80.0;
/// Maximum size of one read or write, in bytes, so that connections take turns.
const CHUNK_MAX_BYTES: usize = 8 << 10;
/// Number of bytes at the start of a message that pass without delay, so that short responses don't wait
/// behind long ones. They are still charged to the link.
const UNPACED_PREFIX_BYTES: usize = 4 << 10;
/// Idle time after which the next bytes of a connection count as a new message.
const NEW_MESSAGE_GAP: Duration = Duration::from_millis(60);
/// Burst that may pass without delay on an idle link, as the time that the link takes to transfer it.
const BURST: Duration = Duration::from_millis(30);

/// Rate limiter of one direction of a link. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    rate: Option<Arc<LinkRate>>,
}

#[derive(Debug)]
struct LinkRate {
    bytes_per_s: f64,
    usage: Mutex<LinkUsage>,
}

/// The time until which the link is busy with what was charged to it.
#[derive(Debug)]
struct LinkUsage {
    busy_until: Instant,
}

impl Pacer {
    /// Returns a pacer for a link of `link_mbps` Mbit/s, or one without a limit.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use carobreel::pace::Pacer;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let pacer = Pacer::new(Some(1.0));
    /// assert_eq!(pacer.delay(now), None);
    /// pacer.charge(100_000, now);
    /// assert!(pacer.delay(now).is_some_and(|d| d > Duration::from_millis(900)));
    /// assert_eq!(Pacer::new(None).delay(now), None);
    /// ```
    pub fn new(link_mbps: Option<f64>) -> Pacer {
        let rate = link_mbps.map(|mbps| LinkRate {
            bytes_per_s: mbps * 1_000_000.0 / 8.0 * USABLE_LINK_PERCENT / 100.0,
            usage: Mutex::new(LinkUsage {
                busy_until: Instant::now(),
            }),
        });
        Pacer {
            rate: rate.map(Arc::new),
        }
    }

    /// Returns how long the next bytes have to be delayed, if at all.
    pub fn delay(&self, now: Instant) -> Option<Duration> {
        let rate = self.rate.as_ref()?;
        let busy_until = lock(&rate.usage).busy_until;
        let delay = busy_until.saturating_duration_since(now + BURST);
        (!delay.is_zero()).then_some(delay)
    }

    /// Charges transferred bytes to the link.
    pub fn charge(&self, bytes: usize, now: Instant) {
        let Some(rate) = &self.rate else {
            return;
        };
        let mut usage = lock(&rate.usage);
        let transfer_time = Duration::from_secs_f64(bytes as f64 / rate.bytes_per_s);
        usage.busy_until = usage.busy_until.max(now) + transfer_time;
    }
}

/// Pacers of both directions of a host's link. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct LinkPacers {
    /// Traffic from callers and upstreams.
    pub inbound: Pacer,
    /// Traffic to callers and upstreams.
    pub outbound: Pacer,
}

impl LinkPacers {
    /// Returns pacers for a link of `link_mbps` Mbit/s in each direction, or pacers without a limit.
    pub fn new(link_mbps: Option<f64>) -> LinkPacers {
        LinkPacers {
            inbound: Pacer::new(link_mbps),
            outbound: Pacer::new(link_mbps),
        }
    }
}

/// Pacing state of one direction of a connection.
#[derive(Debug)]
struct PacedDirection {
    pacer: Pacer,
    delay_timer: Option<Pin<Box<Sleep>>>,
    /// Bytes of the current message that were transferred.
    message_bytes: usize,
    last_transfer_at: Instant,
}

impl PacedDirection {
    fn new(pacer: Pacer) -> PacedDirection {
        PacedDirection {
            pacer,
            delay_timer: None,
            message_bytes: 0,
            last_transfer_at: Instant::now(),
        }
    }

    fn is_paced(&self) -> bool {
        self.pacer.rate.is_some()
    }

    /// Returns ready when the next bytes may be transferred.
    fn poll_ready_to_transfer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(sleep) = &mut self.delay_timer {
                ready!(sleep.as_mut().poll(cx));
                self.delay_timer = None;
                // A delay by the pacer doesn't end the message.
                self.last_transfer_at = Instant::now();
            }
            let now = Instant::now();
            if self.message_bytes < UNPACED_PREFIX_BYTES
                || now - self.last_transfer_at > NEW_MESSAGE_GAP
            {
                return Poll::Ready(());
            }
            match self.pacer.delay(now) {
                Some(delay) => self.delay_timer = Some(Box::pin(tokio::time::sleep(delay))),
                None => return Poll::Ready(()),
            }
        }
    }

    fn charge(&mut self, bytes: usize) {
        let now = Instant::now();
        if now - self.last_transfer_at > NEW_MESSAGE_GAP {
            self.message_bytes = 0;
        }
        self.message_bytes += bytes;
        self.last_transfer_at = now;
        self.pacer.charge(bytes, now);
    }
}

/// A stream whose reads and writes are paced.
#[derive(Debug)]
pub struct PacedStream<S> {
    stream: S,
    reads: PacedDirection,
    writes: PacedDirection,
}

impl<S> PacedStream<S> {
    /// Wraps a stream so that its reads and writes are paced by the two directions of a link.
    pub fn new(stream: S, pacers: LinkPacers) -> PacedStream<S> {
        PacedStream {
            stream,
            reads: PacedDirection::new(pacers.inbound),
            writes: PacedDirection::new(pacers.outbound),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if !this.reads.is_paced() {
            return Pin::new(&mut this.stream).poll_read(cx, buf);
        }
        ready!(this.reads.poll_ready_to_transfer(cx));
        let mut chunk_buf = [0; CHUNK_MAX_BYTES];
        let size = buf.remaining().min(CHUNK_MAX_BYTES);
        let mut chunk = ReadBuf::new(&mut chunk_buf[..size]);
        ready!(Pin::new(&mut this.stream).poll_read(cx, &mut chunk))?;
        buf.put_slice(chunk.filled());
        this.reads.charge(chunk.filled().len());
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PacedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if !this.writes.is_paced() {
            return Pin::new(&mut this.stream).poll_write(cx, buf);
        }
        ready!(this.writes.poll_ready_to_transfer(cx));
        let chunk = &buf[..buf.len().min(CHUNK_MAX_BYTES)];
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, chunk))?;
        this.writes.charge(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
