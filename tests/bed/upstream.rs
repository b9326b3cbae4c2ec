//! An upstream that speaks the platform's protocol over raw sockets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carobreel::http::HttpRequest;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::Bed;

/// Between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// How an upstream answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Well,
    /// Breaks off in the middle of the body.
    Truncates,
    /// Names no length and resets the connection in the middle.
    ResetsUnframed,
    /// Names no length and closes after the whole body.
    Unframed,
    /// Answers with another request's id.
    Confuses,
    /// Adds a second answer after the first.
    AddsAnother,
    /// Refuses with proof that nothing ran.
    Sheds,
    /// Answers 503 without proof.
    FailsLikeShedding,
    /// Leaves the stamp out.
    Unstamped,
    /// Answers before it has read the request's body, and reads on afterwards.
    Early,
    /// Answers with a body of this many bytes.
    Long(usize),
    /// The same, and breaks off shortly before its end.
    LongTruncated(usize),
    /// Answers with the bytes of `set_raw` and closes.
    Raw,
    /// Takes this long, in milliseconds.
    Slow(u64),
    /// Says in its answers that it leaves.
    Leaves,
    /// Refuses with proof that nothing ran, and with this as the time for which it wants nothing.
    Rests(&'static str),
}

/// What an upstream saw.
#[derive(Default)]
pub struct Seen {
    /// Requests that it ran, by id, with when.
    pub runs: Vec<(String, Instant)>,
    /// Heads of all requests, the health path and grants left out.
    pub heads: Vec<String>,
    /// Lengths of bodies of requests, and whether all of their bytes are the same.
    pub bodies: Vec<(usize, bool)>,
    /// Requests whose connection was closed while it worked.
    pub abandoned: Vec<Instant>,
    pub grants: u64,
    holds: BTreeMap<(u16, u16), (u64, Instant)>,
}

/// A running upstream.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    pub seen: Arc<Mutex<Seen>>,
    manner: Arc<Mutex<Manner>>,
    raw: Arc<Mutex<Vec<u8>>>,
    tasks: Arc<Mutex<tokio::task::JoinSet<()>>>,
    beats: u64,
}

impl Upstream {
    pub async fn start(bed: &Bed, n: u8, service: &str) -> Upstream {
        let address = bed.upstream(n);
        let listener = TcpListener::bind(address).await.unwrap();
        let upstream = Upstream {
            id: format!("u{n}"),
            address,
            service: service.to_string(),
            seen: Arc::default(),
            manner: Arc::new(Mutex::new(Manner::Well)),
            raw: Arc::default(),
            tasks: Arc::default(),
            beats: 1_700_000_000_000 + u64::from(n),
        };
        let server = upstream.clone();
        upstream.tasks.lock().unwrap().spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let one = server.clone();
                let serve = async move {
                    let _ = one.serve(stream).await;
                };
                server.tasks.lock().unwrap().spawn(serve);
            }
        });
        upstream
    }

    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    /// Has it answer with these bytes.
    pub fn set_raw(&self, bytes: Vec<u8>) {
        *self.raw.lock().unwrap() = bytes;
        self.set(Manner::Raw);
    }

    /// Ends the process: its sockets close.
    pub fn crash(&self) {
        self.tasks.lock().unwrap().abort_all();
    }

    /// Announces itself once; returns the status.
    pub async fn announce(&self, bed: &Bed, state: &str) -> u16 {
        let body = self.heartbeat(state).to_string();
        let call = HttpRequest::post(&format!("/v1/instances/{}/heartbeat", self.id), body);
        bed.control(call).await.map_or(0, |a| a.status.as_u16())
    }

    /// Announces itself until it is acknowledged, and from then on.
    pub async fn join(&self, bed: &Bed) {
        super::wait_for("the upstream is acknowledged", super::READY, async || {
            self.announce(bed, "ready").await == 200
        })
        .await;
        let (upstream, network) = (self.clone(), bed.network);
        self.tasks.lock().unwrap().spawn(async move {
            let operators = super::at(network, 1, super::OPERATORS_PORT);
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
            "service": self.service, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 3, "state": state, "coldRemaining": "0ms",
            "sequence": 1, "born": self.beats,
        })
    }

    pub fn runs(&self) -> usize {
        self.seen.lock().unwrap().runs.len()
    }

    /// Returns how many of `keys` it holds now.
    pub fn held(&self, keys: &[u16]) -> usize {
        keys.iter().filter(|k| self.holds(**k)).count()
    }

    fn holds(&self, key: u16) -> bool {
        let seen = self.seen.lock().unwrap();
        let now = Instant::now();
        let mut holds = seen.holds.iter();
        holds.any(|((from, to), (_, until))| (*from..=*to).contains(&key) && *until > now)
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buf = Vec::new();
        loop {
            let Some(head) = read_head(&mut stream, &mut buf).await? else {
                return Ok(());
            };
            let path = head.split(' ').nth(1).unwrap_or("").to_string();
            let is_about_keys = path == "/v1/grant" || path == "/v1/release";
            let is_early = *self.manner.lock().unwrap() == Manner::Early && !is_about_keys;
            if is_early {
                self.answer(&mut stream, &head).await?;
            }
            let Some(body) = read_body(&mut stream, &mut buf, &head).await? else {
                return Ok(());
            };
            if is_about_keys {
                let answer = self.keys(&head, &path, &body);
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            let is_even = body.iter().all(|b| *b == body[0]);
            self.seen.lock().unwrap().bodies.push((body.len(), is_even));
            if !is_early && !self.answer(&mut stream, &head).await? {
                return Ok(());
            }
        }
    }

    fn keys(&self, head: &str, path: &str, body: &[u8]) -> String {
        if header(head, "carobreel-expect-instance") != Some(self.id.clone()) {
            return respond(421, "carobreel-not-executed: 1\r\n", "");
        }
        let order: Value = serde_json::from_slice(body).unwrap();
        let number = |name: &str| order[name].as_u64().unwrap();
        let range = (number("from") as u16, number("to") as u16);
        let mut seen = self.seen.lock().unwrap();
        if path == "/v1/release" {
            // A hold is cut where a part of it is taken back.
            let holds = std::mem::take(&mut seen.holds);
            for ((from, to), hold) in holds {
                if from < range.0 && to >= range.0 {
                    seen.holds.insert((from, range.0 - 1), hold);
                }
                if to > range.1 && from <= range.1 {
                    seen.holds.insert((range.1 + 1, to), hold);
                }
                if to < range.0 || from > range.1 {
                    seen.holds.insert((from, to), hold);
                }
            }
            return respond(200, "carobreel-handover: h1\r\n", "");
        }
        seen.grants += 1;
        let hold = order["hold_time"].as_str().unwrap();
        let ms = carobreel::duration::parse_ms(hold).unwrap();
        let until = Instant::now() + Duration::from_millis(ms);
        seen.holds.insert(range, (number("fence"), until));
        respond(200, "", "{}")
    }

    /// Answers a request; returns whether the connection goes on.
    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<bool> {
        let id = header(head, "carobreel-request-id").unwrap_or_default();
        let manner = *self.manner.lock().unwrap();
        self.seen.lock().unwrap().heads.push(head.to_string());
        let key = header(head, "carobreel-shard-key");
        if key.is_some_and(|k| !self.holds(k.parse().unwrap())) {
            let answer = respond(421, "carobreel-not-executed: 1\r\n", "");
            stream.write_all(answer.as_bytes()).await?;
            return Ok(true);
        }
        if manner == Manner::Sheds {
            let answer = respond(503, "carobreel-not-executed: 1\r\n", "");
            stream.write_all(answer.as_bytes()).await?;
            return Ok(true);
        }
        if let Manner::Rests(seconds) = manner {
            let headers = format!("carobreel-not-executed: 1\r\nretry-after: {seconds}\r\n");
            stream
                .write_all(respond(503, &headers, "").as_bytes())
                .await?;
            return Ok(true);
        }
        let run = (id.clone(), Instant::now());
        self.seen.lock().unwrap().runs.push(run);
        if manner == Manner::Raw {
            let bytes = self.raw.lock().unwrap().clone();
            stream.write_all(&bytes).await?;
            return Ok(false);
        }
        if let Manner::Slow(ms) = manner {
            let mut byte = [0];
            let work = tokio::time::sleep(Duration::from_millis(ms));
            tokio::select! {
                _ = work => {}
                _ = stream.read(&mut byte) => {
                    self.seen.lock().unwrap().abandoned.push(Instant::now());
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
        let (bytes, goes_on) = match manner {
            Manner::Truncates => {
                let whole = respond(200, &stamp, &body);
                (whole[..whole.len() - 200].to_string(), false)
            }
            Manner::ResetsUnframed | Manner::Unframed => {
                stream.set_zero_linger()?;
                let head = format!("HTTP/1.1 200 OK\r\n{stamp}\r\n");
                let len = if manner == Manner::Unframed { 400 } else { 200 };
                (head + &body[..len], false)
            }
            Manner::Confuses => {
                let other = stamp.replace(&id, "0000");
                (respond(200, &other, &body), true)
            }
            Manner::AddsAnother => {
                let whole = respond(200, &stamp, &body);
                let other = respond(200, &stamp.replace(&id, "0000"), "another's");
                (whole + &other, true)
            }
            Manner::FailsLikeShedding => (respond(503, &stamp, ""), true),
            Manner::Unstamped => (respond(200, "", &body), true),
            Manner::Long(len) => (respond(200, &stamp, &"y".repeat(len)), true),
            Manner::LongTruncated(len) => {
                let whole = respond(200, &stamp, &"y".repeat(len));
                (whole[..whole.len() - 9].to_string(), false)
            }
            Manner::Leaves => {
                let leaving = format!("{stamp}server-leaving: 1\r\n");
                (respond(200, &leaving, &body), true)
            }
            Manner::Well
            | Manner::Early
            | Manner::Sheds
            | Manner::Rests(_)
            | Manner::Raw
            | Manner::Slow(_) => (respond(200, &stamp, &body), true),
        };
        stream.write_all(bytes.as_bytes()).await?;
        if manner == Manner::Unframed {
            // A close, not a reset: the body is whole.
            socket_close(stream).await?;
        }
        Ok(goes_on)
    }
}

async fn socket_close(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 64];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

fn respond(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_string())
    })
}

async fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> std::io::Result<Option<String>> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 4);
            return Ok(Some(head));
        }
        if !read_more(stream, buf).await? {
            return Ok(None);
        }
    }
}

async fn read_body(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    head: &str,
) -> std::io::Result<Option<Vec<u8>>> {
    let len: usize = header(head, "content-length").map_or(0, |n| n.parse().unwrap());
    while buf.len() < len {
        if !read_more(stream, buf).await? {
            return Ok(None);
        }
    }
    Ok(Some(buf.drain(..len).collect()))
}

async fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut chunk = [0; 65_536];
    let read = stream.read(&mut chunk).await?;
    buf.extend_from_slice(&chunk[..read]);
    Ok(read > 0)
}
