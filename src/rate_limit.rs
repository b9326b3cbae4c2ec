//! Rate limits that upstreams name for the requests of all entry hosts together.

use serde::{Deserialize, Serialize};

/// The highest rate that counts as a limit, in requests per second.
const PER_S_MAX: f64 = 1_000_000.0;

/// The requests per second that an upstream accepts from all entry hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit {
    /// The rate, in thousandths of a request per second; never 0.
    milli_per_s: u64,
}

impl RateLimit {
    /// Returns the limit of `per_s` requests per second, or `None` if it isn't a number above 0 and up to a
    /// million.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::rate_limit::RateLimit;
    ///
    /// assert_eq!(RateLimit::from_per_s(5.2).unwrap().milli_per_s(), 5_200);
    /// assert_eq!(RateLimit::from_per_s(0.0001).unwrap().milli_per_s(), 1);
    /// for invalid in [0.0, -3.0, f64::NAN, f64::INFINITY, 1e9] {
    ///     assert_eq!(RateLimit::from_per_s(invalid), None);
    /// }
    /// ```
    pub fn from_per_s(per_s: f64) -> Option<RateLimit> {
        let is_valid = per_s > 0.0 && per_s <= PER_S_MAX;
        is_valid.then(|| RateLimit {
            milli_per_s: ((per_s * 1_000.0).round() as u64).max(1),
        })
    }

    /// Returns the limit in thousandths of a request per second.
    pub fn milli_per_s(self) -> u64 {
        self.milli_per_s
    }

    /// Returns the mean time between two requests at this rate, in microseconds.
    pub fn interval_us(self) -> u64 {
        1_000_000_000 / self.milli_per_s
    }
}

/// Returns the lowest of the limits of one upstream, or `None` if it has none.
///
/// # Examples
///
/// ```
/// use carobreel::rate_limit::{lowest_limit, RateLimit};
///
/// let (low, high) = (RateLimit::from_per_s(3.7), RateLimit::from_per_s(20.0));
/// assert_eq!(lowest_limit([high, low]), low);
/// assert_eq!(lowest_limit([None, high]), high);
/// assert_eq!(lowest_limit([None, None]), None);
/// ```
pub fn lowest_limit(limits: impl IntoIterator<Item = Option<RateLimit>>) -> Option<RateLimit> {
    limits.into_iter().flatten().min()
}
