//! The upstreams as this entry host uses them: connections and load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use crate::clock::{Clock, Mono};
use crate::directory::ask::UpstreamSpeed;
use crate::directory::model::{Incarnation, Upstream};
use crate::entry::pool::ConnectionPool;
use crate::event::{Event, Recorder};
use crate::lock::lock;
use crate::pace::LinkPacers;

use super::balance::LoadView;
use super::metrics::Metrics;
use super::protocol::AnswerFacts;
use super::view::View;

/// The share of an upstream's connections that entry hosts use together; the rest is for probes and
/// for hosts that join.
const CONNECTIONS_USED_PERCENT: u32 = 80;

/// A first guess at how long an upstream works on a request, in milliseconds.
const WORK_GUESS_MS: f64 = 90.0;
/// The weight of a new sample in the running mean of a service's working time.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.02;

/// One upstream.
#[derive(Debug)]
pub struct Peer {
    /// Which process it is.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its connections.
    pub pool: ConnectionPool,
    service: String,
    load: Mutex<LoadView>,
    worked: Mutex<Worked>,
    /// Whether the directory says that it takes no work any more.
    is_withdrawn: AtomicBool,
}

/// Work that wasn't reported to the directory yet.
#[derive(Clone, Copy, Debug, Default)]
struct Worked {
    total_ms: f64,
    answers: u32,
}

impl Peer {
    fn note_work(&self, sample_ms: f64) {
        let mut worked = lock(&self.worked);
        worked.total_ms += sample_ms;
        worked.answers += 1;
    }

    /// Tells whether a request may be sent to it, by its own word and the directory's.
    pub fn takes_work(&self, now: Mono) -> bool {
        !self.is_withdrawn.load(Ordering::Relaxed) && self.load().takes_work(now)
    }

    /// Returns when a request sent now would be answered, in milliseconds; `None` while it is passed over, by
    /// its own word, the directory's, or for its failures.
    pub fn estimate(&self, now: Mono) -> Option<f64> {
        let is_withdrawn = self.is_withdrawn.load(Ordering::Relaxed);
        self.load().estimate(now).filter(|_| !is_withdrawn)
    }

    /// Returns the view of its load.
    pub fn load(&self) -> MutexGuard<'_, LoadView> {
        lock(&self.load)
    }
}

/// A request that is under way to an upstream.
#[derive(Debug)]
pub struct Place {
    peer: Arc<Peer>,
    /// Requests that the upstream had when this one was sent, this one included.
    total: f64,
    clock: Clock,
    began: Instant,
    is_settled: bool,
}

impl Place {
    /// Counts one more request to `peer` until the place is dropped.
    pub fn take(peer: &Arc<Peer>, clock: &Clock) -> Place {
        let mut load = peer.load();
        load.own += 1;
        let total = load.total(clock.now());
        Place {
            peer: peer.clone(),
            total,
            clock: *clock,
            began: Instant::now(),
            is_settled: false,
        }
    }

    /// Notes a whole answer, which took `way_ms` of its time on the way.
    pub fn succeed(&mut self, peers: &Peers, way_ms: u64) {
        self.is_settled = true;
        let took_ms = (self.took_ms() - way_ms as f64).max(1.0);
        let was_ejected = self.peer.load().was_ejected();
        if was_ejected {
            peers.note_readmitted(&self.peer);
        }
        let now = self.clock.now();
        let (sample_ms, work_ms) = {
            let mut load = self.peer.load();
            let work_ms = load.work_of(took_ms, self.total, now);
            (load.succeed(took_ms, self.total, now), work_ms)
        };
        self.peer.note_work(work_ms);
        peers.note_work(&self.peer.service, sample_ms);
    }

    /// Notes that the request didn't reach the upstream, or was refused there.
    pub fn settle(&mut self) {
        self.is_settled = true;
    }

    fn took_ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1_000.0
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut load = self.peer.load();
        load.own = load.own.saturating_sub(1);
        if self.is_settled {
            return;
        }
        let sample_ms = load.outlast(self.took_ms(), self.total, self.clock.now());
        drop(load);
        if let Some(sample_ms) = sample_ms {
            self.peer.note_work(sample_ms);
        }
    }
}

/// All upstreams in use, by id.
#[derive(Debug)]
pub struct Peers {
    recorder: Recorder,
    metrics: Arc<Metrics>,
    link: LinkPacers,
    /// Upstreams that leave by their own word, and of which the directory wasn't told yet.
    leaving: Mutex<Vec<Incarnation>>,
    by_id: Mutex<BTreeMap<String, Arc<Peer>>>,
    /// How long upstreams work on a request, by service, in milliseconds.
    work_ms: Mutex<BTreeMap<String, f64>>,
}

impl Peers {
    /// Returns no peers; what is passed over is recorded. What goes to and fro keeps to `link`.
    pub fn new(recorder: Recorder, metrics: Arc<Metrics>, link: LinkPacers) -> Peers {
        Peers {
            recorder,
            metrics,
            link,
            leaving: Mutex::default(),
            by_id: Mutex::default(),
            work_ms: Mutex::default(),
        }
    }

    /// Notes that an upstream failed a request.
    pub fn note_failure(&self, peer: &Peer, reason: &str, clock: &Clock) {
        if peer.load().fail(clock.now()) {
            self.note_ejected(peer, reason);
        }
    }

    /// Notes that no connection to an upstream could be opened.
    pub fn note_unreachable(&self, peer: &Peer, clock: &Clock) {
        peer.load().fail_to_connect(clock.now());
        self.note_ejected(peer, "can't connect");
    }

    fn note_ejected(&self, peer: &Peer, reason: &str) {
        self.metrics.ejections.inc();
        self.recorder.record(Event::UpstreamEjected {
            upstream: peer.incarnation.id.clone(),
            reason: reason.to_string(),
        });
    }

    fn note_readmitted(&self, peer: &Peer) {
        self.recorder.record(Event::UpstreamReadmitted {
            upstream: peer.incarnation.id.clone(),
        });
    }

    /// Returns an upstream's peer, which is made when it is first used.
    pub fn get(&self, upstream: &Upstream, view: &View) -> Arc<Peer> {
        let mut by_id = lock(&self.by_id);
        let id = &upstream.incarnation.id;
        if let Some(peer) = by_id.get(id) {
            let same = peer.incarnation == upstream.incarnation && peer.address == upstream.address;
            if same {
                peer.load().set_mean(self.work_ms(&upstream.service));
                return peer.clone();
            }
        }
        let service = view.service(&upstream.service);
        let all = service.map_or(1, |s| s.connections_max);
        let share = all * CONNECTIONS_USED_PERCENT / 100 / view.entry_hosts.max(1);
        let peer = Arc::new(Peer {
            incarnation: upstream.incarnation.clone(),
            zone: upstream.zone.clone(),
            address: upstream.address,
            pool: ConnectionPool::new(upstream.address, share as usize)
                .with_pacing(self.link.clone()),
            service: upstream.service.clone(),
            load: Mutex::new(LoadView::new(
                upstream.slots,
                self.work_ms(&upstream.service),
            )),
            worked: Mutex::default(),
            is_withdrawn: AtomicBool::new(false),
        });
        by_id.insert(id.clone(), peer.clone());
        peer
    }

    fn note_work(&self, service: &str, sample_ms: f64) {
        let mut by_service = lock(&self.work_ms);
        match by_service.get_mut(service) {
            Some(mean) => *mean += (sample_ms - *mean) * SERVICE_SAMPLE_WEIGHT,
            None => {
                by_service.insert(service.to_string(), sample_ms);
            }
        }
    }

    /// Returns how fast upstreams worked since the last call.
    pub fn take_speeds(&self) -> Vec<UpstreamSpeed> {
        let by_id = lock(&self.by_id);
        let mut speeds = Vec::new();
        for (id, peer) in by_id.iter() {
            let worked = std::mem::take(&mut *lock(&peer.worked));
            if worked.answers > 0 {
                speeds.push(UpstreamSpeed {
                    upstream: id.clone(),
                    total_ms: worked.total_ms as u32,
                    answers: worked.answers,
                });
            }
        }
        speeds
    }

    /// Returns how long upstreams of a service work on a request on average, in milliseconds.
    fn work_ms(&self, service: &str) -> f64 {
        let by_service = lock(&self.work_ms);
        by_service.get(service).copied().unwrap_or(WORK_GUESS_MS)
    }

    /// Notes what an upstream's answer says of its own state. It counts at once, without the directory.
    /// `refused` tells whether the answer turned the request away.
    pub fn note_word(&self, peer: &Peer, facts: &AnswerFacts, refused: bool, now: Mono) {
        let mut load = peer.load();
        if facts.is_leaving && load.leave() {
            self.recorder.record(Event::LeavingSeen {
                upstream: peer.incarnation.id.clone(),
            });
            lock(&self.leaving).push(peer.incarnation.clone());
        }
        if let Some(rest_ms) = facts.rest_ms.filter(|_| refused) {
            load.rest(rest_ms, now);
            self.recorder.record(Event::RestAsked {
                upstream: peer.incarnation.id.clone(),
                rest_ms,
            });
        }
    }

    /// Returns the upstreams that said in an answer that they leave, since the last call.
    pub fn take_leaving(&self) -> Vec<Incarnation> {
        std::mem::take(&mut lock(&self.leaving))
    }

    /// Drops the peers that `view` doesn't name any more, and withdraws those that take no work.
    pub fn retain(&self, view: &View) {
        let mut by_id = lock(&self.by_id);
        by_id.retain(|id, peer| {
            let is_live = view.live(&peer.incarnation).is_some();
            peer.is_withdrawn.store(!is_live, Ordering::Relaxed);
            view.has_upstream(id)
        });
    }
}
