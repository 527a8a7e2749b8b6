//! The invariant check of the claim table and its text form.

use std::fmt::Write as _;

use super::{ClaimRecords, MAX_UNRESOLVED_CLAIMS, RecordState};

impl ClaimRecords {
    /// Checks the table's invariants.
    pub fn verify(&self) -> Result<(), String> {
        self.cache.verify()?;
        for (key, record) in &self.records {
            let has_result = self.cache.get(key).is_some();
            let is_ended = matches!(record.state, RecordState::Ended { .. });
            if has_result && !is_ended {
                return Err(format!(
                    "{key}: a result is kept and the claim has not ended"
                ));
            }
            if record.unresolved.len() > MAX_UNRESOLVED_CLAIMS {
                return Err(format!("{key}: too many unsettled claims"));
            }
        }
        if self.records.len() > self.limits.records {
            return Err("more records than the limit".to_owned());
        }
        Ok(())
    }

    /// Returns the table's state as text for diagnostics.
    pub fn dump(&self) -> String {
        let mut counts = [0_usize; 5];
        for record in self.records.values() {
            let slot = match record.state {
                RecordState::Claiming(_) => 0,
                RecordState::Unresolved => 1,
                RecordState::Open(_) => 2,
                RecordState::Running { .. } => 3,
                RecordState::Ended { .. } => 4,
            };
            counts[slot] += 1;
        }
        let [claiming, unsettled, open, running, ended] = counts;
        let mut text = String::new();
        let _ = writeln!(
            text,
            "claims of {}: claiming {claiming}, unsettled {unsettled}, open {open}, \
             running {running}, ended {ended}, kept {} bytes",
            self.me,
            self.cache.used()
        );
        text
    }
}
