//! What can crash a backend server: a whole request, or one part of its prompt.

use std::fmt;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{PartId, PromptPart};

/// The time from the first known crash on a part for which answers may still clear it.
const PART_OBSERVATION_TIME: Span = Span::from_secs(1);

/// A service, by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceId(pub u64);

impl ServiceId {
    /// Returns the id of the service with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// One suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SuspectId {
    /// A part of prompts at one service.
    Part {
        /// The service.
        service: ServiceId,
        /// The part.
        part: PartId,
    },
    /// A request, whichever service its route leads to.
    Request(RequestDigest),
}

impl SuspectId {
    /// Returns the parts of a prompt that other requests may share: all but the last one.
    pub fn shared(service: &str, parts: &[PromptPart]) -> Vec<Self> {
        let service = ServiceId::of(service);
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let id = |part: &PromptPart| Self::Part {
            service,
            part: part.id,
        };
        shared.iter().map(id).collect()
    }

    /// Returns the hash by which gateways rank themselves for this suspect.
    pub fn hash(self) -> u64 {
        match self {
            Self::Part { part, .. } => part.0,
            Self::Request(digest) => digest.0,
        }
    }

    /// Returns whether it is a whole request.
    pub fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }

    /// Returns how long after its first crash became known it may be quarantined at the earliest.
    pub(crate) fn observation_time(self) -> Span {
        match self {
            Self::Part { .. } => PART_OBSERVATION_TIME,
            Self::Request(_) => Span::ZERO,
        }
    }
}

impl fmt::Display for SuspectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part { part, .. } => write!(f, "{part}"),
            Self::Request(digest) => write!(f, "request {digest}"),
        }
    }
}

/// The suspects among which one is at fault if a request crashes its backend server.
#[derive(Debug)]
pub struct SuspectSet {
    /// The service that the request goes to.
    pub service: ServiceId,
    ids: Vec<SuspectId>,
}

impl SuspectSet {
    /// Returns the suspects of a request.
    pub fn of(service: &str, digest: RequestDigest, parts: &[PromptPart]) -> Self {
        let mut ids = SuspectId::shared(service, parts);
        ids.insert(0, SuspectId::Request(digest));
        Self {
            service: ServiceId::of(service),
            ids,
        }
    }

    /// Returns all suspects.
    pub fn all(&self) -> &[SuspectId] {
        &self.ids
    }

    /// Returns the request itself, which stays a suspect until its answer is complete.
    pub fn request(&self) -> &[SuspectId] {
        &self.ids[..1]
    }

    /// Returns the parts of its prompt, which are cleared as soon as an answer on them begins.
    pub fn parts(&self) -> &[SuspectId] {
        &self.ids[1..]
    }
}
