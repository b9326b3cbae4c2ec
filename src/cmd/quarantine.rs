//! Lists the requests that are kept from upstreams, and clears them.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use carobreel::credentials;
use carobreel::daemon::discard_logger;
use carobreel::directory::protocol::{DirectoryRequest, Reply};
use carobreel::directory::suspects::{ListedSuspect, SuspectId};
use carobreel::event::Recorder;
use carobreel::request_digest::RequestDigest;
use carobreel::transport::Endpoint;
use carobreel::wire::{Request, Response};
use lexopt::ValueExt;

use super::serve::block_on;
use crate::cli::{parse, require, Arg, CliError, CliResult, Output};

const USAGE: &str = "\
List the requests that are kept from upstreams because upstreams ended while they had them, and
drop the suspicions against one.

Usage: carobreel quarantine --directory ADDRESS [--json]
       carobreel quarantine --directory ADDRESS --clear DIGEST --service SERVICE

ADDRESS is the address of any replica of the directory for other processes, IP:PORT.

Examples:
  carobreel quarantine --directory 10.1.0.19:7140
  carobreel quarantine --directory 10.1.0.19:7140 --service mapa-cortes \\
      --clear 7efa5bf15ddc11a3e9419342d0955c28
";

/// Timeout of a request to a replica.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of replicas asked until one leads.
const REDIRECTS_MAX: usize = 4;

#[derive(Debug, Default)]
struct Args {
    directory: Option<SocketAddr>,
    service: Option<String>,
    clear: Option<RequestDigest>,
}

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut args = Args::default();
    let common = parse(argv, USAGE, |arg, parser| {
        let Arg::Option(name) = arg else {
            return Ok(false);
        };
        match name.as_str() {
            "directory" => args.directory = Some(parser.value()?.parse()?),
            "service" => args.service = Some(parser.value()?.string()?),
            "clear" => args.clear = Some(parse_digest(&parser.value()?.string()?)?),
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    let Some(common) = common else {
        return Ok(());
    };
    let directory = require(args.directory, "directory")?;
    let request = match args.clear {
        Some(digest) => DirectoryRequest::ClearSuspect(SuspectId {
            service: require(args.service, "service")?,
            digest,
        }),
        None => DirectoryRequest::ListSuspects,
    };
    block_on(async move {
        match ask_leader(directory, request).await? {
            Reply::Suspects(listed) => print_list(&listed, common.output),
            _ => common.output.print_line("cleared"),
        }
    })
}

fn parse_digest(text: &str) -> CliResult<RequestDigest> {
    let digest = text.parse();
    digest.map_err(|_| CliError::Usage(format!("{text:?} is not a digest of 32 hex digits")))
}

/// Sends a request to a replica, and to the leader that it names.
async fn ask_leader(directory: SocketAddr, request: DirectoryRequest) -> CliResult<Reply> {
    let to_error = |e: String| CliError::Failed(e);
    let tls = credentials::unverified_tls().map_err(|e| to_error(e.to_string()))?;
    let recorder = Recorder::new("quarantine", discard_logger());
    let any_address = SocketAddr::from(([0, 0, 0, 0], 0));
    let endpoint = Endpoint::bind(any_address, BTreeMap::new(), &tls, recorder)
        .map_err(|e| to_error(e.to_string()))?;
    let mut host = directory.to_string();
    for _ in 0..REDIRECTS_MAX {
        let request = Request::Directory(request.clone());
        let reply = endpoint.call(&host, request, TIMEOUT).await;
        match reply.map_err(|e| to_error(format!("{host} doesn't answer: {e}")))? {
            Response::Directory(Reply::NotLeader(Some(leader))) if leader != host => host = leader,
            Response::Directory(reply @ (Reply::Done | Reply::Suspects(_))) => return Ok(reply),
            _ => break,
        }
    }
    Err(to_error(format!("{host} knows no leader of the directory")))
}

fn print_list(listed: &[ListedSuspect], output: Output) -> CliResult {
    output.print_json(&listed)?;
    for suspect in listed {
        let SuspectId { service, digest } = &suspect.id;
        output.print_line(format!("{digest} {service}: {}", suspect.stage.name()))?;
        for crash in &suspect.crashes {
            output.print_line(format!(
                "  {} (version {:?}) ended, reported by {} at {}",
                crash.upstream.id, crash.version, crash.host, crash.at_ms
            ))?;
        }
    }
    Ok(())
}
