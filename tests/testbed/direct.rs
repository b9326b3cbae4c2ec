//! Sends requests to one upstream, past the gateway's selection.

use std::sync::Arc;

use carobreel::body_memory::BodyMemory;
use carobreel::clock::Clock;
use carobreel::daemon::discard_logger;
use carobreel::directory::model::{self, Incarnation, Phase, RepeatPolicy};
use carobreel::directory::protocol::Update;
use carobreel::directory::state::Versions;
use carobreel::event::Recorder;
use carobreel::gateway::attempt::{AttemptOutcome, UpstreamRequest};
use carobreel::gateway::metrics::Metrics;
use carobreel::gateway::upstream_client::{UpstreamClient, UpstreamClients};
use carobreel::gateway::view::DirectoryView;
use carobreel::pace::LinkPacers;
use carobreel::platform::headers::PlatformHeaders;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

use super::upstream::FakeUpstream;

/// Memory for buffered responses, in bytes.
const RESPONSE_MEMORY_BYTES: usize = 16 << 20;
const REQUEST_ID: HeaderName = HeaderName::from_static("carobreel-request-id");

/// Returns an update of the directory with one upstream.
pub fn update(upstream: &model::Upstream, version: u64) -> Update {
    Update {
        versions: Versions {
            upstreams: version,
            ..Versions::default()
        },
        upstreams: vec![upstream.clone()],
        ..Update::default()
    }
}

/// Sends requests to one upstream, past the gateway's selection.
pub struct DirectSender {
    pub upstream: model::Upstream,
    pub view: DirectoryView,
    pub clients: UpstreamClients,
    client: Arc<UpstreamClient>,
    pub clock: Clock,
}

impl DirectSender {
    pub fn new(upstream: &FakeUpstream) -> DirectSender {
        let ready = model::Upstream {
            incarnation: Incarnation {
                id: upstream.id.clone(),
                born_ms: 1,
            },
            service: "files".to_string(),
            address: upstream.address,
            zone: "a".to_string(),
            version: "v1".to_string(),
            slots: 3,
            phase: Phase::Ready,
            is_cold: false,
            cold_sequence: None,
        };
        let recorder = Recorder::new("e1", discard_logger());
        let metrics = Arc::new(Metrics::new());
        let memory = BodyMemory::with_bytes(RESPONSE_MEMORY_BYTES);
        let clients = UpstreamClients::new(recorder, metrics, LinkPacers::default(), memory);
        let clock = Clock::start();
        let view = DirectoryView::default().updated(update(&ready, 1), clock.now());
        DirectSender {
            client: clients.get(&ready, &view),
            upstream: ready,
            view,
            clients,
            clock,
        }
    }

    pub async fn send(&self) -> AttemptOutcome {
        self.send_with_id(None, false).await
    }

    /// Sends a request with this id.
    pub async fn send_with_id(&self, id: Option<&str>, was_refused: bool) -> AttemptOutcome {
        self.send_within(id, was_refused, 1_000).await
    }

    /// Sends a request with this id and time until the deadline.
    pub async fn send_within(
        &self,
        id: Option<&str>,
        was_refused: bool,
        remaining_ms: u64,
    ) -> AttemptOutcome {
        let id = id.map(|id| HeaderValue::from_str(id).unwrap());
        let header = (REQUEST_ID, id.clone());
        let headers = match header {
            (name, Some(id)) => HeaderMap::from_iter([(name, id)]),
            _ => HeaderMap::new(),
        };
        let request = UpstreamRequest {
            method: hyper::Method::GET,
            uri: "/read/x".parse().unwrap(),
            headers,
            body: Default::default(),
            id,
            repeat: RepeatPolicy::Idempotent,
            was_refused,
            deadline: self.clock.now().plus(remaining_ms),
            round_trip_ms: 0,
            permit: None,
        };
        let protocol = PlatformHeaders;
        request
            .send(&self.client, &self.clients, &protocol, &self.clock, || true)
            .await
    }
}
