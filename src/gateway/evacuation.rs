//! Evacuated availability zones on an entry host.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Mono;
use crate::directory::model::{Phase, Upstream};

use super::caller_request::Failure;
use super::metrics::Metrics;
use super::protocol::Protocol;
use super::proxy::Proxy;
use super::view::DirectoryView;

/// How long owners of keys in an evacuated zone get requests while their keys are handed over, in milliseconds from
/// the last confirmation of a view without the evacuation, which precedes its acknowledgement. Requests must end within
/// 5 s of the acknowledgement; the rest is left for the way of a request's body.
const OWNER_GRACE_MS: u64 = 3_500;
/// `Retry-After` while all upstreams of a service are in evacuated zones, in milliseconds: evacuations last minutes.
const EVACUATED_RETRY_AFTER_MS: u64 = 1_000;
/// The reason of a refusal while all upstreams of a service are in evacuated zones.
pub const ALL_EVACUATED: &str = "all upstreams are evacuated";

/// The evacuated availability zones as an entry host knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// Until when owners of keys get requests, by availability zone.
    owners_until: BTreeMap<String, Mono>,
}

impl EvacuatedZones {
    /// Returns the zones after an update that lists all evacuated ones. The leader confirmed the view before it at
    /// `confirmed_at`; `None` means that there was none, and then owners of keys get nothing either.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::gateway::evacuation::EvacuatedZones;
    ///
    /// let zones = ["a".to_string()].into();
    /// let evacuated = EvacuatedZones::default().updated(&zones, Some(Mono(1_000)));
    /// assert_eq!(evacuated.withdrawn_from("a", false), Some(Mono(0)));
    /// assert_eq!(evacuated.withdrawn_from("a", true), Some(Mono(4_500)));
    /// assert_eq!(evacuated.withdrawn_from("b", true), None);
    /// // A host that comes back, or has just started, gives no time.
    /// let evacuated = EvacuatedZones::default().updated(&zones, None);
    /// assert_eq!(evacuated.withdrawn_from("a", true), Some(Mono(0)));
    /// ```
    pub fn updated(&self, zones: &BTreeSet<String>, confirmed_at: Option<Mono>) -> EvacuatedZones {
        let until = confirmed_at.map_or(Mono(0), |at| at.plus(OWNER_GRACE_MS));
        let owners_until = zones.iter().map(|zone| {
            let known = self.owners_until.get(zone).copied();
            (zone.clone(), known.unwrap_or(until))
        });
        EvacuatedZones {
            owners_until: owners_until.collect(),
        }
    }

    /// Returns the names of the zones.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.owners_until.keys()
    }

    /// Reports whether an upstream is in an evacuated zone.
    pub fn contain(&self, upstream: &Upstream) -> bool {
        self.owners_until.contains_key(&upstream.zone)
    }

    /// Returns from when on an upstream in `zone` gets no requests, or `None` if the zone isn't evacuated. An upstream
    /// that owns keys gets requests for a while, since callers have no other upstream for these keys.
    pub fn withdrawn_from(&self, zone: &str, owns_keys: bool) -> Option<Mono> {
        let until = self.owners_until.get(zone)?;
        Some(match owns_keys {
            true => *until,
            false => Mono(0),
        })
    }
}

/// The ready upstreams of a view.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadyIndex {
    /// Ready upstreams by service, without those in evacuated zones.
    pub(super) by_service: BTreeMap<String, Vec<Upstream>>,
    /// Services whose ready upstreams are all in evacuated zones.
    pub(super) evacuated_services: BTreeSet<String>,
}

impl ReadyIndex {
    pub(super) fn new<'a>(
        upstreams: impl Iterator<Item = &'a Upstream>,
        evacuated_zones: &EvacuatedZones,
    ) -> ReadyIndex {
        let mut index = ReadyIndex::default();
        for upstream in upstreams.filter(|u| u.phase == Phase::Ready) {
            if evacuated_zones.contain(upstream) {
                index.evacuated_services.insert(upstream.service.clone());
            } else {
                let of_service = index.by_service.entry(upstream.service.clone());
                of_service.or_default().push(upstream.clone());
            }
        }
        let by_service = &index.by_service;
        index
            .evacuated_services
            .retain(|service| !by_service.contains_key(service));
        index
    }
}

impl Metrics {
    /// Sets the gauges of evacuations from a view.
    pub(super) fn observe_evacuations(&self, view: &DirectoryView) {
        let zones = view.evacuated_zones.names().count();
        self.evacuated_zones.set(zones as i64);
        self.evacuated_upstreams
            .set(view.evacuated_upstreams() as i64);
    }
}

impl<P: Protocol> Proxy<P> {
    /// Refuses a request if all upstreams of its service are in evacuated zones. It doesn't wait for a new owner of its
    /// key either, since keys stay where they are.
    pub(super) fn refuse_if_evacuated(&self, service: &str) -> Result<(), Failure> {
        match self.state.view.borrow().is_service_evacuated(service) {
            true => Err(Failure::refused(ALL_EVACUATED, EVACUATED_RETRY_AFTER_MS)),
            false => Ok(()),
        }
    }
}
