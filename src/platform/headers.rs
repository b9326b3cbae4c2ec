//! Headers of callers' requests and of upstreams' answers.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};

use crate::directory::model::Key;
use crate::gateway::protocol::{AnswerFacts, CallerFacts, Load, Protocol};

const REQUEST_ID: HeaderName = HeaderName::from_static("carobreel-request-id");
/// What is left of the time that the caller waits, in milliseconds.
const TIME_LEFT: HeaderName = HeaderName::from_static("carobreel-deadline-ms");
/// The only upstream that may run the request.
pub(super) const ONLY_UPSTREAM: HeaderName = HeaderName::from_static("carobreel-expect-instance");
const KEY: HeaderName = HeaderName::from_static("carobreel-shard-key");
/// Made by the upstream's own code.
const STAMP: HeaderName = HeaderName::from_static("carobreel-server-stamp");
const NOT_RUN: HeaderName = HeaderName::from_static("carobreel-not-executed");
/// Running, waiting and slots, separated by commas.
const LOAD: HeaderName = HeaderName::from_static("carobreel-server-load");
/// The id of the upstream that answers.
const UPSTREAM: HeaderName = HeaderName::from_static("carobreel-instance-id");
/// The upstream leaves: it takes no new work soon.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// The longest rest that an upstream may ask for, in milliseconds; a longer one counts as this.
const REST_MAX_MS: f64 = 300_000.0;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The platform's headers.
#[derive(Clone, Copy, Debug)]
pub struct Headers;

impl Protocol for Headers {
    fn read_request(&self, headers: &HeaderMap) -> CallerFacts {
        CallerFacts {
            id: headers.get(REQUEST_ID).cloned(),
            patience_ms: number(headers, &TIME_LEFT),
            key: number::<Key>(headers, &KEY),
        }
    }

    fn mark_request(&self, headers: &mut HeaderMap, left_ms: u64, upstream: &str) {
        headers.insert(TIME_LEFT, HeaderValue::from(left_ms));
        if let Ok(id) = HeaderValue::from_str(upstream) {
            headers.insert(ONLY_UPSTREAM, id);
        }
    }

    fn read_answer(&self, headers: &HeaderMap) -> AnswerFacts {
        AnswerFacts {
            id: headers.get(REQUEST_ID).cloned(),
            is_stamped: headers.contains_key(STAMP),
            not_run: headers.contains_key(NOT_RUN),
            load: headers.get(LOAD).and_then(load),
            upstream: text(headers, &UPSTREAM).map(str::to_string),
            idle_ms: text(headers, &KEEP_ALIVE).and_then(idle_ms),
            is_leaving: text(headers, &LEAVING).is_some_and(|v| v.trim() == "1"),
            rest_ms: number(headers, &RETRY_AFTER).and_then(rest_ms),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number<N: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<N> {
    text(headers, name)?.trim().parse().ok()
}

fn load(value: &HeaderValue) -> Option<Load> {
    let mut numbers = value.to_str().ok()?.split(',').map(|n| n.trim().parse());
    let mut next = || numbers.next()?.ok();
    Some(Load {
        running: next()?,
        waiting: next()?,
        slots: next()?,
    })
}

/// Returns a rest in milliseconds. Dates and other words than a number of seconds aren't read; nor is a
/// time that isn't above 0.
fn rest_ms(seconds: f64) -> Option<u64> {
    let is_time = seconds.is_finite() && seconds > 0.0;
    is_time.then(|| (seconds * 1_000.0).min(REST_MAX_MS).ceil() as u64)
}

/// Reads `timeout=SECONDS` out of a `Keep-Alive` header.
fn idle_ms(text: &str) -> Option<u64> {
    let mut parts = text.split(',').map(str::trim);
    let seconds: u64 = parts
        .find_map(|p| p.strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(seconds * 1_000)
}
