//! The data of the platform's stand-in: keys, leases and the history of changes.
//!
//! Every change of a key gets the next revision. A granted lease also takes one as its fencing
//! number, so that this number is larger than every earlier one. Changes up to and including
//! `compacted_revision` are no longer in the history.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use oleander_base::prelude::*;
use oleander_platform::wire::{
    DeleteBody, GrantAnswer, ListAnswer, PutBody, WatchAnswer, WireEntry, WireError, WireEvent,
    WireExpected, WireValue, WriteAnswer,
};

#[derive(Debug)]
struct StoredValue {
    value: Bytes,
    revision: Revision,
    lease: Option<u64>,
}

#[derive(Debug)]
struct LeaseState {
    time_to_live: Span,
    expires: MonoTime,
}

#[derive(Debug)]
struct ChangeEntry {
    key: String,
    value: Option<Bytes>,
    revision: Revision,
}

/// The stored keys, the leases and the history of changes.
#[derive(Debug)]
pub(crate) struct StoreState {
    revision: Revision,
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, LeaseState>,
    history: VecDeque<ChangeEntry>,
    compacted_revision: Revision,
    history_limit: usize,
    value_limit: usize,
    page_entries: usize,
}

impl StoreState {
    pub(crate) fn new(history_limit: usize, value_limit: usize, page_entries: usize) -> Self {
        Self {
            revision: Revision::default(),
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            history: VecDeque::new(),
            compacted_revision: Revision::default(),
            history_limit,
            value_limit,
            page_entries: page_entries.max(1),
        }
    }

    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn get(&self, key: &str) -> Option<WireEntry> {
        self.keys.get(key).map(|stored| wire_entry(key, stored))
    }

    pub(crate) fn list(&self, prefix: &str, after: Option<&str>) -> ListAnswer {
        let start = after.unwrap_or(prefix).to_owned();
        let mut matching = self
            .keys
            .range(start..)
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
            .take_while(|(key, _)| key.starts_with(prefix));
        let entries = matching
            .by_ref()
            .take(self.page_entries)
            .map(|(key, stored)| wire_entry(key, stored))
            .collect();
        ListAnswer {
            entries,
            revision: self.revision,
            more: matching.next().is_some(),
        }
    }

    pub(crate) fn put(&mut self, body: PutBody) -> Result<WriteAnswer, WireError> {
        let value = body.value.0;
        if value.len() > self.value_limit {
            return Err(WireError::TooLarge {
                size: value.len(),
                limit: self.value_limit,
            });
        }
        self.check_expected(&body.key, body.expected)?;
        if let Some(lease) = body.lease
            && !self.leases.contains_key(&lease)
        {
            return Err(WireError::LeaseLapsed);
        }
        let revision = self.record_change(&body.key, Some(value.clone()));
        let stored = StoredValue {
            value,
            revision,
            lease: body.lease,
        };
        self.keys.insert(body.key, stored);
        Ok(WriteAnswer { revision })
    }

    pub(crate) fn delete(&mut self, body: &DeleteBody) -> Result<WriteAnswer, WireError> {
        self.check_expected(&body.key, body.expected)?;
        let revision = match self.keys.remove(&body.key) {
            Some(_) => self.record_change(&body.key, None),
            None => self.revision,
        };
        Ok(WriteAnswer { revision })
    }

    /// Returns the changes of keys with the prefix after the revision `after`, or `None` if there
    /// are none.
    pub(crate) fn changes(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<Option<WatchAnswer>, WireError> {
        if after < self.compacted_revision {
            return Err(WireError::Compacted {
                oldest: self.compacted_revision,
            });
        }
        let events: Vec<_> = self
            .history
            .iter()
            .rev()
            .take_while(|change| change.revision > after)
            .filter(|change| change.key.starts_with(prefix))
            .map(wire_event)
            .collect();
        if events.is_empty() {
            return Ok(None);
        }
        Ok(Some(WatchAnswer {
            events: events.into_iter().rev().collect(),
            revision: self.revision,
        }))
    }

    pub(crate) fn grant(&mut self, now: MonoTime, ttl_ms: u64) -> GrantAnswer {
        self.revision.0 += 1;
        let lease = self.revision.0;
        let time_to_live = Span::from_millis(ttl_ms.max(1));
        let state = LeaseState {
            time_to_live,
            expires: now + time_to_live,
        };
        self.leases.insert(lease, state);
        GrantAnswer {
            lease,
            ttl_ms: ttl_ms.max(1),
            fencing: self.revision,
        }
    }

    pub(crate) fn renew(&mut self, now: MonoTime, lease: u64) -> Result<(), WireError> {
        let state = self.leases.get_mut(&lease).ok_or(WireError::LeaseLapsed)?;
        state.expires = now + state.time_to_live;
        Ok(())
    }

    /// Ends a lease and deletes its keys. An unknown lease is ignored.
    pub(crate) fn revoke(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.keys.remove(&key);
            self.record_change(&key, None);
        }
    }

    /// Revokes expired leases and returns whether there were any.
    pub(crate) fn expire(&mut self, now: MonoTime) -> bool {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, state)| state.expires <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &expired {
            self.revoke(*lease);
        }
        !expired.is_empty()
    }

    pub(crate) fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    pub(crate) fn dump(&self) -> String {
        let mut text = format!(
            "platform stand-in: revision {}, history from {}, {} leases\n",
            self.revision,
            self.compacted_revision,
            self.leases.len()
        );
        for (key, stored) in &self.keys {
            let size = stored.value.len();
            text += &format!("  {key} at {}: {size} bytes", stored.revision);
            if let Some(lease) = stored.lease {
                text += &format!(", lease {lease}");
            }
            text.push('\n');
        }
        text
    }

    fn check_expected(&self, key: &str, expected: WireExpected) -> Result<(), WireError> {
        let current = self.keys.get(key).map(|stored| stored.revision);
        if current == expected.revision {
            return Ok(());
        }
        Err(WireError::Conflict { current })
    }

    fn record_change(&mut self, key: &str, value: Option<Bytes>) -> Revision {
        self.revision.0 += 1;
        self.history.push_back(ChangeEntry {
            key: key.to_owned(),
            value,
            revision: self.revision,
        });
        while self.history.len() > self.history_limit {
            if let Some(evicted) = self.history.pop_front() {
                self.compacted_revision = evicted.revision;
            }
        }
        self.revision
    }
}

fn wire_entry(key: &str, stored: &StoredValue) -> WireEntry {
    WireEntry {
        key: key.to_owned(),
        value: WireValue(stored.value.clone()),
        revision: stored.revision,
    }
}

fn wire_event(change: &ChangeEntry) -> WireEvent {
    WireEvent {
        key: change.key.clone(),
        value: change.value.clone().map(WireValue),
        revision: change.revision,
    }
}
