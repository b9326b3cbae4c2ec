//! Messages between replicas: what keeps a leader known isn't held up by entries under way.

mod link;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use carobreel::clock::Mono;
use carobreel::credentials;
use carobreel::daemon::discard_logger;
use carobreel::event::Recorder;
use carobreel::raft::{Body, Entry, HardState, Log, Membership, Message, Payload};
use carobreel::raft::{Raft, ReplicaId, Snapshot, Timing};
use carobreel::transport::{Endpoint, IncomingRequest};
use carobreel::wire::{RaftBatch, Request};
use tokio::sync::mpsc;

/// Between regions, with the loss of a busy link.
const REGION_LINK: link::Conditions = link::Conditions {
    one_way: Duration::from_millis(30),
    loss: 0.025,
    kb_per_s: 7_500.0,
    seed: 7,
};
/// A configuration of some thousand routes with what changes beside it.
const LARGE_BYTES: usize = 440_000;
/// A change is to be in force everywhere within 2.5 s; two thirds of it may go to the last replica.
const ARRIVED_WITHIN: Duration = Duration::from_millis(1_650);

fn endpoint(name: &str) -> Endpoint {
    let tls = credentials::unverified_tls().unwrap();
    let recorder = Recorder::new(name, discard_logger());
    let any_port = "127.0.0.1:0".parse().unwrap();
    Endpoint::bind(any_port, BTreeMap::new(), &tls, recorder).unwrap()
}

fn append_request(bytes: usize) -> Request {
    let entry = Entry {
        term: 1,
        index: 1,
        payload: Payload::Command(vec![7; bytes]),
    };
    let message = Message {
        from: ReplicaId(1),
        to: ReplicaId(2),
        term: 1,
        body: Body::Append {
            prev_index: 0,
            prev_term: 0,
            entries: vec![entry],
            commit: 0,
            round: 1,
        },
    };
    Request::Raft(RaftBatch {
        cell: "directory".to_string(),
        host: "a".to_string(),
        messages: vec![message],
    })
}

/// Passes on each request's size as it arrives.
fn notify_arrivals(endpoint: &Endpoint) -> mpsc::UnboundedReceiver<()> {
    let (tx, rx) = mpsc::unbounded_channel();
    let endpoint = endpoint.clone();
    tokio::spawn(async move {
        let serve = move |_: IncomingRequest| {
            let _ = tx.send(());
            async {}
        };
        endpoint.accept(serve).await;
    });
    rx
}

#[tokio::test]
async fn a_large_entry_crosses_regions_within_the_time_for_a_change() {
    let (server, client) = (endpoint("s"), endpoint("c"));
    let mut arrived = notify_arrivals(&server);
    let link = link::bind(server.local_address().unwrap(), REGION_LINK).await;
    let mut channel = client.open_channel(&link.to_string()).await.unwrap();
    channel.send(append_request(100)).await.unwrap();
    arrived.recv().await.unwrap();
    for round in 0..3 {
        let began = Instant::now();
        channel.send(append_request(LARGE_BYTES)).await.unwrap();
        arrived.recv().await.unwrap();
        let took = began.elapsed();
        assert!(took <= ARRIVED_WITHIN, "round {round}: {took:?}");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

const TIMING: Timing = Timing {
    heartbeat_ms: 100,
    election_ms: 600,
    election_delay_ms: 0,
};

/// Three replicas; what carries entries to a far one may be held back on its way.
struct RaftGroup {
    replicas: Vec<Raft>,
    leader: usize,
    remote: usize,
    now: u64,
    in_flight: VecDeque<Message>,
    holds_entries: bool,
    held_back: Vec<Message>,
    /// Entries sent to the far replica.
    entries_sent: usize,
}

impl RaftGroup {
    /// Returns replicas of which one leads.
    fn open() -> RaftGroup {
        let ids: Vec<ReplicaId> = (0..3).map(ReplicaId).collect();
        let voters = ids.iter().map(|id| (*id, id.0.to_string())).collect();
        let membership = Membership {
            voters,
            learners: BTreeMap::new(),
        };
        let snapshot = Snapshot {
            membership,
            ..Snapshot::default()
        };
        let open = |id: &ReplicaId| {
            let log = Log::new(snapshot.clone(), Vec::new());
            Raft::open(*id, TIMING, HardState::default(), log, Mono(0), id.0)
        };
        let mut group = RaftGroup {
            replicas: ids.iter().map(open).collect(),
            leader: 0,
            remote: usize::MAX,
            now: 0,
            in_flight: VecDeque::new(),
            holds_entries: false,
            held_back: Vec::new(),
            entries_sent: 0,
        };
        group.run(3_000);
        let leads = |r: &Raft| r.is_caught_up_leader();
        group.leader = group.replicas.iter().position(leads).unwrap();
        group.remote = (group.leader + 1) % 3;
        group
    }

    fn propose(&mut self, command: Payload) {
        let leader = &mut self.replicas[self.leader];
        leader.propose(command, Mono(self.now)).unwrap();
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 5;
            let now = Mono(self.now);
            let arrived = std::mem::take(&mut self.in_flight);
            for msg in arrived {
                self.replicas[msg.to.0 as usize].receive(msg, now);
            }
            for raft in &mut self.replicas {
                raft.tick(now);
                for msg in raft.take_ready().messages {
                    let entry_count = match &msg.body {
                        Body::Append { entries, .. } if msg.to.0 as usize == self.remote => {
                            entries.len()
                        }
                        _ => 0,
                    };
                    self.entries_sent += entry_count;
                    if entry_count > 0 && self.holds_entries {
                        self.held_back.push(msg);
                    } else {
                        self.in_flight.push_back(msg);
                    }
                }
            }
        }
    }
}

#[test]
fn heartbeats_that_overtake_entries_keep_the_leader_known_and_repeat_nothing() {
    let mut group = RaftGroup::open();
    let term = group.replicas[group.leader].term();
    group.holds_entries = true;
    group.entries_sent = 0;
    for _ in 0..20 {
        let command = Payload::Command(vec![0; 1_000]);
        group.propose(command);
        group.run(50);
        let heard_ms = group.replicas[group.remote].ms_since_leader_contact(Mono(group.now));
        assert!(heard_ms.is_some_and(|ms| ms <= 2 * TIMING.heartbeat_ms));
    }
    assert_eq!(group.entries_sent, 20, "entries sent");
    assert_eq!(group.replicas[group.leader].term(), term);
    group.holds_entries = false;
    let held_back = std::mem::take(&mut group.held_back);
    group.in_flight.extend(held_back);
    group.run(300);
    let last = group.replicas[group.leader].log().last_index();
    assert_eq!(group.replicas[group.remote].commit_index(), last);
    assert_eq!(group.entries_sent, 20, "entries sent");
}

/// A replica whose entries were lost on their way follows again within this, in milliseconds: half of the
/// time for a change.
const CATCH_UP_WITHIN_MS: u64 = 1_250;

#[test]
fn entries_lost_on_their_way_are_sent_again_though_nothing_new_follows() {
    let mut group = RaftGroup::open();
    group.holds_entries = true;
    for _ in 0..20 {
        let command = Payload::Command(vec![0; 1_000]);
        group.propose(command);
        group.run(10);
    }
    group.held_back.clear();
    group.holds_entries = false;
    group.run(CATCH_UP_WITHIN_MS);
    let last = group.replicas[group.leader].log().last_index();
    assert_eq!(group.replicas[group.remote].commit_index(), last);
}
