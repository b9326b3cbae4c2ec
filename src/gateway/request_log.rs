//! Log lines about requests, bounded: unusual ones up to a budget, a sample of the ordinary ones, and
//! the rest counted.

use std::sync::{Arc, Mutex};

use crate::clock::Mono;
use crate::event::{Event, Recorder};
use crate::lock::lock;

use super::metrics::Metrics;

/// Lines about unusual requests that one gateway writes a second; failures come in bursts, and each
/// line costs processor time that requests need.
const UNUSUAL_LINES_PER_SECOND: u32 = 100;
/// Lines about ordinary requests that one gateway writes a second.
const SAMPLED_LINES_PER_SECOND: u32 = 2;
const WINDOW_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct WindowCounts {
    started_at: Mono,
    unusual: u32,
    sampled: u32,
    suppressed: u64,
}

/// Writes lines about requests.
#[derive(Debug)]
pub struct RequestLog {
    recorder: Recorder,
    metrics: Arc<Metrics>,
    window: Mutex<WindowCounts>,
}

impl RequestLog {
    /// Returns a journal that writes through `recorder`.
    pub fn new(recorder: Recorder, metrics: Arc<Metrics>) -> RequestLog {
        RequestLog {
            recorder,
            metrics,
            window: Mutex::default(),
        }
    }

    /// Writes an unusual event, or counts it once the second's lines are used up.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use carobreel::clock::Mono;
    /// use carobreel::daemon::discard_logger;
    /// use carobreel::event::{Event, Recorder};
    /// use carobreel::gateway::request_log::RequestLog;
    /// use carobreel::gateway::metrics::Metrics;
    ///
    /// let recorder = Recorder::new("e1", discard_logger());
    /// let log = RequestLog::new(recorder.clone(), Arc::new(Metrics::new()));
    /// for _ in 0..150 {
    ///     log.record_unusual(Mono(5), || Event::DirectoryLost { age_ms: 1 });
    /// }
    /// log.record_unusual(Mono(2_000), || Event::DirectoryLost { age_ms: 1 });
    /// let counted = Event::RequestsUnlogged { count: 50 };
    /// assert!(recorder.recent().iter().any(|e| e.event == counted));
    /// assert_eq!(recorder.recent().len(), 102);
    /// ```
    pub fn record_unusual(&self, now: Mono, event: impl FnOnce() -> Event) {
        let is_within_limit = {
            let mut window = self.window(now);
            window.unusual += 1;
            let is_within_limit = window.unusual <= UNUSUAL_LINES_PER_SECOND;
            window.suppressed += u64::from(!is_within_limit);
            is_within_limit
        };
        if is_within_limit {
            self.recorder.record(event());
        } else {
            self.metrics.lines_suppressed.inc();
        }
    }

    /// Writes an ordinary event when the second's sample isn't complete.
    pub fn record_sampled(&self, now: Mono, event: impl FnOnce() -> Event) {
        let is_within_limit = {
            let mut window = self.window(now);
            window.sampled += 1;
            window.sampled <= SAMPLED_LINES_PER_SECOND
        };
        if is_within_limit {
            self.recorder.record(event());
        }
    }

    /// Returns the present second's window; what the last one left out is written first.
    fn window(&self, now: Mono) -> std::sync::MutexGuard<'_, WindowCounts> {
        let mut window = lock(&self.window);
        if now.since(window.started_at) >= WINDOW_MS {
            let count = window.suppressed;
            *window = WindowCounts {
                started_at: now,
                ..WindowCounts::default()
            };
            if count > 0 {
                self.recorder.record(Event::RequestsUnlogged { count });
            }
        }
        window
    }
}
