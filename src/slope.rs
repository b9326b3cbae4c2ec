//! Measures the cost of control operations at several sizes and fits a line to it.

use std::hint::black_box;
use std::time::Instant;

use serde::Serialize;

use crate::cell::loads::{LoadReport, SlotCount};
use crate::cell::ownership::{LeaseTiming, Ownership, RegionPosition};
use crate::cell::state::{
    Announcement, Assignment, Command, Outcome, RouterId, ServiceKey, SlotList, State, UpstreamId,
};
use crate::claim::{ClaimId, ClaimReplica, ClaimRequest};
use crate::clock::Mono;
use crate::document::Document;
use crate::entry::table::RoutingTable;
use crate::settings::Timing;
use crate::sketch::SpaceSavingSketch;
use crate::slot::{KeyHash, SlotId};

const SERVICE: &str = "mapa-cortes";
const SLOT_COUNTS: [usize; 3] = [4_096, 16_384, 65_536];
const UPSTREAM_COUNTS: [usize; 4] = [32, 128, 512, 2_048];
const ROUTER_COUNTS: [usize; 3] = [8, 88, 700];
const CLAIM_COUNTS: [usize; 3] = [20_000, 80_000, 320_000];
const MOVE_COUNTS: [usize; 3] = [16, 256, 2_048];
const PIN_COUNTS: [usize; 3] = [4, 16, 64];
const LABEL_COUNTS: [usize; 3] = [10, 100, 1_000];
/// Minimum time for which each operation is repeated, in microseconds.
const MEASURE_MIN_US: u128 = 60_000;

/// The cost measured at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The cost.
    pub cost: f64,
}

/// A line fitted to measured points.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// The operation that was measured.
    pub name: String,
    /// What the size counts.
    #[serde(rename = "per")]
    pub size_unit: String,
    /// The unit of the cost.
    #[serde(rename = "unit")]
    pub cost_unit: String,
    /// The cost at size 0.
    #[serde(rename = "base")]
    pub intercept: f64,
    /// The additional cost of one more item.
    #[serde(rename = "each")]
    pub slope: f64,
    /// The largest distance of a point from the line, as a share of the point's cost.
    pub residual: f64,
    /// The measured points.
    pub points: Vec<Point>,
}

/// Fits a line by least squares.
///
/// # Examples
///
/// ```
/// use carobreel::slope::{fit_line, Point};
///
/// let points = [(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)].map(|(size, cost)| Point { size, cost });
/// let line = fit_line("step", "item", "us", &points);
/// assert!((line.slope - 2.0).abs() < 1e-9 && line.residual < 1e-9);
/// ```
pub fn fit_line(name: &str, size_unit: &str, cost_unit: &str, points: &[Point]) -> LinearFit {
    let n = points.len() as f64;
    let mean_size = points.iter().map(|p| p.size).sum::<f64>() / n;
    let mean_cost = points.iter().map(|p| p.cost).sum::<f64>() / n;
    let size_cost_product = |p: &Point| (p.size - mean_size) * (p.cost - mean_cost);
    let squared_deviation = |p: &Point| (p.size - mean_size).powi(2);
    let slope = points.iter().map(size_cost_product).sum::<f64>()
        / points.iter().map(squared_deviation).sum::<f64>();
    let intercept = mean_cost - slope * mean_size;
    let relative_error =
        |p: &Point| ((intercept + slope * p.size) - p.cost).abs() / p.cost.max(1e-9);
    LinearFit {
        name: name.to_string(),
        size_unit: size_unit.to_string(),
        cost_unit: cost_unit.to_string(),
        intercept,
        slope,
        residual: points.iter().map(relative_error).fold(0.0, f64::max),
        points: points.to_vec(),
    }
}

/// Measures all operations and returns the fitted lines.
pub fn measure_all() -> Vec<LinearFit> {
    vec![
        measure(
            "claims",
            "claim",
            "bytes of memory",
            &CLAIM_COUNTS,
            claim_memory,
        ),
        measure("state", "slot", "bytes of memory", &SLOT_COUNTS, |n| {
            state_memory(n, 64)
        }),
        measure("decide", "slot", "us", &SLOT_COUNTS, |n| {
            next_commands_us(n, 64)
        }),
        measure("decide", "upstream", "us", &UPSTREAM_COUNTS, |n| {
            next_commands_us(4_096, n)
        }),
        measure(
            "renewal without news",
            "entry host",
            "us",
            &ROUTER_COUNTS,
            renewal_us,
        ),
        measure(
            "grant without news",
            "upstream",
            "us",
            &UPSTREAM_COUNTS,
            grant_us,
        ),
        measure("update", "moved slot", "bytes", &MOVE_COUNTS, update_bytes),
        measure("update", "pinned key", "bytes", &PIN_COUNTS, pin_bytes),
        measure("table", "slot", "us to apply", &SLOT_COUNTS, apply_table_us),
        measure("snapshot", "slot", "bytes", &SLOT_COUNTS, |n| {
            snapshot_bytes(n, 64)
        }),
        measure("snapshot", "upstream", "bytes", &UPSTREAM_COUNTS, |n| {
            snapshot_bytes(4_096, n)
        }),
        measure(
            "snapshot",
            "slot",
            "us to encode",
            &SLOT_COUNTS,
            snapshot_us,
        ),
        measure(
            "document",
            "labelled upstream",
            "bytes",
            &LABEL_COUNTS,
            document_bytes,
        ),
        measure(
            "document",
            "labelled upstream",
            "us to install",
            &LABEL_COUNTS,
            install_us,
        ),
        measure("all claims", "claim", "us", &CLAIM_COUNTS, add_claims_us),
        measure("owner look-up", "slot", "us", &SLOT_COUNTS, lookup_us),
        measure(
            "busiest keys",
            "distinct key",
            "us",
            &SLOT_COUNTS,
            sketch_us,
        ),
    ]
}

fn measure(
    name: &str,
    size_unit: &str,
    cost_unit: &str,
    sizes: &[usize],
    cost: impl Fn(usize) -> f64,
) -> LinearFit {
    let point = |size: &usize| Point {
        size: *size as f64,
        cost: cost(*size),
    };
    let points: Vec<Point> = sizes.iter().map(point).collect();
    fit_line(name, size_unit, cost_unit, &points)
}

/// Returns the mean run time of an operation, in microseconds.
fn mean_time_us(mut step: impl FnMut()) -> f64 {
    step();
    let started_at = Instant::now();
    let mut runs = 0;
    while runs < 3 || started_at.elapsed().as_micros() < MEASURE_MIN_US {
        step();
        runs += 1;
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

fn announcement(n: usize) -> Announcement {
    Announcement {
        name: format!("{SERVICE}-{n}"),
        instance: 1,
        address: ([127, 0, 0, 1], 9_000).into(),
        availability_zone: "norte-a".to_string(),
        labels: [("service".to_string(), SERVICE.to_string())].into(),
        slots: 3,
        connections: 110,
        checks_fences: true,
    }
}

fn document(number: u64, slots: usize, labelled: usize) -> Document {
    let text = format!(
        r#"{{"number": {number}, "services": {{"{SERVICE}":
        {{"selector": "service={SERVICE}, drain notin (yes)", "divided_by_key": true,
          "slots": {slots}}}}}}}"#
    );
    let mut document = Document::parse(&text).expect("the measured document is valid");
    for n in 0..labelled {
        let labels = [("rack".to_string(), format!("r{}", n % 40))];
        document
            .labels
            .insert(format!("{SERVICE}-{n}"), labels.into());
    }
    document
}

fn state_with_owners(slots: usize, upstreams: usize) -> State {
    let mut state = State::default();
    state.apply(Command::Install(document(1, slots, 0)));
    let mut ids: Vec<UpstreamId> = Vec::new();
    for n in 0..upstreams {
        if let Outcome::Announced(id) = state.apply(Command::Announce(announcement(n))) {
            ids.push(id);
        }
    }
    let assign = |n: usize| Assignment {
        service: SERVICE.to_string(),
        slot: SlotId(n as u32),
        owner: ids[n % ids.len()],
    };
    state.apply(Command::Assign((0..slots).map(assign).collect()));
    state
}

fn new_ownership() -> Ownership {
    let region = RegionPosition { index: 0, count: 1 };
    Ownership::new(LeaseTiming::from(Timing::default()), region, Mono(0))
}

fn router(n: usize) -> RouterId {
    RouterId {
        host: format!("e-{n}"),
        instance: 1,
    }
}

fn next_commands_us(slots: usize, upstreams: usize) -> f64 {
    let state = state_with_owners(slots, upstreams);
    let mut ownership = new_ownership();
    let count = |n: usize| SlotCount {
        slot: SlotId(n as u32),
        requests: 10,
    };
    ownership.record_load(&LoadReport {
        service: SERVICE.to_string(),
        slots: (0..slots).map(count).collect(),
        keys: Vec::new(),
    });
    for id in state.upstreams.keys() {
        ownership.renew_grant(&state, *id, state.version, Mono(0));
    }
    let now = Mono(1);
    mean_time_us(|| {
        black_box(ownership.next_commands(&state, now));
    })
}

fn renewal_us(routers: usize) -> f64 {
    let state = state_with_owners(4_096, 64);
    let mut ownership = new_ownership();
    for n in 0..routers {
        ownership.renew_route(router(n), state.version, Mono(0));
    }
    let mut iteration = 0;
    mean_time_us(|| {
        iteration += 1;
        ownership.renew_route(router(iteration % routers), state.version, Mono(1));
        black_box(state.update_since(state.version));
    })
}

fn grant_us(upstreams: usize) -> f64 {
    let state = state_with_owners(4_096, upstreams);
    let mut ownership = new_ownership();
    let ids: Vec<UpstreamId> = state.upstreams.keys().copied().collect();
    let mut iteration = 0;
    mean_time_us(|| {
        iteration += 1;
        let id = ids[iteration % ids.len()];
        black_box(ownership.renew_grant(&state, id, state.version, Mono(1)));
    })
}

fn encoded_bytes<T: Serialize>(value: &T) -> f64 {
    postcard::to_stdvec(value).map_or(0, |b| b.len()) as f64
}

fn update_bytes(moves: usize) -> f64 {
    let mut state = state_with_owners(4_096, 64);
    let version = state.version;
    state.apply(Command::Freeze(SlotList {
        service: SERVICE.to_string(),
        slots: (0..moves).map(|n| SlotId(n as u32)).collect(),
    }));
    let mut update = state.update_since(version);
    update.upstreams.clear();
    encoded_bytes(&update)
}

fn pin_bytes(pins: usize) -> f64 {
    let mut state = state_with_owners(4_096, 64);
    let version = state.version;
    for n in 0..pins {
        state.apply(Command::Pin(ServiceKey {
            service: SERVICE.to_string(),
            key: KeyHash::of(&n.to_string()),
        }));
    }
    let mut update = state.update_since(version);
    update.upstreams.clear();
    encoded_bytes(&update)
}

fn apply_table_us(slots: usize) -> f64 {
    let update = state_with_owners(slots, 64).update_since(0);
    mean_time_us(|| {
        let mut table = RoutingTable::default();
        let _ = table.apply(update.clone());
        black_box(table);
    })
}

/// Returns this process's resident memory, in bytes.
pub fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    let pages: f64 = pages.unwrap_or(0.0);
    pages * 4_096.0
}

fn state_memory(slots: usize, upstreams: usize) -> f64 {
    const COPY_COUNT: usize = 64;
    let state = state_with_owners(slots, upstreams);
    let before = resident_bytes();
    let copies: Vec<State> = (0..COPY_COUNT).map(|_| state.clone()).collect();
    let after = resident_bytes();
    // Freed memory would stay resident and hide the growth at the next point.
    std::mem::forget(copies);
    ((after - before) / COPY_COUNT as f64).max(1.0)
}

fn snapshot_bytes(slots: usize, upstreams: usize) -> f64 {
    encoded_bytes(&state_with_owners(slots, upstreams))
}

fn snapshot_us(slots: usize) -> f64 {
    let state = state_with_owners(slots, 64);
    mean_time_us(|| {
        black_box(postcard::to_stdvec(&state).ok());
    })
}

fn document_bytes(labelled: usize) -> f64 {
    encoded_bytes(&document(2, 4_096, labelled))
}

fn install_us(labelled: usize) -> f64 {
    let state = state_with_owners(4_096, 64);
    let document = document(2, 4_096, labelled);
    mean_time_us(|| {
        let mut state = state.clone();
        state.apply(Command::Install(document.clone()));
        black_box(state.eligible_upstreams(SERVICE));
    })
}

fn replica_with_claims(claims: usize) -> ClaimReplica {
    let mut replica = ClaimReplica::new(600_000, Mono(0), true);
    for n in 0..claims {
        let req = ClaimRequest {
            id: ClaimId::of(SERVICE, &n.to_string()),
            token: n as u64,
            digest: 1,
        };
        replica.claim(req, Mono(n as u64 / 100));
    }
    replica
}

fn claim_memory(claims: usize) -> f64 {
    let before = resident_bytes();
    let replica = replica_with_claims(claims);
    let after = resident_bytes();
    std::mem::forget(replica);
    (after - before).max(1.0)
}

fn add_claims_us(claims: usize) -> f64 {
    let started_at = Instant::now();
    black_box(replica_with_claims(claims).len());
    started_at.elapsed().as_secs_f64() * 1e6
}

fn lookup_us(slots: usize) -> f64 {
    let mut table = RoutingTable::default();
    let _ = table.apply(state_with_owners(slots, 64).update_since(0));
    let keys: Vec<KeyHash> = (0..1_000)
        .map(|n| KeyHash::of(&format!("key-{n}")))
        .collect();
    let all = mean_time_us(|| {
        for key in &keys {
            black_box(table.owner(SERVICE, *key));
        }
    });
    all / keys.len() as f64
}

fn sketch_us(distinct: usize) -> f64 {
    let keys: Vec<KeyHash> = (0..distinct)
        .map(|n| KeyHash::of(&format!("key-{n}")))
        .collect();
    mean_time_us(|| {
        let mut sketch = SpaceSavingSketch::new(64);
        for key in &keys {
            sketch.count(*key);
        }
        black_box(sketch.take_top(16));
    })
}
