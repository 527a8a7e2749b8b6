//! Data centres: whether they can be seen, and the summaries that their members make.
//!
//! Two times decide whether a data centre can be seen: when a member of ours last heard from it
//! directly, and when a relay of ours found it cut off. Members exchange both as ages and keep the
//! later of each, so all come to the same answer in any order of messages.

use std::collections::BTreeMap;

use oleander_base::prelude::*;

use crate::wire::{CentreStatus, age_of, time_of};

/// What a data centre's own members say of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CentreSummary {
    pub(crate) at: MonoTime,
    pub(crate) oldest_revision: Option<Revision>,
}

/// One data centre other than ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CentreRecord {
    pub(crate) last_contact: Option<MonoTime>,
    pub(crate) cut_at: Option<MonoTime>,
    /// Since when it has been visible, or cut off.
    pub(crate) since: MonoTime,
    /// Probes of this instance that failed in a row.
    pub(crate) failures: u32,
    /// When this instance may probe it next.
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

/// All data centres other than ours.
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

    /// Makes sure that a data centre is known; returns whether it is new.
    pub(crate) fn add(&mut self, centre: CentreId, now: MonoTime) -> bool {
        let count = self.records.len();
        self.records
            .entry(centre)
            .or_insert_with(|| CentreRecord::new(now));
        self.records.len() > count
    }

    /// Notes that this instance heard from a data centre; returns whether the view changed.
    pub(crate) fn record_contact(&mut self, centre: CentreId, now: MonoTime) -> bool {
        self.update(centre, now, |record| {
            record.last_contact = Some(now);
            record.failures = 0;
            record.probe_at = now;
        })
    }

    /// Notes a failed probe of this instance; returns whether the view changed.
    ///
    /// After `threshold` failures the data centre counts as cut off, unless one of ours heard from it
    /// after `recent_since`.
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

    /// Takes a note in; `from_local` tells whether it comes from a member of our data centre.
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
        let record = self.records.get_mut(&centre).expect("it was just added");
        let before = *record;
        change(record);
        let visibility_changed = record.is_visible() != before.is_visible();
        if visibility_changed {
            record.since = now;
        }
        let revision = |r: &CentreRecord| r.summary.map(|s| s.oldest_revision);
        new || visibility_changed || revision(record) != revision(&before)
    }

    /// Returns the note on one data centre for a datagram, with the hash of our roster of it.
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
