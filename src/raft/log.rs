//! The part of the replicated log that a replica holds in memory.

use super::message::{Entry, Membership, Payload, Snapshot};

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// Returns a log of a snapshot and the entries that follow it.
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

    /// Returns the snapshot that the entries follow.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the last entry's index.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Returns the last entry's term.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.term, |e| e.term)
    }

    /// Returns the term of the entry at `index`, or `None` when it isn't held.
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

    /// Returns up to `most` entries from `from` on.
    pub fn slice(&self, from: u64, max_entries: usize) -> Vec<Entry> {
        let offset = from.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries
            .iter()
            .skip(offset)
            .take(max_entries)
            .cloned()
            .collect()
    }

    /// Returns the entries from `from` on that one message carries: at least one, if there is one.
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

    /// Returns the bytes of the commands from entry `from` up to entry `to`.
    pub fn command_bytes(&self, from: u64, to: u64) -> usize {
        let entries = (from..=to).filter_map(|index| self.get(index));
        let size = |entry: &Entry| match &entry.payload {
            Payload::Command(command) => command.len(),
            _ => 0,
        };
        entries.map(size).sum()
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "log has a gap");
        self.entries.push(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Replaces everything by a snapshot.
    pub fn replace_with(&mut self, snapshot: Snapshot) {
        self.snapshot = snapshot;
        self.entries.clear();
    }

    /// Drops the entries that `snapshot` covers.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let drop = snapshot.index.saturating_sub(self.snapshot.index) as usize;
        self.entries.drain(..drop.min(self.entries.len()));
        self.snapshot = snapshot;
    }

    /// Returns the newest membership in the log and its index.
    pub fn membership(&self) -> (u64, Membership) {
        self.membership_at(self.last_index())
    }

    /// Returns the membership in force at `index` and the entry that holds it.
    pub fn membership_at(&self, index: u64) -> (u64, Membership) {
        let newest = self.entries.iter().rev().find_map(|e| match &e.payload {
            Payload::Membership(m) if e.index <= index => Some((e.index, m.clone())),
            _ => None,
        });
        newest.unwrap_or_else(|| (self.snapshot.index, self.snapshot.membership.clone()))
    }
}
