//! Runs a whole deployment in this process.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use carobreel::daemon::discard_logger;
use carobreel::document::Document;
use carobreel::history::{check_once, check_owners, imbalance, Violation};
use carobreel::http::HttpRequest;
use carobreel::lab::{Fleet, Lab};
use carobreel::load::{self, Figures, Kind, Profile, Results};
use carobreel::settings::Deployment;
use carobreel::standin::Run;
use lexopt::prelude::*;
use serde::Serialize;

use crate::cli::{mark, CliError, CliResult, Output};

const USAGE: &str = "\
Run a whole deployment in this process, on free loopback ports, with stand-in
upstreams and real traffic. On the way one upstream is lost, and a configuration
document takes another one out of service.

Usage: carobreel demo [--settings DEPLOYMENT] [--seconds N] [--rate R] [--json]

Options:
  --settings DEPLOYMENT   A deployment's file; its ports are replaced
  --seconds N             How long traffic runs (default 12)
  --rate R                Requests a second (default 400)

Examples:
  carobreel demo
  carobreel demo --settings examples/derwent/deployment.json --seconds 20

The exit code is 0 only if no promise was broken.
";

const ARRAIAL: &str = include_str!("../../examples/arraial/deployment.json");
const READY_PATIENCE: Duration = Duration::from_secs(30);
const SEED: u64 = 2_026;
const KEYS: u64 = 10_000;
const ZIPF: f64 = 0.8;

#[derive(Debug)]
struct Args {
    output: Output,
    settings: Option<PathBuf>,
    seconds: u64,
    rate: f64,
}

/// What the demo measured.
#[derive(Debug, Serialize)]
struct Summary {
    services: BTreeMap<String, Figures>,
    imbalance: f64,
    keys_moved_percent: f64,
    unavailable_ms: u64,
    violations: Vec<String>,
}

/// The names of one deployment's services.
struct Names {
    keyed: &'static str,
    orders: &'static str,
    files: &'static str,
    workers: usize,
    slots: u32,
    connections: u32,
}

const ARRAIAL_NAMES: Names = Names {
    keyed: "mapa-cortes",
    orders: "licencas",
    files: "arquivo",
    workers: 16,
    slots: 3,
    connections: 110,
};

const DERWENT_NAMES: Names = Names {
    keyed: "pricebook",
    orders: "orderdesk",
    files: "routepack",
    workers: 23,
    slots: 4,
    connections: 130,
};

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut args = Args {
        output: Output::default(),
        settings: None,
        seconds: 12,
        rate: 400.0,
    };
    let mut parser = lexopt::Parser::from_args(argv);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => args.output.json = true,
            Long("settings") => args.settings = Some(parser.value()?.into()),
            Long("seconds") => args.seconds = parser.value()?.parse()?,
            Long("rate") => args.rate = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let deployment = match &args.settings {
        Some(file) => Deployment::read(file)?,
        None => Deployment::parse(ARRAIAL)?,
    };
    let folder = std::env::temp_dir().join(format!("carobreel-demo-{}", std::process::id()));
    let summary = perform(&args, deployment, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    report(&summary?, args.output)
}

fn perform(args: &Args, deployment: Deployment, folder: &std::path::Path) -> CliResult<Summary> {
    let out = args.output;
    let names = match deployment.name.as_str() {
        "derwent" => DERWENT_NAMES,
        _ => ARRAIAL_NAMES,
    };
    out.line(format!(
        "starting {}: {} control hosts, {} entry hosts",
        deployment.name,
        deployment.control_hosts.len(),
        deployment.entry_hosts.len()
    ))?;
    let runtime = tokio::runtime::Runtime::new()?;
    let mut lab = Lab::spawn(deployment, folder, discard_logger())?;
    let began = Instant::now();
    runtime.block_on(prepare(&mut lab, &names, out))?;
    out.line(format!(
        "ready after {:.1} s; offering {} requests a second for {} s",
        began.elapsed().as_secs_f64(),
        args.rate,
        args.seconds
    ))?;
    let results = runtime.block_on(drive(&mut lab, &names, args))?;
    let runs = lab.log.runs();
    lab.stop();
    drop(runtime);
    Ok(summarize(&results, &runs, &names))
}

fn document(names: &Names, number: u64, drained: Option<&str>) -> Document {
    let service = |name: &str, keyed: bool| {
        format!(
            r#""{name}": {{"selector": "service={name}, drain notin (yes)", "divided_by_key": {keyed}}}"#
        )
    };
    let labels = drained.map_or(String::new(), |name| {
        format!(r#", "labels": {{"{name}": {{"drain": "yes"}}}}"#)
    });
    let text = format!(
        r#"{{"number": {number}, "services": {{{}, {}, {}}}{labels}}}"#,
        service(names.keyed, true),
        service(names.orders, false),
        service(names.files, false)
    );
    Document::parse(&text).expect("the demo's documents are valid")
}

async fn prepare(lab: &mut Lab, names: &Names, out: Output) -> CliResult {
    let fleet = |service: &str, count: usize| Fleet {
        service: service.to_string(),
        count,
        slots: names.slots,
        connections: names.connections,
        checks_fences: true,
        work: Duration::from_millis(2),
    };
    if !lab.apply(&document(names, 1, None), READY_PATIENCE).await {
        return Err(CliError::Refused(
            "the first document was not accepted".to_string(),
        ));
    }
    out.line("document 1 accepted")?;
    lab.start_fleet(&fleet(names.keyed, names.workers)).await?;
    lab.start_fleet(&fleet(names.orders, 8)).await?;
    lab.start_fleet(&fleet(names.files, 8)).await?;
    for n in 0..8 {
        let path = format!("/{}/key-{n}", names.keyed);
        if !lab.wait_served(&path, READY_PATIENCE).await {
            return Err(CliError::Refused(format!("{path} is not served")));
        }
    }
    for service in [names.orders, names.files] {
        if !lab
            .wait_served(&format!("/{service}"), READY_PATIENCE)
            .await
        {
            return Err(CliError::Refused(format!("{service} is not served")));
        }
    }
    Ok(())
}

async fn drive(lab: &mut Lab, names: &Names, args: &Args) -> CliResult<Results> {
    let length = Duration::from_secs(args.seconds.max(6));
    let kind = |service: &str, share, keys, is_filing| Kind {
        service: service.to_string(),
        share,
        keys,
        zipf: ZIPF,
        is_filing,
    };
    let profile = Profile {
        rate: args.rate,
        length,
        seed: SEED,
        kinds: vec![
            kind(names.keyed, 0.6, KEYS, false),
            kind(names.orders, 0.2, 0, true),
            kind(names.files, 0.2, 0, false),
        ],
        timeout: Duration::from_secs(5),
        resends: 3,
    };
    let targets = lab.caller_addresses();
    let load = tokio::spawn(async move { load::run(&profile, &targets).await });
    tokio::time::sleep(length / 3).await;
    let lost = format!("{}-1", names.keyed);
    if let Some(standin) = lab.standins.get(&lost) {
        standin.kill();
        args.output.line(format!("upstream {lost} is lost"))?;
    }
    tokio::time::sleep(length / 3).await;
    let drained = format!("{}-2", names.keyed);
    let accepted = lab
        .apply(&document(names, 2, Some(&drained)), READY_PATIENCE)
        .await;
    let word = if accepted { "accepted" } else { "not accepted" };
    args.output
        .line(format!("document 2, which drains {drained}: {word}"))?;
    let results = load
        .await
        .map_err(|e| CliError::Refused(format!("the load broke off: {e}")))?;
    let status = lab.operate(HttpRequest::get("/v1/status")).await;
    let reached = status.is_some_and(|a| a.status.is_success());
    args.output.line(format!("status can be read: {reached}"))?;
    Ok(results)
}

fn summarize(results: &Results, runs: &[Run], names: &Names) -> Summary {
    let mut violations: Vec<Violation> = check_owners(runs);
    violations.extend(check_once(runs, &results.tries));
    let mut by_upstream: BTreeMap<&str, usize> = BTreeMap::new();
    let mut owners: BTreeMap<_, Vec<&str>> = BTreeMap::new();
    for run in runs.iter().filter(|r| r.service == names.keyed) {
        *by_upstream.entry(&run.upstream).or_default() += 1;
        if let Some(key) = run.key {
            let seen = owners.entry(key).or_default();
            if seen.last() != Some(&run.upstream.as_str()) {
                seen.push(&run.upstream);
            }
        }
    }
    let counts: Vec<usize> = by_upstream.values().copied().collect();
    let moved = owners.values().filter(|o| o.len() > 1).count();
    let mut violations: Vec<String> = violations.iter().map(|v| v.to_string()).collect();
    if results.foreign_answers > 0 {
        violations.push(format!("{} foreign answers", results.foreign_answers));
    }
    let tallies = results.tallies.iter();
    let keyed = results.tallies.get(names.keyed);
    Summary {
        services: tallies.map(|(s, t)| (s.clone(), t.figures())).collect(),
        imbalance: imbalance(&counts),
        keys_moved_percent: moved as f64 * 100.0 / owners.len().max(1) as f64,
        unavailable_ms: keyed.map_or(0, |t| t.latency.max() / 1_000),
        violations,
    }
}

fn report(summary: &Summary, out: Output) -> CliResult {
    out.value(summary)?;
    out.line(format!(
        "{:<12} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "service", "requests", "answers", "not run", "unknown", "p50 ms", "p99 ms", "p999 ms"
    ))?;
    for (name, f) in &summary.services {
        out.line(format!(
            "{name:<12} {:>9} {:>9} {:>8} {:>8} {:>8.1} {:>8.1} {:>8.1}",
            f.requests, f.answers, f.not_run, f.unknown, f.p50_ms, f.p99_ms, f.p999_ms
        ))?;
    }
    for (name, f) in &summary.services {
        for (reason, tries) in &f.reasons {
            out.line(format!("{name}: {tries} tries without an answer: {reason}"))?;
        }
    }
    out.line(format!(
        "imbalance (most over mean runs): {:.2}",
        summary.imbalance
    ))?;
    out.line(format!(
        "churn: {:.1}% of the keys seen changed owner",
        summary.keys_moved_percent
    ))?;
    out.line(format!(
        "unavailable time: the longest wait for a keyed answer was {} ms",
        summary.unavailable_ms
    ))?;
    for violation in &summary.violations {
        out.line(mark(violation, false))?;
    }
    if summary.violations.is_empty() {
        return out.line(mark("no promise was broken", true));
    }
    let count = summary.violations.len();
    Err(CliError::Refused(format!("{count} broken promises")))
}
