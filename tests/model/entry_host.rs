//! Entry hosts that watch the directory, and the limited processor share of replicas.

use carobreel::clock::Mono;
use carobreel::directory::model::Key;
use carobreel::directory::protocol::{DirectoryRequest, KeyCounts, Reply};
use carobreel::directory::replica::Output;
use carobreel::gateway::view::DirectoryView;
use rand::RngExt;
use rand_distr::{Distribution, Poisson};

use super::event::{Event, Purpose};
use super::{Simulation, SERVICE};

/// The time within which an acknowledged configuration must be in force by the platform's rules, in
/// milliseconds.
pub const IN_FORCE_MS: u64 = 2_500;
/// How long an entry host waits for an answer, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 1_200;
/// The delay before it searches for the leader again, in milliseconds.
const SEARCH_RETRY_MS: u64 = 300;
/// Processor time of a message, request or answer between processes, in microseconds: a leader with 64 entry
/// hosts and 334 upstreams used 136 ms a second for about 1,300 of them.
const EXCHANGE_US: f64 = 60.0;
/// Processor time of a call to an upstream and its answer, in microseconds.
const CALL_US: f64 = 100.0;
/// Processor time of a tick, in microseconds.
const TICK_US: f64 = 20.0;

/// The load of entry hosts and the processor share of replicas.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub entry_hosts: usize,
    /// The requests per second of all entry hosts together, spread evenly over the keys.
    pub requests_per_s: f64,
    /// The first of 60 adjacent keys that receive two fifths of the requests.
    pub hot_from: Option<Key>,
    /// The share of a processor that each replica has; processing takes no time if it is `None`.
    pub processor_share: Option<f64>,
}

/// The state of one entry host.
#[derive(Default)]
pub struct EntryHost {
    pub view: DirectoryView,
    attempt: u64,
    reported_at: u64,
}

impl Simulation {
    /// Returns the number of key ranges that the leader renews.
    pub fn ranges(&self) -> usize {
        let state = self.leader_state();
        state.map_or(0, |s| s.owners.values().map(|t| t.ranges.len()).sum())
    }

    /// Returns the number of entry hosts that have the newest acknowledged configuration.
    pub fn hosts_up_to_date(&self) -> usize {
        let is_new = |e: &&EntryHost| e.view.versions.config >= self.acked_version;
        self.entry_hosts.iter().filter(is_new).count()
    }

    pub(super) fn watch_directory(&mut self, n: usize) {
        let Some(leader) = self.leader() else {
            self.schedule(SEARCH_RETRY_MS, Event::Watch(n));
            return;
        };
        let counts = self.sample_requests(n);
        let host = &mut self.entry_hosts[n];
        host.attempt += 1;
        let attempt = host.attempt;
        let request = DirectoryRequest::Watch {
            host: format!("e{n}"),
            known_versions: host.view.versions,
            counts: vec![KeyCounts {
                service: SERVICE.to_string(),
                counts,
            }],
            speeds: Vec::new(),
            known_limits: host.view.limits_version,
            known_suspects: 0,
        };
        self.send_request(leader, request, Purpose::Watch(n, attempt));
        self.schedule(WATCH_TIMEOUT_MS, Event::WatchTimeout(n, attempt));
    }

    pub(super) fn handle_watch_reply(&mut self, n: usize, attempt: u64, reply: Reply) {
        if self.entry_hosts[n].attempt != attempt {
            return;
        }
        self.entry_hosts[n].attempt += 1;
        match reply {
            Reply::Update(update) => {
                let next = self.entry_hosts[n].view.updated(*update, Mono(self.now));
                self.entry_hosts[n].view = next;
                self.watch_directory(n);
            }
            _ => self.schedule(SEARCH_RETRY_MS, Event::Watch(n)),
        }
    }

    pub(super) fn give_up_watch(&mut self, n: usize, attempt: u64) {
        if self.entry_hosts[n].attempt == attempt {
            self.entry_hosts[n].attempt += 1;
            self.schedule(SEARCH_RETRY_MS, Event::Watch(n));
        }
    }

    /// Returns the number of entry hosts with an older configuration than `version`.
    pub(super) fn hosts_behind(&self, version: u64) -> usize {
        let is_behind = |e: &&EntryHost| e.view.versions.config < version;
        self.entry_hosts.iter().filter(is_behind).count()
    }

    pub(super) fn check_version(&mut self, version: u64) {
        let count = self.hosts_behind(version);
        if count > 0 {
            self.late_versions.push((version, count));
        }
    }

    /// Counts the entry hosts that still send requests to a leaving upstream when its leaving is first
    /// acknowledged.
    pub(super) fn check_drain(&mut self, upstream: usize, is_first: bool) {
        if !is_first {
            return;
        }
        let id = &self.upstreams.list[upstream].incarnation.id;
        let uses = |e: &&EntryHost| {
            e.view
                .ready_upstreams(SERVICE)
                .iter()
                .any(|u| u.incarnation.id == *id)
        };
        self.uninformed_hosts += self.entry_hosts.iter().filter(uses).count();
    }

    /// Draws the requests that an entry host received since its last report.
    fn sample_requests(&mut self, n: usize) -> Vec<(Key, u32)> {
        let since = self.now - std::mem::replace(&mut self.entry_hosts[n].reported_at, self.now);
        let rate = self.load.requests_per_s / self.load.entry_hosts as f64;
        let mean = rate * since as f64 / 1_000.0;
        let Ok(requests) = Poisson::new(mean) else {
            return Vec::new();
        };
        let count = requests.sample(&mut self.rng) as u32;
        let mut draw = || match self.load.hot_from {
            Some(from) if self.rng.random_range(0..5) < 2 => from + self.rng.random_range(0..60),
            _ => self.rng.random(),
        };
        (0..count).map(|_| (draw(), 1)).collect()
    }

    /// Queues an event for the processor of replica `n`.
    pub(super) fn enqueue(&mut self, n: usize, event: Event) {
        let is_idle = self.nodes[n].backlog.is_empty();
        self.nodes[n].backlog.push_back(event);
        if is_idle {
            let free_at = self.nodes[n].busy_until_us.div_ceil(1_000);
            self.schedule(free_at.saturating_sub(self.now), Event::RunBacklog(n));
        }
    }

    /// Processes queued events until the processor is busy beyond the current millisecond.
    pub(super) fn run_backlog(&mut self, n: usize) {
        while self.nodes[n].busy_until_us <= self.now * 1_000 {
            let Some(event) = self.nodes[n].backlog.pop_front() else {
                return;
            };
            let cost_us = match &event {
                Event::Tick(_) => TICK_US,
                _ => EXCHANGE_US,
            };
            self.charge(n, cost_us);
            self.process(event);
        }
        if !self.nodes[n].backlog.is_empty() {
            let free_at = self.nodes[n].busy_until_us.div_ceil(1_000);
            self.schedule(free_at.saturating_sub(self.now), Event::RunBacklog(n));
        }
    }

    fn charge(&mut self, n: usize, cost_us: f64) {
        let Some(share) = self.load.processor_share else {
            return;
        };
        let busy = &mut self.nodes[n].busy_until_us;
        *busy = (*busy).max(self.now * 1_000) + (cost_us / share) as u64;
    }

    /// Charges the processor time of a replica's output.
    pub(super) fn charge_output(&mut self, n: usize, output: &Output<u64>) {
        let exchanges = output.replies.len() + output.messages.len();
        let cost_us = exchanges as f64 * EXCHANGE_US + output.calls.len() as f64 * CALL_US;
        self.charge(n, cost_us);
    }
}
