//! The demand for the keys of each owner, and the owner's capacity.

use super::*;
use crate::directory::inferred_limits::{LimitChange, OwnerDemand};

/// The processing time that counts at most, as a multiple of the service's mean: times include what requests
/// waited behind others that no entry host knew of.
const SLOWNESS_MAX: f64 = 3.0;

impl Lessor {
    /// Infers limits for owners that get more requests than they can serve, once after each round of load plans, in
    /// which the counts have just decayed. Returns those that changed.
    pub fn infer_limits(&mut self, state: &State, now: Mono) -> Vec<LimitChange> {
        if std::mem::replace(&mut self.inferred_at, self.loads_planned_at) == self.loads_planned_at
        {
            return Vec::new();
        }
        let demands = self.owner_demands(state, now);
        self.inferred_limits.update(demands, now)
    }

    /// Returns the demand for the keys of all owners that can be reached. Services without measured processing times
    /// are left out.
    pub fn owner_demands(&self, state: &State, now: Mono) -> Vec<OwnerDemand> {
        let mut demands = Vec::new();
        let Some(stored) = &state.config else {
            return demands;
        };
        let sharded = stored.config.services.iter().filter(|(_, s)| s.sharded);
        for (service, _) in sharded {
            let (Some(rates), Some(table)) = (self.rates.get(service), state.owners.get(service))
            else {
                continue;
            };
            let mut per_s: BTreeMap<&Incarnation, f64> = BTreeMap::new();
            for range in table.ranges.values() {
                *per_s.entry(&range.owner).or_default() +=
                    rates.total_between(range.from, range.to);
            }
            let known = |owner: &&Incarnation| self.speeds.mean_ms(&owner.id);
            let means: Vec<f64> = per_s.keys().filter_map(known).collect();
            if means.is_empty() {
                continue;
            }
            let service_ms = means.iter().sum::<f64>() / means.len() as f64;
            for (owner, per_s) in per_s {
                let Some(upstream) = state.find_live(owner).filter(|u| u.is_ready()) else {
                    continue;
                };
                if self.is_silent(owner, now) {
                    continue;
                }
                let mean_ms = self.speeds.mean_ms(&owner.id).unwrap_or(service_ms);
                let mean_ms = mean_ms.clamp(1.0, (service_ms * SLOWNESS_MAX).max(1.0));
                demands.push(OwnerDemand {
                    owner: owner.clone(),
                    per_s,
                    capacity_per_s: f64::from(upstream.slots.max(1)) * 1_000.0 / mean_ms,
                });
            }
        }
        demands
    }
}
