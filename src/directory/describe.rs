//! Events that tell of commands as they are applied.

use crate::event::Event;

use super::state::{Command, State};

/// Returns the event that tells of a command about to be applied to `state`, if it changes anything
/// worth a line. Only the leader tells of single key ranges.
pub fn event_of(state: &State, command: &Command, leads: bool) -> Option<Event> {
    let event = match command {
        Command::Configure(stored) if stored.config.version > state.config_version() => {
            Event::RoutesDecided {
                version: stored.config.version,
                routes: stored.config.routes.len() as u64,
            }
        }
        Command::Register(u) => Event::UpstreamRegistered {
            upstream: u.incarnation.id.clone(),
            born_ms: u.incarnation.born_ms,
            service: u.service.clone(),
            phase: format!("{:?}", u.phase),
        },
        Command::Deregister(who) => Event::UpstreamDeregistered {
            upstream: who.id.clone(),
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
        _ => return None,
    };
    Some(event)
}
