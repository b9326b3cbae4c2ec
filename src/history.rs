//! Checks what callers were told against what upstreams ran.
//!
//! The specification is a register per key that holds one owner, whose fences only grow, and a set
//! of request ids each of which is run at most once.

use std::collections::BTreeMap;
use std::fmt;

use crate::slot::KeyHash;
use crate::standin::RequestRun;

/// What a caller was told about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedOutcome {
    /// A whole answer.
    Answered,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One try of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedAttempt {
    /// The request id, unique to the request; its resends carry it too.
    pub id: String,
    /// What the caller was told.
    pub outcome: ReportedOutcome,
    /// Whether the answer named another request's path.
    pub is_misrouted: bool,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two upstreams worked on one key at the same time.
    TwoOwners {
        /// The key.
        key: KeyHash,
        /// The earlier run.
        first: RequestRun,
        /// The run that overlaps it.
        second: RequestRun,
    },
    /// An owner ran a request after a later owner had begun.
    OldOwner {
        /// The key.
        key: KeyHash,
        /// The run under the lower fence.
        run: RequestRun,
        /// The fence that was seen before.
        newer_fence: u64,
    },
    /// A request that may not be repeated ran more than once.
    RanTwice {
        /// The request id.
        id: String,
        /// How often.
        times: usize,
    },
    /// A caller was told that a request was not run, but it ran.
    RanThoughRefused {
        /// The request id.
        id: String,
    },
    /// A caller got an answer, but the request never ran.
    AnsweredThoughNotRun {
        /// The request id.
        id: String,
    },
    /// A caller got another request's answer.
    ForeignAnswer {
        /// The request id.
        id: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Checks that each key had one owner at a time and that fences never went back.
///
/// # Examples
///
/// ```
/// use carobreel::history::check_owners;
///
/// assert!(check_owners(&[]).is_empty());
/// ```
pub fn check_owners(runs: &[RequestRun]) -> Vec<Violation> {
    let mut by_key: BTreeMap<(&str, KeyHash), Vec<&RequestRun>> = BTreeMap::new();
    for run in runs {
        if let Some(key) = run.key {
            by_key.entry((&run.service, key)).or_default().push(run);
        }
    }
    let mut violations = Vec::new();
    for ((_, key), mut runs) in by_key {
        runs.sort_by_key(|r| r.began_us);
        check_key(key, &runs, &mut violations);
    }
    violations
}

fn check_key(key: KeyHash, runs: &[&RequestRun], violations: &mut Vec<Violation>) {
    let mut last_by_owner: BTreeMap<&str, &RequestRun> = BTreeMap::new();
    let mut newest: Option<&RequestRun> = None;
    for run in runs {
        for (owner, last) in &last_by_owner {
            if *owner != run.upstream && last.ended_us > run.began_us {
                violations.push(Violation::TwoOwners {
                    key,
                    first: (*last).clone(),
                    second: (*run).clone(),
                });
            }
        }
        if let Some(newer) = newest {
            if newer.upstream != run.upstream && newer.fence > run.fence {
                violations.push(Violation::OldOwner {
                    key,
                    run: (*run).clone(),
                    newer_fence: newer.fence.unwrap_or(0),
                });
            }
        }
        if newest.is_none_or(|n| run.fence >= n.fence) {
            newest = Some(run);
        }
        let last = last_by_owner.entry(&run.upstream).or_insert(run);
        if run.ended_us > last.ended_us {
            *last = run;
        }
    }
}

/// Checks requests that may not be repeated: what ran against what callers were told.
pub fn check_at_most_once(runs: &[RequestRun], attempts: &[ReportedAttempt]) -> Vec<Violation> {
    let mut times: BTreeMap<&str, usize> = BTreeMap::new();
    for id in runs.iter().filter_map(|r| r.id.as_deref()) {
        *times.entry(id).or_default() += 1;
    }
    let mut violations = Vec::new();
    for (id, times) in &times {
        if *times > 1 {
            violations.push(Violation::RanTwice {
                id: id.to_string(),
                times: *times,
            });
        }
    }
    let mut attempts_by_id: BTreeMap<&str, Vec<&ReportedAttempt>> = BTreeMap::new();
    for t in attempts {
        attempts_by_id.entry(&t.id).or_default().push(t);
    }
    for (id, attempts) in attempts_by_id {
        let ran = times.get(id).copied().unwrap_or(0) > 0;
        let all_refused = attempts
            .iter()
            .all(|t| t.outcome == ReportedOutcome::NotRun);
        if ran && all_refused {
            violations.push(Violation::RanThoughRefused { id: id.to_string() });
        }
        if !ran
            && attempts
                .iter()
                .any(|t| t.outcome == ReportedOutcome::Answered)
        {
            violations.push(Violation::AnsweredThoughNotRun { id: id.to_string() });
        }
        if attempts.iter().any(|t| t.is_misrouted) {
            violations.push(Violation::ForeignAnswer { id: id.to_string() });
        }
    }
    violations
}

/// Returns the imbalance of work: the busiest upstream's runs over the mean.
///
/// # Examples
///
/// ```
/// use carobreel::history::imbalance;
///
/// assert_eq!(imbalance(&[10, 10, 40]), 2.0);
/// ```
pub fn imbalance(runs_by_upstream: &[usize]) -> f64 {
    let total: usize = runs_by_upstream.iter().sum();
    let busiest = runs_by_upstream.iter().max().copied().unwrap_or(0);
    if total == 0 {
        return 1.0;
    }
    busiest as f64 * runs_by_upstream.len() as f64 / total as f64
}
