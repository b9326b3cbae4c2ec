//! Checks JSON files against their schemas and reports every fault at once.

use std::fmt;

use jsonschema::Validator;
use serde_json::Value;

const DEPLOYMENT_SCHEMA: &str = include_str!("schema/deployment.json");
const PROCESS_SCHEMA: &str = include_str!("schema/process.json");
const DOCUMENT_SCHEMA: &str = include_str!("schema/document.json");

/// The kinds of file that carobreel reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// Regions, hosts and cells of one deployment.
    Deployment,
    /// What one process needs to find its part in the deployment.
    Process,
    /// A configuration document: services, selectors and labels.
    Document,
}

impl FileKind {
    /// Guesses the kind from the fields that only that kind has.
    pub fn detect(value: &Value) -> FileKind {
        if value.get("control_hosts").is_some() || value.get("regions").is_some() {
            return FileKind::Deployment;
        }
        if value.get("keys_folder").is_some() || value.get("deployment").is_some() {
            return FileKind::Process;
        }
        FileKind::Document
    }

    fn schema_text(self) -> &'static str {
        match self {
            FileKind::Deployment => DEPLOYMENT_SCHEMA,
            FileKind::Process => PROCESS_SCHEMA,
            FileKind::Document => DOCUMENT_SCHEMA,
        }
    }
}

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The place in the file, as a JSON pointer; empty for the whole file.
    pub path: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "/"
        } else {
            &self.path
        };
        write!(f, "{path}: {}", self.message)
    }
}

/// Every fault of one file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault.
    pub fn push(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(Fault {
            path: path.into(),
            message: message.into(),
        });
    }

    /// Returns `value` when there is no fault.
    pub fn into_result<T>(self, value: T) -> Result<T, Faults> {
        if self.0.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(|fault| fault.to_string()).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

/// Returns every place where `value` differs from the schema of its kind.
pub fn check(kind: FileKind, value: &Value) -> Faults {
    let schema: Value =
        serde_json::from_str(kind.schema_text()).expect("built-in schemas are JSON");
    let validator: Validator =
        jsonschema::validator_for(&schema).expect("built-in schemas are valid");
    let mut faults = Faults::default();
    for error in validator.iter_errors(value) {
        faults.push(error.instance_path().to_string(), error.to_string());
    }
    faults
}

/// Parses a file's text and checks it; a file that isn't JSON is one fault.
pub fn parse(kind: FileKind, text: &str) -> Result<Value, Faults> {
    let value: Value = serde_json::from_str(text).map_err(|e| {
        let mut faults = Faults::default();
        faults.push("", format!("not JSON: {e}"));
        faults
    })?;
    let faults = check(kind, &value);
    faults.into_result(value)
}
