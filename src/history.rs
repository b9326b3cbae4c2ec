//! Checks the outcomes reported to callers against the requests that upstreams ran.
//!
//! The specification: each key has one owner at a time, the fencing tokens of successive owners only grow,
//! and each request id is run at most once.

use std::collections::BTreeMap;
use std::fmt;

use crate::slot::KeyHash;
use crate::standin::RequestRun;

/// Outcome of a request as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedOutcome {
    /// The caller received a complete answer.
    Answered,
    /// The request was not run.
    NotRun,
    /// The request may have been run.
    Unknown,
}

/// One attempt of a caller to send a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedAttempt {
    /// Id of the request; unique per request and shared by its resends.
    pub id: String,
    /// Outcome reported to the caller.
    pub outcome: ReportedOutcome,
    /// Whether the answer contained the path of another request.
    pub has_foreign_answer: bool,
}

/// A violation of the specification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two upstreams ran requests of one key at the same time.
    TwoOwners {
        /// The key.
        key: KeyHash,
        /// The earlier run.
        first: RequestRun,
        /// The run that overlaps it.
        second: RequestRun,
    },
    /// An upstream ran a request under a lower fencing token after a later owner had started.
    OldOwner {
        /// The key.
        key: KeyHash,
        /// The run under the lower fencing token.
        run: RequestRun,
        /// The higher fencing token seen before.
        newer_fence: u64,
    },
    /// A request that must not be repeated was run more than once.
    RanTwice {
        /// Id of the request.
        id: String,
        /// Number of runs.
        times: usize,
    },
    /// A request was run although every attempt was reported as not run.
    RanThoughRefused {
        /// Id of the request.
        id: String,
    },
    /// A caller received an answer to a request that was never run.
    AnsweredThoughNotRun {
        /// Id of the request.
        id: String,
    },
    /// A caller received the answer to another request.
    ForeignAnswer {
        /// Id of the request.
        id: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Checks that each key had one owner at a time and that fencing tokens never decreased.
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

/// Checks that non-repeatable requests ran at most once and as reported to their callers.
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
    for attempt in attempts {
        attempts_by_id.entry(&attempt.id).or_default().push(attempt);
    }
    for (id, attempts) in attempts_by_id {
        let ran = times.get(id).copied().unwrap_or(0) > 0;
        let all_refused = attempts
            .iter()
            .all(|a| a.outcome == ReportedOutcome::NotRun);
        if ran && all_refused {
            violations.push(Violation::RanThoughRefused { id: id.to_string() });
        }
        if !ran
            && attempts
                .iter()
                .any(|a| a.outcome == ReportedOutcome::Answered)
        {
            violations.push(Violation::AnsweredThoughNotRun { id: id.to_string() });
        }
        if attempts.iter().any(|a| a.has_foreign_answer) {
            violations.push(Violation::ForeignAnswer { id: id.to_string() });
        }
    }
    violations
}

/// Returns the imbalance of runs: the maximum per upstream over the mean.
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
