//! The regions in which owners of keys are chosen.

use crate::event::{list_names, Event};

use super::super::model::{RouteConfig, Upstream};
use super::super::regions::{common_regions, eligible_owners, is_in_regions, RegionsByZone};
use super::*;

/// The regions of upstreams, and what was logged about them.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnerRegions {
    by_zone: RegionsByZone,
    /// By service, for services with restricted routes.
    chosen: BTreeMap<String, ChosenRegions>,
    /// Routes with a region that they allow and that has no upstream for them.
    without_upstreams: BTreeSet<(String, String)>,
    /// The versions of the configuration and of the upstreams from which this was derived.
    checked: Option<(u64, u64)>,
}

/// The regions in which the owners of a service's keys are chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ChosenRegions {
    /// The regions that every route to the service allows.
    common: BTreeSet<String>,
    /// Whether there are upstreams in these regions; otherwise owners may be in any.
    has_upstreams: bool,
}

impl Lessor {
    /// Sets the regions of availability zones.
    pub fn with_regions(mut self, by_zone: RegionsByZone) -> Lessor {
        self.regions.by_zone = by_zone;
        self
    }

    /// Returns those of the `eligible` upstreams that the regions of the service's routes leave as owners.
    pub(super) fn in_allowed_regions<'u>(
        &self,
        service: &str,
        state: &State,
        eligible: Vec<&'u Upstream>,
    ) -> Vec<&'u Upstream> {
        match &state.config {
            Some(stored) => {
                eligible_owners(&stored.config, service, &self.regions.by_zone, eligible)
            }
            None => eligible,
        }
    }

    /// Returns the number of services whose owners may be in any region because the regions that their routes
    /// allow have no upstream.
    pub fn services_outside_regions(&self) -> usize {
        let chosen = self.regions.chosen.values();
        chosen.filter(|c| !c.has_upstreams).count()
    }

    /// Logs changes of the regions in which owners of a service's keys are chosen.
    pub(super) fn log_owner_regions(
        &mut self,
        service: &str,
        state: &State,
        now: Mono,
        output: &mut LessorOutput,
    ) {
        let Some(stored) = &state.config else { return };
        let chosen = common_regions(&stored.config, service).map(|common| {
            let is_inside = |u: &Upstream| is_in_regions(u, &self.regions.by_zone, &common);
            let eligible = self.eligible_upstreams(service, state, now);
            ChosenRegions {
                has_upstreams: eligible.into_iter().any(is_inside),
                common: common.iter().map(|r| r.to_string()).collect(),
            }
        });
        if self.regions.chosen.get(service) == chosen.as_ref() {
            return;
        }
        output.events.push(Event::OwnerRegionsChanged {
            service: service.to_string(),
            regions: list_names(chosen.iter().flat_map(|c| c.common.iter().cloned()), "; "),
            is_restricted: chosen.is_some(),
            has_upstreams: chosen.as_ref().is_none_or(|c| c.has_upstreams),
            config: stored.config.version,
        });
        match chosen {
            Some(chosen) => self.regions.chosen.insert(service.to_string(), chosen),
            None => self.regions.chosen.remove(service),
        };
    }

    /// Logs changes of the set of allowed regions that have no upstream for their route.
    pub(super) fn log_regions_without_upstreams(
        &mut self,
        state: &State,
        output: &mut LessorOutput,
    ) {
        let Some(stored) = &state.config else { return };
        let versions = (stored.config.version, state.versions.upstreams);
        if self.regions.checked.replace(versions) == Some(versions) {
            return;
        }
        let services = &stored.config.services;
        let is_sharded = |name: &String| services.get(name).is_some_and(|s| s.sharded);
        self.regions.chosen.retain(|name, _| is_sharded(name));
        let without = regions_without_upstreams(&stored.config, state, &self.regions.by_zone);
        if without == self.regions.without_upstreams {
            return;
        }
        let names = without.iter().map(|(route, r)| format!("{route}: {r}"));
        output.events.push(Event::RegionsWithoutUpstreams {
            count: without.len() as u64,
            regions: list_names(names, "; "),
            config: stored.config.version,
        });
        self.regions.without_upstreams = without;
    }
}

/// Returns each route with a region that it allows and in which none of its services has a ready upstream.
fn regions_without_upstreams(
    config: &RouteConfig,
    state: &State,
    by_zone: &RegionsByZone,
) -> BTreeSet<(String, String)> {
    if config.routes.iter().all(|r| r.allowed_regions.is_empty()) {
        return BTreeSet::new();
    }
    let ready = state.upstreams.values().filter(|u| u.is_ready());
    let served: BTreeSet<(&str, &str)> = ready
        .filter_map(|u| Some((u.service.as_str(), by_zone.get(&u.zone)?.as_str())))
        .collect();
    let routes = config.routes.iter();
    let allowed = routes.flat_map(|route| route.allowed_regions.iter().map(move |r| (route, r)));
    let without = allowed.filter(|(route, region)| {
        let mut targets = route.targets.iter();
        !targets.any(|t| served.contains(&(t.service.as_str(), region.as_str())))
    });
    without
        .map(|(route, region)| (route.name.clone(), region.clone()))
        .collect()
}
