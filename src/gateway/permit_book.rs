//! The rate limits of upstreams as known to this entry host, and its permits to send them requests.
//!
//! Under a limit a request needs a permit of the directory's leader. Requests that only a limited upstream
//! may run wait for one if it starts in time; the others are refused at once, with a `Retry-After` that
//! spreads them at the rate at which this host gets permits.
//!
//! The limit in force is the lowest of the one that the upstream names, the one that it has while it is cold, and the
//! one that the leader infers while it is full.

mod cold;
mod inferred;
mod queue;

use std::collections::{BTreeMap, VecDeque};

use tokio::sync::oneshot;

use crate::clock::Mono;
use crate::decay::remaining_weight;
use crate::directory::model::Incarnation;
use crate::directory::permits::RESERVATION_MAX_MS;
use crate::directory::protocol::{LimitReport, PermitGrant, PermitRequest};
use crate::event::Event;
use crate::rate_limit::{lowest_limit, RateLimit};

use super::permit::{Permit, PermitOutcome, PermitState};
use super::protocol::RateLimitNotice;
use super::saturation::full_retry_after_ms;

/// Half-life of the rate at which this host gets permits, in milliseconds.
const SHARE_HALF_LIFE_MS: f64 = 2_000.0;
/// Longest `Retry-After` of a request for a limited upstream, in milliseconds.
const RETURN_MAX_MS: f64 = 8_000.0;
/// Minimum `Retry-After` of a request for a limited upstream, in milliseconds.
const RETURN_MIN_MS: f64 = 50.0;
/// Permits that are asked for ahead of requests that other upstreams may run as well.
const AHEAD_MAX: u32 = 1;
/// The number of upstreams in a request to the leader from which no permits are asked for ahead: dozens of upstreams
/// may be cold at once.
const REQUESTED_AHEAD_MAX: usize = 16;

#[derive(Debug)]
struct Waiter {
    tx: oneshot::Sender<PermitOutcome>,
    wait_until: Mono,
    /// The priority of the request's route; 0 is the highest.
    priority: u32,
}

/// What this host knows of one upstream's limit.
#[derive(Debug, Default)]
struct LimitedUpstream {
    /// The limit that the upstream names.
    limit: Option<RateLimit>,
    /// The limit while the upstream is cold.
    cold: Option<RateLimit>,
    /// The limit that the leader inferred, and until when it is in force unless the leader confirms it.
    inferred: Option<RateLimit>,
    inferred_until: Mono,
    /// When this host learned of the limit that the upstream names.
    learned_at: Mono,
    /// When some host last read it in a response.
    observed_at: Mono,
    /// When this host last took it from an update of the leader.
    updated_at: Mono,
    /// Whether the leader knows it.
    is_reported: bool,
    /// The last malformed value, which is logged once.
    malformed: Option<String>,
    permits: VecDeque<Permit>,
    waiters: VecDeque<Waiter>,
    /// The number of waiters that the last request to the leader counted.
    waiters_asked: usize,
    /// Permits to ask for beside those of the waiters.
    ahead: u32,
    /// The decaying number of permits that this host got, and when it was last brought up to date.
    granted: f64,
    granted_at: Mono,
    /// The time for which the last refused request was told to return.
    return_at_ms: f64,
    sent: u64,
    permits_got: u64,
    refused: u64,
}

impl LimitedUpstream {
    /// Returns the rate at which this host gets permits, per second; an equal share of `entry_hosts` until it
    /// got some.
    fn share_per_s(&self, entry_hosts: u32, now: Mono) -> f64 {
        // In a steady state the decaying count is the rate times the half-life over ln 2.
        let per_s =
            self.granted_until(now) * std::f64::consts::LN_2 / (SHARE_HALF_LIFE_MS / 1_000.0);
        let limit = self.effective(now);
        let milli_per_s = limit.map_or(1, RateLimit::milli_per_s);
        per_s.max(milli_per_s as f64 / 1_000.0 / f64::from(entry_hosts.max(1)))
    }

    /// Reports whether a request would be refused at once: as many wait already as this host may expect
    /// permits for within the time that they can wait.
    fn is_queue_full(&self, entry_hosts: u32, now: Mono) -> bool {
        let share = self.share_per_s(entry_hosts, now);
        let queue_max = 1 + (share * RESERVATION_MAX_MS as f64 / 1_000.0) as usize;
        self.waiters.len() >= queue_max
    }

    /// Returns the decaying number of permits that this host got.
    fn granted_until(&self, now: Mono) -> f64 {
        self.granted * remaining_weight(now.since(self.granted_at), SHARE_HALF_LIFE_MS)
    }

    fn record_granted(&mut self, count: usize, now: Mono) {
        self.granted = self.granted_until(now) + count as f64;
        self.granted_at = now;
        self.permits_got += count as u64;
    }

    fn drop_unusable_permits(&mut self, now: Mono) {
        let mut permits = std::mem::take(&mut self.permits);
        permits.retain(|p| self.is_usable(p, now));
        self.permits = permits;
    }

    /// Takes a permit that has started.
    fn take_started(&mut self, now: Mono) -> Option<Permit> {
        self.drop_unusable_permits(now);
        self.pop_permit_by(now)
    }

    /// Takes the next permit if it starts by `at`.
    fn pop_permit_by(&mut self, at: Mono) -> Option<Permit> {
        self.permits.front().filter(|p| p.starts_at <= at)?;
        self.permits.pop_front()
    }

    /// Returns the `Retry-After` of a refused request, in milliseconds: the times of one host are spread at
    /// the rate of its permits. Beyond the maximum they are distributed by `random`, from 0 to 1.
    fn retry_after_ms(&mut self, per_s: f64, random: f64, now: Mono) -> u64 {
        self.refused += 1;
        if self.is_inferred(now) {
            return full_retry_after_ms(random);
        }
        let earliest = now.0 as f64 + RETURN_MIN_MS;
        let return_at_ms = self.return_at_ms.max(earliest) + 1_000.0 / per_s;
        if return_at_ms > now.0 as f64 + RETURN_MAX_MS {
            return (RETURN_MAX_MS * (0.5 + 0.5 * random)) as u64;
        }
        self.return_at_ms = return_at_ms;
        (return_at_ms - now.0 as f64) as u64
    }

    fn report(&self, upstream: &Incarnation, now: Mono) -> LimitReport {
        LimitReport {
            upstream: upstream.clone(),
            limit: self.limit,
            age_ms: now.since(self.observed_at),
            inferred: None,
        }
    }
}

/// The limits and permits of one entry host.
#[derive(Debug, Default)]
pub struct PermitBook {
    upstreams: BTreeMap<Incarnation, LimitedUpstream>,
    /// The number of entry hosts that share the limits.
    entry_hosts: u32,
    /// When this host may ask the leader again.
    asks_from: Mono,
    summarized_at: Mono,
}

impl PermitBook {
    /// Reports whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Sets the number of entry hosts that share the limits.
    pub fn set_entry_hosts(&mut self, entry_hosts: u32) {
        self.entry_hosts = entry_hosts;
    }

    /// Sets when this host may ask the leader again.
    pub fn set_next_request_at(&mut self, at: Mono) {
        self.asks_from = at;
    }

    /// Returns the limit that an upstream names or has while it is cold.
    pub fn limit(&self, upstream: &Incarnation) -> Option<RateLimit> {
        let entry = self.upstreams.get(upstream)?;
        lowest_limit([entry.limit, entry.cold])
    }

    /// Records what a response says about the limit, and returns the event to log. `sent_at` is when its
    /// request was sent: a response to a request from before the limit was known doesn't show that it ended.
    pub fn observe(
        &mut self,
        upstream: &Incarnation,
        notice: &RateLimitNotice,
        sent_at: Mono,
        now: Mono,
    ) -> Option<Event> {
        match notice {
            RateLimitNotice::Named(limit) => {
                self.set_limit(upstream, Some(*limit), now, false, now)
            }
            RateLimitNotice::Absent => {
                let known = self.upstreams.get(upstream)?;
                let has_ended = known.limit.is_some() && sent_at >= known.learned_at;
                has_ended.then(|| self.set_limit(upstream, None, now, false, now))?
            }
            RateLimitNotice::Malformed(value) => {
                let entry = self.upstreams.entry(upstream.clone()).or_default();
                if entry.malformed.as_ref() == Some(value) {
                    return None;
                }
                entry.malformed = Some(value.clone());
                Some(Event::RateLimitMalformed {
                    upstream: upstream.id.clone(),
                    value: value.clone(),
                    milli_per_s: entry.limit.map_or(0, RateLimit::milli_per_s),
                })
            }
        }
    }

    /// Takes over limits that other hosts have read, unless this one read them later. Returns events to log.
    pub fn learn(&mut self, reports: &[LimitReport], now: Mono) -> Vec<Event> {
        let mut events = self.learn_inferred(reports, now);
        let learn = |report: &LimitReport| {
            let observed_at = Mono(now.0.saturating_sub(report.age_ms));
            let known = self.upstreams.get(&report.upstream);
            let is_news = known.map_or(report.limit.is_some(), |k| {
                observed_at > k.observed_at && (report.limit.is_some() || k.was_announced())
            });
            if !is_news {
                return None;
            }
            let event = self.set_limit(&report.upstream, report.limit, observed_at, true, now);
            let entry = self.upstreams.get_mut(&report.upstream)?;
            entry.updated_at = now;
            event
        };
        events.extend(reports.iter().filter_map(learn));
        events
    }

    fn set_limit(
        &mut self,
        upstream: &Incarnation,
        limit: Option<RateLimit>,
        observed_at: Mono,
        is_reported: bool,
        now: Mono,
    ) -> Option<Event> {
        let entry = self.upstreams.entry(upstream.clone()).or_default();
        entry.observed_at = observed_at;
        if entry.limit == limit {
            return None;
        }
        let before = std::mem::replace(&mut entry.limit, limit);
        if before.is_none() {
            entry.learned_at = now;
        }
        entry.is_reported = is_reported;
        entry.drop_unusable_permits(now);
        Some(Event::RateLimitChanged {
            upstream: upstream.id.clone(),
            from_milli_per_s: before.map_or(0, RateLimit::milli_per_s),
            to_milli_per_s: limit.map_or(0, RateLimit::milli_per_s),
        })
    }

    /// Returns whether a request could be sent to an upstream now.
    pub fn permit_state(&mut self, upstream: &Incarnation, now: Mono) -> PermitState {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return PermitState::NotNeeded;
        };
        entry.drop_unusable_permits(now);
        if entry.effective(now).is_none() {
            PermitState::NotNeeded
        } else if entry.permits.front().is_some_and(|p| p.starts_at <= now) {
            PermitState::Held
        } else if entry.is_queue_full(self.entry_hosts, now)
            || self.asks_from.since(now) > RESERVATION_MAX_MS
        {
            PermitState::QueueFull
        } else {
            PermitState::Needed
        }
    }

    /// Takes a permit that has started.
    pub fn take(&mut self, upstream: &Incarnation, now: Mono) -> Option<Permit> {
        self.upstreams.get_mut(upstream)?.take_started(now)
    }

    /// Returns an unused permit.
    pub fn put_back(&mut self, upstream: &Incarnation, permit: Permit) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.permits.push_front(permit);
        }
    }

    /// Decides at the moment of sending whether a request may be sent, and counts it.
    pub fn authorize(&mut self, upstream: &Incarnation, permit: Option<Permit>, now: Mono) -> bool {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return true;
        };
        if entry.effective(now).is_some() {
            let has_permit = permit.is_some_and(|p| entry.is_usable(&p, now));
            if !has_permit && entry.take_started(now).is_none() {
                return false;
            }
        }
        entry.sent += 1;
        true
    }

    /// Asks for a permit for a later request to an upstream that would have been the best choice.
    pub fn ask_ahead(&mut self, upstream: &Incarnation) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            let has_permits = entry.permits.len() as u32;
            entry.ahead = (entry.ahead + 1).min(AHEAD_MAX.saturating_sub(has_permits));
        }
    }

    /// Queues a request of the highest priority that can wait for up to `wait_max_ms`. The error is its
    /// `Retry-After` in milliseconds.
    pub fn wait(
        &mut self,
        upstream: &Incarnation,
        wait_max_ms: u64,
        random: f64,
        now: Mono,
    ) -> Result<oneshot::Receiver<PermitOutcome>, u64> {
        self.wait_with_priority(upstream, 0, wait_max_ms, random, now)
    }

    /// Refuses a request and returns its `Retry-After` in milliseconds.
    pub fn refuse(&mut self, upstream: &Incarnation, random: f64, now: Mono) -> u64 {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return RETURN_MIN_MS as u64;
        };
        let per_s = entry.share_per_s(self.entry_hosts, now);
        entry.retry_after_ms(per_s, random, now)
    }

    /// Reports whether there is something to ask or to tell the leader.
    pub fn has_requests(&self) -> bool {
        self.upstreams
            .values()
            .any(|u| !u.waiters.is_empty() || u.ahead > 0 || !u.is_reported)
    }

    /// Returns the requests to the leader for all that wait, and for limits that it may not know.
    pub fn take_requests(&mut self, now: Mono) -> Vec<PermitRequest> {
        let mut requests = Vec::new();
        for (upstream, entry) in &mut self.upstreams {
            entry.waiters.retain(|w| !w.tx.is_closed());
            entry.waiters_asked = entry.waiters.len();
            let ahead = std::mem::take(&mut entry.ahead);
            let count = entry.waiters_asked as u32 + ahead;
            let is_optional = entry.waiters_asked == 0 && entry.is_reported;
            if is_optional && (ahead == 0 || requests.len() >= REQUESTED_AHEAD_MAX) {
                continue;
            }
            let waits = entry.waiters.iter().map(|w| w.wait_until.since(now));
            let wait_max_ms = waits.max().unwrap_or(0);
            requests.push(PermitRequest {
                known: entry.report(upstream, now),
                is_observed: !entry.is_reported,
                count,
                wait_max_ms: match ahead {
                    0 => wait_max_ms,
                    _ => wait_max_ms.max(RESERVATION_MAX_MS),
                },
            });
        }
        requests
    }

    /// Hands out the permits of the leader's answer to requests taken at `asked_at`, and refuses the waiting
    /// requests that were asked for in vain. Returns events to log. `random` returns values from 0 to 1.
    pub fn grant(
        &mut self,
        grants: Vec<PermitGrant>,
        asked_at: Mono,
        mut random: impl FnMut() -> f64,
        now: Mono,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for grant in grants {
            let upstream = grant.known.upstream.clone();
            let Some(known) = self.upstreams.get(&upstream) else {
                continue;
            };
            // The leader has weighed what this host knew when it asked. Later responses are news, and so are updates
            // that overtook the answer.
            let observed_at = Mono(now.0.saturating_sub(grant.known.age_ms));
            let is_overtaken = known.updated_at >= asked_at && observed_at < known.observed_at;
            let is_announced = grant.known.limit.is_some() || known.was_announced();
            if known.observed_at < asked_at && !is_overtaken && is_announced {
                let limit = grant.known.limit;
                events.extend(self.set_limit(&upstream, limit, observed_at, true, now));
            }
            let Some(entry) = self.upstreams.get_mut(&upstream) else {
                continue;
            };
            entry.is_reported = entry.is_reported || entry.limit == grant.known.limit;
            events.extend(entry.set_inferred(&upstream, grant.known.inferred, now));
            if let Some(terms) = grant.terms {
                entry.record_granted(grant.starts_in_ms.len(), now);
                // The permits count from before the request, so that a late answer doesn't prolong them.
                let expires_at = |starts_in_ms| asked_at.plus(starts_in_ms + terms.lifetime_ms);
                entry
                    .permits
                    .extend(grant.starts_in_ms.iter().map(|ms| Permit {
                        starts_at: now.plus(*ms),
                        expires_at: expires_at(*ms),
                        limit: terms.limit,
                        is_cold: terms.is_cold,
                    }));
            }
            // The leader counted the start from when it got the request.
            let way_ms = now.since(asked_at);
            self.serve_waiters(&upstream, way_ms, &mut random, now);
        }
        events
    }

    /// Gives permits to the waiting requests that were asked for, and refuses the rest of these.
    fn serve_waiters(
        &mut self,
        upstream: &Incarnation,
        way_ms: u64,
        random: &mut impl FnMut() -> f64,
        now: Mono,
    ) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        entry.drop_unusable_permits(now);
        let per_s = entry.share_per_s(self.entry_hosts, now);
        for _ in 0..std::mem::take(&mut entry.waiters_asked) {
            let Some(waiter) = entry.waiters.pop_front() else {
                break;
            };
            let in_time = entry.pop_permit_by(waiter.wait_until.plus(way_ms));
            let outcome = match in_time {
                Some(permit) => PermitOutcome::Granted(permit),
                None if entry.effective(now).is_none() => PermitOutcome::NotNeeded,
                None => PermitOutcome::Refused(entry.retry_after_ms(per_s, random(), now)),
            };
            // The request's caller may have left.
            if let Err(PermitOutcome::Granted(permit)) = waiter.tx.send(outcome) {
                entry.permits.push_front(permit);
            }
        }
    }

    /// Refuses the waiting requests that were asked for, since the leader didn't answer.
    pub fn refuse_waiters(&mut self, mut random: impl FnMut() -> f64, now: Mono) {
        let upstreams: Vec<Incarnation> = self.upstreams.keys().cloned().collect();
        for upstream in upstreams {
            self.serve_waiters(&upstream, 0, &mut random, now);
        }
    }

    /// Forgets upstreams for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&Incarnation) -> bool) {
        self.upstreams.retain(|upstream, _| is_known(upstream));
    }

    /// Returns an event for each upstream with a limit, with its traffic since the last call.
    pub fn take_traffic(&mut self, now: Mono) -> Vec<Event> {
        let over_ms = now.since(std::mem::replace(&mut self.summarized_at, now));
        let event = |(upstream, entry): (&Incarnation, &mut LimitedUpstream)| {
            let sent = std::mem::take(&mut entry.sent);
            let permits = std::mem::take(&mut entry.permits_got);
            let refused = std::mem::take(&mut entry.refused);
            // Dozens of upstreams may be cold at once; one without traffic isn't worth a line.
            let is_used = entry.limit.is_some() || sent + permits + refused > 0;
            let limit = entry.effective(now).filter(|_| is_used);
            Some(Event::RateLimitedTraffic {
                upstream: upstream.id.clone(),
                over_ms,
                milli_per_s: limit?.milli_per_s(),
                sent,
                permits,
                refused,
            })
        };
        self.upstreams.iter_mut().filter_map(event).collect()
    }
}
