//! What a gateway takes for the end of an upstream, and what it tells of a request that ends upstreams.

mod testbed;
mod workdir;

use std::time::Duration;

use carobreel::diagnosis::diagnose;
use carobreel::event::Event;
use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{get, start_with_two_upstreams, wait_for, Testbed, READY_TIMEOUT};
use workdir::Workdir;

/// The end of the path of the request that ends upstreams.
const DEADLY: &str = "/deadly";
const DEADLY_PATH: &str = "/read/deadly";
/// Time in which a gateway finds out what became of an upstream.
const VERIFIED_WITHIN: Duration = Duration::from_secs(6);

fn has_event(testbed: &Testbed, is_wanted: impl Fn(&Event) -> bool) -> bool {
    testbed
        .events()
        .iter()
        .any(|record| is_wanted(&record.event))
}

fn is_suspicion(event: &Event) -> bool {
    matches!(
        event,
        Event::UpstreamEnded { .. } | Event::SuspectChanged { .. }
    )
}

async fn status(testbed: &Testbed, path: &str, id: &str) -> u16 {
    let answer = testbed.request(get(path, id, 1_500)).await;
    answer.map_or(0, |a| a.status.as_u16())
}

/// Sends the deadly request until it is in quarantine, and returns the id of a request that was refused for it.
async fn quarantine(testbed: &Testbed, upstreams: &[FakeUpstream]) -> String {
    for upstream in upstreams {
        upstream.set_behavior(Behavior::EndsOn(DEADLY));
    }
    let mut n = 0;
    let mut id = String::new();
    wait_for("the request is in quarantine", READY_TIMEOUT, async || {
        n += 1;
        id = format!("deadly{n}");
        status(testbed, DEADLY_PATH, &id).await;
        has_event(testbed, |e| {
            let stage = "quarantined";
            matches!(e, Event::SuspectRefused { request, stage: s, .. } if *request == id && s == stage)
        })
    })
    .await;
    id
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_breaks_while_its_upstream_lives_on_is_no_crash() {
    let (testbed, upstream) = Testbed::start_with_upstream(160).await;
    for (n, behavior) in [Behavior::TruncatedBody, Behavior::ResetWithoutLength]
        .into_iter()
        .enumerate()
    {
        upstream.set_behavior(behavior);
        let path = format!("/read/broken{n}");
        wait_for("an attempt breaks", READY_TIMEOUT, async || {
            status(&testbed, &path, &format!("broken{n}")).await;
            has_event(&testbed, |e| {
                matches!(e, Event::RequestBroken { request, .. } if *request == format!("broken{n}"))
            })
        })
        .await;
        upstream.set_behavior(Behavior::Normal);
    }
    wait_for("the breaks are looked into", VERIFIED_WITHIN, async || {
        has_event(&testbed, |e| matches!(e, Event::BreakNotACrash { .. }))
    })
    .await;
    assert!(!has_event(&testbed, is_suspicion));
    testbed.wait_until_served().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_upstream_is_no_crash() {
    let (testbed, upstream) = Testbed::start_with_upstream(161).await;
    upstream.set_behavior(Behavior::Delayed(3_000));
    assert_eq!(status(&testbed, "/read/slow", "slow").await, 504);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let is_break = |e: &Event| is_suspicion(e) || matches!(e, Event::RequestBroken { .. });
    assert!(!has_event(&testbed, is_break));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_starts_again_at_once_has_ended_all_the_same() {
    let (testbed, one, other) = start_with_two_upstreams(162).await;
    for upstream in [&one, &other] {
        upstream.set_behavior(Behavior::EndsOn(DEADLY));
        upstream.set_restart_delay(Duration::ZERO);
    }
    status(&testbed, DEADLY_PATH, "deadly").await;
    wait_for("the end is noticed", VERIFIED_WITHIN, async || {
        has_event(&testbed, |e| matches!(e, Event::UpstreamEnded { .. }))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_said_that_it_leaves_has_not_crashed() {
    let (testbed, upstream) = Testbed::start_with_upstream(163).await;
    upstream.set_behavior(Behavior::Delayed(1_200));
    let leave = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(upstream.announce(&testbed, "draining").await, 200);
        tokio::time::sleep(Duration::from_millis(300)).await;
        upstream.crash();
    };
    tokio::join!(status(&testbed, "/read/x", "in-flight"), leave);
    let is_break = |e: &Event| matches!(e, Event::RequestBroken { .. });
    assert!(has_event(&testbed, is_break));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!has_event(&testbed, is_suspicion));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_refusal_of_a_request_that_ended_upstreams_is_explained_and_can_be_lifted() {
    let (mut testbed, one, other) = start_with_two_upstreams(164).await;
    let id = quarantine(&testbed, &[one.clone(), other.clone()]).await;
    let cause = diagnose(&testbed.events(), &id).unwrap().cause;
    for part in [
        "digest",
        "u1",
        "u2",
        "e1",
        "quarantined",
        "version",
        "c1 decided",
    ] {
        assert!(cause.contains(part), "{part} is missing in {cause}");
    }
    // A host that has just started knows it as soon as it serves.
    let _gateway = testbed.start_another_gateway(1).await;
    testbed.wait_for_gateway(1).await;
    let runs = one.run_count() + other.run_count();
    let call = get(DEADLY_PATH, "new-host", 1_500).header("host", "one.example");
    let answer = carobreel::http::send(testbed.caller_address_of(1), call).await;
    let answer = answer.unwrap();
    assert_eq!(answer.status, 503);
    let retry_after: f64 = answer.header("retry-after").parse().unwrap();
    assert!(retry_after >= 3_600.0, "{retry_after}");
    assert_eq!(one.run_count() + other.run_count(), runs);

    let dir = Workdir::new();
    let directory = testbed.directory_address().to_string();
    let listed = dir.run_cli_successfully(&["quarantine", "--directory", &directory]);
    let digest = listed.split(' ').next().unwrap().to_string();
    assert!(cause.contains(&digest), "{listed}");
    assert!(listed.contains("files: quarantined"), "{listed}");
    for upstream in [&one, &other] {
        upstream.set_behavior(Behavior::Normal);
    }
    let clear = ["--service", "files", "--clear", &digest];
    let args = [
        &["quarantine", "--directory", directory.as_str()],
        &clear[..],
    ]
    .concat();
    assert_eq!(dir.run_cli_successfully(&args), "cleared\n");
    wait_for("the request is served again", READY_TIMEOUT, async || {
        status(&testbed, DEADLY_PATH, "again").await == 200
    })
    .await;
}

#[test]
fn the_quarantine_command_checks_its_arguments() {
    let dir = Workdir::new();
    let directory = ["quarantine", "--directory", "127.0.0.1:9"];
    assert_eq!(dir.run_cli(&["quarantine"]).status.code(), Some(2));
    let no_digest = [&directory[..], &["--service", "a", "--clear", "xyz"]].concat();
    assert_eq!(dir.run_cli(&no_digest).status.code(), Some(2));
    assert_eq!(dir.run_cli(&directory).status.code(), Some(1));
}
