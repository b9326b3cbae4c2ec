//! Headers of callers' requests and of upstreams' answers.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};

use crate::directory::model::Key;
use crate::gateway::protocol::{Protocol, ReportedLoad, RequestMetadata, ResponseMetadata};

const REQUEST_ID: HeaderName = HeaderName::from_static("carobreel-request-id");
/// What is left of the time that the caller waits, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("carobreel-deadline-ms");
/// The only upstream that may run the request.
pub(super) const EXPECTED_UPSTREAM: HeaderName =
    HeaderName::from_static("carobreel-expect-instance");
const SHARD_KEY: HeaderName = HeaderName::from_static("carobreel-shard-key");
/// Made by the upstream's own code.
const SERVER_STAMP: HeaderName = HeaderName::from_static("carobreel-server-stamp");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("carobreel-not-executed");
/// Running, waiting and slots, separated by commas.
const SERVER_LOAD: HeaderName = HeaderName::from_static("carobreel-server-load");
/// The id of the upstream that answers.
const UPSTREAM_ID: HeaderName = HeaderName::from_static("carobreel-instance-id");
/// The upstream leaves: it takes no new work soon.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// The longest rest that an upstream may ask for, in milliseconds; a longer one counts as this.
const RETRY_AFTER_MAX_MS: f64 = 300_000.0;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The platform's headers.
#[derive(Clone, Copy, Debug)]
pub struct PlatformHeaders;

impl Protocol for PlatformHeaders {
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata {
        RequestMetadata {
            id: headers.get(REQUEST_ID).cloned(),
            timeout_ms: parse_header(headers, &DEADLINE),
            key: parse_header::<Key>(headers, &SHARD_KEY),
        }
    }

    fn mark_request(&self, headers: &mut HeaderMap, remaining_ms: u64, upstream: &str) {
        headers.insert(DEADLINE, HeaderValue::from(remaining_ms));
        if let Ok(id) = HeaderValue::from_str(upstream) {
            headers.insert(EXPECTED_UPSTREAM, id);
        }
    }

    fn read_response(&self, headers: &HeaderMap) -> ResponseMetadata {
        ResponseMetadata {
            id: headers.get(REQUEST_ID).cloned(),
            is_stamped: headers.contains_key(SERVER_STAMP),
            not_run: headers.contains_key(NOT_EXECUTED),
            load: headers.get(SERVER_LOAD).and_then(parse_load),
            upstream: header_text(headers, &UPSTREAM_ID).map(str::to_string),
            keep_alive_ms: header_text(headers, &KEEP_ALIVE).and_then(parse_keep_alive_ms),
            is_leaving: header_text(headers, &LEAVING).is_some_and(|v| v.trim() == "1"),
            retry_after_ms: parse_header(headers, &RETRY_AFTER).and_then(parse_retry_after_ms),
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_header<N: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<N> {
    header_text(headers, name)?.trim().parse().ok()
}

fn parse_load(value: &HeaderValue) -> Option<ReportedLoad> {
    let mut numbers = value.to_str().ok()?.split(',').map(|n| n.trim().parse());
    let mut next = || numbers.next()?.ok();
    Some(ReportedLoad {
        running: next()?,
        waiting: next()?,
        slots: next()?,
    })
}

/// Returns a rest in milliseconds. Dates and other words than a number of seconds aren't read; nor is a
/// time that isn't above 0.
fn parse_retry_after_ms(seconds: f64) -> Option<u64> {
    let is_positive = seconds.is_finite() && seconds > 0.0;
    is_positive.then(|| (seconds * 1_000.0).min(RETRY_AFTER_MAX_MS).ceil() as u64)
}

/// Reads `timeout=SECONDS` out of a `Keep-Alive` header.
fn parse_keep_alive_ms(text: &str) -> Option<u64> {
    let mut parts = text.split(',').map(str::trim);
    let seconds: u64 = parts
        .find_map(|p| p.strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(seconds * 1_000)
}
