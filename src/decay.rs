//! Weights of measurements that lose importance with age.

/// Returns the weight that is left of a measurement after `elapsed_ms`.
///
/// # Examples
///
/// ```
/// use carobreel::decay::remaining_weight;
///
/// assert_eq!(remaining_weight(0, 500.0), 1.0);
/// assert_eq!(remaining_weight(1_000, 500.0), 0.25);
/// ```
pub fn remaining_weight(elapsed_ms: u64, half_life_ms: f64) -> f64 {
    0.5_f64.powf(elapsed_ms as f64 / half_life_ms)
}

/// Counts the samples of a running mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct SampleCount(u32);

impl SampleCount {
    /// Returns the count of a mean whose initial value counts as `samples` samples.
    pub fn with_prior(samples: u32) -> SampleCount {
        SampleCount(samples)
    }

    /// Reports whether there are no samples.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Counts one more sample and returns its weight: that of an arithmetic mean, but at least `weight_min`,
    /// from where on older samples decay.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::decay::SampleCount;
    ///
    /// let mut count = SampleCount::default();
    /// assert_eq!(count.add(0.4), 1.0);
    /// assert_eq!(count.add(0.4), 0.5);
    /// assert_eq!(count.add(0.4), 0.4);
    /// ```
    pub fn add(&mut self, weight_min: f64) -> f64 {
        self.0 = self.0.saturating_add(1);
        weight_min.max(1.0 / f64::from(self.0))
    }
}
