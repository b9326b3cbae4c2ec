//! A temporary working folder for a test, in which the real binaries run.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use carobreel::http::{self, HttpRequest, HttpResponse};
use carobreel::local_deployment::assign_ports;
use carobreel::settings::Deployment;

pub const ARRAIAL: &str = include_str!("../../examples/arraial/deployment.json");

/// A temporary folder; processes started in it are killed when it is dropped.
pub struct Workdir {
    folder: tempfile::TempDir,
    children: BTreeMap<String, Child>,
}

impl Workdir {
    pub fn new() -> Workdir {
        Workdir {
            folder: tempfile::tempdir().unwrap(),
            children: BTreeMap::new(),
        }
    }

    pub fn path(&self) -> &Path {
        self.folder.path()
    }

    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path().join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// Runs `carobreel` and returns its output.
    pub fn run_cli(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_carobreel"))
            .args(args)
            .current_dir(self.path())
            .output()
            .unwrap()
    }

    /// Runs `carobreel`, checks that it succeeds, and returns its standard output.
    pub fn run_cli_successfully(&self, args: &[&str]) -> String {
        let output = self.run_cli(args);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {stderr}");
        String::from_utf8(output.stdout).unwrap()
    }

    /// Starts a program and keeps it under a name.
    pub fn start(&mut self, name: &str, program: &str, args: &[&str]) {
        let log = fs::File::create(self.path().join(format!("{name}.log"))).unwrap();
        let child = Command::new(program)
            .args(args)
            .current_dir(self.path())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.children.insert(name.to_string(), child);
    }

    pub fn start_control(&mut self, name: &str) {
        let file = format!("{name}.json");
        let program = env!("CARGO_BIN_EXE_carobreel-control");
        self.start(name, program, &["--settings", &file]);
    }

    pub fn start_entry(&mut self, name: &str) {
        let file = format!("{name}.json");
        let program = env!("CARGO_BIN_EXE_carobreel-entry");
        self.start(name, program, &["--settings", &file]);
    }

    /// Kills a process, as `kill -9` does.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.children.remove(name).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.children[name].id().to_string();
        let status = Command::new("kill").args(["-s", signal, &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Waits until a process ends and returns its exit code.
    pub fn wait_for_exit(&mut self, name: &str) -> Option<i32> {
        let mut child = self.children.remove(name).unwrap();
        child.wait().unwrap().code()
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Writes a deployment with free ports, its certificates and the settings of every process.
    pub fn write_deployment(&self) -> Deployment {
        let mut deployment = Deployment::parse(ARRAIAL).unwrap();
        assign_ports(&mut deployment).unwrap();
        let text = serde_json::to_string(&deployment).unwrap();
        self.write_file("deployment.json", &text);
        self.run_cli_successfully(&["keys", "--out", "keys", "deployment.json"]);
        for name in deployment.peer_addresses().keys() {
            let data = match deployment.control_host(name) {
                Some(_) => format!(r#", "data_folder": "data/{name}""#),
                None => String::new(),
            };
            let text = format!(
                r#"{{"name": "{name}", "deployment": "deployment.json", "keys_folder": "keys"{data}}}"#
            );
            self.write_file(&format!("{name}.json"), &text);
        }
        deployment
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Runs a future to completion.
pub fn block_on<F: std::future::Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(future)
}

/// Sends a request and returns the answer, if there is one.
pub fn send(address: std::net::SocketAddr, request: HttpRequest) -> Option<HttpResponse> {
    block_on(http::send(address, request)).ok()
}

/// Waits until a condition holds and returns how long that took.
pub fn wait_for(what: &str, timeout: Duration, mut is_reached: impl FnMut() -> bool) -> Duration {
    let started_at = Instant::now();
    while !is_reached() {
        assert!(
            started_at.elapsed() < timeout,
            "not within {timeout:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    started_at.elapsed()
}
