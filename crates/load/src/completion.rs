//! Completions of models: sends the request, checks the answer and resumes a broken stream.
//!
//! A caller whose stream breaks reconnects as often as its class allows. It asks the next entry VM
//! for the events after the last one that it received. If these are no longer available, it sends
//! the request again with the id of that event, and the system resumes the answer from there.

use std::time::Duration;

use ntex::http::Method;
use ntex::util::Bytes;
use oleander_attempt::{AttemptRequest, AttemptResponse};
use oleander_base::prelude::*;
use oleander_engine::{EventParser, RawEvent};
use oleander_standin::AnswerPlan;

use crate::answer::{AnswerBody, AnswerProgress, classify_answer, classify_broken_answer};
use crate::caller::{CallerContext, timeouts};
use crate::classify::{SystemReply, is_error_event, read_failure};
use crate::outcome::{CallOutcome, CallRecord};
use crate::prompt::{PreparedPrompt, PromptSeed};
use crate::scenario::ClassPlan;
use crate::schedule::{PlannedCall, PlannedKind};

/// Maximum size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// How long a caller that may reconnect asks the system to keep its answer, in seconds.
const KEEP_ANSWER_SECONDS: &str = "10";

/// Time between the break of an answer and the reconnect.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// A completion in progress.
struct ActiveCompletion<'a> {
    call: &'a PlannedCall,
    class: &'a ClassPlan,
    prepared: PreparedPrompt,
    bearer: String,
    progress: AnswerProgress,
    reply: SystemReply,
}

impl CallerContext {
    /// Runs one completion, including its reconnects, and fills in its record.
    pub(crate) async fn run_completion(
        &self,
        call: &PlannedCall,
        class: &ClassPlan,
        record: &mut CallRecord,
    ) {
        let Some(seed) = self.prompt_seed(call) else {
            return;
        };
        record.prompt_tokens = seed.prompt_tokens;
        let mut active = ActiveCompletion {
            call,
            class,
            prepared: PreparedPrompt::new(class, &seed),
            bearer: self.bearer(call),
            progress: AnswerProgress::default(),
            reply: SystemReply::default(),
        };
        record.tag = Some(active.prepared.plan.tag.0);
        self.send_request(&mut active, call.entry, record).await;
        while record.outcome == CallOutcome::Broken && record.reconnects < class.reconnects {
            record.reconnects += 1;
            tokio::time::sleep(RECONNECT_DELAY).await;
            self.reconnect(&mut active, record).await;
        }
        let progress = active.progress;
        record.first = progress.first.map(|first| self.since_due(call, first));
        record.mean_gap = progress.mean_gap();
        record.tokens = if record.outcome == CallOutcome::Whole {
            active.prepared.plan.length
        } else {
            progress.pieces
        };
        record.code = active.reply.code.or(record.code.take());
        record.request = active.reply.request;
    }

    /// Sends the request and reads the answer; after a break, the request names the last event that
    /// was received.
    async fn send_request(
        &self,
        active: &mut ActiveCompletion<'_>,
        entry: u32,
        record: &mut CallRecord,
    ) {
        let last_id = active.progress.last_id.clone();
        if last_id.is_none() {
            // Without an event id the answer starts over.
            active.progress.text.clear();
        }
        let mut headers = vec![
            ("content-type", "application/json"),
            ("authorization", active.bearer.as_str()),
            ("x-oleander-class", active.class.name.as_str()),
        ];
        if active.class.reconnects > 0 {
            headers.push(("x-oleander-keep", KEEP_ANSWER_SECONDS));
        }
        if let Some(last_id) = &last_id {
            headers.push(("last-event-id", last_id.as_str()));
        }
        let request = AttemptRequest {
            method: Method::POST,
            address: self.targets[0],
            path: "/v1/chat/completions",
            headers: &headers,
            body: active.prepared.body.clone(),
            fresh: false,
            timeouts: timeouts(active.class.patience_ms),
        };
        let Some(response) = self.send_with_failover(entry, request, record).await else {
            if record.outcome == CallOutcome::Failed && active.class.reconnects > 0 {
                record.outcome = CallOutcome::Broken;
            }
            return;
        };
        self.read_response(active, response, record).await;
    }

    /// Asks for the events after the last one that was received, and sends the request again if
    /// they are not available.
    async fn reconnect(&self, active: &mut ActiveCompletion<'_>, record: &mut CallRecord) {
        let entry = active.call.entry.wrapping_add(record.reconnects);
        let resume = active
            .reply
            .request
            .clone()
            .zip(active.progress.last_id.clone());
        if let Some((id, last_id)) = resume {
            let path = format!("/v1/requests/{id}/events");
            let headers = [
                ("authorization", active.bearer.as_str()),
                ("last-event-id", last_id.as_str()),
            ];
            let request = AttemptRequest {
                method: Method::GET,
                address: self.targets[0],
                path: &path,
                headers: &headers,
                body: Bytes::new(),
                fresh: false,
                timeouts: timeouts(active.class.patience_ms),
            };
            if let Some(response) = self.send_with_failover(entry, request, record).await
                && response.status.is_success()
            {
                self.read_response(active, response, record).await;
                return;
            }
        }
        self.send_request(active, entry, record).await;
    }

    async fn read_response(
        &self,
        active: &mut ActiveCompletion<'_>,
        response: AttemptResponse,
        record: &mut CallRecord,
    ) {
        let reply = SystemReply::from_headers(&response);
        if !response.status.is_success() {
            (record.outcome, active.reply) = read_failure(response, reply).await;
        } else {
            active.reply = reply;
            record.outcome = if active.class.stream {
                self.read_stream(active, response).await
            } else {
                read_whole(response, &active.prepared.plan, &mut active.progress).await
            };
        }
        record.add_verdict(active.reply.verdict);
        if record.outcome == CallOutcome::Broken {
            record.add_verdict(Some(Verdict::MayHaveRun));
        }
    }

    async fn read_stream(
        &self,
        active: &mut ActiveCompletion<'_>,
        mut response: AttemptResponse,
    ) -> CallOutcome {
        let mut parser = EventParser::default();
        let plan = active.prepared.plan;
        loop {
            while let Some(event) = parser.next_event() {
                let payload = match event {
                    RawEvent::Data(payload) => payload,
                    RawEvent::End => {
                        let _ = response.body.next().await;
                        return classify_answer(&plan, &active.progress.text);
                    }
                };
                if is_error_event(&payload) {
                    active.reply.add_error(&payload);
                    return classify_broken_answer(&plan, &active.progress.text);
                }
                let parsed: AnswerBody = serde_json::from_slice(&payload).unwrap_or_default();
                if let Some(gap) = active.progress.push(parsed.text()) {
                    self.record_gap(active.call, gap);
                }
                if active.class.reconnects > 0 {
                    active.progress.last_id = parser.last_id().map(str::to_owned);
                }
            }
            match response.body.next().await {
                Some(Ok(piece)) => {
                    if parser.push(piece).is_err() {
                        return CallOutcome::Failed;
                    }
                }
                Some(Err(_)) | None => return classify_broken_answer(&plan, &active.progress.text),
            }
        }
    }

    fn record_gap(&self, call: &PlannedCall, gap: Duration) {
        if let PlannedKind::Completion { class, .. } = call.kind {
            self.gaps.borrow_mut().record(class, Span::from(gap));
        }
    }

    fn prompt_seed(&self, call: &PlannedCall) -> Option<PromptSeed> {
        let PlannedKind::Completion {
            prompt_tokens,
            answer_tokens,
            prefix,
            ..
        } = call.kind
        else {
            return None;
        };
        Some(PromptSeed {
            seed: self.scenario.seed,
            serial: call.serial,
            prompt_tokens,
            answer_tokens,
            prefix,
        })
    }
}

async fn read_whole(
    response: AttemptResponse,
    plan: &AnswerPlan,
    progress: &mut AnswerProgress,
) -> CallOutcome {
    let Ok(body) = response.body.read(MAX_ANSWER_BYTES).await else {
        return CallOutcome::Broken;
    };
    let parsed: AnswerBody = serde_json::from_slice(&body).unwrap_or_default();
    progress.push(parsed.text());
    classify_answer(plan, &progress.text)
}
