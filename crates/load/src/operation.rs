//! Calls of plain services, sent once or, by a caller that repeats itself, twice.

use ntex::http::Method;
use ntex::util::Bytes;
use oleander_attempt::AttemptRequest;
use oleander_base::prelude::*;
use serde_json::json;
use tokio::time::Instant;

use crate::caller::{CallerContext, timeouts};
use crate::classify::{SystemWord, read_failure};
use crate::outcome::{CallOutcome, CallRecord};
use crate::scenario::OperationPlan;
use crate::schedule::PlannedCall;

/// The largest answer, in bytes.
const ANSWER_LIMIT: usize = 1 << 20;

impl CallerContext {
    /// Plays one call of a plain service.
    pub(crate) async fn operate(
        &self,
        call: &PlannedCall,
        operation: &OperationPlan,
        repeated: bool,
        record: &mut CallRecord,
    ) {
        let id = format!("{}-{}", self.scenario.seed, call.serial);
        record.operation = Some(id.clone());
        let mut second = record.clone();
        let first = self.operate_once(call, call.entry, operation, &id, record);
        if !repeated {
            first.await;
        } else {
            let other = call.entry.wrapping_add(1);
            let repeat = self.operate_once(call, other, operation, &id, &mut second);
            tokio::join!(first, repeat);
            record.acknowledged += second.acknowledged;
            record.verdict = join_verdicts(record.verdict, second.verdict);
            if record.outcome != CallOutcome::Whole {
                record.outcome = second.outcome;
                record.code = second.code;
                record.first = second.first;
            }
        }
    }

    async fn operate_once(
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
        let Some(response) = self.deliver(entry, request, record).await else {
            return;
        };
        let mut word = SystemWord::of_headers(&response);
        if response.status.is_success() {
            let done = response.body.read(ANSWER_LIMIT).await.is_ok();
            record.outcome = if done {
                CallOutcome::Whole
            } else {
                CallOutcome::Broken
            };
            record.acknowledged += u32::from(done);
            record.first = Some(self.since_due(call, Instant::now()));
            word.verdict = Some(Verdict::Ran);
        } else {
            (record.outcome, word) = read_failure(response, word).await;
        }
        record.code = word.code;
        record.verdict = word.verdict;
        record.request = word.request;
    }
}

fn join_verdicts(first: Option<Verdict>, second: Option<Verdict>) -> Option<Verdict> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.join(second)),
        _ => None,
    }
}
