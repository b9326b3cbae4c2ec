//! An entry host's copy of its cell's routing table.

use std::collections::BTreeMap;

use crate::cell::state::{
    eligible_upstreams, Announcement, Slot, SlotPhase, SlotTable, Upstream, UpstreamId,
};
use crate::cell::update::Update;
use crate::document::Document;
use crate::slot::{KeyHash, SlotId};

/// The error of an update that doesn't follow the current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionGap;

/// The owner of a slot, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOwner {
    /// An upstream owns the slot, under a fence.
    Held(Ownership),
    /// The slot has no owner at present.
    Unassigned,
}

/// A slot with its owner and its fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// The slot.
    pub slot: SlotId,
    /// The upstream that owns it.
    pub upstream: UpstreamId,
    /// The fence that requests carry.
    pub fence: u64,
}

/// The routing table at one version.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// The version of the table.
    pub version: u64,
    /// The document in force.
    pub document: Document,
    /// The upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// The slots of keyed services, by service.
    pub slot_tables: BTreeMap<String, SlotTable>,
    /// The upstreams that take new work, by service.
    pub upstreams_by_service: BTreeMap<String, Vec<UpstreamId>>,
}

impl RoutingTable {
    /// Applies an update to the table.
    ///
    /// # Errors
    ///
    /// Returns [`VersionGap`] when the update starts from another version; the table isn't changed.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::cell::state::{Command, State};
    /// use carobreel::document::Document;
    /// use carobreel::entry::table::RoutingTable;
    ///
    /// let mut state = State::default();
    /// state.apply(Command::Install(Document { number: 1, ..Document::default() }));
    /// let mut table = RoutingTable::default();
    /// table.apply(state.update_since(table.version)).unwrap();
    /// assert_eq!(table.document.number, 1);
    /// ```
    pub fn apply(&mut self, update: Update) -> Result<(), VersionGap> {
        if update.to_version < self.version {
            return Err(VersionGap);
        }
        if update.from_version == 0 {
            *self = RoutingTable::default();
        } else if update.from_version != self.version {
            return Err(VersionGap);
        }
        self.version = update.to_version;
        if let Some(document) = update.document {
            self.document = document;
        }
        for id in &update.removed {
            self.upstreams.remove(id);
        }
        self.upstreams.extend(update.upstreams);
        for (name, changes) in update.slot_tables {
            let slot_table = self.slot_tables.entry(name).or_default();
            slot_table.hash_slot_count = changes.hash_slot_count;
            for (id, slot) in changes.slots {
                set_slot(&mut slot_table.slots, id, slot);
            }
            if let Some(pins) = changes.pins {
                slot_table.pins = pins;
            }
        }
        self.refresh_selected();
        Ok(())
    }

    /// Returns the owner of a key's slot in a keyed service.
    pub fn owner(&self, service: &str, key: KeyHash) -> SlotOwner {
        let Some(slot_table) = self.slot_tables.get(service) else {
            return SlotOwner::Unassigned;
        };
        let id = slot_table.slot_of(key);
        match slot_table.slot(id) {
            Some(slot) if slot.phase == SlotPhase::Held => SlotOwner::Held(Ownership {
                slot: id,
                upstream: slot.owner,
                fence: slot.fence,
            }),
            _ => SlotOwner::Unassigned,
        }
    }

    /// Returns the upstreams that take new work for a service.
    pub fn upstreams_of(&self, service: &str) -> &[UpstreamId] {
        self.upstreams_by_service
            .get(service)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns an upstream's announcement.
    pub fn announcement(&self, id: UpstreamId) -> Option<&Announcement> {
        self.upstreams.get(&id).map(|u| &u.announcement)
    }

    fn refresh_selected(&mut self) {
        let names = self.document.services.keys();
        let select = |name: &String| eligible_upstreams(&self.document, &self.upstreams, name);
        self.upstreams_by_service = names
            .map(|name| (name.clone(), select(name).into_iter().collect()))
            .collect();
    }
}

fn set_slot(slots: &mut Vec<Slot>, id: SlotId, slot: Slot) {
    let index = id.0 as usize;
    if slots.len() <= index {
        slots.resize(index + 1, Slot::default());
    }
    slots[index] = slot;
}
