//! The settings of a directory process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use super::regions::RegionsByZone;

/// The settings of a directory process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address at which this process communicates with the others.
    pub address: SocketAddr,
    /// The addresses of other directory processes for the first contact.
    pub seeds: Arc<Mutex<Vec<SocketAddr>>>,
    /// Whether the deployment starts for the first time.
    pub first_start: bool,
    /// The folder that stores the replica.
    pub data_folder: PathBuf,
    /// How long an upstream holds granted keys, in milliseconds.
    pub hold_ms: u64,
    /// The target number of voters.
    pub voters: usize,
    /// Regions by availability zone.
    pub regions_by_zone: RegionsByZone,
}
