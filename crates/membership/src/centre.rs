//! The visibility of other data centres and the summaries that they report.
//!
//! Two times decide whether a data centre is visible: when a member of the local data centre last
//! received a datagram from it directly, and when a local relay last found it cut off. Members
//! exchange both as ages and keep the later of each, so that they agree whatever the order of
//! messages.

use std::collections::BTreeMap;

use oleander_base::prelude::*;

use crate::wire::{CentreStatus, age_of, time_of};

/// The summary of a data centre as reported by its own members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CentreSummary {
    pub(crate) at: MonoTime,
    pub(crate) oldest_revision: Option<Revision>,
}

/// The state of a data centre other than the local one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CentreRecord {
    pub(crate) last_contact: Option<MonoTime>,
    pub(crate) cut_at: Option<MonoTime>,
    /// The time since which it has been visible or cut off.
    pub(crate) since: MonoTime,
    /// The number of consecutive probes of this instance that failed.
    pub(crate) failures: u32,
    /// The time from which this instance may probe it again.
    pub(crate) probe_at: MonoTime,
    pub(crate) summary: Option<CentreSummary>,
}

impl CentreRecord {
    fn new(now: MonoTime) -> Self {
        Self {
            last_contact: None,
            cut_at: None,
            since: now,
            failures: 0,
            probe_at: now,
            summary: None,
        }
    }

    pub(crate) fn is_visible(&self) -> bool {
        self.last_contact >= self.cut_at && self.last_contact.is_some()
    }
}

/// The table of all data centres other than the local one.
#[derive(Debug, Default)]
pub(crate) struct CentreTable {
    records: BTreeMap<CentreId, CentreRecord>,
}

impl CentreTable {
    pub(crate) fn get(&self, centre: CentreId) -> Option<&CentreRecord> {
        self.records.get(&centre)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (CentreId, &CentreRecord)> {
        self.records.iter().map(|(id, record)| (*id, record))
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Adds a data centre unless it is known, and returns whether it is new.
    pub(crate) fn add(&mut self, centre: CentreId, now: MonoTime) -> bool {
        let count = self.records.len();
        self.records
            .entry(centre)
            .or_insert_with(|| CentreRecord::new(now));
        self.records.len() > count
    }

    /// Records a datagram from a data centre and returns whether the view changed.
    pub(crate) fn record_contact(&mut self, centre: CentreId, now: MonoTime) -> bool {
        self.update(centre, now, |record| {
            record.last_contact = Some(now);
            record.failures = 0;
            record.probe_at = now;
        })
    }

    /// Records a failed probe of this instance and returns whether the view changed.
    ///
    /// After `threshold` consecutive failures the data centre counts as cut off, unless a local
    /// member has received a datagram from it since `recent_since`.
    pub(crate) fn record_failure(
        &mut self,
        centre: CentreId,
        now: MonoTime,
        threshold: u32,
        recent_since: MonoTime,
        backoff: Span,
    ) -> bool {
        self.update(centre, now, |record| {
            record.failures = record.failures.saturating_add(1);
            if record.failures >= threshold {
                record.probe_at = now + backoff;
            }
            let no_recent_contact = record.last_contact.is_none_or(|at| at < recent_since);
            if record.failures >= threshold && no_recent_contact {
                record.cut_at = Some(now);
            }
        })
    }

    /// Merges a received status and returns whether the view changed.
    ///
    /// Contact and cut-off times are merged only if `from_local` is set, which means that the sender
    /// is in the local data centre.
    pub(crate) fn merge_status(
        &mut self,
        status: &CentreStatus,
        from_local: bool,
        now: MonoTime,
    ) -> bool {
        let summary = CentreSummary {
            at: time_of(status.age, now),
            oldest_revision: status.oldest_revision,
        };
        let contact = status.contact_age.map(|age| time_of(age, now));
        let cut = status.cut_age.map(|age| time_of(age, now));
        self.update(status.centre, now, |record| {
            if record.summary.is_none_or(|s| s.at < summary.at) && status.age < u32::MAX {
                record.summary = Some(summary);
            }
            if from_local {
                record.last_contact = record.last_contact.max(contact);
                record.cut_at = record.cut_at.max(cut);
            }
        })
    }

    fn update(
        &mut self,
        centre: CentreId,
        now: MonoTime,
        change: impl FnOnce(&mut CentreRecord),
    ) -> bool {
        let new = self.add(centre, now);
        let record = self
            .records
            .get_mut(&centre)
            .expect("the record was just added");
        let before = *record;
        change(record);
        let visibility_changed = record.is_visible() != before.is_visible();
        if visibility_changed {
            record.since = now;
        }
        let revision = |r: &CentreRecord| r.summary.map(|s| s.oldest_revision);
        new || visibility_changed || revision(record) != revision(&before)
    }

    /// Returns the status of a data centre for a datagram, with the hash of the local roster of it.
    pub(crate) fn status(
        &self,
        centre: CentreId,
        hash: u32,
        now: MonoTime,
    ) -> Option<CentreStatus> {
        let record = self.records.get(&centre)?;
        let summary = record.summary;
        Some(CentreStatus {
            centre,
            age: summary.map_or(u32::MAX, |s| age_of(s.at, now)),
            oldest_revision: summary.and_then(|s| s.oldest_revision),
            hash,
            contact_age: record.last_contact.map(|at| age_of(at, now)),
            cut_age: record.cut_at.map(|at| age_of(at, now)),
        })
    }
}
