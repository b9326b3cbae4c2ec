//! The command line: usage, exit codes, and every fault of a file at once.

mod workdir;

use workdir::{Workdir, ARRAIAL};

#[test]
fn check_names_all_three_faults_of_a_file() {
    let dir = Workdir::new();
    let faulty = ARRAIAL
        .replace(r#""name": "arraial""#, r#""name": 7"#)
        .replace(r#""cells""#, r#""cellls""#)
        .replace(
            r#""peer_address": "127.0.0.1:21000""#,
            r#""peer_address": "nowhere""#,
        );
    dir.create("deployment.json", &faulty);
    let output = dir.run(&["check", "deployment.json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1));
    for part in ["/name", "cellls", "/control_hosts/0/peer_address"] {
        assert!(text.contains(part), "{part} is missing in {text}");
    }
}

#[test]
fn check_names_faults_that_span_the_file() {
    let dir = Workdir::new();
    let faulty = ARRAIAL
        .replacen(
            r#""availability_zone": "norte-a""#,
            r#""availability_zone": "norte-z""#,
            1,
        )
        .replacen(r#""c-sul-b""#, r#""c-norte-a""#, 1);
    dir.create("deployment.json", &faulty);
    let output = dir.run(&["check", "--json", "deployment.json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("is in no region"), "{text}");
    assert!(text.contains("is named twice"), "{text}");
}

#[test]
fn check_points_at_a_selector_s_fault() {
    let dir = Workdir::new();
    dir.create(
        "document.json",
        r#"{"number": 1, "services": {"a": {"selector": "x in y"}}}"#,
    );
    let output = dir.run(&["check", "document.json"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("/services/a/selector"), "{text}");
    assert!(text.contains("expected '('"), "{text}");
}

#[test]
fn wrong_calls_exit_with_two_and_help_with_zero() {
    let dir = Workdir::new();
    assert_eq!(dir.run(&["nonsense"]).status.code(), Some(2));
    assert_eq!(
        dir.run(&["apply", "x.json", "y.json"]).status.code(),
        Some(2)
    );
    assert_eq!(dir.run(&["load", "--rate", "0"]).status.code(), Some(2));
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
        let text = dir.stdout(&[command, "--help"]);
        assert!(text.contains("Usage: carobreel"), "{command}: {text}");
        assert!(text.contains("Examples:"), "{command}: {text}");
    }
}

#[test]
fn examples_are_fine_and_no_color_is_honoured() {
    let dir = Workdir::new();
    let root = env!("CARGO_MANIFEST_DIR");
    for example in ["arraial", "derwent"] {
        for file in ["deployment.json", "document-1.json", "document-2.json"] {
            let path = format!("{root}/examples/{example}/{file}");
            let text = dir.stdout(&["check", &path]);
            assert!(text.ends_with("fine\n"), "{text}");
        }
    }
}

#[test]
fn a_platform_host_s_settings_are_checked_with_every_fault() {
    let dir = Workdir::new();
    let fine = r#"{"host": "e1", "zone": "a", "zones": {"a": "north"}, "new_field": 1,
        "peer_address": "10.0.0.1:7540", "callers": "10.0.0.1:80", "seeds": ["10.0.0.9:8080"]}"#;
    dir.create("fine.json", fine);
    let text = dir.stdout(&["check", "fine.json"]);
    assert!(text.ends_with("fine\n"), "{text}");
    let faulty = fine
        .replace("\"e1\"", "\"\"")
        .replace("10.0.0.9:8080", "nowhere");
    dir.create("faulty.json", &faulty);
    let output = dir.run(&["check", "faulty.json"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("host:") && text.contains("seeds:"), "{text}");
}

#[test]
fn demo_breaks_no_promise() {
    let dir = Workdir::new();
    let text = dir.stdout(&["demo", "--seconds", "6", "--rate", "150", "--json"]);
    assert!(text.contains(r#""violations":[]"#), "{text}");
}
