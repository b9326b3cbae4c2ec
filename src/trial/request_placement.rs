//! Compares strategies by which many entry hosts place requests that any upstream may run, in a
//! seeded simulation without a network.
//!
//! With hundreds of entry hosts, each host sees only a few requests, and upstreams differ in speed.
//! Each simulated entry host uses the same [`UpstreamLoad`] as the gateway.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::clock::Mono;
use crate::directory::speeds::Speeds;
use crate::gateway::balance::{choose, ProcessingMean, UpstreamLoad};

/// Warm-up time that the measurements leave out, in milliseconds; hosts have no load data yet.
const WARM_UP_MS: u64 = 6_000;
/// Interval between reports of speeds to the directory, in milliseconds.
const SPEED_REPORT_INTERVAL_MS: u64 = 400;
/// Standard deviation of the logarithm of the work time.
const WORK_LOG_DEVIATION: f64 = 0.47;
/// Initial estimate of the work time of a request, in milliseconds.
const INITIAL_WORK_MS: f64 = 90.0;
/// Number of availability zones. Hosts are assigned to them round-robin, upstreams in groups of three.
const ZONES: usize = 8;

/// A strategy for placing requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestPlacementStrategy {
    /// A random upstream.
    Random,
    /// The upstream with the fewest outstanding requests of this host.
    LeastOutstanding,
    /// The better of two random upstreams, by this host's estimate.
    TwoChoices,
    /// The best upstream by this host's estimate, with speeds that the host measured itself.
    OwnEstimate,
    /// Like `OwnEstimate`, with speeds that all hosts measured together.
    SharedSpeeds,
    /// The best of three upstreams drawn at random, weighted by the speeds that all hosts measured
    /// together.
    DrawnBySpeed,
    /// One host in each availability zone places the requests of all hosts there, and only on the
    /// upstreams there.
    HostOfZone,
    /// One queue for all requests with knowledge of every slot: the lower bound of the wait.
    OneQueue,
}

/// All strategies.
pub const REQUEST_PLACEMENT_STRATEGIES: [RequestPlacementStrategy; 8] = [
    RequestPlacementStrategy::Random,
    RequestPlacementStrategy::LeastOutstanding,
    RequestPlacementStrategy::TwoChoices,
    RequestPlacementStrategy::OwnEstimate,
    RequestPlacementStrategy::SharedSpeeds,
    RequestPlacementStrategy::DrawnBySpeed,
    RequestPlacementStrategy::HostOfZone,
    RequestPlacementStrategy::OneQueue,
];

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RequestPlacementScenario {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Requests that an upstream runs at once.
    pub slots: u32,
    /// Maximum number of requests waiting at an upstream.
    pub waiting_max: usize,
    /// Requests per second over all hosts.
    pub per_s: f64,
    /// Mean work time of a request at an upstream of speed 1, in milliseconds.
    pub work_ms: f64,
    /// Speeds of the upstreams, assigned round-robin.
    pub speeds: [f64; 3],
    /// Time within which a request should be answered, in milliseconds.
    pub objective_ms: f64,
    /// Time during which requests arrive, in milliseconds.
    pub length_ms: u64,
    /// Seed of the simulation.
    pub seed: u64,
}

/// The measurements of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// Mean wait before the work begins, in milliseconds.
    pub wait_ms: f64,
    /// Median time to the answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to the answer, in milliseconds.
    pub p99_ms: f64,
    /// Share of the requests answered within the objective.
    pub in_time: f64,
    /// Work time of the busiest upstream divided by the mean.
    pub busiest: f64,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    host: usize,
    sent_ms: f64,
    load_when_sent: f64,
    work_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct SimulatedUpstream {
    speed: f64,
    running: u32,
    waiting: VecDeque<Job>,
    busy_ms: f64,
}

/// Time in microseconds, sequence number for ties, and the upstream that completes a job, or `None`
/// for an arrival.
type ScheduledEvent = Reverse<(u64, u64, Option<usize>)>;

struct Simulation {
    strategy: RequestPlacementStrategy,
    scenario: RequestPlacementScenario,
    rng: Pcg64Mcg,
    upstreams: Vec<SimulatedUpstream>,
    running: BTreeMap<u64, Job>,
    upstream_loads: Vec<Vec<UpstreamLoad>>,
    /// Each host's estimate of the mean work time.
    work_means: Vec<ProcessingMean>,
    shared_speeds: Speeds,
    slowness: BTreeMap<String, f64>,
    shared_at: Mono,
    queue: BinaryHeap<ScheduledEvent>,
    sequence: u64,
    now_ms: f64,
    waits_ms: Vec<f64>,
    answers_ms: Vec<f64>,
    refused: u64,
    backlog: VecDeque<Job>,
}

/// Simulates one strategy.
///
/// # Examples
///
/// ```
/// use carobreel::trial::request_placement::{run, RequestPlacementStrategy, RequestPlacementScenario};
///
/// let scenario = RequestPlacementScenario {
///     hosts: 4,
///     upstreams: 6,
///     slots: 3,
///     waiting_max: 12,
///     per_s: 25.0,
///     work_ms: 420.0,
///     speeds: [0.7, 0.7, 1.6],
///     objective_ms: 1_500.0,
///     length_ms: 12_000,
///     seed: 1,
/// };
/// let bound = run(RequestPlacementStrategy::OneQueue, &scenario);
/// assert!(bound.wait_ms <= run(RequestPlacementStrategy::Random, &scenario).wait_ms);
/// ```
pub fn run(strategy: RequestPlacementStrategy, scenario: &RequestPlacementScenario) -> Outcome {
    let s = *scenario;
    let upstream = |n: usize| SimulatedUpstream {
        speed: s.speeds[n % s.speeds.len()],
        ..SimulatedUpstream::default()
    };
    let load = UpstreamLoad::new(s.slots, INITIAL_WORK_MS);
    let mut simulation = Simulation {
        strategy,
        scenario: s,
        rng: Pcg64Mcg::seed_from_u64(s.seed),
        upstreams: (0..s.upstreams).map(upstream).collect(),
        running: BTreeMap::new(),
        upstream_loads: vec![vec![load; s.upstreams]; s.hosts],
        work_means: vec![ProcessingMean::default(); s.hosts],
        shared_speeds: Speeds::default(),
        slowness: BTreeMap::new(),
        shared_at: Mono(0),
        queue: BinaryHeap::new(),
        sequence: 0,
        now_ms: 0.0,
        waits_ms: Vec::new(),
        answers_ms: Vec::new(),
        refused: 0,
        backlog: VecDeque::new(),
    };
    simulation.schedule(0.0, None);
    simulation.process_events();
    simulation.outcome()
}

impl Simulation {
    fn process_events(&mut self) {
        let gap = Exp::new(self.scenario.per_s / 1_000.0).expect("the rate is above 0");
        while let Some(Reverse((at_us, sequence, upstream))) = self.queue.pop() {
            self.now_ms = at_us as f64 / 1_000.0;
            if let Some(upstream) = upstream {
                self.finish(upstream, sequence);
            } else if self.now_ms < self.scenario.length_ms as f64 {
                self.handle_arrival();
                let next = gap.sample(&mut self.rng);
                self.schedule(next, None);
            }
        }
    }

    fn now(&self) -> Mono {
        // A load estimate takes time 0 for "never".
        Mono(self.now_ms as u64 + 1)
    }

    fn schedule(&mut self, after_ms: f64, upstream: Option<usize>) -> u64 {
        self.sequence += 1;
        let at_us = ((self.now_ms + after_ms) * 1_000.0) as u64;
        self.queue.push(Reverse((at_us, self.sequence, upstream)));
        self.sequence
    }

    fn handle_arrival(&mut self) {
        self.update_shared_speeds();
        let host = self.rng.random_range(0..self.scenario.hosts);
        let host = match self.strategy {
            RequestPlacementStrategy::HostOfZone => host % ZONES,
            _ => host,
        };
        let work_factor = LogNormal::new(
            -WORK_LOG_DEVIATION * WORK_LOG_DEVIATION / 2.0,
            WORK_LOG_DEVIATION,
        );
        let work_factor = work_factor.expect("the deviation is valid");
        let job = Job {
            host,
            sent_ms: self.now_ms,
            load_when_sent: 0.0,
            work_ms: self.scenario.work_ms * work_factor.sample(&mut self.rng),
        };
        if self.strategy == RequestPlacementStrategy::OneQueue {
            self.backlog.push_back(job);
            self.serve_backlog();
            return;
        }
        let chosen = self.choose_upstream(host);
        let now = self.now();
        let load = &mut self.upstream_loads[host][chosen];
        load.own_in_flight += 1;
        let job = Job {
            load_when_sent: load.estimated_in_flight(now),
            ..job
        };
        self.enqueue(chosen, job);
    }

    fn choose_upstream(&mut self, host: usize) -> usize {
        let count = self.scenario.upstreams;
        let now = self.now();
        let rng = &mut self.rng;
        match self.strategy {
            RequestPlacementStrategy::Random | RequestPlacementStrategy::OneQueue => {
                rng.random_range(0..count)
            }
            RequestPlacementStrategy::LeastOutstanding => {
                let from = rng.random_range(0..count);
                let upstream_loads = &self.upstream_loads[host];
                let candidates = (0..count).map(|n| (from + n) % count);
                candidates
                    .min_by_key(|n| upstream_loads[*n].own_in_flight)
                    .unwrap_or(from)
            }
            RequestPlacementStrategy::TwoChoices => {
                let (a, b) = (rng.random_range(0..count), rng.random_range(0..count));
                let answer_ms = |n: usize| self.upstream_loads[host][n].expected_ms(now);
                if answer_ms(a) <= answer_ms(b) {
                    a
                } else {
                    b
                }
            }
            RequestPlacementStrategy::DrawnBySpeed => {
                let mean_ms = self.work_means[host].mean_ms().unwrap_or(INITIAL_WORK_MS);
                let slowness: Vec<f64> = (0..count)
                    .map(|n| self.slowness.get(&n.to_string()).copied().unwrap_or(1.0))
                    .collect();
                let total: f64 = slowness.iter().map(|s| 1.0 / s).sum();
                let mut best: Option<(f64, usize)> = None;
                for _ in 0..3 {
                    let mut remaining_weight = rng.random_range(0.0..total);
                    let mut drawn = count - 1;
                    for (n, s) in slowness.iter().enumerate() {
                        remaining_weight -= 1.0 / s;
                        if remaining_weight <= 0.0 {
                            drawn = n;
                            break;
                        }
                    }
                    let load = &mut self.upstream_loads[host][drawn];
                    load.set_service_mean_ms(mean_ms * slowness[drawn]);
                    let ms = load.expected_ms(now);
                    if best.is_none_or(|(other, _)| ms < other) {
                        best = Some((ms, drawn));
                    }
                }
                best.map_or(0, |(_, n)| n)
            }
            RequestPlacementStrategy::HostOfZone => {
                let mean_ms = self.work_means[host].mean_ms().unwrap_or(INITIAL_WORK_MS);
                let zone = host % ZONES;
                let upstream_loads = self.upstream_loads[zone].iter_mut().enumerate();
                let own_zone = upstream_loads.filter(|(n, _)| n / 3 % ZONES == zone);
                choose_best(own_zone, |_| mean_ms, now, rng)
            }
            RequestPlacementStrategy::OwnEstimate | RequestPlacementStrategy::SharedSpeeds => {
                let mean_ms = self.work_means[host].mean_ms().unwrap_or(INITIAL_WORK_MS);
                let slowness = &self.slowness;
                let mean_of = |n: usize| {
                    let slowness = slowness.get(&n.to_string()).copied();
                    mean_ms * slowness.unwrap_or(1.0)
                };
                let upstream_loads = self.upstream_loads[host].iter_mut().enumerate();
                choose_best(upstream_loads, mean_of, now, rng)
            }
        }
    }

    /// Updates the speeds that the directory distributes, at the same interval as the directory.
    fn update_shared_speeds(&mut self) {
        let now = self.now();
        let elapsed_ms = now.since(self.shared_at);
        if !matches!(
            self.strategy,
            RequestPlacementStrategy::SharedSpeeds | RequestPlacementStrategy::DrawnBySpeed
        ) || elapsed_ms < SPEED_REPORT_INTERVAL_MS
        {
            return;
        }
        self.shared_at = now;
        self.shared_speeds.decay(elapsed_ms);
        let ids: Vec<String> = (0..self.scenario.upstreams)
            .map(|n| n.to_string())
            .collect();
        self.slowness = self.shared_speeds.slowness(&ids);
    }

    fn enqueue(&mut self, n: usize, job: Job) {
        let upstream = &mut self.upstreams[n];
        if upstream.running < self.scenario.slots {
            self.start(n, job);
        } else if upstream.waiting.len() < self.scenario.waiting_max {
            upstream.waiting.push_back(job);
        } else {
            self.refused += 1;
            let load = &mut self.upstream_loads[job.host][n];
            load.own_in_flight -= 1;
        }
    }

    fn start(&mut self, n: usize, job: Job) {
        let upstream = &mut self.upstreams[n];
        upstream.running += 1;
        let duration_ms = job.work_ms / upstream.speed;
        upstream.busy_ms += duration_ms;
        if self.now_ms >= WARM_UP_MS as f64 {
            self.waits_ms.push(self.now_ms - job.sent_ms);
        }
        let sequence = self.schedule(duration_ms, Some(n));
        self.running.insert(sequence, job);
    }

    fn finish(&mut self, n: usize, sequence: u64) {
        let Some(job) = self.running.remove(&sequence) else {
            return;
        };
        let upstream = &mut self.upstreams[n];
        upstream.running -= 1;
        let next = upstream.waiting.pop_front();
        if let Some(next) = next {
            self.start(n, next);
        }
        let took_ms = self.now_ms - job.sent_ms;
        if job.sent_ms >= WARM_UP_MS as f64 {
            self.answers_ms.push(took_ms);
        }
        if self.strategy == RequestPlacementStrategy::OneQueue {
            self.serve_backlog();
            return;
        }
        let upstream = &self.upstreams[n];
        let total = upstream.running + upstream.waiting.len() as u32;
        let now = self.now();
        let load = &mut self.upstream_loads[job.host][n];
        load.record_report(total + 1, self.scenario.slots, now);
        let mean = &mut self.work_means[job.host];
        let sample_ms = load.record_success(took_ms, job.load_when_sent, mean, now);
        load.own_in_flight -= 1;
        self.shared_speeds.add(&n.to_string(), sample_ms as u32, 1);
    }

    fn serve_backlog(&mut self) {
        while !self.backlog.is_empty() {
            let slots = self.scenario.slots;
            let upstreams = self.upstreams.iter().enumerate();
            let free = upstreams.filter(|(_, upstream)| upstream.running < slots);
            let fastest = free.max_by(|(_, a), (_, b)| a.speed.total_cmp(&b.speed));
            let Some(n) = fastest.map(|(n, _)| n) else {
                return;
            };
            if let Some(job) = self.backlog.pop_front() {
                self.start(n, job);
            }
        }
    }

    fn outcome(mut self) -> Outcome {
        self.answers_ms.sort_by(f64::total_cmp);
        let count = self.answers_ms.len().max(1) as f64;
        let at = |share: f64| {
            let place = (count * share) as usize;
            self.answers_ms.get(place).copied().unwrap_or(0.0)
        };
        let in_time = |ms: &&f64| **ms <= self.scenario.objective_ms;
        let busy: Vec<f64> = self.upstreams.iter().map(|s| s.busy_ms).collect();
        let mean = busy.iter().sum::<f64>() / busy.len() as f64;
        Outcome {
            wait_ms: self.waits_ms.iter().sum::<f64>() / self.waits_ms.len().max(1) as f64,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            in_time: self.answers_ms.iter().filter(in_time).count() as f64
                / (count + self.refused as f64),
            busiest: busy.iter().copied().fold(0.0, f64::max) / mean,
        }
    }
}

/// Returns the best of a host's upstreams by the gateway's own choice; `mean_of` returns the mean
/// work time assumed for an upstream, in milliseconds.
fn choose_best<'a>(
    upstream_loads: impl Iterator<Item = (usize, &'a mut UpstreamLoad)>,
    mean_of: impl Fn(usize) -> f64,
    now: Mono,
    rng: &mut Pcg64Mcg,
) -> usize {
    let estimates = upstream_loads.map(|(n, load)| {
        load.set_service_mean_ms(mean_of(n));
        (n, load.expected_ms_if_available(now), 0.0)
    });
    let choice = choose(estimates, || rng.random_range(0.0..1.0));
    choice.map_or(0, |c| c.position)
}
