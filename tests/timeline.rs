//! Tests of the timeline across processes and of the event catalogue.

use carobreel::clock::{HybridClock, HybridTime};
use carobreel::event::{merge_timelines, Event, EventRecord, CATALOGUE};

fn record_at(host: &str, time: HybridTime) -> EventRecord {
    EventRecord {
        time,
        host: host.to_string(),
        event: Event::DocumentInForce {
            cell: "norte".to_string(),
            number: 2,
        },
    }
}

#[test]
fn events_round_trip_through_postcard() {
    let event = record_at("e1", HybridTime::default());
    let bytes = postcard::to_stdvec(&event).unwrap();
    assert_eq!(postcard::from_bytes::<EventRecord>(&bytes).unwrap(), event);
}

#[test]
fn a_received_message_is_ordered_after_its_sending_despite_clock_skew() {
    let ahead = HybridTime {
        wall_ms: u64::MAX / 2,
        counter: 3,
    };
    let received = HybridClock::default().merge(ahead);
    assert!(received > ahead);
    let merged = merge_timelines(vec![
        vec![record_at("b", received)],
        vec![record_at("a", ahead)],
    ]);
    assert_eq!(merged[0].host, "a");
}

#[test]
fn code_and_catalogue_agree() {
    let page = include_str!("../docs/EVENTS.md");
    let is_row = |l: &&str| {
        let cell = l.strip_prefix("| ").unwrap_or("");
        cell.starts_with(|c: char| c.is_ascii_digit())
    };
    let rows: Vec<&str> = page.lines().filter(is_row).collect();
    let expected: Vec<String> = CATALOGUE
        .iter()
        .map(|d| {
            format!(
                "| {} | {:?} | {} | {} |",
                d.number, d.severity, d.name, d.text
            )
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn numbers_are_unique_and_ordered() {
    let numbers: Vec<u16> = CATALOGUE.iter().map(|d| d.number).collect();
    let mut sorted = numbers.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(numbers, sorted);
}
