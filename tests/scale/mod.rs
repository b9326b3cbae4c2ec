//! Tests the directory with as many upstreams and entry hosts as the users' large deployments, and with as
//! small a share of a processor.

use std::collections::BTreeMap;

use carobreel::directory::model::Key;

use crate::model::{Load, Simulation, SERVICE};
use crate::{sampled_key_count, RECOVERY_MS, SERVED_AGAIN_MS, WITHIN_CONTRACT};

const UPSTREAMS: usize = 231;
const ENTRY_HOSTS: usize = 64;
/// Requests per second for the service whose keys are divided among upstreams.
const REQUESTS_PER_S: f64 = 1_667.0;
/// The share of a processor that a directory host has.
const PROCESSOR_SHARE: f64 = 0.15;
/// The maximum number of calls that a leader may have open at once, however many are due: each one is a task
/// and often a connection, which takes a descriptor and some 30 KB of the 256 MB available.
const OPEN_CALLS_MAX: usize = 128;
/// A key that returns to its former owner within this time was moved twice in vain, in milliseconds: the load
/// that decides moves is measured over as long.
const RETURN_WINDOW_MS: u64 = 2_000;
/// The number of ranges per upstream that a leader can renew.
const RANGES_PER_UPSTREAM: usize = 3;

fn start_simulation(seed: u64, processor_share: Option<f64>) -> Simulation {
    let load = Load {
        entry_hosts: ENTRY_HOSTS,
        requests_per_s: REQUESTS_PER_S,
        hot_from: None,
        processor_share,
    };
    let mut sim = Simulation::with_load(seed, UPSTREAMS, WITHIN_CONTRACT, load);
    sim.run(2_500);
    // Repeats the request until it is acknowledged, as an operator does.
    for n in 0..4 {
        if sim.acked_version == 0 {
            sim.configure(n);
            sim.run(2_500);
        }
    }
    sim.run(5_000);
    assert!(sim.acked_version > 0, "seed {seed}");
    sim
}

#[test]
fn even_traffic_doesn_t_split_ranges_of_keys() {
    for seed in 0..3 {
        let mut sim = start_simulation(seed, None);
        let before = sim.ranges();
        sim.run(20_000);
        let after = sim.ranges();
        assert!(
            after <= before + UPSTREAMS / 10,
            "seed {seed}: {before} ranges, {after} after 20 s"
        );
    }
}

#[test]
fn hot_keys_leave_few_small_ranges() {
    let mut sim = start_simulation(5, None);
    for hot_from in [3_000, 20_000, 41_000, 60_000] {
        sim.load.hot_from = Some(hot_from);
        sim.run(4_000);
    }
    sim.load.hot_from = None;
    sim.run(15_000);
    let ranges = sim.ranges();
    assert!(ranges <= RANGES_PER_UPSTREAM * UPSTREAMS, "{ranges} ranges");
    // A key that is moving to a neighbour's owner is briefly held by nobody.
    let end = sim.now + SERVED_AGAIN_MS;
    while sim.upstreams.held_key_count(sim.now) < sampled_key_count() {
        assert!(
            sim.now < end,
            "{} keys held",
            sim.upstreams.held_key_count(sim.now)
        );
        sim.run(20);
    }
}

#[test]
fn a_leader_with_a_small_processor_share_stays_and_configurations_are_in_force_in_time() {
    for seed in 0..3 {
        let mut sim = start_simulation(seed, Some(PROCESSOR_SHARE));
        sim.run(15_000);
        let elections = sim.elections;
        sim.late_versions.clear();
        // Upstreams are replaced one by one while configurations follow each other quickly.
        for round in 0..60 {
            let now = sim.now;
            sim.upstreams.replace(round, now);
            if round >= 20 {
                sim.configure(round % 4);
            }
            sim.run(80);
        }
        sim.run(4_000);
        assert_eq!(sim.elections, elections, "seed {seed}");
        assert!(
            sim.late_versions.is_empty(),
            "seed {seed}: {:?}",
            sim.late_versions
        );
        assert_eq!(sim.hosts_up_to_date(), ENTRY_HOSTS, "seed {seed}");
    }
}

#[test]
fn keys_are_served_in_time_when_all_replicas_start_at_once_on_a_small_processor_share() {
    for seed in 0..3 {
        let mut sim = start_simulation(seed, Some(PROCESSOR_SHARE));
        let elections = sim.elections;
        for n in 0..4 {
            sim.kill(n, 1_400, false);
        }
        let end = sim.now + 1_400 + RECOVERY_MS;
        sim.run(1_400 + RECOVERY_MS - SERVED_AGAIN_MS);
        // A key that is moving to a neighbour's owner is briefly held by nobody.
        while sim.upstreams.held_key_count(sim.now) < sampled_key_count() {
            assert!(sim.now < end, "seed {seed}");
            sim.run(20);
        }
        sim.run(end - sim.now);
        assert_eq!(sim.hosts_up_to_date(), ENTRY_HOSTS, "seed {seed}");
        assert!(
            sim.elections <= elections + 2,
            "seed {seed}: {}",
            sim.elections
        );
    }
}

#[test]
fn grants_due_after_an_election_aren_t_all_sent_at_once() {
    let mut sim = start_simulation(3, None);
    // Calls to these upstreams get no answer before their timeout.
    for n in 0..40 {
        sim.upstreams.crash(n * 5);
    }
    sim.open_calls_max = 0;
    for n in 0..4 {
        sim.kill(n, 700, false);
    }
    sim.run(RECOVERY_MS);
    let open_calls_max = sim.open_calls_max;
    assert!(
        open_calls_max <= OPEN_CALLS_MAX,
        "{open_calls_max} calls in flight at once"
    );
    assert_eq!(sim.upstreams.held_key_count(sim.now), sampled_key_count());
}

#[test]
fn a_leaving_upstream_is_acknowledged_once_every_entry_host_knows_of_it() {
    for seed in 0..3 {
        let mut sim = start_simulation(seed, Some(PROCESSOR_SHARE));
        for n in 0..20 {
            sim.drain(n * 7);
            sim.run(100);
        }
        sim.run(3_000);
        assert!(sim.acked_drains.len() >= 18, "seed {seed}");
        assert_eq!(sim.uninformed_hosts, 0, "seed {seed}");
    }
}

#[test]
fn a_configuration_is_acknowledged_once_every_entry_host_has_it() {
    for seed in 0..3 {
        let mut sim = start_simulation(seed, Some(PROCESSOR_SHARE));
        sim.early_acks.clear();
        let before = sim.acked_version;
        for round in 0..12 {
            sim.configure(round % 4);
            sim.run(700);
        }
        assert!(sim.acked_version > before, "seed {seed}");
        assert!(
            sim.early_acks.is_empty(),
            "seed {seed}: {:?}",
            sim.early_acks
        );
    }
}

#[test]
fn keys_moved_for_their_load_don_t_return_at_once() {
    let mut sim = start_simulation(7, None);
    let mut owner_histories: BTreeMap<Key, Vec<(u64, String)>> = BTreeMap::new();
    for hot_from in [3_000, 20_000, 41_000, 60_000] {
        for (hot, ms) in [(Some(hot_from), 4_000), (None, 6_000)] {
            sim.load.hot_from = hot;
            let end = sim.now + ms;
            while sim.now < end {
                sim.run(20);
                record_owners(&sim, &mut owner_histories);
            }
        }
    }
    let changes: usize = owner_histories.values().map(|t| t.len() - 1).sum();
    let is_return = |w: &&[(u64, String)]| w[0].1 == w[2].1 && w[2].0 - w[1].0 < RETURN_WINDOW_MS;
    let returns = owner_histories
        .values()
        .flat_map(|t| t.windows(3))
        .filter(is_return);
    let returns = returns.count();
    assert!(changes > 0);
    assert_eq!(returns, 0, "returned keys of {changes} changes of owner");
}

/// Records the owner of every 16th key if it changed.
fn record_owners(sim: &Simulation, owner_histories: &mut BTreeMap<Key, Vec<(u64, String)>>) {
    let Some(table) = sim.leader_state().and_then(|s| s.owners.get(SERVICE)) else {
        return;
    };
    for key in (0..=Key::MAX).step_by(16) {
        let Some(range) = table.owner_of(key) else {
            continue;
        };
        let history = owner_histories.entry(key).or_default();
        if history.last().is_none_or(|(_, id)| *id != range.owner.id) {
            history.push((sim.now, range.owner.id.clone()));
        }
    }
}
