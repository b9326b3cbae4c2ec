//! Workers of a service that is divided by key leave while they are at work. The leader of the core loses the
//! others for a moment and leads again.
#[path = "../lab.rs"]
mod lab;

use std::sync::{Arc, Mutex};
use std::thread;

use lab::*;

const CORE: [u8; 3] = [1, 2, 3];
const EDGE: u8 = 101;
const WORKERS: u8 = 6;
const ROUNDS: u32 = 9;
/// The script ends by itself well before 120 s.
const LAST_START_S: f64 = 95.0;
/// Two ranges each are assigned to six workers in turn.
const RANGE: u32 = 5_462;
/// How long the two other core machines stand still.
const FROZEN_MS: u64 = 1_250;
const SHORT_WORK_MS: u64 = 2_400;
const LONG_WORK_MS: u64 = 5_000;

fn main() {
    run_case(|lab| {
        let mut is_broken = false;
        for n in 1..=ROUNDS {
            if lab.record.now() > LAST_START_S || is_broken {
                break;
            }
            lab.renew(n);
            is_broken = play(lab, n);
        }
        is_broken
    })
}

fn play(lab: &Lab, round: u32) -> bool {
    lab.note(format!("round {round}"));
    let cores: Vec<Process> = CORE.iter().map(|n| lab.process(&format!("core-{n}"), *n, &CORE, 1)).collect();
    let _gateway = lab.process("edge-1", EDGE, &CORE, 1);
    lab.configure(&CORE, &document(1, 9_000));
    lab.wait("the gateway is ready", 20, || lab.is_ready(EDGE));
    let mut leader = None;
    lab.wait("a core machine leads", 20, || {
        leader = cores.iter().position(|c| leads(lab, c.host));
        leader.is_some()
    });
    let leader = leader.unwrap_or(0);
    let first = lab.control(cores[leader].host);
    let mut nodes = vec![first];
    nodes.extend(CORE.iter().map(|n| lab.control(*n)).filter(|a| *a != first));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let workers: Vec<Worker> = (0..WORKERS).map(|n| Worker::start(lab, 11 + n, "maps", &seen)).collect();
    for worker in &workers {
        worker.beat(&nodes);
    }
    for worker in &workers {
        worker.announce(nodes.clone());
    }
    lab.wait("all ranges are granted", 20, || lock(&seen).held.len() >= 12);
    // Clients send to keys of the first three workers until each of these ranges has work. That of the first two
    // ends after `SHORT_WORK_MS`, that of the third after `LONG_WORK_MS`.
    let clients: Vec<_> = [0, 1, 2, 6, 7, 8]
        .into_iter()
        .map(|range: u32| {
            let (callers, record) = (lab.callers(EDGE), lab.record.clone());
            let work_ms = if range % 6 < 2 { SHORT_WORK_MS } else { LONG_WORK_MS };
            thread::spawn(move || {
                for n in 0..400 {
                    let id = format!("k{range}-{n}");
                    let call = request("POST", "/maps/a", &id, 8_000, work_ms)
                        .header("Carobreel-Shard-Key", range * RANGE + 7);
                    let answer = call.send(callers, 8_500).map(|a| a.status);
                    if answer != Ok(503) {
                        record.note(format!("{id}: {answer:?}"));
                        break;
                    }
                    sleep_ms(10);
                }
            })
        })
        .collect();
    lab.wait("work on all six ranges", 20, || lock(&seen).runs.len() >= 6);
    // The first two workers leave; their releases wait for the end of the work.
    for worker in &workers[..2] {
        worker.set_state("draining");
        worker.beat(&nodes);
    }
    lab.note("two workers are draining");
    lab.wait("their four releases", 5, || lock(&seen).releases >= 4);
    let others: Vec<u32> =
        cores.iter().enumerate().filter(|(n, _)| *n != leader).map(|(_, c)| c.pid()).collect();
    if lab.trouble {
        signal_all(&others, "STOP");
        lab.note("the two other core machines stand still");
    }
    // The third leaves too.
    workers[2].set_state("draining");
    let (third, first_node) = (workers[2].clone(), nodes[0]);
    thread::spawn(move || third.beat(&[first_node]));
    sleep_ms(FROZEN_MS);
    if lab.trouble {
        signal_all(&others[..1], "CONT");
        lab.note("one of them runs again");
    }
    sleep_ms(2_500);
    signal_all(&others, "CONT");
    lab.note("all run again");
    sleep_ms(1_500);
    for worker in &workers {
        worker.stop_beats();
    }
    for client in clients {
        let _ = client.join();
    }
    for worker in &workers {
        worker.exit();
    }
    let seen = lock(&seen);
    is_given_away_at_work(lab, &seen)
}

fn leads(lab: &Lab, host: u8) -> bool {
    let answer = Call::get("/metrics").send(lab.at(host, 21_804), 1_000);
    answer.is_ok_and(|a| String::from_utf8_lossy(&a.body).contains("\ncarobreel_directory_leads 1\n"))
}
