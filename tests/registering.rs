//! Tests announcements of many upstreams at once.

mod testbed;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carobreel::clock::Clock;
use carobreel::credentials;
use carobreel::daemon::discard_logger;
use carobreel::directory::codec::{decode, encode};
use carobreel::directory::daemon::{Directory, Settings};
use carobreel::directory::model::{Incarnation, Phase, Upstream};
use carobreel::directory::protocol::{DirectoryRequest, Reply};
use carobreel::directory::state::{Command, State};
use carobreel::event::Recorder;
use carobreel::platform::grant_client::GrantClient;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tempfile::TempDir;
use testbed::{wait_for, READY_TIMEOUT};

/// The time that an upstream waits for the acknowledgement of an announcement.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(1);
const UPSTREAMS: u32 = 400;

fn upstream(n: u32, port: u16, born_ms: u64) -> Upstream {
    Upstream {
        incarnation: Incarnation {
            id: format!("u{n}"),
            born_ms,
        },
        service: "maps".to_string(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "a".to_string(),
        version: "v1".to_string(),
        slots: 3,
        phase: Phase::Ready,
        is_cold: false,
        cold_sequence: None,
    }
}

/// Starts the three founders of a directory.
fn start_directories(network: u8) -> (Vec<Directory>, Vec<TempDir>) {
    let host = |n: u8| SocketAddr::from(([127, 0, network, n], 21_700));
    let tls = credentials::unverified_tls().unwrap();
    let folders: Vec<TempDir> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let directories = folders.iter().zip(1..).map(|(folder, n)| {
        let settings = Settings {
            address: host(n),
            seeds: Arc::new(Mutex::new(vec![host(1), host(2), host(3)])),
            first_start: true,
            data_folder: folder.path().to_path_buf(),
            hold_ms: 2_500,
            voters: 3,
            regions_by_zone: Default::default(),
        };
        let clock = Clock::start();
        let recorder = Recorder::new(&format!("c{n}"), discard_logger());
        Directory::spawn(
            settings,
            tls.clone(),
            GrantClient::new(clock),
            clock,
            recorder,
        )
        .unwrap()
    });
    (directories.collect(), folders)
}

fn gauge(directory: &Directory, name: &str) -> i64 {
    let text = directory.metrics().text();
    let line = text.lines().find(|l| {
        l.split([' ', '{'])
            .next()
            .is_some_and(|n| n.ends_with(name))
    });
    line.and_then(|l| l.rsplit(' ').next()?.parse().ok())
        .unwrap_or(-1)
}

#[tokio::test]
async fn upstreams_that_announce_themselves_at_once_to_a_follower_share_entries_of_the_log() {
    let (directories, _folders) = start_directories(73);
    wait_for("a leader is elected", READY_TIMEOUT, async || {
        directories.iter().any(|d| gauge(d, "leads") == 1)
    })
    .await;
    let follower = directories.iter().find(|d| gauge(d, "leads") == 0).unwrap();
    wait_for("the follower knows the leader", READY_TIMEOUT, async || {
        let request = DirectoryRequest::Announce(upstream(0, 1, 1));
        follower.handle().ask(request).await == Reply::Done
    })
    .await;
    let before = gauge(follower, "committed");
    let mut requests = tokio::task::JoinSet::new();
    for n in 1..=UPSTREAMS {
        let handle = follower.handle();
        let request = DirectoryRequest::Announce(upstream(n, n as u16 + 1, 1));
        requests.spawn(async move {
            tokio::time::timeout(ACKNOWLEDGED_WITHIN, handle.ask(request)).await
        });
    }
    for reply in requests.join_all().await {
        assert_eq!(reply, Ok(Reply::Done));
    }
    wait_for("all upstreams are registered", READY_TIMEOUT, async || {
        gauge(follower, "upstreams") == i64::from(UPSTREAMS) + 1
    })
    .await;
    let entries = gauge(follower, "committed") - before;
    assert!(entries <= i64::from(UPSTREAMS) / 10, "{entries} entries");
    directories.into_iter().for_each(Directory::stop);
}

/// A reference implementation of registration that compares each upstream with all others.
#[derive(Default)]
struct Reference {
    known: Vec<Upstream>,
    /// What is known of processes that left unknown or whose records were removed.
    departed: Vec<(Incarnation, Phase)>,
}

impl Reference {
    fn position(&self, id: &str) -> Option<usize> {
        self.known.iter().position(|u| u.incarnation.id == id)
    }

    /// Returns the earliest phase that a process may be in by what departed.
    fn departed_phase(&self, incarnation: &Incarnation) -> Option<Phase> {
        let of_id = self.departed.iter().filter(|(d, _)| d.id == incarnation.id);
        let newest = of_id.max_by_key(|(d, phase)| (d.born_ms, *phase));
        let (newest, phase) = newest?;
        match newest.born_ms {
            born_ms if born_ms > incarnation.born_ms => Some(Phase::Gone),
            born_ms if born_ms == incarnation.born_ms => Some(*phase),
            _ => None,
        }
    }

    fn register(&mut self, next: &Upstream) {
        let incarnation = &next.incarnation;
        let position = self.position(&incarnation.id);
        if position.is_some_and(|n| self.known[n].incarnation.born_ms > incarnation.born_ms) {
            return;
        }
        let mut next = next.clone();
        if let Some(same) = position.filter(|n| self.known[*n].incarnation == *incarnation) {
            next.phase = next.phase.max(self.known[same].phase);
        }
        match self.departed_phase(incarnation) {
            Some(Phase::Gone) if position.is_none() => return,
            Some(phase) => next.phase = next.phase.max(phase),
            None => {}
        }
        let is_at_same_address =
            |u: &Upstream| u.address == next.address && u.incarnation.id != incarnation.id;
        let mut others = self.known.iter().filter(|u| is_at_same_address(u));
        if others.any(|u| u.incarnation.born_ms > incarnation.born_ms) {
            next.phase = Phase::Gone;
        }
        for other in self.known.iter_mut().filter(|u| is_at_same_address(u)) {
            if other.incarnation.born_ms < incarnation.born_ms {
                other.phase = Phase::Gone;
            }
        }
        match position {
            Some(n) => self.known[n] = next,
            None => self.known.push(next),
        }
    }

    fn deregister(&mut self, incarnation: &Incarnation) {
        let position = self.position(&incarnation.id);
        let known_born_ms = position.map(|n| self.known[n].incarnation.born_ms);
        if known_born_ms.is_none_or(|born_ms| born_ms < incarnation.born_ms) {
            self.departed.push((incarnation.clone(), Phase::Gone));
        }
        if let Some(n) = position.filter(|_| known_born_ms <= Some(incarnation.born_ms)) {
            self.known[n].phase = Phase::Gone;
        }
    }

    fn forget(&mut self, n: usize) -> Incarnation {
        let forgotten = self.known.swap_remove(n);
        let incarnation = forgotten.incarnation;
        self.departed.push((incarnation.clone(), forgotten.phase));
        incarnation
    }
}

#[test]
fn upstreams_registered_together_end_up_as_if_registered_one_by_one() {
    for seed in 0..50 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut state = State::default();
        let mut reference = Reference::default();
        for index in 1..60 {
            let count = rng.random_range(1..6);
            let mut draw = || {
                let n = rng.random_range(0..12);
                upstream(n, rng.random_range(1..8), rng.random_range(1..20))
            };
            let list: Vec<Upstream> = (0..count).map(|_| draw()).collect();
            list.iter().for_each(|u| reference.register(u));
            state.apply(index, Command::RegisterAll(list));
            if index % 10 == 0 {
                let n = rng.random_range(0..reference.known.len());
                let forgotten = reference.forget(n);
                state.apply(index, Command::Forget(vec![forgotten]));
            }
            if index % 7 == 0 {
                let n = rng.random_range(0..12);
                let leaving = upstream(n, 1, rng.random_range(1..20)).incarnation;
                reference.deregister(&leaving);
                state.apply(index, Command::Deregister(leaving));
            }
        }
        let mut known = reference.known;
        known.sort_by(|a, b| a.incarnation.id.cmp(&b.incarnation.id));
        let found: Vec<Upstream> = state.upstreams.values().cloned().collect();
        assert_eq!(found, known, "seed {seed}");
    }
}

/// A message about an upstream, or the removal of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notice {
    /// The process with this start time says that it is in this phase.
    Announced(u64, Phase),
    /// The process with this start time deregisters.
    Left(u64),
    /// The record is removed, and the state is read back from a snapshot.
    Forgotten,
    /// A later process with another id has the address.
    Replaced,
}

/// The start time of the process that takes over the address.
const REPLACED_AT: u64 = 3;

/// Applies notices in order and checks after each one which processes may be in service.
fn check_notices(notices: &[Notice]) {
    let mut state = State::default();
    for (n, notice) in notices.iter().enumerate() {
        let index = n as u64 + 1;
        match notice {
            Notice::Announced(born_ms, phase) => {
                let announced = Upstream {
                    phase: *phase,
                    ..upstream(1, 1, *born_ms)
                };
                state.apply(index, Command::Register(announced));
            }
            Notice::Left(born_ms) => {
                let leaving = upstream(1, 1, *born_ms).incarnation;
                state.apply(index, Command::Deregister(leaving));
            }
            Notice::Forgotten => {
                let known = state.upstreams.get("u1").map(|u| u.incarnation.clone());
                let known = known.into_iter().collect();
                state.apply(index, Command::Forget(known));
                state = decode(&encode(&state)).unwrap();
            }
            Notice::Replaced => {
                let other = upstream(2, 1, REPLACED_AT);
                state.apply(index, Command::Register(other));
            }
        }
        let so_far = &notices[..=n];
        let ready = state.upstreams.get("u1").filter(|u| u.is_ready());
        let ready = ready.map(|u| u.incarnation.born_ms);
        for born_ms in [1, 2] {
            let has_left = so_far.iter().any(|s| match s {
                Notice::Announced(other, phase) => {
                    *other > born_ms || (*other == born_ms && *phase != Phase::Ready)
                }
                Notice::Left(other) => *other >= born_ms,
                Notice::Replaced => true,
                Notice::Forgotten => false,
            });
            if has_left {
                assert_ne!(ready, Some(born_ms), "{so_far:?}");
            } else if *notice == Notice::Announced(born_ms, Phase::Ready) {
                assert_eq!(ready, Some(born_ms), "{so_far:?}");
            }
        }
    }
}

/// Calls `check` with every order of the notices.
fn for_all_orders(notices: &mut [Notice], fixed: usize, check: &mut impl FnMut(&[Notice])) {
    if fixed == notices.len() {
        return check(notices);
    }
    for n in fixed..notices.len() {
        notices.swap(fixed, n);
        for_all_orders(notices, fixed + 1, check);
        notices.swap(fixed, n);
    }
}

/// A deregistration of a process that wasn't known left no trace: its first heartbeat, held up on the way, put
/// it into service afterwards.
#[test]
fn no_order_of_late_messages_brings_back_an_upstream_that_left() {
    let mut notices = vec![
        Notice::Announced(1, Phase::Ready),
        Notice::Announced(1, Phase::Draining),
        Notice::Left(1),
        Notice::Announced(2, Phase::Ready),
        Notice::Announced(2, Phase::Draining),
        Notice::Left(2),
        Notice::Replaced,
    ];
    let mut orders = 0;
    for_all_orders(&mut notices, 0, &mut |order| {
        orders += 1;
        check_notices(order);
        // Any of the messages may have been lost, and the record be removed at any time.
        for lost in 0..order.len() {
            let mut rest = order.to_vec();
            rest.remove(lost);
            let at = (orders + lost) % rest.len();
            rest.insert(at, Notice::Forgotten);
            check_notices(&rest);
        }
    });
    assert_eq!(orders, 5_040);
}

#[test]
fn traces_of_upstreams_that_left_are_bounded_in_number() {
    let mut state = State::default();
    for n in 0..10_000 {
        let leaving = upstream(n, 1, 1).incarnation;
        state.apply(u64::from(n) + 1, Command::Deregister(leaving));
    }
    assert_eq!(state.departures.len(), 4_096);
    let newest = upstream(9_999, 1, 1);
    assert!(
        !state.would_change(&newest),
        "the oldest ones are dropped first"
    );
}
