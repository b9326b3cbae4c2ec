//! The `directory` and `gateway` commands as processes: changed settings, signals and durable state.

mod workdir;

use std::io::Write;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use carobreel::http::HttpRequest;
use serde_json::json;
use workdir::{send, wait_for, Workdir};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const GRACE_TIMEOUT: Duration = Duration::from_secs(6);

/// Returns the settings of a host; `n` is the last byte of its address.
fn settings_text(dir: &Workdir, name: &str, n: u8, seeds: &[u8], first_start: bool) -> String {
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
    text.to_string()
}

fn write_settings(dir: &Workdir, name: &str, n: u8, seeds: &[u8], first_start: bool) {
    let text = settings_text(dir, name, n, seeds, first_start);
    dir.write_file(&format!("{name}.json"), &text);
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

/// Checks that metrics count failed requests and that the logs of both processes explain them.
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
    // No process listens at the entry host's first seed.
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
    wait_for("the invalid settings are logged", READY_TIMEOUT, || {
        read_log(&dir, "e1").contains("SettingsRefused")
    });
    // A changed file is read without a signal, too.
    write_settings(&dir, "e1", 101, &[1], false);
    wait_for("the gateway finds the directory", READY_TIMEOUT, is_ready);
    assert!(read_log(&dir, "e1").contains("SettingsChanged"));

    // An acknowledged configuration survives a kill of all processes.
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
    wait_for("the gateway is not ready", Duration::from_secs(1), || {
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

/// A process that is stopped while its settings change.
struct StoppedProcess {
    name: String,
    child: Child,
    /// The settings file's new content, if it isn't valid.
    broken_settings: Option<&'static str>,
    signals: &'static [&'static str],
}

impl Drop for StoppedProcess {
    fn drop(&mut self) {
        // Fails if the process has ended, as it should have.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a process of the role and waits until it serves.
fn spawn_serving(dir: &Workdir, role: &str, n: u8) -> Child {
    let name = format!("{role}-{n}");
    write_settings(dir, &name, n, &[n], n < 100);
    let child = spawn_process(dir, role, &name);
    let metrics = format!("127.78.0.{n}:21804").parse().unwrap();
    wait_for("the process serves", READY_TIMEOUT, || {
        send(metrics, HttpRequest::get("/metrics")).is_some()
    });
    child
}

/// The receivers of signals were created anew for each wait: a SIGTERM that arrived together with a reload was
/// lost in about half of the cases.
#[test]
fn a_stop_signal_that_arrives_with_a_reload_is_not_lost() {
    let dir = Workdir::new();
    let orders: [&[&str]; 5] = [
        &["HUP", "TERM"],
        &["TERM", "HUP"],
        &["HUP", "TERM", "HUP", "TERM"],
        &["HUP", "INT"],
        &["TERM"],
    ];
    let mut processes = Vec::new();
    for (role, first) in [("directory", 11), ("gateway", 111)] {
        for (i, signals) in orders.into_iter().cycle().take(15).enumerate() {
            let n = first + i as u8;
            processes.push(StoppedProcess {
                name: format!("{role}-{n}"),
                child: spawn_serving(&dir, role, n),
                broken_settings: (i % 3 == 2).then_some("{"),
                signals,
            });
        }
    }
    // While a process is paused, its signals collect, and it receives all of them at once.
    for p in &processes {
        send_signal(&p.child, "STOP");
        let n: u8 = p.name.rsplit_once('-').unwrap().1.parse().unwrap();
        match p.broken_settings {
            Some(text) => drop(dir.write_file(&format!("{}.json", p.name), text)),
            None => write_settings(&dir, &p.name, n, &[n, 9], false),
        }
        for signal in p.signals {
            send_signal(&p.child, signal);
        }
    }
    // The check for a changed file is due as well.
    std::thread::sleep(Duration::from_millis(1_100));
    for p in &processes {
        send_signal(&p.child, "CONT");
    }
    for p in &mut processes {
        let mut code = None;
        wait_for(&p.name, GRACE_TIMEOUT, || {
            code = p.child.try_wait().unwrap();
            code.is_some()
        });
        assert!(code.is_some_and(|c| c.success()), "{}: {code:?}", p.name);
    }
}

/// A stop that arrives while the process reads its changed settings is obeyed once they are read.
#[test]
fn a_stop_signal_that_arrives_during_a_reload_is_not_lost() {
    let dir = Workdir::new();
    for (role, n) in [("directory", 31), ("gateway", 131)] {
        let name = format!("{role}-{n}");
        let mut process = StoppedProcess {
            name: name.clone(),
            child: spawn_serving(&dir, role, n),
            broken_settings: None,
            signals: &["TERM"],
        };
        // Reading a pipe lasts until its writer has closed it.
        let path = dir.path().join(format!("{name}.json"));
        std::fs::remove_file(&path).unwrap();
        let made = Command::new("mkfifo").arg(&path).status().unwrap();
        assert!(made.success());
        send_signal(&process.child, "HUP");
        let mut pipe = std::fs::File::options().write(true).open(&path).unwrap();
        // The pipe opens once the process reads it.
        for signal in process.signals {
            send_signal(&process.child, signal);
        }
        std::thread::sleep(Duration::from_millis(200));
        let text = settings_text(&dir, &name, n, &[n, 9], false);
        pipe.write_all(text.as_bytes()).unwrap();
        drop(pipe);
        let mut code = None;
        wait_for(&name, GRACE_TIMEOUT, || {
            code = process.child.try_wait().unwrap();
            code.is_some()
        });
        assert!(code.is_some_and(|c| c.success()), "{name}: {code:?}");
        assert!(read_log(&dir, &name).contains("SettingsChanged"), "{name}");
    }
}
