//! A fake of the users' provider, which takes usage reports and scaling orders and checks the rules for
//! their holders. All calls get the same answer, by its mode; [`ScalingProvider`](super::ScalingProvider)
//! answers each scaling order by a function.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};
use serde_json::Value;

use super::duty_checker::{DutyChecker, ProviderCall};
use super::wire_reader::{WireMessage, read_message};

/// How the provider responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProviderMode {
    /// Calls are accepted.
    Serving,
    /// Every call is answered with this status and not accepted.
    Answering(u16),
    /// Calls are accepted, and their connections are closed without an answer.
    LosingAnswers,
    /// Calls are held, neither accepted nor answered, until the mode changes.
    Silent,
}

#[derive(Debug)]
struct State {
    mode: ProviderMode,
    checker: DutyChecker,
    calls: Vec<ProviderCall>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running fake provider; clones share its state.
#[derive(Debug, Clone)]
pub struct UsersProvider {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl UsersProvider {
    /// Starts a provider on a free loopback port. The rules are checked for holders with leases of `lease`. It
    /// serves until the process ends.
    pub fn spawn(lease: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                mode: ProviderMode::Serving,
                checker: DutyChecker::new(lease),
                calls: Vec::new(),
            }),
            changed: Condvar::new(),
        });
        let server_shared = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&server_shared);
                thread::spawn(move || serve(&stream, &shared));
            }
        });
        Self { address, shared }
    }

    /// Returns the address that the provider listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the provider responds to calls.
    pub fn set_mode(&self, mode: ProviderMode) {
        self.shared.state.lock().mode = mode;
        self.shared.changed.notify_all();
    }

    /// Ignores breaches of rule 3 in the calls of the next `time`, as the platform does after a sender was resumed
    /// from a suspension.
    pub fn excuse(&self, time: Duration) {
        let until = Instant::now() + time;
        self.shared.state.lock().checker.excuse(until);
    }

    /// Returns the calls in order.
    pub fn calls(&self) -> Vec<ProviderCall> {
        self.shared.state.lock().calls.clone()
    }

    /// Returns the accepted counts by window.
    pub fn reports(&self) -> BTreeMap<u64, Value> {
        self.shared.state.lock().checker.reports().clone()
    }

    /// Returns the sum of a customer's accepted counts.
    pub fn total(&self, customer: &str) -> u64 {
        let reports = self.reports();
        let counts = reports.values().map(|counts| counts[customer].as_u64());
        counts.map(Option::unwrap_or_default).sum()
    }

    /// Returns the breaches of the rules in order.
    pub fn breaches(&self) -> Vec<String> {
        self.shared.state.lock().checker.breaches().to_vec()
    }
}

fn serve(mut stream: &TcpStream, shared: &Shared) {
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if !request.is_whole {
            return;
        }
        let Some(status) = take(&request, shared) else {
            return;
        };
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}");
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Takes a call and returns the status of its answer; `None` closes the connection without one.
fn take(request: &WireMessage, shared: &Shared) -> Option<u16> {
    let mut state = shared.state.lock();
    let mode = state.mode;
    let call = ProviderCall {
        at: Instant::now(),
        path: request.start.split(' ').nth(1).unwrap_or("").to_owned(),
        holder: request.header("duty-holder").unwrap_or("").to_owned(),
        token: request
            .header("fencing-token")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0),
        body: serde_json::from_slice(&request.body).unwrap_or_default(),
        is_accepted: matches!(mode, ProviderMode::Serving | ProviderMode::LosingAnswers),
    };
    state.checker.observe(&call);
    state.calls.push(call);
    match mode {
        ProviderMode::Serving => Some(200),
        ProviderMode::Answering(status) => Some(status),
        ProviderMode::LosingAnswers => None,
        ProviderMode::Silent => {
            while state.mode == ProviderMode::Silent {
                shared.changed.wait(&mut state);
            }
            None
        }
    }
}
