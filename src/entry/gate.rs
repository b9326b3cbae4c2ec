//! How many requests an entry host sends to one upstream at once, and who waits.
//!
//! The limit follows what the upstream can take: it grows by one a round of successes and shrinks by
//! a third when the upstream sheds load or doesn't answer. It stays within this host's share of the
//! upstream's connections.
//!
//! Source: Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
//! Avoidance", 1989.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::oneshot;

use crate::clock::Mono;

/// What the limit is multiplied by when the upstream sheds load.
const DECREASE: f64 = 0.67;
/// The weight of the newest request in the mean time that a request holds its place.
const HOLD_NEWEST_SHARE: f64 = 0.1;

/// Why a request was not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed {
    /// When a place is likely to be free, in milliseconds.
    pub retry_after_ms: u64,
}

#[derive(Debug)]
struct Inner {
    limit: f64,
    limit_max: f64,
    in_flight: usize,
    queue_max: usize,
    hold_ms: f64,
    waiting: VecDeque<oneshot::Sender<Pass>>,
}

/// The gate of one upstream; clones share it.
#[derive(Clone, Debug)]
pub struct Gate {
    inner: Arc<Mutex<Inner>>,
}

/// A place at an upstream; dropping it gives the place to the next in line.
#[derive(Debug)]
pub struct Pass {
    gate: Gate,
}

impl Gate {
    /// Returns a gate that starts at `start` places and grows to `limit_max`.
    pub fn new(start: usize, limit_max: usize, queue_max: usize) -> Gate {
        let limit_max = limit_max.max(1) as f64;
        let inner = Inner {
            limit: (start.max(1) as f64).min(limit_max),
            limit_max,
            in_flight: 0,
            queue_max,
            hold_ms: 1.0,
            waiting: VecDeque::new(),
        };
        Gate {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Waits for a place until `deadline`; refuses at once when that is unlikely to be enough.
    ///
    /// # Errors
    ///
    /// [`Shed`] with the time after which a place is likely.
    pub async fn enter(&self, now: Mono, deadline: Mono) -> Result<Pass, Shed> {
        let rx = match self.try_enter(deadline.since(now))? {
            Entered::Pass(pass) => return Ok(pass),
            Entered::Queued(rx) => rx,
        };
        let patience = std::time::Duration::from_millis(deadline.since(now));
        match tokio::time::timeout(patience, rx).await {
            Ok(Ok(pass)) => Ok(pass),
            _ => Err(self.shed()),
        }
    }

    /// Returns the number of requests that hold a place or wait for one.
    pub fn load(&self) -> usize {
        let inner = self.lock();
        inner.in_flight + inner.waiting.len()
    }

    /// Returns the present limit.
    pub fn limit(&self) -> f64 {
        self.lock().limit
    }

    /// Notes an answer that took `held_ms` and widens the limit.
    pub fn succeed(&self, held_ms: u64) {
        let mut inner = self.lock();
        let held = held_ms as f64;
        inner.hold_ms += (held - inner.hold_ms) * HOLD_NEWEST_SHARE;
        if inner.in_flight as f64 + 1.0 >= inner.limit {
            inner.limit = (inner.limit + 1.0 / inner.limit).min(inner.limit_max);
        }
    }

    /// Notes that the upstream shed load or didn't answer, and narrows the limit.
    pub fn back_off(&self) {
        let mut inner = self.lock();
        inner.limit = (inner.limit * DECREASE).max(1.0);
    }

    fn try_enter(&self, patience_ms: u64) -> Result<Entered, Shed> {
        let mut inner = self.lock();
        if inner.has_room() {
            inner.in_flight += 1;
            return Ok(Entered::Pass(Pass { gate: self.clone() }));
        }
        let wait_ms = inner.wait_ms();
        if inner.waiting.len() >= inner.queue_max || wait_ms > patience_ms {
            return Err(Shed {
                retry_after_ms: wait_ms,
            });
        }
        let (tx, rx) = oneshot::channel();
        inner.waiting.push_back(tx);
        Ok(Entered::Queued(rx))
    }

    fn shed(&self) -> Shed {
        Shed {
            retry_after_ms: self.lock().wait_ms(),
        }
    }

    fn leave(&self) {
        let mut inner = self.lock();
        inner.in_flight -= 1;
        let mut next = Vec::new();
        while inner.has_room() {
            let Some(tx) = inner.waiting.pop_front() else {
                break;
            };
            if tx.is_closed() {
                continue;
            }
            inner.in_flight += 1;
            next.push(tx);
        }
        drop(inner);
        for tx in next {
            let _ = tx.send(Pass { gate: self.clone() });
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
    fn has_room(&self) -> bool {
        (self.in_flight as f64) < self.limit.floor().max(1.0)
    }

    fn wait_ms(&self) -> u64 {
        let rounds = (self.waiting.len() + 1) as f64 / self.limit.max(1.0);
        (rounds * self.hold_ms).ceil() as u64
    }
}

enum Entered {
    Pass(Pass),
    Queued(oneshot::Receiver<Pass>),
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.leave();
    }
}
