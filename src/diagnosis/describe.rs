//! Descriptions of events in plain English.

use crate::event::Event;

/// Returns a sentence that describes an event. Events without a sentence of their own get their
/// catalogue text and their fields as JSON.
pub fn describe_event(event: &Event) -> String {
    match event {
        Event::ProcessStarted { role, version } => format!("{role} {version} starts"),
        Event::ProcessStopping { in_flight: 0 } => "is asked to stop".to_string(),
        Event::ProcessStopping { in_flight } => {
            format!("stops with {in_flight} requests in flight")
        }
        Event::LeaderElected { term, .. } => format!("leads the directory from term {term}"),
        Event::LeaderLost { term, .. } => format!("no longer leads the directory (term {term})"),
        Event::RoutesInForce {
            version, routes, ..
        } => {
            format!("uses configuration {version} with {routes} routes")
        }
        Event::UpstreamRegistered {
            upstream,
            service,
            phase,
            ..
        } => format!("upstream {upstream} of {service} is {}", phase.to_lowercase()),
        Event::UpstreamDeregistered { upstream } => {
            format!("upstream {upstream} announces that it is leaving")
        }
        Event::KeysAssigned {
            service,
            from,
            to,
            owner,
            fence,
        } => format!("keys {from} to {to} of {service} are assigned to {owner} under fence {fence}"),
        Event::CallFailed {
            upstream,
            order,
            from,
            to,
            fence,
            result,
            ..
        } => format!(
            "{order} of keys {from} to {to} under fence {fence} to {upstream}: {}",
            result.replace('_', " ")
        ),
        Event::EvacuationBegun { zone, .. } => {
            format!("availability zone {zone} is to be evacuated")
        }
        Event::EvacuationFinished { zone, .. } => {
            format!("the evacuation of availability zone {zone} is over")
        }
        Event::EvacuationsInForce { zones, .. } if zones.is_empty() => {
            "treats no availability zone as evacuated".to_string()
        }
        Event::EvacuationsInForce {
            zones, upstreams, ..
        } => format!("treats these availability zones as evacuated: {zones} ({upstreams} upstreams)"),
        Event::DirectoryFollowed { leader } => format!("follows the directory's leader {leader}"),
        Event::DirectoryLost { age_ms } => {
            format!("has no leader of the directory; its copy of the state is {age_ms} ms old")
        }
        Event::UpstreamEjected { upstream, reason } => {
            format!("ejects upstream {upstream} for a while: {reason}")
        }
        Event::UpstreamFull {
            upstream,
            evidence,
            hold_ms,
        } => format!("finds upstream {upstream} full (by {evidence}); holds back for {hold_ms} ms"),
        Event::InferredLimitChanged {
            upstream,
            to_milli_per_s,
            ..
        } => match to_milli_per_s {
            0 => format!("learns that the leader no longer limits {upstream}"),
            _ => format!(
                "learns that the leader limits {upstream} to {} requests a second",
                *to_milli_per_s as f64 / 1_000.0
            ),
        },
        Event::LimitInferred {
            upstream,
            to_milli_per_s,
            demand_milli_per_s,
            ..
        } => format!(
            "limits {upstream} to {} requests a second (0 is no limit), since {} come",
            *to_milli_per_s as f64 / 1_000.0,
            *demand_milli_per_s as f64 / 1_000.0
        ),
        Event::UpstreamReadmitted { upstream } => format!("readmits upstream {upstream}"),
        Event::RoutesUnserved { count: 0, .. } => {
            "has upstreams in the allowed regions of all routes".to_string()
        }
        Event::RoutesUnserved { routes, config, .. } => format!(
            "has no ready upstream in the regions that configuration {config} allows for {routes}"
        ),
        Event::OwnerRegionsChanged {
            service,
            regions,
            is_restricted,
            has_upstreams,
            config,
        } => match (is_restricted, has_upstreams) {
            (false, _) => format!("chooses owners of {service} in any region (configuration {config})"),
            (true, true) => {
                format!("chooses owners of {service} in {regions} (configuration {config})")
            }
            (true, false) => format!(
                "chooses owners of {service} in any region: the routes' common regions have no \
                 upstream (configuration {config})"
            ),
        },
        Event::RequestsUnlogged { count } => format!("dropped {count} log lines about requests"),
        Event::RequestBroken {
            digest, upstream, ..
        } => format!("its connection to {upstream} broke; its digest is {digest}"),
        Event::UpstreamEnded {
            upstream, evidence, ..
        } => format!("finds that {upstream} has ended: {evidence}"),
        Event::BreakNotACrash {
            upstream, evidence, ..
        } => format!("doesn't know that {upstream} has ended: {evidence}"),
        Event::SuspectRefused {
            digest, crashes, ..
        } => format!("refuses it (digest {digest}), since upstreams ended with it: {crashes}"),
        Event::AttemptFailed {
            upstream,
            fence,
            reason,
            sent,
            expected_ms,
            load_age_ms,
            waited_ms,
            ..
        } => {
            let execution = if *sent { "it may have run" } else { "it didn't run" };
            format!(
                "sent to {upstream}{}, which was expected to answer in {expected_ms} ms ({}); after \
                 {waited_ms} ms: {reason}, {execution}",
                fence_text(*fence),
                load_text(*load_age_ms)
            )
        }
        Event::RequestServed {
            route,
            service,
            key,
            status,
            upstream,
            fence,
            attempts,
            owner_wait_ms,
            expected_ms,
            load_age_ms,
            waited_ms,
            config,
            age_ms,
            ..
        } => format!(
            "answered with {status} after {waited_ms} ms by {upstream}{} at attempt {attempts}; it was \
             expected in {expected_ms} ms ({}). Route {route}, service {service}{}{}; configuration \
             {config}, confirmed {age_ms} ms before",
            fence_text(*fence),
            load_text(*load_age_ms),
            key_text(*key),
            wait_text(*owner_wait_ms)
        ),
        Event::RequestFailed {
            route,
            service,
            key,
            status,
            reason,
            retry_after_ms,
            patience_ms,
            upstreams,
            owner_wait_ms,
            waited_ms,
            config,
            owners,
            age_ms,
            ..
        } => {
            let sent_to = match upstreams.as_str() {
                "" => "not sent to any upstream".to_string(),
                _ => format!("sent to {upstreams}"),
            };
            let retry = retry_after_ms.map_or(String::new(), |ms| {
                format!(", the caller may retry in {ms} ms")
            });
            format!(
                "ended with {status} after {waited_ms} of {patience_ms} ms: {reason}; \
                 {sent_to}{retry}. Route {route}, service {service}{}{}; configuration {config}, \
                 owners {owners}, confirmed {age_ms} ms before",
                key_text(*key),
                wait_text(*owner_wait_ms)
            )
        }
        Event::RequestAbandoned {
            route,
            service,
            key,
            upstreams,
            waited_ms,
            config,
            age_ms,
            ..
        } => {
            let progress = match upstreams.as_str() {
                "" => "before it was sent to an upstream".to_string(),
                _ => format!("with the request sent to {upstreams}"),
            };
            format!(
                "the caller disconnected after {waited_ms} ms, {progress}. Route {route}, \
                 service {service}{}; configuration {config}, confirmed {age_ms} ms before",
                key_text(*key)
            )
        }
        Event::RequestRejected {
            host,
            path,
            status,
            reason,
            config,
            age_ms,
            ..
        } => format!(
            "ended with {status}: {reason} for host {host:?} and path {path:?}; \
             configuration {config}, confirmed {age_ms} ms before"
        ),
        other => {
            let fields = serde_json::to_string(other).unwrap_or_default();
            format!("{} {fields}", other.description().text)
        }
    }
}

fn fence_text(fence: u64) -> String {
    match fence {
        0 => String::new(),
        _ => format!(" (owner under fence {fence})"),
    }
}

fn load_text(age_ms: Option<u64>) -> String {
    match age_ms {
        Some(ms) => format!("its load was reported {ms} ms before"),
        None => "it had reported no load".to_string(),
    }
}

fn key_text(key: Option<u16>) -> String {
    key.map_or(String::new(), |key| format!(", key {key}"))
}

fn wait_text(owner_wait_ms: u64) -> String {
    match owner_wait_ms {
        0 => String::new(),
        ms => format!("; {ms} ms of that time were spent waiting for the key's owner"),
    }
}
