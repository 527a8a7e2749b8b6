//! A guard without any checks, for tests that prove that their checker detects failures.

use std::fmt;
use std::sync::Arc;

use oleander_base::prelude::*;
use oleander_platform::BoxFuture;

use crate::attempt::RepeatRule;
use crate::deadline::{MonoClock, SendDeadline};
use crate::guard::{Admission, IssueError, OnceCall, OnceGuard, RequestStatus};
use crate::permit::{PermitBasis, PermitEnd, PermitSink, PermitTerms, RunPermit};
use crate::stats::GuardStats;

/// Admits every request, whatever its token or key and however often it is repeated.
pub struct OpenGuard {
    clock: Arc<dyn MonoClock>,
}

impl fmt::Debug for OpenGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OpenGuard").finish_non_exhaustive()
    }
}

struct NullSink;

impl PermitSink for NullSink {
    fn close(&self, _basis: PermitBasis, _request: RequestId, _end: PermitEnd) {}
}

impl OpenGuard {
    /// Opens a guard that admits every request.
    pub fn open(clock: Arc<dyn MonoClock>) -> Arc<dyn OnceGuard> {
        Arc::new(Self { clock })
    }
}

impl OnceGuard for OpenGuard {
    fn admit<'a>(&'a self, call: OnceCall<'a>) -> BoxFuture<'a, Admission> {
        let terms = PermitTerms {
            basis: PermitBasis::Unbound,
            deadline: SendDeadline::new(MonoTime(u64::MAX), Span::ZERO),
            rule: RepeatRule::Idempotent,
            clock: Arc::clone(&self.clock),
            sink: Arc::new(NullSink),
        };
        let permit = RunPermit::open(call.request, terms);
        Box::pin(async move { Admission::Run(permit) })
    }

    fn issue(&self, _customer: CustomerId, count: u32) -> Result<Vec<String>, IssueError> {
        Ok((0..count).map(|serial| format!("open-{serial}")).collect())
    }

    fn lookup(&self, _request: RequestId) -> Option<RequestStatus> {
        None
    }

    fn stats(&self) -> GuardStats {
        GuardStats::default()
    }

    fn dump(&self) -> String {
        "no guard: every request runs\n".to_owned()
    }
}
