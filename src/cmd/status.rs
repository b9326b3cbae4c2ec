//! Shows cells, leases and services.

use std::collections::BTreeMap;
use std::ffi::OsString;

use carobreel::cell::request::Inspection;
use carobreel::cell::state::SlotPhase;
use carobreel::http::HttpRequest;

use crate::cli::{colorize, parse, CliResult, Output};

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
        common.access.fetch_json(HttpRequest::get("/v1/status"))?;
    common.output.print_json(&cells)?;
    for (cell, inspection) in &cells {
        match inspection {
            Some(inspection) => print_cell(inspection, common.output)?,
            None => {
                let text = format!("cell {cell} can't be reached");
                common.output.print_line(colorize(&text, false))?;
            }
        }
    }
    Ok(())
}

fn print_cell(inspection: &Inspection, output: Output) -> CliResult {
    output.print_line(format!(
        "cell {}: leader {} (term {}), document {}, version {}, {} entries",
        inspection.cell,
        inspection.leader,
        inspection.term,
        inspection.state.document.number,
        inspection.state.version,
        inspection.committed
    ))?;
    let voters: Vec<String> = inspection
        .voters
        .iter()
        .map(|(host, lag)| format!("{host} ({lag} entries behind)"))
        .collect();
    output.print_line(format!("  voters: {}", voters.join(", ")))?;
    let routers: Vec<String> = inspection
        .routers
        .iter()
        .map(|(host, version)| format!("{host} (version {version})"))
        .collect();
    output.print_line(format!("  routing leases: {}", routers.join(", ")))?;
    for name in inspection.state.document.services.keys() {
        print_service(inspection, name, output)?;
    }
    Ok(())
}

fn print_service(inspection: &Inspection, name: &str, output: Output) -> CliResult {
    let eligible = inspection.state.eligible_upstreams(name);
    let Some(slot_table) = inspection.state.slot_tables.get(name) else {
        return output.print_line(format!("  {name}: {} upstreams", eligible.len()));
    };
    let mut held = 0;
    let mut frozen = 0;
    for slot in &slot_table.slots {
        held += u64::from(slot.phase == SlotPhase::Held);
        frozen += u64::from(slot.phase == SlotPhase::Frozen);
    }
    let pins = slot_table.pins.len();
    let count = eligible.len();
    output.print_line(format!(
        "  {name}: {count} upstreams, {held} slots held, {frozen} changing owner, {pins} pinned keys"
    ))
}
