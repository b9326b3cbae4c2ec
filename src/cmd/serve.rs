//! What the commands that serve have in common: the settings file, its changes, and signals.

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

/// The variable that names the settings file where no option does.
const SETTINGS_VARIABLE: &str = "CAROBREEL_SETTINGS";
/// Between two looks at the settings file, which may change without a signal.
const LOOK_EVERY: Duration = Duration::from_millis(1_000);

/// What a serving command starts from.
pub struct Started {
    /// The settings.
    pub settings: HostSettings,
    /// The file that they came from.
    pub file: SettingsFile,
    /// Time.
    pub clock: Clock,
    /// Events.
    pub recorder: Recorder,
}

/// A settings file that may change.
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

/// Why a serving command wakes up.
pub enum Wake {
    /// It is asked to stop.
    Stop,
    /// The settings changed.
    Settings(Box<HostSettings>),
}

/// Reads the command line and the settings; `None` when only help was asked for.
pub fn start(role: &str, usage: &str, argv: Vec<OsString>) -> Result<Option<Started>, CliError> {
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
        .map_err(|e| CliError::Refused(format!("{}: {e}", path.display())))?;
    let settings = HostSettings::parse(&text).map_err(|e| CliError::Refused(e.to_string()))?;
    let recorder = Recorder::new(&settings.host, stdout_logger());
    recorder.record(Event::ProcessStarted {
        role: role.to_string(),
        version: env!("CARGO_PKG_VERSION").to_string(),
    });
    Ok(Some(Started {
        settings,
        file: SettingsFile { path, text },
        clock: Clock::start(),
        recorder,
    }))
}

/// Runs `serve` on this thread.
pub fn block_on<F: std::future::Future<Output = CliResult>>(serve: F) -> CliResult {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CliError::Refused(e.to_string()))?;
    runtime.block_on(serve)
}

impl SettingsFile {
    /// Waits for a signal or a change of the file.
    pub async fn wake(&mut self, recorder: &Recorder) -> Result<Wake, CliError> {
        let failed = |e: std::io::Error| CliError::Refused(e.to_string());
        let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
        let mut reload = signal(SignalKind::hangup()).map_err(failed)?;
        let mut look = tokio::time::interval(LOOK_EVERY);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = terminate.recv() => return Ok(Wake::Stop),
                _ = interrupt.recv() => return Ok(Wake::Stop),
                _ = reload.recv() => {}
                _ = look.tick() => {}
            }
            if let Some(settings) = self.changed(recorder) {
                return Ok(Wake::Settings(Box::new(settings)));
            }
        }
    }

    fn changed(&mut self, recorder: &Recorder) -> Option<HostSettings> {
        let text = read(&self.path, recorder)?;
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

fn read(path: &Path, recorder: &Recorder) -> Option<String> {
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
