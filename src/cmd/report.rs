//! Renders captured logs as an HTML report.

use std::ffi::OsString;
use std::path::PathBuf;

use carobreel::logs::Logs;
use carobreel::report::LogReport;
use lexopt::ValueExt;

use crate::cli::{parse, require, Arg, CliError, CliResult};

const USAGE: &str = "\
Render captured logs as one self-contained HTML file.

Usage: carobreel report --out FILE [--title TEXT] LOG...

Examples:
  carobreel report --out day.html --title 'Friday evening' e1.log e2.log c1.log
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut out: Option<PathBuf> = None;
    let mut title = "carobreel".to_string();
    let mut files: Vec<PathBuf> = Vec::new();
    let common = parse(argv, USAGE, |arg, parser| {
        match arg {
            Arg::Option(name) if name == "out" => out = Some(parser.value()?.into()),
            Arg::Option(name) if name == "title" => title = parser.value()?.string()?,
            Arg::Option(_) => return Ok(false),
            Arg::Positional(file) => files.push(file.into()),
        }
        Ok(true)
    })?;
    let Some(common) = common else {
        return Ok(());
    };
    let out = require(out, "--out FILE")?;
    if files.is_empty() {
        return Err(CliError::Usage("LOG is missing".to_string()));
    }
    let logs = Logs::read(&files)?;
    if logs.events.is_empty() {
        let text = "these files contain no carobreel events".to_string();
        return Err(CliError::Failed(text));
    }
    std::fs::write(&out, LogReport::new(&logs.events).render_html(&title))?;
    let text = format!(
        "{}: {} events, {} unreadable lines",
        out.display(),
        logs.events.len(),
        logs.unreadable
    );
    common.output.print_json(&text)?;
    common.output.print_line(text)
}
