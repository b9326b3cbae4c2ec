//! Tests that requests of a route with allowed regions reach only upstreams there, and that the owners of keys
//! follow.

mod model;
mod testbed;

use std::time::{Duration, Instant};

use carobreel::event::Event;
use model::{Faults, Simulation};
use rand::RngExt;
use serde_json::{json, Value};
use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{document, get, post, wait_for, Testbed, READY_TIMEOUT};

/// Time within which an acknowledged configuration must be in force, as the platform specifies it.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A refusal at once is below this, which is less than the wait for a new owner of a key.
const AT_ONCE: Duration = Duration::from_millis(200);
/// The time that the keys of eight upstreams take at most to change region, in milliseconds.
const MOVES_MS: u64 = 6_000;
/// The time within which all keys are held after faults, in milliseconds.
const RECOVERY_MS: u64 = 15_000;
const FAULTS: Faults = Faults {
    lost_per_mille: 20,
    delayed_calls_per_mille: 150,
    slow_clock_percent: 2,
};

/// Returns a document in which all routes allow only these regions.
fn restricted(version: u64, regions: &[&str]) -> Value {
    let mut document = document(version);
    for route in document["routes"].as_array_mut().unwrap() {
        route["allowedRegions"] = json!(regions);
    }
    document
}

/// Starts a deployment with an upstream of `service` in each of these zones; "a" is in north and "b" in south. The
/// gateway is in north.
async fn start(network: u8, service: &str, zones: &[&str]) -> (Testbed, Vec<FakeUpstream>) {
    let testbed = Testbed::start(network).await;
    testbed.configure_until_ready(&document(1)).await;
    let mut upstreams = Vec::new();
    for (n, zone) in (1..).zip(zones) {
        let upstream = FakeUpstream::start_in_zone(&testbed, n, service, zone).await;
        upstream.join(&testbed).await;
        upstreams.push(upstream);
    }
    (testbed, upstreams)
}

/// Configures the regions and waits until the gateway has them.
async fn restrict(testbed: &Testbed, version: u64, regions: &[&str]) {
    assert_eq!(testbed.configure(&restricted(version, regions)).await, 200);
    let is_in_force =
        |e: &Event| matches!(e, Event::RoutesInForce { version: v, .. } if *v == version);
    wait_for("the regions are in force", CONFIG_TIMEOUT, async || {
        testbed.events().iter().any(|r| is_in_force(&r.event))
    })
    .await;
}

fn arrivals(upstream: &FakeUpstream) -> usize {
    upstream.observed.lock().unwrap().arrivals.len()
}

fn retry_after(answer: &carobreel::http::HttpResponse) -> f64 {
    answer.header("retry-after").parse().unwrap()
}

#[tokio::test]
async fn requests_reach_only_upstreams_in_the_allowed_regions() {
    let (testbed, upstreams) = start(1, "files", &["a", "b", "z"]).await;
    restrict(&testbed, 2, &["south"]).await;
    let before: Vec<usize> = upstreams.iter().map(arrivals).collect();
    for n in 0..30 {
        let answer = testbed
            .request(get("/read/x", &format!("r{n}"), 1_400))
            .await;
        assert_eq!(answer.unwrap().status, 200);
        let answer = testbed
            .request(post("/file/x", &format!("f{n}"), 1_400))
            .await;
        assert_eq!(answer.unwrap().status, 200);
    }
    // A failed attempt isn't repeated in another region either.
    upstreams[1].set_behavior(Behavior::RefusesWithProof);
    for n in 0..6 {
        let answer = testbed
            .request(get("/read/x", &format!("n{n}"), 1_400))
            .await;
        assert_eq!(answer.unwrap().status, 503);
    }
    assert!(arrivals(&upstreams[1]) >= before[1] + 66);
    assert_eq!(arrivals(&upstreams[0]), before[0], "in north");
    assert_eq!(
        arrivals(&upstreams[2]),
        before[2],
        "in a zone without a region"
    );
}

#[tokio::test]
async fn a_request_without_an_allowed_upstream_is_refused_at_once() {
    let (testbed, upstreams) = start(2, "files", &["a", "z"]).await;
    testbed.wait_until_served().await;
    restrict(&testbed, 2, &["south", "nowhere"]).await;
    let before: Vec<usize> = upstreams.iter().map(arrivals).collect();
    for call in [get("/read/x", "r", 1_400), post("/file/x", "f", 1_400)] {
        let sent_at = Instant::now();
        let answer = testbed.request(call).await.unwrap();
        assert!(sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
        assert_eq!(answer.status, 503);
        assert!(retry_after(&answer) > 0.0);
    }
    assert_eq!(upstreams.iter().map(arrivals).collect::<Vec<_>>(), before);
    let is_unserved = |e: &Event| matches!(e, Event::RoutesUnserved { count: 3, .. });
    let is_empty_region = |e: &Event| matches!(e, Event::RegionsWithoutUpstreams { regions, .. } if regions.contains("read: nowhere"));
    for is_logged in [&is_unserved as &dyn Fn(&Event) -> bool, &is_empty_region] {
        wait_for(
            "the leader and the gateway log it",
            CONFIG_TIMEOUT,
            async || testbed.events().iter().any(|r| is_logged(&r.event)),
        )
        .await;
    }
    let events = testbed.events();
    let diagnosis = carobreel::diagnosis::diagnose(&events, "r").unwrap();
    assert!(
        diagnosis.cause.contains("restricts route read"),
        "{}",
        diagnosis.cause
    );
    // An upstream that joins there is used.
    let joined = FakeUpstream::start_in_zone(&testbed, 3, "files", "b").await;
    joined.join(&testbed).await;
    testbed.wait_until_served().await;
    assert!(joined.run_count() > 0);
}

#[tokio::test]
async fn a_request_that_waits_is_bound_by_the_configuration_when_it_is_sent() {
    let (testbed, upstreams) = start(3, "files", &["a", "b"]).await;
    restrict(&testbed, 2, &["north"]).await;
    // Permits for a limit of 3 a second start 333 ms apart, so requests wait for one at any time.
    upstreams[0].set_behavior(Behavior::NamesRateLimit("3"));
    let load = async {
        let mut sent = tokio::task::JoinSet::new();
        for n in 0..100 {
            let call = post("/file/x", &format!("p{n}"), 1_400).header("host", "one.example");
            sent.spawn(carobreel::http::send(testbed.caller_address(), call));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        sent.join_all().await
    };
    let narrowing = async {
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        restrict(&testbed, 3, &["south"]).await;
        Instant::now()
    };
    let (answers, narrowed_at) = tokio::join!(load, narrowing);
    let runs = |n: usize| upstreams[n].observed.lock().unwrap().runs.clone();
    let (north, south) = (runs(0), runs(1));
    assert!(!north.is_empty() && !south.is_empty());
    let late: Vec<_> = north.iter().filter(|(_, at)| *at > narrowed_at).collect();
    assert!(late.is_empty(), "in north, no longer allowed: {late:?}");
    let served = answers
        .iter()
        .filter(|a| a.as_ref().is_ok_and(|a| a.status == 200));
    // Each of them ran exactly once.
    assert_eq!(served.count(), north.len() + south.len());
}

#[tokio::test]
async fn keys_move_to_the_allowed_region_and_stay_without_one() {
    let (testbed, upstreams) = start(4, "maps", &["a", "b", "a"]).await;
    let keys: Vec<u16> = (0..64).map(|n| n * 1_000).collect();
    let held = |n: usize| upstreams[n].held_count(&keys);
    wait_for("all keys are held", READY_TIMEOUT, async || {
        held(0) + held(1) + held(2) == keys.len() && held(0) > 0
    })
    .await;
    restrict(&testbed, 2, &["south"]).await;
    let before = arrivals(&upstreams[0]) + arrivals(&upstreams[2]);
    let request = async |key: u16, id: &str| {
        let call = get("/maps/x", id, 900).header("carobreel-shard-key", &key.to_string());
        testbed.request(call).await.unwrap()
    };
    wait_for("all keys have moved", READY_TIMEOUT, async || {
        request(0, "m").await;
        held(1) == keys.len()
    })
    .await;
    for key in &keys {
        wait_for("the key is served", CONFIG_TIMEOUT, async || {
            request(*key, &format!("k{key}")).await.status == 200
        })
        .await;
    }
    // Without an upstream in the allowed region, owners may be in any region, and requests are refused.
    restrict(&testbed, 3, &["west"]).await;
    wait_for("keys return to all upstreams", READY_TIMEOUT, async || {
        let total: usize = (0..3).map(held).sum();
        total == keys.len() && held(0) > 0
    })
    .await;
    let before_west = arrivals(&upstreams[1]);
    for key in keys.iter().take(8) {
        let sent_at = Instant::now();
        let answer = request(*key, &format!("w{key}")).await;
        assert!(sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
        assert_eq!(answer.status, 503);
        assert!(retry_after(&answer) > 0.0);
    }
    assert_eq!(arrivals(&upstreams[0]) + arrivals(&upstreams[2]), before);
    assert_eq!(arrivals(&upstreams[1]), before_west);
    let events = testbed.events();
    let is_logged = |followed: bool| {
        events.iter().any(|r| {
            matches!(&r.event, Event::OwnerRegionsChanged { has_upstreams, is_restricted: true, .. }
                if *has_upstreams == followed)
        })
    };
    assert!(is_logged(true) && is_logged(false));
}

#[tokio::test]
async fn an_owner_outside_a_route_s_regions_is_refused_at_once_while_other_routes_use_it() {
    let (testbed, upstreams) = start(5, "maps", &["a", "b"]).await;
    let keys: Vec<u16> = (0..64).map(|n| n * 1_000).collect();
    // The regions of the two routes have none in common, so owners may be in any region.
    let mut document = restricted(2, &["north"]);
    let mut other = document["routes"][2].clone();
    other["name"] = json!("plans");
    other["pathPrefix"] = json!("/plans/");
    other["allowedRegions"] = json!(["south"]);
    document["routes"].as_array_mut().unwrap().push(other);
    assert_eq!(testbed.configure(&document).await, 200);
    wait_for("both hold keys", READY_TIMEOUT, async || {
        let (north, south) = (
            upstreams[0].held_count(&keys),
            upstreams[1].held_count(&keys),
        );
        north + south == keys.len() && north > 0 && south > 0
    })
    .await;
    let request = async |path: &str, key: u16| {
        let id = format!("{path}{key}");
        let call = get(path, &id, 900).header("carobreel-shard-key", &key.to_string());
        let sent_at = Instant::now();
        (testbed.request(call).await.unwrap(), sent_at.elapsed())
    };
    wait_for("the owners are known", CONFIG_TIMEOUT, async || {
        request("/maps/x", 0).await.0.status == 200 || request("/plans/x", 0).await.0.status == 200
    })
    .await;
    let (mut served, mut refused) = (0, 0);
    for key in keys {
        for path in ["/maps/x", "/plans/x"] {
            let (answer, elapsed) = request(path, key).await;
            served += u32::from(answer.status == 200);
            if answer.status == 503 {
                refused += 1;
                assert!(elapsed < AT_ONCE, "{elapsed:?}");
                assert!(retry_after(&answer) > 0.0);
            }
        }
    }
    assert_eq!((served, refused), (64, 64));
    let ran = |n: usize, path: &str| {
        let observed = upstreams[n].observed.lock().unwrap();
        observed.runs.iter().any(|(id, _)| id.starts_with(path))
    };
    assert!(!ran(0, "/plans/") && !ran(1, "/maps/"));
}

#[tokio::test]
async fn regions_bind_without_contact_to_the_directory() {
    let (mut testbed, upstreams) = start(6, "files", &["a", "b"]).await;
    restrict(&testbed, 2, &["south"]).await;
    testbed.wait_until_served().await;
    let before = arrivals(&upstreams[0]);
    testbed.stop_directory();
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let answer = testbed.request(get("/read/x", "1", 900)).await.unwrap();
        assert_eq!(answer.status, 200);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    upstreams[1].crash();
    for n in 0..10 {
        let call = post("/file/x", &format!("c{n}"), 900);
        let answer = testbed.request(call).await.unwrap();
        assert!(answer.status.is_server_error(), "{}", answer.status);
    }
    assert_eq!(arrivals(&upstreams[0]), before);
}

#[tokio::test]
async fn a_traffic_split_keeps_its_weights_where_a_part_has_no_allowed_upstream() {
    let (testbed, upstreams) = start(7, "files", &["a"]).await;
    let other = FakeUpstream::start_in_zone(&testbed, 2, "maps", "b").await;
    other.join(&testbed).await;
    let keys: Vec<u16> = (0..64).map(|n| n * 1_000).collect();
    wait_for("all keys are held", READY_TIMEOUT, async || {
        other.held_count(&keys) == keys.len()
    })
    .await;
    let mut split = restricted(2, &["south"]);
    let route = split["routes"][0].as_object_mut().unwrap();
    route.remove("service");
    route.insert(
        "trafficSplit".to_string(),
        json!([{ "service": "files", "weight": 50 }, { "service": "maps", "weight": 50 }]),
    );
    assert_eq!(testbed.configure(&split).await, 200);
    tokio::time::sleep(CONFIG_TIMEOUT).await;
    let before = arrivals(&upstreams[0]);
    let mut served = 0;
    for n in 0..400_u16 {
        let call = get("/read/x", &format!("s{n}"), 900);
        let call = call.header("carobreel-shard-key", &(n * 160).to_string());
        let answer = testbed.request(call).await.unwrap();
        match answer.status.as_u16() {
            200 => served += 1,
            status => assert_eq!(status, 503),
        }
    }
    // Four standard deviations of a fair choice are 40.
    assert!((160..=240).contains(&served), "{served} of 400");
    assert_eq!(arrivals(&upstreams[0]), before);
    // The part for which there was no upstream goes to one that joins.
    let joined = FakeUpstream::start_in_zone(&testbed, 3, "files", "b").await;
    joined.join(&testbed).await;
    wait_for("the joined upstream is used", CONFIG_TIMEOUT, async || {
        let call = get("/read/x", "j", 900).header("carobreel-shard-key", "1");
        let _ = testbed.request(call).await;
        // It refuses a request with a key that it wasn't granted.
        arrivals(&joined) > 0
    })
    .await;
}

/// Returns the number of ranges with an owner in zone `zone`, and of all ranges.
fn ranges_in_zone(sim: &Simulation, zone: &str) -> (usize, usize) {
    let state = sim.leader_state().unwrap();
    let ranges = state.owners[model::SERVICE].ranges.values();
    let zone_of = |id: &str| state.upstreams.get(id).map(|u| u.zone.as_str());
    let inside = ranges
        .clone()
        .filter(|r| zone_of(&r.owner.id) == Some(zone));
    (inside.count(), ranges.count())
}

/// Returns a simulation with upstreams 0 to 3 in zone "a", 4 and 5 in "b", and 6 and 7 in a zone without a region.
fn simulation(seed: u64, faults: Faults) -> Simulation {
    let mut sim = Simulation::new(seed, 8, faults);
    for (n, upstream) in sim.upstreams.list.iter_mut().enumerate() {
        let zone = match n {
            0..4 => "a",
            4 | 5 => "b",
            _ => "z",
        };
        upstream.zone = zone.to_string();
    }
    sim.run(2_500);
    sim
}

fn configure_until_acked(sim: &mut Simulation, regions: &[&str]) {
    let before = sim.acked_version;
    // The model loses one forwarded request in ten.
    for n in 0..8 {
        sim.configure_regions(n % 4, regions);
        sim.run(1_500);
        if sim.acked_version > before {
            return;
        }
    }
    panic!("no configuration was acknowledged");
}

#[test]
fn owners_follow_the_allowed_regions_with_handover_under_faults() {
    for seed in 0..12 {
        let mut sim = simulation(seed, FAULTS);
        configure_until_acked(&mut sim, &[]);
        sim.run(MOVES_MS);
        let (inside, all) = ranges_in_zone(&sim, "b");
        assert!(inside < all, "seed {seed}: {inside} of {all}");
        for _ in 0..3 {
            configure_until_acked(&mut sim, &["south"]);
            if sim.rng.random_range(0..2) == 0 {
                // The leader is lost in the middle of the moves.
                let leader = sim.leader().unwrap_or(0);
                sim.kill(leader, 700, false);
            }
            sim.run(2 * MOVES_MS);
            let (inside, all) = ranges_in_zone(&sim, "b");
            assert_eq!(inside, all, "seed {seed}");
            configure_until_acked(&mut sim, &["north", "south"]);
            sim.run(MOVES_MS);
            assert_eq!(ranges_in_zone(&sim, "z").0, 0, "seed {seed}");
        }
        assert!(sim.upstreams.handovers > 0, "seed {seed}");
        assert!(are_all_held_within(&mut sim, RECOVERY_MS), "seed {seed}");
    }
}

/// Reports whether all keys are held at some time; late calls leave some without a holder now and then.
fn are_all_held_within(sim: &mut Simulation, ms: u64) -> bool {
    let end = sim.now + ms;
    while sim.now < end {
        if sim.upstreams.held_key_count(sim.now) == model::upstream::sampled_keys().count() {
            return true;
        }
        sim.run(100);
    }
    false
}

#[test]
fn owners_are_in_any_region_while_the_allowed_ones_have_no_upstream() {
    for seed in 0..12 {
        let mut sim = simulation(seed, FAULTS);
        configure_until_acked(&mut sim, &["south"]);
        sim.run(MOVES_MS);
        assert_eq!(ranges_in_zone(&sim, "b").0, ranges_in_zone(&sim, "b").1);
        sim.upstreams.crash(4);
        sim.upstreams.crash(5);
        sim.run(MOVES_MS);
        assert!(are_all_held_within(&mut sim, RECOVERY_MS), "seed {seed}");
        assert_eq!(ranges_in_zone(&sim, "b").0, 0, "seed {seed}");
        let now = sim.now;
        sim.upstreams.restart(4, now);
        sim.run(2 * MOVES_MS);
        let (inside, all) = ranges_in_zone(&sim, "b");
        assert_eq!(inside, all, "seed {seed}: the keys return");
    }
}
