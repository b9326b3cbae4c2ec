//! Log lines about requests, bounded: unusual ones up to a budget, a sample of the ordinary ones, and
//! the rest counted.

use std::sync::{Arc, Mutex};

use crate::clock::Mono;
use crate::event::{Event, Recorder};
use crate::lock::lock;

use super::metrics::Metrics;

/// Lines about unusual requests that one gateway writes a second; failures come in bursts, and each
/// line costs processor time that requests need.
const UNUSUAL_PER_SECOND: u32 = 100;
/// Lines about ordinary requests that one gateway writes a second.
const ORDINARY_PER_SECOND: u32 = 2;
const SECOND_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Window {
    began: Mono,
    unusual: u32,
    ordinary: u32,
    left_out: u64,
}

/// Writes lines about requests.
#[derive(Debug)]
pub struct RequestJournal {
    recorder: Recorder,
    metrics: Arc<Metrics>,
    window: Mutex<Window>,
}

impl RequestJournal {
    /// Returns a journal that writes through `recorder`.
    pub fn new(recorder: Recorder, metrics: Arc<Metrics>) -> RequestJournal {
        RequestJournal {
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
    /// use carobreel::gateway::journal::RequestJournal;
    /// use carobreel::gateway::metrics::Metrics;
    ///
    /// let recorder = Recorder::new("e1", discard_logger());
    /// let journal = RequestJournal::new(recorder.clone(), Arc::new(Metrics::new()));
    /// for _ in 0..150 {
    ///     journal.note(Mono(5), || Event::DirectoryLost { age_ms: 1 });
    /// }
    /// journal.note(Mono(2_000), || Event::DirectoryLost { age_ms: 1 });
    /// let counted = Event::RequestsUnlogged { count: 50 };
    /// assert!(recorder.recent().iter().any(|e| e.event == counted));
    /// assert_eq!(recorder.recent().len(), 102);
    /// ```
    pub fn note(&self, now: Mono, event: impl FnOnce() -> Event) {
        let is_admitted = {
            let mut window = self.window(now);
            window.unusual += 1;
            let is_admitted = window.unusual <= UNUSUAL_PER_SECOND;
            window.left_out += u64::from(!is_admitted);
            is_admitted
        };
        if is_admitted {
            self.recorder.record(event());
        } else {
            self.metrics.lines_left_out.inc();
        }
    }

    /// Writes an ordinary event when the second's sample isn't complete.
    pub fn sample(&self, now: Mono, event: impl FnOnce() -> Event) {
        let is_admitted = {
            let mut window = self.window(now);
            window.ordinary += 1;
            window.ordinary <= ORDINARY_PER_SECOND
        };
        if is_admitted {
            self.recorder.record(event());
        }
    }

    /// Returns the present second's window; what the last one left out is written first.
    fn window(&self, now: Mono) -> std::sync::MutexGuard<'_, Window> {
        let mut window = lock(&self.window);
        if now.since(window.began) >= SECOND_MS {
            let count = window.left_out;
            *window = Window {
                began: now,
                ..Window::default()
            };
            if count > 0 {
                self.recorder.record(Event::RequestsUnlogged { count });
            }
        }
        window
    }
}
