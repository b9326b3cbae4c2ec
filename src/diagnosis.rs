//! Tells from logs what became of a request, and why.
//!
//! A request's own lines say what its entry host did and believed. What stands around them tells why
//! that was so: registrations, owners, calls that failed, leaders, configurations.

mod cause;
mod words;

use std::collections::BTreeSet;

use crate::clock::HybridTime;
use crate::event::{Event, EventRecord};

pub use words::sentence;

/// How far before a request its surroundings are looked at, in milliseconds: longer than a hold, an
/// election and the longest time for which an upstream is passed over.
const LOOK_BACK_MS: u64 = 10_000;
/// How far after it: a change of owner may be decided before and logged after.
const LOOK_AHEAD_MS: u64 = 500;

/// One line of an account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When.
    pub time: HybridTime,
    /// On which host.
    pub host: String,
    /// What happened or was believed, in words.
    pub text: String,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnosis {
    /// What was done and what stood around it, in causal order.
    pub lines: Vec<Line>,
    /// Why it ended as it did, in one paragraph.
    pub cause: String,
}

/// The end of a request, as its entry host logged it.
#[derive(Clone, Debug, Default)]
struct End<'a> {
    host: &'a str,
    at_ms: u64,
    began_ms: u64,
    service: &'a str,
    key: Option<u16>,
    upstreams: BTreeSet<&'a str>,
}

/// Returns the account of a request, or `None` when no line names it.
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
    let own: Vec<&EventRecord> = events
        .iter()
        .filter(|s| request_of(&s.event) == Some(request))
        .collect();
    let last = own.iter().rev().find(|s| end_of(s).is_some());
    let last = last.or(own.last())?;
    let mut end = end_of(last).unwrap_or(End {
        host: &last.host,
        at_ms: last.time.wall_ms,
        began_ms: last.time.wall_ms,
        ..End::default()
    });
    for stamped in &own {
        if let Event::AttemptFailed { upstream, .. } = &stamped.event {
            end.upstreams.insert(upstream);
        }
    }
    add_owners(events, &mut end);
    let mut around: Vec<&EventRecord> = surroundings(events, &end);
    let cause = cause::cause_of(&own, &around, events, &end);
    around.extend(&own);
    around.sort_by(|a, b| (a.time, &a.host).cmp(&(b.time, &b.host)));
    let lines = around.into_iter().map(|stamped| Line {
        time: stamped.time,
        host: stamped.host.clone(),
        text: sentence(&stamped.event),
    });
    Some(Diagnosis {
        lines: lines.collect(),
        cause,
    })
}

/// Returns the request that an event is about.
pub fn request_of(event: &Event) -> Option<&str> {
    match event {
        Event::RequestFailed { request, .. }
        | Event::AttemptFailed { request, .. }
        | Event::RequestServed { request, .. }
        | Event::RequestAbandoned { request, .. }
        | Event::RequestRejected { request, .. } => Some(request),
        _ => None,
    }
}

fn end_of(stamped: &EventRecord) -> Option<End<'_>> {
    let (service, key, upstreams, waited_ms) = match &stamped.event {
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
    Some(End {
        host: &stamped.host,
        at_ms: stamped.time.wall_ms,
        began_ms: stamped.time.wall_ms.saturating_sub(waited_ms),
        service,
        key,
        upstreams,
    })
}

/// Adds the owners that the key had in the time that is looked at.
fn add_owners<'a>(events: &'a [EventRecord], end: &mut End<'a>) {
    let mut before = None;
    for stamped in events {
        let at_ms = stamped.time.wall_ms;
        if at_ms > end.at_ms + LOOK_AHEAD_MS {
            break;
        }
        if let Some(owner) = assigned(&stamped.event, end) {
            if at_ms + LOOK_BACK_MS < end.began_ms {
                before = Some(owner);
            } else {
                end.upstreams.insert(owner);
            }
        }
    }
    end.upstreams.extend(before);
}

/// Returns the owner that an event gives to the request's key.
fn assigned<'a>(event: &'a Event, end: &End<'_>) -> Option<&'a str> {
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

/// Returns the events that bear on a request, each once though several replicas tell it.
fn surroundings<'a>(events: &'a [EventRecord], end: &End<'a>) -> Vec<&'a EventRecord> {
    let mut found: Vec<&EventRecord> = Vec::new();
    let mut earlier: Vec<&EventRecord> = Vec::new();
    for stamped in events {
        let at_ms = stamped.time.wall_ms;
        if at_ms > end.at_ms + LOOK_AHEAD_MS {
            break;
        }
        if !bears_on(stamped, end) {
            continue;
        }
        if at_ms + LOOK_BACK_MS >= end.began_ms {
            let is_told = found.iter().any(|f| f.event == stamped.event);
            if !is_told {
                found.push(stamped);
            }
            continue;
        }
        // Of what lies further back, the newest of each kind and subject still holds.
        if let Some(subject) = standing(&stamped.event) {
            earlier.retain(|e| standing(&e.event) != Some(subject.clone()));
            earlier.push(stamped);
        }
    }
    earlier.extend(found);
    earlier
}

/// Names what an event sets until a later one sets it anew.
fn standing(event: &Event) -> Option<(u16, String)> {
    let number = event.description().number;
    match event {
        Event::RoutesInForce { .. } | Event::DirectoryFollowed { .. } => {
            Some((number, String::new()))
        }
        Event::UpstreamRegistered { upstream, .. } => Some((number, upstream.clone())),
        Event::KeysAssigned { .. } => Some((number, String::new())),
        _ => None,
    }
}

fn bears_on(stamped: &EventRecord, end: &End<'_>) -> bool {
    let is_here = stamped.host == end.host;
    match &stamped.event {
        Event::RoutesInForce { .. }
        | Event::DirectoryFollowed { .. }
        | Event::DirectoryLost { .. }
        | Event::ProcessStarted { .. }
        | Event::ProcessStopping { .. }
        | Event::SettingsRefused { .. }
        | Event::RequestsUnlogged { .. } => is_here,
        Event::UpstreamEjected { upstream, .. } | Event::UpstreamReadmitted { upstream } => {
            is_here && end.upstreams.contains(upstream.as_str())
        }
        Event::UpstreamRegistered { upstream, .. } | Event::UpstreamDeregistered { upstream } => {
            end.upstreams.contains(upstream.as_str())
        }
        Event::CallFailed {
            upstream, from, to, ..
        } => {
            let is_of_key = end.key.is_some_and(|key| (*from..=*to).contains(&key));
            is_of_key && end.upstreams.contains(upstream.as_str())
        }
        Event::KeysAssigned { .. } => assigned(&stamped.event, end).is_some(),
        Event::LeaderElected { .. }
        | Event::LeaderLost { .. }
        | Event::StorageFailed { .. }
        | Event::FolderReplaced { .. } => end.key.is_some() || end.service.is_empty(),
        _ => false,
    }
}
