//! Tests which registrations make an upstream cold or warm, and who may be given keys.

use std::collections::{BTreeMap, BTreeSet};

use carobreel::clock::Mono;
use carobreel::directory::balance::TransferPlanner;
use carobreel::directory::codec::{decode, encode};
use carobreel::directory::key_rates::KeyRates;
use carobreel::directory::lessor::Lessor;
use carobreel::directory::model::{Incarnation, KeyTable, Phase, RouteConfig, Service, Upstream};
use carobreel::directory::speeds::Speeds;
use carobreel::directory::state::{Command, State, StoredConfig};
use carobreel::rate_limit::RateLimit;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn heartbeat(is_cold: bool, sequence: Option<u64>) -> Upstream {
    Upstream {
        incarnation: Incarnation {
            id: "u1".to_string(),
            born_ms: 7,
        },
        service: "maps".to_string(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".to_string(),
        version: "v1".to_string(),
        slots: 3,
        phase: Phase::Ready,
        is_cold,
        cold_sequence: sequence,
    }
}

/// Returns a state with the service `maps`, whose cold upstreams take `per_s` requests a second.
fn state(per_s: Option<f64>) -> State {
    let service = Service {
        health_path: "/health".to_string(),
        connections_max: 50,
        sharded: true,
        warmup_ms: 0,
        cold_start_ms: 3_000,
        cold_limit: per_s.and_then(RateLimit::from_per_s),
    };
    let config = RouteConfig {
        version: 1,
        services: BTreeMap::from([("maps".to_string(), service)]),
        ..RouteConfig::default()
    };
    let stored = StoredConfig {
        config,
        source: Vec::new(),
    };
    let mut state = State::default();
    state.apply(1, Command::Configure(Box::new(stored)));
    state
}

fn is_cold(state: &State) -> bool {
    state.upstreams["u1"].is_cold
}

/// Guards against a heartbeat that was held up on the way and makes a cold upstream warm, or a warm one cold.
#[test]
fn late_heartbeats_don_t_change_whether_an_upstream_is_cold() {
    let mut state = state(Some(3.7));
    let mut register = |index, is_cold, sequence| {
        let next = heartbeat(is_cold, Some(sequence));
        let changes = state.would_change(&next);
        state.apply(index, Command::Register(next));
        // A snapshot keeps what is needed.
        state = decode(&encode(&state)).unwrap();
        (changes, state.upstreams["u1"].is_cold)
    };
    assert_eq!(register(2, true, 1), (true, true));
    // Heartbeats that change nothing needn't be replicated.
    assert_eq!(register(3, true, 2), (false, true));
    assert_eq!(register(4, false, 5), (true, false));
    assert_eq!(register(5, true, 4), (false, false));
    assert_eq!(register(6, true, 9), (true, true));
    assert_eq!(register(7, false, 8), (false, true));
    assert_eq!(register(8, false, 10), (true, false));
}

#[test]
fn a_heartbeat_without_a_sequence_is_taken_as_the_newest() {
    let mut state = state(Some(3.7));
    state.apply(2, Command::Register(heartbeat(true, Some(6))));
    state.apply(3, Command::Register(heartbeat(false, None)));
    assert!(!is_cold(&state));
    // The number known before stays.
    state.apply(4, Command::Register(heartbeat(true, Some(5))));
    assert!(!is_cold(&state));
    state.apply(5, Command::Register(heartbeat(true, Some(7))));
    assert!(is_cold(&state));
}

#[test]
fn a_new_process_counts_by_its_own_heartbeats() {
    let mut state = state(Some(3.7));
    state.apply(2, Command::Register(heartbeat(false, Some(900))));
    let mut next = heartbeat(true, Some(1));
    next.incarnation.born_ms = 8;
    state.apply(3, Command::Register(next.clone()));
    assert!(is_cold(&state));
    let limits: Vec<_> = state.cold_limits().into_iter().collect();
    let limit = RateLimit::from_per_s(3.7).unwrap();
    assert_eq!(limits, [(next.incarnation, limit)]);
}

/// Guards against the leader's memory being out of date: it sees the heartbeats of cold upstreams, so that a follower
/// doesn't acknowledge them by itself.
#[test]
fn followers_acknowledge_heartbeats_of_warm_upstreams_and_of_services_without_a_limit() {
    for (per_s, is_cold, is_routine) in [
        (Some(3.7), true, false),
        (Some(3.7), false, true),
        (None, true, true),
        (None, false, true),
    ] {
        let mut state = state(per_s);
        state.apply(2, Command::Register(heartbeat(is_cold, Some(1))));
        let next = heartbeat(is_cold, Some(2));
        assert_eq!(state.is_routine(&next), is_routine, "{per_s:?} {is_cold}");
        assert_eq!(state.cold_limits().len(), usize::from(!is_routine));
    }
}

fn owner(n: usize) -> Incarnation {
    Incarnation {
        id: format!("u{n}"),
        born_ms: 1,
    }
}

/// Guards against keys that move to cold upstreams, and against a cold owner that keeps more than it can serve.
#[test]
fn a_cold_owner_gives_away_what_it_can_t_serve_and_gets_nothing() {
    for seed in 0..5 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let owners: BTreeSet<Incarnation> = (0..8).map(owner).collect();
        // One cold owner with keys, and a cold upstream without any.
        let cold = [owner(0), owner(7)];
        let receivers = owners
            .iter()
            .filter(|o| !cold.contains(o))
            .cloned()
            .collect();
        let mut table = KeyTable::default();
        for n in 0..7u16 {
            let to = if n == 6 {
                u16::MAX
            } else {
                (n + 1) * 9_000 - 1
            };
            table.assign(n * 9_000, to, owner(n.into()), u64::from(n) + 1);
        }
        let mut speeds = Speeds::default();
        let limit = RateLimit::from_per_s(2.0).unwrap();
        speeds.set_limits(cold.iter().map(|c| (c.clone(), limit)).collect());
        let mut rates = KeyRates::default();
        let (mut fence, mut moved) = (100, 0);
        for step in 1..=150 {
            rates.decay(100);
            (0..7).for_each(|_| rates.add(rng.random(), 1));
            if step % 10 != 0 {
                continue;
            }
            let planner = TransferPlanner {
                table: &table,
                rates: &rates,
                speeds: &speeds,
                owners: &owners,
                receivers: &receivers,
                ongoing_moves: &[],
                recent_moves: &[],
            };
            for transfer in planner.transfers(4) {
                assert!(
                    !cold.contains(&transfer.receiver),
                    "seed {seed}: {transfer:?}"
                );
                moved += usize::from(transfer.donor == cold[0]);
                fence += 1;
                table.assign(transfer.from, transfer.to, transfer.receiver, fence);
            }
        }
        let keys = |owner: &Incarnation| {
            let ranges = table.ranges.values().filter(|r| r.owner == *owner);
            ranges.map(|r| u32::from(r.to - r.from) + 1).sum::<u32>()
        };
        assert!(moved > 0, "seed {seed}");
        let kept = keys(&cold[0]);
        assert!(kept > 0 && kept < 6_000, "seed {seed}: {kept} keys kept");
        assert_eq!(keys(&cold[1]), 0);
    }
}

/// Returns how many of four upstreams get keys in the initial assignment if the first `cold` are cold.
fn initial_owners(cold: usize) -> BTreeSet<String> {
    let mut state = state(Some(3.7));
    for n in 0..4 {
        let mut upstream = heartbeat(n < cold, Some(1));
        upstream.incarnation = owner(n);
        upstream.address.set_port(80 + n as u16);
        state.apply(2 + n as u64, Command::Register(upstream));
    }
    let mut lessor = Lessor::new(2_500, 1, Mono(0));
    let mut owners = BTreeSet::new();
    for now in (0..1_500).step_by(50) {
        for command in lessor.step(&state, Mono(now), false).commands {
            if let Command::Assign { owner, .. } = command {
                owners.insert(owner.id);
            }
        }
    }
    owners
}

/// Guards against keys that get no owner since all upstreams have just started, and against all keys at the few that
/// are warm first.
#[test]
fn keys_get_owners_when_all_upstreams_are_cold_and_warm_ones_otherwise() {
    let names = |numbers: std::ops::Range<usize>| numbers.map(|n| owner(n).id).collect();
    assert_eq!(initial_owners(0), names(0..4));
    assert_eq!(initial_owners(1), names(1..4));
    assert_eq!(initial_owners(2), names(2..4));
    assert_eq!(initial_owners(3), names(0..4));
    assert_eq!(initial_owners(4), names(0..4));
}
