//! Validates JSON files against their schemas and reports all errors at once.

use std::fmt;

use jsonschema::Validator;
use serde_json::Value;

const DEPLOYMENT_SCHEMA: &str = include_str!("schema/deployment.json");
const PROCESS_SCHEMA: &str = include_str!("schema/process.json");
const DOCUMENT_SCHEMA: &str = include_str!("schema/document.json");

/// Kinds of JSON files that carobreel reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of a deployment: regions, hosts and cells.
    Deployment,
    /// Settings of one process.
    Process,
    /// A configuration document: services, selectors and labels.
    Document,
}

impl FileKind {
    /// Returns the kind by looking for fields that only one kind has.
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

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Location in the file as a JSON pointer; empty for the whole file.
    pub path: String,
    /// Description of the error and of what is expected.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "/"
        } else {
            &self.path
        };
        write!(f, "{path}: {}", self.message)
    }
}

/// All errors in a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl ValidationErrors {
    /// Adds an error.
    pub fn push(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(ValidationError {
            path: path.into(),
            message: message.into(),
        });
    }

    /// Returns `value` if there are no errors, otherwise the errors.
    pub fn into_result<T>(self, value: T) -> Result<T, ValidationErrors> {
        if self.0.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(|error| error.to_string()).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ValidationErrors {}

/// Returns all errors of `value` with regard to the schema of its kind.
pub fn check(kind: FileKind, value: &Value) -> ValidationErrors {
    let schema: Value =
        serde_json::from_str(kind.schema_text()).expect("built-in schemas must be JSON");
    let validator: Validator =
        jsonschema::validator_for(&schema).expect("built-in schemas must be valid");
    let mut errors = ValidationErrors::default();
    for error in validator.iter_errors(value) {
        errors.push(error.instance_path().to_string(), error.to_string());
    }
    errors
}

/// Parses and validates a file's text; text that isn't JSON is reported as a single error.
pub fn parse(kind: FileKind, text: &str) -> Result<Value, ValidationErrors> {
    let value: Value = serde_json::from_str(text).map_err(|e| {
        let mut errors = ValidationErrors::default();
        errors.push("", format!("not JSON: {e}"));
        errors
    })?;
    let errors = check(kind, &value);
    errors.into_result(value)
}
