//! The configuration document: services, their selectors, and labels attached to upstreams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::schema::{self, Faults, FileKind};
use crate::selector::{Labels, Selector};

/// Hash slots of a service that names no other number.
pub const SLOTS_DEFAULT: u32 = 4096;

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Which upstreams serve it.
    pub selector: Selector,
    /// Whether each key has one owner; otherwise any selected upstream answers.
    #[serde(default)]
    pub divided_by_key: bool,
    /// The number of hash slots; it can't be changed later.
    #[serde(default = "slots_default")]
    pub slots: u32,
    /// Allows a selector that matches no upstream.
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
/// let faults = Document::parse(r#"{"number": 0, "services": {"a": {"selector": "="}}}"#);
/// assert_eq!(faults.unwrap_err().0.len(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The number, one above the document before.
    pub number: u64,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// Labels that operators attach, by upstream name; they outrank the announced ones.
    #[serde(default)]
    pub labels: BTreeMap<String, Labels>,
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Every fault of the text, each with its place.
    pub fn parse(text: &str) -> Result<Document, Faults> {
        let value: Value = serde_json::from_str(text).map_err(|e| {
            let mut faults = Faults::default();
            faults.push("", format!("not JSON: {e}"));
            faults
        })?;
        let mut faults = schema::check(FileKind::Document, &value);
        check_selectors(&value, &mut faults);
        faults.into_result(())?;
        serde_json::from_value(value).map_err(|e| {
            let mut faults = Faults::default();
            faults.push("", e.to_string());
            faults
        })
    }

    /// Returns a digest that tells documents of equal number apart.
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(self).expect("documents always encode");
        xxh3_64(&text)
    }

    /// Returns an upstream's labels: the announced ones, then the operators'.
    pub fn effective_labels(&self, name: &str, announced: &Labels) -> Labels {
        let mut labels = announced.clone();
        if let Some(attached) = self.labels.get(name) {
            labels.extend(attached.clone());
        }
        labels
    }

    /// Tells whether `service` selects an upstream.
    pub fn selects(&self, service: &str, name: &str, announced: &Labels) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        service
            .selector
            .matches(&self.effective_labels(name, announced))
    }
}

fn check_selectors(value: &Value, faults: &mut Faults) {
    let Some(services) = value.get("services").and_then(Value::as_object) else {
        return;
    };
    for (name, service) in services {
        let Some(text) = service.get("selector").and_then(Value::as_str) else {
            continue;
        };
        if let Err(e) = text.parse::<Selector>() {
            faults.push(format!("/services/{name}/selector"), e.to_string());
        }
    }
}
