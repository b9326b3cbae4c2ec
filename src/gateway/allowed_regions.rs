//! Applies the allowed regions of routes to requests, and logs the routes that can't be served for them.
//!
//! The regions that bind a request are those of the configuration in force when it is sent, so each check takes
//! the current view.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use crate::clock::Mono;
use crate::directory::model::{Key, Route, Upstream};
use crate::directory::regions::{common_regions, is_in_regions, RegionsByZone};
use crate::event::{list_names, Event, Recorder};
use crate::lock::lock;

use super::caller_request::{host_of, CallerRequest, Failure};
use super::metrics::Metrics;
use super::protocol::Protocol;
use super::proxy::{Proxy, BUSY_RETRY_AFTER_MS};
use super::selection::OWNER_RETRY_AFTER_MS;
use super::upstream_client::UpstreamClient;
use super::view::DirectoryView;

/// The reason of a refusal where the route's regions have no ready upstream of the service.
pub const NO_UPSTREAM_IN_REGIONS: &str = "no upstream in an allowed region";
/// The reason of a refusal where the key's owner is in a region that the route doesn't allow.
pub const OWNER_OUTSIDE_REGIONS: &str = "owner in a region that isn't allowed";

/// `Retry-After` of these refusals, in milliseconds: an upstream announces itself about once a second, and before
/// that only a new configuration helps.
const OUTSIDE_REGIONS_RETRY_AFTER_MS: u64 = 1_000;
/// The age of the view up to which a move of keys into the allowed regions is expected, in milliseconds. Without
/// a leader no keys move, and a host without contact wouldn't learn of it.
const MOVE_EXPECTED_VIEW_AGE_MS: u64 = 2_000;

/// Reports whether a route allows an upstream.
pub fn allows_upstream(
    route: &Route,
    regions_by_zone: &RegionsByZone,
    upstream: &Upstream,
) -> bool {
    route.allowed_regions.is_empty()
        || route.allows_region(regions_by_zone.get(&upstream.zone).map(String::as_str))
}

/// Where the owner of a request's key is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnerPlace {
    /// In a region that the route allows, or unknown while the route's regions have upstreams.
    Allowed,
    /// Outside, but the directory moves the keys to an upstream inside.
    MoveExpected,
    /// Outside or unknown, and no upstream inside could receive the keys.
    Outside,
}

impl<P: Protocol> Proxy<P> {
    /// Returns the route that binds a request by `view`: the one of its host and path, or the one that it came by
    /// if the configuration has none for it any more.
    fn binding_route<'a>(&self, req: &'a CallerRequest<'_>, view: &'a DirectoryView) -> &'a Route {
        if view.versions.config == req.config_version {
            return req.route;
        }
        let host = host_of(req.parts).unwrap_or("");
        let route = view.route(host, req.parts.uri.path());
        route.unwrap_or(req.route)
    }

    /// Returns the condition for upstreams that may get a request by `view`.
    pub(super) fn region_filter<'a>(
        &'a self,
        req: &'a CallerRequest<'_>,
        view: &'a DirectoryView,
    ) -> impl Fn(&Upstream) -> bool + 'a {
        let route = self.binding_route(req, view);
        move |upstream| allows_upstream(route, &self.state.regions_by_zone, upstream)
    }

    /// Reports at the moment of sending whether the configuration in force allows the upstream's region.
    pub(super) fn allows_region_now(
        &self,
        req: &CallerRequest<'_>,
        client: &UpstreamClient,
    ) -> bool {
        let view = self.state.view.borrow().clone();
        let route = self.binding_route(req, &view);
        if route.allowed_regions.is_empty() {
            return true;
        }
        // An upstream that the view doesn't list as ready gets no request in any case.
        let upstream = view.find_ready(&client.incarnation);
        upstream.is_some_and(|u| allows_upstream(route, &self.state.regions_by_zone, u))
    }

    /// Returns the refusal of a request without a key for which no upstream was found.
    pub(super) fn no_upstream(&self, req: &CallerRequest<'_>) -> Failure {
        let view = self.state.view.borrow().clone();
        match self.has_allowed_upstream(req, &view) {
            true => Failure::refused("no upstream", BUSY_RETRY_AFTER_MS),
            false => Failure::refused(NO_UPSTREAM_IN_REGIONS, OUTSIDE_REGIONS_RETRY_AFTER_MS),
        }
    }

    /// Reports whether the route is unrestricted or its regions have a ready upstream of the service.
    fn has_allowed_upstream(&self, req: &CallerRequest<'_>, view: &DirectoryView) -> bool {
        let mut ready = view.ready_upstreams(req.service).iter();
        let is_unrestricted = self.binding_route(req, view).allowed_regions.is_empty();
        is_unrestricted || ready.any(self.region_filter(req, view))
    }

    /// Returns where the owner of a key is, as far as the route's regions are concerned.
    pub(super) fn owner_place(&self, req: &CallerRequest<'_>, key: Key, now: Mono) -> OwnerPlace {
        let view = self.state.view.borrow().clone();
        let Some((owner, _)) = view.owner(req.service, key) else {
            return match self.has_allowed_upstream(req, &view) {
                true => OwnerPlace::Allowed,
                false => OwnerPlace::Outside,
            };
        };
        if self.region_filter(req, &view)(owner) {
            return OwnerPlace::Allowed;
        }
        let common = common_regions(&view.config, req.service).unwrap_or_default();
        let is_inside = |u: &Upstream| is_in_regions(u, &self.state.regions_by_zone, &common);
        let mut ready = view.ready_upstreams(req.service).iter();
        let is_followed = now.since(view.confirmed_at) <= MOVE_EXPECTED_VIEW_AGE_MS;
        match is_followed && !is_inside(owner) && ready.any(is_inside) {
            true => OwnerPlace::MoveExpected,
            false => OwnerPlace::Outside,
        }
    }

    /// Returns the refusal of a request whose key has no owner in the allowed regions, or `None` if its owner is
    /// unavailable for another reason.
    pub(super) fn owner_outside_regions(
        &self,
        req: &CallerRequest<'_>,
        key: Key,
    ) -> Option<Failure> {
        let view = self.state.view.borrow().clone();
        match self.owner_place(req, key, self.state.clock.now()) {
            OwnerPlace::Allowed => None,
            OwnerPlace::MoveExpected => Some(Failure::refused(
                OWNER_OUTSIDE_REGIONS,
                OWNER_RETRY_AFTER_MS,
            )),
            OwnerPlace::Outside if self.has_allowed_upstream(req, &view) => Some(Failure::refused(
                OWNER_OUTSIDE_REGIONS,
                OUTSIDE_REGIONS_RETRY_AFTER_MS,
            )),
            OwnerPlace::Outside => Some(self.no_upstream(req)),
        }
    }
}

/// Logs changes of the set of routes whose allowed regions have no ready upstream.
#[derive(Debug)]
pub struct UnservedRoutes {
    regions_by_zone: RegionsByZone,
    recorder: Recorder,
    metrics: Arc<Metrics>,
    /// Routes and services that were logged.
    logged: Mutex<BTreeSet<(String, String)>>,
}

impl UnservedRoutes {
    /// Returns a log without unserved routes.
    pub fn new(
        regions_by_zone: RegionsByZone,
        recorder: Recorder,
        metrics: Arc<Metrics>,
    ) -> UnservedRoutes {
        UnservedRoutes {
            regions_by_zone,
            recorder,
            metrics,
            logged: Mutex::default(),
        }
    }

    /// Logs the routes that `view` leaves unserved if they changed.
    pub fn check(&self, view: &DirectoryView) {
        let unserved = self.unserved(view);
        let mut logged = lock(&self.logged);
        if *logged == unserved {
            return;
        }
        self.metrics.routes_unserved.set(unserved.len() as i64);
        let names = unserved.iter().map(|(route, s)| format!("{route}/{s}"));
        self.recorder.record(Event::RoutesUnserved {
            count: unserved.len() as u64,
            routes: list_names(names, "; "),
            config: view.versions.config,
        });
        *logged = unserved;
    }

    fn unserved(&self, view: &DirectoryView) -> BTreeSet<(String, String)> {
        let mut unserved = BTreeSet::new();
        let restricted = view.config.routes.iter();
        for route in restricted.filter(|r| !r.allowed_regions.is_empty()) {
            for target in route.targets.iter().filter(|t| t.weight > 0) {
                let mut ready = view.ready_upstreams(&target.service).iter();
                if !ready.any(|u| allows_upstream(route, &self.regions_by_zone, u)) {
                    unserved.insert((route.name.clone(), target.service.clone()));
                }
            }
        }
        unserved
    }
}
