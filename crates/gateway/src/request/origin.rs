//! Binds a stream to the software version that began it.

use oleander_balance::{ProcessLink, StreamId, StreamOrigin, VersionId};
use oleander_base::monotonic_now;

use super::RequestRun;
use super::attempt::{SendTarget, Step};
use super::wait::WaitOutcome;
use crate::exchange::Exchange;
use crate::prelude::*;
use crate::process_query::{ExpectedProcess, ProcessNeed};

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
    /// attempt. Returns why the events of this attempt must not be passed on, if they must not.
    pub(super) fn bind_version(
        &mut self,
        target: &SendTarget,
        answer: &Exchange,
    ) -> Result<(), &'static str> {
        // The gateway that the stream began through records its origin.
        if target.key.is_none() {
            return Ok(());
        }
        let version = self.version_at(target, answer);
        if self.origin.is_some_and(|bound| bound != version) {
            return Err("its backend server may have started again with other software");
        }
        self.origin = Some(version);
        if !self.is_head_sent {
            self.share_origin(version);
        }
        Ok(())
    }

    /// Records that the stream will have no certain version if it begins at a process that may be another one. Its
    /// caller may come to another gateway as soon as it has the first event, before a record made then is there.
    pub(super) fn record_doubtful_origin(&self, target: &SendTarget, answer: &Exchange) {
        let is_doubtful = answer.process_link(self.core) == ProcessLink::Doubtful;
        if is_doubtful && target.key.is_some() && !self.is_head_sent {
            self.share_origin(VersionId::UNCERTAIN);
        }
    }

    /// Takes back the version of a stream whose backend server turns out to have started again with other software.
    pub(super) fn check_origin(&mut self, target: &SendTarget, answer: &Exchange) {
        let is_bound = self
            .origin
            .is_some_and(|known| known != VersionId::UNCERTAIN);
        let is_proven = answer.process_link(self.core) == ProcessLink::Proven;
        if is_bound && !is_proven && self.is_superseded(target) {
            self.origin = Some(VersionId::UNCERTAIN);
            self.share_origin(VersionId::UNCERTAIN);
        }
    }

    /// Returns the version of the process that writes an answer, as far as it is certain.
    fn version_at(&self, target: &SendTarget, answer: &Exchange) -> VersionId {
        match answer.process_link(self.core) {
            ProcessLink::Proven => target.version,
            ProcessLink::Presumed if !self.is_superseded(target) => target.version,
            ProcessLink::Presumed | ProcessLink::Doubtful => VersionId::UNCERTAIN,
        }
    }

    /// Returns whether a process of another version is registered at the address that the attempt was sent to. The
    /// connections of the process before it ended with that one, so those that are open are its own.
    fn is_superseded(&self, target: &SendTarget) -> bool {
        let Some(key) = target.key else {
            return false;
        };
        let fleet = self.core.fleet.borrow();
        fleet.get(key).is_none() && fleet.is_superseded(&target.id, target.address, target.version)
    }

    /// Returns the process that is asked who it is before the request is sent to it: one that goes on with a stream, or
    /// that begins one which may have to go on.
    pub(super) fn asked_process<'t>(&self, target: &'t SendTarget) -> Option<ExpectedProcess<'t>> {
        let key = target.key?;
        let goes_on = self.origin.is_some();
        let may_go_on = self.job.routed.route.repeat == RepeatKind::ResumableStream;
        let need = match (goes_on, may_go_on) {
            (true, _) => ProcessNeed::Required,
            (false, true) => ProcessNeed::Wanted,
            (false, false) => return None,
        };
        Some(ExpectedProcess {
            key,
            id: &target.id,
            address: target.address,
            started_ms: target.started_ms,
            need,
        })
    }

    /// Records the origin of the stream for the caller's next attempt.
    fn share_origin(&self, version: VersionId) {
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
