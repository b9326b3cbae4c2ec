//! Serves callers on one of the platform's entry hosts.

use std::ffi::OsString;
use std::time::Duration;

use carobreel::credentials;
use carobreel::gateway::daemon::Gateway;
use carobreel::platform::headers::PlatformHeaders;

use super::serve::{block_on, load_context, ServeEvent};
use crate::cli::{CliError, CliResult};

const USAGE: &str = "\
Serve callers on an entry host, following the directory.

Usage: carobreel gateway [--settings FILE]

Without the option, CAROBREEL_SETTINGS names the settings file. SIGHUP or a change of the file
reloads it; SIGTERM shuts the process down gracefully.

Examples:
  carobreel gateway --settings /etc/carobreel/settings.json
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    block_on(async move {
        let Some(mut context) = load_context("gateway", USAGE, argv)? else {
            return Ok(());
        };
        let to_error = |e: String| CliError::Failed(e);
        let tls = credentials::unverified_tls().map_err(|e| to_error(e.to_string()))?;
        let recorder = context.recorder.clone();
        let settings = context.settings;
        let starting = Gateway::spawn(
            &settings,
            &tls,
            PlatformHeaders,
            context.clock,
            recorder.clone(),
        );
        let gateway = starting.await.map_err(|e| to_error(e.to_string()))?;
        while let ServeEvent::SettingsChanged(changed) = context.events.next(&recorder).await {
            gateway.set_seeds(changed.seeds);
        }
        gateway.stop(Duration::from_millis(settings.grace_ms)).await;
        Ok(())
    })
}
