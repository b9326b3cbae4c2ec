//! A fake upstream that speaks the platform's protocol over raw sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carobreel::http::HttpRequest;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::raw_http::{close_gracefully, format_response, header, read_body, read_head};
use super::Testbed;

/// Interval between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Time from the end of a process until a later one listens at its address.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Processing time of a request at an upstream that a request may end.
const WORK: Duration = Duration::from_millis(30);

/// How an upstream responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Normal,
    /// Closes the connection in the middle of the body.
    TruncatedBody,
    /// Sends no length and resets the connection in the middle of the body.
    ResetWithoutLength,
    /// Sends no length and closes the connection after the complete body.
    ClosedWithoutLength,
    /// Responds with another request's id.
    WrongRequestId,
    /// Sends a second response after the first.
    ExtraResponse,
    /// Refuses with a header that proves that the request didn't run.
    RefusesWithProof,
    /// Responds with 503 without that header.
    RefusesWithoutProof,
    /// Omits the server stamp.
    Unstamped,
    /// Responds before it has read the request body, and reads the body afterwards.
    RespondsBeforeBody,
    /// Responds with a body of this many bytes.
    LongBody(usize),
    /// Responds with such a body and closes the connection shortly before its end.
    TruncatedLongBody(usize),
    /// Sends the bytes of `set_raw_response` and closes the connection.
    Raw,
    /// Responds after this delay, in milliseconds.
    Delayed(u64),
    /// Announces in its responses that it leaves.
    AnnouncesLeaving,
    /// Refuses with proof that the request didn't run, and with this `Retry-After`.
    AsksForBackoff(&'static str),
    /// Responds after `WORK` and reports this load.
    ReportsLoad(&'static str),
    /// Names this rate limit in its responses.
    NamesRateLimit(&'static str),
    /// Refuses the first request on each connection. Writes that refusal once more, with or without its id, in front of
    /// the answer to the next one, which it runs.
    RepeatsRefusal {
        with_id: bool,
    },
    /// Ends when it runs a request whose path ends with this text, and starts again after `RESTART_DELAY`.
    EndsOn(&'static str),
}

/// What an upstream has received.
#[derive(Default)]
pub struct Observations {
    /// Ids and times of the requests that it ran.
    pub runs: Vec<(String, Instant)>,
    /// Times at which requests arrived, except those to the health path and for grants.
    pub arrivals: Vec<Instant>,
    /// Heads of all requests except those to the health path and for grants.
    pub heads: Vec<String>,
    /// Lengths of request bodies, and whether all bytes of a body are equal.
    pub bodies: Vec<(usize, bool)>,
    /// The refusals on connections, by the port at the other end.
    refusals: BTreeMap<u16, String>,
    /// Times at which it ended while it ran a request.
    pub ended_at: Vec<Instant>,
    /// Times at which a connection was closed while its request was being processed.
    pub abandoned_at: Vec<Instant>,
    pub grants: u64,
    held_ranges: BTreeMap<(u16, u16), (u64, Instant)>,
}

/// A running fake upstream. Clones share the state.
#[derive(Clone)]
pub struct FakeUpstream {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    pub observed: Arc<Mutex<Observations>>,
    behavior: Arc<Mutex<Behavior>>,
    raw_response: Arc<Mutex<Vec<u8>>>,
    tasks: Arc<Mutex<tokio::task::JoinSet<()>>>,
    network: u8,
    born_ms: Arc<AtomicU64>,
    is_down: Arc<AtomicBool>,
    restart_delay: Arc<Mutex<Duration>>,
}

impl FakeUpstream {
    /// Starts an upstream in availability zone `a`.
    pub async fn start(testbed: &Testbed, n: u8, service: &str) -> FakeUpstream {
        FakeUpstream::start_in_zone(testbed, n, service, "a").await
    }

    /// Starts an upstream that announces this availability zone.
    pub async fn start_in_zone(
        testbed: &Testbed,
        n: u8,
        service: &str,
        zone: &str,
    ) -> FakeUpstream {
        let address = testbed.upstream_address(n);
        let listener = TcpListener::bind(address).await.unwrap();
        let upstream = FakeUpstream {
            id: format!("u{n}"),
            address,
            service: service.to_string(),
            zone: zone.to_string(),
            observed: Arc::default(),
            behavior: Arc::new(Mutex::new(Behavior::Normal)),
            raw_response: Arc::default(),
            tasks: Arc::default(),
            network: testbed.network,
            born_ms: Arc::new(AtomicU64::new(1_700_000_000_000 + u64::from(n))),
            is_down: Arc::default(),
            restart_delay: Arc::new(Mutex::new(RESTART_DELAY)),
        };
        upstream.listen(listener);
        upstream
    }

    fn listen(&self, listener: TcpListener) {
        let server = self.clone();
        self.tasks.lock().unwrap().spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let upstream = server.clone();
                let serve = async move {
                    let _ = upstream.serve(stream).await;
                };
                server.tasks.lock().unwrap().spawn(serve);
            }
        });
    }

    /// Ends the process, and starts a later one at the same address after `RESTART_DELAY`.
    fn end_and_restart(&self) {
        if self.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        self.observed.lock().unwrap().ended_at.push(Instant::now());
        self.crash();
        let upstream = self.clone();
        tokio::spawn(async move {
            let delay = *upstream.restart_delay.lock().unwrap();
            tokio::time::sleep(delay).await;
            upstream.born_ms.fetch_add(1_000, Ordering::Relaxed);
            upstream.observed.lock().unwrap().held_ranges.clear();
            upstream.is_down.store(false, Ordering::Relaxed);
            upstream.listen(TcpListener::bind(upstream.address).await.unwrap());
            upstream.send_heartbeats();
        });
    }

    /// Sets the time from the end of a process until a later one listens at its address.
    pub fn set_restart_delay(&self, delay: Duration) {
        *self.restart_delay.lock().unwrap() = delay;
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Sets the bytes to respond with.
    pub fn set_raw_response(&self, bytes: Vec<u8>) {
        *self.raw_response.lock().unwrap() = bytes;
        self.set_behavior(Behavior::Raw);
    }

    /// Simulates a crash: closes all sockets.
    pub fn crash(&self) {
        self.tasks.lock().unwrap().abort_all();
    }

    /// Sends one heartbeat and returns the status, or 0 without a response.
    pub async fn announce(&self, testbed: &Testbed, state: &str) -> u16 {
        let body = self.heartbeat(state).to_string();
        let call = HttpRequest::post(&format!("/v1/instances/{}/heartbeat", self.id), body);
        testbed
            .call_directory(call)
            .await
            .map_or(0, |a| a.status.as_u16())
    }

    /// Sends heartbeats until one is acknowledged, and keeps sending them.
    pub async fn join(&self, testbed: &Testbed) {
        super::wait_for(
            "the upstream is acknowledged",
            super::READY_TIMEOUT,
            async || self.announce(testbed, "ready").await == 200,
        )
        .await;
        self.send_heartbeats();
    }

    /// Sends heartbeats until the process ends.
    fn send_heartbeats(&self) {
        let upstream = self.clone();
        self.tasks.lock().unwrap().spawn(async move {
            let operators = super::at(upstream.network, 1, super::OPERATORS_PORT);
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                let body = upstream.heartbeat("ready").to_string();
                let path = format!("/v1/instances/{}/heartbeat", upstream.id);
                let _ = carobreel::http::send(operators, HttpRequest::post(&path, body)).await;
            }
        });
    }

    fn heartbeat(&self, state: &str) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 3, "state": state, "coldRemaining": "0ms",
            "sequence": 1, "born": self.born_ms.load(Ordering::Relaxed),
        })
    }

    pub fn run_count(&self) -> usize {
        self.observed.lock().unwrap().runs.len()
    }

    /// Returns how many of `keys` it currently holds.
    pub fn held_count(&self, keys: &[u16]) -> usize {
        keys.iter().filter(|k| self.holds_key(**k)).count()
    }

    fn holds_key(&self, key: u16) -> bool {
        let observed = self.observed.lock().unwrap();
        let now = Instant::now();
        let mut held_ranges = observed.held_ranges.iter();
        held_ranges.any(|((from, to), (_, until))| (*from..=*to).contains(&key) && *until > now)
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buf = Vec::new();
        loop {
            let Some(head) = read_head(&mut stream, &mut buf).await? else {
                return Ok(());
            };
            let path = head.split(' ').nth(1).unwrap_or("").to_string();
            let is_grant_call = path == "/v1/grant" || path == "/v1/release";
            let responds_early =
                *self.behavior.lock().unwrap() == Behavior::RespondsBeforeBody && !is_grant_call;
            if responds_early {
                self.respond(&mut stream, &head).await?;
            }
            let Some(body) = read_body(&mut stream, &mut buf, &head).await? else {
                return Ok(());
            };
            if is_grant_call {
                let answer = self.handle_grant_call(&head, &path, &body);
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            let is_uniform = body.iter().all(|b| *b == body[0]);
            self.observed
                .lock()
                .unwrap()
                .bodies
                .push((body.len(), is_uniform));
            if !responds_early && !self.respond(&mut stream, &head).await? {
                return Ok(());
            }
        }
    }

    fn handle_grant_call(&self, head: &str, path: &str, body: &[u8]) -> String {
        if header(head, "carobreel-expect-instance") != Some(self.id.clone()) {
            return format_response(421, "carobreel-not-executed: 1\r\n", "");
        }
        let call: Value = serde_json::from_slice(body).unwrap();
        let number = |name: &str| call[name].as_u64().unwrap();
        let range = (number("from") as u16, number("to") as u16);
        let mut observed = self.observed.lock().unwrap();
        if path == "/v1/release" {
            // Keeps the parts of a held range that aren't released.
            let held_ranges = std::mem::take(&mut observed.held_ranges);
            for ((from, to), hold) in held_ranges {
                if from < range.0 && to >= range.0 {
                    observed.held_ranges.insert((from, range.0 - 1), hold);
                }
                if to > range.1 && from <= range.1 {
                    observed.held_ranges.insert((range.1 + 1, to), hold);
                }
                if to < range.0 || from > range.1 {
                    observed.held_ranges.insert((from, to), hold);
                }
            }
            return format_response(200, "carobreel-handover: h1\r\n", "");
        }
        observed.grants += 1;
        let hold = call["hold_time"].as_str().unwrap();
        let ms = carobreel::duration::parse_ms(hold).unwrap();
        let until = Instant::now() + Duration::from_millis(ms);
        observed.held_ranges.insert(range, (number("fence"), until));
        format_response(200, "", "{}")
    }

    /// Responds to a request and returns whether the connection stays open.
    async fn respond(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<bool> {
        let id = header(head, "carobreel-request-id").unwrap_or_default();
        let behavior = *self.behavior.lock().unwrap();
        {
            let mut observed = self.observed.lock().unwrap();
            observed.heads.push(head.to_string());
            observed.arrivals.push(Instant::now());
        }
        let refusal = format!("carobreel-request-id: {id}\r\ncarobreel-not-executed: 1\r\n");
        let key = header(head, "carobreel-shard-key");
        if key.is_some_and(|k| !self.holds_key(k.parse().unwrap())) {
            let answer = format_response(421, &refusal, "");
            stream.write_all(answer.as_bytes()).await?;
            return Ok(true);
        }
        if behavior == Behavior::RefusesWithProof {
            let answer = format_response(503, &refusal, "");
            stream.write_all(answer.as_bytes()).await?;
            return Ok(true);
        }
        if let Behavior::AsksForBackoff(seconds) = behavior {
            let headers = format!("{refusal}retry-after: {seconds}\r\n");
            stream
                .write_all(format_response(503, &headers, "").as_bytes())
                .await?;
            return Ok(true);
        }
        let mut repeated = None;
        if let Behavior::RepeatsRefusal { with_id } = behavior {
            let port = stream.peer_addr()?.port();
            repeated = self.observed.lock().unwrap().refusals.remove(&port);
            if repeated.is_none() {
                let id = match with_id {
                    true => format!("carobreel-request-id: {id}\r\n"),
                    false => String::new(),
                };
                let proof = format!("{id}carobreel-not-executed: 1\r\n");
                let refusal = format_response(503, &proof, "");
                stream.write_all(refusal.as_bytes()).await?;
                let mut observed = self.observed.lock().unwrap();
                observed.refusals.insert(port, refusal);
                return Ok(true);
            }
        }
        let run = (id.clone(), Instant::now());
        self.observed.lock().unwrap().runs.push(run);
        // The copy may be taken for the answer, so the run is recorded first.
        if let Some(refusal) = repeated {
            stream.write_all(refusal.as_bytes()).await?;
        }
        if let Behavior::EndsOn(suffix) = behavior {
            let path = head.split(' ').nth(1).unwrap_or("");
            tokio::time::sleep(WORK).await;
            if path.ends_with(suffix) {
                self.end_and_restart();
                // The task is aborted here.
                std::future::pending::<()>().await;
            }
        }
        if behavior == Behavior::Raw {
            let bytes = self.raw_response.lock().unwrap().clone();
            stream.write_all(&bytes).await?;
            return Ok(false);
        }
        if let Behavior::Delayed(ms) = behavior {
            let mut byte = [0];
            let work = tokio::time::sleep(Duration::from_millis(ms));
            tokio::select! {
                _ = work => {}
                _ = stream.read(&mut byte) => {
                    self.observed.lock().unwrap().abandoned_at.push(Instant::now());
                    return Ok(false);
                }
            }
        }
        let stamp = format!(
            "carobreel-request-id: {id}\r\ncarobreel-server-stamp: {}.1\r\n\
             carobreel-server-load: 1,0,3\r\n",
            self.id
        );
        let body = "x".repeat(400);
        let (bytes, keeps_open) = match behavior {
            Behavior::TruncatedBody => {
                let full_response = format_response(200, &stamp, &body);
                (
                    full_response[..full_response.len() - 200].to_string(),
                    false,
                )
            }
            Behavior::ResetWithoutLength | Behavior::ClosedWithoutLength => {
                stream.set_zero_linger()?;
                let head = format!("HTTP/1.1 200 OK\r\n{stamp}\r\n");
                let len = if behavior == Behavior::ClosedWithoutLength {
                    400
                } else {
                    200
                };
                (head + &body[..len], false)
            }
            Behavior::WrongRequestId => {
                let other_stamp = stamp.replace(&id, "0000");
                (format_response(200, &other_stamp, &body), true)
            }
            Behavior::ExtraResponse => {
                let full_response = format_response(200, &stamp, &body);
                let other_stamp = format_response(200, &stamp.replace(&id, "0000"), "another's");
                (full_response + &other_stamp, true)
            }
            Behavior::RefusesWithoutProof => (format_response(503, &stamp, ""), true),
            Behavior::Unstamped => (format_response(200, "", &body), true),
            Behavior::LongBody(len) => (format_response(200, &stamp, &"y".repeat(len)), true),
            Behavior::TruncatedLongBody(len) => {
                let full_response = format_response(200, &stamp, &"y".repeat(len));
                (full_response[..full_response.len() - 9].to_string(), false)
            }
            Behavior::AnnouncesLeaving => {
                let leaving = format!("{stamp}server-leaving: 1\r\n");
                (format_response(200, &leaving, &body), true)
            }
            Behavior::ReportsLoad(load) => {
                tokio::time::sleep(WORK).await;
                let reported = stamp.replace("load: 1,0,3", &format!("load: {load}"));
                (format_response(200, &reported, &body), true)
            }
            Behavior::NamesRateLimit(per_s) => {
                let limited = format!("{stamp}server-limit: {per_s}\r\n");
                (format_response(200, &limited, &body), true)
            }
            Behavior::Normal
            | Behavior::RespondsBeforeBody
            | Behavior::RefusesWithProof
            | Behavior::AsksForBackoff(_)
            | Behavior::Raw
            | Behavior::EndsOn(_)
            | Behavior::RepeatsRefusal { .. }
            | Behavior::Delayed(_) => (format_response(200, &stamp, &body), true),
        };
        stream.write_all(bytes.as_bytes()).await?;
        if behavior == Behavior::ClosedWithoutLength {
            // Closes without a reset, so that the body counts as complete.
            close_gracefully(stream).await?;
        }
        Ok(keeps_open)
    }
}
