//! Property tests of the wire format.

use bytes::BytesMut;
use oleander_base::prelude::*;
use oleander_base::{GrantNotice, ShedNotice, ShedReason, WithdrawNotice};
use oleander_peer::{DecodedMessage, FrameBuffer, PeerMessage, encode_message};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn any_request() -> impl Strategy<Value = RequestId> {
    (any::<[u8; 4]>(), any::<u16>(), any::<u64>(), any::<u64>()).prop_map(
        |(ip, port, incarnation, serial)| RequestId {
            origin: InstanceId {
                address: (ip, port).into(),
                incarnation,
            },
            serial,
        },
    )
}

fn any_message() -> impl Strategy<Value = PeerMessage> {
    let requests = || proptest::collection::vec(any_request(), 0..5);
    let grant = |request| GrantNotice {
        request,
        backend: BackendId(7),
    };
    let withdraw = |request| WithdrawNotice {
        request,
        pool: PoolId {
            centre: CentreId(1),
            model: ModelId(2),
        },
    };
    let shed = |request| ShedNotice {
        request,
        reason: ShedReason::Expired,
        retry_after: Span::from_secs(1),
    };
    let bytes = || proptest::collection::vec(any::<u8>(), 0..40);
    prop_oneof![
        requests().prop_map(move |r| PeerMessage::Withdraw(r.into_iter().map(withdraw).collect())),
        requests().prop_map(PeerMessage::Misrouted),
        requests().prop_map(move |r| PeerMessage::Grant(r.into_iter().map(grant).collect())),
        requests().prop_map(move |r| PeerMessage::Shed(r.into_iter().map(shed).collect())),
        bytes().prop_map(|b| PeerMessage::Records(b.into())),
        bytes().prop_map(|b| PeerMessage::Status(b.into())),
    ]
}

fn drain(buffer: &mut FrameBuffer) -> Vec<PeerMessage> {
    let mut messages = Vec::new();
    while let Some(decoded) = buffer.next_message().expect("well-formed frames") {
        match decoded {
            DecodedMessage::Known(message) => messages.push(message),
            DecodedMessage::Unknown(kind) => panic!("kind {kind}"),
        }
    }
    messages
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn messages_round_trip_however_the_stream_is_split(
        messages in proptest::collection::vec(any_message(), 0..8),
        chunk_size in 1..50_usize,
    ) {
        let mut bytes = BytesMut::new();
        for message in &messages {
            encode_message(message, &mut bytes);
        }
        let mut buffer = FrameBuffer::default();
        let mut received = Vec::new();
        for part in bytes.chunks(chunk_size) {
            buffer.extend(part);
            received.extend(drain(&mut buffer));
        }
        prop_assert_eq!(received, messages);
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(
        body in proptest::collection::vec(any::<u8>(), 0..200),
        kind in 0..16_u16,
    ) {
        let mut raw = FrameBuffer::default();
        raw.extend(&body);
        while let Ok(Some(_)) = raw.next_message() {}

        let mut framed = FrameBuffer::default();
        framed.extend(&(body.len() as u32).to_le_bytes());
        framed.extend(&kind.to_le_bytes());
        framed.extend(&body);
        let _ = framed.next_message();
        prop_assert_eq!(framed.next_message(), Ok(None));
    }
}
