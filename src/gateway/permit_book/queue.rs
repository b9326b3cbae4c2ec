//! The requests that wait for permits of one upstream, in the order of their routes' priorities.

use super::*;

impl PermitBook {
    /// Queues a request before those of less urgent routes.
    pub fn wait_with_priority(
        &mut self,
        upstream: &Incarnation,
        priority: u32,
        wait_max_ms: u64,
        random: f64,
        now: Mono,
    ) -> Result<oneshot::Receiver<PermitOutcome>, u64> {
        let known = self.upstreams.get(upstream);
        let is_queue_full = known.is_some_and(|u| u.is_queue_full(self.entry_hosts, now));
        let is_too_late = wait_max_ms == 0 || self.asks_from.since(now) > wait_max_ms;
        if is_too_late || is_queue_full {
            return Err(self.refuse(upstream, random, now));
        }
        let (tx, rx) = oneshot::channel();
        let entry = self.upstreams.entry(upstream.clone()).or_default();
        let waiter = Waiter {
            tx,
            wait_until: now.plus(wait_max_ms),
            priority,
        };
        let position = entry.waiters.partition_point(|w| w.priority <= priority);
        entry.waiters.insert(position, waiter);
        Ok(rx)
    }
}
