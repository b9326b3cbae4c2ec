//! What the commands share: errors with exit codes, answers for people and scripts.

use std::ffi::OsString;
use std::fmt;
use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use carobreel::credentials;
use carobreel::http::{self, HttpRequest, HttpResponse};
use carobreel::schema::Faults;
use lexopt::ValueExt;
use serde::Serialize;

/// What a command comes to.
pub type CliResult<T = ()> = Result<T, CliError>;

/// Why a command didn't do what it was asked.
#[derive(Debug)]
pub enum CliError {
    /// The command line is wrong; the usage text is shown.
    Usage(String),
    /// Something was refused or is broken.
    Failed(String),
    /// The response can't be written.
    Io(io::Error),
}

impl CliError {
    /// Returns the process's exit code.
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
            CliError::Io(e) => write!(f, "can't write the answer: {e}"),
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

impl From<Faults> for CliError {
    fn from(faults: Faults) -> CliError {
        CliError::Failed(faults.to_string())
    }
}

impl<C: fmt::Display + Send + Sync + 'static> From<error_stack::Report<C>> for CliError {
    fn from(report: error_stack::Report<C>) -> CliError {
        CliError::Failed(report.current_context().to_string())
    }
}

/// Where answers go.
#[derive(Clone, Copy, Debug, Default)]
pub struct Output {
    /// For scripts instead of people.
    pub json: bool,
}

impl Output {
    /// Writes a line for people; nothing in JSON.
    pub fn print_line(&self, text: impl fmt::Display) -> CliResult {
        if !self.json {
            writeln!(io::stdout(), "{text}")?;
        }
        Ok(())
    }

    /// Writes a value for scripts; nothing for people.
    pub fn print_json<T: Serialize>(&self, value: &T) -> CliResult {
        if self.json {
            let text = serde_json::to_string(value).unwrap_or_default();
            writeln!(io::stdout(), "{text}")?;
        }
        Ok(())
    }
}

/// Marks text as good or bad on a terminal, unless `NO_COLOR` is set.
pub fn colorize(text: &str, is_good: bool) -> String {
    let plain = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
    if plain || !io::stdout().is_terminal() {
        return text.to_string();
    }
    let color = if is_good { 32 } else { 31 };
    format!("\x1b[{color}m{text}\x1b[0m")
}

/// Tells how to reach a deployment as an operator.
#[derive(Clone, Debug, Default)]
pub struct AdminAccess {
    /// Admin address of an entry host.
    pub admin: Option<SocketAddr>,
    /// The folder with the operators' token.
    pub keys: Option<PathBuf>,
}

impl AdminAccess {
    /// Takes an option when it is one of these, and tells whether it was.
    pub fn parse_option(&mut self, name: &str, parser: &mut lexopt::Parser) -> CliResult<bool> {
        match name {
            "admin" => self.admin = Some(parser.value()?.parse()?),
            "keys" => self.keys = Some(parser.value()?.into()),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Sends a request and returns the response, whatever its status.
    pub fn send(&self, request: HttpRequest) -> CliResult<HttpResponse> {
        let Some(admin) = self.admin else {
            return Err(CliError::Usage("--admin ADDRESS is missing".to_string()));
        };
        let folder = self.keys.as_deref().unwrap_or(Path::new("keys"));
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

    /// Sends a request and returns the response's JSON; other statuses than 2xx are refusals.
    pub fn fetch_json<T: serde::de::DeserializeOwned>(&self, request: HttpRequest) -> CliResult<T> {
        let response = self.send(request)?;
        if !response.status.is_success() {
            return Err(CliError::Failed(problem_text(&response)));
        }
        serde_json::from_slice(&response.body)
            .map_err(|e| CliError::Failed(format!("an answer that can't be read: {e}")))
    }
}

fn problem_text(response: &HttpResponse) -> String {
    let parsed: Option<carobreel::entry::admin::Problem> =
        serde_json::from_slice(&response.body).ok();
    parsed.map_or_else(|| response.text(), |p| p.problem)
}

/// What every command's line may ask for.
#[derive(Clone, Debug, Default)]
pub struct CommonArgs {
    /// Where answers go.
    pub output: Output,
    /// How to reach a deployment.
    pub access: AdminAccess,
}

/// One argument that isn't common to all commands.
#[derive(Clone, Debug)]
pub enum Arg {
    /// An option, by its name without dashes.
    Option(String),
    /// A free argument.
    Value(OsString),
}

/// Reads a command line; `parse_own` takes the command's own arguments and tells whether it knew them.
///
/// `None` comes back when the usage text was asked for and printed.
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
            lexopt::Arg::Value(value) => Arg::Value(value),
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
            Arg::Value(value) => write!(f, "{}", value.to_string_lossy()),
        }
    }
}

/// Reads a command line whose only own argument is one free one.
pub fn parse_single_value(
    argv: Vec<OsString>,
    usage: &str,
    name: &str,
) -> CliResult<Option<(CommonArgs, OsString)>> {
    let mut single = None;
    let common = parse(argv, usage, |arg, _| {
        let Arg::Value(value) = arg else {
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

/// Reads a command's only free argument.
pub fn set_once<T>(slot: &mut Option<T>, value: T, name: &str) -> CliResult {
    if slot.is_some() {
        return Err(CliError::Usage(format!("more than one {name}")));
    }
    *slot = Some(value);
    Ok(())
}

/// Returns a value or says that it is missing.
pub fn require<T>(value: Option<T>, name: &str) -> CliResult<T> {
    value.ok_or_else(|| CliError::Usage(format!("{name} is missing")))
}
