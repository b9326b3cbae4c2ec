//! Tests that updates to entry hosts contain only what changed and are complete, and that data sent between
//! replicas stays small.

use std::collections::BTreeMap;

use carobreel::clock::Mono;
use carobreel::directory::codec::{decode, encode};
use carobreel::directory::model::{RepeatPolicy, Route, RouteConfig, Target};
use carobreel::directory::protocol::{ConfigUpdate, Update};
use carobreel::directory::state::{Command, State, StoredConfig, Versions};
use carobreel::gateway::view::DirectoryView;
use carobreel::raft::{Body, HardState, Log, Membership, Message, Payload};
use carobreel::raft::{Raft, ReplicaId, Snapshot, Timing};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn route(n: u32, timeout_ms: u64) -> Route {
    Route {
        name: format!("r{n}"),
        host: format!("h{}.example", n % 7),
        prefix: format!("/p{n}/"),
        repeat: RepeatPolicy::Idempotent,
        timeout_ms,
        objective_ms: 100,
        priority: 0,
        targets: vec![Target {
            service: "maps".to_string(),
            weight: 1,
        }],
        attempts_max: 2,
        allowed_regions: Default::default(),
    }
}

fn configure(state: &mut State, version: u64, routes: &BTreeMap<u32, u64>) {
    let config = RouteConfig {
        version,
        routes: routes.iter().map(|(n, ms)| route(*n, *ms)).collect(),
        ..RouteConfig::default()
    };
    let stored = StoredConfig {
        config,
        source: Vec::new(),
    };
    state.apply(version, Command::Configure(Box::new(stored)));
}

fn sorted(mut routes: Vec<Route>) -> Vec<Route> {
    routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
    routes
}

#[test]
fn one_added_route_among_many_is_sent_alone() {
    let mut state = State::default();
    let mut routes: BTreeMap<u32, u64> = (0..1_400).map(|n| (n, 500)).collect();
    configure(&mut state, 1, &routes);
    routes.insert(1_400, 500);
    configure(&mut state, 2, &routes);
    let known_versions = Versions {
        config: 1,
        ..Versions::default()
    };
    let update = state.update_since(known_versions);
    assert_eq!(update.config.as_ref().unwrap().routes.len(), 1);
    assert_eq!(update.send_cost(), 1);
}

#[test]
fn watchers_of_any_age_get_the_configuration_in_force() {
    for seed in 0..40 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut state = State::default();
        let mut routes = BTreeMap::new();
        let mut views = vec![DirectoryView::default()];
        let mut version = 0;
        for _ in 0..30 {
            for _ in 0..rng.random_range(0..60) {
                let n = rng.random_range(0..300);
                match rng.random_range(0..3) {
                    0 => routes.remove(&n),
                    _ => routes.insert(n, rng.random_range(1..4)),
                };
            }
            version += rng.random_range(1..4);
            configure(&mut state, version, &routes);
            // Some views fall many versions behind.
            views.push(views[rng.random_range(0..views.len())].clone());
            for view in views.iter_mut().filter(|_| rng.random_range(0..3) == 0) {
                let update = state.update_since(view.versions);
                *view = view.updated(update, Mono(1));
                assert_eq!(view.versions.config, version, "seed {seed}");
                let expected: Vec<Route> = routes.iter().map(|(n, ms)| route(*n, *ms)).collect();
                let got = sorted(view.config.routes.clone());
                assert_eq!(got, sorted(expected), "seed {seed}");
                for r in &view.config.routes {
                    assert!(view.route(&r.host, &r.prefix).is_some(), "seed {seed}");
                }
            }
        }
    }
}

/// A view that skipped a configuration passed for confirmed: routes that it lacked were answered with 404.
#[test]
fn a_configuration_for_another_base_leaves_the_view_unconfirmed() {
    let update = |version: u64, base: Option<u64>| Update {
        versions: Versions {
            config: version,
            ..Versions::default()
        },
        config: Some(ConfigUpdate {
            version,
            base,
            routes: Vec::new(),
            removed: Vec::new(),
            services: BTreeMap::new(),
            limits: Default::default(),
        }),
        ..Update::default()
    };
    let view = DirectoryView::default().updated(update(1, None), Mono(100));
    assert_eq!(view.confirmed_at, Mono(100));
    let view = view.updated(update(3, Some(2)), Mono(200));
    assert_eq!((view.versions.config, view.confirmed_at), (1, Mono(100)));
    let view = view.updated(update(3, Some(1)), Mono(300));
    assert_eq!((view.versions.config, view.confirmed_at), (3, Mono(300)));
}

/// The maximum number of bytes in flight to one replica: a few seconds of a link between regions.
const IN_FLIGHT_MAX: usize = 1 << 20;

#[test]
fn a_replica_that_acknowledges_nothing_is_sent_a_bounded_number_of_bytes() {
    let ids: Vec<ReplicaId> = (1..=3).map(ReplicaId).collect();
    let voters = ids.iter().map(|id| (*id, id.0.to_string())).collect();
    let snapshot = Snapshot {
        membership: Membership {
            voters,
            learners: BTreeMap::new(),
        },
        ..Snapshot::default()
    };
    let timing = Timing {
        heartbeat_ms: 100,
        election_ms: 600,
        election_delay_ms: 0,
    };
    let log = Log::new(snapshot, Vec::new());
    let mut raft = Raft::open(ids[0], timing, HardState::default(), log, Mono(0), 1);
    raft.tick(Mono(2_000));
    for _ in 0..2 {
        let messages = raft.take_ready().messages;
        let vote = messages.iter().find(|m| m.to == ids[1]).unwrap();
        let Body::VoteRequest { pre, .. } = vote.body else {
            panic!("{vote:?}")
        };
        let granted = Message {
            from: ids[1],
            to: ids[0],
            term: vote.term,
            body: Body::VoteReply { pre, granted: true },
        };
        raft.receive(granted, Mono(2_001));
    }
    let mut sent_bytes = 0;
    for n in 0..40 {
        let now = Mono(2_010 + n * 20);
        let command = Payload::Command(vec![0; 400_000]);
        raft.propose(command, now).unwrap();
        raft.tick(now);
        for msg in raft.take_ready().messages {
            if let (true, Body::Append { entries, .. }) = (msg.to == ids[2], &msg.body) {
                let commands = entries.iter().map(|e| match &e.payload {
                    Payload::Command(command) => command.len(),
                    _ => 0,
                });
                sent_bytes += commands.sum::<usize>();
            }
        }
    }
    assert!(
        sent_bytes > 0 && sent_bytes <= IN_FLIGHT_MAX,
        "{sent_bytes} bytes"
    );
}

/// A change of all routes may take a fifth of 2.5 s between regions, where one connection transfers 2 MB/s.
const CHANGE_BYTES_MAX: usize = 250_000;

#[test]
fn a_change_of_many_routes_is_small_in_the_log_and_reads_back() {
    let routes: Vec<Route> = (0..1_800).map(|n| route(n, 500)).collect();
    let route_json = |r: &Route| {
        let (name, host, prefix) = (&r.name, &r.host, &r.prefix);
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{host}\",\"pathPrefix\":\"{prefix}\",\
             \"kind\":\"idempotent\",\"timeout\":\"500ms\",\"targetLatency\":\"400ms\",\
             \"priority\":2,\"service\":\"maps\",\"maxAttempts\":2}}"
        )
    };
    let source: Vec<String> = routes.iter().map(route_json).collect();
    let config = RouteConfig {
        version: 9,
        routes,
        ..RouteConfig::default()
    };
    let command = Command::Configure(Box::new(StoredConfig {
        config,
        source: source.join(",").into_bytes(),
    }));
    let encoded = postcard::to_stdvec(&command).unwrap();
    let compressed = encode(&command);
    assert!(encoded.len() > CHANGE_BYTES_MAX, "{}", encoded.len());
    assert!(compressed.len() <= CHANGE_BYTES_MAX, "{}", compressed.len());
    assert_eq!(decode::<Command>(&compressed).as_ref(), Some(&command));
    // Uncompressed values of earlier versions decode, and corrupt bytes don't.
    assert_eq!(decode::<Command>(&encoded), Some(command));
    assert_eq!(decode::<Command>(&compressed[..compressed.len() / 2]), None);
    assert_eq!(decode::<Command>(&[0xff, 0xff, 0xff, 0xff, 0xff, 1]), None);
}
