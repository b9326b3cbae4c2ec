//! Shows the events of all processes in causal order.

use std::ffi::OsString;

use carobreel::event::EventRecord;
use carobreel::http::HttpRequest;
use carobreel::logs::Logs;
use lexopt::ValueExt;

use crate::cli::{parse, Arg, CliResult, Output};

const USAGE: &str = "\
Show the events of all processes in causal order.

Usage: carobreel timeline --admin ADDRESS --keys FOLDER [--json] [FILTERS]
       carobreel timeline --logs FILE... [--json] [FILTERS]

Filters:
  --text TEXT      Only events that contain TEXT, such as a key's hash, an upstream, a service
  --host HOST      Only events of this host
  --since-ms MS    Only events at or after this Unix time in milliseconds
  --last N         Only the last N events

Examples:
  carobreel timeline --admin 127.0.0.1:21060 --keys examples/arraial/run/keys --last 20
  carobreel timeline --admin 127.0.0.1:21060 --keys examples/arraial/run/keys \\
      --text mapa-cortes-3
  carobreel timeline --text LeaderElected --logs c1.log c2.log c3.log
";

/// Selects the events to show.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    text: Option<String>,
    host: Option<String>,
    since_ms: u64,
    last: Option<usize>,
}

impl Filter {
    fn matches(&self, record: &EventRecord) -> bool {
        let text = serde_json::to_string(&record.event).unwrap_or_default();
        let text_matches = self.text.as_ref().is_none_or(|t| text.contains(t));
        let host_matches = self.host.as_ref().is_none_or(|h| *h == record.host);
        text_matches && host_matches && record.time.wall_ms >= self.since_ms
    }
}

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut filter = Filter::default();
    let mut files: Vec<OsString> = Vec::new();
    let common = parse(argv, USAGE, |arg, parser| {
        let name = match arg {
            Arg::Option(name) => name,
            // Further files after the first one of `--logs`.
            Arg::Positional(file) if !files.is_empty() => {
                files.push(file.clone());
                return Ok(true);
            }
            Arg::Positional(_) => return Ok(false),
        };
        match name.as_str() {
            "text" => filter.text = Some(parser.value()?.string()?),
            "host" => filter.host = Some(parser.value()?.string()?),
            "since-ms" => filter.since_ms = parser.value()?.parse()?,
            "logs" => files.push(parser.value()?),
            "last" => filter.last = Some(parser.value()?.parse()?),
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    let Some(common) = common else {
        return Ok(());
    };
    let mut events: Vec<EventRecord> = if files.is_empty() {
        common.access.fetch_json(HttpRequest::get("/v1/timeline"))?
    } else {
        Logs::read(&files)?.events
    };
    events.retain(|e| filter.matches(e));
    let skipped = filter.last.map_or(0, |n| events.len().saturating_sub(n));
    for record in events.iter().skip(skipped) {
        print_event(record, common.output)?;
    }
    Ok(())
}

/// Prints an event.
pub fn print_event(record: &EventRecord, output: Output) -> CliResult {
    output.print_json(record)?;
    let description = record.event.description();
    let fields = serde_json::to_string(&record.event).unwrap_or_default();
    output.print_line(format!(
        "{}.{:03} {:<14} {} {}",
        record.time.wall_ms, record.time.counter, record.host, description.number, fields
    ))
}
