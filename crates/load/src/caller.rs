//! One caller: sends a planned call at its time and checks the answer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::Method;
use ntex::util::Bytes;
use oleander_attempt::{
    AttemptClient, AttemptError, AttemptFailure, AttemptRequest, AttemptResponse, AttemptTimeouts,
};
use oleander_base::prelude::*;
use oleander_engine::{EventParser, RawEvent};
use oleander_standin::{AnswerCheck, AnswerPlan, answer_hint};
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use crate::classify::{SystemWord, is_error_event, read_failure};
use crate::outcome::{CallOutcome, CallRecord, CallSubject};
use crate::record::GapStats;
use crate::scenario::{ClassPlan, OperationPlan, Scenario};
use crate::schedule::{PlannedCall, PlannedKind};

/// How much longer than its patience a caller waits for the system's word.
const PATIENCE_MARGIN: Duration = Duration::from_secs(5);

/// How long a caller waits between two pieces of an answer.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// The largest answer in one piece, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// How many bytes of a prompt one token stands for.
const BYTES_PER_TOKEN: usize = 4;

/// The part of a prompt that its shared beginning takes.
const PREFIX_PART: f64 = 0.6;

/// What the callers of one thread share.
pub(crate) struct CallerContext {
    pub(crate) scenario: Rc<Scenario>,
    pub(crate) targets: Rc<Vec<SocketAddr>>,
    pub(crate) client: AttemptClient,
    pub(crate) start: Instant,
    pub(crate) gaps: RefCell<GapStats>,
}

#[derive(Debug, Default, Deserialize)]
struct AnswerBody {
    #[serde(default)]
    choices: Vec<AnswerChoice>,
}

#[derive(Debug, Default, Deserialize)]
struct AnswerChoice {
    #[serde(default)]
    delta: AnswerText,
    #[serde(default)]
    message: AnswerText,
}

#[derive(Debug, Default, Deserialize)]
struct AnswerText {
    #[serde(default)]
    content: Option<String>,
}

impl AnswerBody {
    fn text(&self) -> &str {
        let choice = self.choices.first();
        let text = choice.and_then(|choice| {
            let streamed = choice.delta.content.as_deref();
            streamed.or(choice.message.content.as_deref())
        });
        text.unwrap_or_default()
    }
}

/// The course of one answer.
#[derive(Debug, Default)]
struct AnswerCourse {
    text: String,
    first: Option<Instant>,
    last: Option<Instant>,
    pieces: u32,
}

impl AnswerCourse {
    /// Adds text and returns the time since the text before.
    fn push(&mut self, text: &str) -> Option<Duration> {
        if text.is_empty() {
            return None;
        }
        let now = Instant::now();
        let gap = self.last.map(|last| now - last);
        self.text.push_str(text);
        self.pieces += 1;
        self.first.get_or_insert(now);
        self.last = Some(now);
        gap
    }

    fn mean_gap(&self) -> Option<Span> {
        let length = self.last? - self.first?;
        (self.pieces > 1).then(|| Span::from(length / (self.pieces - 1)))
    }
}

impl CallerContext {
    /// Plays one call from its time to its end.
    pub(crate) async fn play(&self, call: &PlannedCall) -> CallRecord {
        let sent = self.start.elapsed();
        let mut record = CallRecord {
            serial: call.serial,
            subject: subject_of(&call.kind),
            customer: call.customer,
            at: call.at,
            late: Span::from(sent).saturating_sub(call.at),
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
        };
        match &call.kind {
            PlannedKind::Completion { class, .. } => {
                let class = &self.scenario.classes[*class];
                self.complete(call, class, &mut record).await;
            }
            PlannedKind::Operation {
                operation,
                repeated,
            } => {
                let operation = &self.scenario.operations[*operation];
                self.operate(call, operation, *repeated, &mut record).await;
            }
        }
        record.total = self.since_due(call, Instant::now());
        record
    }

    async fn complete(&self, call: &PlannedCall, class: &ClassPlan, record: &mut CallRecord) {
        let (body, plan) = self.completion(call, class, record);
        record.tag = Some(plan.tag.0);
        let bearer = self.bearer(call);
        let headers = [
            ("content-type", "application/json"),
            ("authorization", bearer.as_str()),
            ("x-oleander-class", class.name.as_str()),
        ];
        let request = AttemptRequest {
            method: Method::POST,
            address: self.targets[0],
            path: "/v1/chat/completions",
            headers: &headers,
            body,
            fresh: false,
            timeouts: timeouts(class.patience_ms),
        };
        let Some(response) = self.deliver(call.entry, request, record).await else {
            return;
        };
        let mut word = SystemWord::of_headers(&response);
        let mut course = AnswerCourse::default();
        if response.status.is_success() {
            record.outcome = if class.stream {
                self.read_stream(call, response, &plan, &mut course, &mut word)
                    .await
            } else {
                read_whole(response, &plan, &mut course).await
            };
        } else {
            (record.outcome, word) = read_failure(response, word).await;
        }
        record.first = course.first.map(|first| self.since_due(call, first));
        record.mean_gap = course.mean_gap();
        record.tokens = if record.outcome == CallOutcome::Whole {
            plan.length
        } else {
            course.pieces
        };
        record.code = word.code;
        record.verdict = word.verdict;
        record.request = word.request;
    }

    async fn read_stream(
        &self,
        call: &PlannedCall,
        mut response: AttemptResponse,
        plan: &AnswerPlan,
        course: &mut AnswerCourse,
        word: &mut SystemWord,
    ) -> CallOutcome {
        let mut parser = EventParser::default();
        loop {
            while let Some(event) = parser.next_event() {
                let payload = match event {
                    RawEvent::Data(payload) => payload,
                    RawEvent::End => {
                        let _ = response.body.next().await;
                        return judge(plan, &course.text);
                    }
                };
                if is_error_event(&payload) {
                    word.add_error(&payload);
                    return broken(plan, &course.text);
                }
                let parsed: AnswerBody = serde_json::from_slice(&payload).unwrap_or_default();
                if let Some(gap) = course.push(parsed.text()) {
                    self.note_gap(call, gap);
                }
            }
            match response.body.next().await {
                Some(Ok(piece)) => {
                    if parser.push(piece).is_err() {
                        return CallOutcome::Failed;
                    }
                }
                Some(Err(_)) | None => return broken(plan, &course.text),
            }
        }
    }

    fn note_gap(&self, call: &PlannedCall, gap: Duration) {
        if let PlannedKind::Completion { class, .. } = call.kind {
            self.gaps.borrow_mut().note(class, Span::from(gap));
        }
    }

    async fn operate(
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

    /// Sends a request to the entry VM that the balancer picks, or to the next that can be
    /// reached, as a balancer does that finds one dead.
    async fn deliver(
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
                Err(error) if is_unreachable(&error) => {}
                Err(error) => {
                    record.outcome = CallOutcome::Failed;
                    record.verdict = Some(Verdict::MayHaveRun);
                    record.code = Some(error.failure.to_string());
                    return None;
                }
            }
        }
        record.outcome = CallOutcome::Unreachable;
        record.verdict = Some(Verdict::NotRun);
        None
    }

    fn completion(
        &self,
        call: &PlannedCall,
        class: &ClassPlan,
        record: &mut CallRecord,
    ) -> (Bytes, AnswerPlan) {
        let PlannedKind::Completion {
            prompt_tokens,
            answer_tokens,
            prefix,
            ..
        } = call.kind
        else {
            unreachable!("a completion has a class");
        };
        record.prompt_tokens = prompt_tokens;
        let size = prompt_tokens as usize * BYTES_PER_TOKEN;
        let shared = match prefix {
            Some(prefix) => filled(
                &format!("{} guide {prefix}:", class.name),
                (size as f64 * PREFIX_PART) as usize,
            ),
            None => String::new(),
        };
        let hint = answer_hint(answer_tokens);
        let question = format!("Question {}-{} {hint}.", self.scenario.seed, call.serial);
        let question = filled(&question, size.saturating_sub(shared.len()));
        let prompt = format!("{shared}\n{question}");
        let plan = AnswerPlan::of(&class.model, &prompt, Some(class.answer.limit));
        let body = json!({
            "model": class.model,
            "messages": [
                {"role": "system", "content": shared},
                {"role": "user", "content": question},
            ],
            "max_tokens": class.answer.limit,
            "stream": class.stream,
        });
        (Bytes::from(body.to_string()), plan)
    }

    fn bearer(&self, call: &PlannedCall) -> String {
        format!("Bearer {}", self.scenario.customers[call.customer].key)
    }

    fn since_due(&self, call: &PlannedCall, instant: Instant) -> Span {
        Span::from(instant - self.start).saturating_sub(call.at)
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

/// Judges an answer that claims to be complete.
fn judge(plan: &AnswerPlan, text: &str) -> CallOutcome {
    match AnswerCheck::of(plan, text) {
        AnswerCheck::Whole => CallOutcome::Whole,
        AnswerCheck::Truncated { .. } => CallOutcome::Truncated,
        AnswerCheck::Mixed { .. } => CallOutcome::Mixed,
    }
}

/// Judges an answer that ended with an error; what came must still be its own.
fn broken(plan: &AnswerPlan, text: &str) -> CallOutcome {
    match AnswerCheck::of(plan, text) {
        AnswerCheck::Mixed { .. } => CallOutcome::Mixed,
        _ => CallOutcome::Broken,
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

fn join_verdicts(first: Option<Verdict>, second: Option<Verdict>) -> Option<Verdict> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.join(second)),
        _ => None,
    }
}

fn timeouts(patience_ms: u64) -> AttemptTimeouts {
    AttemptTimeouts {
        connect: Duration::from_secs(2),
        first_byte: Duration::from_millis(patience_ms) + PATIENCE_MARGIN,
        idle: IDLE_LIMIT,
    }
}

/// Returns `start` with filler up to a size.
fn filled(start: &str, size: usize) -> String {
    const FILLER: &str = " page line note";
    let mut text = start.to_owned();
    while text.len() < size {
        let left = size - text.len();
        text.push_str(&FILLER[..left.min(FILLER.len())]);
    }
    text
}
