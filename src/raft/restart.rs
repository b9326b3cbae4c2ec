//! Election without delay when all voters have just started.
//!
//! A restarted replica denies votes for a while, since before its restart it may have answered a leader that
//! still relies on that answer. If every voter restarted, so did that leader, and nobody relies on an answer.
//! Each voter therefore polls the others: it asks whether they have just started too. A voter grants the poll
//! only if the sender's log is newer than its own or, of equal logs, if the sender's id is higher. Once all
//! others have granted a voter's poll, it starts an election, and they vote at once.

use std::collections::BTreeSet;

use crate::clock::Mono;

use super::{Body, Message, Raft, Role};

/// Interval between two polls in milliseconds; longer than a round trip to another region.
const POLL_INTERVAL_MS: u64 = 100;

impl Raft {
    /// Makes this replica poll the other voters while it denies votes. Only for a process that has just
    /// started: nothing that an earlier leader in this process began may still be in progress.
    pub fn poll_after_start(&mut self, now: Mono) {
        self.next_poll_at = Some(now);
    }

    /// Reports whether this replica still denies votes and has heard from no leader since its start.
    fn is_polling(&self, now: Mono) -> bool {
        let has_seen_no_leader =
            self.next_poll_at.is_some() && self.last_leader_contact_at.is_none();
        has_seen_no_leader && now < self.votes_withheld_until && matches!(self.role, Role::Follower)
    }

    /// Polls the other voters if a poll is due.
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

    /// Handles a poll or its answer.
    pub(super) fn on_poll(&mut self, msg: &Message, now: Mono) {
        if !self.is_polling(now) || !self.membership.voters.contains_key(&msg.from) {
            return;
        }
        match msg.body {
            Body::Poll {
                last_index,
                last_term,
            } => {
                let own_position = (self.log.last_term(), self.log.last_index(), self.id);
                // The order is total: of any two voters one grants the other's poll, so all grant only one.
                if (last_term, last_index, msg.from) > own_position {
                    self.send(msg.from, Body::PollGranted);
                }
            }
            _ => {
                self.poll_grants.insert(msg.from);
                self.start_election_if_all_granted(now);
            }
        }
    }

    /// Stops denying votes if this replica is polling: all voters, itself included, granted the candidate's
    /// poll.
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
