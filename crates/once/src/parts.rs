//! The settings and the components of a guard.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use oleander_base::prelude::*;

use crate::deadline::MonoClock;
use crate::handle::ClaimHandle;
use crate::ledger::LedgerLimits;
use crate::token::TokenIssuer;

/// Holds the settings of the guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardSettings {
    /// How long after its arrival a request without a key may be sent.
    pub send_limit: Span,
    /// How long a repeat waits for a running request before it is refused.
    pub repeat_wait: Duration,
    /// The gap between two observations above which the process counts as paused; far below the
    /// retention.
    pub pause_limit: Span,
    /// How long keyed requests are refused after a pause.
    pub pause_quiet: Span,
    /// The maximum number of ended requests whose verdict is kept by request id.
    pub statuses: usize,
    /// The bounds of the token ledger.
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

/// Holds the components of a guard.
#[derive(Clone)]
pub struct GuardParts {
    /// The id of this instance.
    pub me: InstanceId,
    /// The data centre of this instance.
    pub centre: CentreId,
    /// The monotonic clock of the process.
    pub clock: Arc<dyn MonoClock>,
    /// The token issuer, or none if no token key is configured.
    pub issuer: Option<TokenIssuer>,
    /// The running claim table.
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
