//! Measures the cost of membership per node, for a number of idle endpoints in this process:
//! network bytes including all headers, and CPU time.
//!
//! Usage: `control_bytes CENTRES MEMBERS [SECONDS [CHANGES [SETTLE]]]`, where `CHANGES` is the
//! number of new record revisions per second, and `SETTLE` is the number of seconds between
//! joining and measuring.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use oleander_base::prelude::*;
use oleander_peer::{
    CertificateAuthority, MemberState, PeerCall, PeerEndpoint, PeerHandler, PeerMessage, PeerReply,
    PeerSettings, PeerStream, StreamOpen, TlsFiles,
};
use tokio::runtime::{Builder, Handle};

/// Clock ticks per second in `/proc/self/stat`.
const CLOCK_TICKS: f64 = 100.0;

/// The timeout until all endpoints see each other as live.
const JOIN_TIMEOUT: Duration = Duration::from_secs(120);

/// The default number of seconds after joining until the measurement starts, in which the join
/// traffic ends.
const SETTLE_SECONDS: f64 = 15.0;

struct IdleHandler;

impl PeerHandler for IdleHandler {
    fn on_message(&self, _from: InstanceId, _message: PeerMessage) {}

    fn on_call(&self, _from: InstanceId, _call: PeerCall) -> BoxFuture<'static, PeerReply> {
        std::future::ready(PeerReply::Unsupported).boxed()
    }

    fn on_stream(&self, _from: InstanceId, _open: StreamOpen, _stream: PeerStream) {}
}

fn main() {
    let arguments: Vec<f64> = std::env::args()
        .skip(1)
        .map(|argument| argument.parse().expect("numbers as arguments"))
        .collect();
    let argument = |index: usize, default| arguments.get(index).copied().unwrap_or(default);
    let centres = argument(0, 1.0) as usize;
    let members = argument(1, 4.0) as usize;
    let span = Duration::from_secs_f64(argument(2, 30.0));
    let changes = argument(3, 0.0);
    let settle_time = Duration::from_secs_f64(argument(4, SETTLE_SECONDS));

    let runtime = Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime");
    let directory = std::env::temp_dir().join(format!("control-bytes-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let authority = CertificateAuthority::generate("measurement").expect("an authority");
    let files = authority.issue("node").expect("a certificate");
    let tls = files.write_to(&directory).expect("written files");

    let endpoints = bind_all(centres, members, &tls, runtime.handle());
    std::fs::remove_dir_all(&directory).expect("the directory goes");
    let joined = wait_joined(&endpoints);
    std::thread::sleep(settle_time);
    measure(&endpoints, centres, joined, span, changes);
}

fn bind_all(centres: usize, members: usize, tls: &TlsFiles, runtime: &Handle) -> Vec<PeerEndpoint> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut endpoints: Vec<PeerEndpoint> = Vec::new();
    for index in 0..centres * members {
        let name = format!("centre-{}", index % centres);
        let mut settings = PeerSettings::new(listen, CentreId::from_name(&name), tls.clone());
        settings.runtime = Some(runtime.clone());
        settings.seeds = endpoints
            .first()
            .map(|e| e.instance().address)
            .into_iter()
            .collect();
        let endpoint = PeerEndpoint::bind(settings, Arc::new(IdleHandler)).expect("an endpoint");
        endpoint.serve();
        endpoints.push(endpoint);
    }
    endpoints
}

fn wait_joined(endpoints: &[PeerEndpoint]) -> Duration {
    let start = Instant::now();
    let live = |endpoint: &PeerEndpoint| {
        let view = endpoint.members();
        let live = view
            .members
            .values()
            .filter(|m| m.state == MemberState::Live);
        live.count() == endpoints.len()
    };
    while !endpoints.iter().all(live) {
        if start.elapsed() > JOIN_TIMEOUT {
            let mut incomplete = endpoints.iter().filter(|endpoint| !live(endpoint));
            let dump = incomplete
                .next_back()
                .map(PeerEndpoint::dump)
                .unwrap_or_default();
            panic!("the fleet did not converge\n{dump}");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    start.elapsed()
}

fn measure(
    endpoints: &[PeerEndpoint],
    centres: usize,
    joined: Duration,
    span: Duration,
    changes: f64,
) {
    let before: Vec<_> = endpoints.iter().map(PeerEndpoint::counters).collect();
    let cpu = cpu_seconds();
    let start = Instant::now();
    let mut revision = 0;
    while start.elapsed() < span {
        std::thread::sleep(Duration::from_millis(20));
        if changes > 0.0 && start.elapsed().as_secs_f64() * changes > revision as f64 {
            revision += 1;
            endpoints
                .iter()
                .for_each(|e| e.set_revision(Revision(revision)));
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    let cpu = cpu_seconds() - cpu;
    let mut sent = Vec::new();
    let mut received = Vec::new();
    let mut packets = 0;
    let mut dials = 0;
    for (endpoint, before) in endpoints.iter().zip(&before) {
        let after = endpoint.counters();
        let (new, old) = (after.traffic, before.traffic);
        sent.push((new.sent_bytes - old.sent_bytes) as f64 / seconds);
        received.push((new.received_bytes - old.received_bytes) as f64 / seconds);
        packets += new.sent_packets - old.sent_packets;
        dials += after.dialled + after.dial_failures - before.dialled - before.dial_failures;
    }
    let nodes = endpoints.len() as f64;
    println!(
        "centres {centres} nodes {nodes} changes/s {changes} joined in {:.1} s: sent {:.0} B/s a node \
         (largest {:.0}), received {:.0} B/s (largest {:.0}), {:.1} packets/s sent, dials {dials}, \
         processor {:.2} % of a core a node",
        joined.as_secs_f64(),
        mean(&sent),
        largest(&sent),
        mean(&received),
        largest(&received),
        packets as f64 / seconds / nodes,
        cpu / seconds / nodes * 100.0,
    );
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Returns the CPU time of this process so far, in seconds.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("a Linux system");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("a number");
    (ticks(11) + ticks(12)) / CLOCK_TICKS
}
