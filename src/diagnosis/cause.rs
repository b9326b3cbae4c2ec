//! Determines why a request ended as it did.

use crate::event::{Event, EventRecord};
use crate::gateway::allowed_regions::{NO_UPSTREAM_IN_REGIONS, OWNER_OUTSIDE_REGIONS};
use crate::gateway::evacuation::ALL_EVACUATED;
use crate::gateway::rate_limit::{UPSTREAM_AT_RATE_LIMIT, UPSTREAM_COLD};
use crate::gateway::selection::OWNER_FULL;
use crate::gateway::suspects::{UPSTREAMS_ENDED, UPSTREAMS_ENDED_ON_TRIAL};

use super::evacuation::{describe_evacuations, explain_all_evacuated};
use super::{assigned_owner, RequestEnd};

/// Other failures count as similar if they happened within this time before or after, in
/// milliseconds.
const SIMILAR_WINDOW_MS: u64 = 1_000;

/// Returns an explanation of why a request ended as it did.
pub(super) fn find_cause(
    request_events: &[&EventRecord],
    related: &[&EventRecord],
    events: &[EventRecord],
    end: &RequestEnd<'_>,
) -> String {
    let last = request_events.iter().rev().map(|s| &s.event);
    let is_end = |e: &&Event| {
        !matches!(
            e,
            Event::AttemptFailed { .. }
                | Event::RequestBroken { .. }
                | Event::SuspectRefused { .. }
        )
    };
    let final_event = last.filter(is_end);
    let Some(final_event) = final_event.into_iter().next() else {
        return "These logs don't contain the end of the request: the process ended, or the event \
                was dropped. Only the attempts above are known."
            .to_string();
    };
    match final_event {
        Event::RequestServed {
            upstream,
            expected_ms,
            waited_ms,
            ..
        } => format!(
            "{upstream} answered it in {waited_ms} ms; {expected_ms} ms were expected.{}",
            describe_failed_attempts(request_events)
        ),
        Event::RequestRejected {
            reason,
            host,
            config,
            ..
        } => explain_rejected(reason, host, *config, related),
        Event::RequestAbandoned { waited_ms, .. } => {
            explain_abandoned(*waited_ms, request_events, related, end)
        }
        Event::RequestFailed { reason, .. } => {
            let text = match reason.as_str() {
                "no room in time" => explain_no_room(final_event),
                "key has no owner in reach" => {
                    explain_no_owner(related, end) + &describe_evacuations(events, end)
                }
                OWNER_FULL => explain_owner_full(events, end),
                "no upstream" => {
                    explain_no_upstream(events, end) + &describe_evacuations(events, end)
                }
                ALL_EVACUATED => explain_all_evacuated(events, end),
                NO_UPSTREAM_IN_REGIONS => explain_regions(final_event, related, false),
                OWNER_OUTSIDE_REGIONS => explain_regions(final_event, related, true),
                "out of time" => explain_out_of_time(request_events, related),
                UPSTREAM_AT_RATE_LIMIT => explain_rate_limit(final_event, events, end),
                UPSTREAM_COLD => explain_cold_limit(final_event, events, end),
                UPSTREAMS_ENDED | UPSTREAMS_ENDED_ON_TRIAL => {
                    explain_suspect(request_events, events)
                }
                "attempts used up" => {
                    "The attempts at every upstream that it may be sent to failed.".to_string()
                }
                "retry budget used up" => {
                    "It wasn't retried at another upstream because this host's share of the \
                     retry budget was used up."
                        .to_string()
                }
                _ => format!(
                    "The upstream's answer couldn't be passed on ({reason}), and the request \
                     must not run twice."
                ),
            };
            format!(
                "{text}{}{}",
                describe_failed_attempts(request_events),
                describe_similar_failures(final_event, events, end)
            )
        }
        _ => String::new(),
    }
}

/// Describes the failed attempts of a request, and whether each may have run.
fn describe_failed_attempts(request_events: &[&EventRecord]) -> String {
    let mut text = String::new();
    for record in request_events {
        if let Event::AttemptFailed {
            upstream,
            reason,
            sent,
            waited_ms,
            ..
        } = &record.event
        {
            let execution = match sent {
                true => "whether it ran there is known only from that upstream's logs",
                false => "it didn't run there",
            };
            text.push_str(&format!(
                " The attempt at {upstream} failed after {waited_ms} ms ({reason}; {execution})."
            ));
        }
    }
    text
}

fn explain_rejected(reason: &str, host: &str, config: u64, related: &[&EventRecord]) -> String {
    match reason {
        "no route in an old configuration" => format!(
            "No route of configuration {config} matches, but the directory had been \
             unreachable for more than 2 s; a newer configuration may have a matching route."
        ),
        "no route" => format!(
            "No route of configuration {config}, which was in force on this host, \
             matches host {host:?} and the path."
        ),
        "stopping" => {
            "This host was stopping, and the request could have outlasted it; it wasn't sent \
                       to any upstream."
                .to_string()
        }
        "no memory for the body" => {
            "The bodies that this host held left no memory for the request's; it wasn't sent to \
             any upstream."
                .to_string()
        }
        "no configuration" => {
            let started = related
                .iter()
                .any(|s| matches!(s.event, Event::ProcessStarted { .. }));
            match started {
                true => {
                    "The entry host had just started and hadn't reached the directory.".to_string()
                }
                false => "The entry host had never reached the directory.".to_string(),
            }
        }
        _ => format!("The caller's request couldn't be read: {reason}."),
    }
}

fn explain_abandoned(
    waited_ms: u64,
    request_events: &[&EventRecord],
    related: &[&EventRecord],
    end: &RequestEnd<'_>,
) -> String {
    let mut text = format!("The caller closed its connection after {waited_ms} ms.");
    if end.upstreams.is_empty() {
        text.push_str(" No upstream had been chosen yet.");
    }
    text.push_str(&describe_failed_attempts(request_events));
    let incidents = describe_incidents(related);
    if !incidents.is_empty() {
        text.push_str(&format!(" Related incidents:{incidents}"));
    }
    text
}

fn explain_no_room(final_event: &Event) -> String {
    let Event::RequestFailed {
        considered,
        expected_ms,
        way_ms,
        load_age_ms,
        service_time_percent,
        objective_ms,
        before_ms,
        waited_ms,
        patience_ms,
        ..
    } = final_event
    else {
        return String::new();
    };
    let upstream = considered.as_deref().unwrap_or("the upstream");
    let load_report = load_age_ms.map_or("no load report".to_string(), |ms| {
        format!("a load report {ms} ms old")
    });
    let service_time = service_time_percent.map_or(String::new(), |percent| {
        format!(" (by its own figure its work takes {percent}% of the usual time now)")
    });
    let elapsed_ms = before_ms + waited_ms;
    format!(
        "The best upstream, {upstream}, was too busy: an answer was expected in {} ms, \
         based on {load_report}{service_time}, plus a round trip of {way_ms} ms. Of the route's objective of \
         {objective_ms} ms, {} ms were left, and of the caller's timeout {} ms. The request was \
         refused at once so that the caller can retry.",
        expected_ms.unwrap_or(0),
        objective_ms.saturating_sub(elapsed_ms),
        patience_ms.saturating_sub(*waited_ms)
    )
}

fn explain_no_owner(related: &[&EventRecord], end: &RequestEnd<'_>) -> String {
    let owners: Vec<&str> = related
        .iter()
        .filter_map(|s| assigned_owner(&s.event, end))
        .collect();
    let key = end.key.unwrap_or(0);
    let mut text = match owners.last() {
        Some(owner) => format!("Key {key} had no usable owner; the last known owner is {owner}."),
        None => format!("These logs name no owner of key {key}."),
    };
    let incidents = describe_incidents(related);
    if incidents.is_empty() {
        text.push_str(" No related event explains this; check the logs of the directory's leader.");
    }
    text + &incidents
}

/// Describes incidents around a request: lost upstreams, elections, stopping hosts.
fn describe_incidents(related: &[&EventRecord]) -> String {
    let mut text = String::new();
    for record in related {
        let incident = match &record.event {
            Event::UpstreamDeregistered { upstream } => format!("{upstream} was leaving"),
            Event::UpstreamRegistered {
                upstream, phase, ..
            } if phase != "Ready" => format!("{upstream} was {}", phase.to_lowercase()),
            Event::CallFailed {
                upstream,
                order,
                result,
                ..
            } => format!("a {order} to {upstream} was {}", result.replace('_', " ")),
            Event::UpstreamEjected { upstream, reason } => {
                format!("this host had ejected {upstream} ({reason})")
            }
            Event::LeaderElected { .. } => {
                format!("{} became the directory's leader", record.host)
            }
            Event::DirectoryLost { .. } => "this host had no leader of the directory".to_string(),
            Event::ProcessStopping { .. } => "this host was stopping".to_string(),
            _ => continue,
        };
        let incident = format!(" {}{}.", incident[..1].to_uppercase(), &incident[1..]);
        if !text.contains(&incident) {
            text.push_str(&incident);
        }
    }
    text
}

fn explain_owner_full(events: &[EventRecord], end: &RequestEnd<'_>) -> String {
    let is_earlier = |s: &&EventRecord| s.time.wall_ms <= end.time_ms && s.host == end.host;
    let mut on_host = events.iter().rev().filter(is_earlier);
    let found = on_host.find_map(|record| match &record.event {
        Event::UpstreamFull {
            upstream, evidence, ..
        } if end.upstreams.contains(upstream.as_str()) => Some(format!(
            " This host last found {upstream} full {} ms before (by {evidence}).",
            end.time_ms.saturating_sub(record.time.wall_ms)
        )),
        Event::InferredLimitChanged {
            upstream,
            to_milli_per_s,
            ..
        } if end.upstreams.contains(upstream.as_str()) && *to_milli_per_s > 0 => Some(format!(
            " The directory's leader had limited {upstream} to {} requests a second from all entry \
             hosts, which is what it can serve.",
            *to_milli_per_s as f64 / 1_000.0
        )),
        _ => None,
    });
    let key = end
        .key
        .map_or(String::new(), |key| format!(" of key {key}"));
    format!(
        "The owner{key} had no free capacity, and no other upstream may serve the key. The request \
         wasn't sent; the caller was told when the directory may have spread the keys.{}",
        found.unwrap_or_default()
    )
}

fn explain_no_upstream(events: &[EventRecord], end: &RequestEnd<'_>) -> String {
    let is_recent =
        |s: &&EventRecord| s.time.wall_ms <= end.time_ms && s.time.wall_ms + 4_000 >= end.time_ms;
    let on_host = events
        .iter()
        .filter(is_recent)
        .filter(|s| s.host == end.host);
    let ejections = on_host.filter(|s| matches!(s.event, Event::UpstreamEjected { .. }));
    format!(
        "No upstream of {} was left to ask: this host ejected {} in the 4 s before; the others \
         aren't registered, are leaving, or were already tried.",
        end.service,
        ejections.count()
    )
}

/// Explains a refusal for the allowed regions of the route. With `has_upstream`, the regions have an upstream of
/// the service, but the key's owner is elsewhere.
fn explain_regions(final_event: &Event, related: &[&EventRecord], has_upstream: bool) -> String {
    let Event::RequestFailed {
        route,
        service,
        key,
        config,
        ..
    } = final_event
    else {
        return String::new();
    };
    if !has_upstream {
        return format!(
            "Configuration {config} restricts route {route} to regions in which {service} had no \
             ready upstream on this host; the request wasn't sent elsewhere."
        );
    }
    let chosen = related.iter().rev().find_map(|r| match &r.event {
        Event::OwnerRegionsChanged {
            regions,
            has_upstreams,
            ..
        } => Some((regions, *has_upstreams)),
        _ => None,
    });
    let chosen = match chosen {
        Some((regions, true)) if !regions.is_empty() => {
            format!(" The directory chooses owners in {regions}; the keys are moved there.")
        }
        Some(_) => {
            " The regions that all routes to the service allow have no upstream, so owners may be in \
             any region."
                .to_string()
        }
        None => String::new(),
    };
    format!(
        "The owner of key {} of {service} is in a region that configuration {config} doesn't allow for \
         route {route}; the request wasn't sent to it.{chosen}",
        key.unwrap_or(0)
    )
}

fn explain_out_of_time(request_events: &[&EventRecord], related: &[&EventRecord]) -> String {
    let unanswered = request_events.iter().filter_map(|s| match &s.event {
        Event::AttemptFailed {
            upstream,
            waited_ms,
            expected_ms,
            ..
        } => Some((*waited_ms, upstream, *expected_ms)),
        _ => None,
    });
    let text = match unanswered.max() {
        Some((waited_ms, upstream, expected_ms)) => format!(
            "The time was spent at {upstream}: {waited_ms} ms without an answer, where \
             {expected_ms} ms were expected."
        ),
        None => "The time ran out before an upstream was chosen.".to_string(),
    };
    text + &describe_incidents(related)
}

/// Describes how many other requests to the service failed for the same reason on the same host at
/// that time.
fn describe_similar_failures(
    final_event: &Event,
    events: &[EventRecord],
    end: &RequestEnd<'_>,
) -> String {
    let Event::RequestFailed {
        reason: final_reason,
        ..
    } = final_event
    else {
        return String::new();
    };
    let is_near = |s: &&EventRecord| s.time.wall_ms.abs_diff(end.time_ms) <= SIMILAR_WINDOW_MS;
    let similar = events.iter().filter(is_near).filter(|s| {
        s.host == end.host
            && matches!(&s.event, Event::RequestFailed { reason, service, .. }
                if reason == final_reason && service == end.service)
    });
    match similar.count().saturating_sub(1) {
        0 => String::new(),
        n => format!(
            " {n} more requests for {} failed for the same reason on this host within a second.",
            end.service
        ),
    }
}

/// Explains a request that only an upstream with a rate limit could have run.
fn explain_rate_limit(final_event: &Event, events: &[EventRecord], end: &RequestEnd<'_>) -> String {
    let Event::RequestFailed {
        considered: Some(considered),
        ..
    } = final_event
    else {
        return "Every upstream that could run it was at its rate limit.".to_string();
    };
    let is_earlier = |s: &&EventRecord| s.time.wall_ms <= end.time_ms && s.host == end.host;
    let mut on_host = events.iter().rev().filter(is_earlier);
    let limit = on_host.find_map(|record| match &record.event {
        Event::RateLimitChanged {
            upstream,
            to_milli_per_s,
            ..
        } if upstream == considered => Some(*to_milli_per_s),
        _ => None,
    });
    let limit = limit.map_or(String::new(), |milli_per_s| {
        format!(" of {} requests a second", milli_per_s as f64 / 1_000.0)
    });
    format!(
        "{considered} names a rate limit{limit} for all entry hosts together, and this host got no \
         permit that started in time."
    )
}

/// Explains a request that only a cold upstream could have run.
fn explain_cold_limit(final_event: &Event, events: &[EventRecord], end: &RequestEnd<'_>) -> String {
    let Event::RequestFailed {
        considered: Some(considered),
        ..
    } = final_event
    else {
        return "Every upstream that could run it was cold and at its limit.".to_string();
    };
    let is_earlier = |s: &&EventRecord| s.time.wall_ms <= end.time_ms;
    let mut earlier = events.iter().rev().filter(is_earlier);
    let registered = earlier.find_map(|record| match &record.event {
        Event::ColdnessChanged {
            upstream,
            is_cold: true,
            milli_per_s,
            ..
        } if upstream == considered => Some((record.time.wall_ms, *milli_per_s)),
        _ => None,
    });
    let registered = registered.map_or(String::new(), |(wall_ms, milli_per_s)| {
        format!(
            ", as the directory has known since {wall_ms}, and takes {} requests a second until it is warm",
            milli_per_s as f64 / 1_000.0
        )
    });
    format!(
        "{considered} is cold{registered}; this limit is for all entry hosts together, and this host got no permit \
         that started in time."
    )
}

/// Explains the refusal of a request that upstreams had when they ended.
fn explain_suspect(request_events: &[&EventRecord], events: &[EventRecord]) -> String {
    let refused = request_events
        .iter()
        .find_map(|record| match &record.event {
            Event::SuspectRefused {
                digest,
                stage,
                crashes,
                version,
                ..
            } => Some((digest, stage, crashes, version)),
            _ => None,
        });
    let Some((digest, stage, crashes, version)) = refused else {
        return "Upstreams ended while they had this request.".to_string();
    };
    let is_of_digest = |e: &Event| matches!(e, Event::SuspectChanged { digest: d, to, .. } if d == digest && to == stage);
    let decided = events.iter().find(|record| is_of_digest(&record.event));
    let decided = decided.map_or(String::new(), |record| {
        format!(" {} decided that at {}.", record.host, record.time.wall_ms)
    });
    let crashes = match crashes.as_str() {
        "" => "upstreams that this host lost itself",
        listed => listed,
    };
    format!(
        "The same request (digest {digest}) was at these upstreams when they ended: {crashes}. It was \
         {stage}, by version {version} of the directory's list.{decided} It wasn't sent to any \
         upstream. `carobreel quarantine` lists and clears such requests."
    )
}
