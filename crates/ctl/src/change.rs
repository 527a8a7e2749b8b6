//! Making a change of a record, at one place after the other, and settling unknown outcomes.
//!
//! A change states the revision that it expects, so that sending it again is safe: of all copies
//! at most one takes effect. A place that says that the change did not take effect is followed by
//! the next one. After an unknown outcome the same change is sent again; if the record has moved
//! on, its content tells whether it is ours.

use std::time::Duration;

use oleander_operator::{ChangeDone, ChangeRefusal, RecordChange, RecordLine};
use serde_json::{Map, Value};

use crate::failure::CommandFailure;
use crate::output::Output;
use crate::place::RecordPlace;
use crate::record::find;

/// How often an unknown outcome is looked into.
const SETTLE_LIMIT: u32 = 5;
/// How long to wait before each look.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// A change that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MadeChange {
    key: String,
    is_deletion: bool,
    place: String,
    done: ChangeDone,
}

impl MadeChange {
    /// Returns the revision of the change.
    pub(crate) fn revision(&self) -> u64 {
        self.done.revision
    }

    /// Prints what took effect.
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
                let Self { key, place, .. } = self;
                println!(
                    "{key} {verb} at revision {} through {place}",
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

/// Makes a change at the first place that can make it.
pub(crate) fn make_change(
    places: &[Box<dyn RecordPlace>],
    change: &RecordChange,
) -> Result<MadeChange, CommandFailure> {
    let made = |place: &dyn RecordPlace, done| MadeChange {
        key: format!("{}/{}", change.kind, change.name),
        is_deletion: change.document.is_none(),
        place: place.name(),
        done,
    };
    let mut last = None;
    for place in places {
        match place.change(change) {
            Ok(done) => return Ok(made(place.as_ref(), done)),
            Err(ChangeRefusal::Unavailable { reason }) => {
                eprintln!("oleanderctl: {} cannot: {reason}", place.name());
                last = Some(ChangeRefusal::Unavailable { reason });
            }
            Err(ChangeRefusal::Unknown { reason }) => {
                eprintln!("oleanderctl: outcome unknown at {}: {reason}", place.name());
                eprintln!("oleanderctl: reading the record to settle it");
                let (place, done) = settle(places, change, reason)?;
                return Ok(made(place, done));
            }
            Err(refusal) => return Err(refusal.into()),
        }
    }
    Err(last.map_or_else(
        || CommandFailure::Unreachable("there is no place to try".to_owned()),
        CommandFailure::Change,
    ))
}

/// Sends the change again, everywhere in turn, until its outcome is known.
fn settle<'a>(
    places: &'a [Box<dyn RecordPlace>],
    change: &RecordChange,
    mut reason: String,
) -> Result<(&'a dyn RecordPlace, ChangeDone), CommandFailure> {
    for _ in 0..SETTLE_LIMIT {
        std::thread::sleep(SETTLE_PAUSE);
        for place in places {
            match place.change(change) {
                Ok(done) => return Ok((place.as_ref(), settled(done.revision))),
                Err(ChangeRefusal::Conflict { current }) => {
                    let Ok(lines) = place.records() else { continue };
                    let line = find(&lines, &change.kind, &change.name);
                    // The records of this place may lag behind the store.
                    if line.map(|line| line.revision) < current {
                        continue;
                    }
                    if let Some(revision) = own_revision(change, line) {
                        return Ok((place.as_ref(), settled(revision)));
                    }
                    return Err(ChangeRefusal::Conflict { current }.into());
                }
                Err(ChangeRefusal::Unavailable { reason: seen })
                | Err(ChangeRefusal::Unknown { reason: seen }) => reason = seen,
                Err(refusal) => return Err(refusal.into()),
            }
        }
    }
    Err(ChangeRefusal::Unknown { reason }.into())
}

fn settled(revision: u64) -> ChangeDone {
    ChangeDone {
        revision,
        was_unknown: true,
    }
}

/// Returns the revision of the record if it is as the change wants it.
fn own_revision(change: &RecordChange, line: Option<&RecordLine>) -> Option<u64> {
    match (&change.document, line) {
        (None, None) => change.expected,
        (Some(wanted), Some(line)) => {
            let kind = change.kind.parse().ok()?;
            let wanted = oleander_records::parse_document(kind, wanted.as_bytes()).ok()?;
            let found = oleander_records::parse_document(kind, line.document.as_bytes()).ok()?;
            (plain(wanted.fields()) == plain(found.fields())).then_some(line.revision)
        }
        _ => None,
    }
}

/// Leaves out the writer's mark.
fn plain(fields: &Map<String, Value>) -> Map<String, Value> {
    let mut fields = fields.clone();
    fields.remove("write_id");
    fields
}
