//! Code shared by the commands that serve: the settings file, its reload, and signals.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::Duration;

use carobreel::clock::Clock;
use carobreel::daemon::{abort_on_panic, stdout_logger};
use carobreel::event::{Event, Recorder};
use carobreel::host::HostSettings;
use lexopt::prelude::*;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::MissedTickBehavior;

use crate::cli::{CliError, CliResult};

/// The environment variable that names the settings file when the option is missing.
const SETTINGS_VARIABLE: &str = "CAROBREEL_SETTINGS";
/// Interval of checks for a changed settings file; a change needs no signal.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// What a serving command starts with.
pub struct ServeContext {
    /// The settings.
    pub settings: HostSettings,
    /// The file that the settings were read from.
    pub file: SettingsFile,
    /// The monotonic clock of the process.
    pub clock: Clock,
    /// The recorder for the process's events.
    pub recorder: Recorder,
}

/// A settings file and its last known content.
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

/// What a serving command has to react to.
pub enum ServeEvent {
    /// The process is asked to stop.
    Stop,
    /// The settings file changed and is valid.
    SettingsChanged(Box<HostSettings>),
}

/// Parses the command line and reads the settings; returns `None` after printing the usage text.
pub fn load_context(
    role: &str,
    usage: &str,
    argv: Vec<OsString>,
) -> Result<Option<ServeContext>, CliError> {
    let mut path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => path = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => {
                print!("{usage}");
                return Ok(None);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let Some(path) = path else {
        return Err(CliError::Usage("--settings FILE is missing".to_string()));
    };
    abort_on_panic();
    let text = std::fs::read_to_string(&path)
        .map_err(|e| CliError::Failed(format!("{}: {e}", path.display())))?;
    let settings = HostSettings::parse(&text).map_err(|e| CliError::Failed(e.to_string()))?;
    let recorder = Recorder::new(&settings.host, stdout_logger());
    recorder.record(Event::ProcessStarted {
        role: role.to_string(),
        version: env!("CARGO_PKG_VERSION").to_string(),
    });
    Ok(Some(ServeContext {
        settings,
        file: SettingsFile { path, text },
        clock: Clock::start(),
        recorder,
    }))
}

/// Runs a future on a single-threaded runtime.
pub fn block_on<F: std::future::Future<Output = CliResult>>(serve: F) -> CliResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CliError::Failed(e.to_string()))?;
    runtime.block_on(serve)
}

impl SettingsFile {
    /// Waits for a signal to stop or a valid change of the settings file.
    pub async fn next_event(&mut self, recorder: &Recorder) -> Result<ServeEvent, CliError> {
        let to_error = |e: std::io::Error| CliError::Failed(e.to_string());
        let mut terminate = signal(SignalKind::terminate()).map_err(to_error)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(to_error)?;
        let mut reload = signal(SignalKind::hangup()).map_err(to_error)?;
        let mut poll = tokio::time::interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = terminate.recv() => return Ok(ServeEvent::Stop),
                _ = interrupt.recv() => return Ok(ServeEvent::Stop),
                _ = reload.recv() => {}
                _ = poll.tick() => {}
            }
            if let Some(settings) = self.reload_if_changed(recorder) {
                return Ok(ServeEvent::SettingsChanged(Box::new(settings)));
            }
        }
    }

    fn reload_if_changed(&mut self, recorder: &Recorder) -> Option<HostSettings> {
        let text = read_or_record(&self.path, recorder)?;
        if text == self.text {
            return None;
        }
        self.text = text;
        match HostSettings::parse(&self.text) {
            Ok(settings) => {
                let seeds: Vec<String> = settings.seeds.iter().map(|s| s.to_string()).collect();
                recorder.record(Event::SettingsChanged {
                    seeds: seeds.join(","),
                });
                Some(settings)
            }
            Err(e) => {
                recorder.record(Event::SettingsRefused {
                    reason: e.to_string(),
                });
                None
            }
        }
    }
}

fn read_or_record(path: &Path, recorder: &Recorder) -> Option<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(e) => {
            recorder.record(Event::SettingsRefused {
                reason: e.to_string(),
            });
            None
        }
    }
}
