//! Enforces the rate limits of upstreams on this entry host: the shared [`PermitBook`] and the task that gets
//! permits from the directory's leader.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{watch, Notify};

use crate::clock::{Clock, Mono};
use crate::directory::model::Incarnation;
use crate::directory::protocol::{DirectoryRequest, LimitReport, Reply};
use crate::event::{Event, Recorder};
use crate::lock::lock;
use crate::rate_limit::RateLimit;
use crate::transport::Endpoint;
use crate::wire::{Request, Response};

use super::metrics::Metrics;
use super::permit::{Permit, PermitOutcome, PermitState};
use super::permit_book::PermitBook;
use super::protocol::RateLimitNotice;

/// Timeout of a request for permits: the requests that wait for it have little time.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the next request after one that the leader didn't answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The reason of a refusal for want of a permit.
pub const UPSTREAM_AT_RATE_LIMIT: &str = "upstream at its rate limit";
/// The reason of the same refusal if the upstream is cold.
pub const UPSTREAM_COLD: &str = "upstream is cold and at its limit";

/// The rate limits of upstreams, and the permits to send them requests.
#[derive(Debug)]
pub struct RateLimits {
    recorder: Recorder,
    metrics: Arc<Metrics>,
    book: Mutex<PermitBook>,
    /// Whether the book may know a limit. Without any, requests don't lock it.
    is_used: AtomicBool,
    /// Wakes the task that asks the leader.
    has_requests: Notify,
}

impl RateLimits {
    /// Returns an empty set of limits that records changes in `recorder` and `metrics`.
    pub fn new(recorder: Recorder, metrics: Arc<Metrics>) -> RateLimits {
        RateLimits {
            recorder,
            metrics,
            book: Mutex::default(),
            is_used: AtomicBool::new(false),
            has_requests: Notify::new(),
        }
    }

    /// Reports whether any upstream may have a limit.
    pub fn is_used(&self) -> bool {
        self.is_used.load(Ordering::Relaxed)
    }

    fn record(&self, events: impl IntoIterator<Item = Event>) {
        for event in events {
            self.recorder.record(event);
        }
    }

    /// Records what a response to a request that was sent at `sent_at` says about the limit.
    pub fn observe(
        &self,
        upstream: &Incarnation,
        notice: &RateLimitNotice,
        sent_at: Mono,
        now: Mono,
    ) {
        if *notice == RateLimitNotice::Absent && !self.is_used() {
            return;
        }
        self.is_used.store(true, Ordering::Relaxed);
        let event = lock(&self.book).observe(upstream, notice, sent_at, now);
        if event.is_some() {
            self.has_requests.notify_one();
        }
        self.record(event);
    }

    /// Takes over limits that other hosts have read.
    pub fn learn(&self, reports: &[LimitReport], now: Mono) {
        if reports.is_empty() {
            return;
        }
        self.is_used.store(true, Ordering::Relaxed);
        let events = lock(&self.book).learn(reports, now);
        self.record(events);
    }

    /// Sets the limits of all cold upstreams. Called before the registrations that they are from can be used.
    pub fn set_cold_limits(&self, limits: &BTreeMap<Incarnation, RateLimit>, now: Mono) {
        self.metrics.cold_upstreams.set(limits.len() as i64);
        if limits.is_empty() && !self.is_used() {
            return;
        }
        self.is_used.store(true, Ordering::Relaxed);
        let event = lock(&self.book).set_cold_limits(limits, now);
        self.record(event);
    }

    /// Reports whether an upstream is cold and has a limit for that reason.
    pub fn is_cold(&self, upstream: &Incarnation) -> bool {
        self.is_used() && lock(&self.book).is_cold(upstream)
    }

    /// Reports whether the limit of an upstream is one that the leader inferred, because the upstream is full.
    pub fn is_inferred(&self, upstream: &Incarnation, now: Mono) -> bool {
        self.is_used() && lock(&self.book).is_inferred(upstream, now)
    }

    /// Reports whether an inferred limit was in force at some time since `since`.
    pub fn was_inferred_since(&self, upstream: &Incarnation, since: Mono) -> bool {
        self.is_used() && lock(&self.book).was_inferred_since(upstream, since)
    }

    /// Returns whether a request could be sent to an upstream now.
    pub fn permit_state(&self, upstream: &Incarnation, now: Mono) -> PermitState {
        lock(&self.book).permit_state(upstream, now)
    }

    /// Decides at the moment of sending whether a request may be sent.
    pub fn authorize(&self, upstream: &Incarnation, permit: Option<Permit>, now: Mono) -> bool {
        !self.is_used() || lock(&self.book).authorize(upstream, permit, now)
    }

    /// Asks for a permit for a later request to an upstream.
    pub fn ask_ahead(&self, upstream: &Incarnation) {
        lock(&self.book).ask_ahead(upstream);
        self.has_requests.notify_one();
    }

    /// Returns an unused permit.
    pub fn put_back(&self, upstream: &Incarnation, permit: Option<Permit>) {
        if let Some(permit) = permit {
            lock(&self.book).put_back(upstream, permit);
        }
    }

    /// Waits up to `wait_max_ms` for a permit, and for its start, ahead of requests with a higher `priority`. Returns
    /// no permit if the upstream has no limit; the error is the caller's `Retry-After` in milliseconds.
    pub async fn acquire(
        &self,
        upstream: &Incarnation,
        priority: u32,
        wait_max_ms: u64,
        clock: &Clock,
    ) -> Result<Option<Permit>, u64> {
        if !self.is_used() {
            return Ok(None);
        }
        let now = clock.now();
        let waiting = {
            let mut book = lock(&self.book);
            if !book.needs_permit(upstream, now) {
                return Ok(None);
            }
            if let Some(permit) = book.take(upstream, now) {
                return Ok(Some(permit));
            }
            book.wait_with_priority(upstream, priority, wait_max_ms, rand::random(), now)?
        };
        self.has_requests.notify_one();
        match waiting.await {
            Ok(PermitOutcome::Granted(permit)) => {
                let wait_ms = permit.starts_at.since(clock.now());
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                Ok(Some(permit))
            }
            Ok(PermitOutcome::NotNeeded) => Ok(None),
            Ok(PermitOutcome::Refused(retry_after_ms)) => Err(retry_after_ms),
            // The upstream was forgotten.
            Err(_) => Err(lock(&self.book).refuse(upstream, rand::random(), clock.now())),
        }
    }

    /// Logs the traffic of each upstream with a limit since the last call.
    pub fn log_traffic(&self, now: Mono) {
        if self.is_used() {
            let mut book = lock(&self.book);
            let events = book.take_traffic(now);
            book.forget_ended(now);
            drop(book);
            self.metrics.rate_limited_upstreams.set(events.len() as i64);
            self.record(events);
        }
    }

    /// Forgets upstreams for which `is_known` returns false.
    pub fn retain(&self, is_known: impl Fn(&Incarnation) -> bool) {
        let mut book = lock(&self.book);
        book.retain(is_known);
        self.is_used.store(!book.is_empty(), Ordering::Relaxed);
    }

    /// Asks the leader for permits while requests need them, until the process ends. `host` is this host's name,
    /// `leader` the leader's address; `entry_hosts` returns the number of hosts that share the limits.
    pub async fn run(
        &self,
        host: String,
        endpoint: Endpoint,
        leader: watch::Receiver<Option<String>>,
        entry_hosts: impl Fn() -> u32,
        clock: Clock,
    ) {
        let mut is_answered = true;
        loop {
            let has_requests = lock(&self.book).has_requests();
            if !has_requests {
                self.has_requests.notified().await;
                continue;
            }
            let asked_at = clock.now();
            let requests = {
                let mut book = lock(&self.book);
                book.set_entry_hosts(entry_hosts());
                book.take_requests(asked_at)
            };
            let leader = leader.borrow().clone();
            let reply = match leader {
                Some(leader) => {
                    let host = host.clone();
                    let request = DirectoryRequest::TakePermits { host, requests };
                    let answer =
                        endpoint.call(&leader, Request::Directory(request), REQUEST_TIMEOUT);
                    answer.await.ok()
                }
                None => None,
            };
            let now = clock.now();
            if let Some(Response::Directory(Reply::Permits { grants, pause_ms })) = reply {
                let permits: usize = grants.iter().map(|g| g.starts_in_ms.len()).sum();
                self.metrics.permits.inc_by(permits as u64);
                let next_request_at = asked_at.plus(pause_ms);
                let events = {
                    let mut book = lock(&self.book);
                    book.set_next_request_at(next_request_at);
                    book.grant(grants, asked_at, rand::random, now)
                };
                self.record(events);
                is_answered = true;
                let pause_ms = next_request_at.since(now);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            } else {
                lock(&self.book).refuse_waiters(rand::random, now);
                if std::mem::replace(&mut is_answered, false) {
                    self.recorder.record(Event::PermitsUnanswered {
                        waited_ms: now.since(asked_at),
                    });
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
