//! Functions that the daemons share: command line, logging, signals and the abort on panics.

use std::ffi::OsString;
use std::path::PathBuf;
use std::sync::Mutex;

use lexopt::prelude::*;
use slog::{o, Discard, Drain, Logger};
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::credentials::{self, Tls};
use crate::event::Recorder;
use crate::settings::{Deployment, LogFormat, Process};

/// Log lines that may be queued for the writer.
const LOG_QUEUE_LINES: usize = 4_096;

/// What a daemon's command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invocation {
    /// Run with this settings file.
    Run(PathBuf),
    /// Print the usage text.
    Help,
    /// Print the version.
    Version,
}

/// Parses a daemon's command line.
///
/// # Errors
///
/// A message that describes the first invalid argument.
///
/// # Examples
///
/// ```
/// use carobreel::daemon::{parse_args, Invocation};
///
/// let invocation = parse_args(vec!["--settings".into(), "e1.json".into()]);
/// assert_eq!(invocation, Ok(Invocation::Run("e1.json".into())));
/// assert!(parse_args(vec![]).is_err());
/// ```
pub fn parse_args(argv: Vec<OsString>) -> Result<Invocation, String> {
    let mut parser = lexopt::Parser::from_args(argv);
    let mut settings_file = None;
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Long("settings") => {
                let value = parser.value().map_err(|e| e.to_string())?;
                settings_file = Some(PathBuf::from(value));
            }
            Short('h') | Long("help") => return Ok(Invocation::Help),
            Short('V') | Long("version") => return Ok(Invocation::Version),
            _ => return Err(arg.unexpected().to_string()),
        }
    }
    settings_file
        .map(Invocation::Run)
        .ok_or_else(|| "--settings FILE is missing".to_string())
}

/// Returns a logger that writes to standard error.
pub fn stderr_logger(format: LogFormat) -> Logger {
    match format {
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(std::io::stderr())).fuse();
            async_logger(drain)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = Mutex::new(slog_term::FullFormat::new(decorator).build()).fuse();
            async_logger(drain)
        }
    }
}

/// Returns a logger that writes JSON lines to standard output. If the stream can't keep up, lines
/// are dropped and counted; logging never blocks.
pub fn stdout_logger() -> Logger {
    let drain = Mutex::new(slog_json::Json::default(std::io::stdout())).fuse();
    async_logger(drain)
}

/// Returns a logger that discards everything.
pub fn discard_logger() -> Logger {
    Logger::root(Discard, o!())
}

fn async_logger<D>(drain: D) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_LINES)
        .build();
    Logger::root(drain.fuse(), o!())
}

/// The settings and shared objects that a daemon starts with.
#[derive(Debug)]
pub struct DaemonContext {
    /// The process's settings.
    pub process: Process,
    /// The deployment.
    pub deployment: Deployment,
    /// The host's TLS configurations.
    pub tls: Tls,
    /// The recorder for the process's events.
    pub recorder: Recorder,
}

/// Reads the files that a daemon needs to start.
///
/// # Errors
///
/// A message with the faults of the first invalid file.
pub fn load_context(settings_file: &std::path::Path) -> Result<DaemonContext, String> {
    let process = Process::read(settings_file).map_err(|e| e.to_string())?;
    let deployment = Deployment::read(&process.deployment).map_err(|e| e.to_string())?;
    let tls =
        credentials::read_tls(&process.keys_folder, &process.name).map_err(|e| format!("{e}"))?;
    let recorder = Recorder::new(&process.name, stderr_logger(process.log));
    Ok(DaemonContext {
        process,
        deployment,
        tls,
        recorder,
    })
}

/// Makes a panic in any thread end the process, since it means that an invariant is broken.
pub fn abort_on_panic() {
    let print_panic = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print_panic(info);
        std::process::abort();
    }));
}

/// Receives the signals that stop a process.
#[derive(Debug)]
pub struct StopSignals {
    runtime: tokio::runtime::Runtime,
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Starts to receive SIGTERM and SIGINT, which no longer end the process at once.
    pub fn listen() -> std::io::Result<StopSignals> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (terminate, interrupt) = {
            let _guard = runtime.enter();
            (
                signal(SignalKind::terminate())?,
                signal(SignalKind::interrupt())?,
            )
        };
        Ok(StopSignals {
            runtime,
            terminate,
            interrupt,
        })
    }

    /// Blocks until one of the signals has arrived since the call to [`StopSignals::listen`].
    pub fn wait(self) {
        let StopSignals {
            runtime,
            mut terminate,
            mut interrupt,
        } = self;
        runtime.block_on(async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
    }
}

/// Runs a daemon's command line and returns the process's exit code.
pub fn run_daemon(
    usage: &str,
    name: &str,
    start: impl FnOnce(DaemonContext) -> Result<(), String>,
) -> i32 {
    let argv = std::env::args_os().skip(1).collect();
    let settings_file = match parse_args(argv) {
        Ok(Invocation::Run(settings_file)) => settings_file,
        Ok(Invocation::Help) => {
            print!("{usage}");
            return 0;
        }
        Ok(Invocation::Version) => {
            println!("{name} {}", env!("CARGO_PKG_VERSION"));
            return 0;
        }
        Err(e) => {
            eprintln!("{name}: {e}\n{usage}");
            return 2;
        }
    };
    abort_on_panic();
    match load_context(&settings_file).and_then(start) {
        Ok(()) => 0,
        Err(e) => {
            eprintln!("{name}: {e}");
            1
        }
    }
}
