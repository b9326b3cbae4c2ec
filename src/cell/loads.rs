//! Request rates by slot and key, as moving averages of the entry hosts' load reports.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Mono;
use crate::slot::{KeyHash, SlotId};

/// Interval in which the averages are updated and slots are rebalanced, in milliseconds.
const LOAD_WINDOW_MS: u64 = 1_000;
/// Weight of the newest window in the moving average.
const NEWEST_WINDOW_WEIGHT: f64 = 0.2;
/// Rates at or below this are dropped, in requests per second.
const RATE_MIN_PER_S: f64 = 0.01;

/// Number of requests for a slot since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCount {
    /// Id of the slot.
    pub slot: SlotId,
    /// Number of requests.
    pub requests: u32,
}

/// Number of requests for a key since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCount {
    /// Hash of the key.
    pub key: KeyHash,
    /// Number of requests.
    pub requests: u32,
}

/// Requests of one service at one entry host since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The service.
    pub service: String,
    /// The busiest of the slots with requests.
    pub slots: Vec<SlotCount>,
    /// The busiest keys.
    pub keys: Vec<KeyCount>,
}

/// Request rates and the counts of the current window for one service.
#[derive(Clone, Debug, Default)]
struct ServiceLoad {
    slot_rates: BTreeMap<SlotId, f64>,
    key_rates: BTreeMap<KeyHash, f64>,
    slot_counts: BTreeMap<SlotId, u64>,
    key_counts: BTreeMap<KeyHash, u64>,
}

/// Request rates of all services.
#[derive(Clone, Debug)]
pub struct LoadAverages {
    services: BTreeMap<String, ServiceLoad>,
    window_started_at: Mono,
}

impl LoadAverages {
    /// Returns empty averages.
    pub fn new(now: Mono) -> LoadAverages {
        LoadAverages {
            services: BTreeMap::new(),
            window_started_at: now,
        }
    }

    /// Adds an entry host's report to the current window.
    pub fn record(&mut self, report: &LoadReport) {
        let load = self.services.entry(report.service.clone()).or_default();
        for count in &report.slots {
            *load.slot_counts.entry(count.slot).or_default() += u64::from(count.requests);
        }
        for count in &report.keys {
            *load.key_counts.entry(count.key).or_default() += u64::from(count.requests);
        }
    }

    /// Updates the averages if the window is over, and reports whether it was.
    pub fn close_window(&mut self, now: Mono) -> bool {
        let elapsed_ms = now.since(self.window_started_at);
        if elapsed_ms < LOAD_WINDOW_MS {
            return false;
        }
        self.window_started_at = now;
        let seconds = elapsed_ms as f64 / 1_000.0;
        for load in self.services.values_mut() {
            update_rates(&mut load.slot_rates, &mut load.slot_counts, seconds);
            update_rates(&mut load.key_rates, &mut load.key_counts, seconds);
        }
        true
    }

    /// Returns the rate of a slot in requests per second.
    pub fn slot_rate(&self, service: &str, slot: SlotId) -> f64 {
        let load = self.services.get(service);
        let rate = load.and_then(|l| l.slot_rates.get(&slot));
        rate.copied().unwrap_or(0.0)
    }

    /// Returns the rate of a pinned key in requests per second: that of its slot, or of the key itself while
    /// the pin is so new that the slot's rate is lower.
    pub fn pin_rate(&self, service: &str, key: KeyHash, slot: SlotId) -> f64 {
        let load = self.services.get(service);
        let key_rate = load.and_then(|l| l.key_rates.get(&key)).copied();
        key_rate.unwrap_or(0.0).max(self.slot_rate(service, slot))
    }

    /// Returns the busiest keys of a service and their rates in requests per second.
    pub fn key_rates(&self, service: &str) -> impl Iterator<Item = (&KeyHash, &f64)> {
        let load = self.services.get(service);
        load.into_iter().flat_map(|l| l.key_rates.iter())
    }
}

fn update_rates<K: Ord + Copy>(
    rates: &mut BTreeMap<K, f64>,
    counts: &mut BTreeMap<K, u64>,
    seconds: f64,
) {
    for rate in rates.values_mut() {
        *rate *= 1.0 - NEWEST_WINDOW_WEIGHT;
    }
    for (key, requests) in std::mem::take(counts) {
        let newest = requests as f64 / seconds;
        *rates.entry(key).or_default() += newest * NEWEST_WINDOW_WEIGHT;
    }
    rates.retain(|_, rate| *rate > RATE_MIN_PER_S);
}
