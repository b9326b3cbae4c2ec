//! Shows who owns a key, what an upstream holds, or how a request ended, and why.

use std::collections::BTreeMap;
use std::ffi::OsString;

use carobreel::cell::request::Inspection;
use carobreel::cell::state::{SlotPhase, Upstream, UpstreamId};
use carobreel::diagnosis::{diagnose, DiagnosisLine};
use carobreel::event::Event;
use carobreel::http::HttpRequest;
use carobreel::logs::Logs;
use carobreel::slot::{format_ranges, home_region, KeyHash, SlotId};
use lexopt::ValueExt;

use crate::cli::{parse, require, set_once, Arg, CliError, CliResult, Output};

const USAGE: &str = "\
Show who owns a key, what an upstream holds, or how a request ended, and why.

Usage: carobreel explain --admin ADDRESS --keys FOLDER --key SERVICE/KEY
       carobreel explain --admin ADDRESS --keys FOLDER UPSTREAM
       carobreel explain --request ID --logs FILE...

The logs are the standard output of the processes; more logs give a more complete explanation.

Examples:
  carobreel explain --admin 127.0.0.1:21060 --keys examples/arraial/run/keys \\
      --key mapa-cortes/rua-direita
  carobreel explain --admin 127.0.0.1:21060 --keys examples/arraial/run/keys mapa-cortes-3
  carobreel explain --request 9c41d07be2a35f68 --logs e1.log e2.log c1.log
";

type Inspections = BTreeMap<String, Option<Inspection>>;

/// Runs the command.
pub fn run(argv: Vec<OsString>) -> CliResult {
    let mut key = None;
    let mut request = None;
    let mut names: Vec<OsString> = Vec::new();
    let common = parse(argv, USAGE, |arg, parser| {
        match arg {
            Arg::Option(name) if name == "key" => key = Some(parser.value()?.string()?),
            Arg::Option(name) if name == "request" => request = Some(parser.value()?.string()?),
            Arg::Option(name) if name == "logs" => names.push(parser.value()?),
            Arg::Option(_) => return Ok(false),
            Arg::Positional(name) => names.push(name.clone()),
        }
        Ok(true)
    })?;
    let Some(common) = common else {
        return Ok(());
    };
    if let Some(request) = request {
        return explain_request(&request, &names, common.output);
    }
    let mut upstream = None;
    for name in names {
        set_once(&mut upstream, name.string()?, "UPSTREAM")?;
    }
    let cells: Inspections = common.access.fetch_json(HttpRequest::get("/v1/status"))?;
    let lines = match &key {
        Some(key) => explain_key(&cells, key)?,
        None => explain_upstream(&cells, &require(upstream, "UPSTREAM or --key")?)?,
    };
    common.output.print_json(&lines)?;
    common.output.print_line(lines.join("\n"))
}

fn explain_request(request: &str, files: &[OsString], output: Output) -> CliResult {
    if files.is_empty() {
        return Err(CliError::Usage("--logs FILE is missing".to_string()));
    }
    let logs = Logs::read(files)?;
    let Some(diagnosis) = diagnose(&logs.events, request) else {
        let unlogged: u64 = logs.events.iter().map(|s| unlogged_count(&s.event)).sum();
        return Err(CliError::Failed(format!(
            "no event names request {request}: {} events were read, {} lines are unreadable; only a \
             sample of the answered requests is logged, and {unlogged} log lines were dropped",
            logs.events.len(),
            logs.unreadable
        )));
    };
    let start_ms = diagnosis.lines.first().map_or(0, |l| l.time.wall_ms);
    let format_line = |line: &DiagnosisLine| {
        let after_ms = line.time.wall_ms.saturating_sub(start_ms);
        format!(
            "+{:>8.3} s  {:<16} {}",
            after_ms as f64 / 1_000.0,
            line.host,
            line.text
        )
    };
    let mut lines: Vec<String> = diagnosis.lines.iter().map(format_line).collect();
    lines.push(format!("Cause: {}", diagnosis.cause));
    output.print_json(&lines)?;
    output.print_line(lines.join("\n"))
}

fn unlogged_count(event: &Event) -> u64 {
    match event {
        Event::RequestsUnlogged { count } => *count,
        _ => 0,
    }
}

fn explain_key(cells: &Inspections, target: &str) -> CliResult<Vec<String>> {
    let Some((service, key)) = target.split_once('/') else {
        return Err(CliError::Usage("expected --key SERVICE/KEY".to_string()));
    };
    let hash = KeyHash::of(key);
    let all = cells.values().flatten();
    let mut with_service = all.filter(|i| i.state.slot_tables.contains_key(service));
    let Some(first) = with_service.next() else {
        let text = format!("no service '{service}' is divided by key");
        return Err(CliError::Failed(text));
    };
    let count = first.state.slot_tables[service].hash_slot_count;
    let hash_slot = hash.slot(count);
    let mut lines = vec![format!(
        "key {key}: hash {:016x}, slot {}",
        hash.0, hash_slot.0
    )];
    for inspection in cells.values().flatten() {
        let home = inspection.region;
        if home_region(hash_slot, inspection.regions) == home {
            explain_slot(inspection, service, hash, &mut lines);
        }
    }
    Ok(lines)
}

fn explain_slot(inspection: &Inspection, service: &str, key: KeyHash, lines: &mut Vec<String>) {
    lines.push(format!(
        "home: region {}, leader {}",
        inspection.cell, inspection.leader
    ));
    let Some(slot_table) = inspection.state.slot_tables.get(service) else {
        return;
    };
    let id = slot_table.slot_of(key);
    if id.0 >= slot_table.hash_slot_count {
        lines.push(format!(
            "pinned: it is hot and has slot {} of its own",
            id.0
        ));
    }
    let Some(slot) = slot_table.slot(id) else {
        return;
    };
    match slot.phase {
        SlotPhase::Free => {
            lines.push("owner: none; no selected upstream has taken it yet".to_string())
        }
        SlotPhase::Frozen => lines.push(format!(
            "owner: changing; {} must stop first (since version {})",
            upstream_name(inspection, slot.owner),
            slot.changed_version
        )),
        SlotPhase::Held => {
            lines.push(format!(
                "owner: {} under fence {}, since version {} (now {})",
                upstream_name(inspection, slot.owner),
                slot.fence,
                slot.changed_version,
                inspection.state.version
            ));
            let left_ms = inspection.grants.get(&slot.owner).copied().unwrap_or(0);
            lines.push(format!(
                "lease: the leader counts it as held for {left_ms} ms more"
            ));
        }
    }
    if let Some(service) = inspection.state.document.services.get(service) {
        lines.push(format!(
            "selected by: {} (document {})",
            service.selector, inspection.state.document.number
        ));
    }
}

fn upstream_name(inspection: &Inspection, id: UpstreamId) -> String {
    let upstream = inspection.state.upstreams.get(&id);
    upstream.map_or(format!("#{}", id.0), |u| u.announcement.name.clone())
}

fn explain_upstream(cells: &Inspections, name: &str) -> CliResult<Vec<String>> {
    for inspection in cells.values().flatten() {
        if let Some((id, upstream)) = inspection.state.upstream_named(name) {
            return Ok(describe_upstream(inspection, id, upstream));
        }
    }
    Err(CliError::Failed(format!("no upstream is named '{name}'")))
}

fn describe_upstream(inspection: &Inspection, id: UpstreamId, upstream: &Upstream) -> Vec<String> {
    let announcement = &upstream.announcement;
    let document = &inspection.state.document;
    let labels = document.effective_labels(&announcement.name, &announcement.labels);
    let labels: Vec<String> = labels.iter().map(|(k, v)| format!("{k}={v}")).collect();
    let left_ms = inspection.grants.get(&id).copied().unwrap_or(0);
    let mut lines = vec![
        format!(
            "upstream {} ({}) in {}",
            announcement.name, announcement.address, announcement.availability_zone
        ),
        format!("labels: {}", labels.join(", ")),
        format!("lease: the leader counts it as held for {left_ms} ms more"),
    ];
    if upstream.leaving {
        lines.push("leaving: it asked for no new requests".to_string());
    }
    for (name, service) in &document.services {
        let labels = document.effective_labels(&announcement.name, &announcement.labels);
        match service.selector.first_unmet(&labels) {
            None => lines.push(format!("serves {name}: {}", service.selector)),
            Some(unmet) => lines.push(format!("doesn't serve {name}: not {unmet}")),
        }
    }
    for (name, slot_table) in &inspection.state.slot_tables {
        let slots = slot_table.slots.iter().enumerate();
        let held: Vec<SlotId> = slots
            .filter(|(_, s)| s.phase == SlotPhase::Held && s.owner == id)
            .map(|(n, _)| SlotId(n as u32))
            .collect();
        if !held.is_empty() {
            lines.push(format!(
                "owns {} slots of {name}: {}",
                held.len(),
                format_ranges(&held)
            ));
        }
    }
    lines
}
