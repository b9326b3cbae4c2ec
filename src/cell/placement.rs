//! Which upstream a slot goes to, from measured load: greedy, with the fewest moves.
//!
//! Source: Graham, "Bounds on Multiprocessing Timing Anomalies", 1969 (longest processing time
//! first), applied to free slots only, so that slots with an owner stay where they are.

use std::collections::{BTreeMap, BTreeSet};

use crate::slot::SlotId;

use super::state::UpstreamId;

/// Load that a slot counts for even when nothing was measured, as a share of the mean slot's load.
const SLOT_BASE_LOAD_SHARE: f64 = 0.25;
/// The least mean load that a slot is counted with, in requests a second: below it slots are spread
/// by number, and chance doesn't move them.
const MEAN_LOAD_MIN: f64 = 0.1;
/// The least capacity that an upstream is counted with.
const CAPACITY_MIN: f64 = 1e-6;
/// Seconds of requests that a measured load stands for.
const AVERAGING_SECONDS: f64 = 9.0;
/// Standard deviations of a measured load that count as chance.
const NOISE_DEVIATIONS: f64 = 3.0;
/// Imbalance, maximum over mean, above which slots are moved.
const REBALANCE_ABOVE: f64 = 1.10;
/// Moves that one round may begin, as a share of a service's slots.
const MOVES_MAX_SHARE: f64 = 0.01;
/// The least number of moves that one round may begin.
const MOVES_MAX_FLOOR: usize = 4;

/// One slot as placement sees it; the load is in requests a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotLoad {
    /// The slot.
    pub slot: SlotId,
    /// Its owner, when it has one that may keep it.
    pub owner: Option<UpstreamId>,
    /// Its load.
    pub load: f64,
}

/// Upstreams with their capacity and the slots to spread over them.
#[derive(Clone, Debug, Default)]
pub struct PlacementPlan {
    capacity: BTreeMap<UpstreamId, f64>,
    slots: Vec<SlotLoad>,
    measured_load: f64,
}

impl PlacementPlan {
    /// Returns a plan for `slots` over eligible upstreams and their capacities, in requests worked
    /// on at once.
    pub fn new(capacity: BTreeMap<UpstreamId, f64>, slots: Vec<SlotLoad>) -> PlacementPlan {
        let measured_load: f64 = slots.iter().map(|s| s.load).sum();
        let mean = (measured_load / slots.len().max(1) as f64).max(MEAN_LOAD_MIN);
        let with_base_load = |s: SlotLoad| SlotLoad {
            load: s.load + mean * SLOT_BASE_LOAD_SHARE,
            ..s
        };
        PlacementPlan {
            capacity,
            slots: slots.into_iter().map(with_base_load).collect(),
            measured_load,
        }
    }

    /// Returns an owner for each slot that has none, heaviest slots first.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::cell::placement::{PlacementPlan, SlotLoad};
    /// use carobreel::cell::state::UpstreamId;
    /// use carobreel::slot::SlotId;
    ///
    /// let capacity = [(UpstreamId(1), 1.0), (UpstreamId(2), 1.0)].into();
    /// let held = SlotLoad { slot: SlotId(0), owner: Some(UpstreamId(1)), load: 5.0 };
    /// let free = SlotLoad { slot: SlotId(1), owner: None, load: 4.0 };
    /// let plan = PlacementPlan::new(capacity, vec![held, free]);
    /// assert_eq!(plan.assign_unowned(), [(SlotId(1), UpstreamId(2))]);
    /// ```
    pub fn assign_unowned(&self) -> Vec<(SlotId, UpstreamId)> {
        let mut loads = self.load_by_upstream();
        let mut free: Vec<(SlotId, f64)> = self
            .slots
            .iter()
            .filter(|s| self.owner_of(s).is_none())
            .map(|s| (s.slot, s.load))
            .collect();
        free.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let mut placed = Vec::new();
        for (slot, load) in free {
            let Some(owner) = self.least_utilized(&loads, load) else {
                break;
            };
            *loads.entry(owner).or_default() += load;
            placed.push((slot, owner));
        }
        placed
    }

    /// Returns the slots to take from their owners so that the fullest upstream gets relief.
    ///
    /// At most one hundredth of the slots is named, so that a newcomer takes its share gradually.
    pub fn slots_to_move(&self) -> Vec<SlotId> {
        let mut loads = self.load_by_upstream();
        let moves_max = ((self.slots.len() as f64 * MOVES_MAX_SHARE) as usize).max(MOVES_MAX_FLOOR);
        let mut moves = Vec::new();
        let mut moved = BTreeSet::new();
        while moves.len() < moves_max {
            let Some((slot, load, from, to)) = self.best_move(&loads, &moved) else {
                break;
            };
            *loads.entry(from).or_default() -= load;
            *loads.entry(to).or_default() += load;
            moved.insert(slot);
            moves.push(slot);
        }
        moves
    }

    /// Returns the imbalance: the fullest upstream's load over the mean, by capacity.
    pub fn imbalance(&self) -> f64 {
        let loads = self.load_by_upstream();
        let highest = self
            .most_utilized(&loads)
            .map_or(0.0, |(_, utilization)| utilization);
        let mean = self.mean_utilization(&loads);
        if mean <= 0.0 {
            return 1.0;
        }
        highest / mean
    }

    /// Tells whether an upstream may own slots.
    pub fn is_eligible(&self, id: UpstreamId) -> bool {
        self.capacity.contains_key(&id)
    }

    /// Returns the load of the mean upstream.
    pub fn mean_load(&self) -> f64 {
        self.measured_load / (self.capacity.len().max(1) as f64)
    }

    /// Returns the imbalance that chance alone brings to the mean upstream's measured load.
    fn noise_imbalance(&self) -> f64 {
        NOISE_DEVIATIONS / (self.mean_load() * AVERAGING_SECONDS + 1.0).sqrt()
    }

    fn owner_of(&self, slot: &SlotLoad) -> Option<UpstreamId> {
        slot.owner.filter(|id| self.capacity.contains_key(id))
    }

    fn load_by_upstream(&self) -> BTreeMap<UpstreamId, f64> {
        let mut loads: BTreeMap<UpstreamId, f64> =
            self.capacity.keys().map(|id| (*id, 0.0)).collect();
        for slot in &self.slots {
            if let Some(owner) = self.owner_of(slot) {
                *loads.entry(owner).or_default() += slot.load;
            }
        }
        loads
    }

    fn utilization(&self, loads: &BTreeMap<UpstreamId, f64>, id: UpstreamId) -> f64 {
        let load = loads.get(&id).copied().unwrap_or(0.0);
        let capacity = self.capacity.get(&id).copied().unwrap_or(1.0);
        load / capacity.max(CAPACITY_MIN)
    }

    fn least_utilized(&self, loads: &BTreeMap<UpstreamId, f64>, load: f64) -> Option<UpstreamId> {
        let after = |id: &UpstreamId| {
            let capacity = self.capacity.get(id).copied().unwrap_or(1.0);
            self.utilization(loads, *id) + load / capacity.max(CAPACITY_MIN)
        };
        let ids = self.capacity.keys().copied();
        ids.min_by(|a, b| after(a).total_cmp(&after(b)))
    }

    fn most_utilized(&self, loads: &BTreeMap<UpstreamId, f64>) -> Option<(UpstreamId, f64)> {
        let utilizations = self
            .capacity
            .keys()
            .map(|id| (*id, self.utilization(loads, *id)));
        utilizations.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn mean_utilization(&self, loads: &BTreeMap<UpstreamId, f64>) -> f64 {
        let load: f64 = loads.values().sum();
        let capacity: f64 = self.capacity.values().sum();
        load / capacity.max(CAPACITY_MIN)
    }

    /// Finds the slot of the fullest upstream whose move helps most.
    fn best_move(
        &self,
        loads: &BTreeMap<UpstreamId, f64>,
        moved: &BTreeSet<SlotId>,
    ) -> Option<(SlotId, f64, UpstreamId, UpstreamId)> {
        let (from, utilization) = self.most_utilized(loads)?;
        let mean = self.mean_utilization(loads);
        if utilization <= mean * (REBALANCE_ABOVE + self.noise_imbalance()) {
            return None;
        }
        let to = self.least_utilized(loads, 0.0)?;
        let gap = utilization - self.utilization(loads, to);
        let from_capacity = self.capacity.get(&from).copied().unwrap_or(1.0);
        let target = gap / 2.0 * from_capacity;
        let candidates = self.slots.iter().filter(|s| s.owner == Some(from));
        let movable = candidates
            .filter(|s| !moved.contains(&s.slot))
            .map(|s| (s.slot, s.load))
            .filter(|(_, load)| *load < gap * from_capacity);
        let best = movable.min_by(|a, b| {
            let a_distance = (a.1 - target).abs();
            let b_distance = (b.1 - target).abs();
            a_distance.total_cmp(&b_distance)
        })?;
        Some((best.0, best.1, from, to))
    }
}
