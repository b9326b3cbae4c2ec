//! Applies a configuration document in every cell.

use std::ffi::OsString;
use std::path::Path;

use carobreel::document::Document;
use carobreel::entry::operator::ApplyResult;
use carobreel::http::HttpRequest;
use carobreel::settings::read_text;

use crate::cli::{parse_single_value, CliError, CliResult, Output};

const USAGE: &str = "\
Apply a configuration document in every cell.

Usage: carobreel apply --admin ADDRESS --keys FOLDER [--json] DOCUMENT

Examples:
  carobreel apply --admin 127.0.0.1:21060 --keys examples/arraial/run/keys \\
      examples/arraial/document-1.json

A document that was sent before gets the same answer again. If two documents
have the same number, one is accepted and the other refused. When a cell can't
be reached, nothing changes and the answer says when to retry.
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let Some((common, file)) = parse_single_value(argv, USAGE, "DOCUMENT")? else {
        return Ok(());
    };
    let text = read_text(Path::new(&file))?;
    Document::parse(&text)?;
    let answer = common
        .access
        .send(HttpRequest::post("/v1/documents", text))?;
    let applied: ApplyResult =
        serde_json::from_slice(&answer.body).map_err(|_| CliError::Failed(answer.text()))?;
    common.output.print_json(&applied)?;
    print_result(&applied, common.output)
}

fn print_result(applied: &ApplyResult, output: Output) -> CliResult {
    let error = match applied {
        ApplyResult::Accepted { number } => {
            return output.print_line(format!("document {number} is in force in every cell"));
        }
        ApplyResult::Pending { number, missing } => format!(
            "document {number} was accepted but hasn't reached {} yet; it will not be undone, \
             send it again to complete it",
            missing.join(", ")
        ),
        ApplyResult::Conflict {
            number,
            winner,
            yours,
        } => format!("document {number} is taken by {winner}; yours is {yours}"),
        ApplyResult::WrongNumber { next } => format!("the next document's number is {next}"),
        ApplyResult::Faulty { faults } => faults.join("\n"),
        ApplyResult::Empty { services } => format!(
            "no upstream would be left for {}; set may_be_empty to allow that",
            services.join(", ")
        ),
        ApplyResult::Unreachable {
            cells,
            retry_after_ms,
        } => format!(
            "{} can't be reached; nothing changed, retry in {retry_after_ms} ms",
            cells.join(", ")
        ),
    };
    Err(CliError::Failed(error))
}
