//! Measures what control costs as it grows.

use std::ffi::OsString;

use crate::cli::CliResult;

/// Runs the command.
pub fn run(_argv: Vec<OsString>) -> CliResult {
    Ok(())
}
