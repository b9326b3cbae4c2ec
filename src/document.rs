//! The configuration document: services, their selectors and labels that operators attach to upstreams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::schema::{self, FileKind, ValidationErrors};
use crate::selector::{Labels, Selector};

/// Number of hash slots of a service that doesn't specify it.
pub const SLOTS_DEFAULT: u32 = 4096;

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Selects the upstreams that serve it.
    pub selector: Selector,
    /// Whether each key has exactly one owner; otherwise any selected upstream may answer.
    #[serde(default)]
    pub divided_by_key: bool,
    /// Number of hash slots; can't be changed later.
    #[serde(default = "slots_default")]
    pub slots: u32,
    /// Whether the selector may match no upstream.
    #[serde(default)]
    pub may_be_empty: bool,
}

fn slots_default() -> u32 {
    SLOTS_DEFAULT
}

/// A numbered configuration.
///
/// # Examples
///
/// ```
/// use carobreel::document::Document;
///
/// let text = r#"{"number": 1, "services": {"licencas": {"selector": "app=licencas"}}}"#;
/// let document = Document::parse(text).unwrap();
/// assert_eq!(document.number, 1);
///
/// let errors = Document::parse(r#"{"number": 0, "services": {"a": {"selector": "="}}}"#);
/// assert_eq!(errors.unwrap_err().0.len(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Number of the document; one higher than the previous document's.
    pub number: u64,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// Labels attached by operators, by upstream name; they override announced labels.
    #[serde(default)]
    pub labels: BTreeMap<String, Labels>,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// All errors in the text, each with its location.
    pub fn parse(text: &str) -> Result<Document, ValidationErrors> {
        let value: Value = serde_json::from_str(text).map_err(|e| {
            let mut errors = ValidationErrors::default();
            errors.push("", format!("not JSON: {e}"));
            errors
        })?;
        let mut errors = schema::check(FileKind::Document, &value);
        check_selectors(&value, &mut errors);
        errors.into_result(())?;
        serde_json::from_value(value).map_err(|e| {
            let mut errors = ValidationErrors::default();
            errors.push("", e.to_string());
            errors
        })
    }

    /// Returns a digest that distinguishes documents with the same number.
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(self).expect("documents must encode");
        xxh3_64(&text)
    }

    /// Returns the labels of an upstream: the announced ones, overridden by those that operators attached.
    pub fn effective_labels(&self, name: &str, announced: &Labels) -> Labels {
        let mut labels = announced.clone();
        if let Some(attached) = self.labels.get(name) {
            labels.extend(attached.clone());
        }
        labels
    }

    /// Reports whether `service` selects an upstream with this name and these announced labels.
    pub fn selects(&self, service: &str, name: &str, announced: &Labels) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        service
            .selector
            .matches(&self.effective_labels(name, announced))
    }
}

fn check_selectors(value: &Value, errors: &mut ValidationErrors) {
    let Some(services) = value.get("services").and_then(Value::as_object) else {
        return;
    };
    for (name, service) in services {
        let Some(text) = service.get("selector").and_then(Value::as_str) else {
            continue;
        };
        if let Err(e) = text.parse::<Selector>() {
            errors.push(format!("/services/{name}/selector"), e.to_string());
        }
    }
}
