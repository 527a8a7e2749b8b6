//! Counts the runs of a request at backend servers, for the usage reports.
//!
//! A run is counted once, when it began: a stream with its first event, any other run when its answer
//! shows that it ran, at the time at which it most likely began. A request that is relayed is counted by
//! the other gateway.

use oleander_base::monotonic_now;
use oleander_platform::boot_time;

use super::RequestRun;
use super::attempt::SendTarget;
use crate::prelude::*;

impl RequestRun<'_> {
    /// Counts an attempt whose stream has just brought its first event.
    pub(super) fn count_stream(&self, target: &SendTarget) {
        self.count_run(target, MonoTime(u64::MAX));
    }

    /// Counts an attempt that is not a stream and has run, as its answer shows.
    pub(super) fn count_call(&self, target: &SendTarget, sent_at: MonoTime) {
        if !self.is_stream() {
            self.count_run(target, sent_at + target.queue_wait);
        }
    }

    /// Counts an attempt that is not a stream, was sent and has no answer, unless the expected wait in the queue of the
    /// backend server is not over: it has then most likely not begun.
    pub(super) fn count_unanswered(&self, target: &SendTarget, sent_at: MonoTime) {
        if monotonic_now().since(sent_at) >= target.queue_wait {
            self.count_call(target, sent_at);
        }
    }

    fn is_stream(&self) -> bool {
        self.job.routed.route.repeat.is_stream()
    }

    /// Counts a run that began at `begun` by the clock of requests, or now if that is later.
    fn count_run(&self, target: &SendTarget, begun: MonoTime) {
        let (Some(_), Some(customer)) = (target.key, &self.job.routed.customer) else {
            return;
        };
        let settings = self.core.settings();
        let provider = settings.provider.as_ref();
        if provider.is_none_or(|provider| !provider.reports_usage) {
            return;
        }
        let age = monotonic_now().since(begun);
        let at = MonoTime(boot_time().0.saturating_sub(age.0));
        self.core.duties.usage.record(at, customer);
    }
}
