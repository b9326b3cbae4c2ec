//! Keeps requests that end upstreams from being sent again: the shared [`SuspectBook`], the reports to the
//! directory's leader, and trials.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{watch, Notify};

use crate::clock::{unix_ms, Clock, Mono};
use crate::directory::model::Incarnation;
use crate::directory::protocol::{DirectoryRequest, Reply, Update};
use crate::directory::suspects::{BrokenRequest, SuspectId};
use crate::event::{Event, Recorder};
use crate::lock::lock;
use crate::transport::Endpoint;
use crate::wire::{Request, Response};

use super::crash_watch::CrashSink;
use super::metrics::Metrics;
use super::suspect_book::{SuspectBook, Verdict};

/// The reason for refusing a request in quarantine.
pub const UPSTREAMS_ENDED: &str = "upstreams ended while they ran this request";
/// The reason for refusing a request that is sent only as a trial.
pub const UPSTREAMS_ENDED_ON_TRIAL: &str =
    "upstreams ended while they had this request, which is on trial";
/// Timeout of a report to the leader.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a report is sent again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a request for a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long no other trial of a request is asked for while one is, or without a leader, in milliseconds.
const TRIAL_ASK_INTERVAL_MS: u64 = 500;
/// Time after the end of a trial in which it is found out whether its upstream ended, in milliseconds.
const TRIAL_MARGIN_MS: u64 = 500;

/// The suspected requests of this entry host.
#[derive(Debug)]
pub struct Suspects {
    host: String,
    endpoint: Endpoint,
    clock: Clock,
    recorder: Recorder,
    metrics: Arc<Metrics>,
    book: Mutex<SuspectBook>,
    /// Whether any request is suspected. While none is, no digest is made.
    is_used: AtomicBool,
    leader: watch::Sender<Option<String>>,
    has_reports: Notify,
    /// The version of the leader's list, for requests that wait for a change.
    version: watch::Sender<u64>,
}

impl Suspects {
    /// Returns an empty set. `host` is this host's name.
    pub fn new(
        host: String,
        endpoint: Endpoint,
        clock: Clock,
        recorder: Recorder,
        metrics: Arc<Metrics>,
    ) -> Suspects {
        Suspects {
            host,
            endpoint,
            clock,
            recorder,
            metrics,
            book: Mutex::default(),
            is_used: AtomicBool::new(false),
            leader: watch::Sender::new(None),
            has_reports: Notify::new(),
            version: watch::Sender::new(0),
        }
    }

    /// Sets the address of the directory's leader.
    pub fn set_leader(&self, leader: Option<&String>) {
        self.leader.send_if_modified(|known| {
            let is_new = known.as_ref() != leader;
            *known = leader.cloned();
            is_new
        });
    }

    /// Returns the version of the leader's list.
    pub fn version(&self) -> u64 {
        lock(&self.book).version()
    }

    /// Returns a channel that tells when the leader's list changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Takes over the leader's list.
    pub fn learn(&self, update: &Update) {
        let (version, on_trial, quarantined) = {
            let mut book = lock(&self.book);
            if !book.learn(update) {
                return;
            }
            self.is_used.store(!book.is_empty(), Ordering::Relaxed);
            let (on_trial, quarantined) = book.counts();
            (book.version(), on_trial, quarantined)
        };
        self.metrics.suspects_on_trial.set(on_trial as i64);
        self.metrics.suspects_quarantined.set(quarantined as i64);
        self.recorder.record(Event::SuspectsListed {
            on_trial,
            quarantined,
            version,
        });
        self.version.send_replace(version);
    }

    /// Reports whether requests to a service have to be compared with suspected ones.
    pub fn has_suspects_of(&self, service: &str) -> bool {
        self.is_used.load(Ordering::Relaxed) && lock(&self.book).has_suspects_of(service)
    }

    /// Returns how a request is to be treated.
    pub fn verdict(&self, id: &SuspectId, now: Mono) -> Verdict {
        lock(&self.book).verdict(id, now)
    }

    /// Describes the ends of upstreams that had a request, for the log.
    pub fn describe_crashes(&self, id: &SuspectId) -> String {
        let book = lock(&self.book);
        let crashes = book.crashes_of(id).iter();
        let texts = crashes.map(|c| format!("{} (by {} at {})", c.upstream.id, c.host, c.at_ms));
        texts.collect::<Vec<_>>().join("; ")
    }

    /// Asks the leader for a trial that takes up to `for_ms`. The error is the time until one may begin, in
    /// milliseconds.
    pub async fn begin_trial(&self, id: &SuspectId, for_ms: u64) -> Result<(), u64> {
        // Other requests of the same kind don't ask meanwhile.
        let now = self.clock.now();
        lock(&self.book).record_no_trial(id, TRIAL_ASK_INTERVAL_MS, now);
        let leader = self.leader.borrow().clone();
        let Some(leader) = leader else {
            return Err(TRIAL_ASK_INTERVAL_MS);
        };
        let request = Request::Directory(DirectoryRequest::BeginTrial {
            id: id.clone(),
            for_ms: for_ms + TRIAL_MARGIN_MS,
        });
        let reply = self.endpoint.call(&leader, request, TRIAL_TIMEOUT).await;
        let now = self.clock.now();
        match reply {
            Ok(Response::Directory(Reply::Done)) => {
                lock(&self.book).record_no_trial(id, for_ms, now);
                Ok(())
            }
            Ok(Response::Directory(Reply::NoTrial { wait_ms })) => {
                lock(&self.book).record_no_trial(id, wait_ms, now);
                Err(wait_ms)
            }
            Ok(Response::Directory(Reply::NotSuspected)) => {
                lock(&self.book).record_not_suspected(id);
                Err(TRIAL_ASK_INTERVAL_MS)
            }
            // A trial that may have begun ends by itself.
            Ok(_) | Err(_) => Err(TRIAL_ASK_INTERVAL_MS),
        }
    }

    /// Records that an upstream answered a request.
    pub fn record_answer(&self, id: &SuspectId, upstream: &Incarnation, is_trial: bool) {
        let mut book = lock(&self.book);
        if book.record_answer(id, upstream, is_trial) {
            self.metrics.suspects_acquitted.inc();
            self.has_reports.notify_one();
        }
        self.is_used.store(!book.is_empty(), Ordering::Relaxed);
    }

    /// Records that a request that was to be tried wasn't run.
    pub fn record_unused_trial(&self, id: &SuspectId) {
        lock(&self.book).record_unused_trial(id);
        self.has_reports.notify_one();
    }

    /// Sends reports to the leader until the process ends.
    pub async fn run(&self) {
        let mut unanswered_since: Option<Mono> = None;
        loop {
            if !lock(&self.book).has_reports() {
                self.has_reports.notified().await;
                continue;
            }
            let reports = lock(&self.book).take_reports();
            let request = Request::Directory(DirectoryRequest::ReportCrashes {
                host: self.host.clone(),
                crashes: reports.crashes.clone(),
                acquittals: reports.acquittals.clone(),
                unused_trials: reports.unused_trials.clone(),
            });
            let leader = self.leader.borrow().clone();
            let reply = match leader {
                Some(leader) => self
                    .endpoint
                    .call(&leader, request, REPORT_TIMEOUT)
                    .await
                    .ok(),
                None => None,
            };
            if let Some(Response::Directory(Reply::Done)) = reply {
                unanswered_since = None;
                lock(&self.book).record_reported();
                continue;
            }
            let now = self.clock.now();
            if unanswered_since.is_none() {
                self.recorder.record(Event::CrashReportsUnanswered {
                    reports: reports.len() as u64,
                    waited_ms: REPORT_TIMEOUT.as_millis() as u64,
                });
            }
            unanswered_since.get_or_insert(now);
            let dropped = {
                let mut book = lock(&self.book);
                book.put_back(reports);
                book.take_dropped()
            };
            if dropped > 0 {
                let event = Event::CrashReportsDropped { count: dropped };
                self.recorder.record(event);
            }
            tokio::time::sleep(REPORT_RETRY_DELAY).await;
        }
    }
}

impl CrashSink<BrokenRequest> for Suspects {
    fn record_crash(&self, service: &str, upstream: &Incarnation, requests: Vec<BrokenRequest>) {
        let now = self.clock.now();
        lock(&self.book).record_crash(service, upstream, requests, unix_ms(), now);
        self.is_used.store(true, Ordering::Relaxed);
        self.has_reports.notify_one();
    }
}
