//! Tells whether a server's process outlived the end of an answer that only the end of its connection ends.
//!
//! When a process ends, its kernel closes its connections as the process itself closes that of a complete answer. While
//! such an answer is read, an idle connection to the same server is therefore kept open. The connections of a process
//! that ends are closed together, so that an idle connection that stays open shows that the process still runs.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// How far apart the closes of one process's connections may be seen.
const CLOSE_SPREAD: Duration = Duration::from_millis(40);

/// Watches the process that writes one answer.
pub(crate) struct ProcessWatch {
    idle: JoinHandle<io::Result<TcpStream>>,
}

impl ProcessWatch {
    /// Begins to watch the process at an address.
    pub(crate) fn open(address: SocketAddr, connect: Duration) -> Self {
        Self {
            idle: spawn_local(open_idle(address, connect)),
        }
    }

    /// Returns whether the process still runs, some time after the end of its answer.
    ///
    /// A server that accepts no idle connection, or closes it, leaves that in doubt; its answer then counts as cut.
    pub(crate) async fn has_outlived(self) -> bool {
        let idle = self.idle.await;
        sleep(CLOSE_SPREAD).await;
        matches!(idle, Ok(Ok(conn)) if is_open(&conn))
    }
}

impl fmt::Debug for ProcessWatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ProcessWatch").finish_non_exhaustive()
    }
}

async fn open_idle(address: SocketAddr, connect: Duration) -> io::Result<TcpStream> {
    let opened = timeout(connect, TcpStream::connect(address)).await;
    opened.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

/// Returns whether the other side has neither closed a connection nor written to it.
fn is_open(conn: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(conn.try_read(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
}
