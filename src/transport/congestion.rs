//! Congestion control that tolerates packet loss without queueing.

use std::any::Any;
use std::sync::Arc;
use std::time::{Duration, Instant};

use quinn::congestion::{Controller, ControllerFactory, Cubic, CubicConfig};
use quinn_proto::RttEstimator;

/// Minimum congestion window while no packets queue on the path, whatever the losses, in bytes. A
/// link between regions with a round trip of 60 ms then carries 2 MB/s.
const WINDOW_MIN_BYTES: u64 = 128 << 10;
/// Excess of the round-trip time over its minimum that indicates a queue on the path.
const QUEUEING_DELAY_MIN: Duration = Duration::from_millis(40);

/// Builds the congestion controllers of new connections.
#[derive(Clone, Debug, Default)]
pub(super) struct LossTolerantFactory;

impl ControllerFactory for LossTolerantFactory {
    fn build(self: Arc<Self>, now: Instant, mtu: u16) -> Box<dyn Controller> {
        Box::new(LossTolerantController {
            cubic: Cubic::new(Arc::new(CubicConfig::default()), now, mtu),
            is_queueing: true,
        })
    }
}

/// CUBIC that treats a loss as congestion only while packets queue on the path.
///
/// On links that lose a few percent of the packets without being full, plain CUBIC stays at a
/// window of a few packets. Source of the distinction: Fu and Liew, "TCP Veno", IEEE JSAC 2003.
#[derive(Clone, Debug)]
struct LossTolerantController {
    cubic: Cubic,
    /// Whether packets queue on the path; assumed until the first acknowledgement shows otherwise.
    is_queueing: bool,
}

impl Controller for LossTolerantController {
    fn on_sent(&mut self, now: Instant, bytes: u64, last_packet_number: u64) {
        self.cubic.on_sent(now, bytes, last_packet_number);
    }

    fn on_ack(
        &mut self,
        now: Instant,
        sent: Instant,
        bytes: u64,
        app_limited: bool,
        rtt: &RttEstimator,
    ) {
        self.is_queueing = rtt.get() > rtt.min() + QUEUEING_DELAY_MIN;
        self.cubic.on_ack(now, sent, bytes, app_limited, rtt);
    }

    fn on_end_acks(
        &mut self,
        now: Instant,
        in_flight: u64,
        app_limited: bool,
        largest_packet_num_acked: Option<u64>,
    ) {
        self.cubic
            .on_end_acks(now, in_flight, app_limited, largest_packet_num_acked);
    }

    fn on_congestion_event(
        &mut self,
        now: Instant,
        sent: Instant,
        is_persistent_congestion: bool,
        lost_bytes: u64,
    ) {
        // Persistent congestion means that no packet arrives; the next acknowledgement shows
        // whether it has ended.
        self.is_queueing |= is_persistent_congestion;
        self.cubic
            .on_congestion_event(now, sent, is_persistent_congestion, lost_bytes);
    }

    fn on_mtu_update(&mut self, new_mtu: u16) {
        self.cubic.on_mtu_update(new_mtu);
    }

    fn window(&self) -> u64 {
        match self.is_queueing {
            true => self.cubic.window(),
            false => self.cubic.window().max(WINDOW_MIN_BYTES),
        }
    }

    fn clone_box(&self) -> Box<dyn Controller> {
        Box::new(self.clone())
    }

    fn initial_window(&self) -> u64 {
        self.cubic.initial_window()
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
