//! Tests that all entry hosts together send a cold upstream no more than it bears, whatever happens to hosts, messages
//! and leaders.

mod limited;

use carobreel::clock::Mono;
use carobreel::directory::model::Incarnation;
use carobreel::directory::permits::PermitIssuer;
use carobreel::directory::protocol::{LimitReport, PermitRequest};
use carobreel::gateway::permit::PermitState;
use carobreel::gateway::permit_book::PermitBook;
use carobreel::rate_limit::RateLimit;
use limited::{Host, Simulation, HOST_COUNTS};
use rand::RngExt;

/// Limits of cold upstreams, in requests a second.
const COLD_LIMITS: [f64; 5] = [0.5, 3.7, 11.0, 40.0, 200.0];
/// Time until all hosts in contact with the leader have heard that an upstream became cold or warm.
const KNOWN_AFTER_MS: u64 = 300;
/// Share of the limit that a cold upstream with demand above it must get.
const USED_SHARE_MIN: f64 = 0.7;

fn all_cases(seeds: u64) -> impl Iterator<Item = (u64, usize, f64)> {
    let hosts = move |seed| HOST_COUNTS.map(move |hosts| (seed, hosts));
    let limits = |(seed, hosts)| COLD_LIMITS.map(move |limit| (seed, hosts, limit));
    (0..seeds).flat_map(hosts).flat_map(limits)
}

/// Returns a deployment whose upstream has just become cold with demand at five times its limit.
fn cold(seed: u64, hosts: usize, limit: f64) -> Simulation {
    let mut sim = Simulation::new(seed, hosts, limit * 5.0);
    sim.has_delays = true;
    sim.run(1_000);
    sim.set_cold(Some(limit));
    sim.run(KNOWN_AFTER_MS);
    sim
}

/// Guards against an upstream that crashes since it gets its full load while it is cold.
#[test]
fn a_cold_upstream_gets_no_more_than_it_bears_and_most_of_that() {
    for (seed, hosts, limit) in all_cases(4) {
        let mut sim = cold(seed, hosts, limit);
        let from = sim.now;
        sim.run(20_000);
        sim.check_seconds(from, limit);
        let used = sim.arrivals_since(from) as f64 / (limit * 20.0);
        assert!(used >= USED_SHARE_MIN, "{used} of {limit} by {hosts} hosts");
        // As soon as it is warm it gets all requests.
        sim.set_cold(None);
        sim.run(KNOWN_AFTER_MS + 500);
        let from = sim.now;
        sim.run(5_000);
        assert!(sim.arrivals_since(from) as f64 > 0.8 * limit * 5.0 * 5.0 - 10.0);
    }
}

/// Guards against permits that are used late after idle time, with callers that come all at once.
#[test]
fn bursts_after_idle_time_stay_within_what_a_cold_upstream_bears() {
    for (seed, hosts, limit) in all_cases(4) {
        let mut sim = cold(seed, hosts, limit);
        let from = sim.now;
        for _ in 0..10 {
            let idle_ms = sim.rng.random_range(300..2_500);
            sim.demand = vec![0.0; hosts];
            sim.run(idle_ms);
            sim.demand = vec![(limit * 20.0 + 100.0) / hosts as f64; hosts];
            let busy_ms = sim.rng.random_range(50..1_500);
            sim.run(busy_ms);
        }
        sim.check_seconds(from, limit);
    }
}

/// Guards against permits that lost hosts and lost messages leave behind, and against hosts that go on with what they
/// know.
#[test]
fn lost_messages_and_hosts_that_freeze_or_lose_contact_don_t_add_requests() {
    for (seed, hosts, limit) in all_cases(6) {
        let mut sim = cold(seed, hosts, limit);
        sim.lost_one_in = 4;
        let from = sim.now;
        for _ in 0..12 {
            let n = sim.rng.random_range(0..hosts);
            match sim.rng.random_range(0..4) {
                0 => sim.hosts[n].is_down = true,
                1 => sim.hosts[n].frozen_until = sim.now + 2_500,
                2 => sim.hosts[n].is_cut = true,
                _ => sim.hosts[n].is_cut = false,
            }
            sim.run(1_000);
        }
        sim.check_seconds(from, limit);
    }
}

/// Guards against a new leader that issues permits beside those of the former one.
#[test]
fn changes_of_the_leader_don_t_add_requests() {
    for (seed, hosts, limit) in all_cases(8) {
        let mut sim = cold(seed, hosts, limit);
        let from = sim.now;
        for _ in 0..8 {
            sim.lose_leader();
            let outage_ms = sim.rng.random_range(0..900);
            sim.run(outage_ms);
            sim.elect_leader();
            let leads_ms = sim.rng.random_range(450..2_500);
            sim.run(leads_ms);
        }
        sim.check_seconds(from, limit);
    }
}

/// Guards against a host that sends a cold upstream requests because it hears nothing more of it.
#[test]
fn a_host_without_contact_to_the_leader_sends_a_cold_upstream_nothing() {
    for (seed, hosts, limit) in all_cases(1) {
        let mut sim = cold(seed, hosts, limit);
        for host in &mut sim.hosts[..hosts / 2] {
            host.is_cut = true;
        }
        sim.run(1_000);
        // The hosts that are cut off don't hear of the end of the limit either.
        sim.set_cold(None);
        sim.run(KNOWN_AFTER_MS);
        let from = sim.now;
        sim.run(5_000);
        let is_cut = |a: &&(u64, usize)| a.0 >= from && a.1 < hosts / 2;
        assert_eq!(sim.arrivals.iter().filter(is_cut).count(), 0);
        assert!(sim.arrivals_since(from) > 0);
    }
}

/// Guards against permits of a higher limit, or spaced for a warm upstream, that are used once it is cold.
#[test]
fn an_upstream_that_names_a_limit_and_becomes_cold_gets_the_lower_one() {
    for (seed, hosts) in (0..8).flat_map(|seed| HOST_COUNTS.map(|hosts| (seed, hosts))) {
        for (named, limit) in [(60.0, 4.0), (30.0, 30.0), (2.0, 10.0)] {
            let mut sim = Simulation::with_limit(seed, hosts, 150.0, named);
            sim.has_delays = true;
            let mut from = Vec::new();
            for _ in 0..3 {
                sim.set_cold(Some(limit));
                sim.run(KNOWN_AFTER_MS);
                from.push(sim.now);
                sim.run(3_000);
                sim.check_seconds(from[from.len() - 1], limit);
                let counted = sim.arrivals_since(from[from.len() - 1]) as f64;
                assert!(counted <= 1.1 * named.min(limit) * 3.0 + 8.0, "{counted}");
                sim.arrivals.clear();
                sim.set_cold(None);
                sim.run(2_000);
            }
            // The limit that it names is in force as before.
            sim.arrivals.clear();
            let from = sim.now;
            sim.run(20_000);
            sim.check(from, named);
        }
    }
}

/// Guards against requests that were selected while the upstream was warm.
#[test]
fn a_request_selected_before_its_upstream_became_cold_needs_a_permit() {
    let upstream = Incarnation {
        id: "u1".to_string(),
        born_ms: 1,
    };
    let limits = [(upstream.clone(), RateLimit::from_per_s(3.7).unwrap())].into();
    let mut book = PermitBook::default();
    assert_eq!(
        book.permit_state(&upstream, Mono(900)),
        PermitState::NotNeeded
    );
    assert!(book.set_cold_limits(&limits, Mono(1_000)).is_some());
    assert!(!book.authorize(&upstream, None, Mono(1_010)));
    // A change to the same limits isn't one.
    assert!(book.set_cold_limits(&limits, Mono(1_020)).is_none());
    assert!(book
        .set_cold_limits(&Default::default(), Mono(2_000))
        .is_some());
    assert!(book.authorize(&upstream, None, Mono(2_010)));
    assert!(book.is_empty());
}

/// Guards against requests for permits that take the leader's time when dozens of upstreams are cold at many hosts.
#[test]
fn requests_for_permits_stay_bounded_with_many_hosts_and_many_cold_upstreams() {
    for hosts in [87, 300, 700] {
        let upstream = |n: usize| Incarnation {
            id: format!("u{n}"),
            born_ms: 1,
        };
        let limit = RateLimit::from_per_s(3.7).unwrap();
        let limits = (0..48).map(|n| (upstream(n), limit)).collect();
        let mut issuer = PermitIssuer::new(1, Mono(0));
        issuer.set_cold_limits(&limits, Mono(10_000));
        let mut books: Vec<PermitBook> = (0..hosts).map(|_| PermitBook::default()).collect();
        for book in &mut books {
            book.set_cold_limits(&limits, Mono(10_000));
        }
        let mut next_at = vec![10_000; hosts];
        let (mut messages, mut items, mut largest) = (0u64, 0u64, 0);
        let (from, to) = (20_000, 40_000);
        for now in (10_000..to).step_by(5) {
            for n in 0..hosts {
                if now < next_at[n] {
                    continue;
                }
                // Each host has enough requests to want a permit for each upstream.
                (0..48).for_each(|u| books[n].ask_ahead(&upstream(u)));
                let requests = books[n].take_requests(Mono(now));
                let count = |r: &PermitRequest| issuer.issue(r, Mono(now)).starts_in_ms.len();
                let granted: usize = requests.iter().map(count).sum();
                assert!(granted <= requests.len());
                next_at[n] = now + issuer.record_request(&format!("e{n}"), Mono(now));
                largest = largest.max(requests.len());
                if now >= from {
                    messages += 1;
                    items += requests.len() as u64;
                }
            }
        }
        let seconds = (to - from) / 1_000;
        println!(
            "{hosts} hosts: {} requests a second for {} upstreams, {largest} at most in one",
            messages / seconds,
            items / seconds
        );
        assert!(messages / seconds <= 210, "{messages} of {hosts} hosts");
        assert!(largest <= 16);
    }
}

/// Guards against a request of an urgent route that waits behind others for the same upstream.
#[test]
fn a_more_urgent_request_gets_the_next_permit() {
    let upstream = Incarnation {
        id: "u1".to_string(),
        born_ms: 1,
    };
    let limits = [(upstream.clone(), RateLimit::from_per_s(10.0).unwrap())].into();
    let mut issuer = PermitIssuer::new(1, Mono(0));
    issuer.set_cold_limits(&limits, Mono(1_000));
    let mut book = PermitBook::default();
    book.set_cold_limits(&limits, Mono(1_000));
    let mut wait = |priority| {
        let waiting = book.wait_with_priority(&upstream, priority, 90, 0.5, Mono(1_000));
        waiting.expect("there is room")
    };
    let (mut later, mut urgent) = (wait(2), wait(0));
    let requests = book.take_requests(Mono(1_000));
    // One permit starts within the time that they can wait.
    let grants = requests.iter().map(|r| issuer.issue(r, Mono(1_000)));
    let grants: Vec<_> = grants.collect();
    assert_eq!(grants[0].starts_in_ms.len(), 1);
    book.grant(grants, Mono(1_000), || 0.5, Mono(1_000));
    use carobreel::gateway::permit::PermitOutcome::{Granted, Refused};
    assert!(matches!(urgent.try_recv(), Ok(Granted(_))));
    assert!(matches!(later.try_recv(), Ok(Refused(_))));
}

/// Guards against a limit of a host that hasn't heard of the cold start, which a new leader would take over.
#[test]
fn a_report_of_no_limit_leaves_a_cold_upstream_s_limit() {
    let upstream = Incarnation {
        id: "u1".to_string(),
        born_ms: 1,
    };
    let limit = RateLimit::from_per_s(2.0);
    let limits = [(upstream.clone(), limit.unwrap())].into();
    let mut issuer = PermitIssuer::new(1, Mono(0));
    assert!(issuer.set_cold_limits(&limits, Mono(5_000)));
    let report = |limit, is_observed| PermitRequest {
        known: LimitReport {
            upstream: upstream.clone(),
            limit,
            age_ms: 0,
            inferred: None,
        },
        is_observed,
        count: 4,
        wait_max_ms: 400,
    };
    issuer.record(&report(None, true), Mono(5_100));
    issuer.record(&report(RateLimit::from_per_s(50.0), true), Mono(5_200));
    assert_eq!(issuer.limits().get(&upstream).copied(), limit);
    let grant = issuer.issue(&report(None, false), Mono(5_300));
    assert_eq!(grant.starts_in_ms, [0, 400]);
    assert_eq!(
        grant.terms.map(|t| (t.limit, t.is_cold)),
        limit.map(|l| (l, true))
    );
    issuer.set_cold_limits(&Default::default(), Mono(5_400));
    assert_eq!(
        issuer.limits().get(&upstream).copied(),
        RateLimit::from_per_s(50.0)
    );
}

/// Guards against a host that has just started, and learns of the cold upstream with its first update only.
#[test]
fn a_host_that_starts_while_an_upstream_is_cold_sends_it_nothing_without_a_permit() {
    let mut sim = cold(5, 8, 4.0);
    let limits = [(sim.upstream.clone(), RateLimit::from_per_s(4.0).unwrap())].into();
    sim.hosts[3] = Host::default();
    sim.hosts[3].book.set_cold_limits(&limits, Mono(sim.now));
    let from = sim.now;
    sim.run(10_000);
    sim.check_seconds(from, 4.0);
}
