//! Deterministic simulation of a cell with its entry hosts and upstreams, driven by a seed. It injects
//! dropped, delayed and repeated messages, restarts, lost disks, frozen processes and network partitions;
//! the network, the disks and the clocks are simulated.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use carobreel::cell::ownership::{Grant, LeaseTiming, RegionPosition};
use carobreel::cell::replica::{Output, Replica, ReplicaConfig, StartState};
use carobreel::cell::request::{Heartbeat, Join, LeaderRequest, Renewal, Reply};
use carobreel::cell::state::{Announcement, Command, Outcome, RouterId, UpstreamId};
use carobreel::cell::store::Store;
use carobreel::clock::Mono;
use carobreel::document::Document;
use carobreel::entry::in_flight::{InFlightGuard, InFlightRequests};
use carobreel::entry::table::{RoutingTable, SlotOwner};
use carobreel::raft::{
    Entry, HardState, Log, Membership, Message, Payload, ReplicaId, Snapshot, Timing,
};
use carobreel::slot::{KeyHash, SlotId};
use carobreel::standin::RequestRun;
use carobreel::storage::StorageError;
use error_stack::Report;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const SERVICE: &str = "mapa-cortes";
const TICK_MS: u64 = 10;
const HEARTBEAT_EVERY_MS: u64 = 300;
const REQUEST_EVERY_MS: u64 = 20;
const KEYS: u64 = 24;
const RUN_MS: u64 = 15;

/// Parameters of a simulation: its size, its faults and the lease durations.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub lease: LeaseTiming,
    /// Duration of the period with faults, in milliseconds.
    pub fault_period_ms: u64,
    pub upstreams: usize,
    pub routers: usize,
    pub checks_fences: bool,
    pub inject_faults: bool,
    /// Whether a replica that lost its disk keeps its id, which breaks the protocol.
    pub reuse_identity: bool,
    /// Maximum drift of the holders' clocks, as a share of the elapsed time.
    pub clock_drift: f64,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        SimulationConfig {
            lease: LeaseTiming {
                lease_ms: 2_000,
                grant_expiry_ms: 2_200,
                route_expiry_ms: 2_200,
            },
            fault_period_ms: 20_000,
            upstreams: 4,
            routers: 3,
            checks_fences: true,
            inject_faults: true,
            reuse_identity: false,
            clock_drift: 0.04,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Disk {
    hard: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
pub struct MemStore(Rc<RefCell<Disk>>);

impl Store for MemStore {
    fn append(
        &mut self,
        hard: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), Report<StorageError>> {
        let mut disk = self.0.borrow_mut();
        if let Some(hard) = hard {
            disk.hard = hard;
        }
        if let Some(first) = entries.first() {
            disk.entries.retain(|e| e.index < first.index);
            disk.entries.extend(entries.iter().cloned());
        }
        Ok(())
    }

    fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        rest: &[Entry],
    ) -> Result<(), Report<StorageError>> {
        let mut disk = self.0.borrow_mut();
        disk.snapshot = snapshot.clone();
        disk.entries = rest.to_vec();
        Ok(())
    }

    fn is_snapshot_due(&self) -> bool {
        self.0.borrow().entries.len() > 60
    }
}

type SimReplica = Replica<MemStore, Token>;

/// Sender of a request that awaits a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    Router { index: usize, asked_at: u64 },
    Upstream { index: usize, asked_at: u64 },
    Announce { index: usize },
    Document { number: u64, digest: u64 },
    NoReply,
}

enum Event {
    Raft(Message),
    LeaderRequest(usize, LeaderRequest, Token),
    Reply(usize, Token, Reply),
    Request(KeyedRequest),
    Fault,
}

struct KeyedRequest {
    upstream: usize,
    key: u64,
    slot: SlotId,
    fence: u64,
    in_flight_guard: InFlightGuard,
}

struct SimHost {
    replica: Option<SimReplica>,
    disk: Rc<RefCell<Disk>>,
    id: ReplicaId,
    frozen_until: u64,
}

struct SimRouter {
    id: RouterId,
    table: RoutingTable,
    in_flight_requests: InFlightRequests,
    lease_until: u64,
    next_ask_at: u64,
    target: usize,
    frozen_until: u64,
    partitioned_until: u64,
    clock_rate: f64,
}

struct SimUpstream {
    name: String,
    instance: u64,
    id: Option<UpstreamId>,
    /// All ids that the upstream has had; its address doesn't change with them.
    ids: BTreeSet<UpstreamId>,
    version: u64,
    lease_until: u64,
    slots: BTreeMap<SlotId, u64>,
    next_ask_at: u64,
    target: usize,
    frozen_until: u64,
    partitioned_until: u64,
    is_killed: bool,
    is_leaving: bool,
    clock_rate: f64,
}

/// A simulated cell with its entry hosts and upstreams.
pub struct Simulation {
    pub now: u64,
    pub runs: Vec<RequestRun>,
    pub accepted_documents: BTreeMap<u64, BTreeSet<u64>>,
    pub divergences: usize,
    pub trace: bool,
    config: SimulationConfig,
    rng: Pcg64Mcg,
    hosts: Vec<SimHost>,
    routers: Vec<SimRouter>,
    upstreams: Vec<SimUpstream>,
    event_queue: BTreeMap<(u64, u64), Event>,
    next_sequence: u64,
    partitioned_links: BTreeSet<(usize, usize)>,
    state_digests: BTreeMap<u64, u64>,
    next_replica_id: u64,
    faults_ended: bool,
}

fn announcement(name: &str, instance: u64, checks_fences: bool) -> Announcement {
    Announcement {
        name: name.to_string(),
        instance,
        address: "127.0.0.1:1".parse().unwrap(),
        availability_zone: "norte-a".to_string(),
        labels: [("service".to_string(), SERVICE.to_string())].into(),
        slots: 3,
        connections: 110,
        checks_fences,
    }
}

pub fn document(number: u64, note: &str) -> Document {
    let text = format!(
        r#"{{"number": {number}, "services": {{"{SERVICE}":
        {{"selector": "service={SERVICE}", "divided_by_key": true, "slots": 32}}}},
        "labels": {{"nobody": {{"note": "{note}"}}}}}}"#
    );
    Document::parse(&text).unwrap()
}

impl Simulation {
    pub fn new(seed: u64, config: SimulationConfig) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let voters: BTreeMap<ReplicaId, String> = (0..3)
            .map(|n| (ReplicaId(n + 1), format!("c{n}")))
            .collect();
        let membership = Membership {
            voters,
            learners: BTreeMap::new(),
        };
        let hosts = (0..3)
            .map(|n| {
                let entry = Entry {
                    term: 1,
                    index: 1,
                    payload: Payload::Membership(membership.clone()),
                };
                let disk = Disk {
                    hard: HardState {
                        term: 1,
                        vote: None,
                    },
                    snapshot: Snapshot::default(),
                    entries: if n == 0 { vec![entry] } else { Vec::new() },
                };
                SimHost {
                    replica: None,
                    disk: Rc::new(RefCell::new(disk)),
                    id: ReplicaId(n + 1),
                    frozen_until: 0,
                }
            })
            .collect();
        let clock_drift = config.clock_drift;
        let mut clock_rate = || 1.0 + rng.random_range(-clock_drift..=clock_drift);
        let routers = (0..config.routers).map(|n| SimRouter {
            id: RouterId {
                host: format!("e{n}"),
                instance: 1,
            },
            table: RoutingTable::default(),
            in_flight_requests: InFlightRequests::default(),
            lease_until: 0,
            next_ask_at: 0,
            target: 0,
            frozen_until: 0,
            partitioned_until: 0,
            clock_rate: clock_rate(),
        });
        let routers = routers.collect();
        let upstreams = (0..config.upstreams).map(|n| SimUpstream {
            name: format!("{SERVICE}-{n}"),
            instance: 1,
            id: None,
            ids: BTreeSet::new(),
            version: 0,
            lease_until: 0,
            slots: BTreeMap::new(),
            next_ask_at: 0,
            target: 0,
            frozen_until: 0,
            partitioned_until: 0,
            is_killed: false,
            is_leaving: false,
            clock_rate: clock_rate(),
        });
        let upstreams = upstreams.collect();
        let mut simulation = Simulation {
            now: 0,
            runs: Vec::new(),
            accepted_documents: BTreeMap::new(),
            divergences: 0,
            trace: false,
            config,
            rng,
            hosts,
            routers,
            upstreams,
            event_queue: BTreeMap::new(),
            next_sequence: 0,
            partitioned_links: BTreeSet::new(),
            state_digests: BTreeMap::new(),
            next_replica_id: 100,
            faults_ended: false,
        };
        for n in 0..3 {
            simulation.start_replica(n);
        }
        simulation
    }

    /// Runs the simulation with faults, then ends all faults and runs it for another ten seconds.
    pub fn run(&mut self) {
        if self.config.inject_faults {
            self.schedule(3_000, Event::Fault);
        }
        self.run_until(self.config.fault_period_ms);
        self.end_faults();
        self.run_until(self.config.fault_period_ms + 10_000);
    }

    pub fn run_until(&mut self, end: u64) {
        while self.now < end && self.divergences == 0 {
            self.now += TICK_MS;
            self.step();
        }
    }

    /// Ends all faults and restarts stopped replicas.
    pub fn end_faults(&mut self) {
        self.faults_ended = true;
        self.partitioned_links.clear();
        for n in 0..self.hosts.len() {
            self.hosts[n].frozen_until = 0;
            if self.hosts[n].replica.is_none() {
                self.start_replica(n);
            }
        }
        for router in &mut self.routers {
            router.frozen_until = 0;
            router.partitioned_until = 0;
        }
        for upstream in &mut self.upstreams {
            upstream.frozen_until = 0;
            upstream.partitioned_until = 0;
        }
    }

    /// Returns the leader's replica; of several, the one with the highest term.
    pub fn leader(&self) -> Option<&SimReplica> {
        let replicas = self.hosts.iter().filter_map(|h| h.replica.as_ref());
        replicas
            .filter(|r| r.is_leader())
            .max_by_key(|r| r.raft().term())
    }

    pub fn kill_upstream(&mut self, index: usize) {
        self.upstreams[index].is_killed = true;
    }

    pub fn freeze_router(&mut self, index: usize) {
        self.routers[index].frozen_until = u64::MAX;
    }

    pub fn freeze_leader(&mut self, for_ms: u64) -> usize {
        let index = self.leader_index().expect("the cell has a leader");
        self.hosts[index].frozen_until = self.now + for_ms;
        index
    }

    pub fn kill_host(&mut self, index: usize) {
        self.hosts[index].replica = None;
    }

    pub fn restart_host(&mut self, index: usize, lost_disk: bool) {
        if lost_disk {
            self.lose_disk(index);
        }
        self.start_replica(index);
    }

    pub fn leader_index(&self) -> Option<usize> {
        let leads = |h: &SimHost| h.replica.as_ref().is_some_and(|r| r.is_leader());
        let term = |h: &SimHost| h.replica.as_ref().map_or(0, |r| r.raft().term());
        let indexes = 0..self.hosts.len();
        indexes
            .filter(|i| leads(&self.hosts[*i]))
            .max_by_key(|i| term(&self.hosts[*i]))
    }

    /// Returns the number of keys that a router with a valid lease would send to a live upstream.
    pub fn served_keys(&self) -> usize {
        let router = self
            .routers
            .iter()
            .find(|r| r.frozen_until <= self.now && r.lease_until > self.local_time(r.clock_rate));
        let Some(router) = router else { return 0 };
        let served = |key: u64| match router.table.owner(SERVICE, KeyHash::of(&key.to_string())) {
            SlotOwner::Held(o) => self
                .upstreams
                .iter()
                .any(|u| u.id == Some(o.upstream) && !u.is_killed && u.frozen_until <= self.now),
            SlotOwner::Unassigned => false,
        };
        (0..KEYS).filter(|k| served(*k)).count()
    }

    pub fn keys(&self) -> usize {
        KEYS as usize
    }

    pub fn propose_document(&mut self, document: Document) {
        let index = self.rng.random_range(0..3);
        let token = Token::Document {
            number: document.number,
            digest: document.digest(),
        };
        let decide = LeaderRequest::Apply(Command::Decide(document.clone()));
        self.schedule(1, Event::LeaderRequest(index, decide, token));
    }

    pub fn install(&mut self, document: Document) {
        for index in 0..3 {
            let request = LeaderRequest::Apply(Command::Install(document.clone()));
            self.schedule(1, Event::LeaderRequest(index, request, Token::NoReply));
        }
    }

    fn local_time(&self, clock_rate: f64) -> u64 {
        (self.now as f64 * clock_rate) as u64
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.next_sequence += 1;
        self.event_queue
            .insert((self.now + delay_ms, self.next_sequence), event);
    }

    fn draw_delay(&mut self) -> u64 {
        if self.config.inject_faults && !self.faults_ended && self.rng.random_bool(0.03) {
            return self.rng.random_range(100..1_500);
        }
        self.rng.random_range(1..15)
    }

    fn is_dropped(&mut self) -> bool {
        self.config.inject_faults && !self.faults_ended && self.rng.random_bool(0.02)
    }

    fn start_replica(&mut self, host_index: usize) {
        let host = &self.hosts[host_index];
        let disk = host.disk.borrow().clone();
        let replica_config = ReplicaConfig {
            cell: "norte".to_string(),
            host: format!("c{host_index}"),
            region: RegionPosition { index: 0, count: 1 },
            raft: Timing {
                heartbeat_ms: 100,
                election_ms: 500,
                election_delay_ms: if host_index == 2 { 1_000 } else { 0 },
            },
            lease: self.config.lease,
        };
        let start = StartState {
            id: host.id,
            hard: disk.hard,
            log: Log::new(disk.snapshot, disk.entries),
            seed: self.rng.random(),
        };
        let store = MemStore(host.disk.clone());
        let replica = Replica::open(replica_config, store, start, Mono(self.now));
        self.hosts[host_index].replica = Some(replica);
    }

    fn lose_disk(&mut self, host_index: usize) {
        self.hosts[host_index].disk = Rc::default();
        if !self.config.reuse_identity {
            self.hosts[host_index].id = ReplicaId(self.next_replica_id);
            self.next_replica_id += 1;
        }
    }

    fn step(&mut self) {
        for host_index in 0..self.hosts.len() {
            if self.hosts[host_index].frozen_until > self.now {
                continue;
            }
            let now = Mono(self.now);
            if let Some(replica) = &mut self.hosts[host_index].replica {
                let output = replica.tick(now).unwrap();
                self.dispatch_output(host_index, output);
            }
            self.request_membership(host_index);
        }
        while let Some((key, _)) = self.event_queue.first_key_value() {
            if key.0 > self.now {
                break;
            }
            let Some((_, event)) = self.event_queue.pop_first() else {
                break;
            };
            self.handle_event(event);
        }
        self.renew_leases();
        if self.now % REQUEST_EVERY_MS == 0 {
            self.send_requests();
        }
        self.check_state_machine_safety();
    }

    /// Asks the other hosts to make this host's replica a voter if it isn't one, as the control daemon does.
    fn request_membership(&mut self, host_index: usize) {
        if self.now % 500 != 0 {
            return;
        }
        let host = format!("c{host_index}");
        let id = self.hosts[host_index].id;
        let Some(replica) = &self.hosts[host_index].replica else {
            return;
        };
        let voters = &replica.raft().membership().voters;
        let others = voters.iter().filter(|(v, h)| **h == host && **v != id);
        if voters.contains_key(&id) && others.count() == 0 {
            return;
        }
        if voters.is_empty() && self.now < 1_500 {
            return;
        }
        for to in (0..3).filter(|to| *to != host_index) {
            let join = LeaderRequest::Join(Join {
                replica: id,
                host: host.clone(),
            });
            self.schedule(5, Event::LeaderRequest(to, join, Token::NoReply));
        }
    }

    fn dispatch_output(&mut self, host_index: usize, output: Output<Token>) {
        if self.trace {
            for event in &output.events {
                println!("{} c{host_index} {event:?}", self.now);
            }
        }
        for msg in output.messages {
            if self.is_dropped() {
                continue;
            }
            if self.config.inject_faults && self.rng.random_bool(0.01) {
                let delay = self.draw_delay();
                self.schedule(delay, Event::Raft(msg.clone()));
            }
            let delay = self.draw_delay();
            self.schedule(delay, Event::Raft(msg));
        }
        for (token, reply) in output.replies {
            if self.is_dropped() {
                continue;
            }
            let delay = self.draw_delay();
            self.schedule(delay, Event::Reply(host_index, token, reply));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Raft(msg) => self.deliver(msg),
            Event::LeaderRequest(host_index, request, token) => {
                let host = &mut self.hosts[host_index];
                if host.frozen_until > self.now {
                    let until = host.frozen_until - self.now;
                    if until < 20_000 {
                        self.schedule(until, Event::LeaderRequest(host_index, request, token));
                    }
                    return;
                }
                if let Some(replica) = &mut host.replica {
                    let output = replica
                        .handle_requests(vec![(request, token)], Mono(self.now))
                        .unwrap();
                    self.dispatch_output(host_index, output);
                }
            }
            Event::Reply(host_index, token, reply) => self.handle_reply(host_index, token, reply),
            Event::Request(request) => self.run_request(request),
            Event::Fault => self.inject_fault(),
        }
    }

    fn deliver(&mut self, msg: Message) {
        let from = self.hosts.iter().position(|h| h.id == msg.from);
        let Some(to) = self.hosts.iter().position(|h| h.id == msg.to) else {
            return;
        };
        if let Some(from) = from {
            if self
                .partitioned_links
                .contains(&(from.min(to), from.max(to)))
            {
                return;
            }
        }
        if self.hosts[to].frozen_until > self.now {
            let until = self.hosts[to].frozen_until - self.now;
            if until < 20_000 {
                self.schedule(until, Event::Raft(msg));
            }
            return;
        }
        if let Some(replica) = &mut self.hosts[to].replica {
            let output = replica.receive(vec![msg], Mono(self.now)).unwrap();
            self.dispatch_output(to, output);
        }
    }

    /// Sends the renewals of routing leases and grants that are due.
    fn renew_leases(&mut self) {
        for index in 0..self.routers.len() {
            let router = &mut self.routers[index];
            let is_unreachable = router.frozen_until.max(router.partitioned_until) > self.now;
            if is_unreachable || self.now < router.next_ask_at {
                continue;
            }
            router.next_ask_at = self.now + 200;
            let asked_at = (self.now as f64 * router.clock_rate) as u64;
            let request = LeaderRequest::Renew(Renewal {
                router: router.id.clone(),
                table_version: router.table.version,
                drained_version: router.in_flight_requests.drained(),
                loads: Vec::new(),
            });
            let target = router.target;
            let delay = self.draw_delay();
            self.schedule(
                delay,
                Event::LeaderRequest(target, request, Token::Router { index, asked_at }),
            );
        }
        for index in 0..self.upstreams.len() {
            let checks_fences = self.config.checks_fences;
            let upstream = &mut self.upstreams[index];
            let is_unreachable = upstream.frozen_until.max(upstream.partitioned_until) > self.now;
            if upstream.is_killed || is_unreachable || self.now < upstream.next_ask_at {
                continue;
            }
            upstream.next_ask_at = self.now + HEARTBEAT_EVERY_MS;
            let asked_at = (self.now as f64 * upstream.clock_rate) as u64;
            let (request, token) = match upstream.id {
                Some(id) => (
                    LeaderRequest::Heartbeats(vec![Heartbeat {
                        upstream: id,
                        acked_version: upstream.version,
                    }]),
                    Token::Upstream { index, asked_at },
                ),
                None => (
                    LeaderRequest::Apply(Command::Announce(announcement(
                        &upstream.name,
                        upstream.instance,
                        checks_fences,
                    ))),
                    Token::Announce { index },
                ),
            };
            let target = upstream.target;
            let delay = self.draw_delay();
            self.schedule(delay, Event::LeaderRequest(target, request, token));
        }
    }

    fn handle_reply(&mut self, from: usize, token: Token, reply: Reply) {
        let next_target = (from + 1) % 3;
        match token {
            Token::Router { index, asked_at } => {
                let now = self.now;
                let router = &mut self.routers[index];
                if router.frozen_until.max(router.partitioned_until) > now {
                    return;
                }
                match reply {
                    Reply::Renewed(renewed) => {
                        router.next_ask_at = now;
                        let table = router.table.clone();
                        if renewed.update.to_version != table.version {
                            let owners: Vec<UpstreamId> = table.upstreams.keys().copied().collect();
                            if router.table.apply(renewed.update).is_err() {
                                router.table = table;
                                return;
                            }
                            router
                                .in_flight_requests
                                .advance(router.table.version, &owners);
                        }
                        let until = asked_at + renewed.lease_ms;
                        router.lease_until = router.lease_until.max(until);
                    }
                    _ => router.target = next_target,
                }
            }
            Token::Upstream { index, asked_at } => {
                self.handle_grants(index, asked_at, reply, next_target)
            }
            Token::Announce { index } => match reply {
                Reply::Applied(Outcome::Announced(id)) => {
                    self.upstreams[index].id = Some(id);
                    self.upstreams[index].ids.insert(id);
                    self.upstreams[index].next_ask_at = self.now;
                }
                _ => self.upstreams[index].target = next_target,
            },
            Token::Document { number, digest } => {
                if reply == Reply::Applied(Outcome::Done) {
                    self.accepted_documents
                        .entry(number)
                        .or_default()
                        .insert(digest);
                }
            }
            Token::NoReply => {}
        }
    }

    fn handle_grants(&mut self, index: usize, asked_at: u64, reply: Reply, next_target: usize) {
        let upstream = &mut self.upstreams[index];
        if upstream.frozen_until.max(upstream.partitioned_until) > self.now {
            return;
        }
        let grants = match reply {
            Reply::Grants(grants) => grants,
            _ => {
                upstream.target = next_target;
                return;
            }
        };
        match grants.into_iter().next() {
            Some(Grant::Renewed {
                lease_ms,
                version,
                slots,
            }) if version >= upstream.version => {
                if slots.is_none() && upstream.slots.is_empty() && upstream.is_leaving {
                    // All slots were drained and acknowledged: the upstream restarts as another instance.
                    upstream.is_leaving = false;
                    upstream.id = None;
                    upstream.instance += 1;
                    upstream.version = 0;
                    upstream.lease_until = 0;
                    return;
                }
                if let Some(slots) = slots {
                    upstream.slots = slots.into_iter().map(|g| (g.slot, g.fence)).collect();
                }
                upstream.version = version;
                upstream.lease_until = upstream.lease_until.max(asked_at + lease_ms);
            }
            Some(Grant::Unknown) => {
                upstream.id = None;
                upstream.instance += 1;
                upstream.version = 0;
                upstream.lease_until = 0;
                upstream.slots.clear();
            }
            _ => {}
        }
    }

    fn send_requests(&mut self) {
        for index in 0..self.routers.len() {
            let key = self.rng.random_range(0..KEYS);
            let delay = self.rng.random_range(1..40);
            let local_time = self.local_time(self.routers[index].clock_rate);
            let router = &self.routers[index];
            if router.frozen_until > self.now || router.lease_until <= local_time {
                continue;
            }
            let owner = router.table.owner(SERVICE, KeyHash::of(&key.to_string()));
            let SlotOwner::Held(o) = owner else { continue };
            let Ok((in_flight_guard, _)) = router
                .in_flight_requests
                .begin(o.upstream, router.table.version)
            else {
                continue;
            };
            let Some(upstream) = self
                .upstreams
                .iter()
                .position(|u| u.ids.contains(&o.upstream))
            else {
                continue;
            };
            let request = KeyedRequest {
                upstream,
                key,
                slot: o.slot,
                fence: o.fence,
                in_flight_guard,
            };
            self.schedule(delay, Event::Request(request));
        }
    }

    /// Runs a request at its upstream. An upstream that checks fences rejects what its grant doesn't cover.
    fn run_request(&mut self, request: KeyedRequest) {
        let upstream = &self.upstreams[request.upstream];
        if upstream.is_killed {
            return;
        }
        if upstream.frozen_until > self.now {
            // When it resumes, an upstream that checks fences rejects the request; one that doesn't would run
            // it, a known limit that docs/PROMISES.md describes and that isn't simulated.
            return;
        }
        let covered = upstream.lease_until > self.local_time(upstream.clock_rate)
            && upstream.slots.get(&request.slot) == Some(&request.fence);
        if self.config.checks_fences && !covered {
            return;
        }
        self.runs.push(RequestRun {
            // The name stays the same after another announcement, since the process does.
            upstream: upstream.name.clone(),
            key: Some(KeyHash(request.key)),
            slot: Some(request.slot),
            fence: Some(request.fence),
            service: SERVICE.to_string(),
            id: None,
            began_us: self.now * 1_000,
            ended_us: self.now * 1_000 + RUN_MS * 100,
        });
        drop(request.in_flight_guard);
    }

    fn inject_fault(&mut self) {
        if self.faults_ended {
            return;
        }
        let host_index = self.rng.random_range(0..3);
        let until = self.now + self.rng.random_range(200..6_000);
        let index = self.rng.random_range(0..self.upstreams.len());
        let router = self.rng.random_range(0..self.routers.len());
        match self.rng.random_range(0..15) {
            0 => self.hosts[host_index].replica = None,
            1 | 2 => {
                if self.hosts[host_index].replica.is_none() {
                    self.start_replica(host_index);
                }
            }
            3 => self.hosts[host_index].frozen_until = until,
            4 => self.upstreams[index].frozen_until = until,
            5 => self.routers[router].frozen_until = until,
            6 => {
                self.partitioned_links.insert((0, host_index.max(1)));
            }
            7 => self.partitioned_links.clear(),
            8 => self.upstreams[index].id = None,
            9 => self.replace_disk(host_index),
            10 => self.routers[router].partitioned_until = until,
            11 => self.upstreams[index].partitioned_until = until,
            12 | 13 => self.leave_upstream(index),
            _ => {
                let number = self.rng.random_range(2..6);
                let note = self.rng.random_range(0..3u32).to_string();
                self.propose_document(document(number, &note));
            }
        }
        if self.rng.random_bool(0.5) {
            let document = document(1, "first");
            self.install(document);
        }
        let next = self.rng.random_range(100..1_200);
        self.schedule(next, Event::Fault);
    }

    /// Makes a live upstream leave, so that its slots move while it could still serve them.
    fn leave_upstream(&mut self, index: usize) {
        let Some(id) = self.upstreams[index].id else {
            return;
        };
        for host_index in 0..3 {
            let request = LeaderRequest::Apply(Command::Leave(id));
            self.schedule(1, Event::LeaderRequest(host_index, request, Token::NoReply));
        }
        self.upstreams[index].is_leaving = true;
    }

    /// Loses the disk of a host if the other two replicas are running voters, as a cell must tolerate.
    fn replace_disk(&mut self, host_index: usize) {
        let others = (0..3).filter(|o| *o != host_index);
        let healthy = others.filter(|o| {
            let host = &self.hosts[*o];
            host.replica.as_ref().is_some_and(|replica| {
                let voters = &replica.raft().membership().voters;
                voters.contains_key(&host.id) && voters.len() == 3
            })
        });
        if healthy.count() == 2 {
            self.lose_disk(host_index);
            self.start_replica(host_index);
        }
    }

    /// Checks state machine safety: replicas with the same commit index must have the same state.
    fn check_state_machine_safety(&mut self) {
        for host in &self.hosts {
            let Some(replica) = &host.replica else {
                continue;
            };
            let index = replica.raft().commit_index();
            let state = postcard::to_stdvec(replica.state()).unwrap();
            let digest = KeyHash::of(&format!("{state:?}")).0;
            let known = self.state_digests.entry(index).or_insert(digest);
            if *known != digest {
                self.divergences += 1;
            }
        }
    }
}
