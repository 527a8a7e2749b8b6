//! Tests that the event parser yields the same events however the stream is divided into pieces.

use ntex::util::Bytes;
use oleander_engine::{EventParser, RawEvent};
use proptest::prelude::*;

fn parse(pieces: &[&[u8]]) -> Vec<RawEvent> {
    let mut parser = EventParser::default();
    let mut events = Vec::new();
    for piece in pieces {
        parser.push(Bytes::copy_from_slice(piece)).unwrap();
        while let Some(event) = parser.next_event() {
            events.push(event);
        }
    }
    assert!(parser.is_empty());
    events
}

#[test]
fn comments_names_and_line_endings_are_understood() {
    let text =
        b": hello\n\nevent: x\ndata: a\n\ndata:b\r\n\r\ndata: c\ndata: d\n\ndata: [DONE]\n\n";
    let data = |text: &'static str| RawEvent::Data(Bytes::from_static(text.as_bytes()));
    let wanted = vec![data("a"), data("b"), data("c\nd"), RawEvent::End];
    assert_eq!(parse(&[text]), wanted);
}

#[test]
fn the_last_id_is_that_of_a_complete_event() {
    let mut parser = EventParser::default();
    parser
        .push(Bytes::from_static(b"id: 1.1\ndata: a\n\nid: 2."))
        .unwrap();
    assert!(parser.next_event().is_some());
    assert!(parser.next_event().is_none());
    assert_eq!(parser.last_id(), Some("1.1"));
    parser.push(Bytes::from_static(b"5\ndata: b\n\n")).unwrap();
    assert!(parser.next_event().is_some());
    assert_eq!(parser.last_id(), Some("2.5"));
}

proptest! {
    #[test]
    fn division_does_not_matter(
        payloads in proptest::collection::vec("[a-z{}\":]{0,40}", 0..12),
        cuts in proptest::collection::vec(0_usize..600, 0..20),
    ) {
        let mut text = Vec::new();
        for payload in &payloads {
            text.extend_from_slice(format!("data: {payload}\n\n").as_bytes());
        }
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let pieces: Vec<_> = cuts.windows(2).map(|pair| &text[pair[0]..pair[1]]).collect();
        let wanted: Vec<_> = payloads
            .iter()
            .map(|payload| RawEvent::Data(Bytes::copy_from_slice(payload.as_bytes())))
            .collect();
        prop_assert_eq!(parse(&pieces), wanted);
    }
}
