//! Reads the lines that processes wrote to standard output.

use std::io::{self, BufRead};
use std::path::Path;

use serde::Deserialize;

use crate::clock::HybridTime;
use crate::event::{merge, Event, Stamped};

/// What files of log lines hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Logs {
    /// All events in causal order.
    pub events: Vec<Stamped>,
    /// Lines that look like events and can't be read.
    pub unreadable: u64,
}

#[derive(Deserialize)]
struct Line {
    host: String,
    wall_ms: u64,
    counter: u32,
    fields: String,
}

impl Logs {
    /// Reads files; what isn't a line of ours is passed over.
    ///
    /// # Errors
    ///
    /// The first file that can't be read.
    pub fn read<P: AsRef<Path>>(paths: &[P]) -> io::Result<Logs> {
        let mut logs = Logs::default();
        let mut lists = Vec::new();
        for path in paths {
            let file = std::fs::File::open(path)?;
            let mut events = Vec::new();
            for line in io::BufReader::new(file).split(b'\n') {
                let line = line?;
                match parse(&String::from_utf8_lossy(&line)) {
                    Parsed::Event(stamped) => events.push(*stamped),
                    Parsed::Unreadable => logs.unreadable += 1,
                    Parsed::Other => {}
                }
            }
            lists.push(events);
        }
        logs.events = merge(lists);
        Ok(logs)
    }
}

/// What a line is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parsed {
    /// An event.
    Event(Box<Stamped>),
    /// A line with the mark of an event, damaged or of another version.
    Unreadable,
    /// Something else.
    Other,
}

/// Reads one line. Collectors put times and hosts in front of lines; that is passed over.
///
/// # Examples
///
/// ```
/// use carobreel::logs::{parse, Parsed};
///
/// let line = r#"0.5 e1 {"msg":"DirectoryLost","fields":"{\"DirectoryLost\":{\"age_ms\":7}}",
///     "counter":0,"wall_ms":5,"host":"e1","number":208}"#;
/// assert!(matches!(parse(line), Parsed::Event(stamped) if stamped.host == "e1"));
/// assert_eq!(parse("not a line of ours"), Parsed::Other);
/// ```
pub fn parse(line: &str) -> Parsed {
    let Some(start) = line.find('{') else {
        return Parsed::Other;
    };
    let text = &line[start..];
    if !text.contains("\"fields\"") {
        return Parsed::Other;
    }
    let Ok(line) = serde_json::from_str::<Line>(text) else {
        return Parsed::Unreadable;
    };
    let Ok(event) = serde_json::from_str::<Event>(&line.fields) else {
        return Parsed::Unreadable;
    };
    Parsed::Event(Box::new(Stamped {
        time: HybridTime {
            wall_ms: line.wall_ms,
            counter: line.counter,
        },
        host: line.host,
        event,
    }))
}
