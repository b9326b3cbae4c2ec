//! Grants keys to upstreams and takes them back.
//!
//! Ownership is in the log before a grant is sent. Keys change owner only once the old owner gave
//! them back or can't hold them any longer, by the slowest clock allowed. Time and the results of
//! calls are inputs; the calls to make are the output.

mod grants;
mod merge;
mod moves;
mod renew;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::clock::Mono;

use super::balance::{KeyRates, OngoingMove, Planner, RecentMove};
use super::model::{uncovered_ranges, Incarnation, Key, KeyRange, KeyTable, Phase};
use super::protocol::UpstreamSpeed;
use super::speeds::Speeds;
use super::state::{Command, State};

/// A granted range: its service, its fencing token and its first key.
type GrantId = (String, u64, Key);

/// Renewals go out this many times while a grant lasts. One that is lost is sent again after
/// [`GRANT_TIMEOUT_MS`] and [`RETRY_MS`], well within the rest.
const RENEWALS_PER_HOLD: u64 = 2;
/// Time for which an upstream's slow clock may stretch a hold: 2% by contract, and one for rounding.
const SLOW_CLOCK_PERCENT: u64 = 3;
/// What is added to each bound for timers and delivery, in milliseconds.
const TIMER_MARGIN_MS: u64 = 150;
/// A grant's answer is awaited this long, in milliseconds.
pub const GRANT_TIMEOUT_MS: u64 = 300;
/// An upstream that answers nothing for this long is taken for lost, in milliseconds.
const SILENT_AFTER_MS: u64 = 2_000;
/// Grants that may stay unanswered before an upstream must be heard of again: each one puts off the
/// moment at which its keys can be given away.
const UNANSWERED_MAX: u32 = 2;
/// The pause before a failed call is made again, in milliseconds.
const RETRY_MS: u64 = 150;
/// The same after several failures in a row, each of which doubles it: an upstream that can't be connected
/// to is probably gone.
const RETRY_MAX_MS: u64 = 1_200;
/// Releases that wait for an answer at once; they may take as long as the work on their keys.
const RELEASES_IN_FLIGHT_MAX: usize = 64;
/// Ranges that may change owner at once.
const MOVES_MAX: usize = 24;
/// Between two planning rounds, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 150;
/// A single key that was moved for its load stays for this long, in milliseconds: each move costs it about
/// 200 ms without an owner in reach, and a key too hot for any upstream looks better off elsewhere.
const HOT_KEY_COOLDOWN_MS: u64 = 2_500;
/// Keys that changed hands aren't given to a neighbour for this long, in milliseconds: what is
/// counted within a second says little of so few keys, and most would go back at once.
const MERGE_COOLDOWN_MS: u64 = 8_000;
/// They aren't passed on to a further owner either for this long, in milliseconds: two half-lives of what is
/// counted, so that their load at the new owner is known.
const MOVE_COOLDOWN_MS: u64 = 2_000;
/// The first layout waits this long for a service's upstreams to appear, in milliseconds.
const DISCOVERY_MS: u64 = 1_000;
/// Ranges that each upstream gets in the first layout, where upstreams are few.
const INITIAL_RANGES_PER_UPSTREAM: usize = 2;
/// With more upstreams than this each one gets a single range: every range is renewed by the leader.
const SINGLE_RANGE_ABOVE: usize = 128;

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Grants or renews keys.
    Grant {
        /// How long the upstream may hold them, in milliseconds.
        hold_ms: u64,
        /// The last owner's handover.
        handover: Option<String>,
    },
    /// Takes keys back.
    Release,
}

impl CallKind {
    /// Returns its name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            CallKind::Grant { .. } => "grant",
            CallKind::Release => "release",
        }
    }
}

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Names the call in its result.
    pub number: u64,
    /// Whom to call.
    pub address: SocketAddr,
    /// The upstream that the call is for; another one at the address must not carry it out.
    pub upstream: String,
    /// The service, for logs.
    pub service: String,
    /// The first key.
    pub from: Key,
    /// The last key.
    pub to: Key,
    /// The fencing token.
    pub fence: u64,
    /// What to ask.
    pub kind: CallKind,
    /// How long to wait for the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It was carried out; a release carries the handover.
    Done(Option<String>),
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// No connection could be opened; nothing was sent.
    NotSent,
    /// The leader's lease ended before the call could be written; nothing was sent.
    LeaseEnded,
    /// Another upstream has the address, and didn't carry it out.
    Misdirected,
    /// It may be carried out, now or later.
    Unknown,
}

impl CallResult {
    /// Returns its name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            CallResult::Done(_) => "done",
            CallResult::Fenced => "fenced",
            CallResult::NotSent => "not_sent",
            CallResult::LeaseEnded => "lease_ended",
            CallResult::Misdirected => "elsewhere",
            CallResult::Unknown => "unanswered",
        }
    }
}

/// What the last owner may still hold.
#[derive(Clone, Copy, Debug, Default)]
struct GrantBounds {
    /// By grants that were answered.
    confirmed_until: Mono,
    /// By grants that weren't: these may be applied after a release.
    unconfirmed_until: Mono,
    /// By grants of earlier leaders. An upstream refuses them once it has seen a fence of this one.
    inherited_until: Mono,
    /// When the upstream last answered or announced itself.
    heard_at: Mono,
    /// Grants that weren't answered since then.
    unanswered: u32,
}

#[derive(Clone, Debug)]
struct Renewal {
    to: Key,
    owner: Incarnation,
    in_flight: bool,
    next_at: Mono,
    /// Times in a row that nothing could be sent.
    failures: u32,
    handover: Option<String>,
    granted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum MoveStage {
    /// Waits for grants on the keys that are under way.
    AwaitingGrants,
    /// The release is on its way.
    Releasing,
    /// The release failed and is sent again at this point.
    ReleaseDue(Mono),
    /// The old owner holds the keys until this point at most.
    AwaitingExpiry(Mono),
    /// The new owner was proposed.
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
    /// Whether the donor has taken a grant of this leader for these keys.
    granted_by_this_leader: bool,
    /// When the donor can't hold the keys any longer, whatever it was sent.
    expires_at: Mono,
    /// The same, for grants that weren't answered.
    unconfirmed_until: Mono,
}

/// Keys that were moved a moment ago.
#[derive(Clone, Debug)]
struct MoveRecord {
    former_owner: Incarnation,
    moved_at: Mono,
}

/// The version of the table of owners, and which keys are changing hands.
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
    Release {
        service: String,
        from: Key,
    },
}

/// What a step asks for.
#[derive(Clone, Debug, Default)]
pub struct LessorOutput {
    /// Calls to make, in any order.
    pub calls: Vec<Call>,
    /// Commands to propose.
    pub commands: Vec<Command>,
}

/// The leader's book of grants.
#[derive(Debug)]
pub struct Lessor {
    hold_ms: u64,
    elected_at: Mono,
    bounds: BTreeMap<Incarnation, GrantBounds>,
    renewals: BTreeMap<GrantId, Renewal>,
    /// What `renewals` was made from.
    synced_layout: Option<LayoutVersion>,
    /// Grants that may be sent now, in thousandths.
    grant_budget_milli: u64,
    budget_refilled_at: Mono,
    moves: Vec<Move>,
    pending_calls: BTreeMap<u64, PendingCall>,
    handovers: BTreeMap<(String, Key, Key), String>,
    refused_grants: BTreeSet<GrantId>,
    rates: BTreeMap<String, KeyRates>,
    speeds: Speeds,
    discovered_at: BTreeMap<String, Mono>,
    last_call_number: u64,
    planned_at: Mono,
    decayed_at: Mono,
    initially_assigned: BTreeSet<String>,
    has_reissued_fences: bool,
    /// Single keys that were moved for their load, with when.
    hot_key_moves: BTreeMap<(String, Key), Mono>,
    /// Keys that were moved for their load or to a neighbour, by service, first and last key.
    recent_moves: BTreeMap<(String, Key, Key), MoveRecord>,
}

impl Lessor {
    /// Returns the book of a leader that was just elected: what earlier leaders granted may last
    /// as long as a grant sent right before the election.
    pub fn new(hold_ms: u64, elected_at: Mono) -> Lessor {
        Lessor {
            hold_ms,
            elected_at,
            bounds: BTreeMap::new(),
            renewals: BTreeMap::new(),
            synced_layout: None,
            grant_budget_milli: 0,
            budget_refilled_at: elected_at,
            moves: Vec::new(),
            pending_calls: BTreeMap::new(),
            handovers: BTreeMap::new(),
            refused_grants: BTreeSet::new(),
            rates: BTreeMap::new(),
            speeds: Speeds::default(),
            discovered_at: BTreeMap::new(),
            last_call_number: 1,
            planned_at: elected_at,
            decayed_at: elected_at,
            initially_assigned: BTreeSet::new(),
            has_reissued_fences: false,
            hot_key_moves: BTreeMap::new(),
            recent_moves: BTreeMap::new(),
        }
    }

    /// Notes that an upstream announced itself.
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

    /// Adds requests that entry hosts have seen.
    pub fn add_key_counts(&mut self, service: &str, counts: &[(Key, u32)]) {
        let rates = self.rates.entry(service.to_string()).or_default();
        for (key, count) in counts {
            rates.add(*key, *count);
        }
    }

    /// Adds how fast an entry host found an upstream.
    pub fn add_speed(&mut self, speed: &UpstreamSpeed) {
        self.speeds
            .add(&speed.upstream, speed.total_ms, speed.answers);
    }

    /// Takes the result of a call.
    pub fn handle_call_result(&mut self, number: u64, result: CallResult, now: Mono) {
        match self.pending_calls.remove(&number) {
            Some(PendingCall::Grant {
                owner, grant_id, ..
            }) => self.handle_grant_result(owner, &grant_id, result, now),
            Some(PendingCall::Release { service, from }) => {
                self.handle_release_result(&service, from, result, now)
            }
            None => {}
        }
    }

    /// Decides what to do now. Calls are returned only while `may_call` holds: a leader whose lease
    /// ran out may have a successor.
    pub fn step(&mut self, state: &State, now: Mono, may_call: bool) -> LessorOutput {
        let mut output = LessorOutput::default();
        if !self.has_reissued_fences {
            self.has_reissued_fences = true;
            output.commands.push(Command::ReissueFences);
            return output;
        }
        self.sync_with_table(state);
        if now.since(self.decayed_at) >= PLAN_INTERVAL_MS {
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
        }
        for (name, service) in &stored.config.services {
            if !service.sharded {
                continue;
            }
            self.assign_unowned(name, state, now, &mut output);
            if plan_due {
                self.plan_moves(name, state, now);
            }
        }
        self.advance_moves(state, now, may_call, &mut output);
        self.reissue_refused_fences(state, &mut output);
        if may_call {
            self.renew(state, now, &mut output);
        }
        if plan_due {
            self.merge_neighbours(state, &mut output);
        }
        output
    }

    fn sync_with_table(&mut self, state: &State) {
        self.moves.retain(|m| {
            let table = state.owners.get(&m.service);
            let range = table.and_then(|t| t.owner_of(m.from));
            range.is_some_and(|r| r.fence == m.fence)
        });
        let elected_at = self.elected_at;
        let hold_ms = self.hold_ms;
        for table in state.owners.values() {
            for range in table.ranges.values() {
                if !self.bounds.contains_key(&range.owner) {
                    let bounds = inherited_bounds(hold_ms, elected_at);
                    self.bounds.insert(range.owner.clone(), bounds);
                }
            }
        }
    }

    fn candidates(&self, service: &str, state: &State, now: Mono) -> BTreeSet<Incarnation> {
        let ready = state.upstreams.values().filter(|u| {
            u.service == service && u.phase == Phase::Ready && !self.is_silent(&u.incarnation, now)
        });
        ready.map(|u| u.incarnation.clone()).collect()
    }

    fn is_silent(&self, incarnation: &Incarnation, now: Mono) -> bool {
        let heard_at = self
            .bounds
            .get(incarnation)
            .map_or(self.elected_at, |b| b.heard_at);
        now.since(heard_at) > SILENT_AFTER_MS
    }

    /// Gives keys that nobody owns to the upstreams at hand.
    fn assign_unowned(
        &mut self,
        service: &str,
        state: &State,
        now: Mono,
        output: &mut LessorOutput,
    ) {
        let empty = KeyTable::default();
        let table = state.owners.get(service).unwrap_or(&empty);
        let gaps = table.gaps();
        if gaps.is_empty() || self.initially_assigned.contains(service) {
            return;
        }
        let candidates: Vec<Incarnation> =
            self.candidates(service, state, now).into_iter().collect();
        if candidates.is_empty() {
            return;
        }
        let started_at = *self.discovered_at.entry(service.to_string()).or_insert(now);
        if now.since(started_at) < DISCOVERY_MS {
            return;
        }
        self.initially_assigned.insert(service.to_string());
        let range_count = initial_ranges(candidates.len());
        for (from, to) in gaps {
            let keys = u32::from(to) - u32::from(from) + 1;
            let keys_per_range = keys.div_ceil(range_count as u32).max(1);
            for (n, start) in (u32::from(from)..=u32::from(to))
                .step_by(keys_per_range as usize)
                .enumerate()
            {
                let end = (start + keys_per_range - 1).min(u32::from(to));
                output.commands.push(Command::Assign {
                    service: service.to_string(),
                    from: start as Key,
                    to: end as Key,
                    owner: candidates[n % candidates.len()].clone(),
                });
            }
        }
    }

    /// Draws new fencing tokens for keys whose upstream has seen a higher one.
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

/// Returns how many ranges the keys of a service with `upstreams` upstreams are divided into at first.
fn initial_ranges(upstreams: usize) -> usize {
    match upstreams > SINGLE_RANGE_ABOVE {
        true => upstreams,
        false => upstreams * INITIAL_RANGES_PER_UPSTREAM,
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

/// Returns the longest that a grant of `hold_ms` may last by a slow clock, in milliseconds.
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
