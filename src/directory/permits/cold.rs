//! The limits of cold upstreams, and the arithmetic of their permits.
//!
//! A cold upstream must get at most 1.5 times its limit and 8 requests in any second. A permit is issued at most
//! [`COLD_IDLE_CREDIT_MS`] after its start time and can be used for [`cold_lifetime_ms`] from the later of both, so the
//! requests that arrive within a second have start times within 1 s + credit + lifetime + the differences between
//! their delays. Start times are an interval of the limit apart, which bounds the number of requests: for the limit `L`
//! to `1.5 L + 5` if delays differ by up to [`DELAY_SPREAD_MS`].

use super::*;

/// How far start times of permits for a cold upstream may lag behind the current time, in milliseconds.
pub(super) const COLD_IDLE_CREDIT_MS: u64 = 100;
/// How much the times from a host's decision to send until the arrival may differ, in milliseconds.
const DELAY_SPREAD_MS: u64 = 100;
/// The requests in a second beyond 1.5 times the limit that late permits may add. Of the other 4 that are allowed, one
/// is at the edge of the second, and each of up to three changes of the leader may bring two start times together.
const LATE_PERMITS: u64 = 4;

/// Returns how long a permit for a cold upstream with this limit can be used from its start time on, in milliseconds.
///
/// The lower the limit, the longer: a permit of a host that asks across regions or whose processor share is used up
/// for a moment isn't lost.
pub(super) fn cold_lifetime_ms(limit: RateLimit) -> u64 {
    let half_second_ms = 500 - COLD_IDLE_CREDIT_MS - DELAY_SPREAD_MS;
    let late_ms = LATE_PERMITS * limit.interval_us() / 1_000;
    (half_second_ms + late_ms).min(PERMIT_LIFETIME_MS)
}

impl PermitIssuer {
    /// Sets the limits of all cold upstreams. Returns whether any has changed.
    pub fn set_cold_limits(
        &mut self,
        limits: &BTreeMap<Incarnation, RateLimit>,
        now: Mono,
    ) -> bool {
        let mut has_changed = false;
        for (upstream, entry) in &mut self.upstreams {
            if entry.cold.is_some() && !limits.contains_key(upstream) {
                entry.change(|entry| entry.cold = None, now);
                has_changed = true;
            }
        }
        for (upstream, limit) in limits {
            let entry = self.entry(upstream, now);
            if entry.cold != Some(*limit) {
                entry.change(|entry| entry.cold = Some(*limit), now);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Returns the number of cold upstreams with a limit.
    pub fn cold_count(&self) -> usize {
        let is_cold = |entry: &&IssuedLimit| entry.cold.is_some();
        self.upstreams.values().filter(is_cold).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// With a lifetime of 750 ms and a credit of 500 ms for each limit, 26 requests could arrive in a second at a
    /// limit of 11, where 24 are allowed.
    #[test]
    fn start_times_of_one_second_s_requests_stay_within_what_a_cold_upstream_bears() {
        for per_s in [0.01, 0.5, 1.0, 3.7, 9.0, 11.0, 11.2, 20.0, 100.0, 1_000.0] {
            let limit = RateLimit::from_per_s(per_s).unwrap();
            let span_ms = 1_000 + COLD_IDLE_CREDIT_MS + DELAY_SPREAD_MS + cold_lifetime_ms(limit);
            let requests = span_ms * 1_000 / limit.interval_us() + 1;
            let allowed = 1.5 * per_s + 8.0;
            let leader_changes = 3;
            let requests = requests + leader_changes;
            assert!(requests as f64 <= allowed, "{requests} at {per_s}");
        }
    }
}
