//! Tests of the moves of keys between owners for their load.

use std::collections::{BTreeMap, BTreeSet};

use carobreel::directory::balance::TransferPlanner;
use carobreel::directory::key_rates::KeyRates;
use carobreel::directory::model::{Incarnation, KeyTable};
use carobreel::directory::speeds::Speeds;
use carobreel::rate_limit::RateLimit;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const KEYS: f64 = 65_536.0;
const STEP_MS: u64 = 100;
const PLANNING_STEPS: u64 = 10;
const REQUESTS_PER_STEP: u32 = 4;

fn owner(id: &str) -> Incarnation {
    Incarnation {
        id: id.to_string(),
        born_ms: 1,
    }
}

/// Returns the share of all keys that each owner holds after `seconds` of evenly distributed requests.
fn shares_after(
    seed: u64,
    limit: Option<RateLimit>,
    owners: &BTreeSet<Incarnation>,
    seconds: u64,
) -> BTreeMap<Incarnation, f64> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut table = KeyTable::default();
    let width = KEYS as usize / owners.len();
    for (n, owner) in owners.iter().enumerate() {
        let from = (n * width) as u16;
        let to = from + (width - 1) as u16;
        table.assign(from, to, owner.clone(), n as u64 + 1);
    }
    let mut speeds = Speeds::default();
    let limited = owners.first().cloned();
    speeds.set_limits(limited.zip(limit).into_iter().collect());
    let mut rates = KeyRates::default();
    let mut fence = 100;
    for step in 1..=seconds * 1_000 / STEP_MS {
        rates.decay(STEP_MS);
        for _ in 0..REQUESTS_PER_STEP {
            rates.add(rng.random(), 1);
        }
        if step % PLANNING_STEPS != 0 {
            continue;
        }
        let planner = TransferPlanner {
            table: &table,
            rates: &rates,
            speeds: &speeds,
            owners,
            receivers: owners,
            ongoing_moves: &[],
            recent_moves: &[],
        };
        for transfer in planner.transfers(4) {
            fence += 1;
            table.assign(transfer.from, transfer.to, transfer.receiver, fence);
        }
    }
    let mut shares: BTreeMap<Incarnation, f64> = BTreeMap::new();
    for range in table.ranges.values() {
        let keys = f64::from(range.to - range.from) + 1.0;
        *shares.entry(range.owner.clone()).or_default() += keys / KEYS;
    }
    shares
}

#[test]
fn an_owner_with_a_rate_limit_keeps_no_more_keys_than_it_can_serve() {
    let rate = f64::from(REQUESTS_PER_STEP) * 1_000.0 / STEP_MS as f64;
    let limit = 4.0;
    for others in [1, 3, 9] {
        let mut owners: BTreeSet<Incarnation> =
            (0..others).map(|n| owner(&format!("u{n}"))).collect();
        owners.insert(owner("limited"));
        for seed in 0..20 {
            let shares = shares_after(seed, RateLimit::from_per_s(limit), &owners, 20);
            let kept = shares.get(&owner("limited")).copied().unwrap_or(0.0) * rate;
            assert!(
                kept <= limit,
                "seed {seed}: keys with {kept} requests a second kept at a limit of {limit}"
            );
            assert!(kept >= 1.0, "seed {seed}: {kept} requests a second kept");
        }
    }
}
