//! Measures what control costs as it grows.

use std::ffi::OsString;

use carobreel::slope::{measure_all, Slope};

use crate::cli::{parse, CliResult};

const USAGE: &str = "\
Measure what one step of control costs at several sizes, and fit a straight
line: the figures of docs/CAPACITY.md.

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
    output.line("| what | of one more | unit | base | each | residual | points |")?;
    output.line("|---|---|---|---|---|---|---|")?;
    for slope in measure_all() {
        output.value(&slope)?;
        output.line(row(&slope))?;
    }
    Ok(())
}

fn row(slope: &Slope) -> String {
    let points: Vec<String> = slope
        .points
        .iter()
        .map(|p| format!("{}: {:.3}", p.size, p.cost))
        .collect();
    format!(
        "| {} | {} | {} | {:.3} | {:.5} | {:.0}% | {} |",
        slope.name,
        slope.per,
        slope.unit,
        slope.base,
        slope.each,
        slope.residual * 100.0,
        points.join(", ")
    )
}
