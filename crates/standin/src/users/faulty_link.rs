//! A link between the gateways and one engine, or between a gateway and the store, that a test delays, interrupts or
//! resets. It passes the end of a connection on as it came: a close as a close and a reset as a reset.
//!
//! A link that loses segments holds single pieces, and the ends of connections, back as a retransmission does: each
//! direction of a connection waits by itself, what follows waits behind it, and nothing is lost or out of order.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;

/// The longest time for which a copied connection does not notice that the link is up again.
const HELD_PAUSE: Duration = Duration::from_millis(5);
/// The longest time for which a copied connection does not notice that it is to be reset.
const RESET_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct LinkState {
    /// The delay of each piece that is copied, in milliseconds.
    delay_ms: AtomicU64,
    is_held: AtomicBool,
    /// The mean number of pieces from one that comes late to the next, or 0 if none does.
    late_one_in: AtomicU64,
    /// The number of pieces that passed while some came late.
    passed: AtomicU64,
    /// Whether accepted connections are held that are not connected to the engine yet.
    holds_new: AtomicBool,
    /// The number of accepted connections that are not connected to the engine yet.
    waiting: AtomicUsize,
    pairs: Mutex<Vec<Weak<Pair>>>,
}

/// The two connections between which bytes are copied.
#[derive(Debug)]
struct Pair {
    caller: TcpStream,
    server: TcpStream,
    is_reset: AtomicBool,
}

/// A link that forwards connections to an engine until the test program ends.
#[derive(Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl FaultyLink {
    /// Spawns a link to an engine on a free loopback port.
    pub fn spawn(engine: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let state = Arc::<LinkState>::default();
        let accepted = Arc::clone(&state);
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let state = Arc::clone(&accepted);
                thread::spawn(move || connect(caller, engine, &state));
            }
        });
        Self { address, state }
    }

    /// Returns the address at which gateways reach the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Delays each piece from now on.
    pub fn delay(&self, delay_ms: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Holds all bytes and all ends of connections back, or lets them go on.
    pub fn hold(&self, is_held: bool) {
        self.state.is_held.store(is_held, Ordering::SeqCst);
    }

    /// Has one of `one_in` pieces or ends of connections come 200 to 1,000 ms late, as after a lost segment; 0 ends it.
    pub fn lose_segments(&self, one_in: u64) {
        self.state.late_one_in.store(one_in, Ordering::SeqCst);
    }

    /// Holds connections that are accepted from now on before they are connected to the engine, or lets them go on.
    pub fn hold_new(&self, is_held: bool) {
        self.state.holds_new.store(is_held, Ordering::SeqCst);
    }

    /// Returns the number of accepted connections that are not connected to the engine yet.
    pub fn waiting(&self) -> usize {
        self.state.waiting.load(Ordering::SeqCst)
    }

    /// Resets all open connections, towards both sides.
    pub fn reset_all(&self) {
        for pair in self.state.pairs.lock().drain(..) {
            if let Some(pair) = pair.upgrade() {
                pair.reset();
            }
        }
    }
}

impl LinkState {
    fn pass(&self) {
        let delay_ms = self.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        if let Some(delay) = self.retransmission() {
            thread::sleep(delay);
        }
        while self.is_held.load(Ordering::SeqCst) {
            thread::sleep(HELD_PAUSE);
        }
    }

    /// Connects to the engine once new connections are not held.
    fn reach(&self, engine: SocketAddr) -> io::Result<TcpStream> {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        while self.holds_new.load(Ordering::SeqCst) {
            thread::sleep(HELD_PAUSE);
        }
        self.pass();
        let server = TcpStream::connect(engine);
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        server
    }

    /// Returns how late this piece comes, if its segment is lost.
    fn retransmission(&self) -> Option<Duration> {
        const SHORTEST_MS: u64 = 200;
        const SPREAD_MS: u64 = 801;
        let one_in = self.late_one_in.load(Ordering::SeqCst);
        if one_in == 0 {
            return None;
        }
        let mixed = mix(self.passed.fetch_add(1, Ordering::SeqCst));
        let delay_ms = SHORTEST_MS + (mixed >> 32) % SPREAD_MS;
        mixed
            .is_multiple_of(one_in)
            .then(|| Duration::from_millis(delay_ms))
    }
}

/// Returns a number that looks random and depends on nothing but the argument (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn connect(caller: TcpStream, engine: SocketAddr, state: &Arc<LinkState>) {
    let Ok(server) = state.reach(engine) else {
        // The close of a socket that does not linger is a reset.
        let _ = SockRef::from(&caller).set_linger(Some(Duration::ZERO));
        return;
    };
    for stream in [&caller, &server] {
        // The delay of small pieces is the link's own.
        let _ = stream.set_nodelay(true);
        let timeout = stream.set_read_timeout(Some(RESET_PAUSE));
        timeout.expect("a socket takes a timeout");
    }
    let pair = Arc::new(Pair {
        caller,
        server,
        is_reset: AtomicBool::new(false),
    });
    let mut pairs = state.pairs.lock();
    pairs.retain(|pair| pair.strong_count() > 0);
    pairs.push(Arc::downgrade(&pair));
    drop(pairs);
    let (back, held) = (Arc::clone(&pair), Arc::clone(state));
    thread::spawn(move || back.copy(&back.server, &back.caller, &held));
    pair.copy(&pair.caller, &pair.server, state);
}

impl Pair {
    /// Has both connections reset: both threads drop them, and the last one closes them.
    fn reset(&self) {
        for stream in [&self.caller, &self.server] {
            // A connection that has ended by itself needs no reset.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
        self.is_reset.store(true, Ordering::SeqCst);
    }

    /// Copies bytes one way until that direction ends.
    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, state: &LinkState) {
        let mut buffer = [0; 16 * 1024];
        while !self.is_reset.load(Ordering::SeqCst) {
            let count = match from.read(&mut buffer) {
                Err(error) if is_timeout(&error) => continue,
                count => count,
            };
            state.pass();
            match count {
                Ok(0) => {
                    // The other side may be gone already.
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) if to.write_all(&buffer[..count]).is_ok() => {}
                _ => self.reset(),
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
