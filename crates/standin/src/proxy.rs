//! A TCP proxy that simulates network failures between two real processes.
//!
//! Each direction of a connection has a reader and a writer with a queue between them. The reader
//! gives every chunk the time at which it may be sent, so that a delay preserves order and
//! throughput. A blocked direction queues its bytes and sends them when the fault ends, as after a
//! healed partition. A cut closes both sides at once.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::Instant;

use crate::counters::bump;

/// The maximum size of a chunk, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// The maximum number of queued chunks in each direction.
const MAX_QUEUED_CHUNKS: usize = 1_024;

/// The point at which a connection is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CutPoint {
    /// Connections are not cut.
    #[default]
    Never,
    /// Right after the connection is accepted.
    AtAccept,
    /// When the first byte of the request arrives; nothing is forwarded.
    BeforeRequest,
    /// After this number of request bytes was forwarded.
    InRequest(u64),
    /// When the first byte of the answer arrives; the request is forwarded, the answer is not.
    BeforeAnswer,
    /// After this number of answer bytes was forwarded.
    InAnswer(u64),
}

/// The faults of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DirectionFault {
    /// The delay of every chunk.
    pub delay: Duration,
    /// Whether bytes are held back.
    pub blocked: bool,
    /// The rate of the link that all connections share, in bytes a second, if it has one.
    pub bytes_per_s: Option<u64>,
}

/// The faults of a proxy. The default forwards everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProxyFaults {
    /// The point at which connections are cut.
    pub cut: CutPoint,
    /// The faults from the caller to the target.
    pub to_target: DirectionFault,
    /// The faults from the target to the caller.
    pub to_caller: DirectionFault,
}

/// The counters of a proxy.
#[derive(Debug, Default)]
struct ProxyCounters {
    connections: AtomicU64,
    cuts: AtomicU64,
}

/// A running TCP proxy. Dropping it stops its thread and cuts its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    faults: watch::Sender<ProxyFaults>,
    cut_all: watch::Sender<u64>,
    counters: Arc<ProxyCounters>,
    stop: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a free loopback port.
    pub fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (faults, fault_receiver) = watch::channel(ProxyFaults::default());
        let (cut_all, cut_receiver) = watch::channel(0);
        let counters = Arc::new(ProxyCounters::default());
        let stop = Arc::new(Notify::new());
        let route = ProxyRoute {
            target,
            faults: fault_receiver,
            cut_all: cut_receiver,
            counters: counters.clone(),
            links: SharedLinks::default(),
        };
        let stopped = stop.clone();
        let thread = spawn_runtime("fault-proxy", async move {
            tokio::select! {
                () = accept_all(listener, route) => {}
                () = stopped.notified() => {}
            }
        })?;
        Ok(Self {
            address,
            faults,
            cut_all,
            counters,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults, also for open connections.
    pub fn set(&self, faults: ProxyFaults) {
        self.faults.send_replace(faults);
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.set(ProxyFaults::default());
    }

    /// Cuts all open connections.
    pub fn cut_all(&self) {
        self.cut_all.send_modify(|count| *count += 1);
    }

    /// Returns the number of connections that were accepted.
    pub fn connections(&self) -> u64 {
        self.counters.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were cut by a fault or by [`Self::cut_all`].
    pub fn cuts(&self) -> u64 {
        self.counters.cuts.load(Ordering::Relaxed)
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs a future on a new thread with a single-threaded runtime.
pub(crate) fn spawn_runtime(
    name: &str,
    future: impl Future<Output = ()> + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || LocalSet::new().block_on(&runtime, future))
}

/// The target, the faults and the counters, cloned for every connection of a proxy.
#[derive(Debug, Clone)]
struct ProxyRoute {
    target: SocketAddr,
    faults: watch::Receiver<ProxyFaults>,
    cut_all: watch::Receiver<u64>,
    counters: Arc<ProxyCounters>,
    links: SharedLinks,
}

/// The times until which both directions of the shared link are busy.
#[derive(Debug, Clone, Default)]
struct SharedLinks {
    to_target: LinkClock,
    to_caller: LinkClock,
}

type LinkClock = Arc<Mutex<Option<Instant>>>;

impl SharedLinks {
    /// Waits until a chunk has passed the link of one direction.
    async fn pass(&self, direction: Direction, fault: DirectionFault, bytes: usize) {
        let Some(rate) = fault.bytes_per_s else {
            return;
        };
        let clock = match direction {
            Direction::ToTarget => &self.to_target,
            Direction::ToCaller => &self.to_caller,
        };
        let passed = {
            let mut busy_until = clock.lock();
            let start = busy_until.map_or_else(Instant::now, |until| until.max(Instant::now()));
            let passed = start + Duration::from_secs_f64(bytes as f64 / rate as f64);
            *busy_until = Some(passed);
            passed
        };
        tokio::time::sleep_until(passed).await;
    }
}

async fn accept_all(listener: StdListener, route: ProxyRoute) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        bump(&route.counters.connections);
        tokio::task::spawn_local(serve(stream, route.clone()));
    }
}

async fn serve(caller: TcpStream, mut route: ProxyRoute) {
    route.cut_all.mark_unchanged();
    if route.faults.borrow().cut == CutPoint::AtAccept {
        bump(&route.counters.cuts);
        return;
    }
    let Ok(target) = TcpStream::connect(route.target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    let requests = pump(
        caller_read,
        target_write,
        route.clone(),
        Direction::ToTarget,
    );
    let answers = pump(
        target_read,
        caller_write,
        route.clone(),
        Direction::ToCaller,
    );
    let counters = route.counters.clone();
    let cut = async {
        let _ = route.cut_all.changed().await;
        // Counted before the connection closes, so that an observer of the closed connection also
        // sees the count.
        bump(&counters.cuts);
    };
    tokio::select! {
        () = join_pumps(requests, answers) => {}
        () = cut => {}
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

/// How the forwarding of one direction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PumpOutcome {
    /// The sender closed its side or could not be read from, and the close was forwarded to the
    /// receiver.
    Closed,
    /// The receiver is gone, a fault cuts the connection, or the proxy is dropped.
    Broken,
}

/// Waits until both directions are closed or either one is broken.
async fn join_pumps(
    requests: impl Future<Output = PumpOutcome>,
    answers: impl Future<Output = PumpOutcome>,
) {
    tokio::pin!(requests, answers);
    let (first, remaining) = tokio::select! {
        outcome = &mut requests => (outcome, Direction::ToCaller),
        outcome = &mut answers => (outcome, Direction::ToTarget),
    };
    match (first, remaining) {
        (PumpOutcome::Closed, Direction::ToCaller) => answers.await,
        (PumpOutcome::Closed, Direction::ToTarget) => requests.await,
        (PumpOutcome::Broken, _) => PumpOutcome::Broken,
    };
}

impl Direction {
    fn fault(self, faults: &ProxyFaults) -> DirectionFault {
        match self {
            Self::ToTarget => faults.to_target,
            Self::ToCaller => faults.to_caller,
        }
    }

    /// Returns the number of bytes that are forwarded in this direction before the connection is
    /// cut.
    fn byte_limit(self, cut: CutPoint) -> u64 {
        match (self, cut) {
            (Self::ToTarget, CutPoint::BeforeRequest) => 0,
            (Self::ToTarget, CutPoint::InRequest(bytes)) => bytes,
            (Self::ToCaller, CutPoint::BeforeAnswer) => 0,
            (Self::ToCaller, CutPoint::InAnswer(bytes)) => bytes,
            _ => u64::MAX,
        }
    }
}

type QueuedChunk = (Instant, Vec<u8>);

async fn pump(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    route: ProxyRoute,
    direction: Direction,
) -> PumpOutcome {
    let (queue, queued) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let reading = read_chunks(from, queue, route.faults.clone(), direction);
    let writing = write_chunks(to, queued, route, direction);
    let ((), outcome) = tokio::join!(reading, writing);
    outcome
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    queue: mpsc::Sender<QueuedChunk>,
    faults: watch::Receiver<ProxyFaults>,
    direction: Direction,
) {
    loop {
        let mut chunk = vec![0; CHUNK_BYTES];
        let read = tokio::select! {
            read = from.read(&mut chunk) => read.unwrap_or(0),
            () = queue.closed() => 0,
        };
        if read == 0 {
            return;
        }
        chunk.truncate(read);
        let due = Instant::now() + direction.fault(&faults.borrow()).delay;
        if queue.send((due, chunk)).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut queued: mpsc::Receiver<QueuedChunk>,
    mut route: ProxyRoute,
    direction: Direction,
) -> PumpOutcome {
    let mut passed = 0;
    while let Some((due, chunk)) = queued.recv().await {
        tokio::time::sleep_until(due).await;
        let unblocked = route
            .faults
            .wait_for(|faults| !direction.fault(faults).blocked)
            .await;
        let Ok(cut) = unblocked.map(|faults| faults.cut) else {
            return PumpOutcome::Broken;
        };
        let remaining_bytes = direction.byte_limit(cut).saturating_sub(passed);
        let part = chunk
            .len()
            .min(usize::try_from(remaining_bytes).unwrap_or(usize::MAX));
        let fault = direction.fault(&route.faults.borrow());
        route.links.pass(direction, fault, part).await;
        if to.write_all(&chunk[..part]).await.is_err() {
            return PumpOutcome::Broken;
        }
        passed += part as u64;
        if part < chunk.len() {
            bump(&route.counters.cuts);
            return PumpOutcome::Broken;
        }
    }
    match to.shutdown().await {
        Ok(()) => PumpOutcome::Closed,
        Err(_) => PumpOutcome::Broken,
    }
}
