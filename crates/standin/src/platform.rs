//! A stand-in of the platform's key-value store and VM list, for tests and demonstrations.
//!
//! It keeps all data in memory and serves docs/PLATFORM-INTERFACE.md on one address. It counts
//! every call and enforces the rate limits. Its faults are delays, outages, a compacted watch
//! history and writes without an answer; they are set through [`PlatformStandIn`] or over `/admin/`
//! paths.

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

/// The maximum size of a request body, in bytes. It exceeds the value limit because a value grows
/// by a third in base64.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// The maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 10_000;

/// The settings of the platform's stand-in.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// The maximum rate of reads, per second. A watch counts as one read when it starts.
    pub reads_per_second: f64,
    /// The maximum rate of writes, per second.
    pub writes_per_second: f64,
    /// The maximum size of a value, in bytes.
    pub value_limit: usize,
    /// The maximum number of entries on a page of a listing.
    pub page_entries: usize,
    /// The maximum number of changes that are kept for watches.
    pub history_limit: usize,
    /// The delay after which a change of the VM list becomes visible.
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

/// A running stand-in of the platform. Dropping it stops the service.
#[derive(Debug)]
pub struct PlatformStandIn {
    address: SocketAddr,
    core: Arc<PlatformCore>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl PlatformStandIn {
    /// Binds the address and starts the service on a thread of its own.
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

    /// Closes the listening socket and every connection. The data are kept for [`Self::resume`].
    pub fn stop(&mut self) {
        self.core.close_watches();
        // Dropping the sender makes the server's thread stop.
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the server's thread.
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

    /// Drops the answers of the next `count` successful writes, which still take effect.
    pub fn drop_write_answers(&self, count: u32) {
        self.drop_write_answers_of("", count);
    }

    /// Drops the answers of the next `count` successful writes that contain a text, whichever others processes
    /// make meanwhile.
    pub fn drop_write_answers_of(&self, text: &str, count: u32) {
        let mut plan = self.core.faults();
        plan.drop_next_answers = count;
        text.clone_into(&mut plan.drop_only);
        self.core.set_faults(plan);
    }

    /// Returns the current values of the counters.
    pub fn counters(&self) -> PlatformCounters {
        self.core.counters()
    }

    /// Discards the history of changes up to the current revision.
    pub fn compact(&self) {
        self.core.compact();
    }

    /// Replaces the VM list. Readers see the new one after the lag.
    pub fn set_vms(&self, vms: Vec<WireVm>) {
        self.core.set_vms(vms);
    }

    /// Returns the current revision.
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
            // `start` waits for exactly one message: this error or the success below.
            let _ = started.send(Err(error));
            return;
        }
    };
    let _ = started.send(Ok(()));
    let expiry = ntex::rt::spawn(platform_http::expire_leases(core));
    // No message is ever sent: the wait ends when the sender is dropped.
    let _ = stopped.await;
    server.stop(false).await;
    expiry.cancel();
}
