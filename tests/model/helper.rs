//! Replicas that make calls to upstreams for the leader.

use std::collections::BTreeSet;

use carobreel::clock::Mono;
use carobreel::directory::lessor::{Call, CallId, CallResult};
use carobreel::directory::protocol::{DirectoryRequest, RenewalResult};
use rand::RngExt;

use super::event::{Event, Purpose};
use super::Simulation;

/// The time after which a request to the leader is given up, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 400;
/// The delay before the next attempt, in milliseconds.
const RETRY_MS: u64 = 200;

/// What a process keeps of the calls that it makes for the leader.
#[derive(Default)]
pub struct HelperState {
    /// The number of the current request.
    attempt: u64,
    asked_at: u64,
    received: u64,
    pub calls: BTreeSet<CallId>,
    pub results: Vec<(CallId, CallResult, u64)>,
}

impl HelperState {
    /// Drops what a process kept, except for the count of its attempts.
    pub fn restart(&mut self) {
        *self = HelperState {
            attempt: self.attempt + 1,
            ..HelperState::default()
        };
    }

    /// Reports whether the answer to this attempt is still waited for.
    pub fn is_current(&self, attempt: u64) -> bool {
        self.attempt == attempt
    }
}

impl Simulation {
    /// Asks the leader for calls on behalf of replica `n`.
    pub(super) fn ask_for_renewals(&mut self, n: usize) {
        if self.nodes[n].frozen_until > self.now {
            let pause = self.nodes[n].frozen_until - self.now;
            return self.schedule(pause, Event::AskForRenewals(n, self.runs[n]));
        }
        let Some(replica) = &self.nodes[n].replica else {
            return;
        };
        let own_address = self.nodes[n].address.clone();
        let leader = replica.leader_address().filter(|_| !replica.leads());
        let leader = leader.and_then(|host| self.nodes.iter().position(|x| x.address == host));
        let Some(leader) = leader.filter(|l| *l != n && !self.cut_links.contains(&(n, *l))) else {
            return self.schedule(RETRY_MS, Event::AskForRenewals(n, self.runs[n]));
        };
        let now = self.now;
        let helper = &mut self.nodes[n].helper;
        helper.attempt += 1;
        helper.asked_at = now;
        let report = |(id, result, at): (CallId, CallResult, u64)| RenewalResult {
            id,
            result,
            age_ms: now - at,
        };
        let results = std::mem::take(&mut helper.results);
        let request = DirectoryRequest::TakeRenewals {
            host: own_address,
            received: helper.received,
            results: results.into_iter().map(report).collect(),
        };
        let purpose = Purpose::Renewals(n, helper.attempt);
        self.schedule(
            ASK_TIMEOUT_MS,
            Event::RenewalTimeout(n, self.nodes[n].helper.attempt),
        );
        self.send_request(leader, request, purpose);
    }

    pub(super) fn give_up_renewals(&mut self, n: usize, attempt: u64) {
        if self.nodes[n].helper.attempt == attempt {
            self.nodes[n].helper.attempt += 1;
            self.schedule(RETRY_MS, Event::AskForRenewals(n, self.runs[n]));
        }
    }

    /// Makes the calls of an answer, each after a delay, unless their time has passed by then.
    pub(super) fn make_shared_calls(
        &mut self,
        n: usize,
        (calls, number): (Vec<Call>, u64),
        lease_ms: u64,
        pause_ms: u64,
    ) {
        let helper = &mut self.nodes[n].helper;
        helper.attempt += 1;
        helper.received = number;
        let until = Mono(helper.asked_at).plus(lease_ms);
        self.shared_calls += calls.len() as u64;
        self.open_calls += calls.len();
        for call in calls {
            self.nodes[n].helper.calls.insert(call.id);
            let frozen_ms = self.nodes[n].frozen_until.saturating_sub(self.now);
            let delay = frozen_ms + self.rng.random_range(1..60);
            if Mono(self.now + delay) >= until {
                let result = CallResult::LeaseEnded;
                self.schedule(delay, Event::CallDone(n, self.runs[n], call.id, result));
                continue;
            }
            let is_delayed = self.rng.random_range(0..1_000) < self.faults.delayed_calls_per_mille;
            self.schedule(delay, Event::CallArrives(n, call, is_delayed));
        }
        self.schedule(pause_ms, Event::AskForRenewals(n, self.runs[n]));
    }
}
