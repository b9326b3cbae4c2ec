//! Sends load to entry hosts.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use carobreel::load_generator::{self, LoadProfile, RequestKind};
use lexopt::prelude::*;

use crate::cli::{CliError, CliResult, Output};

const USAGE: &str = "\
Send open-loop load to entry hosts and measure the answers. Latency counts from
each request's scheduled time.

Usage: carobreel load [OPTIONS] --service NAME ADDRESS...

Options:
  --service NAME   The service
  --keys N         Keys of a keyed service (default 0: not keyed)
  --zipf S         Exponent of the keys' Zipf distribution (default 0.8)
  --filing         Send requests that must not run twice, with ids
  --rate R         Requests per second (default 200)
  --seconds N      How long (default 10)
  --seed N         Seeds arrivals and keys (default 1)
  --timeout-ms MS  How long a caller waits (default 5000)
  --resends N      How often a refused request is sent again (default 0)
  --json           Print JSON

Examples:
  carobreel load --service mapa-cortes --keys 10000 127.0.0.1:21040 127.0.0.1:21041
";

#[derive(Debug)]
struct Args {
    output: Output,
    kind: RequestKind,
    profile: LoadProfile,
    targets: Vec<SocketAddr>,
}

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut args = Args {
        output: Output::default(),
        kind: RequestKind {
            service: String::new(),
            share: 1.0,
            keys: 0,
            zipf: 0.8,
            with_idempotency_key: false,
        },
        profile: LoadProfile {
            rate: 200.0,
            length: Duration::from_secs(10),
            seed: 1,
            kinds: Vec::new(),
            timeout: Duration::from_secs(5),
            resends: 0,
        },
        targets: Vec::new(),
    };
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => args.output.json = true,
            Long("service") => args.kind.service = parser.value()?.string()?,
            Long("keys") => args.kind.keys = parser.value()?.parse()?,
            Long("zipf") => args.kind.zipf = parser.value()?.parse()?,
            Long("filing") => args.kind.with_idempotency_key = true,
            Long("rate") => args.profile.rate = parser.value()?.parse()?,
            Long("seconds") => {
                args.profile.length = Duration::from_secs(parser.value()?.parse()?);
            }
            Long("seed") => args.profile.seed = parser.value()?.parse()?,
            Long("timeout-ms") => {
                args.profile.timeout = Duration::from_millis(parser.value()?.parse()?);
            }
            Long("resends") => args.profile.resends = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(());
            }
            Value(address) => args.targets.push(address.parse()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    if args.kind.service.is_empty() || args.targets.is_empty() {
        let text = "--service NAME or ADDRESS is missing";
        return Err(CliError::Usage(text.to_string()));
    }
    if args.profile.rate.is_nan() || args.profile.rate <= 0.0 {
        return Err(CliError::Usage("--rate must be above 0".to_string()));
    }
    args.profile.kinds = vec![args.kind];
    let runtime = tokio::runtime::Runtime::new()?;
    let results = runtime.block_on(load_generator::run(&args.profile, &args.targets));
    for (service, service_results) in &results.by_service {
        let f = service_results.summary();
        args.output.print_json(&f)?;
        args.output.print_line(format!(
            "{service}: {} requests, {} answers, {} not run, {} unknown",
            f.requests, f.answers, f.not_run, f.unknown
        ))?;
        args.output.print_line(format!(
            "latency of answers: p50 {:.2} ms, p99 {:.2} ms, p999 {:.2} ms",
            f.p50_ms, f.p99_ms, f.p999_ms
        ))?;
    }
    Ok(())
}
