//! Limits that the directory's leader infers for upstreams that are full.

use super::*;

/// How long an inferred limit is in force without being confirmed by the leader, in milliseconds. Each update confirms
/// it; with 700 entry hosts, one comes every 1.75 s.
const INFERRED_LIFETIME_MS: u64 = 3_000;
/// How long an upstream is remembered after its inferred limit ended, in milliseconds. The requests sent until then
/// have ended.
const ENDED_KEPT_MS: u64 = 10_000;

impl LimitedUpstream {
    /// Returns the limit in force: the lowest of those that the upstream has.
    pub(super) fn effective(&self, now: Mono) -> Option<RateLimit> {
        let inferred = self.inferred.filter(|_| now < self.inferred_until);
        lowest_limit([self.limit, self.cold, inferred])
    }

    /// Reports whether the upstream ever announced a limit, as far as this host knows.
    pub(super) fn was_announced(&self) -> bool {
        self.observed_at > Mono(0)
    }

    /// Reports whether the limit in force is one that the leader inferred.
    pub(super) fn is_inferred(&self, now: Mono) -> bool {
        self.effective(now) != lowest_limit([self.limit, self.cold])
    }

    /// Takes over the limit that the leader infers now. Returns the event to log if it changed.
    pub(super) fn set_inferred(
        &mut self,
        upstream: &Incarnation,
        inferred: Option<RateLimit>,
        now: Mono,
    ) -> Option<Event> {
        let before = self.inferred.filter(|_| now < self.inferred_until);
        self.inferred = inferred.or(self.inferred);
        self.inferred_until = match inferred {
            Some(_) => now.plus(INFERRED_LIFETIME_MS),
            None => self.inferred_until.min(now),
        };
        (before != inferred).then(|| Event::InferredLimitChanged {
            upstream: upstream.id.clone(),
            from_milli_per_s: before.map_or(0, RateLimit::milli_per_s),
            to_milli_per_s: inferred.map_or(0, RateLimit::milli_per_s),
        })
    }
}

impl PermitBook {
    /// Reports whether requests to an upstream need permits.
    pub fn needs_permit(&self, upstream: &Incarnation, now: Mono) -> bool {
        let known = self.upstreams.get(upstream);
        known.is_some_and(|u| u.effective(now).is_some())
    }

    /// Reports whether the limit of an upstream is one that the leader inferred.
    pub fn is_inferred(&self, upstream: &Incarnation, now: Mono) -> bool {
        let known = self.upstreams.get(upstream);
        known.is_some_and(|u| u.is_inferred(now))
    }

    /// Reports whether a limit that the leader inferred was in force at some time since `since`.
    pub fn was_inferred_since(&self, upstream: &Incarnation, since: Mono) -> bool {
        let known = self.upstreams.get(upstream);
        known.is_some_and(|u| u.inferred.is_some() && u.inferred_until > since)
    }

    pub(super) fn learn_inferred(&mut self, reports: &[LimitReport], now: Mono) -> Vec<Event> {
        let mut events = Vec::new();
        for report in reports {
            if report.inferred.is_none() && !self.upstreams.contains_key(&report.upstream) {
                continue;
            }
            let entry = self.upstreams.entry(report.upstream.clone());
            let entry = entry.or_insert_with(|| LimitedUpstream {
                // There is nothing that the leader doesn't know.
                is_reported: true,
                ..LimitedUpstream::default()
            });
            events.extend(entry.set_inferred(&report.upstream, report.inferred, now));
        }
        events
    }

    /// Forgets upstreams that had an inferred limit only, a while after it ended.
    pub fn forget_ended(&mut self, now: Mono) {
        self.upstreams.retain(|_, u| {
            let is_kept = now < u.inferred_until.plus(ENDED_KEPT_MS);
            u.cold.is_some()
                || u.was_announced()
                || u.malformed.is_some()
                || is_kept
                || !u.waiters.is_empty()
        });
    }
}
