//! Parts that the scripts of the review share: a working folder, processes of the project, an HTTP client and
//! workers, all on loopback addresses. Standard library only, so that one call of rustc builds a case.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PEER_PORT: u16 = 21_800;
const CALLERS_PORT: u16 = 21_801;
const READINESS_PORT: u16 = 21_802;
const CONTROL_PORT: u16 = 21_803;
const METRICS_PORT: u16 = 21_804;
const WORKER_PORT: u16 = 21_810;

/// Values of the small deployment's `bounds` and machines, as the site file has them.
pub const DRAIN_MS: u64 = 2_500;
pub const GRACE_MS: u64 = 6_000;
pub const MAX_HOLD_MS: u64 = 10_000;
pub const HEARTBEAT_MS: u64 = 870;
pub const LINK_MBPS: f64 = 1_000.0;

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Writes the record of a case; each line starts with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), text.as_ref());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// One process of the project.
pub struct Process {
    pub name: String,
    role: String,
    pub host: u8,
    child: Child,
    settings: PathBuf,
    record: Record,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        signal_all(&[self.pid()], name);
        self.record.note(format!("SIG{name} to {}", self.name));
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock(&RUNNING).retain(|pid| *pid != self.child.id());
    }

    /// Starts the process again with its settings file.
    pub fn restart(&mut self, root: &Path) {
        self.kill();
        self.child = spawn(root, &self.role, &self.name, &self.settings);
        self.record.note(format!("{} starts again", self.name));
    }

    pub fn settings_path(&self) -> &Path {
        &self.settings
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        signal_all(&[self.pid()], "CONT");
        self.kill();
    }
}

/// Processes of the project that the case has started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case that still runs after so long ends all of them and exits with 2.
const TIME_LIMIT_MS: u64 = 112_000;

/// Sends one signal to several processes with a single command.
pub fn signal_all(pids: &[u32], name: &str) {
    let list: Vec<String> = pids.iter().map(u32::to_string).collect();
    let text = format!("kill -{name} {} 2>/dev/null", list.join(" "));
    let _ = Command::new("sh").arg("-c").arg(text).status();
}

fn spawn(root: &Path, role: &str, name: &str, settings: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("a log file");
    let child = Command::new(root.join("target/release/carobreel"))
        .arg(role)
        .env("CAROBREEL_SETTINGS", settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.try_clone().expect("a log file")))
        .stderr(Stdio::from(log))
        .spawn()
        .unwrap_or_else(|e| panic!("{name} can't start: {e}"));
    lock(&RUNNING).push(child.id());
    child
}

/// A deployment's folder and addresses.
pub struct Lab {
    pub record: Record,
    pub root: PathBuf,
    pub folder: PathBuf,
    /// The folder that all others are in.
    top: PathBuf,
    net: [u8; 2],
    pub trouble: bool,
}

impl Lab {
    /// `record.txt` goes into the folder that the first argument names.
    pub fn start() -> Lab {
        let case = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
        let file = File::create(case.join("record.txt")).expect("record.txt");
        let record = Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        };
        let folder = std::env::temp_dir().join(format!("carobreel-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a working folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        let lab = Lab {
            record,
            root: std::env::current_dir().expect("a current folder"),
            top: folder.clone(),
            folder,
            net: free_net(),
            trouble,
        };
        let record = lab.record.clone();
        thread::spawn(move || {
            sleep_ms(TIME_LIMIT_MS);
            record.note("can't run: not done in time");
            signal_all(&lock(&RUNNING), "KILL");
            std::process::exit(2);
        });
        lab.record.note(format!("trouble: {}", lab.trouble));
        lab
    }

    /// Uses other addresses and an empty folder from now on.
    pub fn renew(&mut self, n: u32) {
        self.net = free_net();
        self.folder = self.top.join(format!("round-{n}"));
        std::fs::create_dir_all(&self.folder).expect("a working folder");
    }

    pub fn note(&self, text: impl AsRef<str>) {
        self.record.note(text);
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], host)), port)
    }

    pub fn callers(&self, host: u8) -> SocketAddr {
        self.at(host, CALLERS_PORT)
    }

    pub fn readiness(&self, host: u8) -> SocketAddr {
        self.at(host, READINESS_PORT)
    }

    pub fn control(&self, host: u8) -> SocketAddr {
        self.at(host, CONTROL_PORT)
    }

    pub fn worker_address(&self, host: u8) -> SocketAddr {
        self.at(host, WORKER_PORT)
    }

    pub fn settings(&self, name: &str, host: u8, seeds: &[u8], first_start: bool, losses: u32) -> String {
        let is_directory = name.starts_with("core");
        let seeds: Vec<String> =
            seeds.iter().map(|s| format!("\"{}\"", self.control(*s))).collect();
        let served = if is_directory {
            let data = self.folder.join(format!("data-{name}"));
            format!(
                "\"callers\": \"\", \"readiness\": \"\", \"operators\": \"{}\", \"data_folder\": \"{}\"",
                self.control(host),
                data.display()
            )
        } else {
            format!(
                "\"callers\": \"{}\", \"readiness\": \"{}\", \"operators\": \"\", \"data_folder\": null",
                self.callers(host),
                self.readiness(host)
            )
        };
        format!(
            "{{ \"host\": \"{name}\", \"zone\": \"norte-a\", \"zones\": {{ \"norte-a\": \"norte\" }},\n\
             \"peer_address\": \"{}\", {served},\n\"metrics\": \"{}\", \"seeds\": [{}],\n\
             \"first_start\": {first_start}, \"losses_tolerated\": {losses}, \"hold_max\": \"{MAX_HOLD_MS}ms\",\n\
             \"grace\": \"{}s\", \"retry_ratio\": 0.2, \"retry_slack\": 56, \"retry_window\": \"10s\",\n\
             \"link_mbps\": {LINK_MBPS} }}\n",
            self.at(host, PEER_PORT),
            self.at(host, METRICS_PORT),
            seeds.join(", "),
            GRACE_MS / 1_000,
        )
    }

    /// Starts a process: a replica of the directory if `name` begins with `core`, else a gateway.
    pub fn process(&self, name: &str, host: u8, seeds: &[u8], losses: u32) -> Process {
        let is_directory = name.starts_with("core");
        let role = if is_directory { "directory" } else { "gateway" };
        let path = self.folder.join(format!("{name}.json"));
        let text = self.settings(name, host, seeds, is_directory, losses);
        std::fs::write(&path, text).expect("settings");
        Process {
            name: name.to_string(),
            role: role.to_string(),
            host,
            child: spawn(&self.root, role, name, &path),
            settings: path,
            record: self.record.clone(),
        }
    }

    /// Sends a desired state until it is acknowledged.
    pub fn configure(&self, hosts: &[u8], document: &str) {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            for host in hosts {
                let call = Call::post("/v1/config/replace", document.as_bytes());
                if call.send(self.control(*host), 1_000).is_ok_and(|a| a.status == 200) {
                    self.note("the desired state is acknowledged");
                    return;
                }
            }
            if Instant::now() > end {
                self.unable("no ack of the desired state");
            }
            sleep_ms(100);
        }
    }

    pub fn wait(&self, what: &str, seconds: u64, mut condition: impl FnMut() -> bool) {
        let end = Instant::now() + Duration::from_secs(seconds);
        while !condition() {
            if Instant::now() > end {
                self.unable(&format!("not in {seconds} s: {what}"));
            }
            sleep_ms(10);
        }
    }

    pub fn is_ready(&self, host: u8) -> bool {
        let answer = Call::get("/v1/ready").send(self.readiness(host), 1_000);
        answer.is_ok_and(|a| a.status == 200)
    }

    /// Ends the case because it can't run. Unwinding ends the processes.
    pub fn unable(&self, why: &str) -> ! {
        self.note(format!("can't run: {why}"));
        panic!("can't run: {why}");
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.top);
        }
    }
}

/// Runs a case in a way that ends all its processes, and exits with 1 if the rule was broken, 0 if it held
/// and 2 if the case couldn't run.
pub fn run_case(case: impl FnOnce(&mut Lab) -> bool + std::panic::UnwindSafe) -> ! {
    let outcome = std::panic::catch_unwind(|| {
        let mut lab = Lab::start();
        let is_broken = case(&mut lab);
        lab.note(if is_broken { "result: the rule was broken" } else { "result: the rule held" });
        is_broken
    });
    std::process::exit(match outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    });
}

fn free_net() -> [u8; 2] {
    static USED: AtomicU64 = AtomicU64::new(0);
    let seed = unix_ms() / 7 + u64::from(std::process::id()) * 31;
    for n in USED.fetch_add(97, Ordering::SeqCst).. {
        let n = seed + n;
        let net = [100 + (n / 250 % 100) as u8, 1 + (n % 250) as u8];
        let ip = Ipv4Addr::new(127, net[0], net[1], 1);
        if [CALLERS_PORT, CONTROL_PORT, WORKER_PORT]
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok())
        {
            return net;
        }
    }
    unreachable!()
}

/// A call with its headers and body.
#[derive(Clone)]
pub struct Call {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

impl Call {
    pub fn get(path: &str) -> Call {
        Call { method: "GET".into(), path: path.into(), headers: Vec::new(), body: Vec::new() }
    }

    pub fn post(path: &str, body: &[u8]) -> Call {
        Call { method: "POST".into(), body: body.to_vec(), ..Call::get(path) }
    }

    pub fn header(mut self, name: &str, value: impl ToString) -> Call {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if !self.headers.iter().any(|(name, _)| name == "Host") {
            head.push_str("Host: control\r\n");
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method == "POST" {
            head.push_str(&format!("Content-Type: application/json\r\nContent-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the call on a connection of its own.
    pub fn send(&self, address: SocketAddr, timeout_ms: u64) -> Result<Answer, String> {
        Connection::open(address)?.exchange(self, timeout_ms)
    }
}

/// A client's connection that is kept open.
pub struct Connection {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Result<Connection, String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
            .map_err(|e| format!("no connection: {e}"))?;
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, buf: Vec::new() })
    }

    pub fn write(&mut self, call: &Call) -> Result<(), String> {
        self.stream.write_all(&call.bytes()).map_err(|e| format!("not sent: {e}"))
    }

    pub fn exchange(&mut self, call: &Call, timeout_ms: u64) -> Result<Answer, String> {
        let end = Instant::now() + Duration::from_millis(timeout_ms);
        let _ = self.stream.set_write_timeout(Some(Duration::from_millis(timeout_ms)));
        self.write(call)?;
        self.read(end)
    }

    pub fn read(&mut self, end: Instant) -> Result<Answer, String> {
        let head_len = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at + 4;
            }
            self.fill(end)?;
        };
        let head = String::from_utf8_lossy(&self.buf[..head_len]).into_owned();
        self.buf.drain(..head_len);
        let mut lines = head.lines();
        let status = lines.next().and_then(|l| l.split(' ').nth(1)).and_then(|s| s.parse().ok());
        let status: u16 = status.ok_or("no status")?;
        let headers: BTreeMap<String, String> = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()))
            .collect();
        let len: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.buf.len() < len {
            self.fill(end)?;
        }
        let body = self.buf.drain(..len).collect();
        Ok(Answer { status, headers, body })
    }

    fn fill(&mut self, end: Instant) -> Result<(), String> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".into());
        }
        let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut chunk = [0; 65_536];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err("connection closed".into()),
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                Ok(())
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err("no answer in time".into())
            }
            Err(e) => Err(format!("connection broke: {e}")),
        }
    }
}

pub fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|w| w == what)
}

/// One request that a worker began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub id: String,
    pub key: Option<u16>,
    pub begun: f64,
    /// When and how it ended.
    pub ended: Option<(f64, &'static str)>,
}

/// Keys that a worker holds or held.
#[derive(Clone, Debug)]
pub struct Held {
    pub worker: String,
    pub from: u16,
    pub to: u16,
    pub fence: u64,
    pub since: f64,
    /// The end by the lease time, or by a release.
    pub until: f64,
    pub released: bool,
}

/// What all workers of a case have seen.
#[derive(Default)]
pub struct Seen {
    pub runs: Vec<Run>,
    pub held: Vec<Held>,
    /// Releases that workers have received.
    pub releases: usize,
}

/// A worker as the pages describe it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    born: u64,
    record: Record,
    pub seen: Arc<Mutex<Seen>>,
    state: Arc<Mutex<String>>,
    sequence: Arc<AtomicU64>,
    is_up: Arc<AtomicBool>,
    beats: Arc<AtomicBool>,
    /// While set, each call is answered with a body without end.
    pub endless: Arc<AtomicBool>,
    /// Once set, the answer to the last call on a connection is sent a second time, late: at the point where the
    /// next answer on that connection is expected. This happens once, before the answer to a release that has to
    /// wait for work.
    pub extra: Arc<AtomicBool>,
    /// Answers that it has sent, and second copies among them.
    pub answers: Arc<AtomicU64>,
    pub copies: Arc<AtomicU64>,
    link: Arc<Link>,
}

/// Bandwidth that several senders share.
pub struct Link {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    pub fn new(mbps: f64) -> Arc<Link> {
        let bytes_per_s = mbps * 1_000_000.0 / 8.0;
        Arc::new(Link { bytes_per_s, free_at: Mutex::new(Instant::now()) })
    }

    /// Waits until the link has carried so many bytes.
    pub fn carry(&self, bytes: usize) {
        let until = {
            let mut free_at = lock(&self.free_at);
            let start = (*free_at).max(Instant::now());
            *free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

impl Worker {
    /// Starts to listen. It says nothing of itself before `announce`.
    pub fn start(lab: &Lab, host: u8, service: &str, seen: &Arc<Mutex<Seen>>) -> Worker {
        Worker::start_on_link(lab, host, service, seen, &Link::new(LINK_MBPS))
    }

    /// Starts a worker whose answers without end share a link with those of others.
    pub fn start_on_link(
        lab: &Lab,
        host: u8,
        service: &str,
        seen: &Arc<Mutex<Seen>>,
        link: &Arc<Link>,
    ) -> Worker {
        let address = lab.worker_address(host);
        let listener = TcpListener::bind(address).expect("a worker's address");
        let worker = Worker {
            id: format!("i-{host}"),
            address,
            service: service.to_string(),
            born: unix_ms(),
            record: lab.record.clone(),
            seen: seen.clone(),
            state: Arc::new(Mutex::new("ready".to_string())),
            sequence: Arc::default(),
            is_up: Arc::new(AtomicBool::new(true)),
            beats: Arc::new(AtomicBool::new(true)),
            endless: Arc::default(),
            extra: Arc::default(),
            answers: Arc::default(),
            copies: Arc::default(),
            link: link.clone(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !serving.is_up() {
                    break;
                }
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// Ends the worker: its connections close and its address refuses new ones.
    pub fn exit(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.beats.store(false, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        self.record.note(format!("{} exits", self.id));
    }

    pub fn set_state(&self, state: &str) {
        *lock(&self.state) = state.to_string();
    }

    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    pub fn heartbeat(&self) -> Call {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"norte-a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{}\",\"coldRemaining\":\"0ms\",\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            lock(&self.state),
            self.born
        );
        Call::post(&format!("/v1/instances/{}/heartbeat", self.id), body.as_bytes())
    }

    pub fn deregistration(&self) -> Call {
        let body = format!("{{\"born\":{}}}", self.born);
        Call::post(&format!("/v1/instances/{}/deregister", self.id), body.as_bytes())
    }

    /// Sends a heartbeat to one node after the other until one acknowledges it.
    pub fn beat(&self, nodes: &[SocketAddr]) -> bool {
        let call = self.heartbeat();
        nodes.iter().any(|node| call.send(*node, 1_000).is_ok_and(|a| (200..300).contains(&a.status)))
    }

    /// Sends heartbeats until the worker stops.
    pub fn announce(&self, nodes: Vec<SocketAddr>) {
        let worker = self.clone();
        thread::spawn(move || {
            while worker.beats.load(Ordering::SeqCst) {
                worker.beat(&nodes);
                sleep_ms(HEARTBEAT_MS);
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
        let mut buf = Vec::new();
        let mut chunk = vec![0; 65_536];
        let mut last_answer: Vec<u8> = Vec::new();
        loop {
            let head_len = loop {
                if let Some(at) = find(&buf, b"\r\n\r\n") {
                    break at + 4;
                }
                if !self.fill(&mut stream, &mut buf, &mut chunk) {
                    return;
                }
            };
            let head = String::from_utf8_lossy(&buf[..head_len]).into_owned();
            buf.drain(..head_len);
            let mut lines = head.lines();
            let first: Vec<&str> = lines.next().unwrap_or("").split(' ').collect();
            let headers: BTreeMap<String, String> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()))
                .collect();
            let len: usize =
                headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            while buf.len() < len {
                if !self.fill(&mut stream, &mut buf, &mut chunk) {
                    return;
                }
            }
            let body: Vec<u8> = buf.drain(..len).collect();
            let path = first.get(1).copied().unwrap_or("/");
            if self.endless.load(Ordering::SeqCst) {
                return self.answer_without_end(path, &mut stream);
            }
            let sends_copy = !last_answer.is_empty() && path == "/v1/release" && self.is_busy_on(&body);
            if sends_copy && self.extra.swap(false, Ordering::SeqCst) {
                self.copies.fetch_add(1, Ordering::SeqCst);
                self.record.note(format!("{} sends its last answer once more, before that to {path}", self.id));
                if stream.write_all(&last_answer).is_err() {
                    return;
                }
            }
            let Some(answer) = self.answer(path, &headers, &body, &stream) else {
                return;
            };
            self.answers.fetch_add(1, Ordering::SeqCst);
            if stream.write_all(&answer).is_err() {
                return;
            }
            last_answer = answer;
        }
    }

    fn fill(&self, stream: &mut TcpStream, buf: &mut Vec<u8>, chunk: &mut [u8]) -> bool {
        loop {
            if !self.is_up() {
                return false;
            }
            match stream.read(chunk) {
                Ok(0) => return false,
                Ok(n) => {
                    buf.extend_from_slice(&chunk[..n]);
                    return true;
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }

    fn answer(
        &self,
        path: &str,
        headers: &BTreeMap<String, String>,
        body: &[u8],
        stream: &TcpStream,
    ) -> Option<Vec<u8>> {
        let header = |name: &str| headers.get(name).map_or("", String::as_str);
        let expected = header("carobreel-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Some(self.reply(421, header("carobreel-request-id"), "Carobreel-Not-Executed: 1\r\n"));
        }
        match path {
            "/health" => {
                let extra = format!("Carobreel-Instance-Id: {}\r\n", self.id);
                Some(self.reply(200, "", &extra))
            }
            "/v1/grant" => Some(self.grant(body)),
            "/v1/release" => self.release(body),
            _ => self.run(headers, stream),
        }
    }

    fn answer_without_end(&self, path: &str, stream: &mut TcpStream) {
        self.record.note(format!("{} answers {path} without end", self.id));
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut chunk = b"4000\r\n".to_vec();
        chunk.resize(chunk.len() + 0x4000, b'#');
        chunk.extend_from_slice(b"\r\n");
        let mut sent = stream.write_all(head.as_bytes()).map(|()| 0);
        while let (Ok(bytes), true) = (&sent, self.is_up()) {
            self.link.carry(chunk.len());
            sent = stream.write_all(&chunk).map(|()| bytes + chunk.len());
        }
        self.record.note(format!("the caller of {path} at {} closed", self.id));
    }

    fn reply(&self, status: u16, id: &str, extra: &str) -> Vec<u8> {
        let id = if id.is_empty() { String::new() } else { format!("Carobreel-Request-Id: {id}\r\n") };
        let body = format!("{} says {status}\n", self.id);
        format!(
            "HTTP/1.1 {status} Status\r\n{id}{extra}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    fn run(&self, headers: &BTreeMap<String, String>, stream: &TcpStream) -> Option<Vec<u8>> {
        let header = |name: &str| headers.get(name).map_or("", String::as_str);
        let id = header("carobreel-request-id").to_string();
        let key: Option<u16> = header("carobreel-shard-key").parse().ok();
        let begun = self.record.now();
        {
            let mut seen = lock(&self.seen);
            if let Some(key) = key {
                if self.lease_end(&seen, key, begun).is_none() {
                    return Some(self.reply(421, &id, "Carobreel-Not-Executed: 1\r\n"));
                }
            }
            let worker = self.id.clone();
            seen.runs.push(Run { worker, id: id.clone(), key, begun, ended: None });
        }
        self.record.note(format!("{} begins {id} key {key:?}", self.id));
        let work_s = header("work-ms").parse::<f64>().unwrap_or(50.0) / 1_000.0;
        let budget_s = header("carobreel-deadline-ms").parse::<f64>().unwrap_or(30_000.0) / 1_000.0;
        let how = loop {
            let elapsed = self.record.now() - begun;
            if !self.is_up() {
                break "worker exits";
            }
            if elapsed >= work_s {
                break "done";
            }
            if elapsed >= budget_s {
                break "out of time";
            }
            // Work that outlasts its lease ends, unless the lease is renewed meanwhile.
            if let Some(key) = key {
                let now = self.record.now();
                if self.work_end(&lock(&self.seen), key).is_none_or(|end| now >= end) {
                    break "lease over";
                }
            }
            let mut byte = [0];
            let _ = stream.set_nonblocking(true);
            let peeked = stream.peek(&mut byte);
            let _ = stream.set_nonblocking(false);
            if matches!(peeked, Ok(0)) || peeked.is_err_and(|e| e.kind() != ErrorKind::WouldBlock) {
                break "caller closed";
            }
            sleep_ms(5);
        };
        let ended = self.record.now();
        {
            let mut seen = lock(&self.seen);
            let runs = seen.runs.iter_mut().rev();
            if let Some(run) = runs.into_iter().find(|r| r.id == id && r.worker == self.id) {
                run.ended = Some((ended, how));
            }
        }
        self.record.note(format!("{} ends {id}: {how}", self.id));
        let stamp = format!("Carobreel-Server-Stamp: {}.{}\r\n", self.id, self.born);
        match how {
            "done" => Some(self.reply(200, &id, &stamp)),
            "out of time" => Some(self.reply(504, &id, &stamp)),
            "lease over" => Some(self.reply(500, &id, &stamp)),
            _ => None,
        }
    }

    /// Returns until when new work on a key may begin.
    fn lease_end(&self, seen: &Seen, key: u16, now: f64) -> Option<f64> {
        let held = seen.held.iter().filter(|h| {
            h.worker == self.id && h.from <= key && key <= h.to && !h.released && now < h.until
        });
        held.map(|h| h.until).reduce(f64::max)
    }

    /// Returns until when begun work on a key may go on; a release doesn't end it.
    fn work_end(&self, seen: &Seen, key: u16) -> Option<f64> {
        let held = seen.held.iter();
        let held = held.filter(|h| h.worker == self.id && h.from <= key && key <= h.to);
        held.map(|h| h.until).reduce(f64::max)
    }

    fn grant(&self, body: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(body);
        let (from, to, fence) = keys_of(&text);
        let hold_s = text_field(&text, "hold_time").trim_end_matches("ms").parse::<f64>().unwrap_or(0.0) / 1_000.0;
        let now = self.record.now();
        let mut seen = lock(&self.seen);
        let higher = seen.held.iter().any(|h| {
            h.worker == self.id && h.fence > fence && h.from <= to && from <= h.to
        });
        if higher {
            self.record.note(format!("{} refuses grant {from}-{to} fence {fence}", self.id));
            return self.reply(409, "", "");
        }
        let renewed = seen.held.iter_mut().find(|h| {
            h.worker == self.id && h.fence == fence && h.from == from && h.to == to && !h.released && now < h.until
        });
        match renewed {
            Some(h) => h.until = now + hold_s,
            None => {
                let worker = self.id.clone();
                let until = now + hold_s;
                seen.held.push(Held { worker, from, to, fence, since: now, until, released: false });
            }
        }
        self.record.note(format!("{} is granted {from}-{to} fence {fence} for {hold_s} s", self.id));
        self.reply(200, "", "")
    }

    /// Reports whether work runs on the keys that a release names.
    fn is_busy_on(&self, body: &[u8]) -> bool {
        let (from, to, _) = keys_of(&String::from_utf8_lossy(body));
        let is_busy = |r: &Run| {
            r.worker == self.id && r.ended.is_none() && r.key.is_some_and(|k| from <= k && k <= to)
        };
        lock(&self.seen).runs.iter().any(is_busy)
    }

    fn release(&self, body: &[u8]) -> Option<Vec<u8>> {
        let text = String::from_utf8_lossy(body);
        let (from, to, fence) = keys_of(&text);
        {
            // The part that is released ends; what is left of a grant goes on.
            let mut seen = lock(&self.seen);
            seen.releases += 1;
            let mut rest = Vec::new();
            for h in seen.held.iter_mut() {
                let overlaps = h.worker == self.id && h.from <= to && from <= h.to;
                if !overlaps || h.released || h.fence > fence {
                    continue;
                }
                h.released = true;
                if h.from < from {
                    rest.push(Held { to: from - 1, released: false, ..h.clone() });
                }
                if h.to > to {
                    rest.push(Held { from: to + 1, released: false, ..h.clone() });
                }
                h.from = h.from.max(from);
                h.to = h.to.min(to);
            }
            seen.held.extend(rest);
        }
        self.record.note(format!("{} stops new work on {from}-{to} fence {fence}", self.id));
        let is_busy = |r: &Run| {
            r.worker == self.id && r.ended.is_none() && r.key.is_some_and(|k| from <= k && k <= to)
        };
        // Only work that runs now is waited for.
        let busy: Vec<String> =
            lock(&self.seen).runs.iter().filter(|r| is_busy(r)).map(|r| r.id.clone()).collect();
        while lock(&self.seen).runs.iter().any(|r| is_busy(r) && busy.contains(&r.id)) {
            if !self.is_up() {
                return None;
            }
            sleep_ms(5);
        }
        self.record.note(format!("{} has released {from}-{to} fence {fence}", self.id));
        Some(self.reply(200, "", &format!("Carobreel-Handover: {}-{from}-{fence}\r\n", self.id)))
    }
}

/// Processor time that a process has used, in seconds; Linux counts it in hundredths.
pub fn processor_s(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let rest = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks = rest.split(' ').skip(11).take(2).filter_map(|n| n.parse::<f64>().ok());
    ticks.sum::<f64>() / 100.0
}

/// Memory that a process uses now, in MiB.
pub fn resident_mib(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok());
    kib.map_or(0, |kib: u64| kib / 1_024)
}

/// Looks for a key that was given to a worker while another was at work on it and would have held it on.
pub fn is_given_away_at_work(lab: &Lab, seen: &Seen) -> bool {
    let mut is_broken = false;
    for run in &seen.runs {
        let Some(key) = run.key else { continue };
        let ended = run.ended.map_or(f64::MAX, |(at, _)| at);
        for given in &seen.held {
            let is_other = given.worker != run.worker && given.from <= key && key <= given.to;
            if !is_other || given.since <= run.begun || given.since >= ended {
                continue;
            }
            // The hold that the worker had when the key was given to the other.
            let holds = seen.held.iter().filter(|h| {
                h.worker == run.worker && h.from <= key && key <= h.to && h.since < given.since
            });
            let until = holds.map(|h| h.until).fold(0.0, f64::max);
            if given.since < until {
                is_broken = true;
                lab.note(format!(
                    "OWNER: {} was given {}-{} (fence {}) at {:.3}, while {} was at work on key {key} from {:.3} to \
                     {ended:.3} with a hold until {until:.3}",
                    given.worker, given.from, given.to, given.fence, given.since, run.worker, run.begun
                ));
            }
        }
    }
    is_broken
}

fn keys_of(text: &str) -> (u16, u16, u64) {
    let number = |name: &str| number_field(text, name);
    (number("from") as u16, number("to") as u16, number("fence"))
}

fn number_field(text: &str, name: &str) -> u64 {
    let tag = format!("\"{name}\":");
    let rest = text.find(&tag).map_or("", |at| &text[at + tag.len()..]);
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn text_field(text: &str, name: &str) -> String {
    let tag = format!("\"{name}\":\"");
    let rest = text.find(&tag).map_or("", |at| &text[at + tag.len()..]);
    rest.split('"').next().unwrap_or("").to_string()
}

/// Returns a desired state with one idempotent route `/read/`, one that isn't, `/file/`, both to the service
/// `files`, and `/maps/` to `maps`, which is divided by key. `timeout_ms` is the routes' timeout.
pub fn document(version: u64, timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"one.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout\":\"{timeout_ms}ms\",\"targetLatency\":\"{timeout_ms}ms\",\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":2}}"
        )
    };
    let service = |name: &str, sharded: bool| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\
             \"tls\":false,\"sharded\":{sharded},\"warmup\":\"0s\",\"grants\":\"rpc\"}}"
        )
    };
    format!(
        "{{\"version\":\"r{version}\",\"routes\":[{},{},{}],\"services\":[{},{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15000ms\"}}}}",
        route("read", "idempotent", "files"),
        route("file", "non_idempotent", "files"),
        route("maps", "non_idempotent", "maps"),
        service("files", false),
        service("maps", true),
    )
}

/// Returns a client's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, work_ms: u64) -> Call {
    let call = if method == "POST" { Call::post(path, b"a filing") } else { Call::get(path) };
    call.header("Host", "one.example")
        .header("Carobreel-Request-Id", id)
        .header("Carobreel-Deadline-Ms", deadline_ms)
        .header("Work-Ms", work_ms)
}
