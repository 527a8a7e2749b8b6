//! Binds a stream to the software version that began it.

use oleander_balance::{StreamId, StreamOrigin};
use oleander_base::monotonic_now;

use super::RequestRun;
use super::attempt::{SendTarget, Step};
use super::wait::WaitOutcome;
use crate::prelude::*;

impl RequestRun<'_> {
    /// Finds the version of a stream that the caller resumes. The stream is not sent anywhere while its
    /// version is unknown.
    pub(super) async fn find_origin(&mut self) -> Step {
        if !self.is_resume() {
            return Step::TryAgain;
        }
        let (core, job) = (self.core, self.job);
        let started = monotonic_now();
        let resolve = core
            .origins
            .resolve(core, self.resumed_stream(), &job.routed.service);
        let origin = match self.wait_or_stop(self.time_left(), resolve).await {
            WaitOutcome::Completed(origin) => origin,
            WaitOutcome::CallerLeft => return Step::Done(self.caller_left()),
            WaitOutcome::TimedOut => return Step::GiveUp("no time left"),
        };
        self.record_resume(&origin, started);
        self.origin = origin.version;
        match self.origin {
            Some(_) => Step::TryAgain,
            None => Step::GiveUp("the version that began the stream is not known"),
        }
    }

    /// Binds the stream to the version of its first event, and records that for the caller's next
    /// attempt.
    pub(super) fn record_origin(&mut self, target: &SendTarget) {
        // The gateway that the stream began through records its origin.
        if self.is_head_sent || target.key.is_none() {
            return;
        }
        let version = *self.origin.get_or_insert(target.version);
        if self.job.routed.route.repeat == RepeatKind::ResumableStream {
            let own = StreamId::of(self.attempt_id);
            let stream = self.resumed_stream().unwrap_or(own);
            self.core.origins.record(stream, version);
            let origin = StreamOrigin { stream, version };
            self.core.origin_log.note(&self.job.routed.service, origin);
        }
    }

    fn is_resume(&self) -> bool {
        let facts = &self.job.facts;
        let goes_on = facts.resume_from.is_some() || facts.resumed_attempt.is_some();
        goes_on && self.job.routed.route.repeat.is_stream()
    }

    fn resumed_stream(&self) -> Option<StreamId> {
        let attempt = self.job.facts.resumed_attempt.as_deref();
        attempt.map(StreamId::of)
    }
}
