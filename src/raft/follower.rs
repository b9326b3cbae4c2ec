//! What a follower does with a leader's messages.

use crate::clock::Mono;

use super::{Body, Entry, Raft, ReplicaId, Role, Snapshot};

impl Raft {
    pub(super) fn on_leader_message(&mut self, from: ReplicaId, term: u64, body: Body, now: Mono) {
        if term < self.hard.term {
            let reply = Body::AppendReply {
                matched: false,
                index: 0,
                round: 0,
            };
            self.send(from, reply);
            return;
        }
        assert!(
            !matches!(self.role, Role::Leader(_)),
            "election safety: one leader a term"
        );
        self.become_follower(term, Some(from), now);
        self.last_leader_contact_at = Some(now);
        let (matched, index, round) = match body {
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                let (matched, index) =
                    self.append_from_leader(prev_index, prev_term, entries, commit);
                (matched, index, round)
            }
            Body::Snapshot { snapshot, round } => (true, self.install_snapshot(snapshot), round),
            _ => return,
        };
        let reply = Body::AppendReply {
            matched,
            index,
            round,
        };
        self.send(from, reply);
    }

    pub(super) fn append_from_leader(
        &mut self,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<Entry>,
        commit: u64,
    ) -> (bool, u64) {
        if prev_index < self.log.snapshot().index {
            return (true, self.commit);
        }
        if self.log.term_at(prev_index) != Some(prev_term) {
            let retry_index = prev_index.saturating_sub(1).min(self.log.last_index());
            return (false, retry_index.max(self.commit));
        }
        let last_index = prev_index + entries.len() as u64;
        for entry in entries {
            if self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            self.truncate_log(entry.index);
            self.append_entry(entry);
        }
        self.commit = self.commit.max(commit.min(last_index));
        (true, last_index)
    }

    pub(super) fn truncate_log(&mut self, index: u64) {
        if index > self.log.last_index() {
            return;
        }
        assert!(
            index > self.commit,
            "leader completeness: a committed entry is never replaced"
        );
        self.log.truncate(index);
        let (membership_index, membership) = self.log.membership();
        self.membership_index = membership_index;
        self.membership = membership;
        self.unstored_from = Some(self.unstored_from.map_or(index, |from| from.min(index)));
    }

    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) -> u64 {
        if snapshot.index <= self.commit {
            return self.commit;
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.membership = snapshot.membership.clone();
        self.membership_index = snapshot.index;
        self.unstored_from = None;
        self.log.replace_with(snapshot.clone());
        self.received_snapshot = Some(snapshot);
        self.commit
    }
}
