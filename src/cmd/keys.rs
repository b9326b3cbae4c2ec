//! Generates a deployment's certificates and the operators' token.

use std::ffi::OsString;
use std::path::PathBuf;

use carobreel::credentials;
use carobreel::settings::Deployment;
use lexopt::prelude::*;

use crate::cli::{require, set_once, CliResult, Output};

const USAGE: &str = "\
Generate a deployment's certificates and the operators' token.

Usage: carobreel keys --out FOLDER [--keep-authority] DEPLOYMENT

Options:
  --out FOLDER       Where the files go; they are readable by their owner only
  --keep-authority   Keep the authority's key, to add hosts later

Examples:
  carobreel keys --out examples/arraial/run/keys examples/arraial/deployment.json

Each host needs authority.pem, its own NAME.pem and NAME.key.pem; entry hosts
and operators also need operator.token.
";

#[derive(Debug, Default)]
struct Args {
    output: Output,
    deployment: Option<PathBuf>,
    out: Option<PathBuf>,
    keep_authority: bool,
}

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut args = Args::default();
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => args.output.json = true,
            Long("out") => args.out = Some(parser.value()?.into()),
            Long("keep-authority") => args.keep_authority = true,
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(());
            }
            Value(file) => set_once(&mut args.deployment, file.into(), "DEPLOYMENT")?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    let deployment = Deployment::read(&require(args.deployment, "DEPLOYMENT")?)?;
    let out = require(args.out, "--out FOLDER")?;
    let hosts: Vec<String> = deployment.peer_addresses().into_keys().collect();
    credentials::generate(&out, &hosts, args.keep_authority)?;
    args.output.print_json(&hosts)?;
    let count = hosts.len();
    args.output
        .print_line(format!("{count} certificates in {}", out.display()))
}
