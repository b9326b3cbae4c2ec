//! Keeps account of every request: metrics, log lines, and a count every few seconds.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use hdrhistogram::Histogram;
use hyper::http::request::Parts;
use tokio::sync::watch;

use crate::clock::{Clock, Mono};
use crate::event::{Event, Recorder};
use crate::lock::lock;

use super::attempt::Sent;
use super::call::{host_of, id_text, Call, Chosen, Failure, Trail};
use super::journal::RequestJournal;
use super::metrics::{DistanceLabels, Metrics, ReasonLabels, RequestLabels, RouteLabels};
use super::protocol::CallerFacts;
use super::view::View;

/// Between two lines that count the traffic, in milliseconds.
pub const COUNT_EVERY_MS: u64 = 5_000;
/// Latencies are counted up to this, in milliseconds: longer than any route's limit of the brief.
const LATENCY_MAX_MS: u64 = 60_000;
/// Of a path, so many characters are logged.
const PATH_CHARS_MAX: usize = 80;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Refused,
    Failed,
    Abandoned,
}

impl Outcome {
    fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Abandoned => "abandoned",
        }
    }
}

/// Which state of the directory decided, and how long ago its leader had confirmed it.
struct Known {
    config: u64,
    owners: u64,
    age_ms: u64,
}

/// What was done since the last line that counted it.
#[derive(Debug)]
struct Tally {
    began: Mono,
    answered: u64,
    refused: u64,
    failed: u64,
    abandoned: u64,
    repeats: u64,
    reasons: BTreeMap<&'static str, u64>,
    bytes: BTreeMap<&'static str, u64>,
    latencies: Option<Histogram<u32>>,
}

impl Tally {
    fn new(began: Mono) -> Tally {
        Tally {
            began,
            answered: 0,
            refused: 0,
            failed: 0,
            abandoned: 0,
            repeats: 0,
            reasons: BTreeMap::new(),
            bytes: BTreeMap::new(),
            // Two digits; the bounds are valid.
            latencies: Histogram::new_with_max(LATENCY_MAX_MS, 2).ok(),
        }
    }

    fn quantile_ms(&self, quantile: f64) -> u64 {
        let latencies = self.latencies.as_ref();
        latencies.map_or(0, |l| l.value_at_quantile(quantile))
    }
}

/// Keeps account of a gateway's requests.
#[derive(Debug)]
pub struct Ledger {
    clock: Clock,
    view: watch::Receiver<Arc<View>>,
    recorder: Recorder,
    journal: RequestJournal,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    tally: Mutex<Tally>,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(clock: Clock, view: watch::Receiver<Arc<View>>, recorder: Recorder) -> Ledger {
        let metrics = Arc::new(Metrics::new());
        Ledger {
            clock,
            view,
            journal: RequestJournal::new(recorder.clone(), metrics.clone()),
            recorder,
            metrics,
            tally: Mutex::new(Tally::new(clock.now())),
        }
    }

    /// Opens the account of a request; one that is dropped open was abandoned by its caller.
    pub(super) fn open<'a>(&'a self, call: &'a Call<'a>) -> Account<'a> {
        self.metrics.in_flight.inc();
        Account {
            ledger: self,
            call,
            trail: Trail::default(),
            is_closed: false,
        }
    }

    fn known(&self, now: Mono) -> Known {
        let view = self.view.borrow();
        Known {
            config: view.versions.config,
            owners: view.versions.owners,
            age_ms: now.since(view.confirmed_at),
        }
    }

    /// Notes a request that was ended before an upstream was looked for.
    pub(super) fn reject(&self, parts: &Parts, facts: &CallerFacts, failure: Failure, began: Mono) {
        let now = self.clock.now();
        let known = self.known(now);
        self.count("-", "-", outcome_of(&failure), Some(failure.reason), None);
        let path = parts.uri.path().chars().take(PATH_CHARS_MAX).collect();
        self.journal.note(now, || Event::RequestRejected {
            request: id_text(&facts.id),
            host: host_of(parts).unwrap_or("").to_string(),
            path,
            status: failure.status.as_u16(),
            reason: failure.reason.to_string(),
            waited_ms: now.since(began),
            config: known.config,
            age_ms: known.age_ms,
        });
    }

    /// Writes a line that counts the traffic since the last one, and refreshes gauges.
    pub fn flush(&self) {
        let now = self.clock.now();
        let known = self.known(now);
        let metrics = &self.metrics;
        metrics.config_version.set(known.config as i64);
        metrics.owners_version.set(known.owners as i64);
        metrics.view_age.set(known.age_ms as i64);
        let tally = std::mem::replace(&mut *lock(&self.tally), Tally::new(now));
        let kib = |distance| tally.bytes.get(distance).map_or(0, |bytes| bytes / 1_024);
        let reasons = tally.reasons.iter().map(|(r, n)| format!("{r}: {n}"));
        self.recorder.record(Event::TrafficCounted {
            over_ms: now.since(tally.began),
            answered: tally.answered,
            refused: tally.refused,
            failed: tally.failed,
            abandoned: tally.abandoned,
            repeats: tally.repeats,
            in_flight: metrics.in_flight.get().max(0) as u64,
            p50_ms: tally.quantile_ms(0.5),
            p99_ms: tally.quantile_ms(0.99),
            zone_kib: kib("zone"),
            region_kib: kib("region"),
            far_kib: kib("far"),
            reasons: reasons.collect::<Vec<_>>().join("; "),
            config: known.config,
            owners: known.owners,
            age_ms: known.age_ms,
        });
    }

    /// Returns the metrics as text.
    pub fn text(&self) -> String {
        let known = self.known(self.clock.now());
        self.metrics.view_age.set(known.age_ms as i64);
        self.metrics.text()
    }

    fn count(
        &self,
        route: &str,
        service: &str,
        outcome: Outcome,
        reason: Option<&'static str>,
        took_ms: Option<u64>,
    ) {
        let route = match route {
            "-" => "-".to_string(),
            _ => self.metrics.route_label(route),
        };
        if let Some(ms) = took_ms {
            let labels = RouteLabels {
                route: route.clone(),
            };
            let histogram = self.metrics.seconds.get_or_create(&labels);
            histogram.observe(ms as f64 / 1_000.0);
        }
        if let Some(reason) = reason {
            let labels = ReasonLabels { reason };
            self.metrics.refusals.get_or_create(&labels).inc();
        }
        let labels = RequestLabels {
            route,
            service: service.to_string(),
            outcome: outcome.name(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        let mut tally = lock(&self.tally);
        match outcome {
            Outcome::Answered => tally.answered += 1,
            Outcome::Refused => tally.refused += 1,
            Outcome::Failed => tally.failed += 1,
            Outcome::Abandoned => tally.abandoned += 1,
        }
        if let Some(reason) = reason {
            *tally.reasons.entry(reason).or_default() += 1;
        }
        if let (Some(ms), Some(latencies)) = (took_ms, &mut tally.latencies) {
            latencies.saturating_record(ms);
        }
    }
}

fn outcome_of(failure: &Failure) -> Outcome {
    match failure.retry_after_ms {
        Some(_) => Outcome::Refused,
        None => Outcome::Failed,
    }
}

/// The account of one request.
pub(super) struct Account<'a> {
    ledger: &'a Ledger,
    call: &'a Call<'a>,
    pub(super) trail: Trail,
    is_closed: bool,
}

impl Account<'_> {
    /// Notes that a further upstream is asked.
    pub(super) fn repeat(&self) {
        self.ledger.metrics.repeats.inc();
        lock(&self.ledger.tally).repeats += 1;
    }

    /// Notes an attempt that failed.
    pub(super) fn fail_attempt(
        &self,
        chosen: &Chosen,
        reason: &'static str,
        sent: Sent,
        began: Mono,
    ) {
        let ledger = self.ledger;
        let now = ledger.clock.now();
        let labels = ReasonLabels { reason };
        ledger.metrics.attempts_failed.get_or_create(&labels).inc();
        ledger.journal.note(now, || Event::AttemptFailed {
            request: self.call.id(),
            upstream: chosen.peer.incarnation.id.clone(),
            fence: chosen.fence,
            reason: reason.to_string(),
            sent: sent == Sent::MayHaveRun,
            expected_ms: chosen.expected_ms,
            load_age_ms: chosen.load_age_ms,
            waited_ms: now.since(began),
        });
    }

    /// Closes the account with an upstream's answer of so many bytes.
    pub(super) fn answer(mut self, status: u16, bytes: u64) {
        self.is_closed = true;
        let ledger = self.ledger;
        let now = ledger.clock.now();
        let call = self.call;
        let waited_ms = now.since(call.began);
        let (route, service) = (&call.route.name, call.service);
        ledger.count(route, service, Outcome::Answered, None, Some(waited_ms));
        if let Some(last) = self.trail.tried.last() {
            let distance = last.distance.name();
            let labels = DistanceLabels { distance };
            let counter = ledger.metrics.bytes.get_or_create(&labels);
            let bytes = bytes + call.body.len() as u64;
            counter.inc_by(bytes);
            *lock(&ledger.tally).bytes.entry(distance).or_default() += bytes;
        }
        ledger.journal.sample(now, || {
            let known = ledger.known(now);
            let last = self.trail.tried.last();
            Event::RequestServed {
                request: call.id(),
                route: route.clone(),
                service: service.to_string(),
                key: call.key,
                status,
                upstream: last.map_or(String::new(), |c| c.peer.incarnation.id.clone()),
                distance: last.map_or(String::new(), |c| c.distance.name().to_string()),
                bytes,
                fence: last.map_or(0, |c| c.fence),
                attempts: self.trail.tried.len() as u64,
                owner_wait_ms: self.trail.owner_wait_ms,
                expected_ms: last.map_or(0, |c| c.expected_ms),
                load_age_ms: last.and_then(|c| c.load_age_ms),
                waited_ms,
                config: known.config,
                owners: known.owners,
                age_ms: known.age_ms,
            }
        });
    }

    /// Closes the account without an upstream's answer.
    pub(super) fn fail(mut self, failure: &Failure) {
        self.is_closed = true;
        let ledger = self.ledger;
        let now = ledger.clock.now();
        let call = self.call;
        let waited_ms = now.since(call.began);
        let (route, service) = (&call.route.name, call.service);
        let outcome = outcome_of(failure);
        ledger.count(route, service, outcome, Some(failure.reason), None);
        ledger.journal.note(now, || {
            let known = ledger.known(now);
            let considered = self.trail.considered.as_ref();
            Event::RequestFailed {
                request: call.id(),
                route: route.clone(),
                service: service.to_string(),
                key: call.key,
                status: failure.status.as_u16(),
                reason: failure.reason.to_string(),
                retry_after_ms: failure.retry_after_ms,
                patience_ms: call.patience_ms(),
                objective_ms: call.route.objective_ms,
                before_ms: call.before_ms(),
                upstreams: self.trail.upstreams(),
                considered: considered.map(|c| c.peer.incarnation.id.clone()),
                expected_ms: considered.map(|c| c.expected_ms),
                way_ms: considered.map_or(0, |c| c.way_ms),
                load_age_ms: considered.and_then(|c| c.load_age_ms),
                owner_wait_ms: self.trail.owner_wait_ms,
                waited_ms,
                config: known.config,
                owners: known.owners,
                age_ms: known.age_ms,
            }
        });
    }

    fn abandon(&self) {
        let ledger = self.ledger;
        let now = ledger.clock.now();
        let call = self.call;
        let (route, service) = (&call.route.name, call.service);
        ledger.count(route, service, Outcome::Abandoned, None, None);
        ledger.journal.note(now, || {
            let known = ledger.known(now);
            Event::RequestAbandoned {
                request: call.id(),
                route: route.clone(),
                service: service.to_string(),
                key: call.key,
                upstreams: self.trail.upstreams(),
                waited_ms: now.since(call.began),
                config: known.config,
                owners: known.owners,
                age_ms: known.age_ms,
            }
        });
    }
}

impl Drop for Account<'_> {
    fn drop(&mut self) {
        self.ledger.metrics.in_flight.dec();
        if !self.is_closed {
            self.abandon();
        }
    }
}
