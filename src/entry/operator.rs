//! Operators' work: looking at the cells, planning a document, bringing it into force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::cell::request::{Inspection, LeaderRequest, Reply};
use crate::cell::state::{eligible_upstreams, Command, Outcome, SlotPhase, State, UpstreamId};
use crate::client::CellClient;
use crate::control::install::install;
use crate::document::Document;
use crate::schema::Faults;
use crate::settings::Deployment;

/// How long a cell may take to answer before it counts as out of reach.
const CELL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// When to come back after a refusal for want of a cell, in milliseconds.
const RETRY_AFTER_MS: u64 = 2_000;

/// What became of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ApplyResult {
    /// Every cell holds it.
    Accepted {
        /// Its number.
        number: u64,
    },
    /// It won its number and is being brought to these cells; it will not be undone.
    Pending {
        /// Its number.
        number: u64,
        /// Cells that are not known to hold it yet.
        missing: Vec<String>,
    },
    /// Another document has the number.
    Conflict {
        /// The number.
        number: u64,
        /// The winner's digest.
        winner: String,
        /// This document's digest.
        yours: String,
    },
    /// The number isn't the next one.
    WrongNumber {
        /// The next free number.
        next: u64,
    },
    /// The text isn't a document.
    Faulty {
        /// Every fault with its place.
        faults: Vec<String>,
    },
    /// A selector matches no upstream, and the document doesn't allow that.
    Empty {
        /// The services.
        services: Vec<String>,
    },
    /// A cell can't be reached; nothing changed.
    Unreachable {
        /// The cells.
        cells: Vec<String>,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What a document would change for one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Upstreams that it would select.
    pub selected: BTreeSet<String>,
    /// Upstreams that would be added.
    pub added: BTreeSet<String>,
    /// Upstreams that would be removed.
    pub removed: BTreeSet<String>,
    /// Slots of a keyed service.
    pub slots: u64,
    /// Slots that would change owner.
    pub moving: u64,
}

/// What a document would change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanResult {
    /// By service.
    pub services: BTreeMap<String, ServicePlan>,
    /// Cells that couldn't be asked.
    pub unreachable: Vec<String>,
}

/// Does operators' work; clones share the connections.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    cells: Arc<Vec<CellClient>>,
    deployment: Arc<Deployment>,
}

impl OperatorApi {
    /// Returns an operator's hand over all cells.
    pub fn new(cells: Vec<CellClient>, deployment: Arc<Deployment>) -> OperatorApi {
        OperatorApi {
            cells: Arc::new(cells),
            deployment,
        }
    }

    /// Looks at every cell; `None` for those that can't be reached.
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

    /// Brings a document into force in every cell.
    pub async fn apply(&self, text: &str) -> ApplyResult {
        let document = match Document::parse(text) {
            Ok(document) => document,
            Err(faults) => return faulty_document(&faults),
        };
        let inspections = self.inspect_all().await;
        let missing: Vec<String> = unreachable(&inspections);
        if !missing.is_empty() {
            return ApplyResult::Unreachable {
                cells: missing,
                retry_after_ms: RETRY_AFTER_MS,
            };
        }
        let faults = slot_count_faults(&document, &inspections);
        if !faults.0.is_empty() {
            return faulty_document(&faults);
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

    /// Tells what a document would change.
    pub async fn plan(&self, text: &str) -> Result<PlanResult, ApplyResult> {
        let document = Document::parse(text).map_err(|faults| faulty_document(&faults))?;
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

    /// Asks the first cell for the document's number; `None` when it has it.
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

fn faulty_document(faults: &Faults) -> ApplyResult {
    ApplyResult::Faulty {
        faults: faults.0.iter().map(|f| f.to_string()).collect(),
    }
}

/// Returns a fault for each keyed service whose number of slots would change.
fn slot_count_faults(
    document: &Document,
    inspections: &BTreeMap<String, Option<Inspection>>,
) -> Faults {
    let mut faults = Faults::default();
    for (name, service) in &document.services {
        let mut divisions = inspections
            .values()
            .flatten()
            .filter_map(|i| i.state.slot_tables.get(name));
        let Some(division) = divisions.next() else {
            continue;
        };
        if division.hash_slot_count != service.slots {
            let message = format!(
                "expected {}: slots can't be changed",
                division.hash_slot_count
            );
            faults.push(format!("/services/{name}/slots"), message);
        }
    }
    faults
}

fn unreachable(inspections: &BTreeMap<String, Option<Inspection>>) -> Vec<String> {
    let missing = inspections.iter().filter(|(_, i)| i.is_none());
    missing.map(|(cell, _)| cell.clone()).collect()
}

/// Returns the services that a document would leave without upstreams.
///
/// A service that has none under the present document may stay so, and before any upstream has
/// announced itself nothing can be told.
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
        let Some(division) = state.slot_tables.get(name) else {
            continue;
        };
        for (_, slot) in division.slots_of_region(home.0, home.1) {
            service_plan.slots += 1;
            let keeps_owner = slot.phase == SlotPhase::Held && after.contains(&slot.owner);
            service_plan.moving += u64::from(!keeps_owner);
        }
    }
}
