//! Counters of the replica thread, logged every few seconds while the replica leads.

use std::collections::BTreeMap;

use crate::cell::store::Store;
use crate::clock::Mono;
use crate::event::Event;
use crate::rate_limit::RateLimit;
use crate::transport::Endpoint;

use super::lessor::{CallKind, CallResult};
use super::model::Incarnation;
use super::permits::PermitCounts;
use super::protocol::Reply;
use super::replica::{Output, Replica};

/// The interval between two summaries, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 5_000;
/// The maximum number of failed calls that are logged a second: hundreds fail when an availability zone is
/// cut off.
const FAILED_LINES_PER_SECOND: u64 = 40;
const SECOND_MS: u64 = 1_000;

/// Counters since the last summary.
#[derive(Debug, Default)]
pub(super) struct LeaderStats {
    started_at: Mono,
    last_pass_at: Mono,
    delay_max_ms: u64,
    grants: u64,
    releases: u64,
    updates: u64,
    answers: u64,
    messages: u64,
    failed: BTreeMap<&'static str, u64>,
    second_started_at: Mono,
    failed_lines: u64,
}

impl LeaderStats {
    /// Counts a call's result and reports whether it failed and may be logged on its own.
    pub(super) fn count_call_result(&mut self, result: &CallResult) -> bool {
        if matches!(result, CallResult::Done(_)) {
            return false;
        }
        *self.failed.entry(result.name()).or_default() += 1;
        self.failed_lines += 1;
        self.failed_lines <= FAILED_LINES_PER_SECOND
    }

    /// Returns an event with the number of failed calls that weren't logged in the last second, if there were
    /// any.
    pub(super) fn take_unlogged(&mut self, now: Mono) -> Option<Event> {
        if now.since(self.second_started_at) < SECOND_MS {
            return None;
        }
        self.second_started_at = now;
        let lines = std::mem::take(&mut self.failed_lines);
        let count = lines.saturating_sub(FAILED_LINES_PER_SECOND);
        (count > 0).then_some(Event::CallsUnlogged { count })
    }

    /// Counts the messages, replies and calls that the replica returned.
    pub(super) fn count_output<T>(&mut self, output: &Output<T>) {
        self.messages += output.messages.len() as u64;
        self.answers += output.replies.len() as u64;
        let is_update = |(_, reply): &&(T, Reply)| {
            matches!(reply, Reply::Update(_) | Reply::PackedUpdate { .. })
        };
        self.updates += output.replies.iter().filter(is_update).count() as u64;
        for (_, reply) in &output.replies {
            if let Reply::Renewals { calls, .. } = reply {
                self.grants += calls.len() as u64;
            }
        }
        for call in &output.calls {
            match call.kind {
                CallKind::Grant { .. } => self.grants += 1,
                CallKind::Release => self.releases += 1,
            }
        }
    }

    /// Records an iteration of the thread's loop. The longest time between two shows how busy it is.
    pub(super) fn record_pass(&mut self, now: Mono) {
        if self.last_pass_at != Mono(0) {
            self.delay_max_ms = self.delay_max_ms.max(now.since(self.last_pass_at));
        }
        self.last_pass_at = now;
    }

    /// Returns the summary events if they are due and the replica leads, and resets the counters if they are
    /// due: one event for each upstream with a rate limit, and one for all other work.
    pub(super) fn summary<S: Store, T>(
        &mut self,
        replica: &mut Replica<S, T>,
        endpoint: &Endpoint,
        now: Mono,
    ) -> Vec<Event> {
        let over_ms = now.since(self.started_at);
        if over_ms < SUMMARY_INTERVAL_MS {
            return Vec::new();
        }
        let counts = std::mem::take(self);
        self.started_at = now;
        self.last_pass_at = counts.last_pass_at;
        self.second_started_at = counts.second_started_at;
        self.failed_lines = counts.failed_lines;
        if !replica.leads() {
            return Vec::new();
        }
        let permits_issued = |(upstream, limit, counts): (Incarnation, RateLimit, PermitCounts)| {
            Event::PermitsIssued {
                upstream: upstream.id,
                over_ms,
                milli_per_s: limit.milli_per_s(),
                issued: counts.issued,
                refused: counts.refused,
            }
        };
        let permits = replica.take_permit_counts();
        let mut events: Vec<Event> = permits.into_iter().map(permits_issued).collect();
        let state = replica.state();
        let ranges = state.owners.values().map(|t| t.ranges.len() as u64).sum();
        let failed = counts.failed.iter().map(|(name, n)| format!("{name}: {n}"));
        let failed: Vec<String> = failed.collect();
        let dials = endpoint.dial_counts();
        events.push(Event::LeaderWorked {
            over_ms,
            upstreams: state.upstreams.len() as u64,
            ranges,
            grants: counts.grants,
            releases: counts.releases,
            failed: failed.join("; "),
            updates: counts.updates,
            answers: counts.answers,
            messages: counts.messages,
            waiting: replica.pending_requests() as u64,
            delay_max_ms: counts.delay_max_ms,
            connections: dials.opened,
            handshakes_failed: dials.failed,
        });
        events
    }
}
