//! Load balancing for requests that any upstream of a service may run.
//!
//! Upstreams differ in speed, and their load reports lag. An upstream's load is estimated from this host's
//! own in-flight requests and from its last report of other hosts' requests, which decays with age.

use crate::clock::Mono;
use crate::decay::{remaining_weight, SampleCount};

use super::saturation::{Capacity, Evidence, Saturation, SendSample, Verdict};
use super::service_time::ServiceTime;

/// Half-life of a load report, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 300.0;
/// Weight of a new sample in the running mean of processing times.
const PROCESSING_SAMPLE_WEIGHT: f64 = 0.15;
/// Minimum weight of a new sample in the running mean of a service's processing time.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.02;
/// Half-life of an upstream's own processing time without new samples, in milliseconds. The decay makes an
/// upstream that was avoided for being slow eligible again.
const PROCESSING_HALF_LIFE_MS: f64 = 4_000.0;
/// Estimates that differ by less than this share plus `TIE_MS` count as equal.
const TIE_SHARE: f64 = 0.1;
const TIE_MS: f64 = 4.0;
/// Share of the latency objective that a request past its objective may wait. It is late in any case, and
/// would make requests queued behind it late too.
const OVERDUE_OBJECTIVE_SHARE: f64 = 0.5;
/// Factor on the estimated response time in admission: load reports are a few responses old.
const ESTIMATE_CONFIDENCE: f64 = 0.9;
/// Added to the expected time until a full queue has room for a retry, in milliseconds.
const RETRY_MARGIN_MS: f64 = 30.0;
/// Maximum `Retry-After` of a full queue, in milliseconds.
const RETRY_AFTER_MAX_MS: f64 = 400.0;
/// Duration of the first ejection, in milliseconds; each further one in a row takes twice as long.
const EJECTION_MIN_MS: u64 = 500;
/// Maximum duration of an ejection, in milliseconds.
const EJECTION_MAX_MS: u64 = 4_000;
/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 2;

/// Estimated load and availability of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamLoad {
    /// Requests that the upstream can process at once.
    pub slots: u32,
    /// In-flight requests of this host.
    pub own_in_flight: u32,
    /// Requests of other hosts, as last reported.
    reported_others: f64,
    reported_at: Mono,
    processing_ms: f64,
    processing_sampled_at: Option<Mono>,
    /// How long work takes there now, as the upstream says.
    service_time: ServiceTime,
    /// Mean processing time of all upstreams of the service, in milliseconds.
    service_mean_ms: f64,
    failures: u32,
    ejected_until: Mono,
    ejections: u32,
    /// End of the backoff that the upstream asked for.
    backoff_until: Mono,
    /// What is known about its free capacity.
    pub saturation: Saturation,
    /// Whether the upstream announced that it leaves. A process doesn't take that back.
    is_leaving: bool,
}

impl UpstreamLoad {
    /// Returns the load of a new upstream. `processing_ms` is the mean processing time of its service.
    pub fn new(slots: u32, processing_ms: f64) -> UpstreamLoad {
        UpstreamLoad {
            slots: slots.max(1),
            own_in_flight: 0,
            reported_others: 0.0,
            reported_at: Mono(0),
            processing_ms,
            processing_sampled_at: None,
            service_time: ServiceTime::default(),
            service_mean_ms: processing_ms,
            failures: 0,
            ejected_until: Mono(0),
            ejections: 0,
            backoff_until: Mono(0),
            saturation: Saturation::default(),
            is_leaving: false,
        }
    }

    /// Sets the mean processing time of the service, in milliseconds.
    pub fn set_service_mean_ms(&mut self, service_mean_ms: f64) {
        self.service_mean_ms = service_mean_ms;
    }

    fn processing_ms(&self, now: Mono) -> f64 {
        let Some(processing_sampled_at) = self.processing_sampled_at else {
            return self.service_mean_ms;
        };
        let weight = remaining_weight(now.since(processing_sampled_at), PROCESSING_HALF_LIFE_MS);
        self.service_mean_ms + (self.processing_ms - self.service_mean_ms) * weight
    }

    fn add_sample(&mut self, sample_ms: f64, now: Mono) {
        let current_ms = self.processing_ms(now);
        self.processing_ms = current_ms + (sample_ms - current_ms) * PROCESSING_SAMPLE_WEIGHT;
        self.processing_sampled_at = Some(now);
    }

    /// Records a load report: `total` requests run or wait, this host's own included.
    pub fn record_report(&mut self, total: u32, slots: u32, now: Mono) {
        self.slots = slots.max(1);
        self.saturation.record_report(total, self.slots, now);
        self.reported_others = f64::from(total.saturating_sub(self.own_in_flight));
        self.reported_at = now;
    }

    /// Records how long work takes there now in percent of the usual, or returns false if the figure is ignored.
    pub fn record_service_time(&mut self, percent: u32, now: Mono) -> bool {
        self.service_time.record(percent, now)
    }

    /// Returns the figure that scales the expected response time, and its age in milliseconds.
    pub fn service_time_percent(&self, now: Mono) -> Option<(u64, u64)> {
        self.service_time.fresh_percent(now)
    }

    /// Returns the processing time expected of a request sent now, in milliseconds.
    fn expected_processing_ms(&self, now: Mono) -> f64 {
        self.processing_ms(now) * self.service_time.factor(now)
    }

    /// Records a complete response, adds its processing time to the mean of the service and returns it in
    /// milliseconds. `total` is the number of requests at the upstream when this one was sent, itself included,
    /// as far as this host knew.
    /// Time spent waiting behind unknown requests of other hosts counts as processing time, which keeps hosts
    /// that know little of each other from selecting the same upstream.
    pub fn record_success(
        &mut self,
        elapsed_ms: f64,
        total: f64,
        service_mean: &mut ProcessingMean,
        now: Mono,
    ) -> f64 {
        let requests_per_slot = (total / f64::from(self.slots)).max(1.0);
        let sample_ms = elapsed_ms / requests_per_slot;
        // The mean goes first: a guess that it replaces isn't a measurement of this upstream.
        service_mean.add(sample_ms);
        self.service_mean_ms = service_mean.mean_ms;
        self.add_sample(sample_ms, now);
        self.failures = 0;
        self.saturation.record_answer();
        self.ejections = 0;
        sample_ms
    }

    /// Estimates the upstream's own processing time of a request that took `elapsed_ms`, in milliseconds. The
    /// load reported with the response takes precedence if it is above `total`, which was known when sending.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::balance::UpstreamLoad;
    ///
    /// let mut load = UpstreamLoad::new(3, 90.0);
    /// load.record_report(9, 3, Mono(500));
    /// assert_eq!(load.estimate_processing_ms(300.0, 1.0, Mono(500)), 100.0);
    /// ```
    pub fn estimate_processing_ms(&self, elapsed_ms: f64, total: f64, now: Mono) -> f64 {
        let requests_per_slot = total.max(self.estimated_in_flight(now)) / f64::from(self.slots);
        elapsed_ms / requests_per_slot.max(1.0)
    }

    /// Records a request that failed or was abandoned after `elapsed_ms`: the upstream is at least that slow.
    /// Returns the sample in milliseconds if it is above the current estimate.
    pub fn record_unanswered(&mut self, elapsed_ms: f64, total: f64, now: Mono) -> Option<f64> {
        let requests_per_slot = (total / f64::from(self.slots)).max(1.0);
        let sample_ms = elapsed_ms / requests_per_slot;
        if sample_ms <= self.processing_ms(now) {
            return None;
        }
        self.add_sample(sample_ms, now);
        Some(sample_ms)
    }

    /// Records a failure and returns whether the upstream is ejected now.
    pub fn record_failure(&mut self, now: Mono) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return false;
        }
        let ejection_ms = (EJECTION_MIN_MS << self.ejections.min(8)).min(EJECTION_MAX_MS);
        self.ejected_until = now.plus(ejection_ms);
        self.ejections += 1;
        self.failures = FAILURES_TO_EJECT - 1;
        true
    }

    /// Records a request that a full upstream may have left unserved: it broke, was refused without proof, or got no
    /// answer. An upstream that was full isn't ejected but held back. `random` is from 0 to 1.
    pub fn record_unserved(
        &mut self,
        sample: SendSample,
        entry_hosts: u32,
        random: f64,
        now: Mono,
    ) -> Verdict {
        let capacity = self.capacity(entry_hosts, now);
        let evidence = self.saturation.judge_failure(sample, capacity, now);
        match evidence {
            Some(evidence) => self.hold(evidence, sample, capacity, random, now),
            None if self.record_failure(now) => Verdict::Ejected,
            None => Verdict::Failed,
        }
    }

    /// Records a refusal with proof that the request didn't run. An upstream without free slots is held back, one with
    /// free slots had another reason.
    pub fn record_refusal(
        &mut self,
        sample: SendSample,
        entry_hosts: u32,
        random: f64,
        now: Mono,
    ) -> Option<Verdict> {
        if !self.saturation.was_busy_at(sample) {
            return None;
        }
        let capacity = self.capacity(entry_hosts, now);
        Some(self.hold(Evidence::LoadReport, sample, capacity, random, now))
    }

    /// Records that a new connection was reset before anything was sent: the upstream has all the connections that it
    /// accepts.
    pub fn record_reset_when_opened(
        &mut self,
        sample: SendSample,
        entry_hosts: u32,
        random: f64,
        now: Mono,
    ) -> Verdict {
        let capacity = self.capacity(entry_hosts, now);
        self.hold(Evidence::Connections, sample, capacity, random, now)
    }

    fn hold(
        &mut self,
        evidence: Evidence,
        sample: SendSample,
        capacity: Capacity,
        random: f64,
        now: Mono,
    ) -> Verdict {
        match self.saturation.hold(sample, capacity, random, now) {
            Some(hold_ms) => Verdict::Held { evidence, hold_ms },
            None => Verdict::Full,
        }
    }

    fn capacity(&self, entry_hosts: u32, now: Mono) -> Capacity {
        Capacity {
            per_s: f64::from(self.slots) * 1_000.0 / self.processing_ms(now).max(1.0),
            entry_hosts,
        }
    }

    /// Records that no connection could be opened, and ejects the upstream.
    pub fn record_connect_failure(&mut self, now: Mono) {
        self.failures = FAILURES_TO_EJECT;
        self.record_failure(now);
    }

    /// Marks the upstream as leaving and returns whether that is new.
    pub fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Reports whether the upstream announced in a response that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Starts a backoff of `backoff_ms`, unless a current one ends later.
    pub fn back_off(&mut self, backoff_ms: u64, now: Mono) {
        self.backoff_until = self.backoff_until.max(now.plus(backoff_ms));
    }

    /// Returns the remaining backoff, in milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::balance::UpstreamLoad;
    ///
    /// let mut load = UpstreamLoad::new(3, 90.0);
    /// load.back_off(2_000, Mono(100));
    /// load.back_off(500, Mono(200));
    /// assert_eq!(load.backoff_remaining_ms(Mono(600)), 1_500);
    /// assert!(!load.accepts_requests(Mono(600)) && load.accepts_requests(Mono(2_100)));
    /// assert!(load.mark_leaving());
    /// assert!(!load.accepts_requests(Mono(2_100)));
    /// ```
    pub fn backoff_remaining_ms(&self, now: Mono) -> u64 {
        self.backoff_until.since(now)
    }

    /// Reports whether the upstream accepts requests: it neither leaves nor asked for a backoff.
    pub fn accepts_requests(&self, now: Mono) -> bool {
        !self.is_leaving && now >= self.backoff_until
    }

    /// Reports whether the upstream has no free capacity as far as this host knows.
    pub fn is_full(&self, now: Mono) -> bool {
        self.saturation.full_remaining_ms(now) > 0
    }

    /// Reports whether the upstream is ejected, full, or doesn't accept requests.
    pub fn is_unavailable(&self, now: Mono) -> bool {
        now < self.ejected_until || self.is_full(now) || !self.accepts_requests(now)
    }

    /// Returns the age of the last load report, in milliseconds.
    pub fn report_age_ms(&self, now: Mono) -> Option<u64> {
        (self.reported_at > Mono(0)).then(|| now.since(self.reported_at))
    }

    /// Reports whether the upstream was ejected and hasn't responded since.
    pub fn was_ejected(&self) -> bool {
        self.ejections > 0
    }

    /// Returns the expected response time of a request sent now, in milliseconds, or `None` while the
    /// upstream is unavailable.
    pub fn expected_ms_if_available(&self, now: Mono) -> Option<f64> {
        (!self.is_unavailable(now)).then(|| self.expected_ms(now))
    }

    /// Estimates the number of requests at the upstream, from all hosts.
    pub fn estimated_in_flight(&self, now: Mono) -> f64 {
        let weight = remaining_weight(now.since(self.reported_at), REPORT_HALF_LIFE_MS);
        f64::from(self.own_in_flight) + self.reported_others * weight
    }

    /// Estimates the response time of a request sent now, in milliseconds, without the network round trip.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::balance::UpstreamLoad;
    ///
    /// let mut idle = UpstreamLoad::new(2, 100.0);
    /// let mut full = idle.clone();
    /// idle.record_report(1, 2, Mono(0));
    /// full.record_report(4, 2, Mono(0));
    /// assert!(idle.expected_ms(Mono(0)) < full.expected_ms(Mono(0)));
    /// ```
    pub fn expected_ms(&self, now: Mono) -> f64 {
        let slots = f64::from(self.slots);
        let queued = (self.estimated_in_flight(now) + 1.0 - slots).max(0.0);
        // Prefers idle upstreams to nearly full ones while neither has a queue.
        let utilization_penalty = 0.1 * (self.estimated_in_flight(now) / slots).min(1.0);
        self.expected_processing_ms(now) * (1.0 + utilization_penalty + queued / slots)
    }
}

/// Mean processing time of a service's upstreams, as this host measures it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessingMean {
    mean_ms: f64,
    samples: SampleCount,
}

impl ProcessingMean {
    /// Adds a sample. The first ones have equal weights, then older ones decay.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::gateway::balance::ProcessingMean;
    ///
    /// let mut mean = ProcessingMean::default();
    /// assert_eq!(mean.mean_ms(), None);
    /// mean.add(90.0);
    /// mean.add(10.0);
    /// assert_eq!(mean.mean_ms(), Some(50.0));
    /// ```
    pub fn add(&mut self, sample_ms: f64) {
        self.mean_ms += (sample_ms - self.mean_ms) * self.samples.add(SERVICE_SAMPLE_WEIGHT);
    }

    /// Returns the mean in milliseconds, or `None` without samples.
    pub fn mean_ms(&self) -> Option<f64> {
        (!self.samples.is_empty()).then_some(self.mean_ms)
    }
}

/// Time limits of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeLimits {
    /// The route's latency objective, in milliseconds.
    pub objective_ms: f64,
    /// Time until the objective passes, in milliseconds; zero or negative once it has passed.
    pub objective_remaining_ms: f64,
    /// Time until the deadline, in milliseconds.
    pub deadline_remaining_ms: f64,
}

/// Checks that an upstream can respond in time; the error is the `Retry-After` in milliseconds.
///
/// Under overload, a queue longer than the objective would make every response late, while a request that
/// is refused at once can still be served elsewhere or later.
///
/// # Examples
///
/// ```
/// use carobreel::clock::Mono;
/// use carobreel::gateway::balance::{admit, UpstreamLoad, TimeLimits};
///
/// let mut load = UpstreamLoad::new(3, 90.0);
/// let limits = TimeLimits {
///     objective_ms: 400.0,
///     objective_remaining_ms: 400.0,
///     deadline_remaining_ms: 1_000.0,
/// };
/// assert_eq!(admit(&load, 2.0, limits, Mono(0)), Ok(()));
/// load.record_report(7, 3, Mono(0));
/// assert_eq!(admit(&load, 2.0, limits, Mono(0)), Ok(()));
/// // A retry that is already past its objective.
/// let overdue = TimeLimits { objective_remaining_ms: -50.0, deadline_remaining_ms: 550.0, ..limits };
/// assert!(admit(&load, 2.0, overdue, Mono(0)).is_err());
/// load.record_report(15, 3, Mono(0));
/// assert!(admit(&load, 2.0, limits, Mono(0)).is_err());
/// ```
pub fn admit(
    load: &UpstreamLoad,
    round_trip_ms: f64,
    limits: TimeLimits,
    now: Mono,
) -> Result<(), u64> {
    let expected_ms = load.expected_ms(now) * ESTIMATE_CONFIDENCE + round_trip_ms;
    let has_free_slot = load.estimated_in_flight(now) < f64::from(load.slots);
    let limit_ms = if limits.objective_remaining_ms > 0.0 {
        limits
            .objective_remaining_ms
            .min(limits.deadline_remaining_ms)
    } else {
        limits
            .deadline_remaining_ms
            .min(limits.objective_ms * OVERDUE_OBJECTIVE_SHARE)
    };
    if expected_ms <= limit_ms || (has_free_slot && expected_ms <= limits.deadline_remaining_ms) {
        return Ok(());
    }
    let retry_after_ms =
        expected_ms - limit_ms.max(load.expected_processing_ms(now)) + RETRY_MARGIN_MS;
    Err(retry_after_ms.clamp(RETRY_MARGIN_MS, RETRY_AFTER_MAX_MS) as u64)
}

/// The selected upstream with its estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The position that came with the upstream's estimate.
    pub position: usize,
    /// The expected response time with the cost of the distance, in milliseconds.
    pub cost_ms: f64,
}

/// Reports whether `cost_ms` is at most a near tie above `lowest_ms`.
pub fn is_near_tie(cost_ms: f64, lowest_ms: f64) -> bool {
    cost_ms <= lowest_ms + tie_ms(lowest_ms)
}

fn tie_ms(cost_ms: f64) -> f64 {
    cost_ms * TIE_SHARE + TIE_MS
}

/// Returns the upstream with the lowest cost, or `None` if all are unavailable. Each item is a position, the
/// expected response time (`None` if unavailable) and the cost of the distance, in milliseconds. `random`
/// returns values from 0 to 1 that break near ties, so that entry hosts with the same reports spread out.
pub fn choose(
    upstreams: impl Iterator<Item = (usize, Option<f64>, f64)>,
    mut random: impl FnMut() -> f64,
) -> Option<Choice> {
    let mut best: Option<(f64, Choice)> = None;
    for (position, estimate, distance_cost_ms) in upstreams {
        let Some(estimate_ms) = estimate else {
            continue;
        };
        let cost_ms = estimate_ms + distance_cost_ms;
        let score = cost_ms + random() * tie_ms(cost_ms);
        if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
            let choice = Choice { position, cost_ms };
            best = Some((score, choice));
        }
    }
    best.map(|(_, choice)| choice)
}
