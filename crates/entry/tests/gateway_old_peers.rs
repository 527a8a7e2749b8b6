//! Gateways of earlier builds beside new ones: what a gateway believes of the origins of streams and of the software
//! versions that others tell, and what it tells them. The datagrams are written out byte by byte, so that a change of
//! their form, which earlier builds could not read, is seen.

mod gateway;

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};

use gateway::{Call, TestGateway, WAIT_LIMIT, announce_version, store_with_manifest, wait_for};
use oleander_balance::{StreamId, VersionId};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest, UsersStore, WireMessage};
use serde_json::json;

/// The form of datagrams, which all builds since incident 3 have in common.
const FORMAT: u8 = 6;
/// The kinds of datagrams, in the order in which they came to be.
const ORIGINS: u8 = 1;
const ORIGIN_QUERY: u8 = 2;
const ORIGIN_REPLY: u8 = 3;

/// The version of the first engine of each play.
const FIRST: &str = "v1";
/// Another version.
const SECOND: &str = "v2";
/// The id of the last event that the caller of a resumed stream has.
const LAST_SEEN: u64 = 2;
/// The start time of a process that no entry describes.
const LATER_START: u64 = 2_000;
/// The number that names a query of these tests.
const NONCE: u64 = 300;

/// A gateway's view of a service's versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Span {
    Unknown,
    Single(&'static str),
    Mixed,
}

/// Appends a number, in groups of seven bits.
fn push_number(number: u64, out: &mut Vec<u8>) {
    let mut rest = number;
    while rest >= 0x80 {
        out.push((rest & 0x7f) as u8 | 0x80);
        rest >>= 7;
    }
    out.push(rest as u8);
}

/// Takes a number from the front of some bytes.
fn take_number(bytes: &mut &[u8]) -> u64 {
    let mut number = 0;
    for shift in (0..).step_by(7) {
        let (first, rest) = bytes.split_first().expect("a number is whole");
        *bytes = rest;
        number |= u64::from(first & 0x7f) << shift;
        if first & 0x80 == 0 {
            break;
        }
    }
    number
}

/// Returns the datagram that tells which version began a stream.
fn origin(stream: &str, version: VersionId) -> Vec<u8> {
    let mut bytes = vec![FORMAT, ORIGINS, 1];
    push_number(StreamId::of(stream).0, &mut bytes);
    push_number(version.0, &mut bytes);
    bytes
}

/// Returns the datagram that asks where a stream began.
fn origin_query(stream: &str) -> Vec<u8> {
    const SERVICE: &str = "engines";
    let mut bytes = vec![FORMAT, ORIGIN_QUERY];
    push_number(NONCE, &mut bytes);
    push_number(StreamId::of(stream).0, &mut bytes);
    push_number(SERVICE.len() as u64, &mut bytes);
    bytes.extend(SERVICE.as_bytes());
    bytes
}

/// Returns the datagram that answers such a query.
fn origin_reply(nonce: u64, origin: Option<VersionId>, span: Span) -> Vec<u8> {
    let mut bytes = vec![FORMAT, ORIGIN_REPLY];
    push_number(nonce, &mut bytes);
    bytes.push(u8::from(origin.is_some()));
    if let Some(version) = origin {
        push_number(version.0, &mut bytes);
    }
    match span {
        Span::Unknown => bytes.push(0),
        Span::Single(version) => {
            bytes.push(1);
            push_number(VersionId::of(version).0, &mut bytes);
        }
        Span::Mixed => bytes.push(2),
    }
    bytes
}

/// A gateway of an earlier build, as far as others see it: its datagrams.
struct OldPeer {
    socket: UdpSocket,
}

impl OldPeer {
    fn new() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        socket
            .set_read_timeout(Some(WAIT_LIMIT))
            .expect("a socket takes a timeout");
        Self { socket }
    }

    /// Announces it, so that it is asked for origins, and has it answer each query so.
    fn announce(self, store: &UsersStore, origin: Option<VersionId>, span: Span) {
        let nowhere = "127.0.0.1:1";
        let gossip = self.socket.local_addr().expect("an address");
        let entry = json!({
            "control": nowhere, "frontend": nowhere, "gossip": gossip, "zone": "north-a"
        });
        store.put("gateways/edge-9", entry.to_string());
        std::thread::spawn(move || {
            let mut bytes = [0; 2_048];
            while let Ok((len, from)) = self.socket.recv_from(&mut bytes) {
                if let [FORMAT, ORIGIN_QUERY, query @ ..] = &bytes[..len] {
                    let nonce = take_number(&mut &*query);
                    let reply = origin_reply(nonce, origin, span);
                    // The gateway may have ended.
                    let _ = self.socket.send_to(&reply, from);
                }
            }
        });
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) {
        self.socket.send_to(bytes, to).expect("loopback takes it");
    }

    /// Returns what the gateway replies to a query.
    fn ask(&self, gateway: &TestGateway, stream: &str) -> Vec<u8> {
        self.send(&origin_query(stream), gateway.gossip);
        let mut bytes = [0; 2_048];
        loop {
            let (len, _) = self.socket.recv_from(&mut bytes).expect("a reply in time");
            if bytes.starts_with(&[FORMAT, ORIGIN_REPLY]) {
                return bytes[..len].to_vec();
            }
        }
    }
}

/// Returns an engine that goes on with each stream after the event that its caller has, and ends it.
fn engine() -> ScriptedEngine {
    ScriptedEngine::spawn(|request| {
        let mut bytes = request.stream_head();
        bytes.extend(SeenRequest::event(request.resume_point() + 1));
        bytes.extend(b"0\r\n\r\n");
        EngineReply::Bytes(bytes)
    })
}

/// A gateway before an engine of each version.
struct Play {
    store: UsersStore,
    engines: Vec<(&'static str, ScriptedEngine)>,
    gateway: TestGateway,
}

impl Play {
    fn start(versions: &[&'static str]) -> Self {
        let store = store_with_manifest();
        let start = |version: &&'static str| {
            let engine = engine();
            let id = format!("i-{version}");
            announce_version(&store, &id, "engines", &engine, "available", version);
            (*version, engine)
        };
        let engines = versions.iter().map(start).collect();
        Self {
            engines,
            gateway: TestGateway::start(&store),
            store,
        }
    }

    /// Has a peer of an earlier build answer queries for origins so.
    fn add_peer(&self, origin: Option<VersionId>, span: Span) {
        OldPeer::new().announce(&self.store, origin, span);
        self.gateway.wait_log("belief", |line| {
            line["change"] == "gateway-joined" && line["gateway"] == "edge-9"
        });
    }

    fn resume(&self, stream: &str) -> WireMessage {
        let call = Call::stream("b1");
        let headers = format!(
            "{}Last-Event-Id: {LAST_SEEN}\r\nResumes: {stream}\r\n",
            call.headers
        );
        self.gateway.caller().call(&Call {
            headers: &headers,
            ..call
        })
    }

    /// Returns the versions of the engines that got anything.
    fn reached(&self) -> BTreeSet<&'static str> {
        let reached = self
            .engines
            .iter()
            .filter(|(_, engine)| !engine.seen().is_empty());
        reached.map(|(version, _)| *version).collect()
    }
}

// Guards against the loss of all streams that began at gateways of an earlier build while an upgrade runs: their records have
// no mark that the process was asked, and a stream goes on by them.
#[test]
fn a_stream_goes_on_at_the_version_that_an_earlier_build_recorded() {
    for version in [FIRST, SECOND] {
        let play = Play::start(&[FIRST, SECOND]);
        let old = OldPeer::new();
        let recorded = VersionId::of(version);
        old.send(&origin("a1", recorded), play.gateway.gossip);
        assert_eq!(
            old.ask(&play.gateway, "a1"),
            origin_reply(NONCE, Some(recorded), Span::Mixed)
        );
        assert_eq!(play.resume("a1").status(), 200);
        assert_eq!(play.reached(), BTreeSet::from([version]));
    }
}

// Guards against a stream that goes on by the record of an earlier build although another gateway has recorded that its version
// cannot be told, in either order.
#[test]
fn a_record_of_no_certain_version_goes_before_one_of_an_earlier_build() {
    let recorded = VersionId::of(FIRST);
    for versions in [
        [recorded, VersionId::UNCERTAIN],
        [VersionId::UNCERTAIN, recorded],
    ] {
        let play = Play::start(&[FIRST, SECOND]);
        let old = OldPeer::new();
        for version in versions {
            old.send(&origin("a1", version), play.gateway.gossip);
        }
        assert_eq!(
            old.ask(&play.gateway, "a1"),
            origin_reply(NONCE, Some(VersionId::UNCERTAIN), Span::Mixed)
        );
        assert_eq!(play.resume("a1").status(), 503);
        assert!(play.reached().is_empty());
    }
}

// Guards against a form of replies that earlier builds cannot read, and against one that tells them of a single version while
// there may be another.
#[test]
fn earlier_builds_are_told_which_versions_a_service_has_had() {
    let cases: [(&[&'static str], Span); 2] = [
        (&[FIRST], Span::Single(FIRST)),
        (&[FIRST, SECOND], Span::Mixed),
    ];
    for (versions, span) in cases {
        let play = Play::start(versions);
        let reply = OldPeer::new().ask(&play.gateway, "unknown");
        assert_eq!(reply, origin_reply(NONCE, None, span));
    }
}

// Guards against an earlier build that lets a stream of unknown origin go on while a process is known that no entry describes.
#[test]
fn earlier_builds_are_told_of_a_process_that_is_not_registered() {
    let play = Play::start(&[FIRST]);
    let (_, engine) = &play.engines[0];
    engine.set_start(LATER_START);
    wait_for("a stream begins", || {
        play.gateway.caller().call(&Call::stream("a1")).status() == 200
    });
    let reply = OldPeer::new().ask(&play.gateway, "unknown");
    assert_eq!(reply, origin_reply(NONCE, None, Span::Mixed));
}

// Guards against a stream of unknown origin that goes on at the only version that this gateway has seen although one of an earlier
// build has seen another, and against one that is lost because such a gateway knows nothing.
#[test]
fn what_an_earlier_build_has_seen_of_versions_counts() {
    let cases = [
        (None, Span::Unknown, 200),
        (None, Span::Single(FIRST), 200),
        (None, Span::Single(SECOND), 503),
        (None, Span::Mixed, 503),
        (Some(VersionId::of(FIRST)), Span::Mixed, 200),
        (Some(VersionId::of(SECOND)), Span::Single(FIRST), 503),
        (Some(VersionId::UNCERTAIN), Span::Single(FIRST), 503),
    ];
    for (origin, span, status) in cases {
        let play = Play::start(&[FIRST]);
        play.add_peer(origin, span);
        let got = play.resume("a1").status();
        assert_eq!(got, status, "{origin:?} {span:?}");
    }
}

// Guards against a mark after the records of a datagram that gateways without knowledge of it would not read past: they have to
// take over the records as if it were not there.
#[test]
fn records_are_taken_over_whatever_follows_them() {
    let play = Play::start(&[FIRST, SECOND]);
    let old = OldPeer::new();
    let recorded = VersionId::of(FIRST);
    let mut marked = origin("a1", recorded);
    marked.push(1);
    old.send(&marked, play.gateway.gossip);
    let reply = old.ask(&play.gateway, "a1");
    assert_eq!(reply, origin_reply(NONCE, Some(recorded), Span::Mixed));
}
