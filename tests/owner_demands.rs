//! Tests what the leader infers from the counts and speeds that entry hosts report.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use carobreel::clock::Mono;
use carobreel::directory::inferred_limits::LimitChange;
use carobreel::directory::lessor::Lessor;
use carobreel::directory::model::{Incarnation, Phase, RouteConfig, Service, Upstream};
use carobreel::directory::protocol::UpstreamSpeed;
use carobreel::directory::state::{Command, State, StoredConfig};

const SERVICE: &str = "catalogue";
const SLOTS: u32 = 6;
const WORK_MS: u32 = 510;
const STEP_MS: u64 = 150;

fn upstream(n: u64) -> Upstream {
    Upstream {
        incarnation: Incarnation {
            id: format!("u{n}"),
            born_ms: n,
        },
        service: SERVICE.to_string(),
        address: SocketAddr::from(([10, 0, 0, n as u8], 80)),
        zone: "a".to_string(),
        version: "v1".to_string(),
        slots: SLOTS,
        phase: Phase::Ready,
        is_cold: false,
        cold_sequence: None,
    }
}

/// The leader's record for three owners, of which the first owns keys 0 to 19,999.
struct Leadership {
    state: State,
    lessor: Lessor,
    now: Mono,
    live: Vec<u64>,
}

impl Leadership {
    fn new() -> Leadership {
        let service = Service {
            health_path: "/health".to_string(),
            connections_max: 580,
            sharded: true,
            warmup_ms: 0,
            cold_start_ms: 0,
            cold_limit: None,
        };
        let config = RouteConfig {
            version: 1,
            services: BTreeMap::from([(SERVICE.to_string(), service)]),
            ..RouteConfig::default()
        };
        let stored = StoredConfig {
            config,
            source: Vec::new(),
        };
        let mut commands = vec![Command::Configure(Box::new(stored))];
        commands.extend((1..=3).map(|n| Command::Register(upstream(n))));
        let ranges = [(0, 19_999), (20_000, 39_999), (40_000, u16::MAX)];
        commands.extend((1..).zip(ranges).map(|(n, (from, to))| Command::Assign {
            service: SERVICE.to_string(),
            from,
            to,
            owner: upstream(n).incarnation,
        }));
        let mut state = State::default();
        for (index, command) in (1..).zip(commands) {
            state.apply(index, command);
        }
        Leadership {
            state,
            lessor: Lessor::new(2_500, 1, Mono(1_000)),
            now: Mono(1_000),
            live: vec![1, 2, 3],
        }
    }

    fn report_speed(&mut self, n: u64, work_ms: u32) {
        self.lessor.add_speed(&UpstreamSpeed {
            upstream: format!("u{n}"),
            total_ms: work_ms * 20,
            answers: 20,
        });
    }

    fn report_counts(&mut self, counts: &[(u16, u32)]) {
        self.lessor.add_key_counts(SERVICE, counts);
    }

    /// Runs one planning round, and returns the limits that changed.
    fn plan(&mut self) -> Vec<LimitChange> {
        self.now = self.now.plus(STEP_MS);
        for n in &self.live {
            let incarnation = upstream(*n).incarnation;
            self.lessor.record_announcement(&incarnation, self.now);
        }
        self.lessor.step(&self.state, self.now, false);
        // The first step only issues fencing tokens anew.
        self.lessor.step(&self.state, self.now, false);
        let changes = self.lessor.infer_limits(&self.state, self.now);
        let again = self.lessor.infer_limits(&self.state, self.now);
        assert_eq!(again, [], "once in each round");
        changes
    }
}

#[test]
fn an_owner_whose_keys_get_more_than_it_can_serve_gets_a_limit_until_it_is_silent() {
    let mut leadership = Leadership::new();
    for n in 1..=3 {
        leadership.report_speed(n, WORK_MS);
    }
    leadership.report_counts(&[(7, 180), (8, 180), (25_000, 6), (50_000, 6)]);
    let changes = leadership.plan();
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].upstream.id, "u1");
    // 0.9 of 6 slots at 510 ms.
    let limit = changes[0].limit.unwrap().milli_per_s();
    assert!((10_500..=10_700).contains(&limit), "{limit}");
    // The owner is lost while the requests go on.
    leadership.live = vec![2, 3];
    let mut ended = Vec::new();
    for _ in 0..16 {
        leadership.report_counts(&[(7, 54)]);
        leadership.report_speed(2, WORK_MS);
        ended.extend(leadership.plan());
    }
    assert_eq!(ended.len(), 1, "{ended:?}");
    assert_eq!(
        (ended[0].upstream.id.as_str(), ended[0].limit),
        ("u1", None)
    );
}

#[test]
fn a_time_far_above_the_service_s_counts_as_three_times_that() {
    let mut leadership = Leadership::new();
    leadership.report_speed(1, 30 * WORK_MS);
    leadership.report_speed(2, WORK_MS);
    leadership.report_speed(3, WORK_MS);
    leadership.report_counts(&[(7, 400)]);
    let demands = leadership
        .lessor
        .owner_demands(&leadership.state, Mono(1_000));
    let first = demands.iter().find(|d| d.owner.id == "u1").unwrap();
    let mean_ms = f64::from(WORK_MS) * 32.0 / 3.0;
    let lowest = f64::from(SLOTS) * 1_000.0 / (3.0 * mean_ms);
    assert!(first.capacity_per_s >= lowest, "{first:?}");
}

/// With many ranges, counts decay less often than planning rounds come. A demand that was read between two decays
/// appeared higher than it is, and an owner that could nearly serve it got a limit.
#[test]
fn a_demand_near_the_capacity_infers_no_limit_however_many_ranges_there_are() {
    const SPLIT_RANGES: u16 = 2_400;
    // 6 slots at 51 ms serve 118 a second; 20 requests in each step are 133.
    const QUICK_MS: u32 = 51;
    let mut leadership = Leadership::new();
    for n in 0..SPLIT_RANGES {
        let key = 20_000 + 2 * n;
        let command = Command::Assign {
            service: SERVICE.to_string(),
            from: key,
            to: key,
            owner: upstream(2).incarnation,
        };
        leadership.state.apply(100 + u64::from(n), command);
    }
    let mut changes = Vec::new();
    for _ in 0..40 {
        for n in 1..=3 {
            leadership.report_speed(n, QUICK_MS);
        }
        leadership.report_counts(&[(7, 20)]);
        // A leader with its lease derives the renewals, whose number sets the interval of load plans.
        leadership
            .lessor
            .step(&leadership.state, leadership.now, true);
        changes.extend(leadership.plan());
    }
    assert_eq!(changes, []);
}

#[test]
fn nothing_is_inferred_without_measured_times() {
    let mut leadership = Leadership::new();
    leadership.report_counts(&[(7, 400)]);
    assert_eq!(leadership.plan(), []);
}
