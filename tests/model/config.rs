//! Configurations for the simulation.

use std::collections::BTreeMap;

use carobreel::directory::model::{Route, RouteConfig, Service};
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
