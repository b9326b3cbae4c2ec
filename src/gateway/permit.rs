//! Permits for requests to upstreams with a rate limit, as an entry host sees them.

use crate::clock::Mono;
use crate::rate_limit::RateLimit;

use super::balance::{choose, is_near_tie};

/// Allows one request to an upstream with a rate limit.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    /// When the request may be sent.
    pub starts_at: Mono,
    pub(super) expires_at: Mono,
    /// The limit under which it was issued.
    pub(super) limit: RateLimit,
    /// Whether it was issued for a cold upstream.
    pub(super) is_cold: bool,
}

/// Whether a request could be sent to an upstream as far as its limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitState {
    /// It has no limit.
    NotNeeded,
    /// This host has a permit that has started.
    Held,
    /// A request would have to wait for a permit.
    Needed,
    /// A request would have to wait, and as many wait already as can get a permit in time.
    QueueFull,
}

impl PermitState {
    /// Reports whether a request needn't wait.
    pub fn is_ready(self) -> bool {
        matches!(self, PermitState::NotNeeded | PermitState::Held)
    }
}

/// An upstream that could run a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The expected response time in milliseconds, or `None` if the upstream is unavailable.
    pub expected_ms: Option<f64>,
    /// The cost of the distance, in milliseconds.
    pub distance_cost_ms: f64,
    /// Whether a request could be sent now.
    pub permit: PermitState,
}

/// The upstream for a request, as a position among the candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermittedChoice {
    /// The upstream that runs the request.
    pub position: usize,
    /// An upstream that would have been better but for its permit. One is needed for a later request.
    pub ask_ahead: Option<usize>,
}

/// Chooses among upstreams of which some have rate limits, or returns `None` if all are unavailable. A request
/// waits for a permit only if no upstream takes it now. `random` returns values from 0 to 1.
///
/// # Examples
///
/// ```
/// use carobreel::gateway::permit::{choose_permitted, Candidate, PermitState};
///
/// let limited = |permit| Candidate { expected_ms: Some(90.0), distance_cost_ms: 0.0, permit };
/// let other = Candidate { expected_ms: Some(120.0), ..limited(PermitState::NotNeeded) };
/// let choose = |candidates: &[Candidate]| choose_permitted(candidates, || 0.5);
/// let choice = choose(&[limited(PermitState::Needed), other]).unwrap();
/// assert_eq!((choice.position, choice.ask_ahead), (1, Some(0)));
/// let choice = choose(&[limited(PermitState::Held), other]).unwrap();
/// assert_eq!((choice.position, choice.ask_ahead), (0, None));
/// ```
pub fn choose_permitted(
    candidates: &[Candidate],
    mut random: impl FnMut() -> f64,
) -> Option<PermittedChoice> {
    let mut choose_among = |is_eligible: fn(PermitState) -> bool| {
        let estimate = |(position, candidate): (usize, &Candidate)| {
            let is_eligible = is_eligible(candidate.permit);
            let expected_ms = candidate.expected_ms.filter(|_| is_eligible);
            (position, expected_ms, candidate.distance_cost_ms)
        };
        choose(candidates.iter().enumerate().map(estimate), &mut random)
    };
    let best = choose_among(|_| true)?;
    // A permit that isn't used is lost to all hosts.
    let held = choose_among(|permit| permit == PermitState::Held);
    let held = held.filter(|held| is_near_tie(held.cost_ms, best.cost_ms));
    let chosen = held.unwrap_or(best);
    let (chosen, ask_ahead) = if candidates[chosen.position].permit.is_ready() {
        (chosen, None)
    } else if let Some(other) = choose_among(PermitState::is_ready) {
        (other, Some(best.position))
    } else {
        // All are at their limits: the request waits at one that takes it in time, if there is any.
        let waiting = choose_among(|permit| permit != PermitState::QueueFull);
        (waiting.unwrap_or(best), None)
    };
    Some(PermittedChoice {
        position: chosen.position,
        ask_ahead,
    })
}

/// The end of a wait for a permit.
#[derive(Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The permit.
    Granted(Permit),
    /// The limit has ended.
    NotNeeded,
    /// No permit starts in time; contains the `Retry-After` in milliseconds.
    Refused(u64),
}
