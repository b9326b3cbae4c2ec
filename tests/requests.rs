//! Compares the outcomes reported to callers with what upstreams ran, under faults and overload.

mod relay;
mod workdir;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use carobreel::daemon::discard_logger;
use carobreel::document::Document;
use carobreel::history::{
    check_at_most_once, check_owners, ReportedAttempt, ReportedOutcome as Outcome,
};
use carobreel::http::{self, HttpRequest, HttpResponse};
use carobreel::local_deployment::{Fleet, LocalDeployment};
use carobreel::settings::Deployment;
use carobreel::standin::{Settings, StandIn};
use relay::Relay;
use tokio::runtime::Runtime;
use workdir::wait_for;

/// Timeout for the deployment to reach a state.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Tolerated delay of a response after its deadline.
const SLACK: Duration = Duration::from_millis(600);
/// Time within which a leaving upstream may still get new requests.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

const DEPLOYMENT: &str = r#"{
  "name": "one-region",
  "regions": [{"name": "norte", "availability_zones": ["norte-a", "norte-b"]}],
  "control_hosts": [
    {"name": "c1", "availability_zone": "norte-a", "peer_address": "127.0.0.1:1"}
  ],
  "entry_hosts": [
    {"name": "e1", "availability_zone": "norte-a", "peer_address": "127.0.0.1:1",
     "caller_address": "127.0.0.1:1", "admin_address": "127.0.0.1:1"},
    {"name": "e2", "availability_zone": "norte-b", "peer_address": "127.0.0.1:1",
     "caller_address": "127.0.0.1:1", "admin_address": "127.0.0.1:1"},
    {"name": "e3", "availability_zone": "norte-b", "peer_address": "127.0.0.1:1",
     "caller_address": "127.0.0.1:1", "admin_address": "127.0.0.1:1"}
  ],
  "cells": [{"region": "norte", "voters": ["c1"]}],
  "limits": {"body_bytes_max": 4096}
}"#;

const DOCUMENT: &str = r#"{"number": 1, "services": {
  "mapa-cortes": {"selector": "service=mapa-cortes", "divided_by_key": true, "slots": 64},
  "licencas": {"selector": "service=licencas"}}}"#;

struct TestEnv {
    rt: Runtime,
    hosts: Option<LocalDeployment>,
    _folder: tempfile::TempDir,
}

fn fleet(service: &str, count: usize) -> Fleet {
    Fleet {
        service: service.to_string(),
        count,
        slots: 3,
        connections: 110,
        checks_fences: true,
        service_time: Duration::from_millis(5),
    }
}

impl TestEnv {
    fn start() -> TestEnv {
        let folder = tempfile::tempdir().unwrap();
        let deployment = Deployment::parse(DEPLOYMENT).unwrap();
        let hosts = LocalDeployment::spawn(deployment, folder.path(), discard_logger()).unwrap();
        let env = TestEnv {
            rt: Runtime::new().unwrap(),
            hosts: Some(hosts),
            _folder: folder,
        };
        let document = Document::parse(DOCUMENT).unwrap();
        let accepted = env.rt.block_on(env.hosts().apply(&document, TIMEOUT));
        assert!(accepted);
        env
    }

    fn hosts(&self) -> &LocalDeployment {
        self.hosts.as_ref().unwrap()
    }

    fn start_fleet(&mut self, fleet: &Fleet, path: &str) {
        let hosts = self.hosts.as_mut().unwrap();
        self.rt.block_on(hosts.start_fleet(fleet)).unwrap();
        self.wait_served(path);
    }

    fn wait_served(&self, path: &str) {
        let served = self
            .rt
            .block_on(self.hosts().wait_until_served(path, TIMEOUT));
        assert!(served, "{path}");
    }

    /// Starts one upstream of `licencas` behind a relay.
    fn start_behind_relay(&mut self) -> Relay {
        let relay = self.rt.block_on(Relay::bind());
        let fleet = fleet("licencas", 1);
        let settings = Settings {
            announcement: carobreel::cell::state::Announcement {
                name: "licencas-0".to_string(),
                instance: 0,
                address: "127.0.0.1:0".parse().unwrap(),
                availability_zone: "norte-a".to_string(),
                labels: [("service".to_string(), "licencas".to_string())].into(),
                slots: fleet.slots,
                connections: fleet.connections,
                checks_fences: true,
            },
            admin_addresses: self.hosts().admin_addresses("norte-a"),
            service_time: fleet.service_time,
            advertised_address: Some(relay.address),
        };
        let log = self.hosts().run_log.clone();
        let standin = self.rt.block_on(StandIn::spawn(settings, log)).unwrap();
        relay.set_target(standin.address());
        let hosts = self.hosts.as_mut().unwrap();
        hosts.standins.insert("licencas-0".to_string(), standin);
        self.wait_served("/licencas/warm");
        relay
    }

    fn entry_address(&self, entry: usize) -> SocketAddr {
        self.hosts().caller_addresses()[entry]
    }

    /// Sends requests at once and returns each response with the time it took.
    fn send_all(&self, calls: Vec<(usize, HttpRequest)>) -> Vec<(Option<HttpResponse>, Duration)> {
        let work = calls.into_iter().map(|(entry, call)| {
            let address = self.entry_address(entry);
            async move {
                let began = Instant::now();
                let answer = http::send(address, call).await.ok();
                (answer, began.elapsed())
            }
        });
        self.rt.block_on(futures_util::future::join_all(work))
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        if let Some(hosts) = self.hosts.take() {
            hosts.stop();
        }
    }
}

fn filing(id: &str, timeout_ms: u64) -> HttpRequest {
    HttpRequest::post(&format!("/licencas/filing-{id}"), "{}")
        .header("idempotency-key", id)
        .header("carobreel-timeout-ms", &timeout_ms.to_string())
        .timeout(Duration::from_millis(timeout_ms + 5_000))
}

fn outcome(answer: &Option<HttpResponse>) -> Outcome {
    match answer.as_ref().map(|a| a.header("carobreel-outcome")) {
        Some("answered") => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

fn try_of(id: &str, answer: &Option<HttpResponse>) -> ReportedAttempt {
    let outcome = outcome(answer);
    let has_foreign_answer = outcome == Outcome::Answered
        && !answer
            .as_ref()
            .unwrap()
            .text()
            .contains(&format!("filing-{id} "));
    ReportedAttempt {
        id: id.to_string(),
        outcome,
        has_foreign_answer,
    }
}

#[test]
fn silent_connections_delay_no_request_past_its_deadline_and_lose_no_filing() {
    let mut env = TestEnv::start();
    let relay = env.start_behind_relay();
    let reads = |n: usize| {
        let call = HttpRequest::get(&format!("/licencas/read-{n}"))
            .header("carobreel-timeout-ms", "4000")
            .timeout(Duration::from_secs(9));
        (n % 3, call)
    };
    env.send_all((0..24).map(reads).collect());
    relay.silence_open_connections();
    let ids: Vec<String> = (0..9).map(|n| format!("silent-{n}")).collect();
    let filings = ids.iter().enumerate();
    let mut calls: Vec<_> = filings.map(|(n, id)| (n % 3, filing(id, 4_000))).collect();
    calls.extend((0..24).map(reads));
    let answers = env.send_all(calls);
    for (n, (answer, took)) in answers.iter().enumerate() {
        assert_eq!(
            outcome(answer),
            Outcome::Answered,
            "request {n}: {answer:?}"
        );
        assert!(
            *took < Duration::from_secs(4) + SLACK,
            "request {n} took {took:?}"
        );
    }
    let tries: Vec<ReportedAttempt> = ids
        .iter()
        .zip(&answers)
        .map(|(id, a)| try_of(id, &a.0))
        .collect();
    assert_eq!(check_at_most_once(&env.hosts().run_log.runs(), &tries), []);
}

#[test]
fn a_read_that_may_have_run_is_never_reported_as_not_run() {
    let mut env = TestEnv::start();
    let relay = env.start_behind_relay();
    let read = |n: usize| {
        let call = HttpRequest::get(&format!("/licencas/read-{n}"))
            .header("carobreel-timeout-ms", "2500")
            .timeout(Duration::from_secs(9));
        (n % 3, call)
    };
    env.send_all((0..6).map(read).collect());
    relay.delay_responses(6_000);
    let sent = std::thread::scope(|scope| {
        let reads = scope.spawn(|| env.send_all((0..6).map(read).collect()));
        std::thread::sleep(Duration::from_millis(500));
        env.hosts().standins["licencas-0"].kill();
        reads.join().unwrap()
    });
    for (answer, _) in sent {
        assert_ne!(outcome(&answer), Outcome::NotRun, "{answer:?}");
    }
}

#[test]
fn a_truncated_response_is_never_reported_as_answered() {
    let mut env = TestEnv::start();
    let relay = env.start_behind_relay();
    relay.silence_open_connections();
    relay.cut_responses_after(100);
    let call = HttpRequest::get("/licencas/cut").timeout(Duration::from_secs(12));
    let answers = env.send_all(vec![(0, call.clone()), (1, call.clone()), (2, call)]);
    for (answer, _) in answers {
        assert_ne!(outcome(&answer), Outcome::Answered, "{answer:?}");
    }
}

#[test]
fn late_responses_reach_no_other_caller_and_deadlines_hold() {
    let mut env = TestEnv::start();
    let relay = env.start_behind_relay();
    relay.delay_responses(700);
    let late: Vec<String> = (0..6).map(|n| format!("late-{n}")).collect();
    let calls = late
        .iter()
        .enumerate()
        .map(|(n, id)| (n % 3, filing(id, 300)));
    let answers = env.send_all(calls.collect());
    for (answer, took) in &answers {
        assert_eq!(outcome(answer), Outcome::Unknown, "{answer:?}");
        assert!(*took < Duration::from_millis(300) + SLACK, "{took:?}");
    }
    relay.delay_responses(0);
    let fresh: Vec<String> = (0..12).map(|n| format!("fresh-{n}")).collect();
    let calls = fresh
        .iter()
        .enumerate()
        .map(|(n, id)| (n % 3, filing(id, 4_000)));
    let more = env.send_all(calls.collect());
    let pairs = late.iter().zip(&answers).chain(fresh.iter().zip(&more));
    let tries: Vec<ReportedAttempt> = pairs.map(|(id, (answer, _))| try_of(id, answer)).collect();
    assert!(tries[6..].iter().all(|t| t.outcome == Outcome::Answered));
    assert_eq!(check_at_most_once(&env.hosts().run_log.runs(), &tries), []);
}

#[test]
fn resends_through_every_entry_host_run_once_and_get_the_first_answer() {
    let mut env = TestEnv::start();
    env.start_fleet(&fleet("licencas", 4), "/licencas/warm");
    let ids: Vec<String> = (0..10).map(|n| format!("again-{n}")).collect();
    let each = |id: &String| {
        let id = id.clone();
        (0..3).map(move |entry| (id.clone(), (entry, filing(&id, 4_000))))
    };
    let (names, calls): (Vec<String>, Vec<_>) = ids.iter().flat_map(each).unzip();
    let answers = env.send_all(calls);
    let mut tries: Vec<ReportedAttempt> = names
        .iter()
        .zip(&answers)
        .map(|(id, a)| try_of(id, &a.0))
        .collect();
    wait_for("every filing is answered", TIMEOUT, || {
        let calls = ids.iter().map(|id| (1, filing(id, 4_000))).collect();
        let answers = env.send_all(calls);
        tries.extend(ids.iter().zip(&answers).map(|(id, a)| try_of(id, &a.0)));
        answers.iter().all(|(a, _)| outcome(a) == Outcome::Answered)
    });
    assert_eq!(check_at_most_once(&env.hosts().run_log.runs(), &tries), []);
    let (repeated, _) = env.send_all(vec![(2, filing("again-3", 4_000))]).remove(0);
    assert_eq!(repeated.unwrap().header("idempotency-replayed"), "whole");
    let mut other = filing("again-3", 4_000);
    other.body = "another filing".into();
    let (reused, _) = env.send_all(vec![(0, other)]).remove(0);
    assert_eq!(reused.unwrap().status.as_u16(), 422);
}

#[test]
fn claims_survive_the_restart_of_each_replica_in_turn() {
    let mut env = TestEnv::start();
    env.start_fleet(&fleet("licencas", 2), "/licencas/warm");
    let ids: Vec<String> = (0..6).map(|n| format!("kept-{n}")).collect();
    let calls = || {
        ids.iter()
            .enumerate()
            .map(|(n, id)| (n % 3, filing(id, 4_000)))
            .collect()
    };
    let answers = env.send_all(calls());
    assert!(answers.iter().all(|(a, _)| outcome(a) == Outcome::Answered));
    for host in ["e1", "e2"] {
        let hosts = env.hosts.as_mut().unwrap();
        hosts.stop_entry(host);
        hosts.start_entry(host).unwrap();
        env.wait_served("/licencas/warm");
        wait_for("the restarted replica grants claims again", TIMEOUT, || {
            // If one other replica abstains, a claim needs the restarted one.
            let probe = format!("probe-{}", rand::random::<u64>());
            let answers = env.send_all(vec![(0, filing(&probe, 2_000))]);
            outcome(&answers[0].0) == Outcome::Answered
        });
        std::thread::sleep(Duration::from_millis(4_000));
    }
    let repeated = env.send_all(calls());
    for (answer, _) in &repeated {
        let answer = answer.as_ref().unwrap();
        assert_eq!(answer.header("idempotency-replayed"), "whole", "{answer:?}");
    }
    let tries: Vec<ReportedAttempt> = ids
        .iter()
        .zip(&repeated)
        .map(|(id, a)| try_of(id, &a.0))
        .collect();
    assert_eq!(check_at_most_once(&env.hosts().run_log.runs(), &tries), []);
}

#[test]
fn overload_is_refused_at_once_and_refused_requests_never_run() {
    let mut env = TestEnv::start();
    let slow = Fleet {
        slots: 1,
        service_time: Duration::from_millis(40),
        ..fleet("licencas", 1)
    };
    env.start_fleet(&slow, "/licencas/warm");
    let ids: Vec<String> = (0..120).map(|n| format!("busy-{n}")).collect();
    let calls = ids
        .iter()
        .enumerate()
        .map(|(n, id)| (n % 3, filing(id, 800)));
    let answers = env.send_all(calls.collect());
    let count = |t| answers.iter().filter(|(a, _)| outcome(a) == t).count();
    assert!(count(Outcome::Answered) > 0 && count(Outcome::NotRun) > 0);
    for (answer, took) in &answers {
        assert!(*took < Duration::from_millis(800) + SLACK, "{took:?}");
        if outcome(answer) == Outcome::NotRun {
            let answer = answer.as_ref().unwrap();
            assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
        }
    }
    let tries: Vec<ReportedAttempt> = ids
        .iter()
        .zip(&answers)
        .map(|(id, a)| try_of(id, &a.0))
        .collect();
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(check_at_most_once(&env.hosts().run_log.runs(), &tries), []);
}

#[test]
fn a_leaving_upstream_gets_no_new_work_and_its_keys_move_without_a_gap() {
    let mut env = TestEnv::start();
    env.start_fleet(&fleet("mapa-cortes", 4), "/mapa-cortes/key-1");
    let hosts = env.hosts();
    let left_at_us = hosts.run_log.now_us();
    let standin = &hosts.standins["mapa-cortes-1"];
    assert!(env.rt.block_on(standin.leave()));
    let until = Instant::now() + Duration::from_secs(5);
    let mut longest = Duration::ZERO;
    while Instant::now() < until {
        let calls = (0..12).map(|n| {
            let call =
                HttpRequest::get(&format!("/mapa-cortes/key-{n}")).timeout(Duration::from_secs(9));
            (n % 3, call)
        });
        for (answer, took) in env.send_all(calls.collect()) {
            assert_eq!(outcome(&answer), Outcome::Answered, "{answer:?}");
            longest = longest.max(took);
        }
    }
    let runs = env.hosts().run_log.runs();
    let late = left_at_us + LEAVE_TIMEOUT.as_micros() as u64;
    let after = runs
        .iter()
        .filter(|r| r.upstream == "mapa-cortes-1" && r.began_us > late);
    assert_eq!(after.count(), 0);
    assert_eq!(check_owners(&runs), []);
    assert!(
        longest < Duration::from_secs(2),
        "a key waited {longest:?} for its next owner"
    );
}

fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(15)))
        .unwrap();
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn malformed_oversized_and_misdirected_requests_get_clear_errors() {
    let mut env = TestEnv::start();
    env.start_fleet(&fleet("licencas", 1), "/licencas/warm");
    let address = env.entry_address(0);
    assert!(send_raw(address, b"\x00\x01garbage\r\n\r\n").starts_with("HTTP/1.1 400"));
    let head = format!(
        "GET /licencas/x HTTP/1.1\r\nx: {}\r\n\r\n",
        "y".repeat(100_000)
    );
    assert!(send_raw(address, head.as_bytes()).starts_with("HTTP/1.1 431"));
    let slow = b"POST /licencas/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        carobreel-timeout-ms: 300\r\ncontent-length: 10\r\n\r\nhalf";
    assert!(send_raw(address, slow).starts_with("HTTP/1.1 408"));
    let large = HttpRequest::post("/licencas/x", vec![b'x'; 10_000]);
    let cases = vec![
        (large, 413),
        (HttpRequest::get("/nonsense/x"), 404),
        (HttpRequest::get("/mapa-cortes"), 400),
    ];
    for (call, status) in cases {
        let (answer, _) = env.send_all(vec![(0, call)]).remove(0);
        let answer = answer.unwrap();
        assert_eq!(answer.status.as_u16(), status, "{answer:?}");
        assert_eq!(answer.header("carobreel-outcome"), "not-run");
    }
    env.wait_served("/licencas/after");
}

#[test]
fn operators_and_processes_without_credentials_are_rejected() {
    let env = TestEnv::start();
    let admin = env.hosts().deployment.entry_hosts[0].admin_address;
    let answer = env
        .rt
        .block_on(http::send(admin, HttpRequest::get("/v1/status")));
    assert_eq!(answer.unwrap().status.as_u16(), 401);
    let folder = tempfile::tempdir().unwrap();
    carobreel::credentials::generate(folder.path(), &["stranger".to_string()], false).unwrap();
    let tls = carobreel::credentials::read_tls(folder.path(), "stranger").unwrap();
    let recorder = carobreel::event::Recorder::new("stranger", discard_logger());
    let addresses = env.hosts().deployment.peer_addresses();
    let refused = env.rt.block_on(async {
        let any = "127.0.0.1:0".parse().unwrap();
        let endpoint =
            carobreel::transport::Endpoint::bind(any, addresses, &tls, recorder).unwrap();
        let ping = carobreel::wire::Request::Ping;
        endpoint.call("e1", ping, Duration::from_secs(2)).await
    });
    assert!(refused.is_err());
}

#[test]
fn a_changed_slot_count_is_rejected_with_its_location() {
    let env = TestEnv::start();
    let text = DOCUMENT.replace(r#""number": 1"#, r#""number": 2"#);
    let text = text.replace(r#""slots": 64"#, r#""slots": 128"#);
    let call = HttpRequest::post("/v1/documents", text);
    let answer = env
        .rt
        .block_on(env.hosts().send_operator_request(call))
        .unwrap();
    assert_eq!(answer.status.as_u16(), 422);
    let body = answer.text();
    assert!(body.contains("/services/mapa-cortes/slots"), "{body}");
}
