//! The consistency check and the text dump of the replica.

use std::fmt;

use crate::replica::RecordReplica;
use crate::replica_entry::{RecordSums, ReplicaEntry};

impl RecordReplica {
    /// Returns every violated invariant of the replica's state; the list is empty if there is none.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.pruned_to > self.synced {
            problems.push(format!(
                "tombstones up to {} are gone, but the board is informed only up to {}",
                self.pruned_to, self.synced
            ));
        }
        for (key, entry) in &self.entries {
            problems.extend(verify_entry(entry).map(|problem| format!("{key}: {problem}")));
        }
        let tombstones = self.entries.values().filter(|entry| entry.text.is_none());
        if self.entries.len() - tombstones.count() != self.len() {
            problems.push("the count of tombstones is wrong".to_owned());
        }
        let mut sums = RecordSums::default();
        for (key, entry) in &self.entries {
            sums.add(key, entry);
        }
        if sums != self.sums {
            problems.push("the sums are not those of the records".to_owned());
        }
        problems
    }

    /// Returns the state as human-readable text.
    pub fn dump(&self) -> String {
        self.to_string()
    }
}

fn verify_entry(entry: &ReplicaEntry) -> Option<&'static str> {
    let last_valid = entry.last_valid.as_ref();
    match (&entry.text, &entry.fault) {
        (None, Some(_)) => Some("a tombstone has a fault"),
        (None, None) if last_valid.is_some() => Some("a tombstone has a document"),
        (Some(_), None) if last_valid.is_none() => Some("there is no document and no fault"),
        (Some(_), None)
            if last_valid.is_some_and(|last_valid| last_valid.revision != entry.revision) =>
        {
            Some("the document in force is not the newest one")
        }
        (Some(_), Some(_))
            if last_valid.is_some_and(|last_valid| last_valid.revision >= entry.revision) =>
        {
            Some("the document in force is as new as the bad one")
        }
        _ => None,
    }
}

impl fmt::Display for RecordReplica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "records: informed {}, {} in force",
            self.synced,
            self.len()
        )?;
        for (key, entry) in &self.entries {
            write!(f, "  {key} at {}", entry.revision)?;
            match (&entry.text, &entry.fault, &entry.last_valid) {
                (None, ..) => writeln!(f, ": deleted")?,
                (Some(_), None, Some(valid)) => writeln!(f, ": schema {}", valid.version)?,
                (Some(_), Some(fault), Some(valid)) => {
                    writeln!(f, ": bad ({fault}), {} in force", valid.revision)?;
                }
                (Some(_), Some(fault), None) => writeln!(f, ": bad ({fault}), none in force")?,
                (Some(_), None, None) => writeln!(f, ": no document")?,
            }
        }
        Ok(())
    }
}
