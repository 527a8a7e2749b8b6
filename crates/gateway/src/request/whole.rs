//! Answers that are delivered in one piece.

use bytes::Bytes;
use oleander_base::monotonic_now;

use super::attempt::{SendTarget, Step};
use super::wait::{Waited, read_whole, wait};
use super::{RequestRun, RunResult};
use crate::core::SendGuard;
use crate::exchange::Exchange;
use crate::http::AnswerHead;
use crate::meters::RequestEnd;
use crate::port::AnswerFraming;
use crate::prelude::*;

/// An answer that was read as a whole.
pub(super) struct WholeAnswer {
    pub(super) head: AnswerHead,
    pub(super) body: Bytes,
}

impl RequestRun<'_> {
    /// Delivers an answer that is not a stream.
    pub(super) async fn relay_whole(
        &mut self,
        mut answer: Exchange,
        guard: &mut SendGuard,
        target: &SendTarget,
        sent_at: MonoTime,
    ) -> Step {
        let read = wait(self.caller, self.left(), read_whole(&mut answer)).await;
        let body = match read {
            Waited::Came(Ok(body)) => body,
            Waited::CallerLeft => return Step::Done(self.caller_left()),
            Waited::Came(Err(error)) => {
                self.note_failure(target, Verdict::MayHaveRun, &error.to_string(), sent_at);
                return self.after_failed_run("the backend server's answer was cut");
            }
            Waited::TimedOut => {
                self.note_failure(target, Verdict::MayHaveRun, "no whole answer", sent_at);
                return Step::GiveUp("the answer was not whole in time");
            }
        };
        guard.read();
        let whole = WholeAnswer {
            head: answer.head.clone(),
            body,
        };
        answer.finish(self.core);
        if whole.head.status >= 500 {
            let outcome = format!("the backend server answered {}", whole.head.status);
            self.note_failure(target, Verdict::Ran, &outcome, sent_at);
            if self.may_run_again() {
                self.kept_failure = Some(whole);
                return Step::TryAgain;
            }
        } else {
            self.note_success(target);
        }
        Step::Done(self.deliver(whole).await)
    }

    pub(super) async fn deliver(&mut self, whole: WholeAnswer) -> RunResult {
        self.closes |= self.core.life.is_stopping();
        let framing = AnswerFraming {
            length: Some(whole.body.len()),
            closes: self.closes,
        };
        let mut out = Vec::with_capacity(512 + whole.body.len());
        self.core.port.encode_answer(&whole.head, framing, &mut out);
        if self.job.head.method() != "HEAD" {
            out.extend_from_slice(&whole.body);
        }
        let took = monotonic_now().since(self.job.started);
        self.core.meters.first_bytes(&self.job.routed.service, took);
        match self.caller.write_all(&out).await {
            Ok(()) => RunResult {
                end: RequestEnd::Answered,
                keeps: !self.closes,
            },
            Err(_) => self.caller_left(),
        }
    }
}
