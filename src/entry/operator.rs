//! Serves operators: inspects the cells, plans a document, brings a document into force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::cell::request::{Inspection, LeaderRequest, Reply};
use crate::cell::state::{eligible_upstreams, Command, Outcome, SlotPhase, State, UpstreamId};
use crate::client::CellClient;
use crate::control::install::install;
use crate::document::Document;
use crate::schema::ValidationErrors;
use crate::settings::Deployment;

/// How long a cell may take to answer before it counts as unreachable.
const CELL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The retry-after time when a cell is unreachable, in milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;

/// The result of applying a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ApplyResult {
    /// Every cell has installed the document.
    Accepted {
        /// The document's number.
        number: u64,
    },
    /// The document was decided under its number, and some cells aren't known to have installed it;
    /// the decision won't be undone. Also returned when the first cell didn't answer, so that it
    /// isn't known whether the document was decided.
    Pending {
        /// The document's number.
        number: u64,
        /// The cells that aren't known to have installed it yet.
        missing: Vec<String>,
    },
    /// Another document was decided under the number.
    Conflict {
        /// The number of both documents.
        number: u64,
        /// The digest of the decided document, in hexadecimal.
        winner: String,
        /// The digest of this document, in hexadecimal.
        yours: String,
    },
    /// The number isn't the next free one.
    WrongNumber {
        /// The next free number.
        next: u64,
    },
    /// The text isn't a valid document.
    Faulty {
        /// All faults, each with its path in the document.
        faults: Vec<String>,
    },
    /// A selector matches no upstream, and the document doesn't allow that.
    Empty {
        /// The services whose selectors match none.
        services: Vec<String>,
    },
    /// A cell can't be reached; nothing was changed.
    Unreachable {
        /// The cells that can't be reached.
        cells: Vec<String>,
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The changes that a document would make to one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// The upstreams that would be selected.
    pub selected: BTreeSet<String>,
    /// The upstreams that would be added.
    pub added: BTreeSet<String>,
    /// The upstreams that would be removed.
    pub removed: BTreeSet<String>,
    /// The number of slots of a keyed service.
    pub slots: u64,
    /// The number of slots that would change owner.
    pub moving: u64,
}

/// The changes that a document would make.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanResult {
    /// The changes by service.
    pub services: BTreeMap<String, ServicePlan>,
    /// The cells that couldn't be reached; their part is missing.
    pub unreachable: Vec<String>,
}

/// Serves operators' requests; clones share the connections.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    cells: Arc<Vec<CellClient>>,
    deployment: Arc<Deployment>,
}

impl OperatorApi {
    /// Returns an API over `cells`, one for each region.
    pub fn new(cells: Vec<CellClient>, deployment: Arc<Deployment>) -> OperatorApi {
        OperatorApi {
            cells: Arc::new(cells),
            deployment,
        }
    }

    /// Returns the inspection of every cell, or `None` for a cell that can't be reached.
    pub async fn inspect_all(&self) -> BTreeMap<String, Option<Inspection>> {
        let asks = self.cells.iter().map(|cell| async move {
            let inspection = match cell.ask(LeaderRequest::Inspect, CELL_TIMEOUT).await {
                Ok(Reply::Inspected(inspection)) => Some(*inspection),
                _ => None,
            };
            (cell.cell().to_string(), inspection)
        });
        let all = futures_util::future::join_all(asks).await;
        all.into_iter().collect()
    }

    /// Decides a document in the first cell and installs it in all cells.
    pub async fn apply(&self, text: &str) -> ApplyResult {
        let document = match Document::parse(text) {
            Ok(document) => document,
            Err(errors) => return faulty_document(&errors),
        };
        let inspections = self.inspect_all().await;
        let missing: Vec<String> = unreachable(&inspections);
        if !missing.is_empty() {
            return ApplyResult::Unreachable {
                cells: missing,
                retry_after_ms: RETRY_AFTER_MS,
            };
        }
        let errors = slot_count_errors(&document, &inspections);
        if !errors.0.is_empty() {
            return faulty_document(&errors);
        }
        if !self.is_decided(&document, &inspections) {
            let empty = empty_services(&document, &inspections);
            if !empty.is_empty() {
                return ApplyResult::Empty { services: empty };
            }
        }
        match self.decide(&document).await {
            Some(refusal) => refusal,
            None => self.install_everywhere(&document).await,
        }
    }

    /// Returns what a document would change.
    pub async fn plan(&self, text: &str) -> Result<PlanResult, ApplyResult> {
        let document = Document::parse(text).map_err(|errors| faulty_document(&errors))?;
        let inspections = self.inspect_all().await;
        let mut plan = PlanResult {
            unreachable: unreachable(&inspections),
            ..PlanResult::default()
        };
        let regions = self.deployment.region_names();
        for (cell, inspection) in &inspections {
            let Some(inspection) = inspection else {
                continue;
            };
            let region = regions.iter().position(|r| r == cell).unwrap_or(0);
            let home = (region, regions.len());
            plan_cell(&document, &inspection.state, home, &mut plan);
        }
        Ok(plan)
    }

    fn is_decided(
        &self,
        document: &Document,
        inspections: &BTreeMap<String, Option<Inspection>>,
    ) -> bool {
        let first = self.cells.first().map(|c| c.cell().to_string());
        let inspection = first
            .and_then(|cell| inspections.get(&cell))
            .and_then(Option::as_ref);
        let Some(inspection) = inspection else {
            return false;
        };
        let decided = inspection.state.decided.get(&document.number);
        decided == Some(&document.digest())
    }

    /// Has the first cell decide the document under its number; returns `None` on success.
    async fn decide(&self, document: &Document) -> Option<ApplyResult> {
        let first = self.cells.first()?;
        let ask = LeaderRequest::Apply(Command::Decide(document.clone()));
        match first.ask(ask, CELL_TIMEOUT).await {
            Ok(Reply::Applied(Outcome::Done)) => None,
            Ok(Reply::Applied(Outcome::Conflict { winner })) => Some(ApplyResult::Conflict {
                number: document.number,
                winner: format!("{winner:016x}"),
                yours: format!("{:016x}", document.digest()),
            }),
            Ok(Reply::Applied(Outcome::WrongNumber { next })) => {
                Some(ApplyResult::WrongNumber { next })
            }
            _ => Some(ApplyResult::Pending {
                number: document.number,
                missing: self.cells.iter().map(|c| c.cell().to_string()).collect(),
            }),
        }
    }

    async fn install_everywhere(&self, document: &Document) -> ApplyResult {
        let installs = self.cells.iter().map(|cell| async move {
            let done = install(cell, document).await;
            (!done).then(|| cell.cell().to_string())
        });
        let all = futures_util::future::join_all(installs).await;
        let missing: Vec<String> = all.into_iter().flatten().collect();
        let number = document.number;
        if missing.is_empty() {
            return ApplyResult::Accepted { number };
        }
        ApplyResult::Pending { number, missing }
    }
}

fn faulty_document(errors: &ValidationErrors) -> ApplyResult {
    ApplyResult::Faulty {
        faults: errors.0.iter().map(|e| e.to_string()).collect(),
    }
}

/// Returns an error for each keyed service whose number of slots would change.
fn slot_count_errors(
    document: &Document,
    inspections: &BTreeMap<String, Option<Inspection>>,
) -> ValidationErrors {
    let mut errors = ValidationErrors::default();
    for (name, service) in &document.services {
        let mut slot_tables = inspections
            .values()
            .flatten()
            .filter_map(|i| i.state.slot_tables.get(name));
        let Some(slot_table) = slot_tables.next() else {
            continue;
        };
        if slot_table.hash_slot_count != service.slots {
            let message = format!(
                "expected {}: slots can't be changed",
                slot_table.hash_slot_count
            );
            errors.push(format!("/services/{name}/slots"), message);
        }
    }
    errors
}

fn unreachable(inspections: &BTreeMap<String, Option<Inspection>>) -> Vec<String> {
    let missing = inspections.iter().filter(|(_, i)| i.is_none());
    missing.map(|(cell, _)| cell.clone()).collect()
}

/// Returns the services that a document would leave without upstreams.
///
/// A service that has none under the current document may stay without. Until an upstream has
/// announced itself, this can't be checked, and none is returned.
fn empty_services(
    document: &Document,
    inspections: &BTreeMap<String, Option<Inspection>>,
) -> Vec<String> {
    let states: Vec<&State> = inspections.values().flatten().map(|i| &i.state).collect();
    if states.iter().all(|s| s.upstreams.is_empty()) {
        return Vec::new();
    }
    let is_empty = |name: &String| {
        let mut selected = states
            .iter()
            .map(|s| eligible_upstreams(document, &s.upstreams, name));
        selected.all(|ids| ids.is_empty())
    };
    let was_empty = |name: &String| {
        let known = states
            .iter()
            .any(|s| s.document.services.contains_key(name));
        known && states.iter().all(|s| s.eligible_upstreams(name).is_empty())
    };
    let services = document.services.iter().filter(|(_, s)| !s.may_be_empty);
    services
        .map(|(name, _)| name.clone())
        .filter(|name| is_empty(name) && !was_empty(name))
        .collect()
}

fn plan_cell(document: &Document, state: &State, home: (usize, usize), plan: &mut PlanResult) {
    let name_of = |id: &UpstreamId| {
        let upstream = state.upstreams.get(id);
        upstream.map_or(String::new(), |u| u.announcement.name.clone())
    };
    for (name, service) in &document.services {
        let after = eligible_upstreams(document, &state.upstreams, name);
        let before = state.eligible_upstreams(name);
        let service_plan = plan.services.entry(name.clone()).or_default();
        service_plan.selected.extend(after.iter().map(name_of));
        service_plan
            .added
            .extend(after.difference(&before).map(name_of));
        service_plan
            .removed
            .extend(before.difference(&after).map(name_of));
        if !service.divided_by_key {
            continue;
        }
        let Some(slot_table) = state.slot_tables.get(name) else {
            continue;
        };
        for (_, slot) in slot_table.slots_of_region(home.0, home.1) {
            service_plan.slots += 1;
            let keeps_owner = slot.phase == SlotPhase::Held && after.contains(&slot.owner);
            service_plan.moving += u64::from(!keeps_owner);
        }
    }
}
