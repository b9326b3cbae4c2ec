//! Where a replica keeps what must last: a folder, or a fake in tests.

use error_stack::Report;

use crate::raft::{Entry, HardState, Snapshot};
use crate::storage::{Storage, StorageError};

/// Where a replica keeps what must last.
pub trait Store {
    /// Stores a hard state and entries; they last when this returns.
    fn append(
        &mut self,
        hard: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), Report<StorageError>>;
    /// Stores a snapshot and the entries after it.
    fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        entries_after: &[Entry],
    ) -> Result<(), Report<StorageError>>;
    /// Tells whether a snapshot is due.
    fn is_snapshot_due(&self) -> bool;
}

impl Store for Storage {
    fn append(
        &mut self,
        hard: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), Report<StorageError>> {
        Storage::append(self, hard, entries)
    }

    fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        entries_after: &[Entry],
    ) -> Result<(), Report<StorageError>> {
        Storage::save_snapshot(self, snapshot, entries_after)
    }

    fn is_snapshot_due(&self) -> bool {
        Storage::is_snapshot_due(self)
    }
}
