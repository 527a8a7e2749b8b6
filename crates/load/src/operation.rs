//! Calls of plain services, sent once, or twice concurrently if the schedule repeats the call.

use ntex::http::Method;
use ntex::util::Bytes;
use oleander_attempt::AttemptRequest;
use oleander_base::prelude::*;
use serde_json::json;
use tokio::time::Instant;

use crate::caller::{CallerContext, timeouts};
use crate::classify::{SystemReply, read_failure};
use crate::outcome::{CallOutcome, CallRecord};
use crate::scenario::OperationPlan;
use crate::schedule::PlannedCall;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

impl CallerContext {
    /// Runs one call of a plain service. A repeated call is sent to two entry VMs at the same time,
    /// and its record joins both results.
    pub(crate) async fn run_operation(
        &self,
        call: &PlannedCall,
        operation: &OperationPlan,
        repeated: bool,
        record: &mut CallRecord,
    ) {
        let id = format!("{}-{}", self.scenario.seed, call.serial);
        record.operation = Some(id.clone());
        let mut repeat_record = record.clone();
        let first = self.send_operation(call, call.entry, operation, &id, record);
        if !repeated {
            first.await;
        } else {
            let other_entry = call.entry.wrapping_add(1);
            let repeat = self.send_operation(call, other_entry, operation, &id, &mut repeat_record);
            tokio::join!(first, repeat);
            record.acknowledged += repeat_record.acknowledged;
            record.verdict = join_verdicts(record.verdict, repeat_record.verdict);
            if record.outcome != CallOutcome::Whole {
                record.outcome = repeat_record.outcome;
                record.code = repeat_record.code;
                record.first = repeat_record.first;
            }
        }
    }

    async fn send_operation(
        &self,
        call: &PlannedCall,
        entry: u32,
        operation: &OperationPlan,
        id: &str,
        record: &mut CallRecord,
    ) {
        let bearer = self.bearer(call);
        let path = format!("/services/{}{}", operation.service, operation.path);
        let mut headers = vec![
            ("content-type", "application/json"),
            ("authorization", bearer.as_str()),
            ("x-oleander-class", operation.name.as_str()),
        ];
        if !operation.idempotent {
            headers.push(("idempotency-key", id));
        }
        let is_get = operation.method == "GET";
        let body = if is_get {
            Bytes::new()
        } else {
            Bytes::from(json!({"operation": id, "sheets": 100}).to_string())
        };
        let request = AttemptRequest {
            method: operation.method.parse().unwrap_or(Method::POST),
            address: self.targets[0],
            path: &path,
            headers: &headers,
            body,
            fresh: false,
            timeouts: timeouts(operation.patience_ms),
        };
        let Some(response) = self.send_with_failover(entry, request, record).await else {
            return;
        };
        let mut reply = SystemReply::from_headers(&response);
        if response.status.is_success() {
            let done = response.body.read(MAX_ANSWER_BYTES).await.is_ok();
            record.outcome = if done {
                CallOutcome::Whole
            } else {
                CallOutcome::Broken
            };
            record.acknowledged += u32::from(done);
            record.first = Some(self.since_due(call, Instant::now()));
            reply.verdict = Some(Verdict::Ran);
        } else {
            (record.outcome, reply) = read_failure(response, reply).await;
        }
        record.code = reply.code;
        record.verdict = reply.verdict;
        record.request = reply.request;
    }
}

fn join_verdicts(first: Option<Verdict>, second: Option<Verdict>) -> Option<Verdict> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.join(second)),
        _ => None,
    }
}
