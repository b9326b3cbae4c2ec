//! Claims of request ids: the id of a request that may not be repeated is claimed before the
//! request is sent, so that it runs at most once.
//!
//! The claims of an id are replicated on three entry hosts, of different availability zones where
//! there are enough: two in the id's home region if it has two availability zones, the rest in other
//! regions. Two of the three must grant a claim, so at most one claimant can hold it. Replicas hold
//! claims in memory. A replica that restarted abstains until it has copied the claims of its peers,
//! or until every earlier claim has expired.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_128, xxh3_64};

use crate::clock::Mono;
use crate::settings::Deployment;
use crate::wire::Header;

/// The number of replicas that hold the claims of one id.
pub const CLAIM_REPLICAS: usize = 3;
/// The number of grants that a claim needs.
pub const CLAIM_QUORUM: usize = 2;
/// A claim is valid only if its grants arrived within this time, in milliseconds.
pub const CLAIM_ROUND_MS: u64 = 1_000;
/// The largest body of an answer that is kept for resends, in bytes.
pub const ANSWER_BODY_BYTES_MAX: usize = 16 << 10;
/// The most bytes of bodies that one replica holds; beyond it, only the heads of answers are kept.
const TOTAL_BODY_BYTES_MAX: usize = 16 << 20;
/// The most claims that one replica holds.
const CLAIMS_MAX: usize = 400_000;

/// The hash of a service and a request id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClaimId(pub u128);

impl ClaimId {
    /// Returns the claim id of a caller's `Idempotency-Key` for a service.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::claim::ClaimId;
    ///
    /// assert_ne!(ClaimId::of("licencas", "1"), ClaimId::of("arquivo", "1"));
    /// ```
    pub fn of(service: &str, key: &str) -> ClaimId {
        ClaimId(xxh3_128(format!("{service}\n{key}").as_bytes()))
    }
}

/// Identifies a claim, in a request to grant or to release it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The request id.
    pub id: ClaimId,
    /// A random number that identifies the claimant.
    pub token: u64,
    /// A digest that distinguishes a resend from another request with the same id.
    pub digest: u64,
}

/// An answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers to forward.
    pub headers: Vec<Header>,
    /// The body; `None` when it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// The answer of a claimed request, sent to the id's replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The claim.
    pub claim: ClaimRequest,
    /// The answer.
    pub answer: KeptAnswer,
}

/// The state of one id at a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The holder's token; `None` after a release.
    pub token: Option<u64>,
    /// The tokens whose claims were released. A claim with such a token that arrives after the
    /// release is refused.
    pub released: BTreeSet<u64>,
    /// The request's digest.
    pub digest: u64,
    /// The answer, once the request has one.
    pub answer: Option<KeptAnswer>,
    /// The record's age when it was copied to a peer, in milliseconds.
    pub age_ms: u64,
}

/// A replica's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim is granted.
    Granted,
    /// Another claimant holds the claim, and no answer is known yet.
    Held,
    /// The request ran, and this is its answer.
    Done(KeptAnswer),
    /// The id was used for another request.
    Mismatch,
    /// The replica restarted and hasn't recovered, or it is full.
    Abstained,
}

#[derive(Clone, Debug)]
struct StoredClaim {
    record: ClaimRecord,
    stored_at: Mono,
}

/// One host's replica of claims.
#[derive(Debug)]
pub struct ClaimReplica {
    lifetime_ms: u64,
    claims: BTreeMap<ClaimId, StoredClaim>,
    by_age: BTreeSet<(Mono, ClaimId)>,
    total_body_bytes: usize,
    recovered: bool,
    started_at: Mono,
}

impl ClaimReplica {
    /// Returns an empty replica, which abstains until it has recovered unless `recovered` is true.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::claim::{ClaimAnswer, ClaimId, ClaimRequest, ClaimReplica};
    /// use carobreel::clock::Mono;
    ///
    /// let mut replica = ClaimReplica::new(60_000, Mono(0), true);
    /// let first = ClaimRequest { id: ClaimId::of("licencas", "1"), token: 1, digest: 9 };
    /// let second = ClaimRequest { token: 2, ..first };
    /// assert_eq!(replica.claim(first, Mono(1)), ClaimAnswer::Granted);
    /// assert_eq!(replica.claim(second, Mono(2)), ClaimAnswer::Held);
    /// ```
    pub fn new(lifetime_ms: u64, now: Mono, recovered: bool) -> ClaimReplica {
        ClaimReplica {
            lifetime_ms,
            claims: BTreeMap::new(),
            by_age: BTreeSet::new(),
            total_body_bytes: 0,
            recovered,
            started_at: now,
        }
    }

    /// Reports whether the replica holds every claim that it, or an earlier process of its host,
    /// may have granted.
    pub fn is_recovered(&mut self, now: Mono) -> bool {
        if now.since(self.started_at) > self.lifetime_ms {
            self.recovered = true;
        }
        self.recovered
    }

    /// Returns the number of claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Reports whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Grants or refuses a claim.
    pub fn claim(&mut self, req: ClaimRequest, now: Mono) -> ClaimAnswer {
        self.expire(now);
        let recovered = self.is_recovered(now);
        if let Some(stored) = self.claims.get_mut(&req.id) {
            return answer_known_claim(&mut stored.record, req, recovered);
        }
        if !recovered || self.claims.len() >= CLAIMS_MAX {
            return ClaimAnswer::Abstained;
        }
        let record = ClaimRecord {
            token: Some(req.token),
            released: BTreeSet::new(),
            digest: req.digest,
            answer: None,
            age_ms: 0,
        };
        self.insert(req.id, record, now);
        ClaimAnswer::Granted
    }

    /// Releases a claim whose request was not sent.
    pub fn release(&mut self, req: ClaimRequest, now: Mono) {
        self.expire(now);
        if !self.claims.contains_key(&req.id) {
            let record = ClaimRecord {
                token: None,
                released: BTreeSet::new(),
                digest: req.digest,
                answer: None,
                age_ms: 0,
            };
            self.insert(req.id, record, now);
        }
        if let Some(stored) = self.claims.get_mut(&req.id) {
            stored.record.released.insert(req.token);
            if stored.record.token == Some(req.token) {
                stored.record.token = None;
            }
        }
    }

    /// Stores the answer of a claimed request.
    pub fn complete(&mut self, completion: Completion, now: Mono) {
        self.expire(now);
        let claim = completion.claim;
        if !self.claims.contains_key(&claim.id) {
            let record = ClaimRecord {
                token: Some(claim.token),
                released: BTreeSet::new(),
                digest: claim.digest,
                answer: None,
                age_ms: 0,
            };
            self.insert(claim.id, record, now);
        }
        let bytes_left = TOTAL_BODY_BYTES_MAX.saturating_sub(self.total_body_bytes);
        let Some(stored) = self.claims.get_mut(&claim.id) else {
            return;
        };
        let mut answer = completion.answer;
        if answer.body.as_ref().is_some_and(|b| b.len() > bytes_left) {
            answer.body = None;
        }
        self.total_body_bytes -= body_bytes(&stored.record.answer);
        stored.record.token = Some(claim.token);
        stored.record.answer = Some(answer);
        self.total_body_bytes += body_bytes(&stored.record.answer);
    }

    /// Returns the bytes of all bodies held.
    pub fn total_body_bytes(&self) -> usize {
        self.total_body_bytes
    }

    /// Returns the claims that `host` replicates as well, or `None` while this replica hasn't
    /// recovered.
    pub fn claims_of(
        &mut self,
        deployment: &Deployment,
        host: &str,
        now: Mono,
    ) -> Option<Vec<(ClaimId, ClaimRecord)>> {
        self.expire(now);
        if !self.is_recovered(now) {
            return None;
        }
        let shared = self.claims.iter().filter(|(id, _)| {
            let replicas = replicas_of(deployment, **id);
            replicas.iter().any(|name| name == host)
        });
        let with_age = |(id, stored): (&ClaimId, &StoredClaim)| {
            let mut record = stored.record.clone();
            record.age_ms = now.since(stored.stored_at);
            (*id, record)
        };
        Some(shared.map(with_age).collect())
    }

    /// Adds the claims of all peers; the replica has recovered after it.
    pub fn recover(&mut self, lists: Vec<Vec<(ClaimId, ClaimRecord)>>, now: Mono) {
        for (id, record) in lists.into_iter().flatten() {
            let stored_at = Mono(now.0.saturating_sub(record.age_ms));
            let replaces = match self.claims.get(&id) {
                None => true,
                Some(stored) => stored.record.answer.is_none() && record.token.is_some(),
            };
            if replaces {
                self.insert(id, record, stored_at);
            }
        }
        self.recovered = true;
    }

    fn insert(&mut self, id: ClaimId, record: ClaimRecord, stored_at: Mono) {
        self.total_body_bytes += body_bytes(&record.answer);
        if let Some(old) = self.claims.insert(id, StoredClaim { record, stored_at }) {
            self.total_body_bytes -= body_bytes(&old.record.answer);
            self.by_age.remove(&(old.stored_at, id));
        }
        self.by_age.insert((stored_at, id));
    }

    fn expire(&mut self, now: Mono) {
        while let Some((stored_at, id)) = self.by_age.first().copied() {
            if now.since(stored_at) <= self.lifetime_ms {
                return;
            }
            self.by_age.pop_first();
            if let Some(old) = self.claims.remove(&id) {
                self.total_body_bytes -= body_bytes(&old.record.answer);
            }
        }
    }
}

fn body_bytes(answer: &Option<KeptAnswer>) -> usize {
    let body = answer.as_ref().and_then(|a| a.body.as_ref());
    body.map_or(0, Vec::len)
}

fn answer_known_claim(record: &mut ClaimRecord, req: ClaimRequest, recovered: bool) -> ClaimAnswer {
    if record.digest != req.digest {
        return ClaimAnswer::Mismatch;
    }
    if let Some(answer) = &record.answer {
        return ClaimAnswer::Done(answer.clone());
    }
    match record.token {
        Some(token) if token == req.token => ClaimAnswer::Granted,
        Some(_) => ClaimAnswer::Held,
        None if record.released.contains(&req.token) => ClaimAnswer::Held,
        None if !recovered => ClaimAnswer::Abstained,
        None => {
            record.token = Some(req.token);
            ClaimAnswer::Granted
        }
    }
}

/// Returns the hosts that hold the claims of an id, by rendezvous hashing within availability
/// zones.
///
/// Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
pub fn replicas_of(deployment: &Deployment, id: ClaimId) -> Vec<String> {
    let score = |name: &str| xxh3_64(format!("{:032x}{name}", id.0).as_bytes());
    let zones = zone_order(deployment, id);
    let mut replicas = Vec::new();
    for zone in &zones {
        let hosts = deployment
            .entry_hosts
            .iter()
            .filter(|h| h.availability_zone == *zone && !replicas.contains(&h.name));
        if let Some(best) = hosts.max_by_key(|h| score(&h.name)) {
            replicas.push(best.name.clone());
        }
        if replicas.len() == CLAIM_REPLICAS {
            return replicas;
        }
    }
    let mut rest: Vec<&str> = deployment
        .entry_hosts
        .iter()
        .map(|h| h.name.as_str())
        .filter(|name| !replicas.iter().any(|r| r == name))
        .collect();
    rest.sort_by_key(|name| score(name));
    while replicas.len() < CLAIM_REPLICAS {
        let Some(name) = rest.pop() else {
            break;
        };
        replicas.push(name.to_string());
    }
    replicas
}

/// Returns all availability zones in the order in which replicas are placed: two of the id's home
/// region, one of each further region, then the rest.
fn zone_order(deployment: &Deployment, id: ClaimId) -> Vec<String> {
    let regions = deployment.regions.len().max(1);
    let home = (id.0 % regions as u128) as usize;
    let score = |zone: &String| xxh3_64(format!("{:032x}{zone}", id.0).as_bytes());
    let mut preferred = Vec::new();
    let mut others = Vec::new();
    for step in 0..regions {
        let region = &deployment.regions[(home + step) % regions];
        let mut zones = region.availability_zones.clone();
        zones.sort_by_key(score);
        let preferred_count = if step == 0 { 2 } else { 1 };
        let rest = zones.split_off(preferred_count.min(zones.len()));
        preferred.extend(zones);
        others.extend(rest);
    }
    preferred.extend(others);
    preferred
}
