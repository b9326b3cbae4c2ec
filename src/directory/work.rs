//! What a replica's thread did, for one log line every few seconds while it leads.

use std::collections::BTreeMap;

use crate::cell::store::Store;
use crate::clock::Mono;
use crate::event::Event;
use crate::transport::Endpoint;

use super::ask::Reply;
use super::lessor::{CallResult, Order};
use super::replica::{Output, Replica};

/// Between two lines, in milliseconds.
const SUMMARY_EVERY_MS: u64 = 5_000;
/// Lines about failed calls that a leader writes a second; a cut zone fails hundreds.
const FAILED_LINES_PER_SECOND: u64 = 40;
const SECOND_MS: u64 = 1_000;

/// Counts since the last line.
#[derive(Debug, Default)]
pub(super) struct Work {
    began: Mono,
    passed_at: Mono,
    delay_max_ms: u64,
    grants: u64,
    releases: u64,
    updates: u64,
    answers: u64,
    messages: u64,
    failed: BTreeMap<&'static str, u64>,
    second: Mono,
    failed_lines: u64,
}

impl Work {
    /// Counts a call's result and tells whether it failed and may have a line of its own.
    pub(super) fn note_result(&mut self, result: &CallResult) -> bool {
        if matches!(result, CallResult::Done(_)) {
            return false;
        }
        *self.failed.entry(result.name()).or_default() += 1;
        self.failed_lines += 1;
        self.failed_lines <= FAILED_LINES_PER_SECOND
    }

    /// Returns the line about calls that had none in the last second, when there were any.
    pub(super) fn unlogged(&mut self, now: Mono) -> Option<Event> {
        if now.since(self.second) < SECOND_MS {
            return None;
        }
        self.second = now;
        let lines = std::mem::take(&mut self.failed_lines);
        let count = lines.saturating_sub(FAILED_LINES_PER_SECOND);
        (count > 0).then_some(Event::CallsUnlogged { count })
    }

    /// Counts what a step handed out.
    pub(super) fn note_output<T>(&mut self, output: &Output<T>) {
        self.messages += output.messages.len() as u64;
        self.answers += output.replies.len() as u64;
        let is_update = |(_, reply): &&(T, Reply)| matches!(reply, Reply::Update(_));
        self.updates += output.replies.iter().filter(is_update).count() as u64;
        for call in &output.calls {
            match call.order {
                Order::Grant { .. } => self.grants += 1,
                Order::Release => self.releases += 1,
            }
        }
    }

    /// Notes that the thread came round: the longest pause between two passes shows how busy it is.
    pub(super) fn note_pass(&mut self, now: Mono) {
        if self.passed_at != Mono(0) {
            self.delay_max_ms = self.delay_max_ms.max(now.since(self.passed_at));
        }
        self.passed_at = now;
    }

    /// Returns the line about the last few seconds, when it is due and the replica leads.
    pub(super) fn summary<S: Store, T>(
        &mut self,
        member: &Replica<S, T>,
        endpoint: &Endpoint,
        now: Mono,
    ) -> Option<Event> {
        let over_ms = now.since(self.began);
        if over_ms < SUMMARY_EVERY_MS {
            return None;
        }
        let done = std::mem::take(self);
        self.began = now;
        self.passed_at = done.passed_at;
        self.second = done.second;
        self.failed_lines = done.failed_lines;
        if !member.leads() {
            return None;
        }
        let state = member.state();
        let ranges = state.owners.values().map(|t| t.ranges.len() as u64).sum();
        let failed = done.failed.iter().map(|(name, n)| format!("{name}: {n}"));
        let failed: Vec<String> = failed.collect();
        let dialled = endpoint.dial_counts();
        Some(Event::LeaderWorked {
            over_ms,
            upstreams: state.upstreams.len() as u64,
            ranges,
            grants: done.grants,
            releases: done.releases,
            failed: failed.join("; "),
            updates: done.updates,
            answers: done.answers,
            messages: done.messages,
            waiting: member.waiting() as u64,
            delay_max_ms: done.delay_max_ms,
            connections: dialled.opened,
            handshakes_failed: dialled.failed,
        })
    }
}
