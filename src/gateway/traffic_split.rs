//! Weighted selection of a service for requests whose route names several.
//!
//! A route may send a part of its requests to a service divided by key. A key has one owner, often in
//! another availability zone or region, and responses may be long. The weights set how many requests go to
//! that service but not which ones, so requests whose owner is near are preferred.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

use rand::RngExt;

use crate::decay::SampleCount;
use crate::directory::model::{Route, Target};
use crate::lock::lock;

/// Weight of the initial shares, which are those of the service's upstreams, as a number of requests.
const PRIOR_SAMPLES: u32 = 20;
/// Weight of a new request in the running shares by distance: about the last 100 requests count.
const SHARE_SAMPLE_WEIGHT: f64 = 0.01;

/// Network distance from this host to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In this host's availability zone.
    SameZone,
    /// In another availability zone of this host's region.
    SameRegion,
    /// In another region, or unknown.
    OtherRegion,
}

impl Distance {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Distance::SameZone => "zone",
            Distance::SameRegion => "region",
            Distance::OtherRegion => "far",
        }
    }
}

const DISTANCES: [Distance; 3] = [
    Distance::SameZone,
    Distance::SameRegion,
    Distance::OtherRegion,
];

/// Shares of requests by distance to the owner of their key.
#[derive(Clone, Debug, Default)]
struct DistanceShares {
    /// The allowed regions of the route for which the shares were counted.
    allowed_regions: BTreeSet<String>,
    samples: SampleCount,
    shares: [f64; 3],
}

impl DistanceShares {
    /// Returns the shares of a service's upstreams by distance.
    fn from_upstreams(route: &Route, upstreams_by_distance: [u32; 3]) -> DistanceShares {
        let mut upstreams_by_distance = upstreams_by_distance;
        if !route.allowed_regions.is_empty() && upstreams_by_distance == [0; 3] {
            // Without an upstream that the route allows, every owner counts as far.
            upstreams_by_distance[Distance::OtherRegion as usize] = 1;
        }
        let total = upstreams_by_distance.iter().sum::<u32>().max(1);
        DistanceShares {
            allowed_regions: route.allowed_regions.clone(),
            samples: SampleCount::with_prior(PRIOR_SAMPLES),
            shares: upstreams_by_distance.map(|n| f64::from(n) / f64::from(total)),
        }
    }

    fn record(&mut self, distance: Distance) {
        let weight = self.samples.add(SHARE_SAMPLE_WEIGHT);
        for (share, bucket) in self.shares.iter_mut().zip(DISTANCES) {
            let indicator = f64::from(u8::from(bucket == distance));
            *share += (indicator - *share) * weight;
        }
    }

    /// Returns the probability with which a request of this distance is sent to a service that is to get the
    /// share `weight` of all requests. Nearer requests use up the share first.
    fn probability(&self, distance: Distance, weight: f64) -> f64 {
        let mut remaining = weight;
        for (share, bucket) in self.shares.iter().zip(DISTANCES) {
            if bucket == distance {
                return (remaining / share.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
            }
            remaining = (remaining - share).max(0.0);
        }
        weight
    }
}

/// Selects services by the weights of routes.
#[derive(Debug, Default)]
pub struct TrafficSplitter {
    shares_by_target: Mutex<BTreeMap<(String, String), DistanceShares>>,
}

impl TrafficSplitter {
    /// Selects a service at random by the weights of a route. `distance` returns the distance to the owner of
    /// the request's key in a service, or `None` for services that aren't divided by key.
    /// `upstreams_by_distance` counts the upstreams of a service, nearest first.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::model::{RepeatPolicy, Route, Target};
    /// use carobreel::gateway::traffic_split::{Distance, TrafficSplitter};
    ///
    /// let target = |service: &str, weight| Target { service: service.to_string(), weight };
    /// let route = Route {
    ///     name: "packs".to_string(),
    ///     host: "one.example".to_string(),
    ///     prefix: "/packs/".to_string(),
    ///     repeat: RepeatPolicy::Idempotent,
    ///     timeout_ms: 1_000,
    ///     objective_ms: 400,
    ///     priority: 1,
    ///     targets: vec![target("maps", 30), target("files", 70)],
    ///     attempts_max: 2,
    ///     allowed_regions: Default::default(),
    /// };
    /// let splitter = TrafficSplitter::default();
    /// let (mut maps, mut far) = (0, 0);
    /// for n in 0..4_000 {
    ///     let owner = if n % 2 == 0 { Distance::SameZone } else { Distance::OtherRegion };
    ///     let distance = |s: &str| (s == "maps").then_some(owner);
    ///     let service = splitter.choose(&route, distance, |_| [2, 0, 2]);
    ///     maps += u32::from(service == "maps");
    ///     far += u32::from(service == "maps" && owner == Distance::OtherRegion && n > 200);
    /// }
    /// assert!((1_100..1_300).contains(&maps));
    /// assert!(far < 20);
    /// ```
    pub fn choose<'r>(
        &self,
        route: &'r Route,
        distance: impl Fn(&str) -> Option<Distance>,
        upstreams_by_distance: impl Fn(&str) -> [u32; 3],
    ) -> &'r str {
        match route.targets.as_slice() {
            [] => return "",
            [only] => return &only.service,
            _ => {}
        }
        let total: u32 = route.targets.iter().map(|t| t.weight).sum();
        let mut remaining = f64::from(total);
        let mut unkeyed: Vec<&Target> = Vec::new();
        for target in &route.targets {
            let Some(distance) = distance(&target.service) else {
                unkeyed.push(target);
                continue;
            };
            let weight = f64::from(target.weight) / remaining.max(1.0);
            let upstreams_by_distance = || upstreams_by_distance(&target.service);
            let probability =
                self.probability(route, target, distance, weight, upstreams_by_distance);
            if rand::rng().random_range(0.0..1.0) < probability {
                return &target.service;
            }
            remaining -= f64::from(target.weight);
        }
        choose_by_weight(&unkeyed).unwrap_or(&route.targets[0].service)
    }

    fn probability(
        &self,
        route: &Route,
        target: &Target,
        distance: Distance,
        weight: f64,
        upstreams_by_distance: impl FnOnce() -> [u32; 3],
    ) -> f64 {
        let mut shares_by_target = lock(&self.shares_by_target);
        let key = (route.name.clone(), target.service.clone());
        let shares = shares_by_target.entry(key).or_default();
        // Shares of owners in other regions would keep requests from the service until they have decayed.
        if shares.samples.is_empty() || shares.allowed_regions != route.allowed_regions {
            *shares = DistanceShares::from_upstreams(route, upstreams_by_distance());
        }
        shares.record(distance);
        shares.probability(distance, weight)
    }
}

/// Selects among services that aren't divided by key, at random by their weights.
fn choose_by_weight<'r>(targets: &[&'r Target]) -> Option<&'r str> {
    let total: u32 = targets.iter().map(|t| t.weight).sum();
    let mut remaining = match total {
        0 => 0,
        _ => rand::rng().random_range(0..total),
    };
    for target in targets {
        if remaining < target.weight {
            return Some(&target.service);
        }
        remaining -= target.weight;
    }
    targets.first().map(|t| t.service.as_str())
}
