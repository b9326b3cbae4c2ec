//! Code shared by the commands that serve: the settings file, its reload, and signals.

use std::ffi::OsString;
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use carobreel::clock::Clock;
use carobreel::daemon::{abort_on_panic, stdout_logger};
use carobreel::event::{Event, Recorder};
use carobreel::host::HostSettings;
use lexopt::prelude::*;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{Interval, MissedTickBehavior};

use crate::cli::{CliError, CliResult};

/// The environment variable that names the settings file when the option is missing.
const SETTINGS_VARIABLE: &str = "CAROBREEL_SETTINGS";
/// Interval of checks for a changed settings file; a change needs no signal.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum size of a settings file, in bytes.
const SETTINGS_BYTES_MAX: u64 = 1 << 20;

/// What a serving command starts with.
pub struct ServeContext {
    /// The settings.
    pub settings: HostSettings,
    /// What the command reacts to while it serves.
    pub events: ServeEvents,
    /// The monotonic clock of the process.
    pub clock: Clock,
    /// The recorder for the process's events.
    pub recorder: Recorder,
}

/// Signals and changes of the settings file.
///
/// The receivers last as long as the process serves: a signal that arrives while a command handles another
/// event is returned by the next call.
pub struct ServeEvents {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
    poll: Interval,
    file: SettingsFile,
}

/// A settings file and its last known content.
struct SettingsFile {
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

/// Parses the command line and reads the settings; returns `None` after printing the usage text. Must be called
/// in a runtime, which receives the signals.
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
    let text =
        read_settings(&path).map_err(|e| CliError::Failed(format!("{}: {e}", path.display())))?;
    let events = ServeEvents::listen(SettingsFile {
        path,
        text: text.clone(),
    })
    .map_err(|e| CliError::Failed(e.to_string()))?;
    let settings = HostSettings::parse(&text).map_err(|e| CliError::Failed(e.to_string()))?;
    let recorder = Recorder::new(&settings.host, stdout_logger());
    recorder.record(Event::ProcessStarted {
        role: role.to_string(),
        version: env!("CARGO_PKG_VERSION").to_string(),
    });
    Ok(Some(ServeContext {
        settings,
        events,
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

impl ServeEvents {
    fn listen(file: SettingsFile) -> std::io::Result<ServeEvents> {
        let mut poll = tokio::time::interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(ServeEvents {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
            poll,
            file,
        })
    }

    /// Waits for a signal to stop or a valid change of the settings file. A stop comes before changes.
    pub async fn next(&mut self, recorder: &Recorder) -> ServeEvent {
        loop {
            tokio::select! {
                biased;
                _ = self.terminate.recv() => return ServeEvent::Stop,
                _ = self.interrupt.recv() => return ServeEvent::Stop,
                _ = self.reload.recv() => {}
                _ = self.poll.tick() => {}
            }
            if let Some(settings) = self.file.reload_if_changed(recorder) {
                return ServeEvent::SettingsChanged(Box::new(settings));
            }
        }
    }
}

impl SettingsFile {
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
    match read_settings(path) {
        Ok(text) => Some(text),
        Err(e) => {
            recorder.record(Event::SettingsRefused {
                reason: e.to_string(),
            });
            None
        }
    }
}

/// Reads a settings file of at most `SETTINGS_BYTES_MAX` bytes.
fn read_settings(path: &Path) -> std::io::Result<String> {
    let mut text = String::new();
    let file = File::open(path)?;
    file.take(SETTINGS_BYTES_MAX + 1)
        .read_to_string(&mut text)?;
    match text.len() as u64 > SETTINGS_BYTES_MAX {
        true => Err(std::io::Error::other("the settings file is too large")),
        false => Ok(text),
    }
}
