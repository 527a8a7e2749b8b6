//! The invariant check of the writer and its text form.

use std::fmt::Write as _;

use super::{ShardWriter, ViewPhase};

impl ShardWriter {
    /// Checks the writer's invariants.
    pub fn verify(&self) -> Result<(), String> {
        let is_complete = self.phase == ViewPhase::Complete;
        if let Some(seq) = self.missing_archive().filter(|_| is_complete) {
            return Err(format!("complete without archive {seq}"));
        }
        if let Some(entry) = self
            .tail
            .entries()
            .find(|e| !self.index.contains_key(&e.key))
        {
            return Err(format!("{} is in the tail and not in the index", entry.key));
        }
        let low = self.archives.keys().find(|seq| **seq < self.tail.floor);
        if let Some(seq) = low {
            return Err(format!("archive {seq} counts below the floor"));
        }
        let known = |seq: &u64| *seq == self.tail.seq || self.archives.contains_key(seq);
        let mut holders = self.index.values();
        match holders.find(|holder| is_complete && !known(&holder.seq)) {
            Some(holder) => Err(format!("a claim of unknown segment {}", holder.seq)),
            None => Ok(()),
        }
    }

    /// Returns the writer's state as text for diagnostics.
    pub fn dump(&self) -> String {
        let mut text = String::new();
        let _ = write!(
            text,
            "{:?}, segment {} (floor {}, {} claims, sealed {}), archives {}, claims {}, garbage {}",
            self.phase,
            self.tail.seq,
            self.tail.floor,
            self.tail.len(),
            self.tail.is_sealed,
            self.archives.len(),
            self.index.len(),
            self.garbage.len()
        );
        text
    }
}
