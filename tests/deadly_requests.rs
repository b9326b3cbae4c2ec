//! Requests that end each upstream that runs them, sent again and again through several gateways.

mod testbed;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use carobreel::http::{HttpRequest, HttpResponse};
use testbed::deployment::{call, Deployment};
use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{post, wait_for, READY_TIMEOUT};
use tokio::task::JoinSet;

/// Time after the third end from which arrivals count, by the platform's rules.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Ends of upstreams after which arrivals are limited, by the platform's rules.
const ENDS_MAX: usize = 3;
/// Arrivals after that, over all hosts together, by the platform's rules.
const LATE_ARRIVALS_MAX: usize = 3;
/// Time within which a request that isn't sent must be refused.
const REFUSED_WITHIN: Duration = Duration::from_millis(1_000);
/// The end of the path of the request that ends upstreams.
const DEADLY: &str = "/deadly";
/// How long requests are sent: enough for three ends, `CONTACT`, and as long again.
const DURATION: Duration = Duration::from_secs(18);

/// What a caller was told, and when.
struct Told {
    is_deadly: bool,
    sent_at: Instant,
    after: Duration,
    response: HttpResponse,
}

/// Requests of callers, a fixed number a second; every `deadly_each`th is the deadly one.
struct Load {
    path: &'static str,
    per_s: f64,
    deadly_each: usize,
}

impl Load {
    fn request(&self, n: usize) -> HttpRequest {
        let is_post = self.path.starts_with("/file");
        let id = format!("{:08x}", rand::random::<u32>());
        let path = match self.is_deadly(n) {
            true => format!("{}{DEADLY}", self.path),
            false => format!("{}/{n}", self.path),
        };
        let is_keyed = self.path.starts_with("/maps");
        match (is_post, is_keyed && self.is_deadly(n)) {
            (true, _) => post(&path, &id, 1_500).header("host", "one.example"),
            (false, true) => call(&path, 1_500).header("carobreel-shard-key", "7"),
            (false, false) => call(&path, 1_500),
        }
    }

    fn is_deadly(&self, n: usize) -> bool {
        n % self.deadly_each == 0
    }

    /// Sends the requests to all gateways in turn.
    async fn send(&self, deployment: &Deployment, duration: Duration) -> Vec<Told> {
        let interval = Duration::from_secs_f64(1.0 / self.per_s);
        let count = (duration.as_secs_f64() * self.per_s) as usize;
        let started_at = tokio::time::Instant::now();
        let mut sent = JoinSet::new();
        for n in 0..count {
            tokio::time::sleep_until(started_at + interval * n as u32).await;
            let callers = deployment.callers[(n + n / self.deadly_each) % deployment.callers.len()];
            let (request, is_deadly) = (self.request(n), self.is_deadly(n));
            sent.spawn(async move {
                let sent_at = Instant::now();
                let response = carobreel::http::send(callers, request).await;
                Told {
                    is_deadly,
                    sent_at,
                    after: sent_at.elapsed(),
                    response: response.expect("a request is answered"),
                }
            });
        }
        sent.join_all().await
    }
}

async fn start(network: u8, entry_hosts: u8, service: &str) -> (Deployment, Vec<FakeUpstream>) {
    let deployment = Deployment::start(network, entry_hosts).await;
    let mut upstreams = Vec::new();
    for n in 1..=6 {
        let upstream = deployment.add_upstream(n, service).await;
        upstream.set_behavior(Behavior::EndsOn(DEADLY));
        upstreams.push(upstream);
    }
    let path = match service {
        "maps" => "/maps/x",
        _ => "/read/x",
    };
    deployment.wait_until_served(path).await;
    wait_for("each upstream is used", READY_TIMEOUT, async || {
        deployment.wait_until_served(path).await;
        upstreams.iter().all(|u| u.run_count() > 0)
    })
    .await;
    (deployment, upstreams)
}

fn ends(upstreams: &[FakeUpstream]) -> Vec<Instant> {
    let of_one = |u: &FakeUpstream| u.observed.lock().unwrap().ended_at.clone();
    let mut ends: Vec<Instant> = upstreams.iter().flat_map(of_one).collect();
    ends.sort_unstable();
    ends
}

fn deadly_arrivals(upstreams: &[FakeUpstream]) -> Vec<Instant> {
    let mut arrivals = Vec::new();
    for upstream in upstreams {
        let observed = upstream.observed.lock().unwrap();
        let arrived = observed.heads.iter().zip(&observed.arrivals);
        let is_deadly = |head: &str| head.split(' ').nth(1).is_some_and(|p| p.ends_with(DEADLY));
        arrivals.extend(
            arrived
                .filter(|(head, _)| is_deadly(head))
                .map(|(_, at)| *at),
        );
    }
    arrivals
}

/// Checks how often the deadly request was sent, and what its callers and all others were told.
fn check(upstreams: &[FakeUpstream], told: &[Told]) {
    let ends = ends(upstreams);
    let mut outcomes: BTreeMap<(bool, u16, String), usize> = BTreeMap::new();
    for t in told {
        let text = match t.response.status.as_u16() {
            200 => String::new(),
            _ => String::from_utf8_lossy(&t.response.body).into_owned(),
        };
        let outcome = (t.is_deadly, t.response.status.as_u16(), text);
        *outcomes.entry(outcome).or_default() += 1;
    }
    println!(
        "{} ends; (deadly, status, reason): {outcomes:?}",
        ends.len()
    );
    let arrivals = deadly_arrivals(upstreams);
    if let Some(third) = ends.get(ENDS_MAX - 1) {
        let late = arrivals.iter().filter(|at| **at > *third + CONTACT).count();
        let after = arrivals.iter().filter(|at| *at > third).count();
        println!(
            "{} ends, {after} arrivals after the third, {late} late ones",
            ends.len()
        );
        assert!(
            late <= LATE_ARRIVALS_MAX,
            "{late} arrivals later than {CONTACT:?} after the third of {} ends",
            ends.len()
        );
    }
    let refused = |t: &&Told| {
        let is_refusal = t.response.status == 503;
        is_refusal && String::from_utf8_lossy(&t.response.body).contains("upstreams ended")
    };
    let innocents = told.iter().filter(|t| !t.is_deadly).filter(refused);
    assert_eq!(innocents.count(), 0, "other requests were refused as well");
    let refusals: Vec<&Told> = told
        .iter()
        .filter(|t| t.is_deadly)
        .filter(refused)
        .collect();
    assert!(!refusals.is_empty(), "the deadly request was never refused");
    let slowest = refusals.iter().map(|t| t.after).max();
    assert!(
        slowest.is_some_and(|after| after < REFUSED_WITHIN),
        "{slowest:?}"
    );
    // Once the upstreams are back, all others are served.
    let settled_at = ends.last().map(|at| *at + CONTACT);
    let settled = told
        .iter()
        .filter(|t| settled_at.is_none_or(|at| t.sent_at > at));
    let settled: Vec<&Told> = settled.filter(|t| !t.is_deadly).collect();
    let served = settled.iter().filter(|t| t.response.status == 200).count();
    assert!(
        served * 20 >= settled.len() * 19,
        "{served} of {}",
        settled.len()
    );
}

async fn play(network: u8, entry_hosts: u8, service: &str, path: &'static str) {
    let (deployment, upstreams) = start(network, entry_hosts, service).await;
    let load = Load {
        path,
        per_s: 60.0,
        deadly_each: 8,
    };
    let told = load.send(&deployment, DURATION).await;
    check(&upstreams, &told);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_the_owners_of_its_key_is_stopped_at_8_entry_hosts() {
    play(150, 8, "maps", "/maps").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_the_owners_of_its_key_is_stopped_at_92_entry_hosts() {
    play(151, 92, "maps", "/maps").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_any_upstream_is_stopped_at_8_entry_hosts() {
    play(152, 8, "files", "/read").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_once_and_ends_any_upstream_is_stopped_at_8_entry_hosts() {
    play(153, 8, "files", "/file").await;
}
