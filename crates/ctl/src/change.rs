//! Application of record changes at one endpoint after the other, and resolution of unknown
//! outcomes.
//!
//! A change states the revision that it expects, so that sending it again is safe: at most one of
//! its copies takes effect. If an endpoint states that the change did not take effect because it
//! is unavailable, the next endpoint is tried. After an unknown outcome the same change is sent
//! again; if the record has a newer revision by then, its content shows whether the change took
//! effect.

use std::time::Duration;

use oleander_operator::{ChangeDone, ChangeRefusal, RecordChange, RecordLine};
use serde_json::{Map, Value};

use crate::endpoint::RecordEndpoint;
use crate::failure::CommandFailure;
use crate::output::Output;
use crate::record::find_record;

/// The number of times that a change with an unknown outcome is sent again to all endpoints.
const MAX_RESOLVE_ATTEMPTS: u32 = 5;
/// The pause before each of these attempts.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(500);

/// A change that took effect, with the endpoint that applied it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AppliedChange {
    key: String,
    is_deletion: bool,
    endpoint: String,
    done: ChangeDone,
}

impl AppliedChange {
    /// Returns the revision of the change.
    pub(crate) fn revision(&self) -> u64 {
        self.done.revision
    }

    /// Prints the change in the given format.
    pub(crate) fn print(&self, output: Output) -> Result<(), CommandFailure> {
        match output {
            Output::Json => {
                let line = serde_json::json!({
                    "record": self.key, "revision": self.done.revision,
                    "deleted": self.is_deletion, "settled": self.done.was_unknown,
                });
                println!("{line}");
            }
            Output::Table => {
                let verb = if self.is_deletion {
                    "deleted"
                } else {
                    "written"
                };
                let Self { key, endpoint, .. } = self;
                println!(
                    "{key} {verb} at revision {} through {endpoint}",
                    self.done.revision
                );
                if self.done.was_unknown {
                    println!("its outcome was unknown at first; reading the record settled it");
                }
            }
        }
        Ok(())
    }
}

/// Applies a change at the first endpoint that is available.
pub(crate) fn apply_change(
    endpoints: &[Box<dyn RecordEndpoint>],
    change: &RecordChange,
) -> Result<AppliedChange, CommandFailure> {
    let applied = |endpoint: &dyn RecordEndpoint, done| AppliedChange {
        key: format!("{}/{}", change.kind, change.name),
        is_deletion: change.document.is_none(),
        endpoint: endpoint.name(),
        done,
    };
    let mut last_refusal = None;
    for endpoint in endpoints {
        match endpoint.change(change) {
            Ok(done) => return Ok(applied(endpoint.as_ref(), done)),
            Err(ChangeRefusal::Unavailable { reason }) => {
                eprintln!("oleanderctl: {} cannot: {reason}", endpoint.name());
                last_refusal = Some(ChangeRefusal::Unavailable { reason });
            }
            Err(ChangeRefusal::Unknown { reason }) => {
                eprintln!(
                    "oleanderctl: outcome unknown at {}: {reason}",
                    endpoint.name()
                );
                eprintln!("oleanderctl: reading the record to settle it");
                let (endpoint, done) = resolve_outcome(endpoints, change, reason)?;
                return Ok(applied(endpoint, done));
            }
            Err(refusal) => return Err(refusal.into()),
        }
    }
    Err(last_refusal.map_or_else(
        || CommandFailure::Unreachable("there is no place to try".to_owned()),
        CommandFailure::Change,
    ))
}

/// Sends the change again to all endpoints in turn until its outcome is known.
fn resolve_outcome<'a>(
    endpoints: &'a [Box<dyn RecordEndpoint>],
    change: &RecordChange,
    mut reason: String,
) -> Result<(&'a dyn RecordEndpoint, ChangeDone), CommandFailure> {
    for _ in 0..MAX_RESOLVE_ATTEMPTS {
        std::thread::sleep(RESOLVE_INTERVAL);
        for endpoint in endpoints {
            match endpoint.change(change) {
                Ok(done) => return Ok((endpoint.as_ref(), resolved(done.revision))),
                Err(ChangeRefusal::Conflict { current }) => {
                    let Ok(lines) = endpoint.records() else {
                        continue;
                    };
                    let line = find_record(&lines, &change.kind, &change.name);
                    // The records at this endpoint may lag behind the key-value store.
                    if line.map(|line| line.revision) < current {
                        continue;
                    }
                    if let Some(revision) = applied_revision(change, line) {
                        return Ok((endpoint.as_ref(), resolved(revision)));
                    }
                    return Err(ChangeRefusal::Conflict { current }.into());
                }
                Err(ChangeRefusal::Unavailable { reason: latest })
                | Err(ChangeRefusal::Unknown { reason: latest }) => reason = latest,
                Err(refusal) => return Err(refusal.into()),
            }
        }
    }
    Err(ChangeRefusal::Unknown { reason }.into())
}

fn resolved(revision: u64) -> ChangeDone {
    ChangeDone {
        revision,
        was_unknown: true,
    }
}

/// Returns the record's revision if its content is that of the change, or, for a deletion, the
/// expected revision if the record is absent. Returns none otherwise.
fn applied_revision(change: &RecordChange, line: Option<&RecordLine>) -> Option<u64> {
    match (&change.document, line) {
        (None, None) => change.expected,
        (Some(requested), Some(line)) => {
            let kind = change.kind.parse().ok()?;
            let requested = oleander_records::parse_document(kind, requested.as_bytes()).ok()?;
            let found = oleander_records::parse_document(kind, line.document.as_bytes()).ok()?;
            (without_write_id(requested.fields()) == without_write_id(found.fields()))
                .then_some(line.revision)
        }
        _ => None,
    }
}

/// Returns the fields without the id of the write, which differs between writes of equal content.
fn without_write_id(fields: &Map<String, Value>) -> Map<String, Value> {
    let mut fields = fields.clone();
    fields.remove("write_id");
    fields
}
