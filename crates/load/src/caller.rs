//! One caller: runs a planned call against the entry VM that the load balancer picks.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_attempt::{
    AttemptClient, AttemptError, AttemptFailure, AttemptRequest, AttemptResponse, AttemptTimeouts,
};
use oleander_base::prelude::*;
use tokio::time::Instant;

use crate::outcome::{CallOutcome, CallRecord, CallSubject};
use crate::scenario::Scenario;
use crate::schedule::{PlannedCall, PlannedKind};
use crate::stats::GapStats;

/// How much longer than its patience a caller waits for the first byte of a response.
const PATIENCE_MARGIN: Duration = Duration::from_secs(5);

/// How long a caller waits for the next piece of an answer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The state that the callers of one thread share.
pub(crate) struct CallerContext {
    pub(crate) scenario: Rc<Scenario>,
    pub(crate) targets: Rc<Vec<SocketAddr>>,
    pub(crate) client: AttemptClient,
    pub(crate) start: Instant,
    pub(crate) gaps: RefCell<GapStats>,
}

impl CallerContext {
    /// Runs one call that is now due and returns its record.
    pub(crate) async fn run_call(&self, call: &PlannedCall) -> CallRecord {
        let sent = self.start.elapsed();
        let mut record = CallRecord {
            serial: call.serial,
            subject: subject_of(&call.kind),
            customer: call.customer,
            at: call.at,
            lateness: Span::from(sent).saturating_sub(call.at),
            first: None,
            total: Span::ZERO,
            mean_gap: None,
            tokens: 0,
            prompt_tokens: 0,
            outcome: CallOutcome::Failed,
            code: None,
            verdict: None,
            request: None,
            tag: None,
            operation: None,
            acknowledged: 0,
            reconnects: 0,
            rerouted: 0,
        };
        match &call.kind {
            PlannedKind::Completion { class, .. } => {
                let class = &self.scenario.classes[*class];
                self.run_completion(call, class, &mut record).await;
            }
            PlannedKind::Operation {
                operation,
                repeated,
            } => {
                let operation = &self.scenario.operations[*operation];
                self.run_operation(call, operation, *repeated, &mut record)
                    .await;
            }
        }
        record.total = self.since_due(call, Instant::now());
        record
    }

    /// Sends a request to the entry VM that the load balancer picks or to the next one that can be
    /// reached, as a load balancer does that finds an entry VM unreachable.
    pub(crate) async fn send_with_failover(
        &self,
        entry: u32,
        mut request: AttemptRequest<'_>,
        record: &mut CallRecord,
    ) -> Option<AttemptResponse> {
        let count = self.targets.len();
        for offset in 0..count {
            request.address = self.targets[(entry as usize + offset) % count];
            match self.client.send(request.clone()).await {
                Ok(response) => return Some(response),
                Err(error) if is_unreachable(&error) => record.rerouted += 1,
                Err(error) => {
                    record.outcome = CallOutcome::Failed;
                    record.add_verdict(Some(error.verdict));
                    record.code = Some(error.failure.to_string());
                    return None;
                }
            }
        }
        record.outcome = CallOutcome::Unreachable;
        record.add_verdict(Some(Verdict::NotRun));
        None
    }

    /// Returns the value of the authorization header of a call.
    pub(crate) fn bearer(&self, call: &PlannedCall) -> String {
        format!("Bearer {}", self.scenario.customers[call.customer].key)
    }

    /// Returns the time from when a call was due until `instant`.
    pub(crate) fn since_due(&self, call: &PlannedCall, instant: Instant) -> Span {
        Span::from(instant - self.start).saturating_sub(call.at)
    }
}

fn subject_of(kind: &PlannedKind) -> CallSubject {
    match kind {
        PlannedKind::Completion { class, .. } => CallSubject::Class(*class),
        PlannedKind::Operation { operation, .. } => CallSubject::Operation(*operation),
    }
}

fn is_unreachable(error: &AttemptError) -> bool {
    let connecting = matches!(
        error.failure,
        AttemptFailure::Connect(_) | AttemptFailure::ConnectTimeout
    );
    connecting && error.verdict == Verdict::NotRun
}

/// Returns the timeouts for the phases of a call with this patience.
pub(crate) fn timeouts(patience_ms: u64) -> AttemptTimeouts {
    AttemptTimeouts {
        connect: Duration::from_secs(2),
        first_byte: Duration::from_millis(patience_ms) + PATIENCE_MARGIN,
        idle: IDLE_TIMEOUT,
    }
}
