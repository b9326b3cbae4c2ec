//! Selectors over labels: `app=price, zone in (a, b), !drain`.
//!
//! A selector is a list of requirements that must all hold. The grammar is the one of Kubernetes
//! label selectors: `k=v`, `k==v`, `k!=v`, `k in (v, w)`, `k notin (v, w)`, `k` and `!k`. As there,
//! `!=` and `notin` also match a missing label.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Labels of one upstream.
pub type Labels = BTreeMap<String, String>;

/// One condition on one label.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// The label is there with one of the values.
    In(String, BTreeSet<String>),
    /// The label is missing or has none of the values.
    NotIn(String, BTreeSet<String>),
    /// The label is there.
    Exists(String),
    /// The label is missing.
    Missing(String),
}

impl Requirement {
    /// Tells whether `labels` meet the requirement.
    pub fn matches(&self, labels: &Labels) -> bool {
        match self {
            Requirement::In(key, values) => labels.get(key).is_some_and(|v| values.contains(v)),
            Requirement::NotIn(key, values) => labels.get(key).is_none_or(|v| !values.contains(v)),
            Requirement::Exists(key) => labels.contains_key(key),
            Requirement::Missing(key) => !labels.contains_key(key),
        }
    }
}

/// A list of requirements.
///
/// # Examples
///
/// ```
/// use carobreel::selector::{Labels, Selector};
///
/// let selector: Selector = "service=mapa-cortes, drain notin (yes)".parse().unwrap();
/// let mut labels = Labels::from([("service".to_string(), "mapa-cortes".to_string())]);
/// assert!(selector.matches(&labels));
/// labels.insert("drain".to_string(), "yes".to_string());
/// assert!(!selector.matches(&labels));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    requirements: Vec<Requirement>,
}

impl Selector {
    /// Tells whether `labels` meet all requirements.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements.iter().all(|r| r.matches(labels))
    }

    /// Returns the first requirement that `labels` don't meet.
    pub fn unmet(&self, labels: &Labels) -> Option<&Requirement> {
        self.requirements.iter().find(|r| !r.matches(labels))
    }
}

/// Where a selector's text is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectorError {
    /// The byte at which reading stopped.
    pub at: usize,
    /// What was expected there.
    pub expected: String,
}

impl fmt::Display for SelectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "selector, byte {}: expected {}", self.at, self.expected)
    }
}

impl std::error::Error for SelectorError {}

impl TryFrom<String> for Selector {
    type Error = SelectorError;

    fn try_from(text: String) -> Result<Selector, SelectorError> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> String {
        selector.to_string()
    }
}

impl FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Selector, SelectorError> {
        let mut scan = Scan { text, at: 0 };
        let mut requirements = Vec::new();
        scan.skip_space();
        if scan.is_end() {
            return Ok(Selector { requirements });
        }
        loop {
            requirements.push(scan.requirement()?);
            if scan.is_end() {
                return Ok(Selector { requirements });
            }
            scan.expect(",")?;
        }
    }
}

struct Scan<'a> {
    text: &'a str,
    at: usize,
}

impl Scan<'_> {
    fn rest(&self) -> &str {
        &self.text[self.at..]
    }

    fn is_end(&self) -> bool {
        self.rest().is_empty()
    }

    fn skip_space(&mut self) {
        let rest = self.rest();
        self.at += rest.len() - rest.trim_start().len();
    }

    fn take(&mut self, token: &str) -> bool {
        if !self.rest().starts_with(token) {
            return false;
        }
        self.at += token.len();
        self.skip_space();
        true
    }

    fn expect(&mut self, token: &str) -> Result<(), SelectorError> {
        if self.take(token) {
            return Ok(());
        }
        Err(self.error(&format!("'{token}'")))
    }

    fn error(&self, expected: &str) -> SelectorError {
        SelectorError {
            at: self.at,
            expected: expected.to_string(),
        }
    }

    fn word(&mut self, what: &str) -> Result<String, SelectorError> {
        let rest = self.rest();
        let end = rest
            .find(|c: char| !(c.is_alphanumeric() || "-_./".contains(c)))
            .unwrap_or(rest.len());
        if end == 0 {
            return Err(self.error(what));
        }
        let word = rest[..end].to_string();
        self.at += end;
        self.skip_space();
        Ok(word)
    }

    fn values(&mut self) -> Result<BTreeSet<String>, SelectorError> {
        self.expect("(")?;
        let mut values = BTreeSet::from([self.word("a value")?]);
        while self.take(",") {
            values.insert(self.word("a value")?);
        }
        self.expect(")")?;
        Ok(values)
    }

    fn requirement(&mut self) -> Result<Requirement, SelectorError> {
        if self.take("!") {
            return Ok(Requirement::Missing(self.word("a label")?));
        }
        let key = self.word("a label")?;
        if self.take("!=") {
            let value = self.word("a value")?;
            return Ok(Requirement::NotIn(key, BTreeSet::from([value])));
        }
        if self.take("==") || self.take("=") {
            let value = self.word("a value")?;
            return Ok(Requirement::In(key, BTreeSet::from([value])));
        }
        if self.is_end() || self.rest().starts_with(',') {
            return Ok(Requirement::Exists(key));
        }
        let at = self.at;
        match self.word("'=', '!=', 'in', 'notin' or ','")?.as_str() {
            "in" => Ok(Requirement::In(key, self.values()?)),
            "notin" => Ok(Requirement::NotIn(key, self.values()?)),
            _ => Err(SelectorError {
                at,
                expected: "'=', '!=', 'in', 'notin' or ','".to_string(),
            }),
        }
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |values: &BTreeSet<String>| {
            let values: Vec<&str> = values.iter().map(String::as_str).collect();
            values.join(", ")
        };
        match self {
            Requirement::In(key, values) => write!(f, "{key} in ({})", list(values)),
            Requirement::NotIn(key, values) => write!(f, "{key} notin ({})", list(values)),
            Requirement::Exists(key) => write!(f, "{key}"),
            Requirement::Missing(key) => write!(f, "!{key}"),
        }
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: Vec<String> = self.requirements.iter().map(|r| r.to_string()).collect();
        f.write_str(&all.join(", "))
    }
}
