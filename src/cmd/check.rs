//! Checks settings files and configuration documents.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use carobreel::document::Document;
use carobreel::host::HostSettings;
use carobreel::schema::{FileKind, ValidationErrors};
use carobreel::settings::{read_text, Deployment, Process};
use serde::Serialize;

use crate::cli::{colorize, parse, Arg, CliError, CliResult, Output};

const USAGE: &str = "\
Check settings files and configuration documents, and report every fault.

Usage: carobreel check [--json] FILE...

Examples:
  carobreel check examples/arraial/deployment.json examples/arraial/document-1.json

A process's settings are checked together with the deployment that they name.
";

#[derive(Serialize)]
struct FileReport<'a> {
    file: &'a Path,
    faults: Vec<String>,
}

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut files: Vec<PathBuf> = Vec::new();
    let common = parse(argv, USAGE, |arg, _| {
        let Arg::Positional(file) = arg else {
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
    let mut faulty_count = 0;
    for file in &files {
        faulty_count += usize::from(!check(file, common.output)?);
    }
    if faulty_count > 0 {
        return Err(CliError::Failed(format!(
            "{faulty_count} file(s) with faults"
        )));
    }
    Ok(())
}

fn check(file: &Path, output: Output) -> CliResult<bool> {
    let faults = match check_file(file) {
        Ok(()) => Vec::new(),
        Err(faults) => faults,
    };
    output.print_json(&FileReport {
        file,
        faults: faults.clone(),
    })?;
    if faults.is_empty() {
        output.print_line(format!("{}: {}", file.display(), colorize("fine", true)))?;
    }
    for fault in &faults {
        output.print_line(format!("{}: {}", file.display(), colorize(fault, false)))?;
    }
    Ok(faults.is_empty())
}

fn check_file(file: &Path) -> Result<(), Vec<String>> {
    let text = read_text(file).map_err(error_texts)?;
    let value = serde_json::from_str(&text).unwrap_or(serde_json::Value::Null);
    if value.get("peer_address").is_some() && value.get("seeds").is_some() {
        return HostSettings::parse(&text)
            .map(|_| ())
            .map_err(|errors| errors.0);
    }
    let checked = match FileKind::detect(&value) {
        FileKind::Deployment => Deployment::parse(&text).map(|_| ()),
        FileKind::Document => Document::parse(&text).map(|_| ()),
        FileKind::Process => Process::read(file)
            .and_then(|process| Deployment::read(&process.deployment))
            .map(|_| ()),
    };
    checked.map_err(error_texts)
}

fn error_texts(errors: ValidationErrors) -> Vec<String> {
    errors.0.iter().map(|e| e.to_string()).collect()
}
