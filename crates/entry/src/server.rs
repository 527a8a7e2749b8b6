//! HTTP servers that run on their own threads.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use ntex::server::Server;
use ntex::time::Seconds;
use tokio::sync::oneshot;

/// Time that a graceful stop allows open connections to finish.
pub(crate) const GRACEFUL_STOP_LIMIT: Seconds = Seconds(30);

/// The manner in which a server stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopKind {
    Graceful,
    Abrupt,
}

/// A running server.
#[derive(Debug)]
pub(crate) struct ServerThread {
    address: SocketAddr,
    stop: Option<oneshot::Sender<StopKind>>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Spawns a thread with an ntex system that runs the server returned by `build`.
    pub(crate) fn spawn<F>(name: &str, listener: TcpListener, build: F) -> io::Result<Self>
    where
        F: FnOnce(TcpListener) -> io::Result<Server> + Send + 'static,
    {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let (stop, stopped) = oneshot::channel();
        let (started, is_started) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                run_system(listener, build, started, stopped);
            })?;
        is_started
            .recv()
            .map_err(|_| io::Error::other("the server's thread ended before it served"))??;
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the listening address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops gracefully: accepts no new connections and waits for open ones to be answered.
    pub(crate) fn stop_gracefully(&mut self) {
        self.stop_with(StopKind::Graceful);
    }

    /// Stops the server and waits for its thread; requests in progress are cut off.
    pub(crate) fn stop(&mut self) {
        self.stop_with(StopKind::Abrupt);
    }

    fn stop_with(&mut self, kind: StopKind) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(kind);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

fn run_system<F>(
    listener: TcpListener,
    build: F,
    started: std::sync::mpsc::Sender<io::Result<()>>,
    stopped: oneshot::Receiver<StopKind>,
) where
    F: FnOnce(TcpListener) -> io::Result<Server> + 'static,
{
    let system = ntex::rt::System::new("oleanderplank", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let server = match build(listener) {
            Ok(server) => server,
            Err(error) => {
                let _ = started.send(Err(error));
                return;
            }
        };
        let _ = started.send(Ok(()));
        let kind = stopped.await.unwrap_or(StopKind::Abrupt);
        server.stop(kind == StopKind::Graceful).await;
    });
}
