//! Keeps bulk traffic below a link's bandwidth: datagrams between processes are lost on a full link, and
//! with them the word of new configurations and of upstreams that leave.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

use crate::lock::lock;

/// The share of a link, in percent, that paced traffic may take in each direction. Headers of packets take
/// some 5% more, and control on a link of 5 Mbit/s up to 5%.
const LINK_PERCENT: f64 = 80.0;
/// Bytes that one read or write moves at most, so that connections take turns.
const TURN_BYTES: usize = 8 << 10;
/// The first bytes of a message pass without waiting, so that short answers don't stand behind long ones.
/// They count against the link all the same.
const SHORT_BYTES: usize = 4 << 10;
/// After a pause this long a connection carries a new message.
const MESSAGE_PAUSE: Duration = Duration::from_millis(60);
/// What may pass at once after a pause, as the time that the link takes for it.
const BURST: Duration = Duration::from_millis(30);

/// One direction of a link; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    inner: Option<Arc<Inner>>,
}

#[derive(Debug)]
struct Inner {
    bytes_per_s: f64,
    used: Mutex<Used>,
}

/// What has passed: the time until which the link is busy with it.
#[derive(Debug)]
struct Used {
    until: Instant,
}

impl Pacer {
    /// Returns a pacer for a link of so many megabits a second, or one that lets everything pass.
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
    /// assert_eq!(pacer.wait(now), None);
    /// pacer.charge(100_000, now);
    /// assert!(pacer.wait(now).is_some_and(|d| d > Duration::from_millis(900)));
    /// assert_eq!(Pacer::new(None).wait(now), None);
    /// ```
    pub fn new(link_mbps: Option<f64>) -> Pacer {
        let inner = link_mbps.map(|mbps| Inner {
            bytes_per_s: mbps * 1_000_000.0 / 8.0 * LINK_PERCENT / 100.0,
            used: Mutex::new(Used {
                until: Instant::now(),
            }),
        });
        Pacer {
            inner: inner.map(Arc::new),
        }
    }

    /// Returns how long the next bytes have to wait, if at all.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let inner = self.inner.as_ref()?;
        let until = lock(&inner.used).until;
        let wait = until.saturating_duration_since(now + BURST);
        (!wait.is_zero()).then_some(wait)
    }

    /// Notes bytes that pass.
    pub fn charge(&self, bytes: usize, now: Instant) {
        let Some(inner) = &self.inner else {
            return;
        };
        let mut used = lock(&inner.used);
        let takes = Duration::from_secs_f64(bytes as f64 / inner.bytes_per_s);
        used.until = used.until.max(now) + takes;
    }
}

/// Both directions of a host's link; clones share them.
#[derive(Clone, Debug, Default)]
pub struct LinkPacers {
    /// What comes from callers and upstreams.
    pub inbound: Pacer,
    /// What goes to them.
    pub outbound: Pacer,
}

impl LinkPacers {
    /// Returns pacers for a link of so many megabits a second in each direction, or none.
    pub fn new(link_mbps: Option<f64>) -> LinkPacers {
        LinkPacers {
            inbound: Pacer::new(link_mbps),
            outbound: Pacer::new(link_mbps),
        }
    }
}

/// One direction of a connection.
#[derive(Debug)]
struct Flow {
    pacer: Pacer,
    waiting: Option<Pin<Box<Sleep>>>,
    /// Bytes of the message that is under way.
    passed: usize,
    passed_at: Instant,
}

impl Flow {
    fn new(pacer: Pacer) -> Flow {
        Flow {
            pacer,
            waiting: None,
            passed: 0,
            passed_at: Instant::now(),
        }
    }

    fn is_paced(&self) -> bool {
        self.pacer.inner.is_some()
    }

    /// Waits for this flow's turn.
    fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(sleep) = &mut self.waiting {
                ready!(sleep.as_mut().poll(cx));
                self.waiting = None;
                // A wait for the link isn't a pause of the message.
                self.passed_at = Instant::now();
            }
            let now = Instant::now();
            if self.passed < SHORT_BYTES || now - self.passed_at > MESSAGE_PAUSE {
                return Poll::Ready(());
            }
            match self.pacer.wait(now) {
                Some(wait) => self.waiting = Some(Box::pin(tokio::time::sleep(wait))),
                None => return Poll::Ready(()),
            }
        }
    }

    fn charge(&mut self, bytes: usize) {
        let now = Instant::now();
        if now - self.passed_at > MESSAGE_PAUSE {
            self.passed = 0;
        }
        self.passed += bytes;
        self.passed_at = now;
        self.pacer.charge(bytes, now);
    }
}

/// A connection whose reads and writes are paced.
#[derive(Debug)]
pub struct Paced<S> {
    stream: S,
    reads: Flow,
    writes: Flow,
}

impl<S> Paced<S> {
    /// Paces what is read and what is written by a link's two directions.
    pub fn new(stream: S, link: LinkPacers) -> Paced<S> {
        Paced {
            stream,
            reads: Flow::new(link.inbound),
            writes: Flow::new(link.outbound),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Paced<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if !this.reads.is_paced() {
            return Pin::new(&mut this.stream).poll_read(cx, buf);
        }
        ready!(this.reads.poll_turn(cx));
        let mut part = [0; TURN_BYTES];
        let size = buf.remaining().min(TURN_BYTES);
        let mut turn = ReadBuf::new(&mut part[..size]);
        ready!(Pin::new(&mut this.stream).poll_read(cx, &mut turn))?;
        buf.put_slice(turn.filled());
        this.reads.charge(turn.filled().len());
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Paced<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if !this.writes.is_paced() {
            return Pin::new(&mut this.stream).poll_write(cx, buf);
        }
        ready!(this.writes.poll_turn(cx));
        let turn = &buf[..buf.len().min(TURN_BYTES)];
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, turn))?;
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
