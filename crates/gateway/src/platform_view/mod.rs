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

mod backends;
mod gateways;
mod versions;

use std::rc::Rc;
use std::sync::Arc;

use oleander_balance::{BackendKey, FleetTable};
use oleander_base::{FastMap, FastSet};
use serde::Serialize;

use self::backends::BackendFact;
use self::gateways::GatewayFact;
use self::versions::VersionFact;
use crate::facts_message::PackedValue;
use crate::port::{StoreItem, StoreSubject};
use crate::prelude::*;

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
    /// The record of software versions changed.
    VersionsRecorded { versions: usize },
    /// The record of software versions could not be decoded.
    VersionsIgnored { reason: String },
}

/// The keys in a complete listing of the store.
#[derive(Debug, Default)]
pub(crate) struct ListedKeys {
    backends: FastSet<Arc<str>>,
    gateways: FastSet<Arc<str>>,
    has_versions: bool,
}

impl ListedKeys {
    pub(crate) fn insert(&mut self, subject: &StoreSubject) {
        match subject {
            StoreSubject::Backend(id) => {
                self.backends.insert(Arc::clone(id));
            }
            StoreSubject::Gateway(name) => {
                self.gateways.insert(Arc::clone(name));
            }
            StoreSubject::Versions => self.has_versions = true,
            StoreSubject::Manifest | StoreSubject::Other => {}
        }
    }
}

/// Holds the newest known facts about the manifest, the registry and the gateways.
#[derive(Debug, Default)]
pub(crate) struct PlatformView {
    /// The manifest in force.
    pub(crate) manifest: Option<Rc<Manifest>>,
    /// The version of the store up to which the view is complete.
    pub(crate) version: StoreVersion,
    /// The version of the newest change of a fact.
    changed_at: StoreVersion,
    /// When the era of that version became known.
    era_since: MonoTime,
    /// The last contact with the store, directly or through a gateway that had read it.
    pub(crate) store_contact: Option<MonoTime>,
    /// A time at which the store held nothing that the view does not have, as far as that is known. It is when the answer was
    /// asked for: the answer may have been read long after it was written, because this process stood still.
    pub(crate) complete_at: Option<MonoTime>,
    manifest_fact: Option<ManifestFact>,
    backends: FastMap<Arc<str>, BackendFact>,
    gateways: FastMap<Arc<str>, GatewayFact>,
    version_fact: VersionFact,
}

/// The manifest in force, as the store holds it.
#[derive(Debug)]
struct ManifestFact {
    version: StoreVersion,
    text: PackedValue,
}

/// A fact in the form that is passed to other gateways.
#[derive(Debug)]
pub(crate) struct KnownFact {
    pub(crate) item: StoreItem,
    /// The era of the item's revision.
    pub(crate) era: StoreEra,
    /// How the removal is interpreted, if the fact is a deletion.
    pub(crate) mode: RemovalMode,
    /// The packed form of the value, if it is known.
    pub(crate) packed: Option<Arc<str>>,
}

impl KnownFact {
    fn version(&self) -> StoreVersion {
        StoreVersion {
            era: self.era,
            revision: self.item.revision,
        }
    }
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

impl ManifestFact {
    fn known_fact(&self, is_packed: bool) -> KnownFact {
        KnownFact {
            item: StoreItem {
                subject: StoreSubject::Manifest,
                revision: self.version.revision,
                value: Some(self.text.value.clone()),
            },
            era: self.version.era,
            mode: RemovalMode::Gone,
            packed: is_packed.then(|| self.text.packed()),
        }
    }
}

impl PlatformView {
    /// Applies one fact if it is newer than the known one.
    pub(crate) fn apply(&mut self, fact: KnownFact, context: &mut ApplyContext<'_>) {
        let version = fact.version();
        match fact.item.subject {
            StoreSubject::Manifest => self.apply_manifest(fact, context),
            StoreSubject::Backend(ref id) => {
                let id = Arc::clone(id);
                self.apply_backend(id, fact, context);
            }
            StoreSubject::Gateway(ref name) => {
                let name = Arc::clone(name);
                self.apply_gateway(name, version, fact.item.value, context);
            }
            StoreSubject::Versions => self.apply_versions(fact, context),
            StoreSubject::Other => {}
        }
    }

    /// Returns the version of the manifest in force, or 0.
    pub(crate) fn manifest_version(&self) -> u64 {
        self.manifest.as_ref().map_or(0, |known| known.version)
    }

    fn apply_manifest(&mut self, fact: KnownFact, context: &mut ApplyContext<'_>) {
        let version = fact.version();
        let changes = &mut context.update.changes;
        let known = self.manifest_fact.as_ref().map(|fact| fact.version);
        let is_older = known.is_some_and(|known| {
            // Over an era, the versions of the manifests alone tell which is newer.
            known.era == version.era && known.revision >= version.revision
        });
        if is_older {
            return;
        }
        let Some(value) = fact.item.value else {
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
                self.changed_at = self.changed_at.max(version);
                let text = PackedValue::new(value, fact.packed);
                self.manifest_fact = Some(ManifestFact { version, text });
            }
            Err(error) => changes.push(ViewChange::ManifestIgnored {
                reason: error.to_string(),
            }),
        }
    }

    /// Records that the view is complete up to a version of the store.
    pub(crate) fn advance(&mut self, at: StoreVersion, now: MonoTime) {
        if at.era > self.version.era {
            self.era_since = now;
        }
        self.version = self.version.max(at);
    }

    /// Removes the backend servers and the record of versions that are missing from a complete listing, and notes the
    /// gateways that are.
    pub(crate) fn remove_unlisted(
        &mut self,
        listed: &ListedKeys,
        at: StoreVersion,
        mode: RemovalMode,
        context: &mut ApplyContext<'_>,
    ) {
        self.remove_unlisted_backends(&listed.backends, at, mode, context);
        self.mark_unlisted_gateways(&listed.gateways, at, context.now);
        self.remove_unlisted_versions(listed.has_versions, at);
    }

    /// Returns whether [`Self::facts_after`] would return anything.
    pub(crate) fn has_facts_after(&self, after: StoreVersion, manifest_version: u64) -> bool {
        self.changed_at > after || self.manifest_version() > manifest_version
    }

    /// Returns the facts that are newer than a version of the store, and the manifest if it is newer
    /// than the given one.
    pub(crate) fn facts_after(
        &self,
        after: StoreVersion,
        manifest_version: u64,
        packs_manifest: bool,
    ) -> Vec<KnownFact> {
        let is_newer = self.manifest_version() > manifest_version;
        let manifest = self
            .manifest_fact
            .iter()
            .filter(|fact| is_newer || fact.version > after)
            .map(|fact| fact.known_fact(packs_manifest));
        let backends = self.backend_facts(after);
        let gateways = self.gateway_facts(after);
        let versions = self.versions_fact(after);
        manifest
            .chain(backends)
            .chain(gateways)
            .chain(versions)
            .collect()
    }

    /// Drops expired tombstones and the addresses of gateways that were removed long ago.
    pub(crate) fn prune(&mut self, now: MonoTime) {
        self.prune_backends(now);
        self.prune_gateways(now);
    }
}
