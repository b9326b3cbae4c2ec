//! A replica's disk: everything appended is synced.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use carobreel::cell::store::Store;
use carobreel::raft::{Entry, HardState, ReplicaId, Snapshot};
use carobreel::storage::StorageError;
use error_stack::Report;

/// A disk: everything appended is synced.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub identity: Option<ReplicaId>,
    pub hard: HardState,
    pub snapshot: Snapshot,
    pub entries: Vec<Entry>,
    appended_entries: usize,
    /// Whether it refuses writes; shared by all copies.
    is_full: Arc<AtomicBool>,
}

impl Disk {
    pub fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::Relaxed);
    }

    fn check_writable(&self) -> Result<(), Report<StorageError>> {
        match self.is_full.load(Ordering::Relaxed) {
            true => Err(Report::new(StorageError::Io("full".into()))),
            false => Ok(()),
        }
    }
}

impl Store for Disk {
    fn append(
        &mut self,
        hard: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), Report<StorageError>> {
        self.check_writable()?;
        self.hard = hard.unwrap_or(self.hard);
        if let Some(first) = entries.first() {
            self.entries.retain(|e| e.index < first.index);
            self.entries.extend_from_slice(entries);
            self.appended_entries += entries.len();
        }
        Ok(())
    }

    fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        rest: &[Entry],
    ) -> Result<(), Report<StorageError>> {
        self.check_writable()?;
        self.snapshot = snapshot.clone();
        self.entries = rest.to_vec();
        self.appended_entries = 0;
        Ok(())
    }

    fn is_snapshot_due(&self) -> bool {
        self.appended_entries > 200
    }
}
