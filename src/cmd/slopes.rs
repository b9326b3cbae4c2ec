//! Measures what control costs as it grows.

use std::ffi::OsString;

use lexopt::prelude::*;

use crate::cli::CliResult;

const USAGE: &str = "\
Measure what control costs as it grows.

Usage: carobreel slopes [--json]

Examples:
  carobreel slopes
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(())
}
