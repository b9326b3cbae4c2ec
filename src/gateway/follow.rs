//! Keeps a gateway's view of the directory fresh.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::{Clock, Mono};
use crate::directory::ask::{Ask, KeyCounts, Reply, Update};
use crate::directory::model::{Key, Phase, Upstream};
use crate::event::{Event, Recorder};
use crate::lock::lock;
use crate::transport::Endpoint;
use crate::wire::{Request, Response};

use super::outage::Outage;
use super::peer::Peers;
use super::view::View;

/// The leader's answer is awaited this long: the longest that it holds a request, and the way.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// It is awaited this long while other things arrive from the leader: asking again would put the same
/// answer on a narrow link once more.
const ANSWER_LIMIT: Duration = Duration::from_millis(4_800);
/// A process that may know the leader is given this long before the next one is asked too.
const STAGGER: Duration = Duration::from_millis(300);
/// The pause after a round in which no leader was found.
const PAUSE: Duration = Duration::from_millis(100);
/// Without a leader for this long, the loss is logged, in milliseconds.
const LOST_AFTER_MS: u64 = 1_500;

/// Requests by service and key that weren't reported yet.
#[derive(Debug, Default)]
pub struct KeyCounter {
    counts: Mutex<BTreeMap<String, BTreeMap<Key, u32>>>,
}

impl KeyCounter {
    /// Counts a request.
    pub fn note(&self, service: &str, key: Key) {
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

/// Follows the directory's leader.
#[derive(Debug)]
pub struct Follower {
    /// This host's name.
    pub host: String,
    /// Where the directory may be found at first.
    pub seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// Connections to other processes.
    pub endpoint: Endpoint,
    /// Where views are published.
    pub view: watch::Sender<Arc<View>>,
    /// Load to report.
    pub counter: Arc<KeyCounter>,
    /// Upstreams in use.
    pub peers: Arc<Peers>,
    /// Since when the directory has no leader.
    pub outage: Arc<Outage>,
    /// Time.
    pub clock: Clock,
    /// Events.
    pub recorder: Recorder,
}

impl Follower {
    /// Follows for as long as the process runs.
    pub async fn run(self) {
        let mut leader: Option<String> = None;
        let mut lost_logged = false;
        loop {
            let found = match &leader {
                Some(host) => self.ask(host).await,
                None => self.search().await,
            };
            match found {
                Found::Update(host, update, asked_at) => {
                    self.outage.end();
                    if leader.as_ref() != Some(&host) {
                        self.recorder.record(Event::DirectoryFollowed {
                            leader: host.clone(),
                        });
                    }
                    leader = Some(host);
                    lost_logged = false;
                    self.publish(*update, asked_at);
                }
                Found::Elsewhere(host) if leader.as_ref() != Some(&host) => leader = Some(host),
                Found::Elsewhere(_) | Found::Nothing => {
                    leader = None;
                    let age_ms = self.clock.now().since(self.view.borrow().confirmed_at);
                    if age_ms > LOST_AFTER_MS && !lost_logged {
                        lost_logged = true;
                        self.recorder.record(Event::DirectoryLost { age_ms });
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Asks the processes that may know the leader, one after the other.
    async fn search(&self) -> Found {
        let mut hosts = self.view.borrow().replicas.clone();
        let seeds = lock(&self.seeds).clone();
        for seed in seeds {
            let seed = seed.to_string();
            if !hosts.contains(&seed) {
                hosts.push(seed);
            }
        }
        let mut asked = tokio::task::JoinSet::new();
        let ask = self.follow();
        let mut hint = Found::Nothing;
        let mut hosts = hosts.into_iter();
        loop {
            let next = hosts.next();
            let is_last = next.is_none();
            if let Some(host) = next {
                let (endpoint, log) = (self.endpoint.clone(), self.log());
                let ask = ask.clone();
                asked.spawn(async move { exchange(&endpoint, &log, host, ask).await });
            }
            let patience = if is_last { ANSWER_TIMEOUT } else { STAGGER };
            match tokio::time::timeout(patience, asked.join_next()).await {
                Ok(Some(Ok(Found::Nothing) | Err(_))) => {}
                Ok(Some(Ok(found @ Found::Update(..)))) => return found,
                Ok(Some(Ok(found @ Found::Elsewhere(_)))) => {
                    hint = found;
                    break;
                }
                Ok(None) => break,
                Err(_) if is_last => break,
                Err(_) => {}
            }
        }
        hint
    }

    /// Tells the leader of upstreams that said to this host that they leave.
    fn tell_leaving(&self, leader: &str) {
        let view = self.view.borrow().clone();
        for who in self.peers.take_leaving() {
            let Some(known) = view.live(&who).cloned() else {
                continue;
            };
            let (endpoint, log, leader) = (self.endpoint.clone(), self.log(), leader.to_string());
            tokio::spawn(async move {
                let ask = Ask::Announce(Upstream {
                    phase: Phase::Draining,
                    ..known
                });
                let asked_at = log.clock.now();
                let request = Request::Directory(ask);
                // It isn't asked again: this host keeps to it in any case, and the upstream announces it too.
                if let Err(e) = endpoint.call(&leader, request, ANSWER_TIMEOUT).await {
                    log.unanswered(&leader, &e.current_context().to_string(), asked_at);
                }
            });
        }
    }

    async fn ask(&self, host: &str) -> Found {
        self.tell_leaving(host);
        let mut ask = self.follow();
        if let Ask::Follow { counts, speeds, .. } = &mut ask {
            *counts = self.counter.take();
            *speeds = self.peers.take_speeds();
        }
        exchange(&self.endpoint, &self.log(), host.to_string(), ask).await
    }

    fn log(&self) -> AskLog {
        AskLog {
            recorder: self.recorder.clone(),
            clock: self.clock,
            view: self.view.subscribe(),
            outage: self.outage.clone(),
        }
    }

    fn follow(&self) -> Ask {
        Ask::Follow {
            host: self.host.clone(),
            have: self.view.borrow().versions,
            counts: Vec::new(),
            speeds: Vec::new(),
        }
    }

    fn publish(&self, update: Update, asked_at: Mono) {
        let before = self.view.borrow().clone();
        let offered = update.config.as_ref().map(|c| (c.version, c.base));
        let next = Arc::new(before.updated(update, asked_at));
        if let Some((version, base)) = offered.filter(|o| o.0 > next.versions.config) {
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
            });
        }
        self.view.send_replace(next.clone());
        if next.versions.upstreams != before.versions.upstreams {
            self.peers.retain(&next);
        }
    }
}

enum Found {
    /// From whom, what, and when it was asked for.
    Update(String, Box<Update>, Mono),
    Elsewhere(String),
    Nothing,
}

/// Tells why requests ended without an update.
struct AskLog {
    recorder: Recorder,
    clock: Clock,
    view: watch::Receiver<Arc<View>>,
    outage: Arc<Outage>,
}

impl AskLog {
    fn unanswered(&self, asked: &str, reason: &str, asked_at: Mono) {
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

async fn exchange(endpoint: &Endpoint, log: &AskLog, host: String, ask: Ask) -> Found {
    let asked_at = log.clock.now();
    let request = Request::Directory(ask);
    let answer = endpoint.call_while_receiving(&host, request, ANSWER_TIMEOUT, ANSWER_LIMIT);
    match answer.await {
        Ok(Response::Directory(Reply::Update(update))) => Found::Update(host, update, asked_at),
        Ok(Response::Directory(Reply::NotLeader(Some(leader)))) => Found::Elsewhere(leader),
        Ok(answer) => {
            if let Response::Directory(Reply::NotLeader(None)) = answer {
                log.outage.note_leaderless(log.clock.now());
            }
            log.unanswered(&host, "no leader known", asked_at);
            Found::Nothing
        }
        Err(e) => {
            log.unanswered(&host, &e.current_context().to_string(), asked_at);
            Found::Nothing
        }
    }
}
