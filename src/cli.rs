//! Code shared by the commands: errors with exit codes, argument parsing, and output as text or
//! JSON.

use std::ffi::OsString;
use std::fmt;
use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use carobreel::credentials;
use carobreel::http::{self, HttpRequest, HttpResponse};
use carobreel::schema::ValidationErrors;
use lexopt::ValueExt;
use serde::Serialize;

/// The result of a command.
pub type CliResult<T = ()> = Result<T, CliError>;

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// The command line is invalid.
    Usage(String),
    /// The command was refused or failed.
    Failed(String),
    /// The output can't be written.
    Io(io::Error),
}

impl CliError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> i32 {
        match self {
            CliError::Usage(_) => 2,
            CliError::Failed(_) | CliError::Io(_) => 1,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Usage(text) => write!(f, "{text}"),
            CliError::Failed(text) => write!(f, "{text}"),
            CliError::Io(e) => write!(f, "can't write the output: {e}"),
        }
    }
}

impl From<lexopt::Error> for CliError {
    fn from(e: lexopt::Error) -> CliError {
        CliError::Usage(e.to_string())
    }
}

impl From<io::Error> for CliError {
    fn from(e: io::Error) -> CliError {
        CliError::Io(e)
    }
}

impl From<ValidationErrors> for CliError {
    fn from(errors: ValidationErrors) -> CliError {
        CliError::Failed(errors.to_string())
    }
}

impl<C: fmt::Display + Send + Sync + 'static> From<error_stack::Report<C>> for CliError {
    fn from(report: error_stack::Report<C>) -> CliError {
        CliError::Failed(report.current_context().to_string())
    }
}

/// Where and how a command prints its result.
#[derive(Clone, Copy, Debug, Default)]
pub struct Output {
    /// Whether to print JSON instead of text.
    pub json: bool,
}

impl Output {
    /// Prints a line of text, unless the output is JSON.
    pub fn print_line(&self, text: impl fmt::Display) -> CliResult {
        if !self.json {
            writeln!(io::stdout(), "{text}")?;
        }
        Ok(())
    }

    /// Prints a value as a line of JSON, if the output is JSON.
    pub fn print_json<T: Serialize>(&self, value: &T) -> CliResult {
        if self.json {
            let text = serde_json::to_string(value).unwrap_or_default();
            writeln!(io::stdout(), "{text}")?;
        }
        Ok(())
    }
}

/// Colors text green or red when standard output is a terminal and `NO_COLOR` is not set.
pub fn colorize(text: &str, is_good: bool) -> String {
    let plain = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
    if plain || !io::stdout().is_terminal() {
        return text.to_string();
    }
    let color = if is_good { 32 } else { 31 };
    format!("\x1b[{color}m{text}\x1b[0m")
}

/// The options for reaching a deployment as an operator.
#[derive(Clone, Debug, Default)]
pub struct AdminAccess {
    /// The admin address of an entry host.
    pub admin: Option<SocketAddr>,
    /// The folder that holds the operators' token.
    pub keys_folder: Option<PathBuf>,
}

impl AdminAccess {
    /// Parses the value of an option if it is one of these, and reports whether it was.
    pub fn parse_option(&mut self, name: &str, parser: &mut lexopt::Parser) -> CliResult<bool> {
        match name {
            "admin" => self.admin = Some(parser.value()?.parse()?),
            "keys" => self.keys_folder = Some(parser.value()?.into()),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Sends a request with the operators' token and returns the response, whatever its status except
    /// 401.
    pub fn send(&self, request: HttpRequest) -> CliResult<HttpResponse> {
        let Some(admin) = self.admin else {
            return Err(CliError::Usage("--admin ADDRESS is missing".to_string()));
        };
        let folder = self.keys_folder.as_deref().unwrap_or(Path::new("keys"));
        let token = credentials::read_token(folder)?;
        let request = request.header("authorization", &format!("Bearer {token}"));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let response = runtime.block_on(http::send(admin, request))?;
        if response.status == hyper::StatusCode::UNAUTHORIZED {
            return Err(CliError::Failed(problem_text(&response)));
        }
        Ok(response)
    }

    /// Sends a request and parses the response's JSON; a status other than 2xx is an error.
    pub fn fetch_json<T: serde::de::DeserializeOwned>(&self, request: HttpRequest) -> CliResult<T> {
        let response = self.send(request)?;
        if !response.status.is_success() {
            return Err(CliError::Failed(problem_text(&response)));
        }
        serde_json::from_slice(&response.body)
            .map_err(|e| CliError::Failed(format!("the answer can't be parsed: {e}")))
    }
}

fn problem_text(response: &HttpResponse) -> String {
    let parsed: Option<carobreel::entry::admin::Problem> =
        serde_json::from_slice(&response.body).ok();
    parsed.map_or_else(|| response.text(), |p| p.problem)
}

/// Options common to the commands.
#[derive(Clone, Debug, Default)]
pub struct CommonArgs {
    /// Where and how to print the result.
    pub output: Output,
    /// How to reach the deployment.
    pub access: AdminAccess,
}

/// An argument that isn't common to all commands.
#[derive(Clone, Debug)]
pub enum Arg {
    /// An option, by its name without dashes.
    Option(String),
    /// A positional argument.
    Positional(OsString),
}

/// Parses a command line; `parse_own` takes the command's own arguments and returns whether it
/// accepts them.
///
/// Returns `None` after printing the usage text for `--help`.
pub fn parse(
    argv: Vec<OsString>,
    usage: &str,
    mut parse_own: impl FnMut(&Arg, &mut lexopt::Parser) -> CliResult<bool>,
) -> CliResult<Option<CommonArgs>> {
    let mut common = CommonArgs::default();
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        let arg = match arg {
            lexopt::Arg::Short('h') => Arg::Option("help".to_string()),
            lexopt::Arg::Short(c) => Arg::Option(c.to_string()),
            lexopt::Arg::Long(name) => Arg::Option(name.to_string()),
            lexopt::Arg::Value(value) => Arg::Positional(value),
        };
        if let Arg::Option(name) = &arg {
            match name.as_str() {
                "help" => {
                    print!("{usage}");
                    return Ok(None);
                }
                "json" => {
                    common.output.json = true;
                    continue;
                }
                _ if common.access.parse_option(name, &mut parser)? => continue,
                _ => {}
            }
        }
        if !parse_own(&arg, &mut parser)? {
            return Err(CliError::Usage(format!("unexpected argument: {arg}")));
        }
    }
    Ok(Some(common))
}

impl fmt::Display for Arg {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Arg::Option(name) => write!(f, "--{name}"),
            Arg::Positional(value) => write!(f, "{}", value.to_string_lossy()),
        }
    }
}

/// Parses a command line whose only own argument is one positional argument.
pub fn parse_single_value(
    argv: Vec<OsString>,
    usage: &str,
    name: &str,
) -> CliResult<Option<(CommonArgs, OsString)>> {
    let mut single = None;
    let common = parse(argv, usage, |arg, _| {
        let Arg::Positional(value) = arg else {
            return Ok(false);
        };
        set_once(&mut single, value.clone(), name)?;
        Ok(true)
    })?;
    match common {
        Some(common) => Ok(Some((common, require(single, name)?))),
        None => Ok(None),
    }
}

/// Stores the value of an argument that may be given only once.
pub fn set_once<T>(slot: &mut Option<T>, value: T, name: &str) -> CliResult {
    if slot.is_some() {
        return Err(CliError::Usage(format!("more than one {name}")));
    }
    *slot = Some(value);
    Ok(())
}

/// Returns the value, or a usage error if it is missing.
pub fn require<T>(value: Option<T>, name: &str) -> CliResult<T> {
    value.ok_or_else(|| CliError::Usage(format!("{name} is missing")))
}
