//! Permits for requests to upstreams with a rate limit, issued by the directory's leader to entry hosts.
//!
//! A permit allows one request. The start times of an upstream's permits are spaced by its limit, so what
//! reaches it in any window is bounded by the limit alone: it doesn't matter how many hosts there are, how
//! requests are distributed among them, or which permits are lost with a host or a message.
//!
//! The limit is the lowest of the one that the upstream names, which entry hosts report, and the one that it has
//! while it is cold, which the replicated state contains.

mod cold;

use std::collections::BTreeMap;

use crate::clock::Mono;
use crate::rate_limit::{lowest_limit, RateLimit};

use super::inferred_limits::LimitChange;
use super::model::Incarnation;
use super::protocol::{LimitReport, PermitGrant, PermitRequest, PermitTerms};
use cold::{cold_lifetime_ms, COLD_IDLE_CREDIT_MS};

/// How long a permit can be used from its start time on, in milliseconds.
pub const PERMIT_LIFETIME_MS: u64 = 750;
/// How far ahead of its start time a permit may be issued, in milliseconds.
pub const RESERVATION_MAX_MS: u64 = 500;
/// How far start times may lag behind the current time, in milliseconds. Permits that nobody asked for
/// meanwhile are issued at once, as a burst.
const IDLE_CREDIT_MS: u64 = 500;
/// How long the end of a limit is remembered, in milliseconds, so that late reports don't revive it.
const ENDED_LIMIT_KEPT_MS: u64 = 10_000;
/// The number of versions of one leader's limits; a later leader begins with a higher one.
const VERSIONS_PER_TERM: u64 = 1 << 32;

/// The requests for permits per second of all entry hosts together that a leader serves.
const REQUESTS_PER_S: u64 = 200;
/// Minimum interval between two requests of one host, in milliseconds.
const PAUSE_MIN_MS: u64 = 20;
/// Maximum interval between two requests of one host, in milliseconds: that of 700 hosts which all ask.
const PAUSE_MAX_MS: u64 = 3_500;
/// An entry host that asked within this time counts as one that asks, in milliseconds.
const ASKING_WINDOW_MS: u64 = 1_000;
/// The same if [`MANY_ASKING`] hosts or more asked within [`ASKING_WINDOW_MS`]: hosts that ask less than once in it
/// would be missed.
const LONG_ASKING_WINDOW_MS: u64 = 4_000;
const MANY_ASKING: usize = 180;

/// One upstream's limit, and the schedule of its permits.
#[derive(Debug)]
struct IssuedLimit {
    /// The limit that the upstream names.
    limit: Option<RateLimit>,
    /// When an entry host last read it in a response; `None` if none has.
    observed_at: Option<Mono>,
    /// The limit while the upstream is cold.
    cold: Option<RateLimit>,
    /// The limit that follows from what the upstream can serve, and when it last changed.
    inferred: Option<RateLimit>,
    inferred_at: Option<Mono>,
    /// The start time of the next permit, in microseconds.
    next_start_us: u64,
    counts: PermitCounts,
}

impl IssuedLimit {
    /// Returns the limit in force.
    fn effective(&self) -> Option<RateLimit> {
        lowest_limit([self.limit, self.cold, self.inferred])
    }

    /// Reports whether hosts are told of the limits: those of cold upstreams follow from registrations.
    fn is_reported(&self) -> bool {
        self.observed_at.is_some() || self.inferred_at.is_some()
    }

    fn terms(&self) -> Option<PermitTerms> {
        Some(PermitTerms {
            limit: self.effective()?,
            is_cold: self.cold.is_some(),
            lifetime_ms: self.cold.map_or(PERMIT_LIFETIME_MS, cold_lifetime_ms),
        })
    }

    /// Changes the limits. Start times stay apart by the limit before or after it, whichever is higher.
    fn change(&mut self, change: impl FnOnce(&mut IssuedLimit), now: Mono) {
        let before = self.effective();
        change(self);
        let (Some(before), Some(limit)) = (before, self.effective()) else {
            return;
        };
        // A permit that was far ahead at a lower limit is due earlier at this one.
        let last_us = self.next_start_us.saturating_sub(before.interval_us());
        let due_us = last_us.max(now.0 * 1_000) + limit.interval_us();
        self.next_start_us = self.next_start_us.min(due_us);
    }

    fn report(&self, upstream: &Incarnation, now: Mono) -> LimitReport {
        LimitReport {
            upstream: upstream.clone(),
            limit: self.limit,
            age_ms: now.since(self.observed_at.unwrap_or(Mono(0))),
            inferred: self.inferred,
        }
    }

    /// Returns the time until the start of each permit for a request, in milliseconds.
    fn take_starts(&mut self, request: &PermitRequest, now: Mono) -> Vec<u64> {
        let mut starts_in_ms = Vec::new();
        let Some(limit) = self.effective() else {
            return starts_in_ms;
        };
        let now_us = now.0 * 1_000;
        let credit_us = match self.cold {
            Some(_) => COLD_IDLE_CREDIT_MS * 1_000,
            None => IDLE_CREDIT_MS * 1_000,
        };
        let wait_max_us = request.wait_max_ms.min(RESERVATION_MAX_MS) * 1_000;
        self.next_start_us = self.next_start_us.max(now_us.saturating_sub(credit_us));
        for _ in 0..request.count {
            let wait_us = self.next_start_us.saturating_sub(now_us);
            if wait_us > wait_max_us {
                break;
            }
            starts_in_ms.push(wait_us.div_ceil(1_000));
            self.next_start_us += limit.interval_us();
        }
        let issued = starts_in_ms.len() as u64;
        self.counts.issued += issued;
        self.counts.refused += u64::from(request.count) - issued;
        starts_in_ms
    }
}

/// Permits of one upstream since the last summary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitCounts {
    /// Permits issued.
    pub issued: u64,
    /// Permits that hosts asked for in vain.
    pub refused: u64,
}

/// Knows the rate limits of upstreams and issues permits. It isn't replicated: a new leader learns the limits
/// from the requests of entry hosts, and issues nothing for the time that its predecessor may have reserved.
#[derive(Debug)]
pub struct PermitIssuer {
    upstreams: BTreeMap<Incarnation, IssuedLimit>,
    version: u64,
    starts_from: Mono,
    /// When each entry host last asked.
    asked_at: BTreeMap<String, Mono>,
}

impl PermitIssuer {
    /// Returns the issuer of a leader that was elected at `elected_at` in `term`.
    pub fn new(term: u64, elected_at: Mono) -> PermitIssuer {
        PermitIssuer {
            upstreams: BTreeMap::new(),
            version: term.wrapping_mul(VERSIONS_PER_TERM),
            starts_from: elected_at.plus(RESERVATION_MAX_MS),
            asked_at: BTreeMap::new(),
        }
    }

    /// Returns the version of the limits, which grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Reports whether limits are inferred, which hosts must be told again and again.
    pub fn has_inferred(&self) -> bool {
        self.upstreams.values().any(|u| u.inferred.is_some())
    }

    /// Reports whether a host that knows version `known` must be told of limits.
    pub fn has_news(&self, known: u64) -> bool {
        known != self.version && self.upstreams.values().any(IssuedLimit::is_reported)
    }

    /// Records the limit that an entry host knows. Returns the limits before and after if it changed one.
    pub fn record(
        &mut self,
        request: &PermitRequest,
        now: Mono,
    ) -> Option<(Option<RateLimit>, Option<RateLimit>)> {
        let report = &request.known;
        let observed_at = Mono(now.0.saturating_sub(report.age_ms));
        let is_named = |u: &IssuedLimit| u.observed_at.is_some();
        if !self.upstreams.get(&report.upstream).is_some_and(is_named) {
            report.limit?;
            let entry = self.entry(&report.upstream, now);
            entry.observed_at = Some(observed_at);
            entry.change(|entry| entry.limit = report.limit, now);
            self.version += 1;
            return Some((None, report.limit));
        }
        let entry = self.upstreams.get_mut(&report.upstream)?;
        if !request.is_observed || Some(observed_at) <= entry.observed_at {
            return None;
        }
        entry.observed_at = Some(observed_at);
        let before = entry.limit;
        if before == report.limit {
            return None;
        }
        entry.change(|entry| entry.limit = report.limit, now);
        self.version += 1;
        Some((before, report.limit))
    }

    /// Returns the record of an upstream, whose first permit starts at once if it is new.
    fn entry(&mut self, upstream: &Incarnation, now: Mono) -> &mut IssuedLimit {
        let next_start_us = now.max(self.starts_from).0 * 1_000;
        let entry = self.upstreams.entry(upstream.clone());
        entry.or_insert_with(|| IssuedLimit {
            limit: None,
            observed_at: None,
            cold: None,
            inferred: None,
            inferred_at: None,
            next_start_us,
            counts: PermitCounts::default(),
        })
    }

    /// Takes over a limit that was inferred, changed or ended. Permits under a new one start after `pause_ms`, in which
    /// the upstream serves what it has got already.
    pub fn set_inferred(&mut self, change: &LimitChange, pause_ms: u64, now: Mono) {
        let entry = self.entry(&change.upstream, now);
        let is_new = entry.inferred.is_none();
        entry.change(|entry| entry.inferred = change.limit, now);
        if is_new {
            entry.next_start_us = entry.next_start_us.max(now.plus(pause_ms).0 * 1_000);
        }
        entry.inferred_at = Some(now);
        self.version += 1;
    }

    /// Records that a host asks, and returns the minimum time until it may ask again, in milliseconds. It grows
    /// with the number of hosts that ask.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::directory::permits::PermitIssuer;
    ///
    /// let mut issuer = PermitIssuer::new(1, Mono(0));
    /// assert_eq!(issuer.record_request("e1", Mono(0)), 20);
    /// for n in 0..92 {
    ///     issuer.record_request(&format!("e{n}"), Mono(10));
    /// }
    /// assert_eq!(issuer.record_request("e1", Mono(20)), 460);
    /// assert_eq!(issuer.record_request("e1", Mono(2_000)), 20);
    /// ```
    pub fn record_request(&mut self, host: &str, now: Mono) -> u64 {
        self.asked_at
            .retain(|_, at| now.since(*at) < LONG_ASKING_WINDOW_MS);
        self.asked_at.insert(host.to_string(), now);
        let is_recent = |at: &&Mono| now.since(**at) < ASKING_WINDOW_MS;
        let hosts = match self.asked_at.values().filter(is_recent).count() {
            recent if recent < MANY_ASKING => recent as u64,
            _ => self.asked_at.len() as u64,
        };
        (hosts * 1_000 / REQUESTS_PER_S).clamp(PAUSE_MIN_MS, PAUSE_MAX_MS)
    }

    /// Issues permits to a host, as many as start within the time that its requests can wait.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::directory::model::Incarnation;
    /// use carobreel::directory::permits::PermitIssuer;
    /// use carobreel::directory::protocol::{LimitReport, PermitRequest};
    /// use carobreel::rate_limit::RateLimit;
    ///
    /// let upstream = Incarnation { id: "u1".to_string(), born_ms: 1 };
    /// let limit = RateLimit::from_per_s(5.0);
    /// let known = LimitReport { upstream, limit, age_ms: 0, inferred: None };
    /// let mut issuer = PermitIssuer::new(1, Mono(0));
    /// let request = PermitRequest { known, is_observed: true, count: 8, wait_max_ms: 400 };
    /// issuer.record(&request, Mono(10_000));
    /// let grant = issuer.issue(&request, Mono(10_000));
    /// assert_eq!(grant.starts_in_ms, [0, 200, 400]);
    /// // The next one starts 600 ms after the first.
    /// assert_eq!(issuer.issue(&request, Mono(10_200)).starts_in_ms, [400]);
    /// ```
    pub fn issue(&mut self, request: &PermitRequest, now: Mono) -> PermitGrant {
        let upstream = request.known.upstream.clone();
        let Some(entry) = self.upstreams.get_mut(&upstream) else {
            return PermitGrant {
                known: LimitReport {
                    upstream,
                    limit: None,
                    age_ms: request.known.age_ms,
                    inferred: None,
                },
                terms: None,
                starts_in_ms: Vec::new(),
            };
        };
        PermitGrant {
            known: entry.report(&upstream, now),
            terms: entry.terms(),
            starts_in_ms: entry.take_starts(request, now),
        }
    }

    /// Returns the limits that upstreams announced or have because they are cold.
    pub fn limits(&self) -> BTreeMap<Incarnation, RateLimit> {
        let in_force = |(upstream, entry): (&Incarnation, &IssuedLimit)| {
            let limit = lowest_limit([entry.limit, entry.cold])?;
            Some((upstream.clone(), limit))
        };
        self.upstreams.iter().filter_map(in_force).collect()
    }

    /// Returns the limits that upstreams name, ended ones included, for an entry host.
    pub fn reports(&self, now: Mono) -> Vec<LimitReport> {
        let named = self.upstreams.iter();
        let named = named.filter(|(_, entry)| entry.is_reported());
        named
            .map(|(upstream, entry)| entry.report(upstream, now))
            .collect()
    }

    /// Forgets limits that ended a while ago, and those of upstreams for which `is_known` returns false. Returns
    /// whether there were any.
    pub fn forget_ended(&mut self, is_known: impl Fn(&Incarnation) -> bool, now: Mono) -> bool {
        let before = self.upstreams.len();
        self.upstreams.retain(|upstream, entry| {
            let is_recent = |at: Mono| now.since(at) < ENDED_LIMIT_KEPT_MS;
            // The schedule is kept until a new one couldn't begin earlier.
            let has_schedule = entry.next_start_us > now.0 * 1_000;
            let is_needed = entry.effective().is_some() || has_schedule;
            let changed_at = entry.observed_at.max(entry.inferred_at);
            is_known(upstream) && (is_needed || changed_at.is_some_and(is_recent))
        });
        self.upstreams.len() < before
    }

    /// Returns each limit in force with the permits since the last call.
    pub fn take_counts(&mut self) -> Vec<(Incarnation, RateLimit, PermitCounts)> {
        let take = |(upstream, entry): (&Incarnation, &mut IssuedLimit)| {
            let counts = std::mem::take(&mut entry.counts);
            // Dozens of upstreams may be cold at once; one that nobody asks for isn't worth a line.
            let is_used = entry.limit.is_some() || counts != PermitCounts::default();
            Some((
                upstream.clone(),
                entry.effective().filter(|_| is_used)?,
                counts,
            ))
        };
        self.upstreams.iter_mut().filter_map(take).collect()
    }
}
