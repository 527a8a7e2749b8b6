//! Answers of other gateways that end with their connection. A gateway frames all of its answers, so that the end of the
//! connection is the end of the process and not of the answer.

mod gateway;

use gateway::Call;
use gateway::relaying::{FirstAnswer, RelayFleet};
use oleander_standin::users::{EngineReply, SeenRequest};

/// Returns a signed answer with neither a length nor chunks, as one that is cut may look.
fn unframed_answer(request: &SeenRequest) -> EngineReply {
    let framed = String::from_utf8(request.answer("half")).expect("an answer is text");
    EngineReply::BytesThenClose(framed.replace("Content-Length: 4\r\n", "").into_bytes())
}

/// Returns the first event of a stream that ends with its connection.
fn unframed_event(request: &SeenRequest) -> EngineReply {
    let mut bytes = request.unframed_stream_head();
    bytes.extend(SeenRequest::event_text(1).into_bytes());
    EngineReply::BytesThenClose(bytes)
}

/// Returns the first event of a stream in chunks whose last chunk does not come.
fn chunked_event(request: &SeenRequest) -> EngineReply {
    let mut bytes = request.stream_head();
    bytes.extend(SeenRequest::event(1));
    EngineReply::BytesThenClose(bytes)
}

// Guards against an answer of another gateway that is cut and delivered as whole.
#[test]
fn an_unframed_answer_of_another_gateway_is_cut() {
    let fleet = RelayFleet::start();
    fleet.check(&Call::publish("once"), unframed_answer, 1, 502);
    fleet.check(&Call::lookup("again"), unframed_answer, 2, 200);
}

// Guards against a stream that another gateway has begun, and that ends as whole between two events.
#[test]
fn a_stream_of_another_gateway_that_ends_between_two_events_is_not_whole() {
    let fleet = RelayFleet::start();
    let cuts: [(&str, FirstAnswer); 2] = [("unframed", unframed_event), ("chunked", chunked_event)];
    for (kind, cut) in cuts {
        *fleet.first_answer.lock() = cut;
        let draft = format!("draft-{kind}");
        let answer = fleet.asking.caller().call(&Call {
            path: "/draft/x",
            ..Call::stream(&draft)
        });
        assert_eq!(answer.text(), SeenRequest::event_text(1), "{kind}");
        assert!(!answer.is_whole, "{kind}");
        assert_eq!(fleet.relays(&draft), 1, "{kind}");
        let digest = format!("digest-{kind}");
        let answer = fleet.asking.caller().call(&Call::stream(&digest));
        let events = SeenRequest::event_text(1) + &SeenRequest::event_text(2);
        assert_eq!(answer.text(), events, "{kind}");
        assert!(answer.is_whole, "{kind}");
        assert_eq!(fleet.relays(&digest), 2, "{kind}");
    }
}
