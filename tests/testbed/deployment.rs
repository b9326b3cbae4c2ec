//! A deployment with several gateways, and load for it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use carobreel::gateway::daemon::Gateway;
use carobreel::platform::headers::PlatformHeaders;
use tokio::task::JoinSet;

use super::upstream::FakeUpstream;
use super::{document, get, wait_for, Testbed, READY_TIMEOUT};

/// Gateways with one directory.
pub struct Deployment {
    pub testbed: Testbed,
    pub callers: Vec<SocketAddr>,
    pub gateways: Vec<Gateway<PlatformHeaders>>,
}

impl Deployment {
    pub async fn start(network: u8, entry_hosts: u8) -> Deployment {
        let mut testbed = Testbed::start(network).await;
        let mut gateways = Vec::new();
        for n in 1..entry_hosts {
            gateways.push(testbed.start_another_gateway(n).await);
        }
        testbed.configure_until_ready(&document(1)).await;
        for n in 1..entry_hosts {
            testbed.wait_for_gateway(n).await;
        }
        Deployment {
            callers: (0..entry_hosts)
                .map(|n| testbed.caller_address_of(n))
                .collect(),
            testbed,
            gateways,
        }
    }

    /// Starts 8 entry hosts and two upstreams of `service`.
    pub async fn start_with_two_upstreams(
        network: u8,
        service: &str,
    ) -> (Deployment, FakeUpstream, FakeUpstream) {
        let deployment = Deployment::start(network, 8).await;
        let one = deployment.add_upstream(1, service).await;
        let other = deployment.add_upstream(2, service).await;
        (deployment, one, other)
    }

    /// Starts an upstream and waits until the directory knows it.
    pub async fn add_upstream(&self, n: u8, service: &str) -> FakeUpstream {
        let upstream = FakeUpstream::start(&self.testbed, n, service).await;
        upstream.join(&self.testbed).await;
        upstream
    }

    pub async fn wait_until_served(&self, path: &str) {
        for callers in &self.callers {
            wait_for("each gateway serves", READY_TIMEOUT, async || {
                let answer = carobreel::http::send(*callers, call(path, 1_500)).await;
                answer.is_ok_and(|a| a.status == 200)
            })
            .await;
        }
    }

    /// Sends `per_s` requests a second for `duration`; `pick` selects the gateway of each.
    pub async fn send_load(
        &self,
        path: &'static str,
        per_s: f64,
        duration: Duration,
        pick: impl Fn(usize) -> usize,
    ) -> Vec<Answer> {
        let interval = Duration::from_secs_f64(1.0 / per_s);
        let count = (duration.as_secs_f64() * per_s) as usize;
        let started_at = tokio::time::Instant::now();
        let mut sent = JoinSet::new();
        for n in 0..count {
            tokio::time::sleep_until(started_at + interval * n as u32).await;
            let callers = self.callers[pick(n) % self.callers.len()];
            sent.spawn(async move {
                let sent_at = Instant::now();
                let answer = carobreel::http::send(callers, call(path, 1_500)).await;
                let answer = answer.expect("a request is answered");
                Answer {
                    status: answer.status.as_u16(),
                    after: sent_at.elapsed(),
                    retry_after: answer.header("retry-after").parse().ok(),
                }
            });
        }
        sent.join_all().await
    }
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub after: Duration,
    pub retry_after: Option<f64>,
}

pub fn call(path: &str, deadline_ms: u64) -> carobreel::http::HttpRequest {
    let key = rand::random::<u16>().to_string();
    let id = format!("{:08x}", rand::random::<u32>());
    let call = get(path, &id, deadline_ms).header("host", "one.example");
    match path.starts_with("/maps/") {
        true => call.header("carobreel-shard-key", &key),
        false => call,
    }
}
