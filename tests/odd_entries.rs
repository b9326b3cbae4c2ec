//! Entries of other writers among those of upstreams and operators: each is refused, and the rest is followed.

mod testbed;

use carobreel::gateway::protocol::Protocol;
use carobreel::http::HttpRequest;
use carobreel::platform::headers::PlatformHeaders;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde_json::json;
use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{document, get, start_with_two_upstreams, wait_for, Testbed, READY_TIMEOUT};

/// Deeper than any parser's stack bears if it has no limit of its own.
const DEPTH: usize = 200_000;

fn nested() -> String {
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

/// Returns a heartbeat of `upstream` with one field replaced by the JSON text `value`.
fn heartbeat(upstream: &FakeUpstream, field: &str, value: &str) -> Vec<u8> {
    let mut fields = vec![
        ("service", "\"files\"".to_string()),
        ("address", json!(upstream.address.to_string()).to_string()),
        ("zone", "\"a\"".to_string()),
        ("version", "\"v1\"".to_string()),
        ("slots", "3".to_string()),
        ("state", "\"ready\"".to_string()),
        ("coldRemaining", "\"0ms\"".to_string()),
        ("sequence", "1".to_string()),
        ("born", "1700000000001".to_string()),
    ];
    fields.retain(|(name, _)| *name != field);
    let mut text: Vec<String> = fields.iter().map(|(n, v)| format!("\"{n}\":{v}")).collect();
    text.push(format!("\"{field}\":{value}"));
    format!("{{{}}}", text.join(",")).into_bytes()
}

async fn post(testbed: &Testbed, path: &str, body: Vec<u8>) -> u16 {
    let mut call = HttpRequest::post(path, "");
    call.body = body.into();
    let answer = testbed.call_directory(call).await;
    answer.expect("the call is answered").status.as_u16()
}

/// Checks that both upstreams get requests and that another one is accepted.
async fn check_the_rest_is_followed(testbed: &Testbed, known: &[&FakeUpstream], n: u8) {
    let joined = FakeUpstream::start(testbed, n, "files").await;
    joined.join(testbed).await;
    for upstream in known.iter().copied().chain([&joined]) {
        let before = upstream.run_count();
        wait_for("each upstream is used", READY_TIMEOUT, async || {
            let answer = testbed.request(get("/read/x", "x", 1_000)).await;
            answer.is_ok_and(|a| a.status == 200) && upstream.run_count() > before
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_heartbeats_are_refused_and_the_rest_is_followed() {
    let (testbed, one, other) = start_with_two_upstreams(170).await;
    let long = json!("x".repeat(100_000)).to_string();
    let nested = nested();
    let odd = [
        ("slots", "1e400"),
        ("slots", "99999999999999999999"),
        ("slots", "4294967295"),
        ("slots", "-1"),
        ("slots", "0"),
        ("slots", "3.5"),
        ("slots", &nested),
        ("service", &nested),
        ("service", &long),
        ("service", "\"\""),
        ("born", "1e30"),
        ("born", "18446744073709551615"),
        ("born", "99999999999999999999999"),
        ("born", "-1"),
        ("address", "\"127.77.170.11:99999\""),
        ("address", "\"127.77.170.11:0\""),
        ("address", "\"0.0.0.0:21780\""),
        ("address", "\"224.0.0.1:21780\""),
        ("address", "\"127.77.170.11:21780/x\""),
        ("address", &long),
        ("zone", &long),
        ("version", &long),
        ("state", "\"gone\""),
    ];
    for (field, value) in odd {
        for id in ["u1", "u9"] {
            let body = heartbeat(&one, field, value);
            let path = format!("/v1/instances/{id}/heartbeat");
            let status = post(&testbed, &path, body).await;
            let shown = &value[..value.len().min(40)];
            assert_eq!(status, 400, "{field}: {shown}");
        }
    }
    // A field that nobody reads does no harm.
    let unknown = heartbeat(&one, "other", &nested);
    assert_eq!(
        post(&testbed, "/v1/instances/u1/heartbeat", unknown).await,
        200
    );
    let mut no_text = heartbeat(&one, "zone", "\"?\"");
    let position = no_text.iter().rposition(|b| *b == b'?').unwrap();
    no_text[position] = 0xff;
    assert_eq!(
        post(&testbed, "/v1/instances/u1/heartbeat", no_text).await,
        400
    );
    let long_id = format!("/v1/instances/{}/heartbeat", "u".repeat(10_000));
    for path in [
        "/v1/instances/%ff/heartbeat",
        "/v1/instances/u%0a1/heartbeat",
        &long_id,
    ] {
        let status = post(&testbed, path, heartbeat(&one, "zone", "\"a\"")).await;
        assert_eq!(status, 400, "{}", &path[..path.len().min(40)]);
    }
    check_the_rest_is_followed(&testbed, &[&one, &other], 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_deregistrations_are_refused_and_the_rest_is_followed() {
    let (testbed, one, other) = start_with_two_upstreams(171).await;
    let nested = nested();
    for born in ["-1", "1e30", "\"5\"", "99999999999999999999999", &nested] {
        let body = format!("{{\"born\":{born}}}").into_bytes();
        let status = post(&testbed, "/v1/instances/u1/deregister", body).await;
        assert_eq!(status, 400, "{}", &born[..born.len().min(40)]);
    }
    assert_eq!(
        post(&testbed, "/v1/instances/u1/deregister", vec![0xff]).await,
        400
    );
    // Of a process that can't have started.
    let body = b"{\"born\":18446744073709551615}".to_vec();
    assert_eq!(
        post(&testbed, "/v1/instances/u1/deregister", body).await,
        400
    );
    check_the_rest_is_followed(&testbed, &[&one, &other], 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_configurations_are_refused_and_the_rest_is_followed() {
    let (testbed, one, other) = start_with_two_upstreams(172).await;
    let valid = document(5).to_string();
    let odd = [
        ("\"maxAttempts\":2", format!("\"maxAttempts\":{}", nested())),
        ("\"maxAttempts\":2", "\"maxAttempts\":1e400".to_string()),
        (
            "\"maxConnections\":50",
            "\"maxConnections\":99999999999".to_string(),
        ),
        ("\"priority\":1", "\"priority\":-1".to_string()),
        (
            "\"timeout\":\"1500ms\"",
            "\"timeout\":\"1e300s\"".to_string(),
        ),
        ("\"r5\"", "\"r99999999999999999999999\"".to_string()),
        ("\"r5\"", nested()),
        ("15000ms", "1e400s".to_string()),
    ];
    for (part, replaced) in odd {
        assert!(valid.contains(part), "{part}");
        let body = valid.replacen(part, &replaced, 1).into_bytes();
        let status = post(&testbed, "/v1/config/replace", body).await;
        assert_eq!(status, 400, "{}", &replaced[..replaced.len().min(40)]);
    }
    assert_eq!(testbed.configure(&document(6)).await, 200);
    check_the_rest_is_followed(&testbed, &[&one, &other], 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_headers_of_responses_are_ignored_and_the_answer_is_delivered() {
    let (testbed, upstream) = Testbed::start_with_upstream(173).await;
    let odd = [
        "carobreel-server-load: 4294967295,4294967295,4294967295",
        "carobreel-server-load: 4294967295,1,0",
        "carobreel-server-load: 99999999999999999999,1,1",
        "keep-alive: timeout=18446744073709551615",
        "keep-alive: timeout=99999999999999999999999",
        "retry-after: 1e400",
        "server-limit: 1e400",
    ];
    for (n, header) in odd.into_iter().enumerate() {
        let id = format!("odd{n}");
        let response = format!(
            "HTTP/1.1 200 OK\r\ncarobreel-request-id: {id}\r\ncarobreel-server-stamp: u1.1\r\n\
             {header}\r\ncontent-length: 2\r\n\r\nok"
        );
        upstream.set_raw_response(response.into_bytes());
        let answer = testbed.request(get("/read/x", &id, 1_000)).await.unwrap();
        assert_eq!(
            (answer.status.as_u16(), answer.text().as_str()),
            (200, "ok"),
            "{header}"
        );
        upstream.set_behavior(Behavior::Normal);
        testbed.wait_until_served().await;
    }
}

#[test]
fn odd_numbers_in_headers_are_read_without_overflow() {
    let headers = |name: &'static str, value: &'static str| {
        let name = HeaderName::from_static(name);
        HeaderMap::from_iter([(name, HeaderValue::from_static(value))])
    };
    let response = headers("keep-alive", "timeout=18446744073709551615");
    let read = PlatformHeaders.read_response(&response);
    assert_eq!(read.keep_alive_ms, Some(u64::MAX));
    for value in ["18446744073709551616", "-1", "1e3", ""] {
        let request = headers("carobreel-deadline-ms", value);
        assert_eq!(
            PlatformHeaders.read_request(&request).timeout_ms,
            None,
            "{value}"
        );
    }
    for value in ["65536", "-1", "1e2", ""] {
        let request = headers("carobreel-shard-key", value);
        assert_eq!(PlatformHeaders.read_request(&request).key, None, "{value}");
    }
}
