//! Tests of the command line: usage, exit codes, and reports of all faults of a file.

mod workdir;

use workdir::{Workdir, ARRAIAL};

#[test]
fn check_reports_every_schema_fault_of_a_file() {
    let dir = Workdir::new();
    let invalid = ARRAIAL
        .replace(r#""name": "arraial""#, r#""name": 7"#)
        .replace(r#""cells""#, r#""cellls""#)
        .replace(
            r#""peer_address": "127.0.0.1:21000""#,
            r#""peer_address": "nowhere""#,
        );
    dir.write_file("deployment.json", &invalid);
    let output = dir.run_cli(&["check", "deployment.json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1));
    for part in ["/name", "cellls", "/control_hosts/0/peer_address"] {
        assert!(text.contains(part), "{part} is missing in {text}");
    }
}

#[test]
fn check_reports_inconsistent_references() {
    let dir = Workdir::new();
    let invalid = ARRAIAL
        .replacen(
            r#""availability_zone": "norte-a""#,
            r#""availability_zone": "norte-z""#,
            1,
        )
        .replacen(r#""c-sul-b""#, r#""c-norte-a""#, 1);
    dir.write_file("deployment.json", &invalid);
    let output = dir.run_cli(&["check", "--json", "deployment.json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("is in no region"), "{text}");
    assert!(text.contains("is named twice"), "{text}");
}

#[test]
fn check_reports_the_position_of_a_selector_fault() {
    let dir = Workdir::new();
    dir.write_file(
        "document.json",
        r#"{"number": 1, "services": {"a": {"selector": "x in y"}}}"#,
    );
    let output = dir.run_cli(&["check", "document.json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("/services/a/selector"), "{text}");
    assert!(text.contains("expected '('"), "{text}");
}

#[test]
fn usage_errors_exit_with_two_and_help_with_zero() {
    let dir = Workdir::new();
    assert_eq!(dir.run_cli(&["nonsense"]).status.code(), Some(2));
    assert_eq!(
        dir.run_cli(&["apply", "x.json", "y.json"]).status.code(),
        Some(2)
    );
    assert_eq!(dir.run_cli(&["load", "--rate", "0"]).status.code(), Some(2));
    for command in [
        "apply",
        "check",
        "demo",
        "directory",
        "explain",
        "gateway",
        "keys",
        "load",
        "plan",
        "slopes",
        "standin",
        "status",
        "timeline",
        "watch",
    ] {
        let text = dir.run_cli_successfully(&[command, "--help"]);
        assert!(text.contains("Usage: carobreel"), "{command}: {text}");
        assert!(text.contains("Examples:"), "{command}: {text}");
    }
}

#[test]
fn examples_are_valid_and_output_has_no_color() {
    let dir = Workdir::new();
    let root = env!("CARGO_MANIFEST_DIR");
    for example in ["arraial", "derwent"] {
        for file in ["deployment.json", "document-1.json", "document-2.json"] {
            let path = format!("{root}/examples/{example}/{file}");
            let text = dir.run_cli_successfully(&["check", &path]);
            assert!(text.ends_with("fine\n"), "{text}");
        }
    }
}

#[test]
fn check_reports_every_fault_of_host_settings() {
    let dir = Workdir::new();
    let valid = r#"{"host": "e1", "zone": "a", "zones": {"a": "north"}, "new_field": 1,
        "peer_address": "10.0.0.1:7540", "callers": "10.0.0.1:80", "seeds": ["10.0.0.9:8080"]}"#;
    dir.write_file("fine.json", valid);
    let text = dir.run_cli_successfully(&["check", "fine.json"]);
    assert!(text.ends_with("fine\n"), "{text}");
    let invalid = valid
        .replace("\"e1\"", "\"\"")
        .replace("10.0.0.9:8080", "nowhere");
    dir.write_file("faulty.json", &invalid);
    let output = dir.run_cli(&["check", "faulty.json"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("host:") && text.contains("seeds:"), "{text}");
}

#[test]
fn demo_reports_no_violation() {
    let dir = Workdir::new();
    let text = dir.run_cli_successfully(&["demo", "--seconds", "6", "--rate", "150", "--json"]);
    assert!(text.contains(r#""violations":[]"#), "{text}");
}
