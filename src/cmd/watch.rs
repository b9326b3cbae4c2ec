//! Shows changes as they happen.

use std::ffi::OsString;
use std::time::Duration;

use carobreel::clock::HybridTime;
use carobreel::event::Stamped;
use carobreel::http::Call;
use lexopt::prelude::*;

use super::timeline::print_event;
use crate::cli::{Access, CliResult, Output};

const USAGE: &str = "\
Show changes as they happen, until interrupted.

Usage: carobreel watch --admin ADDRESS --keys FOLDER [--json] [--times N]

Options:
  --times N   Look N times, once a second, then end

Examples:
  carobreel watch --admin 127.0.0.1:21060 --keys examples/arraial/run/keys
";

/// Between two looks.
const LOOK_EVERY: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Args {
    output: Output,
    access: Access,
    times: Option<u64>,
}

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut args = Args::default();
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => args.output.json = true,
            Long("times") => args.times = Some(parser.value()?.parse()?),
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(());
            }
            Long(name) => {
                let name = name.to_string();
                if !args.access.take(&name, &mut parser)? {
                    return Err(lexopt::Error::UnexpectedOption(format!("--{name}")).into());
                }
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let mut shown = HybridTime::default();
    let mut looks = 0;
    while args.times.is_none_or(|n| looks < n) {
        looks += 1;
        let events: Vec<Stamped> = args.access.fetch(Call::get("/v1/timeline"))?;
        for stamped in events.iter().filter(|e| e.time > shown) {
            print_event(stamped, args.output)?;
        }
        if let Some(last) = events.last() {
            shown = shown.max(last.time);
        }
        std::thread::sleep(LOOK_EVERY);
    }
    Ok(())
}
