//! The table of the grants in use.

use oleander_base::prelude::*;

/// A grant in use, with its ticket and the entry VM that owns it.
#[derive(Debug)]
pub(crate) struct GrantEntry {
    pub(crate) ticket: Ticket,
    pub(crate) owner: InstanceId,
    pub(crate) backend: BackendId,
    pub(crate) granted: MonoTime,
    pub(crate) first_token_seen: bool,
    /// When the slot is freed without a release, because the owner is gone.
    pub(crate) orphan_expiry: Option<MonoTime>,
}

/// The grants in use of one pool, by request.
#[derive(Debug, Default)]
pub(crate) struct GrantTable {
    entries: FastMap<RequestId, GrantEntry>,
    orphans: Vec<RequestId>,
}

impl GrantTable {
    /// Returns the grant of a request.
    pub(crate) fn get_mut(&mut self, request: RequestId) -> Option<&mut GrantEntry> {
        self.entries.get_mut(&request)
    }

    /// Returns whether a request has a grant.
    pub(crate) fn contains(&self, request: RequestId) -> bool {
        self.entries.contains_key(&request)
    }

    /// Returns every grant, in unspecified order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &GrantEntry> + '_ {
        self.entries.values()
    }

    /// Adds a grant.
    pub(crate) fn insert(&mut self, entry: GrantEntry) {
        self.entries.insert(entry.ticket.request, entry);
    }

    /// Removes the grant of a request.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<GrantEntry> {
        self.entries.remove(&request)
    }

    /// Removes and returns an entry VM's grants that were made before `before` and are not in
    /// its list `held`.
    pub(crate) fn take_lost(
        &mut self,
        owner: InstanceId,
        held: &[RequestId],
        before: MonoTime,
    ) -> Vec<GrantEntry> {
        let held: FastSet<RequestId> = held.iter().copied().collect();
        let is_lost = |entry: &GrantEntry| {
            entry.owner == owner && entry.granted < before && !held.contains(&entry.ticket.request)
        };
        let lost = self.entries.extract_if(|_, entry| is_lost(entry));
        lost.map(|(_, entry)| entry).collect()
    }

    /// Marks the grants of an entry VM that is gone, so that they expire at `orphan_expiry`.
    pub(crate) fn mark_orphaned(&mut self, owner: InstanceId, orphan_expiry: MonoTime) {
        for entry in self.entries.values_mut() {
            if entry.owner == owner && entry.orphan_expiry.is_none() {
                entry.orphan_expiry = Some(orphan_expiry);
                self.orphans.push(entry.ticket.request);
            }
        }
        self.orphans.sort_unstable();
    }

    /// Removes and returns the orphaned grants that have expired.
    pub(crate) fn take_expired_orphans(&mut self, now: MonoTime) -> Vec<GrantEntry> {
        let mut expired = Vec::new();
        let entries = &mut self.entries;
        self.orphans.retain(|request| {
            let Some(orphan_expiry) = entries.get(request).and_then(|entry| entry.orphan_expiry)
            else {
                return false;
            };
            if now < orphan_expiry {
                return true;
            }
            expired.extend(entries.remove(request));
            false
        });
        expired
    }
}
