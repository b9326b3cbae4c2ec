//! Requests whose deadline comes near while a connection is being opened.

mod testbed;

use std::time::Duration;

use assert_matches::assert_matches;
use carobreel::gateway::attempt::AttemptOutcome;
use testbed::direct::DirectSender;
use testbed::upstream::FakeUpstream;
use testbed::Testbed;

/// Time for which a busy host doesn't get to a connection that has been opened.
const STALL: Duration = Duration::from_millis(150);

/// Sends a request with `remaining_ms` until its deadline while the host stalls after it began to connect.
async fn send_while_stalled(sender: &DirectSender, remaining_ms: u64) -> AttemptOutcome {
    let sending = sender.send_within(Some("late"), false, remaining_ms);
    // Polled after the sending future, on the same thread.
    let stall = async { std::thread::sleep(STALL) };
    tokio::join!(biased; sending, stall).0
}

fn heads(upstream: &FakeUpstream) -> Vec<String> {
    upstream.observed.lock().unwrap().heads.clone()
}

#[tokio::test]
async fn a_request_isn_t_sent_once_its_deadline_has_passed() {
    let testbed = Testbed::start(179).await;
    let upstream = FakeUpstream::start(&testbed, 1, "files").await;
    let sender = DirectSender::new(&upstream);
    let outcome = send_while_stalled(&sender, 100).await;
    assert_matches!(outcome, AttemptOutcome::NotSent);
    // A request that is sent afterwards is the only one.
    assert_matches!(sender.send().await, AttemptOutcome::Response(_));
    assert_eq!(heads(&upstream).len(), 1);
}

#[tokio::test]
async fn an_upstream_is_told_the_time_that_is_left_when_the_request_is_sent() {
    let testbed = Testbed::start(180).await;
    let upstream = FakeUpstream::start(&testbed, 1, "files").await;
    let sender = DirectSender::new(&upstream);
    let outcome = send_while_stalled(&sender, 1_000).await;
    assert_matches!(outcome, AttemptOutcome::Response(_));
    let head = heads(&upstream).remove(0);
    let deadline = head
        .lines()
        .find_map(|l| l.strip_prefix("carobreel-deadline-ms: "));
    let told_ms: u64 = deadline.unwrap().parse().unwrap();
    let left_ms = 1_000 - STALL.as_millis() as u64;
    assert!((500..=left_ms).contains(&told_ms), "{told_ms}");
}
