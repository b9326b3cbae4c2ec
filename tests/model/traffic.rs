//! Requests of upstreams and replicas to the directory, and calls to upstreams.

use carobreel::directory::lessor::{Call, CallResult};
use carobreel::directory::protocol::DirectoryRequest;
use rand::RngExt;

use super::event::{Event, Purpose};
use super::{Simulation, ANNOUNCE_INTERVAL_MS, JOIN_RETRY_MS};

impl Simulation {
    pub(super) fn announce(&mut self, n: usize) {
        self.schedule(ANNOUNCE_INTERVAL_MS, Event::Announce(n));
        let upstream = &self.upstreams.list[n];
        if !upstream.is_running || upstream.is_cut_off {
            return;
        }
        let announced = self.upstreams.announcement(n);
        let to = self.rng.random_range(0..4);
        let purpose = if upstream.is_draining {
            Purpose::Drain(n)
        } else {
            Purpose::Announce(n, upstream.incarnation.born_ms)
        };
        self.send_request(to, DirectoryRequest::Announce(announced), purpose);
    }

    pub(super) fn join(&mut self, n: usize) {
        let Some(replica) = &self.nodes[n].replica else {
            return;
        };
        let id = replica.raft().id();
        let is_member = replica.raft().membership().replicas().any(|(r, _)| r == id);
        let needs_join = !is_member || replica.raft().leader().is_none();
        let host = self.nodes[n].address.clone();
        self.schedule(JOIN_RETRY_MS, Event::Join(n));
        let confirmed = std::mem::take(&mut self.nodes[n].confirmed);
        if let Some(leader) = self.leader().filter(|l| !self.cut_links.contains(&(n, *l))) {
            self.send_request(
                leader,
                DirectoryRequest::ReportAlive(confirmed),
                Purpose::Other,
            );
        }
        if let (true, Some(leader)) = (needs_join, self.leader()) {
            if !self.cut_links.contains(&(n, leader)) {
                let request = DirectoryRequest::Join { host, replica: id };
                self.send_request(leader, request, Purpose::Other);
            }
        }
    }

    pub(super) fn call_arrives(&mut self, n: usize, call: Call, is_delayed: bool) {
        let run = self.runs[n];
        let delay = self.rng.random_range(1..60);
        let (result, after) = if is_delayed {
            let apply_at = self.now + self.rng.random_range(2_000..12_000);
            self.upstreams.apply_delayed(&call, self.now, apply_at);
            (CallResult::Unknown, call.timeout_ms)
        } else {
            match self.upstreams.apply(&call, self.now) {
                Some((result, after)) => (result, delay + after),
                None => (CallResult::Unknown, call.timeout_ms),
            }
        };
        self.schedule(after, Event::CallDone(n, run, call.id, result));
    }
}
