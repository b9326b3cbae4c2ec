//! What a replica that doesn't lead tells the leader: that it is there, and of whom it heard.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use crate::wire::{Request, Response};

use super::ask::{Ask, Reply};
use super::daemon::{Host, KeyCalls, Member, FORWARD_TIMEOUT};
use super::handle::Origin;
use super::model::Upstream;

impl<C: KeyCalls> Host<C> {
    /// Asks the leader, or any process that may know it, to be taken into the log.
    pub(super) fn ask_to_join(&self, member: &Member) {
        let own = self.settings.address.to_string();
        let known = member.raft().membership().replicas();
        let mut hosts: Vec<String> = known.map(|(_, host)| host.clone()).collect();
        hosts.extend(self.seeds().iter().map(SocketAddr::to_string));
        hosts.retain(|host| *host != own);
        hosts.dedup();
        let ask = Ask::Join {
            host: own.clone(),
            replica: member.raft().id(),
        };
        let endpoint = self.endpoint.clone();
        tokio::spawn(async move {
            for host in hosts {
                let request = Request::Directory(ask.clone());
                let reply = endpoint.call(&host, request, FORWARD_TIMEOUT).await;
                let leader = match reply {
                    Ok(Response::Directory(Reply::Done)) => return,
                    Ok(Response::Directory(Reply::NotLeader(Some(leader)))) => leader,
                    _ => continue,
                };
                let request = Request::Directory(ask.clone());
                let reply = endpoint.call(&leader, request, FORWARD_TIMEOUT).await;
                if matches!(reply, Ok(Response::Directory(Reply::Done))) {
                    return;
                }
            }
        });
    }

    /// Passes announcements with news on to the leader and answers them with its answer.
    pub(super) fn tell_announced(&mut self, member: &Member) {
        let announced = std::mem::take(&mut self.announced);
        if announced.is_empty() {
            return;
        }
        let (list, waiting): (Vec<Upstream>, Vec<oneshot::Sender<Reply>>) =
            announced.into_iter().unzip();
        let (tx, rx) = oneshot::channel();
        self.forward(member, Ask::AnnounceAll(list), Origin::Here, tx);
        tokio::spawn(async move {
            let reply = rx.await.unwrap_or(Reply::NotLeader(None));
            for tx in waiting {
                let _ = tx.send(reply.clone());
            }
        });
    }

    /// Tells the leader which upstreams announced themselves here.
    pub(super) fn tell_heard(&mut self, member: &Member) {
        let heard = std::mem::take(&mut self.heard);
        let leader = member.leader_host();
        let Some(leader) = leader.filter(|_| !heard.is_empty() && !member.leads()) else {
            return;
        };
        let endpoint = self.endpoint.clone();
        tokio::spawn(async move {
            let ask = Ask::Heard(heard.into_iter().collect());
            // Upstreams announce themselves again; a lost word of one changes nothing.
            let _ = endpoint
                .call(&leader, Request::Directory(ask), FORWARD_TIMEOUT)
                .await;
        });
    }
}
