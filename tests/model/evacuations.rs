//! Orders about availability zones in the simulation.

use std::collections::{BTreeMap, BTreeSet};

use carobreel::clock::Mono;
use carobreel::directory::protocol::DirectoryRequest;
use carobreel::directory::state::State;

use super::event::Purpose;
use super::{Simulation, SERVICE};

/// The orders sent so far, by their numbers.
#[derive(Default)]
pub struct Orders {
    last_number: u64,
    /// When each order was acknowledged first.
    pub acked_at: BTreeMap<u64, u64>,
    /// The zone of each order, and whether it begins an evacuation.
    contents: BTreeMap<u64, (String, bool)>,
    /// The number of entry hosts that lacked an order when it was acknowledged.
    pub uninformed_hosts: usize,
}

impl Simulation {
    /// Makes an order, which is sent by `send_order`, and returns its number.
    pub fn create_order(&mut self, zone: &str, is_evacuated: bool) -> u64 {
        self.orders.last_number += 1;
        let number = self.orders.last_number;
        self.orders
            .contents
            .insert(number, (zone.to_string(), is_evacuated));
        number
    }

    /// Sends an order to one replica.
    pub fn send_order(&mut self, n: usize, number: u64) {
        let (zone, is_evacuated) = self.orders.contents[&number].clone();
        let request = DirectoryRequest::SetEvacuation { zone, is_evacuated };
        self.send_request(n, request, Purpose::Evacuate(number));
    }

    /// Sends an order to one replica after the other until it is acknowledged, and returns how long that took.
    pub fn order(&mut self, zone: &str, is_evacuated: bool, first: usize) -> u64 {
        /// How long an operator waits for an answer, in milliseconds.
        const RETRY_MS: u64 = 900;
        /// When the order counts as refused, in milliseconds.
        const GIVE_UP_MS: u64 = 30_000;
        let number = self.create_order(zone, is_evacuated);
        let started_at = self.now;
        for attempt in 0.. {
            assert!(self.now - started_at < GIVE_UP_MS, "no acknowledgement");
            self.send_order((first + attempt) % 4, number);
            for _ in 0..RETRY_MS / 10 {
                self.run(10);
                if let Some(at) = self.orders.acked_at.get(&number) {
                    return at - started_at;
                }
            }
        }
        unreachable!()
    }

    pub(super) fn record_order_acked(&mut self, number: u64) {
        if self.orders.acked_at.contains_key(&number) {
            return;
        }
        self.orders.acked_at.insert(number, self.now);
        let (zone, is_evacuated) = &self.orders.contents[&number];
        let lacks = |zones: BTreeSet<&String>| zones.contains(zone) != *is_evacuated;
        let lacking = self
            .entry_hosts
            .iter()
            .filter(|e| lacks(e.view.evacuated_zones.names().collect()));
        self.orders.uninformed_hosts += lacking.count();
    }

    /// Returns the number of entry hosts that may send requests to upstreams of a zone.
    pub fn hosts_using_zone(&self, zone: &str) -> usize {
        let now = Mono(self.now);
        let uses = |e: &&super::EntryHost| {
            let ready = e.view.ready_upstreams(SERVICE);
            let owners_until = e.view.evacuated_zones.withdrawn_from(zone, true);
            ready.iter().any(|u| u.zone == zone) || owners_until.is_some_and(|until| now < until)
        };
        self.entry_hosts.iter().filter(uses).count()
    }

    /// Returns the number of entry hosts that know of the evacuation of a zone.
    pub fn hosts_knowing_zone(&self, zone: &str) -> usize {
        let knows = |e: &&super::EntryHost| e.view.evacuated_zones.names().any(|z| z == zone);
        self.entry_hosts.iter().filter(knows).count()
    }

    /// Returns the states of all replicas that run.
    pub fn states(&self) -> Vec<&State> {
        let replicas = self.nodes.iter().filter_map(|n| n.replica.as_ref());
        replicas.map(|r| r.state()).collect()
    }

    /// Returns the number of keys that upstreams of a zone own.
    pub fn keys_in_zone(&self, zone: &str) -> u32 {
        let Some(state) = self.leader_state() else {
            return 0;
        };
        let in_zone: BTreeSet<&str> = self
            .upstreams
            .list
            .iter()
            .filter(|u| u.zone == zone)
            .map(|u| u.incarnation.id.as_str())
            .collect();
        let ranges = state.owners.values().flat_map(|t| t.ranges.values());
        ranges
            .filter(|r| in_zone.contains(r.owner.id.as_str()))
            .map(|r| u32::from(r.to - r.from) + 1)
            .sum()
    }

    /// Returns the number of keys that each upstream owns, by id.
    pub fn keys_by_owner(&self) -> BTreeMap<String, u32> {
        let mut keys = BTreeMap::new();
        let state = self.leader_state().expect("a replica leads");
        for range in state.owners.values().flat_map(|t| t.ranges.values()) {
            *keys.entry(range.owner.id.clone()).or_default() +=
                u32::from(range.to - range.from) + 1;
        }
        keys
    }
}
