//! The in-memory part of a replicated log.

use super::message::{Entry, Membership, Payload, Snapshot};

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// Returns a log of a snapshot and the entries that follow it without a gap; other entries are dropped.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            snapshot,
            entries: Vec::new(),
        };
        for entry in entries {
            if entry.index == log.last_index() + 1 {
                log.entries.push(entry);
            }
        }
        log
    }

    /// Returns the snapshot that precedes the entries.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.term, |e| e.term)
    }

    /// Returns the term of the entry at `index`, or `None` if the log doesn't hold it.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns the entry at `index`.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns up to `max_entries` entries starting at index `from`.
    pub fn slice(&self, from: u64, max_entries: usize) -> Vec<Entry> {
        let offset = from.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries
            .iter()
            .skip(offset)
            .take(max_entries)
            .cloned()
            .collect()
    }

    /// Returns the entries starting at index `from` that fit one message; at least one, if there is any.
    pub fn batch(&self, from: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let offset = from.saturating_sub(self.snapshot.index + 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let fits = bytes < max_bytes;
            if let Payload::Command(command) = &entry.payload {
                bytes += command.len();
            }
            fits
        };
        let rest = self.entries.iter().skip(offset).take(max_entries);
        rest.take_while(fits).cloned().collect()
    }

    /// Returns the total size in bytes of the commands from index `from` to index `to`, inclusive.
    pub fn command_bytes(&self, from: u64, to: u64) -> usize {
        let entries = (from..=to).filter_map(|index| self.get(index));
        let size = |entry: &Entry| match &entry.payload {
            Payload::Command(command) => command.len(),
            _ => 0,
        };
        entries.map(size).sum()
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index,
            self.last_index() + 1,
            "entries must follow without a gap"
        );
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let kept_len = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(kept_len as usize);
    }

    /// Replaces the whole log by a snapshot.
    pub fn replace_with(&mut self, snapshot: Snapshot) {
        self.snapshot = snapshot;
        self.entries.clear();
    }

    /// Removes the entries that `snapshot` covers.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let covered = snapshot.index.saturating_sub(self.snapshot.index) as usize;
        self.entries.drain(..covered.min(self.entries.len()));
        self.snapshot = snapshot;
    }

    /// Returns the latest membership in the log and the index of its entry.
    pub fn membership(&self) -> (u64, Membership) {
        self.membership_at(self.last_index())
    }

    /// Returns the membership in force at `index` and the index of its entry.
    pub fn membership_at(&self, index: u64) -> (u64, Membership) {
        let newest = self.entries.iter().rev().find_map(|e| match &e.payload {
            Payload::Membership(m) if e.index <= index => Some((e.index, m.clone())),
            _ => None,
        });
        newest.unwrap_or_else(|| (self.snapshot.index, self.snapshot.membership.clone()))
    }
}
