//! Shows cells, leases and services.

use std::collections::BTreeMap;
use std::ffi::OsString;

use carobreel::cell::ask::Inspection;
use carobreel::cell::state::Phase;
use carobreel::http::HttpRequest;

use crate::cli::{mark, parse, CliResult, Output};

const USAGE: &str = "\
Show cells, leases and services.

Usage: carobreel status --admin ADDRESS --keys FOLDER [--json]

Examples:
  carobreel status --admin 127.0.0.1:21060 --keys examples/arraial/run/keys
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let Some(common) = parse(argv, USAGE, |_, _| Ok(false))? else {
        return Ok(());
    };
    let cells: BTreeMap<String, Option<Inspection>> =
        common.access.fetch(HttpRequest::get("/v1/status"))?;
    common.output.value(&cells)?;
    for (cell, inspection) in &cells {
        match inspection {
            Some(inspection) => print_cell(inspection, common.output)?,
            None => {
                let text = format!("cell {cell} can't be reached");
                common.output.line(mark(&text, false))?;
            }
        }
    }
    Ok(())
}

fn print_cell(i: &Inspection, output: Output) -> CliResult {
    output.line(format!(
        "cell {}: leader {} (term {}), document {}, version {}, {} entries",
        i.cell, i.leader, i.term, i.state.document.number, i.state.version, i.committed
    ))?;
    let voters: Vec<String> = i
        .voters
        .iter()
        .map(|(host, lag)| format!("{host} (lacks {lag})"))
        .collect();
    output.line(format!("  voters: {}", voters.join(", ")))?;
    let routers: Vec<String> = i
        .routers
        .iter()
        .map(|(host, version)| format!("{host} (version {version})"))
        .collect();
    output.line(format!("  routing leases: {}", routers.join(", ")))?;
    for name in i.state.document.services.keys() {
        print_service(i, name, output)?;
    }
    Ok(())
}

fn print_service(i: &Inspection, name: &str, output: Output) -> CliResult {
    let eligible = i.state.eligible(name);
    let Some(division) = i.state.divisions.get(name) else {
        return output.line(format!("  {name}: {} upstreams", eligible.len()));
    };
    let mut held = 0;
    let mut frozen = 0;
    for slot in &division.slots {
        held += u64::from(slot.phase == Phase::Held);
        frozen += u64::from(slot.phase == Phase::Frozen);
    }
    let pins = division.pins.len();
    let count = eligible.len();
    output.line(format!(
        "  {name}: {count} upstreams, {held} slots held, {frozen} changing owner, {pins} pinned keys"
    ))
}
