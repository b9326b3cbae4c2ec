//! An election without delay, when all voters were started a moment ago.
//!
//! A replica that was started again gives no vote for a while, since before it may have answered a leader
//! that counts on it. Where every voter was started again, that leader was too, and none is left to count
//! on anyone. The voter with the newest log asks all others whether they were; once each one has said so,
//! they vote at once.

use std::collections::BTreeSet;

use crate::clock::Mono;

use super::{Body, Message, Raft, Role};

/// Between two polls, in milliseconds: longer than the way to another region and back.
const POLL_INTERVAL_MS: u64 = 100;

impl Raft {
    /// Has this replica poll the other voters while it gives no votes. Only for a process that was just started:
    /// nothing that an earlier leader in it began may still be under way.
    pub fn poll_after_start(&mut self, now: Mono) {
        self.next_poll_at = Some(now);
    }

    /// Tells whether this replica gives no votes yet and has heard of no leader since it was started.
    fn is_polling(&self, now: Mono) -> bool {
        let has_seen_no_leader =
            self.next_poll_at.is_some() && self.last_leader_contact_at.is_none();
        has_seen_no_leader && now < self.votes_withheld_until && matches!(self.role, Role::Follower)
    }

    /// Asks the other voters, when it is time to.
    pub(super) fn poll_voters(&mut self, now: Mono) {
        let is_due = self.next_poll_at.is_some_and(|at| now >= at);
        let is_voter = self.membership.voters.contains_key(&self.id);
        if !is_due || !is_voter || !self.is_polling(now) {
            return;
        }
        self.next_poll_at = Some(now.plus(POLL_INTERVAL_MS));
        let body = Body::Poll {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in self.peers(false) {
            self.send(to, body.clone());
        }
        self.poll_grants.insert(self.id);
        self.start_election_if_all_granted(now);
    }

    /// Takes a poll or its answer.
    pub(super) fn on_poll(&mut self, msg: &Message, now: Mono) {
        if !self.is_polling(now) || !self.membership.voters.contains_key(&msg.from) {
            return;
        }
        match msg.body {
            Body::Poll {
                last_index,
                last_term,
            } => {
                let own = (self.log.last_term(), self.log.last_index(), self.id);
                // One of any two voters grants it to the other: a single one is granted by all.
                if (last_term, last_index, msg.from) > own {
                    self.send(msg.from, Body::PollGranted);
                }
            }
            _ => {
                self.poll_grants.insert(msg.from);
                self.start_election_if_all_granted(now);
            }
        }
    }

    /// Gives votes from now on, if the candidate was granted a poll by all voters, this replica among them.
    pub(super) fn end_vote_withholding(&mut self, now: Mono) {
        if self.is_polling(now) {
            self.votes_withheld_until = now;
        }
    }

    fn start_election_if_all_granted(&mut self, now: Mono) {
        let voters: BTreeSet<_> = self.membership.voters.keys().copied().collect();
        if voters.is_subset(&self.poll_grants) {
            self.votes_withheld_until = now;
            self.start_election(true, now);
        }
    }
}
