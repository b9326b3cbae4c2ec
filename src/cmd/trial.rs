//! Compares strategies for placing keys and requests.

use std::ffi::OsString;

use carobreel::trial::request_placement::{
    self, RequestPlacementScenario, REQUEST_PLACEMENT_STRATEGIES,
};
use carobreel::trial::{run_trial, KeyPlacementScenario, KEY_PLACEMENT_STRATEGIES};
use lexopt::ValueExt;

use crate::cli::{parse, Arg, CliResult};

const USAGE: &str = "\
Compare strategies for placing keys and requests on upstreams, on the same seeded traffic.

Usage: carobreel trial [--json] [--seed N]

Options:
  --seed N   Seed of the traffic (default 1)

Examples:
  cargo run --release --bin carobreel -- trial
";

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut seed = 1;
    let common = parse(argv, USAGE, |arg, parser| {
        match arg {
            Arg::Option(name) if name == "seed" => seed = parser.value()?.parse()?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    let Some(common) = common else {
        return Ok(());
    };
    let output = common.output;
    output.print_line("| upstreams | Zipf | way | imbalance | floor | over the floor | churn when one leaves | keys of the leaver |")?;
    output.print_line("|---|---|---|---|---|---|---|---|")?;
    for upstreams in [16, 23] {
        for zipf in [0.8, 1.0] {
            let scenario = KeyPlacementScenario {
                upstreams,
                keys: 100_000,
                zipf,
                slots: 4_096,
                seed,
            };
            for strategy in KEY_PLACEMENT_STRATEGIES {
                let result = run_trial(strategy, &scenario);
                output.print_json(&(scenario, strategy, result))?;
                output.print_line(format!(
                    "| {upstreams} | {zipf} | {strategy:?} | {:.2} | {:.2} | {:.2} | {:.1}% | {:.1}% |",
                    result.imbalance,
                    result.imbalance_floor,
                    result.imbalance / result.imbalance_floor,
                    result.churn * 100.0,
                    result.leaver_share * 100.0
                ))?;
            }
        }
    }
    output.print_line("")?;
    output.print_line(
        "| entry hosts | way | wait ms | p50 ms | p99 ms | in time | busiest over mean |",
    )?;
    output.print_line("|---|---|---|---|---|---|---|")?;
    for hosts in [12, 92, 700] {
        let scenario = RequestPlacementScenario {
            hosts,
            upstreams: 89,
            slots: 3,
            waiting_max: 12,
            per_s: 374.0,
            work_ms: 420.0,
            speeds: [0.7, 0.7, 1.6],
            objective_ms: 1_500.0,
            length_ms: 36_000,
            seed,
        };
        for strategy in REQUEST_PLACEMENT_STRATEGIES {
            let outcome = request_placement::run(strategy, &scenario);
            output.print_json(&(scenario, strategy, outcome))?;
            output.print_line(format!(
                "| {hosts} | {strategy:?} | {:.0} | {:.0} | {:.0} | {:.3} | {:.2} |",
                outcome.wait_ms, outcome.p50_ms, outcome.p99_ms, outcome.in_time, outcome.busiest
            ))?;
        }
    }
    Ok(())
}
