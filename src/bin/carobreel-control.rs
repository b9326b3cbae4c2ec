//! The control daemon.

use carobreel::control::{Control, Settings};
use carobreel::daemon::{run_daemon, DaemonContext, StopSignals};

const USAGE: &str = "\
Run replicas of the cells on a host with a disk.

Usage: carobreel-control --settings FILE

Examples:
  carobreel-control --settings examples/arraial/c-norte-a.json
";

fn main() {
    std::process::exit(run_daemon(USAGE, "carobreel-control", serve));
}

fn serve(context: DaemonContext) -> Result<(), String> {
    let stop_signals = StopSignals::listen().map_err(|e| e.to_string())?;
    let Some(data_folder) = context.process.data_folder else {
        return Err("data_folder is missing in the settings".to_string());
    };
    let settings = Settings {
        host: context.process.name,
        deployment: context.deployment,
        tls: context.tls,
        data_folder,
    };
    let control = Control::spawn(settings, context.recorder).map_err(|e| format!("{e}"))?;
    stop_signals.wait();
    control.stop();
    Ok(())
}
