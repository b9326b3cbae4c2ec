//! The control daemon.

use carobreel::control::{Control, Settings};
use carobreel::daemon::{run, wait_for_stop, Loaded};

const USAGE: &str = "\
Hold replicas of the cells on a host with a disk.

Usage: carobreel-control --settings FILE

Examples:
  carobreel-control --settings examples/arraial/c-norte-a.json
";

fn main() {
    std::process::exit(run(USAGE, "carobreel-control", serve));
}

fn serve(loaded: Loaded) -> Result<(), String> {
    let Some(data_folder) = loaded.process.data_folder else {
        return Err("data_folder is missing in the settings".to_string());
    };
    let settings = Settings {
        host: loaded.process.name,
        deployment: loaded.deployment,
        tls: loaded.tls,
        data_folder,
    };
    let control = Control::spawn(settings, loaded.recorder).map_err(|e| format!("{e}"))?;
    wait_for_stop().map_err(|e| e.to_string())?;
    control.stop();
    Ok(())
}
