//! Measures how the cost of control operations grows with size.

use std::ffi::OsString;

use carobreel::slope::{measure_all, LinearFit};

use crate::cli::{parse, CliResult};

const USAGE: &str = "\
Measure the cost of control operations at several sizes and fit a line to it:
the figures of docs/CAPACITY.md.

Usage: carobreel slopes [--json]

Examples:
  cargo run --release --bin carobreel -- slopes
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let Some(common) = parse(argv, USAGE, |_, _| Ok(false))? else {
        return Ok(());
    };
    let output = common.output;
    output.print_line("| what | of one more | unit | base | each | residual | points |")?;
    output.print_line("|---|---|---|---|---|---|---|")?;
    for fit in measure_all() {
        output.print_json(&fit)?;
        output.print_line(table_row(&fit))?;
    }
    Ok(())
}

fn table_row(fit: &LinearFit) -> String {
    let points: Vec<String> = fit
        .points
        .iter()
        .map(|p| format!("{}: {:.3}", p.size, p.cost))
        .collect();
    format!(
        "| {} | {} | {} | {:.3} | {:.5} | {:.0}% | {} |",
        fit.name,
        fit.size_unit,
        fit.cost_unit,
        fit.intercept,
        fit.slope,
        fit.residual * 100.0,
        points.join(", ")
    )
}
