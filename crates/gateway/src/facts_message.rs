//! The message in which a gateway passes facts from the key-value store on to another one.
//!
//! It is JSON, with each value as the store holds it. A manifest may be by far the largest value and goes
//! to every gateway, over links that may be slow, so it travels compressed if the other gateway can
//! read that (docs/PLATFORM.md, "Between gateways").

use std::cell::OnceCell;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use bytes::Bytes;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::http::MAX_CONTROL_BYTES;
use crate::platform_view::{KnownFact, RemovalMode};
use crate::port::{StoreItem, StoreSubject};
use crate::prelude::*;

/// The level of compression: a gateway may have a tenth of a core, and higher levels cost more time than
/// they save bytes.
const DEFLATE_LEVEL: u8 = 1;

/// The facts of one gateway, as its answer carries them.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct FactsMessage {
    /// The era of the store in which the facts are complete; older gateways name none.
    #[serde(default)]
    pub(crate) era: StoreEra,
    /// The revision up to which the facts are complete.
    pub(crate) at: u64,
    /// The time since the gateway's last contact with the store, in milliseconds.
    pub(crate) contact_age_ms: u64,
    /// The time since the store held nothing that the gateway does not have, in milliseconds; older gateways name none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) complete_age_ms: Option<u64>,
    pub(crate) facts: Vec<FactRow>,
    /// The record of software versions, if it is newer. It is no row of `facts`, because older gateways can read no
    /// message with a row of a subject that they do not know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) versions: Option<VersionsRow>,
}

/// The record of software versions in a [`FactsMessage`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct VersionsRow {
    era: StoreEra,
    revision: u64,
    /// The value as the store holds it; absent if the record was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

/// One fact of a [`FactsMessage`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct FactRow {
    subject: FactSubject,
    #[serde(default)]
    era: StoreEra,
    revision: u64,
    /// The value as the store holds it; absent for a tombstone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    /// The value, deflated and in base64, in place of `value`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    packed: Option<Arc<str>>,
    /// Whether a tombstone may stand for an entry that expired only because the store was
    /// unreachable.
    #[serde(default, skip_serializing_if = "is_false")]
    may_have_lapsed: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde asks for a reference"
)]
fn is_false(value: &bool) -> bool {
    !*value
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum FactSubject {
    Manifest,
    Backend(Arc<str>),
    Gateway(Arc<str>),
}

/// Why a packed value cannot be read.
#[derive(Debug, Error)]
pub(crate) enum UnpackError {
    #[error("packed value: {0}")]
    Text(#[from] base64::DecodeError),
    #[error("packed value: {0}")]
    Deflate(String),
}

/// A value with its packed form, which is made once however many gateways ask for it.
#[derive(Debug)]
pub(crate) struct PackedValue {
    pub(crate) value: Bytes,
    packed: OnceCell<Arc<str>>,
}

impl PackedValue {
    /// Stores a value, with its packed form if that is known.
    pub(crate) fn new(value: Bytes, packed: Option<Arc<str>>) -> Self {
        let packed = packed.map_or_else(OnceCell::new, OnceCell::from);
        Self { value, packed }
    }

    /// Returns the packed form.
    pub(crate) fn packed(&self) -> Arc<str> {
        let pack =
            || Arc::from(STANDARD_NO_PAD.encode(compress_to_vec(&self.value, DEFLATE_LEVEL)));
        Arc::clone(self.packed.get_or_init(pack))
    }
}

fn unpack(text: &str) -> Result<Bytes, UnpackError> {
    let deflated = STANDARD_NO_PAD.decode(text)?;
    let value = decompress_to_vec_with_limit(&deflated, MAX_CONTROL_BYTES)
        .map_err(|error| UnpackError::Deflate(error.to_string()))?;
    Ok(Bytes::from(value))
}

impl FactRow {
    /// Converts a fact to its row. A value that is not UTF-8 cannot be decoded by any gateway and is
    /// left out.
    pub(crate) fn of(fact: KnownFact) -> Option<Self> {
        let item = fact.item;
        let subject = match item.subject {
            StoreSubject::Manifest => FactSubject::Manifest,
            StoreSubject::Backend(id) => FactSubject::Backend(id),
            StoreSubject::Gateway(name) => FactSubject::Gateway(name),
            StoreSubject::Versions | StoreSubject::Other => return None,
        };
        let value = match item.value.filter(|_| fact.packed.is_none()) {
            None => None,
            Some(bytes) => Some(String::from_utf8(bytes.to_vec()).ok()?),
        };
        Some(Self {
            subject,
            era: fact.era,
            revision: item.revision.0,
            value,
            packed: fact.packed,
            may_have_lapsed: fact.mode == RemovalMode::MayHaveLapsed,
        })
    }

    /// Converts a row to its fact.
    pub(crate) fn into_fact(self) -> Result<KnownFact, UnpackError> {
        let subject = match self.subject {
            FactSubject::Manifest => StoreSubject::Manifest,
            FactSubject::Backend(id) => StoreSubject::Backend(id),
            FactSubject::Gateway(name) => StoreSubject::Gateway(name),
        };
        let value = match &self.packed {
            Some(packed) => Some(unpack(packed)?),
            None => self.value.map(Bytes::from),
        };
        Ok(KnownFact {
            item: StoreItem {
                subject,
                revision: Revision(self.revision),
                value,
            },
            era: self.era,
            packed: self.packed,
            mode: if self.may_have_lapsed {
                RemovalMode::MayHaveLapsed
            } else {
                RemovalMode::Gone
            },
        })
    }
}

impl VersionsRow {
    /// Converts a fact to its row, if it is the one about the record. A value that is not UTF-8 cannot be decoded by
    /// any gateway and is left out.
    pub(crate) fn of(fact: &KnownFact) -> Option<Self> {
        if fact.item.subject != StoreSubject::Versions {
            return None;
        }
        let value = match &fact.item.value {
            None => None,
            Some(bytes) => Some(String::from_utf8(bytes.to_vec()).ok()?),
        };
        Some(Self {
            era: fact.era,
            revision: fact.item.revision.0,
            value,
        })
    }

    /// Converts a row to its fact.
    pub(crate) fn into_fact(self) -> KnownFact {
        KnownFact {
            item: StoreItem {
                subject: StoreSubject::Versions,
                revision: Revision(self.revision),
                value: self.value.map(Bytes::from),
            },
            era: self.era,
            packed: None,
            mode: RemovalMode::Gone,
        }
    }
}
