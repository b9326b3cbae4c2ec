//! Runs a replica of the directory on one of the platform's hosts with a disk.

use std::ffi::OsString;
use std::sync::{Arc, Mutex};

use carobreel::credentials;
use carobreel::directory::daemon::{Directory, Settings};
use carobreel::exposition;
use carobreel::http_server;
use carobreel::lock::lock;
use carobreel::platform::api;
use carobreel::platform::grant_client::GrantClient;
use tokio::net::TcpListener;

use super::serve::{block_on, load_context, ServeEvent};
use crate::cli::{CliError, CliResult};

const USAGE: &str = "\
Run a replica of the directory: route configuration, upstreams and owners of keys.

Usage: carobreel directory [--settings FILE]

Without the option, CAROBREEL_SETTINGS names the settings file. SIGHUP or a change of the file
reloads it; SIGTERM ends the process.

Examples:
  carobreel directory --settings /etc/carobreel/settings.json
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    block_on(async move {
        let Some(mut context) = load_context("directory", USAGE, argv)? else {
            return Ok(());
        };
        let to_error = |e: String| CliError::Failed(e);
        let host_settings = &context.settings;
        let missing_setting =
            || to_error("the settings lack an operators address or a data folder".to_string());
        let operators = host_settings.operator_address.ok_or_else(missing_setting)?;
        let data_folder = host_settings
            .data_folder
            .clone()
            .ok_or_else(missing_setting)?;
        let seeds = Arc::new(Mutex::new(host_settings.seeds.clone()));
        let settings = Settings {
            address: host_settings.peer_address,
            seeds: seeds.clone(),
            first_start: host_settings.first_start,
            data_folder,
            hold_ms: host_settings.hold_ms,
            voters: 2 * host_settings.losses_tolerated as usize + 1,
            regions_by_zone: host_settings.regions_by_zone.clone(),
        };
        let tls = credentials::unverified_tls().map_err(|e| to_error(e.to_string()))?;
        let recorder = context.recorder.clone();
        let grant_client = GrantClient::new(context.clock);
        let directory =
            Directory::spawn(settings, tls, grant_client, context.clock, recorder.clone())
                .map_err(|e| to_error(e.to_string()))?;
        if let Some(address) = host_settings.metrics_address {
            let metrics = directory.metrics();
            let render = move || metrics.text();
            tokio::spawn(exposition::serve(address, render, recorder.clone()));
        }
        let listener = TcpListener::bind(operators)
            .await
            .map_err(|e| to_error(format!("can't listen on {operators}: {e}")))?;
        let zones = host_settings.regions_by_zone.keys().cloned().collect();
        let port = Some(operators.port());
        let router = api::router_with_port(directory.handle(), recorder.clone(), zones, port);
        let server = tokio::spawn(http_server::serve(listener, router, recorder.clone()));
        while let ServeEvent::SettingsChanged(changed) = context.events.next(&recorder).await {
            *lock(&seeds) = changed.seeds;
        }
        server.abort();
        directory.stop();
        Ok(())
    })
}
