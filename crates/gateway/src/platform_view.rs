//! This gateway's view of the platform: the manifest, the registry and the other gateways.
//!
//! Every fact carries a version of the key-value store, its era and its revision, and is replaced
//! only by a newer one, whether that came from the store or from another gateway. Deleted backend
//! servers leave a tombstone, so that an older message does not bring them back. A manifest is never
//! replaced by one with a smaller version.
//!
//! A store that comes back from a copy begins a new era with older values. A backend server that was
//! seen to drain or to leave is not believed to serve again by such a copy, but by an entry that
//! itself has written since.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use oleander_balance::{BackendEntry, BackendKey, BackendPhase, EntryChange, FleetTable, StreamId};
use oleander_base::{FastMap, FastSet};
use serde::Serialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::origin_exchange::KeeperCounts;
use crate::port::{GatewayEntry, RegistryEntry, StoreItem, StoreSubject};
use crate::prelude::*;

/// How long a gateway that was removed from the store still counts as one of the gateways.
const GONE_GATEWAY_COUNTED: Span = Span::from_secs(15);

/// How long the address of a gateway that was removed from the store is kept.
const GONE_GATEWAY_RETENTION: Span = Span::from_secs(60);

/// How long a gateway that a complete listing lacked may take to announce itself again. It is longer
/// than the lease of its announcement.
const UNLISTED_GATEWAY_RETENTION: Span = Span::from_secs(15);

/// How long tombstones are kept.
const TOMBSTONE_RETENTION: Span = Span::from_secs(60);

/// How the removal of a registry entry is interpreted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RemovalMode {
    /// The backend server has left.
    Gone,
    /// The entry may have lapsed: its lease may have expired only because the store was
    /// unreachable, while the backend server is alive.
    MayHaveLapsed,
}

/// A change of the view, as it is logged.
#[derive(Debug, Serialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub(crate) enum ViewChange {
    /// A manifest came into force.
    Manifest { version: u64, routes: usize },
    /// A manifest was ignored.
    ManifestIgnored { reason: String },
    /// A backend server joined.
    BackendJoined {
        backend: Arc<str>,
        service: Arc<str>,
        centre: Arc<str>,
        software: Arc<str>,
    },
    /// A backend server began to drain and gets no more new requests.
    BackendDraining { backend: Arc<str> },
    /// A backend server has left.
    BackendGone { backend: Arc<str> },
    /// An entry lapsed: it expired, perhaps only because the store was unreachable.
    BackendLapsed { backend: Arc<str> },
    /// An entry in a new era of the store is an older copy of what is known.
    BackendCopyIgnored { backend: Arc<str> },
    /// A registry entry could not be decoded.
    BackendIgnored { backend: Arc<str>, reason: String },
    /// A gateway joined.
    GatewayJoined { gateway: Arc<str> },
    /// A gateway was removed from the store.
    GatewayGone { gateway: Arc<str> },
}

#[derive(Debug, Clone)]
struct BackendFact {
    version: StoreVersion,
    value: Option<Bytes>,
    /// The newest entry that could be decoded, also of a backend server that is gone.
    last_entry: Option<RegistryEntry>,
    mode: RemovalMode,
    since: MonoTime,
}

#[derive(Debug, Clone)]
struct GatewayFact {
    version: StoreVersion,
    value: Bytes,
    entry: GatewayEntry,
    gone_at: Option<MonoTime>,
    /// When a complete listing of the store lacked the entry, which its gateway may write again.
    unlisted_at: Option<MonoTime>,
}

/// The keys in a complete listing of the store.
#[derive(Debug, Default)]
pub(crate) struct ListedKeys {
    backends: FastSet<Arc<str>>,
    gateways: FastSet<Arc<str>>,
}

impl ListedKeys {
    pub(crate) fn insert(&mut self, subject: &StoreSubject) {
        match subject {
            StoreSubject::Backend(id) => self.backends.insert(Arc::clone(id)),
            StoreSubject::Gateway(name) => self.gateways.insert(Arc::clone(name)),
            StoreSubject::Manifest | StoreSubject::Other => false,
        };
    }
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

/// Holds the newest known facts about the manifest, the registry and the gateways.
#[derive(Debug, Default)]
pub(crate) struct PlatformView {
    /// The manifest in force.
    pub(crate) manifest: Option<Rc<Manifest>>,
    /// The version of the store up to which the view is complete.
    pub(crate) version: StoreVersion,
    /// When the era of that version became known.
    era_since: MonoTime,
    /// The last contact with the store, directly or through a gateway that had read it.
    pub(crate) store_contact: Option<MonoTime>,
    manifest_fact: Option<(StoreVersion, Bytes)>,
    backends: FastMap<Arc<str>, BackendFact>,
    gateways: FastMap<Arc<str>, GatewayFact>,
}

/// A fact in the form that is passed to other gateways.
#[derive(Debug)]
pub(crate) struct KnownFact {
    pub(crate) item: StoreItem,
    /// The era of the item's revision.
    pub(crate) era: StoreEra,
    /// How the removal is interpreted, if the fact is a deletion.
    pub(crate) mode: RemovalMode,
}

impl KnownFact {
    fn version(&self) -> StoreVersion {
        StoreVersion {
            era: self.era,
            revision: self.item.revision,
        }
    }
}

/// A live gateway in the order that all gateways of its data centre agree on.
#[derive(Debug)]
pub(crate) struct RankedGateway {
    order: u64,
    pub(crate) name: Arc<str>,
    pub(crate) control: std::net::SocketAddr,
}

/// The changes of the view, and the backend servers whose idle connections are closed.
#[derive(Debug, Default)]
pub(crate) struct ViewUpdate {
    pub(crate) changes: Vec<ViewChange>,
    pub(crate) disconnected: Vec<BackendKey>,
}

/// What facts are applied to, besides the view.
#[derive(Debug)]
pub(crate) struct ApplyContext<'a> {
    pub(crate) fleet: &'a mut FleetTable,
    pub(crate) port: &'a dyn PlatformPort,
    pub(crate) now: MonoTime,
    pub(crate) update: ViewUpdate,
}

impl PlatformView {
    /// Applies one fact if it is newer than the known one.
    pub(crate) fn apply(&mut self, fact: KnownFact, context: &mut ApplyContext<'_>) {
        let version = fact.version();
        match fact.item.subject {
            StoreSubject::Manifest => self.apply_manifest(version, fact.item.value, context),
            StoreSubject::Backend(ref id) => {
                let id = Arc::clone(id);
                self.apply_backend(id, fact, context);
            }
            StoreSubject::Gateway(ref name) => {
                let name = Arc::clone(name);
                self.apply_gateway(name, version, fact.item.value, context);
            }
            StoreSubject::Other => {}
        }
    }

    /// Returns the version of the manifest in force, or 0.
    pub(crate) fn manifest_version(&self) -> u64 {
        self.manifest.as_ref().map_or(0, |known| known.version)
    }

    fn apply_manifest(
        &mut self,
        version: StoreVersion,
        value: Option<Bytes>,
        context: &mut ApplyContext<'_>,
    ) {
        let changes = &mut context.update.changes;
        let known = self.manifest_fact.as_ref().map(|(version, _)| *version);
        let is_older = known.is_some_and(|known| {
            // Over an era, the versions of the manifests alone tell which is newer.
            known.era == version.era && known.revision >= version.revision
        });
        if is_older {
            return;
        }
        let Some(value) = value else {
            changes.push(ViewChange::ManifestIgnored {
                reason: "the manifest was deleted; the last one stays in force".to_owned(),
            });
            return;
        };
        match context.port.decode_manifest(&value) {
            Ok(manifest) => {
                let in_force = self.manifest_version();
                if manifest.version < in_force {
                    changes.push(ViewChange::ManifestIgnored {
                        reason: format!("version {} is older than {in_force}", manifest.version),
                    });
                    return;
                }
                changes.push(ViewChange::Manifest {
                    version: manifest.version,
                    routes: manifest.route_count(),
                });
                self.manifest = Some(Rc::new(manifest));
                self.manifest_fact = Some((version, value));
            }
            Err(error) => changes.push(ViewChange::ManifestIgnored {
                reason: error.to_string(),
            }),
        }
    }

    fn apply_backend(&mut self, id: Arc<str>, fact: KnownFact, context: &mut ApplyContext<'_>) {
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
        self.backends.insert(id, fact);
    }

    fn apply_gateway(
        &mut self,
        name: Arc<str>,
        version: StoreVersion,
        value: Option<Bytes>,
        context: &mut ApplyContext<'_>,
    ) {
        let ApplyContext {
            port, now, update, ..
        } = context;
        let now = *now;
        let known = self.gateways.get_mut(&name);
        if known.as_ref().is_some_and(|fact| fact.version >= version) {
            return;
        }
        let Some(value) = value else {
            if let Some(fact) = known {
                fact.version = version;
                fact.gone_at = Some(now);
                update
                    .changes
                    .push(ViewChange::GatewayGone { gateway: name });
            }
            return;
        };
        // An entry that cannot be decoded was written by another version of the gateway. It is
        // neither counted nor queried.
        let Ok(entry) = port.decode_gateway(&value) else {
            return;
        };
        if known.is_none_or(|fact| fact.gone_at.is_some()) {
            update.changes.push(ViewChange::GatewayJoined {
                gateway: Arc::clone(&name),
            });
        }
        self.gateways.insert(
            name,
            GatewayFact {
                version,
                value,
                entry,
                gone_at: None,
                unlisted_at: None,
            },
        );
    }

    /// Records that the view is complete up to a version of the store.
    pub(crate) fn advance(&mut self, at: StoreVersion, now: MonoTime) {
        if at.era > self.version.era {
            self.era_since = now;
        }
        self.version = self.version.max(at);
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

    /// Removes the backend servers that are missing from a complete listing, and notes the gateways
    /// that are.
    pub(crate) fn remove_unlisted(
        &mut self,
        listed: &ListedKeys,
        at: StoreVersion,
        mode: RemovalMode,
        context: &mut ApplyContext<'_>,
    ) {
        let now = context.now;
        for id in context.fleet.ids() {
            if listed.backends.contains(&id) {
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
        for (name, fact) in &mut self.gateways {
            if !listed.gateways.contains(name) && fact.version < at {
                fact.unlisted_at.get_or_insert(now);
            }
        }
    }

    /// Returns how many gateways share the fleet, at least `floor`.
    pub(crate) fn gateway_count(&self, floor: usize, now: MonoTime) -> usize {
        let counts = |fact: &&GatewayFact| {
            fact.gone_at
                .is_none_or(|gone| now.since(gone) < GONE_GATEWAY_COUNTED)
        };
        self.gateways.values().filter(counts).count().max(floor)
    }

    /// Returns the addresses at which other gateways can be queried.
    pub(crate) fn gateway_addresses(&self, own: &str) -> Vec<std::net::SocketAddr> {
        self.gateways
            .iter()
            .filter(|(name, _)| &***name != own)
            .map(|(_, fact)| fact.entry.control)
            .collect()
    }

    /// Returns the facts that are newer than a version of the store, and the manifest if it is newer
    /// than the given one.
    pub(crate) fn facts_after(&self, after: StoreVersion, manifest_version: u64) -> Vec<KnownFact> {
        let is_newer = self.manifest_version() > manifest_version;
        let manifest = self
            .manifest_fact
            .iter()
            .filter(|(version, _)| is_newer || *version > after)
            .map(|(version, value)| KnownFact {
                item: StoreItem {
                    subject: StoreSubject::Manifest,
                    revision: version.revision,
                    value: Some(value.clone()),
                },
                era: version.era,
                mode: RemovalMode::Gone,
            });
        let backends = self.backends.iter().map(|(id, fact)| KnownFact {
            item: StoreItem {
                subject: StoreSubject::Backend(Arc::clone(id)),
                revision: fact.version.revision,
                value: fact.value.clone(),
            },
            era: fact.version.era,
            mode: fact.mode,
        });
        let gateways = self.gateways.iter().map(|(name, fact)| KnownFact {
            item: StoreItem {
                subject: StoreSubject::Gateway(Arc::clone(name)),
                revision: fact.version.revision,
                value: fact.gone_at.is_none().then(|| fact.value.clone()),
            },
            era: fact.version.era,
            mode: RemovalMode::Gone,
        });
        let newer = backends
            .chain(gateways)
            .filter(|fact| fact.version() > after);
        manifest.chain(newer).collect()
    }

    /// Returns the live gateways of a data centre. The first ones read the store for the others.
    pub(crate) fn ranked_gateways(&self, centre: &str) -> Vec<RankedGateway> {
        let mut ranked: Vec<RankedGateway> = self
            .gateways
            .iter()
            .filter(|(_, fact)| fact.gone_at.is_none() && &*fact.entry.centre == centre)
            .map(|(name, fact)| RankedGateway {
                order: xxh3_64(name.as_bytes()),
                name: Arc::clone(name),
                control: fact.entry.control,
            })
            .collect();
        ranked.sort_unstable_by_key(|gateway| gateway.order);
        ranked
    }

    /// Returns the addresses at which live gateways receive gossip.
    pub(crate) fn gossip_addresses(&self, own: &str) -> Vec<std::net::SocketAddr> {
        self.gateways
            .iter()
            .filter(|(name, fact)| &***name != own && fact.gone_at.is_none())
            .filter_map(|(_, fact)| fact.entry.gossip)
            .collect()
    }

    /// Returns the gossip addresses of the live gateways that keep the origin of a stream: the first
    /// ones by rendezvous hashing, in one data centre and in all.
    pub(crate) fn origin_keepers(
        &self,
        stream: StreamId,
        counts: KeeperCounts,
        own: &str,
        centre: &str,
    ) -> Vec<std::net::SocketAddr> {
        let mut ranked: Vec<(u64, &GatewayFact, std::net::SocketAddr)> = self
            .gateways
            .iter()
            .filter(|(name, fact)| &***name != own && fact.gone_at.is_none())
            .filter_map(|(name, fact)| {
                let order = xxh3_64_with_seed(name.as_bytes(), stream.0);
                Some((order, fact, fact.entry.gossip?))
            })
            .collect();
        ranked.sort_unstable_by_key(|(order, ..)| *order);
        let mut keepers = Vec::with_capacity(counts.near + counts.any);
        let mut near_left = counts.near;
        for (rank, (_, fact, address)) in ranked.into_iter().enumerate() {
            let is_near = &*fact.entry.centre == centre && near_left > 0;
            if is_near {
                near_left -= 1;
            }
            if is_near || rank < counts.any {
                keepers.push(address);
            }
        }
        keepers
    }

    /// Drops expired tombstones and the addresses of gateways that were removed long ago.
    pub(crate) fn prune(&mut self, now: MonoTime) {
        for fact in self.gateways.values_mut() {
            let is_gone = fact
                .unlisted_at
                .is_some_and(|unlisted| now.since(unlisted) >= UNLISTED_GATEWAY_RETENTION);
            if is_gone && fact.gone_at.is_none() {
                fact.gone_at = Some(now);
            }
        }
        self.backends
            .retain(|_, fact| fact.value.is_some() || now.since(fact.since) < TOMBSTONE_RETENTION);
        self.gateways.retain(|_, fact| {
            fact.gone_at
                .is_none_or(|gone| now.since(gone) < GONE_GATEWAY_RETENTION)
        });
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
