//! Open-loop load: requests are sent at their scheduled times, whether or not earlier ones were
//! answered, and latency counts from the scheduled time (no coordinated omission).

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

/// The highest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// One kind of request in the mix.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The service.
    pub service: String,
    /// Its share of all requests.
    pub share: f64,
    /// Keys of a keyed service; 0 for others.
    pub keys: u64,
    /// The exponent of the keys' Zipf distribution.
    pub zipf: f64,
    /// Whether requests may not be repeated; they carry an id.
    pub with_idempotency_key: bool,
}

/// What load to offer.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Requests a second.
    pub rate: f64,
    /// For how long.
    pub length: Duration,
    /// Seeds arrivals and keys.
    pub seed: u64,
    /// The mix.
    pub kinds: Vec<RequestKind>,
    /// How long a caller waits.
    pub timeout: Duration,
    /// How often a caller sends a request again that was refused or whose outcome is unknown.
    pub resends: usize,
}

/// One kind of request over the whole run.
#[derive(Clone, Debug)]
pub struct ServiceStats {
    /// Requests by the caller's last word.
    pub by_outcome: BTreeMap<ReportedOutcome, u64>,
    /// Latency of answered requests, in microseconds.
    pub latency: Histogram<u64>,
    /// Tries that got no answer, by the reason given.
    pub reasons: BTreeMap<String, u64>,
    /// The longest time without an answer while requests were waiting, in milliseconds.
    pub longest_gap_ms: u64,
    last_answer: Option<Instant>,
}

/// A tally in figures.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceSummary {
    /// Requests.
    pub requests: u64,
    /// Whole answers.
    pub answers: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Latency at the median, in milliseconds.
    pub p50_ms: f64,
    /// At 99 in 100.
    pub p99_ms: f64,
    /// At 999 in 1000.
    pub p999_ms: f64,
    /// The longest time between two answers, in milliseconds.
    pub longest_gap_ms: u64,
    /// Tries that got no answer, by the reason given.
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

    fn add(&mut self, told: ReportedOutcome, scheduled: Instant) {
        *self.by_outcome.entry(told).or_default() += 1;
        if told != ReportedOutcome::Answered {
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

    /// Returns the tally in figures.
    pub fn summary(&self) -> ServiceSummary {
        let count = |told| self.by_outcome.get(&told).copied().unwrap_or(0);
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

/// What a run of load came to.
#[derive(Debug)]
pub struct LoadResults {
    /// By service.
    pub by_service: BTreeMap<String, ServiceStats>,
    /// Every try of requests that may not be repeated.
    pub tries: Vec<ReportedAttempt>,
    /// Answers that named another request's path.
    pub mismatched_answers: u64,
}

/// Connections to one target, one request at a time each.
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

/// Offers load to `targets` in turn and returns what came of it.
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
            tries: Vec::new(),
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
        tries: std::mem::take(&mut results.tries),
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
    let mut told = ReportedOutcome::Unknown;
    for n in 0..=shared.resends {
        let target = (sequence as usize + n) % shared.targets.len();
        let answer = shared.targets[target]
            .send(build_call(&request, shared.timeout))
            .await;
        let retry_ms = answer.as_ref().map_or(100, |a| {
            a.header("carobreel-retry-after-ms").parse().unwrap_or(100)
        });
        told = outcome_of(answer.as_ref());
        record_attempt(shared, &request, told, answer.as_ref());
        if told == ReportedOutcome::Answered {
            break;
        }
        if n < shared.resends {
            tokio::time::sleep(Duration::from_millis(retry_ms)).await;
        }
    }
    if let Some(stats) = shared.results().by_service.get_mut(&request.service) {
        stats.add(told, scheduled);
    }
}

fn outcome_of(answer: Option<&HttpResponse>) -> ReportedOutcome {
    match answer.map(|a| a.header("carobreel-outcome")) {
        Some("answered") => ReportedOutcome::Answered,
        // A direct call to an upstream.
        Some("") if answer.is_some_and(|a| a.status.is_success()) => ReportedOutcome::Answered,
        Some("not-run") => ReportedOutcome::NotRun,
        _ => ReportedOutcome::Unknown,
    }
}

fn record_attempt(
    shared: &Shared,
    request: &PlannedRequest,
    told: ReportedOutcome,
    answer: Option<&HttpResponse>,
) {
    let mismatched = told == ReportedOutcome::Answered
        && answer.is_some_and(|a| !a.text().contains(&format!("{} ", request.path)));
    let mut results = shared.results();
    if told != ReportedOutcome::Answered {
        let reason = reason_of(answer);
        if let Some(stats) = results.by_service.get_mut(&request.service) {
            *stats.reasons.entry(reason).or_default() += 1;
        }
    }
    results.mismatched_answers += u64::from(mismatched);
    if let Some(id) = &request.id {
        results.tries.push(ReportedAttempt {
            id: id.clone(),
            outcome: told,
            is_misrouted: mismatched,
        });
    }
}

/// Returns the reason that a refusal's body gives.
fn reason_of(answer: Option<&HttpResponse>) -> String {
    let Some(answer) = answer else {
        return "no-answer".to_string();
    };
    let body: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
    let reason = body.and_then(|b| b.get("reason")?.as_str().map(str::to_string));
    reason.unwrap_or_else(|| answer.status.to_string())
}
