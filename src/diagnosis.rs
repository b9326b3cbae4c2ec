//! Reconstructs from logs how a request ended, and why.
//!
//! The events of the request itself record what its entry host did and which configuration and
//! owners it used. Related events explain the outcome: registrations, changes of owner, failed
//! calls, elections and configurations.

mod cause;
mod describe;
mod evacuation;

use std::collections::BTreeSet;

use crate::clock::HybridTime;
use crate::event::{Event, EventRecord};

pub use describe::describe_event;

/// How long before a request related events are searched, in milliseconds: longer than a hold, an
/// election and the longest ejection of an upstream.
const LOOKBACK_MS: u64 = 10_000;
/// How long after a request related events are searched, in milliseconds: a change of owner may be
/// decided before the request ends and logged afterwards.
const LOOKAHEAD_MS: u64 = 500;

/// One event of a diagnosis.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiagnosisLine {
    /// When the event happened.
    pub time: HybridTime,
    /// The host that logged it.
    pub host: String,
    /// The event as a sentence.
    pub text: String,
}

/// How a request ended, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnosis {
    /// The request's own events and the related ones, in causal order.
    pub lines: Vec<DiagnosisLine>,
    /// The cause of the request's end, in one paragraph.
    pub cause: String,
}

/// The end of a request as its entry host logged it, with the upstreams that were involved.
#[derive(Clone, Debug, Default)]
struct RequestEnd<'a> {
    host: &'a str,
    time_ms: u64,
    start_ms: u64,
    service: &'a str,
    key: Option<u16>,
    upstreams: BTreeSet<&'a str>,
}

/// Returns the diagnosis of a request, or `None` if no event names the request.
///
/// # Examples
///
/// ```
/// use carobreel::clock::HybridTime;
/// use carobreel::diagnosis::diagnose;
/// use carobreel::event::{Event, EventRecord};
///
/// let rejected = EventRecord {
///     time: HybridTime { wall_ms: 1_000, counter: 0 },
///     host: "e1".to_string(),
///     event: Event::RequestRejected {
///         request: "77".to_string(),
///         host: "one.example".to_string(),
///         path: "/x".to_string(),
///         status: 404,
///         reason: "no route".to_string(),
///         waited_ms: 1,
///         config: 3,
///         age_ms: 20,
///     },
/// };
/// let diagnosis = diagnose(&[rejected], "77").unwrap();
/// assert!(diagnosis.cause.contains("configuration 3"));
/// assert!(diagnose(&[], "77").is_none());
/// ```
pub fn diagnose(events: &[EventRecord], request: &str) -> Option<Diagnosis> {
    let request_events: Vec<&EventRecord> = events
        .iter()
        .filter(|s| request_id(&s.event) == Some(request))
        .collect();
    let last = request_events
        .iter()
        .rev()
        .find(|s| request_end(s).is_some());
    let last = last.or(request_events.last())?;
    let mut end = request_end(last).unwrap_or(RequestEnd {
        host: &last.host,
        time_ms: last.time.wall_ms,
        start_ms: last.time.wall_ms,
        ..RequestEnd::default()
    });
    for record in &request_events {
        if let Event::AttemptFailed { upstream, .. } = &record.event {
            end.upstreams.insert(upstream);
        }
    }
    add_key_owners(events, &mut end);
    let mut related: Vec<&EventRecord> = related_events(events, &end);
    let cause = cause::find_cause(&request_events, &related, events, &end);
    related.extend(&request_events);
    related.sort_by(|a, b| (a.time, &a.host).cmp(&(b.time, &b.host)));
    let lines = related.into_iter().map(|record| DiagnosisLine {
        time: record.time,
        host: record.host.clone(),
        text: describe_event(&record.event),
    });
    Some(Diagnosis {
        lines: lines.collect(),
        cause,
    })
}

/// Returns the id of the request that an event is about.
pub fn request_id(event: &Event) -> Option<&str> {
    match event {
        Event::RequestFailed { request, .. }
        | Event::AttemptFailed { request, .. }
        | Event::RequestBroken { request, .. }
        | Event::SuspectRefused { request, .. }
        | Event::RequestServed { request, .. }
        | Event::RequestAbandoned { request, .. }
        | Event::RequestRejected { request, .. } => Some(request),
        _ => None,
    }
}

fn request_end(record: &EventRecord) -> Option<RequestEnd<'_>> {
    let (service, key, upstreams, waited_ms) = match &record.event {
        Event::RequestFailed {
            service,
            key,
            upstreams,
            considered,
            waited_ms,
            ..
        } => {
            let mut ids: BTreeSet<&str> = upstreams.split(',').collect();
            ids.extend(considered.as_deref());
            (service.as_str(), *key, ids, *waited_ms)
        }
        Event::RequestAbandoned {
            service,
            key,
            upstreams,
            waited_ms,
            ..
        } => (
            service.as_str(),
            *key,
            upstreams.split(',').collect(),
            *waited_ms,
        ),
        Event::RequestServed {
            service,
            key,
            upstream,
            waited_ms,
            ..
        } => (
            service.as_str(),
            *key,
            BTreeSet::from([upstream.as_str()]),
            *waited_ms,
        ),
        Event::RequestRejected { waited_ms, .. } => ("", None, BTreeSet::new(), *waited_ms),
        _ => return None,
    };
    let mut upstreams = upstreams;
    upstreams.remove("");
    Some(RequestEnd {
        host: &record.host,
        time_ms: record.time.wall_ms,
        start_ms: record.time.wall_ms.saturating_sub(waited_ms),
        service,
        key,
        upstreams,
    })
}

/// Adds the owners that the request's key had during the search window.
fn add_key_owners<'a>(events: &'a [EventRecord], end: &mut RequestEnd<'a>) {
    let mut owner_before = None;
    for record in events {
        let time_ms = record.time.wall_ms;
        if time_ms > end.time_ms + LOOKAHEAD_MS {
            break;
        }
        if let Some(owner) = assigned_owner(&record.event, end) {
            if time_ms + LOOKBACK_MS < end.start_ms {
                owner_before = Some(owner);
            } else {
                end.upstreams.insert(owner);
            }
        }
    }
    end.upstreams.extend(owner_before);
}

/// Returns the owner that an event assigns to the request's key.
fn assigned_owner<'a>(event: &'a Event, end: &RequestEnd<'_>) -> Option<&'a str> {
    let Event::KeysAssigned {
        service,
        from,
        to,
        owner,
        ..
    } = event
    else {
        return None;
    };
    let key = end.key?;
    (service == end.service && (*from..=*to).contains(&key)).then_some(owner)
}

/// Returns the events related to a request. An event that several replicas logged is included once.
fn related_events<'a>(events: &'a [EventRecord], end: &RequestEnd<'a>) -> Vec<&'a EventRecord> {
    let mut recent: Vec<&EventRecord> = Vec::new();
    let mut earlier: Vec<&EventRecord> = Vec::new();
    for record in events {
        let time_ms = record.time.wall_ms;
        if time_ms > end.time_ms + LOOKAHEAD_MS {
            break;
        }
        if !is_related(record, end) {
            continue;
        }
        if time_ms + LOOKBACK_MS >= end.start_ms {
            let is_duplicate = recent.iter().any(|r| r.event == record.event);
            if !is_duplicate {
                recent.push(record);
            }
            continue;
        }
        // Before the window, only the latest event of each kind and subject still applies.
        if let Some(subject) = lasting_subject(&record.event) {
            earlier.retain(|e| lasting_subject(&e.event) != Some(subject.clone()));
            earlier.push(record);
        }
    }
    earlier.extend(recent);
    earlier
}

/// Returns a key for events whose effect lasts until the next event with the same key.
fn lasting_subject(event: &Event) -> Option<(u16, String)> {
    let number = event.description().number;
    match event {
        Event::RoutesInForce { .. }
        | Event::DirectoryFollowed { .. }
        | Event::EvacuationsInForce { .. } => Some((number, String::new())),
        Event::EvacuationBegun { zone, .. } | Event::EvacuationFinished { zone, .. } => {
            Some((0, zone.clone()))
        }
        Event::UpstreamRegistered { upstream, .. } => Some((number, upstream.clone())),
        Event::KeysAssigned { .. } | Event::RoutesUnserved { .. } => Some((number, String::new())),
        Event::OwnerRegionsChanged { service, .. } => Some((number, service.clone())),
        _ => None,
    }
}

fn is_related(record: &EventRecord, end: &RequestEnd<'_>) -> bool {
    let is_same_host = record.host == end.host;
    match &record.event {
        Event::EvacuationBegun { .. } | Event::EvacuationFinished { .. } => true,
        Event::RoutesInForce { .. }
        | Event::EvacuationsInForce { .. }
        | Event::DirectoryFollowed { .. }
        | Event::DirectoryLost { .. }
        | Event::ProcessStarted { .. }
        | Event::ProcessStopping { .. }
        | Event::SettingsRefused { .. }
        | Event::RoutesUnserved { .. }
        | Event::RequestsUnlogged { .. } => is_same_host,
        Event::OwnerRegionsChanged { service, .. } => end.key.is_some() && service == end.service,
        Event::UpstreamEjected { upstream, .. }
        | Event::UpstreamFull { upstream, .. }
        | Event::InferredLimitChanged { upstream, .. }
        | Event::UpstreamReadmitted { upstream }
        | Event::UpstreamEnded { upstream, .. }
        | Event::BreakNotACrash { upstream, .. } => {
            is_same_host && end.upstreams.contains(upstream.as_str())
        }
        Event::UpstreamRegistered { upstream, .. }
        | Event::UpstreamDeregistered { upstream }
        | Event::LimitInferred { upstream, .. } => end.upstreams.contains(upstream.as_str()),
        Event::CallFailed {
            upstream, from, to, ..
        } => {
            let is_of_key = end.key.is_some_and(|key| (*from..=*to).contains(&key));
            is_of_key && end.upstreams.contains(upstream.as_str())
        }
        Event::KeysAssigned { .. } => assigned_owner(&record.event, end).is_some(),
        Event::LeaderElected { .. }
        | Event::LeaderLost { .. }
        | Event::StorageFailed { .. }
        | Event::FolderReplaced { .. } => end.key.is_some() || end.service.is_empty(),
        _ => false,
    }
}
