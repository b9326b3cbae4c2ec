//! Limits how many requests an entry host sends to one upstream at the same time, with a queue.
//!
//! The limit adapts to the upstream's capacity (additive increase, multiplicative decrease): it
//! grows by one per round of successes and shrinks by a third when the upstream sheds load or
//! doesn't answer. It stays within this host's share of the upstream's connections.
//!
//! Source: Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
//! Avoidance", 1989.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::oneshot;

use crate::clock::Mono;

/// The limit is multiplied by this when the upstream sheds load or doesn't answer.
const DECREASE_FACTOR: f64 = 0.67;
/// The weight of the newest request in the exponentially weighted mean of the time that a request
/// holds its permit.
const HOLD_TIME_EWMA_ALPHA: f64 = 0.1;

/// The error of a request that got no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded {
    /// The time until a permit is likely to be free, in milliseconds.
    pub retry_after_ms: u64,
}

#[derive(Debug)]
struct Inner {
    limit: f64,
    limit_max: f64,
    in_flight: usize,
    queue_max: usize,
    mean_hold_ms: f64,
    waiting: VecDeque<oneshot::Sender<Permit>>,
}

/// The limiter of one upstream; clones share it.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    inner: Arc<Mutex<Inner>>,
}

/// The right to send one request; dropping it passes it to the next request in the queue.
#[derive(Debug)]
pub struct Permit {
    limiter: ConcurrencyLimiter,
}

impl ConcurrencyLimiter {
    /// Returns a limiter whose limit starts at `initial` and grows to at most `limit_max`, and
    /// whose queue holds `queue_max` requests.
    pub fn new(initial: usize, limit_max: usize, queue_max: usize) -> ConcurrencyLimiter {
        let limit_max = limit_max.max(1) as f64;
        let inner = Inner {
            limit: (initial.max(1) as f64).min(limit_max),
            limit_max,
            in_flight: 0,
            queue_max,
            mean_hold_ms: 1.0,
            waiting: VecDeque::new(),
        };
        ConcurrencyLimiter {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Waits for a permit until `deadline`; refuses at once when the expected wait is longer.
    ///
    /// # Errors
    ///
    /// Returns [`Overloaded`] with the time after which a permit is likely to be free.
    pub async fn acquire(&self, now: Mono, deadline: Mono) -> Result<Permit, Overloaded> {
        let rx = match self.try_acquire(deadline.since(now))? {
            Admission::Admitted(permit) => return Ok(permit),
            Admission::Queued(rx) => rx,
        };
        let timeout = std::time::Duration::from_millis(deadline.since(now));
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(self.overloaded()),
        }
    }

    /// Returns the number of requests that hold a permit or wait for one.
    pub fn load(&self) -> usize {
        let inner = self.lock();
        inner.in_flight + inner.waiting.len()
    }

    /// Returns the current limit.
    pub fn limit(&self) -> f64 {
        self.lock().limit
    }

    /// Records an answer that took `hold_ms`, and raises the limit if it was nearly reached.
    pub fn record_success(&self, hold_ms: u64) {
        let mut inner = self.lock();
        let sample = hold_ms as f64;
        inner.mean_hold_ms += (sample - inner.mean_hold_ms) * HOLD_TIME_EWMA_ALPHA;
        if inner.in_flight as f64 + 1.0 >= inner.limit {
            inner.limit = (inner.limit + 1.0 / inner.limit).min(inner.limit_max);
        }
    }

    /// Lowers the limit because the upstream shed load or didn't answer.
    pub fn back_off(&self) {
        let mut inner = self.lock();
        inner.limit = (inner.limit * DECREASE_FACTOR).max(1.0);
    }

    fn try_acquire(&self, timeout_ms: u64) -> Result<Admission, Overloaded> {
        let mut inner = self.lock();
        if inner.has_capacity() {
            inner.in_flight += 1;
            return Ok(Admission::Admitted(Permit {
                limiter: self.clone(),
            }));
        }
        let expected_wait_ms = inner.expected_wait_ms();
        if inner.waiting.len() >= inner.queue_max || expected_wait_ms > timeout_ms {
            return Err(Overloaded {
                retry_after_ms: expected_wait_ms,
            });
        }
        let (tx, rx) = oneshot::channel();
        inner.waiting.push_back(tx);
        Ok(Admission::Queued(rx))
    }

    fn overloaded(&self) -> Overloaded {
        Overloaded {
            retry_after_ms: self.lock().expected_wait_ms(),
        }
    }

    fn release(&self) {
        let mut inner = self.lock();
        inner.in_flight -= 1;
        let mut admitted = Vec::new();
        while inner.has_capacity() {
            let Some(tx) = inner.waiting.pop_front() else {
                break;
            };
            if tx.is_closed() {
                continue;
            }
            inner.in_flight += 1;
            admitted.push(tx);
        }
        drop(inner);
        for tx in admitted {
            let _ = tx.send(Permit {
                limiter: self.clone(),
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        match self.inner.lock() {
            Ok(inner) => inner,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

impl Inner {
    fn has_capacity(&self) -> bool {
        (self.in_flight as f64) < self.limit.floor().max(1.0)
    }

    fn expected_wait_ms(&self) -> u64 {
        let rounds = (self.waiting.len() + 1) as f64 / self.limit.max(1.0);
        (rounds * self.mean_hold_ms).ceil() as u64
    }
}

enum Admission {
    Admitted(Permit),
    Queued(oneshot::Receiver<Permit>),
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.release();
    }
}
