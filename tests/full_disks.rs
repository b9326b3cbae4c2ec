//! Disks that are full for some seconds, one after another: what was acknowledged stays, and once the last one has
//! room again, changes are acknowledged.

mod model;

use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::symlink;
use std::path::Path;

use carobreel::raft::{Entry, HardState, Membership, Payload, ReplicaId, Snapshot};
use carobreel::storage::Storage;
use model::{Faults, Simulation};
use rand::RngExt;

const SEEDS: u64 = 24;
const REPLICAS: usize = 4;
/// The platform's limit for an acknowledgement, in milliseconds.
const ACK_MS: u64 = 4_000;
/// The interval after which an operator repeats a change, in milliseconds.
const REPEAT_MS: u64 = 1_000;
const NO_OTHER_FAULTS: Faults = Faults {
    lost_per_mille: 0,
    delayed_calls_per_mille: 0,
    slow_clock_percent: 2,
};

/// Sends a change to one replica until it is acknowledged and returns how long that took, in milliseconds.
fn time_to_ack(sim: &mut Simulation, n: usize) -> u64 {
    let started_at = sim.now;
    sim.configure(n);
    let version = sim.sent_version;
    while sim.acked_version < version {
        sim.run(20);
        let waited = sim.now - started_at;
        assert!(waited <= ACK_MS, "replica {n}: no answer after {waited} ms");
        if waited % REPEAT_MS == 0 {
            sim.configure_version(n, version);
        }
    }
    sim.now - started_at
}

/// Reported for a similar system: after disks had been full one after another, changes stayed unanswered to the
/// end of the day. This guards against it; it doesn't happen here.
#[test]
fn changes_are_acknowledged_after_disks_were_full_one_after_another() {
    let mut reopenings = 0;
    let mut longest = 0;
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed, 8, NO_OTHER_FAULTS);
        sim.run(6_000);
        time_to_ack(&mut sim, 0);
        for _ in 0..2 {
            for n in 0..REPLICAS {
                // The leader is one of them; in every other round it is the first.
                let n = match (seed % 2, sim.leader()) {
                    (0, Some(leader)) => (leader + n) % REPLICAS,
                    _ => n,
                };
                let full_ms = sim.rng.random_range(1_000..5_000);
                sim.fill_disk(n, full_ms);
                let end = sim.now + full_ms;
                while sim.now < end {
                    let target = sim.rng.random_range(0..REPLICAS);
                    sim.configure(target);
                    let pause = sim.rng.random_range(100..1_500);
                    sim.run(pause.min(end - sim.now).max(1));
                }
                // The next one fills up at once, while the former may still catch up.
                let pause = sim.rng.random_range(0..300);
                sim.run(pause);
            }
        }
        // The last one may have led: an election and the start of a replica come first.
        sim.run(2_000);
        for n in 0..REPLICAS {
            longest = longest.max(time_to_ack(&mut sim, n));
        }
        assert_eq!(sim.voters(), 3, "seed {seed}");
        reopenings += sim.reopenings;
    }
    println!("{reopenings} reopenings, {longest} ms");
    assert!(reopenings > SEEDS, "{reopenings} disks failed");
}

fn entry(index: u64) -> Entry {
    Entry {
        term: 1,
        index,
        payload: Payload::Command(vec![index as u8; 100]),
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index,
        term: 1,
        membership: Membership {
            voters: BTreeMap::from([(ReplicaId(1), "a".to_string())]),
            learners: BTreeMap::new(),
        },
        data: vec![7; 5_000],
    }
}

/// Makes the creation or the writing of a file fail, until it is removed.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    Creation,
    Write,
}

impl Obstacle {
    fn place(self, path: &Path) {
        match self {
            Obstacle::Creation => fs::create_dir(path).unwrap(),
            Obstacle::Write => symlink("/dev/full", path).unwrap(),
        }
    }

    fn remove(self, path: &Path) {
        match self {
            Obstacle::Creation => fs::remove_dir(path).unwrap(),
            Obstacle::Write => fs::remove_file(path).unwrap(),
        }
    }
}

/// A snapshot consists of two files: one may be stored while the disk refuses the other.
#[test]
fn a_snapshot_that_fails_at_any_file_leaves_the_stored_entries_readable() {
    for obstacle in [Obstacle::Creation, Obstacle::Write] {
        for name in ["snapshot.new", "log.new"] {
            let folder = tempfile::tempdir().unwrap();
            let (mut storage, _) = Storage::open(folder.path(), ReplicaId(1)).unwrap();
            let hard = HardState {
                term: 1,
                vote: Some(ReplicaId(1)),
            };
            let entries: Vec<Entry> = (1..=9).map(entry).collect();
            storage.append(Some(hard), &entries).unwrap();
            let path = folder.path().join(name);
            obstacle.place(&path);
            let saved = storage.save_snapshot(&snapshot(6), &entries[6..]);
            assert!(saved.is_err(), "{obstacle:?} {name}");
            drop(storage);
            // Opened again and again while the disk is full, as the process does.
            for _ in 0..3 {
                let (mut storage, recovered) = Storage::open(folder.path(), ReplicaId(1)).unwrap();
                check_recovered(&recovered.log, hard, recovered.hard);
                let _ = storage.save_snapshot(&snapshot(6), &entries[6..]);
            }
            obstacle.remove(&path);
            let (mut storage, recovered) = Storage::open(folder.path(), ReplicaId(1)).unwrap();
            check_recovered(&recovered.log, hard, recovered.hard);
            storage.save_snapshot(&snapshot(6), &entries[6..]).unwrap();
            storage.append(None, &[entry(10)]).unwrap();
            let (_, recovered) = Storage::open(folder.path(), ReplicaId(1)).unwrap();
            assert_eq!(recovered.log.last_index(), 10, "{obstacle:?} {name}");
            assert_eq!(recovered.log.snapshot().index, 6, "{obstacle:?} {name}");
        }
    }
}

fn check_recovered(log: &carobreel::raft::Log, hard: HardState, found: HardState) {
    assert_eq!(found, hard);
    assert_eq!(log.last_index(), 9);
    for index in log.snapshot().index + 1..=9 {
        assert_eq!(log.get(index), Some(&entry(index)));
    }
}
