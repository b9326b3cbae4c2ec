//! Headers of callers' requests and of upstreams' responses.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, RETRY_AFTER};

use crate::directory::model::Key;
use crate::gateway::protocol::{
    Protocol, RateLimitNotice, ReportedLoad, RequestMetadata, ResponseMetadata,
};
use crate::rate_limit::RateLimit;

pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("carobreel-request-id");
/// Time until the caller's deadline, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("carobreel-deadline-ms");
/// The only upstream that may run the request.
pub(super) const EXPECTED_UPSTREAM: HeaderName =
    HeaderName::from_static("carobreel-expect-instance");
const SHARD_KEY: HeaderName = HeaderName::from_static("carobreel-shard-key");
/// Proves that the upstream's own code produced the response.
const SERVER_STAMP: HeaderName = HeaderName::from_static("carobreel-server-stamp");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("carobreel-not-executed");
/// Running requests, waiting requests, slots, and from some upstreams how long work takes in percent of the
/// usual time, separated by commas.
const SERVER_LOAD: HeaderName = HeaderName::from_static("carobreel-server-load");
/// The id of the responding upstream.
const UPSTREAM_ID: HeaderName = HeaderName::from_static("carobreel-instance-id");
/// The upstream is about to leave and will accept no new requests.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Maximum backoff that an upstream may ask for, in milliseconds; longer ones are capped.
const RETRY_AFTER_MAX_MS: f64 = 300_000.0;
/// Requests per second that the upstream accepts from all entry hosts together.
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Maximum length of a rate limit, in bytes.
const RATE_LIMIT_BYTES_MAX: usize = 32;
/// Number of bytes of a malformed rate limit that are logged.
const MALFORMED_BYTES_LOGGED: usize = 48;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The [`Protocol`] of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformHeaders;

impl Protocol for PlatformHeaders {
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata {
        RequestMetadata {
            id: headers.get(REQUEST_ID).cloned(),
            timeout_ms: parse_header(headers, &DEADLINE),
            key: parse_header::<Key>(headers, &SHARD_KEY),
            // The platform names no header for the client account; this is where HTTP has it.
            caller: headers.get(AUTHORIZATION).cloned(),
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
            rate_limit: read_rate_limit(headers),
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
        slowness_percent: next(),
    })
}

/// Converts a `Retry-After` of `seconds` to milliseconds, or returns `None` if it isn't above 0. HTTP dates
/// aren't supported.
fn parse_retry_after_ms(seconds: f64) -> Option<u64> {
    let is_positive = seconds.is_finite() && seconds > 0.0;
    is_positive.then(|| (seconds * 1_000.0).min(RETRY_AFTER_MAX_MS).ceil() as u64)
}

/// Reads the rate limit: one decimal number of requests per second.
fn read_rate_limit(headers: &HeaderMap) -> RateLimitNotice {
    let mut values = headers.get_all(RATE_LIMIT).iter();
    let Some(value) = values.next() else {
        return RateLimitNotice::Absent;
    };
    let is_single = values.next().is_none() && value.len() <= RATE_LIMIT_BYTES_MAX;
    let text = value.to_str().ok().filter(|_| is_single);
    let per_s = text.and_then(|text| text.trim().parse().ok());
    match per_s.and_then(RateLimit::from_per_s) {
        Some(limit) => RateLimitNotice::Named(limit),
        None => {
            let bytes = value.as_bytes();
            let logged = &bytes[..bytes.len().min(MALFORMED_BYTES_LOGGED)];
            RateLimitNotice::Malformed(String::from_utf8_lossy(logged).into_owned())
        }
    }
}

/// Parses `timeout=SECONDS` in a `Keep-Alive` header and returns milliseconds.
fn parse_keep_alive_ms(text: &str) -> Option<u64> {
    let mut parts = text.split(',').map(str::trim);
    let seconds: u64 = parts
        .find_map(|p| p.strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(seconds.saturating_mul(1_000))
}
