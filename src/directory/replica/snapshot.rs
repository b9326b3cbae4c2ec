//! Snapshots of the replicated state.

use super::*;

impl<S: Store, T> Replica<S, T> {
    /// Compacts the log into a snapshot when one is due.
    pub(super) fn compact(&mut self) -> Result<(), Report<StorageError>> {
        if !self.store.is_snapshot_due() {
            return Ok(());
        }
        let snapshot = self.raft.compact(encode(&self.state));
        let rest = self.raft.log().slice(snapshot.index + 1, usize::MAX);
        self.store.save_snapshot(&snapshot, &rest)?;
        self.output.events.push(Event::SnapshotTaken {
            cell: LOG_NAME.to_string(),
            index: snapshot.index,
            bytes: snapshot.data.len() as u64,
        });
        Ok(())
    }
}

/// Returns the state of a log's snapshot.
pub(super) fn decode_state(log: &Log) -> State {
    let data = &log.snapshot().data;
    if data.is_empty() {
        return State::default();
    }
    decode(data).expect("a snapshot with a valid checksum decodes")
}
