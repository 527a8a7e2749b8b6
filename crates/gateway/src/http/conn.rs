//! One connection, as a caller's or as our own to another process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oleander_base::prelude::*;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::head::head_len;

/// How much is read at once, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// How long a connection may be silent before the system gives it up.
#[derive(Debug, Clone, Copy)]
pub struct TcpTimeouts {
    /// The time that sent bytes may stay without an acknowledgement.
    pub user_timeout: Span,
    /// The time between two probes of a silent connection.
    pub keepalive_interval: Span,
    /// The probes in a row without an answer that end the connection.
    pub keepalive_probes: u32,
}

impl Default for TcpTimeouts {
    fn default() -> Self {
        Self {
            user_timeout: Span::from_millis(1_500),
            keepalive_interval: Span::from_secs(1),
            keepalive_probes: 2,
        }
    }
}

/// What bounds a head.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
}

/// Why a connection gave nothing more.
#[derive(Debug, Error)]
pub enum ConnError {
    /// It ended in an orderly way.
    #[error("the connection was closed")]
    Closed,
    /// It broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The head is too long.
    #[error("the head is too long")]
    HeadTooLong,
}

/// One connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct HttpConn {
    stream: TcpStream,
    /// Bytes that were read and not yet used.
    pub buffer: BytesMut,
}

impl HttpConn {
    /// Takes over an accepted connection.
    pub fn accept(stream: TcpStream, limits: &TcpTimeouts) -> io::Result<Self> {
        prepare(&stream, limits)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
        })
    }

    /// Connects to another process.
    pub async fn connect(address: SocketAddr, limits: &TcpTimeouts) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        prepare(&stream, limits)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
        })
    }

    /// Makes the end of this connection a reset, whenever it comes.
    ///
    /// A close lets the system deliver later what a cut link held up, and then a request would run
    /// long after it was given up. A reset drops it.
    pub fn reset_on_close(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// Reads more bytes.
    pub async fn fill(&mut self) -> Result<(), ConnError> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(ConnError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads until a whole head is there and takes it.
    pub async fn read_head(&mut self, limits: &HeadLimits) -> Result<Bytes, ConnError> {
        loop {
            self.skip_blank_lines();
            if let Some(len) = head_len(&self.buffer) {
                if len > limits.head_bytes {
                    return Err(ConnError::HeadTooLong);
                }
                return Ok(self.buffer.split_to(len).freeze());
            }
            if self.buffer.len() > limits.head_bytes {
                return Err(ConnError::HeadTooLong);
            }
            self.fill().await?;
        }
    }

    /// Waits until the other side has gone; `most` bounds what is read ahead meanwhile.
    pub async fn wait_closed(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            if self.fill().await.is_err() {
                return;
            }
        }
        // The other side sends ahead without end, so its close cannot be seen before its bytes are read.
        std::future::pending::<()>().await;
    }

    /// Writes everything.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes what the system takes, and says how much; it can be dropped at any time.
    pub async fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    /// Waits until bytes can be read or the other side has closed.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Returns whether the connection is open and nothing is left in it.
    pub fn is_idle(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Says that nothing more will be sent.
    pub async fn shutdown_write(&mut self) {
        // The other side may have gone already, and then there is nobody to tell.
        let _ = self.stream.shutdown().await;
    }

    fn skip_blank_lines(&mut self) {
        while self.buffer.starts_with(b"\r\n") {
            let _ = self.buffer.split_to(2);
        }
    }
}

fn prepare(stream: &TcpStream, limits: &TcpTimeouts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive_interval = Duration::from(limits.keepalive_interval);
    let keepalive = TcpKeepalive::new()
        .with_time(keepalive_interval)
        .with_interval(keepalive_interval)
        .with_retries(limits.keepalive_probes);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from(limits.user_timeout)))
}
