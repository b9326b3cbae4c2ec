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

use crate::history::{Told, Try};
use crate::http::{HttpClient, HttpRequest, HttpResponse};

/// The highest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
const LATENCY_DIGITS: u8 = 3;

/// One kind of request in the mix.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The service.
    pub service: String,
    /// Its share of all requests.
    pub share: f64,
    /// Keys of a keyed service; 0 for others.
    pub keys: u64,
    /// The exponent of the keys' Zipf distribution.
    pub zipf: f64,
    /// Whether requests may not be repeated; they carry an id.
    pub is_filing: bool,
}

/// What load to offer.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Requests a second.
    pub rate: f64,
    /// For how long.
    pub length: Duration,
    /// Seeds arrivals and keys.
    pub seed: u64,
    /// The mix.
    pub kinds: Vec<Kind>,
    /// How long a caller waits.
    pub timeout: Duration,
    /// How often a caller sends a request again that was refused or whose outcome is unknown.
    pub resends: usize,
}

/// One kind of request over the whole run.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests by the caller's last word.
    pub told: BTreeMap<Told, u64>,
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
pub struct Figures {
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

impl Tally {
    fn new() -> Tally {
        let latency = Histogram::new_with_max(LATENCY_MAX_US, LATENCY_DIGITS);
        Tally {
            told: BTreeMap::new(),
            reasons: BTreeMap::new(),
            latency: latency.expect("the histogram's bounds are valid"),
            longest_gap_ms: 0,
            last_answer: None,
        }
    }

    fn add(&mut self, told: Told, scheduled: Instant) {
        *self.told.entry(told).or_default() += 1;
        if told != Told::Answered {
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
    pub fn figures(&self) -> Figures {
        let count = |told| self.told.get(&told).copied().unwrap_or(0);
        let ms = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        Figures {
            requests: self.told.values().sum(),
            answers: count(Told::Answered),
            not_run: count(Told::NotRun),
            unknown: count(Told::Unknown),
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
pub struct Results {
    /// By service.
    pub tallies: BTreeMap<String, Tally>,
    /// Every try of requests that may not be repeated.
    pub tries: Vec<Try>,
    /// Answers that named another request's path.
    pub foreign_answers: u64,
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
    results: Mutex<Results>,
    timeout: Duration,
    resends: usize,
}

impl Shared {
    fn results(&self) -> MutexGuard<'_, Results> {
        match self.results.lock() {
            Ok(results) => results,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

/// Offers load to `targets` in turn and returns what came of it.
pub async fn run(profile: &Profile, targets: &[SocketAddr]) -> Results {
    let mut tallies = BTreeMap::new();
    for kind in &profile.kinds {
        tallies.insert(kind.service.clone(), Tally::new());
    }
    let shared = Arc::new(Shared {
        targets: targets
            .iter()
            .map(|address| Target {
                address: *address,
                idle: AsyncMutex::default(),
            })
            .collect(),
        results: Mutex::new(Results {
            tallies,
            tries: Vec::new(),
            foreign_answers: 0,
        }),
        timeout: profile.timeout,
        resends: profile.resends,
    });
    let mut rng = Pcg64Mcg::seed_from_u64(profile.seed);
    let gaps = Exp::new(profile.rate).expect("the rate is above zero");
    let began = Instant::now();
    let mut scheduled = began;
    let mut work = JoinSet::new();
    let mut serial = 0;
    while scheduled.duration_since(began) < profile.length {
        scheduled += Duration::from_secs_f64(gaps.sample(&mut rng));
        tokio::time::sleep_until(scheduled.into()).await;
        let kind = pick_kind(&profile.kinds, &mut rng);
        let request = make(kind, profile.seed, serial, &mut rng);
        serial += 1;
        let shared = shared.clone();
        work.spawn(async move { carry(&shared, request, scheduled, serial).await });
        while work.try_join_next().is_some() {}
    }
    while work.join_next().await.is_some() {}
    let mut results = shared.results();
    Results {
        tallies: std::mem::take(&mut results.tallies),
        tries: std::mem::take(&mut results.tries),
        foreign_answers: results.foreign_answers,
    }
}

struct Planned {
    service: String,
    path: String,
    id: Option<String>,
}

fn pick_kind<'a>(kinds: &'a [Kind], rng: &mut Pcg64Mcg) -> &'a Kind {
    let total: f64 = kinds.iter().map(|k| k.share).sum();
    let mut at = rng.random_range(0.0..total);
    for kind in kinds {
        if at < kind.share {
            return kind;
        }
        at -= kind.share;
    }
    &kinds[0]
}

fn make(kind: &Kind, seed: u64, serial: u64, rng: &mut Pcg64Mcg) -> Planned {
    let service = kind.service.clone();
    let path = if kind.keys > 0 {
        let keys = Zipf::new(kind.keys as f64, kind.zipf).expect("keys and exponent are valid");
        format!("/{service}/key-{}/{serial}", keys.sample(rng) as u64)
    } else {
        format!("/{service}/page/{serial}")
    };
    Planned {
        service,
        path,
        id: kind.is_filing.then(|| format!("{seed}-{serial}")),
    }
}

fn call(request: &Planned, timeout: Duration) -> HttpRequest {
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

async fn carry(shared: &Shared, request: Planned, scheduled: Instant, serial: u64) {
    let mut told = Told::Unknown;
    for n in 0..=shared.resends {
        let place = (serial as usize + n) % shared.targets.len();
        let answer = shared.targets[place]
            .send(call(&request, shared.timeout))
            .await;
        let retry_ms = answer.as_ref().map_or(100, |a| {
            a.header("carobreel-retry-after-ms").parse().unwrap_or(100)
        });
        told = told_by(answer.as_ref());
        note_try(shared, &request, told, answer.as_ref());
        if told == Told::Answered {
            break;
        }
        if n < shared.resends {
            tokio::time::sleep(Duration::from_millis(retry_ms)).await;
        }
    }
    if let Some(tally) = shared.results().tallies.get_mut(&request.service) {
        tally.add(told, scheduled);
    }
}

fn told_by(answer: Option<&HttpResponse>) -> Told {
    match answer.map(|a| a.header("carobreel-outcome")) {
        Some("answered") => Told::Answered,
        // A direct call to an upstream.
        Some("") if answer.is_some_and(|a| a.status.is_success()) => Told::Answered,
        Some("not-run") => Told::NotRun,
        _ => Told::Unknown,
    }
}

fn note_try(shared: &Shared, request: &Planned, told: Told, answer: Option<&HttpResponse>) {
    let foreign = told == Told::Answered
        && answer.is_some_and(|a| !a.text().contains(&format!("{} ", request.path)));
    let mut results = shared.results();
    if told != Told::Answered {
        let reason = reason_of(answer);
        if let Some(tally) = results.tallies.get_mut(&request.service) {
            *tally.reasons.entry(reason).or_default() += 1;
        }
    }
    results.foreign_answers += u64::from(foreign);
    if let Some(id) = &request.id {
        results.tries.push(Try {
            id: id.clone(),
            told,
            is_foreign: foreign,
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
