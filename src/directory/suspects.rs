//! Requests that are suspected of ending the upstreams that run them.
//!
//! An upstream that ends breaks all requests that it has, so one crash names many. A request that was there when
//! two upstreams ended is sent only as a trial, one host's at a time; an answer clears it, and a trial that ends its
//! upstream puts it in quarantine. All of this is replicated: it outlives leaders, hosts and losses of power.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::request_digest::RequestDigest;

use super::model::{Incarnation, Upstream};

/// Ends of upstreams after which a request is sent only as a trial.
const TRIAL_AFTER_CRASHES: usize = 2;
/// Trials without a result after which a request that was there at more crashes is put in quarantine.
const UNDECIDED_TRIALS_MAX: u32 = 2;
/// Maximum number of suspected requests. Beyond it, the one with the fewest crashes and the oldest change goes.
pub const SUSPECTS_MAX: usize = 1_024;
/// Maximum number of crashes that are kept for a request.
const CRASHES_KEPT_MAX: usize = 8;
/// Maximum number of crashes that entry hosts are told of a request.
const CRASHES_LISTED_MAX: usize = 3;
/// Maximum number of versions of upstreams that are remembered for a request.
const VERSIONS_KEPT_MAX: usize = 16;

/// A request to a service. At another service the same request may do no harm.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SuspectId {
    /// The service.
    pub service: String,
    /// The digest of the request.
    pub digest: RequestDigest,
}

/// The end of an upstream that had a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The upstream.
    pub upstream: Incarnation,
    /// The version of its software; empty if unknown.
    pub version: String,
    /// The entry host that reported it first.
    pub host: String,
    /// When that host noticed it, in Unix milliseconds.
    pub at_ms: u64,
}

/// A request that was broken by the end of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRequest {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// Whether it was sent as a trial.
    pub is_trial: bool,
}

/// An entry host's report of the end of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The service.
    pub service: String,
    /// The upstream.
    pub upstream: Incarnation,
    /// The host's requests that the upstream had.
    pub requests: Vec<BrokenRequest>,
    /// When the host noticed it, in Unix milliseconds.
    pub at_ms: u64,
}

impl CrashReport {
    /// Returns what one of its requests is suspected as.
    pub fn id_of(&self, request: &BrokenRequest) -> SuspectId {
        SuspectId {
            service: self.service.clone(),
            digest: request.digest,
        }
    }
}

/// An entry host's report that an upstream answered a suspected request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquittal {
    /// The request.
    pub id: SuspectId,
    /// The upstream that answered.
    pub upstream: Incarnation,
    /// Whether the request was sent as a trial.
    pub is_trial: bool,
}

/// How a suspected request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It is sent like others.
    Noted,
    /// It is sent only as a trial.
    OnTrial,
    /// It is refused but for rare trials.
    Quarantined,
}

impl Stage {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Noted => "noted",
            Stage::OnTrial => "on trial",
            Stage::Quarantined => "quarantined",
        }
    }
}

/// What is known of one suspected request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The ends of upstreams that had it, oldest first.
    pub crashes: Vec<Crash>,
    /// The number of trials begun.
    pub trials: u32,
    /// Whether a trial ended its upstream.
    pub trial_failed: bool,
    /// Versions of upstreams at which it was tried after all earlier ones had been replaced.
    tried_versions: BTreeSet<String>,
    /// The log index of the last change.
    changed_at: u64,
}

impl Suspect {
    /// Returns how the request is treated.
    pub fn stage(&self) -> Stage {
        let is_undecided =
            self.crashes.len() > TRIAL_AFTER_CRASHES && self.trials >= UNDECIDED_TRIALS_MAX;
        if self.trial_failed || is_undecided {
            Stage::Quarantined
        } else if self.crashes.len() >= TRIAL_AFTER_CRASHES {
            Stage::OnTrial
        } else {
            Stage::Noted
        }
    }

    fn has_ended(&self, upstream: &Incarnation) -> bool {
        self.crashes.iter().any(|c| c.upstream == *upstream)
    }

    /// Reports whether the end of `upstream` with this request, perhaps as a trial, is known.
    fn knows(&self, upstream: &Incarnation, is_trial: bool) -> bool {
        self.has_ended(upstream) && (self.trial_failed || !is_trial)
    }

    /// Reports whether none of `versions` has ended with this request or was tried with it.
    pub fn is_untried_at(&self, versions: &BTreeSet<String>) -> bool {
        let mut known = self.crashes.iter().map(|c| &c.version);
        !versions.is_empty()
            && known.all(|version| !versions.contains(version))
            && self.tried_versions.is_disjoint(versions)
    }
}

/// A suspected request as sent to entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedSuspect {
    /// The request.
    pub id: SuspectId,
    /// How it is treated.
    pub stage: Stage,
    /// The ends of upstreams that had it, oldest first.
    pub crashes: Vec<Crash>,
}

/// A change of how a request is treated, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectChange {
    /// The request.
    pub id: SuspectId,
    /// The stage before; `None` for a request that wasn't suspected.
    pub before: Option<Stage>,
    /// The stage after; `None` for a request that is no longer suspected.
    pub after: Option<Stage>,
    /// The number of crashes known.
    pub crashes: u64,
}

/// All suspected requests.
///
/// # Examples
///
/// ```
/// use carobreel::directory::model::Incarnation;
/// use carobreel::directory::suspects::{BrokenRequest, CrashReport, Stage, SuspectId, Suspects};
/// use carobreel::request_digest::{RequestDigest, RequestParts};
///
/// let parts = RequestParts { method: "GET", host: "a", target: "/x", caller: b"", body: b"" };
/// let digest = RequestDigest::of(parts);
/// let mut suspects = Suspects::default();
/// for (index, upstream) in [(1, "u1"), (2, "u2")] {
///     let report = CrashReport {
///         service: "maps".to_string(),
///         upstream: Incarnation { id: upstream.to_string(), born_ms: 1 },
///         requests: vec![BrokenRequest { digest, is_trial: false }],
///         at_ms: 0,
///     };
///     suspects.record_crash(index, "e1", &report, "v1");
/// }
/// let id = SuspectId { service: "maps".to_string(), digest };
/// assert_eq!(suspects.get(&id).map(|s| s.stage()), Some(Stage::OnTrial));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    by_id: BTreeMap<SuspectId, Suspect>,
    /// The log index of the last change that entry hosts have to know.
    version: u64,
    /// The log index at which a listed request was last removed.
    last_removal: u64,
}

impl Suspects {
    /// Returns what is known of a request.
    pub fn get(&self, id: &SuspectId) -> Option<&Suspect> {
        self.by_id.get(id)
    }

    /// Returns the version of the list for entry hosts.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of suspected requests.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Reports whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Reports whether a report names a crash that isn't known for one of its requests.
    pub fn is_news(&self, report: &CrashReport) -> bool {
        report.requests.iter().any(|request| {
            let id = report.id_of(request);
            let known = self.by_id.get(&id);
            !known.is_some_and(|s| s.knows(&report.upstream, request.is_trial))
        })
    }

    /// Records the end of an upstream with software `version`, as reported by `host`.
    pub fn record_crash(
        &mut self,
        index: u64,
        host: &str,
        report: &CrashReport,
        version: &str,
    ) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        for request in &report.requests {
            let id = report.id_of(request);
            let before = self.by_id.get(&id).map(Suspect::stage);
            let suspect = self.by_id.entry(id.clone()).or_default();
            if suspect.knows(&report.upstream, request.is_trial) {
                continue;
            }
            suspect.trial_failed |= request.is_trial;
            let is_new = !suspect.has_ended(&report.upstream);
            if is_new && suspect.crashes.len() < CRASHES_KEPT_MAX {
                suspect.crashes.push(Crash {
                    upstream: report.upstream.clone(),
                    version: version.to_string(),
                    host: host.to_string(),
                    at_ms: report.at_ms,
                });
            }
            suspect.changed_at = index;
            let after = suspect.stage();
            if after > Stage::Noted {
                self.version = index;
            }
            changes.push(SuspectChange {
                id,
                before,
                after: Some(after),
                crashes: suspect.crashes.len() as u64,
            });
        }
        while self.by_id.len() > SUSPECTS_MAX {
            let oldest = self.by_id.iter().min_by_key(|(_, s)| {
                let crashes = s.crashes.len();
                (s.stage(), crashes, s.changed_at)
            });
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            changes.extend(self.remove(index, &id));
        }
        changes
    }

    /// Records that an upstream with software `version` answered a request. This clears the request of the
    /// crashes of that version. Out of quarantine only a trial gets it.
    pub fn acquit(
        &mut self,
        index: u64,
        acquittal: &Acquittal,
        version: &str,
    ) -> Option<SuspectChange> {
        let id = &acquittal.id;
        let suspect = self.by_id.get_mut(id)?;
        let before = suspect.stage();
        if acquittal.is_trial {
            return self.remove(index, id);
        }
        if before == Stage::Quarantined {
            return None;
        }
        suspect.crashes.retain(|c| c.version != version);
        if suspect.crashes.is_empty() {
            return self.remove(index, id);
        }
        let after = suspect.stage();
        if after == Stage::Noted && before > after {
            self.last_removal = index;
        }
        suspect.changed_at = index;
        self.version = index;
        Some(SuspectChange {
            id: id.clone(),
            before: Some(before),
            after: Some(after),
            crashes: suspect.crashes.len() as u64,
        })
    }

    /// Records that a trial of a request begins at upstreams with these versions of their software.
    pub fn begin_trial(&mut self, index: u64, id: &SuspectId, versions: &BTreeSet<String>) {
        let Some(suspect) = self.by_id.get_mut(id) else {
            return;
        };
        let before = suspect.stage();
        suspect.trials += 1;
        if suspect.tried_versions.len() < VERSIONS_KEPT_MAX {
            suspect.tried_versions.extend(versions.iter().cloned());
        }
        suspect.changed_at = index;
        if suspect.stage() != before {
            self.version = index;
        }
    }

    /// Records that a trial ended before the request was run.
    pub fn take_back_trial(&mut self, index: u64, id: &SuspectId) {
        let Some(suspect) = self.by_id.get_mut(id) else {
            return;
        };
        let before = suspect.stage();
        suspect.trials = suspect.trials.saturating_sub(1);
        suspect.changed_at = index;
        if suspect.stage() != before {
            self.version = index;
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, index: u64, id: &SuspectId) -> Option<SuspectChange> {
        let suspect = self.by_id.remove(id)?;
        let before = suspect.stage();
        if before > Stage::Noted {
            self.last_removal = index;
            self.version = index;
        }
        Some(SuspectChange {
            id: id.clone(),
            before: Some(before),
            after: None,
            crashes: suspect.crashes.len() as u64,
        })
    }

    /// Returns the requests on trial or in quarantine that changed since version `known`, and whether these are all,
    /// so that others must be dropped.
    pub fn listed_since(&self, known: u64) -> (Vec<ListedSuspect>, bool) {
        let is_complete = known < self.last_removal || known > self.version;
        let is_new =
            |s: &Suspect| s.stage() > Stage::Noted && (is_complete || s.changed_at > known);
        let listed = self.by_id.iter().filter(|(_, s)| is_new(s));
        let listed = listed.map(|(id, s)| ListedSuspect {
            id: id.clone(),
            stage: s.stage(),
            crashes: s.crashes.iter().take(CRASHES_LISTED_MAX).cloned().collect(),
        });
        (listed.collect(), is_complete)
    }
}

/// Returns the versions of the ready upstreams of a service.
pub fn ready_versions<'a>(
    upstreams: impl Iterator<Item = &'a Upstream>,
    service: &str,
) -> BTreeSet<String> {
    let of_service = upstreams.filter(|u| u.service == service && u.is_ready());
    of_service.map(|u| u.version.clone()).collect()
}
