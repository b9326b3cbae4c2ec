//! The replicated state machine of a cell.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::slot::{home_region, KeyHash, SlotId};

pub use super::command::{
    Announcement, Assignment, Command, Outcome, RouterId, ServiceKey, SlotList, UpstreamId,
};

/// Maximum number of pinned keys per service.
pub const PINS_MAX: usize = 64;
/// Number of removed upstreams that are kept, so that incremental updates can list them.
const REMOVED_UPSTREAMS_MAX: usize = 1024;
/// Number of decided documents whose digests are kept, to answer repeated proposals.
const DECIDED_DOCUMENTS_MAX: usize = 2048;

/// An upstream registered in the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The upstream's own description of itself.
    pub announcement: Announcement,
    /// Whether the upstream asked to receive no new work.
    pub leaving: bool,
    /// State version of the last change of this record or of the upstream's slots.
    #[serde(rename = "changed")]
    pub changed_version: u64,
}

/// Ownership state of a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotPhase {
    /// The slot has no owner.
    #[default]
    Free,
    /// The owner serves the slot.
    Held,
    /// The owner is being revoked: it must stop serving, and entry hosts send it no requests for the slot.
    Frozen,
}

/// Ownership record of one slot of a keyed service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The owner; of a frozen slot, the previous owner.
    pub owner: UpstreamId,
    /// Whether the owner may serve the slot.
    pub phase: SlotPhase,
    /// Fencing token: the version at which the owner got the slot, higher than that of any earlier owner.
    pub fence: u64,
    /// State version of the last change of this record.
    #[serde(rename = "changed")]
    pub changed_version: u64,
}

/// Slots and pinned keys of a keyed service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotTable {
    /// Number of hash slots.
    #[serde(rename = "count")]
    pub hash_slot_count: u32,
    /// The hash slots, followed by the slots of pinned keys.
    pub slots: Vec<Slot>,
    /// Pinned keys and the slot of each.
    pub pins: BTreeMap<KeyHash, SlotId>,
    /// State version of the last change of `pins`.
    #[serde(rename = "pins_changed")]
    pub pins_changed_version: u64,
}

impl SlotTable {
    fn new(hash_slot_count: u32) -> SlotTable {
        SlotTable {
            hash_slot_count,
            slots: vec![Slot::default(); hash_slot_count as usize],
            ..SlotTable::default()
        }
    }

    /// Returns the slot that a key belongs to.
    pub fn slot_of(&self, key: KeyHash) -> SlotId {
        let pinned = self.pins.get(&key).copied();
        pinned.unwrap_or_else(|| key.slot(self.hash_slot_count))
    }

    /// Returns a slot's ownership record.
    pub fn slot(&self, id: SlotId) -> Option<&Slot> {
        self.slots.get(id.0 as usize)
    }

    /// Returns the slots that a region's cell manages: the region's hash slots and all slots of pinned keys.
    pub fn slots_of_region(
        &self,
        region: usize,
        regions: usize,
    ) -> impl Iterator<Item = (SlotId, &Slot)> {
        let pinned: BTreeSet<SlotId> = self.pins.values().copied().collect();
        let count = self.hash_slot_count;
        let all = self.slots.iter().enumerate();
        all.map(|(i, s)| (SlotId(i as u32), s))
            .filter(move |(id, _)| {
                if id.0 < count {
                    return home_region(*id, regions) == region;
                }
                pinned.contains(id)
            })
    }

    fn free_pin_slot(&self) -> SlotId {
        let used: BTreeSet<SlotId> = self.pins.values().copied().collect();
        let mut id = SlotId(self.hash_slot_count);
        while used.contains(&id) {
            id.0 += 1;
        }
        id
    }
}

/// The latest registered process of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// Random number drawn at the start of the process.
    pub instance: u64,
    /// Whether another process of the host was registered before it.
    pub has_predecessor: bool,
}

/// Returns the upstreams that `service` selects in `document` and that accept new work.
pub fn eligible_upstreams(
    document: &Document,
    upstreams: &BTreeMap<UpstreamId, Upstream>,
    service: &str,
) -> BTreeSet<UpstreamId> {
    let selected = |u: &Upstream| {
        let a = &u.announcement;
        !u.leaving && document.selects(service, &a.name, &a.labels)
    };
    let all = upstreams.iter().filter(|(_, u)| selected(u));
    all.map(|(id, _)| *id).collect()
}

/// The replicated state of one cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Version of the state; incremented by each change that routing tables or grants depend on.
    pub version: u64,
    /// The installed document.
    pub document: Document,
    /// State version at which the document was installed.
    #[serde(rename = "document_changed")]
    pub document_changed_version: u64,
    /// Registered upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Slot tables of keyed services by service name.
    #[serde(rename = "divisions")]
    pub slot_tables: BTreeMap<String, SlotTable>,
    /// Registered processes by entry host name.
    pub routers: BTreeMap<String, Router>,
    /// Digests of decided documents by document number.
    pub decided: BTreeMap<u64, u64>,
    /// The latest decided document, which has to be installed in every cell.
    #[serde(rename = "newest")]
    pub newest_document: Document,
    removed: VecDeque<(u64, UpstreamId)>,
    next_upstream: u32,
}

impl State {
    /// Applies a committed command and returns its outcome.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::cell::state::{Command, Outcome, State};
    /// use carobreel::document::Document;
    ///
    /// let mut state = State::default();
    /// let document = Document { number: 1, ..Document::default() };
    /// assert_eq!(state.apply(Command::Install(document.clone())), Outcome::Done);
    /// assert_eq!(state.document, document);
    /// ```
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Announce(announcement) => self.announce(announcement),
            Command::Register(router) => self.register(router),
            Command::Leave(id) => self.leave(id),
            Command::Forget(id) => self.forget(id),
            Command::Decide(document) => self.decide(document),
            Command::Install(document) => self.install(document),
            Command::Freeze(list) => self.freeze(list),
            Command::Assign(assignments) => self.assign(assignments),
            Command::Pin(service_key) => self.pin(service_key),
            Command::Unpin(service_key) => self.unpin(service_key),
        }
    }

    /// Returns the upstreams that `service` selects and that accept new work.
    pub fn eligible_upstreams(&self, service: &str) -> BTreeSet<UpstreamId> {
        eligible_upstreams(&self.document, &self.upstreams, service)
    }

    /// Returns the upstream registered under a name.
    pub fn upstream_named(&self, name: &str) -> Option<(UpstreamId, &Upstream)> {
        let mut all = self.upstreams.iter();
        all.find(|(_, u)| u.announcement.name == name)
            .map(|(id, u)| (*id, u))
    }

    /// Reports whether an upstream owns any slot, frozen slots included.
    pub fn owns_slots(&self, id: UpstreamId) -> bool {
        let mut slots = self.slot_tables.values().flat_map(|t| t.slots.iter());
        slots.any(|s| s.phase != SlotPhase::Free && s.owner == id)
    }

    /// Returns the upstreams removed after `version`, or `None` if the record doesn't reach back that far.
    pub fn removed_since(&self, version: u64) -> Option<Vec<UpstreamId>> {
        let oldest_known = match self.removed.front() {
            Some((first, _)) if self.removed.len() >= REMOVED_UPSTREAMS_MAX => *first,
            _ => 0,
        };
        if version < oldest_known {
            return None;
        }
        let newer = self.removed.iter().filter(|(at, _)| *at > version);
        Some(newer.map(|(_, id)| *id).collect())
    }

    fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    fn announce(&mut self, announcement: Announcement) -> Outcome {
        if let Some((id, existing)) = self.upstream_named(&announcement.name) {
            if existing.announcement.instance == announcement.instance {
                return Outcome::Announced(id);
            }
            self.retire_instance(id);
        }
        let id = UpstreamId(self.next_upstream);
        self.next_upstream += 1;
        let changed_version = self.next_version();
        let upstream = Upstream {
            announcement,
            leaving: false,
            changed_version,
        };
        self.upstreams.insert(id, upstream);
        Outcome::Announced(id)
    }

    /// Renames the record of an upstream's earlier instance and marks it as leaving.
    fn retire_instance(&mut self, id: UpstreamId) {
        let changed_version = self.next_version();
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.announcement.name.push_str("#earlier");
        upstream.leaving = true;
        upstream.changed_version = changed_version;
    }

    fn register(&mut self, id: RouterId) -> Outcome {
        let existing = self.routers.get(&id.host).copied();
        let router = match existing {
            Some(router) if router.instance == id.instance => router,
            _ => Router {
                instance: id.instance,
                has_predecessor: existing.is_some(),
            },
        };
        self.routers.insert(id.host, router);
        Outcome::Registered {
            has_predecessor: router.has_predecessor,
        }
    }

    fn leave(&mut self, id: UpstreamId) -> Outcome {
        let changed_version = self.version + 1;
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return Outcome::Stale;
        };
        if !upstream.leaving {
            upstream.leaving = true;
            upstream.changed_version = changed_version;
            self.version = changed_version;
        }
        Outcome::Done
    }

    fn forget(&mut self, id: UpstreamId) -> Outcome {
        if self.owns_slots(id) || self.upstreams.remove(&id).is_none() {
            return Outcome::Stale;
        }
        let version = self.next_version();
        self.removed.push_back((version, id));
        if self.removed.len() > REMOVED_UPSTREAMS_MAX {
            self.removed.pop_front();
        }
        Outcome::Done
    }

    fn decide(&mut self, document: Document) -> Outcome {
        let number = document.number;
        let digest = document.digest();
        if let Some(winner) = self.decided.get(&number) {
            if *winner == digest {
                return Outcome::Done;
            }
            return Outcome::Conflict { winner: *winner };
        }
        let next = self.newest_document.number + 1;
        if number != next {
            return Outcome::WrongNumber { next };
        }
        self.decided.insert(number, digest);
        while self.decided.len() > DECIDED_DOCUMENTS_MAX {
            self.decided.pop_first();
        }
        self.newest_document = document;
        Outcome::Done
    }

    fn install(&mut self, document: Document) -> Outcome {
        if document.number <= self.document.number {
            return Outcome::Done;
        }
        let changed_version = self.next_version();
        for (name, service) in &document.services {
            if service.divided_by_key && !self.slot_tables.contains_key(name) {
                let slot_table = SlotTable::new(service.slots);
                self.slot_tables.insert(name.clone(), slot_table);
            }
        }
        if document.number > self.newest_document.number {
            self.newest_document = document.clone();
        }
        self.document = document;
        self.document_changed_version = changed_version;
        Outcome::Done
    }

    fn freeze(&mut self, list: SlotList) -> Outcome {
        let version = self.version + 1;
        let Some(slot_table) = self.slot_tables.get_mut(&list.service) else {
            return Outcome::Stale;
        };
        let mut owners = BTreeSet::new();
        for id in list.slots {
            let Some(slot) = slot_table.slots.get_mut(id.0 as usize) else {
                continue;
            };
            if slot.phase != SlotPhase::Held {
                continue;
            }
            slot.phase = SlotPhase::Frozen;
            slot.changed_version = version;
            owners.insert(slot.owner);
        }
        self.mark_changed(version, owners)
    }

    fn assign(&mut self, assignments: Vec<Assignment>) -> Outcome {
        let version = self.version + 1;
        let mut owners = BTreeSet::new();
        for assignment in assignments {
            if !self.upstreams.contains_key(&assignment.owner) {
                continue;
            }
            let Some(slot_table) = self.slot_tables.get_mut(&assignment.service) else {
                continue;
            };
            let Some(slot) = slot_table.slots.get_mut(assignment.slot.0 as usize) else {
                continue;
            };
            if slot.phase == SlotPhase::Held {
                continue;
            }
            assert!(version > slot.fence, "fencing tokens must increase");
            owners.extend([slot.owner, assignment.owner]);
            *slot = Slot {
                owner: assignment.owner,
                phase: SlotPhase::Held,
                fence: version,
                changed_version: version,
            };
        }
        self.mark_changed(version, owners)
    }

    fn pin(&mut self, service_key: ServiceKey) -> Outcome {
        let version = self.version + 1;
        let Some(slot_table) = self.slot_tables.get_mut(&service_key.service) else {
            return Outcome::Stale;
        };
        if slot_table.pins.contains_key(&service_key.key) || slot_table.pins.len() >= PINS_MAX {
            return Outcome::Stale;
        }
        let hash_slot =
            slot_table.slots[service_key.key.slot(slot_table.hash_slot_count).0 as usize];
        if hash_slot.phase != SlotPhase::Held {
            return Outcome::Stale;
        }
        let id = slot_table.free_pin_slot();
        let index = id.0 as usize;
        if slot_table.slots.len() <= index {
            slot_table.slots.resize(index + 1, Slot::default());
        }
        assert!(
            slot_table.slots[index].phase != SlotPhase::Held || slot_table.slots[index].fence > 0
        );
        slot_table.slots[index] = Slot {
            fence: version,
            changed_version: version,
            ..hash_slot
        };
        slot_table.pins.insert(service_key.key, id);
        slot_table.pins_changed_version = version;
        self.mark_changed(version, BTreeSet::from([hash_slot.owner]))
    }

    fn unpin(&mut self, service_key: ServiceKey) -> Outcome {
        let version = self.version + 1;
        let Some(slot_table) = self.slot_tables.get_mut(&service_key.service) else {
            return Outcome::Stale;
        };
        let Some(id) = slot_table.pins.get(&service_key.key).copied() else {
            return Outcome::Stale;
        };
        let hash_slot =
            slot_table.slots[service_key.key.slot(slot_table.hash_slot_count).0 as usize];
        let pinned = slot_table.slots[id.0 as usize];
        let both_held = hash_slot.phase == SlotPhase::Held && pinned.phase == SlotPhase::Held;
        if !both_held || hash_slot.owner != pinned.owner {
            return Outcome::Stale;
        }
        slot_table.pins.remove(&service_key.key);
        slot_table.pins_changed_version = version;
        slot_table.slots[id.0 as usize] = Slot {
            changed_version: version,
            ..Slot::default()
        };
        self.mark_changed(version, BTreeSet::from([hash_slot.owner]))
    }

    fn mark_changed(&mut self, version: u64, owners: BTreeSet<UpstreamId>) -> Outcome {
        if owners.is_empty() {
            return Outcome::Stale;
        }
        self.version = version;
        for owner in owners {
            if let Some(upstream) = self.upstreams.get_mut(&owner) {
                upstream.changed_version = version;
            }
        }
        Outcome::Done
    }
}
