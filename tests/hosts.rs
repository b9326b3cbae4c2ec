//! The platform's two programs as processes: settings that change, signals, and a disk that lasts.

mod workdir;

use std::process::{Child, Command, Stdio};
use std::time::Duration;

use carobreel::http::HttpRequest;
use serde_json::json;
use workdir::{send, wait_for, Workdir};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const GRACE_TIMEOUT: Duration = Duration::from_secs(6);

/// Writes a host's settings; the last byte of its address is `n`.
fn write_settings(dir: &Workdir, name: &str, n: u8, seeds: &[u8], first_start: bool) {
    let at = |host: u8, port: u16| format!("127.78.0.{host}:{port}");
    let is_entry = n > 100;
    let mut text = json!({
        "host": name, "zone": "a", "zones": { "a": "north" }, "peer_address": at(n, 21_800),
        "seeds": seeds.iter().map(|s| at(*s, 21_803)).collect::<Vec<_>>(),
        "first_start": first_start, "losses_tolerated": 0, "metrics": at(n, 21_804),
    });
    if is_entry {
        text["callers"] = json!(at(n, 21_801));
        text["readiness"] = json!(at(n, 21_802));
    } else {
        text["operators"] = json!(at(n, 21_803));
        text["data_folder"] = json!(dir.path().join(format!("data-{name}")));
    }
    dir.write_file(&format!("{name}.json"), &text.to_string());
}

fn spawn_process(dir: &Workdir, role: &str, name: &str) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(dir.path().join(format!("{name}.log")))
        .unwrap();
    Command::new(env!("CARGO_BIN_EXE_carobreel"))
        .arg(role)
        .env(
            "CAROBREEL_SETTINGS",
            dir.path().join(format!("{name}.json")),
        )
        .stdout(Stdio::from(log))
        .spawn()
        .unwrap()
}

fn send_signal(child: &Child, name: &str) {
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(child.id().to_string())
        .status();
    assert!(sent.unwrap().success());
}

fn read_log(dir: &Workdir, name: &str) -> String {
    std::fs::read_to_string(dir.path().join(format!("{name}.log"))).unwrap()
}

fn is_ready() -> bool {
    let answer = send(
        "127.78.0.101:21802".parse().unwrap(),
        HttpRequest::get("/v1/ready"),
    );
    answer.is_some_and(|a| a.status == 200)
}

/// Metrics count what failed, and the lines of both processes tell why.
fn check_explained_failures(dir: &Workdir) {
    let callers = "127.78.0.101:21801".parse().unwrap();
    let request = |path: &str, id: &str| {
        let call = HttpRequest::get(path).header("host", "h.example");
        let answer = send(callers, call.header("carobreel-request-id", id)).unwrap();
        answer.status.as_u16()
    };
    assert_eq!(request("/a/x", "f00d01"), 503);
    assert_eq!(request("/b/x", "f00d02"), 404);
    let scrape = |address: &str| {
        let answer = send(address.parse().unwrap(), HttpRequest::get("/metrics"));
        answer.unwrap().text()
    };
    let counts = scrape("127.78.0.101:21804");
    for line in [
        "carobreel_gateway_requests_total{route=\"a\",service=\"maps\",outcome=\"refused\"} 1",
        "carobreel_gateway_requests_total{route=\"-\",service=\"-\",outcome=\"failed\"} 1",
        "carobreel_gateway_refusals_total{reason=\"no upstream\"} 1",
    ] {
        assert!(counts.contains(line), "{line} in {counts}");
    }
    let counts = scrape("127.78.0.1:21804");
    for line in [
        "carobreel_directory_leads 1",
        "carobreel_directory_config_version 3",
    ] {
        assert!(counts.contains(line), "{line} in {counts}");
    }
    wait_for("both requests are logged", READY_TIMEOUT, || {
        let text = read_log(dir, "e1");
        text.contains("f00d01") && text.contains("f00d02")
    });
    let explain = |id: &str| {
        dir.run_cli_successfully(&["explain", "--request", id, "--logs", "e1.log", "c1.log"])
    };
    let text = explain("f00d01");
    assert!(
        text.contains("Cause: No upstream of maps was left to ask"),
        "{text}"
    );
    let text = explain("f00d02");
    assert!(
        text.contains("Cause: No route of configuration 3"),
        "{text}"
    );
    let unknown = dir.run_cli(&["explain", "--request", "none", "--logs", "e1.log"]);
    assert_eq!(unknown.status.code(), Some(1));
    let text = dir.run_cli_successfully(&[
        "timeline",
        "--text",
        "RoutesDecided",
        "--logs",
        "e1.log",
        "c1.log",
    ]);
    assert!(text.contains("\"version\":3"), "{text}");
    dir.run_cli_successfully(&["report", "--out", "day.html", "e1.log", "c1.log"]);
    let page = std::fs::read_to_string(dir.path().join("day.html")).unwrap();
    assert!(page.contains("leads the directory"), "{page}");
}

#[test]
fn changed_settings_replace_seeds_and_invalid_ones_are_ignored() {
    let dir = Workdir::new();
    write_settings(&dir, "c1", 1, &[1], true);
    // The entry host's first seed leads nowhere.
    write_settings(&dir, "e1", 101, &[9], false);
    let mut control = spawn_process(&dir, "directory", "c1");
    let mut entry = spawn_process(&dir, "gateway", "e1");
    let document = json!({
        "version": "r3", "services": [{ "name": "maps" }],
        "routes": [{ "name": "a", "hostname": "h.example", "pathPrefix": "/a/",
            "kind": "idempotent", "timeout": "1s", "service": "maps" }],
    });
    let configure = || {
        let call = HttpRequest::post("/v1/config/replace", document.to_string());
        let answer = send("127.78.0.1:21803".parse().unwrap(), call);
        answer.is_some_and(|a| a.status == 200)
    };
    wait_for(
        "the configuration is acknowledged",
        READY_TIMEOUT,
        configure,
    );
    assert!(!is_ready());

    dir.write_file("e1.json", "{");
    send_signal(&entry, "HUP");
    wait_for("the fault is logged", READY_TIMEOUT, || {
        read_log(&dir, "e1").contains("SettingsRefused")
    });
    // Without a signal.
    write_settings(&dir, "e1", 101, &[1], false);
    wait_for("the gateway finds the directory", READY_TIMEOUT, is_ready);
    assert!(read_log(&dir, "e1").contains("SettingsChanged"));

    // What was acknowledged outlives a kill of everything.
    send_signal(&control, "KILL");
    send_signal(&entry, "KILL");
    control.wait().unwrap();
    entry.wait().unwrap();
    write_settings(&dir, "c1", 1, &[1], false);
    let mut control = spawn_process(&dir, "directory", "c1");
    let mut entry = spawn_process(&dir, "gateway", "e1");
    wait_for("the gateway is ready again", READY_TIMEOUT, is_ready);
    let read = send(
        "127.78.0.1:21803".parse().unwrap(),
        HttpRequest::get("/v1/config/read"),
    );
    assert_eq!(read.unwrap().text(), document.to_string());

    check_explained_failures(&dir);

    send_signal(&entry, "TERM");
    wait_for("it isn't ready any more", Duration::from_secs(1), || {
        !is_ready()
    });
    send_signal(&control, "TERM");
    for (name, child) in [("entry", &mut entry), ("control", &mut control)] {
        let mut code = None;
        wait_for(name, GRACE_TIMEOUT, || {
            code = child.try_wait().unwrap();
            code.is_some()
        });
        assert!(code.is_some_and(|c| c.success()), "{name}: {code:?}");
    }
}
