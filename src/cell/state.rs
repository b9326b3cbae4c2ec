//! The replicated state of a cell, and how commands change it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::slot::{home_region, KeyHash, SlotId};

pub use super::command::{
    Announcement, Assignment, Command, Outcome, RouterId, ServiceKey, SlotList, UpstreamId,
};

/// The most pinned keys of one service.
pub const PINS_MAX: usize = 64;
/// Removed upstreams that are remembered so that differences can name them.
const REMOVED_UPSTREAMS_MAX: usize = 1024;
/// Decided document numbers that are remembered for resends.
const DECIDED_DOCUMENTS_MAX: usize = 2048;

/// An upstream that a cell knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// What it said about itself.
    pub announcement: Announcement,
    /// Whether it asked for no new work.
    pub leaving: bool,
    /// The version at which its record or its slots last changed.
    #[serde(rename = "changed")]
    pub changed_version: u64,
}

/// Where a slot stands between two owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotPhase {
    /// Nobody owns it.
    #[default]
    Free,
    /// The owner serves it.
    Held,
    /// The owner must stop; nobody is sent requests for it.
    Frozen,
}

/// One slot of a keyed service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The owner, or the last one while the slot is frozen.
    pub owner: UpstreamId,
    /// Whether the owner may serve it.
    pub phase: SlotPhase,
    /// The version at which the owner got it; higher than any earlier owner's.
    pub fence: u64,
    /// The version at which this record last changed.
    #[serde(rename = "changed")]
    pub changed_version: u64,
}

/// A keyed service's slots and pinned keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotTable {
    /// The number of hash slots.
    #[serde(rename = "count")]
    pub hash_slot_count: u32,
    /// Hash slots, then one slot for each place of a pinned key.
    pub slots: Vec<Slot>,
    /// Pinned keys and their slots.
    pub pins: BTreeMap<KeyHash, SlotId>,
    /// The version at which the pins last changed.
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

    /// Returns the slot that holds a key.
    pub fn slot_of(&self, key: KeyHash) -> SlotId {
        let pinned = self.pins.get(&key).copied();
        pinned.unwrap_or_else(|| key.slot(self.hash_slot_count))
    }

    /// Returns a slot's record.
    pub fn slot(&self, id: SlotId) -> Option<&Slot> {
        self.slots.get(id.0 as usize)
    }

    /// Returns the slots in use by id: all hash slots of the region at place `region` and the pins.
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

/// The newest process of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// Drawn at its start.
    pub instance: u64,
    /// Whether another process of the host ran before it.
    pub has_predecessor: bool,
}

/// Returns the upstreams that `service` of a document selects and that take new work.
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

/// One cell's replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Grows with each change that tables or grants can see.
    pub version: u64,
    /// The document in force.
    pub document: Document,
    /// The version at which it came into force.
    #[serde(rename = "document_changed")]
    pub document_changed_version: u64,
    /// Upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Keyed services by name.
    #[serde(rename = "divisions")]
    pub slot_tables: BTreeMap<String, SlotTable>,
    /// Entry hosts by name.
    pub routers: BTreeMap<String, Router>,
    /// Documents that won a number, by number: the digest.
    pub decided: BTreeMap<u64, u64>,
    /// The newest decided document, which every cell must come to hold.
    #[serde(rename = "newest")]
    pub newest_document: Document,
    removed: VecDeque<(u64, UpstreamId)>,
    next_upstream: u32,
}

impl State {
    /// Applies a command.
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

    /// Returns the upstreams that `service` selects and that take new work.
    pub fn eligible_upstreams(&self, service: &str) -> BTreeSet<UpstreamId> {
        eligible_upstreams(&self.document, &self.upstreams, service)
    }

    /// Returns the upstream with a name.
    pub fn upstream_named(&self, name: &str) -> Option<(UpstreamId, &Upstream)> {
        let mut all = self.upstreams.iter();
        all.find(|(_, u)| u.announcement.name == name)
            .map(|(id, u)| (*id, u))
    }

    /// Returns whether an upstream owns a slot, frozen ones included.
    pub fn owns_slots(&self, id: UpstreamId) -> bool {
        let mut slots = self.slot_tables.values().flat_map(|d| d.slots.iter());
        slots.any(|s| s.phase != SlotPhase::Free && s.owner == id)
    }

    /// Returns the upstreams removed after `version`, or `None` when that is no longer known.
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

    /// Renames the record of an upstream's earlier instance and lets it go as one that leaves.
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
            assert!(version > slot.fence, "a fence is higher than all before it");
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
