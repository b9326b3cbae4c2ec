//! What may happen to replicas.

use rand::RngExt;

use super::disk::Disk;
use super::queue::Event;
use super::{Node, World};

/// A slow host takes up to this much longer for each step, in milliseconds.
const DRAG_MS: u64 = 120;
/// A replica whose disk failed opens its folder again after this long, in milliseconds.
const REOPEN_MS: u64 = 300;

impl World {
    /// Ends a process; it starts again after `down_ms`, with an empty disk if `wipe`.
    pub fn kill(&mut self, n: usize, down_ms: u64, wipe: bool) {
        if let Some(member) = self.nodes[n].member.take() {
            self.nodes[n].disk = member.store().clone();
        }
        if wipe {
            self.nodes[n].disk = Disk::default();
        }
        self.lives[n] += 1;
        let lost = std::mem::take(&mut self.nodes[n].backlog);
        self.calls_open -= lost
            .iter()
            .filter(|e| matches!(e, Event::Called(..)))
            .count();
        self.nodes[n].busy_until_us = 0;
        self.push(down_ms, Event::Restart(n));
    }

    /// Adds a replica with an empty disk at a new address; returns its number.
    pub fn add(&mut self) -> usize {
        let n = self.nodes.len();
        self.nodes.push(Node::new(n));
        self.lives.push(0);
        self.start(n, false);
        n
    }

    /// Stops a process for a while; what arrives meanwhile waits.
    pub fn freeze(&mut self, n: usize, ms: u64) {
        self.nodes[n].frozen_until = self.now + ms;
    }

    /// Cuts a replica off from the others, or ends the cut.
    pub fn set_cut(&mut self, n: usize, is_cut: bool) {
        for other in 0..self.nodes.len() {
            for link in [(n, other), (other, n)] {
                if is_cut {
                    self.cut.insert(link);
                } else {
                    self.cut.remove(&link);
                }
            }
        }
    }

    /// Has a replica's disk refuse writes for a while.
    pub fn fill_disk(&mut self, n: usize, ms: u64) {
        if let Some(member) = &self.nodes[n].member {
            member.store().set_full(true);
        }
        self.push(ms, Event::DiskFreed(n));
    }

    /// Ends the time in which a disk refuses writes.
    pub(super) fn free_disk(&mut self, n: usize) {
        if let Some(member) = &self.nodes[n].member {
            member.store().set_full(false);
        }
        self.nodes[n].disk.set_full(false);
    }

    /// Slows a host down for a while.
    pub fn slow(&mut self, n: usize, ms: u64) {
        self.nodes[n].slow_until = self.now + ms;
    }

    /// Opens a replica's folder again after its disk failed; what was stored is still there.
    pub(super) fn reopen(&mut self, n: usize) {
        self.reopened += 1;
        self.kill(n, REOPEN_MS, false);
        self.nodes[n].reopens = true;
    }

    /// Returns how long a message takes from one replica to another, in milliseconds.
    pub(super) fn delay(&mut self, from: usize, to: usize) -> u64 {
        let same = self.nodes[from].region == self.nodes[to].region;
        let base = if same { 1 } else { 30 };
        base + self.rng.random_range(0..3) + self.drag(from) + self.drag(to)
    }

    /// Returns what a step on a host takes longer now, in milliseconds.
    pub(super) fn drag(&mut self, n: usize) -> u64 {
        match self.nodes[n].slow_until > self.now {
            true => self.rng.random_range(0..DRAG_MS),
            false => 0,
        }
    }
}
