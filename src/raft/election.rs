//! Elections: pre-votes and votes.

use std::collections::BTreeSet;

use crate::clock::Mono;

use super::{Body, HardState, Message, Raft, ReplicaId, Role};

impl Raft {
    /// Starts a pre-vote or, without `pre`, an election.
    pub(super) fn campaign(&mut self, pre: bool, now: Mono) {
        if !pre {
            return self.start_election(false, now);
        }
        self.leader = None;
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.id]),
        };
        self.reset_election_timer(now);
        self.request_votes(true, false);
        self.count_votes(now);
    }

    /// Starts an election; `after_poll` tells the voters that all of them granted this replica's poll, so no
    /// leader relies on an answer that they gave before they restarted.
    pub(super) fn start_election(&mut self, after_poll: bool, now: Mono) {
        self.leader = None;
        self.role = Role::Candidate {
            granted: BTreeSet::from([self.id]),
        };
        self.hard = HardState {
            term: self.hard.term + 1,
            vote: Some(self.id),
        };
        self.reset_election_timer(now);
        self.request_votes(false, after_poll);
        self.count_votes(now);
    }

    fn request_votes(&mut self, pre: bool, after_poll: bool) {
        let term = self.hard.term + u64::from(pre);
        let body = Body::VoteRequest {
            pre,
            after_poll,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in self.peers(false) {
            self.send_in_term(to, term, body.clone());
        }
    }

    pub(super) fn on_vote_request(&mut self, msg: Message, now: Mono) {
        let Body::VoteRequest {
            pre,
            last_index,
            last_term,
            ..
        } = msg.body
        else {
            return;
        };
        let own_last = (self.log.last_term(), self.log.last_index());
        let up_to_date = (last_term, last_index) >= own_last;
        let may_vote = self.hard.vote.is_none() || self.hard.vote == Some(msg.from);
        let is_rival = pre && matches!(self.role, Role::PreCandidate { .. });
        // Of two replicas that ask for pre-votes at the same time, only one is to stand for election.
        let gives_way = (last_term, last_index, msg.from) > (own_last.0, own_last.1, self.id);
        let granted = if pre {
            up_to_date && msg.term > self.hard.term && (!is_rival || gives_way)
        } else {
            up_to_date && msg.term == self.hard.term && may_vote
        };
        if granted && !pre {
            self.hard.vote = Some(msg.from);
            self.reset_election_timer(now);
        }
        if granted && is_rival {
            self.role = Role::Follower;
            self.reset_election_timer(now);
        }
        let term = if pre && granted {
            msg.term
        } else {
            self.hard.term
        };
        self.send_in_term(msg.from, term, Body::VoteReply { pre, granted });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        pre: bool,
        granted: bool,
        now: Mono,
    ) {
        if !granted {
            if term > self.hard.term {
                self.become_follower(term, None, now);
            }
            return;
        }
        let expected_term = self.hard.term + u64::from(pre);
        if term != expected_term {
            return;
        }
        match &mut self.role {
            Role::PreCandidate { granted } if pre => granted.insert(from),
            Role::Candidate { granted } if !pre => granted.insert(from),
            _ => return,
        };
        self.count_votes(now);
    }

    pub(super) fn count_votes(&mut self, now: Mono) {
        match &self.role {
            Role::PreCandidate { granted } if self.membership.is_quorum(granted) => {
                self.campaign(false, now)
            }
            Role::Candidate { granted } if self.membership.is_quorum(granted) => {
                self.become_leader(now)
            }
            _ => {}
        }
    }
}
