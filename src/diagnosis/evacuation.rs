//! Evacuated availability zones as the cause of a request's end.

use crate::event::{Event, EventRecord};

use super::RequestEnd;

/// Returns the zones that were evacuated on the request's entry host when the request ended, as far as these logs tell.
fn zones_in_force<'a>(
    events: &'a [EventRecord],
    end: &RequestEnd<'_>,
) -> Option<(&'a EventRecord, &'a str)> {
    let mut earlier = events
        .iter()
        .rev()
        .filter(|r| r.host == end.host && r.time.wall_ms <= end.time_ms);
    let (record, zones) = earlier.find_map(|record| match &record.event {
        Event::EvacuationsInForce { zones, .. } => Some((record, zones.as_str())),
        // A process that starts knows of no evacuation.
        Event::ProcessStarted { .. } => Some((record, "")),
        _ => None,
    })?;
    (!zones.is_empty()).then_some((record, zones))
}

/// Explains a request that was refused since all upstreams of its service are in evacuated zones.
pub(super) fn explain_all_evacuated(events: &[EventRecord], end: &RequestEnd<'_>) -> String {
    let zones = zones_in_force(events, end).map_or(String::new(), |(record, zones)| {
        let since_ms = end.time_ms.saturating_sub(record.time.wall_ms);
        format!(" ({zones}; in force on this host for {since_ms} ms)")
    });
    format!(
        "All upstreams of {} that are ready are in evacuated availability zones{zones}, so that the request was refused \
         at once. `POST /v1/evacuate/ZONE/finish` ends an evacuation.",
        end.service
    )
}

/// Describes evacuations that leave fewer upstreams to choose from.
pub(super) fn describe_evacuations(events: &[EventRecord], end: &RequestEnd<'_>) -> String {
    zones_in_force(events, end).map_or(String::new(), |(_, zones)| {
        format!(" Upstreams in these availability zones got no requests, since they were evacuated: {zones}.")
    })
}
