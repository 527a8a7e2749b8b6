//! The kinds of records and the keys that they are stored under.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The common prefix of the keys of all records.
pub const RECORD_PREFIX: &str = "records/";

/// The maximum length of a record's name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A kind of record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordKind {
    /// A customer.
    Customer,
    /// A request class.
    Class,
    /// A priority.
    Priority,
    /// A backend server.
    Backend,
    /// A planned stop.
    Stop,
}

impl RecordKind {
    /// All kinds of records.
    pub const ALL: [Self; 5] = [
        Self::Customer,
        Self::Class,
        Self::Priority,
        Self::Backend,
        Self::Stop,
    ];

    /// Returns the name of the kind in keys and commands.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Class => "class",
            Self::Priority => "priority",
            Self::Backend => "backend",
            Self::Stop => "stop",
        }
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The key of one record: `records/<kind>/<name>`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordKey {
    /// The kind of the record.
    pub kind: RecordKind,
    /// The name of the record.
    pub name: String,
}

/// The error for a kind or key that does not parse.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseKeyError {
    /// The kind does not exist.
    #[error("`{0}` is no kind of record; use customer, class, priority, backend or stop")]
    Kind(String),
    /// The name is not valid in a key.
    #[error("`{0}` is no name; use 1 to 64 letters, digits, `.`, `_` or `-`")]
    Name(String),
    /// The key does not have the form of a record's key.
    #[error("`{0}` is not of the form records/KIND/NAME")]
    Form(String),
}

impl RecordKey {
    /// Returns the key of a record, or an error if the name is not valid.
    pub fn new(kind: RecordKind, name: &str) -> Result<Self, ParseKeyError> {
        if !is_name(name) {
            return Err(ParseKeyError::Name(name.to_owned()));
        }
        Ok(Self {
            kind,
            name: name.to_owned(),
        })
    }
}

/// Returns whether a text is a valid record name.
pub fn is_name(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_plain)
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{RECORD_PREFIX}{}/{}", self.kind, self.name)
    }
}

impl FromStr for RecordKind {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| ParseKeyError::Kind(text.to_owned()))
    }
}

impl FromStr for RecordKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text
            .strip_prefix(RECORD_PREFIX)
            .and_then(|rest| rest.split_once('/'));
        let Some((kind, name)) = parts else {
            return Err(ParseKeyError::Form(text.to_owned()));
        };
        Self::new(kind.parse()?, name)
    }
}
