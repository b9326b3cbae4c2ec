//! Distributes the renewals of grants over the directory hosts.
//!
//! With thousands of key ranges, the calls that renew grants take more processor time and connections than one
//! host has. The leader hands them out to hosts that ask for some, within its lease; it alone decides which
//! calls are made, and counts each one as in flight until its result arrives or its time has passed.

use std::collections::{BTreeMap, VecDeque};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::clock::Mono;

use super::lessor::{Call, CallId, CallKind, CallResult, GRANT_TIMEOUT_MS};

/// The number of grants a second above which the leader shares them. Up to it, one host makes them with less
/// than a tenth of a core.
pub const SHARED_ABOVE_PER_S: u64 = 300;
/// The maximum time within which a helper may write the calls that it gets, in milliseconds. When a helper is lost, its
/// calls are repeated after this time and the timeout of a call, which must be well before the grants end.
pub const HELPER_LEASE_MAX_MS: u64 = 300;
/// The interval between two requests of a helper while renewals are shared, in milliseconds: short against the
/// time between two renewals of a grant.
const BUSY_PAUSE_MS: u64 = 80;
/// The same while they aren't.
const IDLE_PAUSE_MS: u64 = 1_000;
/// A host that hasn't asked for this long is assigned no calls, in milliseconds.
const AVAILABLE_MS: u64 = 250;
/// A call that isn't fetched for this long is made by the leader, in milliseconds.
const FETCH_MAX_MS: u64 = 200;
/// The maximum number of calls that a helper gets at once: each one is a task and a connection.
const CALLS_PER_FETCH_MAX: usize = 96;
/// A helper that lost calls or got to them too late is assigned none for this long, in milliseconds.
const HELPER_PAUSE_MS: u64 = 1_000;
/// After a failed call of a helper, calls to that upstream are made by the leader for this long, in
/// milliseconds: the upstream may be out of reach for the helper only.
const OWN_CALLS_MS: u64 = 5_000;
/// A host that hasn't asked for this long is forgotten, in milliseconds.
const HELPER_FORGOTTEN_MS: u64 = 10_000;
/// With at least this many helpers, the leader makes no shared calls itself.
const HELPERS_ENOUGH: usize = 2;
/// With at most this many first grants at once, the leader makes them itself, since their keys aren't served
/// meanwhile.
const OWN_FIRST_GRANTS_MAX: usize = 32;
/// The time from the end of a lease until the last call that was written within it has ended, in milliseconds.
const CALL_END_MS: u64 = GRANT_TIMEOUT_MS + 50;

#[derive(Debug, Default)]
struct Helper {
    asked_at: Mono,
    /// Assigned calls that it hasn't fetched, and when they were assigned.
    queue: VecDeque<(Mono, Call)>,
    /// It is assigned nothing before this time.
    paused_until: Mono,
    /// The number of the last batch that was handed out.
    batch: u64,
}

#[derive(Debug)]
struct HandedOut {
    host: String,
    batch: u64,
    upstream: String,
    /// The time from which a missing result counts as unanswered.
    ends_at: Mono,
}

/// The leader's record of calls that other directory hosts make.
#[derive(Debug)]
pub struct SharedRenewals {
    shared_above_per_s: u64,
    helpers: BTreeMap<String, Helper>,
    handed_out: BTreeMap<CallId, HandedOut>,
    /// Upstreams that the leader calls itself, and until when.
    own_until: BTreeMap<String, Mono>,
    is_sharing: bool,
}

/// The calls of one answer to a helper.
#[derive(Debug, PartialEq, Eq)]
pub struct Batch {
    /// The calls.
    pub calls: Vec<Call>,
    /// The number of the batch.
    pub number: u64,
    /// The time after which the helper asks again, in milliseconds.
    pub pause_ms: u64,
}

impl SharedRenewals {
    /// Returns a record without helpers. Grants are shared while they are more than `shared_above_per_s` a
    /// second.
    pub fn new(shared_above_per_s: u64) -> SharedRenewals {
        SharedRenewals {
            shared_above_per_s,
            helpers: BTreeMap::new(),
            handed_out: BTreeMap::new(),
            own_until: BTreeMap::new(),
            is_sharing: false,
        }
    }

    /// Returns the number of hosts that calls are assigned to.
    pub fn helpers(&self, now: Mono) -> usize {
        self.available(now).count()
    }

    fn available(&self, now: Mono) -> impl Iterator<Item = &String> {
        let helpers = self.helpers.iter();
        let is_available =
            move |h: &Helper| now.since(h.asked_at) <= AVAILABLE_MS && now >= h.paused_until;
        helpers
            .filter(move |(_, h)| is_available(h))
            .map(|(host, _)| host)
    }

    /// Assigns calls to helpers and returns those that the leader makes itself. `per_s` is the number of grants
    /// a second that all ranges take.
    pub fn assign(&mut self, calls: Vec<Call>, per_s: u64, now: Mono) -> Vec<Call> {
        self.is_sharing = per_s > self.shared_above_per_s;
        self.own_until.retain(|_, until| now < *until);
        let hosts: Vec<(u64, String)> = match self.is_sharing {
            true => self
                .available(now)
                .map(|host| (xxh3_64(host.as_bytes()), host.clone()))
                .collect(),
            false => Vec::new(),
        };
        if hosts.is_empty() {
            return calls;
        }
        let leader_seed = (hosts.len() < HELPERS_ENOUGH).then_some(0);
        let is_first = |c: &&Call| !is_shareable(c, false);
        let share_first = calls.iter().filter(is_first).count() > OWN_FIRST_GRANTS_MAX;
        let mut own = Vec::new();
        for call in calls {
            let is_own =
                !is_shareable(&call, share_first) || self.own_until.contains_key(&call.upstream);
            let weight = |seed: u64| xxh3_64_with_seed(call.upstream.as_bytes(), seed);
            let chosen = hosts.iter().max_by_key(|(seed, _)| weight(*seed));
            let helper = chosen
                .filter(|(seed, _)| leader_seed.is_none_or(|own| weight(*seed) > weight(own)))
                .filter(|_| !is_own)
                .and_then(|(_, host)| self.helpers.get_mut(host));
            match helper {
                Some(helper) => helper.queue.push_back((now, call)),
                None => own.push(call),
            }
        }
        own
    }

    /// Returns the next calls for a helper, to be written within the next `lease_ms` milliseconds. `received` is
    /// the number of the last batch that it got.
    pub fn take(&mut self, host: &str, received: u64, lease_ms: u64, now: Mono) -> Batch {
        let helper = self.helpers.entry(host.to_string()).or_default();
        helper.asked_at = now;
        // An answer that the helper didn't get is lost: it doesn't wait for it any more.
        for lost in self.handed_out.values_mut() {
            if lost.host == host && lost.batch > received {
                lost.ends_at = now;
            }
        }
        let count = match lease_ms {
            0 => 0,
            _ => helper.queue.len().min(CALLS_PER_FETCH_MAX),
        };
        helper.batch += 1;
        let calls: Vec<Call> = helper.queue.drain(..count).map(|(_, call)| call).collect();
        for call in &calls {
            let handed_out = HandedOut {
                host: host.to_string(),
                batch: helper.batch,
                upstream: call.upstream.clone(),
                ends_at: now.plus(lease_ms + CALL_END_MS),
            };
            self.handed_out.insert(call.id, handed_out);
        }
        Batch {
            calls,
            number: helper.batch,
            pause_ms: match self.is_sharing {
                true => BUSY_PAUSE_MS,
                false => IDLE_PAUSE_MS,
            },
        }
    }

    /// Records the result of a call that a helper made.
    pub fn record_result(&mut self, id: CallId, result: &CallResult, now: Mono) {
        let Some(handed_out) = self.handed_out.remove(&id) else {
            return;
        };
        match result {
            CallResult::Done(_) | CallResult::Fenced => {}
            CallResult::LeaseEnded => self.pause_helper(&handed_out.host, now),
            _ => {
                let until = now.plus(OWN_CALLS_MS);
                self.own_until.insert(handed_out.upstream, until);
            }
        }
    }

    /// Returns the calls that no helper fetched in time, which the leader makes itself.
    pub fn take_unfetched(&mut self, now: Mono) -> Vec<Call> {
        let mut unfetched = Vec::new();
        let asks = |h: &Helper| now.since(h.asked_at) < HELPER_FORGOTTEN_MS;
        self.helpers.retain(|_, h| asks(h) || !h.queue.is_empty());
        for helper in self.helpers.values_mut() {
            let is_late = |(at, _): &(Mono, Call)| now.since(*at) > FETCH_MAX_MS;
            while helper.queue.front().is_some_and(is_late) {
                unfetched.extend(helper.queue.pop_front().map(|(_, call)| call));
            }
        }
        unfetched
    }

    /// Returns the calls whose results didn't arrive in time. They are repeated by the leader, since their grants end
    /// soon.
    pub fn take_lost(&mut self, now: Mono) -> Vec<CallId> {
        let is_lost = |h: &HandedOut| now >= h.ends_at;
        let lost = self.handed_out.iter().filter(|(_, h)| is_lost(h));
        let lost: Vec<CallId> = lost.map(|(id, _)| *id).collect();
        for id in &lost {
            if let Some(handed_out) = self.handed_out.remove(id) {
                let until = now.plus(OWN_CALLS_MS);
                self.own_until.insert(handed_out.upstream, until);
                self.pause_helper(&handed_out.host, now);
            }
        }
        lost
    }

    fn pause_helper(&mut self, host: &str, now: Mono) {
        if let Some(helper) = self.helpers.get_mut(host) {
            helper.paused_until = now.plus(HELPER_PAUSE_MS);
        }
    }
}

/// Reports whether a call may be made by a helper: a renewal, or a first grant without handover data.
fn is_shareable(call: &Call, share_first: bool) -> bool {
    match &call.kind {
        CallKind::Grant {
            handover,
            is_renewal,
            ..
        } => handover.is_none() && (*is_renewal || share_first),
        CallKind::Release => false,
    }
}
