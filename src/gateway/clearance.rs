//! Decides whether a request may be sent although upstreams ended while they had it.

use std::time::Duration;

use crate::clock::Mono;
use crate::directory::suspects::{BrokenRequest, Stage, SuspectId};

use super::caller_request::{CallerRequest, Failure, Selection};
use super::crash_watch::BreakOutcome;
use super::protocol::Protocol;
use super::proxy::Proxy;
use super::request_tracker::TrackedRequest;
use super::suspect_book::Verdict;
use super::suspects::{UPSTREAMS_ENDED, UPSTREAMS_ENDED_ON_TRIAL};

/// Maximum time that a request waits for the result of a trial of the same request, in milliseconds.
const TRIAL_WAIT_MAX_MS: u64 = 350;
/// `Retry-After` of a request on trial, in milliseconds: about the time of a trial.
const ON_TRIAL_RETRY_AFTER_MS: u64 = 1_000;
/// Minimum `Retry-After` of a request in quarantine, in milliseconds. It is in force while the time of the next
/// trial isn't known.
const QUARANTINED_RETRY_AFTER_MS: u64 = 3_600_000;
/// Maximum time for which a request waits to learn whether the upstream ended whose connection broke. It covers a
/// round trip to another region.
const BREAK_WAIT_MAX: Duration = Duration::from_millis(150);

/// Whether a request may be sent.
#[derive(Debug, Default)]
pub(super) struct Clearance {
    /// What the request is suspected as, while requests of its service are.
    id: Option<SuspectId>,
    /// Whether it is sent as a trial.
    is_trial: bool,
    /// Whether an upstream may have run it.
    may_have_run: bool,
    /// Time spent waiting for trials of the same request, in milliseconds.
    waited_ms: u64,
}

impl Clearance {
    /// Records that an upstream may have run the request.
    pub(super) fn mark_run(&mut self) {
        self.may_have_run = true;
    }
}

impl<P: Protocol> Proxy<P> {
    /// Refuses a request that is in quarantine, before any upstream is selected. One that is on trial waits for
    /// the result.
    pub(super) async fn check_suspicion(
        &self,
        req: &CallerRequest<'_>,
        tracked: &TrackedRequest<'_>,
        clearance: &mut Clearance,
    ) -> Result<(), Failure> {
        let suspects = &self.state.suspects;
        if clearance.is_trial || !suspects.has_suspects_of(req.service) {
            return Ok(());
        }
        let id = clearance.id.get_or_insert_with(|| req.suspect_id());
        loop {
            let mut changes = suspects.changes();
            let now = self.state.clock.now();
            let Verdict::TrialOnly {
                stage,
                ask_in_ms,
                due_in_ms,
            } = suspects.verdict(id, now)
            else {
                return Ok(());
            };
            if ask_in_ms == 0 && stage == Stage::Quarantined {
                // Asked for before an upstream is selected, so that a refusal takes no time.
                if suspects
                    .begin_trial(id, req.deadline.since(now))
                    .await
                    .is_ok()
                {
                    clearance.is_trial = true;
                    return Ok(());
                }
                continue;
            }
            if ask_in_ms == 0 {
                return Ok(());
            }
            let left_ms = TRIAL_WAIT_MAX_MS.saturating_sub(clearance.waited_ms);
            let wait_ms = left_ms.min(req.deadline.since(now) / 3);
            if stage == Stage::Quarantined || wait_ms == 0 {
                return Err(self.refuse_suspect(tracked, id, stage, due_in_ms));
            }
            let wait = Duration::from_millis(wait_ms.min(ask_in_ms));
            // Either the list has changed, or the leader may be asked again.
            let _ = tokio::time::timeout(wait, changes.changed()).await;
            let waited_ms = self.state.clock.now().since(now);
            clearance.waited_ms += waited_ms.max(1);
        }
    }

    /// Decides at the moment of sending whether a request may be sent: a suspected one needs the leader's leave.
    /// Returns whether it does; otherwise [`check_suspicion`](Self::check_suspicion) has to be asked again.
    pub(super) async fn may_send(
        &self,
        req: &CallerRequest<'_>,
        clearance: &mut Clearance,
        now: Mono,
    ) -> bool {
        let suspects = &self.state.suspects;
        if clearance.is_trial || !suspects.has_suspects_of(req.service) {
            return true;
        }
        let id = clearance.id.get_or_insert_with(|| req.suspect_id());
        let Verdict::TrialOnly { ask_in_ms, .. } = suspects.verdict(id, now) else {
            return true;
        };
        if ask_in_ms > 0 {
            return false;
        }
        let for_ms = req.deadline.since(now);
        clearance.is_trial = suspects.begin_trial(id, for_ms).await.is_ok();
        clearance.is_trial
    }

    /// Records that a request ended. A trial that no upstream may have run doesn't count.
    pub(super) fn end_clearance(&self, clearance: &Clearance) {
        if let Some(id) = clearance.id.as_ref() {
            if clearance.is_trial && !clearance.may_have_run {
                self.state.suspects.record_unused_trial(id);
            }
        }
    }

    fn refuse_suspect(
        &self,
        tracked: &TrackedRequest<'_>,
        id: &SuspectId,
        stage: Stage,
        due_in_ms: u64,
    ) -> Failure {
        let (reason, retry_after_ms) = match stage {
            Stage::Quarantined => (UPSTREAMS_ENDED, due_in_ms.max(QUARANTINED_RETRY_AFTER_MS)),
            Stage::OnTrial | Stage::Noted => (UPSTREAMS_ENDED_ON_TRIAL, ON_TRIAL_RETRY_AFTER_MS),
        };
        tracked.record_suspect_refused(&self.state.suspects, id, stage, retry_after_ms);
        Failure::refused(reason, retry_after_ms)
    }

    /// Records the answer to a request, which clears it of suspicions.
    pub(super) fn record_suspect_answer(
        &self,
        req: &CallerRequest<'_>,
        selected: &Selection,
        clearance: &Clearance,
        is_served: bool,
    ) {
        let suspects = &self.state.suspects;
        if !is_served || !suspects.has_suspects_of(req.service) {
            return;
        }
        let upstream = &selected.client.incarnation;
        suspects.record_answer(&req.suspect_id(), upstream, clearance.is_trial);
    }

    /// Records that the connection of a request broke. Returns whether the upstream is known to have ended, which
    /// this waits for if the request could be repeated.
    pub(super) async fn has_ended_upstream(
        &self,
        req: &CallerRequest<'_>,
        tracked: &TrackedRequest<'_>,
        selected: &Selection,
        clearance: &Clearance,
    ) -> bool {
        let digest = req.digest();
        tracked.record_broken(selected, digest);
        let request = BrokenRequest {
            digest,
            is_trial: clearance.is_trial,
        };
        let crash_watch = &self.state.crash_watch;
        let Some(mut outcome) = crash_watch.record_break(&selected.client, request) else {
            return false;
        };
        if !req.is_repeatable() {
            return false;
        }
        let known = tokio::time::timeout(BREAK_WAIT_MAX, outcome.wait_for(Option::is_some)).await;
        matches!(known, Ok(Ok(outcome)) if *outcome == Some(BreakOutcome::Ended))
    }
}
