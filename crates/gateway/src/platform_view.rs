//! This gateway's view of the platform: the manifest, the registry and the other gateways.
//!
//! Every fact carries a revision of the key-value store and is replaced only by a newer one,
//! whether that came from the store or from another gateway. Deleted backend servers leave a
//! tombstone, so that an older message does not bring them back. A manifest is never replaced by
//! one with a smaller version.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use oleander_balance::{BackendKey, EntryChange, FleetTable, StreamId};
use oleander_base::FastMap;
use serde::Serialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::origin_exchange::KeeperCounts;
use crate::port::{GatewayEntry, StoreItem, StoreSubject};
use crate::prelude::*;

/// How long a gateway that was removed from the store still counts as one of the gateways.
const GONE_GATEWAY_COUNTED: Span = Span::from_secs(15);

/// How long the address of a gateway that was removed from the store is kept.
const GONE_GATEWAY_RETENTION: Span = Span::from_secs(60);

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
    /// A registry entry could not be decoded.
    BackendIgnored { backend: Arc<str>, reason: String },
    /// A gateway joined.
    GatewayJoined { gateway: Arc<str> },
    /// A gateway was removed from the store.
    GatewayGone { gateway: Arc<str> },
}

#[derive(Debug, Clone)]
struct BackendFact {
    revision: Revision,
    value: Option<Bytes>,
    mode: RemovalMode,
    since: MonoTime,
}

#[derive(Debug, Clone)]
struct GatewayFact {
    revision: Revision,
    value: Bytes,
    entry: GatewayEntry,
    gone_at: Option<MonoTime>,
}

/// Holds the newest known facts about the manifest, the registry and the gateways.
#[derive(Debug, Default)]
pub(crate) struct PlatformView {
    /// The manifest in force.
    pub(crate) manifest: Option<Rc<Manifest>>,
    /// The revision up to which the view is complete.
    pub(crate) revision: Revision,
    /// The last contact with the store, directly or through a gateway that had read it.
    pub(crate) store_contact: Option<MonoTime>,
    manifest_fact: Option<(Revision, Bytes)>,
    backends: FastMap<Arc<str>, BackendFact>,
    gateways: FastMap<Arc<str>, GatewayFact>,
}

/// A fact in the form that is passed to other gateways.
#[derive(Debug)]
pub(crate) struct KnownFact {
    pub(crate) item: StoreItem,
    /// How the removal is interpreted, if the fact is a deletion.
    pub(crate) mode: RemovalMode,
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

impl PlatformView {
    /// Applies one fact if it is newer than the known one.
    pub(crate) fn apply(
        &mut self,
        item: StoreItem,
        mode: RemovalMode,
        fleet: &mut FleetTable,
        port: &dyn PlatformPort,
        now: MonoTime,
        update: &mut ViewUpdate,
    ) {
        match item.subject {
            StoreSubject::Manifest => self.apply_manifest(item.revision, item.value, port, update),
            StoreSubject::Backend(ref id) => {
                let id = Arc::clone(id);
                self.apply_backend(id, item, mode, fleet, port, now, update);
            }
            StoreSubject::Gateway(ref name) => {
                let name = Arc::clone(name);
                self.apply_gateway(name, item, port, now, update);
            }
            StoreSubject::Other => {}
        }
    }

    fn apply_manifest(
        &mut self,
        revision: Revision,
        value: Option<Bytes>,
        port: &dyn PlatformPort,
        update: &mut ViewUpdate,
    ) {
        if self
            .manifest_fact
            .as_ref()
            .is_some_and(|(known, _)| *known >= revision)
        {
            return;
        }
        let Some(value) = value else {
            update.changes.push(ViewChange::ManifestIgnored {
                reason: "the manifest was deleted; the last one stays in force".to_owned(),
            });
            return;
        };
        match port.decode_manifest(&value) {
            Ok(manifest) => {
                let in_force = self.manifest.as_ref().map_or(0, |known| known.version);
                if manifest.version < in_force {
                    update.changes.push(ViewChange::ManifestIgnored {
                        reason: format!("version {} is older than {in_force}", manifest.version),
                    });
                    return;
                }
                update.changes.push(ViewChange::Manifest {
                    version: manifest.version,
                    routes: manifest.route_count(),
                });
                self.manifest = Some(Rc::new(manifest));
                self.manifest_fact = Some((revision, value));
            }
            Err(error) => update.changes.push(ViewChange::ManifestIgnored {
                reason: error.to_string(),
            }),
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "each is a part of the state that changes"
    )]
    fn apply_backend(
        &mut self,
        id: Arc<str>,
        item: StoreItem,
        mode: RemovalMode,
        fleet: &mut FleetTable,
        port: &dyn PlatformPort,
        now: MonoTime,
        update: &mut ViewUpdate,
    ) {
        if self
            .backends
            .get(&id)
            .is_some_and(|fact| fact.revision >= item.revision)
        {
            return;
        }
        match &item.value {
            None => remove_backend(&id, mode, fleet, now, update),
            Some(value) => match port.decode_backend(&id, value) {
                Ok(entry) => {
                    let service = Arc::clone(&entry.service);
                    let centre = Arc::clone(&entry.centre);
                    let software = Arc::clone(&entry.software);
                    let old = fleet.key_of(&id);
                    match fleet.upsert(entry) {
                        EntryChange::Joined(_) => {
                            update.disconnected.extend(old);
                            update.changes.push(ViewChange::BackendJoined {
                                backend: Arc::clone(&id),
                                service,
                                centre,
                                software,
                            });
                        }
                        EntryChange::Draining(key) => {
                            update.disconnected.push(key);
                            update.changes.push(ViewChange::BackendDraining {
                                backend: Arc::clone(&id),
                            });
                        }
                        EntryChange::Updated | EntryChange::Same => {}
                    }
                }
                Err(error) => {
                    update.changes.push(ViewChange::BackendIgnored {
                        backend: Arc::clone(&id),
                        reason: error.to_string(),
                    });
                    remove_backend(&id, RemovalMode::Gone, fleet, now, update);
                }
            },
        }
        self.backends.insert(
            id,
            BackendFact {
                revision: item.revision,
                value: item.value,
                mode,
                since: now,
            },
        );
    }

    fn apply_gateway(
        &mut self,
        name: Arc<str>,
        item: StoreItem,
        port: &dyn PlatformPort,
        now: MonoTime,
        update: &mut ViewUpdate,
    ) {
        let known = self.gateways.get_mut(&name);
        if known
            .as_ref()
            .is_some_and(|fact| fact.revision >= item.revision)
        {
            return;
        }
        let Some(value) = item.value else {
            if let Some(fact) = known {
                fact.revision = item.revision;
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
                revision: item.revision,
                value,
                entry,
                gone_at: None,
            },
        );
    }

    /// Removes the backend servers that are missing from a complete listing.
    pub(crate) fn remove_unlisted(
        &mut self,
        listed: &oleander_base::FastSet<Arc<str>>,
        at: Revision,
        mode: RemovalMode,
        fleet: &mut FleetTable,
        now: MonoTime,
        update: &mut ViewUpdate,
    ) {
        for id in fleet.ids() {
            if listed.contains(&id) {
                continue;
            }
            let fact = self.backends.get(&id);
            if fact.is_some_and(|fact| fact.revision > at) {
                continue;
            }
            remove_backend(&id, mode, fleet, now, update);
            self.backends.insert(
                id,
                BackendFact {
                    revision: at,
                    value: None,
                    mode,
                    since: now,
                },
            );
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

    /// Returns the facts that are newer than a revision.
    pub(crate) fn facts_after(&self, after: Revision) -> Vec<KnownFact> {
        let manifest = self
            .manifest_fact
            .iter()
            .map(|(revision, value)| KnownFact {
                item: StoreItem {
                    subject: StoreSubject::Manifest,
                    revision: *revision,
                    value: Some(value.clone()),
                },
                mode: RemovalMode::Gone,
            });
        let backends = self.backends.iter().map(|(id, fact)| KnownFact {
            item: StoreItem {
                subject: StoreSubject::Backend(Arc::clone(id)),
                revision: fact.revision,
                value: fact.value.clone(),
            },
            mode: fact.mode,
        });
        let gateways = self.gateways.iter().map(|(name, fact)| KnownFact {
            item: StoreItem {
                subject: StoreSubject::Gateway(Arc::clone(name)),
                revision: fact.revision,
                value: fact.gone_at.is_none().then(|| fact.value.clone()),
            },
            mode: RemovalMode::Gone,
        });
        manifest
            .chain(backends)
            .chain(gateways)
            .filter(|fact| fact.item.revision > after)
            .collect()
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
        self.backends
            .retain(|_, fact| fact.value.is_some() || now.since(fact.since) < TOMBSTONE_RETENTION);
        self.gateways.retain(|_, fact| {
            fact.gone_at
                .is_none_or(|gone| now.since(gone) < GONE_GATEWAY_RETENTION)
        });
    }
}

fn remove_backend(
    id: &Arc<str>,
    mode: RemovalMode,
    fleet: &mut FleetTable,
    now: MonoTime,
    update: &mut ViewUpdate,
) {
    let backend = Arc::clone(id);
    match mode {
        RemovalMode::Gone => {
            if let Some(key) = fleet.remove(id) {
                update.disconnected.push(key);
                update.changes.push(ViewChange::BackendGone { backend });
            }
        }
        RemovalMode::MayHaveLapsed => {
            if fleet.mark_lapsed(id, now).is_some() {
                update.changes.push(ViewChange::BackendLapsed { backend });
            }
        }
    }
}
