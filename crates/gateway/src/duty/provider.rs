//! Calls of the provider on behalf of the gateway that holds the duties.
//!
//! Whether the lease still holds is checked right before each write. A call that is not answered in time,
//! or not before the lease ends, is abandoned by a reset of its connection, so that no byte of it leaves
//! this machine afterwards.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_platform::boot_time;
use thiserror::Error;
use tokio::time::{sleep, timeout};

use super::lease::DutyGrant;
use crate::core::GatewayCore;
use crate::http::{
    AnswerHead, ConnError, HeadLimits, HttpConn, MAX_SHORT_ANSWER_BYTES, TcpTimeouts,
};
use crate::port::{DutyHeaders, ProviderRequest};
use crate::prelude::*;
use crate::settings::ProviderSettings;
use crate::store_client::read_body;

/// The timeout of one call.
const CALL_TIMEOUT: Span = Span::from_millis(1_000);

/// The share of the provider's rate that the holder uses for all its duties together. A new holder may begin while
/// the provider still counts the last calls of the old one.
const RATE_SHARE: f64 = 0.2;

/// The lowest rate of calls, in calls a second, whatever the settings name.
const MIN_RATE_PER_S: f64 = 0.5;

/// The first pause after a failed call. Each further failure doubles it.
const FIRST_BACKOFF: Span = Span::from_millis(250);

/// The longest pause after a failed call.
const MAX_BACKOFF: Span = Span::from_secs(4);

/// The longest wait for the next call that the rate allows.
const MAX_PACE_WAIT: Span = Span::from_secs(2);

/// The longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why a call of the provider brought no answer.
#[derive(Debug, Error)]
pub(crate) enum ProviderError {
    /// The deployment has no provider.
    #[error("the settings name no provider")]
    NoProvider,
    /// The lease does not hold, or not yet. Nothing was sent.
    #[error("the duty lease does not hold; nothing was sent")]
    NotHolder,
    /// No calls are made for a while after a failure, or by the rate of calls. Nothing was sent.
    #[error("the provider is left alone for {0}; nothing was sent")]
    BackingOff(Span),
    /// No connection could be made. Nothing was sent.
    #[error("the provider was not reached: {0}")]
    NotReached(String),
    /// The call was sent, and its outcome is not known.
    #[error("no answer of the provider: {0}")]
    Unanswered(String),
}

impl ProviderError {
    /// Returns the name of the outcome in the metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::NoProvider => "no-provider",
            Self::NotHolder => "not-holder",
            Self::BackingOff(_) => "backing-off",
            Self::NotReached(_) => "not-reached",
            Self::Unanswered(_) => "no-answer",
        }
    }
}

/// The answer of the provider.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProviderReply {
    /// The status code.
    pub(crate) status: u16,
}

impl ProviderReply {
    /// Returns whether the provider accepted the call.
    pub(crate) fn is_accepted(self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the provider wants fewer calls or fails.
    fn wants_backoff(self) -> bool {
        self.status == 429 || self.status >= 500
    }
}

/// When the provider may be called next. All duties of the process share it.
#[derive(Debug, Default)]
pub(crate) struct ProviderPace {
    /// When the next call may begin by the rate.
    next_at: Cell<MonoTime>,
    /// Until when no calls are made after a failure.
    rests_until: Cell<MonoTime>,
    backoff: Cell<Span>,
}

impl ProviderPace {
    /// Waits until the rate allows a call.
    async fn wait_turn(&self, provider: &ProviderSettings) -> Result<(), ProviderError> {
        let now = boot_time();
        let rest = self.rests_until.get().since(now);
        if rest > Span::ZERO {
            return Err(ProviderError::BackingOff(rest));
        }
        let rate = (provider.calls_per_s * RATE_SHARE).max(MIN_RATE_PER_S);
        let interval = Span((Span::from_secs(1).0 as f64 / rate) as u64);
        let turn = self.next_at.get().max(now);
        let wait = turn.since(now);
        if wait > MAX_PACE_WAIT {
            return Err(ProviderError::BackingOff(wait));
        }
        self.next_at.set(turn + interval);
        sleep(Duration::from(wait)).await;
        Ok(())
    }

    /// Begins a pause after a failure, longer with each failure in a row.
    fn note(&self, result: &Result<ProviderReply, ProviderError>) {
        let is_failure = match result {
            Ok(reply) => reply.wants_backoff(),
            Err(ProviderError::NotReached(_) | ProviderError::Unanswered(_)) => true,
            Err(_) => return,
        };
        if !is_failure {
            self.backoff.set(Span::ZERO);
            return;
        }
        let last = self.backoff.get();
        let pause = Span(last.0 * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF);
        self.backoff.set(pause);
        self.rests_until.set(boot_time() + pause);
    }
}

/// A client of the provider, with a connection of its own.
#[derive(Debug)]
pub(crate) struct ProviderClient {
    core: Rc<GatewayCore>,
    /// The connection of the last call that was answered.
    kept: RefCell<Option<KeptConn>>,
}

#[derive(Debug)]
struct KeptConn {
    address: SocketAddr,
    conn: HttpConn,
}

impl ProviderClient {
    /// Creates a client, which connects on its first call.
    pub(crate) fn open(core: Rc<GatewayCore>) -> Self {
        Self {
            core,
            kept: RefCell::new(None),
        }
    }

    /// Makes one call, if the lease holds when it is written.
    pub(crate) async fn call(
        &self,
        grant: &DutyGrant,
        request: &ProviderRequest,
    ) -> Result<ProviderReply, ProviderError> {
        let result = self.try_call(grant, request).await;
        let outcome = match &result {
            Ok(reply) => reply.status.to_string(),
            Err(error) => error.as_str().to_owned(),
        };
        self.core.metrics.record_duty_call(request.target, outcome);
        self.core.duties.pace.note(&result);
        result
    }

    async fn try_call(
        &self,
        grant: &DutyGrant,
        request: &ProviderRequest,
    ) -> Result<ProviderReply, ProviderError> {
        let settings = self.core.settings();
        let provider = settings
            .provider
            .as_ref()
            .ok_or(ProviderError::NoProvider)?;
        self.core.duties.pace.wait_turn(provider).await?;
        let limit = CALL_TIMEOUT.min(grant.time_left());
        let exchange = self.exchange(grant, request, provider.address);
        match timeout(Duration::from(limit), exchange).await {
            Ok(result) => result,
            // The connection is reset when the call is dropped.
            Err(_) => Err(ProviderError::Unanswered("no answer in time".to_owned())),
        }
    }

    async fn exchange(
        &self,
        grant: &DutyGrant,
        request: &ProviderRequest,
        address: SocketAddr,
    ) -> Result<ProviderReply, ProviderError> {
        let mut conn = self.connection(address).await?;
        let settings = self.core.settings();
        let headers = DutyHeaders {
            holder: &settings.name,
            token: grant.token(),
        };
        let mut bytes = Vec::with_capacity(512 + request.body.len());
        self.core
            .port
            .encode_provider_call(request, &headers, address, &mut bytes);
        write_valid(&conn, grant, &bytes).await?;
        let limits = HeadLimits {
            head_bytes: MAX_HEAD_BYTES,
        };
        let unanswered = |error: ConnError| ProviderError::Unanswered(error.to_string());
        let head = conn.read_head(&limits).await.map_err(unanswered)?;
        let head = AnswerHead::parse(head, "POST")
            .map_err(|error| ProviderError::Unanswered(error.to_string()))?;
        let reply = ProviderReply {
            status: head.status,
        };
        // The status alone is the answer. After a broken body the connection is not used again.
        let is_whole = read_body(&mut conn, &head, MAX_SHORT_ANSWER_BYTES)
            .await
            .is_ok();
        if is_whole && head.keeps_alive && conn.is_idle() {
            *self.kept.borrow_mut() = Some(KeptConn { address, conn });
        }
        Ok(reply)
    }

    async fn connection(&self, address: SocketAddr) -> Result<HttpConn, ProviderError> {
        let kept = self.kept.borrow_mut().take();
        if let Some(kept) = kept.filter(|kept| kept.address == address && kept.conn.is_idle()) {
            return Ok(kept.conn);
        }
        let not_reached = |error: std::io::Error| ProviderError::NotReached(error.to_string());
        let conn = HttpConn::connect(address, &TcpTimeouts::default())
            .await
            .map_err(not_reached)?;
        conn.reset_on_close().map_err(not_reached)?;
        Ok(conn)
    }
}

/// Writes a call, and checks before each write that the lease still holds.
async fn write_valid(
    conn: &HttpConn,
    grant: &DutyGrant,
    bytes: &[u8],
) -> Result<(), ProviderError> {
    let mut written = 0;
    while written < bytes.len() {
        if !conn.can_write().await {
            return Err(write_error(written, "the connection broke"));
        }
        if !grant.is_valid() {
            return Err(match written {
                0 => ProviderError::NotHolder,
                _ => ProviderError::Unanswered("the lease ended during the write".to_owned()),
            });
        }
        match conn.try_write(&bytes[written..]) {
            Ok(count) => written += count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(write_error(written, &error.to_string())),
        }
    }
    Ok(())
}

fn write_error(written: usize, reason: &str) -> ProviderError {
    match written {
        0 => ProviderError::NotReached(reason.to_owned()),
        _ => ProviderError::Unanswered(reason.to_owned()),
    }
}
