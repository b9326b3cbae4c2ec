//! Leases and slot assignment on a cell's leader.
//!
//! The leader reassigns a slot only after two conditions hold: the old owner acknowledged the revocation
//! or its grant expired, and every entry host acknowledged the new table or its routing lease expired.
//! Leases are kept in the leader's memory only, so a new leader first waits until every lease that its
//! predecessor may have granted has expired.
//!
//! Leases follow Gray and Cheriton, "Leases", 1989; fencing follows Burrows, "The Chubby lock service
//! for loosely-coupled distributed systems", 2006.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::clock::Mono;
use crate::settings::Timing;
use crate::slot::{KeyHash, SlotId};

use super::loads::{LoadAverages, LoadReport};
use super::placement::{PlacementPlan, SlotLoad};
use super::state::{
    Assignment, Command, RouterId, ServiceKey, SlotList, SlotPhase, State, UpstreamId,
};

/// How long the first assignment of a service's slots waits after the latest upstream announcement, in
/// milliseconds, so that the first upstream to arrive isn't assigned all of them.
const FIRST_ASSIGNMENT_DELAY_MS: u64 = 500;
/// Upper bound of the wait for the first assignment, in milliseconds.
const FIRST_ASSIGNMENT_DELAY_MAX_MS: u64 = 3_000;
/// A key is pinned when it alone exceeds this share of the mean load per upstream.
const PIN_ABOVE_LOAD_SHARE: f64 = 0.25;
/// A pinned key returns to its hash slot when it falls below this share of the mean load per upstream.
const UNPIN_BELOW_LOAD_SHARE: f64 = 0.10;
/// Minimum rate at which a key may be pinned, in requests per second. It is unpinned below half of this rate.
const PIN_RATE_MIN_PER_S: f64 = 20.0;

/// Lease durations in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Duration that the holder is told; it counts from before its request was sent.
    pub lease_ms: u64,
    /// Time after which the leader considers a grant expired.
    pub grant_expiry_ms: u64,
    /// Time after which the leader considers a routing lease expired.
    pub route_expiry_ms: u64,
}

impl From<Timing> for LeaseTiming {
    fn from(timing: Timing) -> LeaseTiming {
        LeaseTiming {
            lease_ms: timing.lease_ms,
            grant_expiry_ms: timing.lease_expiry_ms(),
            route_expiry_ms: timing.lease_expiry_ms(),
        }
    }
}

/// A slot that an upstream is granted to serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedSlot {
    /// The service that the slot belongs to.
    pub service: String,
    /// The slot's id.
    pub slot: SlotId,
    /// Fencing token of the slot's requests.
    pub fence: u64,
}

/// Answer to an upstream's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The grant is renewed.
    Renewed {
        /// Duration of the grant in milliseconds, counted from before the upstream sent its heartbeat.
        lease_ms: u64,
        /// State version that the grant reflects; the upstream acknowledges it in its next heartbeat.
        version: u64,
        /// All slots granted to the upstream; `None` if they haven't changed since the acknowledged version.
        slots: Option<Vec<GrantedSlot>>,
    },
    /// The upstream isn't registered, or no longer is, and must announce itself.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct GrantLease {
    until: Mono,
    acked_version: u64,
}

#[derive(Clone, Copy, Debug)]
struct RouteLease {
    until: Mono,
    drained_version: u64,
}

/// Position of a cell's region in the deployment's list of regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionPosition {
    /// Index of the region in the list.
    pub index: usize,
    /// Number of regions in the list.
    pub count: usize,
}

/// Leases, load averages and assignment decisions of a leader for the duration of its term.
#[derive(Debug)]
pub struct Ownership {
    timing: LeaseTiming,
    region: RegionPosition,
    inherited_leases_until: Mono,
    grants: BTreeMap<UpstreamId, GrantLease>,
    routes: BTreeMap<RouterId, RouteLease>,
    loads: LoadAverages,
    is_rebalance_due: bool,
    has_unhandled_acks: bool,
    last_announced_at: Mono,
    unowned_since: BTreeMap<String, Mono>,
}

impl Ownership {
    /// Returns the state of a leader elected at `elected_at`, without any lease.
    pub fn new(timing: LeaseTiming, region: RegionPosition, elected_at: Mono) -> Ownership {
        let expiry_ms = timing.grant_expiry_ms.max(timing.route_expiry_ms);
        Ownership {
            timing,
            region,
            inherited_leases_until: elected_at.plus(expiry_ms),
            grants: BTreeMap::new(),
            routes: BTreeMap::new(),
            loads: LoadAverages::new(elected_at),
            is_rebalance_due: false,
            has_unhandled_acks: true,
            last_announced_at: elected_at,
            unowned_since: BTreeMap::new(),
        }
    }

    /// Renews an upstream's grant and records that it acknowledged version `acked_version`.
    pub fn renew_grant(
        &mut self,
        state: &State,
        id: UpstreamId,
        acked_version: u64,
        now: Mono,
    ) -> Grant {
        let Some(upstream) = state.upstreams.get(&id) else {
            return Grant::Unknown;
        };
        let lease = self.grants.entry(id).or_insert(GrantLease {
            until: now,
            acked_version: 0,
        });
        lease.until = now.plus(self.timing.grant_expiry_ms);
        self.has_unhandled_acks |= acked_version > lease.acked_version;
        lease.acked_version = lease.acked_version.max(acked_version);
        let slots = (acked_version < upstream.changed_version).then(|| granted_slots(state, id));
        Grant::Renewed {
            lease_ms: self.timing.lease_ms,
            version: state.version,
            slots,
        }
    }

    /// Treats a newly announced upstream as the holder of a grant until its first heartbeat.
    pub fn assume_grant(&mut self, id: UpstreamId, now: Mono) {
        self.last_announced_at = now;
        let until = now.plus(self.timing.grant_expiry_ms);
        let lease = GrantLease {
            until,
            acked_version: 0,
        };
        self.grants.entry(id).or_insert(lease);
    }

    /// Records an upstream's acknowledgement that it serves no slot revoked up to `acked_version`.
    pub fn acknowledge_grant(&mut self, id: UpstreamId, acked_version: u64) {
        if let Some(lease) = self.grants.get_mut(&id) {
            self.has_unhandled_acks |= acked_version > lease.acked_version;
            lease.acked_version = lease.acked_version.max(acked_version);
        }
    }

    /// Records an entry host's acknowledgement that it has no request in flight for slots frozen up to
    /// `drained_version`.
    pub fn acknowledge_route(&mut self, router: &RouterId, drained_version: u64) {
        if let Some(lease) = self.routes.get_mut(router) {
            self.has_unhandled_acks |= drained_version > lease.drained_version;
            lease.drained_version = lease.drained_version.max(drained_version);
        }
    }

    /// Renews a routing lease and returns its duration in milliseconds.
    pub fn renew_route(&mut self, router: RouterId, drained_version: u64, now: Mono) -> u64 {
        let until = now.plus(self.timing.route_expiry_ms);
        let lease = self.routes.entry(router).or_insert(RouteLease {
            until,
            drained_version,
        });
        lease.until = until;
        lease.drained_version = lease.drained_version.max(drained_version);
        self.timing.lease_ms
    }

    /// Removes a routing lease that its holder released.
    pub fn release_route(&mut self, router: &RouterId) {
        self.has_unhandled_acks = true;
        self.routes.remove(router);
    }

    /// Adds an entry host's load report to the load averages.
    pub fn record_load(&mut self, report: &LoadReport) {
        self.loads.record(report);
    }

    /// Returns the holders of unexpired routing leases, each with the version that it acknowledged.
    pub fn live_routers(&self, now: Mono) -> Vec<(RouterId, u64)> {
        let live = self.routes.iter().filter(|(_, r)| r.until > now);
        live.map(|(id, r)| (id.clone(), r.drained_version))
            .collect()
    }

    /// Returns the time until the leader considers an upstream's grant expired, in milliseconds.
    pub fn grant_remaining_ms(&self, id: UpstreamId, now: Mono) -> u64 {
        self.grants.get(&id).map_or(0, |g| g.until.since(now))
    }

    /// Reports whether an acknowledgement arrived since the last call of [`Ownership::next_commands`].
    pub fn has_unhandled_acks(&self) -> bool {
        self.has_unhandled_acks
    }

    /// Returns the commands that follow from the state, the leases and the load at time `now`.
    pub fn next_commands(&mut self, state: &State, now: Mono) -> Vec<Command> {
        self.is_rebalance_due |= self.loads.close_window(now);
        self.drop_expired(now);
        let mut commands = Vec::new();
        self.forget_expired(state, now, &mut commands);
        for service in state.slot_tables.keys() {
            self.plan_service(state, service, now, &mut commands);
        }
        self.is_rebalance_due = false;
        self.has_unhandled_acks = false;
        commands
    }

    fn may_have_inherited_leases(&self, now: Mono) -> bool {
        now < self.inherited_leases_until
    }

    fn drop_expired(&mut self, now: Mono) {
        self.routes.retain(|_, r| r.until > now);
        self.grants.retain(|_, g| g.until > now);
    }

    /// Reports whether an upstream's grant has expired, so that it can't be serving any slot.
    fn is_grant_expired(&self, id: UpstreamId, now: Mono) -> bool {
        !self.may_have_inherited_leases(now) && !self.grants.contains_key(&id)
    }

    fn forget_expired(&self, state: &State, now: Mono, commands: &mut Vec<Command>) {
        for id in state.upstreams.keys().copied() {
            if self.is_grant_expired(id, now) && !state.owns_slots(id) {
                commands.push(Command::Forget(id));
            }
        }
    }

    fn plan_service(
        &mut self,
        state: &State,
        service: &str,
        now: Mono,
        commands: &mut Vec<Command>,
    ) {
        let plan = self.placement_plan(state, service, now);
        let slots_to_freeze = self.slots_to_freeze(state, service, &plan, now);
        if !slots_to_freeze.is_empty() {
            commands.push(Command::Freeze(SlotList {
                service: service.to_string(),
                slots: slots_to_freeze,
            }));
        }
        if self.defers_first_assignment(state, service, now) {
            return;
        }
        let assignable = self.assignable_slots(state, service, now);
        let to_assignment = |(slot, owner): (SlotId, UpstreamId)| Assignment {
            service: service.to_string(),
            slot,
            owner,
        };
        let assigned = plan.assign_unowned().into_iter();
        let prefer_hash_slot_owner = |(slot, owner): (SlotId, UpstreamId)| {
            let preferred = self.hash_slot_owner(state, service, &plan, slot);
            (slot, preferred.unwrap_or(owner))
        };
        let assignments: Vec<Assignment> = assigned
            .filter(|(slot, _)| assignable.contains(slot))
            .map(prefer_hash_slot_owner)
            .map(to_assignment)
            .collect();
        if !assignments.is_empty() {
            commands.push(Command::Assign(assignments));
        }
        if self.is_rebalance_due {
            self.plan_pins(state, service, &plan, commands);
        }
    }

    /// Reports whether the first assignment of a service's slots should wait for more upstreams.
    fn defers_first_assignment(&mut self, state: &State, service: &str, now: Mono) -> bool {
        let slot_table = state.slot_tables.get(service);
        let is_owned = slot_table.is_some_and(|t| t.slots.iter().any(|s| s.fence > 0));
        if is_owned || state.eligible_upstreams(service).is_empty() {
            self.unowned_since.remove(service);
            return false;
        }
        let waiting_since = self.unowned_since.entry(service.to_string()).or_insert(now);
        now.since(*waiting_since) < FIRST_ASSIGNMENT_DELAY_MAX_MS
            && now.since(self.last_announced_at) < FIRST_ASSIGNMENT_DELAY_MS
    }

    fn placement_plan(&self, state: &State, service: &str, now: Mono) -> PlacementPlan {
        let mut capacity = BTreeMap::new();
        for id in state.eligible_upstreams(service) {
            if self.is_grant_expired(id, now) {
                continue;
            }
            let Some(upstream) = state.upstreams.get(&id) else {
                continue;
            };
            capacity.insert(id, f64::from(upstream.announcement.slots.max(1)));
        }
        let Some(slot_table) = state.slot_tables.get(service) else {
            return PlacementPlan::default();
        };
        let slots = slot_table.slots_of_region(self.region.index, self.region.count);
        let pinned: BTreeMap<SlotId, KeyHash> = slot_table
            .pins
            .iter()
            .map(|(key, id)| (*id, *key))
            .collect();
        let rate = |id: SlotId| match pinned.get(&id) {
            Some(key) => self.loads.pin_rate(service, *key, id),
            None => self.loads.slot_rate(service, id),
        };
        let loads = slots.map(|(id, slot)| SlotLoad {
            slot: id,
            owner: (slot.phase == SlotPhase::Held).then_some(slot.owner),
            load: rate(id),
        });
        PlacementPlan::new(capacity, loads.collect())
    }

    fn slots_to_freeze(
        &self,
        state: &State,
        service: &str,
        plan: &PlacementPlan,
        now: Mono,
    ) -> Vec<SlotId> {
        let Some(slot_table) = state.slot_tables.get(service) else {
            return Vec::new();
        };
        let mut frozen = 0;
        let mut misplaced = Vec::new();
        for (id, slot) in slot_table.slots_of_region(self.region.index, self.region.count) {
            frozen += usize::from(slot.phase == SlotPhase::Frozen);
            let is_misplaced = slot.phase == SlotPhase::Held && !plan.is_eligible(slot.owner);
            if is_misplaced {
                misplaced.push(id);
            }
        }
        let is_stable = frozen == 0 && misplaced.is_empty() && !self.may_have_inherited_leases(now);
        if is_stable && self.is_rebalance_due {
            return plan.slots_to_move();
        }
        misplaced
    }

    /// Returns the slots that may be assigned an owner now.
    fn assignable_slots(&self, state: &State, service: &str, now: Mono) -> BTreeSet<SlotId> {
        let mut assignable = BTreeSet::new();
        let Some(slot_table) = state.slot_tables.get(service) else {
            return assignable;
        };
        let drained_version = self.routes.values().map(|r| r.drained_version).min();
        for (id, slot) in slot_table.slots_of_region(self.region.index, self.region.count) {
            let is_released = match slot.phase {
                SlotPhase::Held => false,
                SlotPhase::Free => true,
                SlotPhase::Frozen => {
                    let routers_drained = drained_version.is_none_or(|d| d >= slot.changed_version);
                    let grant = self.grants.get(&slot.owner);
                    let owner_released =
                        grant.is_none_or(|g| g.acked_version >= slot.changed_version);
                    !self.may_have_inherited_leases(now) && routers_drained && owner_released
                }
            };
            if is_released {
                assignable.insert(id);
            }
        }
        assignable
    }

    fn plan_pins(
        &self,
        state: &State,
        service: &str,
        plan: &PlacementPlan,
        commands: &mut Vec<Command>,
    ) {
        let Some(slot_table) = state.slot_tables.get(service) else {
            return;
        };
        let mean_load = plan.mean_load();
        let service_key = |key: KeyHash| ServiceKey {
            service: service.to_string(),
            key,
        };
        for (key, rate) in self.loads.key_rates(service) {
            let is_hot = *rate > mean_load * PIN_ABOVE_LOAD_SHARE && *rate > PIN_RATE_MIN_PER_S;
            if is_hot && !slot_table.pins.contains_key(key) {
                commands.push(Command::Pin(service_key(*key)));
            }
        }
        for (key, slot) in &slot_table.pins {
            if self.stays_pinned(plan, self.loads.pin_rate(service, *key, *slot)) {
                continue;
            }
            let pinned = slot_table.slot(*slot);
            let hash_slot = slot_table.slot(key.slot(slot_table.hash_slot_count));
            let same_owner = pinned.map(|s| s.owner) == hash_slot.map(|s| s.owner);
            commands.push(if same_owner {
                Command::Unpin(service_key(*key))
            } else {
                Command::Freeze(SlotList {
                    service: service.to_string(),
                    slots: vec![*slot],
                })
            });
        }
    }

    /// Returns the owner that a pinned slot should return to when its key's load has dropped: the owner of
    /// the key's hash slot.
    fn hash_slot_owner(
        &self,
        state: &State,
        service: &str,
        plan: &PlacementPlan,
        slot: SlotId,
    ) -> Option<UpstreamId> {
        let slot_table = state.slot_tables.get(service)?;
        let (key, _) = slot_table.pins.iter().find(|(_, id)| **id == slot)?;
        if self.stays_pinned(plan, self.loads.pin_rate(service, *key, slot)) {
            return None;
        }
        let hash_slot = slot_table.slot(key.slot(slot_table.hash_slot_count))?;
        let can_take = hash_slot.phase == SlotPhase::Held && plan.is_eligible(hash_slot.owner);
        can_take.then_some(hash_slot.owner)
    }

    fn stays_pinned(&self, plan: &PlacementPlan, rate: f64) -> bool {
        rate >= plan.mean_load() * UNPIN_BELOW_LOAD_SHARE && rate >= PIN_RATE_MIN_PER_S / 2.0
    }
}

fn granted_slots(state: &State, id: UpstreamId) -> Vec<GrantedSlot> {
    let mut granted = Vec::new();
    for (service, slot_table) in &state.slot_tables {
        for (i, slot) in slot_table.slots.iter().enumerate() {
            if slot.phase == SlotPhase::Held && slot.owner == id {
                granted.push(GrantedSlot {
                    service: service.clone(),
                    slot: SlotId(i as u32),
                    fence: slot.fence,
                });
            }
        }
    }
    granted
}
