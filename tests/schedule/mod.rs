//! Seeded schedules over the decision code: drops, delays, repeats, restarts, lost disks, freezes
//! and cuts, with small fakes for network, disk and clocks.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use carobreel::cell::ask::{Ask, Heartbeat, Join, Renewal, Reply};
use carobreel::cell::ownership::{Grant, Home, LeaseTiming};
use carobreel::cell::replica::{Output, Place, Replica, Start};
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
const USE_EVERY_MS: u64 = 20;
const KEYS: u64 = 24;
const RUN_MS: u64 = 15;

/// What a schedule is allowed to do, and how the leases are set.
#[derive(Clone, Debug)]
pub struct Plan {
    pub lease: LeaseTiming,
    pub length_ms: u64,
    pub upstreams: usize,
    pub routers: usize,
    pub checks_fences: bool,
    pub faults: bool,
    /// A lost disk comes back under its old identity: the broken variant.
    pub keep_identity: bool,
    pub drift: f64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            lease: LeaseTiming {
                lease_ms: 2_000,
                grant_hold_ms: 2_200,
                route_hold_ms: 2_200,
            },
            length_ms: 20_000,
            upstreams: 4,
            routers: 3,
            checks_fences: true,
            faults: true,
            keep_identity: false,
            drift: 0.04,
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

    fn wants_snapshot(&self) -> bool {
        self.0.borrow().entries.len() > 60
    }
}

type Node = Replica<MemStore, Token>;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    Router { place: usize, asked: u64 },
    Upstream { place: usize, asked: u64 },
    Announce { place: usize },
    Document { number: u64, digest: u64 },
    Join,
}

enum Event {
    Raft(Message),
    Ask(usize, Ask, Token),
    Reply(usize, Token, Reply),
    Request(Use),
    Fault,
}

struct Use {
    upstream: usize,
    key: u64,
    slot: SlotId,
    fence: u64,
    flight: InFlightGuard,
}

struct Host {
    node: Option<Node>,
    disk: Rc<RefCell<Disk>>,
    id: ReplicaId,
    frozen_until: u64,
}

struct RouterFake {
    id: RouterId,
    table: RoutingTable,
    flights: InFlightRequests,
    lease_until: u64,
    ask_at: u64,
    target: usize,
    frozen_until: u64,
    cut_until: u64,
    rate: f64,
}

struct UpstreamFake {
    name: String,
    instance: u64,
    id: Option<UpstreamId>,
    /// All ids that it ever had: its address stays the same.
    ids: BTreeSet<UpstreamId>,
    version: u64,
    lease_until: u64,
    slots: BTreeMap<SlotId, u64>,
    ask_at: u64,
    target: usize,
    frozen_until: u64,
    cut_until: u64,
    is_lost: bool,
    is_leaving: bool,
    rate: f64,
}

/// One schedule.
pub struct World {
    pub now: u64,
    pub runs: Vec<RequestRun>,
    pub accepted: BTreeMap<u64, BTreeSet<u64>>,
    pub disagreements: usize,
    pub trace: bool,
    plan: Plan,
    rng: Pcg64Mcg,
    hosts: Vec<Host>,
    routers: Vec<RouterFake>,
    upstreams: Vec<UpstreamFake>,
    queue: BTreeMap<(u64, u64), Event>,
    serial: u64,
    cut: BTreeSet<(usize, usize)>,
    applied: BTreeMap<u64, u64>,
    next_id: u64,
    healed: bool,
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

impl World {
    pub fn new(seed: u64, plan: Plan) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let founders: BTreeMap<ReplicaId, String> = (0..3)
            .map(|n| (ReplicaId(n + 1), format!("c{n}")))
            .collect();
        let membership = Membership {
            voters: founders,
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
                Host {
                    node: None,
                    disk: Rc::new(RefCell::new(disk)),
                    id: ReplicaId(n + 1),
                    frozen_until: 0,
                }
            })
            .collect();
        let drift = plan.drift;
        let mut rate = || 1.0 + rng.random_range(-drift..=drift);
        let routers = (0..plan.routers).map(|n| RouterFake {
            id: RouterId {
                host: format!("e{n}"),
                instance: 1,
            },
            table: RoutingTable::default(),
            flights: InFlightRequests::default(),
            lease_until: 0,
            ask_at: 0,
            target: 0,
            frozen_until: 0,
            cut_until: 0,
            rate: rate(),
        });
        let routers = routers.collect();
        let upstreams = (0..plan.upstreams).map(|n| UpstreamFake {
            name: format!("{SERVICE}-{n}"),
            instance: 1,
            id: None,
            ids: BTreeSet::new(),
            version: 0,
            lease_until: 0,
            slots: BTreeMap::new(),
            ask_at: 0,
            target: 0,
            frozen_until: 0,
            cut_until: 0,
            is_lost: false,
            is_leaving: false,
            rate: rate(),
        });
        let upstreams = upstreams.collect();
        let mut world = World {
            now: 0,
            runs: Vec::new(),
            accepted: BTreeMap::new(),
            disagreements: 0,
            trace: false,
            plan,
            rng,
            hosts,
            routers,
            upstreams,
            queue: BTreeMap::new(),
            serial: 0,
            cut: BTreeSet::new(),
            applied: BTreeMap::new(),
            next_id: 100,
            healed: false,
        };
        for n in 0..3 {
            world.start(n);
        }
        world
    }

    /// Runs the schedule with faults, then heals everything and runs on.
    pub fn run(&mut self) {
        if self.plan.faults {
            self.push(3_000, Event::Fault);
        }
        self.run_until(self.plan.length_ms);
        self.heal();
        self.run_until(self.plan.length_ms + 10_000);
    }

    pub fn run_until(&mut self, end: u64) {
        while self.now < end && self.disagreements == 0 {
            self.now += TICK_MS;
            self.step();
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.healed = true;
        self.cut.clear();
        for n in 0..self.hosts.len() {
            self.hosts[n].frozen_until = 0;
            if self.hosts[n].node.is_none() {
                self.start(n);
            }
        }
        for router in &mut self.routers {
            router.frozen_until = 0;
            router.cut_until = 0;
        }
        for upstream in &mut self.upstreams {
            upstream.frozen_until = 0;
            upstream.cut_until = 0;
        }
    }

    /// Returns the leader's replica.
    pub fn leader(&self) -> Option<&Node> {
        let nodes = self.hosts.iter().filter_map(|h| h.node.as_ref());
        nodes.filter(|n| n.leads()).max_by_key(|n| n.raft().term())
    }

    pub fn lose_upstream(&mut self, place: usize) {
        self.upstreams[place].is_lost = true;
    }

    pub fn lose_router(&mut self, place: usize) {
        self.routers[place].frozen_until = u64::MAX;
    }

    pub fn freeze_leader(&mut self, for_ms: u64) -> usize {
        let place = self.leader_place().expect("a leader");
        self.hosts[place].frozen_until = self.now + for_ms;
        place
    }

    pub fn kill_host(&mut self, place: usize) {
        self.hosts[place].node = None;
    }

    pub fn start_host(&mut self, place: usize, lost_disk: bool) {
        if lost_disk {
            self.lose_disk(place);
        }
        self.start(place);
    }

    pub fn leader_place(&self) -> Option<usize> {
        let leads = |h: &Host| h.node.as_ref().is_some_and(|n| n.leads());
        let term = |h: &Host| h.node.as_ref().map_or(0, |n| n.raft().term());
        let places = 0..self.hosts.len();
        places
            .filter(|p| leads(&self.hosts[*p]))
            .max_by_key(|p| term(&self.hosts[*p]))
    }

    /// Returns for each key whether some router in service would send it to a live upstream.
    pub fn served_keys(&self) -> usize {
        let router = self
            .routers
            .iter()
            .find(|r| r.frozen_until <= self.now && r.lease_until > self.local(r.rate));
        let Some(router) = router else { return 0 };
        let served = |key: u64| match router.table.owner(SERVICE, KeyHash::of(&key.to_string())) {
            SlotOwner::Held(o) => self
                .upstreams
                .iter()
                .any(|u| u.id == Some(o.upstream) && !u.is_lost && u.frozen_until <= self.now),
            SlotOwner::Unassigned => false,
        };
        (0..KEYS).filter(|k| served(*k)).count()
    }

    pub fn keys(&self) -> usize {
        KEYS as usize
    }

    pub fn operate(&mut self, document: Document) {
        let place = self.rng.random_range(0..3);
        let token = Token::Document {
            number: document.number,
            digest: document.digest(),
        };
        let decide = Ask::Apply(Command::Decide(document.clone()));
        self.push(1, Event::Ask(place, decide, token));
    }

    pub fn install(&mut self, document: Document) {
        for place in 0..3 {
            let ask = Ask::Apply(Command::Install(document.clone()));
            self.push(1, Event::Ask(place, ask, Token::Join));
        }
    }

    fn local(&self, rate: f64) -> u64 {
        (self.now as f64 * rate) as u64
    }

    fn push(&mut self, delay_ms: u64, event: Event) {
        self.serial += 1;
        self.queue.insert((self.now + delay_ms, self.serial), event);
    }

    fn delay(&mut self) -> u64 {
        if self.plan.faults && !self.healed && self.rng.random_bool(0.03) {
            return self.rng.random_range(100..1_500);
        }
        self.rng.random_range(1..15)
    }

    fn is_dropped(&mut self) -> bool {
        self.plan.faults && !self.healed && self.rng.random_bool(0.02)
    }

    fn start(&mut self, n: usize) {
        let host = &self.hosts[n];
        let disk = host.disk.borrow().clone();
        let place = Place {
            cell: "norte".to_string(),
            host: format!("c{n}"),
            home: Home {
                region: 0,
                regions: 1,
            },
            raft: Timing {
                heartbeat_ms: 100,
                election_ms: 500,
                reserve_ms: if n == 2 { 1_000 } else { 0 },
            },
            lease: self.plan.lease,
        };
        let start = Start {
            id: host.id,
            hard: disk.hard,
            log: Log::new(disk.snapshot, disk.entries),
            seed: self.rng.random(),
        };
        let store = MemStore(host.disk.clone());
        let node = Replica::open(place, store, start, Mono(self.now));
        self.hosts[n].node = Some(node);
    }

    fn lose_disk(&mut self, n: usize) {
        self.hosts[n].disk = Rc::default();
        if !self.plan.keep_identity {
            self.hosts[n].id = ReplicaId(self.next_id);
            self.next_id += 1;
        }
    }

    fn step(&mut self) {
        for n in 0..self.hosts.len() {
            if self.hosts[n].frozen_until > self.now {
                continue;
            }
            let now = Mono(self.now);
            if let Some(node) = &mut self.hosts[n].node {
                let output = node.tick(now).unwrap();
                self.finish(n, output);
            }
            self.join(n);
        }
        while let Some((key, _)) = self.queue.first_key_value() {
            if key.0 > self.now {
                break;
            }
            let Some((_, event)) = self.queue.pop_first() else {
                break;
            };
            self.take(event);
        }
        self.holders();
        if self.now % USE_EVERY_MS == 0 {
            self.use_keys();
        }
        self.check_agreement();
    }

    /// Lets a replica without a vote ask for a place, as the daemon does.
    fn join(&mut self, n: usize) {
        if self.now % 500 != 0 {
            return;
        }
        let host = format!("c{n}");
        let id = self.hosts[n].id;
        let Some(node) = &self.hosts[n].node else {
            return;
        };
        let voters = &node.raft().membership().voters;
        let others = voters.iter().filter(|(v, h)| **h == host && **v != id);
        if voters.contains_key(&id) && others.count() == 0 {
            return;
        }
        if voters.is_empty() && self.now < 1_500 {
            return;
        }
        for to in (0..3).filter(|to| *to != n) {
            let join = Ask::Join(Join {
                replica: id,
                host: host.clone(),
            });
            self.push(5, Event::Ask(to, join, Token::Join));
        }
    }

    fn finish(&mut self, n: usize, output: Output<Token>) {
        if self.trace {
            for event in &output.events {
                println!("{} c{n} {event:?}", self.now);
            }
        }
        for msg in output.messages {
            if self.is_dropped() {
                continue;
            }
            if self.plan.faults && self.rng.random_bool(0.01) {
                let delay = self.delay();
                self.push(delay, Event::Raft(msg.clone()));
            }
            let delay = self.delay();
            self.push(delay, Event::Raft(msg));
        }
        for (token, reply) in output.replies {
            if self.is_dropped() {
                continue;
            }
            let delay = self.delay();
            self.push(delay, Event::Reply(n, token, reply));
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Raft(msg) => self.deliver(msg),
            Event::Ask(n, ask, token) => {
                let host = &mut self.hosts[n];
                if host.frozen_until > self.now {
                    let until = host.frozen_until - self.now;
                    if until < 20_000 {
                        self.push(until, Event::Ask(n, ask, token));
                    }
                    return;
                }
                if let Some(node) = &mut host.node {
                    let output = node.ask(vec![(ask, token)], Mono(self.now)).unwrap();
                    self.finish(n, output);
                }
            }
            Event::Reply(n, token, reply) => self.answer(n, token, reply),
            Event::Request(request) => self.serve(request),
            Event::Fault => self.fault(),
        }
    }

    fn deliver(&mut self, msg: Message) {
        let from = self.hosts.iter().position(|h| h.id == msg.from);
        let Some(to) = self.hosts.iter().position(|h| h.id == msg.to) else {
            return;
        };
        if let Some(from) = from {
            if self.cut.contains(&(from.min(to), from.max(to))) {
                return;
            }
        }
        if self.hosts[to].frozen_until > self.now {
            let until = self.hosts[to].frozen_until - self.now;
            if until < 20_000 {
                self.push(until, Event::Raft(msg));
            }
            return;
        }
        if let Some(node) = &mut self.hosts[to].node {
            let output = node.receive(vec![msg], Mono(self.now)).unwrap();
            self.finish(to, output);
        }
    }

    /// Routing leases and grants, as their holders ask for them.
    fn holders(&mut self) {
        for place in 0..self.routers.len() {
            let router = &mut self.routers[place];
            let away = router.frozen_until.max(router.cut_until) > self.now;
            if away || self.now < router.ask_at {
                continue;
            }
            router.ask_at = self.now + 200;
            let asked = (self.now as f64 * router.rate) as u64;
            let ask = Ask::Renew(Renewal {
                router: router.id.clone(),
                have: router.table.version,
                drained: router.flights.drained(),
                loads: Vec::new(),
            });
            let target = router.target;
            let delay = self.delay();
            self.push(
                delay,
                Event::Ask(target, ask, Token::Router { place, asked }),
            );
        }
        for place in 0..self.upstreams.len() {
            let checks = self.plan.checks_fences;
            let upstream = &mut self.upstreams[place];
            let away = upstream.frozen_until.max(upstream.cut_until) > self.now;
            if upstream.is_lost || away || self.now < upstream.ask_at {
                continue;
            }
            upstream.ask_at = self.now + HEARTBEAT_EVERY_MS;
            let asked = (self.now as f64 * upstream.rate) as u64;
            let (ask, token) = match upstream.id {
                Some(id) => (
                    Ask::Heartbeats(vec![Heartbeat {
                        upstream: id,
                        acked: upstream.version,
                    }]),
                    Token::Upstream { place, asked },
                ),
                None => (
                    Ask::Apply(Command::Announce(announcement(
                        &upstream.name,
                        upstream.instance,
                        checks,
                    ))),
                    Token::Announce { place },
                ),
            };
            let target = upstream.target;
            let delay = self.delay();
            self.push(delay, Event::Ask(target, ask, token));
        }
    }

    fn answer(&mut self, from: usize, token: Token, reply: Reply) {
        let other = (from + 1) % 3;
        match token {
            Token::Router { place, asked } => {
                let now = self.now;
                let router = &mut self.routers[place];
                if router.frozen_until.max(router.cut_until) > now {
                    return;
                }
                match reply {
                    Reply::Renewed(renewed) => {
                        router.ask_at = now;
                        let table = router.table.clone();
                        if renewed.update.to != table.version {
                            let owners: Vec<UpstreamId> = table.upstreams.keys().copied().collect();
                            if router.table.apply(renewed.update).is_err() {
                                router.table = table;
                                return;
                            }
                            router.flights.advance(router.table.version, &owners);
                        }
                        let until = asked + renewed.lease_ms;
                        router.lease_until = router.lease_until.max(until);
                    }
                    _ => router.target = other,
                }
            }
            Token::Upstream { place, asked } => self.grant(place, asked, reply, other),
            Token::Announce { place } => match reply {
                Reply::Applied(Outcome::Announced(id)) => {
                    self.upstreams[place].id = Some(id);
                    self.upstreams[place].ids.insert(id);
                    self.upstreams[place].ask_at = self.now;
                }
                _ => self.upstreams[place].target = other,
            },
            Token::Document { number, digest } => {
                if reply == Reply::Applied(Outcome::Done) {
                    self.accepted.entry(number).or_default().insert(digest);
                }
            }
            Token::Join => {}
        }
    }

    fn grant(&mut self, place: usize, asked: u64, reply: Reply, other: usize) {
        let upstream = &mut self.upstreams[place];
        if upstream.frozen_until.max(upstream.cut_until) > self.now {
            return;
        }
        let grants = match reply {
            Reply::Grants(grants) => grants,
            _ => {
                upstream.target = other;
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
                    // It was drained and said so: it starts again as another instance.
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
                upstream.lease_until = upstream.lease_until.max(asked + lease_ms);
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

    fn use_keys(&mut self) {
        for place in 0..self.routers.len() {
            let key = self.rng.random_range(0..KEYS);
            let delay = self.rng.random_range(1..40);
            let local = self.local(self.routers[place].rate);
            let router = &self.routers[place];
            if router.frozen_until > self.now || router.lease_until <= local {
                continue;
            }
            let owner = router.table.owner(SERVICE, KeyHash::of(&key.to_string()));
            let SlotOwner::Held(o) = owner else { continue };
            let Ok((flight, _)) = router.flights.begin(o.upstream, router.table.version) else {
                continue;
            };
            let Some(upstream) = self
                .upstreams
                .iter()
                .position(|u| u.ids.contains(&o.upstream))
            else {
                continue;
            };
            let request = Use {
                upstream,
                key,
                slot: o.slot,
                fence: o.fence,
                flight,
            };
            self.push(delay, Event::Request(request));
        }
    }

    /// Runs a request at its upstream; one that checks fences refuses what its grant doesn't cover.
    fn serve(&mut self, request: Use) {
        let upstream = &self.upstreams[request.upstream];
        if upstream.is_lost {
            return;
        }
        if upstream.frozen_until > self.now {
            // An upstream that checks nothing would run this when it returns: the hole that
            // docs/PROMISES.md names. One that checks refuses it then.
            return;
        }
        let covered = upstream.lease_until > self.local(upstream.rate)
            && upstream.slots.get(&request.slot) == Some(&request.fence);
        if self.plan.checks_fences && !covered {
            return;
        }
        self.runs.push(RequestRun {
            // Announcing again doesn't make it another server: the process is the same.
            upstream: upstream.name.clone(),
            key: Some(KeyHash(request.key)),
            slot: Some(request.slot),
            fence: Some(request.fence),
            service: SERVICE.to_string(),
            id: None,
            began_us: self.now * 1_000,
            ended_us: self.now * 1_000 + RUN_MS * 100,
        });
        drop(request.flight);
    }

    fn fault(&mut self) {
        if self.healed {
            return;
        }
        let n = self.rng.random_range(0..3);
        let frozen = self.now + self.rng.random_range(200..6_000);
        let place = self.rng.random_range(0..self.upstreams.len());
        let router = self.rng.random_range(0..self.routers.len());
        match self.rng.random_range(0..15) {
            0 => self.hosts[n].node = None,
            1 | 2 => {
                if self.hosts[n].node.is_none() {
                    self.start(n);
                }
            }
            3 => self.hosts[n].frozen_until = frozen,
            4 => self.upstreams[place].frozen_until = frozen,
            5 => self.routers[router].frozen_until = frozen,
            6 => {
                self.cut.insert((0, n.max(1)));
            }
            7 => self.cut.clear(),
            8 => self.upstreams[place].id = None,
            9 => self.replace_disk(n),
            10 => self.routers[router].cut_until = frozen,
            11 => self.upstreams[place].cut_until = frozen,
            12 | 13 => self.leave(place),
            _ => {
                let number = self.rng.random_range(2..6);
                let note = self.rng.random_range(0..3u32).to_string();
                self.operate(document(number, &note));
            }
        }
        if self.rng.random_bool(0.5) {
            let document = document(1, "first");
            self.install(document);
        }
        let next = self.rng.random_range(100..1_200);
        self.push(next, Event::Fault);
    }

    /// A live upstream asks for no new work, so that its slots move while it could still serve.
    fn leave(&mut self, place: usize) {
        let Some(id) = self.upstreams[place].id else {
            return;
        };
        for n in 0..3 {
            let ask = Ask::Apply(Command::Leave(id));
            self.push(1, Event::Ask(n, ask, Token::Join));
        }
        self.upstreams[place].is_leaving = true;
    }

    /// Loses a disk, as long as the others are voters that are up: what the cell must bear.
    fn replace_disk(&mut self, n: usize) {
        let others = (0..3).filter(|o| *o != n);
        let healthy = others.filter(|o| {
            let host = &self.hosts[*o];
            host.node.as_ref().is_some_and(|node| {
                let voters = &node.raft().membership().voters;
                voters.contains_key(&host.id) && voters.len() == 3
            })
        });
        if healthy.count() == 2 {
            self.lose_disk(n);
            self.start(n);
        }
    }

    /// State machine safety: replicas that applied the same entries hold the same state.
    fn check_agreement(&mut self) {
        for host in &self.hosts {
            let Some(node) = &host.node else { continue };
            let index = node.raft().commit_index();
            let state = postcard::to_stdvec(node.state()).unwrap();
            let digest = KeyHash::of(&format!("{state:?}")).0;
            let known = self.applied.entry(index).or_insert(digest);
            if *known != digest {
                self.disagreements += 1;
            }
        }
    }
}
