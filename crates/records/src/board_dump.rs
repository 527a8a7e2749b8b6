//! The board's text form and its verifier.

use std::fmt;

use crate::board::RecordBoard;
use crate::board_entry::BoardEntry;

impl RecordBoard {
    /// Returns what is wrong with the board's own state; an empty list is right.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.floor > self.informed {
            problems.push(format!(
                "tombstones up to {} are gone, but the board is informed only up to {}",
                self.floor, self.informed
            ));
        }
        for (key, entry) in &self.entries {
            problems.extend(verify_entry(entry).map(|problem| format!("{key}: {problem}")));
        }
        let tombstones = self.entries.values().filter(|entry| entry.text.is_none());
        if self.entries.len() - tombstones.count() != self.len() {
            problems.push("the count of tombstones is wrong".to_owned());
        }
        let live = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.text.is_some());
        let hash = live.fold(0_u64, |sum, (key, entry)| sum.wrapping_add(entry.hash(key)));
        if hash != self.hash {
            problems.push("the hash is not that of the records".to_owned());
        }
        problems
    }

    /// Returns the state as readable text.
    pub fn dump(&self) -> String {
        self.to_string()
    }
}

fn verify_entry(entry: &BoardEntry) -> Option<&'static str> {
    let good = entry.good.as_ref();
    match (&entry.text, &entry.fault) {
        (None, Some(_)) => Some("a tombstone has a fault"),
        (None, None) if good.is_some() => Some("a tombstone has a document"),
        (Some(_), None) if good.is_none() => Some("there is no document and no fault"),
        (Some(_), None) if good.is_some_and(|good| good.revision != entry.revision) => {
            Some("the document in force is not the newest one")
        }
        (Some(_), Some(_)) if good.is_some_and(|good| good.revision >= entry.revision) => {
            Some("the document in force is as new as the bad one")
        }
        _ => None,
    }
}

impl fmt::Display for RecordBoard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "records: informed {}, {} in force",
            self.informed,
            self.len()
        )?;
        for (key, entry) in &self.entries {
            write!(f, "  {key} at {}", entry.revision)?;
            match (&entry.text, &entry.fault, &entry.good) {
                (None, ..) => writeln!(f, ": deleted")?,
                (Some(_), None, Some(good)) => writeln!(f, ": schema {}", good.version)?,
                (Some(_), Some(fault), Some(good)) => {
                    writeln!(f, ": bad ({fault}), {} in force", good.revision)?;
                }
                (Some(_), Some(fault), None) => writeln!(f, ": bad ({fault}), none in force")?,
                (Some(_), None, None) => writeln!(f, ": no document")?,
            }
        }
        Ok(())
    }
}
