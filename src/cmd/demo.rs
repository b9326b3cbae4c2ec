//! Runs a whole deployment in this process.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use carobreel::daemon::discard_logger;
use carobreel::document::Document;
use carobreel::history::{check_at_most_once, check_owners, imbalance, Violation};
use carobreel::http::HttpRequest;
use carobreel::load_generator::{self, LoadProfile, LoadResults, RequestKind, ServiceSummary};
use carobreel::local_deployment::{Fleet, LocalDeployment};
use carobreel::settings::Deployment;
use carobreel::standin::RequestRun;
use lexopt::prelude::*;
use serde::Serialize;

use crate::cli::{colorize, CliError, CliResult, Output};

const USAGE: &str = "\
Run a whole deployment in this process, on free loopback ports, with stand-in
upstreams and real traffic. Meanwhile one upstream is killed, and a
configuration document takes another one out of service.

Usage: carobreel demo [--settings DEPLOYMENT] [--seconds N] [--rate R] [--json]

Options:
  --settings DEPLOYMENT   A deployment's file; its ports are replaced
  --seconds N             How long traffic runs (default 12)
  --rate R                Requests per second (default 400)

Examples:
  carobreel demo
  carobreel demo --settings examples/derwent/deployment.json --seconds 20

The exit code is 0 only if no guarantee was violated.
";

const ARRAIAL_DEPLOYMENT: &str = include_str!("../../examples/arraial/deployment.json");
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const SEED: u64 = 2_026;
const KEY_COUNT: u64 = 10_000;
const ZIPF_EXPONENT: f64 = 0.8;

#[derive(Debug)]
struct Args {
    output: Output,
    settings: Option<PathBuf>,
    seconds: u64,
    rate: f64,
}

/// The measurements of a demo.
#[derive(Debug, Serialize)]
struct Summary {
    services: BTreeMap<String, ServiceSummary>,
    imbalance: f64,
    keys_moved_percent: f64,
    unavailable_ms: u64,
    violations: Vec<String>,
}

/// The services of a demo deployment and the upstreams that serve them.
struct Scenario {
    keyed_service: &'static str,
    filing_service: &'static str,
    file_service: &'static str,
    keyed_upstreams: usize,
    slots: u32,
    connections: u32,
}

const ARRAIAL_SCENARIO: Scenario = Scenario {
    keyed_service: "mapa-cortes",
    filing_service: "licencas",
    file_service: "arquivo",
    keyed_upstreams: 16,
    slots: 3,
    connections: 110,
};

const DERWENT_SCENARIO: Scenario = Scenario {
    keyed_service: "pricebook",
    filing_service: "orderdesk",
    file_service: "routepack",
    keyed_upstreams: 23,
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
        None => Deployment::parse(ARRAIAL_DEPLOYMENT)?,
    };
    let folder = std::env::temp_dir().join(format!("carobreel-demo-{}", std::process::id()));
    let summary = run_demo(&args, deployment, &folder);
    let _ = std::fs::remove_dir_all(&folder);
    print_summary(&summary?, args.output)
}

fn run_demo(args: &Args, deployment: Deployment, folder: &std::path::Path) -> CliResult<Summary> {
    let output = args.output;
    let scenario = match deployment.name.as_str() {
        "derwent" => DERWENT_SCENARIO,
        _ => ARRAIAL_SCENARIO,
    };
    output.print_line(format!(
        "starting {}: {} control hosts, {} entry hosts",
        deployment.name,
        deployment.control_hosts.len(),
        deployment.entry_hosts.len()
    ))?;
    let runtime = tokio::runtime::Runtime::new()?;
    let mut local_deployment = LocalDeployment::spawn(deployment, folder, discard_logger())?;
    let started_at = Instant::now();
    runtime.block_on(start_services(&mut local_deployment, &scenario, output))?;
    output.print_line(format!(
        "ready after {:.1} s; sending {} requests per second for {} s",
        started_at.elapsed().as_secs_f64(),
        args.rate,
        args.seconds
    ))?;
    let results = runtime.block_on(run_load(&mut local_deployment, &scenario, args))?;
    let runs = local_deployment.run_log.runs();
    local_deployment.stop();
    drop(runtime);
    Ok(summarize(&results, &runs, &scenario))
}

fn document(scenario: &Scenario, number: u64, drained: Option<&str>) -> Document {
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
        service(scenario.keyed_service, true),
        service(scenario.filing_service, false),
        service(scenario.file_service, false)
    );
    Document::parse(&text).expect("the demo's documents are valid")
}

async fn start_services(
    local_deployment: &mut LocalDeployment,
    scenario: &Scenario,
    output: Output,
) -> CliResult {
    let fleet = |service: &str, count: usize| Fleet {
        service: service.to_string(),
        count,
        slots: scenario.slots,
        connections: scenario.connections,
        checks_fences: true,
        service_time: Duration::from_millis(2),
    };
    if !local_deployment
        .apply(&document(scenario, 1, None), READY_TIMEOUT)
        .await
    {
        return Err(CliError::Failed(
            "the first document was not accepted".to_string(),
        ));
    }
    output.print_line("document 1 accepted")?;
    local_deployment
        .start_fleet(&fleet(scenario.keyed_service, scenario.keyed_upstreams))
        .await?;
    local_deployment
        .start_fleet(&fleet(scenario.filing_service, 8))
        .await?;
    local_deployment
        .start_fleet(&fleet(scenario.file_service, 8))
        .await?;
    for n in 0..8 {
        let path = format!("/{}/key-{n}", scenario.keyed_service);
        if !local_deployment
            .wait_until_served(&path, READY_TIMEOUT)
            .await
        {
            return Err(CliError::Failed(format!("{path} is not served")));
        }
    }
    for service in [scenario.filing_service, scenario.file_service] {
        if !local_deployment
            .wait_until_served(&format!("/{service}"), READY_TIMEOUT)
            .await
        {
            return Err(CliError::Failed(format!("{service} is not served")));
        }
    }
    Ok(())
}

async fn run_load(
    local_deployment: &mut LocalDeployment,
    scenario: &Scenario,
    args: &Args,
) -> CliResult<LoadResults> {
    let length = Duration::from_secs(args.seconds.max(6));
    let kind = |service: &str, share, keys, with_idempotency_key| RequestKind {
        service: service.to_string(),
        share,
        keys,
        zipf: ZIPF_EXPONENT,
        with_idempotency_key,
    };
    let profile = LoadProfile {
        rate: args.rate,
        length,
        seed: SEED,
        kinds: vec![
            kind(scenario.keyed_service, 0.6, KEY_COUNT, false),
            kind(scenario.filing_service, 0.2, 0, true),
            kind(scenario.file_service, 0.2, 0, false),
        ],
        timeout: Duration::from_secs(5),
        resends: 3,
    };
    let targets = local_deployment.caller_addresses();
    let load = tokio::spawn(async move { load_generator::run(&profile, &targets).await });
    tokio::time::sleep(length / 3).await;
    let lost = format!("{}-1", scenario.keyed_service);
    if let Some(standin) = local_deployment.standins.get(&lost) {
        standin.kill();
        args.output.print_line(format!("upstream {lost} is lost"))?;
    }
    tokio::time::sleep(length / 3).await;
    let drained = format!("{}-2", scenario.keyed_service);
    let accepted = local_deployment
        .apply(&document(scenario, 2, Some(&drained)), READY_TIMEOUT)
        .await;
    let result = if accepted { "accepted" } else { "not accepted" };
    args.output
        .print_line(format!("document 2, which drains {drained}: {result}"))?;
    let results = load
        .await
        .map_err(|e| CliError::Failed(format!("the load generator failed: {e}")))?;
    let status = local_deployment
        .send_operator_request(HttpRequest::get("/v1/status"))
        .await;
    let is_readable = status.is_some_and(|a| a.status.is_success());
    args.output
        .print_line(format!("status can be read: {is_readable}"))?;
    Ok(results)
}

fn summarize(results: &LoadResults, runs: &[RequestRun], scenario: &Scenario) -> Summary {
    let mut violations: Vec<Violation> = check_owners(runs);
    violations.extend(check_at_most_once(runs, &results.attempts));
    let mut runs_by_upstream: BTreeMap<&str, usize> = BTreeMap::new();
    let mut owners: BTreeMap<_, Vec<&str>> = BTreeMap::new();
    for run in runs.iter().filter(|r| r.service == scenario.keyed_service) {
        *runs_by_upstream.entry(&run.upstream).or_default() += 1;
        if let Some(key) = run.key {
            let owners_in_order = owners.entry(key).or_default();
            if owners_in_order.last() != Some(&run.upstream.as_str()) {
                owners_in_order.push(&run.upstream);
            }
        }
    }
    let run_counts: Vec<usize> = runs_by_upstream.values().copied().collect();
    let moved = owners.values().filter(|o| o.len() > 1).count();
    let mut violations: Vec<String> = violations.iter().map(|v| v.to_string()).collect();
    if results.mismatched_answers > 0 {
        violations.push(format!(
            "{} answers to other requests",
            results.mismatched_answers
        ));
    }
    let services = results.by_service.iter();
    let keyed = results.by_service.get(scenario.keyed_service);
    Summary {
        services: services
            .map(|(name, service)| (name.clone(), service.summary()))
            .collect(),
        imbalance: imbalance(&run_counts),
        keys_moved_percent: moved as f64 * 100.0 / owners.len().max(1) as f64,
        unavailable_ms: keyed.map_or(0, |t| t.latency.max() / 1_000),
        violations,
    }
}

fn print_summary(summary: &Summary, output: Output) -> CliResult {
    output.print_json(summary)?;
    output.print_line(format!(
        "{:<12} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "service", "requests", "answers", "not run", "unknown", "p50 ms", "p99 ms", "p999 ms"
    ))?;
    for (name, f) in &summary.services {
        output.print_line(format!(
            "{name:<12} {:>9} {:>9} {:>8} {:>8} {:>8.1} {:>8.1} {:>8.1}",
            f.requests, f.answers, f.not_run, f.unknown, f.p50_ms, f.p99_ms, f.p999_ms
        ))?;
    }
    for (name, f) in &summary.services {
        for (reason, tries) in &f.reasons {
            output.print_line(format!(
                "{name}: {tries} attempts without an answer: {reason}"
            ))?;
        }
    }
    output.print_line(format!(
        "imbalance (requests of the busiest upstream over the mean): {:.2}",
        summary.imbalance
    ))?;
    output.print_line(format!(
        "churn: {:.1}% of the keys seen changed owner",
        summary.keys_moved_percent
    ))?;
    output.print_line(format!(
        "unavailable time: the slowest answer to a keyed request took {} ms",
        summary.unavailable_ms
    ))?;
    for violation in &summary.violations {
        output.print_line(colorize(violation, false))?;
    }
    if summary.violations.is_empty() {
        return output.print_line(colorize("no violations", true));
    }
    let count = summary.violations.len();
    Err(CliError::Failed(format!("{count} violations")))
}
