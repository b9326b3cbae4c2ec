//! The platform's message formats: documents, heartbeats, headers and rendered settings.

use assert_matches::assert_matches;
use carobreel::directory::model::{Phase, RepeatPolicy};
use carobreel::gateway::protocol::{Protocol, RateLimitNotice, ReportedLoad};
use carobreel::host::HostSettings;
use carobreel::platform::config;
use carobreel::platform::headers::PlatformHeaders;
use carobreel::platform::registration::{parse_heartbeat, parse_leave};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use serde_json::{json, Value};

fn document() -> Value {
    json!({
        "version": "r7",
        "routes": [
            {
                "name": "a", "hostname": "One.example", "pathPrefix": "/a/",
                "kind": "idempotent", "timeout": "1000ms", "targetLatency": "400ms",
                "priority": 2, "maxAttempts": 2,
                "trafficSplit": [
                    { "service": "maps", "weight": 90 }, { "service": "files", "weight": 10 },
                ],
            },
            {
                "name": "b", "hostname": "one.example", "pathPrefix": "/a/b/",
                "kind": "non_idempotent", "timeout": "1.2s", "targetLatency": "500ms",
                "priority": 1, "service": "files", "maxAttempts": 2,
            },
        ],
        "services": [
            {
                "name": "maps", "healthPath": "/health", "maxConnections": 110,
                "protocol": "h1", "tls": false, "sharded": true, "warmup": "3s", "grants": "rpc",
            },
            { "name": "files", "healthPath": "/health", "maxConnections": 110 },
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms", "idleTimeout": "15000ms",
        },
        "unknown": [1, 2],
    })
}

fn parse(document: &Value) -> Result<carobreel::directory::model::RouteConfig, String> {
    config::parse(document.to_string().as_bytes())
}

#[test]
fn a_document_is_converted_to_a_configuration() {
    let config = parse(&document()).unwrap();
    assert_eq!(config.version, 7);
    assert_eq!(config.routes[0].host, "one.example");
    assert_eq!(config.routes[0].repeat, RepeatPolicy::Idempotent);
    assert_eq!(config.routes[0].objective_ms, 400);
    assert_eq!(config.routes[0].targets[0].weight, 90_000);
    assert_eq!(config.routes[1].repeat, RepeatPolicy::AtMostOnce);
    assert_eq!(config.routes[1].timeout_ms, 1_200);
    assert!(config.services["maps"].sharded);
    assert_eq!(config.services["maps"].warmup_ms, 3_000);
    assert!(!config.services["files"].sharded);
    assert_eq!(config.limits.idle_timeout_ms, 15_000);
}

#[test]
fn each_invalid_field_of_a_document_is_reported_with_its_location() {
    let faults: &[(&str, Value, &str)] = &[
        (
            "/routes/1/service",
            json!("none"),
            "route b: there is no service none",
        ),
        (
            "/routes/1/pathPrefix",
            json!("/a/"),
            "route b: another has one.example/a/",
        ),
        (
            "/routes/0/trafficSplit/1/weight",
            json!(-1),
            "route a: weight -1 is below 0",
        ),
        (
            "/routes/0/timeout",
            json!("601s"),
            "route a: timeout is over ten minutes",
        ),
        (
            "/routes/0/timeout",
            json!("0ms"),
            "route a: timeout leaves no time for an answer",
        ),
        (
            "/routes/0/timeout",
            json!("soon"),
            "route a: timeout \"soon\" is not a time",
        ),
        (
            "/routes/0/pathPrefix",
            json!("a/"),
            "route a: the prefix doesn't begin with a slash",
        ),
        (
            "/routes/0/hostname",
            json!(""),
            "route a: hostname is empty",
        ),
        (
            "/version",
            json!("seven"),
            "version \"seven\" is not r and a number",
        ),
        (
            "/version",
            json!("r0"),
            "version \"r0\" is not r and a number",
        ),
        (
            "/services/1/name",
            json!("maps"),
            "service \"maps\": is named twice or not at all",
        ),
    ];
    for (pointer, value, reason) in faults {
        let mut document = document();
        *document.pointer_mut(pointer).unwrap() = value.clone();
        assert_eq!(parse(&document).unwrap_err(), *reason, "{pointer}");
    }
    let mut zero_weights = document();
    for n in 0..2 {
        let pointer = format!("/routes/0/trafficSplit/{n}/weight");
        *zero_weights.pointer_mut(&pointer).unwrap() = json!(0);
    }
    assert_eq!(
        parse(&zero_weights).unwrap_err(),
        "route a: all weights are 0"
    );
}

#[test]
fn truncated_documents_are_rejected() {
    let text = document().to_string();
    for len in 0..text.len() {
        assert!(config::parse(&text.as_bytes()[..len]).is_err(), "{len}");
    }
}

#[test]
fn invalid_heartbeats_are_rejected() {
    let heartbeat = json!({
        "service": "maps", "address": "10.0.0.9:80", "zone": "a", "version": "v1", "slots": 3,
        "state": "draining", "coldRemaining": "0ms", "sequence": 4, "born": 1_700_000_000_123u64,
    });
    let parse = |value: &Value| parse_heartbeat("i-1", value.to_string().as_bytes());
    let upstream = parse(&heartbeat).unwrap();
    assert_eq!(upstream.phase, Phase::Draining);
    assert_eq!(upstream.incarnation.born_ms, 1_700_000_000_123);
    for field in ["service", "address", "zone", "slots", "state"] {
        let mut missing = heartbeat.clone();
        missing.as_object_mut().unwrap().remove(field);
        assert_matches!(parse(&missing), Err(_), "{field}");
        let mut other = heartbeat.clone();
        other[field] = json!([true]);
        assert_matches!(parse(&other), Err(_), "{field}");
    }
    let mut state = heartbeat.clone();
    state["state"] = json!("resting");
    assert_matches!(parse(&state), Err(_));
    assert_eq!(parse_leave("i-1", b"").unwrap().born_ms, 0);
    assert_eq!(parse_leave("i-1", br#"{"born":5}"#).unwrap().born_ms, 5);
    assert_matches!(parse_leave("i-1", b"{"), Err(_));
}

#[test]
fn headers_are_read_and_written() {
    let mut headers = HeaderMap::new();
    let lines = [
        ("carobreel-request-id", "9c41"),
        ("carobreel-deadline-ms", "1000"),
        ("carobreel-shard-key", "65535"),
        ("carobreel-server-load", "3,1,8"),
        ("carobreel-not-executed", "1"),
        ("keep-alive", "timeout=10, max=5"),
    ];
    for (name, value) in lines {
        headers.insert(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    let metadata = PlatformHeaders.read_request(&headers);
    assert_eq!(metadata.timeout_ms, Some(1_000));
    assert_eq!(metadata.key, Some(65_535));
    let answer = PlatformHeaders.read_response(&headers);
    let load = ReportedLoad {
        running: 3,
        waiting: 1,
        slots: 8,
        slowness_percent: None,
    };
    assert_eq!(answer.load, Some(load));
    assert_eq!(answer.keep_alive_ms, Some(10_000));
    assert!(answer.not_run && !answer.is_stamped);
    PlatformHeaders.mark_request(&mut headers, 480, "i-7");
    assert_eq!(headers["carobreel-deadline-ms"], "480");
    assert_eq!(headers["carobreel-expect-instance"], "i-7");
}

#[test]
fn only_one_positive_decimal_is_read_as_a_rate_limit() {
    let read = |values: &[&str]| {
        let mut headers = HeaderMap::new();
        for value in values {
            let value = HeaderValue::from_str(value).unwrap();
            headers.append(HeaderName::from_static("server-limit"), value);
        }
        PlatformHeaders.read_response(&headers).rate_limit
    };
    assert_eq!(read(&[]), RateLimitNotice::Absent);
    for (value, milli_per_s) in [("5.2", 5_200), (" 0.25 ", 250), ("300", 300_000)] {
        let limit = assert_matches!(read(&[value]), RateLimitNotice::Named(limit) => limit);
        assert_eq!(limit.milli_per_s(), milli_per_s);
    }
    let long = "1".repeat(400);
    for value in ["-3", "0", "soon", "NaN", "inf", "1e300", "", &long] {
        assert_matches!(read(&[value]), RateLimitNotice::Malformed(_), "{value}");
    }
    assert_matches!(read(&["4", "5"]), RateLimitNotice::Malformed(_));
}

/// Renders the settings template as the platform does, as far as its placeholders require.
fn render_settings(placeholders: &Value) -> String {
    let template = include_str!("../deploy/settings.json");
    let data_folder = placeholders.get("dataDir").is_some();
    let (kept, dropped) = if data_folder {
        ("{{#dataDir}}", "{{^dataDir}}")
    } else {
        ("{{^dataDir}}", "{{#dataDir}}")
    };
    let mut text = template.to_string();
    let start = text.find(dropped).unwrap();
    let end = text[start..].find("{{/dataDir}}").unwrap() + start;
    text.replace_range(start..end + "{{/dataDir}}".len(), "");
    text = text.replace(kept, "").replace("{{/dataDir}}", "");
    while let Some(start) = text.find("{{") {
        let end = text[start..].find("}}").unwrap() + start;
        let name = text[start + 2..end].to_string();
        let (path, json) = match name.strip_suffix("|json") {
            Some(path) => (path, true),
            None => (name.as_str(), false),
        };
        let value = placeholders.pointer(&format!("/{}", path.replace('.', "/")));
        let value = value.cloned().unwrap_or(Value::Null);
        let rendered = match (&value, json) {
            (Value::Null, false) => String::new(),
            (Value::String(s), false) => s.clone(),
            _ => value.to_string(),
        };
        text.replace_range(start..end + 2, &rendered);
    }
    text
}

fn placeholders() -> Value {
    json!({
        "nodeName": "core-norte-a-1", "ip": "10.1.0.36", "zone": "norte-a", "region": "norte",
        "internalPorts": [7540, 7555],
        "seeds": ["10.1.0.36:8544", "10.2.0.36:8544", "10.3.0.18:8544"],
        "bootstrap": true, "dataDir": "/data/directory",
        "bounds": {
            "maxHold": "10000ms", "grace": "6s", "retryBudgetRatio": 0.2,
            "retryBudgetSlack": 56, "budgetWindow": "10s",
        },
        "zones": { "norte-a": "norte", "sul-a": "sul" },
        "listen": { "control": "10.1.0.36:8544" },
        "faultTolerance": { "machines": 1 },
    })
}

#[test]
fn the_rendered_settings_are_accepted_for_both_roles() {
    let settings = HostSettings::parse(&render_settings(&placeholders())).unwrap();
    assert_eq!(settings.seeds[2], "10.3.0.18:7540".parse().unwrap());
    assert_eq!(
        settings.operator_address,
        Some("10.1.0.36:8544".parse().unwrap())
    );
    assert_eq!(settings.caller_address, None);
    assert!(settings.first_start);
    assert_eq!(settings.retry_limits.slack, 56.0);
    let mut entry_host = placeholders();
    entry_host.as_object_mut().unwrap().remove("dataDir");
    entry_host["listen"] = json!({ "front": "10.1.0.34:8548", "ready": "10.1.0.34:8542" });
    let settings = HostSettings::parse(&render_settings(&entry_host)).unwrap();
    assert_eq!(
        settings.caller_address,
        Some("10.1.0.34:8548".parse().unwrap())
    );
    assert_eq!(settings.data_folder, None);
}

#[test]
fn every_invalid_setting_is_reported() {
    let text = r#"{"host": "", "zone": "x", "zones": {"a": "north"}, "peer_address": "here",
        "callers": "10.0.0.1:80", "seeds": [], "grace": "long", "retry_ratio": 3.0}"#;
    let faults = HostSettings::parse(text).unwrap_err().to_string();
    for part in [
        "host:",
        "zone:",
        "peer_address:",
        "seeds:",
        "grace:",
        "retry_ratio:",
    ] {
        assert!(faults.contains(part), "{part} in {faults}");
    }
    let without_folder = placeholders();
    let text = render_settings(&without_folder).replace("\"/data/directory\"", "null");
    let faults = HostSettings::parse(&text).unwrap_err().to_string();
    assert!(faults.contains("data_folder"), "{faults}");
}

proptest! {
    #[test]
    fn parsers_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = config::parse(&bytes);
        let _ = parse_heartbeat("i", &bytes);
        let _ = parse_leave("i", &bytes);
        let _ = HostSettings::parse(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_corrupted_document_is_parsed_or_rejected(at in 0usize..900, byte in any::<u8>()) {
        let mut text = document().to_string().into_bytes();
        let at = at % text.len();
        text[at] = byte;
        if let Ok(config) = config::parse(&text) {
            prop_assert!(config.version > 0);
            for route in &config.routes {
                prop_assert!(!route.targets.is_empty() && route.prefix.starts_with('/'));
            }
        }
    }
}
