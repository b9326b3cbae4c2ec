//! Tests the calls to upstreams that the leader of the directory hands out to other directory hosts, under
//! seeded schedules of faults and in virtual time.

mod model;

use std::net::SocketAddr;

use carobreel::clock::Mono;
use carobreel::directory::lessor::{Call, CallId, CallKind, CallResult};
use carobreel::directory::renewals::SharedRenewals;
use model::{Faults, Load, Simulation, HOLD_MS};
use rand::RngExt;

/// The number of seeds in CI; `CAROBREEL_SEEDS` sets another one.
const DEFAULT_SEED_COUNT: u64 = 24;
/// The platform's limit for a key to be served again after a loss, in milliseconds.
const SERVED_AGAIN_MS: u64 = 5_000;
/// The time within which the system must serve after the end of all faults, in milliseconds.
const RECOVERY_MS: u64 = 15_000;
const WITHIN_CONTRACT: Faults = Faults {
    lost_per_mille: 0,
    delayed_calls_per_mille: 0,
    slow_clock_percent: 2,
};
const LOSSY: Faults = Faults {
    lost_per_mille: 20,
    delayed_calls_per_mille: 150,
    slow_clock_percent: 2,
};
/// The calls a second that an idle-free leader shares in the unit tests.
const MANY_PER_S: u64 = 1_000;
const LEASE_MS: u64 = 400;

fn seed_count() -> u64 {
    let configured = std::env::var("CAROBREEL_SEEDS").ok();
    configured
        .and_then(|n| n.parse().ok())
        .unwrap_or(DEFAULT_SEED_COUNT)
}

/// Returns a deployment that shares all renewals.
fn start_simulation(seed: u64, upstreams: usize, faults: Faults) -> Simulation {
    let mut sim = Simulation::with_sharing(seed, upstreams, faults, Load::default(), 0);
    sim.run(2_500);
    for n in 0..4 {
        if sim.acked_version == 0 {
            sim.configure(n);
            sim.run(4_000);
        }
    }
    sim
}

fn sampled_key_count() -> usize {
    model::upstream::sampled_keys().count()
}

fn assert_all_keys_held(sim: &Simulation, seed: u64) {
    let held = sim.upstreams.held_key_count(sim.now);
    assert_eq!(held, sampled_key_count(), "seed {seed}");
}

/// Guards against a leader that goes on making the calls itself, and against grants that lapse on the way
/// through a helper.
#[test]
fn helpers_renew_the_grants_and_no_key_is_lost() {
    let mut sim = start_simulation(1, 60, WITHIN_CONTRACT);
    sim.run(2_000);
    let (own, shared) = (sim.own_calls, sim.shared_calls);
    for _ in 0..200 {
        sim.run(50);
        assert_all_keys_held(&sim, 1);
    }
    let (own, shared) = (sim.own_calls - own, sim.shared_calls - shared);
    assert!(
        shared > 500 && own * 20 < shared,
        "{own} calls of the leader, {shared} of helpers in 10 s"
    );
}

/// Guards against two owners of a key, which the simulation checks all the time, when the process that makes
/// the calls, the leader, or the link between them fails.
#[test]
fn no_fault_of_a_helper_gives_a_key_two_owners() {
    let mut shared = 0;
    for seed in 0..seed_count() {
        let faults = match seed % 2 {
            0 => WITHIN_CONTRACT,
            _ => LOSSY,
        };
        let mut sim = start_simulation(seed, 8, faults);
        for _ in 0..12 {
            let n = sim.rng.random_range(0..4);
            let leader = sim.leader().unwrap_or(n);
            let ms = sim.rng.random_range(300..4_000);
            match sim.rng.random_range(0..9) {
                0 => sim.kill(leader, ms, false),
                1 => sim.kill(n, ms, false),
                2 => sim.freeze(leader, ms),
                3 => sim.freeze(n, ms),
                4 => sim.set_partitioned(leader, true),
                5 => sim.set_partitioned(n, true),
                6 => sim.slow_down(n, ms),
                7 => sim.upstreams.list[n + 4].is_cut_off = true,
                _ => sim.upstreams.crash(n),
            }
            let pause = sim.rng.random_range(1_000..6_000);
            sim.run(pause);
            for n in 0..4 {
                sim.set_partitioned(n, false);
            }
            for upstream in 0..8 {
                sim.upstreams.list[upstream].is_cut_off = false;
                let now = sim.now;
                if !sim.upstreams.list[upstream].is_running {
                    sim.upstreams.restart(upstream, now);
                }
            }
            sim.run(3_000);
        }
        sim.run(RECOVERY_MS);
        if faults.delayed_calls_per_mille == 0 {
            assert_all_keys_held(&sim, seed);
        }
        shared += sim.shared_calls;
    }
    assert!(shared > 500 * seed_count(), "{shared} calls of helpers");
}

/// Guards against keys that stay without an owner for too long because a helper's calls delay the time from
/// which they are free.
#[test]
fn keys_of_a_lost_upstream_are_held_again_in_time() {
    for seed in 0..seed_count() {
        let mut sim = start_simulation(seed, 8, WITHIN_CONTRACT);
        sim.upstreams.crash(3);
        sim.run(SERVED_AGAIN_MS);
        assert_all_keys_held(&sim, seed);
    }
}

/// Guards against grants that lapse when the host that renews them is lost.
#[test]
fn grants_outlive_the_loss_of_a_helper() {
    for seed in 0..seed_count() {
        let mut sim = start_simulation(seed, 8, WITHIN_CONTRACT);
        let leader = sim.leader().unwrap();
        sim.kill((leader + 1) % 4, 1_000_000, false);
        for _ in 0..HOLD_MS / 50 {
            sim.run(50);
            if sim.leader() == Some(leader) {
                assert_all_keys_held(&sim, seed);
            }
        }
    }
}

fn call(number: u64, upstream: &str) -> Call {
    Call {
        id: CallId { term: 1, number },
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        upstream: upstream.to_string(),
        service: "maps".to_string(),
        from: 0,
        to: 9,
        fence: 1,
        kind: CallKind::Grant {
            hold_ms: HOLD_MS,
            handover: None,
            is_renewal: true,
        },
        timeout_ms: 300,
    }
}

fn calls(first: u64, count: u64) -> Vec<Call> {
    let numbers = first..first + count;
    numbers.map(|n| call(n, &format!("u{n}"))).collect()
}

/// Returns a record with two helpers that just asked.
fn with_helpers(now: Mono) -> SharedRenewals {
    let mut shared = SharedRenewals::new(300);
    shared.assign(Vec::new(), MANY_PER_S, now);
    for host in ["h1", "h2"] {
        assert!(shared.take(host, 0, LEASE_MS, now).calls.is_empty());
    }
    shared
}

#[test]
fn calls_are_spread_over_the_helpers_and_an_upstream_keeps_its_helper() {
    let now = Mono(1_000);
    let mut shared = with_helpers(now);
    assert!(shared.assign(calls(0, 80), MANY_PER_S, now).is_empty());
    let first = shared.take("h1", 1, LEASE_MS, now).calls;
    let second = shared.take("h2", 1, LEASE_MS, now).calls;
    assert_eq!(first.len() + second.len(), 80);
    assert!(first.len() > 20 && second.len() > 20, "{}", first.len());
    shared.assign(calls(0, 80), MANY_PER_S, now);
    assert_eq!(shared.take("h1", 2, LEASE_MS, now).calls, first);
}

/// Guards against a change for deployments of a small size.
#[test]
fn few_calls_and_releases_stay_with_the_leader() {
    let now = Mono(1_000);
    let mut shared = with_helpers(now);
    assert_eq!(shared.assign(calls(0, 9), 300, now).len(), 9);
    let release = Call {
        kind: CallKind::Release,
        ..call(1, "u1")
    };
    let first = Call {
        kind: CallKind::Grant {
            hold_ms: HOLD_MS,
            handover: None,
            is_renewal: false,
        },
        ..call(2, "u2")
    };
    let own = shared.assign(vec![release, first], MANY_PER_S, now);
    assert_eq!(own.len(), 2);
}

/// Guards against grants that lapse because their calls wait for a helper that is gone.
#[test]
fn calls_that_no_helper_fetches_return_to_the_leader() {
    let now = Mono(1_000);
    let mut shared = with_helpers(now);
    shared.assign(calls(0, 10), MANY_PER_S, now);
    assert!(shared.take_unfetched(now.plus(200)).is_empty());
    assert_eq!(shared.take_unfetched(now.plus(201)).len(), 10);
    let own = shared.assign(calls(10, 10), MANY_PER_S, now.plus(300));
    assert_eq!(own.len(), 10, "the helpers haven't asked for 300 ms");
}

/// Guards against a call that counts as ended while a helper may still make it.
#[test]
fn a_call_without_a_result_is_lost_once_its_lease_and_its_timeout_have_passed() {
    let now = Mono(1_000);
    let mut shared = with_helpers(now);
    shared.assign(calls(0, 40), MANY_PER_S, now);
    let taken = shared.take("h1", 1, LEASE_MS, now).calls;
    assert!(shared.take_lost(now.plus(LEASE_MS + 300)).is_empty());
    let lost = shared.take_lost(now.plus(LEASE_MS + 350));
    assert_eq!(lost.len(), taken.len());
    assert_eq!(shared.helpers(now.plus(200)), 1, "the helper is paused");
}

/// Guards against grants that lapse because an answer to a helper was lost.
#[test]
fn calls_of_an_answer_that_the_helper_didn_t_get_are_lost_at_its_next_request() {
    let now = Mono(1_000);
    let mut shared = with_helpers(now);
    shared.assign(calls(0, 40), MANY_PER_S, now);
    let taken = shared.take("h1", 1, LEASE_MS, now).calls;
    let later = now.plus(100);
    shared.take("h1", 1, LEASE_MS, later);
    assert_eq!(shared.take_lost(later).len(), taken.len());
}

#[test]
fn an_upstream_that_a_helper_can_t_reach_is_called_by_the_leader() {
    let now = Mono(1_000);
    let mut shared = with_helpers(now);
    shared.assign(calls(0, 40), MANY_PER_S, now);
    let taken = shared.take("h1", 1, LEASE_MS, now).calls;
    let failed = taken.first().unwrap();
    shared.record_result(failed.id, &CallResult::Unknown, now);
    let again = vec![call(100, &failed.upstream)];
    assert_eq!(shared.assign(again.clone(), MANY_PER_S, now).len(), 1);
    let later = now.plus(5_001);
    shared.take("h1", 2, LEASE_MS, later);
    shared.take("h2", 1, LEASE_MS, later);
    assert!(shared.assign(again, MANY_PER_S, later).is_empty());
}

#[test]
fn no_call_is_handed_out_without_a_lease() {
    let now = Mono(1_000);
    let mut shared = with_helpers(now);
    shared.assign(calls(0, 40), MANY_PER_S, now);
    assert!(shared.take("h1", 1, 0, now).calls.is_empty());
}
