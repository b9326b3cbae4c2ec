//! The leader's leases and its decisions about owners.
//!
//! A slot goes to another owner only when its old owner acknowledged the revocation or its grant ran
//! out, and every entry host acknowledged the new table or its lease ran out. Leases live in the
//! leader's memory; a new leader waits until every lease that its predecessor may have given is over.
//!
//! Source: Gray and Cheriton, "Leases", 1989; fencing as in Burrows, "The Chubby lock service", 2006.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::clock::Mono;
use crate::settings::Timing;
use crate::slot::{KeyHash, SlotId};

use super::loads::{LoadReport, Loads};
use super::placement::{Plan, SlotLoad};
use super::state::{Assignment, Command, Phase, PinChange, RouterId, SlotList, State, UpstreamId};

/// A service whose slots never had owners waits this long after the newest upstream came, in
/// milliseconds, so that the first one doesn't get all of them.
const SETTLE_MS: u64 = 500;
/// A service without owners waits at most this long, in milliseconds.
const SETTLE_MAX_MS: u64 = 3_000;
/// A key is pinned when it alone brings this share of the mean upstream's load.
const PIN_ABOVE_SHARE: f64 = 0.25;
/// A pinned key goes back to its hash slot below this share.
const UNPIN_BELOW_SHARE: f64 = 0.10;
/// The least requests a second at which a key may be pinned.
const PIN_RATE_MIN: f64 = 20.0;

/// How long leases last, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// What a holder is told, counted from before it asked.
    pub lease_ms: u64,
    /// How long the leader counts a grant as held.
    pub grant_hold_ms: u64,
    /// How long the leader counts a routing lease as held.
    pub route_hold_ms: u64,
}

impl From<Timing> for LeaseTiming {
    fn from(timing: Timing) -> LeaseTiming {
        LeaseTiming {
            lease_ms: timing.lease_ms,
            grant_hold_ms: timing.hold_ms(),
            route_hold_ms: timing.hold_ms(),
        }
    }
}

/// A slot that an upstream may serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// The service.
    pub service: String,
    /// The slot.
    pub slot: SlotId,
    /// The fence number that its requests carry.
    pub fence: u64,
}

/// What an upstream gets for a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The lease goes on.
    Renewed {
        /// How long, in milliseconds from before the upstream asked.
        lease_ms: u64,
        /// The version that the grant reflects, to be acknowledged.
        version: u64,
        /// All slots, when they changed since the acknowledged version.
        slots: Option<Vec<Granted>>,
    },
    /// The upstream isn't known (any more) and must announce itself.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct GrantLease {
    until: Mono,
    acked: u64,
}

#[derive(Clone, Copy, Debug)]
struct RouteLease {
    until: Mono,
    drained: u64,
}

/// The place of a cell's region in the list of regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home {
    /// The region's place.
    pub region: usize,
    /// The number of regions.
    pub regions: usize,
}

/// What a leader keeps in memory for its term.
#[derive(Debug)]
pub struct Ownership {
    timing: LeaseTiming,
    home: Home,
    quiet_until: Mono,
    grants: BTreeMap<UpstreamId, GrantLease>,
    routes: BTreeMap<RouterId, RouteLease>,
    loads: Loads,
    rebalance: bool,
    has_news: bool,
    newest_upstream_at: Mono,
    unowned_since: BTreeMap<String, Mono>,
}

impl Ownership {
    /// Returns an empty record for a leader elected at `elected_at`.
    pub fn new(timing: LeaseTiming, home: Home, elected_at: Mono) -> Ownership {
        let hold_ms = timing.grant_hold_ms.max(timing.route_hold_ms);
        Ownership {
            timing,
            home,
            quiet_until: elected_at.plus(hold_ms),
            grants: BTreeMap::new(),
            routes: BTreeMap::new(),
            loads: Loads::new(elected_at),
            rebalance: false,
            has_news: true,
            newest_upstream_at: elected_at,
            unowned_since: BTreeMap::new(),
        }
    }

    /// Renews an upstream's grant and takes its acknowledgement of version `acked`.
    pub fn renew_grant(&mut self, state: &State, id: UpstreamId, acked: u64, now: Mono) -> Grant {
        let Some(upstream) = state.upstreams.get(&id) else {
            return Grant::Unknown;
        };
        let lease = self.grants.entry(id).or_insert(GrantLease {
            until: now,
            acked: 0,
        });
        lease.until = now.plus(self.timing.grant_hold_ms);
        self.has_news |= acked > lease.acked;
        lease.acked = lease.acked.max(acked);
        let slots = (acked < upstream.changed).then(|| granted_slots(state, id));
        Grant::Renewed {
            lease_ms: self.timing.lease_ms,
            version: state.version,
            slots,
        }
    }

    /// Counts a newly announced upstream as one that holds a grant, until its first heartbeat.
    pub fn expect_upstream(&mut self, id: UpstreamId, now: Mono) {
        self.newest_upstream_at = now;
        let until = now.plus(self.timing.grant_hold_ms);
        let lease = GrantLease { until, acked: 0 };
        self.grants.entry(id).or_insert(lease);
    }

    /// Takes an upstream's acknowledgement: it serves no slot revoked by version `acked`.
    pub fn acknowledge_grant(&mut self, id: UpstreamId, acked: u64) {
        if let Some(lease) = self.grants.get_mut(&id) {
            self.has_news |= acked > lease.acked;
            lease.acked = lease.acked.max(acked);
        }
    }

    /// Takes an entry host's acknowledgement: nothing is in flight for slots frozen by `drained`.
    pub fn acknowledge_route(&mut self, router: &RouterId, drained: u64) {
        if let Some(lease) = self.routes.get_mut(router) {
            self.has_news |= drained > lease.drained;
            lease.drained = lease.drained.max(drained);
        }
    }

    /// Renews a routing lease and returns its length in milliseconds.
    pub fn renew_route(&mut self, router: RouterId, drained: u64, now: Mono) -> u64 {
        let until = now.plus(self.timing.route_hold_ms);
        let lease = self
            .routes
            .entry(router)
            .or_insert(RouteLease { until, drained });
        lease.until = until;
        lease.drained = lease.drained.max(drained);
        self.timing.lease_ms
    }

    /// Ends a routing lease that its holder gave back.
    pub fn end_route(&mut self, router: &RouterId) {
        self.has_news = true;
        self.routes.remove(router);
    }

    /// Takes an entry host's report of load.
    pub fn report_load(&mut self, report: &LoadReport) {
        self.loads.report(report);
    }

    /// Returns the hosts whose routing lease lasts, with the version that each acknowledged.
    pub fn routers(&self, now: Mono) -> Vec<(RouterId, u64)> {
        let live = self.routes.iter().filter(|(_, r)| r.until > now);
        live.map(|(id, r)| (id.clone(), r.drained)).collect()
    }

    /// Returns how long an upstream's grant lasts in the leader's count, in milliseconds.
    pub fn grant_left_ms(&self, id: UpstreamId, now: Mono) -> u64 {
        self.grants.get(&id).map_or(0, |g| g.until.since(now))
    }

    /// Tells whether an acknowledgement came since the last decision.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Returns the commands that the present state and time call for.
    pub fn decide(&mut self, state: &State, now: Mono) -> Vec<Command> {
        self.rebalance |= self.loads.fold(now);
        self.drop_expired(now);
        let mut commands = Vec::new();
        self.forget_lost(state, now, &mut commands);
        for service in state.divisions.keys() {
            self.decide_service(state, service, now, &mut commands);
        }
        self.rebalance = false;
        self.has_news = false;
        commands
    }

    fn is_quiet(&self, now: Mono) -> bool {
        now < self.quiet_until
    }

    fn drop_expired(&mut self, now: Mono) {
        self.routes.retain(|_, r| r.until > now);
        self.grants.retain(|_, g| g.until > now);
    }

    /// Tells whether an upstream can't be serving: its grant is over in the leader's count.
    fn is_lost(&self, id: UpstreamId, now: Mono) -> bool {
        !self.is_quiet(now) && !self.grants.contains_key(&id)
    }

    fn forget_lost(&self, state: &State, now: Mono, commands: &mut Vec<Command>) {
        for id in state.upstreams.keys().copied() {
            if self.is_lost(id, now) && !state.owns_any(id) {
                commands.push(Command::Forget(id));
            }
        }
    }

    fn decide_service(
        &mut self,
        state: &State,
        service: &str,
        now: Mono,
        commands: &mut Vec<Command>,
    ) {
        let plan = self.plan(state, service, now);
        let freeze = self.slots_to_freeze(state, service, &plan, now);
        if !freeze.is_empty() {
            commands.push(Command::Freeze(SlotList {
                service: service.to_string(),
                slots: freeze,
            }));
        }
        if self.is_settling(state, service, now) {
            return;
        }
        let released = self.released(state, service, now);
        let assign = |(slot, owner): (SlotId, UpstreamId)| Assignment {
            service: service.to_string(),
            slot,
            owner,
        };
        let placed = plan.place().into_iter();
        let home = |(slot, owner): (SlotId, UpstreamId)| {
            let back = self.cold_pin_owner(state, service, &plan, slot);
            (slot, back.unwrap_or(owner))
        };
        let assignments: Vec<Assignment> = placed
            .filter(|(slot, _)| released.contains(slot))
            .map(home)
            .map(assign)
            .collect();
        if !assignments.is_empty() {
            commands.push(Command::Assign(assignments));
        }
        if self.rebalance {
            self.decide_pins(state, service, &plan, commands);
        }
    }

    /// Tells whether a service that never had owners should wait for more upstreams.
    fn is_settling(&mut self, state: &State, service: &str, now: Mono) -> bool {
        let division = state.divisions.get(service);
        let is_owned = division.is_some_and(|d| d.slots.iter().any(|s| s.fence > 0));
        if is_owned || state.eligible(service).is_empty() {
            self.unowned_since.remove(service);
            return false;
        }
        let since = self.unowned_since.entry(service.to_string()).or_insert(now);
        now.since(*since) < SETTLE_MAX_MS && now.since(self.newest_upstream_at) < SETTLE_MS
    }

    fn plan(&self, state: &State, service: &str, now: Mono) -> Plan {
        let mut capacity = BTreeMap::new();
        for id in state.eligible(service) {
            if self.is_lost(id, now) {
                continue;
            }
            let Some(upstream) = state.upstreams.get(&id) else {
                continue;
            };
            capacity.insert(id, f64::from(upstream.announcement.slots.max(1)));
        }
        let Some(division) = state.divisions.get(service) else {
            return Plan::default();
        };
        let slots = division.home_slots(self.home.region, self.home.regions);
        let pinned: BTreeMap<SlotId, KeyHash> =
            division.pins.iter().map(|(key, id)| (*id, *key)).collect();
        let rate = |id: SlotId| match pinned.get(&id) {
            Some(key) => self.loads.pin_rate(service, *key, id),
            None => self.loads.slot_rate(service, id),
        };
        let loads = slots.map(|(id, slot)| SlotLoad {
            slot: id,
            owner: (slot.phase == Phase::Held).then_some(slot.owner),
            load: rate(id),
        });
        Plan::new(capacity, loads.collect())
    }

    fn slots_to_freeze(&self, state: &State, service: &str, plan: &Plan, now: Mono) -> Vec<SlotId> {
        let Some(division) = state.divisions.get(service) else {
            return Vec::new();
        };
        let mut frozen = 0;
        let mut freeze = Vec::new();
        for (id, slot) in division.home_slots(self.home.region, self.home.regions) {
            frozen += usize::from(slot.phase == Phase::Frozen);
            let misplaced = slot.phase == Phase::Held && !plan.takes(slot.owner);
            if misplaced {
                freeze.push(id);
            }
        }
        let settled = frozen == 0 && freeze.is_empty() && !self.is_quiet(now);
        if settled && self.rebalance {
            return plan.relieve();
        }
        freeze
    }

    /// Returns the slots that may get an owner now.
    fn released(&self, state: &State, service: &str, now: Mono) -> BTreeSet<SlotId> {
        let mut released = BTreeSet::new();
        let Some(division) = state.divisions.get(service) else {
            return released;
        };
        let drained = self.routes.values().map(|r| r.drained).min();
        for (id, slot) in division.home_slots(self.home.region, self.home.regions) {
            let is_released = match slot.phase {
                Phase::Held => false,
                Phase::Free => true,
                Phase::Frozen => {
                    let routes_done = drained.is_none_or(|d| d >= slot.changed);
                    let grant = self.grants.get(&slot.owner);
                    let owner_done = grant.is_none_or(|g| g.acked >= slot.changed);
                    !self.is_quiet(now) && routes_done && owner_done
                }
            };
            if is_released {
                released.insert(id);
            }
        }
        released
    }

    fn decide_pins(&self, state: &State, service: &str, plan: &Plan, commands: &mut Vec<Command>) {
        let Some(division) = state.divisions.get(service) else {
            return;
        };
        let mean = plan.mean_load();
        let change = |key: KeyHash| PinChange {
            service: service.to_string(),
            key,
        };
        for (key, rate) in self.loads.keys(service) {
            let hot = *rate > mean * PIN_ABOVE_SHARE && *rate > PIN_RATE_MIN;
            if hot && !division.pins.contains_key(key) {
                commands.push(Command::Pin(change(*key)));
            }
        }
        for (key, slot) in &division.pins {
            if self.is_warm(plan, self.loads.pin_rate(service, *key, *slot)) {
                continue;
            }
            let pinned = division.slot(*slot);
            let base = division.slot(key.slot(division.count));
            let same_owner = pinned.map(|s| s.owner) == base.map(|s| s.owner);
            commands.push(if same_owner {
                Command::Unpin(change(*key))
            } else {
                Command::Freeze(SlotList {
                    service: service.to_string(),
                    slots: vec![*slot],
                })
            });
        }
    }

    /// Returns the owner that a cold pinned slot should go back to: that of the key's hash slot.
    fn cold_pin_owner(
        &self,
        state: &State,
        service: &str,
        plan: &Plan,
        slot: SlotId,
    ) -> Option<UpstreamId> {
        let division = state.divisions.get(service)?;
        let (key, _) = division.pins.iter().find(|(_, id)| **id == slot)?;
        if self.is_warm(plan, self.loads.pin_rate(service, *key, slot)) {
            return None;
        }
        let base = division.slot(key.slot(division.count))?;
        let held = base.phase == Phase::Held && plan.takes(base.owner);
        held.then_some(base.owner)
    }

    fn is_warm(&self, plan: &Plan, rate: f64) -> bool {
        rate >= plan.mean_load() * UNPIN_BELOW_SHARE && rate >= PIN_RATE_MIN / 2.0
    }
}

fn granted_slots(state: &State, id: UpstreamId) -> Vec<Granted> {
    let mut granted = Vec::new();
    for (service, division) in &state.divisions {
        for (i, slot) in division.slots.iter().enumerate() {
            if slot.phase == Phase::Held && slot.owner == id {
                granted.push(Granted {
                    service: service.clone(),
                    slot: SlotId(i as u32),
                    fence: slot.fence,
                });
            }
        }
    }
    granted
}
