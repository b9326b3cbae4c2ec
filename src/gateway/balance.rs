//! Chooses an upstream for a request that any upstream of the service may run.
//!
//! Answers upstreams of unequal speed whose reports lag: what this host has under way there counts
//! first, then what the upstream last reported of others, which loses weight with its age.

use crate::clock::Mono;

/// A report of load loses half of its weight in this time, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 300.0;
/// The weight of a new sample in the running mean of working times.
const PROCESSING_SAMPLE_WEIGHT: f64 = 0.15;
/// What is known of an upstream's own speed loses half of its weight in this time without a new
/// sample, in milliseconds; one that is passed over for being slow is tried again.
const PROCESSING_HALF_LIFE_MS: f64 = 4_000.0;
/// Estimates that differ by less than this share and this time, in milliseconds, count as equal.
const TIE_SHARE: f64 = 0.1;
const TIE_MS: f64 = 4.0;
/// A request whose objective has passed may use this share of the queue that others may: it is late in
/// any case, and behind it those would be late that aren't yet.
const OVERDUE_OBJECTIVE_SHARE: f64 = 0.5;
/// How much of a queue's estimated wait is believed: reports are some answers old.
const ESTIMATE_CONFIDENCE: f64 = 0.9;
/// When a caller may come back to a queue that is full: this much after there should be room, in
/// milliseconds.
const RETRY_MARGIN_MS: f64 = 30.0;
/// The latest that a caller is told to come back, in milliseconds.
const RETRY_AFTER_MAX_MS: f64 = 400.0;
/// An upstream that failed is passed over for this long at first, in milliseconds.
const EJECTION_MIN_MS: u64 = 500;
/// The longest time for which an upstream is passed over, in milliseconds.
const EJECTION_MAX_MS: u64 = 4_000;
/// Failures in a row after which an upstream is passed over.
const FAILURES_TO_EJECT: u32 = 2;

/// What is known of one upstream's load.
#[derive(Clone, Debug)]
pub struct UpstreamLoad {
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests of this host that are under way there.
    pub own_in_flight: u32,
    /// Requests of others, as last reported.
    reported_others: f64,
    reported_at: Mono,
    processing_ms: f64,
    processing_sampled_at: Option<Mono>,
    /// How long upstreams of the service work on a request on average, in milliseconds.
    service_mean_ms: f64,
    failures: u32,
    ejected_until: Mono,
    ejections: u32,
    /// Until when the upstream wants nothing, as it said itself.
    backoff_until: Mono,
    /// Whether the upstream said that it leaves. That never changes for one process.
    is_leaving: bool,
}

impl UpstreamLoad {
    /// Returns the view of an upstream that was just heard of; `work_ms` is how long others of its
    /// service work on a request.
    pub fn new(slots: u32, processing_ms: f64) -> UpstreamLoad {
        UpstreamLoad {
            slots: slots.max(1),
            own_in_flight: 0,
            reported_others: 0.0,
            reported_at: Mono(0),
            processing_ms,
            processing_sampled_at: None,
            service_mean_ms: processing_ms,
            failures: 0,
            ejected_until: Mono(0),
            ejections: 0,
            backoff_until: Mono(0),
            is_leaving: false,
        }
    }

    /// Takes the mean working time of the service, in milliseconds.
    pub fn set_service_mean_ms(&mut self, service_mean_ms: f64) {
        self.service_mean_ms = service_mean_ms;
    }

    fn processing_ms(&self, now: Mono) -> f64 {
        let Some(processing_sampled_at) = self.processing_sampled_at else {
            return self.service_mean_ms;
        };
        let age_ms = now.since(processing_sampled_at) as f64;
        let weight = 0.5_f64.powf(age_ms / PROCESSING_HALF_LIFE_MS);
        self.service_mean_ms + (self.processing_ms - self.service_mean_ms) * weight
    }

    fn add_sample(&mut self, sample_ms: f64, now: Mono) {
        let current_ms = self.processing_ms(now);
        self.processing_ms = current_ms + (sample_ms - current_ms) * PROCESSING_SAMPLE_WEIGHT;
        self.processing_sampled_at = Some(now);
    }

    /// Takes a report: `total` requests run or wait, this host's own included.
    pub fn record_report(&mut self, total: u32, slots: u32, now: Mono) {
        self.slots = slots.max(1);
        self.reported_others = f64::from(total.saturating_sub(self.own_in_flight));
        self.reported_at = now;
    }

    /// Notes a whole answer: how long it took after `total` requests were there, this one included, as far
    /// as this host knew. What others made it wait counts as slowness: it keeps hosts that know little of
    /// each other from choosing the same upstream. Returns that sample, in milliseconds.
    pub fn record_success(&mut self, elapsed_ms: f64, total: f64, now: Mono) -> f64 {
        let requests_per_slot = (total / f64::from(self.slots)).max(1.0);
        let sample_ms = elapsed_ms / requests_per_slot;
        self.add_sample(sample_ms, now);
        self.failures = 0;
        self.ejections = 0;
        sample_ms
    }

    /// Returns how long the upstream itself worked on a request that took `took_ms`, in milliseconds, as far
    /// as can be told: what its answer reports of others goes before what was known when it was sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::balance::UpstreamLoad;
    ///
    /// let mut load = UpstreamLoad::new(3, 90.0);
    /// load.record_report(9, 3, Mono(500));
    /// assert_eq!(load.processing_ms_for(300.0, 1.0, Mono(500)), 100.0);
    /// ```
    pub fn processing_ms_for(&self, elapsed_ms: f64, total: f64, now: Mono) -> f64 {
        let requests_per_slot = total.max(self.estimated_in_flight(now)) / f64::from(self.slots);
        elapsed_ms / requests_per_slot.max(1.0)
    }

    /// Notes a request that wasn't answered for `took_ms`: the upstream is at least that slow.
    /// Returns the sample, when it says something.
    pub fn record_unanswered(&mut self, elapsed_ms: f64, total: f64, now: Mono) -> Option<f64> {
        let requests_per_slot = (total / f64::from(self.slots)).max(1.0);
        let sample_ms = elapsed_ms / requests_per_slot;
        if sample_ms <= self.processing_ms(now) {
            return None;
        }
        self.add_sample(sample_ms, now);
        Some(sample_ms)
    }

    /// Notes a failure; returns whether the upstream is passed over from now on.
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

    /// Notes that no connection could be opened; the upstream is passed over from now on.
    pub fn record_connect_failure(&mut self, now: Mono) {
        self.failures = FAILURES_TO_EJECT;
        self.record_failure(now);
    }

    /// Notes that the upstream leaves; returns whether that is new.
    pub fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Notes that the upstream wants nothing for `rest_ms`. Of several such words the latest end holds.
    pub fn back_off(&mut self, backoff_ms: u64, now: Mono) {
        self.backoff_until = self.backoff_until.max(now.plus(backoff_ms));
    }

    /// Returns for how long the upstream still wants nothing, in milliseconds.
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

    /// Tells whether the upstream takes work by its own word.
    pub fn accepts_requests(&self, now: Mono) -> bool {
        !self.is_leaving && now >= self.backoff_until
    }

    /// Tells whether the upstream is passed over, by its own word or for its failures.
    pub fn is_unavailable(&self, now: Mono) -> bool {
        now < self.ejected_until || !self.accepts_requests(now)
    }

    /// Returns the age of the last report, in milliseconds.
    pub fn report_age_ms(&self, now: Mono) -> Option<u64> {
        (self.reported_at > Mono(0)).then(|| now.since(self.reported_at))
    }

    /// Tells whether the upstream failed so often that it was passed over, and hasn't answered since.
    pub fn was_ejected(&self) -> bool {
        self.ejections > 0
    }

    /// Returns when a request sent now would be answered, in milliseconds; `None` while the upstream
    /// is passed over.
    pub fn expected_ms_if_available(&self, now: Mono) -> Option<f64> {
        (!self.is_unavailable(now)).then(|| self.expected_ms(now))
    }

    /// Estimates how many requests the upstream has.
    pub fn estimated_in_flight(&self, now: Mono) -> f64 {
        let age_ms = now.since(self.reported_at) as f64;
        let others = self.reported_others * 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        f64::from(self.own_in_flight) + others
    }

    /// Estimates when a request sent now would be answered, in milliseconds, without the way there.
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
        // A nearly full upstream is worse than an empty one even while no one waits.
        let utilization_penalty = 0.1 * (self.estimated_in_flight(now) / slots).min(1.0);
        self.processing_ms(now) * (1.0 + utilization_penalty + queued / slots)
    }
}

/// What is known of the time that a request has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingTime {
    /// Within how long it is to be answered, in milliseconds.
    pub objective_ms: f64,
    /// What is left of that, in milliseconds; not above 0 once it has passed.
    pub objective_remaining_ms: f64,
    /// Until nobody waits for it any more, in milliseconds.
    pub deadline_remaining_ms: f64,
}

/// Tells whether an upstream can answer in time, or when a caller may come back, in milliseconds.
///
/// Answers overload: a queue whose wait outlasts the objective would make every answer late, and a
/// request that is refused at once can still be answered elsewhere or later.
///
/// # Examples
///
/// ```
/// use carobreel::clock::Mono;
/// use carobreel::gateway::balance::{admit, UpstreamLoad, RemainingTime};
///
/// let mut load = UpstreamLoad::new(3, 90.0);
/// let remaining = RemainingTime {
///     objective_ms: 400.0,
///     objective_remaining_ms: 400.0,
///     deadline_remaining_ms: 1_000.0,
/// };
/// assert_eq!(admit(&load, 2.0, remaining, Mono(0)), Ok(()));
/// load.record_report(7, 3, Mono(0));
/// assert_eq!(admit(&load, 2.0, remaining, Mono(0)), Ok(()));
/// // It was here before, and is late already.
/// let overdue = RemainingTime { objective_remaining_ms: -50.0, deadline_remaining_ms: 550.0, ..remaining };
/// assert!(admit(&load, 2.0, overdue, Mono(0)).is_err());
/// load.record_report(15, 3, Mono(0));
/// assert!(admit(&load, 2.0, remaining, Mono(0)).is_err());
/// ```
pub fn admit(
    load: &UpstreamLoad,
    round_trip_ms: f64,
    remaining: RemainingTime,
    now: Mono,
) -> Result<(), u64> {
    let expected_ms = load.expected_ms(now) * ESTIMATE_CONFIDENCE + round_trip_ms;
    let has_free_slot = load.estimated_in_flight(now) < f64::from(load.slots);
    let limit_ms = if remaining.objective_remaining_ms > 0.0 {
        remaining
            .objective_remaining_ms
            .min(remaining.deadline_remaining_ms)
    } else {
        remaining
            .deadline_remaining_ms
            .min(remaining.objective_ms * OVERDUE_OBJECTIVE_SHARE)
    };
    if expected_ms <= limit_ms || (has_free_slot && expected_ms <= remaining.deadline_remaining_ms)
    {
        return Ok(());
    }
    let retry_after_ms = expected_ms - limit_ms.max(load.processing_ms(now)) + RETRY_MARGIN_MS;
    Err(retry_after_ms.clamp(RETRY_MARGIN_MS, RETRY_AFTER_MAX_MS) as u64)
}

/// A choice with its estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The position in the list.
    pub position: usize,
    /// When it would answer, in milliseconds.
    pub expected_ms: f64,
}

/// Returns the upstream that would answer first. Each comes with its estimate, `None` when it is passed
/// over, and what the way to it is worth, both in milliseconds. Near ties are broken by `draw`, so that
/// entry hosts with the same reports spread out.
pub fn choose(
    upstreams: impl Iterator<Item = (usize, Option<f64>, f64)>,
    mut random: impl FnMut() -> f64,
) -> Option<Choice> {
    let mut best: Option<(f64, Choice)> = None;
    for (position, estimate, distance_cost_ms) in upstreams {
        let Some(estimate_ms) = estimate else {
            continue;
        };
        let expected_ms = estimate_ms + distance_cost_ms;
        let cost = expected_ms + random() * (expected_ms * TIE_SHARE + TIE_MS);
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            let choice = Choice {
                position,
                expected_ms,
            };
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}
