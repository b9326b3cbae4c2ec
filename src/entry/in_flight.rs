//! Requests in flight to owners, so that a revocation is acknowledged only when they are over.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{oneshot, watch};

use crate::cell::state::UpstreamId;

/// The table moved on; the request must be routed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleVersion;

#[derive(Debug)]
struct OpenRequest {
    version: u64,
    abort: Option<oneshot::Sender<()>>,
}

#[derive(Debug, Default)]
struct Inner {
    version: u64,
    next_id: u64,
    open: BTreeMap<UpstreamId, BTreeMap<u64, OpenRequest>>,
    frozen: BTreeMap<UpstreamId, u64>,
}

impl Inner {
    fn drained(&mut self) -> u64 {
        let mut drained = self.version;
        let open = &self.open;
        self.frozen.retain(|id, frozen_at| {
            let in_flight = open.get(id);
            let has_older_requests =
                in_flight.is_some_and(|f| f.values().any(|o| o.version < *frozen_at));
            if has_older_requests {
                drained = drained.min(*frozen_at - 1);
            }
            has_older_requests
        });
        drained
    }
}

/// Requests in flight by owner; clones share them.
#[derive(Clone, Debug)]
pub struct InFlightRequests {
    inner: Arc<Mutex<Inner>>,
    drained: watch::Sender<u64>,
}

impl Default for InFlightRequests {
    fn default() -> InFlightRequests {
        InFlightRequests {
            inner: Arc::default(),
            drained: watch::channel(0).0,
        }
    }
}

/// One request in flight; dropping it ends the flight.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: InFlightRequests,
    upstream: UpstreamId,
    id: u64,
}

impl InFlightRequests {
    /// Begins a request that was routed by the table of `version`.
    ///
    /// # Errors
    ///
    /// [`StaleVersion`] when a newer table is in use already.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::cell::state::UpstreamId;
    /// use carobreel::entry::in_flight::InFlightRequests;
    ///
    /// let in_flight = InFlightRequests::default();
    /// in_flight.advance(1, &[]);
    /// let (guard, _abort) = in_flight.begin(UpstreamId(7), 1).unwrap();
    /// in_flight.advance(2, &[UpstreamId(7)]);
    /// assert_eq!(in_flight.drained(), 1);
    /// drop(guard);
    /// assert_eq!(in_flight.drained(), 2);
    /// ```
    pub fn begin(
        &self,
        upstream: UpstreamId,
        version: u64,
    ) -> Result<(InFlightGuard, oneshot::Receiver<()>), StaleVersion> {
        let mut inner = self.lock();
        if version < inner.version {
            return Err(StaleVersion);
        }
        let id = inner.next_id;
        inner.next_id += 1;
        let (abort, aborted) = oneshot::channel();
        let open = OpenRequest {
            version,
            abort: Some(abort),
        };
        inner.open.entry(upstream).or_default().insert(id, open);
        let guard = InFlightGuard {
            in_flight: self.clone(),
            upstream,
            id,
        };
        Ok((guard, aborted))
    }

    /// Takes a new table into use, in which slots of the `frozen` upstreams were revoked.
    pub fn advance(&self, version: u64, frozen: &[UpstreamId]) {
        let mut inner = self.lock();
        inner.version = inner.version.max(version);
        for id in frozen {
            inner.frozen.insert(*id, version);
        }
        self.publish_drained(&mut inner);
    }

    /// Cuts off requests to an upstream that were routed before `version`; returns their number.
    pub fn abort(&self, upstream: UpstreamId, version: u64) -> u64 {
        let mut inner = self.lock();
        let mut count = 0;
        let Some(in_flight) = inner.open.get_mut(&upstream) else {
            return 0;
        };
        for open in in_flight.values_mut().filter(|o| o.version < version) {
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

    /// Returns a watch of [`InFlightRequests::drained`].
    pub fn watch_drained(&self) -> watch::Receiver<u64> {
        self.drained.subscribe()
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> u64 {
        self.lock().open.values().map(|f| f.len() as u64).sum()
    }

    fn publish_drained(&self, inner: &mut Inner) {
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

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut inner = self.in_flight.lock();
        let Some(in_flight) = inner.open.get_mut(&self.upstream) else {
            return;
        };
        in_flight.remove(&self.id);
        if in_flight.is_empty() {
            inner.open.remove(&self.upstream);
        }
        if !inner.frozen.is_empty() {
            self.in_flight.publish_drained(&mut inner);
        }
    }
}
