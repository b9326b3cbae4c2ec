//! The upstreams as this entry host uses them: connections and load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::directory::model::{Incarnation, Upstream};
use crate::entry::pool::Pool;

use super::balance::LoadView;
use super::view::View;

/// The share of an upstream's connections that entry hosts use together; the rest is for probes and
/// for hosts that join.
const CONNECTIONS_USED_PERCENT: u32 = 80;

/// One upstream.
#[derive(Debug)]
pub struct Peer {
    /// Which process it is.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its connections.
    pub pool: Pool,
    load: Mutex<LoadView>,
}

impl Peer {
    /// Returns the view of its load.
    pub fn load(&self) -> MutexGuard<'_, LoadView> {
        match self.load.lock() {
            Ok(load) => load,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

/// A request that is under way to an upstream.
#[derive(Debug)]
pub struct Place {
    peer: Arc<Peer>,
}

impl Place {
    /// Counts one more request to `peer` until the place is dropped.
    pub fn take(peer: &Arc<Peer>) -> Place {
        peer.load().own += 1;
        Place { peer: peer.clone() }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut load = self.peer.load();
        load.own = load.own.saturating_sub(1);
    }
}

/// All upstreams in use, by id.
#[derive(Debug, Default)]
pub struct Peers {
    by_id: Mutex<BTreeMap<String, Arc<Peer>>>,
}

impl Peers {
    /// Returns an upstream's peer, which is made when it is first used.
    pub fn get(&self, upstream: &Upstream, view: &View) -> Arc<Peer> {
        let mut by_id = self.lock();
        let id = &upstream.incarnation.id;
        if let Some(peer) = by_id.get(id) {
            let same = peer.incarnation == upstream.incarnation && peer.address == upstream.address;
            if same {
                return peer.clone();
            }
        }
        let service = view.service(&upstream.service);
        let all = service.map_or(1, |s| s.connections_max);
        let share = all * CONNECTIONS_USED_PERCENT / 100 / view.entry_hosts.max(1);
        let peer = Arc::new(Peer {
            incarnation: upstream.incarnation.clone(),
            zone: upstream.zone.clone(),
            address: upstream.address,
            pool: Pool::new(upstream.address, share as usize),
            load: Mutex::new(LoadView::new(upstream.slots)),
        });
        by_id.insert(id.clone(), peer.clone());
        peer
    }

    /// Drops the peers that `view` doesn't name any more.
    pub fn retain(&self, view: &View) {
        let mut by_id = self.lock();
        by_id.retain(|id, _| view.upstreams().any(|u| u.incarnation.id == *id));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Peer>>> {
        match self.by_id.lock() {
            Ok(by_id) => by_id,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}
