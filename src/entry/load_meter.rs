//! Measures how requests fall on slots and keys, in bounded memory.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use crate::cell::loads::{KeyCount, LoadReport, SlotCount};
use crate::sketch::SpaceSavingSketch;
use crate::slot::{KeyHash, SlotId};

/// Counters for the busiest keys of one service.
const KEY_COUNTERS_MAX: usize = 64;
/// Keys that one report names.
const REPORTED_KEYS_MAX: usize = 16;
/// Slots that one report names.
const REPORTED_SLOTS_MAX: usize = 128;

#[derive(Debug)]
struct ServiceMeter {
    slots: BTreeMap<SlotId, u32>,
    keys: SpaceSavingSketch<KeyHash>,
}

/// Counts requests by service; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct LoadMeter {
    meters: Arc<Mutex<BTreeMap<String, ServiceMeter>>>,
}

impl LoadMeter {
    /// Counts one request.
    pub fn count(&self, service: &str, slot: SlotId, key: KeyHash) {
        let mut meters = match self.meters.lock() {
            Ok(meters) => meters,
            Err(poisoned) => poisoned.into_inner(),
        };
        if !meters.contains_key(service) {
            let meter = ServiceMeter {
                slots: BTreeMap::new(),
                keys: SpaceSavingSketch::new(KEY_COUNTERS_MAX),
            };
            meters.insert(service.to_string(), meter);
        }
        let Some(meter) = meters.get_mut(service) else {
            return;
        };
        *meter.slots.entry(slot).or_default() += 1;
        meter.keys.count(key);
    }

    /// Returns the busiest slots and keys; counts that aren't returned are kept for a later call.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::entry::load_meter::LoadMeter;
    /// use carobreel::slot::{KeyHash, SlotId};
    ///
    /// let meter = LoadMeter::default();
    /// meter.count("mapa-cortes", SlotId(4), KeyHash::of("rua-direita"));
    /// assert_eq!(meter.take_reports()[0].slots[0].requests, 1);
    /// assert!(meter.take_reports().is_empty());
    /// ```
    pub fn take_reports(&self) -> Vec<LoadReport> {
        let mut meters = match self.meters.lock() {
            Ok(meters) => meters,
            Err(poisoned) => poisoned.into_inner(),
        };
        let reports = meters.iter_mut().map(|(s, m)| report(s, m));
        reports.filter(|r| !r.slots.is_empty()).collect()
    }
}

fn report(service: &str, meter: &mut ServiceMeter) -> LoadReport {
    let mut slots: Vec<SlotCount> = meter
        .slots
        .iter()
        .map(|(slot, requests)| SlotCount {
            slot: *slot,
            requests: *requests,
        })
        .collect();
    slots.sort_by_key(|c| std::cmp::Reverse(c.requests));
    slots.truncate(REPORTED_SLOTS_MAX);
    for count in &slots {
        meter.slots.remove(&count.slot);
    }
    let keys = meter.keys.take_top(REPORTED_KEYS_MAX).into_iter();
    LoadReport {
        service: service.to_string(),
        slots,
        keys: keys
            .map(|(key, requests)| KeyCount { key, requests })
            .collect(),
    }
}
