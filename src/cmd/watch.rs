//! Shows new events as they are recorded.

use std::ffi::OsString;
use std::time::Duration;

use carobreel::clock::HybridTime;
use carobreel::event::EventRecord;
use carobreel::http::HttpRequest;
use lexopt::ValueExt;

use super::timeline::print_event;
use crate::cli::{parse, Arg, CliResult};

const USAGE: &str = "\
Show new events as they are recorded, until interrupted.

Usage: carobreel watch --admin ADDRESS --keys FOLDER [--json] [--times N]

Options:
  --times N   Poll N times, once a second, then end

Examples:
  carobreel watch --admin 127.0.0.1:21060 --keys examples/arraial/run/keys
";

/// Interval between polls of the timeline.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut polls_max: Option<u64> = None;
    let common = parse(argv, USAGE, |arg, parser| {
        match arg {
            Arg::Option(name) if name == "times" => polls_max = Some(parser.value()?.parse()?),
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    let Some(common) = common else {
        return Ok(());
    };
    let mut last_shown = HybridTime::default();
    let mut polls = 0;
    while polls_max.is_none_or(|n| polls < n) {
        polls += 1;
        let events: Vec<EventRecord> =
            common.access.fetch_json(HttpRequest::get("/v1/timeline"))?;
        for record in events.iter().filter(|e| e.time > last_shown) {
            print_event(record, common.output)?;
        }
        if let Some(last) = events.last() {
            last_shown = last_shown.max(last.time);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
