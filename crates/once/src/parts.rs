//! What a guard is built from.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use oleander_base::prelude::*;

use crate::deadline::MonoClock;
use crate::handle::ClaimHandle;
use crate::ledger::LedgerLimits;
use crate::token::TokenIssuer;

/// Settings of the guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardSettings {
    /// How long after its arrival a request may be sent.
    pub send_limit: Span,
    /// How long a repeat waits for a running request before it is refused.
    pub repeat_wait: Duration,
    /// A gap in this process's running that counts as a pause; far below the retention.
    pub pause_limit: Span,
    /// How long keyed requests are refused after a pause.
    pub pause_quiet: Span,
    /// The most ended requests whose verdict is remembered by request id.
    pub statuses: usize,
    /// Bounds of the token ledger.
    pub ledger: LedgerLimits,
}

impl Default for GuardSettings {
    fn default() -> Self {
        Self {
            send_limit: Span::from_secs(60),
            repeat_wait: Duration::from_secs(10),
            pause_limit: Span::from_secs(120),
            pause_quiet: Span::from_secs(5),
            statuses: 100_000,
            ledger: LedgerLimits::default(),
        }
    }
}

/// What a guard is built from.
#[derive(Clone)]
pub struct GuardParts {
    /// This instance.
    pub me: InstanceId,
    /// Its data centre.
    pub centre: CentreId,
    /// The process's clock.
    pub clock: Arc<dyn MonoClock>,
    /// Token keys, if tokens are offered.
    pub issuer: Option<TokenIssuer>,
    /// The running claim book.
    pub claims: ClaimHandle,
}

impl fmt::Debug for GuardParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GuardParts")
            .field("me", &self.me)
            .field("centre", &self.centre)
            .finish_non_exhaustive()
    }
}
