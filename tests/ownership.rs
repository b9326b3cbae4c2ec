//! One owner a key, and state that survives, under seeded schedules.

mod schedule;

use carobreel::cell::ownership::LeaseTiming;
use carobreel::cell::state::Phase;
use carobreel::history::check_owners;
use schedule::{document, Plan, World, SERVICE};

const SEEDS: u64 = 60;

fn seeds() -> u64 {
    let given = std::env::var("CAROBREEL_SEEDS").ok();
    given.and_then(|s| s.parse().ok()).unwrap_or(SEEDS)
}

fn run(seed: u64, plan: &Plan) -> World {
    let mut world = World::new(seed, plan.clone());
    world.run_until(1_500);
    world.install(document(1, "first"));
    world.run();
    world
}

/// Returns the seeds whose history breaks a promise about owners.
fn broken_owners(plan: &Plan) -> Vec<u64> {
    let broken = |seed: &u64| !check_owners(&run(*seed, plan).runs).is_empty();
    (0..seeds()).filter(broken).collect()
}

/// Tells whether some seed's history breaks a promise about owners.
fn is_caught(plan: &Plan) -> bool {
    (0..seeds()).any(|seed| !check_owners(&run(seed, plan).runs).is_empty())
}

#[test]
fn each_key_has_one_owner_whatever_fails() {
    assert_eq!(broken_owners(&Plan::default()), [0u64; 0]);
}

#[test]
fn each_key_has_one_owner_though_upstreams_check_nothing() {
    let plan = Plan {
        checks_fences: false,
        ..Plan::default()
    };
    assert_eq!(broken_owners(&plan), [0u64; 0]);
}

#[test]
fn the_checker_finds_two_owners_without_the_wait_for_routing_leases() {
    let plan = Plan {
        checks_fences: false,
        lease: LeaseTiming {
            route_hold_ms: 0,
            ..Plan::default().lease
        },
        ..Plan::default()
    };
    assert!(is_caught(&plan));
}

#[test]
fn the_checker_finds_two_owners_when_the_leader_counts_leases_too_short() {
    let plan = Plan {
        checks_fences: false,
        lease: LeaseTiming {
            grant_hold_ms: 400,
            route_hold_ms: 400,
            ..Plan::default().lease
        },
        ..Plan::default()
    };
    assert!(is_caught(&plan));
}

#[test]
fn replicas_agree_and_every_slot_has_an_owner_after_the_faults() {
    for seed in 0..seeds() {
        let world = run(seed, &Plan::default());
        assert_eq!(world.disagreements, 0, "seed {seed}: replicas disagree");
        let leader = world
            .leader()
            .unwrap_or_else(|| panic!("seed {seed}: no leader"));
        let division = &leader.state().divisions[SERVICE];
        let held = division.slots.iter().filter(|s| s.phase == Phase::Held);
        assert_eq!(held.count(), 32, "seed {seed}: slots without an owner");
        assert_eq!(
            world.served_keys(),
            world.keys(),
            "seed {seed}: keys that aren't served"
        );
        let voters = leader.raft().membership().voters.len();
        assert_eq!(voters, 3, "seed {seed}: voters");
    }
}

#[test]
fn a_lost_disk_under_its_old_identity_is_caught() {
    let plan = Plan {
        keep_identity: true,
        ..Plan::default()
    };
    let breaks = |seed: u64| {
        let caught = std::panic::catch_unwind(|| run(seed, &plan));
        caught.map_or(true, |world| {
            let twice = world.accepted.values().any(|winners| winners.len() > 1);
            world.disagreements > 0 || twice || !check_owners(&world.runs).is_empty()
        })
    };
    assert!((0..seeds().max(SEEDS)).any(breaks));
}

#[test]
fn a_number_is_won_by_one_document() {
    for seed in 0..seeds() {
        let world = run(seed, &Plan::default());
        for (number, winners) in &world.accepted {
            assert_eq!(winners.len(), 1, "seed {seed}: winners of number {number}");
        }
    }
}
