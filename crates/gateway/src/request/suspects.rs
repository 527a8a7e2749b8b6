//! Keeps a request from being sent that has crashed backend servers, or has a part that did.

use std::future::pending;

use oleander_balance::{CLAIM_WAIT, Quarantine, SuspectId, SuspectVerdict};
use serde::Serialize;

use super::RequestRun;
use super::wait::WaitOutcome;
use crate::log_line::LineKind;
use crate::quarantine::SuspectName;

#[derive(Debug, Serialize)]
struct QuarantinedFields<'a> {
    id: &'a str,
    #[serde(flatten)]
    suspect: SuspectName,
    crashes: usize,
    return_after_ms: f64,
}

impl RequestRun<'_> {
    /// Refuses a request that has crashed backend servers, or has a part that did.
    ///
    /// A request that can tell whether its suspects are at fault is sent, unless another gateway sends such a
    /// one at the same time.
    pub(super) async fn check_suspects(&mut self) -> Result<(), &'static str> {
        if self.is_probe && self.runs == 0 {
            return Ok(());
        }
        let quarantine = &self.core.quarantine;
        let mut verdict = quarantine.check(self.core, &self.suspects);
        if let SuspectVerdict::Probe(ids) = &verdict {
            quarantine.claim(self.core, ids);
            if let WaitOutcome::CallerLeft = self.wait_or_stop(CLAIM_WAIT, pending::<()>()).await {
                return Err("the caller left");
            }
            if quarantine.takes_probe(self.core, ids) {
                self.is_probe = true;
                return Ok(());
            }
            verdict = quarantine.check(self.core, &self.suspects);
        }
        match verdict {
            SuspectVerdict::Sound => Ok(()),
            SuspectVerdict::Probe(_) => Err("another gateway probes a part of the prompt"),
            SuspectVerdict::Blocked(quarantine) => Err(self.refuse_suspect(&quarantine)),
        }
    }

    /// Refuses a request like [`Self::check_suspects`]; the gateway that it is relayed to claims the probe.
    pub(super) fn check_relayed_suspects(&mut self) -> Result<(), &'static str> {
        match self.core.quarantine.check(self.core, &self.suspects) {
            SuspectVerdict::Sound | SuspectVerdict::Probe(_) => Ok(()),
            SuspectVerdict::Blocked(quarantine) => Err(self.refuse_suspect(&quarantine)),
        }
    }

    fn refuse_suspect(&mut self, quarantine: &Quarantine) -> &'static str {
        self.record_quarantined(quarantine);
        self.admission_delay = Some(quarantine.time_left);
        match quarantine.suspect {
            SuspectId::Part { .. } => "a part of the prompt has crashed backend servers",
            SuspectId::Request(_) => "the request has crashed backend servers",
        }
    }

    /// Logs which suspect keeps the request from being sent.
    fn record_quarantined(&self, quarantine: &Quarantine) {
        self.core.metrics.record_quarantine("request-refused");
        let fields = QuarantinedFields {
            id: self.attempt_id,
            suspect: SuspectName::of(quarantine.suspect),
            crashes: quarantine.crashes,
            return_after_ms: quarantine.time_left.as_millis_f64().round(),
        };
        self.core
            .log
            .request("quarantined", LineKind::Failure, self.attempt_id, fields);
    }
}
