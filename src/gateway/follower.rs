//! Follows the directory's leader to keep a gateway's view of the directory up to date.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::{Clock, Mono};
use crate::directory::model::{Key, Phase, Upstream};
use crate::directory::protocol::{DirectoryRequest, KeyCounts, Reply, Update};
use crate::event::{Event, Recorder};
use crate::lock::lock;
use crate::transport::Endpoint;
use crate::wire::{Request, Response};

use super::allowed_regions::UnservedRoutes;
use super::leader_outage::LeaderOutage;
use super::suspects::Suspects;
use super::upstream_client::UpstreamClients;
use super::view::DirectoryView;

/// Timeout of a request to the leader: the longest time that it holds a request, plus the round trip. Then the
/// leader is searched anew, so that a lost answer delays a configuration by less than the platform allows.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout while the answer is in transfer. A new request would put it on a narrow link once more.
const ANSWER_TIMEOUT_WHILE_RECEIVING: Duration = Duration::from_millis(4_800);
/// Delay before the next host that may know the leader is asked as well.
const NEXT_HOST_DELAY: Duration = Duration::from_millis(300);
/// Delay after a search that found no leader.
const SEARCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Age of the view at which the loss of the leader is logged, in milliseconds.
const LOSS_LOGGED_AFTER_MS: u64 = 1_500;

/// Counts requests by service and key until they are reported.
#[derive(Debug, Default)]
pub struct KeyCounter {
    counts: Mutex<BTreeMap<String, BTreeMap<Key, u32>>>,
}

impl KeyCounter {
    /// Counts a request.
    pub fn count(&self, service: &str, key: Key) {
        let mut counts = lock(&self.counts);
        if !counts.contains_key(service) {
            counts.insert(service.to_string(), BTreeMap::new());
        }
        if let Some(keys) = counts.get_mut(service) {
            *keys.entry(key).or_default() += 1;
        }
    }

    fn take(&self) -> Vec<KeyCounts> {
        let counts = std::mem::take(&mut *lock(&self.counts));
        let report = |(service, keys): (String, BTreeMap<Key, u32>)| KeyCounts {
            service,
            counts: keys.into_iter().collect(),
        };
        counts.into_iter().map(report).collect()
    }
}

/// Follows the directory's leader and publishes its updates.
#[derive(Debug)]
pub struct DirectoryFollower {
    /// This host's name.
    pub host: String,
    /// Addresses at which the directory may be found at first.
    pub seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// The endpoint for requests to the directory.
    pub endpoint: Endpoint,
    /// Publishes views.
    pub view: watch::Sender<Arc<DirectoryView>>,
    /// Request counts to report to the leader.
    pub key_counter: Arc<KeyCounter>,
    /// The clients of upstreams, which provide speeds and leaving upstreams to report.
    pub clients: Arc<UpstreamClients>,
    /// Requests that upstreams had when they ended.
    pub suspects: Arc<Suspects>,
    /// Tracks how long the directory has had no leader.
    pub outage: Arc<LeaderOutage>,
    /// The clock.
    pub clock: Clock,
    /// Records events.
    pub recorder: Recorder,
    /// Logs routes whose allowed regions have no upstream.
    pub unserved_routes: UnservedRoutes,
}

impl DirectoryFollower {
    /// Follows the leader until the process ends.
    pub async fn run(self) {
        let (leader_tx, leader_rx) = watch::channel(None);
        tokio::spawn(self.get_permits(leader_rx));
        let mut leader: Option<String> = None;
        let mut lost_logged = false;
        loop {
            leader_tx.send_if_modified(|known| {
                let is_new = *known != leader;
                known.clone_from(&leader);
                is_new
            });
            self.suspects.set_leader(leader.as_ref());
            let outcome = match &leader {
                Some(host) => self.follow_leader(host).await,
                None => self.find_leader().await,
            };
            match outcome {
                FollowOutcome::Update(host, update, asked_at) => {
                    self.outage.record_leader();
                    if leader.as_ref() != Some(&host) {
                        self.recorder.record(Event::DirectoryFollowed {
                            leader: host.clone(),
                        });
                    }
                    leader = Some(host);
                    lost_logged = false;
                    self.publish(*update, asked_at);
                }
                FollowOutcome::OtherLeader(host) if leader.as_ref() != Some(&host) => {
                    leader = Some(host)
                }
                FollowOutcome::OtherLeader(_) | FollowOutcome::NoLeader => {
                    leader = None;
                    let age_ms = self.clock.now().since(self.view.borrow().confirmed_at);
                    if age_ms > LOSS_LOGGED_AFTER_MS && !lost_logged {
                        lost_logged = true;
                        self.recorder.record(Event::DirectoryLost { age_ms });
                    }
                    tokio::time::sleep(SEARCH_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Asks the leader for permits while upstreams name rate limits.
    fn get_permits(
        &self,
        leader: watch::Receiver<Option<String>>,
    ) -> impl std::future::Future<Output = ()> + use<> {
        let (clients, endpoint) = (self.clients.clone(), self.endpoint.clone());
        let (host, view, clock) = (self.host.clone(), self.view.subscribe(), self.clock);
        async move {
            let entry_hosts = move || view.borrow().entry_hosts;
            let rate_limits = &clients.rate_limits;
            rate_limits
                .run(host, endpoint, leader, entry_hosts, clock)
                .await;
        }
    }

    /// Asks the known replicas and the seeds, one after the other, until one leads or names the leader.
    async fn find_leader(&self) -> FollowOutcome {
        let mut hosts = self.view.borrow().replicas.clone();
        let seeds = lock(&self.seeds).clone();
        for seed in seeds {
            let seed = seed.to_string();
            if !hosts.contains(&seed) {
                hosts.push(seed);
            }
        }
        let mut pending = tokio::task::JoinSet::new();
        let request = self.follow_request();
        let mut redirect = FollowOutcome::NoLeader;
        let mut hosts = hosts.into_iter();
        loop {
            let next = hosts.next();
            let is_last_wait = next.is_none();
            if let Some(host) = next {
                let (endpoint, log) = (self.endpoint.clone(), self.unanswered_log());
                let request = request.clone();
                pending.spawn(async move { ask_host(&endpoint, &log, host, request).await });
            }
            let wait = if is_last_wait {
                ANSWER_TIMEOUT
            } else {
                NEXT_HOST_DELAY
            };
            match tokio::time::timeout(wait, pending.join_next()).await {
                Ok(Some(Ok(FollowOutcome::NoLeader) | Err(_))) => {}
                Ok(Some(Ok(outcome @ FollowOutcome::Update(..)))) => return outcome,
                Ok(Some(Ok(outcome @ FollowOutcome::OtherLeader(_)))) => {
                    redirect = outcome;
                    break;
                }
                Ok(None) => break,
                Err(_) if is_last_wait => break,
                Err(_) => {}
            }
        }
        redirect
    }

    /// Announces to the leader the upstreams whose responses said that they leave.
    fn announce_leaving(&self, leader: &str) {
        let view = self.view.borrow().clone();
        for incarnation in self.clients.take_leaving() {
            let Some(upstream) = view.find_ready(&incarnation).cloned() else {
                continue;
            };
            let (endpoint, log, leader) = (
                self.endpoint.clone(),
                self.unanswered_log(),
                leader.to_string(),
            );
            tokio::spawn(async move {
                let request = DirectoryRequest::Announce(Upstream {
                    phase: Phase::Draining,
                    ..upstream
                });
                let asked_at = log.clock.now();
                let request = Request::Directory(request);
                // Not retried: this host already avoids the upstream, which also announces it itself.
                if let Err(e) = endpoint.call(&leader, request, ANSWER_TIMEOUT).await {
                    log.record(&leader, &e.current_context().to_string(), asked_at);
                }
            });
        }
    }

    async fn follow_leader(&self, host: &str) -> FollowOutcome {
        self.announce_leaving(host);
        let mut request = self.follow_request();
        if let DirectoryRequest::Watch { counts, speeds, .. } = &mut request {
            *counts = self.key_counter.take();
            *speeds = self.clients.take_speeds();
        }
        ask_host(
            &self.endpoint,
            &self.unanswered_log(),
            host.to_string(),
            request,
        )
        .await
    }

    fn unanswered_log(&self) -> UnansweredLog {
        UnansweredLog {
            recorder: self.recorder.clone(),
            clock: self.clock,
            view: self.view.subscribe(),
            outage: self.outage.clone(),
        }
    }

    fn follow_request(&self) -> DirectoryRequest {
        DirectoryRequest::Watch {
            host: self.host.clone(),
            known_versions: self.view.borrow().versions,
            counts: Vec::new(),
            speeds: Vec::new(),
            known_limits: self.view.borrow().limits_version,
            known_suspects: self.suspects.version(),
        }
    }

    fn publish(&self, update: Update, asked_at: Mono) {
        let before = self.view.borrow().clone();
        self.clients
            .rate_limits
            .learn(&update.limits, self.clock.now());
        self.suspects.learn(&update);
        let offered_version = update.config.as_ref().map(|c| (c.version, c.base));
        let next = Arc::new(before.updated(update, asked_at));
        if let Some((version, base)) = offered_version.filter(|o| o.0 > next.versions.config) {
            self.recorder.record(Event::RoutesUnmatched {
                version,
                base: base.unwrap_or(0),
                config: next.versions.config,
            });
        }
        if next.versions.config != before.versions.config {
            self.recorder.record(Event::RoutesInForce {
                version: next.versions.config,
                routes: next.config.routes.len() as u64,
                before: before.versions.config,
                unconfirmed_ms: self.clock.now().since(before.confirmed_at),
            });
        }
        let has_new_upstreams = next.versions.upstreams != before.versions.upstreams;
        let has_new_config = next.versions.config != before.versions.config;
        let has_new_evacuations = next.versions.evacuations != before.versions.evacuations;
        // Before the view is published: requests that wait for it use the limits and the clients at once.
        if has_new_config || has_new_upstreams {
            let rate_limits = &self.clients.rate_limits;
            rate_limits.set_cold_limits(&next.cold_limits(), self.clock.now());
        }
        if has_new_upstreams || has_new_evacuations {
            self.clients.sync_with_view(&next);
        }
        if has_new_upstreams || has_new_config {
            self.unserved_routes.check(&next);
        }
        if has_new_evacuations {
            let unconfirmed_ms = self.clock.now().since(before.confirmed_at);
            let before = before.versions.evacuations;
            self.recorder
                .record(next.evacuations_event(before, unconfirmed_ms));
        }
        self.view.send_replace(next);
    }
}

enum FollowOutcome {
    /// The leader, its update, and the time of the request.
    Update(String, Box<Update>, Mono),
    OtherLeader(String),
    NoLeader,
}

/// Logs requests that ended without an update.
struct UnansweredLog {
    recorder: Recorder,
    clock: Clock,
    view: watch::Receiver<Arc<DirectoryView>>,
    outage: Arc<LeaderOutage>,
}

impl UnansweredLog {
    fn record(&self, asked: &str, reason: &str, asked_at: Mono) {
        let now = self.clock.now();
        let view = self.view.borrow();
        self.recorder.record(Event::DirectoryUnanswered {
            asked: asked.to_string(),
            reason: reason.to_string(),
            waited_ms: now.since(asked_at),
            config: view.versions.config,
            age_ms: now.since(view.confirmed_at),
        });
    }
}

async fn ask_host(
    endpoint: &Endpoint,
    log: &UnansweredLog,
    host: String,
    request: DirectoryRequest,
) -> FollowOutcome {
    let asked_at = log.clock.now();
    let request = Request::Directory(request);
    let answer = endpoint.call_while_receiving(
        &host,
        request,
        ANSWER_TIMEOUT,
        ANSWER_TIMEOUT_WHILE_RECEIVING,
    );
    match answer.await {
        Ok(Response::Directory(Reply::Update(update))) => {
            FollowOutcome::Update(host, update, asked_at)
        }
        Ok(Response::Directory(Reply::PackedUpdate { packed, held_ms })) => {
            match packed.unpack(held_ms) {
                Some(update) => FollowOutcome::Update(host, Box::new(update), asked_at),
                None => {
                    log.record(&host, "the update can't be decoded", asked_at);
                    FollowOutcome::NoLeader
                }
            }
        }
        Ok(Response::Directory(Reply::NotLeader(Some(leader)))) => {
            FollowOutcome::OtherLeader(leader)
        }
        Ok(answer) => {
            if let Response::Directory(Reply::NotLeader(None)) = answer {
                log.outage.record_no_leader(log.clock.now());
            }
            log.record(&host, "no leader known", asked_at);
            FollowOutcome::NoLeader
        }
        Err(e) => {
            log.record(&host, &e.current_context().to_string(), asked_at);
            FollowOutcome::NoLeader
        }
    }
}
