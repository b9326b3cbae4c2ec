//! What upstreams and replicas tell the directory, and calls to upstreams.

use carobreel::directory::lessor::{Call, CallResult};
use carobreel::directory::protocol::DirectoryRequest;
use rand::RngExt;

use super::event::{Event, PendingRequest};
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
        let pending = if upstream.is_draining {
            PendingRequest::Drain(n)
        } else {
            PendingRequest::Announce(n, upstream.incarnation.born_ms)
        };
        self.send_request(to, DirectoryRequest::Announce(announced), pending);
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
                PendingRequest::Other,
            );
        }
        if let (true, Some(leader)) = (needs_join, self.leader()) {
            if !self.cut_links.contains(&(n, leader)) {
                let request = DirectoryRequest::Join { host, replica: id };
                self.send_request(leader, request, PendingRequest::Other);
            }
        }
    }

    pub(super) fn call_arrives(&mut self, n: usize, call: Call, is_delayed: bool) {
        let generation = self.generations[n];
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
        self.schedule(
            after,
            Event::CallFinished(n, generation, call.number, result),
        );
    }
}
