//! The retry budget, which all entry hosts share.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Mono;

/// Share of the configured budget that is used, as a margin: others count requests in different windows.
const USED_BUDGET_SHARE: f64 = 0.7;

/// Limits on the retries of all entry hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request to a service.
    pub ratio: f64,
    /// Additional retries of all entry hosts together.
    pub slack: f64,
    /// Window in which requests and retries are counted, in milliseconds.
    pub window_ms: u64,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<Mono>,
    retries: VecDeque<Mono>,
}

/// This entry host's share of the retry budget, by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    services: BTreeMap<String, ServiceCounts>,
}

impl RetryBudget {
    /// Returns a budget without any retries taken.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::retry::{RetryBudget, RetryLimits};
    ///
    /// let limits = RetryLimits { ratio: 0.2, slack: 20.0, window_ms: 10_000 };
    /// let mut budget = RetryBudget::new(limits);
    /// // Ten entry hosts share 20 retries, of which 70% are used: this one has one.
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

    /// Records a request to a service.
    pub fn record_request(&mut self, service: &str, now: Mono) {
        let window_ms = self.limits.window_ms;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        expire(&mut counts.requests, window_ms, now);
    }

    /// Takes one retry from the budget and returns whether there was one.
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
