//! What changed in a cell's state since a version: sent to entry hosts with their leases.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::slot::{KeyHash, SlotId};

use super::state::{Slot, State, Upstream, UpstreamId};

/// Changes of one keyed service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DivisionUpdate {
    /// The number of hash slots.
    pub count: u32,
    /// Slots that changed.
    pub slots: Vec<(SlotId, Slot)>,
    /// All pinned keys, when one changed.
    pub pins: Option<BTreeMap<KeyHash, SlotId>>,
}

/// Changes from one version to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The version that the changes apply to; 0 means that they are the whole state.
    pub from: u64,
    /// The version that they lead to.
    pub to: u64,
    /// The document, when it changed.
    pub document: Option<Document>,
    /// Upstreams that are new or changed.
    pub upstreams: Vec<(UpstreamId, Upstream)>,
    /// Upstreams that are gone.
    pub removed: Vec<UpstreamId>,
    /// Keyed services with changes.
    pub divisions: BTreeMap<String, DivisionUpdate>,
}

impl State {
    /// Returns the changes since `version`, or the whole state when the changes are forgotten.
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
        let known = self.removed_since(version);
        let from = match known {
            Some(_) if version <= self.version => version,
            _ => 0,
        };
        let upstreams = self.upstreams.iter().filter(|(_, u)| u.changed > from);
        let divisions = self.divisions.iter().filter_map(|(name, d)| {
            let changed = d.slots.iter().enumerate().filter(|(_, s)| s.changed > from);
            let update = DivisionUpdate {
                count: d.count,
                slots: changed.map(|(i, s)| (SlotId(i as u32), *s)).collect(),
                pins: (d.pins_changed > from || from == 0).then(|| d.pins.clone()),
            };
            let empty = update.slots.is_empty() && update.pins.is_none();
            (!empty).then(|| (name.clone(), update))
        });
        Update {
            from,
            to: self.version,
            document: (self.document_changed > from || from == 0).then(|| self.document.clone()),
            upstreams: upstreams.map(|(id, u)| (*id, u.clone())).collect(),
            removed: known.unwrap_or_default(),
            divisions: divisions.collect(),
        }
    }
}
