//! The platform's messages: documents, heartbeats, headers, and the settings that it renders.

use assert_matches::assert_matches;
use carobreel::directory::model::{Phase, RepeatPolicy};
use carobreel::gateway::protocol::{Load, Protocol};
use carobreel::host::HostSettings;
use carobreel::platform::config;
use carobreel::platform::headers::Headers;
use carobreel::platform::registration::{read_heartbeat, read_leave};
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

fn read(document: &Value) -> Result<carobreel::directory::model::RouteConfig, String> {
    config::read(document.to_string().as_bytes())
}

#[test]
fn a_document_becomes_a_configuration() {
    let config = read(&document()).unwrap();
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
fn each_fault_of_a_document_is_refused_with_its_place() {
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
    for (place, value, reason) in faults {
        let mut document = document();
        *document.pointer_mut(place).unwrap() = value.clone();
        assert_eq!(read(&document).unwrap_err(), *reason, "{place}");
    }
    let mut weightless = document();
    for n in 0..2 {
        let place = format!("/routes/0/trafficSplit/{n}/weight");
        *weightless.pointer_mut(&place).unwrap() = json!(0);
    }
    assert_eq!(read(&weightless).unwrap_err(), "route a: all weights are 0");
}

#[test]
fn a_document_cut_anywhere_is_refused() {
    let text = document().to_string();
    for len in 0..text.len() {
        assert!(config::read(&text.as_bytes()[..len]).is_err(), "{len}");
    }
}

#[test]
fn heartbeats_name_an_upstream_or_nothing() {
    let heartbeat = json!({
        "service": "maps", "address": "10.0.0.9:80", "zone": "a", "version": "v1", "slots": 3,
        "state": "draining", "coldRemaining": "0ms", "sequence": 4, "born": 1_700_000_000_123u64,
    });
    let read = |value: &Value| read_heartbeat("i-1", value.to_string().as_bytes());
    let upstream = read(&heartbeat).unwrap();
    assert_eq!(upstream.phase, Phase::Draining);
    assert_eq!(upstream.incarnation.born_ms, 1_700_000_000_123);
    for field in ["service", "address", "zone", "slots", "state"] {
        let mut missing = heartbeat.clone();
        missing.as_object_mut().unwrap().remove(field);
        assert_matches!(read(&missing), Err(_), "{field}");
        let mut other = heartbeat.clone();
        other[field] = json!([true]);
        assert_matches!(read(&other), Err(_), "{field}");
    }
    let mut state = heartbeat.clone();
    state["state"] = json!("resting");
    assert_matches!(read(&state), Err(_));
    assert_eq!(read_leave("i-1", b"").unwrap().born_ms, 0);
    assert_eq!(read_leave("i-1", br#"{"born":5}"#).unwrap().born_ms, 5);
    assert_matches!(read_leave("i-1", b"{"), Err(_));
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
    let facts = Headers.read_request(&headers);
    assert_eq!(facts.patience_ms, Some(1_000));
    assert_eq!(facts.key, Some(65_535));
    let answer = Headers.read_answer(&headers);
    let load = Load {
        running: 3,
        waiting: 1,
        slots: 8,
    };
    assert_eq!(answer.load, Some(load));
    assert_eq!(answer.idle_ms, Some(10_000));
    assert!(answer.not_run && !answer.is_stamped);
    Headers.mark_request(&mut headers, 480, "i-7");
    assert_eq!(headers["carobreel-deadline-ms"], "480");
    assert_eq!(headers["carobreel-expect-instance"], "i-7");
}

/// Renders the template as the platform does, for the placeholders that it uses.
fn render(fields: &Value) -> String {
    let template = include_str!("../deploy/settings.json");
    let data_folder = fields.get("dataDir").is_some();
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
        let value = fields.pointer(&format!("/{}", path.replace('.', "/")));
        let value = value.cloned().unwrap_or(Value::Null);
        let shown = match (&value, json) {
            (Value::Null, false) => String::new(),
            (Value::String(s), false) => s.clone(),
            _ => value.to_string(),
        };
        text.replace_range(start..end + 2, &shown);
    }
    text
}

fn fields() -> Value {
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
    let settings = HostSettings::parse(&render(&fields())).unwrap();
    assert_eq!(settings.seeds[2], "10.3.0.18:7540".parse().unwrap());
    assert_eq!(settings.operators, Some("10.1.0.36:8544".parse().unwrap()));
    assert_eq!(settings.callers, None);
    assert!(settings.first_start);
    assert_eq!(settings.retry.slack, 56.0);
    let mut edge = fields();
    edge.as_object_mut().unwrap().remove("dataDir");
    edge["listen"] = json!({ "front": "10.1.0.34:8548", "ready": "10.1.0.34:8542" });
    let settings = HostSettings::parse(&render(&edge)).unwrap();
    assert_eq!(settings.callers, Some("10.1.0.34:8548".parse().unwrap()));
    assert_eq!(settings.data_folder, None);
}

#[test]
fn every_fault_of_the_settings_is_named() {
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
    let no_folder = fields();
    let text = render(&no_folder).replace("\"/data/directory\"", "null");
    let faults = HostSettings::parse(&text).unwrap_err().to_string();
    assert!(faults.contains("data_folder"), "{faults}");
}

proptest! {
    #[test]
    fn readers_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = config::read(&bytes);
        let _ = read_heartbeat("i", &bytes);
        let _ = read_leave("i", &bytes);
        let _ = HostSettings::parse(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_damaged_document_is_read_whole_or_refused(at in 0usize..900, byte in any::<u8>()) {
        let mut text = document().to_string().into_bytes();
        let at = at % text.len();
        text[at] = byte;
        if let Ok(config) = config::read(&text) {
            prop_assert!(config.version > 0);
            for route in &config.routes {
                prop_assert!(!route.targets.is_empty() && route.prefix.starts_with('/'));
            }
        }
    }
}
