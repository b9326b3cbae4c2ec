//! Claims request ids at their claim replicas, and serves this host's claim replica.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::claim::{
    replicas_of, ClaimAnswer, ClaimId, ClaimRecord, ClaimReplica, ClaimRequest, Completion,
    KeptAnswer, CLAIM_QUORUM, CLAIM_ROUND_MS,
};
use crate::clock::Clock;
use crate::settings::Deployment;
use crate::transport::Endpoint;
use crate::wire::{Request, Response};

/// The delay between two attempts to copy the peers' claims.
const RECOVERY_RETRY_DELAY: Duration = Duration::from_millis(1_000);
const CLAIM_ROUND: Duration = Duration::from_millis(CLAIM_ROUND_MS);

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request may be sent, once.
    Granted,
    /// The request ran before; this is its answer.
    Done(KeptAnswer),
    /// Another attempt holds the claim.
    Held,
    /// The id was used for another request.
    Mismatch,
    /// Too few replicas answered.
    Unavailable,
}

/// Claims request ids at their replicas and holds this host's replica; clones share it.
#[derive(Clone, Debug)]
pub struct ClaimCoordinator {
    host: String,
    deployment: Arc<Deployment>,
    endpoint: Endpoint,
    clock: Clock,
    replica: Arc<Mutex<ClaimReplica>>,
}

impl ClaimCoordinator {
    /// Returns a coordinator for a host, whose replica abstains until [`ClaimCoordinator::recover`]
    /// is done.
    pub fn new(
        host: &str,
        deployment: Arc<Deployment>,
        endpoint: Endpoint,
        clock: Clock,
    ) -> ClaimCoordinator {
        let lifetime_ms = deployment.limits.claim_lifetime_ms;
        let replica = ClaimReplica::new(lifetime_ms, clock.now(), false);
        ClaimCoordinator {
            host: host.to_string(),
            deployment,
            endpoint,
            clock,
            replica: Arc::new(Mutex::new(replica)),
        }
    }

    /// Returns the number of claims that this host's replica holds.
    pub fn len(&self) -> usize {
        self.replica().len()
    }

    /// Reports whether this host's replica holds no claim.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Reports whether this host's replica grants claims.
    pub fn is_recovered(&self) -> bool {
        let now = self.clock.now();
        self.replica().is_recovered(now)
    }

    /// Asks the replicas of an id for a claim; it is granted by [`CLAIM_QUORUM`] grants within one
    /// round.
    pub async fn claim(&self, req: ClaimRequest) -> ClaimOutcome {
        let mut answers = self.ask_replicas(req.id, Request::Claim(req));
        let round = tokio::time::sleep(CLAIM_ROUND);
        tokio::pin!(round);
        let mut granted = 0;
        let mut held = false;
        loop {
            let answer = tokio::select! {
                answer = answers.next() => answer,
                _ = &mut round => None,
            };
            match answer {
                Some(Some(Response::Claim(ClaimAnswer::Granted))) => granted += 1,
                Some(Some(Response::Claim(ClaimAnswer::Done(answer)))) => {
                    return ClaimOutcome::Done(answer)
                }
                Some(Some(Response::Claim(ClaimAnswer::Mismatch))) => {
                    return ClaimOutcome::Mismatch
                }
                Some(Some(Response::Claim(ClaimAnswer::Held))) => held = true,
                Some(_) => {}
                None if held => return ClaimOutcome::Held,
                None => return ClaimOutcome::Unavailable,
            }
            if granted >= CLAIM_QUORUM {
                self.finish_in_background(answers);
                return ClaimOutcome::Granted;
            }
        }
    }

    /// Releases a claim whose request was not sent, and waits until a majority of replicas
    /// answered.
    pub async fn release(&self, req: ClaimRequest) {
        self.notify_replicas(req.id, Request::ReleaseClaim(req))
            .await;
    }

    /// Stores a claimed request's answer with its replicas, and waits until a majority has it.
    pub async fn complete(&self, claim: ClaimRequest, answer: KeptAnswer) {
        let completion = Box::new(Completion { claim, answer });
        self.notify_replicas(claim.id, Request::CompleteClaim(completion))
            .await;
    }

    /// Answers a request about claims by this host's replica.
    pub fn serve(&self, request: Request) -> Response {
        let now = self.clock.now();
        let mut replica = self.replica();
        match request {
            Request::Claim(req) => Response::Claim(replica.claim(req, now)),
            Request::ReleaseClaim(req) => {
                replica.release(req, now);
                Response::Ack
            }
            Request::CompleteClaim(completion) => {
                replica.complete(*completion, now);
                Response::Ack
            }
            Request::ListClaims(host) => {
                Response::Claims(replica.claims_of(&self.deployment, &host, now))
            }
            _ => Response::Unsupported,
        }
    }

    /// Recovers this host's replica: at once when no earlier process of this host was registered
    /// (`has_predecessor`), otherwise with the claims of all its peers.
    pub async fn recover(&self, has_predecessor: bool) {
        let mut lists = Vec::new();
        if has_predecessor {
            // Grants by the earlier process may still complete a claim during one round.
            tokio::time::sleep(2 * CLAIM_ROUND).await;
            loop {
                if self.is_recovered() {
                    return;
                }
                if let Some(all) = self.peers_claims().await {
                    lists = all;
                    break;
                }
                tokio::time::sleep(RECOVERY_RETRY_DELAY).await;
            }
        }
        let now = self.clock.now();
        self.replica().recover(lists, now);
    }

    async fn peers_claims(&self) -> Option<Vec<Vec<(ClaimId, ClaimRecord)>>> {
        let mut lists = Vec::new();
        for peer in &self.deployment.entry_hosts {
            if peer.name == self.host {
                continue;
            }
            let request = Request::ListClaims(self.host.clone());
            let answer = self
                .endpoint
                .call(&peer.name, request, CLAIM_ROUND)
                .await
                .ok()?;
            let Response::Claims(Some(list)) = answer else {
                return None;
            };
            lists.push(list);
        }
        Some(lists)
    }

    fn ask_replicas(&self, id: ClaimId, request: Request) -> ReplicaAnswers {
        let replicas = replicas_of(&self.deployment, id);
        let answers: ReplicaAnswers = FuturesUnordered::new();
        for host in replicas {
            let claims = self.clone();
            let request = request.clone();
            answers.push(Box::pin(
                async move { claims.ask_replica(host, request).await },
            ));
        }
        answers
    }

    async fn ask_replica(&self, host: String, request: Request) -> Option<Response> {
        if host == self.host {
            return Some(self.serve(request));
        }
        self.endpoint.call(&host, request, CLAIM_ROUND).await.ok()
    }

    async fn notify_replicas(&self, id: ClaimId, request: Request) {
        let mut answers = self.ask_replicas(id, request);
        let mut acknowledged = 0;
        while let Some(answer) = answers.next().await {
            acknowledged += usize::from(answer.is_some());
            if acknowledged >= CLAIM_QUORUM {
                break;
            }
        }
        self.finish_in_background(answers);
    }

    fn finish_in_background(&self, mut answers: ReplicaAnswers) {
        tokio::spawn(async move { while answers.next().await.is_some() {} });
    }

    fn replica(&self) -> MutexGuard<'_, ClaimReplica> {
        match self.replica.lock() {
            Ok(replica) => replica,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

type ReplicaAnswers = FuturesUnordered<Pin<Box<dyn Future<Output = Option<Response>> + Send>>>;
