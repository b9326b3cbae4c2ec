//! Plays the load on an owner of hot keys, without a network: it is full, not failing.
//!
//! The figures are those of docs/design/heavy-load.md: 87 entry hosts send an owner with 6 slots, 510 ms of work and a
//! queue of 24 some 360 requests a second for 5 s, beside the 6 a second for its other keys.

use std::collections::{BTreeMap, VecDeque};

use carobreel::clock::Mono;
use carobreel::gateway::balance::{ProcessingMean, UpstreamLoad};
use carobreel::gateway::saturation::{SendSample, Verdict};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: usize = 87;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: u64 = 510;
const HOT_PER_S: f64 = 360.0;
const OTHER_PER_S: f64 = 6.0;
/// Timeout of a request at the owner.
const TIMEOUT_MS: u64 = 3_000;
/// Time after which a connection to a full owner is reset.
const RESET_MS: u64 = 10;

/// Time from the start of a burst until the leader's limit is in force at the entry hosts.
const LIMITED_AFTER_MS: u64 = 800;
/// Ejections of a full owner by 87 hosts that may follow from chance: a host whose requests came far apart knows
/// too little.
const EJECTIONS_MAX: u64 = 4;

/// What the owner does with a request that it has no room for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WhenFull {
    Silent,
    Resets,
}

#[derive(Clone, Copy)]
enum End {
    Answered { total: u32 },
    Unserved,
}

struct Host {
    load: UpstreamLoad,
    mean: ProcessingMean,
}

struct Play {
    now: u64,
    rng: Pcg64Mcg,
    hosts: Vec<Host>,
    when_full: WhenFull,
    /// Whether the owner's process is gone in the sense that nothing that it gets is answered.
    is_frozen: bool,
    /// When the leader's limit is in force, if it infers one.
    limited: std::ops::Range<u64>,
    running: Vec<(u64, usize, SendSample)>,
    waiting: VecDeque<(usize, SendSample)>,
    ends: BTreeMap<u64, Vec<(usize, SendSample, End)>>,
    served: u64,
    unserved: u64,
    held_back: u64,
    ejections: u64,
}

impl Play {
    fn new(seed: u64, when_full: WhenFull) -> Play {
        let host = || Host {
            load: UpstreamLoad::new(SLOTS as u32, WORK_MS as f64),
            mean: ProcessingMean::default(),
        };
        Play {
            now: 10_000,
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: (0..HOSTS).map(|_| host()).collect(),
            when_full,
            is_frozen: false,
            limited: 0..0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            ends: BTreeMap::new(),
            served: 0,
            unserved: 0,
            held_back: 0,
            ejections: 0,
        }
    }

    fn end(&mut self, after_ms: u64, n: usize, sample: SendSample, end: End) {
        let at = self.now + after_ms;
        self.ends.entry(at).or_default().push((n, sample, end));
    }

    fn start_work(&mut self) {
        while self.running.len() < SLOTS && !self.is_frozen {
            let Some((n, sample)) = self.waiting.pop_front() else {
                return;
            };
            self.running.push((self.now + WORK_MS, n, sample));
        }
    }

    fn serve(&mut self) {
        let now = self.now;
        let running = std::mem::take(&mut self.running);
        let (done, running): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= now);
        self.running = running;
        self.start_work();
        let total = (self.running.len() + self.waiting.len()) as u32;
        for (_, n, sample) in done {
            self.end(1, n, sample, End::Answered { total });
        }
    }

    fn send(&mut self, n: usize) {
        let now = Mono(self.now);
        let host = &mut self.hosts[n];
        if host.load.is_unavailable(now) {
            self.held_back += 1;
            return;
        }
        let sample = host.load.saturation.record_send(now);
        host.load.own_in_flight += 1;
        if self.is_frozen {
            return self.end(TIMEOUT_MS, n, sample, End::Unserved);
        }
        if self.waiting.len() < QUEUE {
            self.waiting.push_back((n, sample));
            return self.start_work();
        }
        let after_ms = match self.when_full {
            WhenFull::Silent => TIMEOUT_MS,
            WhenFull::Resets => RESET_MS,
        };
        self.end(after_ms, n, sample, End::Unserved);
    }

    fn finish(&mut self, n: usize, sample: SendSample, end: End) {
        let now = Mono(self.now);
        let random = self.rng.random();
        let Host { load, mean } = &mut self.hosts[n];
        load.own_in_flight -= 1;
        match end {
            End::Answered { total } => {
                self.served += 1;
                load.record_report(total, SLOTS as u32, now);
                let took_ms = now.since(sample.sent_at) as f64;
                load.record_success(took_ms, f64::from(total), mean, now);
            }
            End::Unserved => {
                self.unserved += 1;
                if self.limited.start <= self.now && sample.sent_at.0 < self.limited.end {
                    load.saturation.record_inferred_limit(now);
                }
                let verdict = load.record_unserved(sample, HOSTS as u32, random, now);
                self.ejections += u64::from(verdict == Verdict::Ejected);
            }
        }
    }

    fn run(&mut self, ms: u64, per_s: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.serve();
            let later = self.ends.split_off(&(self.now + 1));
            for (n, sample, end) in std::mem::replace(&mut self.ends, later)
                .into_values()
                .flatten()
            {
                self.finish(n, sample, end);
            }
            if self.rng.random_range(0.0..1.0) < per_s / 1_000.0 {
                let n = self.rng.random_range(0..HOSTS);
                self.send(n);
            }
        }
    }
}

/// Plays a burst, and returns the ejections. Checks that the owner served all the time, and that its other keys are
/// served once the hot ones have been spread.
fn play_burst(seed: u64, when_full: WhenFull, has_leader: bool) -> u64 {
    let mut play = Play::new(seed, when_full);
    play.run(4_000, OTHER_PER_S);
    assert_eq!(play.unserved, 0);
    if has_leader {
        play.limited = play.now + LIMITED_AFTER_MS..play.now + 5_000;
    }
    play.run(5_000, HOT_PER_S + OTHER_PER_S);
    // The keys have been spread. The queue of 2.5 s is served, and requests sent before it time out.
    play.run(4_000, OTHER_PER_S);
    let held_back = play.held_back;
    play.run(4_000, OTHER_PER_S);
    let late = play.held_back - held_back;
    println!(
        "{seed} {when_full:?} {has_leader}: {} served, {} unserved, {held_back} held back, {late} late, {} ejections",
        play.served, play.unserved, play.ejections
    );
    // It was never idle while there was work: 12 requests a second.
    assert!(play.served >= 24 + 5 * 11 + 4 * 3, "{} served", play.served);
    play.ejections
}

const BOTH: [WhenFull; 2] = [WhenFull::Silent, WhenFull::Resets];

#[test]
fn an_owner_that_is_full_isn_t_ejected() {
    for (seed, when_full) in (0..20).flat_map(|seed| BOTH.map(|w| (seed, w))) {
        assert_eq!(play_burst(seed, when_full, true), 0, "{seed} {when_full:?}");
    }
}

#[test]
fn few_hosts_eject_a_full_owner_without_a_leader() {
    for (seed, when_full) in (0..20).flat_map(|seed| BOTH.map(|w| (seed, w))) {
        let ejections = play_burst(seed, when_full, false);
        assert!(
            ejections <= EJECTIONS_MAX,
            "{seed} {when_full:?}: {ejections}"
        );
    }
}

#[test]
fn hosts_send_less_to_an_owner_that_resets_what_it_has_no_room_for() {
    let mut play = Play::new(1, WhenFull::Resets);
    play.run(4_000, OTHER_PER_S);
    play.run(1_000, HOT_PER_S);
    let unserved = play.unserved;
    play.run(4_000, HOT_PER_S);
    let per_s = (play.unserved - unserved) as f64 / 4.0;
    assert!(
        per_s < 0.5 * HOT_PER_S,
        "{per_s} requests a second are reset"
    );
}

#[test]
fn an_owner_without_a_sign_of_life_is_ejected() {
    for seed in 0..20 {
        let mut play = Play::new(seed, WhenFull::Silent);
        play.run(4_000, OTHER_PER_S);
        play.is_frozen = true;
        // Each host notices with its second request that isn't answered.
        play.run(60_000, OTHER_PER_S);
        assert!(play.ejections > 40, "{} ejections", play.ejections);
    }
}

#[test]
fn an_owner_under_load_without_a_sign_of_life_is_ejected_after_a_while() {
    let mut play = Play::new(1, WhenFull::Silent);
    play.run(4_000, OTHER_PER_S);
    play.is_frozen = true;
    play.run(15_000, HOT_PER_S);
    assert!(play.ejections >= HOSTS as u64, "{}", play.ejections);
}

#[test]
fn an_upstream_that_breaks_requests_while_slots_are_free_is_ejected() {
    let mut load = UpstreamLoad::new(SLOTS as u32, WORK_MS as f64);
    let mut mean = ProcessingMean::default();
    // 30 requests a second of one of 87 hosts: far more than it could serve if all sent as many.
    let mut verdicts = Vec::new();
    for n in 0..30 {
        let now = Mono(10_000 + n * 33);
        let sample = load.saturation.record_send(now);
        if n % 3 == 0 {
            load.record_report(2, SLOTS as u32, now.plus(5));
            load.record_success(5.0, 1.0, &mut mean, now.plus(5));
        } else {
            load.record_report(2, SLOTS as u32, now.plus(5));
            verdicts.push(load.record_unserved(sample, HOSTS as u32, 0.5, now.plus(6)));
        }
    }
    assert!(verdicts.contains(&Verdict::Ejected), "{verdicts:?}");
    assert!(verdicts.iter().all(|v| !matches!(v, Verdict::Held { .. })));
}

#[test]
fn a_lone_host_ejects_an_upstream_with_little_load() {
    let mut load = UpstreamLoad::new(SLOTS as u32, WORK_MS as f64);
    let mut last = Verdict::Failed;
    for n in 0..2 {
        let sample = load.saturation.record_send(Mono(1_000 + n * 200));
        last = load.record_unserved(sample, 1, 0.5, Mono(1_010 + n * 200));
    }
    assert_eq!(last, Verdict::Ejected);
}
