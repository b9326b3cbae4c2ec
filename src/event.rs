//! Numbered events. Every log line and every entry of the timeline is an event.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use slog::Logger;

use crate::clock::{HybridClock, HybridTime};

/// Maximum number of events that a process keeps for the timeline.
const TIMELINE_EVENTS_MAX: usize = 8192;

/// How an event matters to an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Normal operation.
    Info,
    /// A failure that was handled.
    Warning,
    /// A failure that needs an operator.
    Error,
}

/// An entry of the event catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventDescription {
    /// The event's number.
    pub number: u16,
    /// The event's name.
    pub name: &'static str,
    /// The event's severity.
    pub severity: Severity,
    /// What the event means.
    pub text: &'static str,
}

macro_rules! events {
    ($($number:literal $severity:ident $name:ident $text:literal
        { $($field:ident : $type:ty),* $(,)? })*) => {
        /// An event in one process.
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[allow(missing_docs)]
        pub enum Event {
            $(#[doc = $text] $name { $($field: $type),* },)*
        }

        /// All events, ordered by number.
        pub const CATALOGUE: &[EventDescription] = &[
            $(EventDescription {
                number: $number,
                name: stringify!($name),
                severity: Severity::$severity,
                text: $text,
            }),*
        ];

        impl Event {
            /// Returns the event's catalogue entry.
            pub fn description(&self) -> EventDescription {
                match self {
                    $(Event::$name { .. } => EventDescription {
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
    100 Info ProcessStarted "A process started." { role: String, version: String }
    101 Info ProcessStopping "A process was asked to stop and finishes the requests in flight." { in_flight: u64 }
    102 Warning ChildRestarted "A supervised task ended and was started again." { child: String, reason: String }
    110 Info CellFounded "The founding voters of a cell agreed on their identities." { cell: String, voters: Vec<String> }
    111 Info LeaderElected "This replica became the leader of its cell." { cell: String, term: u64 }
    112 Warning LeaderLost "This replica no longer leads its cell." { cell: String, term: u64 }
    113 Info SnapshotTaken "The log was compacted into a snapshot." { cell: String, index: u64, bytes: u64 }
    114 Info SnapshotInstalled "A replica that had fallen behind installed a snapshot." { cell: String, index: u64 }
    115 Warning TornRecord "The log ended in a truncated record, which was never acknowledged." { cell: String, bytes: u64 }
    116 Info MembershipChanged "The membership of a cell changed." { cell: String, voters: Vec<String>, learners: Vec<String> }
    117 Error FolderRefused "A data folder is damaged and was not used." { cell: String, reason: String }
    120 Info UpstreamAnnounced "An upstream announced itself." { cell: String, upstream: String, id: u32 }
    121 Info UpstreamLeaving "An upstream is leaving and asked for no new requests." { cell: String, upstream: String }
    122 Warning UpstreamForgotten "An upstream's grant expired and its record was removed." { cell: String, upstream: String }
    130 Info SlotsFrozen "Slots are no longer served, ahead of a change of owner." { cell: String, service: String, slots: String, upstream: String, version: u64 }
    131 Info SlotsAssigned "Slots were assigned to an owner." { cell: String, service: String, slots: String, upstream: String, version: u64 }
    132 Info KeyPinned "A hot key was pinned to a slot of its own." { cell: String, service: String, key: String }
    133 Info KeyUnpinned "A key that is no longer hot was returned to its hash slot." { cell: String, service: String, key: String }
    140 Info DocumentDecided "A configuration document was accepted for its number." { number: u64, digest: String }
    141 Info DocumentInstalled "A configuration document is in force in a cell." { cell: String, number: u64 }
    142 Warning DocumentRefused "A configuration document was refused; nothing changed." { number: u64, reason: String }
    150 Info RouteLeaseGained "An entry host acquired the routing lease of a cell." { cell: String, version: u64 }
    151 Warning RouteLeaseLost "An entry host's routing lease expired; keyed requests are refused." { cell: String }
    152 Warning RequestsAborted "Requests to the owner of frozen slots were aborted so that the slots can move." { upstream: String, count: u64 }
    153 Info DocumentInForce "A configuration document is in force on an entry host." { cell: String, number: u64 }
    160 Warning UpstreamEjected "An upstream failed in this host's own observation and gets no new requests for a while." { upstream: String, reason: String }
    161 Info UpstreamReadmitted "An ejected upstream receives requests again." { upstream: String }
    162 Warning ConnectionSilent "An open connection stopped responding; the upstream's idle connections were closed." { upstream: String }
    163 Info LeavingSeen "An upstream announced in a response that it is leaving; this host sends it no more requests." { upstream: String }
    164 Info RestAsked "An upstream refused a request and asked this host to send none for a while." { upstream: String, rest_ms: u64 }
    165 Info RateLimitChanged "The rate limit of an upstream changed on this host; 0 means none." { upstream: String, from_milli_per_s: u64, to_milli_per_s: u64 }
    166 Warning RateLimitMalformed "An upstream named a rate limit that can't be read; the limit before it stays." { upstream: String, value: String, milli_per_s: u64 }
    167 Info RateLimitedTraffic "Requests of this host for an upstream with a rate limit since the previous event of this kind." { upstream: String, over_ms: u64, milli_per_s: u64, sent: u64, permits: u64, refused: u64 }
    168 Warning PermitsUnanswered "The directory's leader doesn't answer requests for permits; requests that only upstreams with a rate limit may run are refused." { waited_ms: u64 }
    169 Info ColdUpstreamsChanged "Upstreams with a limit for cold ones became cold or warm for this host; a few of each are named." { cold: u64, became_cold: u64, became_warm: u64, names: String, warm_names: String }
    170 Warning PeerRefused "A process without a certificate of the deployment was refused." { address: String, reason: String }
    171 Warning PeerUnreachable "A process can't be reached." { host: String, reason: String }
    172 Warning MessageRefused "A message from another process couldn't be read." { reason: String }
    200 Info RoutesDecided "A route configuration was decided." { version: u64, routes: u64 }
    201 Warning RoutesRefused "A route configuration was refused; nothing changed." { reason: String }
    202 Info RoutesInForce "A route configuration is in force on an entry host." { version: u64, routes: u64, before: u64, unconfirmed_ms: u64 }
    203 Info UpstreamRegistered "The registration of an upstream changed." { upstream: String, born_ms: u64, service: String, phase: String }
    204 Info UpstreamDeregistered "An upstream announced that it is leaving." { upstream: String }
    205 Info KeysAssigned "A range of keys was assigned to an owner." { service: String, from: u16, to: u16, owner: String, fence: u64 }
    206 Warning CallFailed "A call to an upstream about its keys failed." { term: u64, number: u64, upstream: String, address: String, order: String, from: u16, to: u16, fence: u64, result: String }
    207 Info DirectoryFollowed "An entry host follows a leader of the directory." { leader: String }
    208 Warning DirectoryLost "An entry host has no leader of the directory to follow and continues with its last known state." { age_ms: u64 }
    209 Warning StorageFailed "The data folder failed; the replica restarts from its stored state." { reason: String }
    210 Warning FolderReplaced "A data folder was damaged; the replica's files in it were deleted, and it joins under a new identity." { reason: String }
    211 Info LeaderWorked "Activity of the directory's leader since the previous event of this kind." { over_ms: u64, upstreams: u64, ranges: u64, grants: u64, releases: u64, failed: String, updates: u64, answers: u64, messages: u64, waiting: u64, delay_max_ms: u64, connections: u64, handshakes_failed: u64 }
    212 Warning CallsUnlogged "Events about failed calls were omitted to bound the log." { count: u64 }
    213 Info RateLimitReported "An entry host reported that the rate limit of an upstream changed; 0 means none." { upstream: String, from_milli_per_s: u64, to_milli_per_s: u64, age_ms: u64 }
    214 Info PermitsIssued "Permits for an upstream with a rate limit since the previous event of this kind." { upstream: String, over_ms: u64, milli_per_s: u64, issued: u64, refused: u64 }
    215 Info ColdnessChanged "An upstream with a limit for cold ones became cold or warm, by the registration with this sequence number; 0 means none." { upstream: String, born_ms: u64, is_cold: bool, sequence: u64, milli_per_s: u64 }
    220 Warning RequestFailed "A request ended without a complete answer from an upstream." { request: String, route: String, service: String, key: Option<u16>, status: u16, reason: String, retry_after_ms: Option<u64>, patience_ms: u64, objective_ms: u64, before_ms: u64, upstreams: String, considered: Option<String>, expected_ms: Option<u64>, way_ms: u64, load_age_ms: Option<u64>, service_time_percent: Option<u64>, owner_wait_ms: u64, waited_ms: u64, config: u64, owners: u64, age_ms: u64 }
    221 Warning AttemptFailed "An attempt to get an answer from one upstream failed." { request: String, upstream: String, fence: u64, reason: String, sent: bool, expected_ms: u64, load_age_ms: Option<u64>, waited_ms: u64 }
    222 Warning RequestsUnlogged "Events about requests were omitted to bound the log." { count: u64 }
    223 Info SettingsChanged "The settings file changed and was reloaded." { seeds: String }
    224 Warning SettingsRefused "The settings file changed but can't be used; the previous settings stay in force." { reason: String }
    225 Info RequestServed "A request was answered by an upstream; only a sample of these events is logged." { request: String, route: String, service: String, key: Option<u16>, status: u16, upstream: String, distance: String, bytes: u64, fence: u64, attempts: u64, owner_wait_ms: u64, expected_ms: u64, load_age_ms: Option<u64>, waited_ms: u64, config: u64, owners: u64, age_ms: u64 }
    226 Warning RequestAbandoned "A caller disconnected before the answer; the request was abandoned." { request: String, route: String, service: String, key: Option<u16>, upstreams: String, waited_ms: u64, config: u64, owners: u64, age_ms: u64 }
    227 Warning RequestRejected "A request was rejected before an upstream was chosen." { request: String, host: String, path: String, status: u16, reason: String, waited_ms: u64, config: u64, age_ms: u64 }
    228 Info TrafficCounted "Activity of an entry host since the previous event of this kind." { over_ms: u64, answered: u64, refused: u64, failed: u64, abandoned: u64, repeats: u64, in_flight: u64, p50_ms: u64, p99_ms: u64, zone_kib: u64, region_kib: u64, far_kib: u64, reasons: String, config: u64, owners: u64, age_ms: u64 }
    229 Warning MetricsUnavailable "Metrics can't be served; the process continues without them." { address: String, reason: String }
    230 Warning DirectoryUnanswered "An entry host's request to the directory ended without an update." { asked: String, reason: String, waited_ms: u64, config: u64, age_ms: u64 }
    231 Warning RoutesUnmatched "An entry host skipped a route configuration that is based on another version than the one in use." { version: u64, base: u64, config: u64 }
    232 Warning RequestBroken "A connection ended while an upstream had a request; the digest is the same whenever this request comes." { request: String, service: String, digest: String, upstream: String, born_ms: u64 }
    233 Warning UpstreamEnded "An upstream ended while it had requests of this host." { upstream: String, born_ms: u64, evidence: String, requests: u64, waited_ms: u64 }
    234 Info BreakNotACrash "Connections to an upstream broke, but it isn't known to have ended." { upstream: String, born_ms: u64, evidence: String, requests: u64, waited_ms: u64 }
    235 Warning SuspectChanged "A report of an entry host changed how a request is treated that upstreams had when they ended." { service: String, digest: String, from: String, to: String, crashes: u64, reported_by: String }
    236 Info TrialBegun "A suspected request may be sent once more, by one entry host." { service: String, digest: String, number: u64 }
    237 Info SuspectCleared "An operator dropped all suspicions against a request." { service: String, digest: String }
    238 Warning SuspectRefused "A request was refused because upstreams ended while they had it." { request: String, service: String, digest: String, stage: String, crashes: String, version: u64, retry_after_ms: u64 }
    239 Warning CrashReportsUnanswered "The directory's leader doesn't answer reports of upstreams that ended; they are sent again." { reports: u64, waited_ms: u64 }
    240 Warning CrashReportsDropped "Reports of upstreams that ended were dropped to bound memory." { count: u64 }
    241 Info SuspectsListed "The requests that this host sends only as trials changed." { on_trial: u64, quarantined: u64, version: u64 }
    242 Warning AcceptFailed "A connection couldn't be accepted." { reason: String }
    243 Warning AckedWithoutHosts "A change was acknowledged although entry hosts that follow the directory don't have it yet." { change: String, version: u64, waited_ms: u64, hosts: u64, names: String, leads_for_ms: u64 }
    250 Warning EvacuationBegun "The evacuation of an availability zone was decided: its upstreams get no requests and no keys." { zone: String, upstreams: u64 }
    251 Info EvacuationFinished "The end of the evacuation of an availability zone was decided." { zone: String, upstreams: u64 }
    252 Warning EvacuationRefused "A call named an availability zone that isn't in the settings; nothing changed." { zone: String }
    253 Info EvacuationsInForce "The evacuated availability zones changed on an entry host; empty means none." { zones: String, upstreams: u64, version: u64, before: u64, unconfirmed_ms: u64 }
    254 Info KeysEvacuated "No key belongs to an upstream of an evacuated availability zone any more, apart from services without another upstream." { zones: String, version: u64, over_ms: u64 }
    260 Info OwnerRegionsChanged "The regions changed in which the directory's leader chooses owners of a service's keys; without upstreams there, owners may be in any region." { service: String, regions: String, is_restricted: bool, has_upstreams: bool, config: u64 }
    261 Warning RegionsWithoutUpstreams "The set of regions changed that a route allows and in which none of its services has a ready upstream." { count: u64, regions: String, config: u64 }
    262 Warning RoutesUnserved "The set of routes changed that have no ready upstream in their allowed regions; this entry host refuses their requests." { count: u64, routes: String, config: u64 }
    263 Warning LoadFigureIgnored "An upstream reported a service time in percent of the usual that is out of range; such figures of this process are ignored, and only the first is logged." { upstream: String, percent: u64 }
    264 Warning ResponsesUnread "Callers' connections were ended since the previous traffic summary because they left a response unread." { count: u64 }
    270 Info UpstreamFull "An upstream had no free capacity for a request and gets no new ones of this host for a while; it isn't ejected." { upstream: String, evidence: String, hold_ms: u64 }
    271 Info InferredLimitChanged "The directory's leader limits the requests for an upstream to what it can serve; 0 means none." { upstream: String, from_milli_per_s: u64, to_milli_per_s: u64 }
    272 Info LimitInferred "The leader limits the requests for an owner of keys to what it can serve, since more come; 0 means none." { upstream: String, from_milli_per_s: u64, to_milli_per_s: u64, demand_milli_per_s: u64 }
}

/// The maximum number of names that an event lists.
const NAMES_LISTED_MAX: usize = 8;

/// Joins names for a field of an event; further ones than the first eight are left out.
///
/// # Examples
///
/// ```
/// use carobreel::event::list_names;
///
/// let names = (1..=9).map(|n| n.to_string());
/// assert_eq!(list_names(names, ","), "1,2,3,4,5,6,7,8");
/// ```
pub fn list_names(names: impl IntoIterator<Item = String>, separator: &str) -> String {
    let listed: Vec<String> = names.into_iter().take(NAMES_LISTED_MAX).collect();
    listed.join(separator)
}

/// An event with its time and host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// When the event happened.
    pub time: HybridTime,
    /// The host that recorded the event.
    pub host: String,
    /// The event.
    pub event: Event,
}

/// Logs events and keeps the most recent ones for the timeline; clones share both.
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

    /// Returns the hybrid clock of the process.
    pub fn clock(&self) -> &HybridClock {
        &self.clock
    }

    /// Logs an event and adds it to the timeline.
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

    /// Returns the most recent events, oldest first.
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

/// Merges the events of several processes into causal order.
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
