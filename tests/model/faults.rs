//! Faults of replicas.

use rand::RngExt;

use super::disk::Disk;
use super::event::Event;
use super::{Node, Simulation};

/// The maximum additional time that a slow host takes for each step, in milliseconds.
const SLOW_HOST_DELAY_MAX_MS: u64 = 120;
/// The delay before a replica whose disk failed opens its data folder again, in milliseconds.
const REOPEN_MS: u64 = 300;

impl Simulation {
    /// Ends a process and restarts it after `down_ms`, with an empty disk if `wipe_disk` is true.
    pub fn kill(&mut self, n: usize, down_ms: u64, wipe_disk: bool) {
        if let Some(replica) = self.nodes[n].replica.take() {
            self.nodes[n].disk = replica.store().clone();
        }
        if wipe_disk {
            self.nodes[n].disk = Disk::default();
        }
        self.runs[n] += 1;
        self.nodes[n].helper.restart();
        let lost = std::mem::take(&mut self.nodes[n].backlog);
        self.open_calls -= lost
            .iter()
            .filter(|e| matches!(e, Event::CallDone(..)))
            .count();
        self.nodes[n].busy_until_us = 0;
        self.schedule(down_ms, Event::Restart(n));
    }

    /// Adds a replica with an empty disk at a new address and returns its number.
    pub fn add_replica(&mut self) -> usize {
        let n = self.nodes.len();
        self.nodes.push(Node::new(n));
        self.runs.push(0);
        self.start_replica(n, false);
        n
    }

    /// Pauses a process for `ms` milliseconds; its events are delivered afterwards.
    pub fn freeze(&mut self, n: usize, ms: u64) {
        self.nodes[n].frozen_until = self.now + ms;
    }

    /// Cuts a replica off from the others, or reconnects it.
    pub fn set_partitioned(&mut self, n: usize, is_partitioned: bool) {
        for other in 0..self.nodes.len() {
            for link in [(n, other), (other, n)] {
                if is_partitioned {
                    self.cut_links.insert(link);
                } else {
                    self.cut_links.remove(&link);
                }
            }
        }
    }

    /// Makes a replica's disk refuse writes for `ms` milliseconds.
    pub fn fill_disk(&mut self, n: usize, ms: u64) {
        if let Some(replica) = &self.nodes[n].replica {
            replica.store().set_full(true);
        }
        self.schedule(ms, Event::DiskFreed(n));
    }

    /// Makes a replica's disk accept writes again.
    pub(super) fn free_disk(&mut self, n: usize) {
        if let Some(replica) = &self.nodes[n].replica {
            replica.store().set_full(false);
        }
        self.nodes[n].disk.set_full(false);
    }

    /// Slows a host down for `ms` milliseconds.
    pub fn slow_down(&mut self, n: usize, ms: u64) {
        self.nodes[n].slow_until = self.now + ms;
    }

    /// Restarts a replica after its disk failed, with everything that was stored.
    pub(super) fn reopen(&mut self, n: usize) {
        self.reopenings += 1;
        self.kill(n, REOPEN_MS, false);
        self.nodes[n].is_reopening = true;
    }

    /// Returns the delay of a message from one replica to another, in milliseconds.
    pub(super) fn delay(&mut self, from: usize, to: usize) -> u64 {
        let same = self.nodes[from].region == self.nodes[to].region;
        let base = if same { 1 } else { 30 };
        base + self.rng.random_range(0..3) + self.slow_host_delay(from) + self.slow_host_delay(to)
    }

    /// Returns the additional time of a step on a host that is slowed down, in milliseconds.
    pub(super) fn slow_host_delay(&mut self, n: usize) -> u64 {
        match self.nodes[n].slow_until > self.now {
            true => self.rng.random_range(0..SLOW_HOST_DELAY_MAX_MS),
            false => 0,
        }
    }
}
