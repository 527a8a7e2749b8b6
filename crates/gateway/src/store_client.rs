//! A client of the key-value store on one connection, which is reopened whenever it fails.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::time::timeout;

use crate::core::GatewayCore;
use crate::http::{
    AnswerHead, BodyError, BodyPiece, BodyReader, ByteBound, ConnError, HeadError, HeadLimits,
    HttpConn, MAX_CONTROL_BYTES, MAX_SHORT_ANSWER_BYTES, MAX_VALUE_ANSWER_BYTES, TcpTimeouts,
};
use crate::port::StoreRequest;
use crate::prelude::*;

/// The longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why a store call failed.
#[derive(Debug, Error)]
pub(crate) enum StoreError {
    /// No answer came in time.
    #[error("the store did not answer in time")]
    TimedOut,
    /// The connection failed.
    #[error("the connection to the store failed: {0}")]
    Connection(#[from] ConnError),
    /// The answer was truncated or malformed.
    #[error("malformed answer from the store: {0}")]
    Answer(String),
    /// The store answered with an error status.
    #[error("the store answered {0}")]
    Status(u16),
    /// The answer is of an era before the newest known one.
    #[error("the answer is of era {era}, after one of era {known}")]
    OldEra {
        /// The era of the answer.
        era: StoreEra,
        /// The newest known era.
        known: StoreEra,
    },
    /// The store came back from a copy between two answers that belong together.
    #[error("the store came back from a copy during the call")]
    EraChanged,
}

impl From<HeadError> for StoreError {
    fn from(error: HeadError) -> Self {
        Self::Answer(error.to_string())
    }
}

impl From<BodyError> for StoreError {
    fn from(error: BodyError) -> Self {
        Self::Answer(error.to_string())
    }
}

/// The purpose of a call of the store.
#[derive(Debug, Clone, Copy)]
pub(crate) enum StorePurpose {
    /// All keys are read.
    List,
    /// Changes are read.
    Watch,
    /// Changes are read at once, for a stream that waits for them.
    Fence,
    /// A lease is granted.
    Grant,
    /// This gateway is announced.
    Announce,
    /// The lease is renewed.
    Renew,
    /// The lease is given up.
    Release,
    /// A key of the duties is read.
    DutyRead,
    /// Keys of the duties are changed.
    DutyWrite,
    /// The record of software versions is read.
    VersionsRead,
    /// The record of software versions is written.
    VersionsWrite,
    /// Origins of streams are read.
    OriginsList,
    /// Origins of streams are written.
    OriginsWrite,
}

impl StorePurpose {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
            Self::Fence => "fence",
            Self::Grant => "grant",
            Self::Announce => "announce",
            Self::Renew => "renew",
            Self::Release => "release",
            Self::DutyRead => "duty-read",
            Self::DutyWrite => "duty-write",
            Self::VersionsRead => "versions-read",
            Self::VersionsWrite => "versions-write",
            Self::OriginsList => "origins-list",
            Self::OriginsWrite => "origins-write",
        }
    }

    /// Returns the bound on the answer's body, in bytes. A refused write brings the present values.
    fn max_answer_bytes(self) -> usize {
        match self {
            Self::List | Self::Watch | Self::Fence => MAX_CONTROL_BYTES,
            Self::DutyRead
            | Self::DutyWrite
            | Self::VersionsRead
            | Self::VersionsWrite
            | Self::OriginsList => MAX_VALUE_ANSWER_BYTES,
            Self::Grant | Self::Announce | Self::Renew | Self::Release | Self::OriginsWrite => {
                MAX_SHORT_ANSWER_BYTES
            }
        }
    }
}

/// The body of a successful answer, with the store's era.
#[derive(Debug)]
pub(crate) struct StoreReply {
    pub(crate) era: StoreEra,
    pub(crate) body: Bytes,
}

/// A client of the key-value store.
#[derive(Debug)]
pub(crate) struct StoreClient {
    core: Rc<GatewayCore>,
    address: SocketAddr,
    conn: Option<HttpConn>,
}

impl StoreClient {
    /// Creates a client, which connects on its first call.
    pub(crate) fn open(core: Rc<GatewayCore>) -> Self {
        Self {
            address: core.settings().store,
            core,
            conn: None,
        }
    }

    /// Closes the connection, which the next call opens again.
    pub(crate) fn close(&mut self) {
        self.conn = None;
    }

    /// Takes over the address in the settings, which may have changed.
    fn update_address(&mut self) {
        let address = self.core.settings().store;
        if self.address != address {
            self.address = address;
            self.conn = None;
        }
    }

    /// Makes one call. A failed call may have taken effect.
    pub(crate) async fn call(
        &mut self,
        purpose: StorePurpose,
        request: &StoreRequest,
        limit: Span,
    ) -> Result<StoreReply, StoreError> {
        self.update_address();
        // After a lost answer a connection cannot be used any more, so it is stored again only
        // after a complete answer.
        let conn = self.conn.take();
        let call = exchange(self.address, conn, request, purpose.max_answer_bytes());
        let result = match timeout(Duration::from(limit), call).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::TimedOut),
        };
        let status = result.as_ref().ok().map(|done| done.head.status);
        self.core.metrics.record_store_call(purpose, status);
        let done = result?;
        self.conn = done.conn;
        let era = self.read_era(&done.head)?;
        if (200..300).contains(&done.head.status) {
            let body = done.body;
            Ok(StoreReply { era, body })
        } else {
            Err(StoreError::Status(done.head.status))
        }
    }

    /// Returns the era of an answer. One without a readable era counts as of the newest known one.
    fn read_era(&self, head: &AnswerHead) -> Result<StoreEra, StoreError> {
        let known = self.core.store_era();
        match self.core.port.decode_era(head) {
            Ok(Some(era)) if era < known => Err(StoreError::OldEra { era, known }),
            Ok(Some(era)) => {
                self.core.raise_era(era, "store");
                Ok(era)
            }
            Ok(None) => Ok(known),
            Err(error) => {
                self.core.log_bad_era(&error);
                Ok(known)
            }
        }
    }
}

#[derive(Debug)]
struct StoreAnswer {
    head: AnswerHead,
    body: Bytes,
    conn: Option<HttpConn>,
}

async fn exchange(
    address: SocketAddr,
    conn: Option<HttpConn>,
    request: &StoreRequest,
    max_answer_bytes: usize,
) -> Result<StoreAnswer, StoreError> {
    let mut conn = match conn.filter(HttpConn::is_idle) {
        Some(conn) => conn,
        None => HttpConn::connect(address, &TcpTimeouts::default())
            .await
            .map_err(ConnError::from)?,
    };
    conn.write_all(encode(address, request).as_bytes())
        .await
        .map_err(ConnError::from)?;
    let limits = HeadLimits {
        head_bytes: MAX_HEAD_BYTES,
    };
    let head = AnswerHead::parse(conn.read_head(&limits).await?, request.method)?;
    let body = read_body(&mut conn, &head, max_answer_bytes).await?;
    let keeps = head.keeps_alive && conn.buffer.is_empty();
    Ok(StoreAnswer {
        head,
        body,
        conn: keeps.then_some(conn),
    })
}

fn encode(address: SocketAddr, request: &StoreRequest) -> String {
    let StoreRequest {
        method,
        target,
        body,
    } = request;
    if body.is_empty() && *method == "GET" {
        return format!("{method} {target} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    }
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads a complete body of at most `max_bytes`.
pub(crate) async fn read_body(
    conn: &mut HttpConn,
    head: &AnswerHead,
    max_bytes: usize,
) -> Result<Bytes, StoreError> {
    let mut reader = BodyReader::open(head.framing);
    let mut body = BytesMut::new();
    loop {
        match reader.next(&mut conn.buffer)? {
            BodyPiece::Data(data) => {
                body.extend_from_slice(&data);
                if body.len() > max_bytes {
                    return Err(ConnError::OverBound(ByteBound::Control { max_bytes }).into());
                }
            }
            BodyPiece::End => return Ok(body.freeze()),
            BodyPiece::NeedsMore => match conn.fill().await {
                Ok(()) => {}
                Err(ConnError::Closed) => reader.on_eof()?,
                Err(error) => return Err(error.into()),
            },
        }
    }
}
