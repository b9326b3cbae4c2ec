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
        Command::Register(upstream) => registration_event(upstream),
        Command::RegisterAll(list) => return list.iter().map(registration_event).collect(),
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
