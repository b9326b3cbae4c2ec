//! Events that describe applied commands, for the log and the timeline.

use std::collections::BTreeMap;

use crate::event::Event;
use crate::slot::{format_ranges, SlotId};

use super::state::{Assignment, Command, Outcome, SlotList, State, UpstreamId};

/// Returns the events of a command that was applied to `state` with `outcome`.
pub fn command_events(
    cell: &str,
    state: &State,
    command: &Command,
    outcome: &Outcome,
) -> Vec<Event> {
    let cell = cell.to_string();
    match command {
        Command::Announce(a) => {
            let Outcome::Announced(id) = outcome else {
                return Vec::new();
            };
            vec![Event::UpstreamAnnounced {
                cell,
                upstream: a.name.clone(),
                id: id.0,
            }]
        }
        Command::Register(_) => Vec::new(),
        Command::Leave(id) => vec![Event::UpstreamLeaving {
            cell,
            upstream: upstream_name(state, *id),
        }],
        Command::Forget(id) => vec![Event::UpstreamForgotten {
            cell,
            upstream: upstream_name(state, *id),
        }],
        Command::Decide(d) if *outcome == Outcome::Done => vec![Event::DocumentDecided {
            number: d.number,
            digest: format!("{:016x}", d.digest()),
        }],
        Command::Decide(d) => vec![Event::DocumentRefused {
            number: d.number,
            reason: format!("{outcome:?}"),
        }],
        Command::Install(d) => vec![Event::DocumentInstalled {
            cell,
            number: d.number,
        }],
        Command::Freeze(list) => freeze_events(&cell, state, list),
        Command::Assign(assignments) => assign_events(&cell, state, assignments),
        Command::Pin(service_key) => vec![Event::KeyPinned {
            cell,
            service: service_key.service.clone(),
            key: format!("{:016x}", service_key.key.0),
        }],
        Command::Unpin(service_key) => vec![Event::KeyUnpinned {
            cell,
            service: service_key.service.clone(),
            key: format!("{:016x}", service_key.key.0),
        }],
    }
}

fn upstream_name(state: &State, id: UpstreamId) -> String {
    let upstream = state.upstreams.get(&id);
    upstream.map_or(format!("#{}", id.0), |u| u.announcement.name.clone())
}

fn freeze_events(cell: &str, state: &State, list: &SlotList) -> Vec<Event> {
    let mut by_owner: BTreeMap<UpstreamId, Vec<SlotId>> = BTreeMap::new();
    let slot_table = state.slot_tables.get(&list.service);
    for id in &list.slots {
        if let Some(slot) = slot_table.and_then(|t| t.slot(*id)) {
            by_owner.entry(slot.owner).or_default().push(*id);
        }
    }
    let event = |(owner, slots): (&UpstreamId, &Vec<SlotId>)| Event::SlotsFrozen {
        cell: cell.to_string(),
        service: list.service.clone(),
        slots: format_ranges(slots),
        upstream: upstream_name(state, *owner),
        version: state.version,
    };
    by_owner.iter().map(event).collect()
}

fn assign_events(cell: &str, state: &State, assignments: &[Assignment]) -> Vec<Event> {
    let mut by_owner: BTreeMap<(UpstreamId, &String), Vec<SlotId>> = BTreeMap::new();
    for a in assignments {
        let slots = by_owner.entry((a.owner, &a.service)).or_default();
        slots.push(a.slot);
    }
    for slots in by_owner.values_mut() {
        slots.sort_unstable();
    }
    let event =
        |((owner, service), slots): (&(UpstreamId, &String), &Vec<SlotId>)| Event::SlotsAssigned {
            cell: cell.to_string(),
            service: service.to_string(),
            slots: format_ranges(slots),
            upstream: upstream_name(state, *owner),
            version: state.version,
        };
    by_owner.iter().map(event).collect()
}
