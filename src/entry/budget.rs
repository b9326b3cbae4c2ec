//! Budgets: retries as a share of requests, and bytes a second between regions.

use std::sync::Mutex;

use crate::clock::Mono;
use crate::lock::lock;

/// Retries that may be saved up.
const RETRIES_SAVED_MAX: f64 = 50.0;
/// Retries that are there at the start.
const RETRIES_AT_START: f64 = 10.0;

/// Allows a share of requests to be tried again, so that a failing upstream causes no storm.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    saved: Mutex<f64>,
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
    /// let retries = (0..100).filter(|_| budget.take()).count();
    /// assert_eq!(retries, 10);
    /// ```
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            share: f64::from(percent) / 100.0,
            saved: Mutex::new(RETRIES_AT_START),
        }
    }

    /// Notes a request.
    pub fn earn(&self) {
        let mut saved = lock(&self.saved);
        *saved = (*saved + self.share).min(RETRIES_SAVED_MAX);
    }

    /// Takes one retry, when there is one.
    pub fn take(&self) -> bool {
        let mut saved = lock(&self.saved);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}

#[derive(Debug)]
struct Bucket {
    bytes: f64,
    at: Mono,
}

/// Limits bytes a second: a token bucket that holds one second's worth.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_second: f64,
    bucket: Mutex<Bucket>,
}

impl ByteBudget {
    /// Returns a full budget.
    pub fn new(bytes_per_second: u64, now: Mono) -> ByteBudget {
        let bytes = bytes_per_second as f64;
        ByteBudget {
            bytes_per_second: bytes,
            bucket: Mutex::new(Bucket { bytes, at: now }),
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
    /// use carobreel::entry::budget::ByteBudget;
    ///
    /// let budget = ByteBudget::new(1_000, Mono(0));
    /// assert_eq!(budget.take(1_000, 50, Mono(0)), Ok(0));
    /// assert_eq!(budget.take(100, 50, Mono(0)), Err(100));
    /// assert_eq!(budget.take(100, 50, Mono(60)), Ok(40));
    /// ```
    pub fn take(&self, bytes: u64, patience_ms: u64, now: Mono) -> Result<u64, u64> {
        let mut bucket = lock(&self.bucket);
        let earned = now.since(bucket.at) as f64 / 1_000.0 * self.bytes_per_second;
        bucket.bytes = (bucket.bytes + earned).min(self.bytes_per_second);
        bucket.at = bucket.at.max(now);
        let left = bucket.bytes - bytes as f64;
        let wait_ms = (-left / self.bytes_per_second * 1_000.0).max(0.0).ceil() as u64;
        if wait_ms > patience_ms {
            return Err(wait_ms);
        }
        bucket.bytes = left;
        Ok(wait_ms)
    }
}
