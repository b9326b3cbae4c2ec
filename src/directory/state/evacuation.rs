//! Evacuated availability zones in the replicated state.

use super::super::model::{Phase, Upstream};
use super::State;

impl State {
    /// Reports whether an upstream is in an evacuated availability zone, so that it gets no requests and is granted no
    /// new keys.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::state::{Command, State};
    ///
    /// let mut state = State::default();
    /// let order = |is_evacuated| Command::SetEvacuation {
    ///     zone: "a".to_string(),
    ///     is_evacuated,
    /// };
    /// state.apply(7, order(true));
    /// state.apply(8, order(true));
    /// assert_eq!(state.versions.evacuations, 7);
    /// state.apply(9, order(false));
    /// assert!(state.evacuated_zones.is_empty());
    /// assert_eq!(state.versions.evacuations, 9);
    /// ```
    pub fn is_evacuated(&self, upstream: &Upstream) -> bool {
        self.evacuated_zones.contains(&upstream.zone)
    }

    /// Returns the version of the evacuations once the entry at `index` is applied that sets whether a zone is
    /// evacuated. A repeated order doesn't change it.
    pub(in crate::directory) fn evacuations_version_after(
        &self,
        index: u64,
        zone: &str,
        is_evacuated: bool,
    ) -> u64 {
        match self.evacuated_zones.contains(zone) == is_evacuated {
            true => self.versions.evacuations,
            false => index,
        }
    }

    /// Begins or ends the evacuation of an availability zone.
    pub(super) fn set_evacuation(&mut self, index: u64, zone: String, is_evacuated: bool) {
        if self.evacuated_zones.contains(&zone) == is_evacuated {
            return;
        }
        self.versions.evacuations = index;
        if is_evacuated {
            self.evacuated_zones.insert(zone);
        } else {
            self.evacuated_zones.remove(&zone);
            self.mark_cold(index, &zone);
        }
    }

    /// Marks the upstreams of an availability zone as cold whose service has a cold limit: they may have become cold
    /// while they had no requests. Their next heartbeat says whether they are.
    fn mark_cold(&mut self, index: u64, zone: &str) {
        let services = self.config.as_ref().map(|c| &c.config.services);
        let has_cold_limit = |service: &str| {
            let service = services.and_then(|s| s.get(service));
            service.is_some_and(|s| s.cold_limit.is_some())
        };
        for (id, upstream) in &mut self.upstreams {
            let may_be_cold = upstream.zone == zone
                && upstream.phase != Phase::Gone
                && has_cold_limit(&upstream.service);
            if may_be_cold && !upstream.is_cold {
                upstream.is_cold = true;
                self.change_indexes.insert(id.clone(), index);
                self.versions.upstreams = index;
            }
        }
    }
}

/// Returns the names of availability zones, separated by commas.
pub fn join_zones<'a>(zones: impl IntoIterator<Item = &'a String>) -> String {
    let zones: Vec<&str> = zones.into_iter().map(String::as_str).collect();
    zones.join(",")
}
