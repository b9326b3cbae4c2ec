//! Every parser that faces the outside, fed with mutations of valid input. The seeds are fixed;
//! `CAROBREEL_FUZZ` asks for more rounds.

mod testbed;

use std::collections::BTreeSet;

use carobreel::host::HostSettings;
use carobreel::logs;
use carobreel::platform::config;
use carobreel::platform::registration::{parse_heartbeat, parse_leave};
use carobreel::wire::{Envelope, Request, Response};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use testbed::upstream::Behavior;
use testbed::{document, get, Testbed};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Mutations of each input that CI tries.
const CI_MUTATIONS: u64 = 3_000;
/// Mutated requests that CI sends to a gateway, and mutated answers.
const CI_MESSAGES: u64 = 150;

fn iterations(default: u64) -> u64 {
    let requested = std::env::var("CAROBREEL_FUZZ").ok();
    requested.and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Changes a few bytes: flips, cuts, repeats, and words that parsers trip over.
fn mutate(input: &[u8], rng: &mut Pcg64Mcg) -> Vec<u8> {
    const TRICKY_TOKENS: [&[u8]; 12] = [
        b"-1",
        b"null",
        b"18446744073709551616",
        b"1e999",
        b"\"\"",
        b"{",
        b"]",
        b"\\u0000",
        b"\r\n\r\n",
        b": ",
        b"\xff\xfe",
        b"0ms",
    ];
    let mut buf = input.to_vec();
    for _ in 0..rng.random_range(1..4) {
        if buf.is_empty() {
            break;
        }
        let at = rng.random_range(0..buf.len());
        let end = (at + rng.random_range(1..20)).min(buf.len());
        match rng.random_range(0..5) {
            0 => buf[at] ^= 1 << rng.random_range(0..8),
            1 => drop(buf.drain(at..end)),
            2 => {
                let part = buf[at..end].to_vec();
                buf.splice(at..at, part);
            }
            3 => {
                let token = TRICKY_TOKENS[rng.random_range(0..TRICKY_TOKENS.len())];
                buf.splice(at..end, token.iter().copied());
            }
            _ => buf.truncate(at),
        }
    }
    buf
}

/// Calls `read` with mutations of `input`.
fn fuzz(input: &[u8], mut parse: impl FnMut(&[u8])) {
    for seed in 0..iterations(CI_MUTATIONS) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        parse(&mutate(input, &mut rng));
    }
}

#[test]
fn accepted_configurations_are_valid() {
    let mut accepted = 0;
    fuzz(document(7).to_string().as_bytes(), |text| {
        let Ok(config) = config::parse(text) else {
            return;
        };
        accepted += 1;
        let mut host_prefixes = BTreeSet::new();
        for route in &config.routes {
            assert!(!route.host.is_empty() && route.prefix.starts_with('/'));
            assert!(host_prefixes.insert((route.host.clone(), route.prefix.clone())));
            assert!(!route.targets.is_empty() && route.timeout_ms <= 600_000);
            for target in &route.targets {
                assert!(config.services.contains_key(&target.service));
            }
        }
    });
    // Mutations of names and numbers are valid.
    assert!(accepted > 0);
}

#[test]
fn heartbeats_settings_and_log_lines_are_parsed_or_rejected() {
    let heartbeat = r#"{"service":"maps","address":"10.0.0.9:8080","zone":"a","version":"v1",
        "slots":4,"state":"ready","coldRemaining":"0ms","sequence":4,"born":1700000000000}"#;
    fuzz(heartbeat.as_bytes(), |text| {
        if let Ok(upstream) = parse_heartbeat("u1", text) {
            assert_eq!(upstream.incarnation.id, "u1");
            assert!(!upstream.service.is_empty());
        }
        let _ = parse_leave("u1", text);
    });
    let settings = r#"{"host":"e1","zone":"a","zones":{"a":"north"},"peer_address":"10.0.0.1:7540",
        "callers":"10.0.0.1:80","seeds":["10.0.0.9:8080"],"hold_max":"10s","retry_ratio":0.2}"#;
    fuzz(settings.as_bytes(), |text| {
        if let Ok(settings) = HostSettings::parse(&String::from_utf8_lossy(text)) {
            assert!(
                !settings.seeds.is_empty() && settings.regions_by_zone.contains_key(&settings.zone)
            );
        }
    });
    let line = r#"0.5 e1 {"msg":"DirectoryLost","fields":"{\"DirectoryLost\":{\"age_ms\":7}}",
        "counter":0,"wall_ms":5,"host":"e1","number":208}"#;
    fuzz(line.as_bytes(), |text| {
        let _ = logs::parse_line(&String::from_utf8_lossy(text));
    });
}

#[test]
fn messages_between_processes_are_decoded_or_rejected() {
    let request = Envelope {
        time: Default::default(),
        body: Request::Ping,
    };
    let bytes = postcard::to_stdvec(&request).unwrap();
    fuzz(&bytes, |text| {
        let _ = postcard::from_bytes::<Envelope<Request>>(text);
        let _ = postcard::from_bytes::<Envelope<Response>>(text);
    });
}

#[tokio::test]
async fn a_mutated_request_never_reaches_an_upstream_as_several() {
    let (testbed, upstream) = Testbed::start_with_upstream(61).await;
    let valid = "POST /file/x HTTP/1.1\r\nhost: one.example\r\ncarobreel-request-id: m0\r\n\
                 carobreel-deadline-ms: 900\r\ncontent-length: 8\r\n\r\na filing";
    for seed in 0..iterations(CI_MESSAGES) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let bytes = mutate(valid.as_bytes(), &mut rng);
        let before = upstream.observed.lock().unwrap().heads.len();
        let mut stream = TcpStream::connect(testbed.caller_address()).await.unwrap();
        // The gateway may close before it has read all.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        let _ = tokio::time::timeout(std::time::Duration::from_secs(3), reading).await;
        let heads = upstream.observed.lock().unwrap().heads[before..].to_vec();
        let text = String::from_utf8_lossy(&bytes);
        let request_lines = text.matches(" HTTP/1.1\r\n").count();
        assert!(
            heads.len() <= request_lines.max(1),
            "seed {seed}: {heads:?} from {text:?}"
        );
    }
    // Whatever came, proper requests are served.
    let answer = testbed
        .request(get("/read/x", "after", 1_000))
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
}

/// Returns the body of an answer by its own head: as long as it says, or all that follows.
fn expected_body(bytes: &[u8]) -> Vec<u8> {
    let ends = |mark: &[u8]| bytes.windows(mark.len()).position(|w| w == mark);
    let ends = [(ends(b"\n\r\n"), 3), (ends(b"\n\n"), 2)];
    let end = ends
        .iter()
        .filter_map(|(at, len)| at.map(|at| at + len))
        .min();
    let Some(end) = end else {
        return Vec::new();
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let mut lengths = head
        .lines()
        .filter_map(|l| l.strip_prefix("content-length:"));
    let rest = &bytes[end..];
    match lengths
        .next_back()
        .and_then(|n| n.trim().parse::<usize>().ok())
    {
        Some(len) => rest[..len.min(rest.len())].to_vec(),
        None => rest.to_vec(),
    }
}

#[tokio::test]
async fn a_mutated_response_never_yields_another_body() {
    let (testbed, upstream) = Testbed::start_with_upstream(62).await;
    for seed in 0..iterations(CI_MESSAGES) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let id = format!("a{seed}");
        let valid = format!(
            "HTTP/1.1 200 OK\r\ncarobreel-request-id: {id}\r\ncarobreel-server-stamp: u1.1\r\n\
             carobreel-server-load: 1,0,3\r\ncontent-length: 40\r\n\r\n{}",
            "z".repeat(40)
        );
        let head = valid.len() - 40;
        // The head is mutated, the body isn't: only a length that still fits may be served.
        let mut bytes = mutate(&valid.as_bytes()[..head], &mut rng);
        bytes.extend_from_slice(&valid.as_bytes()[head..]);
        upstream.set_behavior(Behavior::Normal);
        testbed.wait_until_served().await;
        let sent = bytes.clone();
        upstream.set_raw_response(bytes);
        let Ok(answer) = testbed.request(get("/read/x", &id, 400)).await else {
            continue;
        };
        let is_success = answer.status.is_success();
        // A mutation may end the head early: the body is then what follows, as its length says.
        let expected = expected_body(&sent);
        assert!(
            !is_success || answer.body == expected,
            "seed {seed}: {}",
            answer.text()
        );
        assert!(!is_success || !answer.header("carobreel-server-stamp").is_empty());
    }
}
