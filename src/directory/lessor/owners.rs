//! Chooses the upstreams that may own keys, and assigns the keys that nobody owns yet.

use super::*;

/// How long the initial assignment waits for a service's upstreams to register, in milliseconds.
const DISCOVERY_MS: u64 = 1_000;
/// The number of ranges per upstream in the initial assignment.
const INITIAL_RANGES_PER_UPSTREAM: usize = 2;
/// With more upstreams than this, each one initially gets a single range: the leader renews every range.
const SINGLE_RANGE_ABOVE: usize = 128;

impl Lessor {
    /// Returns the upstreams that may own keys of a service.
    pub(super) fn candidates(
        &self,
        service: &str,
        state: &State,
        now: Mono,
    ) -> BTreeSet<Incarnation> {
        let eligible = self.eligible_upstreams(service, state, now);
        let allowed = self.in_allowed_regions(service, state, eligible);
        allowed.iter().map(|u| u.incarnation.clone()).collect()
    }

    /// Returns the upstreams that could own keys of a service in whichever region they are.
    pub(super) fn eligible_upstreams<'s>(
        &self,
        service: &str,
        state: &'s State,
        now: Mono,
    ) -> Vec<&'s Upstream> {
        let ready = state.upstreams.values().filter(|u| {
            u.service == service
                && u.phase == Phase::Ready
                && !state.is_evacuated(u)
                && !self.is_silent(&u.incarnation, now)
        });
        ready.collect()
    }

    /// Returns the upstreams among `candidates` that may be given keys: the warm ones, or all if none is warm. Cold ones
    /// keep what they own.
    pub(super) fn receivers(
        &self,
        candidates: &BTreeSet<Incarnation>,
        state: &State,
    ) -> BTreeSet<Incarnation> {
        let warm = candidates.iter().filter(|c| !state.is_limited_as_cold(c));
        let warm: BTreeSet<Incarnation> = warm.cloned().collect();
        match warm.is_empty() {
            true => candidates.clone(),
            false => warm,
        }
    }

    pub(super) fn is_silent(&self, incarnation: &Incarnation, now: Mono) -> bool {
        let heard_at = self
            .bounds
            .get(incarnation)
            .map_or(self.elected_at, |b| b.heard_at);
        now.since(heard_at) > SILENT_AFTER_MS
    }

    /// Assigns keys without an owner to the candidates, once per service.
    pub(super) fn assign_gaps(
        &mut self,
        service: &str,
        state: &State,
        now: Mono,
        output: &mut LessorOutput,
    ) {
        if self.initially_assigned.contains(service) {
            return;
        }
        let empty = KeyTable::default();
        let table = state.owners.get(service).unwrap_or(&empty);
        let gaps = table.gaps();
        if gaps.is_empty() {
            return;
        }
        let candidates = self.candidates(service, state, now);
        let warm = self.receivers(&candidates, state);
        // When all have just started, a few that are warm already couldn't serve all keys.
        let are_most_warm = warm.len() * 2 >= candidates.len();
        let candidates: Vec<Incarnation> = match are_most_warm {
            true => warm.into_iter().collect(),
            false => candidates.into_iter().collect(),
        };
        if candidates.is_empty() {
            return;
        }
        let started_at = *self.discovered_at.entry(service.to_string()).or_insert(now);
        if now.since(started_at) < DISCOVERY_MS {
            return;
        }
        self.initially_assigned.insert(service.to_string());
        let range_count = initial_ranges(candidates.len());
        for (from, to) in gaps {
            let keys = u32::from(to) - u32::from(from) + 1;
            let keys_per_range = keys.div_ceil(range_count as u32).max(1);
            for (n, start) in (u32::from(from)..=u32::from(to))
                .step_by(keys_per_range as usize)
                .enumerate()
            {
                let end = (start + keys_per_range - 1).min(u32::from(to));
                output.commands.push(Command::Assign {
                    service: service.to_string(),
                    from: start as Key,
                    to: end as Key,
                    owner: candidates[n % candidates.len()].clone(),
                });
            }
        }
    }
}

/// Returns the number of ranges that a service's keys are initially divided into.
fn initial_ranges(upstreams: usize) -> usize {
    match upstreams > SINGLE_RANGE_ABOVE {
        true => upstreams,
        false => upstreams * INITIAL_RANGES_PER_UPSTREAM,
    }
}
