//! Rate limits that the leader infers for owners whose keys get more requests than they can serve.
//!
//! Entry hosts then send such an owner only what it can serve: its queue stays short, so that it gives keys away
//! soon, and callers are refused at once and not after their time has passed.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Mono;
use crate::rate_limit::RateLimit;

use super::key_rates::KeyRates;
use super::model::Incarnation;

/// Demand relative to the capacity above which a limit is inferred.
const START_FACTOR: f64 = 1.25;
/// Demand relative to the capacity below which the limit ends.
const END_FACTOR: f64 = 0.8;
/// Standard deviations of the measured demand that must lie above the capacity: requests come unevenly.
const START_DEVIATIONS: f64 = 2.0;
/// The limit relative to the capacity. The rest shortens the queue.
const LIMIT_FACTOR: f64 = 0.9;
/// Minimum time for which a limit stays as it is, in milliseconds: each change is sent to all entry hosts.
const UNCHANGED_MIN_MS: u64 = 1_000;
/// Relative difference from which a limit in force is changed.
const CHANGE_MIN: f64 = 0.3;
/// Maximum number of limits. Under a load that is too high everywhere, permits for all owners would delay all
/// requests, and there is nowhere to move keys to.
const LIMITS_MAX: usize = 32;

/// The requests for one owner's keys, and how many it can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerDemand {
    /// The owner.
    pub owner: Incarnation,
    /// Requests per second at all entry hosts.
    pub per_s: f64,
    /// Requests per second that it can serve.
    pub capacity_per_s: f64,
}

impl OwnerDemand {
    fn ratio(&self) -> f64 {
        self.per_s / self.capacity_per_s
    }

    fn is_excessive(&self) -> bool {
        let noise = START_DEVIATIONS * KeyRates::recent_deviation(self.per_s);
        self.ratio() > START_FACTOR && self.per_s - noise > self.capacity_per_s
    }
}

/// A limit that began, changed or ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The upstream.
    pub upstream: Incarnation,
    /// The limit before.
    pub before: Option<RateLimit>,
    /// The limit from now on.
    pub limit: Option<RateLimit>,
    /// The demand that it follows from, in requests per second; 0 if the upstream owns no keys any more.
    pub demand_per_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Inferred {
    limit: RateLimit,
    changed_at: Mono,
}

/// The inferred limits of one leader. They aren't replicated: a new leader infers them anew within a second.
#[derive(Clone, Debug, Default)]
pub struct InferredLimits {
    limits: BTreeMap<Incarnation, Inferred>,
}

impl InferredLimits {
    /// Infers the limits from the demand for all owners, and returns those that changed.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::directory::inferred_limits::{InferredLimits, OwnerDemand};
    /// use carobreel::directory::model::Incarnation;
    ///
    /// let owner = Incarnation { id: "u1".to_string(), born_ms: 1 };
    /// let demand = |per_s| OwnerDemand { owner: owner.clone(), per_s, capacity_per_s: 12.0 };
    /// let mut inferred = InferredLimits::default();
    /// assert!(inferred.update(vec![demand(9.0)], Mono(0)).is_empty());
    /// let changes = inferred.update(vec![demand(360.0)], Mono(150));
    /// assert_eq!(changes[0].limit.unwrap().milli_per_s(), 10_800);
    /// let changes = inferred.update(vec![demand(6.0)], Mono(1_150));
    /// assert_eq!(changes[0].limit, None);
    /// ```
    pub fn update(&mut self, demands: Vec<OwnerDemand>, now: Mono) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        let owners: BTreeSet<&Incarnation> = demands.iter().map(|d| &d.owner).collect();
        let is_lost = |owner: &Incarnation| !owners.contains(owner);
        let lost: Vec<Incarnation> = self.limits.keys().filter(|o| is_lost(o)).cloned().collect();
        for owner in lost {
            let before = self.limits.remove(&owner).map(|i| i.limit);
            changes.push(LimitChange {
                upstream: owner,
                before,
                limit: None,
                demand_per_s: 0.0,
            });
        }
        let mut new = Vec::new();
        for demand in demands {
            let limit = RateLimit::from_per_s(demand.capacity_per_s * LIMIT_FACTOR);
            let Some(inferred) = self.limits.get_mut(&demand.owner) else {
                if demand.is_excessive() {
                    new.extend(limit.map(|limit| (demand, limit)));
                }
                continue;
            };
            if now.since(inferred.changed_at) < UNCHANGED_MIN_MS {
                continue;
            }
            let before = inferred.limit;
            let after = limit.filter(|_| demand.ratio() >= END_FACTOR);
            let is_changed = after.is_none_or(|limit| is_other(before, limit));
            if !is_changed {
                continue;
            }
            match after {
                Some(limit) => {
                    *inferred = Inferred {
                        limit,
                        changed_at: now,
                    }
                }
                None => {
                    self.limits.remove(&demand.owner);
                }
            }
            changes.push(LimitChange {
                upstream: demand.owner,
                before: Some(before),
                limit: after,
                demand_per_s: demand.per_s,
            });
        }
        // The owners that need it most come first.
        new.sort_by(|a, b| b.0.ratio().total_cmp(&a.0.ratio()));
        let room = LIMITS_MAX.saturating_sub(self.limits.len());
        for (demand, limit) in new.into_iter().take(room) {
            let inferred = Inferred {
                limit,
                changed_at: now,
            };
            self.limits.insert(demand.owner.clone(), inferred);
            changes.push(LimitChange {
                upstream: demand.owner,
                before: None,
                limit: Some(limit),
                demand_per_s: demand.per_s,
            });
        }
        changes
    }
}

fn is_other(before: RateLimit, after: RateLimit) -> bool {
    let (before, after) = (before.milli_per_s() as f64, after.milli_per_s() as f64);
    (after - before).abs() > CHANGE_MIN * before
}
