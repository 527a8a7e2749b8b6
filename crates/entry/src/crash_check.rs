//! Tells whether a backend server has crashed, from its side of a connection that broke.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout of the connection that tells whether a backend server has crashed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether a backend server refuses connections, as one whose process has ended does. One that
/// does not answer may be out of reach only.
pub(crate) async fn has_crashed(address: SocketAddr) -> bool {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
