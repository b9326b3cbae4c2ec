//! Runs the scripted cases of the second review: starts the project's directory and gateway processes on loopback
//! addresses, with stand-ins for workers, clients, the operator and the platform.
//!
//! Usage: lab2 run CASE FOLDER | lab2 worker KEY=VALUE...
//!
//! `run` writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. `worker` is started by `run`: one process for each worker, so that a crash is the end of a process.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval between two heartbeats of a worker, as in the settings of a small deployment.
const HEARTBEAT: Duration = Duration::from_millis(870);
/// The span `contact` of the rules.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Memory of a gateway's machine in MB, as in the settings of a small deployment.
const GATEWAY_MEMORY_MB: u64 = 260;
/// Time in which the deployment has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

type Failure = String;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["worker", options @ ..] => run_worker(options),
        ["guard", folder] => run_guard(Path::new(folder)),
        ["run", case, folder] => {
            // A panic means that the case could not run.
            let run = || run_case(case, Path::new(folder));
            std::process::exit(std::panic::catch_unwind(run).unwrap_or(2))
        }
        _ => {
            eprintln!("usage: lab2 run CASE FOLDER");
            std::process::exit(2);
        }
    }
}

fn run_case(case: &str, folder: &Path) -> i32 {
    let with_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("can't write the record: {e}");
            return 2;
        }
    };
    record.line(&format!("case {case}, trouble {with_trouble}"));
    limit_run_time(&record);
    let outcome = match case {
        "uploads" => run_uploads(&record, with_trouble),
        "split" => run_deadly(&record, with_trouble, Deadly::AtEachService),
        "stream" => run_deadly(&record, with_trouble, Deadly::WhileAnswering),
        "cold" => run_cold(&record, with_trouble),
        "silent" => run_deadly(&record, with_trouble, Deadly::Silently),
        _ => Err(format!("there is no case {case}")),
    };
    let (code, text) = match outcome {
        Ok(verdict) if verdict.is_broken => (1, format!("BROKEN: {}", verdict.text)),
        Ok(verdict) => (0, format!("HELD: {}", verdict.text)),
        Err(e) => (2, format!("COULD NOT RUN: {e}")),
    };
    record.line(&text);
    println!("{text}");
    code
}

struct Verdict {
    is_broken: bool,
    text: String,
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started_at: Instant::now(),
        })
    }

    fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3}  {text}");
    }
}

/// Ends what a run has started and removes its folder, however the run ends: it keeps the ids of the processes that
/// are alive, a line each, until its standard input is closed.
fn run_guard(folder: &Path) {
    let mut alive = BTreeSet::new();
    for line in std::io::stdin().lines().map_while(Result::ok) {
        match line.split_at(1) {
            ("+", id) => alive.insert(id.to_string()),
            (_, id) => alive.remove(id),
        };
    }
    for id in alive {
        let kill = format!("kill -KILL {id}");
        let _ = Command::new("sh").arg("-c").arg(kill).status();
    }
    let _ = std::fs::remove_dir_all(folder);
}

/// The guard of this run.
static GUARD: OnceLock<Mutex<Child>> = OnceLock::new();

fn start_guard(folder: &Path) -> Result<(), Failure> {
    let guard = Command::new(std::env::current_exe().map_err(|e| e.to_string())?)
        .arg("guard")
        .arg(folder)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .map_err(|e| e.to_string())?;
    let _ = GUARD.set(Mutex::new(guard));
    Ok(())
}

/// Tells the guard that a process was started (`+`) or has been waited for (`-`).
fn tell_guard(sign: char, process: u32) {
    let Some(guard) = GUARD.get() else { return };
    if let Some(stdin) = guard.lock().unwrap().stdin.as_mut() {
        let _ = writeln!(stdin, "{sign}{process}").and_then(|()| stdin.flush());
    }
}

/// A run that takes longer than this ends; its guard ends the rest.
const RUN_TIME_MAX: Duration = Duration::from_secs(115);

fn limit_run_time(record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(RUN_TIME_MAX);
        record.line("COULD NOT RUN: it takes too long");
        println!("COULD NOT RUN: it takes too long");
        std::process::exit(2);
    });
}

// Stand-in of the platform: addresses, settings files, processes.

const ZONES: [&str; 4] = ["norte-a", "sul-a", "norte-b", "sul-b"];

/// A deployment of four directory hosts and some gateways, each with a loopback address of its own.
struct Deployment {
    network: String,
    /// Ports of peers, callers, readiness, operators and metrics, the same on all hosts.
    ports: [u16; 5],
    folder: PathBuf,
    record: Record,
    processes: BTreeMap<String, Child>,
    workers: Vec<Arc<Worker>>,
}

const DIRECTORIES: u8 = 4;

impl Deployment {
    fn start(record: &Record, gateways: u8) -> Result<Deployment, Failure> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        start_guard(&folder)?;
        let (network, ports) = find_free_network()?;
        let mut deployment = Deployment {
            network,
            ports,
            folder,
            record: record.clone(),
            processes: BTreeMap::new(),
            workers: Vec::new(),
        };
        for n in 1..=DIRECTORIES {
            deployment.spawn("directory", n)?;
        }
        for n in 1..=gateways {
            deployment.spawn("gateway", 100 + n)?;
        }
        Ok(deployment)
    }

    fn address(&self, host: u8, port: usize) -> SocketAddr {
        format!("{}.{host}:{}", self.network, self.ports[port])
            .parse()
            .unwrap()
    }

    fn callers(&self, n: u8) -> SocketAddr {
        self.address(100 + n, 1)
    }

    fn operators(&self) -> Vec<SocketAddr> {
        (1..=DIRECTORIES).map(|n| self.address(n, 3)).collect()
    }

    fn settings(&self, name: &str, host: u8) -> String {
        let seeds: Vec<String> = (1..=3)
            .map(|n| format!("\"{}\"", self.address(n, 3)))
            .collect();
        let zone = ZONES[usize::from(host - 1) % ZONES.len()];
        let addresses = match host > 100 {
            true => format!(
                r#""callers": "{}", "readiness": "{}", "operators": "", "data_folder": null, "first_start": true,
                "link_mbps": 1000.0, "memory_mb": {GATEWAY_MEMORY_MB}"#,
                self.address(host, 1),
                self.address(host, 2),
            ),
            false => format!(
                r#""callers": "", "readiness": "", "operators": "{}", "data_folder": "{}", "first_start": true,
                "link_mbps": 1000.0, "memory_mb": 256"#,
                self.address(host, 3),
                self.folder.join(format!("data-{host}")).display(),
            ),
        };
        format!(
            r#"{{"host": "{name}", "zone": "{zone}",
            "zones": {{"norte-a": "norte", "norte-b": "norte", "sul-a": "sul", "sul-b": "sul"}},
            "peer_address": "{}", {addresses}, "metrics": "{}", "seeds": [{}], "losses_tolerated": 1,
            "hold_max": "10000ms", "grace": "6s", "retry_ratio": 0.2, "retry_slack": 56, "retry_window": "10s"}}"#,
            self.address(host, 0),
            self.address(host, 4),
            seeds.join(", "),
        )
    }

    /// Starts a process with the command of the deploy file.
    fn spawn(&mut self, role: &str, host: u8) -> Result<(), Failure> {
        let name = format!("{role}-{host}");
        let settings = self.folder.join(format!("{name}.json"));
        std::fs::write(&settings, self.settings(&name, host)).map_err(|e| e.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let child = Command::new("target/release/carobreel")
            .arg(role)
            .env("CAROBREEL_SETTINGS", &settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| format!("can't start {name}: {e}"))?;
        tell_guard('+', child.id());
        self.record
            .line(&format!("platform starts {name}, process {}", child.id()));
        self.processes.insert(name, child);
        Ok(())
    }

    /// Sends a desired state until it is acknowledged.
    fn configure(&self, document: &str) -> Result<(), Failure> {
        let begun_at = Instant::now();
        while begun_at.elapsed() < READY_TIMEOUT {
            for address in self.operators() {
                let head = format!(
                    "POST /v1/config/replace HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    document.len()
                );
                let answer = send_once(address, &head, document.as_bytes(), Duration::from_secs(1));
                if answer.status == Some(200) {
                    self.record
                        .line("operator: the desired state is acknowledged");
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("the desired state was not acknowledged".to_string())
    }

    /// Waits until a gateway says that it is ready.
    fn wait_until_ready(&self, n: u8) -> Result<(), Failure> {
        let address = self.address(100 + n, 2);
        let begun_at = Instant::now();
        while begun_at.elapsed() < READY_TIMEOUT {
            let head = format!("GET /v1/ready HTTP/1.1\r\nHost: {address}\r\n\r\n");
            if send_once(address, &head, b"", Duration::from_secs(1)).status == Some(200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("gateway {n} was not ready in time"))
    }

    /// Starts a worker process; its supervisor starts it again `back_after` its end.
    fn start_worker(&mut self, service: &str, host: u8, mode: &str, back_after: Duration) {
        let address = self.address(host, 1);
        let worker = Worker::start(
            &self.record,
            service,
            address,
            ZONES[usize::from(host) % ZONES.len()],
            mode,
            &self.operators(),
            back_after,
        );
        self.workers.push(worker);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for worker in &self.workers {
            worker.stop();
        }
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
            tell_guard('-', child.id());
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a loopback network and ports that no process uses on it.
fn find_free_network() -> Result<(String, [u16; 5]), Failure> {
    let mut random = Random::new();
    for _ in 0..50 {
        let network = format!("127.{}.{}", 64 + random.below(128), 1 + random.below(250));
        let first = 20_000 + random.below(10_000) as u16;
        let ports = [first, first + 1, first + 2, first + 3, first + 4];
        let hosts = (1..=60).chain(100..=110);
        let is_free = hosts.into_iter().all(|host| {
            let udp = UdpSocket::bind((format!("{network}.{host}"), first)).is_ok();
            udp && TcpListener::bind((format!("{network}.{host}"), first + 1)).is_ok()
        });
        if is_free {
            return Ok((network, ports));
        }
    }
    Err("no free ports".to_string())
}

/// A small generator of random numbers.
struct Random(u64);

impl Random {
    fn new() -> Random {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Random(now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32) | 1)
    }

    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a request id that no other request has.
fn request_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

// Stand-in of clients and of the operator.

/// What a client has seen of an answer.
#[derive(Debug, Default)]
struct Answer {
    status: Option<u16>,
    head: String,
    body: Vec<u8>,
    is_complete: bool,
    error: String,
}

impl Answer {
    fn text(&self) -> String {
        match (self.status, self.is_complete) {
            (Some(status), true) => format!("{status}, {} bytes", self.body.len()),
            (Some(status), false) => {
                format!(
                    "{status}, cut off after {} bytes: {}",
                    self.body.len(),
                    self.error
                )
            }
            (None, _) => format!("no answer: {}", self.error),
        }
    }
}

fn send_once(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Answer {
    match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(mut stream) => exchange(&mut stream, head, body, timeout),
        Err(e) => Answer {
            error: e.to_string(),
            ..Answer::default()
        },
    }
}

/// Sends a request on an open connection and reads the answer, within `timeout`.
fn exchange(stream: &mut TcpStream, head: &str, body: &[u8], timeout: Duration) -> Answer {
    let until = Instant::now() + timeout;
    let _ = stream.set_write_timeout(Some(timeout));
    let mut answer = Answer::default();
    let sent = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    if let Err(e) = sent {
        answer.error = e.to_string();
    }
    let mut reader = Reader::new(stream);
    match reader.read_head(until) {
        Ok(head) => answer.head = head,
        Err(e) => {
            answer.error = e;
            return answer;
        }
    }
    answer.status = answer
        .head
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    match reader.read_body(&answer.head, &mut answer.body, until) {
        Ok(()) => answer.is_complete = true,
        Err(e) => answer.error = e,
    }
    answer
}

/// Reads messages from a connection.
struct Reader<'a> {
    stream: &'a mut TcpStream,
    buf: Vec<u8>,
}

impl Reader<'_> {
    fn new(stream: &mut TcpStream) -> Reader<'_> {
        Reader {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self, until: Instant) -> Result<(), String> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("time is up".to_string());
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err("the connection was closed".to_string()),
            Ok(size) => {
                self.buf.extend_from_slice(&chunk[..size]);
                Ok(())
            }
            Err(e) => Err(e.to_string()),
        }
    }

    fn read_head(&mut self, until: Instant) -> Result<String, String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                return Ok(head);
            }
            self.fill(until)?;
        }
    }

    fn read_line(&mut self, until: Instant) -> Result<String, String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            self.fill(until)?;
        }
    }

    fn read_exact(
        &mut self,
        mut size: usize,
        body: &mut Vec<u8>,
        until: Instant,
    ) -> Result<(), String> {
        while size > 0 {
            if self.buf.is_empty() {
                self.fill(until)?;
            }
            let taken = size.min(self.buf.len());
            body.extend(self.buf.drain(..taken));
            size -= taken;
        }
        Ok(())
    }

    fn read_body(&mut self, head: &str, body: &mut Vec<u8>, until: Instant) -> Result<(), String> {
        if header(head, "transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            loop {
                let line = self.read_line(until)?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(|e| e.to_string())?;
                self.read_exact(size, body, until)?;
                self.read_line(until)?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = header(head, "content-length").and_then(|v| v.parse().ok());
        self.read_exact(length.unwrap_or(0), body, until)
    }
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|w| w == pattern)
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .trim()
            .eq_ignore_ascii_case(name)
            .then(|| value.trim())
    })
}

// Stand-in of workers.

/// A worker and its supervisor, which starts the process again after its end.
struct Worker {
    child: Mutex<Option<Child>>,
    is_stopped: AtomicBool,
    /// Ids of requests whose heads arrived here.
    got: Mutex<BTreeSet<String>>,
    /// Requests that began to run here, id first, with the time.
    runs: Mutex<Vec<(Instant, String)>>,
    /// When the worker became cold.
    cold_at: Mutex<Option<Instant>>,
    /// When requests crashed the process.
    crashes: Mutex<Vec<Instant>>,
}

impl Worker {
    fn start(
        record: &Record,
        service: &str,
        address: SocketAddr,
        zone: &str,
        mode: &str,
        operators: &[SocketAddr],
        back_after: Duration,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            child: Mutex::new(None),
            is_stopped: AtomicBool::new(false),
            got: Mutex::default(),
            runs: Mutex::default(),
            cold_at: Mutex::default(),
            crashes: Mutex::default(),
        });
        let operators: Vec<String> = operators.iter().map(SocketAddr::to_string).collect();
        let options = vec![
            format!("service={service}"),
            format!("address={address}"),
            format!("zone={zone}"),
            format!("mode={mode}"),
            format!("operators={}", operators.join(",")),
        ];
        let (supervised, record) = (worker.clone(), record.clone());
        thread::spawn(move || {
            let mut boot = 0;
            while !supervised.is_stopped.load(Ordering::SeqCst) {
                boot += 1;
                let id = format!(
                    "i-{:04x}{boot:02x}",
                    address.port() ^ u16::from(last_byte(address)) << 8
                );
                supervised.run_once(&record, &id, &options, back_after);
                if supervised.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                record.line(&format!("worker {id} has ended"));
                thread::sleep(back_after);
            }
        });
        worker
    }

    /// Runs the worker's process until it ends.
    fn run_once(&self, record: &Record, id: &str, options: &[String], back_after: Duration) {
        let started = Command::new(std::env::current_exe().unwrap())
            .arg("worker")
            .arg(format!("id={id}"))
            .args(options)
            .stdout(Stdio::piped())
            // A worker ends when its standard input is closed, so none is left behind.
            .stdin(Stdio::piped())
            .spawn();
        let Ok(mut child) = started else { return };
        tell_guard('+', child.id());
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        record.line(&format!("worker {id} starts, {}", options[..2].join(" ")));
        *self.child.lock().unwrap() = Some(child);
        if self.is_stopped.load(Ordering::SeqCst) {
            self.stop();
        }
        for line in lines {
            let Ok(line) = line else { break };
            if let Some(id) = line.strip_prefix("gets ") {
                let id = id.split_whitespace().next().unwrap_or("");
                self.got.lock().unwrap().insert(id.to_string());
            }
            if let Some(run) = line.strip_prefix("runs ") {
                self.runs
                    .lock()
                    .unwrap()
                    .push((Instant::now(), run.to_string()));
            }
            record.line(&format!("worker {id} {line}"));
            if line == "is cold" {
                *self.cold_at.lock().unwrap() = Some(Instant::now());
            }
            if line.starts_with("crashes ") {
                self.crashes.lock().unwrap().push(Instant::now());
            }
            if line.starts_with("crashes silently") {
                // Its machine is off for this long; the process is replaced then.
                thread::sleep(back_after);
                self.kill();
            }
        }
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            let _ = child.wait();
            tell_guard('-', child.id());
        }
    }

    fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.kill();
    }

    /// Tells the worker that it is cold from now on.
    fn make_cold(&self) {
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            if let Some(stdin) = child.stdin.as_mut() {
                let _ = stdin.write_all(b"cold\n").and_then(|()| stdin.flush());
            }
        }
    }

    fn kill(&self) {
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            let _ = child.kill();
        }
    }
}

fn last_byte(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(v4) => v4.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    }
}

/// The options and the state of a worker process.
struct WorkerProcess {
    id: String,
    service: String,
    address: String,
    zone: String,
    mode: String,
    operators: Vec<SocketAddr>,
    running: AtomicUsize,
    /// Requests that hold a slot; the others wait.
    busy_slots: Mutex<usize>,
    slot_freed: Condvar,
    /// Until when the worker is cold.
    cold_until: Mutex<Option<Instant>>,
}

const WORKER_SLOTS: usize = 3;
/// Time for which a request is worked on, as of the sheet's requests with a body.
const WORK_TIME: Duration = Duration::from_millis(120);
const WORKER_QUEUE: usize = 12;

fn run_worker(options: &[&str]) {
    let options: BTreeMap<&str, &str> = options.iter().filter_map(|o| o.split_once('=')).collect();
    let text = |name: &str| options.get(name).unwrap_or(&"").to_string();
    let worker = Arc::new(WorkerProcess {
        id: text("id"),
        service: text("service"),
        address: text("address"),
        zone: text("zone"),
        mode: text("mode"),
        operators: text("operators")
            .split(',')
            .filter_map(|a| a.parse().ok())
            .collect(),
        running: AtomicUsize::new(0),
        busy_slots: Mutex::new(0),
        slot_freed: Condvar::new(),
        cold_until: Mutex::new(None),
    });
    let listener = TcpListener::bind(&worker.address).expect("the worker's address is free");
    let watching = worker.clone();
    thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if line == "cold" {
                *watching.cold_until.lock().unwrap() = Some(Instant::now() + COLD_TIME);
                say("is cold");
            }
        }
        std::process::exit(0);
    });
    let announcing = worker.clone();
    thread::spawn(move || announcing.announce());
    for stream in listener.incoming().flatten() {
        let worker = worker.clone();
        thread::spawn(move || worker.serve(stream));
    }
}

impl WorkerProcess {
    /// Sends heartbeats, to the next directory host after a failure.
    fn announce(&self) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let mut target = usize::from(last_byte(self.address.parse().unwrap()));
        let mut sequence = 0;
        // The address that an answer named for later heartbeats; it holds until one fails there.
        let mut named: Option<SocketAddr> = None;
        loop {
            sequence += 1;
            let cold_ms = self.cold_remaining().as_millis();
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{WORKER_SLOTS},"state":"ready","coldRemaining":"{cold_ms}ms","sequence":{sequence},"born":{born}}}"#,
                self.service, self.address, self.zone
            );
            let mut is_acked = false;
            for _ in 0..self.operators.len() {
                let next = self.operators[target % self.operators.len()];
                let address = named.unwrap_or(next);
                let head = format!(
                    "POST /v1/instances/{}/heartbeat HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    self.id,
                    body.len()
                );
                let answer = send_once(address, &head, body.as_bytes(), Duration::from_secs(1));
                if answer.status == Some(200) && answer.is_complete {
                    is_acked = true;
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let url = text.split("\"heartbeatUrl\":\"http://").nth(1);
                    let host = url.and_then(|u| u.split('/').next()?.parse().ok());
                    named = host.or(named);
                    break;
                }
                if named.take().is_none() {
                    target += 1;
                }
            }
            // A change of coldness is told at once, and a heartbeat that nobody acknowledged is sent again soon.
            let pause = if is_acked { HEARTBEAT } else { HEARTBEAT / 8 };
            let until = Instant::now() + pause;
            let was_cold = cold_ms > 0;
            while Instant::now() < until && was_cold == !self.cold_remaining().is_zero() {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Returns for how much longer the worker is cold.
    fn cold_remaining(&self) -> Duration {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(Duration::ZERO, |at| {
            at.saturating_duration_since(Instant::now())
        })
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket can be cloned");
        let mut reader = Reader::new(&mut stream);
        loop {
            let until = Instant::now() + Duration::from_secs(10);
            let Ok(head) = reader.read_head(until) else {
                return;
            };
            let id = header(&head, "carobreel-request-id")
                .unwrap_or("")
                .to_string();
            let expected = header(&head, "carobreel-expect-instance");
            let deadline_ms = header(&head, "carobreel-deadline-ms").and_then(|v| v.parse().ok());
            let deadline = Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(30_000));
            if head.starts_with("GET /health ") {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nCarobreel-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if id.is_empty() {
                let text = format!(
                    "HTTP/1.1 400 Bad Request\r\nCarobreel-Not-Executed: 1\r\nCarobreel-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                let _ = writer.write_all(text.as_bytes());
                return;
            }
            say(&format!("gets {id} {}", head.lines().next().unwrap_or("")));
            let mut body = Vec::new();
            if reader.read_body(&head, &mut body, until).is_err() {
                return;
            }
            if expected.is_some_and(|e| e != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nCarobreel-Request-Id: {id}\r\nCarobreel-Not-Executed: 1\r\nCarobreel-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let running = self.running.fetch_add(1, Ordering::SeqCst);
            let is_full = running >= WORKER_SLOTS + WORKER_QUEUE;
            let is_answered = if is_full || !self.take_slot(deadline) {
                let text = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nCarobreel-Request-Id: {id}\r\nCarobreel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(text.as_bytes()).is_ok()
            } else {
                let is_answered = self.run(&id, &head, &body, deadline, &mut writer);
                *self.busy_slots.lock().unwrap() -= 1;
                self.slot_freed.notify_one();
                is_answered
            };
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !is_answered {
                return;
            }
        }
    }

    /// Waits for a slot until the deadline, and reports whether there was one.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut busy = self.busy_slots.lock().unwrap();
        while *busy >= WORKER_SLOTS {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            busy = self.slot_freed.wait_timeout(busy, left).unwrap().0;
        }
        *busy += 1;
        true
    }

    /// Runs a request until the deadline at most, and reports whether the answer was written.
    fn run(
        &self,
        id: &str,
        head: &str,
        body: &[u8],
        deadline: Instant,
        writer: &mut TcpStream,
    ) -> bool {
        let target = head.split_whitespace().nth(1).unwrap_or("");
        say(&format!("runs {id} {target} {} bytes", body.len()));
        let is_deadly = target.contains("/deadly");
        if is_deadly && self.mode == "crash" {
            say(&format!("crashes by {id}"));
            std::process::exit(1);
        }
        if is_deadly && self.mode == "crash_silent" {
            say(&format!("crashes silently by {id}"));
            let stop = format!("kill -STOP {}", std::process::id());
            let _ = Command::new("sh").arg("-c").arg(stop).status();
        }
        let left = deadline.saturating_duration_since(Instant::now());
        thread::sleep(WORK_TIME.min(left));
        if left < WORK_TIME {
            let text = format!(
                "HTTP/1.1 504 Gateway Timeout\r\nCarobreel-Request-Id: {id}\r\nCarobreel-Server-Stamp: {}.{id}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(text.as_bytes()).is_ok();
        }
        let size = match target.contains("/large") {
            true => LARGE_ANSWER_BYTES,
            false => 200,
        };
        let running = self.running.load(Ordering::SeqCst);
        let answer_head = format!(
            "HTTP/1.1 200 OK\r\nCarobreel-Request-Id: {id}\r\nCarobreel-Server-Stamp: {}.{id}\r\nCarobreel-Server-Load: {},{},{WORKER_SLOTS}\r\nContent-Length: {size}\r\n\r\n",
            self.id,
            running.min(WORKER_SLOTS),
            running.saturating_sub(WORKER_SLOTS),
        );
        if writer.write_all(answer_head.as_bytes()).is_err() {
            return false;
        }
        let piece = vec![b'x'; 64 << 10];
        let mut left = size;
        while left > 0 {
            if is_deadly && self.mode == "crash_late" && left < size / 2 {
                say(&format!("crashes by {id}"));
                std::process::exit(1);
            }
            let part = left.min(piece.len());
            if writer.write_all(&piece[..part]).is_err() {
                return false;
            }
            left -= part;
        }
        true
    }
}

/// Size of a long answer: a map pack.
const LARGE_ANSWER_BYTES: usize = 4 << 20;

/// Writes a line for the supervisor.
fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

// The cases.

const HOST_NAME: &str = "pedidos.example";

/// When a request crashes the worker that runs it.
#[derive(Clone, Copy, PartialEq)]
enum Deadly {
    /// When it begins to run, at the workers of each service that its route is split over.
    AtEachService,
    /// While its long answer is being sent.
    WhileAnswering,
    /// When it begins to run; the worker's machine is off for some seconds, so that nothing breaks its connections.
    Silently,
}

fn document(routes: &str, services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|s| {
            format!(
                r#"{{"name":"{s}","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":"r1","routes":[{routes}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}"#,
        services.join(",")
    )
}

fn get_head(path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nCarobreel-Request-Id: {id}\r\nCarobreel-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Waits until ordinary requests are answered at all gateways.
fn wait_until_served(deployment: &Deployment, gateways: u8, path: &str) -> Result<(), Failure> {
    for n in 1..=gateways {
        deployment.wait_until_ready(n)?;
        let begun_at = Instant::now();
        loop {
            let head = get_head(path, &request_id(), 1_000);
            let answer = send_once(deployment.callers(n), &head, b"", Duration::from_secs(2));
            if answer.status == Some(200) && answer.is_complete {
                break;
            }
            if begun_at.elapsed() > READY_TIMEOUT {
                return Err(format!("gateway {n} serves nothing: {}", answer.text()));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}

/// Clients of other requests, which can't be repeated: what they lose when a worker ends.
struct OtherClients {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(usize, usize)>>,
}

const OTHER_CLIENTS: u8 = 9;

impl OtherClients {
    fn start(deployment: &Deployment, gateways: u8, record: &Record) -> OtherClients {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let threads = (0..OTHER_CLIENTS).map(|n| {
            let (callers, record) = (deployment.callers(1 + n % gateways), record.clone());
            let is_stopped = is_stopped.clone();
            thread::spawn(move || {
                let (mut sent, mut failed) = (0, 0);
                while !is_stopped.load(Ordering::SeqCst) {
                    let id = request_id();
                    let head = format!(
                        "POST /filings/usual HTTP/1.1\r\nHost: {HOST_NAME}\r\nCarobreel-Request-Id: {id}\r\nCarobreel-Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\n"
                    );
                    let answer = send_once(callers, &head, b"form", Duration::from_secs(2));
                    sent += 1;
                    // A refusal isn't a failure: the request has not run.
                    if !matches!(answer.status, Some(200 | 503)) {
                        failed += 1;
                        record.line(&format!("client gets for {id} /filings/usual: {}", answer.text()));
                    }
                    thread::sleep(Duration::from_millis(50));
                }
                (sent, failed)
            })
        });
        OtherClients {
            threads: threads.collect(),
            is_stopped,
        }
    }

    /// Returns how many requests were sent and how many failed.
    fn stop(self) -> (usize, usize) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let counts = self.threads.into_iter().map(|t| t.join().unwrap_or((0, 0)));
        counts.fold((0, 0), |(sent, failed), (s, f)| (sent + s, failed + f))
    }
}

/// Retries of a request that may reach workers later than `contact` after its third crash.
const RETRIES_ALLOWED: usize = 3;
/// How often the deadly request comes again, and at which interval.
const DEADLY_REQUESTS: usize = 12;
const DEADLY_INTERVAL: Duration = Duration::from_millis(3_000);
/// The same where it is divided among several services.
const SPLIT_REQUESTS: usize = 27;
const SPLIT_INTERVAL: Duration = Duration::from_millis(3_200);

fn run_deadly(record: &Record, with_trouble: bool, deadly: Deadly) -> Result<Verdict, Failure> {
    let gateways = 3;
    let mut deployment = Deployment::start(record, gateways)?;
    let services: &[&str] = match deadly {
        Deadly::AtEachService => &["mapas", "licencas", "arquivo"],
        Deadly::WhileAnswering | Deadly::Silently => &["arquivo"],
    };
    let (mode, path) = match deadly {
        Deadly::AtEachService => ("crash", "/packs/deadly"),
        Deadly::WhileAnswering => ("crash_late", "/packs/large/deadly"),
        Deadly::Silently => ("crash_silent", "/packs/deadly"),
    };
    let mode = if with_trouble { mode } else { "sound" };
    // A silent worker is back after the route's timeout, so that its end breaks no connection that is still waited on.
    let back_after = match deadly {
        Deadly::Silently => Duration::from_millis(3_000),
        Deadly::AtEachService | Deadly::WhileAnswering => Duration::from_millis(2_000),
    };
    // One of eight is off at a time where they fall silent: less than the share of 0.14.
    let workers = if deadly == Deadly::Silently { 8 } else { 4 };
    for (n, service) in services.iter().enumerate() {
        for k in 0..workers {
            let host = 11 + workers * n as u8 + k;
            deployment.start_worker(service, host, mode, back_after);
        }
    }
    let targets: Vec<String> = services
        .iter()
        .map(|s| format!(r#"{{"service":"{s}","weight":30}}"#))
        .collect();
    let route = format!(
        r#"{{"name":"pedido","hostname":"{HOST_NAME}","pathPrefix":"/filings/","kind":"non_idempotent","timeout":"1000ms","targetLatency":"500ms","priority":1,"service":"arquivo","maxAttempts":2}},{{"name":"dossie","hostname":"{HOST_NAME}","pathPrefix":"/packs/","kind":"download","timeout":"2000ms","targetLatency":"400ms","priority":2,"trafficSplit":[{}],"maxAttempts":2}}"#,
        targets.join(",")
    );
    deployment.configure(&document(&route, services))?;
    wait_until_served(&deployment, gateways, "/packs/usual")?;
    // The deployment is in steady state: the core has been stable for longer than `contact`.
    thread::sleep(2 * CONTACT);
    let others = OtherClients::start(&deployment, gateways, record);
    let (requests, interval) = match deadly {
        Deadly::AtEachService => (SPLIT_REQUESTS, SPLIT_INTERVAL),
        Deadly::WhileAnswering | Deadly::Silently => (DEADLY_REQUESTS, DEADLY_INTERVAL),
    };
    for n in 0..requests {
        let id = request_id();
        let gateway = 1 + (n as u8 % gateways);
        record.line(&format!("client sends {id} {path} to gateway {gateway}"));
        let head = get_head(path, &id, 2_000);
        let answer = send_once(
            deployment.callers(gateway),
            &head,
            b"",
            Duration::from_secs(4),
        );
        record.line(&format!("client gets for {id}: {}", answer.text()));
        thread::sleep(interval);
    }
    let (sent, failed) = others.stop();
    let mut crashes: Vec<Instant> = Vec::new();
    let mut runs: Vec<Instant> = Vec::new();
    for worker in &deployment.workers {
        crashes.extend(worker.crashes.lock().unwrap().iter());
        let deadly_runs = worker.runs.lock().unwrap();
        runs.extend(
            deadly_runs
                .iter()
                .filter(|(_, run)| run.contains(path))
                .map(|(at, _)| *at),
        );
    }
    crashes.sort();
    if !with_trouble {
        let text = format!(
            "{} of {requests} requests ran, {} crashes; {failed} of {sent} other requests failed",
            runs.len(),
            crashes.len()
        );
        return Ok(Verdict {
            is_broken: !crashes.is_empty(),
            text,
        });
    }
    let Some(third) = crashes.get(2) else {
        let text = format!("only {} crashes", crashes.len());
        return Ok(Verdict {
            is_broken: false,
            text,
        });
    };
    let late = runs.iter().filter(|at| **at > *third + CONTACT).count();
    let text = format!(
        "{} crashes; {late} runs later than contact after the third, {RETRIES_ALLOWED} are allowed; {failed} of {sent} other requests failed",
        crashes.len()
    );
    Ok(Verdict {
        is_broken: late > RETRIES_ALLOWED,
        text,
    })
}

/// Size of an upload; a desired state with `maxBodyBytes` 67108864 allows five times as much.
const UPLOAD_BYTES: usize = 12_900_000;
/// Clients that upload, as usual and in a burst: 1.67 times as many.
const USUAL_CLIENTS: usize = 6;
const BURST_CLIENTS: usize = 10;
/// Time between two uploads of a client.
const UPLOAD_PAUSE: Duration = Duration::from_millis(300);
/// Seconds of traffic, and the beginnings of the bursts in it.
const TRAFFIC: Duration = Duration::from_secs(54);
const BURSTS_AT: [u64; 4] = [8, 20, 32, 44];
const BURST_TIME: Duration = Duration::from_millis(3_200);
/// Requests on kept connections that may end without an answer after they were passed on.
const LOST_ALLOWED: usize = 3;
/// Delay after which the platform restarts a process that ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// What became of one upload on a connection that had carried a request before.
struct Upload {
    id: String,
    answer: Answer,
}

fn run_uploads(record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let mut deployment = Deployment::start(record, 1)?;
    for host in [12, 16] {
        deployment.start_worker("licencas", host, "sound", Duration::from_millis(2_000));
    }
    let route = format!(
        r#"{{"name":"pedido","hostname":"{HOST_NAME}","pathPrefix":"/files/","kind":"idempotent","timeout":"5000ms","targetLatency":"1500ms","priority":1,"service":"licencas","maxAttempts":2}}"#
    );
    deployment.configure(&document(&route, &["licencas"]))?;
    wait_until_served(&deployment, 1, "/files/usual")?;
    thread::sleep(2 * CONTACT);
    let begun_at = Instant::now();
    let clients: Vec<_> = (0..BURST_CLIENTS)
        .map(|n| {
            let (callers, record) = (deployment.callers(1), record.clone());
            let is_active = move || {
                let at = begun_at.elapsed();
                let is_burst = BURSTS_AT.iter().any(|begin| {
                    let begin = Duration::from_secs(*begin);
                    at >= begin && at < begin + BURST_TIME
                });
                n < USUAL_CLIENTS || (with_trouble && is_burst)
            };
            thread::spawn(move || upload_repeatedly(callers, &record, begun_at, is_active))
        })
        .collect();
    // The platform ends a process that uses more memory than its machine has, and restarts it.
    let (mut peak_kib, mut kills) = (0, 0);
    while begun_at.elapsed() < TRAFFIC {
        let process = deployment.processes["gateway-101"].id();
        let kib = resident_kib(process).ok_or("the gateway has ended by itself")?;
        peak_kib = peak_kib.max(kib);
        if kib > GATEWAY_MEMORY_MB * 1024 {
            kills += 1;
            record.line(&format!(
                "platform: gateway-101 uses {kib} KiB and is killed"
            ));
            let mut child = deployment.processes.remove("gateway-101").unwrap();
            let _ = child.kill();
            let _ = child.wait();
            tell_guard('-', child.id());
            thread::sleep(RESTART_DELAY);
            deployment.spawn("gateway", 101)?;
        }
        thread::sleep(Duration::from_millis(5));
    }
    let mut uploads: Vec<Upload> = Vec::new();
    for client in clients {
        uploads.extend(client.join().map_err(|_| "a client failed".to_string())?);
    }
    let is_passed_on = |u: &&Upload| {
        let mut workers = deployment.workers.iter();
        workers.any(|w| w.got.lock().unwrap().contains(&u.id))
    };
    let unanswered = uploads.iter().filter(|u| u.answer.status.is_none());
    let lost = unanswered.clone().filter(is_passed_on).count();
    let unanswered = unanswered.count();
    let served = uploads
        .iter()
        .filter(|u| u.answer.status == Some(200))
        .count();
    let text = format!(
        "{} uploads, {served} served, {unanswered} without an answer, {lost} of these passed on to a worker, {LOST_ALLOWED} are allowed; memory peaked at {peak_kib} KiB, the gateway was killed {kills} times",
        uploads.len(),
    );
    Ok(Verdict {
        is_broken: lost > LOST_ALLOWED,
        text,
    })
}

/// Sends uploads on a connection that is kept, and on a new one after a failure.
fn upload_repeatedly(
    callers: SocketAddr,
    record: &Record,
    begun_at: Instant,
    is_active: impl Fn() -> bool,
) -> Vec<Upload> {
    let body = vec![b'u'; UPLOAD_BYTES];
    let mut uploads = Vec::new();
    let mut kept: Option<TcpStream> = None;
    while begun_at.elapsed() < TRAFFIC {
        thread::sleep(UPLOAD_PAUSE);
        if !is_active() {
            continue;
        }
        let open = kept.take().or_else(|| open_connection(callers));
        let Some(mut stream) = open else { continue };
        let id = request_id();
        let head = format!(
            "POST /files/upload HTTP/1.1\r\nHost: {HOST_NAME}\r\nCarobreel-Request-Id: {id}\r\nCarobreel-Deadline-Ms: 5000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
        );
        record.line(&format!(
            "client sends {id} /files/upload, {UPLOAD_BYTES} bytes"
        ));
        let answer = exchange(&mut stream, &head, &body, Duration::from_secs(8));
        record.line(&format!("client gets for {id}: {}", answer.text()));
        let is_kept = answer.is_complete && answer.status == Some(200);
        kept = is_kept.then_some(stream);
        uploads.push(Upload { id, answer });
    }
    uploads
}

/// Opens a connection on which a small request is answered.
fn open_connection(callers: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&callers, Duration::from_secs(1)).ok()?;
    let head = get_head("/files/usual", &request_id(), 1_000);
    let answer = exchange(&mut stream, &head, b"", Duration::from_secs(2));
    (answer.status == Some(200) && answer.is_complete).then_some(stream)
}

/// Returns the resident memory of a process.
fn resident_kib(process: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let resident = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    resident.split_whitespace().next()?.parse().ok()
}

/// How long a cold worker stays cold, as `coldStart` of the desired state says.
const COLD_TIME: Duration = Duration::from_millis(3_000);
/// Requests a second that a cold worker bears, and the bounds `coldOvershoot` and `coldSlack`.
const COLD_PER_S: f64 = 3.7;
const COLD_OVERSHOOT: f64 = 1.5;
const COLD_SLACK: f64 = 8.0;
/// Clients of the service; each asks again shortly after its answer.
const COLD_CLIENTS: u8 = 10;

fn run_cold(record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let gateways = 3;
    let mut deployment = Deployment::start(record, gateways)?;
    // All are in one zone, so that each gets a third of the requests.
    for host in [12, 16, 20] {
        deployment.start_worker("offers", host, "sound", Duration::from_millis(2_000));
    }
    let service = r#"{"name":"offers","healthPath":"/health","maxConnections":580,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":3.7}"#;
    let document = format!(
        r#"{{"version":"r1","routes":[{{"name":"offer-status","hostname":"{HOST_NAME}","pathPrefix":"/offers/","kind":"idempotent","timeout":"2500ms","targetLatency":"1000ms","priority":2,"service":"offers","maxAttempts":2,"allowedRegions":[]}}],"services":[{service}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}}}"#
    );
    deployment.configure(&document)?;
    wait_until_served(&deployment, gateways, "/offers/usual")?;
    let is_stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..COLD_CLIENTS)
        .map(|n| {
            let (callers, is_stopped) = (deployment.callers(1 + n % gateways), is_stopped.clone());
            thread::spawn(move || {
                let mut counts = BTreeMap::new();
                let mut sent_at = BTreeMap::new();
                while !is_stopped.load(Ordering::SeqCst) {
                    let id = request_id();
                    let head = get_head("/offers/usual", &id, 2_500);
                    sent_at.insert(id, Instant::now());
                    let answer = send_once(callers, &head, b"", Duration::from_secs(3));
                    *counts.entry(answer.status).or_insert(0) += 1;
                    thread::sleep(Duration::from_millis(30));
                }
                (counts, sent_at)
            })
        })
        .collect();
    thread::sleep(2 * CONTACT);
    if with_trouble {
        for n in 1..=DIRECTORIES {
            let name = format!("directory-{n}");
            record.line(&format!("platform: {name} is killed"));
            let mut child = deployment.processes.remove(&name).unwrap();
            let _ = child.kill();
            let _ = child.wait();
            tell_guard('-', child.id());
        }
        thread::sleep(Duration::from_millis(100));
    }
    let worker = deployment.workers[0].clone();
    worker.make_cold();
    let cold_at = Instant::now();
    if with_trouble {
        thread::sleep(Duration::from_millis(700));
        for n in 1..=DIRECTORIES {
            deployment.spawn("directory", n)?;
        }
    }
    thread::sleep(COLD_TIME.saturating_sub(cold_at.elapsed()));
    is_stopped.store(true, Ordering::SeqCst);
    let mut answers: BTreeMap<Option<u16>, usize> = BTreeMap::new();
    let mut sent_at: BTreeMap<String, Instant> = BTreeMap::new();
    for client in clients {
        let (counts, sent) = client.join().map_err(|_| "a client failed".to_string())?;
        for (status, count) in counts {
            *answers.entry(status).or_default() += count;
        }
        sent_at.extend(sent);
    }
    let cold_at = worker
        .cold_at
        .lock()
        .unwrap()
        .ok_or("the worker did not become cold")?;
    let runs = worker.runs.lock().unwrap();
    // When each request was sent by its client, and when it arrived.
    let runs: Vec<(Instant, Instant)> = runs
        .iter()
        .filter(|(at, _)| *at >= cold_at && *at < cold_at + COLD_TIME)
        .filter_map(|(at, run)| Some((*sent_at.get(run.split_whitespace().next()?)?, *at)))
        .collect();
    let in_second = |first: &(Instant, Instant)| {
        let end = first.0 + Duration::from_secs(1);
        runs.iter()
            .filter(|(sent, at)| *sent >= first.0 && *at < end)
            .count()
    };
    let most = runs.iter().map(in_second).max().unwrap_or(0);
    let bound = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK;
    let text = format!(
        "the cold worker got {} requests in {COLD_TIME:?}, at most {most} in one second, {bound:.2} are allowed; answers {answers:?}",
        runs.len()
    );
    Ok(Verdict {
        is_broken: most as f64 > bound,
        text,
    })
}
