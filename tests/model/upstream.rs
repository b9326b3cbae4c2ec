//! Upstreams in the simulation: they check fencing tokens, hold keys by a slow clock and apply some calls
//! late.

use std::collections::BTreeMap;

use carobreel::directory::lessor::{Call, CallKind, CallResult};
use carobreel::directory::model::{Incarnation, Key, Phase, Upstream};

use super::SERVICE;

/// The number of sampled keys; the key after each one is sampled too.
const SAMPLE_COUNT: u32 = 256;
/// The availability zones, to which upstreams belong in turn.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];

#[derive(Clone, Copy, Debug)]
struct HeldKey {
    fence: u64,
    until: u64,
}

struct DelayedCall {
    call: Call,
    arrived_at: u64,
    apply_at: u64,
}

/// One upstream process.
pub struct ModelUpstream {
    pub is_running: bool,
    /// Whether it is cut off from the directory. Callers still reach it.
    pub is_cut_off: bool,
    pub is_draining: bool,
    /// Its availability zone.
    pub zone: String,
    pub incarnation: Incarnation,
    /// When the directory acknowledged this process's first announcement.
    pub acked_at: Option<u64>,
    held_keys: BTreeMap<Key, HeldKey>,
    seen_fences: BTreeMap<Key, u64>,
    delayed_calls: Vec<DelayedCall>,
}

/// All upstreams.
pub struct Upstreams {
    pub list: Vec<ModelUpstream>,
    pub grants: u64,
    pub handovers: u64,
    slow_clock_percent: u64,
    /// The highest fencing token with which any upstream held a key, and that upstream.
    highest_fences: BTreeMap<Key, (u64, Incarnation)>,
}

pub fn sampled_keys() -> impl Iterator<Item = Key> {
    (0..SAMPLE_COUNT).flat_map(|n| {
        let key = n * 65_536 / SAMPLE_COUNT;
        [key as Key, (key + 1) as Key]
    })
}

impl Upstreams {
    pub fn new(count: usize, slow_clock_percent: u64) -> Upstreams {
        let upstream = |n: usize| ModelUpstream {
            is_running: true,
            is_cut_off: false,
            is_draining: false,
            zone: ZONES[n % ZONES.len()].to_string(),
            incarnation: Incarnation {
                id: format!("u{n}"),
                born_ms: 1_000 + n as u64,
            },
            acked_at: None,
            held_keys: BTreeMap::new(),
            seen_fences: BTreeMap::new(),
            delayed_calls: Vec::new(),
        };
        Upstreams {
            list: (0..count).map(upstream).collect(),
            grants: 0,
            handovers: 0,
            slow_clock_percent,
            highest_fences: BTreeMap::new(),
        }
    }

    /// Returns the announcement of upstream `n`.
    pub fn announcement(&self, n: usize) -> Upstream {
        let upstream = &self.list[n];
        Upstream {
            incarnation: upstream.incarnation.clone(),
            service: SERVICE.to_string(),
            address: format!("10.1.0.{}:80", n + 1).parse().unwrap(),
            zone: upstream.zone.clone(),
            version: "v1".to_string(),
            slots: 3,
            is_cold: false,
            cold_sequence: None,
            phase: if upstream.is_draining {
                Phase::Draining
            } else {
                Phase::Ready
            },
        }
    }

    /// Restarts an upstream with the same id.
    pub fn restart(&mut self, n: usize, now: u64) {
        let upstream = &mut self.list[n];
        upstream.is_running = true;
        upstream.is_draining = false;
        upstream.incarnation.born_ms = 10_000 + now;
        upstream.acked_at = None;
        upstream.held_keys.clear();
        upstream.seen_fences.clear();
        upstream.delayed_calls.clear();
    }

    /// Ends an upstream and starts another one at its address.
    pub fn replace(&mut self, n: usize, now: u64) {
        self.restart(n, now);
        self.list[n].incarnation.id.push('x');
    }

    /// Ends an upstream.
    pub fn crash(&mut self, n: usize) {
        let upstream = &mut self.list[n];
        upstream.is_running = false;
        upstream.held_keys.clear();
        upstream.delayed_calls.clear();
    }

    /// Carries out a call and returns its result and the delay of the answer, or `None` if the upstream isn't
    /// reached.
    pub fn apply(&mut self, call: &Call, now: u64) -> Option<(CallResult, u64)> {
        let n = self.find_target(call)?;
        if self.list[n].incarnation.id != call.upstream {
            return Some((CallResult::Misdirected, 0));
        }
        match &call.kind {
            CallKind::Grant {
                hold_ms, handover, ..
            } => {
                self.handovers += u64::from(handover.is_some());
                let until = now + hold_ms + hold_ms * self.slow_clock_percent / 100;
                Some((self.grant(n, call, until, now), 0))
            }
            CallKind::Release => {
                let upstream = &mut self.list[n];
                upstream.held_keys.retain(|key, held_key| {
                    !(call.from..=call.to).contains(key) || held_key.fence > call.fence
                });
                let handover = format!("{}-{}", call.from, call.to);
                Some((CallResult::Done(Some(handover)), 90))
            }
        }
    }

    /// Stores a call to be carried out later; its time counts from its arrival.
    pub fn apply_delayed(&mut self, call: &Call, now: u64, apply_at: u64) {
        let found = self.find_target(call);
        if let Some(n) = found.filter(|n| self.list[*n].incarnation.id == call.upstream) {
            self.list[n].delayed_calls.push(DelayedCall {
                call: call.clone(),
                arrived_at: now,
                apply_at,
            });
        }
    }

    fn find_target(&self, call: &Call) -> Option<usize> {
        let std::net::IpAddr::V4(ip) = call.address.ip() else {
            return None;
        };
        let n = usize::from(ip.octets()[3]) - 1;
        let upstream = self.list.get(n)?;
        (upstream.is_running && !upstream.is_cut_off).then_some(n)
    }

    /// Applies a grant that arrived at `arrived_at`. A process may receive grants of the previous one with
    /// its id only until the directory knows of it; a call takes up to 60 ms to arrive.
    fn grant(&mut self, n: usize, call: &Call, until: u64, arrived_at: u64) -> CallResult {
        let keys: Vec<Key> = sampled_keys()
            .filter(|k| (call.from..=call.to).contains(k))
            .collect();
        let incarnation = self.list[n].incarnation.clone();
        let seen = |k: &Key| {
            self.list[n]
                .seen_fences
                .get(k)
                .is_some_and(|f| *f > call.fence)
        };
        if keys.iter().any(seen) {
            return CallResult::Fenced;
        }
        self.grants += 1;
        for key in keys {
            let highest = self.highest_fences.get(&key);
            if let Some((fence, holder)) = highest {
                let acked_at = self.list[n].acked_at;
                let is_unknown = acked_at.is_none_or(|at| arrived_at < at + 60);
                let is_same_holder =
                    *holder == incarnation || (holder.id == incarnation.id && is_unknown);
                assert!(
                    call.fence > *fence || (call.fence == *fence && is_same_holder),
                    "key {key} goes from {holder:?} to {incarnation:?} with fence {} after {fence}",
                    call.fence
                );
            }
            self.highest_fences
                .insert(key, (call.fence, incarnation.clone()));
            let upstream = &mut self.list[n];
            upstream.seen_fences.insert(key, call.fence);
            let held_key = upstream.held_keys.entry(key).or_insert(HeldKey {
                fence: call.fence,
                until,
            });
            held_key.fence = call.fence;
            held_key.until = held_key.until.max(until);
        }
        CallResult::Done(None)
    }

    fn apply_due(&mut self, now: u64) {
        for n in 0..self.list.len() {
            let delayed_calls = std::mem::take(&mut self.list[n].delayed_calls);
            for delayed in delayed_calls {
                if delayed.apply_at > now {
                    self.list[n].delayed_calls.push(delayed);
                    continue;
                }
                let CallKind::Grant { hold_ms, .. } = delayed.call.kind else {
                    continue;
                };
                let until = delayed.arrived_at + hold_ms + hold_ms * self.slow_clock_percent / 100;
                // A grant with an outdated fencing token or an expired time has no effect.
                if until > now {
                    let _ = self.grant(n, &delayed.call, until, delayed.arrived_at);
                }
            }
        }
    }

    /// Checks that no key is held by two running upstreams.
    pub fn check_owners(&mut self, now: u64) {
        self.apply_due(now);
        let mut holders: BTreeMap<Key, &Incarnation> = BTreeMap::new();
        for upstream in self.list.iter().filter(|u| u.is_running) {
            for (key, held_key) in &upstream.held_keys {
                if held_key.until <= now {
                    continue;
                }
                if let Some(other) = holders.insert(*key, &upstream.incarnation) {
                    panic!(
                        "at {now}: key {key} is held by {other:?} and {:?}",
                        upstream.incarnation
                    );
                }
            }
        }
    }

    /// Returns the number of sampled keys that running upstreams hold.
    pub fn held_key_count(&self, now: u64) -> usize {
        let running = self.list.iter().filter(|u| u.is_running);
        let held = running.flat_map(|u| u.held_keys.values().filter(|h| h.until > now));
        held.count()
    }
}
