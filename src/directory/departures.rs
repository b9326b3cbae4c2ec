//! Traces of upstream processes that have left. Announcements arrive late and in any order: without a trace, one
//! that was sent before the process left would bring it back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Mono;

use super::model::{Incarnation, Phase};

/// The maximum number of traces; the oldest ones are removed first.
const DEPARTURES_MAX: usize = 4_096;
/// How long a trace is kept, in milliseconds. Announcements are late by seconds, and by as long as a host is cut
/// off.
const KEPT_MS: u64 = 600_000;
/// The interval between two searches for expired traces, in milliseconds.
const EXPIRY_CHECK_MS: u64 = 1_000;

/// The newest process with an id that is known to have left, or whose record was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Departure {
    born_ms: u64,
    phase: Phase,
    /// The log index at which the trace was made.
    index: u64,
}

/// Traces by upstream id, a part of the replicated state.
///
/// # Examples
///
/// ```
/// use carobreel::directory::departures::Departures;
/// use carobreel::directory::model::{Incarnation, Phase};
///
/// let process = |born_ms| Incarnation { id: "i-1".to_string(), born_ms };
/// let mut departures = Departures::default();
/// departures.record(1, &process(20), Phase::Gone);
/// assert_eq!(departures.phase_of(&process(20)), Some(Phase::Gone));
/// assert_eq!(departures.phase_of(&process(10)), Some(Phase::Gone), "an earlier process");
/// assert_eq!(departures.phase_of(&process(30)), None, "a later process");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    by_id: BTreeMap<String, Departure>,
}

impl Departures {
    /// Records that a process had reached `phase` when it left or its record was removed.
    pub fn record(&mut self, index: u64, incarnation: &Incarnation, phase: Phase) {
        let Incarnation { id, born_ms } = incarnation;
        let phase = match self.by_id.get(id) {
            Some(known) if known.born_ms > *born_ms => return,
            Some(known) if known.born_ms == *born_ms => phase.max(known.phase),
            _ => phase,
        };
        let departure = Departure {
            born_ms: *born_ms,
            phase,
            index,
        };
        self.by_id.insert(id.clone(), departure);
        if self.by_id.len() > DEPARTURES_MAX {
            let oldest = self.by_id.iter().min_by_key(|(_, d)| d.index);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.by_id.remove(&id);
            }
        }
    }

    /// Returns the earliest phase that a process can be in, or `None` if it hasn't left.
    pub fn phase_of(&self, incarnation: &Incarnation) -> Option<Phase> {
        let departure = self.by_id.get(&incarnation.id)?;
        match departure.born_ms.cmp(&incarnation.born_ms) {
            std::cmp::Ordering::Greater => Some(Phase::Gone),
            std::cmp::Ordering::Equal => Some(departure.phase),
            std::cmp::Ordering::Less => None,
        }
    }

    /// Removes the trace of an id once a later process has registered under it.
    pub(super) fn supersede(&mut self, incarnation: &Incarnation) {
        let departure = self.by_id.get(&incarnation.id);
        if departure.is_some_and(|d| d.born_ms < incarnation.born_ms) {
            self.by_id.remove(&incarnation.id);
        }
    }

    /// Removes traces, named by id and log index, unless they were made anew.
    pub(super) fn remove_all(&mut self, expired: &[(String, u64)]) {
        for (id, index) in expired {
            if self.by_id.get(id).is_some_and(|d| d.index == *index) {
                self.by_id.remove(id);
            }
        }
    }

    /// Returns the number of traces.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Reports whether there are no traces.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

/// How long a leader has known each trace.
#[derive(Debug, Default)]
pub(super) struct DepartureAges {
    /// The log index of each trace and when this leader first saw it, by id.
    seen: BTreeMap<String, (u64, Mono)>,
    checked_at: Mono,
}

impl DepartureAges {
    /// Returns the traces to remove, by id and log index.
    pub(super) fn expired(&mut self, departures: &Departures, now: Mono) -> Vec<(String, u64)> {
        if now.since(self.checked_at) < EXPIRY_CHECK_MS {
            return Vec::new();
        }
        self.checked_at = now;
        let is_current =
            |id: &String, index: u64| departures.by_id.get(id).is_some_and(|d| d.index == index);
        self.seen.retain(|id, (index, _)| is_current(id, *index));
        for (id, departure) in &departures.by_id {
            if !self.seen.contains_key(id) {
                self.seen.insert(id.clone(), (departure.index, now));
            }
        }
        let expired = self
            .seen
            .iter()
            .filter(|(_, (_, at))| now.since(*at) > KEPT_MS);
        expired
            .map(|(id, (index, _))| (id.clone(), *index))
            .collect()
    }
}
