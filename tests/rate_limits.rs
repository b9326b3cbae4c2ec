//! Upstreams that name a rate limit for the requests of all entry hosts together.

mod testbed;

use std::time::{Duration, Instant};

use testbed::deployment::{Answer, Deployment};
use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{wait_for, READY_TIMEOUT};

/// Time from the first response with a limit until the limit binds, by the platform's rules.
const EFFECTIVE_AFTER: Duration = Duration::from_millis(4_000);
/// Length of the sliding window in which arrivals are counted, by the platform's rules.
const WINDOW: Duration = Duration::from_millis(4_000);
/// Arrivals in a window beyond one and a half times the limit, by the platform's rules.
const WINDOW_SLACK: f64 = 5.0;
/// Share of the limit that an upstream with demand above it must get.
const USED_SHARE_MIN: f64 = 0.8;
/// Arrivals beyond the limit that a whole test may show: what a limiter accumulates while idle.
const BURST_MAX: f64 = 5.0;
/// Time within which a request that can't be served within its deadline must be refused.
const REFUSED_WITHIN: Duration = Duration::from_millis(400);

/// Checks that no window of arrivals from `from` on exceeds what the platform allows at `limit`.
fn check_windows(upstream: &FakeUpstream, from: Instant, limit: f64) {
    let arrivals = upstream.observed.lock().unwrap().arrivals.clone();
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + WINDOW_SLACK;
    for (n, start) in counted.iter().enumerate() {
        let in_window = counted[n..].iter().filter(|at| **at - *start < WINDOW);
        let count = in_window.count();
        assert!(
            count as f64 <= allowed,
            "{count} requests in {WINDOW:?} at {}, which named a limit of {limit}; allowed {allowed}",
            upstream.id
        );
    }
}

fn arrivals_since(upstream: &FakeUpstream, from: Instant) -> f64 {
    let observed = upstream.observed.lock().unwrap();
    observed.arrivals.iter().filter(|at| **at >= from).count() as f64
}

/// Checks that an upstream got 80% to 100% of `limit` from `from` until now, give or take a burst.
fn check_use(upstream: &FakeUpstream, from: Instant, limit: f64) {
    let at_limit = limit * from.elapsed().as_secs_f64();
    let arrived = arrivals_since(upstream, from);
    assert!(
        arrived >= USED_SHARE_MIN * at_limit && arrived <= at_limit + BURST_MAX,
        "{arrived} requests at {}, {at_limit} at its limit",
        upstream.id
    );
}

/// Checks that requests that weren't served were refused in time, with a time to return.
fn check_refusals(answers: &[Answer]) {
    for answer in answers.iter().filter(|a| a.status != 200) {
        assert_eq!(answer.status, 503);
        assert!(
            answer.after < REFUSED_WITHIN,
            "refused after {:?}",
            answer.after
        );
        assert!(answer.retry_after.is_some_and(|s| s > 0.0));
    }
}

/// Lets the only owner of all keys name a limit, with demand at five times that.
async fn limit_the_only_owner(network: u8, entry_hosts: u8, pick: impl Fn(usize) -> usize + Copy) {
    let deployment = Deployment::start(network, entry_hosts).await;
    let owner = deployment.add_upstream(1, "maps").await;
    deployment.wait_until_served("/maps/x").await;
    owner.set_behavior(Behavior::NamesRateLimit("5.2"));
    deployment
        .send_load("/maps/x", 26.0, EFFECTIVE_AFTER, pick)
        .await;
    let from = Instant::now();
    let answers = deployment
        .send_load("/maps/x", 26.0, Duration::from_secs(10), pick)
        .await;
    check_windows(&owner, from, 5.2);
    check_use(&owner, from, 5.2);
    check_refusals(&answers);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_names_a_limit_gets_no_more_than_it_from_8_entry_hosts() {
    limit_the_only_owner(80, 8, |n| n).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_names_a_limit_gets_no_more_than_it_from_92_entry_hosts() {
    limit_the_only_owner(81, 92, |n| n).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_names_a_limit_gets_it_when_one_of_8_entry_hosts_has_nine_tenths_of_the_callers(
) {
    limit_the_only_owner(82, 8, |n| if n % 10 == 0 { n / 10 } else { 0 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_names_a_limit_gets_no_more_while_another_one_runs_the_rest() {
    let (deployment, limited, other) = Deployment::start_with_two_upstreams(83, "files").await;
    deployment.wait_until_served("/read/x").await;
    limited.set_behavior(Behavior::NamesRateLimit("4"));
    let load = |duration| deployment.send_load("/read/x", 40.0, duration, |n| n);
    load(EFFECTIVE_AFTER).await;
    let from = Instant::now();
    let answers = load(Duration::from_secs(10)).await;
    check_windows(&limited, from, 4.0);
    check_use(&limited, from, 4.0);
    assert!(other.run_count() > 0);
    assert!(answers.iter().all(|a| a.status == 200));
    let slowest = answers.iter().map(|a| a.after).max();
    assert!(
        slowest.is_some_and(|after| after < REFUSED_WITHIN),
        "{slowest:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_all_name_limits_get_no_more_than_these() {
    let (deployment, one, other) = Deployment::start_with_two_upstreams(84, "files").await;
    deployment.wait_until_served("/read/x").await;
    one.set_behavior(Behavior::NamesRateLimit("0.8"));
    other.set_behavior(Behavior::NamesRateLimit("6"));
    let load = |duration| deployment.send_load("/read/x", 34.0, duration, |n| n);
    load(EFFECTIVE_AFTER).await;
    let from = Instant::now();
    let answers = load(Duration::from_secs(10)).await;
    for (upstream, limit) in [(&one, 0.8), (&other, 6.0)] {
        check_windows(upstream, from, limit);
        check_use(upstream, from, limit);
    }
    check_refusals(&answers);
}

/// Share of requests that may be refused once keys have moved: requests come unevenly.
const REFUSED_SHARE_MAX: f64 = 0.05;

#[tokio::test(flavor = "multi_thread")]
async fn keys_that_an_owner_can_t_serve_within_its_limit_move_to_another_owner() {
    let (deployment, limited, other) = Deployment::start_with_two_upstreams(85, "maps").await;
    let keys: Vec<u16> = (0..64).map(|n| n * 1_000).collect();
    wait_for("both hold keys", READY_TIMEOUT, async || {
        let (one, two) = (limited.held_count(&keys), other.held_count(&keys));
        one > 0 && two > 0 && one + two == keys.len()
    })
    .await;
    deployment.wait_until_served("/maps/x").await;
    limited.set_behavior(Behavior::NamesRateLimit("4"));
    let load = |duration| deployment.send_load("/maps/x", 40.0, duration, |n| n);
    load(Duration::from_secs(8)).await;
    let from = Instant::now();
    let answers = load(Duration::from_secs(8)).await;
    check_windows(&limited, from, 4.0);
    let refused = answers.iter().filter(|a| a.status != 200).count() as f64;
    assert!(
        refused <= REFUSED_SHARE_MAX * answers.len() as f64,
        "{refused} of {} requests refused",
        answers.len()
    );
    // It keeps as many keys as it can serve.
    assert!(arrivals_since(&limited, from) >= 1.0);
}
