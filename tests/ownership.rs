//! One owner a key, and state that survives, under seeded schedules.

mod schedule;

use carobreel::cell::ownership::LeaseTiming;
use carobreel::cell::state::SlotPhase;
use carobreel::history::check_owners;
use schedule::{document, Simulation, SimulationConfig, SERVICE};

const SEEDS: u64 = 60;

fn seeds() -> u64 {
    let given = std::env::var("CAROBREEL_SEEDS").ok();
    given.and_then(|s| s.parse().ok()).unwrap_or(SEEDS)
}

fn run_simulation(seed: u64, config: &SimulationConfig) -> Simulation {
    let mut simulation = Simulation::new(seed, config.clone());
    simulation.run_until(1_500);
    simulation.install(document(1, "first"));
    simulation.run();
    simulation
}

/// Returns the seeds whose history breaks a promise about owners.
fn seeds_with_owner_violations(config: &SimulationConfig) -> Vec<u64> {
    let has_violations = |seed: &u64| !check_owners(&run_simulation(*seed, config).runs).is_empty();
    (0..seeds()).filter(has_violations).collect()
}

/// Tells whether some seed's history breaks a promise about owners.
fn finds_owner_violation(config: &SimulationConfig) -> bool {
    (0..seeds()).any(|seed| !check_owners(&run_simulation(seed, config).runs).is_empty())
}

#[test]
fn each_key_has_one_owner_under_faults() {
    assert_eq!(
        seeds_with_owner_violations(&SimulationConfig::default()),
        [0u64; 0]
    );
}

#[test]
fn each_key_has_one_owner_without_fence_checks() {
    let config = SimulationConfig {
        checks_fences: false,
        ..SimulationConfig::default()
    };
    assert_eq!(seeds_with_owner_violations(&config), [0u64; 0]);
}

#[test]
fn checker_detects_two_owners_when_routing_leases_are_not_awaited() {
    let config = SimulationConfig {
        checks_fences: false,
        lease: LeaseTiming {
            route_expiry_ms: 0,
            ..SimulationConfig::default().lease
        },
        ..SimulationConfig::default()
    };
    assert!(finds_owner_violation(&config));
}

#[test]
fn checker_detects_two_owners_when_leader_expires_leases_early() {
    let config = SimulationConfig {
        checks_fences: false,
        lease: LeaseTiming {
            grant_expiry_ms: 400,
            route_expiry_ms: 400,
            ..SimulationConfig::default().lease
        },
        ..SimulationConfig::default()
    };
    assert!(finds_owner_violation(&config));
}

#[test]
fn replicas_agree_and_every_slot_has_an_owner_after_faults() {
    for seed in 0..seeds() {
        let simulation = run_simulation(seed, &SimulationConfig::default());
        assert_eq!(simulation.divergences, 0, "seed {seed}: replicas disagree");
        let leader = simulation
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: no leader"));
        let division = &leader.state().slot_tables[SERVICE];
        let held = division.slots.iter().filter(|s| s.phase == SlotPhase::Held);
        assert_eq!(held.count(), 32, "seed {seed}: slots without an owner");
        assert_eq!(
            simulation.served_keys(),
            simulation.keys(),
            "seed {seed}: keys that aren't served"
        );
        let voters = leader.raft().membership().voters.len();
        assert_eq!(voters, 3, "seed {seed}: voters");
    }
}

#[test]
fn checker_detects_lost_disk_with_reused_identity() {
    let config = SimulationConfig {
        reuse_identity: true,
        ..SimulationConfig::default()
    };
    let finds_violation = |seed: u64| {
        let result = std::panic::catch_unwind(|| run_simulation(seed, &config));
        result.map_or(true, |simulation| {
            let won_twice = simulation
                .accepted_documents
                .values()
                .any(|winners| winners.len() > 1);
            simulation.divergences > 0 || won_twice || !check_owners(&simulation.runs).is_empty()
        })
    };
    assert!((0..seeds().max(SEEDS)).any(finds_violation));
}

#[test]
fn each_number_is_won_by_one_document() {
    for seed in 0..seeds() {
        let simulation = run_simulation(seed, &SimulationConfig::default());
        for (number, winners) in &simulation.accepted_documents {
            assert_eq!(winners.len(), 1, "seed {seed}: winners of number {number}");
        }
    }
}
