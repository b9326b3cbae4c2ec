//! Parses the operators' document and converts it to a route configuration.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;

use crate::directory::model::{CallerLimits, RepeatPolicy, Route, RouteConfig, Service, Target};
use crate::duration::parse_ms;
use crate::rate_limit::RateLimit;

/// Maximum timeout of a route, in milliseconds, as the platform specifies it.
const TIMEOUT_MAX_MS: u64 = 600_000;
/// Weights are stored in thousandths.
const WEIGHT_SCALE: f64 = 1_000.0;
/// Upstreams that a request may be sent to if the route sets no maximum.
const ATTEMPTS_DEFAULT: u32 = 1;

#[derive(Debug, Deserialize)]
struct Document {
    version: String,
    routes: Vec<DocumentRoute>,
    services: Vec<DocumentService>,
    #[serde(default)]
    limits: Option<DocumentLimits>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct DocumentRoute {
    name: String,
    hostname: String,
    path_prefix: String,
    kind: String,
    timeout: String,
    #[serde(default)]
    target_latency: Option<String>,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<DocumentTarget>,
    #[serde(default)]
    max_attempts: Option<u32>,
    /// Regions whose upstreams may serve the route; empty or absent if all may.
    #[serde(default)]
    allowed_regions: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct DocumentTarget {
    service: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct DocumentService {
    name: String,
    #[serde(default)]
    health_path: String,
    #[serde(default)]
    max_connections: u32,
    /// Whether the service is divided by key.
    #[serde(default)]
    sharded: bool,
    #[serde(default)]
    warmup: Option<String>,
    #[serde(default)]
    cold_start: Option<String>,
    /// Requests per second that a cold upstream bears; 0 or absent if there is no bound.
    #[serde(default)]
    cold_per_s: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct DocumentLimits {
    #[serde(default)]
    max_header_bytes: Option<u64>,
    #[serde(default)]
    max_body_bytes: Option<u64>,
    #[serde(default)]
    header_timeout: Option<String>,
    #[serde(default)]
    idle_timeout: Option<String>,
}

/// Parses and checks a document.
///
/// # Errors
///
/// A description of the first fault with its location.
///
/// # Examples
///
/// ```
/// use carobreel::platform::config::parse;
///
/// let text = br#"{"version":"r7","services":[{"name":"maps"}],"routes":[{"name":"a",
///     "hostname":"h.example","pathPrefix":"/a/","kind":"idempotent","timeout":"1s",
///     "service":"maps"}]}"#;
/// assert_eq!(parse(text).unwrap().version, 7);
/// let text = br#"{"version":"r8","services":[],"routes":[{"name":"a",
///     "hostname":"h.example","pathPrefix":"/a/","kind":"idempotent","timeout":"1s",
///     "service":"maps"}]}"#;
/// assert_eq!(parse(text).unwrap_err(), "route a: there is no service maps");
/// ```
pub fn parse(text: &[u8]) -> Result<RouteConfig, String> {
    let document: Document =
        serde_json::from_slice(text).map_err(|e| format!("the document can't be read: {e}"))?;
    let number = document.version.strip_prefix('r');
    let version = number.and_then(|n| n.parse().ok()).filter(|n| *n > 0);
    let Some(version) = version else {
        return Err(format!(
            "version {:?} is not r and a number",
            document.version
        ));
    };
    let mut services = BTreeMap::new();
    for service in document.services {
        let (name, service) = convert_service(service)?;
        if name.is_empty() || services.insert(name.clone(), service).is_some() {
            return Err(format!("service {name:?}: is named twice or not at all"));
        }
    }
    let mut host_prefixes = BTreeSet::new();
    let mut routes = Vec::new();
    for route in document.routes {
        let route = convert_route(route, &services)?;
        if !host_prefixes.insert((route.host.clone(), route.prefix.clone())) {
            let (host, prefix) = (&route.host, &route.prefix);
            return Err(format!("route {}: another has {host}{prefix}", route.name));
        }
        routes.push(route);
    }
    Ok(RouteConfig {
        version,
        routes,
        services,
        limits: convert_limits(document.limits)?,
    })
}

fn convert_service(service: DocumentService) -> Result<(String, Service), String> {
    let subject = format!("service {}", service.name);
    let warmup_ms = parse_time(&subject, "warmup", service.warmup.as_deref())?.unwrap_or(0);
    let cold_start_ms =
        parse_time(&subject, "coldStart", service.cold_start.as_deref())?.unwrap_or(0);
    let cold_limit = match service.cold_per_s.unwrap_or(0.0) {
        0.0 => None,
        per_s => Some(
            RateLimit::from_per_s(per_s)
                .ok_or_else(|| format!("{subject}: coldPerS {per_s} is not a rate"))?,
        ),
    };
    let converted = Service {
        health_path: service.health_path,
        connections_max: service.max_connections,
        sharded: service.sharded,
        warmup_ms,
        cold_start_ms,
        cold_limit,
    };
    Ok((service.name, converted))
}

fn convert_route(
    route: DocumentRoute,
    services: &BTreeMap<String, Service>,
) -> Result<Route, String> {
    let subject = format!("route {}", route.name);
    if route.hostname.is_empty() {
        return Err(format!("{subject}: hostname is empty"));
    }
    if !route.path_prefix.starts_with('/') {
        return Err(format!("{subject}: the prefix doesn't begin with a slash"));
    }
    let timeout_ms = parse_time(&subject, "timeout", Some(&route.timeout))?.unwrap_or(0);
    if timeout_ms == 0 {
        return Err(format!("{subject}: timeout leaves no time for an answer"));
    }
    if timeout_ms > TIMEOUT_MAX_MS {
        return Err(format!("{subject}: timeout is over ten minutes"));
    }
    let mut targets = Vec::new();
    for target in route.traffic_split {
        if target.weight < 0.0 || !target.weight.is_finite() {
            return Err(format!("{subject}: weight {} is below 0", target.weight));
        }
        targets.push(Target {
            service: target.service,
            weight: (target.weight * WEIGHT_SCALE).round() as u32,
        });
    }
    if let Some(service) = route.service {
        targets.push(Target { service, weight: 1 });
    }
    if targets.is_empty() {
        return Err(format!("{subject}: names no service"));
    }
    if targets.iter().all(|t| t.weight == 0) {
        return Err(format!("{subject}: all weights are 0"));
    }
    if let Some(unknown) = targets.iter().find(|t| !services.contains_key(&t.service)) {
        return Err(format!(
            "{subject}: there is no service {}",
            unknown.service
        ));
    }
    let repeat = match route.kind.as_str() {
        "idempotent" | "download" => RepeatPolicy::Idempotent,
        // Kinds that aren't known to be idempotent are never retried.
        _ => RepeatPolicy::AtMostOnce,
    };
    let objective_ms = parse_time(&subject, "targetLatency", route.target_latency.as_deref())?;
    Ok(Route {
        name: route.name,
        host: route.hostname.to_ascii_lowercase(),
        prefix: route.path_prefix,
        repeat,
        timeout_ms,
        objective_ms: objective_ms.unwrap_or(timeout_ms),
        priority: route.priority,
        targets,
        attempts_max: route.max_attempts.unwrap_or(ATTEMPTS_DEFAULT).max(1),
        allowed_regions: route.allowed_regions.into_iter().collect(),
    })
}

fn convert_limits(limits: Option<DocumentLimits>) -> Result<CallerLimits, String> {
    let mut converted = CallerLimits::default();
    let Some(limits) = limits else {
        return Ok(converted);
    };
    if let Some(bytes) = limits.max_header_bytes {
        converted.header_bytes_max = bytes;
    }
    if let Some(bytes) = limits.max_body_bytes {
        converted.body_bytes_max = bytes;
    }
    if let Some(ms) = parse_time("limits", "headerTimeout", limits.header_timeout.as_deref())? {
        converted.header_timeout_ms = ms;
    }
    if let Some(ms) = parse_time("limits", "idleTimeout", limits.idle_timeout.as_deref())? {
        converted.idle_timeout_ms = ms;
    }
    Ok(converted)
}

fn parse_time(subject: &str, field: &str, text: Option<&str>) -> Result<Option<u64>, String> {
    let Some(text) = text else {
        return Ok(None);
    };
    match parse_ms(text) {
        Some(ms) => Ok(Some(ms)),
        None => Err(format!("{subject}: {field} {text:?} is not a time")),
    }
}
