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
const REGIONS: link::Quality = link::Quality {
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
    let any = "127.0.0.1:0".parse().unwrap();
    Endpoint::bind(any, BTreeMap::new(), &tls, recorder).unwrap()
}

fn batch(bytes: usize) -> Request {
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
fn serve(endpoint: &Endpoint) -> mpsc::UnboundedReceiver<()> {
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
    let mut arrived = serve(&server);
    let link = link::bind(server.local_address().unwrap(), REGIONS).await;
    let mut channel = client.open_channel(&link.to_string()).await.unwrap();
    channel.send(batch(100)).await.unwrap();
    arrived.recv().await.unwrap();
    for round in 0..3 {
        let began = Instant::now();
        channel.send(batch(LARGE_BYTES)).await.unwrap();
        arrived.recv().await.unwrap();
        let took = began.elapsed();
        assert!(took <= ARRIVED_WITHIN, "round {round}: {took:?}");
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

const TIMING: Timing = Timing {
    heartbeat_ms: 100,
    election_ms: 600,
    reserve_ms: 0,
};

/// Three replicas; what carries entries to a far one may be held back on its way.
struct Group {
    replicas: Vec<Raft>,
    leader: usize,
    far: usize,
    now: u64,
    under_way: VecDeque<Message>,
    entries_held: bool,
    held: Vec<Message>,
    /// Entries sent to the far replica.
    sent: usize,
}

impl Group {
    /// Returns replicas of which one leads.
    fn open() -> Group {
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
        let mut group = Group {
            replicas: ids.iter().map(open).collect(),
            leader: 0,
            far: usize::MAX,
            now: 0,
            under_way: VecDeque::new(),
            entries_held: false,
            held: Vec::new(),
            sent: 0,
        };
        group.run(3_000);
        let leads = |r: &Raft| r.is_caught_up_leader();
        group.leader = group.replicas.iter().position(leads).unwrap();
        group.far = (group.leader + 1) % 3;
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
            let late = std::mem::take(&mut self.under_way);
            for msg in late {
                self.replicas[msg.to.0 as usize].receive(msg, now);
            }
            for raft in &mut self.replicas {
                raft.tick(now);
                for msg in raft.take_ready().messages {
                    let carried = match &msg.body {
                        Body::Append { entries, .. } if msg.to.0 as usize == self.far => {
                            entries.len()
                        }
                        _ => 0,
                    };
                    self.sent += carried;
                    if carried > 0 && self.entries_held {
                        self.held.push(msg);
                    } else {
                        self.under_way.push_back(msg);
                    }
                }
            }
        }
    }
}

#[test]
fn heartbeats_that_overtake_entries_keep_the_leader_known_and_repeat_nothing() {
    let mut group = Group::open();
    let term = group.replicas[group.leader].term();
    group.entries_held = true;
    group.sent = 0;
    for _ in 0..20 {
        let command = Payload::Command(vec![0; 1_000]);
        group.propose(command);
        group.run(50);
        let heard_ms = group.replicas[group.far].leader_heard_ms(Mono(group.now));
        assert!(heard_ms.is_some_and(|ms| ms <= 2 * TIMING.heartbeat_ms));
    }
    assert_eq!(group.sent, 20, "entries sent");
    assert_eq!(group.replicas[group.leader].term(), term);
    group.entries_held = false;
    let held = std::mem::take(&mut group.held);
    group.under_way.extend(held);
    group.run(300);
    let last = group.replicas[group.leader].log().last_index();
    assert_eq!(group.replicas[group.far].commit_index(), last);
    assert_eq!(group.sent, 20, "entries sent");
}

/// A replica whose entries were lost on their way follows again within this, in milliseconds: half of the
/// time for a change.
const FOLLOWS_AGAIN_MS: u64 = 1_250;

#[test]
fn entries_lost_on_their_way_are_sent_again_though_nothing_new_follows() {
    let mut group = Group::open();
    group.entries_held = true;
    for _ in 0..20 {
        let command = Payload::Command(vec![0; 1_000]);
        group.propose(command);
        group.run(10);
    }
    group.held.clear();
    group.entries_held = false;
    group.run(FOLLOWS_AGAIN_MS);
    let last = group.replicas[group.leader].log().last_index();
    assert_eq!(group.replicas[group.far].commit_index(), last);
}
