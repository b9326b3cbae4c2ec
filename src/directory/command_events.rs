//! Log events for commands as they are applied.

use crate::event::Event;

use super::model::Upstream;
use super::state::{Command, State};
use super::suspects::{Stage, SuspectChange};

/// Returns the events to log for a command that is about to be applied to `state`. Assignments of key ranges
/// are logged by the leader only.
pub fn events_for(state: &State, command: &Command, leads: bool) -> Vec<Event> {
    let event = match command {
        Command::Configure(stored) if stored.config.version > state.config_version() => {
            Event::RoutesDecided {
                version: stored.config.version,
                routes: stored.config.routes.len() as u64,
            }
        }
        Command::Register(upstream) => return registration_events(state, upstream, leads),
        Command::RegisterAll(list) => {
            let events = list.iter().map(|u| registration_events(state, u, leads));
            return events.flatten().collect();
        }
        Command::Deregister(incarnation) => Event::UpstreamDeregistered {
            upstream: incarnation.id.clone(),
        },
        Command::RecordCrashes {
            host,
            crashes,
            acquittals,
            ..
        } if leads => {
            let mut suspects = state.suspects.clone();
            let changes = state.record_crashes(&mut suspects, 0, host, crashes, acquittals);
            return changes.iter().map(|c| suspect_event(c, host)).collect();
        }
        Command::BeginTrial(id, _) if leads => Event::TrialBegun {
            service: id.service.clone(),
            digest: id.digest.to_string(),
            number: state
                .suspects
                .get(id)
                .map_or(0, |s| u64::from(s.trials) + 1),
        },
        Command::ClearSuspect(id) => Event::SuspectCleared {
            service: id.service.clone(),
            digest: id.digest.to_string(),
        },
        Command::SetEvacuation { zone, is_evacuated } => {
            return evacuation_event(state, zone, *is_evacuated)
        }
        Command::Assign {
            service,
            from,
            to,
            owner,
        } if leads => Event::KeysAssigned {
            service: service.clone(),
            from: *from,
            to: *to,
            owner: owner.id.clone(),
            fence: state.versions.owners + 1,
        },
        _ => return Vec::new(),
    };
    vec![event]
}

/// Returns the events for a registration. Changes of coldness are logged by the leader only.
fn registration_events(state: &State, upstream: &Upstream, leads: bool) -> Vec<Event> {
    let mut events = vec![registration_event(upstream)];
    events.extend(coldness_event(state, upstream).filter(|_| leads));
    events
}

/// Returns the event for a registration if the upstream becomes cold or warm and its service has a limit for cold ones.
fn coldness_event(state: &State, upstream: &Upstream) -> Option<Event> {
    let service = state
        .config
        .as_ref()?
        .config
        .services
        .get(&upstream.service)?;
    let limit = service.cold_limit?;
    let next = state.resolve_registration(upstream)?;
    let known = state.find_live(&upstream.incarnation);
    if known.is_some_and(|u| u.is_cold) == next.is_cold {
        return None;
    }
    Some(Event::ColdnessChanged {
        upstream: upstream.incarnation.id.clone(),
        born_ms: upstream.incarnation.born_ms,
        is_cold: next.is_cold,
        sequence: next.cold_sequence.unwrap_or(0),
        milli_per_s: if next.is_cold { limit.milli_per_s() } else { 0 },
    })
}

fn registration_event(upstream: &Upstream) -> Event {
    Event::UpstreamRegistered {
        upstream: upstream.incarnation.id.clone(),
        born_ms: upstream.incarnation.born_ms,
        service: upstream.service.clone(),
        phase: format!("{:?}", upstream.phase),
    }
}

/// Returns the event for an order about an availability zone, unless it changes nothing.
fn evacuation_event(state: &State, zone: &str, is_evacuated: bool) -> Vec<Event> {
    if state.evacuated_zones.contains(zone) == is_evacuated {
        return Vec::new();
    }
    let in_zone = state.upstreams.values().filter(|u| u.zone == zone);
    let upstreams = in_zone.filter(|u| u.is_ready()).count() as u64;
    let zone = zone.to_string();
    vec![match is_evacuated {
        true => Event::EvacuationBegun { zone, upstreams },
        false => Event::EvacuationFinished { zone, upstreams },
    }]
}

fn suspect_event(change: &SuspectChange, host: &str) -> Event {
    let stage_name = |stage: Option<Stage>| stage.map_or("none", Stage::name).to_string();
    Event::SuspectChanged {
        service: change.id.service.clone(),
        digest: change.id.digest.to_string(),
        from: stage_name(change.before),
        to: stage_name(change.after),
        crashes: change.crashes,
        reported_by: host.to_string(),
    }
}
