//! Budgets: retries as a share of requests, and bytes a second between regions.

use std::sync::Mutex;

use crate::clock::Mono;
use crate::lock::lock;

/// Retries that may be saved up.
const RETRY_BALANCE_MAX: f64 = 50.0;
/// Retries that are there at the start.
const RETRY_BALANCE_INITIAL: f64 = 10.0;

/// Allows a share of requests to be tried again, so that a failing upstream causes no storm.
#[derive(Debug)]
pub struct RetryBudget {
    retries_per_request: f64,
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Returns a budget of `percent` retries for each hundred requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::entry::budget::RetryBudget;
    ///
    /// let budget = RetryBudget::new(10);
    /// let retries = (0..100).filter(|_| budget.try_withdraw()).count();
    /// assert_eq!(retries, 10);
    /// ```
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            retries_per_request: f64::from(percent) / 100.0,
            balance: Mutex::new(RETRY_BALANCE_INITIAL),
        }
    }

    /// Notes a request.
    pub fn deposit(&self) {
        let mut balance = lock(&self.balance);
        *balance = (*balance + self.retries_per_request).min(RETRY_BALANCE_MAX);
    }

    /// Takes one retry, when there is one.
    pub fn try_withdraw(&self) -> bool {
        let mut balance = lock(&self.balance);
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}

#[derive(Debug)]
struct TokenBucket {
    bytes: f64,
    refilled_at: Mono,
}

/// Limits bytes a second: a token bucket that holds one second's worth.
#[derive(Debug)]
pub struct ByteRateLimiter {
    bytes_per_second: f64,
    bucket: Mutex<TokenBucket>,
}

impl ByteRateLimiter {
    /// Returns a full budget.
    pub fn new(bytes_per_second: u64, now: Mono) -> ByteRateLimiter {
        let bytes = bytes_per_second as f64;
        ByteRateLimiter {
            bytes_per_second: bytes,
            bucket: Mutex::new(TokenBucket {
                bytes,
                refilled_at: now,
            }),
        }
    }

    /// Takes `bytes` and returns how long to wait before sending them, in milliseconds.
    ///
    /// # Errors
    ///
    /// The wait, when it would be longer than `patience_ms`; nothing is taken then.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::entry::budget::ByteRateLimiter;
    ///
    /// let limiter = ByteRateLimiter::new(1_000, Mono(0));
    /// assert_eq!(limiter.reserve(1_000, 50, Mono(0)), Ok(0));
    /// assert_eq!(limiter.reserve(100, 50, Mono(0)), Err(100));
    /// assert_eq!(limiter.reserve(100, 50, Mono(60)), Ok(40));
    /// ```
    pub fn reserve(&self, bytes: u64, wait_max_ms: u64, now: Mono) -> Result<u64, u64> {
        let mut bucket = lock(&self.bucket);
        let refill = now.since(bucket.refilled_at) as f64 / 1_000.0 * self.bytes_per_second;
        bucket.bytes = (bucket.bytes + refill).min(self.bytes_per_second);
        bucket.refilled_at = bucket.refilled_at.max(now);
        let remaining = bucket.bytes - bytes as f64;
        let wait_ms = (-remaining / self.bytes_per_second * 1_000.0)
            .max(0.0)
            .ceil() as u64;
        if wait_ms > wait_max_ms {
            return Err(wait_ms);
        }
        bucket.bytes = remaining;
        Ok(wait_ms)
    }
}
