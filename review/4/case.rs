//! Gateways are stopped in turn. At some, the settings file changes, with a SIGHUP, right before the SIGTERM.
#[path = "../lab.rs"]
mod lab;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::*;

/// As on the site.
const GATEWAYS: u8 = 11;
/// Those that get a SIGHUP: a share of 0.55.
const HUNG_UP: usize = 6;
/// Pause between two of the SIGTERMs.
const GAP_MS: u64 = 1_300;
const CLIENTS_PER_GATEWAY: usize = 4;
const WORK_MS: u64 = 400;
const BUDGET_MS: u64 = 1_200;
/// A client's request and what became of it.
struct Sent {
    gateway: u8,
    id: String,
    at: f64,
    ended: f64,
    /// The status, or why there is no answer.
    outcome: Result<u16, String>,
}

fn main() {
    run_case(|lab| {
        let core = 1;
        let _core = lab.process("core-1", core, &[core], 0);
        let mut edges: Vec<Process> = (0..GATEWAYS)
            .map(|n| lab.process(&format!("edge-{n}"), 101 + n, &[core], 0))
            .collect();
        lab.configure(&[core], &document(1, 2_000));
        for edge in &edges {
            lab.wait("a gateway is ready", 20, || lab.is_ready(edge.host));
        }
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let _workers: Vec<Worker> = (0..4)
            .map(|n| {
                let worker = Worker::start(lab, 11 + n, "files", &seen);
                worker.announce(vec![lab.control(core)]);
                worker
            })
            .collect();
        for edge in &edges {
            lab.wait("workers serve", 20, || {
                let warm = request("GET", "/read/a", "warm", 1_000, 1);
                warm.send(lab.callers(edge.host), 1_000).is_ok_and(|a| a.status == 200)
            });
        }
        // Clients keep a connection as long as the gateway lets them, and open a new one only while the
        // provider has the gateway in rotation.
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let number = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let in_rotation: Vec<Arc<AtomicBool>> = edges.iter().map(|_| Arc::new(AtomicBool::new(true))).collect();
        let mut threads = Vec::new();
        for (n, edge) in edges.iter().enumerate() {
            for m in 0..CLIENTS_PER_GATEWAY {
                let (host, callers) = (edge.host, lab.callers(edge.host));
                let (sent, number, stop) = (sent.clone(), number.clone(), stop.clone());
                let (record, rotation) = (lab.record.clone(), in_rotation[n].clone());
                threads.push(thread::spawn(move || {
                    // Some request is always at work.
                    sleep_ms(m as u64 * WORK_MS / CLIENTS_PER_GATEWAY as u64);
                    let mut connection: Option<Connection> = None;
                    while !stop.load(Ordering::SeqCst) {
                        if connection.is_none() && rotation.load(Ordering::SeqCst) {
                            connection = Connection::open(callers).ok();
                        }
                        let Some(open) = connection.as_mut() else {
                            sleep_ms(50);
                            continue;
                        };
                        let id = format!("r{}", number.fetch_add(1, Ordering::SeqCst));
                        let at = record.now();
                        let answer = open.exchange(&request("POST", "/file/a", &id, BUDGET_MS, WORK_MS), BUDGET_MS + 300);
                        let ended = record.now();
                        if answer.as_ref().map_or(true, |a| a.header("connection") == "close") {
                            connection = None;
                        }
                        let outcome = answer.map(|a| a.status);
                        record.note(format!("gateway {host} {id} sent {at:.3}: {outcome:?}"));
                        lock(&sent).push(Sent { gateway: host, id, at, ended, outcome });
                        sleep_ms(20);
                    }
                }));
            }
        }
        // The provider asks each second; two misses in a row take a machine out.
        for (n, edge) in edges.iter().enumerate() {
            let (readiness, rotation) = (lab.readiness(edge.host), in_rotation[n].clone());
            let (stop, record, host) = (stop.clone(), lab.record.clone(), edge.host);
            threads.push(thread::spawn(move || {
                let mut misses = 0;
                while !stop.load(Ordering::SeqCst) {
                    let is_ready = Call::get("/v1/ready").send(readiness, 1_000).is_ok_and(|a| a.status == 200);
                    misses = if is_ready { 0 } else { misses + 1 };
                    if rotation.swap(misses < 2, Ordering::SeqCst) != (misses < 2) {
                        record.note(format!("gateway {host} in rotation: {}", misses < 2));
                    }
                    sleep_ms(1_000);
                }
            }));
        }
        sleep_ms(2_000);
        let mut termed_at = vec![f64::MAX; edges.len()];
        let mut ended = vec![false; edges.len()];
        let begin = Instant::now();
        while ended.iter().any(|e| !e) {
            for n in 0..edges.len() {
                let edge = &mut edges[n];
                let now = lab.record.now();
                if termed_at[n] == f64::MAX {
                    if begin.elapsed() < Duration::from_millis(n as u64 * GAP_MS) {
                        continue;
                    }
                    termed_at[n] = now;
                    if lab.trouble && n < HUNG_UP {
                        // The new settings name one more seed.
                        let text = lab.settings(&edge.name, edge.host, &[core, 2], false, 0);
                        std::fs::write(edge.settings_path(), text).expect("settings");
                        hang_up_and_terminate(edge.pid());
                        lab.note(format!("{} gets new settings, SIGHUP and SIGTERM", edge.name));
                    } else {
                        edge.signal("TERM");
                    }
                } else if !ended[n] && edge.has_ended() {
                    ended[n] = true;
                    lab.note(format!("{} has ended", edge.name));
                } else if !ended[n] && now - termed_at[n] >= GRACE_MS as f64 / 1_000.0 {
                    ended[n] = true;
                    lab.note(format!("{} still runs at the end of grace: SIGKILL", edge.name));
                    edge.kill();
                }
            }
            sleep_ms(5);
        }
        sleep_ms(500);
        stop.store(true, Ordering::SeqCst);
        for thread in threads {
            let _ = thread.join();
        }
        let seen = lock(&seen);
        let sent = lock(&sent);
        let term_of = |s: &Sent| termed_at[usize::from(s.gateway - 101)];
        let begun = |id: &str| seen.runs.iter().find(|r| r.id == id);
        // LOST: read, passed on to a worker, and ended without an answer, from the SIGTERM to 1 s after grace. Not
        // counted: the time budget was reached, or the request was sent within 3 s of the SIGTERM and its worker
        // was still at work in the last sixth of grace.
        let lost: Vec<&Sent> = sent
            .iter()
            .filter(|s| s.outcome.as_ref().is_err_and(|e| e != "no connection" && !e.starts_with("no answer in time")))
            .filter(|s| s.at < term_of(s) + GRACE_MS as f64 / 1_000.0 + 1.0)
            .filter(|s| s.ended - s.at < BUDGET_MS as f64 / 1_000.0 - 0.05)
            .filter(|s| begun(&s.id).is_some() && s.at > term_of(s) + 3.0)
            .collect();
        for s in &lost {
            lab.note(format!(
                "LOST: gateway {} took {} {:.3} s after SIGTERM, a worker ran it, no answer: {:?}",
                s.gateway,
                s.id,
                s.at - term_of(s),
                s.outcome
            ));
        }
        lab.note(format!("LOST: {} requests", lost.len()));
        !lost.is_empty()
    })
}

/// Sends both signals one right after the other, as a script of an operator does.
fn hang_up_and_terminate(pid: u32) {

    let text = format!("kill -HUP {pid}; kill -TERM {pid}");
    let _ = std::process::Command::new("sh").arg("-c").arg(text).status();
}
