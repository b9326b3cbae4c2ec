//! Decides when a suspected request may be tried again. Only a leader does this, and it keeps what it knows to
//! itself: a new leader waits for the trials that its predecessor may have begun.

use std::collections::BTreeMap;

use crate::clock::Mono;

use super::state::Command;
use super::suspects::{Stage, Suspect, SuspectId};

/// Maximum time that a trial takes, in milliseconds.
pub const TRIAL_MAX_MS: u64 = 5_000;
/// Delay of the trials of a request in quarantine, in milliseconds; the last one repeats. With a trial before the
/// quarantine, no more than three fall within a day.
const QUARANTINE_TRIAL_DELAYS_MS: [u64; 2] = [2 * 3_600_000, 24 * 3_600_000];

/// A trial that has begun.
#[derive(Clone, Debug)]
struct RunningTrial {
    id: SuspectId,
    until: Mono,
}

/// When a request in quarantine may be tried, for a number of earlier trials.
#[derive(Clone, Copy, Debug)]
struct DueTime {
    trials: u32,
    due_at: Mono,
}

/// The trials of one leader.
#[derive(Debug)]
pub struct Trials {
    starts_from: Mono,
    /// The trial that runs, by service: two at once couldn't be told apart if they ended the same upstream.
    running: BTreeMap<String, RunningTrial>,
    due: BTreeMap<SuspectId, DueTime>,
}

impl Trials {
    /// Returns the trials of a leader that was elected at `elected_at`.
    pub fn new(elected_at: Mono) -> Trials {
        Trials {
            starts_from: elected_at.plus(TRIAL_MAX_MS),
            running: BTreeMap::new(),
            due: BTreeMap::new(),
        }
    }

    /// Returns the time until a request may be tried, in milliseconds. `is_replaced` tells whether all upstreams
    /// that it ended have been replaced by another version.
    pub fn wait_ms(
        &mut self,
        id: &SuspectId,
        suspect: &Suspect,
        is_replaced: bool,
        now: Mono,
    ) -> u64 {
        let running = self.running.get(&id.service);
        let running_ms = running.map_or(0, |trial| trial.until.since(now));
        let due_ms = match suspect.stage() {
            Stage::Quarantined if !is_replaced => self.due_ms(id, suspect.trials, now),
            _ => 0,
        };
        running_ms.max(due_ms).max(self.starts_from.since(now))
    }

    fn due_ms(&mut self, id: &SuspectId, trials: u32, now: Mono) -> u64 {
        let known = self.due.get(id).filter(|due| due.trials == trials);
        let due_at = match known {
            Some(due) => due.due_at,
            None => {
                let last = QUARANTINE_TRIAL_DELAYS_MS.len() - 1;
                // The first trial is the one that led to the quarantine.
                let n = (trials.saturating_sub(1) as usize).min(last);
                let due_at = now.plus(QUARANTINE_TRIAL_DELAYS_MS[n]);
                self.due.insert(id.clone(), DueTime { trials, due_at });
                due_at
            }
        };
        due_at.since(now)
    }

    /// Records that a trial begins that ends after at most `for_ms`.
    pub fn begin(&mut self, id: &SuspectId, for_ms: u64, now: Mono) {
        let trial = RunningTrial {
            id: id.clone(),
            until: now.plus(for_ms.min(TRIAL_MAX_MS)),
        };
        self.running.insert(id.service.clone(), trial);
    }

    /// Ends the trials whose results a command contains. A trial runs until its result is applied, since the request
    /// could be tried again otherwise before it is in quarantine.
    pub fn finish_all(&mut self, command: &Command) {
        let Command::RecordCrashes {
            crashes,
            acquittals,
            unused_trials,
            ..
        } = command
        else {
            return;
        };
        for report in crashes {
            for request in report.requests.iter().filter(|r| r.is_trial) {
                self.finish(&report.id_of(request));
            }
        }
        let answered = acquittals.iter().filter(|a| a.is_trial).map(|a| &a.id);
        for id in answered.chain(unused_trials) {
            self.finish(id);
        }
    }

    /// Records that the result of a trial is known.
    fn finish(&mut self, id: &SuspectId) {
        let running = self.running.get(&id.service);
        if running.is_some_and(|trial| trial.id == *id) {
            self.running.remove(&id.service);
        }
    }

    /// Forgets requests for which `is_suspected` returns false.
    pub fn retain(&mut self, is_suspected: impl Fn(&SuspectId) -> bool) {
        self.due.retain(|id, _| is_suspected(id));
    }
}
