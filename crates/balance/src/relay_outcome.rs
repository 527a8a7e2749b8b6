//! Decides from another gateway's answer whether a relayed request may have run.
//!
//! The verdict of a request that two gateways sent is joined here and nowhere else. A gateway that states its
//! verdict on the whole request is taken at its word. Older gateways state none, so that their status decides: a
//! few statuses promise that the request has not run, and all others promise nothing. That the other gateway is
//! cut off says something of its links and nothing of the request, whose backend server may have run it before
//! (docs/PLATFORM.md, "Cut off from backend servers").

use oleander_base::Verdict;

/// The facts in another gateway's answer that the verdict on a relayed request depends on.
#[derive(Debug, Clone, Copy)]
pub struct RelayEvidence {
    /// The status code.
    pub status: u16,
    /// Whether the answer carries a backend server's signature.
    pub is_signed: bool,
    /// Whether the answer carries a backend server's statement that the request did not run there. A gateway may
    /// have sent the request to others before, so this alone says nothing of the whole request.
    pub is_not_run: bool,
    /// The gateway's own verdict on the whole request; older gateways state none.
    pub verdict: Option<Verdict>,
    /// Whether the gateway says that it is cut off from backend servers.
    pub is_cut_off: bool,
}

/// The meaning of another gateway's answer to a relayed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayOutcome {
    /// It is the answer of a backend server.
    Delivered,
    /// The request has not run, and a further gateway may serve it.
    Elsewhere,
    /// The request has not run, and the fleet has no room for it.
    Refused,
    /// The request may have run.
    Failed,
}

impl RelayOutcome {
    /// Reads the meaning of an answer.
    pub fn of(evidence: &RelayEvidence) -> Self {
        if evidence.is_signed && !evidence.is_not_run {
            return Self::Delivered;
        }
        if evidence.verdict() != Verdict::NotRun {
            return Self::Failed;
        }
        match evidence.status {
            _ if evidence.is_cut_off || evidence.is_not_run => Self::Elsewhere,
            429 | 503 => Self::Refused,
            // The other gateway's manifest, or the requests that it takes, differ from this one's.
            _ => Self::Elsewhere,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Delivered => "delivered",
            Self::Elsewhere => "elsewhere",
            Self::Refused => "refused",
            Self::Failed => "failed",
        }
    }
}

impl RelayEvidence {
    fn verdict(&self) -> Verdict {
        self.verdict.unwrap_or(match promises_not_run(self.status) {
            true => Verdict::NotRun,
            false => Verdict::MayHaveRun,
        })
    }
}

/// Returns whether a status promises that the request has not run and never will run.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
