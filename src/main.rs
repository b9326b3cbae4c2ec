//! The command line for operators.

mod cli;
mod cmd;

use std::process::exit;

use cli::{CliError, CliResult};

const USAGE: &str = "\
Usage: carobreel COMMAND [OPTIONS]

Commands:
  apply     Apply a configuration document in every cell
  check     Check a settings file or a configuration document
  demo      Run a whole deployment in this process, with load and a failure
  directory Run a replica of the directory on a host with a disk
  explain   Show who owns a key, what an upstream holds, or how a request ended
  gateway   Serve callers on an entry host, following the directory
  keys      Generate a deployment's certificates and the operators' token
  load      Send load to entry hosts and measure the answers
  plan      Show what a configuration document would change
  quarantine List and clear requests that are kept from upstreams that they ended
  report    Render captured logs as an HTML report
  slopes    Measure how the cost of control grows with size
  standin   Run stand-in upstreams
  status    Show cells, leases and services
  timeline  Show the events of all processes in causal order
  trial     Compare strategies for placing keys and requests
  watch     Show new events as they are recorded

Options:
  -h, --help     Show this text; after a command, show the command's usage
  -V, --version  Show the version

Exit codes: 0 done, 1 refused or broken, 2 wrong call.
";

fn main() {
    let mut argv: Vec<_> = std::env::args_os().skip(1).collect();
    if argv.is_empty() {
        eprint!("{USAGE}");
        exit(2);
    }
    let name = argv.remove(0).to_string_lossy().into_owned();
    let result = dispatch(&name, argv);
    let Err(e) = result else { exit(0) };
    eprintln!("carobreel: {e}");
    if let CliError::Usage(_) = e {
        eprintln!("Try 'carobreel --help' or 'carobreel {name} --help'.");
    }
    exit(e.exit_code());
}

fn dispatch(name: &str, argv: Vec<std::ffi::OsString>) -> CliResult {
    match name {
        "apply" => cmd::apply::run(argv),
        "check" => cmd::check::run(argv),
        "demo" => cmd::demo::run(argv),
        "directory" => cmd::directory::run(argv),
        "explain" => cmd::explain::run(argv),
        "gateway" => cmd::gateway::run(argv),
        "keys" => cmd::keys::run(argv),
        "load" => cmd::load::run(argv),
        "plan" => cmd::plan::run(argv),
        "quarantine" => cmd::quarantine::run(argv),
        "report" => cmd::report::run(argv),
        "slopes" => cmd::slopes::run(argv),
        "standin" => cmd::standin::run(argv),
        "status" => cmd::status::run(argv),
        "timeline" => cmd::timeline::run(argv),
        "trial" => cmd::trial::run(argv),
        "watch" => cmd::watch::run(argv),
        "-h" | "--help" | "help" => {
            print!("{USAGE}");
            Ok(())
        }
        "-V" | "--version" => {
            println!("carobreel {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ => Err(CliError::Usage(format!("no command '{name}'"))),
    }
}
