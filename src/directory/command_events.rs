//! Events that tell of commands as they are applied.

use crate::event::Event;

use super::model::Upstream;
use super::state::{Command, State};

/// Returns the events that tell of a command about to be applied to `state`, as far as it changes anything
/// worth a line. Only the leader tells of single key ranges.
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
