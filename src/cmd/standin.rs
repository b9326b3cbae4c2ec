//! Runs stand-in upstreams.

use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use carobreel::cell::state::Announcement;
use carobreel::daemon::StopSignals;
use carobreel::standin::{RunLog, Settings, StandIn};
use lexopt::prelude::*;

use crate::cli::{CliError, CliResult, Output};

const USAGE: &str = "\
Run stand-in upstreams until interrupted; each announces itself to entry hosts.

Usage: carobreel standin [OPTIONS] --service NAME --zone ZONE ADMIN...

Options:
  --service NAME     The label service=NAME, and the start of the names
  --zone ZONE        The availability zone
  --first N          The first number (default 0)
  --count N          How many (default 1)
  --slots N          Requests that each works on at once (default 3)
  --connections N    Connections that each accepts (default 110)
  --work-ms MS       How long a request takes (default 2)
  --runs FILE        Append each request that was run to FILE as a JSON line
  --ignores-fences   Serve requests without checking fences

Examples:
  carobreel standin --service mapa-cortes --zone norte-a --count 4 127.0.0.1:21060
";

#[derive(Debug)]
struct Args {
    service: String,
    zone: String,
    first: u32,
    count: u32,
    slots: u32,
    connections: u32,
    service_time: Duration,
    checks_fences: bool,
    runs: Option<PathBuf>,
    admin: Vec<SocketAddr>,
}

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut args = Args {
        service: String::new(),
        zone: String::new(),
        first: 0,
        count: 1,
        slots: 3,
        connections: 110,
        service_time: Duration::from_millis(2),
        checks_fences: true,
        runs: None,
        admin: Vec::new(),
    };
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("service") => args.service = parser.value()?.string()?,
            Long("zone") => args.zone = parser.value()?.string()?,
            Long("first") => args.first = parser.value()?.parse()?,
            Long("count") => args.count = parser.value()?.parse()?,
            Long("slots") => args.slots = parser.value()?.parse()?,
            Long("connections") => args.connections = parser.value()?.parse()?,
            Long("work-ms") => args.service_time = Duration::from_millis(parser.value()?.parse()?),
            Long("runs") => args.runs = Some(parser.value()?.into()),
            Long("ignores-fences") => args.checks_fences = false,
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(());
            }
            Value(address) => args.admin.push(address.parse()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    if args.service.is_empty() || args.zone.is_empty() || args.admin.is_empty() {
        let text = "--service NAME, --zone ZONE or ADMIN is missing";
        return Err(CliError::Usage(text.to_string()));
    }
    let stop_signals = StopSignals::listen()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let standins = runtime.block_on(start_standins(&args))?;
    stop_signals.wait();
    runtime.block_on(async {
        for standin in &standins {
            standin.leave().await;
        }
    });
    Ok(())
}

async fn start_standins(args: &Args) -> CliResult<Vec<StandIn>> {
    let log = match &args.runs {
        Some(path) => RunLog::create(path)?,
        None => RunLog::default(),
    };
    let mut standins = Vec::new();
    for n in args.first..args.first + args.count {
        let labels = [("service".to_string(), args.service.clone())];
        let settings = Settings {
            announcement: Announcement {
                name: format!("{}-{n}", args.service),
                instance: 0,
                address: (Ipv4Addr::LOCALHOST, 0).into(),
                availability_zone: args.zone.clone(),
                labels: labels.into(),
                slots: args.slots,
                connections: args.connections,
                checks_fences: args.checks_fences,
            },
            admin_addresses: args.admin.clone(),
            service_time: args.service_time,
            advertised_address: None,
        };
        let standin = StandIn::spawn(settings, log.clone()).await?;
        Output::default().print_line(format!("{} serves {}", standin.name(), standin.address()))?;
        standins.push(standin);
    }
    Ok(standins)
}
