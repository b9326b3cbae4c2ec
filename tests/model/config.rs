//! Configurations for the simulation.

use std::collections::BTreeMap;

use carobreel::directory::model::{RepeatPolicy, Route, RouteConfig, Service, Target};
use carobreel::directory::state::StoredConfig;

use super::SERVICE;

/// Returns a configuration whose document is its version.
pub fn config(version: u64) -> StoredConfig {
    let service = Service {
        health_path: "/health".to_string(),
        connections_max: 100,
        sharded: true,
        warmup_ms: 3_000,
        cold_start_ms: 0,
        cold_limit: None,
    };
    let config = RouteConfig {
        version,
        routes: Vec::<Route>::new(),
        services: BTreeMap::from([(SERVICE.to_string(), service)]),
        limits: Default::default(),
    };
    StoredConfig {
        config,
        source: version.to_string().into_bytes(),
    }
}

/// Returns the regions of the zones of upstreams.
pub fn regions_by_zone() -> BTreeMap<String, String> {
    let zones = [("a", "north"), ("b", "south")];
    zones.map(|(z, r)| (z.to_string(), r.to_string())).into()
}

/// Adds a route to the service that allows these regions.
pub fn with_regions(mut stored: StoredConfig, regions: &[&str]) -> StoredConfig {
    stored.config.routes.push(Route {
        name: "maps".to_string(),
        host: "one.example".to_string(),
        prefix: "/maps/".to_string(),
        repeat: RepeatPolicy::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 400,
        priority: 1,
        targets: vec![Target {
            service: SERVICE.to_string(),
            weight: 1,
        }],
        attempts_max: 1,
        allowed_regions: regions.iter().map(|r| r.to_string()).collect(),
    });
    stored
}
