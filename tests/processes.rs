//! Tests of a whole deployment of real processes that are killed by `kill -9`, frozen by SIGSTOP,
//! or lose their disks.

mod workdir;

use std::fs;
use std::time::{Duration, Instant};

use carobreel::history::{check_at_most_once, ReportedAttempt, ReportedOutcome};
use carobreel::http::HttpRequest;
use carobreel::settings::Deployment;
use carobreel::standin::RequestRun;
use workdir::{send, wait_for, Workdir};

const READY_TIMEOUT: Duration = Duration::from_secs(40);
/// The requirement: a key is served again within 5 s of a loss.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// The requirement: a document is in force on every entry host within 13 s.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(13);
const KEYS: usize = 12;
/// Requests that take longer are printed, for the output of a failed test.
const SLOW_REQUEST: Duration = Duration::from_millis(300);

const DOCUMENT_1: &str = include_str!("../examples/arraial/document-1.json");
const DOCUMENT_2: &str = include_str!("../examples/arraial/document-2.json");

struct TestSystem {
    dir: Workdir,
    deployment: Deployment,
}

impl TestSystem {
    fn start() -> TestSystem {
        let dir = Workdir::new();
        let deployment = dir.write_deployment();
        let mut system = TestSystem { dir, deployment };
        for host in system.deployment.control_hosts.clone() {
            system.dir.start_control(&host.name);
        }
        for host in system.deployment.entry_hosts.clone() {
            system.dir.start_entry(&host.name);
        }
        system.dir.write_file("document-1.json", DOCUMENT_1);
        system.dir.write_file("document-2.json", DOCUMENT_2);
        wait_for("document 1 is accepted", READY_TIMEOUT, || {
            system.run_operator_command(&["apply", "document-1.json"]).0
        });
        for zone in ["norte-a", "norte-b", "sul-a", "sul-b"] {
            for service in ["mapa-cortes", "licencas"] {
                system.start_upstreams(service, zone);
            }
        }
        wait_for("all keys are served", READY_TIMEOUT, || system.serves_all());
        system
    }

    fn start_upstreams(&mut self, service: &str, zone: &str) {
        let region = self.deployment.region_of(zone).unwrap().to_string();
        let zones = ["norte-a", "norte-b", "sul-a", "sul-b"];
        let index = zones.iter().position(|z| *z == zone).unwrap();
        let first = (index * 2).to_string();
        let hosts = self.deployment.entry_hosts.iter();
        let in_region =
            hosts.filter(|h| self.deployment.region_of(&h.availability_zone) == Some(&region));
        let admin: Vec<String> = in_region.map(|h| h.admin_address.to_string()).collect();
        let mut args = vec![
            "standin",
            "--service",
            service,
            "--zone",
            zone,
            "--first",
            &first,
            "--count",
            "2",
            "--runs",
            "runs.jsonl",
        ];
        args.extend(admin.iter().map(String::as_str));
        let name = format!("{service}-{zone}");
        self.dir
            .start(&name, env!("CARGO_BIN_EXE_carobreel"), &args);
    }

    /// Runs an operator's command; returns whether it succeeded, and its output.
    fn run_operator_command(&self, args: &[&str]) -> (bool, String) {
        let admin = self.deployment.entry_hosts[0].admin_address.to_string();
        let mut all = args.to_vec();
        all.extend(["--admin", &admin, "--keys", "keys"]);
        let output = self.dir.run_cli(&all);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let problem = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.success(), text + &problem)
    }

    fn serves(&self, entry_index: usize, path: &str) -> bool {
        let address = self.deployment.entry_hosts[entry_index].caller_address;
        let call = HttpRequest::get(path).timeout(Duration::from_secs(6));
        let began = Instant::now();
        let answer = send(address, call);
        let is_served = answer
            .as_ref()
            .is_some_and(|a| a.header("carobreel-outcome") == "answered");
        if !is_served || began.elapsed() > SLOW_REQUEST {
            let text = answer.map_or("no answer".to_string(), |a| a.text());
            println!(
                "entry {entry_index} {path}: {text} after {:?}",
                began.elapsed()
            );
        }
        is_served
    }

    fn serves_all(&self) -> bool {
        let entries = [0, 3, 6];
        entries.iter().all(|entry| {
            let served = |n| self.serves(*entry, &format!("/mapa-cortes/key-{n}"));
            (0..KEYS).all(served) && self.serves(*entry, "/licencas/form")
        })
    }

    fn leader(&self, cell: &str) -> Option<String> {
        let (_, text) = self.run_operator_command(&["status"]);
        let start = text.find(&format!("cell {cell}: leader "))?;
        let rest = &text[start..];
        let name = rest.split_whitespace().nth(3)?;
        Some(name.to_string())
    }

    fn owner_line(&self, key: &str) -> String {
        let (_, text) =
            self.run_operator_command(&["explain", "--key", &format!("mapa-cortes/{key}")]);
        let owner = text.lines().find(|l| l.starts_with("owner:"));
        owner.unwrap_or("").to_string()
    }
}

#[test]
fn a_killed_leader_loses_no_assignment_and_keys_go_on_being_served() {
    let mut system = TestSystem::start();
    let owners: Vec<String> = (0..KEYS)
        .map(|n| system.owner_line(&format!("key-{n}")))
        .collect();
    let leader = system.leader("norte").unwrap();
    system.dir.kill(&leader);
    wait_for("keys are served after the kill", RECOVERY_TIMEOUT, || {
        system.serves_all()
    });
    wait_for("another leader", READY_TIMEOUT, || {
        system.leader("norte").is_some_and(|l| l != leader)
    });
    let after: Vec<String> = (0..KEYS)
        .map(|n| system.owner_line(&format!("key-{n}")))
        .collect();
    assert_eq!(owners, after);

    // The host restarts with an empty disk and joins the cell as a new replica.
    fs::remove_dir_all(system.dir.path().join("data").join(&leader)).unwrap();
    system.dir.start_control(&leader);
    wait_for(
        "the new replica is a voter that has caught up",
        READY_TIMEOUT,
        || {
            let (_, text) = system.run_operator_command(&["status"]);
            let cell = text.split("cell ").find(|c| c.starts_with("norte"));
            cell.is_some_and(|c| c.contains(&format!("{leader} (0 entries behind)")))
        },
    );

    // With the replica replaced, the cell can lose another host.
    let second = system.leader("norte").unwrap();
    system.dir.kill(&second);
    wait_for(
        "keys are served after the second kill",
        RECOVERY_TIMEOUT,
        || system.serves_all(),
    );
    wait_for("a leader after the second kill", READY_TIMEOUT, || {
        system.leader("norte").is_some_and(|l| l != second)
    });
    let last: Vec<String> = (0..KEYS)
        .map(|n| system.owner_line(&format!("key-{n}")))
        .collect();
    assert_eq!(owners, last);
}

#[test]
fn a_frozen_leader_and_a_killed_entry_host_leave_keys_served() {
    let mut system = TestSystem::start();
    let leader = system.leader("sul").unwrap();
    assert!(
        leader.starts_with("c-sul"),
        "the leader is a host of another region: {leader}"
    );
    system.dir.signal(&leader, "STOP");
    system.dir.kill("e-sul-a-2");
    wait_for("keys are served", RECOVERY_TIMEOUT, || system.serves_all());
    wait_for("another leader", READY_TIMEOUT, || {
        system.leader("sul").is_some_and(|l| l != leader)
    });
    system.dir.signal(&leader, "CONT");
    wait_for("keys are served after the return", RECOVERY_TIMEOUT, || {
        system.serves_all()
    });
}

#[test]
fn a_lost_upstream_s_keys_are_served_again_and_documents_come_into_force() {
    let mut system = TestSystem::start();
    system.dir.kill("mapa-cortes-norte-a");
    wait_for(
        "keys are served after an upstream's loss",
        RECOVERY_TIMEOUT,
        || system.serves_all(),
    );
    let (accepted, text) = system.run_operator_command(&["apply", "document-2.json"]);
    assert!(accepted, "{text}");
    wait_for(
        "document 2 is in force on every entry host",
        IN_FORCE_TIMEOUT,
        || {
            let hosts = system.deployment.entry_hosts.iter();
            let mut metrics = hosts.map(|h| send(h.admin_address, HttpRequest::get("/metrics")));
            metrics.all(|a| a.is_some_and(|a| a.text().contains("carobreel_document_number 2")))
        },
    );
    let (again, _) = system.run_operator_command(&["apply", "document-2.json"]);
    assert!(again, "a resend gets the first answer");
    let conflicting = DOCUMENT_2.replace("mapa-cortes-3", "mapa-cortes-4");
    system.dir.write_file("rival.json", &conflicting);
    let (accepted, text) = system.run_operator_command(&["apply", "rival.json"]);
    assert!(!accepted && text.contains("is taken by"), "{text}");
    let (_, text) = system.run_operator_command(&["explain", "mapa-cortes-3"]);
    assert!(
        text.contains("doesn't serve mapa-cortes: not drain notin (yes)"),
        "{text}"
    );
    let (_, text) = system.run_operator_command(&["timeline", "--text", "DocumentInForce"]);
    assert!(text.lines().count() >= 8, "{text}");
}

#[test]
fn an_entry_host_that_is_asked_to_stop_finishes_what_is_in_flight() {
    let mut system = TestSystem::start();
    let address = system.deployment.entry_hosts[1].caller_address;
    let requests: Vec<_> = (0..20)
        .map(|n| {
            std::thread::spawn(move || {
                let call =
                    HttpRequest::get(&format!("/licencas/{n}")).timeout(Duration::from_secs(10));
                send(address, call).map(|a| a.header("carobreel-outcome").to_string())
            })
        })
        .collect();
    let name = system.deployment.entry_hosts[1].name.clone();
    system.dir.signal(&name, "TERM");
    for request in requests {
        assert_eq!(request.join().unwrap().as_deref(), Some("answered"));
    }
    assert_eq!(system.dir.wait_for_exit(&name), Some(0));
}

impl TestSystem {
    fn kill_zone(&mut self, zone: &str) {
        let control = format!("c-{zone}");
        let names = [
            control.clone(),
            format!("e-{zone}-1"),
            format!("e-{zone}-2"),
            format!("mapa-cortes-{zone}"),
            format!("licencas-{zone}"),
        ];
        for name in names {
            self.dir.kill(&name);
        }
    }

    /// Sends a request to one entry host; returns the outcome and the body of the answer.
    fn ask(&self, entry_index: usize, path: &str) -> (String, String) {
        let address = self.deployment.entry_hosts[entry_index].caller_address;
        let call = HttpRequest::get(path).timeout(Duration::from_secs(12));
        let Some(answer) = send(address, call) else {
            return Default::default();
        };
        let outcome = answer.header("carobreel-outcome").to_string();
        (outcome, answer.text())
    }
}

#[test]
fn a_lost_zone_s_keys_are_served_again() {
    let mut system = TestSystem::start();
    // The leader's availability zone is lost, so that leases, the leader and upstreams are lost
    // together.
    let leader = system.leader("norte").unwrap();
    let zone = match leader.as_str() {
        "c-norte-b" => "norte-b",
        _ => "norte-a",
    };
    let entry = if zone == "norte-a" { 2 } else { 0 };
    system.kill_zone(zone);
    let took = wait_for("all keys are served", RECOVERY_TIMEOUT, || {
        let keys = (0..KEYS).map(|n| format!("/mapa-cortes/key-{n}"));
        std::thread::scope(|scope| {
            let system = &system;
            let threads: Vec<_> = keys
                .map(|path| scope.spawn(move || system.serves(entry, &path)))
                .collect();
            threads.into_iter().all(|a| a.join().unwrap())
        })
    });
    println!("keys served again {took:?} after the loss of {zone}");
    assert!(system.serves(entry, "/licencas/form"));
}

#[test]
fn a_lost_region_leaves_the_other_s_keys_served_and_its_own_refused() {
    let mut system = TestSystem::start();
    let homed_in_norte: Vec<bool> = (0..KEYS)
        .map(|n| {
            let key = format!("mapa-cortes/key-{n}");
            let (_, text) = system.run_operator_command(&["explain", "--key", &key]);
            text.contains("home: region norte")
        })
        .collect();
    assert!(homed_in_norte.contains(&true) && homed_in_norte.contains(&false));
    system.kill_zone("sul-a");
    system.kill_zone("sul-b");
    for (n, in_norte) in homed_in_norte.iter().enumerate() {
        let (outcome, text) = system.ask(0, &format!("/mapa-cortes/key-{n}"));
        if *in_norte {
            assert_eq!(outcome, "answered", "{text}");
        } else {
            assert_ne!(outcome, "answered", "{text}");
        }
    }
    wait_for(
        "the other region's keys are refused at once",
        READY_TIMEOUT,
        || {
            let lost = homed_in_norte.iter().position(|h| !h).unwrap();
            let (outcome, text) = system.ask(0, &format!("/mapa-cortes/key-{lost}"));
            outcome == "not-run" && text.contains("region-unreachable")
        },
    );
    assert!(system.serves(0, "/licencas/form"));
    let (accepted, text) = system.run_operator_command(&["apply", "document-2.json"]);
    assert!(!accepted && text.contains("nothing changed"), "{text}");
}

#[test]
fn without_a_majority_keyed_requests_are_refused_and_others_go_on() {
    let mut system = TestSystem::start();
    system.dir.kill("c-norte-a");
    system.dir.kill("c-norte-b");
    wait_for("keyed requests are refused", READY_TIMEOUT, || {
        let refused = |n| {
            let (outcome, text) = system.ask(0, &format!("/mapa-cortes/key-{n}"));
            outcome == "not-run" && text.contains("no-lease")
        };
        (0..KEYS).any(refused)
    });
    assert!(system.serves(0, "/licencas/form"));
    system.dir.start_control("c-norte-a");
    wait_for("keys are served with a majority", READY_TIMEOUT, || {
        (0..KEYS).all(|n| system.serves(0, &format!("/mapa-cortes/key-{n}")))
    });
}

impl TestSystem {
    fn runs(&self) -> Vec<RequestRun> {
        let text = fs::read_to_string(self.dir.path().join("runs.jsonl")).unwrap();
        text.lines()
            .map(|l| serde_json::from_str(l).unwrap())
            .collect()
    }

    /// Sends a filing, a request that may not be repeated, once and returns the outcome that its
    /// caller got.
    fn send_filing(&self, entry_index: usize, id: &str) -> ReportedAttempt {
        let address = self.deployment.entry_hosts[entry_index].caller_address;
        let call = HttpRequest::post(&format!("/licencas/filing-{id}"), "{}")
            .header("idempotency-key", id)
            .header("carobreel-timeout-ms", "2000")
            .timeout(Duration::from_secs(5));
        let answer = send(address, call);
        let outcome = match answer.as_ref().map(|a| a.header("carobreel-outcome")) {
            Some("answered") => ReportedOutcome::Answered,
            Some("not-run") => ReportedOutcome::NotRun,
            _ => ReportedOutcome::Unknown,
        };
        let path = format!("filing-{id} ");
        let mismatched =
            outcome == ReportedOutcome::Answered && !answer.unwrap().text().contains(&path);
        ReportedAttempt {
            id: id.to_string(),
            outcome,
            has_foreign_answer: mismatched,
        }
    }
}

#[test]
fn filings_run_at_most_once_though_their_entry_host_is_killed_in_between() {
    const FILINGS: usize = 240;
    let mut system = TestSystem::start();
    let mut attempts: Vec<ReportedAttempt> = std::thread::scope(|scope| {
        let first = |n: usize| {
            let system = &system;
            scope.spawn(move || system.send_filing(0, &format!("f{n}")))
        };
        let sent: Vec<_> = (0..FILINGS).map(first).collect();
        std::thread::sleep(Duration::from_millis(60));
        system.dir.signal("e-norte-a-1", "KILL");
        sent.into_iter().map(|s| s.join().unwrap()).collect()
    });
    for entry in [1, 2, 4] {
        let more: Vec<ReportedAttempt> = std::thread::scope(|scope| {
            let again = |n: usize| {
                let system = &system;
                scope.spawn(move || system.send_filing(entry, &format!("f{n}")))
            };
            let sent: Vec<_> = (0..FILINGS).map(again).collect();
            sent.into_iter().map(|s| s.join().unwrap()).collect()
        });
        attempts.extend(more);
    }
    let count = |outcome| attempts.iter().filter(|t| t.outcome == outcome).count();
    let (answered, not_run) = (
        count(ReportedOutcome::Answered),
        count(ReportedOutcome::NotRun),
    );
    println!(
        "{answered} answered, {not_run} not run, {} unknown",
        count(ReportedOutcome::Unknown)
    );
    assert!(answered > 0);
    assert_eq!(check_at_most_once(&system.runs(), &attempts), []);
    system.dir.wait_for_exit("e-norte-a-1");
}
