//! Tells which software version a resumed stream goes on at, and how that was found.

use oleander_balance::{VersionId, VersionSpan, sole_version};

/// How the version that a stream goes on at was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OriginSource {
    /// This gateway has the origin.
    Own,
    /// A replica has it.
    Replica,
    /// Earlier processes wrote it to the key-value store.
    Store,
    /// The service has had a single version.
    SingleVersion,
    /// No record is found, and the service has or may have had several versions.
    Unknown,
}

impl OriginSource {
    /// Returns the name for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Replica => "replica",
            Self::Store => "store",
            Self::SingleVersion => "single-version",
            Self::Unknown => "unknown",
        }
    }
}

/// The version that a stream goes on at, if it is known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResolvedOrigin {
    pub(crate) version: Option<VersionId>,
    pub(crate) source: OriginSource,
    /// How many replicas were asked.
    pub(crate) asked: usize,
    /// How many of them replied.
    pub(crate) replied: usize,
    /// Whether all versions in the registry were known when it was decided whether there is a single one; absent where
    /// that was not asked.
    pub(crate) is_registry_known: Option<bool>,
}

impl ResolvedOrigin {
    pub(crate) fn known(version: VersionId, source: OriginSource) -> Self {
        Self {
            version: Some(version),
            source,
            asked: 0,
            replied: 0,
            is_registry_known: None,
        }
    }

    pub(crate) fn unknown() -> Self {
        Self {
            version: None,
            source: OriginSource::Unknown,
            asked: 0,
            replied: 0,
            is_registry_known: None,
        }
    }

    /// Returns the origin of a stream that no gateway has a record of, from the versions that gateways have seen.
    pub(crate) fn inferred(spans: &[VersionSpan]) -> Self {
        match sole_version(spans) {
            Some(version) => Self::known(version, OriginSource::SingleVersion),
            None => Self::unknown(),
        }
    }
}
