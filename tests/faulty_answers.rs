//! Upstreams that repeat an earlier refusal on a kept connection, or stop in the middle of a response's head.

mod testbed;

use assert_matches::assert_matches;
use carobreel::gateway::attempt::{AttemptOutcome, Execution};
use testbed::direct::DirectSender;
use testbed::upstream::{Behavior, FakeUpstream};
use testbed::{post, start_with_two_upstreams, Testbed};

fn runs_of(upstreams: &[&FakeUpstream], id: &str) -> usize {
    let of_one = |u: &&FakeUpstream| {
        let observed = u.observed.lock().unwrap();
        observed.runs.iter().filter(|(run, _)| run == id).count()
    };
    upstreams.iter().map(of_one).sum()
}

/// Checks that no request of which a caller was told that it didn't run has run, and that none ran twice.
async fn check_repeated_refusals(network: u8, with_id: bool) {
    let (testbed, one, other) = start_with_two_upstreams(network).await;
    let upstreams = [&one, &other];
    for upstream in upstreams {
        upstream.set_behavior(Behavior::RepeatsRefusal { with_id });
    }
    let mut ran = 0;
    for n in 0..24 {
        let id = format!("once{n}");
        let answer = testbed.request(post("/file/x", &id, 900)).await.unwrap();
        // The refused ones are tried once at each upstream; in between the connections are used again.
        let runs = runs_of(&upstreams, &id);
        assert!(runs <= 1, "{id} ran {runs} times");
        let is_promise = [408, 421, 429, 503].contains(&answer.status.as_u16());
        assert!(
            !(is_promise && runs > 0),
            "{id} ran and got {}",
            answer.status
        );
        ran += runs;
    }
    println!("with_id {with_id}: {ran} of 24 ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_earlier_refusal_with_its_id_is_no_refusal_of_the_next_request() {
    check_repeated_refusals(175, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_earlier_refusal_without_an_id_is_no_refusal_of_the_next_request() {
    check_repeated_refusals(176, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_earlier_refusal_of_the_same_request_is_no_refusal_of_its_next_attempt() {
    let testbed = Testbed::start(178).await;
    let upstream = FakeUpstream::start(&testbed, 1, "files").await;
    upstream.set_behavior(Behavior::RepeatsRefusal { with_id: true });
    let sender = DirectSender::new(&upstream);
    for n in 0..4 {
        let id = format!("again{n}");
        for was_refused in [false, true] {
            let before = runs_of(&[&upstream], &id);
            let outcome = sender.send_with_id(Some(&id), was_refused).await;
            let is_promise = matches!(outcome, AttemptOutcome::Failed(_, Execution::NotRun));
            let has_run = runs_of(&[&upstream], &id) > before;
            assert!(!(is_promise && has_run), "{id}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_stops_at_any_byte_is_no_answer() {
    let testbed = Testbed::start(177).await;
    let upstream = FakeUpstream::start(&testbed, 1, "files").await;
    let sender = DirectSender::new(&upstream);
    let framings = [
        "content-length: 400\r\n",
        "transfer-encoding: chunked\r\n",
        "",
    ];
    for (framing, is_kept) in framings.iter().flat_map(|f| [(f, true), (f, false)]) {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncarobreel-request-id: cut\r\n\
             carobreel-server-stamp: u1.1\r\n{framing}\r\n"
        );
        // Without a length the complete head is an answer, which ends with its connection.
        let stops = 0..head.len() + usize::from(!framing.is_empty());
        for n in stops {
            if is_kept {
                upstream.set_behavior(Behavior::Normal);
                let answered = sender.send_with_id(Some("kept"), false).await;
                assert_matches!(answered, AttemptOutcome::Response(_));
            }
            upstream.set_raw_response(head.as_bytes()[..n].to_vec());
            let runs = upstream.run_count();
            let outcome = sender.send_with_id(Some("cut"), false).await;
            assert_eq!(upstream.run_count(), runs + 1, "the upstream ran it");
            assert_matches!(
                outcome,
                AttemptOutcome::Broken(_),
                "{framing:?}, cut at {n}"
            );
        }
    }
}

/// Sends a request that is answered with this status line, and returns the outcome. The request before it is
/// answered properly, so that the answer comes on a kept connection.
async fn outcome_of_status_line(
    sender: &DirectSender,
    upstream: &FakeUpstream,
    line: &str,
) -> AttemptOutcome {
    upstream.set_behavior(Behavior::Normal);
    let answered = sender.send_with_id(Some("proper"), false).await;
    assert_matches!(answered, AttemptOutcome::Response(_));
    let answer = format!(
        "HTTP/1.1{line}\r\ncarobreel-request-id: odd\r\n\
         carobreel-server-stamp: u1.1\r\ncontent-length: 2\r\n\r\nno"
    );
    upstream.set_raw_response(answer.into_bytes());
    let runs = upstream.run_count();
    let outcome = sender.send_with_id(Some("odd"), false).await;
    assert_eq!(upstream.run_count(), runs + 1, "the upstream ran it");
    outcome
}

/// Guards against a caller getting a status that no HTTP answer may have.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_outside_200_to_599_is_no_answer() {
    let testbed = Testbed::start(179).await;
    let upstream = FakeUpstream::start(&testbed, 1, "files").await;
    let sender = DirectSender::new(&upstream);
    let invalid = [
        " 000 Odd",
        " 001 Odd",
        " 099 Odd",
        " 101 Odd",
        " 600 Odd",
        " 999 Odd",
        " 20 Odd",
        " 2000 Odd",
        " +20 Odd",
        " -20 Odd",
        " 0x2 Odd",
        " 2 0 Odd",
        "  200 Odd",
        "",
        " ",
        " OK",
    ];
    for line in invalid {
        let outcome = outcome_of_status_line(&sender, &upstream, line).await;
        assert_matches!(
            outcome,
            AttemptOutcome::Broken(_) | AttemptOutcome::Failed(_, Execution::MayHaveRun),
            "{line:?}"
        );
    }
    for line in [" 200 OK", " 404 Not Found", " 599 Odd"] {
        let outcome = outcome_of_status_line(&sender, &upstream, line).await;
        assert_matches!(
            outcome,
            AttemptOutcome::Response(_) | AttemptOutcome::ErrorResponse(_),
            "{line:?}"
        );
    }
}

/// Guards against a caller getting an invalid status, and against a connection being used again after one.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_gets_502_for_an_invalid_status_and_the_connection_is_closed() {
    let (testbed, upstream) = Testbed::start_with_upstream(180).await;
    for status in ["000", "101", "600", "999"] {
        let answer = format!(
            "HTTP/1.1 {status} Odd\r\ncarobreel-request-id: odd{status}\r\n\
             carobreel-server-stamp: u1.1\r\ncontent-length: 2\r\n\r\nno"
        );
        upstream.set_raw_response(answer.into_bytes());
        let id = format!("odd{status}");
        let answer = testbed.request(post("/file/x", &id, 900)).await.unwrap();
        assert_eq!(answer.status.as_u16(), 502, "for {status}");
        upstream.set_behavior(Behavior::Normal);
        testbed.wait_until_served().await;
    }
}
