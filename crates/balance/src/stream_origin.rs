//! Where streams began: which software version of a service wrote their first event.
//!
//! The output of two software versions cannot be joined, and a backend server that resumes a stream
//! does not know which version began it. A stream may therefore only go on at the version that began it,
//! also when its caller resumes it at another gateway. Each gateway keeps the origins of the
//! streams that it began or was told of in an [`OriginTable`]. A stream of unknown origin may only
//! go on where a [`VersionHistory`] shows that its service has had a single version for as long as
//! a stream can last. A gateway has seen only the versions since its start; a [`VersionRecord`] tells it of those
//! before.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use oleander_base::FastMap;
use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::version_record::VersionRecord;

/// How long the origin of a stream is kept, which is longer than a caller takes to resume a stream.
pub const ORIGIN_RETENTION: Span = Span::from_secs(60);

/// The greatest number of origins that a gateway keeps; the oldest are dropped first.
const MAX_ORIGINS: usize = 100_000;

/// A stream, by the hash of the id of the caller's attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream that this attempt began.
    pub fn of(attempt_id: &str) -> Self {
        Self(xxh3_64(attempt_id.as_bytes()))
    }
}

/// A software version of backend servers, by the hash of its name. Versions have no order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionId(pub u64);

impl VersionId {
    /// Stands for a version that cannot be told, which no backend server has. A stream that is bound to it goes on
    /// nowhere.
    pub const UNCERTAIN: Self = Self(0);

    /// Returns what two records of one stream tell together: none is certain if they differ.
    pub fn joined_with(self, other: Self) -> Self {
        if self == other { self } else { Self::UNCERTAIN }
    }

    /// Returns the id of the version with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for VersionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// The version that wrote its first event.
    pub version: VersionId,
}

#[derive(Debug, Clone, Copy)]
struct KnownOrigin {
    version: VersionId,
    recorded_at: MonoTime,
}

/// The origins of recent streams.
#[derive(Debug, Default)]
pub struct OriginTable {
    origins: FastMap<StreamId, KnownOrigin>,
    /// The recorded streams, oldest first.
    order: VecDeque<(MonoTime, StreamId)>,
}

impl OriginTable {
    /// Records the version that began a stream. Records of several versions contradict each other, so that none is
    /// certain: of two gateways that began a stream for one relayed request, only one passed it on to the caller.
    pub fn record(&mut self, stream: StreamId, version: VersionId, now: MonoTime) {
        self.prune(now);
        match self.origins.get_mut(&stream) {
            Some(known) => known.version = known.version.joined_with(version),
            None => {
                let origin = KnownOrigin {
                    version,
                    recorded_at: now,
                };
                self.origins.insert(stream, origin);
                self.order.push_back((now, stream));
            }
        }
        while self.order.len() > MAX_ORIGINS {
            self.drop_oldest();
        }
    }

    /// Returns the version that began a stream, if it is known.
    pub fn get(&self, stream: StreamId, now: MonoTime) -> Option<VersionId> {
        let origin = self.origins.get(&stream)?;
        let is_fresh = now.since(origin.recorded_at) < ORIGIN_RETENTION;
        is_fresh.then_some(origin.version)
    }

    /// Returns the number of recorded streams.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no stream is recorded.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn prune(&mut self, now: MonoTime) {
        while let Some((recorded_at, _)) = self.order.front() {
            if now.since(*recorded_at) < ORIGIN_RETENTION {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, stream)) = self.order.pop_front() {
            self.origins.remove(&stream);
        }
    }
}

/// What is known of a service's software versions over the time that a stream can last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionSpan {
    /// Nothing is known of the service, or not up to now.
    Unknown,
    /// There was only this version.
    Single(VersionId),
    /// There were several.
    Mixed,
}

/// How lately a version must have been in the registry for a gateway to add it to the record. It is well below
/// [`ORIGIN_RETENTION`], so that gateways which saw a version leave a little later do not take back its removal.
const RECORDED_WITHIN: Span = Span::from_secs(30);

/// When a version of a service was seen.
#[derive(Debug, Clone, Copy)]
struct SeenVersion {
    /// The last time in the registry, or the first one in the record.
    seen_at: MonoTime,
    /// The last time in the registry.
    registered_at: Option<MonoTime>,
}

impl SeenVersion {
    fn is_recent(&self, now: MonoTime) -> bool {
        now.since(self.seen_at) < ORIGIN_RETENTION
    }

    fn was_registered_lately(&self, now: MonoTime) -> bool {
        let registered = self.registered_at;
        registered.is_some_and(|registered| now.since(registered) < RECORDED_WITHIN)
    }
}

/// The software versions of each service that were lately in the registry, or that the record names.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: FastMap<Arc<str>, FastMap<VersionId, SeenVersion>>,
    /// When it turned out that the versions of the time before are not known.
    distrusted_at: Option<MonoTime>,
}

impl VersionHistory {
    /// Notes that the record of the time before this process could not be read, so that each service may have had other
    /// versions then.
    pub fn distrust_past(&mut self, now: MonoTime) {
        self.distrusted_at = Some(now);
    }

    /// Records that a backend server of this version belongs to a service.
    pub fn observe(&mut self, service: &Arc<str>, version: VersionId, now: MonoTime) {
        let versions = self.services.entry(Arc::clone(service)).or_default();
        let seen = SeenVersion {
            seen_at: now,
            registered_at: Some(now),
        };
        versions.insert(version, seen);
    }

    /// Takes over the versions that the record names and did not name before. When they left is not known, so they
    /// count as if they had just done so.
    pub fn adopt(&mut self, record: &VersionRecord, before: &VersionRecord, now: MonoTime) {
        let new = record
            .iter()
            .filter(|(service, version)| !before.contains(service, *version));
        for (service, version) in new {
            let versions = self.services.entry(Arc::clone(service)).or_default();
            let seen = versions.entry(version).or_insert(SeenVersion {
                seen_at: now,
                registered_at: None,
            });
            seen.seen_at = now;
        }
    }

    /// Returns the record that should take the place of the known one, unless that is as it should be.
    pub fn next_record(&self, known: &VersionRecord, now: MonoTime) -> Option<VersionRecord> {
        let mut next = VersionRecord::default();
        for (service, version) in known.iter() {
            let seen = self.services.get(service).and_then(|all| all.get(&version));
            if seen.is_some_and(|seen| seen.is_recent(now)) {
                next.insert(service, version);
            }
        }
        for (service, versions) in &self.services {
            for (version, seen) in versions {
                if seen.was_registered_lately(now) {
                    next.insert(service, *version);
                }
            }
        }
        (next != *known).then_some(next)
    }

    /// Forgets versions that no stream in progress can have begun at.
    pub fn prune(&mut self, now: MonoTime) {
        for versions in self.services.values_mut() {
            versions.retain(|_, seen| seen.is_recent(now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Returns whether any service has had several versions over the time that a stream can last.
    pub fn is_any_mixed(&self, now: MonoTime) -> bool {
        let mut services = self.services.keys();
        services.any(|service| self.span(service, now) == VersionSpan::Mixed)
    }

    /// Returns what is known of a service's versions over the time that a stream can last.
    pub fn span(&self, service: &str, now: MonoTime) -> VersionSpan {
        let Some(versions) = self.services.get(service) else {
            return VersionSpan::Unknown;
        };
        let mut recent = versions
            .iter()
            .filter(|(_, seen)| seen.is_recent(now))
            .map(|(version, _)| *version);
        match (recent.next(), recent.next()) {
            (None, _) => VersionSpan::Unknown,
            (Some(_), None) if self.is_past_distrusted(now) => VersionSpan::Mixed,
            (Some(only), None) => VersionSpan::Single(only),
            (Some(_), Some(_)) => VersionSpan::Mixed,
        }
    }

    /// Returns whether a stream in progress may have begun at a time whose versions are not known.
    fn is_past_distrusted(&self, now: MonoTime) -> bool {
        let distrusted = self.distrusted_at;
        distrusted.is_some_and(|distrusted| now.since(distrusted) < ORIGIN_RETENTION)
    }
}

/// Returns the only version in the views of several gateways, if they agree on one.
pub fn sole_version(spans: &[VersionSpan]) -> Option<VersionId> {
    let mut sole = None;
    for span in spans {
        match *span {
            VersionSpan::Unknown => {}
            VersionSpan::Mixed => return None,
            VersionSpan::Single(version) if sole.is_none_or(|known| known == version) => {
                sole = Some(version);
            }
            VersionSpan::Single(_) => return None,
        }
    }
    sole
}
