//! Which upstreams of a service the allowed regions of its routes leave.

use std::collections::{BTreeMap, BTreeSet};

use super::model::{RouteConfig, Upstream};

/// Regions by availability zone, as the settings give them. A zone may be missing: its region is unknown.
pub type RegionsByZone = BTreeMap<String, String>;

/// Returns the regions that every route to `service` allows, or `None` if no route to it restricts them. A route
/// that gives the service a weight of 0 counts, since a later configuration may raise the weight.
///
/// # Examples
///
/// ```
/// use carobreel::directory::regions::common_regions;
/// use carobreel::platform::config::parse;
///
/// let route = |name: &str, regions: &str| format!(r#"{{"name":"{name}","hostname":"h.example",
///     "pathPrefix":"/{name}/","kind":"idempotent","timeout":"1s","service":"maps",
///     "allowedRegions":{regions}}}"#);
/// let config = |routes: &[String]| parse(format!(
///     r#"{{"version":"r1","services":[{{"name":"maps"}}],"routes":[{}]}}"#,
///     routes.join(",")).as_bytes()).unwrap();
/// let open = config(&[route("a", "[]")]);
/// assert_eq!(common_regions(&open, "maps"), None);
/// let both = config(&[route("a", "[]"), route("b", r#"["n","s"]"#), route("c", r#"["s"]"#)]);
/// assert_eq!(common_regions(&both, "maps"), Some(["s"].into()));
/// assert_eq!(common_regions(&both, "files"), None);
/// let disjoint = config(&[route("b", r#"["n"]"#), route("c", r#"["s"]"#)]);
/// assert_eq!(common_regions(&disjoint, "maps"), Some([].into()));
/// ```
pub fn common_regions<'c>(config: &'c RouteConfig, service: &str) -> Option<BTreeSet<&'c str>> {
    let mut common: Option<BTreeSet<&str>> = None;
    for route in &config.routes {
        let has_target = || route.targets.iter().any(|t| t.service == service);
        if route.allowed_regions.is_empty() || !has_target() {
            continue;
        }
        let allowed = route.allowed_regions.iter().map(String::as_str);
        common = Some(match common {
            Some(common) => allowed.filter(|r| common.contains(r)).collect(),
            None => allowed.collect(),
        });
    }
    common
}

/// Reports whether an upstream is in one of `regions`. One whose region isn't known is in none.
pub fn is_in_regions(
    upstream: &Upstream,
    regions_by_zone: &RegionsByZone,
    regions: &BTreeSet<&str>,
) -> bool {
    let region = regions_by_zone.get(&upstream.zone);
    region.is_some_and(|r| regions.contains(r.as_str()))
}

/// Returns those of the `eligible` upstreams of a service that should own its keys: the ones in regions that
/// every route to it allows, or all of them if that leaves none.
pub fn eligible_owners<'u>(
    config: &RouteConfig,
    service: &str,
    regions_by_zone: &RegionsByZone,
    mut eligible: Vec<&'u Upstream>,
) -> Vec<&'u Upstream> {
    let Some(regions) = common_regions(config, service) else {
        return eligible;
    };
    let is_inside = |u: &Upstream| is_in_regions(u, regions_by_zone, &regions);
    if eligible.iter().any(|u| is_inside(u)) {
        eligible.retain(|u| is_inside(u));
    }
    eligible
}
