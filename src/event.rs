//! Numbered events: every log line and every entry of the time line is one of them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use slog::Logger;

use crate::clock::{HybridClock, HybridTime};

/// Events that a process keeps for the time line.
const TIMELINE_EVENTS_MAX: usize = 8192;

/// How much an event matters to an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Part of normal work.
    Info,
    /// Something failed and was handled.
    Warning,
    /// Something needs a person.
    Error,
}

/// One line of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Description {
    /// The event's number.
    pub number: u16,
    /// Its name.
    pub name: &'static str,
    /// How much it matters.
    pub severity: Severity,
    /// What it means.
    pub text: &'static str,
}

macro_rules! events {
    ($($number:literal $severity:ident $name:ident $text:literal
        { $($field:ident : $type:ty),* $(,)? })*) => {
        /// Something that happened in one process.
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[allow(missing_docs)]
        pub enum Event {
            $(#[doc = $text] $name { $($field: $type),* },)*
        }

        /// Every event, by number.
        pub const CATALOGUE: &[Description] = &[
            $(Description {
                number: $number,
                name: stringify!($name),
                severity: Severity::$severity,
                text: $text,
            }),*
        ];

        impl Event {
            /// Returns the event's line of the catalogue.
            pub fn description(&self) -> Description {
                match self {
                    $(Event::$name { .. } => Description {
                        number: $number,
                        name: stringify!($name),
                        severity: Severity::$severity,
                        text: $text,
                    },)*
                }
            }
        }
    };
}

events! {
    100 Info ProcessStarted "A process serves." { role: String, version: String }
    101 Info ProcessStopping "A process was asked to stop and finishes what is in flight." { in_flight: u64 }
    102 Warning ChildRestarted "A supervised task ended and was started again." { child: String, reason: String }
    110 Info CellFounded "The founding voters of a cell agreed on their identities." { cell: String, voters: Vec<String> }
    111 Info LeaderElected "This replica leads its cell." { cell: String, term: u64 }
    112 Warning LeaderLost "This replica no longer leads its cell." { cell: String, term: u64 }
    113 Info SnapshotTaken "The log was replaced by a snapshot." { cell: String, index: u64, bytes: u64 }
    114 Info SnapshotInstalled "A replica that was far behind received a whole state." { cell: String, index: u64 }
    115 Warning TornRecord "The log ended in a record cut short, which was never acknowledged." { cell: String, bytes: u64 }
    116 Info MembershipChanged "The replicas of a cell changed." { cell: String, voters: Vec<String>, learners: Vec<String> }
    117 Error FolderRefused "A data folder is damaged and was not used." { cell: String, reason: String }
    120 Info UpstreamAnnounced "An upstream joined." { cell: String, upstream: String, id: u32 }
    121 Info UpstreamLeaving "An upstream asked for no new work." { cell: String, upstream: String }
    122 Warning UpstreamForgotten "An upstream's grant ran out and its record was dropped." { cell: String, upstream: String }
    130 Info SlotsFrozen "Slots stopped being served, ahead of a change of owner." { cell: String, service: String, slots: String, upstream: String, version: u64 }
    131 Info SlotsAssigned "Slots got an owner." { cell: String, service: String, slots: String, upstream: String, version: u64 }
    132 Info KeyPinned "A hot key got a slot of its own." { cell: String, service: String, key: String }
    133 Info KeyUnpinned "A key that cooled down went back to its hash slot." { cell: String, service: String, key: String }
    140 Info DocumentDecided "A configuration document won its number." { number: u64, digest: String }
    141 Info DocumentInstalled "A configuration document is in force in a cell." { cell: String, number: u64 }
    142 Warning DocumentRefused "A configuration document was refused; nothing changed." { number: u64, reason: String }
    150 Info RouteLeaseGained "An entry host may route for a cell." { cell: String, version: u64 }
    151 Warning RouteLeaseLost "An entry host's routing lease ran out; keyed requests are refused." { cell: String }
    152 Warning RequestsAborted "Requests to a frozen owner were cut off so that its slots can move." { upstream: String, count: u64 }
    153 Info DocumentInForce "An entry host uses a configuration document." { cell: String, number: u64 }
    160 Warning UpstreamEjected "An upstream failed in this host's own observation and gets no new work for a while." { upstream: String, reason: String }
    161 Info UpstreamReadmitted "An ejected upstream gets work again." { upstream: String }
    162 Warning ConnectionSilent "An open connection stopped answering; the upstream's idle ones were closed." { upstream: String }
    163 Info LeavingSeen "An upstream said in an answer that it leaves; this host sends it nothing more." { upstream: String }
    164 Info RestAsked "An upstream turned a request away and wants nothing from this host for a while." { upstream: String, rest_ms: u64 }
    170 Warning PeerRefused "A process without a certificate of the deployment was turned away." { address: String, reason: String }
    171 Warning PeerUnreachable "A process can't be reached." { host: String, reason: String }
    172 Warning MessageRefused "A message of another process could not be read." { reason: String }
    200 Info RoutesDecided "A route configuration is decided." { version: u64, routes: u64 }
    201 Warning RoutesRefused "A route configuration was refused; nothing changed." { reason: String }
    202 Info RoutesInForce "An entry host uses a route configuration." { version: u64, routes: u64 }
    203 Info UpstreamRegistered "What an upstream says of itself changed." { upstream: String, born_ms: u64, service: String, phase: String }
    204 Info UpstreamDeregistered "An upstream said that it leaves." { upstream: String }
    205 Info KeysAssigned "Keys got an owner." { service: String, from: u16, to: u16, owner: String, fence: u64 }
    206 Warning CallFailed "A call to an upstream about its keys wasn't answered." { number: u64, upstream: String, address: String, order: String, from: u16, to: u16, fence: u64, result: String }
    207 Info DirectoryFollowed "An entry host has a leader of the directory to follow." { leader: String }
    208 Warning DirectoryLost "An entry host has no leader of the directory and goes on with what it knows." { age_ms: u64 }
    209 Warning StorageFailed "The data folder failed; the replica starts again from what it stored." { reason: String }
    210 Warning FolderReplaced "A damaged data folder was set aside; the replica joins under a new identity." { reason: String }
    211 Info LeaderWorked "What a leader of the directory did since the last such line." { over_ms: u64, upstreams: u64, ranges: u64, grants: u64, releases: u64, failed: String, updates: u64, answers: u64, messages: u64, waiting: u64, delay_max_ms: u64, connections: u64, handshakes_failed: u64 }
    212 Warning CallsUnlogged "Lines about failed calls were left out to bound the log." { count: u64 }
    220 Warning RequestFailed "A request ended without an upstream's whole answer." { request: String, route: String, service: String, key: Option<u16>, status: u16, reason: String, retry_after_ms: Option<u64>, patience_ms: u64, objective_ms: u64, before_ms: u64, upstreams: String, considered: Option<String>, expected_ms: Option<u64>, way_ms: u64, load_age_ms: Option<u64>, owner_wait_ms: u64, waited_ms: u64, config: u64, owners: u64, age_ms: u64 }
    221 Warning AttemptFailed "A request couldn't be answered by one upstream." { request: String, upstream: String, fence: u64, reason: String, sent: bool, expected_ms: u64, load_age_ms: Option<u64>, waited_ms: u64 }
    222 Warning RequestsUnlogged "Lines about requests were left out to bound the log." { count: u64 }
    223 Info SettingsChanged "The settings file changed and was read again." { seeds: String }
    224 Warning SettingsRefused "The settings file changed and can't be used; the former settings stay." { reason: String }
    225 Info RequestServed "A request got an upstream's answer; a sample of them is written." { request: String, route: String, service: String, key: Option<u16>, status: u16, upstream: String, distance: String, bytes: u64, fence: u64, attempts: u64, owner_wait_ms: u64, expected_ms: u64, load_age_ms: Option<u64>, waited_ms: u64, config: u64, owners: u64, age_ms: u64 }
    226 Warning RequestAbandoned "A caller left before its answer; work for it ends." { request: String, route: String, service: String, key: Option<u16>, upstreams: String, waited_ms: u64, config: u64, owners: u64, age_ms: u64 }
    227 Warning RequestRejected "A request was ended before an upstream was looked for." { request: String, host: String, path: String, status: u16, reason: String, waited_ms: u64, config: u64, age_ms: u64 }
    228 Info TrafficCounted "What an entry host did since the last such line." { over_ms: u64, answered: u64, refused: u64, failed: u64, abandoned: u64, repeats: u64, in_flight: u64, p50_ms: u64, p99_ms: u64, zone_kib: u64, region_kib: u64, far_kib: u64, reasons: String, config: u64, owners: u64, age_ms: u64 }
    229 Warning MetricsUnavailable "Metrics can't be served; the process goes on without." { address: String, reason: String }
    230 Warning DirectoryUnanswered "An entry host's request to the directory ended without an update." { asked: String, reason: String, waited_ms: u64, config: u64, age_ms: u64 }
    231 Warning RoutesUnmatched "An entry host left a route configuration out: it changes another one than the one in use here." { version: u64, base: u64, config: u64 }
}

/// An event with its time and host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// When.
    pub time: HybridTime,
    /// On which host.
    pub host: String,
    /// What.
    pub event: Event,
}

/// Writes events to the log and keeps the newest for the time line; clones share both.
#[derive(Clone, Debug)]
pub struct Recorder {
    host: String,
    log: Logger,
    clock: Arc<HybridClock>,
    recent: Arc<Mutex<VecDeque<EventRecord>>>,
}

impl Recorder {
    /// Returns a recorder for a host.
    pub fn new(host: &str, log: Logger) -> Recorder {
        Recorder {
            host: host.to_string(),
            log,
            clock: Arc::default(),
            recent: Arc::default(),
        }
    }

    /// Returns the process's hybrid clock.
    pub fn clock(&self) -> &HybridClock {
        &self.clock
    }

    /// Records an event.
    pub fn record(&self, event: Event) {
        let record = EventRecord {
            time: self.clock.tick(),
            host: self.host.clone(),
            event,
        };
        self.write(&record);
        let mut recent = match self.recent.lock() {
            Ok(recent) => recent,
            Err(poisoned) => poisoned.into_inner(),
        };
        if recent.len() >= TIMELINE_EVENTS_MAX {
            recent.pop_front();
        }
        recent.push_back(record);
    }

    /// Returns the events kept.
    pub fn recent(&self) -> Vec<EventRecord> {
        let recent = match self.recent.lock() {
            Ok(recent) => recent,
            Err(poisoned) => poisoned.into_inner(),
        };
        recent.iter().cloned().collect()
    }

    fn write(&self, record: &EventRecord) {
        let description = record.event.description();
        let fields = serde_json::to_string(&record.event).unwrap_or_default();
        let values = slog::o!(
            "number" => description.number,
            "host" => record.host.clone(),
            "wall_ms" => record.time.wall_ms,
            "counter" => record.time.counter,
            "fields" => fields,
        );
        let log = self.log.new(values);
        match description.severity {
            Severity::Info => slog::info!(log, "{}", description.name),
            Severity::Warning => slog::warn!(log, "{}", description.name),
            Severity::Error => slog::error!(log, "{}", description.name),
        }
    }
}

/// Merges the events of several processes in causal order.
///
/// # Examples
///
/// ```
/// use carobreel::clock::HybridTime;
/// use carobreel::event::{merge_timelines, Event, EventRecord};
///
/// let at = |wall_ms, host: &str| EventRecord {
///     time: HybridTime { wall_ms, counter: 0 },
///     host: host.to_string(),
///     event: Event::ProcessStopping { in_flight: 0 },
/// };
/// let merged = merge_timelines(vec![vec![at(2, "b")], vec![at(1, "a")]]);
/// assert_eq!(merged[0].host, "a");
/// ```
pub fn merge_timelines(timelines: Vec<Vec<EventRecord>>) -> Vec<EventRecord> {
    let mut all: Vec<EventRecord> = timelines.into_iter().flatten().collect();
    all.sort_by(|a, b| (a.time, &a.host).cmp(&(b.time, &b.host)));
    all
}
