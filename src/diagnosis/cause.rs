//! Finds why a request ended as it did.

use crate::event::{Event, EventRecord};

use super::{assigned, End};

/// Other requests count as company of this one within this time before and after it, in milliseconds.
const COMPANY_MS: u64 = 1_000;

/// Returns the cause of a request's end, in words.
pub(super) fn cause_of(
    own: &[&EventRecord],
    around: &[&EventRecord],
    events: &[EventRecord],
    end: &End<'_>,
) -> String {
    let last = own.iter().rev().map(|s| &s.event);
    let ending = last.filter(|e| !matches!(e, Event::AttemptFailed { .. }));
    let Some(ending) = ending.into_iter().next() else {
        return "The request's end isn't in these logs: the process ended, or its lines were left out. \
                What is known is the attempts above."
            .to_string();
    };
    match ending {
        Event::RequestServed {
            upstream,
            expected_ms,
            waited_ms,
            ..
        } => format!(
            "It was answered by {upstream} in {waited_ms} ms, {expected_ms} ms were expected.{}",
            first_failure(own)
        ),
        Event::RequestRejected {
            reason,
            host,
            config,
            ..
        } => rejected(reason, host, *config, around),
        Event::RequestAbandoned { waited_ms, .. } => abandoned(*waited_ms, own, around, end),
        Event::RequestFailed { reason, .. } => {
            let text = match reason.as_str() {
                "no room in time" => no_room(ending),
                "key has no owner in reach" => no_owner(around, end),
                "no upstream" => no_upstream(events, end),
                "out of time" => out_of_time(own, around),
                "attempts used up" => "Every upstream that it may be sent to failed it.".to_string(),
                "retry budget used up" => {
                    "It wasn't sent to a further upstream: this host's part of the retry budget was \
                     used up."
                        .to_string()
                }
                _ => format!(
                    "The upstream's answer couldn't be passed on ({reason}), and the request may not \
                     run twice."
                ),
            };
            format!(
                "{text}{}{}",
                first_failure(own),
                company(ending, events, end)
            )
        }
        _ => String::new(),
    }
}

/// Tells what failed at first, and what the upstreams knew of.
fn first_failure(own: &[&EventRecord]) -> String {
    let mut text = String::new();
    for stamped in own {
        if let Event::AttemptFailed {
            upstream,
            reason,
            sent,
            waited_ms,
            ..
        } = &stamped.event
        {
            let ran = match sent {
                true => "whether it ran is in that upstream's own logs",
                false => "it didn't run there",
            };
            text.push_str(&format!(
                " {upstream} failed it after {waited_ms} ms ({reason}; {ran})."
            ));
        }
    }
    text
}

fn rejected(reason: &str, host: &str, config: u64, around: &[&EventRecord]) -> String {
    match reason {
        "no route in an old configuration" => format!(
            "No route of configuration {config} fits, but the directory had been out of reach for over 2 s: a \
             newer configuration may have one."
        ),
        "no route" => format!(
            "No route of configuration {config}, in force on this host then, fits host {host:?} and the \
             path."
        ),
        "no configuration" => {
            let started = around.iter().any(|s| matches!(s.event, Event::ProcessStarted { .. }));
            match started {
                true => "The entry host had just started and hadn't reached the directory.".to_string(),
                false => "The entry host had never reached the directory.".to_string(),
            }
        }
        _ => format!("The caller's request couldn't be read: {reason}."),
    }
}

fn abandoned(
    waited_ms: u64,
    own: &[&EventRecord],
    around: &[&EventRecord],
    end: &End<'_>,
) -> String {
    let mut text = format!("The caller closed its connection after {waited_ms} ms.");
    if end.upstreams.is_empty() {
        text.push_str(" No upstream had been found yet.");
    }
    text.push_str(&first_failure(own));
    let around = troubles(around);
    if !around.is_empty() {
        text.push_str(&format!(" Around it:{around}"));
    }
    text
}

fn no_room(ending: &Event) -> String {
    let Event::RequestFailed {
        considered,
        expected_ms,
        way_ms,
        load_age_ms,
        objective_ms,
        before_ms,
        waited_ms,
        patience_ms,
        ..
    } = ending
    else {
        return String::new();
    };
    let who = considered.as_deref().unwrap_or("the upstream");
    let age = load_age_ms.map_or("no report of its load".to_string(), |ms| {
        format!("a report of its load {ms} ms old")
    });
    let passed_ms = before_ms + waited_ms;
    format!(
        "The best upstream, {who}, was too busy: an answer was expected in {} ms by {age}, and the way \
         there and back takes {way_ms} ms. Of the route's objective of {objective_ms} ms {} ms were \
         left, of the caller's patience {} ms. The request was refused at once so that the caller can \
         come back.",
        expected_ms.unwrap_or(0),
        objective_ms.saturating_sub(passed_ms),
        patience_ms.saturating_sub(*waited_ms)
    )
}

fn no_owner(around: &[&EventRecord], end: &End<'_>) -> String {
    let owners: Vec<&str> = around
        .iter()
        .filter_map(|s| assigned(&s.event, end))
        .collect();
    let key = end.key.unwrap_or(0);
    let mut text = match owners.last() {
        Some(owner) => format!("Key {key} had no usable owner; the last one named is {owner}."),
        None => format!("These logs name no owner of key {key}."),
    };
    let why = troubles(around);
    if why.is_empty() {
        text.push_str(" Nothing around it tells why: look at logs of the directory's leader.");
    }
    text + &why
}

/// Tells the troubles around a request: lost upstreams, leaders, hosts that stop.
fn troubles(around: &[&EventRecord]) -> String {
    let mut text = String::new();
    for stamped in around {
        let told = match &stamped.event {
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
                format!("this host had passed {upstream} over ({reason})")
            }
            Event::LeaderElected { .. } => {
                format!("{} became the directory's leader", stamped.host)
            }
            Event::DirectoryLost { .. } => "this host had lost the directory".to_string(),
            Event::ProcessStopping { .. } => "this host was stopping".to_string(),
            _ => continue,
        };
        let told = format!(" {}{}.", told[..1].to_uppercase(), &told[1..]);
        if !text.contains(&told) {
            text.push_str(&told);
        }
    }
    text
}

fn no_upstream(events: &[EventRecord], end: &End<'_>) -> String {
    let at = |s: &&EventRecord| s.time.wall_ms <= end.at_ms && s.time.wall_ms + 4_000 >= end.at_ms;
    let here = events.iter().filter(at).filter(|s| s.host == end.host);
    let passed = here.filter(|s| matches!(s.event, Event::UpstreamEjected { .. }));
    format!(
        "No upstream of {} was left to ask: {} were passed over by this host in the 4 s before, the \
         others aren't registered, are leaving, or had been asked.",
        end.service,
        passed.count()
    )
}

fn out_of_time(own: &[&EventRecord], around: &[&EventRecord]) -> String {
    let slow = own.iter().filter_map(|s| match &s.event {
        Event::AttemptFailed {
            upstream,
            waited_ms,
            expected_ms,
            ..
        } => Some((*waited_ms, upstream, *expected_ms)),
        _ => None,
    });
    let text = match slow.max() {
        Some((waited_ms, upstream, expected_ms)) => format!(
            "Its time went at {upstream}: {waited_ms} ms without an answer, where {expected_ms} ms were \
             expected."
        ),
        None => "Its time was over before an upstream was found.".to_string(),
    };
    text + &troubles(around)
}

/// Tells how many other requests ended the same way on the same host at that time.
fn company(ending: &Event, events: &[EventRecord], end: &End<'_>) -> String {
    let Event::RequestFailed { reason: why, .. } = ending else {
        return String::new();
    };
    let is_near = |s: &&EventRecord| s.time.wall_ms.abs_diff(end.at_ms) <= COMPANY_MS;
    let alike = events.iter().filter(is_near).filter(|s| {
        s.host == end.host
            && matches!(&s.event, Event::RequestFailed { reason, service, .. }
                if reason == why && service == end.service)
    });
    match alike.count().saturating_sub(1) {
        0 => String::new(),
        n => format!(
            " {n} more requests for {} ended so on this host within a second.",
            end.service
        ),
    }
}
