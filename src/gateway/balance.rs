//! Chooses an upstream for a request that any upstream of the service may run.
//!
//! Answers upstreams of unequal speed whose reports lag: what this host has under way there counts
//! first, then what the upstream last reported of others, which loses weight with its age.

use crate::clock::Mono;

/// A report of load loses half of its weight in this time, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 300.0;
/// The weight of a new sample in the running mean of working times.
const SAMPLE_WEIGHT: f64 = 0.15;
/// What is known of an upstream's own speed loses half of its weight in this time without a new
/// sample, in milliseconds; one that is passed over for being slow is tried again.
const WORK_HALF_LIFE_MS: f64 = 4_000.0;
/// Estimates that differ by less than this share and this time, in milliseconds, count as equal.
const NEAR_SHARE: f64 = 0.1;
const NEAR_MS: f64 = 4.0;
/// A request whose objective has passed may use this share of the queue that others may: it is late in
/// any case, and behind it those would be late that aren't yet.
const LATE_SHARE: f64 = 0.5;
/// How much of a queue's estimated wait is believed: reports are some answers old.
const CERTAINTY: f64 = 0.9;
/// When a caller may come back to a queue that is full: this much after there should be room, in
/// milliseconds.
const ROOM_MARGIN_MS: f64 = 30.0;
/// The latest that a caller is told to come back, in milliseconds.
const RETRY_AFTER_MAX_MS: f64 = 400.0;
/// An upstream that failed is passed over for this long at first, in milliseconds.
const EJECT_FIRST_MS: u64 = 500;
/// The longest time for which an upstream is passed over, in milliseconds.
const EJECT_MAX_MS: u64 = 4_000;
/// Failures in a row after which an upstream is passed over.
const FAILURES_TO_EJECT: u32 = 2;

/// What is known of one upstream's load.
#[derive(Clone, Debug)]
pub struct LoadView {
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests of this host that are under way there.
    pub own: u32,
    /// Requests of others, as last reported.
    others: f64,
    reported_at: Mono,
    work_ms: f64,
    worked_at: Option<Mono>,
    /// How long upstreams of the service work on a request on average, in milliseconds.
    mean_ms: f64,
    failures: u32,
    ejected_until: Mono,
    ejections: u32,
    /// Until when the upstream wants nothing, as it said itself.
    rests_until: Mono,
    /// Whether the upstream said that it leaves. That never changes for one process.
    is_leaving: bool,
}

impl LoadView {
    /// Returns the view of an upstream that was just heard of; `work_ms` is how long others of its
    /// service work on a request.
    pub fn new(slots: u32, work_ms: f64) -> LoadView {
        LoadView {
            slots: slots.max(1),
            own: 0,
            others: 0.0,
            reported_at: Mono(0),
            work_ms,
            worked_at: None,
            mean_ms: work_ms,
            failures: 0,
            ejected_until: Mono(0),
            ejections: 0,
            rests_until: Mono(0),
            is_leaving: false,
        }
    }

    /// Takes the mean working time of the service, in milliseconds.
    pub fn set_mean(&mut self, mean_ms: f64) {
        self.mean_ms = mean_ms;
    }

    fn work_ms(&self, now: Mono) -> f64 {
        let Some(worked_at) = self.worked_at else {
            return self.mean_ms;
        };
        let age_ms = now.since(worked_at) as f64;
        let trust = 0.5_f64.powf(age_ms / WORK_HALF_LIFE_MS);
        self.mean_ms + (self.work_ms - self.mean_ms) * trust
    }

    fn learn(&mut self, sample_ms: f64, now: Mono) {
        let known_ms = self.work_ms(now);
        self.work_ms = known_ms + (sample_ms - known_ms) * SAMPLE_WEIGHT;
        self.worked_at = Some(now);
    }

    /// Takes a report: `total` requests run or wait, this host's own included.
    pub fn report(&mut self, total: u32, slots: u32, now: Mono) {
        self.slots = slots.max(1);
        self.others = f64::from(total.saturating_sub(self.own));
        self.reported_at = now;
    }

    /// Notes a whole answer: how long it took after `total` requests were there, this one included, as far
    /// as this host knew. What others made it wait counts as slowness: it keeps hosts that know little of
    /// each other from choosing the same upstream. Returns that sample, in milliseconds.
    pub fn succeed(&mut self, took_ms: f64, total: f64, now: Mono) -> f64 {
        let turns = (total / f64::from(self.slots)).max(1.0);
        let sample_ms = took_ms / turns;
        self.learn(sample_ms, now);
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
    /// use carobreel::gateway::balance::LoadView;
    ///
    /// let mut view = LoadView::new(3, 90.0);
    /// view.report(9, 3, Mono(500));
    /// assert_eq!(view.work_of(300.0, 1.0, Mono(500)), 100.0);
    /// ```
    pub fn work_of(&self, took_ms: f64, total: f64, now: Mono) -> f64 {
        let turns = total.max(self.total(now)) / f64::from(self.slots);
        took_ms / turns.max(1.0)
    }

    /// Notes a request that wasn't answered for `took_ms`: the upstream is at least that slow.
    /// Returns the sample, when it says something.
    pub fn outlast(&mut self, took_ms: f64, total: f64, now: Mono) -> Option<f64> {
        let turns = (total / f64::from(self.slots)).max(1.0);
        let sample_ms = took_ms / turns;
        if sample_ms <= self.work_ms(now) {
            return None;
        }
        self.learn(sample_ms, now);
        Some(sample_ms)
    }

    /// Notes a failure; returns whether the upstream is passed over from now on.
    pub fn fail(&mut self, now: Mono) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return false;
        }
        let pause_ms = (EJECT_FIRST_MS << self.ejections.min(8)).min(EJECT_MAX_MS);
        self.ejected_until = now.plus(pause_ms);
        self.ejections += 1;
        self.failures = FAILURES_TO_EJECT - 1;
        true
    }

    /// Notes that no connection could be opened; the upstream is passed over from now on.
    pub fn fail_to_connect(&mut self, now: Mono) {
        self.failures = FAILURES_TO_EJECT;
        self.fail(now);
    }

    /// Notes that the upstream leaves; returns whether that is new.
    pub fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Notes that the upstream wants nothing for `rest_ms`. Of several such words the latest end holds.
    pub fn rest(&mut self, rest_ms: u64, now: Mono) {
        self.rests_until = self.rests_until.max(now.plus(rest_ms));
    }

    /// Returns for how long the upstream still wants nothing, in milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::balance::LoadView;
    ///
    /// let mut view = LoadView::new(3, 90.0);
    /// view.rest(2_000, Mono(100));
    /// view.rest(500, Mono(200));
    /// assert_eq!(view.rest_left_ms(Mono(600)), 1_500);
    /// assert!(!view.takes_work(Mono(600)) && view.takes_work(Mono(2_100)));
    /// assert!(view.leave());
    /// assert!(!view.takes_work(Mono(2_100)));
    /// ```
    pub fn rest_left_ms(&self, now: Mono) -> u64 {
        self.rests_until.since(now)
    }

    /// Tells whether the upstream takes work by its own word.
    pub fn takes_work(&self, now: Mono) -> bool {
        !self.is_leaving && now >= self.rests_until
    }

    /// Tells whether the upstream is passed over, by its own word or for its failures.
    pub fn is_ejected(&self, now: Mono) -> bool {
        now < self.ejected_until || !self.takes_work(now)
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
    pub fn estimate(&self, now: Mono) -> Option<f64> {
        (!self.is_ejected(now)).then(|| self.answer_ms(now))
    }

    /// Estimates how many requests the upstream has.
    pub fn total(&self, now: Mono) -> f64 {
        let age_ms = now.since(self.reported_at) as f64;
        let others = self.others * 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        f64::from(self.own) + others
    }

    /// Estimates when a request sent now would be answered, in milliseconds, without the way there.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::balance::LoadView;
    ///
    /// let mut idle = LoadView::new(2, 100.0);
    /// let mut full = idle.clone();
    /// idle.report(1, 2, Mono(0));
    /// full.report(4, 2, Mono(0));
    /// assert!(idle.answer_ms(Mono(0)) < full.answer_ms(Mono(0)));
    /// ```
    pub fn answer_ms(&self, now: Mono) -> f64 {
        let slots = f64::from(self.slots);
        let ahead = (self.total(now) + 1.0 - slots).max(0.0);
        // A nearly full upstream is worse than an empty one even while no one waits.
        let crowd = 0.1 * (self.total(now) / slots).min(1.0);
        self.work_ms(now) * (1.0 + crowd + ahead / slots)
    }
}

/// What is known of the time that a request has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeLeft {
    /// Within how long it is to be answered, in milliseconds.
    pub whole_objective_ms: f64,
    /// What is left of that, in milliseconds; not above 0 once it has passed.
    pub objective_ms: f64,
    /// Until nobody waits for it any more, in milliseconds.
    pub deadline_ms: f64,
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
/// use carobreel::gateway::balance::{admit, LoadView, TimeLeft};
///
/// let mut view = LoadView::new(3, 90.0);
/// let left = TimeLeft {
///     whole_objective_ms: 400.0,
///     objective_ms: 400.0,
///     deadline_ms: 1_000.0,
/// };
/// assert_eq!(admit(&view, 2.0, left, Mono(0)), Ok(()));
/// view.report(7, 3, Mono(0));
/// assert_eq!(admit(&view, 2.0, left, Mono(0)), Ok(()));
/// // It was here before, and is late already.
/// let late = TimeLeft { objective_ms: -50.0, deadline_ms: 550.0, ..left };
/// assert!(admit(&view, 2.0, late, Mono(0)).is_err());
/// view.report(15, 3, Mono(0));
/// assert!(admit(&view, 2.0, left, Mono(0)).is_err());
/// ```
pub fn admit(view: &LoadView, way_ms: f64, left: TimeLeft, now: Mono) -> Result<(), u64> {
    let answer_ms = view.answer_ms(now) * CERTAINTY + way_ms;
    let has_room = view.total(now) < f64::from(view.slots);
    let limit_ms = if left.objective_ms > 0.0 {
        left.objective_ms.min(left.deadline_ms)
    } else {
        left.deadline_ms.min(left.whole_objective_ms * LATE_SHARE)
    };
    if answer_ms <= limit_ms || (has_room && answer_ms <= left.deadline_ms) {
        return Ok(());
    }
    let room_ms = answer_ms - limit_ms.max(view.work_ms(now)) + ROOM_MARGIN_MS;
    Err(room_ms.clamp(ROOM_MARGIN_MS, RETRY_AFTER_MAX_MS) as u64)
}

/// A choice with its estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The position in the list.
    pub position: usize,
    /// When it would answer, in milliseconds.
    pub answer_ms: f64,
}

/// Returns the upstream that would answer first. Each comes with its estimate, `None` when it is passed
/// over, and what the way to it is worth, both in milliseconds. Near ties are broken by `draw`, so that
/// entry hosts with the same reports spread out.
pub fn choose(
    upstreams: impl Iterator<Item = (usize, Option<f64>, f64)>,
    mut draw: impl FnMut() -> f64,
) -> Option<Choice> {
    let mut best: Option<(f64, Choice)> = None;
    for (position, estimate, way_ms) in upstreams {
        let Some(estimate_ms) = estimate else {
            continue;
        };
        let answer_ms = estimate_ms + way_ms;
        let cost = answer_ms + draw() * (answer_ms * NEAR_SHARE + NEAR_MS);
        if best.as_ref().is_none_or(|(other, _)| cost < *other) {
            let choice = Choice {
                position,
                answer_ms,
            };
            best = Some((cost, choice));
        }
    }
    best.map(|(_, choice)| choice)
}
