//! What a test looks up in the simulation.

use super::Simulation;

impl Simulation {
    /// Returns the addresses of the voters as known to the leader.
    pub fn voter_addresses(&self) -> Vec<String> {
        let leader = self.leader().and_then(|n| self.nodes[n].replica.as_ref());
        let voters = leader.map(|r| r.raft().membership().voters.values().cloned());
        voters.map_or(Vec::new(), Iterator::collect)
    }

    /// Returns the first replica that is sure of its leadership.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.nodes[*n].replica.as_ref().is_some_and(|r| r.leads());
        (0..self.nodes.len()).find(leads)
    }

    /// Returns the number of voters as known to the leader.
    pub fn voters(&self) -> usize {
        let leader = self.leader().and_then(|n| self.nodes[n].replica.as_ref());
        leader.map_or(0, |r| r.raft().membership().voters.len())
    }

    /// Returns the leader's state.
    pub fn leader_state(&self) -> Option<&carobreel::directory::state::State> {
        let n = self.leader()?;
        Some(self.nodes[n].replica.as_ref()?.state())
    }
}
