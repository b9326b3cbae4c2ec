//! The entry daemon.

use carobreel::credentials::read_token;
use carobreel::daemon::{run_daemon, DaemonContext, StopSignals};
use carobreel::entry::{EntryProcess, Settings};

const USAGE: &str = "\
Serve callers, upstreams and operators on an entry host.

Usage: carobreel-entry --settings FILE

Examples:
  carobreel-entry --settings examples/arraial/e-norte-a-1.json
";

fn main() {
    std::process::exit(run_daemon(USAGE, "carobreel-entry", serve));
}

fn serve(context: DaemonContext) -> Result<(), String> {
    let stop_signals = StopSignals::listen().map_err(|e| e.to_string())?;
    let token = read_token(&context.process.keys_folder).map_err(|e| format!("{e}"))?;
    let settings = Settings {
        host: context.process.name,
        deployment: context.deployment,
        tls: context.tls,
        token,
        traffic_threads: context.process.traffic_threads,
    };
    let entry = EntryProcess::spawn(settings, context.recorder).map_err(|e| format!("{e}"))?;
    stop_signals.wait();
    entry.stop();
    Ok(())
}
