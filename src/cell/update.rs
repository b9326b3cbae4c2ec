//! Incremental updates of a cell's state, sent to entry hosts with their routing leases.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::slot::{KeyHash, SlotId};

use super::state::{Slot, State, Upstream, UpstreamId};

/// Changes of one keyed service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotTableUpdate {
    /// Number of hash slots.
    pub hash_slot_count: u32,
    /// Slots that changed.
    pub slots: Vec<(SlotId, Slot)>,
    /// All pinned keys, if any pin changed or the update is the whole state.
    pub pins: Option<BTreeMap<KeyHash, SlotId>>,
}

/// Changes from one version to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version that the changes apply to; 0 if they are the whole state.
    pub from_version: u64,
    /// Version after the changes.
    pub to_version: u64,
    /// The document, if it changed or the update is the whole state.
    pub document: Option<Document>,
    /// New and changed upstreams.
    pub upstreams: Vec<(UpstreamId, Upstream)>,
    /// Removed upstreams.
    pub removed: Vec<UpstreamId>,
    /// Changed slot tables by service name.
    pub slot_tables: BTreeMap<String, SlotTableUpdate>,
}

impl State {
    /// Returns the changes since `version`, or the whole state if `version` is too old for an increment.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::cell::state::{Command, State};
    /// use carobreel::document::Document;
    ///
    /// let mut state = State::default();
    /// state.apply(Command::Install(Document { number: 1, ..Document::default() }));
    /// assert!(state.update_since(0).document.is_some());
    /// assert!(state.update_since(state.version).document.is_none());
    /// ```
    pub fn update_since(&self, version: u64) -> Update {
        let removed = self.removed_since(version);
        let from = match removed {
            Some(_) if version <= self.version => version,
            _ => 0,
        };
        let upstreams = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.changed_version > from);
        let slot_tables = self.slot_tables.iter().filter_map(|(name, table)| {
            let changed = table
                .slots
                .iter()
                .enumerate()
                .filter(|(_, s)| s.changed_version > from);
            let update = SlotTableUpdate {
                hash_slot_count: table.hash_slot_count,
                slots: changed.map(|(i, s)| (SlotId(i as u32), *s)).collect(),
                pins: (table.pins_changed_version > from || from == 0).then(|| table.pins.clone()),
            };
            let is_unchanged = update.slots.is_empty() && update.pins.is_none();
            (!is_unchanged).then(|| (name.clone(), update))
        });
        Update {
            from_version: from,
            to_version: self.version,
            document: (self.document_changed_version > from || from == 0)
                .then(|| self.document.clone()),
            upstreams: upstreams.map(|(id, u)| (*id, u.clone())).collect(),
            removed: removed.unwrap_or_default(),
            slot_tables: slot_tables.collect(),
        }
    }
}
