//! Tells what a configuration document would change.

use std::ffi::OsString;
use std::path::Path;

use carobreel::entry::operate::{Planned, PlannedService};
use carobreel::http::HttpRequest;
use carobreel::settings::read_text;

use crate::cli::{parse_one, CliResult, Output};

const USAGE: &str = "\
Tell what a configuration document would change, without changing it.

Usage: carobreel plan --admin ADDRESS --keys FOLDER [--json] DOCUMENT

Examples:
  carobreel plan --admin 127.0.0.1:21060 --keys examples/arraial/run/keys \\
      examples/arraial/document-2.json
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let Some((common, file)) = parse_one(argv, USAGE, "DOCUMENT")? else {
        return Ok(());
    };
    let text = read_text(Path::new(&file))?;
    let planned: Planned = common.access.fetch(HttpRequest::post("/v1/plan", text))?;
    common.output.value(&planned)?;
    for (name, service) in &planned.services {
        print_service(name, service, common.output)?;
    }
    for cell in &planned.unreachable {
        common
            .output
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
