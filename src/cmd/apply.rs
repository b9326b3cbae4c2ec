//! Brings a configuration document into force.

use std::ffi::OsString;
use std::path::PathBuf;

use carobreel::document::Document;
use carobreel::entry::operate::Applied;
use carobreel::http::Call;
use carobreel::settings::read_text;
use lexopt::prelude::*;

use crate::cli::{need, set_once, Access, CliError, CliResult, Output};

const USAGE: &str = "\
Bring a configuration document into force.

Usage: carobreel apply --admin ADDRESS --keys FOLDER [--json] DOCUMENT

Examples:
  carobreel apply --admin 127.0.0.1:21060 --keys examples/arraial/run/keys \\
      examples/arraial/document-1.json

A document that was sent before gets the first answer again. Of two documents
with one number, one wins; the other is told so. When a cell can't be reached,
nothing changes and the answer says when to come back.
";

#[derive(Debug, Default)]
struct Args {
    output: Output,
    access: Access,
    document: Option<PathBuf>,
}

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut args = Args::default();
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => args.output.json = true,
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(());
            }
            Long(name) => {
                let name = name.to_string();
                if !args.access.take(&name, &mut parser)? {
                    return Err(lexopt::Error::UnexpectedOption(format!("--{name}")).into());
                }
            }
            Value(file) => set_once(&mut args.document, file.into(), "DOCUMENT")?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    let text = read_text(&need(args.document, "DOCUMENT")?)?;
    Document::parse(&text)?;
    let answer = args.access.send(Call::post("/v1/documents", text))?;
    let applied: Applied =
        serde_json::from_slice(&answer.body).map_err(|_| CliError::Refused(answer.text()))?;
    args.output.value(&applied)?;
    report(&applied, args.output)
}

fn report(applied: &Applied, output: Output) -> CliResult {
    let refusal = match applied {
        Applied::Accepted { number } => {
            return output.line(format!("document {number} is in force in every cell"));
        }
        Applied::Pending { number, missing } => format!(
            "document {number} won its number and is on its way to {}; it will not be undone, \
             send it again to see it through",
            missing.join(", ")
        ),
        Applied::Conflict {
            number,
            winner,
            yours,
        } => format!("document {number} is taken by {winner}; yours is {yours}"),
        Applied::WrongNumber { next } => format!("the next document's number is {next}"),
        Applied::Faulty { faults } => faults.join("\n"),
        Applied::Empty { services } => format!(
            "no upstream would be left for {}; set may_be_empty to allow that",
            services.join(", ")
        ),
        Applied::Unreachable {
            cells,
            retry_after_ms,
        } => format!(
            "{} can't be reached; nothing changed, come back in {retry_after_ms} ms",
            cells.join(", ")
        ),
    };
    Err(CliError::Refused(refusal))
}
