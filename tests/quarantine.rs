//! The directory's replicated record of requests that end upstreams, under faults.

mod model;

use carobreel::directory::model::Incarnation;
use carobreel::directory::protocol::DirectoryRequest;
use carobreel::directory::suspects::{Acquittal, BrokenRequest, CrashReport, Stage, SuspectId};
use carobreel::request_digest::{RequestDigest, RequestParts};
use model::{Faults, Simulation, SERVICE};

const SEEDS: u64 = 12;
const REPLICAS: usize = 4;
const FAULTS: Faults = Faults {
    lost_per_mille: 0,
    delayed_calls_per_mille: 0,
    slow_clock_percent: 2,
};
/// Longer than a trial, so that a new leader begins one.
const TRIAL_PAUSE_MS: u64 = 6_000;

fn start(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 8, FAULTS);
    sim.run(2_500);
    sim.configure(0);
    sim.run(8_000);
    sim
}

fn bad() -> SuspectId {
    SuspectId {
        service: SERVICE.to_string(),
        digest: RequestDigest::of(RequestParts {
            method: "GET",
            host: "one.example",
            target: "/bad",
            caller: b"",
            body: b"",
        }),
    }
}

fn report(sim: &mut Simulation, upstream: u64, is_trial: bool) {
    let request = BrokenRequest {
        digest: bad().digest,
        is_trial,
    };
    sim.ask_leader(DirectoryRequest::ReportCrashes {
        host: format!("e{upstream}"),
        crashes: vec![CrashReport {
            service: SERVICE.to_string(),
            upstream: Incarnation {
                id: format!("i-{upstream}"),
                born_ms: 1,
            },
            requests: vec![request],
            at_ms: 0,
        }],
        acquittals: Vec::new(),
        unused_trials: Vec::new(),
    });
    sim.run(500);
}

fn begin_trial(sim: &mut Simulation) {
    sim.ask_leader(DirectoryRequest::BeginTrial {
        id: bad(),
        for_ms: 1_000,
    });
    sim.run(500);
}

fn stage(sim: &Simulation) -> Option<Stage> {
    sim.leader_state()?.suspects.get(&bad()).map(|s| s.stage())
}

fn trials(sim: &Simulation) -> u32 {
    let state = sim.leader_state();
    state
        .and_then(|s| s.suspects.get(&bad()))
        .map_or(0, |s| s.trials)
}

fn kill_all(sim: &mut Simulation) {
    for n in 0..REPLICAS {
        sim.kill(n, 500 + 20 * n as u64, false);
    }
    sim.run(TRIAL_PAUSE_MS + 4_000);
}

#[test]
fn a_quarantine_outlives_the_end_of_all_replicas() {
    for seed in 0..SEEDS {
        let mut sim = start(seed);
        report(&mut sim, 1, false);
        // The crashes before the end count as well.
        kill_all(&mut sim);
        report(&mut sim, 2, false);
        assert_eq!(stage(&sim), Some(Stage::OnTrial), "seed {seed}");
        begin_trial(&mut sim);
        report(&mut sim, 3, true);
        assert_eq!(stage(&sim), Some(Stage::Quarantined), "seed {seed}");
        kill_all(&mut sim);
        assert_eq!(stage(&sim), Some(Stage::Quarantined), "seed {seed}");
    }
}

#[test]
fn no_second_trial_begins_while_the_result_of_the_first_is_stored() {
    let mut sim = start(1);
    report(&mut sim, 1, false);
    report(&mut sim, 2, false);
    begin_trial(&mut sim);
    assert_eq!(trials(&sim), 1);
    // The report of the trial and the next requests for one arrive together.
    let request = BrokenRequest {
        digest: bad().digest,
        is_trial: true,
    };
    sim.ask_leader(DirectoryRequest::ReportCrashes {
        host: "e3".to_string(),
        crashes: vec![CrashReport {
            service: SERVICE.to_string(),
            upstream: Incarnation {
                id: "i-3".to_string(),
                born_ms: 1,
            },
            requests: vec![request],
            at_ms: 0,
        }],
        acquittals: Vec::new(),
        unused_trials: Vec::new(),
    });
    for _ in 0..200 {
        sim.ask_leader(DirectoryRequest::BeginTrial {
            id: bad(),
            for_ms: 1_000,
        });
    }
    sim.run(2_000);
    assert_eq!(stage(&sim), Some(Stage::Quarantined));
    assert_eq!(trials(&sim), 1);
}

#[test]
fn an_answered_trial_and_an_operator_end_a_quarantine() {
    for is_operator in [false, true] {
        let mut sim = start(2);
        report(&mut sim, 1, false);
        report(&mut sim, 2, false);
        begin_trial(&mut sim);
        report(&mut sim, 3, true);
        assert_eq!(stage(&sim), Some(Stage::Quarantined));
        let upstream = Incarnation {
            id: "i-4".to_string(),
            born_ms: 1,
        };
        let acquittal = Acquittal {
            id: bad(),
            upstream,
            is_trial: true,
        };
        sim.ask_leader(match is_operator {
            true => DirectoryRequest::ClearSuspect(bad()),
            false => DirectoryRequest::ReportCrashes {
                host: "e1".to_string(),
                crashes: Vec::new(),
                acquittals: vec![acquittal],
                unused_trials: Vec::new(),
            },
        });
        sim.run(500);
        assert_eq!(stage(&sim), None);
        kill_all(&mut sim);
        assert_eq!(stage(&sim), None);
    }
}
