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
pub struct Gap;

/// Where a key's slot stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This upstream serves it, under this fence.
    Held(Ownership),
    /// It has no owner at present.
    Waiting,
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
pub struct Table {
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

impl Table {
    /// Applies an update.
    ///
    /// # Errors
    ///
    /// [`Gap`] when it belongs to another version; the table stays as it is.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::cell::state::{Command, State};
    /// use carobreel::document::Document;
    /// use carobreel::entry::table::Table;
    ///
    /// let mut state = State::default();
    /// state.apply(Command::Install(Document { number: 1, ..Document::default() }));
    /// let mut table = Table::default();
    /// table.apply(state.update_since(table.version)).unwrap();
    /// assert_eq!(table.document.number, 1);
    /// ```
    pub fn apply(&mut self, update: Update) -> Result<(), Gap> {
        if update.to < self.version {
            return Err(Gap);
        }
        if update.from == 0 {
            *self = Table::default();
        } else if update.from != self.version {
            return Err(Gap);
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
                put_slot(&mut division.slots, id, slot);
            }
            if let Some(pins) = changes.pins {
                division.pins = pins;
            }
        }
        self.select();
        Ok(())
    }

    /// Returns the owner of a key of a keyed service.
    pub fn owner(&self, service: &str, key: KeyHash) -> Owner {
        let Some(division) = self.divisions.get(service) else {
            return Owner::Waiting;
        };
        let id = division.slot_of(key);
        match division.slot(id) {
            Some(slot) if slot.phase == SlotPhase::Held => Owner::Held(Ownership {
                slot: id,
                upstream: slot.owner,
                fence: slot.fence,
            }),
            _ => Owner::Waiting,
        }
    }

    /// Returns the upstreams that take new work for a service.
    pub fn selected(&self, service: &str) -> &[UpstreamId] {
        self.selected.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns what an upstream said about itself.
    pub fn announcement(&self, id: UpstreamId) -> Option<&Announcement> {
        self.upstreams.get(&id).map(|u| &u.announcement)
    }

    fn select(&mut self) {
        let names = self.document.services.keys();
        let select = |name: &String| eligible_upstreams(&self.document, &self.upstreams, name);
        self.selected = names
            .map(|name| (name.clone(), select(name).into_iter().collect()))
            .collect();
    }
}

fn put_slot(slots: &mut Vec<Slot>, id: SlotId, slot: Slot) {
    let place = id.0 as usize;
    if slots.len() <= place {
        slots.resize(place + 1, Slot::default());
    }
    slots[place] = slot;
}
