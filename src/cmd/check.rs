//! Checks settings files and configuration documents.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use carobreel::document::Document;
use carobreel::schema::{Faults, Kind};
use carobreel::settings::{read_text, Deployment, Process};
use serde::Serialize;

use crate::cli::{mark, parse, Arg, CliError, CliResult, Output};

const USAGE: &str = "\
Check settings files and configuration documents, and report every fault.

Usage: carobreel check [--json] FILE...

Examples:
  carobreel check examples/arraial/deployment.json examples/arraial/document-1.json

A process's settings are checked together with the deployment that they name.
";

#[derive(Serialize)]
struct Report<'a> {
    file: &'a Path,
    faults: Vec<String>,
}

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut files: Vec<PathBuf> = Vec::new();
    let common = parse(argv, USAGE, |arg, _| {
        let Arg::Value(file) = arg else {
            return Ok(false);
        };
        files.push(file.into());
        Ok(true)
    })?;
    let Some(common) = common else {
        return Ok(());
    };
    if files.is_empty() {
        return Err(CliError::Usage("FILE is missing".to_string()));
    }
    let mut faulty = 0;
    for file in &files {
        faulty += usize::from(!check(file, common.output)?);
    }
    if faulty > 0 {
        return Err(CliError::Refused(format!("{faulty} file(s) with faults")));
    }
    Ok(())
}

fn check(file: &Path, output: Output) -> CliResult<bool> {
    let faults = match check_file(file) {
        Ok(()) => Vec::new(),
        Err(faults) => faults.0,
    };
    output.value(&Report {
        file,
        faults: faults.iter().map(|f| f.to_string()).collect(),
    })?;
    if faults.is_empty() {
        output.line(format!("{}: {}", file.display(), mark("fine", true)))?;
    }
    for fault in &faults {
        output.line(format!(
            "{}: {}",
            file.display(),
            mark(&fault.to_string(), false)
        ))?;
    }
    Ok(faults.is_empty())
}

fn check_file(file: &Path) -> Result<(), Faults> {
    let text = read_text(file)?;
    let value = serde_json::from_str(&text).unwrap_or(serde_json::Value::Null);
    match Kind::guess(&value) {
        Kind::Deployment => Deployment::parse(&text).map(|_| ()),
        Kind::Document => Document::parse(&text).map(|_| ()),
        Kind::Process => {
            let process = Process::read(file)?;
            Deployment::read(&process.deployment).map(|_| ())
        }
    }
}
