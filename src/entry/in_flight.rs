//! Tracks the keyed requests in flight by owner, so that a revocation is acknowledged only after
//! they have ended.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::{oneshot, watch};

use crate::cell::state::UpstreamId;

/// The request was routed by an older routing table and must be routed again.
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
    by_upstream: BTreeMap<UpstreamId, BTreeMap<u64, OpenRequest>>,
    /// The versions at which an upstream's slots were revoked, while older requests are in flight to it.
    revoked_at: BTreeMap<UpstreamId, BTreeSet<u64>>,
}

impl Inner {
    fn drained(&mut self) -> u64 {
        let mut drained = self.version;
        let by_upstream = &self.by_upstream;
        self.revoked_at.retain(|id, versions| {
            let in_flight = by_upstream.get(id);
            let oldest = in_flight.and_then(|f| f.values().map(|o| o.version).min());
            versions.retain(|version| oldest.is_some_and(|oldest| oldest < *version));
            if let Some(first) = versions.first() {
                drained = drained.min(*first - 1);
            }
            !versions.is_empty()
        });
        drained
    }
}

/// The keyed requests in flight, by owner; clones share them.
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

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: InFlightRequests,
    upstream: UpstreamId,
    id: u64,
}

impl InFlightRequests {
    /// Registers a request that was routed by the routing table of `version`. Returns its guard,
    /// and a receiver that is signalled when the request must be aborted.
    ///
    /// # Errors
    ///
    /// Returns [`StaleVersion`] when a newer table is in use already.
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
        inner
            .by_upstream
            .entry(upstream)
            .or_default()
            .insert(id, open);
        let guard = InFlightGuard {
            in_flight: self.clone(),
            upstream,
            id,
        };
        Ok((guard, aborted))
    }

    /// Sets the version of the routing table in use, with which slots of the `revoked` upstreams
    /// were revoked.
    pub fn advance(&self, version: u64, revoked: &[UpstreamId]) {
        let mut inner = self.lock();
        inner.version = inner.version.max(version);
        for id in revoked {
            inner.revoked_at.entry(*id).or_default().insert(version);
        }
        self.publish_drained(&mut inner);
    }

    /// Aborts the requests to an upstream that were routed before `version`, and returns their
    /// number.
    pub fn abort(&self, upstream: UpstreamId, version: u64) -> u64 {
        let mut inner = self.lock();
        let mut count = 0;
        let Some(in_flight) = inner.by_upstream.get_mut(&upstream) else {
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

    /// Returns the newest version whose revoked owners have no older requests in flight here.
    pub fn drained(&self) -> u64 {
        self.lock().drained()
    }

    /// Returns a receiver of the changes of [`InFlightRequests::drained`].
    pub fn watch_drained(&self) -> watch::Receiver<u64> {
        self.drained.subscribe()
    }

    /// Returns the number of requests in flight to all owners.
    pub fn count(&self) -> u64 {
        self.lock()
            .by_upstream
            .values()
            .map(|f| f.len() as u64)
            .sum()
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
        let Some(in_flight) = inner.by_upstream.get_mut(&self.upstream) else {
            return;
        };
        in_flight.remove(&self.id);
        if in_flight.is_empty() {
            inner.by_upstream.remove(&self.upstream);
        }
        if !inner.revoked_at.is_empty() {
            self.in_flight.publish_drained(&mut inner);
        }
    }
}
