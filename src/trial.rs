//! Compares strategies for placing keys on upstreams, on the same seeded traffic.

pub mod request_placement;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::cell::placement::{PlacementPlan, SlotLoad};
use crate::cell::state::UpstreamId;
use crate::history::imbalance;
use crate::slot::{KeyHash, SlotId};

/// Number of requests in a trial.
const REQUESTS: usize = 400_000;
/// Maximum rounds of rebalancing by load; the leader runs one round per second.
const REBALANCE_ROUNDS_MAX: usize = 120;
/// A key is pinned to a slot of its own when it receives this share of the mean upstream's load.
const PIN_LOAD_SHARE: f64 = 0.25;

/// A strategy for placing keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyPlacementStrategy {
    /// The key's hash modulo the number of upstreams.
    Hashing,
    /// Rendezvous hashing: the upstream with the highest hash of the key and the upstream's id.
    Rendezvous,
    /// Hash slots that are moved between upstreams by measured load.
    Slots,
    /// Like `Slots`, with hot keys pinned to slots of their own.
    Pins,
}

/// All strategies.
pub const KEY_PLACEMENT_STRATEGIES: [KeyPlacementStrategy; 4] = [
    KeyPlacementStrategy::Hashing,
    KeyPlacementStrategy::Rendezvous,
    KeyPlacementStrategy::Slots,
    KeyPlacementStrategy::Pins,
];

/// The parameters of a trial.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct KeyPlacementScenario {
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of keys.
    pub keys: u64,
    /// Exponent of the keys' Zipf distribution.
    pub zipf: f64,
    /// Number of hash slots.
    pub slots: u32,
    /// Seed of the traffic.
    pub seed: u64,
}

/// The measurements of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TrialResult {
    /// Requests of the busiest upstream divided by the mean.
    pub imbalance: f64,
    /// Lower bound of the imbalance, set by the hottest key.
    #[serde(rename = "floor")]
    pub imbalance_floor: f64,
    /// Share of the keys that changed owner when one upstream left.
    pub churn: f64,
    /// Share of the keys that the leaving upstream had owned.
    pub leaver_share: f64,
}

/// Returns the number of requests for each key.
fn generate_traffic(scenario: &KeyPlacementScenario) -> Vec<(KeyHash, usize)> {
    let keys = Zipf::new(scenario.keys as f64, scenario.zipf).expect("keys and exponent are valid");
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed);
    let mut counts = vec![0; scenario.keys as usize];
    for _ in 0..REQUESTS {
        let key = keys.sample(&mut rng) as usize;
        let index = key.clamp(1, scenario.keys as usize) - 1;
        counts[index] += 1;
    }
    let key_hash = |n: usize| KeyHash::of(&format!("key-{n}"));
    counts
        .into_iter()
        .enumerate()
        .map(|(n, c)| (key_hash(n), c))
        .collect()
}

fn upstream_ids(count: usize) -> Vec<UpstreamId> {
    (0..count as u32).map(UpstreamId).collect()
}

/// Runs a trial of one strategy.
pub fn run_trial(strategy: KeyPlacementStrategy, scenario: &KeyPlacementScenario) -> TrialResult {
    let traffic = generate_traffic(scenario);
    let all = upstream_ids(scenario.upstreams);
    let leaving = all[0];
    let remaining: Vec<UpstreamId> = all[1..].to_vec();
    let mut placement = Placement::new(strategy, scenario, &traffic);
    let owners_before = placement.assign_owners(&all, &traffic);
    let owners_after = placement.assign_owners(&remaining, &traffic);
    let mut requests_by_upstream: BTreeMap<UpstreamId, usize> =
        all.iter().map(|id| (*id, 0)).collect();
    for ((_, requests), owner) in traffic.iter().zip(&owners_before) {
        *requests_by_upstream.entry(*owner).or_default() += requests;
    }
    let loads: Vec<usize> = requests_by_upstream.values().copied().collect();
    let moved = owners_before
        .iter()
        .zip(&owners_after)
        .filter(|(b, a)| b != a)
        .count();
    let leaver_keys = owners_before.iter().filter(|o| **o == leaving).count();
    let hottest = traffic.iter().map(|(_, c)| *c).max().unwrap_or(0);
    let mean = REQUESTS as f64 / scenario.upstreams as f64;
    TrialResult {
        imbalance: imbalance(&loads),
        imbalance_floor: (hottest as f64 / mean).max(1.0),
        churn: moved as f64 / traffic.len() as f64,
        leaver_share: leaver_keys as f64 / traffic.len() as f64,
    }
}

/// The owners of slots, kept between two calls of [`Placement::assign_owners`].
struct Placement {
    strategy: KeyPlacementStrategy,
    slot_count: u32,
    pins: BTreeMap<KeyHash, SlotId>,
    owners: BTreeMap<SlotId, UpstreamId>,
}

impl Placement {
    fn new(
        strategy: KeyPlacementStrategy,
        scenario: &KeyPlacementScenario,
        traffic: &[(KeyHash, usize)],
    ) -> Placement {
        let mean = REQUESTS as f64 / scenario.upstreams as f64;
        let is_hot =
            |c: usize| strategy == KeyPlacementStrategy::Pins && c as f64 > mean * PIN_LOAD_SHARE;
        let keys = traffic.iter().filter(|(_, c)| is_hot(*c)).map(|(k, _)| *k);
        let pins = keys.zip(scenario.slots..).map(|(k, n)| (k, SlotId(n)));
        Placement {
            strategy,
            slot_count: scenario.slots,
            pins: pins.collect(),
            owners: BTreeMap::new(),
        }
    }

    /// Returns the owner of each key among `ids`.
    fn assign_owners(
        &mut self,
        ids: &[UpstreamId],
        traffic: &[(KeyHash, usize)],
    ) -> Vec<UpstreamId> {
        let owner = |key: KeyHash| match self.strategy {
            KeyPlacementStrategy::Hashing => ids[(key.0 % ids.len() as u64) as usize],
            _ => rendezvous(key, ids),
        };
        if matches!(
            self.strategy,
            KeyPlacementStrategy::Hashing | KeyPlacementStrategy::Rendezvous
        ) {
            return traffic.iter().map(|(key, _)| owner(*key)).collect();
        }
        self.balance_slots(ids, traffic);
        let slot = |key: KeyHash| self.slot_of(key);
        traffic
            .iter()
            .map(|(k, _)| self.owners[&slot(*k)])
            .collect()
    }

    fn slot_of(&self, key: KeyHash) -> SlotId {
        let pinned = self.pins.get(&key).copied();
        pinned.unwrap_or_else(|| key.slot(self.slot_count))
    }

    fn balance_slots(&mut self, ids: &[UpstreamId], traffic: &[(KeyHash, usize)]) {
        let mut loads: BTreeMap<SlotId, f64> =
            (0..self.slot_count).map(|n| (SlotId(n), 0.0)).collect();
        for (key, requests) in traffic {
            *loads.entry(self.slot_of(*key)).or_default() += *requests as f64;
        }
        self.owners.retain(|_, owner| ids.contains(owner));
        for _ in 0..REBALANCE_ROUNDS_MAX {
            let plan = self.plan(ids, &loads);
            self.owners.extend(plan.assign_unowned());
            let moves = self.plan(ids, &loads).slots_to_move();
            if moves.is_empty() {
                return;
            }
            for slot in moves {
                self.owners.remove(&slot);
            }
        }
        let plan = self.plan(ids, &loads);
        self.owners.extend(plan.assign_unowned());
    }

    fn plan(&self, ids: &[UpstreamId], loads: &BTreeMap<SlotId, f64>) -> PlacementPlan {
        let slots = loads.iter().map(|(slot, load)| SlotLoad {
            slot: *slot,
            owner: self.owners.get(slot).copied(),
            load: *load,
        });
        let capacity = ids.iter().map(|id| (*id, 1.0)).collect();
        PlacementPlan::new(capacity, slots.collect())
    }
}

fn rendezvous(key: KeyHash, ids: &[UpstreamId]) -> UpstreamId {
    let score = |id: &UpstreamId| {
        let mut buf = [0; 12];
        buf[..8].copy_from_slice(&key.0.to_le_bytes());
        buf[8..].copy_from_slice(&id.0.to_le_bytes());
        xxh3_64(&buf)
    };
    let best = ids.iter().max_by_key(|id| score(id));
    best.copied().unwrap_or_default()
}
