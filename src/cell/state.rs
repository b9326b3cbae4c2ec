//! The replicated state of a cell, and how commands change it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::slot::{home_region, KeyHash, SlotId};

pub use super::command::{
    Announcement, Assignment, Command, Outcome, PinChange, RouterId, SlotList, UpstreamId,
};

/// The most pinned keys of one service.
pub const PINS_MAX: usize = 64;
/// Removed upstreams that are remembered so that differences can name them.
const REMOVED_MAX: usize = 1024;
/// Decided document numbers that are remembered for resends.
const DECISIONS_MAX: usize = 2048;

/// An upstream that a cell knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// What it said about itself.
    pub announcement: Announcement,
    /// Whether it asked for no new work.
    pub leaving: bool,
    /// The version at which its record or its slots last changed.
    pub changed: u64,
}

/// Where a slot stands between two owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
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
    pub phase: Phase,
    /// The version at which the owner got it; higher than any earlier owner's.
    pub fence: u64,
    /// The version at which this record last changed.
    pub changed: u64,
}

/// A keyed service's slots and pinned keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Division {
    /// The number of hash slots.
    pub count: u32,
    /// Hash slots, then one slot for each place of a pinned key.
    pub slots: Vec<Slot>,
    /// Pinned keys and their slots.
    pub pins: BTreeMap<KeyHash, SlotId>,
    /// The version at which the pins last changed.
    pub pins_changed: u64,
}

impl Division {
    fn new(count: u32) -> Division {
        Division {
            count,
            slots: vec![Slot::default(); count as usize],
            ..Division::default()
        }
    }

    /// Returns the slot that holds a key.
    pub fn slot_of(&self, key: KeyHash) -> SlotId {
        let pinned = self.pins.get(&key).copied();
        pinned.unwrap_or_else(|| key.slot(self.count))
    }

    /// Returns a slot's record.
    pub fn slot(&self, id: SlotId) -> Option<&Slot> {
        self.slots.get(id.0 as usize)
    }

    /// Returns the slots in use by id: all hash slots of the region at place `region` and the pins.
    pub fn home_slots(
        &self,
        region: usize,
        regions: usize,
    ) -> impl Iterator<Item = (SlotId, &Slot)> {
        let pinned: BTreeSet<SlotId> = self.pins.values().copied().collect();
        let count = self.count;
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
        let mut id = SlotId(self.count);
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
pub fn eligible(
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
    pub document_changed: u64,
    /// Upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Keyed services by name.
    pub divisions: BTreeMap<String, Division>,
    /// Entry hosts by name.
    pub routers: BTreeMap<String, Router>,
    /// Documents that won a number, by number: the digest.
    pub decided: BTreeMap<u64, u64>,
    /// The newest decided document, which every cell must come to hold.
    pub newest: Document,
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
            Command::Pin(change) => self.pin(change),
            Command::Unpin(change) => self.unpin(change),
        }
    }

    /// Returns the upstreams that `service` selects and that take new work.
    pub fn eligible(&self, service: &str) -> BTreeSet<UpstreamId> {
        eligible(&self.document, &self.upstreams, service)
    }

    /// Returns the upstream with a name.
    pub fn upstream_named(&self, name: &str) -> Option<(UpstreamId, &Upstream)> {
        let mut all = self.upstreams.iter();
        all.find(|(_, u)| u.announcement.name == name)
            .map(|(id, u)| (*id, u))
    }

    /// Returns whether an upstream owns a slot, frozen ones included.
    pub fn owns_any(&self, id: UpstreamId) -> bool {
        let mut slots = self.divisions.values().flat_map(|d| d.slots.iter());
        slots.any(|s| s.phase != Phase::Free && s.owner == id)
    }

    /// Returns the upstreams removed after `version`, or `None` when that is no longer known.
    pub fn removed_since(&self, version: u64) -> Option<Vec<UpstreamId>> {
        let oldest_known = match self.removed.front() {
            Some((first, _)) if self.removed.len() >= REMOVED_MAX => *first,
            _ => 0,
        };
        if version < oldest_known {
            return None;
        }
        let newer = self.removed.iter().filter(|(at, _)| *at > version);
        Some(newer.map(|(_, id)| *id).collect())
    }

    fn bump(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    fn announce(&mut self, announcement: Announcement) -> Outcome {
        if let Some((id, known)) = self.upstream_named(&announcement.name) {
            if known.announcement.instance == announcement.instance {
                return Outcome::Announced(id);
            }
            self.retire(id);
        }
        let id = UpstreamId(self.next_upstream);
        self.next_upstream += 1;
        let changed = self.bump();
        let upstream = Upstream {
            announcement,
            leaving: false,
            changed,
        };
        self.upstreams.insert(id, upstream);
        Outcome::Announced(id)
    }

    /// Renames the record of an upstream's earlier instance and lets it go as one that leaves.
    fn retire(&mut self, id: UpstreamId) {
        let changed = self.bump();
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.announcement.name.push_str("#earlier");
        upstream.leaving = true;
        upstream.changed = changed;
    }

    fn register(&mut self, id: RouterId) -> Outcome {
        let known = self.routers.get(&id.host).copied();
        let router = match known {
            Some(router) if router.instance == id.instance => router,
            _ => Router {
                instance: id.instance,
                has_predecessor: known.is_some(),
            },
        };
        self.routers.insert(id.host, router);
        Outcome::Registered {
            has_predecessor: router.has_predecessor,
        }
    }

    fn leave(&mut self, id: UpstreamId) -> Outcome {
        let changed = self.version + 1;
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return Outcome::Stale;
        };
        if !upstream.leaving {
            upstream.leaving = true;
            upstream.changed = changed;
            self.version = changed;
        }
        Outcome::Done
    }

    fn forget(&mut self, id: UpstreamId) -> Outcome {
        if self.owns_any(id) || self.upstreams.remove(&id).is_none() {
            return Outcome::Stale;
        }
        let version = self.bump();
        self.removed.push_back((version, id));
        if self.removed.len() > REMOVED_MAX {
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
        let next = self.newest.number + 1;
        if number != next {
            return Outcome::WrongNumber { next };
        }
        self.decided.insert(number, digest);
        while self.decided.len() > DECISIONS_MAX {
            self.decided.pop_first();
        }
        self.newest = document;
        Outcome::Done
    }

    fn install(&mut self, document: Document) -> Outcome {
        if document.number <= self.document.number {
            return Outcome::Done;
        }
        let changed = self.bump();
        for (name, service) in &document.services {
            if service.divided_by_key && !self.divisions.contains_key(name) {
                let division = Division::new(service.slots);
                self.divisions.insert(name.clone(), division);
            }
        }
        if document.number > self.newest.number {
            self.newest = document.clone();
        }
        self.document = document;
        self.document_changed = changed;
        Outcome::Done
    }

    fn freeze(&mut self, list: SlotList) -> Outcome {
        let version = self.version + 1;
        let Some(division) = self.divisions.get_mut(&list.service) else {
            return Outcome::Stale;
        };
        let mut owners = BTreeSet::new();
        for id in list.slots {
            let Some(slot) = division.slots.get_mut(id.0 as usize) else {
                continue;
            };
            if slot.phase != Phase::Held {
                continue;
            }
            slot.phase = Phase::Frozen;
            slot.changed = version;
            owners.insert(slot.owner);
        }
        self.touch(version, owners)
    }

    fn assign(&mut self, assignments: Vec<Assignment>) -> Outcome {
        let version = self.version + 1;
        let mut owners = BTreeSet::new();
        for assignment in assignments {
            if !self.upstreams.contains_key(&assignment.owner) {
                continue;
            }
            let Some(division) = self.divisions.get_mut(&assignment.service) else {
                continue;
            };
            let Some(slot) = division.slots.get_mut(assignment.slot.0 as usize) else {
                continue;
            };
            if slot.phase == Phase::Held {
                continue;
            }
            assert!(version > slot.fence, "a fence is higher than all before it");
            owners.extend([slot.owner, assignment.owner]);
            *slot = Slot {
                owner: assignment.owner,
                phase: Phase::Held,
                fence: version,
                changed: version,
            };
        }
        self.touch(version, owners)
    }

    fn pin(&mut self, change: PinChange) -> Outcome {
        let version = self.version + 1;
        let Some(division) = self.divisions.get_mut(&change.service) else {
            return Outcome::Stale;
        };
        if division.pins.contains_key(&change.key) || division.pins.len() >= PINS_MAX {
            return Outcome::Stale;
        }
        let base = division.slots[change.key.slot(division.count).0 as usize];
        if base.phase != Phase::Held {
            return Outcome::Stale;
        }
        let id = division.free_pin_slot();
        let place = id.0 as usize;
        if division.slots.len() <= place {
            division.slots.resize(place + 1, Slot::default());
        }
        assert!(division.slots[place].phase != Phase::Held || division.slots[place].fence > 0);
        division.slots[place] = Slot {
            fence: version,
            changed: version,
            ..base
        };
        division.pins.insert(change.key, id);
        division.pins_changed = version;
        self.touch(version, BTreeSet::from([base.owner]))
    }

    fn unpin(&mut self, change: PinChange) -> Outcome {
        let version = self.version + 1;
        let Some(division) = self.divisions.get_mut(&change.service) else {
            return Outcome::Stale;
        };
        let Some(id) = division.pins.get(&change.key).copied() else {
            return Outcome::Stale;
        };
        let base = division.slots[change.key.slot(division.count).0 as usize];
        let pinned = division.slots[id.0 as usize];
        let same = base.phase == Phase::Held && pinned.phase == Phase::Held;
        if !same || base.owner != pinned.owner {
            return Outcome::Stale;
        }
        division.pins.remove(&change.key);
        division.pins_changed = version;
        division.slots[id.0 as usize] = Slot {
            changed: version,
            ..Slot::default()
        };
        self.touch(version, BTreeSet::from([base.owner]))
    }

    fn touch(&mut self, version: u64, owners: BTreeSet<UpstreamId>) -> Outcome {
        if owners.is_empty() {
            return Outcome::Stale;
        }
        self.version = version;
        for owner in owners {
            if let Some(upstream) = self.upstreams.get_mut(&owner) {
                upstream.changed = version;
            }
        }
        Outcome::Done
    }
}
