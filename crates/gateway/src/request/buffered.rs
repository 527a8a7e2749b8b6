//! Delivers answers that are buffered completely before the first byte goes to the caller.

use bytes::Bytes;
use oleander_balance::{LeaseEnd, ReachFailure};
use oleander_base::monotonic_now;

use super::attempt::{SendTarget, Step};
use super::wait::{WaitOutcome, read_to_end};
use super::{RequestRun, RunResult};
use crate::client_io::write_message;
use crate::core::SendGuard;
use crate::exchange::Exchange;
use crate::http::{AnswerHead, ConnError};
use crate::metrics::RequestEnd;
use crate::port::AnswerFraming;
use crate::prelude::*;

/// An answer that was read completely.
pub(super) struct BufferedAnswer {
    pub(super) head: AnswerHead,
    pub(super) body: Bytes,
}

impl RequestRun<'_> {
    /// Reads an answer that is not a stream and delivers it.
    pub(super) async fn relay_buffered(
        &mut self,
        mut answer: Exchange,
        guard: &mut SendGuard,
        target: &SendTarget,
        sent_at: MonoTime,
    ) -> Step {
        let body = read_to_end(self.core, &mut answer);
        let read = self.wait_or_stop(self.time_left(), body).await;
        self.record_unframed_end(target, &answer);
        let body = match read {
            WaitOutcome::Completed(Ok(body)) => body,
            WaitOutcome::CallerLeft => return Step::Done(self.caller_left()),
            WaitOutcome::Completed(Err(error)) => {
                if matches!(error, ConnError::UnconfirmedEnd) {
                    self.record_out_of_reach(target, ReachFailure::Silence);
                } else {
                    self.record_out_of_reach(target, ReachFailure::Connection);
                    self.record_broken(target, false, sent_at);
                }
                let reason = self.broken_by(&error);
                self.record_failure(target, Verdict::MayHaveRun, &reason, sent_at);
                return self.after_failed_run("the backend server's answer was cut");
            }
            WaitOutcome::TimedOut => {
                self.record_failure(target, Verdict::MayHaveRun, "no whole answer", sent_at);
                return Step::GiveUp("the answer was not whole in time");
            }
        };
        guard.mark_prompt_read();
        guard.end_slot(LeaseEnd::Free);
        let buffered = BufferedAnswer {
            head: answer.head.clone(),
            body,
        };
        answer.finish(self.core);
        if buffered.head.status >= 500 {
            let outcome = format!("the backend server answered {}", buffered.head.status);
            self.record_failure(target, Verdict::Ran, &outcome, sent_at);
            if self.may_run_again() {
                self.failed_answer = Some(buffered);
                return Step::TryAgain;
            }
        } else {
            self.record_begun();
            self.record_complete();
            self.record_success(target);
        }
        Step::Done(self.deliver(buffered).await)
    }

    pub(super) async fn deliver(&mut self, buffered: BufferedAnswer) -> RunResult {
        self.closes |= self.core.shutdown.is_stopping();
        let framing = AnswerFraming {
            length: Some(buffered.body.len()),
            closes: self.closes,
        };
        let mut out = Vec::with_capacity(512);
        self.core
            .port
            .encode_answer(&buffered.head, framing, &mut out);
        let body = match self.job.head.method() {
            "HEAD" => Bytes::new(),
            _ => buffered.body,
        };
        let took = monotonic_now().since(self.job.started);
        self.core
            .metrics
            .record_first_bytes(&self.job.routed.service, took);
        match write_message(self.caller, &self.job.hold, &out, &body).await {
            Ok(()) => RunResult {
                end: RequestEnd::Answered,
                keeps_alive: !self.closes,
            },
            Err(_) => self.caller_left(),
        }
    }
}
