//! A stand-in of the platform's key-value service and VM list, for tests and demonstrations.
//!
//! It keeps everything in memory and serves docs/PLATFORM-INTERFACE.md on one address. It counts
//! every call, enforces the rates, and can be made slow, unreachable, forgetful of its watch
//! history or silent after a write, through [`PlatformStandIn`] or over `/admin/` paths.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use std::time::Duration;
use std::{io, thread};

use ntex::rt::{DefaultRuntime, System};
use ntex::time::Seconds;
use ntex::web;
use oleander_base::prelude::*;
use oleander_platform::wire::WireVm;
use tokio::sync::oneshot;

use crate::platform_core::PlatformCore;
use crate::platform_faults::{FaultPlan, PlatformCounters};
use crate::platform_http;

/// The largest request body, in bytes; a value of the limit's size grows by a third in base64.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// The most connections at a time.
const MAX_CONNECTIONS: usize = 10_000;

/// How the stand-in behaves while no fault is set.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Where to listen; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Reads a second that are served; a waiting watch takes one when it begins.
    pub reads_per_second: f64,
    /// Writes a second that are served.
    pub writes_per_second: f64,
    /// The largest value in bytes.
    pub value_limit: usize,
    /// The most entries on a page of a listing.
    pub page_entries: usize,
    /// How many changes are kept for watches.
    pub history_limit: usize,
    /// How far the VM list lags behind.
    pub vm_lag: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            reads_per_second: 2_000.0,
            writes_per_second: 500.0,
            value_limit: 1024 * 1024,
            page_entries: 500,
            history_limit: 10_000,
            vm_lag: Duration::ZERO,
        }
    }
}

/// A running stand-in; dropping it stops the service.
#[derive(Debug)]
pub struct PlatformStandIn {
    address: SocketAddr,
    core: Arc<PlatformCore>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl PlatformStandIn {
    /// Starts the service in a thread of its own.
    pub fn bind(settings: PlatformSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let core = Arc::new(PlatformCore::new(settings));
        let mut standin = Self {
            address,
            core,
            stop: None,
            thread: None,
        };
        standin.start(listener)?;
        Ok(standin)
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listening socket and every connection; the data stay for [`Self::resume`].
    pub fn stop(&mut self) {
        self.core.close_watches();
        // Dropping the sender tells the server's thread to end.
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the server's thread was printed there already.
            let _ = thread.join();
        }
    }

    /// Listens again on the same address with the same data.
    pub fn resume(&mut self) -> io::Result<()> {
        if self.stop.is_some() {
            return Ok(());
        }
        self.core.open_watches();
        let listener = TcpListener::bind(self.address)?;
        self.start(listener)
    }

    /// Replaces the faults that are in effect.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.core.set_faults(plan);
    }

    /// Returns the faults that are in effect.
    pub fn faults(&self) -> FaultPlan {
        self.core.faults()
    }

    /// Lets the next `count` writes take effect and drops their answers.
    pub fn drop_write_answers(&self, count: u32) {
        let mut plan = self.core.faults();
        plan.drop_next_answers = count;
        self.core.set_faults(plan);
    }

    /// Returns the counts of calls so far.
    pub fn counters(&self) -> PlatformCounters {
        self.core.counters()
    }

    /// Forgets the history of changes up to the present revision.
    pub fn compact(&self) {
        self.core.compact();
    }

    /// Replaces the VM list; readers see it after the lag.
    pub fn set_vms(&self, vms: Vec<WireVm>) {
        self.core.set_vms(vms);
    }

    /// Returns the present revision.
    pub fn revision(&self) -> Revision {
        self.core.revision()
    }

    /// Returns the state as readable text.
    pub fn dump(&self) -> String {
        self.core.dump()
    }

    fn start(&mut self, listener: TcpListener) -> io::Result<()> {
        let core = Arc::clone(&self.core);
        let (stop, stopped) = oneshot::channel();
        let (started, start_result) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("platform-standin".to_owned())
            .spawn(move || {
                let serving = serve(listener, core, started, stopped);
                System::new("platform-standin", DefaultRuntime).block_on(serving);
            })?;
        start_result
            .recv()
            .map_err(|_| io::Error::other("the stand-in's thread ended at its start"))??;
        self.stop = Some(stop);
        self.thread = Some(thread);
        Ok(())
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Serves a stand-in on `listen` until the process ends.
pub fn run_platform(listen: SocketAddr) -> io::Result<()> {
    let settings = PlatformSettings {
        listen,
        ..PlatformSettings::default()
    };
    let mut standin = PlatformStandIn::bind(settings)?;
    if let Some(thread) = standin.thread.take() {
        thread
            .join()
            .map_err(|_| io::Error::other("the stand-in's thread panicked"))?;
    }
    Ok(())
}

async fn serve(
    listener: TcpListener,
    core: Arc<PlatformCore>,
    started: mpsc::Sender<io::Result<()>>,
    stopped: oneshot::Receiver<()>,
) {
    let factory = {
        let core = Arc::clone(&core);
        async move || {
            web::App::new()
                .state(Arc::clone(&core))
                .state(web::types::PayloadConfig::new(MAX_BODY_BYTES))
                .configure(platform_http::configure)
        }
    };
    let server = web::HttpServer::new(factory)
        .workers(1)
        .maxconn(MAX_CONNECTIONS)
        .disable_signals()
        .shutdown_timeout(Seconds(1))
        .listen(listener)
        .map(|server| server.run());
    let server = match server {
        Ok(server) => server,
        Err(error) => {
            // The starter waits for exactly one message.
            let _ = started.send(Err(error));
            return;
        }
    };
    let _ = started.send(Ok(()));
    let expiry = ntex::rt::spawn(platform_http::expire_leases(core));
    // The sender is dropped in place of a message.
    let _ = stopped.await;
    server.stop(false).await;
    expiry.cancel();
}
