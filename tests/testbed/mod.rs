//! A deployment on loopback addresses: one replica of the directory, a gateway, and fake upstreams that
//! speak the platform's protocol and can be made to misbehave.
#![allow(dead_code)]

pub mod deployment;
pub mod direct;
mod raw_http;
pub mod upstream;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carobreel::clock::Clock;
use carobreel::credentials;
use carobreel::daemon::discard_logger;
use carobreel::directory::daemon::{Directory, Settings};
use carobreel::event::{merge_timelines, EventRecord, Recorder};
use carobreel::gateway::daemon::Gateway;
use carobreel::host::HostSettings;
use carobreel::http::{send, HttpError, HttpRequest, HttpResponse};
use carobreel::platform::api;
use carobreel::platform::grant_client::GrantClient;
use carobreel::platform::headers::PlatformHeaders;
use error_stack::Report;
use serde_json::{json, Value};
use tempfile::TempDir;
use tokio::net::TcpListener;

use upstream::FakeUpstream;

/// Timeout for a process or a state to be ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(15);
const PEER_PORT: u16 = 21_700;
const CALLERS_PORT: u16 = 21_701;
const READINESS_PORT: u16 = 21_702;
const OPERATORS_PORT: u16 = 21_703;

/// A running deployment. Each test of a file uses its own network number, which is part of the addresses.
pub struct Testbed {
    network: u8,
    pub gateway: Option<Gateway<PlatformHeaders>>,
    directory: Option<Directory>,
    recorders: Vec<Recorder>,
    _folder: TempDir,
}

impl Testbed {
    /// Starts a replica and a gateway.
    pub async fn start(network: u8) -> Testbed {
        Testbed::start_with_link(network, None).await
    }

    /// Starts a replica and a gateway with a link of `link_mbps` Mbit/s.
    pub async fn start_with_link(network: u8, link_mbps: Option<f64>) -> Testbed {
        Testbed::start_with(network, link_mbps, 1).await
    }

    /// Starts a gateway and a replica that is never elected: the two other founding replicas don't start.
    pub async fn start_without_leader(network: u8) -> Testbed {
        Testbed::start_with(network, None, 3).await
    }

    async fn start_with(network: u8, link_mbps: Option<f64>, founders: u8) -> Testbed {
        let folder = tempfile::tempdir().unwrap();
        let clock = Clock::start();
        let recorder = Recorder::new("c1", discard_logger());
        let address = at(network, 1, PEER_PORT);
        let settings = Settings {
            address,
            seeds: Arc::new(Mutex::new(
                (0..founders)
                    .map(|n| at(network, 1 + 100 * n, PEER_PORT))
                    .collect(),
            )),
            first_start: true,
            data_folder: folder.path().to_path_buf(),
            hold_ms: 2_500,
            voters: founders as usize,
            regions_by_zone: [("a", "north"), ("b", "south")]
                .map(|(zone, region)| (zone.to_string(), region.to_string()))
                .into(),
        };
        let tls = credentials::unverified_tls().unwrap();
        let calls = GrantClient::new(clock);
        let directory =
            Directory::spawn(settings, tls.clone(), calls, clock, recorder.clone()).unwrap();
        let listener = TcpListener::bind(at(network, 1, OPERATORS_PORT))
            .await
            .unwrap();
        let mut recorders = vec![recorder.clone()];
        let router = api::router(directory.handle(), recorder, zones());
        tokio::spawn(async move { axum::serve(listener, router).await });
        let recorder = Recorder::new("e1", discard_logger());
        recorders.push(recorder.clone());
        let gateway = start_gateway(network, link_mbps, recorder).await;
        Testbed {
            network,
            gateway: Some(gateway),
            directory: Some(directory),
            recorders,
            _folder: folder,
        }
    }

    /// Starts a replica, a gateway and one upstream of the service `files`, and waits until it gets requests.
    pub async fn start_with_upstream(network: u8) -> (Testbed, FakeUpstream) {
        let testbed = Testbed::start(network).await;
        testbed.configure_until_ready(&document(1)).await;
        let upstream = FakeUpstream::start(&testbed, 1, "files").await;
        upstream.join(&testbed).await;
        testbed.wait_until_served().await;
        (testbed, upstream)
    }

    /// Waits until a request to the idempotent route succeeds.
    pub async fn wait_until_served(&self) {
        wait_for("the upstream is used", READY_TIMEOUT, async || {
            let answer = self.request(get("/read/warm", "w", 1_000)).await;
            answer.is_ok_and(|a| a.status == 200)
        })
        .await;
    }

    /// Returns the address of upstream `n`.
    pub fn upstream_address(&self, n: u8) -> SocketAddr {
        at(self.network, 10 + n, 80 + 21_700)
    }

    /// Returns the address of the replica for other processes.
    pub fn directory_address(&self) -> SocketAddr {
        at(self.network, 1, PEER_PORT)
    }

    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address_of(0)
    }

    /// Returns the address for callers of gateway `n`; the first one is gateway 0.
    pub fn caller_address_of(&self, n: u8) -> SocketAddr {
        at(self.network, gateway_host(n), CALLERS_PORT)
    }

    /// Starts gateway `n` beside the first one.
    pub async fn start_another_gateway(&mut self, n: u8) -> Gateway<PlatformHeaders> {
        let recorder = Recorder::new(&format!("e{}", n + 1), discard_logger());
        self.recorders.push(recorder.clone());
        start_gateway_number(self.network, n, None, recorder).await
    }

    /// Waits until gateway `n` is ready.
    pub async fn wait_for_gateway(&self, n: u8) {
        let address = at(self.network, gateway_host(n), READINESS_PORT);
        wait_for("the gateway is ready", READY_TIMEOUT, async || {
            let answer = send(address, HttpRequest::get("/v1/ready")).await;
            answer.is_ok_and(|a| a.status == 200)
        })
        .await;
    }

    /// Sends a call of an operator or upstream to the directory.
    pub async fn call_directory(
        &self,
        call: HttpRequest,
    ) -> Result<HttpResponse, Report<HttpError>> {
        send(at(self.network, 1, OPERATORS_PORT), call).await
    }

    pub async fn configure(&self, document: &Value) -> u16 {
        let call = HttpRequest::post("/v1/config/replace", document.to_string());
        self.call_directory(call)
            .await
            .map_or(0, |a| a.status.as_u16())
    }

    /// Sends the configuration until it is acknowledged, and waits until the gateway is ready.
    pub async fn configure_until_ready(&self, document: &Value) {
        wait_for(
            "the configuration is acknowledged",
            READY_TIMEOUT,
            async || self.configure(document).await == 200,
        )
        .await;
        wait_for("the gateway is ready", READY_TIMEOUT, async || {
            self.readiness_status().await == 200
        })
        .await;
    }

    pub async fn readiness_status(&self) -> u16 {
        let address = at(self.network, 2, READINESS_PORT);
        let answer = send(address, HttpRequest::get("/v1/ready")).await;
        answer.map_or(0, |a| a.status.as_u16())
    }

    /// Sends a caller's request to the gateway.
    pub async fn request(&self, call: HttpRequest) -> Result<HttpResponse, Report<HttpError>> {
        let call = call.header("host", "one.example");
        send(self.caller_address(), call).await
    }

    /// Returns the logged events of both processes in causal order.
    pub fn events(&self) -> Vec<EventRecord> {
        merge_timelines(self.recorders.iter().map(Recorder::recent).collect())
    }

    /// Stops the replica abruptly, as in a crash of its host.
    pub fn stop_directory(&mut self) {
        if let Some(directory) = self.directory.take() {
            directory.stop();
        }
    }
}

/// Starts a deployment with two upstreams of the service `files`.
pub async fn start_with_two_upstreams(network: u8) -> (Testbed, FakeUpstream, FakeUpstream) {
    let testbed = Testbed::start(network).await;
    testbed.configure_until_ready(&document(1)).await;
    let one = FakeUpstream::start(&testbed, 1, "files").await;
    let other = FakeUpstream::start(&testbed, 2, "files").await;
    one.join(&testbed).await;
    other.join(&testbed).await;
    for upstream in [&one, &other] {
        wait_for("each upstream is used", READY_TIMEOUT, async || {
            let answer = testbed.request(get("/read/warm", "w", 1_000)).await;
            answer.is_ok_and(|a| a.status == 200) && upstream.run_count() > 0
        })
        .await;
    }
    (testbed, one, other)
}

/// Starts the gateway of a network number.
pub async fn start_gateway(
    network: u8,
    link_mbps: Option<f64>,
    recorder: Recorder,
) -> Gateway<PlatformHeaders> {
    start_gateway_number(network, 0, link_mbps, recorder).await
}

async fn start_gateway_number(
    network: u8,
    n: u8,
    link_mbps: Option<f64>,
    recorder: Recorder,
) -> Gateway<PlatformHeaders> {
    let host = gateway_host(n);
    let text = json!({
        "host": format!("e{}", n + 1), "zone": "a", "zones": { "a": "north", "b": "south" },
        "peer_address": at(network, host, PEER_PORT).to_string(),
        "callers": at(network, host, CALLERS_PORT).to_string(),
        "readiness": at(network, host, READINESS_PORT).to_string(),
        "seeds": [at(network, 1, OPERATORS_PORT).to_string()],
        "retry_ratio": 0.2, "memory_mb": 160, "retry_slack": 50, "link_mbps": link_mbps,
    });
    let host = HostSettings::parse(&text.to_string()).unwrap();
    let tls = credentials::unverified_tls().unwrap();
    let gateway = Gateway::spawn(&host, &tls, PlatformHeaders, Clock::start(), recorder);
    gateway.await.unwrap()
}

/// Returns the last part of the address of gateway `n`.
fn gateway_host(n: u8) -> u8 {
    match n {
        0 => 2,
        n => 120 + n,
    }
}

/// Returns the availability zones of the deployment.
pub fn zones() -> BTreeSet<String> {
    ["a", "b"].map(str::to_string).into()
}

fn at(network: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 77, network, host], port))
}

/// Returns an idempotent request with an id and a deadline.
pub fn get(path: &str, id: &str, deadline_ms: u64) -> HttpRequest {
    HttpRequest::get(path)
        .header("carobreel-request-id", id)
        .header("carobreel-deadline-ms", &deadline_ms.to_string())
}

/// Returns a non-idempotent request with an id and a deadline.
pub fn post(path: &str, id: &str, deadline_ms: u64) -> HttpRequest {
    let mut call = get(path, id, deadline_ms);
    call.method = hyper::Method::POST;
    call.body = bytes::Bytes::from_static(b"a filing");
    call
}

/// Returns a document with an idempotent route, a non-idempotent one, and one to a service divided by key.
pub fn document(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "hostname": "one.example", "pathPrefix": format!("/{name}/"),
            "kind": kind, "timeout": "1500ms", "targetLatency": "400ms", "priority": 1,
            "service": service, "maxAttempts": 2,
        })
    };
    json!({
        "version": format!("r{version}"),
        "routes": [
            route("read", "idempotent", "files"),
            route("file", "non_idempotent", "files"),
            route("maps", "idempotent", "maps"),
        ],
        "services": [
            { "name": "files", "healthPath": "/health", "maxConnections": 50 },
            { "name": "maps", "healthPath": "/health", "maxConnections": 50, "sharded": true },
        ],
        "limits": {
            "maxHeaderBytes": 10_000, "headerTimeout": "700ms", "maxBodyBytes": 4 << 20,
            "idleTimeout": "15000ms",
        },
    })
}

/// Polls `condition` until it returns true; panics after `timeout`.
pub async fn wait_for(what: &str, timeout: Duration, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + timeout;
    while !condition().await {
        assert!(Instant::now() < end, "not within {timeout:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
