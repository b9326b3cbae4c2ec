//! Tells what a configuration document would change.

use std::ffi::OsString;
use std::path::PathBuf;

use carobreel::entry::operate::{Planned, PlannedService};
use carobreel::http::Call;
use carobreel::settings::read_text;
use lexopt::prelude::*;

use crate::cli::{need, set_once, Access, CliResult, Output};

const USAGE: &str = "\
Tell what a configuration document would change, without changing it.

Usage: carobreel plan --admin ADDRESS --keys FOLDER [--json] DOCUMENT

Examples:
  carobreel plan --admin 127.0.0.1:21060 --keys examples/arraial/run/keys \\
      examples/arraial/document-2.json
";

#[derive(Debug, Default)]
struct Args {
    output: Output,
    access: Access,
    document: Option<PathBuf>,
}

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut args = Args::default();
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => args.output.json = true,
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
            Value(file) => set_once(&mut args.document, file.into(), "DOCUMENT")?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    let text = read_text(&need(args.document, "DOCUMENT")?)?;
    let planned: Planned = args.access.fetch(Call::post("/v1/plan", text))?;
    args.output.value(&planned)?;
    for (name, service) in &planned.services {
        print_service(name, service, args.output)?;
    }
    for cell in &planned.unreachable {
        args.output
            .line(format!("cell {cell} can't be reached; its part is missing"))?;
    }
    Ok(())
}

fn print_service(name: &str, service: &PlannedService, output: Output) -> CliResult {
    output.line(format!("{name}: {} upstreams", service.selected.len()))?;
    for upstream in &service.added {
        output.line(format!("  + {upstream}"))?;
    }
    for upstream in &service.removed {
        output.line(format!("  - {upstream}"))?;
    }
    if service.slots > 0 {
        let share = service.moving as f64 * 100.0 / service.slots as f64;
        output.line(format!(
            "  {} of {} slots change owner ({share:.1}% of the keys)",
            service.moving, service.slots
        ))?;
    }
    Ok(())
}
