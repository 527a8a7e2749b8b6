//! The news of suspects that a gateway has for others.
//!
//! When many backend servers crash at once, each of their requests makes suspects, and each gateway that hears of
//! one passes it on: told one by one, the news of a sixth of 144 backend servers is more than the traffic of
//! their callers. So each gateway sends a bounded number of datagrams, those suspects first that have the
//! most crashes or are cleared of the most, and what changes again meanwhile is told once.

use std::cmp::Reverse;

use oleander_base::FastSet;
use oleander_base::prelude::*;

use crate::crash_suspects::{SuspectRecord, SuspectTable};
use crate::suspect_id::SuspectId;

/// The time between two datagrams in the long run.
const DATAGRAM_INTERVAL: Span = Span::from_millis(100);

/// How far ahead of that a few datagrams may be sent, so that the news of one crash is told at once.
const BURST_TIME: Span = Span::from_millis(300);

/// The suspects that others are to hear of, and when that may be.
#[derive(Debug, Default)]
pub struct SuspectNews {
    ids: FastSet<SuspectId>,
    /// The time up to which the datagrams sent so far use up the long run's rate.
    used_until: MonoTime,
}

impl SuspectNews {
    /// Adds suspects that have changed.
    pub fn add(&mut self, ids: &[SuspectId]) {
        self.ids.extend(ids);
    }

    /// Returns how long it is until the next datagram may be sent; `None` if there is nothing to tell.
    pub fn time_left(&self, now: MonoTime) -> Option<Span> {
        let has_news = !self.ids.is_empty();
        has_news.then(|| self.used_until.since(now + BURST_TIME))
    }

    /// Takes the most important records that fit into a datagram of this many bytes.
    pub fn take(&mut self, table: &SuspectTable, room: usize, now: MonoTime) -> Vec<SuspectRecord> {
        let known = self.ids.iter().filter_map(|id| table.record(*id, now));
        let mut records: Vec<SuspectRecord> = known.collect();
        records.sort_unstable_by_key(|record| Reverse(importance(record)));
        let mut left = room;
        let taken = records.iter().enumerate().take_while(|(index, record)| {
            let bytes = record.max_bytes();
            // One that is larger than a datagram may be goes alone.
            let fits = *index == 0 || bytes <= left;
            left = left.saturating_sub(bytes);
            fits
        });
        let taken = taken.count();
        self.ids = records[taken..].iter().map(|record| record.id).collect();
        records.truncate(taken);
        if !records.is_empty() {
            self.used_until = self.used_until.max(now) + DATAGRAM_INTERVAL;
        }
        records
    }
}

fn importance(record: &SuspectRecord) -> (bool, usize) {
    (record.is_quarantined, record.weight())
}
