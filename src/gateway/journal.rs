//! Log lines about requests, bounded: the first ones of each second are written, the rest counted.

use std::sync::Mutex;

use crate::clock::Mono;
use crate::event::{Event, Recorder};
use crate::lock::lock;

/// Lines about requests that one gateway writes a second; failures come in bursts, and each line
/// costs processor time that requests need.
const LINES_PER_SECOND: u32 = 100;
const SECOND_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Window {
    began: Mono,
    lines: u32,
    left_out: u64,
}

/// Writes lines about requests.
#[derive(Debug)]
pub struct RequestJournal {
    recorder: Recorder,
    window: Mutex<Window>,
}

impl RequestJournal {
    /// Returns a journal that writes through `recorder`.
    pub fn new(recorder: Recorder) -> RequestJournal {
        RequestJournal {
            recorder,
            window: Mutex::default(),
        }
    }

    /// Writes an event, or counts it once the second's lines are used up.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::clock::Mono;
    /// use carobreel::daemon::silent;
    /// use carobreel::event::{Event, Recorder};
    /// use carobreel::gateway::journal::RequestJournal;
    ///
    /// let recorder = Recorder::new("e1", silent());
    /// let journal = RequestJournal::new(recorder.clone());
    /// for _ in 0..150 {
    ///     journal.record(Event::DirectoryLost { age_ms: 1 }, Mono(5));
    /// }
    /// journal.record(Event::DirectoryLost { age_ms: 1 }, Mono(2_000));
    /// let counted = Event::RequestsUnlogged { count: 50 };
    /// assert!(recorder.recent().iter().any(|e| e.event == counted));
    /// assert_eq!(recorder.recent().len(), 102);
    /// ```
    pub fn record(&self, event: Event, now: Mono) {
        let mut window = lock(&self.window);
        if now.since(window.began) >= SECOND_MS {
            let left_out = window.left_out;
            *window = Window {
                began: now,
                ..Window::default()
            };
            if left_out > 0 {
                let counted = Event::RequestsUnlogged { count: left_out };
                self.recorder.record(counted);
            }
        }
        if window.lines >= LINES_PER_SECOND {
            window.left_out += 1;
            return;
        }
        window.lines += 1;
        drop(window);
        self.recorder.record(event);
    }
}
