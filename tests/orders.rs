//! Tests which answer of an upstream counts as the answer to a call about its keys.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use carobreel::clock::{Clock, Mono};
use carobreel::directory::daemon::GrantTransport;
use carobreel::directory::lessor::{Call, CallId, CallKind, CallResult, Lessor};
use carobreel::directory::model::{Incarnation, Phase, RouteConfig, Service, Upstream};
use carobreel::directory::state::{Command, State, StoredConfig};
use carobreel::platform::grant_client::GrantClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HOLD_MS: u64 = 2_500;
const STEP_MS: u64 = 40;
const SERVICE: &str = "maps";

fn upstream(n: u64, phase: Phase) -> Upstream {
    Upstream {
        incarnation: Incarnation {
            id: format!("u{n}"),
            born_ms: n,
        },
        service: SERVICE.to_string(),
        address: SocketAddr::from(([10, 0, 0, n as u8], 80)),
        zone: "a".to_string(),
        version: "v1".to_string(),
        slots: 3,
        phase,
        is_cold: false,
        cold_sequence: None,
    }
}

/// A leader's record of grants, with the replicated state that its commands change at once.
struct Leadership {
    state: State,
    index: u64,
    now: Mono,
    lessor: Lessor,
    live: Vec<u64>,
}

impl Leadership {
    /// Returns the first leadership over two upstreams, which hold all keys.
    fn with_all_keys_granted() -> Leadership {
        let mut leadership = Leadership {
            state: State::default(),
            index: 0,
            now: Mono(1_000),
            lessor: Lessor::new(HOLD_MS, 1, Mono(1_000)),
            live: vec![1, 2],
        };
        let service = Service {
            health_path: "/health".to_string(),
            connections_max: 100,
            sharded: true,
            warmup_ms: 3_000,
            cold_start_ms: 0,
            cold_limit: None,
        };
        let config = RouteConfig {
            version: 1,
            services: BTreeMap::from([(SERVICE.to_string(), service)]),
            ..RouteConfig::default()
        };
        leadership.apply(Command::Configure(Box::new(StoredConfig {
            config,
            source: Vec::new(),
        })));
        for n in [1, 2] {
            leadership.apply(Command::Register(upstream(n, Phase::Ready)));
        }
        let mut grants = 0;
        while grants < 4 {
            for call in leadership.step() {
                assert_matches!(call.kind, CallKind::Grant { .. });
                leadership.finish(call.id, CallResult::Done(None));
                grants += 1;
            }
        }
        leadership
    }

    /// Replaces the leadership by the one of the next term in the same process.
    fn reelect(&mut self) {
        self.lessor = Lessor::new(HOLD_MS, 2, self.now);
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        self.state.apply(self.index, command);
    }

    fn finish(&mut self, id: CallId, result: CallResult) {
        self.lessor.handle_call_result(id, result, self.now);
    }

    /// Advances the time by one step and returns the calls to make.
    fn step(&mut self) -> Vec<Call> {
        self.now = self.now.plus(STEP_MS);
        for n in self.live.clone() {
            let incarnation = upstream(n, Phase::Ready).incarnation;
            self.lessor.record_announcement(&incarnation, self.now);
        }
        let output = self.lessor.step(&self.state, self.now, true);
        for command in output.commands {
            self.apply(command);
        }
        output.calls
    }

    /// Answers all grants until a release is to be sent, and returns the releases of that step.
    fn next_releases(&mut self) -> Vec<Call> {
        for _ in 0..100 {
            let (releases, grants): (Vec<Call>, Vec<Call>) = self
                .step()
                .into_iter()
                .partition(|call| call.kind == CallKind::Release);
            for call in grants {
                self.finish(call.id, CallResult::Done(None));
            }
            if !releases.is_empty() {
                return releases;
            }
        }
        panic!("no release was sent")
    }

    fn owner(&self, key: u16) -> String {
        self.state.owners[SERVICE]
            .owner_of(key)
            .map_or(String::new(), |r| r.owner.id.clone())
    }
}

/// Call numbers began anew with each leadership, and results named no term: the answer to an earlier
/// leadership's release completed another release, whose keys were given away while in use.
#[test]
fn an_answer_to_an_earlier_leadership_s_release_completes_no_release() {
    let mut leadership = Leadership::with_all_keys_granted();
    leadership.apply(Command::Register(upstream(1, Phase::Draining)));
    let earlier = leadership.next_releases();
    leadership.reelect();
    let releases = leadership.next_releases();
    let numbers = |calls: &[Call]| calls.iter().map(|c| c.id.number).collect::<Vec<_>>();
    assert_eq!(
        numbers(&earlier),
        numbers(&releases),
        "the numbers begin anew"
    );
    for call in &earlier {
        leadership.finish(call.id, CallResult::Done(None));
    }
    leadership.step();
    for call in &releases {
        assert_eq!(leadership.owner(call.from), "u1", "{call:?}");
    }
    for call in &releases {
        leadership.finish(call.id, CallResult::Done(None));
    }
    leadership.step();
    for call in &releases {
        assert_eq!(leadership.owner(call.from), "u2", "{call:?}");
    }
}

/// Results of releases were matched by service and first key: a release that outlasted its move completed the
/// next move of the same keys while their new owner was at work on them.
#[test]
fn an_answer_to_a_release_that_outlasted_its_move_completes_no_later_move() {
    let mut leadership = Leadership::with_all_keys_granted();
    leadership.apply(Command::Register(upstream(1, Phase::Draining)));
    let earlier = leadership.next_releases();
    let key = earlier[0].from;
    // The first owner's grant runs out before it answers.
    for _ in 0..100 {
        for call in leadership.step() {
            let result = match call.upstream == "u2" {
                true => CallResult::Done(None),
                false => CallResult::Unknown,
            };
            leadership.finish(call.id, result);
        }
    }
    assert_eq!(leadership.owner(key), "u2");
    // The new owner leaves as well, and a third one has come.
    leadership.apply(Command::Register(upstream(3, Phase::Ready)));
    leadership.live.push(3);
    leadership.apply(Command::Register(upstream(2, Phase::Draining)));
    let releases = leadership.next_releases();
    assert!(releases.iter().any(|call| call.from == key), "{releases:?}");
    for call in &earlier {
        leadership.finish(call.id, CallResult::Done(None));
    }
    leadership.step();
    assert_eq!(leadership.owner(key), "u2");
    for call in &releases {
        leadership.finish(call.id, CallResult::Done(None));
    }
    leadership.step();
    assert_eq!(leadership.owner(key), "u3");
}

/// What a fake upstream sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answers {
    /// Repeats its last answer on the connection before it works on the next call.
    Repeated { with_id: bool },
    /// Sends bytes without end after this text.
    WithoutEnd(&'static str, &'static [u8]),
}

/// How long the fake upstream works on a call that follows another one.
const WORK: Duration = Duration::from_millis(300);

/// Serves calls and counts the bytes sent.
async fn serve_calls(answers: Answers, sent: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answered = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(
                stream,
                answers,
                sent.clone(),
                answered.clone(),
            ));
        }
    });
    address
}

async fn serve_connection(
    mut stream: TcpStream,
    answers: Answers,
    sent: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
) {
    let mut last_answer: Option<String> = None;
    while let Some(id) = read_call(&mut stream).await {
        match answers {
            Answers::Repeated { with_id } => {
                if let Some(again) = &last_answer {
                    stream.write_all(again.as_bytes()).await.ok();
                }
                if answered.fetch_add(1, Ordering::SeqCst) > 0 {
                    tokio::time::sleep(WORK).await;
                }
                let id = match with_id {
                    true => format!("Carobreel-Request-Id: {id}\r\n"),
                    false => String::new(),
                };
                let answer = format!("HTTP/1.1 200 OK\r\n{id}Content-Length: 0\r\n\r\n");
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                last_answer = Some(answer);
            }
            Answers::WithoutEnd(start, part) => {
                let mut written = stream.write_all(start.as_bytes()).await;
                let parts = part.repeat(1 + (8 << 10) / part.len());
                while written.is_ok() {
                    written = stream.write_all(&parts).await;
                    sent.fetch_add(parts.len(), Ordering::SeqCst);
                }
                return;
            }
        }
    }
}

/// Reads a call and returns its id.
async fn read_call(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    loop {
        let mut buf = [0; 4_096];
        let len = stream.read(&mut buf).await.ok().filter(|len| *len > 0)?;
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let header = |name: &str| {
                let mut lines = head.lines().filter_map(|line| line.split_once(": "));
                let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
                found.map_or(String::new(), |(_, value)| value.to_string())
            };
            if body.len() >= header("content-length").parse().unwrap_or(0) {
                return Some(header("carobreel-request-id"));
            }
        }
    }
}

fn call(address: SocketAddr, number: u64, kind: CallKind, timeout_ms: u64) -> Call {
    Call {
        id: CallId { term: 1, number },
        address,
        upstream: "u1".to_string(),
        service: SERVICE.to_string(),
        from: 0,
        to: 9,
        fence: 1,
        kind,
        timeout_ms,
    }
}

/// The first answer on a kept connection was taken as that to the call in flight: a second copy of a grant's
/// answer completed the release that followed, and the keys were given away while in use.
#[tokio::test]
async fn a_second_copy_of_a_grant_s_answer_completes_no_release() {
    let cases = [(true, false), (true, true), (false, false), (false, true)];
    for (with_id, is_renewed) in cases {
        let answers = Answers::Repeated { with_id };
        let address = serve_calls(answers, Arc::default()).await;
        let client = GrantClient::new(Clock::start());
        let until = Mono(u64::MAX);
        let grant = |is_renewal| CallKind::Grant {
            hold_ms: HOLD_MS,
            handover: None,
            is_renewal,
        };
        let granted = client.call(call(address, 1, grant(false), 1_000), until);
        assert_eq!(granted.await, CallResult::Done(None), "{answers:?}");
        if is_renewed {
            let renewed = client.call(call(address, 2, grant(true), 1_000), until);
            let expected = match with_id {
                true => CallResult::Mismatched,
                // Without an id the copy can't be told from the answer; for a renewal that does no harm.
                false => CallResult::Done(None),
            };
            assert_eq!(renewed.await, expected);
        }
        let started_at = Instant::now();
        let release = call(address, 3, CallKind::Release, 2_000);
        let released = client.call(release, until).await;
        let waited = started_at.elapsed();
        if with_id && !is_renewed {
            assert_eq!(released, CallResult::Mismatched);
        } else {
            assert_eq!(released, CallResult::Done(None), "{answers:?}");
            assert!(waited >= WORK, "{waited:?}");
        }
    }
}

/// The body and buffers of one answer, and what the kernel buffers for a connection, in bytes.
const READ_MAX: usize = 16 << 20;

/// Answers to calls were collected whole: one without end took the process over its memory limit.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_a_release_without_end_is_given_up_at_its_size_limit() {
    let chunk: &[u8] = b"4\r\n####\r\n";
    let starts = [
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            chunk,
        ),
        ("HTTP/1.1 200 OK\r\n\r\n", b"#".as_slice()),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n",
            b"#".as_slice(),
        ),
        ("HTTP/1.1 200 OK\r\nA: ", b"#".as_slice()),
        ("HTTP/1.1 200 OK\r\n", b"A: b\r\n".as_slice()),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
            b"#".as_slice(),
        ),
        ("", b"#".as_slice()),
    ];
    for (start, part) in starts {
        let sent = Arc::new(AtomicUsize::new(0));
        let address = serve_calls(Answers::WithoutEnd(start, part), sent.clone()).await;
        let client = GrantClient::new(Clock::start());
        let release = call(address, 1, CallKind::Release, 3_000);
        let started_at = Instant::now();
        let result = client.call(release, Mono(u64::MAX)).await;
        assert_eq!(result, CallResult::Unknown, "{start:?}");
        let waited = started_at.elapsed();
        assert!(
            waited < Duration::from_millis(1_500),
            "{start:?}: {waited:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
        let bytes = sent.load(Ordering::SeqCst);
        assert!(bytes <= READ_MAX, "{start:?}: {bytes} bytes were taken");
    }
}

/// Interim responses are no answer: a call that gets nothing else ends at its time limit.
#[tokio::test(flavor = "multi_thread")]
async fn interim_responses_without_end_keep_a_call_no_longer_than_its_time_limit() {
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
    let address = serve_calls(Answers::WithoutEnd("", interim), Arc::default()).await;
    let client = GrantClient::new(Clock::start());
    let started_at = Instant::now();
    let release = call(address, 1, CallKind::Release, 300);
    let result = client.call(release, Mono(u64::MAX)).await;
    assert_eq!(result, CallResult::Unknown);
    let waited = started_at.elapsed();
    assert!(waited < Duration::from_millis(1_000), "{waited:?}");
}

/// Calls that a leader has in flight at most: 64 grants and 64 releases.
const CALLS_MAX: u64 = 128;
/// The growth of the process's memory that so many answers may cause, in KiB; a leader may use 256 MB.
const GROWTH_MAX_KIB: u64 = 64 << 10;

fn peak_memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse().ok()).unwrap()
}

/// Answers without end of as many upstreams as a leader calls at once fit its memory together.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_of_many_upstreams_at_once_fit_the_memory() {
    let start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let client = Arc::new(GrantClient::new(Clock::start()));
    let before = peak_memory_kib();
    let mut pending = tokio::task::JoinSet::new();
    for number in 1..=CALLS_MAX {
        let answers = Answers::WithoutEnd(start, b"4\r\n####\r\n");
        let address = serve_calls(answers, Arc::default()).await;
        let client = client.clone();
        pending.spawn(async move {
            let release = call(address, number, CallKind::Release, 3_000);
            client.call(release, Mono(u64::MAX)).await
        });
    }
    for result in pending.join_all().await {
        assert_eq!(result, CallResult::Unknown);
    }
    let growth = peak_memory_kib() - before;
    assert!(growth <= GROWTH_MAX_KIB, "{growth} KiB");
}
