//! Answers of models: sent, read, checked, and read on after a break.
//!
//! A caller whose stream breaks comes back as often as its class says. It asks any entry VM for
//! the events after the last that it has; if the one that held the answer is gone, it sends the
//! request again with the id of that event, and the system goes on from there.

use std::time::Duration;

use ntex::http::Method;
use ntex::util::Bytes;
use oleander_attempt::{AttemptRequest, AttemptResponse};
use oleander_base::prelude::*;
use oleander_engine::{EventParser, RawEvent};
use oleander_standin::AnswerPlan;

use crate::caller::{CallerContext, timeouts};
use crate::classify::{SystemWord, is_error_event, read_failure};
use crate::course::{AnswerBody, AnswerCourse, judge, judge_broken};
use crate::outcome::{CallOutcome, CallRecord};
use crate::prompt::{PreparedPrompt, PromptSeed};
use crate::scenario::ClassPlan;
use crate::schedule::{PlannedCall, PlannedKind};

/// The largest answer in one piece, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// How long a caller that comes back asks its answer to be kept, in seconds.
const KEEP_SECONDS: &str = "10";

/// How long a caller waits before it comes back.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// One completion on its way.
struct OpenCompletion<'a> {
    call: &'a PlannedCall,
    class: &'a ClassPlan,
    prepared: PreparedPrompt,
    bearer: String,
    course: AnswerCourse,
    word: SystemWord,
}

impl CallerContext {
    /// Plays one completion.
    pub(crate) async fn complete(
        &self,
        call: &PlannedCall,
        class: &ClassPlan,
        record: &mut CallRecord,
    ) {
        let Some(seed) = self.prompt_seed(call) else {
            return;
        };
        record.prompt_tokens = seed.prompt_tokens;
        let mut open = OpenCompletion {
            call,
            class,
            prepared: PreparedPrompt::of(class, &seed),
            bearer: self.bearer(call),
            course: AnswerCourse::default(),
            word: SystemWord::default(),
        };
        record.tag = Some(open.prepared.plan.tag.0);
        self.ask(&mut open, call.entry, record).await;
        while record.outcome == CallOutcome::Broken && record.reconnects < class.reconnects {
            record.reconnects += 1;
            tokio::time::sleep(RECONNECT_PAUSE).await;
            self.come_back(&mut open, record).await;
        }
        let course = open.course;
        record.first = course.first.map(|first| self.since_due(call, first));
        record.mean_gap = course.mean_gap();
        record.tokens = if record.outcome == CallOutcome::Whole {
            open.prepared.plan.length
        } else {
            course.pieces
        };
        record.code = open.word.code.or(record.code.take());
        record.request = open.word.request;
    }

    /// Sends the request, after a break with the place to go on from.
    async fn ask(&self, open: &mut OpenCompletion<'_>, entry: u32, record: &mut CallRecord) {
        let place = open.course.last_id.clone();
        if place.is_none() {
            // Without a place the answer begins anew.
            open.course.text.clear();
        }
        let mut headers = vec![
            ("content-type", "application/json"),
            ("authorization", open.bearer.as_str()),
            ("x-oleander-class", open.class.name.as_str()),
        ];
        if open.class.reconnects > 0 {
            headers.push(("x-oleander-keep", KEEP_SECONDS));
        }
        if let Some(place) = &place {
            headers.push(("last-event-id", place.as_str()));
        }
        let request = AttemptRequest {
            method: Method::POST,
            address: self.targets[0],
            path: "/v1/chat/completions",
            headers: &headers,
            body: open.prepared.body.clone(),
            fresh: false,
            timeouts: timeouts(open.class.patience_ms),
        };
        let Some(response) = self.deliver(entry, request, record).await else {
            if record.outcome == CallOutcome::Failed && open.class.reconnects > 0 {
                record.outcome = CallOutcome::Broken;
            }
            return;
        };
        self.read(open, response, record).await;
    }

    /// Asks for the events after the last that came, and for a new run if they are gone.
    async fn come_back(&self, open: &mut OpenCompletion<'_>, record: &mut CallRecord) {
        let entry = open.call.entry.wrapping_add(record.reconnects);
        let known = open.word.request.clone().zip(open.course.last_id.clone());
        if let Some((id, place)) = known {
            let path = format!("/v1/requests/{id}/events");
            let headers = [
                ("authorization", open.bearer.as_str()),
                ("last-event-id", place.as_str()),
            ];
            let request = AttemptRequest {
                method: Method::GET,
                address: self.targets[0],
                path: &path,
                headers: &headers,
                body: Bytes::new(),
                fresh: false,
                timeouts: timeouts(open.class.patience_ms),
            };
            if let Some(response) = self.deliver(entry, request, record).await
                && response.status.is_success()
            {
                self.read(open, response, record).await;
                return;
            }
        }
        self.ask(open, entry, record).await;
    }

    async fn read(
        &self,
        open: &mut OpenCompletion<'_>,
        response: AttemptResponse,
        record: &mut CallRecord,
    ) {
        let word = SystemWord::of_headers(&response);
        if !response.status.is_success() {
            (record.outcome, open.word) = read_failure(response, word).await;
        } else {
            open.word = word;
            record.outcome = if open.class.stream {
                self.read_stream(open, response).await
            } else {
                read_whole(response, &open.prepared.plan, &mut open.course).await
            };
        }
        record.add_verdict(open.word.verdict);
        if record.outcome == CallOutcome::Broken {
            record.add_verdict(Some(Verdict::MayHaveRun));
        }
    }

    async fn read_stream(
        &self,
        open: &mut OpenCompletion<'_>,
        mut response: AttemptResponse,
    ) -> CallOutcome {
        let mut parser = EventParser::default();
        let plan = open.prepared.plan;
        loop {
            while let Some(event) = parser.next_event() {
                let payload = match event {
                    RawEvent::Data(payload) => payload,
                    RawEvent::End => {
                        let _ = response.body.next().await;
                        return judge(&plan, &open.course.text);
                    }
                };
                if is_error_event(&payload) {
                    open.word.add_error(&payload);
                    return judge_broken(&plan, &open.course.text);
                }
                let parsed: AnswerBody = serde_json::from_slice(&payload).unwrap_or_default();
                if let Some(gap) = open.course.push(parsed.text()) {
                    self.note_gap(open.call, gap);
                }
                if open.class.reconnects > 0 {
                    open.course.last_id = parser.last_id().map(str::to_owned);
                }
            }
            match response.body.next().await {
                Some(Ok(piece)) => {
                    if parser.push(piece).is_err() {
                        return CallOutcome::Failed;
                    }
                }
                Some(Err(_)) | None => return judge_broken(&plan, &open.course.text),
            }
        }
    }

    fn note_gap(&self, call: &PlannedCall, gap: Duration) {
        if let PlannedKind::Completion { class, .. } = call.kind {
            self.gaps.borrow_mut().note(class, Span::from(gap));
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
    course: &mut AnswerCourse,
) -> CallOutcome {
    let Ok(body) = response.body.read(ANSWER_LIMIT).await else {
        return CallOutcome::Broken;
    };
    let parsed: AnswerBody = serde_json::from_slice(&body).unwrap_or_default();
    course.push(parsed.text());
    judge(plan, &course.text)
}
