//! The fact about the record of software versions.

use bytes::Bytes;
use oleander_balance::VersionRecord;

use super::{ApplyContext, KnownFact, PlatformView, RemovalMode, ViewChange};
use crate::port::{StoreItem, StoreSubject};
use crate::prelude::*;

/// The record of software versions, as the store holds it.
#[derive(Debug, Default)]
pub(super) struct VersionFact {
    version: StoreVersion,
    /// The value; absent if there is no record.
    value: Option<Bytes>,
    /// The record; empty if there is none, or none that could be decoded.
    record: VersionRecord,
    /// Whether there is a record that could not be decoded.
    is_spoiled: bool,
}

impl PlatformView {
    pub(super) fn apply_versions(&mut self, fact: KnownFact, context: &mut ApplyContext<'_>) {
        let version = fact.version();
        if self.version_fact.version >= version {
            return;
        }
        let value = fact.item.value;
        let decoded = value
            .as_deref()
            .map_or(Ok(VersionRecord::default()), |value| {
                context.port.decode_versions(value)
            });
        let is_spoiled = decoded.is_err();
        let (record, change) = match decoded {
            Ok(record) => {
                let versions = record.iter().count();
                (record, ViewChange::VersionsRecorded { versions })
            }
            Err(error) => {
                let reason = error.to_string();
                let change = ViewChange::VersionsIgnored { reason };
                (VersionRecord::default(), change)
            }
        };
        context.update.changes.push(change);
        self.changed_at = self.changed_at.max(version);
        self.version_fact = VersionFact {
            version,
            value,
            record,
            is_spoiled,
        };
    }

    /// Removes the record if it is missing from a complete listing.
    pub(super) fn remove_unlisted_versions(&mut self, is_listed: bool, at: StoreVersion) {
        if is_listed || self.version_fact.version > at {
            return;
        }
        self.version_fact = VersionFact {
            version: at,
            ..VersionFact::default()
        };
    }

    /// Returns the record of software versions.
    pub(crate) fn version_record(&self) -> &VersionRecord {
        &self.version_fact.record
    }

    /// Returns whether there is a record that could not be decoded.
    pub(crate) fn is_version_record_spoiled(&self) -> bool {
        self.version_fact.is_spoiled
    }

    /// Returns the version at which the record was last changed or found missing.
    pub(crate) fn version_record_at(&self) -> StoreVersion {
        self.version_fact.version
    }

    /// Returns the revision that a write of the record has to find; revision 0 means that there is none.
    pub(crate) fn version_record_revision(&self) -> Revision {
        match self.version_fact.value {
            Some(_) => self.version_fact.version.revision,
            None => Revision(0),
        }
    }

    /// Returns the fact about the record, if it is newer than a version of the store.
    pub(super) fn versions_fact(&self, after: StoreVersion) -> Option<KnownFact> {
        let fact = &self.version_fact;
        (fact.version > after).then(|| KnownFact {
            item: StoreItem {
                subject: StoreSubject::Versions,
                revision: fact.version.revision,
                value: fact.value.clone(),
            },
            era: fact.version.era,
            mode: RemovalMode::Gone,
            packed: None,
        })
    }
}
