//! What upstreams and replicas tell the directory, and calls to upstreams.

use carobreel::directory::ask::Ask;
use carobreel::directory::lessor::{Call, CallResult};
use rand::RngExt;

use super::queue::{Event, Question};
use super::{World, ANNOUNCE_MS, JOIN_MS};

impl World {
    pub(super) fn announce(&mut self, n: usize) {
        self.push(ANNOUNCE_MS, Event::Announce(n));
        let upstream = &self.upstreams.list[n];
        if !upstream.up || upstream.cut {
            return;
        }
        let announced = self.upstreams.announcement(n);
        let to = self.rng.random_range(0..4);
        let about = if upstream.drains {
            Question::Drain(n)
        } else {
            Question::Announce(n, upstream.incarnation.born_ms)
        };
        self.question(to, Ask::Announce(announced), about);
    }

    pub(super) fn join(&mut self, n: usize) {
        let Some(member) = &self.nodes[n].member else {
            return;
        };
        let id = member.raft().id();
        let is_member = member.raft().membership().replicas().any(|(r, _)| r == id);
        let is_lost = !is_member || member.raft().leader().is_none();
        let host = self.nodes[n].address.clone();
        self.push(JOIN_MS, Event::Join(n));
        let heard = std::mem::take(&mut self.nodes[n].heard);
        if let Some(leader) = self.leader().filter(|l| !self.cut.contains(&(n, *l))) {
            self.question(leader, Ask::Heard(heard), Question::Other);
        }
        if let (true, Some(leader)) = (is_lost, self.leader()) {
            if !self.cut.contains(&(n, leader)) {
                let ask = Ask::Join { host, replica: id };
                self.question(leader, ask, Question::Other);
            }
        }
    }

    pub(super) fn call_arrives(&mut self, n: usize, call: Call, is_late: bool) {
        let life = self.lives[n];
        let delay = self.rng.random_range(1..60);
        let (result, after) = if is_late {
            let apply_at = self.now + self.rng.random_range(2_000..12_000);
            self.upstreams.apply_late(&call, self.now, apply_at);
            (CallResult::Unknown, call.timeout_ms)
        } else {
            match self.upstreams.apply(&call, self.now) {
                Some((result, after)) => (result, delay + after),
                None => (CallResult::Unknown, call.timeout_ms),
            }
        };
        self.push(after, Event::Called(n, life, call.number, result));
    }
}
