//! An entry host's copy of its cell's table.

use std::collections::BTreeMap;

use crate::cell::state::{
    eligible_upstreams, Announcement, Slot, SlotPhase, SlotTable, Upstream, UpstreamId,
};
use crate::cell::update::Update;
use crate::document::Document;
use crate::slot::{KeyHash, SlotId};

/// An update that doesn't follow the version in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionGap;

/// Where a key's slot stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOwner {
    /// This upstream serves it, under this fence.
    Held(Ownership),
    /// It has no owner at present.
    Unassigned,
}

/// A slot's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// The slot.
    pub slot: SlotId,
    /// Its owner.
    pub upstream: UpstreamId,
    /// The fence that requests carry.
    pub fence: u64,
}

/// The table at one version.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// The version.
    pub version: u64,
    /// The document in force.
    pub document: Document,
    /// Upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Keyed services by name.
    pub divisions: BTreeMap<String, SlotTable>,
    /// The upstreams that take new work for each service.
    pub selected: BTreeMap<String, Vec<UpstreamId>>,
}

impl RoutingTable {
    /// Applies an update.
    ///
    /// # Errors
    ///
    /// [`VersionGap`] when it belongs to another version; the table stays as it is.
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
        if update.to < self.version {
            return Err(VersionGap);
        }
        if update.from == 0 {
            *self = RoutingTable::default();
        } else if update.from != self.version {
            return Err(VersionGap);
        }
        self.version = update.to;
        if let Some(document) = update.document {
            self.document = document;
        }
        for id in &update.removed {
            self.upstreams.remove(id);
        }
        self.upstreams.extend(update.upstreams);
        for (name, changes) in update.slot_tables {
            let division = self.divisions.entry(name).or_default();
            division.hash_slot_count = changes.hash_slot_count;
            for (id, slot) in changes.slots {
                set_slot(&mut division.slots, id, slot);
            }
            if let Some(pins) = changes.pins {
                division.pins = pins;
            }
        }
        self.refresh_selected();
        Ok(())
    }

    /// Returns the owner of a key of a keyed service.
    pub fn owner(&self, service: &str, key: KeyHash) -> SlotOwner {
        let Some(division) = self.divisions.get(service) else {
            return SlotOwner::Unassigned;
        };
        let id = division.slot_of(key);
        match division.slot(id) {
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
        self.selected.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns what an upstream said about itself.
    pub fn announcement(&self, id: UpstreamId) -> Option<&Announcement> {
        self.upstreams.get(&id).map(|u| &u.announcement)
    }

    fn refresh_selected(&mut self) {
        let names = self.document.services.keys();
        let select = |name: &String| eligible_upstreams(&self.document, &self.upstreams, name);
        self.selected = names
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
