//! A link between one gateway and one engine that a test can cut while the engine goes on serving others.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use parking_lot::{Condvar, Mutex};
use socket2::{Domain, SockRef, Socket, Type};

/// The number of connections that wait to be accepted while the link is up.
const BACKLOG: i32 = 128;

/// The longest time for which a copied connection does not notice that the link was cut.
const COPY_PAUSE: Duration = Duration::from_millis(5);

/// How a link is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkCut {
    /// Open connections carry nothing, and new ones are never established.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    Refuse,
}

#[derive(Default)]
struct LinkState {
    cut: Mutex<Option<LinkCut>>,
    healed: Condvar,
    callers: Mutex<Vec<Weak<TcpStream>>>,
    /// Connections that fill the queue of those to be accepted while new ones hang.
    fillers: Mutex<Vec<Socket>>,
}

/// A link that forwards connections to an engine until it is cut.
pub struct EngineLink {
    address: SocketAddr,
    listener: Arc<Socket>,
    state: Arc<LinkState>,
}

impl std::fmt::Debug for EngineLink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineLink")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl EngineLink {
    /// Opens a link to an engine on a free loopback port. It lasts until the process ends.
    pub fn spawn(engine: SocketAddr) -> Self {
        let (listener, address) = listen();
        let link = Self {
            address,
            listener: Arc::new(listener),
            state: Arc::default(),
        };
        let (listener, state) = (Arc::clone(&link.listener), Arc::clone(&link.state));
        thread::spawn(move || accept(&listener, engine, &state));
        link
    }

    /// Returns the address at which the gateway reaches the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link.
    pub fn cut(&self, cut: LinkCut) {
        *self.state.cut.lock() = Some(cut);
        match cut {
            LinkCut::Hang => self.hang(),
            LinkCut::Reset => {
                self.refuse();
                for caller in self.state.callers.lock().drain(..) {
                    if let Some(caller) = caller.upgrade() {
                        reset(&caller);
                    }
                }
            }
            LinkCut::Refuse => self.refuse(),
        }
    }

    /// Mends the link. Connections that hung go on.
    pub fn heal(&self) {
        *self.state.cut.lock() = None;
        self.state.fillers.lock().clear();
        self.listener
            .listen(BACKLOG)
            .expect("a bound socket listens");
        self.state.healed.notify_all();
    }

    /// Stops listening; the socket keeps its port.
    fn refuse(&self) {
        self.listener
            .shutdown(Shutdown::Both)
            .expect("a listening socket can stop");
    }

    /// Shortens the queue of connections to be accepted and fills it, so that the kernel establishes no
    /// further one.
    fn hang(&self) {
        const FILLERS: usize = 4;
        self.listener.listen(0).expect("a bound socket listens");
        let mut fillers = self.state.fillers.lock();
        for _ in 0..FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is free");
            filler.set_nonblocking(true).expect("a socket takes a mode");
            // The connection is established later or never.
            let _ = filler.connect(&self.address.into());
            fillers.push(filler);
        }
    }
}

/// Returns a listening socket that keeps its port when it stops listening, which only one does that was
/// bound to the port by number.
fn listen() -> (Socket, SocketAddr) {
    loop {
        let address = free_address();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is free");
        // Without this option, connections that were closed a moment ago keep the address from being bound again.
        socket
            .set_reuse_address(true)
            .expect("a socket takes an option");
        // Another process may have taken the port meanwhile.
        if socket.bind(&address.into()).is_ok() && socket.listen(BACKLOG).is_ok() {
            return (socket, address);
        }
    }
}

/// Returns a loopback address that was free a moment ago.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has a free port");
    listener
        .local_addr()
        .expect("a bound socket has an address")
}

fn accept(listener: &Socket, engine: SocketAddr, state: &Arc<LinkState>) {
    loop {
        let accepted = listener.accept();
        wait_healed(state);
        let Ok((caller, _)) = accepted else {
            continue;
        };
        let caller = Arc::new(TcpStream::from(caller));
        let Ok(server) = TcpStream::connect(engine) else {
            reset(&caller);
            continue;
        };
        let server = Arc::new(server);
        state.callers.lock().push(Arc::downgrade(&caller));
        let back = (Arc::clone(&server), Arc::clone(&caller), Arc::clone(state));
        thread::spawn(move || copy(&back.0, &back.1, &back.2));
        let state = Arc::clone(state);
        thread::spawn(move || copy(&caller, &server, &state));
    }
}

/// Waits until new connections may be served.
fn wait_healed(state: &LinkState) {
    let mut cut = state.cut.lock();
    while cut.is_some() {
        state.healed.wait(&mut cut);
    }
}

/// Copies bytes one way until either side ends the connection; while the link hangs, none.
fn copy(from: &TcpStream, to: &TcpStream, state: &LinkState) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = (&mut &*from).read(&mut buffer).unwrap_or(0);
        while *state.cut.lock() == Some(LinkCut::Hang) {
            thread::sleep(COPY_PAUSE);
        }
        if count == 0 || (&mut &*to).write_all(&buffer[..count]).is_err() {
            // The other side may be gone already.
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Resets a connection.
fn reset(stream: &TcpStream) {
    // A connection that has ended by itself needs no reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
