//! Selects the upstream of a request, and decides whether it may be sent there.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use rand::RngExt;

use crate::clock::Mono;
use crate::directory::model::{Key, Route, Upstream};
use crate::lock::lock;

use super::allowed_regions::{allows_upstream, OwnerPlace};
use super::balance::{admit, choose, TimeLimits};
use super::body::ResponseBody;
use super::caller_request::{AttemptHistory, CallerRequest, Failure, Selection};
use super::permit::{choose_permitted, Candidate, Permit};
use super::protocol::Protocol;
use super::proxy::Proxy;
use super::rate_limit::{UPSTREAM_AT_RATE_LIMIT, UPSTREAM_COLD};
use super::saturation::full_retry_after_ms;
use super::traffic_split::Distance;
use super::upstream_client::UpstreamClient;
use super::view::DirectoryView;

/// Added to the estimate of an upstream in another availability zone, in milliseconds: the traffic costs.
const OTHER_ZONE_COST_MS: f64 = 12.0;
/// Added as well per KiB of the expected response, in milliseconds.
const OTHER_ZONE_MS_PER_KIB: f64 = 1.5;
/// Added to the estimate of an upstream in another region, in milliseconds: the round trip.
const OTHER_REGION_COST_MS: f64 = 90.0;
/// Added as well per KiB of the expected response, in milliseconds: the link is narrow and paid by volume.
const OTHER_REGION_MS_PER_KIB: f64 = 10.0;
/// Weight of a new response in the running mean of a route's response sizes.
const SIZE_SAMPLE_WEIGHT: f64 = 0.05;
/// Round trip to an upstream of another region, in milliseconds.
const OTHER_REGION_ROUND_TRIP_MS: u64 = 62;
/// Round trip to an upstream of the same region, in milliseconds.
const SAME_REGION_ROUND_TRIP_MS: u64 = 2;
/// Maximum time that a request waits for a new owner of its key, in milliseconds.
const OWNER_WAIT_MAX_MS: u64 = 350;
/// `Retry-After` while no owner of the key is available, in milliseconds.
pub(super) const OWNER_RETRY_AFTER_MS: u64 = 300;
/// Reason of refusals while the owner of the key is full.
pub const OWNER_FULL: &str = "owner is full";

impl<P: Protocol> Proxy<P> {
    /// Selects an upstream; waits up to `OWNER_WAIT_MAX_MS` for a new owner if the key's is unavailable.
    pub(super) async fn select_upstream(
        &self,
        req: &CallerRequest<'_>,
        history: &mut AttemptHistory,
        refused: Option<u64>,
    ) -> Option<Selection> {
        let Some(key) = req.key else {
            return self.select_any(req, history);
        };
        if let Some(selected) = self.select_owner(req, key, refused) {
            return Some(selected);
        }
        let wait_started_at = self.state.clock.now();
        match self.owner_place(req, key, wait_started_at) {
            OwnerPlace::Allowed
                if self.owner_backoff_ms(req) > OWNER_WAIT_MAX_MS
                    || self.is_owner_full(req, refused) =>
            {
                return None
            }
            OwnerPlace::Allowed | OwnerPlace::MoveExpected => {}
            OwnerPlace::Outside => return None,
        }
        let wait_ms = OWNER_WAIT_MAX_MS.min(req.deadline.since(wait_started_at) / 3);
        let mut view = self.state.view.clone();
        let new_owner = async {
            loop {
                if view.changed().await.is_err() {
                    return None;
                }
                if let Some(selected) = self.select_owner(req, key, refused) {
                    return Some(selected);
                }
                if self.owner_place(req, key, wait_started_at) == OwnerPlace::Outside {
                    return None;
                }
            }
        };
        let waiting = &self.state.tracker.metrics.waiting_for_owner;
        let _guard = OwnerWaitGuard::begin(waiting);
        let waited = tokio::time::timeout(Duration::from_millis(wait_ms), new_owner).await;
        history.owner_wait_ms += self.state.clock.now().since(wait_started_at);
        waited.ok().flatten()
    }

    /// Returns the key's owner, unless it already refused with this fencing token, is unavailable or is in a region
    /// that the route doesn't allow.
    pub(super) fn select_owner(
        &self,
        req: &CallerRequest<'_>,
        key: Key,
        refused: Option<u64>,
    ) -> Option<Selection> {
        let view = self.state.view.borrow().clone();
        let (upstream, fence) = view.owner(req.service, key)?;
        if !self.region_filter(req, &view)(upstream) {
            return None;
        }
        let client = self.state.clients.get(upstream, &view);
        let now = self.state.clock.now();
        if refused == Some(fence) || client.expected_ms_if_available(now).is_none() {
            return None;
        }
        Some(self.selection_of(client, fence, now))
    }

    /// Returns the refusal of a request for which no upstream was selected.
    pub(super) fn no_selection(&self, req: &CallerRequest<'_>) -> Failure {
        match req.key {
            Some(key) => self.owner_unavailable(req, key),
            None => self.no_upstream(req),
        }
    }

    /// Returns the refusal of a request whose key has no available owner.
    fn owner_unavailable(&self, req: &CallerRequest<'_>, key: Key) -> Failure {
        if let Some(failure) = self.owner_outside_regions(req, key) {
            return failure;
        }
        match self.owner_backoff_ms(req) {
            0 if self.is_owner_full(req, None) => {
                Failure::refused(OWNER_FULL, full_retry_after_ms(rand::random()))
            }
            0 => Failure::refused("key has no owner in reach", OWNER_RETRY_AFTER_MS),
            remaining_ms => Failure::refused("owner wants no work", remaining_ms),
        }
    }

    /// Reports whether the key's owner has no free capacity, unless `refused` is its fencing token.
    fn is_owner_full(&self, req: &CallerRequest<'_>, refused: Option<u64>) -> bool {
        let view = self.state.view.borrow().clone();
        let owner = req.key.and_then(|key| view.owner(req.service, key));
        let Some((upstream, _)) = owner.filter(|(_, fence)| refused != Some(*fence)) else {
            return false;
        };
        let client = self.state.clients.get(upstream, &view);
        let is_full = client.load().is_full(self.state.clock.now());
        is_full
    }

    /// Returns the remaining backoff that the key's owner asked for, in milliseconds.
    pub(super) fn owner_backoff_ms(&self, req: &CallerRequest<'_>) -> u64 {
        let view = self.state.view.borrow().clone();
        let owner = req.key.and_then(|key| view.owner(req.service, key));
        let Some((upstream, _)) = owner else { return 0 };
        let client = self.state.clients.get(upstream, &view);
        let remaining_ms = client.load().backoff_remaining_ms(self.state.clock.now());
        remaining_ms
    }

    pub(super) fn select_any(
        &self,
        req: &CallerRequest<'_>,
        history: &AttemptHistory,
    ) -> Option<Selection> {
        let now = self.state.clock.now();
        let view = self.state.view.borrow().clone();
        let upstreams = view.ready_upstreams(req.service);
        let is_allowed = self.region_filter(req, &view);
        let clients: Vec<Arc<UpstreamClient>> = upstreams
            .iter()
            .filter(|u: &&Upstream| !history.has_attempted(&u.incarnation) && is_allowed(u))
            .map(|u| self.state.clients.get(u, &view))
            .collect();
        let response_kib = self.mean_response_kib(&req.route.name);
        let rate_limits = &self.state.clients.rate_limits;
        let estimate = |client: &UpstreamClient| {
            let distance_cost_ms = self.distance_cost_ms(&client.zone, response_kib);
            (client.expected_ms_if_available(now), distance_cost_ms)
        };
        let mut rng = rand::rng();
        let random = || rng.random_range(0.0..1.0);
        let position = if rate_limits.is_used() {
            let candidate = |client: &Arc<UpstreamClient>| {
                let (expected_ms, distance_cost_ms) = estimate(client);
                Candidate {
                    expected_ms,
                    distance_cost_ms,
                    permit: rate_limits.permit_state(&client.incarnation, now),
                }
            };
            let candidates: Vec<Candidate> = clients.iter().map(candidate).collect();
            let choice = choose_permitted(&candidates, random)?;
            if let Some(better) = choice.ask_ahead.and_then(|n| clients.get(n)) {
                rate_limits.ask_ahead(&better.incarnation);
            }
            choice.position
        } else {
            let estimates = clients.iter().enumerate().map(|(position, client)| {
                let (expected_ms, distance_cost_ms) = estimate(client);
                (position, expected_ms, distance_cost_ms)
            });
            choose(estimates, random)?.position
        };
        Some(self.selection_of(clients.get(position)?.clone(), 0, now))
    }

    /// Gets a permit if `selected` has a rate limit. The error is the caller's `Retry-After` in milliseconds.
    pub(super) async fn acquire_permit(
        &self,
        req: &CallerRequest<'_>,
        selected: &Selection,
    ) -> Result<Option<Permit>, u64> {
        let now = self.state.clock.now();
        let elapsed_ms = req.elapsed_before_ms() + now.since(req.arrived_at);
        let work_ms = selected.expected_ms + selected.round_trip_ms;
        let until_objective_ms = req.route.objective_ms.saturating_sub(elapsed_ms + work_ms);
        let until_deadline_ms = req.deadline.since(now).saturating_sub(work_ms);
        // A request that is late already may use half of what is left.
        let wait_max_ms = match until_objective_ms {
            0 => until_deadline_ms / 2,
            _ => until_objective_ms.min(until_deadline_ms),
        };
        let rate_limits = &self.state.clients.rate_limits;
        let (upstream, priority) = (&selected.client.incarnation, req.route.priority);
        rate_limits
            .acquire(upstream, priority, wait_max_ms, &self.state.clock)
            .await
    }

    /// Returns why a request got no permit for `selected`.
    pub(super) fn limit_reason(&self, selected: &Selection) -> &'static str {
        let rate_limits = &self.state.clients.rate_limits;
        let upstream = &selected.client.incarnation;
        if rate_limits.is_inferred(upstream, self.state.clock.now()) {
            OWNER_FULL
        } else if rate_limits.is_cold(upstream) {
            UPSTREAM_COLD
        } else {
            UPSTREAM_AT_RATE_LIMIT
        }
    }

    /// Returns the cost of sending to an availability zone, in milliseconds of waiting.
    pub(super) fn distance_cost_ms(&self, zone: &str, response_kib: f64) -> f64 {
        match self.distance_to_zone(zone) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_COST_MS + OTHER_ZONE_MS_PER_KIB * response_kib,
            Distance::OtherRegion => OTHER_REGION_COST_MS + OTHER_REGION_MS_PER_KIB * response_kib,
        }
    }

    pub(super) fn mean_response_kib(&self, route: &str) -> f64 {
        lock(&self.state.mean_response_kib)
            .get(route)
            .copied()
            .unwrap_or(0.0)
    }

    pub(super) fn record_response_size(&self, route: &str, response: &Response<ResponseBody>) {
        let kib = response.body().min_bytes() as f64 / 1_024.0;
        let mut sizes = lock(&self.state.mean_response_kib);
        match sizes.get_mut(route) {
            Some(mean) => *mean += (kib - *mean) * SIZE_SAMPLE_WEIGHT,
            None => {
                sizes.insert(route.to_string(), kib);
            }
        }
    }

    /// Checks that `selected` can respond in time; the error is the caller's `Retry-After` in milliseconds.
    pub(super) fn admit(
        &self,
        req: &CallerRequest<'_>,
        selected: &Selection,
        now: Mono,
    ) -> Result<(), u64> {
        let elapsed_ms = req.elapsed_before_ms() + now.since(req.arrived_at);
        let limits = TimeLimits {
            objective_ms: req.route.objective_ms as f64,
            objective_remaining_ms: req.route.objective_ms as f64 - elapsed_ms as f64,
            deadline_remaining_ms: req.deadline.since(now) as f64,
        };
        admit(
            &selected.client.load(),
            selected.round_trip_ms as f64,
            limits,
            now,
        )
    }

    pub(super) fn selection_of(
        &self,
        client: Arc<UpstreamClient>,
        fence: u64,
        now: Mono,
    ) -> Selection {
        let (expected_ms, load_report_age_ms, service_time_percent) = {
            let load = client.load();
            let percent = load.service_time_percent(now).map(|(percent, _)| percent);
            let expected_ms = load.expected_ms(now) as u64;
            (expected_ms, load.report_age_ms(now), percent)
        };
        let distance = self.distance_to_zone(&client.zone);
        Selection {
            distance,
            round_trip_ms: match distance {
                Distance::SameZone | Distance::SameRegion => SAME_REGION_ROUND_TRIP_MS,
                Distance::OtherRegion => OTHER_REGION_ROUND_TRIP_MS,
            },
            client,
            fence,
            expected_ms,
            load_report_age_ms,
            service_time_percent,
        }
    }

    /// Returns the distance to a key's owner, or `None` for services that aren't divided by key. An owner that the
    /// route doesn't allow counts as far, so that the requests that it would have to refuse aren't preferred.
    pub(super) fn owner_distance(
        &self,
        view: &DirectoryView,
        route: &Route,
        service: &str,
        key: Option<Key>,
    ) -> Option<Distance> {
        if !view.service(service).is_some_and(|s| s.sharded) {
            return None;
        }
        let owner = key.and_then(|key| view.owner(service, key));
        let owner = owner.filter(|(u, _)| allows_upstream(route, &self.state.regions_by_zone, u));
        Some(owner.map_or(Distance::OtherRegion, |(u, _)| {
            self.distance_to_zone(&u.zone)
        }))
    }

    /// Counts the ready upstreams of a service that a route allows by distance.
    pub(super) fn count_by_distance(
        &self,
        view: &DirectoryView,
        route: &Route,
        service: &str,
    ) -> [u32; 3] {
        let mut counts = [0; 3];
        let is_allowed = |u: &&Upstream| allows_upstream(route, &self.state.regions_by_zone, u);
        for upstream in view.ready_upstreams(service).iter().filter(is_allowed) {
            counts[self.distance_to_zone(&upstream.zone) as usize] += 1;
        }
        counts
    }

    pub(super) fn distance_to_zone(&self, zone: &str) -> Distance {
        let regions = &self.state.regions_by_zone;
        if zone == self.state.zone {
            Distance::SameZone
        } else if regions.get(zone) == regions.get(&self.state.zone) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Counts a waiting request in a gauge until dropped.
struct OwnerWaitGuard<'a>(&'a prometheus_client::metrics::gauge::Gauge);

impl OwnerWaitGuard<'_> {
    fn begin(gauge: &prometheus_client::metrics::gauge::Gauge) -> OwnerWaitGuard<'_> {
        gauge.inc();
        OwnerWaitGuard(gauge)
    }
}

impl Drop for OwnerWaitGuard<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}
