//! A worker that holds keys leaves, and is in trouble: it answers with bytes without end.
#[path = "../lab.rs"]
mod lab;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use lab::*;

/// As on the site; the first three are the seeds.
const CORE: [u8; 4] = [1, 2, 3, 4];
const SEEDS: [u8; 3] = [1, 2, 3];
const EDGE: u8 = 101;
const WORKERS: u8 = 6;
const IN_TROUBLE: usize = 1;
/// `memoryMb` of a core machine; a process that uses more is killed.
const MEMORY_MIB: u64 = 256;
/// A killed process starts again after so long.
const RESTART_MS: u64 = 300;
/// Ends of its own by which the processes of a machine count.
const ENDS_LIMIT: u32 = 3;
/// How long the workers that leave go on serving after the ack.
const SERVES_S: f64 = 45.0;

fn main() {
    run_case(|lab| {
        let mut cores: Vec<Process> =
            CORE.iter().map(|n| lab.process(&format!("core-{n}"), *n, &SEEDS, 1)).collect();
        let _gateway = lab.process("edge-1", EDGE, &SEEDS, 1);
        lab.configure(&CORE, &document(1, 2_000));
        lab.wait("the gateway is ready", 20, || lab.is_ready(EDGE));
        let seen: Arc<Mutex<Seen>> = Arc::default();
        // All that the workers send without end goes over one link of a core machine.
        let link = Link::new(LINK_MBPS);
        let workers: Vec<Worker> =
            (0..WORKERS).map(|n| Worker::start_on_link(lab, 11 + n, "maps", &seen, &link)).collect();
        let nodes: Vec<_> = CORE.iter().map(|n| lab.control(*n)).collect();
        for worker in &workers {
            worker.announce(nodes.clone());
        }
        lab.wait("all ranges are granted", 20, || lock(&seen).held.len() >= 2 * usize::from(WORKERS));
        // Settings of a process say first_start only when the whole system starts for the first time.
        for core in &cores {
            let text = lab.settings(&core.name, core.host, &SEEDS, false, 1);
            std::fs::write(core.settings_path(), text).expect("settings");
        }
        sleep_ms(3_000);
        // Right after a renewal.
        let leaving = &workers[..IN_TROUBLE];
        let hold_end = |id: &str| {
            let seen = lock(&seen);
            seen.held.iter().filter(|h| h.worker == id).map(|h| h.until).fold(0.0, f64::max)
        };
        let before = hold_end(&leaving[0].id);
        lab.wait("a renewal", 10, || hold_end(&leaving[0].id) > before);
        for worker in leaving {
            worker.endless.store(lab.trouble, Ordering::SeqCst);
            worker.set_state("draining");
            let acked = worker.beat(&nodes);
            lab.note(format!("{} is draining, acknowledged: {acked}", worker.id));
        }
        let mut ends = vec![0; cores.len()];
        let mut peaks = vec![0; cores.len()];
        let mut restart_at: Vec<Option<f64>> = vec![None; cores.len()];
        let until = lab.record.now() + SERVES_S;
        while lab.record.now() < until && ends.iter().filter(|n| **n >= ENDS_LIMIT).count() < 2 {
            for (n, core) in cores.iter_mut().enumerate() {
                if let Some(at) = restart_at[n] {
                    if lab.record.now() >= at {
                        core.restart(&lab.root);
                        restart_at[n] = None;
                    }
                    continue;
                }
                let mib = resident_mib(core.pid());
                peaks[n] = peaks[n].max(mib);
                if mib > MEMORY_MIB || core.has_ended() {
                    let used_s = processor_s(core.pid());
                    core.kill();
                    ends[n] += 1;
                    lab.note(format!(
                        "{} uses {mib} MiB of {MEMORY_MIB} and is killed, end {}; it has used {used_s:.2} s of processor time",
                        core.name, ends[n]
                    ));
                    restart_at[n] = Some(lab.record.now() + RESTART_MS as f64 / 1_000.0);
                }
            }
            sleep_ms(2);
        }
        for worker in &workers {
            worker.exit();
        }
        lab.note(format!("peaks {peaks:?} MiB, ends {ends:?}"));
        // Half of the core: two of four.
        ends.iter().filter(|n| **n >= ENDS_LIMIT).count() >= 2
    })
}
