//! Durable storage of a replica; tests use an in-memory implementation.

use error_stack::Report;

use crate::raft::{Entry, HardState, Snapshot};
use crate::storage::{Storage, StorageError};

/// Durable storage of a replica's hard state, log and snapshot.
pub trait Store {
    /// Stores a hard state and entries durably.
    fn append(
        &mut self,
        hard: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), Report<StorageError>>;
    /// Stores a snapshot and replaces the log by the entries after it, durably.
    fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        entries_after: &[Entry],
    ) -> Result<(), Report<StorageError>>;
    /// Reports whether the log has grown so long that a snapshot should be taken.
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
