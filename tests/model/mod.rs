//! Simulates the platform for the directory's decision code: replicas with disks, a network with faults, and
//! upstreams that hold granted keys by their own clocks. Time is virtual, and all randomness comes from the
//! seed.
#![allow(dead_code)]

pub mod config;
pub mod disk;
pub mod entry_host;
pub mod evacuations;
pub mod event;
pub mod faults;
pub mod helper;
pub mod queries;
pub mod requests;
pub mod traffic;
pub mod upstream;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use carobreel::clock::Mono;
use carobreel::directory::lessor::CallResult;
use carobreel::directory::membership::{founder_id, founding_snapshot};
use carobreel::directory::model::Incarnation;
use carobreel::directory::protocol::{DirectoryRequest, Reply};
use carobreel::directory::replica::{Input, Replica, StartOptions};
use carobreel::directory::state::StoredConfig;
use carobreel::raft::{Log, Message, ReplicaId, Timing};
use carobreel::storage::{Identity, Recovered};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use config::config;
use disk::Disk;
use entry_host::EntryHost;
pub use entry_host::Load;
use evacuations::Orders;
pub use event::Faults;
use event::{Event, Purpose, ScheduledEvent};
use helper::HelperState;
use upstream::Upstreams;

/// The service whose keys are divided among upstreams.
pub const SERVICE: &str = "maps";
/// The interval between two ticks of a replica, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;
/// The interval between two announcements of an upstream, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 870;
/// The interval between two join requests of a replica, in milliseconds.
const JOIN_RETRY_MS: u64 = 300;
pub const HOLD_MS: u64 = 2_500;

type ModelReplica = Replica<Disk, u64>;

struct Node {
    address: String,
    region: usize,
    replica: Option<ModelReplica>,
    /// The contents of the disk while the process is down.
    disk: Disk,
    frozen_until: u64,
    slow_until: u64,
    /// Events that wait for the processor, if its share is limited.
    backlog: VecDeque<Event>,
    /// When the processor is free again, in microseconds.
    busy_until_us: u64,
    /// Confirmed upstreams that weren't reported to the leader yet.
    confirmed: Vec<Incarnation>,
    /// Whether the replica is reopened by a process that kept running.
    is_reopening: bool,
    helper: HelperState,
}

impl Node {
    /// Returns the host of replica `n`, with an empty disk and no process.
    fn new(n: usize) -> Node {
        Node {
            address: format!("10.0.0.{}:7000", n + 1),
            region: n % 2,
            replica: None,
            disk: Disk::default(),
            frozen_until: 0,
            slow_until: 0,
            backlog: VecDeque::new(),
            busy_until_us: 0,
            confirmed: Vec::new(),
            is_reopening: false,
            helper: HelperState::default(),
        }
    }
}

/// The state of the simulation.
pub struct Simulation {
    pub now: u64,
    pub rng: Pcg64Mcg,
    pub faults: Faults,
    pub upstreams: Upstreams,
    pub acked_version: u64,
    pub sent_version: u64,
    pub acked_drains: BTreeSet<usize>,
    pub elections: u64,
    pub reads: u64,
    /// The number of times a data folder was reopened after its disk failed.
    pub reopenings: u64,
    /// The load of entry hosts.
    pub load: Load,
    /// Configurations that weren't in force in time, with the number of entry hosts that lacked them.
    pub late_versions: Vec<(u64, usize)>,
    /// The number of entry hosts that didn't know of a leaving upstream when its leaving was acknowledged.
    pub uninformed_hosts: usize,
    /// Configurations that were acknowledged too early, with the number of entry hosts that lacked them.
    pub early_acks: Vec<(u64, usize)>,
    pub orders: Orders,
    /// The current and the maximum number of calls to upstreams in flight.
    pub open_calls: usize,
    pub open_calls_max: usize,
    /// The number of calls that leaders made themselves, and that replicas made for them.
    pub own_calls: u64,
    pub shared_calls: u64,
    /// The number of grants a second above which the leader shares them.
    shared_above_per_s: u64,
    entry_hosts: Vec<EntryHost>,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    cut_links: BTreeSet<(usize, usize)>,
    pending_requests: BTreeMap<u64, Purpose>,
    last_request_id: u64,
    runs: Vec<u64>,
}

impl Simulation {
    /// Returns four replicas in two regions, three of them founders, and `upstreams` upstreams.
    pub fn new(seed: u64, upstreams: usize, faults: Faults) -> Simulation {
        Simulation::with_load(seed, upstreams, faults, Load::default())
    }

    /// Returns the same with entry hosts that watch the directory.
    pub fn with_load(seed: u64, upstreams: usize, faults: Faults, load: Load) -> Simulation {
        Simulation::with_sharing(seed, upstreams, faults, load, u64::MAX)
    }

    /// Returns the same with replicas that make calls for the leader, above this number of grants a second.
    pub fn with_sharing(
        seed: u64,
        upstreams: usize,
        faults: Faults,
        load: Load,
        shared_above_per_s: u64,
    ) -> Simulation {
        let mut sim = Simulation {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults,
            upstreams: Upstreams::new(upstreams, faults.slow_clock_percent),
            acked_version: 0,
            sent_version: 0,
            acked_drains: BTreeSet::new(),
            elections: 0,
            reads: 0,
            reopenings: 0,
            load,
            late_versions: Vec::new(),
            uninformed_hosts: 0,
            early_acks: Vec::new(),
            orders: Orders::default(),
            open_calls: 0,
            open_calls_max: 0,
            own_calls: 0,
            shared_calls: 0,
            shared_above_per_s,
            entry_hosts: (0..load.entry_hosts)
                .map(|_| EntryHost::default())
                .collect(),
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            cut_links: BTreeSet::new(),
            pending_requests: BTreeMap::new(),
            last_request_id: 0,
            runs: vec![0; 4],
        };
        for n in 0..4 {
            sim.nodes.push(Node::new(n));
            sim.start_replica(n, true);
        }
        for n in 0..upstreams {
            let at = sim.rng.random_range(0..ANNOUNCE_INTERVAL_MS);
            sim.schedule(at, Event::Announce(n));
        }
        for n in 0..load.entry_hosts {
            let at = sim.rng.random_range(0..JOIN_RETRY_MS);
            sim.schedule(at, Event::Watch(n));
        }
        sim
    }

    /// Advances the time by `ms` milliseconds.
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
            self.dispatch(queued.event);
            self.upstreams.check_owners(self.now);
        }
        self.now = end;
    }

    /// Sends a configuration with a higher version to one replica.
    pub fn configure(&mut self, n: usize) {
        self.sent_version += self.rng.random_range(1..4);
        let version = self.sent_version;
        self.configure_version(n, version);
    }

    /// Sends a configuration with this version to one replica.
    pub fn configure_version(&mut self, n: usize, version: u64) {
        self.send_config(n, config(version));
    }

    /// Sends a configuration with a higher version whose only route allows these regions to one replica.
    pub fn configure_regions(&mut self, n: usize, regions: &[&str]) {
        self.sent_version += 1;
        let stored = config::with_regions(config(self.sent_version), regions);
        self.send_config(n, stored);
    }

    fn send_config(&mut self, n: usize, stored: StoredConfig) {
        let version = stored.config.version;
        let request = DirectoryRequest::Configure(Box::new(stored));
        self.send_request(n, request, Purpose::Configure(version));
    }

    /// Requests the configuration from one replica.
    pub fn read(&mut self, n: usize) {
        let acked = self.acked_version;
        self.send_request(n, DirectoryRequest::ReadConfig, Purpose::Read(acked));
    }

    /// Makes an upstream announce that it leaves.
    pub fn drain(&mut self, index: usize) {
        self.upstreams.list[index].is_draining = true;
        let record = self.upstreams.announcement(index);
        let n = self.rng.random_range(0..4);
        self.send_request(n, DirectoryRequest::Announce(record), Purpose::Drain(index));
    }

    fn send_request(&mut self, n: usize, request: DirectoryRequest, purpose: Purpose) {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        self.pending_requests.insert(request_id, purpose);
        let delay = self.rng.random_range(1..30);
        self.schedule(delay, Event::Request(n, request, request_id));
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        let queued = ScheduledEvent {
            at: self.now + delay,
            sequence: self.sequence,
            event,
        };
        self.queue.push(Reverse(queued));
    }

    fn start_replica(&mut self, n: usize, is_first_start: bool) {
        let founders: Vec<std::net::SocketAddr> =
            self.node_addresses().into_iter().take(3).collect();
        let addr: std::net::SocketAddr = self.address(n);
        let mut disk = self.nodes[n].disk.clone();
        let is_founder = is_first_start && n < 3;
        if disk.identity.is_none() {
            let drawn = ReplicaId(self.rng.random());
            disk.identity = Some(if is_founder { founder_id(addr) } else { drawn });
            if is_founder {
                disk.snapshot = founding_snapshot(&founders);
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
        let options = StartOptions {
            timing: Timing {
                heartbeat_ms: 100,
                election_ms: 600,
                election_delay_ms: 0,
            },
            hold_ms: HOLD_MS,
            voters: 3,
            shared_above_per_s: self.shared_above_per_s,
            is_process_start: !std::mem::take(&mut self.nodes[n].is_reopening),
            recovered,
            seed: self.rng.random(),
            regions_by_zone: config::regions_by_zone(),
        };
        self.nodes[n].replica = Some(Replica::open(disk, options, Mono(self.now)));
        self.nodes[n].frozen_until = 0;
        let phase = self.rng.random_range(0..TICK_INTERVAL_MS);
        self.schedule(phase, Event::Tick(n));
        self.schedule(JOIN_RETRY_MS, Event::Join(n));
        if self.shared_above_per_s < u64::MAX {
            self.schedule(JOIN_RETRY_MS, Event::AskForRenewals(n, self.runs[n]));
        }
    }

    fn node_addresses(&self) -> Vec<std::net::SocketAddr> {
        (0..4).map(|n| self.address(n)).collect()
    }

    fn address(&self, n: usize) -> std::net::SocketAddr {
        format!("10.0.0.{}:7000", n + 1).parse().unwrap()
    }

    fn dispatch(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(n)
            | Event::Deliver(n, _)
            | Event::Request(n, ..)
            | Event::CallDone(n, ..) => Some(*n),
            _ => None,
        };
        if let Some(n) = node {
            let frozen_until = self.nodes[n].frozen_until;
            if frozen_until > self.now {
                self.schedule(frozen_until - self.now, event);
                return;
            }
            if self.load.processor_share.is_some() {
                self.enqueue(n, event);
                return;
            }
        }
        self.process(event);
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Tick(n) => {
                if self.nodes[n].replica.is_none() {
                    return;
                }
                self.step_replica(n, None);
                let pause = TICK_INTERVAL_MS + self.slow_host_delay(n);
                self.schedule(pause, Event::Tick(n));
            }
            Event::Deliver(n, messages) => self.step_replica(n, Some(Input::Messages(messages))),
            Event::Request(n, request, request_id) => self.deliver_request(n, request, request_id),
            Event::CallDone(n, run, id, result) => {
                self.open_calls -= 1;
                let is_shared = self.nodes[n].helper.calls.remove(&id);
                if self.runs[n] == run && is_shared {
                    let finished = (id, result, self.now);
                    self.nodes[n].helper.results.push(finished);
                } else if self.runs[n] == run {
                    self.step_replica(n, Some(Input::CallFinished(id, result)));
                }
            }
            Event::CallArrives(n, call, is_delayed) => self.call_arrives(n, call, is_delayed),
            Event::Reply(request_id, reply) => self.handle_reply(request_id, reply),
            Event::Restart(n) => self.start_replica(n, false),
            Event::DiskFreed(n) => self.free_disk(n),
            Event::Announce(n) => self.announce(n),
            Event::Join(n) => self.join(n),
            Event::RunBacklog(n) => self.run_backlog(n),
            Event::Watch(n) => self.watch_directory(n),
            Event::WatchTimeout(n, attempt) => self.give_up_watch(n, attempt),
            Event::AskForRenewals(n, run) if self.runs[n] == run => self.ask_for_renewals(n),
            Event::AskForRenewals(..) => {}
            Event::RenewalTimeout(n, attempt) => self.give_up_renewals(n, attempt),
            Event::CheckVersion(version) => self.check_version(version),
        }
    }

    fn deliver_request(&mut self, n: usize, request: DirectoryRequest, request_id: u64) {
        let Some(replica) = &self.nodes[n].replica else {
            return;
        };
        if let DirectoryRequest::Announce(upstream) = &request {
            if !replica.leads() && replica.can_confirm(upstream, Mono(self.now)) {
                self.nodes[n].confirmed.push(upstream.incarnation.clone());
                self.schedule(1, Event::Reply(request_id, Reply::Done));
                return;
            }
        }
        let leader = replica.leader_address();
        let forward = leader.and_then(|host| self.nodes.iter().position(|x| x.address == host));
        match forward {
            Some(leader) if leader != n && !replica.leads() => {
                if !self.cut_links.contains(&(n, leader)) {
                    let delay = self.delay(n, leader);
                    let request = Event::Request(leader, request, request_id);
                    // One in ten is lost. This ends loops between replicas that wrongly take each other for
                    // the leader.
                    if self.rng.random_range(0..10) > 0 {
                        self.schedule(delay, request);
                    }
                }
            }
            _ => self.step_replica(n, Some(Input::Request(request, request_id))),
        }
    }

    fn step_replica(&mut self, n: usize, input: Option<Input<u64>>) {
        let now = Mono(self.now);
        let Some(replica) = &mut self.nodes[n].replica else {
            return;
        };
        let was_leader = replica.leads();
        let Ok(output) = replica.advance(input, now) else {
            self.reopen(n);
            return;
        };
        let leads = self.nodes[n].replica.as_ref().is_some_and(|r| r.leads());
        self.elections += u64::from(leads && !was_leader);
        self.charge_output(n, &output);
        for (request_id, reply) in output.replies {
            let delay = self.rng.random_range(1..30);
            self.schedule(delay, Event::Reply(request_id, reply));
        }
        let mut by_node: BTreeMap<usize, Vec<Message>> = BTreeMap::new();
        for msg in output.messages {
            if let Some(to) = self.node_of(msg.to) {
                by_node.entry(to).or_default().push(msg);
            }
        }
        for (to, messages) in by_node {
            let is_lost = self.rng.random_range(0..1_000) < self.faults.lost_per_mille;
            if self.cut_links.contains(&(n, to)) || is_lost {
                continue;
            }
            let delay = self.delay(n, to);
            self.schedule(delay, Event::Deliver(to, messages));
        }
        self.open_calls += output.calls.len();
        self.own_calls += output.calls.len() as u64;
        self.open_calls_max = self.open_calls_max.max(self.open_calls);
        for call in output.calls {
            let delay = self.rng.random_range(1..60);
            if Mono(self.now + delay) >= output.calls_until {
                let result = CallResult::NotSent;
                self.schedule(delay, Event::CallDone(n, self.runs[n], call.id, result));
                continue;
            }
            let is_delayed = self.rng.random_range(0..1_000) < self.faults.delayed_calls_per_mille;
            self.schedule(delay, Event::CallArrives(n, call, is_delayed));
        }
    }

    fn node_of(&self, id: ReplicaId) -> Option<usize> {
        let has_id = |node: &Node| node.replica.as_ref().is_some_and(|r| r.raft().id() == id);
        self.nodes.iter().position(has_id)
    }

    fn handle_reply(&mut self, request_id: u64, reply: Reply) {
        let Some(purpose) = self.pending_requests.remove(&request_id) else {
            return;
        };
        match (purpose, reply) {
            (Purpose::Configure(version), Reply::Done) => {
                self.acked_version = self.acked_version.max(version);
                let behind = self.hosts_behind(version);
                if behind > 0 {
                    self.early_acks.push((version, behind));
                }
                self.schedule(entry_host::IN_FORCE_MS, Event::CheckVersion(version));
            }
            (Purpose::Watch(n, attempt), reply) => self.handle_watch_reply(n, attempt, reply),
            (Purpose::Read(acked), Reply::Config(source)) => {
                let text = source.map(|s| String::from_utf8(s).unwrap());
                let version: u64 = text.map_or(0, |t| t.parse().unwrap());
                assert!(
                    version >= acked,
                    "at {}: read {version}, but {acked} was acknowledged before",
                    self.now
                );
                self.reads += 1;
            }
            (Purpose::Announce(n, born_ms), Reply::Done) => {
                let upstream = &mut self.upstreams.list[n];
                if upstream.incarnation.born_ms == born_ms {
                    upstream.acked_at.get_or_insert(self.now);
                }
            }
            (Purpose::Evacuate(number), Reply::Done) => self.record_order_acked(number),
            (
                Purpose::Renewals(n, attempt),
                Reply::Renewals {
                    calls,
                    number,
                    lease_ms,
                    pause_ms,
                },
            ) if self.nodes[n].helper.is_current(attempt) => {
                self.make_shared_calls(n, (calls, number), lease_ms, pause_ms);
            }
            (Purpose::Drain(n), Reply::Done) => {
                let is_first = self.acked_drains.insert(n);
                self.check_drain(n, is_first);
            }
            _ => {}
        }
    }
}
