//! Leader: appends and replicates entries, and advances the commit index.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Mono;

use super::{
    Body, Entry, LeaderState, Payload, Progress, Raft, ReplicaId, Role, APPEND_BYTES_MAX,
    APPEND_ENTRIES_MAX, IN_FLIGHT_BYTES_MAX, IN_FLIGHT_ENTRIES_MAX, REPLICATION_TIMEOUT_MS,
    REPLICATION_TIMEOUT_MS_PER_KIB, SNAPSHOT_RESEND_ROUNDS,
};

impl Raft {
    pub(super) fn has_quorum_contact(&self, leader_state: &LeaderState, now: Mono) -> bool {
        let is_live = |p: &Progress| now.since(p.last_reply_at) < 2 * self.timing.election_ms;
        let mut live: BTreeSet<ReplicaId> = leader_state
            .progress
            .iter()
            .filter(|(_, p)| is_live(p))
            .map(|(id, _)| *id)
            .collect();
        live.insert(self.id);
        self.membership.is_quorum(&live)
    }

    pub(super) fn become_leader(&mut self, now: Mono) {
        self.leader = Some(self.id);
        self.role = Role::Leader(LeaderState {
            progress: BTreeMap::new(),
            round: 0,
            confirmed_round: 0,
            elected_at: now,
            term_start_index: self.log.last_index() + 1,
        });
        self.append_new_entry(Payload::Noop, now);
        self.begin_round(now);
        self.advance_commit();
    }

    pub(super) fn append_new_entry(&mut self, payload: Payload, now: Mono) -> u64 {
        let index = self.log.last_index() + 1;
        self.append_entry(Entry {
            term: self.hard.term,
            index,
            payload,
        });
        self.sync_progress(now);
        index
    }

    pub(super) fn sync_progress(&mut self, now: Mono) {
        let next_index = self.log.last_index();
        let peers = self.peers(true);
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        leader_state.progress.retain(|id, _| peers.contains(id));
        for id in peers {
            leader_state.progress.entry(id).or_insert(Progress {
                match_index: 0,
                next_index,
                round: 0,
                last_reply_at: now,
                assumed_index: next_index.saturating_sub(1),
                is_probing: false,
                advanced_at: now,
                snapshot_round: None,
            });
        }
    }

    /// Sends a heartbeat, followed by entries if the replica can take more.
    ///
    /// The heartbeat refers to the last entry that the replica is assumed to have, so that it may overtake
    /// entries that are still in flight.
    pub(super) fn send_heartbeat(&mut self, to: ReplicaId, now: Mono) {
        self.rewind_if_stalled(to, now);
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let round = leader_state.round;
        let Some(progress) = leader_state.progress.get(&to).copied() else {
            return;
        };
        let snapshot = self.log.snapshot();
        // If the log no longer holds that entry, a snapshot is due or in flight, and the heartbeat refers to
        // the snapshot's last entry.
        let (prev_index, prev_term) = match self.log.term_at(progress.assumed_index) {
            Some(term) => (progress.assumed_index, term),
            None => (snapshot.index, snapshot.term),
        };
        let body = Body::Append {
            prev_index,
            prev_term,
            entries: Vec::new(),
            commit: self.commit,
            round,
        };
        self.send(to, body);
        self.send_entries(to, now);
    }

    /// Sends the next entries within the limits on data in flight, or a snapshot if the log no longer holds
    /// the entry before them.
    pub(super) fn send_entries(&mut self, to: ReplicaId, now: Mono) {
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let round = leader_state.round;
        let Some(progress) = leader_state.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next_index.saturating_sub(1);
        let Some(prev_term) = self.log.term_at(prev_index) else {
            let is_due = |sent: u64| round >= sent + SNAPSHOT_RESEND_ROUNDS;
            if progress.snapshot_round.is_none_or(is_due) {
                progress.snapshot_round = Some(round);
                let snapshot = self.log.snapshot().clone();
                self.send(to, Body::Snapshot { snapshot, round });
            }
            return;
        };
        if progress.is_probing || progress.snapshot_round.is_some() {
            return;
        }
        let in_flight = prev_index.saturating_sub(progress.assumed_index);
        let entries_left = IN_FLIGHT_ENTRIES_MAX.saturating_sub(in_flight) as usize;
        if self
            .log
            .command_bytes(progress.assumed_index + 1, prev_index)
            >= IN_FLIGHT_BYTES_MAX
        {
            return;
        }
        let max_entries = APPEND_ENTRIES_MAX.min(entries_left);
        let entries = self
            .log
            .batch(progress.next_index, max_entries, APPEND_BYTES_MAX);
        if entries.is_empty() {
            return;
        }
        if in_flight == 0 {
            progress.advanced_at = now;
        }
        progress.next_index += entries.len() as u64;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round,
        };
        self.send(to, body);
    }

    /// Resumes after the last confirmed entry if the entries in flight weren't confirmed in time.
    fn rewind_if_stalled(&mut self, to: ReplicaId, now: Mono) {
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.progress.get_mut(&to) else {
            return;
        };
        if progress.is_probing || progress.next_index <= progress.assumed_index + 1 {
            return;
        }
        let bytes = self
            .log
            .command_bytes(progress.assumed_index + 1, progress.next_index - 1);
        let timeout_ms =
            REPLICATION_TIMEOUT_MS + (bytes as u64 >> 10) * REPLICATION_TIMEOUT_MS_PER_KIB;
        if now.since(progress.advanced_at) > timeout_ms {
            progress.next_index = progress.assumed_index + 1;
            progress.advanced_at = now;
        }
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: ReplicaId,
        matched: bool,
        index: u64,
        round: u64,
        now: Mono,
    ) {
        let last_index = self.log.last_index();
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.progress.get_mut(&from) else {
            return;
        };
        progress.last_reply_at = now;
        progress.round = progress.round.max(round);
        if matched {
            if index > progress.match_index {
                progress.advanced_at = now;
            }
            progress.match_index = progress.match_index.max(index);
            progress.assumed_index = progress.match_index;
            progress.is_probing = false;
            progress.snapshot_round = None;
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else {
            progress.assumed_index = index.max(progress.match_index);
            progress.next_index = progress.assumed_index + 1;
            progress.is_probing = true;
        }
        // A rejection below the match index is outdated, or comes from a replica that lost its log. Answering
        // it at once could repeat forever.
        let is_current_reply = matched || index >= progress.match_index;
        let awaits_snapshot = progress.snapshot_round.is_some();
        let needs_entries =
            is_current_reply && progress.next_index <= last_index && !awaits_snapshot;
        let is_probing = progress.is_probing;
        self.advance_round();
        self.advance_commit();
        if needs_entries && is_probing {
            self.send_heartbeat(from, now);
        } else if needs_entries {
            self.send_entries(from, now);
        }
    }

    pub(super) fn advance_round(&mut self) {
        let voters = self.membership.voters.clone();
        let majority = self.membership.majority();
        let own_id = self.id;
        let Role::Leader(leader_state) = &mut self.role else {
            return;
        };
        let round_of = |id: &ReplicaId| {
            if *id == own_id {
                return leader_state.round;
            }
            leader_state.progress.get(id).map_or(0, |p| p.round)
        };
        let mut rounds: Vec<u64> = voters.keys().map(round_of).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(confirmed) = rounds.get(majority - 1) else {
            return;
        };
        leader_state.confirmed_round = leader_state.confirmed_round.max(*confirmed);
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader_state) = &self.role else {
            return;
        };
        let last_index = self.log.last_index();
        let match_index_of = |id: &ReplicaId| {
            if *id == self.id {
                return last_index;
            }
            leader_state.progress.get(id).map_or(0, |p| p.match_index)
        };
        let mut match_indexes: Vec<u64> =
            self.membership.voters.keys().map(match_index_of).collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = match_indexes.get(self.membership.majority() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit = index;
        }
    }
}
