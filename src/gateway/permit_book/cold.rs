//! The limits of cold upstreams. They are part of the directory's state: a host that has lost contact with it keeps
//! them, and sends these upstreams nothing once its permits are over.

use super::*;
use crate::event::list_names;

impl LimitedUpstream {
    /// Reports whether a permit allows a request now. Permits from before the upstream became cold aren't spaced for
    /// a cold one.
    pub(super) fn is_usable(&self, permit: &Permit, now: Mono) -> bool {
        let is_within_limit = self
            .effective(now)
            .is_some_and(|limit| permit.limit <= limit);
        is_within_limit && now < permit.expires_at && (permit.is_cold || self.cold.is_none())
    }

    /// Reports whether nothing is left to know about the upstream.
    fn is_unused(&self) -> bool {
        let was_named = self.observed_at != Mono(0) || self.malformed.is_some();
        self.cold.is_none() && self.inferred.is_none() && !was_named && self.waiters.is_empty()
    }
}

impl PermitBook {
    /// Reports whether an upstream is cold and has a limit for that reason.
    pub fn is_cold(&self, upstream: &Incarnation) -> bool {
        self.upstreams
            .get(upstream)
            .is_some_and(|entry| entry.cold.is_some())
    }

    /// Sets the limits of all cold upstreams, and returns the event to log if any of them became cold or warm.
    pub fn set_cold_limits(
        &mut self,
        limits: &BTreeMap<Incarnation, RateLimit>,
        now: Mono,
    ) -> Option<Event> {
        let mut became_warm = Vec::new();
        for (upstream, entry) in &mut self.upstreams {
            if entry.cold.is_some() && !limits.contains_key(upstream) {
                entry.cold = None;
                entry.drop_unusable_permits(now);
                became_warm.push(upstream.id.clone());
            }
        }
        let mut became_cold = Vec::new();
        for (upstream, limit) in limits {
            let is_new = !self.upstreams.contains_key(upstream);
            let entry = self.upstreams.entry(upstream.clone()).or_default();
            // The leader knows the limits of cold upstreams; only named ones are reported to it.
            entry.is_reported |= is_new;
            if entry.cold.replace(*limit).is_none() {
                became_cold.push(upstream.id.clone());
            }
            entry.drop_unusable_permits(now);
        }
        self.upstreams.retain(|_, entry| !entry.is_unused());
        let has_changed = !became_cold.is_empty() || !became_warm.is_empty();
        has_changed.then(|| Event::ColdUpstreamsChanged {
            cold: limits.len() as u64,
            became_cold: became_cold.len() as u64,
            became_warm: became_warm.len() as u64,
            names: list_names(became_cold, ","),
            warm_names: list_names(became_warm, ","),
        })
    }
}
