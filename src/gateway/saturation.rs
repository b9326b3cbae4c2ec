//! Tells an upstream without free capacity from one that fails, by what this entry host knows of its load.
//!
//! A full upstream refuses requests, resets connections or doesn't answer, like a failing one. Ejecting it would
//! also withhold the requests that it could serve; of a key's owner there is no other.

use crate::clock::Mono;
use crate::decay::remaining_weight;

/// How long before a request was sent a load report describes the load that it met, in milliseconds: bursts on few
/// keys grow and end within seconds.
const REPORT_WINDOW_MS: u64 = 1_000;
/// Half-life of the count of requests that this host sent, in milliseconds.
const SENDS_HALF_LIFE_MS: f64 = 1_000.0;
/// Minimum count of requests sent for an estimate of the demand at all entry hosts: a single request tells nothing,
/// two within about two seconds do.
const SENDS_MIN: f64 = 1.2;
/// Demand at all entry hosts, as a multiple of what the upstream can serve, that counts as proof that it is full.
/// The estimate assumes that callers are spread evenly over the hosts.
const DEMAND_FACTOR: f64 = 2.0;
/// How long failures are attributed to the demand alone without any answer, in milliseconds. Bursts on few keys
/// last 4 to 6 s, and the directory spreads them over several owners within this time.
const DEMAND_TRUSTED_MS: u64 = 6_000;
/// Minimum and maximum time for which a full upstream gets no requests of this host, in milliseconds.
const HOLD_RANGE_MS: (f64, f64) = (100.0, 1_000.0);

/// Minimum `Retry-After` of requests for a full owner of keys, in milliseconds. The directory spreads a range of hot
/// keys within one to two seconds, and callers wait at most a third of their remaining time.
const FULL_RETRY_AFTER_MIN_MS: f64 = 800.0;
/// Range over which the times of such requests are spread, in milliseconds.
const FULL_RETRY_SPREAD_MS: f64 = 500.0;

/// Returns the `Retry-After` of a request for a full owner of keys, in milliseconds. `random` is from 0 to 1.
pub fn full_retry_after_ms(random: f64) -> u64 {
    (FULL_RETRY_AFTER_MIN_MS + FULL_RETRY_SPREAD_MS * random) as u64
}

/// What an upstream can serve, and the number of entry hosts that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests per second.
    pub per_s: f64,
    /// Entry hosts that send it requests.
    pub entry_hosts: u32,
}

/// The demand at the time of sending a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SendSample {
    /// When the request was sent.
    pub sent_at: Mono,
    /// The decayed count of this host's requests to the upstream, this one included.
    sends: f64,
}

/// Why an upstream counts as full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Its load reports from that time.
    LoadReport,
    /// The rate of this host's requests, extrapolated to all entry hosts.
    Demand,
    /// The directory's leader limited its requests to what it can serve.
    InferredLimit,
    /// It resets new connections.
    Connections,
}

impl Evidence {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Evidence::LoadReport => "load report",
            Evidence::Demand => "demand",
            Evidence::InferredLimit => "inferred limit",
            Evidence::Connections => "connections",
        }
    }
}

/// What follows from a request that an upstream left unserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It failed once.
    Failed,
    /// It is full, which was known or has ended.
    Full,
    /// It failed, and is ejected.
    Ejected,
    /// It is full, and gets no requests of this host for a while.
    Held {
        /// Why it counts as full.
        evidence: Evidence,
        /// For how long, in milliseconds.
        hold_ms: u64,
    },
}

/// What is known about the free capacity of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Saturation {
    sends: f64,
    sends_at: Mono,
    /// When it last reported that all slots were taken, or that some were free.
    busy_at: Option<Mono>,
    free_at: Option<Mono>,
    /// The first failure since the last answer that was attributed to the demand alone.
    trusted_since: Option<Mono>,
    /// When the leader last limited its requests to what it can serve.
    limited_at: Option<Mono>,
    full_until: Mono,
}

impl Saturation {
    /// Counts a request that is sent now.
    pub fn record_send(&mut self, now: Mono) -> SendSample {
        let weight = remaining_weight(now.since(self.sends_at), SENDS_HALF_LIFE_MS);
        self.sends = self.sends * weight + 1.0;
        self.sends_at = now;
        SendSample {
            sent_at: now,
            sends: self.sends,
        }
    }

    /// Records a load report of `total` requests that run or wait. An upstream with free slots isn't full.
    pub fn record_report(&mut self, total: u32, slots: u32, now: Mono) {
        if total >= slots {
            self.busy_at = Some(now);
        } else {
            self.free_at = Some(now);
            self.full_until = self.full_until.min(now);
        }
    }

    /// Records that the leader limits or limited requests to what the upstream can serve.
    pub fn record_inferred_limit(&mut self, now: Mono) {
        self.limited_at = Some(now);
    }

    /// Records an answer, which shows that the upstream serves requests.
    pub fn record_answer(&mut self) {
        self.trusted_since = None;
    }

    /// Reports whether all slots were taken about when a request was sent, or after that.
    pub fn was_busy_at(&self, sample: SendSample) -> bool {
        let earliest = Mono(sample.sent_at.0.saturating_sub(REPORT_WINDOW_MS));
        self.busy_at.is_some_and(|at| at >= earliest)
    }

    /// Reports whether a recent load report shows free slots.
    pub fn has_free_slot(&self, now: Mono) -> bool {
        let is_recent = |at: &Mono| now.since(*at) < REPORT_WINDOW_MS;
        self.free_at.filter(is_recent) > self.busy_at
    }

    /// Returns why the upstream was full when it failed a request, or `None` if it fails for another reason.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::saturation::{Capacity, Evidence, Saturation};
    ///
    /// let capacity = Capacity { per_s: 12.0, entry_hosts: 87 };
    /// let mut upstream = Saturation::default();
    /// let first = upstream.record_send(Mono(1_000));
    /// assert_eq!(upstream.judge_failure(first, capacity, Mono(1_010)), None);
    /// // 4 requests a second from each of 87 hosts.
    /// let second = upstream.record_send(Mono(1_250));
    /// assert_eq!(upstream.judge_failure(second, capacity, Mono(1_260)), Some(Evidence::Demand));
    /// // A report from after that shows that most slots are free.
    /// upstream.record_report(1, 6, Mono(1_300));
    /// assert_eq!(upstream.judge_failure(second, capacity, Mono(1_310)), None);
    /// ```
    pub fn judge_failure(
        &mut self,
        sample: SendSample,
        capacity: Capacity,
        now: Mono,
    ) -> Option<Evidence> {
        if self.was_busy_at(sample) {
            return Some(Evidence::LoadReport);
        }
        if self.limited_at.is_some_and(|at| at >= sample.sent_at) {
            return Some(Evidence::InferredLimit);
        }
        if self.free_at.is_some_and(|at| at >= sample.sent_at) {
            return None;
        }
        let per_s = sample.sends * std::f64::consts::LN_2 / (SENDS_HALF_LIFE_MS / 1_000.0);
        let demand_per_s = per_s * f64::from(capacity.entry_hosts.max(1));
        if sample.sends < SENDS_MIN || demand_per_s < DEMAND_FACTOR * capacity.per_s {
            return None;
        }
        let trusted_since = *self.trusted_since.get_or_insert(now);
        (now.since(trusted_since) < DEMAND_TRUSTED_MS).then_some(Evidence::Demand)
    }

    /// Holds back requests for the time in which the upstream has capacity for one of this host, counted from when
    /// the failed request was sent. `random` is from 0 to 1. Returns the time in milliseconds if it is full now and
    /// wasn't before.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::saturation::{Capacity, Saturation};
    ///
    /// let mut upstream = Saturation::default();
    /// let sample = upstream.record_send(Mono(1_000));
    /// let capacity = Capacity { per_s: 12.0, entry_hosts: 6 };
    /// assert_eq!(upstream.hold(sample, capacity, 0.5, Mono(1_010)), Some(490));
    /// assert_eq!(upstream.full_remaining_ms(Mono(1_200)), 300);
    /// ```
    pub fn hold(
        &mut self,
        sample: SendSample,
        capacity: Capacity,
        random: f64,
        now: Mono,
    ) -> Option<u64> {
        let turn_ms = f64::from(capacity.entry_hosts.max(1)) * 1_000.0 / capacity.per_s.max(0.001);
        let hold_ms = turn_ms.clamp(HOLD_RANGE_MS.0, HOLD_RANGE_MS.1) * (0.75 + 0.5 * random);
        let was_full = self.full_remaining_ms(now) > 0;
        // A free slot that was reported since then is evidence of later.
        if self.free_at.is_some_and(|at| at > sample.sent_at) {
            return None;
        }
        let until = sample.sent_at.plus(hold_ms as u64);
        self.full_until = self.full_until.max(until);
        (!was_full && self.full_until > now).then(|| self.full_until.since(now))
    }

    /// Returns for how much longer the upstream counts as full, in milliseconds.
    pub fn full_remaining_ms(&self, now: Mono) -> u64 {
        self.full_until.since(now)
    }
}
