//! What a leader does: appending, replicating, counting what a majority holds.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Mono;

use super::{
    Body, Entry, Leadership, Payload, Progress, Raft, ReplicaId, Role, APPEND_BYTES_MAX,
    APPEND_ENTRIES_MAX, IN_FLIGHT_BYTES_MAX, IN_FLIGHT_ENTRIES_MAX, SNAPSHOT_ROUNDS, STALLED_MS,
    STALLED_MS_PER_KIB,
};

impl Raft {
    pub(super) fn hears_quorum(&self, lead: &Leadership, now: Mono) -> bool {
        let heard = |p: &Progress| now.since(p.heard_at) < 2 * self.timing.election_ms;
        let mut acked: BTreeSet<ReplicaId> = lead
            .progress
            .iter()
            .filter(|(_, p)| heard(p))
            .map(|(id, _)| *id)
            .collect();
        acked.insert(self.id);
        self.membership.is_quorum(&acked)
    }

    pub(super) fn lead(&mut self, now: Mono) {
        self.leader = Some(self.id);
        self.role = Role::Leader(Leadership {
            progress: BTreeMap::new(),
            round: 0,
            confirmed: 0,
            elected_at: now,
            first_index: self.log.last_index() + 1,
        });
        self.append(Payload::Noop, now);
        self.begin_round(now);
        self.advance_commit();
    }

    pub(super) fn append(&mut self, payload: Payload, now: Mono) -> u64 {
        let index = self.log.last_index() + 1;
        self.push(Entry {
            term: self.hard.term,
            index,
            payload,
        });
        self.track_members(now);
        index
    }

    pub(super) fn track_members(&mut self, now: Mono) {
        let next = self.log.last_index();
        let others = self.others(true);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.progress.retain(|id, _| others.contains(id));
        for id in others {
            lead.progress.entry(id).or_insert(Progress {
                matched: 0,
                next,
                round: 0,
                heard_at: now,
                base: next.saturating_sub(1),
                is_probing: false,
                moved_at: now,
                snapshot_round: None,
            });
        }
    }

    /// Sends a heartbeat, and entries if the replica can take more.
    ///
    /// The heartbeat names the last entry that the replica is taken to have, so that it may overtake
    /// entries which are still on their way.
    pub(super) fn send_heartbeat(&mut self, to: ReplicaId, now: Mono) {
        self.check_stalled(to, now);
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let round = lead.round;
        let Some(progress) = lead.progress.get(&to).copied() else {
            return;
        };
        let snapshot = self.log.snapshot();
        // While a snapshot is due or under way there is nothing older to name.
        let (prev_index, prev_term) = match self.log.term_at(progress.base) {
            Some(term) => (progress.base, term),
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

    /// Sends the next entries, or a snapshot, as far as there is room for them on the way.
    pub(super) fn send_entries(&mut self, to: ReplicaId, now: Mono) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let round = lead.round;
        let Some(progress) = lead.progress.get_mut(&to) else {
            return;
        };
        let prev_index = progress.next.saturating_sub(1);
        let Some(prev_term) = self.log.term_at(prev_index) else {
            let is_due = |sent: u64| round >= sent + SNAPSHOT_ROUNDS;
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
        let in_flight = prev_index.saturating_sub(progress.base);
        let room = IN_FLIGHT_ENTRIES_MAX.saturating_sub(in_flight) as usize;
        if self.log.bytes(progress.base + 1, prev_index) >= IN_FLIGHT_BYTES_MAX {
            return;
        }
        let most = APPEND_ENTRIES_MAX.min(room);
        let entries = self.log.batch(progress.next, most, APPEND_BYTES_MAX);
        if entries.is_empty() {
            return;
        }
        if in_flight == 0 {
            progress.moved_at = now;
        }
        progress.next += entries.len() as u64;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round,
        };
        self.send(to, body);
    }

    /// Goes back to what a replica confirmed when nothing of what was sent since arrives.
    fn check_stalled(&mut self, to: ReplicaId, now: Mono) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(&to) else {
            return;
        };
        if progress.is_probing || progress.next <= progress.base + 1 {
            return;
        }
        let bytes = self.log.bytes(progress.base + 1, progress.next - 1);
        let patience_ms = STALLED_MS + (bytes as u64 >> 10) * STALLED_MS_PER_KIB;
        if now.since(progress.moved_at) > patience_ms {
            progress.next = progress.base + 1;
            progress.moved_at = now;
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
        let last = self.log.last_index();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(progress) = lead.progress.get_mut(&from) else {
            return;
        };
        progress.heard_at = now;
        progress.round = progress.round.max(round);
        if matched {
            if index > progress.matched {
                progress.moved_at = now;
            }
            progress.matched = progress.matched.max(index);
            progress.base = progress.matched;
            progress.is_probing = false;
            progress.snapshot_round = None;
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.base = index.max(progress.matched);
            progress.next = progress.base + 1;
            progress.is_probing = true;
        }
        // A refusal below what is known to match is an old one, or comes from a replica that lost
        // its log; answering it at once could go on for ever.
        let credible = matched || index >= progress.matched;
        let awaits_snapshot = progress.snapshot_round.is_some();
        let behind = credible && progress.next <= last && !awaits_snapshot;
        let is_probing = progress.is_probing;
        self.advance_round();
        self.advance_commit();
        if behind && is_probing {
            self.send_heartbeat(from, now);
        } else if behind {
            self.send_entries(from, now);
        }
    }

    pub(super) fn advance_round(&mut self) {
        let voters = self.membership.voters.clone();
        let majority = self.membership.majority();
        let me = self.id;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let round_of = |id: &ReplicaId| {
            if *id == me {
                return lead.round;
            }
            lead.progress.get(id).map_or(0, |p| p.round)
        };
        let mut rounds: Vec<u64> = voters.keys().map(round_of).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(confirmed) = rounds.get(majority - 1) else {
            return;
        };
        lead.confirmed = lead.confirmed.max(*confirmed);
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let last = self.log.last_index();
        let matched_of = |id: &ReplicaId| {
            if *id == self.id {
                return last;
            }
            lead.progress.get(id).map_or(0, |p| p.matched)
        };
        let mut matched: Vec<u64> = self.membership.voters.keys().map(matched_of).collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.membership.majority() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit = index;
        }
    }
}
