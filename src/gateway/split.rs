//! Draws a service for a request whose route names several, by their weights.
//!
//! Answers routes that send a part of their requests to a service divided by key: a key has one owner,
//! often in another availability zone or region, and answers may be long. The weights say how many
//! requests go there, not which: those whose owner is near go first.

use std::collections::BTreeMap;
use std::sync::Mutex;

use rand::RngExt;

use crate::directory::model::{Route, Target};
use crate::lock::lock;

/// What the places of a service's upstreams tell of the shares counts like so many requests.
const PRIOR_SAMPLES: u32 = 20;
/// The weight of a new request in the running shares of distances: about the last hundred count.
const SAMPLE_WEIGHT: f64 = 0.01;

/// How far a key's owner is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In this host's availability zone.
    Zone,
    /// In its region.
    Region,
    /// In another region, or unknown.
    Far,
}

impl Distance {
    /// Returns its name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Distance::Zone => "zone",
            Distance::Region => "region",
            Distance::Far => "far",
        }
    }
}

const DISTANCES: [Distance; 3] = [Distance::Zone, Distance::Region, Distance::Far];

/// The shares of requests by distance of their owner.
#[derive(Clone, Copy, Debug, Default)]
struct Shares {
    samples: u32,
    shares: [f64; 3],
}

impl Shares {
    /// Returns shares as the places of a service's upstreams have them.
    fn from_places(places: [u32; 3]) -> Shares {
        let all = places.iter().sum::<u32>().max(1);
        Shares {
            samples: PRIOR_SAMPLES,
            shares: places.map(|n| f64::from(n) / f64::from(all)),
        }
    }

    fn note(&mut self, distance: Distance) {
        self.samples = self.samples.saturating_add(1);
        // The plain mean at first.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        for (share, of) in self.shares.iter_mut().zip(DISTANCES) {
            let sample = f64::from(u8::from(of == distance));
            *share += (sample - *share) * weight;
        }
    }

    /// Returns the chance with which a request of this distance goes to a service that is to get
    /// `weight` of all: nearer ones use it up first.
    fn chance(&self, distance: Distance, weight: f64) -> f64 {
        let mut left = weight;
        for (share, of) in self.shares.iter().zip(DISTANCES) {
            if of == distance {
                return (left / share.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
            }
            left = (left - share).max(0.0);
        }
        weight
    }
}

/// Draws services for routes.
#[derive(Debug, Default)]
pub struct Splits {
    by_service: Mutex<BTreeMap<(String, String), Shares>>,
}

impl Splits {
    /// Draws a service by the weights of a route. `distance` tells how far the owner of the request's key
    /// is in a service, `None` for services that any upstream serves; `places` counts a service's upstreams
    /// by distance, nearest first.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::directory::model::{RepeatPolicy, Route, Target};
    /// use carobreel::gateway::split::{Distance, Splits};
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
    /// };
    /// let splits = Splits::default();
    /// let (mut maps, mut far) = (0, 0);
    /// for n in 0..4_000 {
    ///     let owner = if n % 2 == 0 { Distance::Zone } else { Distance::Far };
    ///     let distance = |s: &str| (s == "maps").then_some(owner);
    ///     let service = splits.draw(&route, distance, |_| [2, 0, 2]);
    ///     maps += u32::from(service == "maps");
    ///     far += u32::from(service == "maps" && owner == Distance::Far && n > 200);
    /// }
    /// assert!((1_100..1_300).contains(&maps));
    /// assert!(far < 20);
    /// ```
    pub fn draw<'r>(
        &self,
        route: &'r Route,
        distance: impl Fn(&str) -> Option<Distance>,
        places: impl Fn(&str) -> [u32; 3],
    ) -> &'r str {
        match route.targets.as_slice() {
            [] => return "",
            [only] => return &only.service,
            _ => {}
        }
        let total: u32 = route.targets.iter().map(|t| t.weight).sum();
        let mut left = f64::from(total);
        let mut rest: Vec<&Target> = Vec::new();
        for target in &route.targets {
            let Some(distance) = distance(&target.service) else {
                rest.push(target);
                continue;
            };
            let weight = f64::from(target.weight) / left.max(1.0);
            let places = || places(&target.service);
            let chance = self.chance(&route.name, target, distance, weight, places);
            if rand::rng().random_range(0.0..1.0) < chance {
                return &target.service;
            }
            left -= f64::from(target.weight);
        }
        draw_any(&rest).unwrap_or(&route.targets[0].service)
    }

    fn chance(
        &self,
        route: &str,
        target: &Target,
        distance: Distance,
        weight: f64,
        places: impl FnOnce() -> [u32; 3],
    ) -> f64 {
        let mut by_service = lock(&self.by_service);
        let key = (route.to_string(), target.service.clone());
        let shares = by_service
            .entry(key)
            .or_insert_with(|| Shares::from_places(places()));
        shares.note(distance);
        shares.chance(distance, weight)
    }
}

/// Draws among services that any upstream serves.
fn draw_any<'r>(targets: &[&'r Target]) -> Option<&'r str> {
    let total: u32 = targets.iter().map(|t| t.weight).sum();
    let mut left = match total {
        0 => 0,
        _ => rand::rng().random_range(0..total),
    };
    for target in targets {
        if left < target.weight {
            return Some(&target.service);
        }
        left -= target.weight;
    }
    targets.first().map(|t| t.service.as_str())
}
