//! What this entry host knows of requests that upstreams had when they ended: the leader's list, and what it has
//! seen itself.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Mono;
use crate::directory::model::Incarnation;
use crate::directory::protocol::Update;
use crate::directory::suspects::{
    Acquittal, BrokenRequest, Crash, CrashReport, ListedSuspect, Stage, SuspectId,
};

/// Ends of upstreams that this host has seen itself after which it sends a request only as a trial. It matters
/// while the leader can't be reached.
const TRIAL_AFTER_OWN_CRASHES: usize = 2;
/// How long this host remembers what it has seen itself, in milliseconds.
const SEEN_KEPT_MS: u64 = 3_600_000;
/// Maximum number of requests that this host remembers itself; the oldest goes first.
const SEEN_MAX: usize = 512;
/// Maximum number of reports that wait for the leader; further ones are dropped.
const REPORTS_MAX: usize = 256;
/// Maximum time for which the answer that no trial may begin is kept, in milliseconds: an operator or a release of
/// the upstreams may change it.
const NO_TRIAL_KEPT_MAX_MS: u64 = 600_000;

/// What this host has seen of a request itself.
#[derive(Debug)]
struct SeenSuspect {
    ended: BTreeSet<Incarnation>,
    last_at: Mono,
}

/// When the leader allows the next trial of a request.
#[derive(Clone, Copy, Debug)]
struct NextTrial {
    /// When the leader may be asked again.
    ask_at: Mono,
    /// When a trial may begin.
    due_at: Mono,
}

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Unsuspected,
    /// An upstream ended while it had the request: this host doesn't repeat it by itself.
    Noted,
    /// It may be sent only as a trial.
    TrialOnly {
        /// How the leader treats it.
        stage: Stage,
        /// The time until the leader may be asked for a trial, in milliseconds.
        ask_in_ms: u64,
        /// The time until a trial may begin, as far as this host knows, in milliseconds.
        due_in_ms: u64,
    },
}

/// Reports for the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reports {
    /// The ends of upstreams.
    pub crashes: Vec<CrashReport>,
    /// The answers to suspected requests.
    pub acquittals: Vec<Acquittal>,
    /// Requests that were to be tried but weren't run.
    pub unused_trials: Vec<SuspectId>,
}

impl Reports {
    /// Returns the number of reports.
    pub fn len(&self) -> usize {
        self.crashes.len() + self.acquittals.len() + self.unused_trials.len()
    }

    /// Reports whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The suspected requests as known to one entry host.
#[derive(Debug, Default)]
pub struct SuspectBook {
    listed: BTreeMap<SuspectId, ListedSuspect>,
    version: u64,
    seen: BTreeMap<SuspectId, SeenSuspect>,
    next_trials: BTreeMap<SuspectId, NextTrial>,
    outgoing: Reports,
    /// Whether reports were taken and not acknowledged yet.
    is_reporting: bool,
    dropped: u64,
}

impl SuspectBook {
    /// Reports whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.seen.is_empty()
    }

    /// Returns the version of the leader's list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the numbers of requests on trial and in quarantine.
    pub fn counts(&self) -> (u64, u64) {
        let quarantined = |s: &&ListedSuspect| s.stage == Stage::Quarantined;
        let quarantined = self.listed.values().filter(quarantined).count() as u64;
        (self.listed.len() as u64 - quarantined, quarantined)
    }

    /// Reports whether a request to this service is suspected.
    pub fn has_suspects_of(&self, service: &str) -> bool {
        let mut known = self.listed.keys().chain(self.seen.keys());
        known.any(|id| id.service == service)
    }

    /// Takes over the leader's list. Returns whether it changed.
    pub fn learn(&mut self, update: &Update) -> bool {
        if update.suspects_version == self.version {
            return false;
        }
        self.version = update.suspects_version;
        if update.suspects_complete {
            // What the leader has cleared is clear here as well.
            let listed = std::mem::take(&mut self.listed);
            for id in listed.into_keys() {
                self.seen.remove(&id);
                self.next_trials.remove(&id);
            }
        }
        for suspect in &update.suspects {
            self.next_trials.remove(&suspect.id);
            self.listed.insert(suspect.id.clone(), suspect.clone());
        }
        true
    }

    /// Returns how a request is to be treated.
    pub fn verdict(&mut self, id: &SuspectId, now: Mono) -> Verdict {
        let seen = self.seen.get(id).map_or(0, |s| s.ended.len());
        let stage = match self.listed.get(id) {
            Some(listed) => listed.stage,
            None if seen >= TRIAL_AFTER_OWN_CRASHES => Stage::OnTrial,
            None if seen > 0 => return Verdict::Noted,
            None => return Verdict::Unsuspected,
        };
        let next = self.next_trials.get(id);
        Verdict::TrialOnly {
            stage,
            ask_in_ms: next.map_or(0, |n| n.ask_at.since(now)),
            due_in_ms: next.map_or(0, |n| n.due_at.since(now)),
        }
    }

    /// Records that the leader allows no trial for `wait_ms`.
    pub fn record_no_trial(&mut self, id: &SuspectId, wait_ms: u64, now: Mono) {
        let next = NextTrial {
            ask_at: now.plus(wait_ms.min(NO_TRIAL_KEPT_MAX_MS)),
            due_at: now.plus(wait_ms),
        };
        self.next_trials.insert(id.clone(), next);
    }

    /// Records that the leader doesn't suspect a request: other hosts have got answers to it. What this host has seen
    /// stays as long as the leader may not know it.
    pub fn record_not_suspected(&mut self, id: &SuspectId) {
        if !self.is_reporting && self.outgoing.crashes.is_empty() {
            self.seen.remove(id);
        }
    }

    /// Returns the ends of upstreams that had a request, as the leader lists them.
    pub fn crashes_of(&self, id: &SuspectId) -> &[Crash] {
        self.listed.get(id).map_or(&[], |s| s.crashes.as_slice())
    }

    /// Records that an upstream ended while it had requests of this host.
    pub fn record_crash(
        &mut self,
        service: &str,
        upstream: &Incarnation,
        requests: Vec<BrokenRequest>,
        at_ms: u64,
        now: Mono,
    ) {
        for request in &requests {
            let id = SuspectId {
                service: service.to_string(),
                digest: request.digest,
            };
            let seen = self.seen.entry(id).or_insert_with(|| SeenSuspect {
                ended: BTreeSet::new(),
                last_at: now,
            });
            seen.ended.insert(upstream.clone());
            seen.last_at = now;
        }
        self.forget_old(now);
        if self.outgoing.len() >= REPORTS_MAX {
            self.dropped += 1;
            return;
        }
        self.outgoing.crashes.push(CrashReport {
            service: service.to_string(),
            upstream: upstream.clone(),
            requests,
            at_ms,
        });
    }

    fn forget_old(&mut self, now: Mono) {
        self.seen
            .retain(|_, seen| now.since(seen.last_at) < SEEN_KEPT_MS);
        while self.seen.len() > SEEN_MAX {
            let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.last_at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            self.seen.remove(&id);
        }
    }

    /// Records that an upstream answered a request. Returns whether that has to be reported.
    pub fn record_answer(
        &mut self,
        id: &SuspectId,
        upstream: &Incarnation,
        is_trial: bool,
    ) -> bool {
        let was_seen = self.seen.remove(id).is_some();
        if !was_seen && !self.listed.contains_key(id) {
            return false;
        }
        if self.outgoing.len() >= REPORTS_MAX {
            self.dropped += 1;
            return false;
        }
        self.outgoing.acquittals.push(Acquittal {
            id: id.clone(),
            upstream: upstream.clone(),
            is_trial,
        });
        true
    }

    /// Records that a request that was to be tried wasn't run.
    pub fn record_unused_trial(&mut self, id: &SuspectId) {
        self.outgoing.unused_trials.push(id.clone());
    }

    /// Reports whether there is something to report.
    pub fn has_reports(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Takes the reports for the leader.
    pub fn take_reports(&mut self) -> Reports {
        self.is_reporting = true;
        std::mem::take(&mut self.outgoing)
    }

    /// Records that the leader has acknowledged the reports.
    pub fn record_reported(&mut self) {
        self.is_reporting = false;
    }

    /// Returns reports that the leader didn't acknowledge.
    pub fn put_back(&mut self, reports: Reports) {
        self.is_reporting = false;
        let later = std::mem::replace(&mut self.outgoing, reports);
        self.outgoing.crashes.extend(later.crashes);
        self.outgoing.acquittals.extend(later.acquittals);
        self.outgoing.unused_trials.extend(later.unused_trials);
    }

    /// Returns the number of reports dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
