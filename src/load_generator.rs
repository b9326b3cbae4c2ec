//! An open-loop load generator: requests are sent at their scheduled times, whether or not earlier
//! ones were answered, and latency counts from the scheduled time, which avoids coordinated
//! omission.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinSet;

use crate::history::{ReportedAttempt, ReportedOutcome};
use crate::http::{HttpClient, HttpRequest, HttpResponse};

/// The highest latency that the histogram distinguishes, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// One kind of request in the mix.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The service that is requested.
    pub service: String,
    /// Its weight in the mix.
    pub share: f64,
    /// The number of keys of a keyed service; 0 for other services.
    pub keys: u64,
    /// The exponent of the keys' Zipf distribution.
    pub zipf: f64,
    /// Whether the requests may not be repeated and carry an idempotency key.
    pub with_idempotency_key: bool,
}

/// The load of one run.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// The mean number of requests per second.
    pub rate: f64,
    /// How long requests are sent.
    pub length: Duration,
    /// The seed of the arrival times and the keys.
    pub seed: u64,
    /// The mix of requests.
    pub kinds: Vec<RequestKind>,
    /// How long a caller waits for an answer.
    pub timeout: Duration,
    /// How often a request that was refused or whose outcome is unknown is sent again.
    pub resends: usize,
}

/// The measurements of one service over a run.
#[derive(Clone, Debug)]
pub struct ServiceStats {
    /// The number of requests by the outcome of their last attempt.
    pub by_outcome: BTreeMap<ReportedOutcome, u64>,
    /// The latency of answered requests, in microseconds.
    pub latency: Histogram<u64>,
    /// The number of attempts without an answer, by the reason given.
    pub reasons: BTreeMap<String, u64>,
    /// The longest time between two answers, in milliseconds.
    pub longest_gap_ms: u64,
    last_answer: Option<Instant>,
}

/// The measurements of one service, summarized.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceSummary {
    /// The number of requests.
    pub requests: u64,
    /// The number of requests with a complete answer.
    pub answers: u64,
    /// The number of requests that were not run.
    pub not_run: u64,
    /// The number of requests whose outcome is unknown.
    pub unknown: u64,
    /// The median latency, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: f64,
    /// The longest time between two answers, in milliseconds.
    pub longest_gap_ms: u64,
    /// The number of attempts without an answer, by the reason given.
    pub reasons: BTreeMap<String, u64>,
}

impl ServiceStats {
    fn new() -> ServiceStats {
        let latency = Histogram::new_with_max(LATENCY_MAX_US, LATENCY_SIGNIFICANT_DIGITS);
        ServiceStats {
            by_outcome: BTreeMap::new(),
            reasons: BTreeMap::new(),
            latency: latency.expect("the histogram's bounds are valid"),
            longest_gap_ms: 0,
            last_answer: None,
        }
    }

    fn add(&mut self, outcome: ReportedOutcome, scheduled: Instant) {
        *self.by_outcome.entry(outcome).or_default() += 1;
        if outcome != ReportedOutcome::Answered {
            return;
        }
        let now = Instant::now();
        let us = now.duration_since(scheduled).as_micros() as u64;
        self.latency.saturating_record(us.max(1));
        if let Some(last) = self.last_answer {
            let gap_ms = now.duration_since(last).as_millis() as u64;
            self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        }
        self.last_answer = Some(now);
    }

    /// Returns a summary of the measurements.
    pub fn summary(&self) -> ServiceSummary {
        let count = |outcome| self.by_outcome.get(&outcome).copied().unwrap_or(0);
        let ms = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        ServiceSummary {
            requests: self.by_outcome.values().sum(),
            answers: count(ReportedOutcome::Answered),
            not_run: count(ReportedOutcome::NotRun),
            unknown: count(ReportedOutcome::Unknown),
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            longest_gap_ms: self.longest_gap_ms,
            reasons: self.reasons.clone(),
        }
    }
}

/// The results of a run.
#[derive(Debug)]
pub struct LoadResults {
    /// The measurements by service.
    pub by_service: BTreeMap<String, ServiceStats>,
    /// All attempts at requests that may not be repeated.
    pub attempts: Vec<ReportedAttempt>,
    /// The number of answers that belonged to another request, by the path in their text.
    pub mismatched_answers: u64,
}

/// The connections to one target, each of which carries one request at a time.
#[derive(Debug)]
struct Target {
    address: SocketAddr,
    idle: AsyncMutex<Vec<HttpClient>>,
}

impl Target {
    async fn send(&self, call: HttpRequest) -> Option<HttpResponse> {
        let idle = self.idle.lock().await.pop();
        let mut client = idle.unwrap_or_else(|| HttpClient::new(self.address));
        let answer = client.send(call).await.ok()?;
        self.idle.lock().await.push(client);
        Some(answer)
    }
}

struct Shared {
    targets: Vec<Target>,
    results: Mutex<LoadResults>,
    timeout: Duration,
    resends: usize,
}

impl Shared {
    fn results(&self) -> MutexGuard<'_, LoadResults> {
        match self.results.lock() {
            Ok(results) => results,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

/// Sends requests to `targets` in turn and returns the results.
pub async fn run(profile: &LoadProfile, targets: &[SocketAddr]) -> LoadResults {
    let mut by_service = BTreeMap::new();
    for kind in &profile.kinds {
        by_service.insert(kind.service.clone(), ServiceStats::new());
    }
    let shared = Arc::new(Shared {
        targets: targets
            .iter()
            .map(|address| Target {
                address: *address,
                idle: AsyncMutex::default(),
            })
            .collect(),
        results: Mutex::new(LoadResults {
            by_service,
            attempts: Vec::new(),
            mismatched_answers: 0,
        }),
        timeout: profile.timeout,
        resends: profile.resends,
    });
    let mut rng = Pcg64Mcg::seed_from_u64(profile.seed);
    let interarrival = Exp::new(profile.rate).expect("the rate is above zero");
    let started = Instant::now();
    let mut scheduled = started;
    let mut tasks = JoinSet::new();
    let mut sequence = 0;
    while scheduled.duration_since(started) < profile.length {
        scheduled += Duration::from_secs_f64(interarrival.sample(&mut rng));
        tokio::time::sleep_until(scheduled.into()).await;
        let kind = pick_kind(&profile.kinds, &mut rng);
        let request = plan_request(kind, profile.seed, sequence, &mut rng);
        sequence += 1;
        let shared = shared.clone();
        tasks.spawn(async move { run_request(&shared, request, scheduled, sequence).await });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let mut results = shared.results();
    LoadResults {
        by_service: std::mem::take(&mut results.by_service),
        attempts: std::mem::take(&mut results.attempts),
        mismatched_answers: results.mismatched_answers,
    }
}

struct PlannedRequest {
    service: String,
    path: String,
    id: Option<String>,
}

fn pick_kind<'a>(kinds: &'a [RequestKind], rng: &mut Pcg64Mcg) -> &'a RequestKind {
    let total: f64 = kinds.iter().map(|k| k.share).sum();
    let mut point = rng.random_range(0.0..total);
    for kind in kinds {
        if point < kind.share {
            return kind;
        }
        point -= kind.share;
    }
    &kinds[0]
}

fn plan_request(
    kind: &RequestKind,
    seed: u64,
    sequence: u64,
    rng: &mut Pcg64Mcg,
) -> PlannedRequest {
    let service = kind.service.clone();
    let path = if kind.keys > 0 {
        let keys = Zipf::new(kind.keys as f64, kind.zipf).expect("keys and exponent are valid");
        format!("/{service}/key-{}/{sequence}", keys.sample(rng) as u64)
    } else {
        format!("/{service}/page/{sequence}")
    };
    PlannedRequest {
        service,
        path,
        id: kind
            .with_idempotency_key
            .then(|| format!("{seed}-{sequence}")),
    }
}

fn build_call(request: &PlannedRequest, timeout: Duration) -> HttpRequest {
    let timeout_ms = timeout.as_millis().to_string();
    let call = match &request.id {
        Some(id) => {
            HttpRequest::post(&request.path, r#"{"filing":true}"#).header("idempotency-key", id)
        }
        None => HttpRequest::get(&request.path),
    };
    call.header("carobreel-timeout-ms", &timeout_ms)
        .timeout(timeout + Duration::from_millis(500))
}

async fn run_request(shared: &Shared, request: PlannedRequest, scheduled: Instant, sequence: u64) {
    let mut outcome = ReportedOutcome::Unknown;
    for n in 0..=shared.resends {
        let target = (sequence as usize + n) % shared.targets.len();
        let answer = shared.targets[target]
            .send(build_call(&request, shared.timeout))
            .await;
        let retry_ms = answer.as_ref().map_or(100, |a| {
            a.header("carobreel-retry-after-ms").parse().unwrap_or(100)
        });
        outcome = outcome_of(answer.as_ref());
        record_attempt(shared, &request, outcome, answer.as_ref());
        if outcome == ReportedOutcome::Answered {
            break;
        }
        if n < shared.resends {
            tokio::time::sleep(Duration::from_millis(retry_ms)).await;
        }
    }
    if let Some(stats) = shared.results().by_service.get_mut(&request.service) {
        stats.add(outcome, scheduled);
    }
}

fn outcome_of(answer: Option<&HttpResponse>) -> ReportedOutcome {
    match answer.map(|a| a.header("carobreel-outcome")) {
        Some("answered") => ReportedOutcome::Answered,
        // An upstream that is called directly sends no outcome header.
        Some("") if answer.is_some_and(|a| a.status.is_success()) => ReportedOutcome::Answered,
        Some("not-run") => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Unknown,
    }
}

fn record_attempt(
    shared: &Shared,
    request: &PlannedRequest,
    outcome: ReportedOutcome,
    answer: Option<&HttpResponse>,
) {
    let mismatched = outcome == ReportedOutcome::Answered
        && answer.is_some_and(|a| !a.text().contains(&format!("{} ", request.path)));
    let mut results = shared.results();
    if outcome != ReportedOutcome::Answered {
        let reason = reason_of(answer);
        if let Some(stats) = results.by_service.get_mut(&request.service) {
            *stats.reasons.entry(reason).or_default() += 1;
        }
    }
    results.mismatched_answers += u64::from(mismatched);
    if let Some(id) = &request.id {
        results.attempts.push(ReportedAttempt {
            id: id.clone(),
            outcome,
            has_foreign_answer: mismatched,
        });
    }
}

/// Returns the reason that the body of an answer gives, or else its status.
fn reason_of(answer: Option<&HttpResponse>) -> String {
    let Some(answer) = answer else {
        return "no-answer".to_string();
    };
    let body: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
    let reason = body.and_then(|b| b.get("reason")?.as_str().map(str::to_string));
    reason.unwrap_or_else(|| answer.status.to_string())
}
