//! The facts about backend servers in the registry.

use std::sync::Arc;

use bytes::Bytes;
use oleander_balance::{BackendEntry, BackendPhase, EntryChange};
use oleander_base::FastSet;

use super::{ApplyContext, KnownFact, PlatformView, RemovalMode, ViewChange};
use crate::port::{RegistryEntry, StoreItem, StoreSubject};
use crate::prelude::*;

/// How long tombstones are kept.
const TOMBSTONE_RETENTION: Span = Span::from_secs(60);

/// What is known of one registry entry.
#[derive(Debug, Clone)]
pub(super) struct BackendFact {
    version: StoreVersion,
    value: Option<Bytes>,
    /// The newest entry that could be decoded, also of a backend server that is gone.
    last_entry: Option<RegistryEntry>,
    mode: RemovalMode,
    since: MonoTime,
}

/// What stands in place of an entry that is an older copy.
#[derive(Debug)]
struct OlderCopy {
    /// The newest entry that is known.
    last: RegistryEntry,
    /// Whether its backend server has left since it wrote that.
    is_gone: bool,
}

impl BackendFact {
    /// Returns what stands in place of an entry of a new era, if its backend server has not written it
    /// since it was seen to drain or to leave.
    fn older_copy(&self, version: StoreVersion, entry: &RegistryEntry) -> Option<OlderCopy> {
        let last = self.last_entry.as_ref()?;
        let is_copy = self.version.era < version.era
            && last.backend.is_same_process(&entry.backend)
            && entry.writes <= last.writes;
        let is_gone = self.value.is_none() && self.mode == RemovalMode::Gone;
        let is_draining = self.value.is_some()
            && last.backend.phase == BackendPhase::Draining
            && entry.backend.phase != BackendPhase::Draining;
        (is_copy && (is_gone || is_draining)).then(|| OlderCopy {
            last: last.clone(),
            is_gone,
        })
    }
}

impl PlatformView {
    pub(super) fn apply_backend(
        &mut self,
        id: Arc<str>,
        fact: KnownFact,
        context: &mut ApplyContext<'_>,
    ) {
        let version = fact.version();
        let known = self.backends.get(&id);
        if known.is_some_and(|known| known.version >= version) {
            return;
        }
        let last_entry = known.and_then(|known| known.last_entry.clone());
        let mode = fact.mode;
        let Some(value) = fact.item.value else {
            context.remove_backend(&id, mode);
            self.record_backend(id, version, None, last_entry, mode, context.now);
            return;
        };
        let written = match context.port.decode_backend(&id, &value) {
            Ok(written) => written,
            Err(error) => {
                let reason = error.to_string();
                let backend = Arc::clone(&id);
                let change = ViewChange::BackendIgnored { backend, reason };
                context.update.changes.push(change);
                context.remove_backend(&id, RemovalMode::Gone);
                self.record_backend(id, version, Some(value), last_entry, mode, context.now);
                return;
            }
        };
        match known.and_then(|known| known.older_copy(version, &written)) {
            Some(OlderCopy { last, is_gone }) => {
                let backend = Arc::clone(&id);
                let change = ViewChange::BackendCopyIgnored { backend };
                context.update.changes.push(change);
                let (value, mode) = if is_gone {
                    (None, RemovalMode::Gone)
                } else {
                    (Some(value), mode)
                };
                self.record_backend(id, version, value, Some(last), mode, context.now);
            }
            None => {
                context.upsert_backend(written.backend.clone());
                self.record_backend(id, version, Some(value), Some(written), mode, context.now);
            }
        }
    }

    fn record_backend(
        &mut self,
        id: Arc<str>,
        version: StoreVersion,
        value: Option<Bytes>,
        last_entry: Option<RegistryEntry>,
        mode: RemovalMode,
        now: MonoTime,
    ) {
        let fact = BackendFact {
            version,
            value,
            last_entry,
            mode,
            since: now,
        };
        self.changed_at = self.changed_at.max(version);
        self.backends.insert(id, fact);
    }

    /// Removes the backend servers that nobody has named in the present era for `after`.
    pub(crate) fn drop_unconfirmed(&mut self, after: Span, context: &mut ApplyContext<'_>) {
        let now = context.now;
        if now.since(self.era_since) < after {
            return;
        }
        let era = self.version.era;
        for (id, fact) in &mut self.backends {
            if fact.version.era >= era || fact.value.is_none() {
                continue;
            }
            context.remove_backend(id, RemovalMode::MayHaveLapsed);
            fact.version = StoreVersion {
                era,
                revision: Revision(0),
            };
            fact.value = None;
            fact.mode = RemovalMode::MayHaveLapsed;
            fact.since = now;
        }
    }

    /// Removes the backend servers that are missing from a complete listing.
    pub(super) fn remove_unlisted_backends(
        &mut self,
        listed: &FastSet<Arc<str>>,
        at: StoreVersion,
        mode: RemovalMode,
        context: &mut ApplyContext<'_>,
    ) {
        let now = context.now;
        for id in context.fleet.ids() {
            if listed.contains(&id) {
                continue;
            }
            let fact = self.backends.get(&id);
            if fact.is_some_and(|fact| fact.version > at) {
                continue;
            }
            let last_entry = fact.and_then(|fact| fact.last_entry.clone());
            context.remove_backend(&id, mode);
            self.record_backend(id, at, None, last_entry, mode, now);
        }
    }

    /// Returns the facts about backend servers that are newer than a version of the store, tombstones included.
    pub(super) fn backend_facts(&self, after: StoreVersion) -> impl Iterator<Item = KnownFact> {
        let is_newer = move |fact: &&BackendFact| fact.version > after;
        let newer = self.backends.iter().filter(move |(_, fact)| is_newer(fact));
        newer.map(|(id, fact)| KnownFact {
            item: StoreItem {
                subject: StoreSubject::Backend(Arc::clone(id)),
                revision: fact.version.revision,
                value: fact.value.clone(),
            },
            era: fact.version.era,
            mode: fact.mode,
            packed: None,
        })
    }

    /// Drops expired tombstones.
    pub(super) fn prune_backends(&mut self, now: MonoTime) {
        self.backends
            .retain(|_, fact| fact.value.is_some() || now.since(fact.since) < TOMBSTONE_RETENTION);
    }
}

impl ApplyContext<'_> {
    fn upsert_backend(&mut self, entry: BackendEntry) {
        let joined = ViewChange::BackendJoined {
            backend: Arc::clone(&entry.id),
            service: Arc::clone(&entry.service),
            centre: Arc::clone(&entry.centre),
            software: Arc::clone(&entry.software),
        };
        let backend = Arc::clone(&entry.id);
        let old = self.fleet.key_of(&backend);
        match self.fleet.upsert(entry) {
            EntryChange::Joined(_) => {
                self.update.disconnected.extend(old);
                self.update.changes.push(joined);
            }
            EntryChange::Draining(key) => {
                self.update.disconnected.push(key);
                let change = ViewChange::BackendDraining { backend };
                self.update.changes.push(change);
            }
            EntryChange::Updated | EntryChange::Same => {}
        }
    }

    fn remove_backend(&mut self, id: &Arc<str>, mode: RemovalMode) {
        let backend = Arc::clone(id);
        match mode {
            RemovalMode::Gone => {
                if let Some(key) = self.fleet.remove(id) {
                    self.update.disconnected.push(key);
                    let change = ViewChange::BackendGone { backend };
                    self.update.changes.push(change);
                }
            }
            RemovalMode::MayHaveLapsed => {
                if self.fleet.mark_lapsed(id, self.now).is_some() {
                    let change = ViewChange::BackendLapsed { backend };
                    self.update.changes.push(change);
                }
            }
        }
    }
}
