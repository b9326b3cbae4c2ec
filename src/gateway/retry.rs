//! The budget for sending a request to a second upstream, which all entry hosts share.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Mono;

/// The share of the stated budget that is used: requests are counted by other windows elsewhere.
const USED_BUDGET_SHARE: f64 = 0.7;

/// What all entry hosts together may repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request to a service.
    pub ratio: f64,
    /// Repeats on top of that, of all entry hosts together.
    pub slack: f64,
    /// The window in which both are counted, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<Mono>,
    retries: VecDeque<Mono>,
}

/// This entry host's part of the budget, by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    services: BTreeMap<String, ServiceCounts>,
}

impl RetryBudget {
    /// Returns an unused budget.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::retry::{RetryBudget, RetryLimits};
    ///
    /// let limits = RetryLimits { ratio: 0.2, slack: 20.0, window_ms: 10_000 };
    /// let mut budget = RetryBudget::new(limits);
    /// // Ten entry hosts share 20 repeats; 0.7 of that is used, so this one has one.
    /// assert!(budget.try_take("maps", 10, Mono(0)));
    /// assert!(!budget.try_take("maps", 10, Mono(0)));
    /// assert!(budget.try_take("maps", 10, Mono(10_001)));
    /// ```
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// Notes a request to a service.
    pub fn record_request(&mut self, service: &str, now: Mono) {
        let window_ms = self.limits.window_ms;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        expire(&mut counts.requests, window_ms, now);
    }

    /// Takes one repeat, when there is one.
    pub fn try_take(&mut self, service: &str, entry_hosts: u32, now: Mono) -> bool {
        let limits = self.limits;
        let counts = self.counts(service);
        expire(&mut counts.requests, limits.window_ms, now);
        expire(&mut counts.retries, limits.window_ms, now);
        let share = limits.slack / f64::from(entry_hosts.max(1));
        let allowed = USED_BUDGET_SHARE * (limits.ratio * counts.requests.len() as f64 + share);
        if counts.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    fn counts(&mut self, service: &str) -> &mut ServiceCounts {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_string(), ServiceCounts::default());
        }
        self.services.entry(service.to_string()).or_default()
    }
}

fn expire(times: &mut VecDeque<Mono>, window_ms: u64, now: Mono) {
    while times
        .front()
        .is_some_and(|time| now.since(*time) >= window_ms)
    {
        times.pop_front();
    }
}
