//! Requests to the leader whose replies aren't looked at.

use carobreel::directory::model::Key;
use carobreel::directory::protocol::{DirectoryRequest, KeyCounts, UpstreamSpeed};

use super::event::Purpose;
use super::{Simulation, SERVICE};

impl Simulation {
    /// Reports requests by key to the leader, as an entry host does.
    pub fn report(&mut self, counts: Vec<(Key, u32)>) {
        self.report_with_speeds(counts, Vec::new());
    }

    /// Reports the same and the speeds of upstreams, each as id, milliseconds of work and number of answers.
    pub fn report_with_speeds(&mut self, counts: Vec<(Key, u32)>, speeds: Vec<(String, u32, u32)>) {
        let request = DirectoryRequest::Watch {
            host: "e1".to_string(),
            known_versions: Default::default(),
            counts: vec![KeyCounts {
                service: SERVICE.to_string(),
                counts,
            }],
            speeds: speeds
                .into_iter()
                .map(|(upstream, total_ms, answers)| UpstreamSpeed {
                    upstream,
                    total_ms,
                    answers,
                })
                .collect(),
            known_limits: 0,
            known_suspects: 0,
        };
        self.ask_leader(request);
    }

    /// Sends a request to the leader, whose reply isn't looked at.
    pub fn ask_leader(&mut self, request: DirectoryRequest) {
        if let Some(n) = self.leader() {
            self.send_request(n, request, Purpose::Other);
        }
    }
}
