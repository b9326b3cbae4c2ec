//! Requests in flight to owners, so that a revocation is acknowledged only when they are over.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{oneshot, watch};

use crate::cell::state::UpstreamId;

/// The table moved on; the request must be routed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outdated;

#[derive(Debug)]
struct Open {
    version: u64,
    abort: Option<oneshot::Sender<()>>,
}

#[derive(Debug, Default)]
struct Inner {
    version: u64,
    next: u64,
    open: BTreeMap<UpstreamId, BTreeMap<u64, Open>>,
    frozen: BTreeMap<UpstreamId, u64>,
}

impl Inner {
    fn drained(&mut self) -> u64 {
        let mut drained = self.version;
        let open = &self.open;
        self.frozen.retain(|id, frozen_at| {
            let flights = open.get(id);
            let older = flights.is_some_and(|f| f.values().any(|o| o.version < *frozen_at));
            if older {
                drained = drained.min(*frozen_at - 1);
            }
            older
        });
        drained
    }
}

/// Requests in flight by owner; clones share them.
#[derive(Clone, Debug)]
pub struct Flights {
    inner: Arc<Mutex<Inner>>,
    drained: watch::Sender<u64>,
}

impl Default for Flights {
    fn default() -> Flights {
        Flights {
            inner: Arc::default(),
            drained: watch::channel(0).0,
        }
    }
}

/// One request in flight; dropping it ends the flight.
#[derive(Debug)]
pub struct Flight {
    flights: Flights,
    upstream: UpstreamId,
    id: u64,
}

impl Flights {
    /// Begins a request that was routed by the table of `version`.
    ///
    /// # Errors
    ///
    /// [`Outdated`] when a newer table is in use already.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::cell::state::UpstreamId;
    /// use carobreel::entry::flight::Flights;
    ///
    /// let flights = Flights::default();
    /// flights.advance(1, &[]);
    /// let (flight, _abort) = flights.enter(UpstreamId(7), 1).unwrap();
    /// flights.advance(2, &[UpstreamId(7)]);
    /// assert_eq!(flights.drained(), 1);
    /// drop(flight);
    /// assert_eq!(flights.drained(), 2);
    /// ```
    pub fn enter(
        &self,
        upstream: UpstreamId,
        version: u64,
    ) -> Result<(Flight, oneshot::Receiver<()>), Outdated> {
        let mut inner = self.lock();
        if version < inner.version {
            return Err(Outdated);
        }
        let id = inner.next;
        inner.next += 1;
        let (abort, aborted) = oneshot::channel();
        let open = Open {
            version,
            abort: Some(abort),
        };
        inner.open.entry(upstream).or_default().insert(id, open);
        let flight = Flight {
            flights: self.clone(),
            upstream,
            id,
        };
        Ok((flight, aborted))
    }

    /// Takes a new table into use, in which slots of the `frozen` upstreams were revoked.
    pub fn advance(&self, version: u64, frozen: &[UpstreamId]) {
        let mut inner = self.lock();
        inner.version = inner.version.max(version);
        for id in frozen {
            inner.frozen.insert(*id, version);
        }
        self.publish(&mut inner);
    }

    /// Cuts off requests to an upstream that were routed before `version`; returns their number.
    pub fn abort(&self, upstream: UpstreamId, version: u64) -> u64 {
        let mut inner = self.lock();
        let mut count = 0;
        let Some(flights) = inner.open.get_mut(&upstream) else {
            return 0;
        };
        for open in flights.values_mut().filter(|o| o.version < version) {
            if let Some(abort) = open.abort.take() {
                let _ = abort.send(());
                count += 1;
            }
        }
        count
    }

    /// Returns the newest version whose revocations are all over here.
    pub fn drained(&self) -> u64 {
        self.lock().drained()
    }

    /// Returns a watch of [`Flights::drained`].
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.drained.subscribe()
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> u64 {
        self.lock().open.values().map(|f| f.len() as u64).sum()
    }

    fn publish(&self, inner: &mut Inner) {
        let drained = inner.drained();
        self.drained.send_if_modified(|last| {
            let changed = *last != drained;
            *last = drained;
            changed
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        match self.inner.lock() {
            Ok(inner) => inner,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut inner = self.flights.lock();
        let Some(flights) = inner.open.get_mut(&self.upstream) else {
            return;
        };
        flights.remove(&self.id);
        if flights.is_empty() {
            inner.open.remove(&self.upstream);
        }
        if !inner.frozen.is_empty() {
            self.flights.publish(&mut inner);
        }
    }
}
