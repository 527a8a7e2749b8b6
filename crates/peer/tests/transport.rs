//! Messages, calls and streams between real endpoints on loopback.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{TestFiles, bind, settings, status, wait_until};
use oleander_base::Verdict;
use oleander_peer::{PeerCall, PeerError, PeerReply, StreamOpen};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(future)
}

#[test]
fn messages_arrive_once_and_in_order_in_both_directions() {
    let files = TestFiles::generate();
    let first = bind(settings(&files, "a"));
    let second = bind(settings(&files, "a"));
    let warm_up = PeerCall::FetchRecords(Bytes::new());
    let called = first
        .endpoint
        .call(second.endpoint.instance(), warm_up, CALL_TIMEOUT);
    block_on(called).expect("one connection");
    for _ in 0..1_000 {
        first
            .endpoint
            .send(second.endpoint.instance(), &status("one"));
        first
            .endpoint
            .send(second.endpoint.instance(), &status("two"));
        second
            .endpoint
            .send(first.endpoint.instance(), &status("back"));
    }
    wait_until("all messages are there", || {
        second.handler.messages.lock().len() >= 2_000
            && first.handler.messages.lock().len() >= 1_000
    });
    let messages = second.handler.messages.lock();
    assert_eq!(messages.len(), 2_000);
    for (index, (from, message)) in messages.iter().enumerate() {
        assert_eq!(*from, first.endpoint.instance());
        let expected = if index % 2 == 0 { "one" } else { "two" };
        assert_eq!(*message, status(expected));
    }
    let counters = first.endpoint.counters();
    assert_eq!(counters.dropped, 0, "{counters}");
}

#[test]
fn a_handler_that_panics_does_not_stop_later_messages() {
    let files = TestFiles::generate();
    let first = bind(settings(&files, "a"));
    let second = bind(settings(&files, "a"));
    let to = second.endpoint.instance();
    first.endpoint.send(to, &status("panic"));
    wait_until("a later message is there", || {
        first.endpoint.send(to, &status("later"));
        !second.handler.messages.lock().is_empty()
    });
}

#[test]
fn calls_carry_their_verdict() {
    let files = TestFiles::generate();
    let first = bind(settings(&files, "a"));
    let second = bind(settings(&files, "a"));
    let to = second.endpoint.instance();
    let call = |call| block_on(first.endpoint.call(to, call, CALL_TIMEOUT));

    let body = Bytes::from_static(b"digest");
    let reply = call(PeerCall::FetchRecords(body.clone()));
    assert_eq!(reply, Ok(PeerReply::Answer(body)));

    let error = call(PeerCall::FetchSnapshot(Bytes::new())).expect_err("a refusal");
    assert!(matches!(error, PeerError::Refused { .. }), "{error}");
    assert_eq!(error.verdict(), Verdict::NotRun);

    let silent = PeerCall::ForwardRequest(Bytes::new());
    let error = block_on(first.endpoint.call(to, silent, Duration::from_millis(200)));
    assert_eq!(error.expect_err("no reply").verdict(), Verdict::MayHaveRun);

    second.endpoint.shutdown();
    block_on(second.endpoint.closed());
    let error = call(PeerCall::FetchRecords(Bytes::new())).expect_err("nobody there");
    assert_eq!(error.verdict(), Verdict::NotRun, "{error}");
}

#[test]
fn a_stream_is_complete_or_ends_in_an_error() {
    let files = TestFiles::generate();
    let first = bind(settings(&files, "a"));
    let second = bind(settings(&files, "b"));
    let to = second.endpoint.instance();
    block_on(async {
        let open = StreamOpen::ForwardRequest(Bytes::from_static(b"head"));
        let mut stream = first
            .endpoint
            .open_stream(to, open)
            .await
            .expect("a stream");
        stream
            .send(Bytes::from(vec![7; 300_000]))
            .await
            .expect("sent");
        stream.finish();
        let mut received = Vec::new();
        while let Some(bytes) = stream.receive().await.expect("no error") {
            received.extend_from_slice(&bytes);
        }
        assert_eq!(&received[..4], b"head");
        assert_eq!(received.len(), 4 + 300_000);

        let open = StreamOpen::Reconnect(Bytes::new());
        let mut stream = first
            .endpoint
            .open_stream(to, open)
            .await
            .expect("a stream");
        let marker = Bytes::from_static(b"abandon");
        stream.send(marker).await.expect("sent");
        let error = stream.receive().await.expect_err("a truncated stream");
        assert_eq!(error.verdict(), Verdict::MayHaveRun);
    });
}
