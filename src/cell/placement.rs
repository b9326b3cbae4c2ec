//! Which upstream a slot goes to, from measured load: greedy, with the fewest moves.
//!
//! Source: Graham, "Bounds on Multiprocessing Timing Anomalies", 1969 (longest processing time
//! first), applied to free slots only, so that slots with an owner stay where they are.

use std::collections::{BTreeMap, BTreeSet};

use crate::slot::SlotId;

use super::state::UpstreamId;

/// Load that a slot counts for even when nothing was measured, as a share of the mean slot's load.
const IDLE_SLOT_SHARE: f64 = 0.25;
/// The least mean load that a slot is counted with, in requests a second: below it slots are spread
/// by number, and chance doesn't move them.
const LOAD_MIN: f64 = 0.1;
/// The least capacity that an upstream is counted with.
const CAPACITY_MIN: f64 = 1e-6;
/// Seconds of requests that a measured load stands for.
const MEASURED_SECONDS: f64 = 9.0;
/// Standard deviations of a measured load that count as chance.
const CHANCE_DEVIATIONS: f64 = 3.0;
/// Imbalance, maximum over mean, above which slots are moved.
const REBALANCE_ABOVE: f64 = 1.10;
/// Moves that one round may begin, as a share of a service's slots.
const MOVES_SHARE: f64 = 0.01;
/// The least number of moves that one round may begin.
const MOVES_MIN: usize = 4;

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
pub struct Plan {
    capacity: BTreeMap<UpstreamId, f64>,
    slots: Vec<SlotLoad>,
    measured: f64,
}

impl Plan {
    /// Returns a plan for `slots` over eligible upstreams and their capacities, in requests worked
    /// on at once.
    pub fn new(capacity: BTreeMap<UpstreamId, f64>, slots: Vec<SlotLoad>) -> Plan {
        let measured: f64 = slots.iter().map(|s| s.load).sum();
        let mean = (measured / slots.len().max(1) as f64).max(LOAD_MIN);
        let weigh = |s: SlotLoad| SlotLoad {
            load: s.load + mean * IDLE_SLOT_SHARE,
            ..s
        };
        Plan {
            capacity,
            slots: slots.into_iter().map(weigh).collect(),
            measured,
        }
    }

    /// Returns an owner for each slot that has none, heaviest slots first.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::cell::placement::{Plan, SlotLoad};
    /// use carobreel::cell::state::UpstreamId;
    /// use carobreel::slot::SlotId;
    ///
    /// let capacity = [(UpstreamId(1), 1.0), (UpstreamId(2), 1.0)].into();
    /// let held = SlotLoad { slot: SlotId(0), owner: Some(UpstreamId(1)), load: 5.0 };
    /// let free = SlotLoad { slot: SlotId(1), owner: None, load: 4.0 };
    /// let plan = Plan::new(capacity, vec![held, free]);
    /// assert_eq!(plan.place(), [(SlotId(1), UpstreamId(2))]);
    /// ```
    pub fn place(&self) -> Vec<(SlotId, UpstreamId)> {
        let mut filled = self.filled();
        let mut free: Vec<(SlotId, f64)> = self
            .slots
            .iter()
            .filter(|s| self.owner_of(s).is_none())
            .map(|s| (s.slot, s.load))
            .collect();
        free.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let mut placed = Vec::new();
        for (slot, load) in free {
            let Some(owner) = self.emptiest(&filled, load) else {
                break;
            };
            *filled.entry(owner).or_default() += load;
            placed.push((slot, owner));
        }
        placed
    }

    /// Returns the slots to take from their owners so that the fullest upstream gets relief.
    ///
    /// At most one hundredth of the slots is named, so that a newcomer takes its share gradually.
    pub fn relieve(&self) -> Vec<SlotId> {
        let mut filled = self.filled();
        let budget = ((self.slots.len() as f64 * MOVES_SHARE) as usize).max(MOVES_MIN);
        let mut moves = Vec::new();
        let mut moved = BTreeSet::new();
        while moves.len() < budget {
            let Some((slot, load, from, to)) = self.best_move(&filled, &moved) else {
                break;
            };
            *filled.entry(from).or_default() -= load;
            *filled.entry(to).or_default() += load;
            moved.insert(slot);
            moves.push(slot);
        }
        moves
    }

    /// Returns the imbalance: the fullest upstream's load over the mean, by capacity.
    pub fn imbalance(&self) -> f64 {
        let filled = self.filled();
        let fullest = self.fullest(&filled).map_or(0.0, |(_, fill)| fill);
        let mean = self.mean_fill(&filled);
        if mean <= 0.0 {
            return 1.0;
        }
        fullest / mean
    }

    /// Tells whether an upstream may own slots.
    pub fn takes(&self, id: UpstreamId) -> bool {
        self.capacity.contains_key(&id)
    }

    /// Returns the load of the mean upstream.
    pub fn mean_load(&self) -> f64 {
        self.measured / (self.capacity.len().max(1) as f64)
    }

    /// Returns the imbalance that chance alone brings to the mean upstream's measured load.
    fn chance(&self) -> f64 {
        CHANCE_DEVIATIONS / (self.mean_load() * MEASURED_SECONDS + 1.0).sqrt()
    }

    fn owner_of(&self, slot: &SlotLoad) -> Option<UpstreamId> {
        slot.owner.filter(|id| self.capacity.contains_key(id))
    }

    fn filled(&self) -> BTreeMap<UpstreamId, f64> {
        let mut filled: BTreeMap<UpstreamId, f64> =
            self.capacity.keys().map(|id| (*id, 0.0)).collect();
        for slot in &self.slots {
            if let Some(owner) = self.owner_of(slot) {
                *filled.entry(owner).or_default() += slot.load;
            }
        }
        filled
    }

    fn fill_of(&self, filled: &BTreeMap<UpstreamId, f64>, id: UpstreamId) -> f64 {
        let load = filled.get(&id).copied().unwrap_or(0.0);
        let capacity = self.capacity.get(&id).copied().unwrap_or(1.0);
        load / capacity.max(CAPACITY_MIN)
    }

    fn emptiest(&self, filled: &BTreeMap<UpstreamId, f64>, load: f64) -> Option<UpstreamId> {
        let after = |id: &UpstreamId| {
            let capacity = self.capacity.get(id).copied().unwrap_or(1.0);
            self.fill_of(filled, *id) + load / capacity.max(CAPACITY_MIN)
        };
        let ids = self.capacity.keys().copied();
        ids.min_by(|a, b| after(a).total_cmp(&after(b)))
    }

    fn fullest(&self, filled: &BTreeMap<UpstreamId, f64>) -> Option<(UpstreamId, f64)> {
        let fills = self
            .capacity
            .keys()
            .map(|id| (*id, self.fill_of(filled, *id)));
        fills.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn mean_fill(&self, filled: &BTreeMap<UpstreamId, f64>) -> f64 {
        let load: f64 = filled.values().sum();
        let capacity: f64 = self.capacity.values().sum();
        load / capacity.max(CAPACITY_MIN)
    }

    /// Finds the slot of the fullest upstream whose move helps most.
    fn best_move(
        &self,
        filled: &BTreeMap<UpstreamId, f64>,
        moved: &BTreeSet<SlotId>,
    ) -> Option<(SlotId, f64, UpstreamId, UpstreamId)> {
        let (from, fill) = self.fullest(filled)?;
        let mean = self.mean_fill(filled);
        if fill <= mean * (REBALANCE_ABOVE + self.chance()) {
            return None;
        }
        let to = self.emptiest(filled, 0.0)?;
        let gap = fill - self.fill_of(filled, to);
        let from_capacity = self.capacity.get(&from).copied().unwrap_or(1.0);
        let target = gap / 2.0 * from_capacity;
        let candidates = self.slots.iter().filter(|s| s.owner == Some(from));
        let fitting = candidates
            .filter(|s| !moved.contains(&s.slot))
            .map(|s| (s.slot, s.load))
            .filter(|(_, load)| *load < gap * from_capacity);
        let best = fitting.min_by(|a, b| {
            let left = (a.1 - target).abs();
            let right = (b.1 - target).abs();
            left.total_cmp(&right)
        })?;
        Some((best.0, best.1, from, to))
    }
}
