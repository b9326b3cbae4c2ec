//! A model of the platform for the directory's decision code: replicas with disks, a network with
//! faults, and upstreams that hold granted keys by clocks of their own. Time is virtual and every
//! choice comes from the seed.

pub mod config;
pub mod disk;
pub mod entry;
pub mod queue;
pub mod trouble;
pub mod upstream;
pub mod word;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use carobreel::clock::Mono;
use carobreel::directory::ask::{Ask, Reply, UpstreamSpeed};
use carobreel::directory::lessor::CallResult;
use carobreel::directory::membership::{founder_id, founding};
use carobreel::directory::model::{Incarnation, Key};
use carobreel::directory::replica::{Replica, Start, Step};
use carobreel::raft::{Log, Message, ReplicaId, Timing};
use carobreel::storage::{Identity, Recovered};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use config::config;
use disk::Disk;
use entry::EntryHost;
pub use entry::Load;
pub use queue::Faults;
use queue::{Event, Question, Queued};
use upstream::Upstreams;

/// The service that is divided by key.
pub const SERVICE: &str = "maps";
/// Between two looks of a replica at its clock, in milliseconds.
const TICK_MS: u64 = 20;
/// Between two announcements of an upstream, in milliseconds.
const ANNOUNCE_MS: u64 = 870;
/// Between two wishes of a replica to be taken in, in milliseconds.
const JOIN_MS: u64 = 300;
pub const HOLD_MS: u64 = 2_500;

type Member = Replica<Disk, u64>;

struct Node {
    address: String,
    region: usize,
    member: Option<Member>,
    /// What the disk holds while the process is down.
    disk: Disk,
    frozen_until: u64,
    slow_until: u64,
    /// What waits for the processor, where its share is limited.
    backlog: VecDeque<Event>,
    /// When the processor is free again, in microseconds.
    busy_until_us: u64,
    /// Upstreams of which the leader wasn't told yet.
    heard: Vec<Incarnation>,
    /// Whether the process only opens its folder again.
    reopens: bool,
}

impl Node {
    /// Returns the host of replica `n`, with an empty disk and no process.
    fn new(n: usize) -> Node {
        Node {
            address: format!("10.0.0.{}:7000", n + 1),
            region: n % 2,
            member: None,
            disk: Disk::default(),
            frozen_until: 0,
            slow_until: 0,
            backlog: VecDeque::new(),
            busy_until_us: 0,
            heard: Vec::new(),
            reopens: false,
        }
    }
}

/// The whole model.
pub struct World {
    pub now: u64,
    pub rng: Pcg64Mcg,
    pub faults: Faults,
    pub upstreams: Upstreams,
    pub acked_version: u64,
    pub sent_version: u64,
    pub acked_drains: BTreeSet<usize>,
    pub leaders: u64,
    pub reads: u64,
    /// Folders opened again after their disk failed.
    pub reopened: u64,
    /// What entry hosts do.
    pub load: Load,
    /// Configurations that an entry host didn't have in time, with how many.
    pub late: Vec<(u64, usize)>,
    /// Entry hosts that didn't know of a leaving upstream when it was acknowledged.
    pub uninformed: usize,
    /// Configurations that entry hosts lacked when it was acknowledged, with how many.
    pub ahead: Vec<(u64, usize)>,
    /// Calls to upstreams that wait for an answer, now and at most.
    pub calls_open: usize,
    pub calls_open_most: usize,
    entries: Vec<EntryHost>,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<Queued>>,
    order: u64,
    cut: BTreeSet<(usize, usize)>,
    questions: BTreeMap<u64, Question>,
    next_question: u64,
    lives: Vec<u64>,
}

impl World {
    /// Returns a world of four replicas in two regions, three of them founders, and `upstreams`
    /// upstreams.
    pub fn new(seed: u64, upstreams: usize, faults: Faults) -> World {
        World::sized(seed, upstreams, faults, Load::default())
    }

    /// Returns a world with entry hosts that follow the directory.
    pub fn sized(seed: u64, upstreams: usize, faults: Faults, load: Load) -> World {
        let mut world = World {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults,
            upstreams: Upstreams::new(upstreams, faults.slow_clock_percent),
            acked_version: 0,
            sent_version: 0,
            acked_drains: BTreeSet::new(),
            leaders: 0,
            reads: 0,
            reopened: 0,
            load,
            late: Vec::new(),
            uninformed: 0,
            ahead: Vec::new(),
            calls_open: 0,
            calls_open_most: 0,
            entries: (0..load.entry_hosts)
                .map(|_| EntryHost::default())
                .collect(),
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            cut: BTreeSet::new(),
            questions: BTreeMap::new(),
            next_question: 0,
            lives: vec![0; 4],
        };
        for n in 0..4 {
            world.nodes.push(Node::new(n));
            world.start(n, true);
        }
        for n in 0..upstreams {
            let at = world.rng.random_range(0..ANNOUNCE_MS);
            world.push(at, Event::Announce(n));
        }
        for n in 0..load.entry_hosts {
            let at = world.rng.random_range(0..JOIN_MS);
            world.push(at, Event::Follow(n));
        }
        world
    }

    /// Lets `ms` milliseconds pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > end {
                break;
            }
            let Some(Reverse(queued)) = self.queue.pop() else {
                break;
            };
            self.now = queued.at;
            self.handle(queued.event);
            self.upstreams.check_owners(self.now);
        }
        self.now = end;
    }

    /// Returns the addresses of the voters as the leader knows them.
    pub fn voter_addresses(&self) -> Vec<String> {
        let leader = self.leader().and_then(|n| self.nodes[n].member.as_ref());
        let voters = leader.map(|m| m.raft().membership().voters.values().cloned());
        voters.map_or(Vec::new(), Iterator::collect)
    }

    /// Returns the replica that leads, when one knows that it does.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.nodes[*n].member.as_ref().is_some_and(|m| m.leads());
        (0..self.nodes.len()).find(leads)
    }

    /// Returns the number of voters as the leader knows them.
    pub fn voters(&self) -> usize {
        let leader = self.leader().and_then(|n| self.nodes[n].member.as_ref());
        leader.map_or(0, |m| m.raft().membership().voters.len())
    }

    /// Hands the next configuration to one replica.
    pub fn configure(&mut self, n: usize) {
        self.sent_version += self.rng.random_range(1..4);
        let version = self.sent_version;
        self.configure_version(n, version);
    }

    /// Hands a configuration to one replica.
    pub fn configure_version(&mut self, n: usize, version: u64) {
        let ask = Ask::Configure(Box::new(config(version)));
        self.question(n, ask, Question::Configure(version));
    }

    /// Reads the configuration back at one replica.
    pub fn read(&mut self, n: usize) {
        let acked = self.acked_version;
        self.question(n, Ask::ReadConfig, Question::Read(acked));
    }

    /// Has an upstream announce that it leaves.
    pub fn drain(&mut self, upstream: usize) {
        self.upstreams.list[upstream].drains = true;
        let announced = self.upstreams.announcement(upstream);
        let n = self.rng.random_range(0..4);
        self.question(n, Ask::Announce(announced), Question::Drain(upstream));
    }

    /// Reports load on keys to the leader, as an entry host does.
    pub fn report(&mut self, counts: Vec<(Key, u32)>) {
        self.report_with_speeds(counts, Vec::new());
    }

    /// The same, with how fast upstreams were: id, milliseconds of work, answers.
    pub fn report_with_speeds(&mut self, counts: Vec<(Key, u32)>, speeds: Vec<(String, u32, u32)>) {
        let Some(n) = self.leader() else { return };
        let ask = Ask::Follow {
            host: "e1".to_string(),
            have: Default::default(),
            counts: vec![carobreel::directory::ask::KeyCounts {
                service: SERVICE.to_string(),
                counts,
            }],
            speeds: speeds
                .into_iter()
                .map(|(upstream, total_ms, answers)| UpstreamSpeed {
                    upstream,
                    total_ms,
                    answers,
                })
                .collect(),
        };
        self.question(n, ask, Question::Other);
    }

    fn question(&mut self, n: usize, ask: Ask, about: Question) {
        self.next_question += 1;
        let token = self.next_question;
        self.questions.insert(token, about);
        let delay = self.rng.random_range(1..30);
        self.push(delay, Event::Ask(n, ask, token));
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.order += 1;
        let queued = Queued {
            at: self.now + delay,
            order: self.order,
            event,
        };
        self.queue.push(Reverse(queued));
    }

    fn start(&mut self, n: usize, first: bool) {
        let founders: Vec<std::net::SocketAddr> =
            self.nodes_addresses().into_iter().take(3).collect();
        let own: std::net::SocketAddr = self.address(n);
        let mut disk = self.nodes[n].disk.clone();
        let founds = first && n < 3;
        if disk.identity.is_none() {
            let drawn = ReplicaId(self.rng.random());
            disk.identity = Some(if founds { founder_id(own) } else { drawn });
            if founds {
                disk.snapshot = founding(&founders);
            }
        }
        let recovered = Recovered {
            identity: Identity {
                replica: disk.identity.unwrap(),
            },
            hard: disk.hard,
            log: Log::new(disk.snapshot.clone(), disk.entries.clone()),
            torn_bytes: 0,
        };
        let start = Start {
            timing: Timing {
                heartbeat_ms: 100,
                election_ms: 600,
                election_delay_ms: 0,
            },
            hold_ms: HOLD_MS,
            voters: 3,
            is_first: !std::mem::take(&mut self.nodes[n].reopens),
            recovered,
            seed: self.rng.random(),
        };
        self.nodes[n].member = Some(Replica::open(disk, start, Mono(self.now)));
        self.nodes[n].frozen_until = 0;
        let phase = self.rng.random_range(0..TICK_MS);
        self.push(phase, Event::Tick(n));
        self.push(JOIN_MS, Event::Join(n));
    }

    fn nodes_addresses(&self) -> Vec<std::net::SocketAddr> {
        (0..4).map(|n| self.address(n)).collect()
    }

    fn address(&self, n: usize) -> std::net::SocketAddr {
        format!("10.0.0.{}:7000", n + 1).parse().unwrap()
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(n) | Event::Deliver(n, _) | Event::Ask(n, ..) | Event::Called(n, ..) => {
                Some(*n)
            }
            _ => None,
        };
        if let Some(n) = node {
            let frozen_until = self.nodes[n].frozen_until;
            if frozen_until > self.now {
                self.push(frozen_until - self.now, event);
                return;
            }
            if self.load.processor_share.is_some() {
                self.enqueue(n, event);
                return;
            }
        }
        self.carry_out(event);
    }

    fn carry_out(&mut self, event: Event) {
        match event {
            Event::Tick(n) => {
                if self.nodes[n].member.is_none() {
                    return;
                }
                self.step(n, None);
                let pause = TICK_MS + self.drag(n);
                self.push(pause, Event::Tick(n));
            }
            Event::Deliver(n, messages) => self.step(n, Some(Step::Messages(messages))),
            Event::Ask(n, ask, token) => self.ask(n, ask, token),
            Event::Called(n, life, number, result) => {
                self.calls_open -= 1;
                if self.lives[n] == life {
                    self.step(n, Some(Step::Called(number, result)));
                }
            }
            Event::CallArrives(n, call, is_late) => self.call_arrives(n, call, is_late),
            Event::Reply(token, reply) => self.replied(token, reply),
            Event::Restart(n) => self.start(n, false),
            Event::DiskFreed(n) => self.free_disk(n),
            Event::Announce(n) => self.announce(n),
            Event::Join(n) => self.join(n),
            Event::Work(n) => self.work(n),
            Event::Follow(n) => self.follow(n),
            Event::FollowTimeout(n, turn) => self.give_up_follow(n, turn),
            Event::CheckVersion(version) => self.check_version(version),
        }
    }

    fn ask(&mut self, n: usize, ask: Ask, token: u64) {
        let Some(member) = &self.nodes[n].member else {
            return;
        };
        if let Ask::Announce(upstream) = &ask {
            if !member.leads() && member.may_confirm(upstream, Mono(self.now)) {
                self.nodes[n].heard.push(upstream.incarnation.clone());
                self.push(1, Event::Reply(token, Reply::Done));
                return;
            }
        }
        let leader = member.leader_host();
        let forward = leader.and_then(|host| self.nodes.iter().position(|x| x.address == host));
        match forward {
            Some(leader) if leader != n && !member.leads() => {
                if !self.cut.contains(&(n, leader)) {
                    let delay = self.delay(n, leader);
                    let ask = Event::Ask(leader, ask, token);
                    // A replica that thinks wrongly that another leads passes on once too often.
                    if self.rng.random_range(0..10) > 0 {
                        self.push(delay, ask);
                    }
                }
            }
            _ => self.step(n, Some(Step::Ask(ask, token))),
        }
    }

    fn step(&mut self, n: usize, step: Option<Step<u64>>) {
        let now = Mono(self.now);
        let Some(member) = &mut self.nodes[n].member else {
            return;
        };
        let led = member.leads();
        let Ok(output) = member.advance(step, now) else {
            self.reopen(n);
            return;
        };
        let leads = self.nodes[n].member.as_ref().is_some_and(|m| m.leads());
        self.leaders += u64::from(leads && !led);
        self.charge_output(n, &output);
        for (token, reply) in output.replies {
            let delay = self.rng.random_range(1..30);
            self.push(delay, Event::Reply(token, reply));
        }
        let mut by_node: BTreeMap<usize, Vec<Message>> = BTreeMap::new();
        for msg in output.messages {
            if let Some(to) = self.node_of(msg.to) {
                by_node.entry(to).or_default().push(msg);
            }
        }
        for (to, messages) in by_node {
            let is_lost = self.rng.random_range(0..1_000) < self.faults.lost;
            if self.cut.contains(&(n, to)) || is_lost {
                continue;
            }
            let delay = self.delay(n, to);
            self.push(delay, Event::Deliver(to, messages));
        }
        self.calls_open += output.calls.len();
        self.calls_open_most = self.calls_open_most.max(self.calls_open);
        for call in output.calls {
            let delay = self.rng.random_range(1..60);
            if Mono(self.now + delay) >= output.calls_until {
                let result = CallResult::NotSent;
                self.push(delay, Event::Called(n, self.lives[n], call.number, result));
                continue;
            }
            let is_late = self.rng.random_range(0..1_000) < self.faults.late_calls;
            self.push(delay, Event::CallArrives(n, call, is_late));
        }
    }

    fn node_of(&self, id: ReplicaId) -> Option<usize> {
        let is = |node: &Node| node.member.as_ref().is_some_and(|m| m.raft().id() == id);
        self.nodes.iter().position(is)
    }

    fn replied(&mut self, token: u64, reply: Reply) {
        let Some(question) = self.questions.remove(&token) else {
            return;
        };
        match (question, reply) {
            (Question::Configure(version), Reply::Done) => {
                self.acked_version = self.acked_version.max(version);
                let lacking = self.hosts_lacking(version);
                if lacking > 0 {
                    self.ahead.push((version, lacking));
                }
                self.push(entry::IN_FORCE_MS, Event::CheckVersion(version));
            }
            (Question::Follow(n, turn), reply) => self.followed(n, turn, reply),
            (Question::Read(acked), Reply::Config(source)) => {
                let text = source.map(|s| String::from_utf8(s).unwrap());
                let version: u64 = text.map_or(0, |t| t.parse().unwrap());
                assert!(
                    version >= acked,
                    "at {}: read {version}, but {acked} was acknowledged before",
                    self.now
                );
                self.reads += 1;
            }
            (Question::Announce(n, born_ms), Reply::Done) => {
                let upstream = &mut self.upstreams.list[n];
                if upstream.incarnation.born_ms == born_ms {
                    upstream.known_at.get_or_insert(self.now);
                }
            }
            (Question::Drain(n), Reply::Done) => {
                let is_first = self.acked_drains.insert(n);
                self.check_drain(n, is_first);
            }
            _ => {}
        }
    }

    /// Returns what the leader knows of the upstream.
    pub fn leader_state(&self) -> Option<&carobreel::directory::state::State> {
        let n = self.leader()?;
        Some(self.nodes[n].member.as_ref()?.state())
    }
}
