//! An upstream's own figure of how long its work takes now, in percent of the usual.
//!
//! Load addressed: at any time some of the upstreams take several times as long as usual, and which ones changes
//! within less than a second. A figure is therefore used only while it is fresh.

use crate::clock::Mono;
use crate::decay::remaining_weight;

/// Half-life of a figure, in milliseconds. It may change every 400 ms, so after half of that it is as likely to be
/// wrong as right.
const FIGURE_HALF_LIFE_MS: f64 = 150.0;
/// The age up to which a figure is used, in milliseconds: three half-lives, a little more than the time between two
/// changes. An older one says nothing about the present.
const FIGURE_AGE_MAX_MS: u64 = 450;
/// Half-life of the mean of the figures without new ones, in milliseconds; that of measured processing times.
const MEAN_HALF_LIFE_MS: f64 = 4_000.0;
/// Weight of a new figure in their mean; that of a new measurement in the mean processing time.
const MEAN_SAMPLE_WEIGHT: f64 = 0.15;
/// Figures outside this range, in percent, are ignored. Upstreams take up to three times as long as usual.
const FIGURE_RANGE: std::ops::RangeInclusive<u32> = 10..=1_000;
const USUAL_PERCENT: f64 = 100.0;

/// The last figure of an upstream, and the mean of its figures.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    percent: f64,
    /// When the figure was read, once there is one.
    read_at: Option<Mono>,
    /// The mean of the figures less the usual percentage.
    mean_excess: f64,
}

impl ServiceTime {
    /// Records a figure, or returns false if it is out of range and ignored.
    pub fn record(&mut self, percent: u32, now: Mono) -> bool {
        if !FIGURE_RANGE.contains(&percent) {
            return false;
        }
        let excess = f64::from(percent) - USUAL_PERCENT;
        let mean_excess = self.mean_excess(now);
        self.mean_excess = mean_excess + (excess - mean_excess) * MEAN_SAMPLE_WEIGHT;
        self.percent = f64::from(percent);
        self.read_at = Some(now);
        true
    }

    /// Returns the figure and its age in milliseconds while it is used.
    pub fn fresh_percent(&self, now: Mono) -> Option<(u64, u64)> {
        let age_ms = now.since(self.read_at?);
        (age_ms <= FIGURE_AGE_MAX_MS).then_some((self.percent as u64, age_ms))
    }

    /// Returns the factor on the mean of the measured processing times that gives the expected one. The
    /// measurements were taken in slow periods and others, so the figure counts relative to the mean figure.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::service_time::ServiceTime;
    ///
    /// let mut service_time = ServiceTime::default();
    /// assert_eq!(service_time.factor(Mono(1_000)), 1.0);
    /// assert!(service_time.record(300, Mono(1_000)));
    /// assert!(service_time.factor(Mono(1_000)) > 2.0);
    /// assert!(service_time.factor(Mono(1_150)) < 2.0);
    /// assert_eq!(service_time.factor(Mono(1_500)), 1.0);
    /// // Absurd figures change nothing.
    /// assert!(!service_time.record(0, Mono(1_500)));
    /// assert!(!service_time.record(4_000_000, Mono(1_500)));
    /// assert_eq!(service_time.factor(Mono(1_500)), 1.0);
    /// ```
    pub fn factor(&self, now: Mono) -> f64 {
        let Some((_, age_ms)) = self.fresh_percent(now) else {
            return 1.0;
        };
        let relative = self.percent / (USUAL_PERCENT + self.mean_excess(now));
        1.0 + (relative - 1.0) * remaining_weight(age_ms, FIGURE_HALF_LIFE_MS)
    }

    fn mean_excess(&self, now: Mono) -> f64 {
        let Some(read_at) = self.read_at else {
            return 0.0;
        };
        self.mean_excess * remaining_weight(now.since(read_at), MEAN_HALF_LIFE_MS)
    }
}
