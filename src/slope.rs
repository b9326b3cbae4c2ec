//! Measures what one step of control costs at several sizes and fits a straight line.

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
const SLOTS: [usize; 3] = [4_096, 16_384, 65_536];
const UPSTREAMS: [usize; 4] = [32, 128, 512, 2_048];
const ROUTERS: [usize; 3] = [8, 88, 700];
const CLAIMS: [usize; 3] = [20_000, 80_000, 320_000];
const MOVES: [usize; 3] = [16, 256, 2_048];
const PINS: [usize; 3] = [4, 16, 64];
const LABELS: [usize; 3] = [10, 100, 1_000];
/// Each step is repeated until it took this long, in microseconds.
const MEASURE_US: u128 = 60_000;

/// One size and what it cost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The cost.
    pub cost: f64,
}

/// A straight line through measured points.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// What was measured.
    pub name: String,
    /// What the size counts.
    pub per: String,
    /// The unit of the cost.
    pub unit: String,
    /// The cost at size 0.
    pub base: f64,
    /// The cost of one more.
    pub each: f64,
    /// The largest distance of a point from the line, as a share of the point's cost.
    pub residual: f64,
    /// The points.
    pub points: Vec<Point>,
}

/// Fits a line by least squares.
///
/// # Examples
///
/// ```
/// use carobreel::slope::{fit, Point};
///
/// let points = [(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)].map(|(size, cost)| Point { size, cost });
/// let line = fit("step", "item", "us", &points);
/// assert!((line.each - 2.0).abs() < 1e-9 && line.residual < 1e-9);
/// ```
pub fn fit(name: &str, per: &str, unit: &str, points: &[Point]) -> Slope {
    let n = points.len() as f64;
    let mean_size = points.iter().map(|p| p.size).sum::<f64>() / n;
    let mean_cost = points.iter().map(|p| p.cost).sum::<f64>() / n;
    let together = |p: &Point| (p.size - mean_size) * (p.cost - mean_cost);
    let spread = |p: &Point| (p.size - mean_size).powi(2);
    let each = points.iter().map(together).sum::<f64>() / points.iter().map(spread).sum::<f64>();
    let base = mean_cost - each * mean_size;
    let distance = |p: &Point| ((base + each * p.size) - p.cost).abs() / p.cost.max(1e-9);
    Slope {
        name: name.to_string(),
        per: per.to_string(),
        unit: unit.to_string(),
        base,
        each,
        residual: points.iter().map(distance).fold(0.0, f64::max),
        points: points.to_vec(),
    }
}

/// Measures every slope.
pub fn measure_all() -> Vec<Slope> {
    vec![
        over("claims", "claim", "bytes of memory", &CLAIMS, claim_memory),
        over("state", "slot", "bytes of memory", &SLOTS, |n| {
            state_memory(n, 64)
        }),
        over("decide", "slot", "us", &SLOTS, |n| decide_us(n, 64)),
        over("decide", "upstream", "us", &UPSTREAMS, |n| {
            decide_us(4_096, n)
        }),
        over(
            "renewal without news",
            "entry host",
            "us",
            &ROUTERS,
            renewal_us,
        ),
        over("grant without news", "upstream", "us", &UPSTREAMS, grant_us),
        over("update", "moved slot", "bytes", &MOVES, update_bytes),
        over("update", "pinned key", "bytes", &PINS, pin_bytes),
        over("table", "slot", "us to apply", &SLOTS, table_us),
        over("snapshot", "slot", "bytes", &SLOTS, |n| {
            snapshot_bytes(n, 64)
        }),
        over("snapshot", "upstream", "bytes", &UPSTREAMS, |n| {
            snapshot_bytes(4_096, n)
        }),
        over("snapshot", "slot", "us to encode", &SLOTS, snapshot_us),
        over(
            "document",
            "labelled upstream",
            "bytes",
            &LABELS,
            document_bytes,
        ),
        over(
            "document",
            "labelled upstream",
            "us to install",
            &LABELS,
            install_us,
        ),
        over("all claims", "claim", "us", &CLAIMS, claims_us),
        over("owner look-up", "slot", "us", &SLOTS, lookup_us),
        over("busiest keys", "distinct key", "us", &SLOTS, sketch_us),
    ]
}

fn over(name: &str, per: &str, unit: &str, sizes: &[usize], cost: impl Fn(usize) -> f64) -> Slope {
    let point = |size: &usize| Point {
        size: *size as f64,
        cost: cost(*size),
    };
    let points: Vec<Point> = sizes.iter().map(point).collect();
    fit(name, per, unit, &points)
}

/// Returns the mean time of a step, in microseconds.
fn time_us(mut step: impl FnMut()) -> f64 {
    step();
    let began = Instant::now();
    let mut times = 0;
    while times < 3 || began.elapsed().as_micros() < MEASURE_US {
        step();
        times += 1;
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(times)
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

fn owned(slots: usize, upstreams: usize) -> State {
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

fn leader() -> Ownership {
    let region = RegionPosition { index: 0, count: 1 };
    Ownership::new(LeaseTiming::from(Timing::default()), region, Mono(0))
}

fn router(n: usize) -> RouterId {
    RouterId {
        host: format!("e-{n}"),
        instance: 1,
    }
}

fn decide_us(slots: usize, upstreams: usize) -> f64 {
    let state = owned(slots, upstreams);
    let mut ownership = leader();
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
    time_us(|| {
        black_box(ownership.next_commands(&state, now));
    })
}

fn renewal_us(routers: usize) -> f64 {
    let state = owned(4_096, 64);
    let mut ownership = leader();
    for n in 0..routers {
        ownership.renew_route(router(n), state.version, Mono(0));
    }
    let mut turn = 0;
    time_us(|| {
        turn += 1;
        ownership.renew_route(router(turn % routers), state.version, Mono(1));
        black_box(state.update_since(state.version));
    })
}

fn grant_us(upstreams: usize) -> f64 {
    let state = owned(4_096, upstreams);
    let mut ownership = leader();
    let ids: Vec<UpstreamId> = state.upstreams.keys().copied().collect();
    let mut turn = 0;
    time_us(|| {
        turn += 1;
        let id = ids[turn % ids.len()];
        black_box(ownership.renew_grant(&state, id, state.version, Mono(1)));
    })
}

fn encoded<T: Serialize>(value: &T) -> f64 {
    postcard::to_stdvec(value).map_or(0, |b| b.len()) as f64
}

fn update_bytes(moves: usize) -> f64 {
    let mut state = owned(4_096, 64);
    let version = state.version;
    state.apply(Command::Freeze(SlotList {
        service: SERVICE.to_string(),
        slots: (0..moves).map(|n| SlotId(n as u32)).collect(),
    }));
    let mut update = state.update_since(version);
    update.upstreams.clear();
    encoded(&update)
}

fn pin_bytes(pins: usize) -> f64 {
    let mut state = owned(4_096, 64);
    let version = state.version;
    for n in 0..pins {
        state.apply(Command::Pin(ServiceKey {
            service: SERVICE.to_string(),
            key: KeyHash::of(&n.to_string()),
        }));
    }
    let mut update = state.update_since(version);
    update.upstreams.clear();
    encoded(&update)
}

fn table_us(slots: usize) -> f64 {
    let update = owned(slots, 64).update_since(0);
    time_us(|| {
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
    const COPIES: usize = 64;
    let state = owned(slots, upstreams);
    let before = resident_bytes();
    let copies: Vec<State> = (0..COPIES).map(|_| state.clone()).collect();
    let after = resident_bytes();
    // Freed memory stays resident and would hide the next point's.
    std::mem::forget(copies);
    ((after - before) / COPIES as f64).max(1.0)
}

fn snapshot_bytes(slots: usize, upstreams: usize) -> f64 {
    encoded(&owned(slots, upstreams))
}

fn snapshot_us(slots: usize) -> f64 {
    let state = owned(slots, 64);
    time_us(|| {
        black_box(postcard::to_stdvec(&state).ok());
    })
}

fn document_bytes(labelled: usize) -> f64 {
    encoded(&document(2, 4_096, labelled))
}

fn install_us(labelled: usize) -> f64 {
    let state = owned(4_096, 64);
    let document = document(2, 4_096, labelled);
    time_us(|| {
        let mut state = state.clone();
        state.apply(Command::Install(document.clone()));
        black_box(state.eligible_upstreams(SERVICE));
    })
}

fn filled(claims: usize) -> ClaimReplica {
    let mut keeper = ClaimReplica::new(600_000, Mono(0), true);
    for n in 0..claims {
        let req = ClaimRequest {
            id: ClaimId::of(SERVICE, &n.to_string()),
            token: n as u64,
            digest: 1,
        };
        keeper.claim(req, Mono(n as u64 / 100));
    }
    keeper
}

fn claim_memory(claims: usize) -> f64 {
    let before = resident_bytes();
    let keeper = filled(claims);
    let after = resident_bytes();
    std::mem::forget(keeper);
    (after - before).max(1.0)
}

fn claims_us(claims: usize) -> f64 {
    let began = Instant::now();
    black_box(filled(claims).len());
    began.elapsed().as_secs_f64() * 1e6
}

fn lookup_us(slots: usize) -> f64 {
    let mut table = RoutingTable::default();
    let _ = table.apply(owned(slots, 64).update_since(0));
    let keys: Vec<KeyHash> = (0..1_000)
        .map(|n| KeyHash::of(&format!("key-{n}")))
        .collect();
    let all = time_us(|| {
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
    time_us(|| {
        let mut sketch = SpaceSavingSketch::new(64);
        for key in &keys {
            sketch.count(*key);
        }
        black_box(sketch.take_top(16));
    })
}
