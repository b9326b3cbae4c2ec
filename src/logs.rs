//! Parses the log lines that processes wrote to standard output.

use std::io::{self, BufRead};
use std::path::Path;

use serde::Deserialize;

use crate::clock::HybridTime;
use crate::event::{merge_timelines, Event, EventRecord};

/// The events read from log files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Logs {
    /// All events in causal order.
    pub events: Vec<EventRecord>,
    /// Number of lines that look like events but can't be parsed.
    pub unreadable: u64,
}

#[derive(Deserialize)]
struct LogLine {
    host: String,
    wall_ms: u64,
    counter: u32,
    fields: String,
}

impl Logs {
    /// Reads log files; lines without an event are skipped.
    ///
    /// # Errors
    ///
    /// The error of the first file that can't be read.
    pub fn read<P: AsRef<Path>>(paths: &[P]) -> io::Result<Logs> {
        let mut logs = Logs::default();
        let mut timelines = Vec::new();
        for path in paths {
            let file = std::fs::File::open(path)?;
            let mut events = Vec::new();
            for line in io::BufReader::new(file).split(b'\n') {
                let line = line?;
                match parse_line(&String::from_utf8_lossy(&line)) {
                    ParsedLine::Event(record) => events.push(*record),
                    ParsedLine::Unreadable => logs.unreadable += 1,
                    ParsedLine::Other => {}
                }
            }
            timelines.push(events);
        }
        logs.events = merge_timelines(timelines);
        Ok(logs)
    }
}

/// The result of parsing a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedLine {
    /// An event.
    Event(Box<EventRecord>),
    /// A line that looks like an event but is damaged or comes from another version.
    Unreadable,
    /// A line without an event.
    Other,
}

/// Parses one line. A prefix before the JSON object, such as a time and host added by a log
/// collector, is ignored.
///
/// # Examples
///
/// ```
/// use carobreel::logs::{parse_line, ParsedLine};
///
/// let line = r#"0.5 e1 {"msg":"DirectoryLost","fields":"{\"DirectoryLost\":{\"age_ms\":7}}",
///     "counter":0,"wall_ms":5,"host":"e1","number":208}"#;
/// assert!(matches!(parse_line(line), ParsedLine::Event(record) if record.host == "e1"));
/// assert_eq!(parse_line("not a line of ours"), ParsedLine::Other);
/// ```
pub fn parse_line(line: &str) -> ParsedLine {
    let Some(start) = line.find('{') else {
        return ParsedLine::Other;
    };
    let text = &line[start..];
    if !text.contains("\"fields\"") {
        return ParsedLine::Other;
    }
    let Ok(line) = serde_json::from_str::<LogLine>(text) else {
        return ParsedLine::Unreadable;
    };
    let Ok(event) = serde_json::from_str::<Event>(&line.fields) else {
        return ParsedLine::Unreadable;
    };
    ParsedLine::Event(Box::new(EventRecord {
        time: HybridTime {
            wall_ms: line.wall_ms,
            counter: line.counter,
        },
        host: line.host,
        event,
    }))
}
