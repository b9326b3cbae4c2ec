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
    pub fn first_unmet(&self, labels: &Labels) -> Option<&Requirement> {
        self.requirements.iter().find(|r| !r.matches(labels))
    }
}

/// Where a selector's text is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectorError {
    /// The byte at which reading stopped.
    pub offset: usize,
    /// What was expected there.
    pub expected: String,
}

impl fmt::Display for SelectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "selector, byte {}: expected {}",
            self.offset, self.expected
        )
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
        let mut parser = Parser { text, offset: 0 };
        let mut requirements = Vec::new();
        parser.skip_space();
        if parser.is_end() {
            return Ok(Selector { requirements });
        }
        loop {
            requirements.push(parser.parse_requirement()?);
            if parser.is_end() {
                return Ok(Selector { requirements });
            }
            parser.expect(",")?;
        }
    }
}

struct Parser<'a> {
    text: &'a str,
    offset: usize,
}

impl Parser<'_> {
    fn rest(&self) -> &str {
        &self.text[self.offset..]
    }

    fn is_end(&self) -> bool {
        self.rest().is_empty()
    }

    fn skip_space(&mut self) {
        let rest = self.rest();
        self.offset += rest.len() - rest.trim_start().len();
    }

    fn consume(&mut self, token: &str) -> bool {
        if !self.rest().starts_with(token) {
            return false;
        }
        self.offset += token.len();
        self.skip_space();
        true
    }

    fn expect(&mut self, token: &str) -> Result<(), SelectorError> {
        if self.consume(token) {
            return Ok(());
        }
        Err(self.error(&format!("'{token}'")))
    }

    fn error(&self, expected: &str) -> SelectorError {
        SelectorError {
            offset: self.offset,
            expected: expected.to_string(),
        }
    }

    fn parse_word(&mut self, expected: &str) -> Result<String, SelectorError> {
        let rest = self.rest();
        let end = rest
            .find(|c: char| !(c.is_alphanumeric() || "-_./".contains(c)))
            .unwrap_or(rest.len());
        if end == 0 {
            return Err(self.error(expected));
        }
        let word = rest[..end].to_string();
        self.offset += end;
        self.skip_space();
        Ok(word)
    }

    fn parse_values(&mut self) -> Result<BTreeSet<String>, SelectorError> {
        self.expect("(")?;
        let mut values = BTreeSet::from([self.parse_word("a value")?]);
        while self.consume(",") {
            values.insert(self.parse_word("a value")?);
        }
        self.expect(")")?;
        Ok(values)
    }

    fn parse_requirement(&mut self) -> Result<Requirement, SelectorError> {
        if self.consume("!") {
            return Ok(Requirement::Missing(self.parse_word("a label")?));
        }
        let key = self.parse_word("a label")?;
        if self.consume("!=") {
            let value = self.parse_word("a value")?;
            return Ok(Requirement::NotIn(key, BTreeSet::from([value])));
        }
        if self.consume("==") || self.consume("=") {
            let value = self.parse_word("a value")?;
            return Ok(Requirement::In(key, BTreeSet::from([value])));
        }
        if self.is_end() || self.rest().starts_with(',') {
            return Ok(Requirement::Exists(key));
        }
        let offset = self.offset;
        match self.parse_word("'=', '!=', 'in', 'notin' or ','")?.as_str() {
            "in" => Ok(Requirement::In(key, self.parse_values()?)),
            "notin" => Ok(Requirement::NotIn(key, self.parse_values()?)),
            _ => Err(SelectorError {
                offset,
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
