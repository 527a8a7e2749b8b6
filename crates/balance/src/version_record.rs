//! The record of software versions that all gateways of a fleet share.
//!
//! A gateway that has just started sees only the versions that are left, and no gateway may be alive that saw
//! those before. The record outlives all gateways: it names each version at which a stream in progress may have
//! begun, and changes only when a version comes or has been gone for as long as a stream can last. A
//! [`VersionHistory`](crate::VersionHistory) says when (docs/PLATFORM.md, "Software versions").

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::stream_origin::VersionId;

/// The software versions of each service at which streams in progress may have begun.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRecord {
    services: BTreeMap<Arc<str>, BTreeSet<VersionId>>,
}

impl VersionRecord {
    /// Adds a version of a service.
    pub fn insert(&mut self, service: &Arc<str>, version: VersionId) {
        let versions = self.services.entry(Arc::clone(service)).or_default();
        versions.insert(version);
    }

    /// Returns whether a version of a service is recorded.
    pub fn contains(&self, service: &str, version: VersionId) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| versions.contains(&version))
    }

    /// Returns the recorded versions with their services, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, VersionId)> {
        let services = self.services.iter();
        services.flat_map(|(service, versions)| versions.iter().map(move |id| (service, *id)))
    }

    /// Returns the services with their versions, in order.
    pub fn services(&self) -> impl Iterator<Item = (&Arc<str>, &BTreeSet<VersionId>)> {
        self.services.iter()
    }
}
