//! The entry daemon.

use carobreel::credentials::read_token;
use carobreel::daemon::{run, wait_for_stop, Loaded};
use carobreel::entry::{Entry, Settings};

const USAGE: &str = "\
Serve callers, upstreams and operators on an entry host.

Usage: carobreel-entry --settings FILE

Examples:
  carobreel-entry --settings examples/arraial/e-norte-a-1.json
";

fn main() {
    std::process::exit(run(USAGE, "carobreel-entry", serve));
}

fn serve(loaded: Loaded) -> Result<(), String> {
    let token = read_token(&loaded.process.keys_folder).map_err(|e| format!("{e}"))?;
    let settings = Settings {
        host: loaded.process.name,
        deployment: loaded.deployment,
        tls: loaded.tls,
        token,
        traffic_threads: loaded.process.traffic_threads,
    };
    let entry = Entry::spawn(settings, loaded.recorder).map_err(|e| format!("{e}"))?;
    wait_for_stop().map_err(|e| e.to_string())?;
    entry.stop();
    Ok(())
}
