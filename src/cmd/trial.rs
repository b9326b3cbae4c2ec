//! Compares ways of placing keys and requests.

use std::ffi::OsString;

use carobreel::trial::{placing, run as try_way, Setting, WAYS};
use lexopt::ValueExt;

use crate::cli::{parse, Arg, CliResult};

const USAGE: &str = "\
Compare ways of placing keys and requests on upstreams, on the same seeded traffic.

Usage: carobreel trial [--json] [--seed N]

Options:
  --seed N   Seeds the traffic (default 1)

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
    output.line("| upstreams | Zipf | way | imbalance | floor | over the floor | churn when one leaves | keys of the leaver |")?;
    output.line("|---|---|---|---|---|---|---|---|")?;
    for upstreams in [16, 23] {
        for zipf in [0.8, 1.0] {
            let setting = Setting {
                upstreams,
                keys: 100_000,
                zipf,
                slots: 4_096,
                seed,
            };
            for way in WAYS {
                let result = try_way(way, &setting);
                output.value(&(setting, way, result))?;
                output.line(format!(
                    "| {upstreams} | {zipf} | {way:?} | {:.2} | {:.2} | {:.2} | {:.1}% | {:.1}% |",
                    result.imbalance,
                    result.floor,
                    result.imbalance / result.floor,
                    result.churn * 100.0,
                    result.leaver_share * 100.0
                ))?;
            }
        }
    }
    output.line("")?;
    output
        .line("| entry hosts | way | wait ms | p50 ms | p99 ms | in time | busiest over mean |")?;
    output.line("|---|---|---|---|---|---|---|")?;
    for hosts in [12, 92, 700] {
        let setting = placing::Setting {
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
        for way in placing::WAYS {
            let got = placing::run(way, &setting);
            output.value(&(setting, way, got))?;
            output.line(format!(
                "| {hosts} | {way:?} | {:.0} | {:.0} | {:.0} | {:.3} | {:.2} |",
                got.wait_ms, got.p50_ms, got.p99_ms, got.in_time, got.busiest
            ))?;
        }
    }
    Ok(())
}
