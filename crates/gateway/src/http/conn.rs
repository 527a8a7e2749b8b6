//! A connection that was accepted from a caller or opened to another process.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use oleander_balance::ProcessProof;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::bounds::ByteBound;
use super::head::HeadScan;

/// The space reserved for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// The sizes of the kernel's buffers of a connection, in bytes; the kernel adds as much for its own records. By
/// itself it would let them grow to some megabytes each, which count towards the memory of the process.
#[derive(Debug, Clone, Copy)]
pub struct SocketBuffers {
    /// The size of the receive buffer.
    pub receive_bytes: u32,
    /// The size of the send buffer.
    pub send_bytes: u32,
}

impl SocketBuffers {
    /// The buffers of a connection from a client. There may be as many as the process has room for, and each
    /// receive buffer may be full before the gateway has accepted the connection. A round trip of 1 ms still
    /// allows 16 MB a second.
    pub const CLIENT: Self = Self {
        receive_bytes: 16 * 1024,
        send_bytes: 32 * 1024,
    };
    /// The buffers of a connection that the gateway opens.
    pub const BACKEND: Self = Self {
        receive_bytes: 64 * 1024,
        send_bytes: 64 * 1024,
    };
}

/// The most blank lines before a head, in bytes. Some clients send one after a body.
const MAX_BLANK_BYTES: usize = 16;

/// How long a peer may be unresponsive before the kernel closes the connection.
#[derive(Debug, Clone, Copy)]
pub struct TcpTimeouts {
    /// How long sent bytes may remain unacknowledged (`TCP_USER_TIMEOUT`). It also decides when keepalive
    /// probes give up: with the first one that is due after it, whatever their number.
    pub user_timeout: Span,
    /// The idle time before the first keepalive probe, and the interval between probes.
    pub keepalive_interval: Span,
}

impl TcpTimeouts {
    /// The timeouts of a connection to a backend server, which outlive a silence of two seconds.
    pub const BACKEND: Self = Self {
        user_timeout: Span::from_millis(3_500),
        keepalive_interval: Span::from_secs(1),
    };
}

impl Default for TcpTimeouts {
    fn default() -> Self {
        Self {
            user_timeout: Span::from_millis(1_500),
            keepalive_interval: Span::from_secs(1),
        }
    }
}

/// The limits on a head.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
}

/// Why a read from a connection failed.
#[derive(Debug, Error)]
pub enum ConnError {
    /// The other side closed the connection in an orderly way.
    #[error("the connection was closed")]
    Closed,
    /// The connection failed.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The process at the other side ended, or may have ended, before it had written all.
    #[error("the backend server's process may have ended with the connection")]
    ProcessEnded,
    /// The other side closed the connection, and nothing tells whether it had written all.
    #[error("the end of the answer was not confirmed in time")]
    UnconfirmedEnd,
    /// Nothing came for too long.
    #[error("the connection was silent")]
    Silent,
    /// The head is longer than its limit.
    #[error("the head is too long")]
    HeadTooLong,
    /// Blank lines come instead of a head.
    #[error("blank lines come instead of a head")]
    BlankLines,
    /// What was received passes a bound.
    #[error("{0}")]
    OverBound(ByteBound),
}

/// The state of a connection on which nothing is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// It is open and has no unread bytes.
    Open,
    /// Bytes have come that belong to no message that is due.
    Unread,
    /// The other side closed it in an orderly way.
    Closed,
    /// It was reset or failed.
    Reset,
}

/// A connection with its read buffer.
#[derive(Debug)]
pub struct HttpConn {
    stream: TcpStream,
    /// Bytes that were read and not yet consumed.
    pub buffer: BytesMut,
    /// When the connection was made.
    pub made_at: MonoTime,
    /// The proof that the process at the other end has given of itself.
    pub proof: ProcessProof,
    /// The user timeout before it was raised.
    raised_from: Option<Duration>,
}

impl HttpConn {
    /// Takes over an accepted connection.
    pub fn accept(stream: TcpStream, limits: &TcpTimeouts) -> io::Result<Self> {
        prepare(&stream, limits)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            made_at: monotonic_now(),
            proof: ProcessProof::None,
            raised_from: None,
        })
    }

    /// Connects to another process.
    pub async fn connect(address: SocketAddr, limits: &TcpTimeouts) -> io::Result<Self> {
        let socket = open_socket(address, SocketBuffers::BACKEND)?;
        let stream = socket.connect(address).await?;
        prepare(&stream, limits)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            made_at: monotonic_now(),
            proof: ProcessProof::None,
            raised_from: None,
        })
    }

    /// Makes the connection end with a reset whenever it is closed.
    ///
    /// After an ordinary close the kernel may still deliver bytes that a broken link held up, and
    /// the request would run long after it was given up. A reset drops them.
    pub fn reset_on_close(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// Bounds the bytes that the kernel holds until the other side takes them.
    pub fn bound_send_buffer(&self, bytes: usize) -> io::Result<()> {
        SockRef::from(&self.stream).set_send_buffer_size(bytes)
    }

    /// Lets sent bytes remain unacknowledged, or unsent because the other side takes none, for longer until
    /// [`Self::restore_user_timeout`].
    pub fn raise_user_timeout(&mut self, span: Span) -> io::Result<()> {
        let socket = SockRef::from(&self.stream);
        if self.raised_from.is_none() {
            self.raised_from = socket.tcp_user_timeout()?;
        }
        socket.set_tcp_user_timeout(Some(Duration::from(span)))
    }

    /// Takes back [`Self::raise_user_timeout`], because the other side has taken all.
    pub fn restore_user_timeout(&mut self) -> io::Result<()> {
        match self.raised_from.take() {
            Some(timeout) => SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout)),
            None => Ok(()),
        }
    }

    /// Reads more bytes into the buffer.
    pub async fn fill(&mut self) -> Result<(), ConnError> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(ConnError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads bytes that have already arrived; returns false if there are none.
    pub fn fill_arrived(&mut self) -> Result<bool, ConnError> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => Err(ConnError::Closed),
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Returns whether bytes of a message that is not consumed yet have been read.
    pub fn has_message(&mut self) -> bool {
        self.skip_blank_lines();
        !self.buffer.is_empty()
    }

    /// Waits for the first byte of a message without holding memory for it.
    pub async fn wait_message(&mut self) -> Result<(), ConnError> {
        while self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.stream.readable().await?;
            if !self.fill_arrived()? {
                // Without bytes the buffer is released again before the next wait.
                self.buffer = BytesMut::new();
            }
        }
        Ok(())
    }

    /// Reads until the buffer holds a complete head, and takes it.
    pub async fn read_head(&mut self, limits: &HeadLimits) -> Result<Bytes, ConnError> {
        let mut scan = HeadScan::default();
        let mut blank_bytes = 0;
        loop {
            blank_bytes += self.skip_blank_lines();
            if blank_bytes > MAX_BLANK_BYTES {
                return Err(ConnError::BlankLines);
            }
            if let Some(len) = scan.head_len(&self.buffer) {
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

    /// Waits until the other side has disconnected, reading ahead until the buffer holds `limit`
    /// bytes.
    pub async fn wait_closed(&mut self, limit: usize) {
        while self.buffer.len() < limit {
            if self.fill().await.is_err() {
                return;
            }
        }
        // The other side has sent more than is read ahead, so its close cannot be seen before those
        // bytes are consumed.
        std::future::pending::<()>().await;
    }

    /// Writes all bytes.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes as many bytes of a head, and of the body after it, as the kernel accepts at once.
    pub fn try_write_message(&self, head: &[u8], body: &[u8]) -> io::Result<usize> {
        let slices = [IoSlice::new(head), IoSlice::new(body)];
        match self.stream.try_write_vectored(&slices) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            result => result,
        }
    }

    /// Writes as many bytes of a message as the kernel accepts, from the byte at `start`, and returns their
    /// number. The call is cancel-safe.
    pub async fn write_some_message(
        &self,
        head: &[u8],
        body: &[u8],
        start: usize,
    ) -> io::Result<usize> {
        let body_start = start.saturating_sub(head.len());
        let head = &head[start.min(head.len())..];
        let body = &body[body_start..];
        loop {
            self.stream.writable().await?;
            match self.try_write_message(head, body)? {
                0 => {}
                count => return Ok(count),
            }
        }
    }

    /// Waits until the kernel accepts bytes; returns false if the connection has failed.
    pub async fn can_write(&self) -> bool {
        self.stream.writable().await.is_ok()
    }

    /// Writes as many bytes as the kernel accepts at this moment and returns their number.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.try_write(bytes)
    }

    /// Waits until bytes can be read or the other side has closed.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Returns whether the connection is open and has no unread bytes.
    pub fn is_idle(&self) -> bool {
        self.idle_state() == IdleState::Open
    }

    /// Returns what has come on a connection on which nothing is due. An unread byte is dropped.
    pub fn idle_state(&self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::Unread;
        }
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Ok(0) => IdleState::Closed,
            Ok(_) => IdleState::Unread,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Open,
            Err(_) => IdleState::Reset,
        }
    }

    /// Closes the write side, so that the other side sees the end of the stream.
    pub async fn shutdown_write(&mut self) {
        // The other side may have disconnected already, so an error is ignored.
        let _ = self.stream.shutdown().await;
    }

    /// Skips blank lines and returns their length. It stops soon after the bound is passed.
    fn skip_blank_lines(&mut self) -> usize {
        let mut skipped = 0;
        while skipped <= MAX_BLANK_BYTES && self.buffer[skipped..].starts_with(b"\r\n") {
            skipped += 2;
        }
        self.buffer.advance(skipped);
        skipped
    }
}

/// Creates a socket with bounded kernel buffers. The connections that a listening socket accepts inherit them.
pub fn open_socket(address: SocketAddr, buffers: SocketBuffers) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(buffers.receive_bytes)?;
    socket.set_send_buffer_size(buffers.send_bytes)?;
    Ok(socket)
}

fn prepare(stream: &TcpStream, limits: &TcpTimeouts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive_interval = Duration::from(limits.keepalive_interval);
    let keepalive = TcpKeepalive::new()
        .with_time(keepalive_interval)
        .with_interval(keepalive_interval);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from(limits.user_timeout)))
}
