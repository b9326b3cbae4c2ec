//! Shows what a configuration document would change.

use std::ffi::OsString;
use std::path::Path;

use carobreel::entry::operator::{PlanResult, ServicePlan};
use carobreel::http::HttpRequest;
use carobreel::settings::read_text;

use crate::cli::{parse_single_value, CliResult, Output};

const USAGE: &str = "\
Show what a configuration document would change, without applying it.

Usage: carobreel plan --admin ADDRESS --keys FOLDER [--json] DOCUMENT

Examples:
  carobreel plan --admin 127.0.0.1:21060 --keys examples/arraial/run/keys \\
      examples/arraial/document-2.json
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let Some((common, file)) = parse_single_value(argv, USAGE, "DOCUMENT")? else {
        return Ok(());
    };
    let text = read_text(Path::new(&file))?;
    let plan: PlanResult = common
        .access
        .fetch_json(HttpRequest::post("/v1/plan", text))?;
    common.output.print_json(&plan)?;
    for (name, service) in &plan.services {
        print_service(name, service, common.output)?;
    }
    for cell in &plan.unreachable {
        common.output.print_line(format!(
            "cell {cell} can't be reached; its part of the plan is missing"
        ))?;
    }
    Ok(())
}

fn print_service(name: &str, service: &ServicePlan, output: Output) -> CliResult {
    output.print_line(format!("{name}: {} upstreams", service.selected.len()))?;
    for upstream in &service.added {
        output.print_line(format!("  + {upstream}"))?;
    }
    for upstream in &service.removed {
        output.print_line(format!("  - {upstream}"))?;
    }
    if service.slots > 0 {
        let share = service.moving as f64 * 100.0 / service.slots as f64;
        output.print_line(format!(
            "  {} of {} slots change owner ({share:.1}% of the keys)",
            service.moving, service.slots
        ))?;
    }
    Ok(())
}
