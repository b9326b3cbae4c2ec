//! Monotonic time for decisions and hybrid logical time for the timeline.
//!
//! Decision code never reads a clock: it takes [`Mono`] as input. Only the daemons own a [`Clock`].

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A point of one process's monotonic clock, in milliseconds since that process started.
///
/// # Examples
///
/// ```
/// use carobreel::clock::Mono;
///
/// assert_eq!(Mono(1_500).plus(250), Mono(1_750));
/// assert_eq!(Mono(1_500).since(Mono(1_000)), 500);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mono(pub u64);

impl Mono {
    /// Returns the point `ms` milliseconds later.
    pub fn plus(self, ms: u64) -> Mono {
        Mono(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this point, or 0 when `earlier` is later.
    pub fn since(self, earlier: Mono) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A clock on the host's monotonic time. It includes the time for which the host was suspended, so
/// that no lease outlives a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_ms: u64,
}

impl Clock {
    /// Returns a clock that reads zero now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
            start_ms: boot_ms(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Mono {
        Mono(boot_ms().saturating_sub(self.start_ms))
    }

    /// Returns the `Instant` at which this clock reads `at`.
    pub fn instant(&self, at: Mono) -> Instant {
        self.start + Duration::from_millis(at.0)
    }
}

/// A hybrid logical time: wall-clock milliseconds and a counter that orders events within one
/// millisecond.
///
/// Source: Kulkarni et al., "Logical Physical Clocks", 2014.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HybridTime {
    /// Milliseconds since the Unix epoch, according to the most advanced clock known to the
    /// process.
    pub wall_ms: u64,
    /// Orders events of equal `wall_ms`.
    pub counter: u32,
}

/// A hybrid logical clock shared by the threads of one process.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Mutex<HybridTime>,
}

impl HybridClock {
    /// Returns the time of a local event or of a message about to be sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::HybridClock;
    ///
    /// let clock = HybridClock::default();
    /// assert!(clock.tick() < clock.tick());
    /// ```
    pub fn tick(&self) -> HybridTime {
        self.merge(HybridTime::default())
    }

    /// Advances the clock past a received time and returns the time of the receipt.
    pub fn merge(&self, received: HybridTime) -> HybridTime {
        let wall_ms = unix_ms();
        let mut last = match self.last.lock() {
            Ok(last) => last,
            Err(poisoned) => poisoned.into_inner(),
        };
        let base = (*last).max(received);
        *last = if wall_ms > base.wall_ms {
            HybridTime {
                wall_ms,
                counter: 0,
            }
        } else {
            HybridTime {
                wall_ms: base.wall_ms,
                counter: base.counter + 1,
            }
        };
        *last
    }
}

fn boot_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Returns the Unix time in milliseconds, or 0 if the clock is before 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
