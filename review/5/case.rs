//! A worker that was partitioned while it started is told to leave. Its deregistration is acknowledged; a
//! heartbeat of before, held up by the partition, arrives later.
#[path = "../lab.rs"]
mod lab;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lab::*;

/// How long the partition holds up what the worker sends.
const HELD_MS: u64 = 3_000;
/// The worker serves for `drain` and a little longer after the ack (at times many seconds).
const SERVES_MS: u64 = DRAIN_MS + 4_000;

fn main() {
    run_case(|lab| {
        let (core, edge) = (1, 101);
        let _core = lab.process("core-1", core, &[core], 0);
        let _edge = lab.process("edge-1", edge, &[core], 0);
        lab.configure(&[core], &document(1, 2_000));
        lab.wait("the gateway is ready", 20, || lab.is_ready(edge));
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let control = lab.control(core);
        let stays = Worker::start(lab, 11, "files", &seen);
        stays.announce(vec![control]);
        lab.wait("a worker serves", 20, || {
            request("GET", "/read/a", "warm", 1_000, 1).send(lab.callers(edge), 1_000).is_ok_and(|a| a.status == 200)
        });

        // The second worker starts. With the partition, what it sends arrives HELD_MS later.
        let relay = TcpListener::bind(lab.at(200, 21_900)).expect("the relay's address");
        let record = lab.record.clone();
        let held_ms = if lab.trouble { HELD_MS } else { 0 };
        thread::spawn(move || {
            for stream in relay.incoming().flatten() {
                let record = record.clone();
                thread::spawn(move || carry(stream, control, held_ms, record));
            }
        });
        let leaves = Worker::start(lab, 12, "files", &seen);
        let acked = leaves.beat(&[lab.at(200, 21_900)]);
        lab.note(format!("the first heartbeat of {} is acknowledged: {acked}", leaves.id));
        // It is told to leave. The partition has healed for what is sent from now on.
        let answer = leaves.deregistration().send(control, 1_000);
        let status = answer.map_or(0, |a| a.status);
        let acked_at = lab.record.now();
        lab.note(format!("the deregistration of {} is answered {status}", leaves.id));
        if status != 200 {
            lab.unable("the deregistration got no ack");
        }
        // Clients of both kinds go on.
        let sent = Arc::new(AtomicU64::new(0));
        let end = acked_at + SERVES_MS as f64 / 1_000.0 + 1.0;
        let clients: Vec<_> = (0..8)
            .map(|n| {
                let (record, sent, callers) = (lab.record.clone(), sent.clone(), lab.callers(edge));
                thread::spawn(move || {
                    while record.now() < end {
                        let id = format!("r{}", sent.fetch_add(1, Ordering::SeqCst));
                        let (method, path) = if n % 2 == 0 { ("POST", "/file/a") } else { ("GET", "/read/a") };
                        let answer = request(method, path, &id, 1_200, 120).send(callers, 1_500);
                        match answer {
                            Ok(a) => record.note(format!("{method} {id} is answered {}", a.status)),
                            Err(e) => record.note(format!("{method} {id} has no answer: {e}")),
                        }
                        thread::sleep(Duration::from_millis(30));
                    }
                })
            })
            .collect();
        sleep_ms(SERVES_MS);
        leaves.exit();
        for client in clients {
            let _ = client.join();
        }
        let limit = acked_at + DRAIN_MS as f64 / 1_000.0;
        let seen = lock(&seen);
        let late: Vec<&Run> = seen.runs.iter().filter(|r| r.worker == leaves.id && r.begun > limit).collect();
        let cut = late.iter().filter(|r| r.ended.is_none_or(|(_, how)| how == "worker exits")).count();
        lab.note(format!(
            "{} requests reached {} later than {DRAIN_MS} ms after the ack; {cut} of them were cut by its exit",
            late.len(),
            leaves.id
        ));
        !late.is_empty()
    })
}

/// Carries one connection's bytes to the control address `held_ms` after they were sent.
fn carry(mut from: TcpStream, to: std::net::SocketAddr, held_ms: u64, record: Record) {
    let mut bytes = vec![0; 16_384];
    let mut sent = Vec::new();
    let _ = from.set_read_timeout(Some(Duration::from_millis(300)));
    while let Ok(n) = from.read(&mut bytes) {
        if n == 0 {
            break;
        }
        sent.extend_from_slice(&bytes[..n]);
    }
    sleep_ms(held_ms);
    let Ok(mut out) = TcpStream::connect(to) else { return };
    let _ = out.write_all(&sent);
    let _ = out.set_read_timeout(Some(Duration::from_millis(1_000)));
    let n = out.read(&mut bytes).unwrap_or(0);
    record.note(format!(
        "the held up heartbeat is answered {:?}",
        String::from_utf8_lossy(&bytes[..n]).lines().next().unwrap_or("")
    ));
    let _ = from.write_all(&bytes[..n]);
}
