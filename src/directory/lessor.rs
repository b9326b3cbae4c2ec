//! Grants keys to upstreams for a limited time, renews the grants and takes keys back.
//!
//! An ownership is committed to the log before its grant is sent. A key changes owner only after the old
//! owner has released it or all of its grants have expired, even by the slowest permitted clock. Time and the
//! results of calls are inputs; the calls to make are the output.

mod call;
mod demand;
mod evacuation;
mod grants;
mod merge;
mod moves;
mod owners;
mod regions;
mod renew;

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Mono;
use crate::event::Event;

use super::balance::{OngoingMove, RecentMove, TransferPlanner};
use super::inferred_limits::InferredLimits;
use super::key_rates::KeyRates;
use super::model::{uncovered_ranges, Incarnation, Key, KeyRange, KeyTable, Phase, Upstream};
use super::protocol::UpstreamSpeed;
use super::speeds::Speeds;
use super::state::{Command, State};
pub use call::{Call, CallId, CallKind, CallResult};
use evacuation::EvacuationProgress;
use regions::OwnerRegions;

/// Identifies a granted range by its service, fencing token and first key.
type GrantId = (String, u64, Key);

/// How often a grant is renewed while it lasts. A renewal that is lost is sent again after
/// [`GRANT_TIMEOUT_MS`] and [`RETRY_MS`], well within the remaining time.
const RENEWALS_PER_HOLD: u64 = 2;
/// How much a slow clock may lengthen a grant, in percent: 2 by contract and 1 for rounding.
const SLOW_CLOCK_PERCENT: u64 = 3;
/// A margin on each expiry for timers and delivery, in milliseconds.
const TIMER_MARGIN_MS: u64 = 150;
/// The timeout of a grant call, in milliseconds.
pub const GRANT_TIMEOUT_MS: u64 = 300;
/// An upstream that hasn't answered or announced itself for this long counts as lost, in milliseconds.
const SILENT_AFTER_MS: u64 = 2_000;
/// The number of unanswered grants after which an upstream gets no more until it is heard from again: each
/// one delays the time at which its keys can be reassigned.
const UNANSWERED_MAX: u32 = 2;
/// The delay before a failed call is repeated, in milliseconds.
const RETRY_MS: u64 = 150;
/// The maximum of that delay, which doubles with each failure in a row to connect, in milliseconds: an
/// upstream that can't be connected to has probably ended.
const RETRY_MAX_MS: u64 = 1_200;
/// The maximum number of releases in flight; each may take as long as the requests on its keys.
const RELEASES_IN_FLIGHT_MAX: usize = 64;
/// The maximum number of ranges that change owner at the same time.
const MOVES_MAX: usize = 24;
/// The interval between two planning rounds, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 150;
/// The number of ranges above which moves for load and merges are planned less often, in proportion.
const RANGES_PER_PLAN_INTERVAL: usize = 500;
/// The maximum factor of that interval. Runs of hot keys last a few seconds.
const LOAD_PLAN_FACTOR_MAX: usize = 5;
/// How long a single key that was moved for its load stays, in milliseconds. Each move leaves it without a
/// reachable owner for about 200 ms, and a key too hot for any upstream always seems better placed elsewhere.
const HOT_KEY_COOLDOWN_MS: u64 = 2_500;
/// How long keys that changed owner aren't merged into a neighbouring range, in milliseconds. Counts over one
/// second say little about so few keys, and most would be moved back at once.
const MERGE_COOLDOWN_MS: u64 = 8_000;
/// How long keys that changed owner aren't moved on to another one, in milliseconds: two half-lives of the
/// recent counts, after which their load at the new owner is known.
const MOVE_COOLDOWN_MS: u64 = 2_000;

/// Until when an upstream may hold keys, by the grants sent to it.
#[derive(Clone, Copy, Debug, Default)]
struct GrantBounds {
    /// The expiry of grants that were acknowledged.
    confirmed_until: Mono,
    /// The expiry of grants that weren't acknowledged, which may be applied even after a release.
    unconfirmed_until: Mono,
    /// The expiry of earlier leaders' grants. An upstream refuses them after it has seen a fence of this one.
    inherited_until: Mono,
    /// When the upstream last answered a call or announced itself.
    heard_at: Mono,
    /// The number of grants unanswered since then.
    unanswered: u32,
}

#[derive(Clone, Debug)]
struct Renewal {
    to: Key,
    owner: Incarnation,
    in_flight: bool,
    next_at: Mono,
    /// The number of consecutive attempts in which nothing could be sent.
    failures: u32,
    handover: Option<String>,
    granted: bool,
    /// The last round in which the table of owners had this range.
    synced_in: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum MoveStage {
    /// Waits for the results of grant calls for these keys.
    AwaitingGrants,
    /// This release call is in flight.
    Releasing(CallId),
    /// The release is sent, or sent again after a failure, at this time.
    ReleaseDue(Mono),
    /// The old owner may hold the keys until this time.
    AwaitingExpiry(Mono),
    /// The assignment to the new owner was proposed to the log.
    Proposed,
}

#[derive(Clone, Debug)]
struct Move {
    service: String,
    from: Key,
    to: Key,
    fence: u64,
    donor: Incarnation,
    receiver: Option<Incarnation>,
    stage: MoveStage,
    /// Whether the donor has acknowledged a grant of these keys by this leader.
    granted_by_this_leader: bool,
    /// When all grants that the donor may hold have expired.
    expires_at: Mono,
    /// When the grants that it may apply even after a release have expired.
    unconfirmed_until: Mono,
}

/// A recent change of owner.
#[derive(Clone, Debug)]
struct MoveRecord {
    former_owner: Incarnation,
    moved_at: Mono,
}

/// Identifies what the renewals were derived from: the owners' version and the ranges changing owner.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LayoutVersion {
    owners: u64,
    moving: Vec<(u64, Key, Key)>,
}

#[derive(Clone, Debug)]
enum PendingCall {
    Grant {
        owner: Incarnation,
        grant_id: GrantId,
        to: Key,
    },
    Release,
}

/// The calls, commands and events that a step returns.
#[derive(Clone, Debug, Default)]
pub struct LessorOutput {
    /// Calls to make, in any order.
    pub calls: Vec<Call>,
    /// Commands to propose to the log.
    pub commands: Vec<Command>,
    /// Events to log.
    pub events: Vec<Event>,
}

/// The leader's record of grants, moves and load, from which it decides what to grant and move.
#[derive(Debug)]
pub struct Lessor {
    hold_ms: u64,
    elected_at: Mono,
    bounds: BTreeMap<Incarnation, GrantBounds>,
    renewals: BTreeMap<GrantId, Renewal>,
    /// The version of the owners that `moves` and `bounds` agree with.
    synced_owners: Option<u64>,
    /// The number of times that `renewals` was derived from the state.
    sync_round: u64,
    /// The state from which `renewals` was derived.
    synced_layout: Option<LayoutVersion>,
    /// The number of grants that may be sent now, in thousandths of a grant.
    grant_budget_milli: u64,
    budget_refilled_at: Mono,
    /// The number of other hosts that make calls for the leader.
    helpers: usize,
    moves: Vec<Move>,
    pending_calls: BTreeMap<CallId, PendingCall>,
    /// Handover data of released keys, by service, first and last key.
    handovers: BTreeMap<(String, Key, Key), String>,
    refused_grants: BTreeSet<GrantId>,
    rates: BTreeMap<String, KeyRates>,
    speeds: Speeds,
    inferred_limits: InferredLimits,
    /// The round of load plans after which limits were inferred last.
    inferred_at: Mono,
    /// When each service first had an upstream that may own keys.
    discovered_at: BTreeMap<String, Mono>,
    last_call: CallId,
    planned_at: Mono,
    /// When moves for load and merges were last planned.
    loads_planned_at: Mono,
    decayed_at: Mono,
    initially_assigned: BTreeSet<String>,
    has_reissued_fences: bool,
    /// When single keys were moved for their load, by service and key.
    hot_key_moves: BTreeMap<(String, Key), Mono>,
    /// Recent moves for load or into a neighbouring range, by service, first and last key.
    recent_moves: BTreeMap<(String, Key, Key), MoveRecord>,
    evacuation: EvacuationProgress,
    regions: OwnerRegions,
}

impl Lessor {
    /// Returns the record of the leader of `term`. Earlier leaders' grants may last as long as one sent at
    /// `elected_at`.
    pub fn new(hold_ms: u64, term: u64, elected_at: Mono) -> Lessor {
        Lessor {
            hold_ms,
            elected_at,
            bounds: BTreeMap::new(),
            renewals: BTreeMap::new(),
            synced_owners: None,
            sync_round: 0,
            synced_layout: None,
            grant_budget_milli: 0,
            budget_refilled_at: elected_at,
            helpers: 0,
            moves: Vec::new(),
            pending_calls: BTreeMap::new(),
            handovers: BTreeMap::new(),
            refused_grants: BTreeSet::new(),
            rates: BTreeMap::new(),
            speeds: Speeds::default(),
            inferred_limits: InferredLimits::default(),
            inferred_at: elected_at,
            discovered_at: BTreeMap::new(),
            last_call: CallId { term, number: 0 },
            planned_at: elected_at,
            loads_planned_at: elected_at,
            decayed_at: elected_at,
            initially_assigned: BTreeSet::new(),
            has_reissued_fences: false,
            hot_key_moves: BTreeMap::new(),
            recent_moves: BTreeMap::new(),
            evacuation: EvacuationProgress::default(),
            regions: OwnerRegions::default(),
        }
    }

    /// Records that an upstream announced itself.
    pub fn record_announcement(&mut self, incarnation: &Incarnation, now: Mono) {
        let elected_at = self.elected_at;
        let hold_ms = self.hold_ms;
        let bounds = self
            .bounds
            .entry(incarnation.clone())
            .or_insert_with(|| inherited_bounds(hold_ms, elected_at));
        bounds.heard_at = now;
        bounds.unanswered = 0;
    }

    /// Adds the requests that an entry host received, by key.
    pub fn add_key_counts(&mut self, service: &str, counts: &[(Key, u32)]) {
        let rates = self.rates.entry(service.to_string()).or_default();
        for (key, count) in counts {
            rates.add(*key, *count);
        }
    }

    /// Adds the speed of an upstream as measured by an entry host.
    pub fn add_speed(&mut self, speed: &UpstreamSpeed) {
        self.speeds
            .add(&speed.upstream, speed.total_ms, speed.answers);
    }

    /// Processes the result of a call. Results of calls that an earlier leader made are ignored.
    pub fn handle_call_result(&mut self, id: CallId, result: CallResult, now: Mono) {
        match self.pending_calls.remove(&id) {
            Some(PendingCall::Grant {
                owner, grant_id, ..
            }) => self.handle_grant_result(owner, &grant_id, result, now),
            Some(PendingCall::Release) => self.handle_release_result(id, result, now),
            None => {}
        }
    }

    /// Returns the calls and commands that are due. Calls are returned only if `may_call` is true: a leader
    /// whose lease has ended may have a successor.
    pub fn step(&mut self, state: &State, now: Mono, may_call: bool) -> LessorOutput {
        let mut output = LessorOutput::default();
        if !self.has_reissued_fences {
            self.has_reissued_fences = true;
            output.commands.push(Command::ReissueFences);
            return output;
        }
        self.sync_with_table(state);
        if now.since(self.decayed_at) >= self.load_plan_interval_ms() {
            let elapsed_ms = now.since(self.decayed_at);
            self.rates.values_mut().for_each(|r| r.decay(elapsed_ms));
            self.speeds.decay(elapsed_ms);
            self.decayed_at = now;
        }
        let Some(stored) = &state.config else {
            return output;
        };
        let plan_due = now.since(self.planned_at) >= PLAN_INTERVAL_MS;
        if plan_due {
            self.planned_at = now;
            self.track_evacuations(state, now);
        }
        let loads_due =
            plan_due && now.since(self.loads_planned_at) >= self.load_plan_interval_ms();
        if loads_due {
            self.loads_planned_at = now;
        }
        for (name, service) in &stored.config.services {
            if !service.sharded {
                continue;
            }
            self.assign_gaps(name, state, now, &mut output);
            if plan_due {
                self.log_owner_regions(name, state, now, &mut output);
                self.plan_moves(name, state, now, loads_due);
            }
        }
        self.advance_moves(state, now, may_call, &mut output);
        self.reissue_refused_fences(state, &mut output);
        if may_call {
            self.renew(state, now, &mut output);
        }
        if loads_due {
            self.merge_neighbours(state, &mut output);
            output
                .events
                .extend(self.record_evacuation_progress(state, now));
            self.log_regions_without_upstreams(state, &mut output);
        }
        output
    }

    /// Returns the interval between two rounds in which moves for load and merges are planned: the work of a
    /// round grows with the number of ranges.
    fn load_plan_interval_ms(&self) -> u64 {
        let factor = self.renewals.len() / RANGES_PER_PLAN_INTERVAL;
        PLAN_INTERVAL_MS * factor.clamp(1, LOAD_PLAN_FACTOR_MAX) as u64
    }

    fn sync_with_table(&mut self, state: &State) {
        // Each change of owner has a newer fencing token.
        let newest = state.versions.owners;
        let synced = self.synced_owners.replace(newest);
        if synced == Some(newest) {
            return;
        }
        let is_new = |r: &&KeyRange| synced.is_none_or(|synced| r.fence > synced);
        self.moves.retain(|m| {
            let table = state.owners.get(&m.service);
            let range = table.and_then(|t| t.owner_of(m.from));
            range.is_some_and(|r| r.fence == m.fence)
        });
        let elected_at = self.elected_at;
        let hold_ms = self.hold_ms;
        for table in state.owners.values() {
            for range in table.ranges.values().filter(is_new) {
                if !self.bounds.contains_key(&range.owner) {
                    let bounds = inherited_bounds(hold_ms, elected_at);
                    self.bounds.insert(range.owner.clone(), bounds);
                }
            }
        }
    }

    /// Reassigns ranges to their owners with a new fencing token where the upstream has seen a higher one.
    fn reissue_refused_fences(&mut self, state: &State, output: &mut LessorOutput) {
        for (service, fence, from) in std::mem::take(&mut self.refused_grants) {
            let table = state.owners.get(&service);
            let Some(range) = table.and_then(|t| t.owner_of(from)) else {
                continue;
            };
            if range.fence == fence {
                output.commands.push(Command::Assign {
                    service,
                    from: range.from,
                    to: range.to,
                    owner: range.owner.clone(),
                });
            }
        }
    }
}

fn inherited_bounds(hold_ms: u64, elected_at: Mono) -> GrantBounds {
    GrantBounds {
        confirmed_until: elected_at,
        unconfirmed_until: elected_at,
        inherited_until: elected_at.plus(GRANT_TIMEOUT_MS + longest_hold_ms(hold_ms)),
        heard_at: elected_at,
        unanswered: 0,
    }
}

/// Returns how long a grant of `hold_ms` may last by a slow clock, in milliseconds.
///
/// # Examples
///
/// ```
/// use carobreel::directory::lessor::longest_hold_ms;
///
/// assert_eq!(longest_hold_ms(3_000), 3_000 + 90 + 150);
/// ```
pub fn longest_hold_ms(hold_ms: u64) -> u64 {
    hold_ms + hold_ms * SLOW_CLOCK_PERCENT / 100 + TIMER_MARGIN_MS
}
