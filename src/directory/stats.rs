//! What a replica's thread did, for one log line every few seconds while it leads.

use std::collections::BTreeMap;

use crate::cell::store::Store;
use crate::clock::Mono;
use crate::event::Event;
use crate::transport::Endpoint;

use super::lessor::{CallKind, CallResult};
use super::protocol::Reply;
use super::replica::{Output, Replica};

/// Between two lines, in milliseconds.
const SUMMARY_EVERY_MS: u64 = 5_000;
/// Lines about failed calls that a leader writes a second; a cut zone fails hundreds.
const FAILED_LINES_PER_SECOND: u64 = 40;
const SECOND_MS: u64 = 1_000;

/// Counts since the last line.
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
    /// Counts a call's result and tells whether it failed and may have a line of its own.
    pub(super) fn count_call_result(&mut self, result: &CallResult) -> bool {
        if matches!(result, CallResult::Done(_)) {
            return false;
        }
        *self.failed.entry(result.name()).or_default() += 1;
        self.failed_lines += 1;
        self.failed_lines <= FAILED_LINES_PER_SECOND
    }

    /// Returns the line about calls that had none in the last second, when there were any.
    pub(super) fn take_unlogged(&mut self, now: Mono) -> Option<Event> {
        if now.since(self.second_started_at) < SECOND_MS {
            return None;
        }
        self.second_started_at = now;
        let lines = std::mem::take(&mut self.failed_lines);
        let count = lines.saturating_sub(FAILED_LINES_PER_SECOND);
        (count > 0).then_some(Event::CallsUnlogged { count })
    }

    /// Counts what a step handed out.
    pub(super) fn count_output<T>(&mut self, output: &Output<T>) {
        self.messages += output.messages.len() as u64;
        self.answers += output.replies.len() as u64;
        let is_update = |(_, reply): &&(T, Reply)| matches!(reply, Reply::Update(_));
        self.updates += output.replies.iter().filter(is_update).count() as u64;
        for call in &output.calls {
            match call.kind {
                CallKind::Grant { .. } => self.grants += 1,
                CallKind::Release => self.releases += 1,
            }
        }
    }

    /// Notes that the thread came round: the longest pause between two passes shows how busy it is.
    pub(super) fn record_pass(&mut self, now: Mono) {
        if self.last_pass_at != Mono(0) {
            self.delay_max_ms = self.delay_max_ms.max(now.since(self.last_pass_at));
        }
        self.last_pass_at = now;
    }

    /// Returns the line about the last few seconds, when it is due and the replica leads.
    pub(super) fn summary<S: Store, T>(
        &mut self,
        replica: &Replica<S, T>,
        endpoint: &Endpoint,
        now: Mono,
    ) -> Option<Event> {
        let over_ms = now.since(self.started_at);
        if over_ms < SUMMARY_EVERY_MS {
            return None;
        }
        let counts = std::mem::take(self);
        self.started_at = now;
        self.last_pass_at = counts.last_pass_at;
        self.second_started_at = counts.second_started_at;
        self.failed_lines = counts.failed_lines;
        if !replica.leads() {
            return None;
        }
        let state = replica.state();
        let ranges = state.owners.values().map(|t| t.ranges.len() as u64).sum();
        let failed = counts.failed.iter().map(|(name, n)| format!("{name}: {n}"));
        let failed: Vec<String> = failed.collect();
        let dialled = endpoint.dial_counts();
        Some(Event::LeaderWorked {
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
            connections: dialled.opened,
            handshakes_failed: dialled.failed,
        })
    }
}
