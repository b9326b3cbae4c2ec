//! Claims of request ids, as asked for and as kept by this host.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::claim::{
    keepers_of, ClaimAnswer, ClaimId, ClaimRecord, ClaimRequest, Completion, Keeper, KeptAnswer,
    CLAIM_ROUND_MS, KEEPERS_MAJORITY,
};
use crate::clock::Clock;
use crate::settings::Deployment;
use crate::transport::Endpoint;
use crate::wire::{Request, Response};

/// Between two tries to copy the peers' claims.
const RECOVER_EVERY: Duration = Duration::from_millis(1_000);
const ROUND: Duration = Duration::from_millis(CLAIM_ROUND_MS);

/// What the keepers said to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent, once.
    Granted,
    /// It ran before; this is the answer.
    Done(KeptAnswer),
    /// Another try holds the claim.
    Held,
    /// The id was used for another request.
    Mismatch,
    /// Too few keepers answered.
    Unavailable,
}

/// Asks keepers for claims and keeps this host's share; clones share it.
#[derive(Clone, Debug)]
pub struct Claims {
    host: String,
    deployment: Arc<Deployment>,
    endpoint: Endpoint,
    clock: Clock,
    keeper: Arc<Mutex<Keeper>>,
}

impl Claims {
    /// Returns claims for a host; its keeper abstains until [`Claims::recover`] is done.
    pub fn new(
        host: &str,
        deployment: Arc<Deployment>,
        endpoint: Endpoint,
        clock: Clock,
    ) -> Claims {
        let lifetime_ms = deployment.limits.claim_lifetime_ms;
        let keeper = Keeper::new(lifetime_ms, clock.now(), false);
        Claims {
            host: host.to_string(),
            deployment,
            endpoint,
            clock,
            keeper: Arc::new(Mutex::new(keeper)),
        }
    }

    /// Returns the number of claims kept here.
    pub fn len(&self) -> usize {
        self.keeper().len()
    }

    /// Tells whether no claim is kept here.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Tells whether this host grants claims.
    pub fn is_whole(&self) -> bool {
        let now = self.clock.now();
        self.keeper().is_whole(now)
    }

    /// Asks the keepers of an id; two grants within one round make a claim.
    pub async fn claim(&self, req: ClaimRequest) -> Verdict {
        let mut answers = self.ask_keepers(req.id, Request::Claim(req));
        let round = tokio::time::sleep(ROUND);
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
                Some(Some(Response::Claim(ClaimAnswer::Done(kept)))) => return Verdict::Done(kept),
                Some(Some(Response::Claim(ClaimAnswer::Mismatch))) => return Verdict::Mismatch,
                Some(Some(Response::Claim(ClaimAnswer::Held))) => held = true,
                Some(_) => {}
                None if held => return Verdict::Held,
                None => return Verdict::Unavailable,
            }
            if granted >= KEEPERS_MAJORITY {
                self.finish_in_background(answers);
                return Verdict::Granted;
            }
        }
    }

    /// Gives a claim back whose request was not sent, and waits until a majority noted it.
    pub async fn release(&self, req: ClaimRequest) {
        self.tell_keepers(req.id, Request::ReleaseClaim(req)).await;
    }

    /// Stores a claimed request's answer with its keepers, and waits until a majority has it.
    pub async fn complete(&self, claim: ClaimRequest, answer: KeptAnswer) {
        let completion = Box::new(Completion { claim, answer });
        self.tell_keepers(claim.id, Request::CompleteClaim(completion))
            .await;
    }

    /// Serves another host's request about claims.
    pub fn serve(&self, request: Request) -> Response {
        let now = self.clock.now();
        let mut keeper = self.keeper();
        match request {
            Request::Claim(req) => Response::Claim(keeper.claim(req, now)),
            Request::ReleaseClaim(req) => {
                keeper.release(req, now);
                Response::Ack
            }
            Request::CompleteClaim(completion) => {
                keeper.complete(*completion, now);
                Response::Ack
            }
            Request::ListClaims(host) => {
                Response::Claims(keeper.claims_of(&self.deployment, &host, now))
            }
            _ => Response::Unsupported,
        }
    }

    /// Makes this host's keeper whole: at once without a predecessor, else from all its peers.
    pub async fn recover(&self, has_predecessor: bool) {
        let mut lists = Vec::new();
        if has_predecessor {
            // Grants of the predecessor may still become claims during one round.
            tokio::time::sleep(2 * ROUND).await;
            loop {
                if self.is_whole() {
                    return;
                }
                if let Some(all) = self.peers_claims().await {
                    lists = all;
                    break;
                }
                tokio::time::sleep(RECOVER_EVERY).await;
            }
        }
        let now = self.clock.now();
        self.keeper().recover(lists, now);
    }

    async fn peers_claims(&self) -> Option<Vec<Vec<(ClaimId, ClaimRecord)>>> {
        let mut lists = Vec::new();
        for peer in &self.deployment.entry_hosts {
            if peer.name == self.host {
                continue;
            }
            let request = Request::ListClaims(self.host.clone());
            let answer = self.endpoint.call(&peer.name, request, ROUND).await.ok()?;
            let Response::Claims(Some(list)) = answer else {
                return None;
            };
            lists.push(list);
        }
        Some(lists)
    }

    fn ask_keepers(&self, id: ClaimId, request: Request) -> Answers {
        let keepers = keepers_of(&self.deployment, id);
        let answers: Answers = FuturesUnordered::new();
        for host in keepers {
            let claims = self.clone();
            let request = request.clone();
            answers.push(Box::pin(
                async move { claims.ask_keeper(host, request).await },
            ));
        }
        answers
    }

    async fn ask_keeper(&self, host: String, request: Request) -> Option<Response> {
        if host == self.host {
            return Some(self.serve(request));
        }
        self.endpoint.call(&host, request, ROUND).await.ok()
    }

    async fn tell_keepers(&self, id: ClaimId, request: Request) {
        let mut answers = self.ask_keepers(id, request);
        let mut noted = 0;
        while let Some(answer) = answers.next().await {
            noted += usize::from(answer.is_some());
            if noted >= KEEPERS_MAJORITY {
                break;
            }
        }
        self.finish_in_background(answers);
    }

    fn finish_in_background(&self, mut answers: Answers) {
        tokio::spawn(async move { while answers.next().await.is_some() {} });
    }

    fn keeper(&self) -> MutexGuard<'_, Keeper> {
        match self.keeper.lock() {
            Ok(keeper) => keeper,
            Err(poisoned) => poisoned.into_inner(),
        }
    }
}

type Answers = FuturesUnordered<Pin<Box<dyn Future<Output = Option<Response>> + Send>>>;
