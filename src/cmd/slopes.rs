//! Measures what control costs as it grows.

use std::ffi::OsString;

use carobreel::slope::{measure_all, Slope};
use lexopt::prelude::*;

use crate::cli::{CliResult, Output};

const USAGE: &str = "\
Measure what one step of control costs at several sizes, and fit a straight
line: the figures of docs/CAPACITY.md.

Usage: carobreel slopes [--json]

Examples:
  cargo run --release --bin carobreel -- slopes
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut output = Output::default();
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => output.json = true,
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
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
