//! Requests that a follower sends to the leader: to join the log, and to pass on upstreams' announcements.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use crate::clock::Mono;
use crate::wire::{Request, Response};

use super::daemon::{DiskReplica, GrantTransport, ReplicaRunner, FORWARD_TIMEOUT};
use super::handle::Origin;
use super::model::Upstream;
use super::protocol::{DirectoryRequest, Reply};
use super::steering::HeartbeatHosts;

impl<C: GrantTransport> ReplicaRunner<C> {
    /// Opens connections to the other replicas, so that the first votes don't wait for handshakes.
    pub(super) fn connect_to_peers(&self, replica: &DiskReplica) {
        let own_id = replica.raft().id();
        let replicas = replica.raft().membership().replicas();
        for (_, host) in replicas.filter(|(id, _)| *id != own_id) {
            self.endpoint.connect_to_starting_host(host);
        }
    }

    /// Asks the leader to add this replica to the membership, by way of any process that may know the leader.
    pub(super) fn request_join(&self, replica: &DiskReplica) {
        let own_address = self.settings.address.to_string();
        let known = replica.raft().membership().replicas();
        let mut hosts: Vec<String> = known.map(|(_, host)| host.clone()).collect();
        hosts.extend(self.seeds().iter().map(SocketAddr::to_string));
        hosts.retain(|host| *host != own_address);
        hosts.dedup();
        let join = DirectoryRequest::Join {
            host: own_address.clone(),
            replica: replica.raft().id(),
        };
        let endpoint = self.endpoint.clone();
        tokio::spawn(async move {
            for host in hosts {
                let request = Request::Directory(join.clone());
                let reply = endpoint.call(&host, request, FORWARD_TIMEOUT).await;
                let leader = match reply {
                    Ok(Response::Directory(Reply::Done)) => return,
                    Ok(Response::Directory(Reply::NotLeader(Some(leader)))) => leader,
                    _ => continue,
                };
                let request = Request::Directory(join.clone());
                let reply = endpoint.call(&leader, request, FORWARD_TIMEOUT).await;
                if matches!(reply, Ok(Response::Directory(Reply::Done))) {
                    return;
                }
            }
        });
    }

    /// Forwards a request of this process to the leader; tells other processes the leader's address.
    pub(super) fn forward(
        &self,
        replica: &DiskReplica,
        request: DirectoryRequest,
        origin: Origin,
        tx: oneshot::Sender<Reply>,
    ) {
        let own_address = self.settings.address.to_string();
        let leader = replica.leader_address().filter(|host| *host != own_address);
        let Some(leader) = leader else {
            let _ = tx.send(Reply::NotLeader(None));
            return;
        };
        if origin == Origin::Remote {
            let _ = tx.send(Reply::NotLeader(Some(leader)));
            return;
        }
        let endpoint = self.endpoint.clone();
        tokio::spawn(async move {
            let request = Request::Directory(request);
            let reply = match endpoint.call(&leader, request, FORWARD_TIMEOUT).await {
                Ok(Response::Directory(reply)) => reply,
                // The sender retries, here or elsewhere; every request may be repeated.
                Ok(_) | Err(_) => Reply::NotLeader(None),
            };
            let _ = tx.send(reply);
        });
    }

    /// Forwards announcements that can't be confirmed here to the leader in one batch, and answers all of
    /// them with its reply.
    pub(super) fn forward_announcements(&mut self, replica: &DiskReplica) {
        let announcements = std::mem::take(&mut self.announcements);
        if announcements.is_empty() {
            return;
        }
        let (list, waiting): (Vec<Upstream>, Vec<oneshot::Sender<Reply>>) =
            announcements.into_iter().unzip();
        let (tx, rx) = oneshot::channel();
        self.forward(
            replica,
            DirectoryRequest::AnnounceAll(list),
            Origin::Local,
            tx,
        );
        tokio::spawn(async move {
            let reply = rx.await.unwrap_or(Reply::NotLeader(None));
            for tx in waiting {
                let _ = tx.send(reply.clone());
            }
        });
    }

    /// Publishes the leader's address while another host leads, and the hosts that may receive heartbeats.
    pub(super) fn publish_hosts(&self, replica: &DiskReplica, now: Mono) {
        let hosts = HeartbeatHosts::of(replica, self.settings.address, now);
        self.heartbeat_hosts.send_replace(hosts);
        let leader = replica.leader_address().filter(|_| !replica.leads());
        let leader = leader.filter(|host| *host != self.settings.address.to_string());
        self.other_leader.send_if_modified(|known| {
            let is_new = *known != leader;
            *known = leader;
            is_new
        });
    }

    /// Reports to the leader the upstreams whose announcements were confirmed here.
    pub(super) fn report_confirmed(&mut self, replica: &DiskReplica) {
        let confirmed = std::mem::take(&mut self.confirmed);
        let leader = replica.leader_address();
        let Some(leader) = leader.filter(|_| !confirmed.is_empty() && !replica.leads()) else {
            return;
        };
        let endpoint = self.endpoint.clone();
        tokio::spawn(async move {
            let request = DirectoryRequest::ReportAlive(confirmed.into_iter().collect());
            // A lost report does no harm, since upstreams announce themselves periodically.
            let _ = endpoint
                .call(&leader, Request::Directory(request), FORWARD_TIMEOUT)
                .await;
        });
    }
}
