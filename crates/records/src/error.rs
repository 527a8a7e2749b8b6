//! Errors in documents and changes.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::RecordKey;

/// A field with a missing or invalid value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldFault {
    /// The path of the field.
    pub field: String,
    /// The actual value.
    pub value: String,
    /// A description of a valid value.
    pub wanted: String,
}

impl fmt::Display for FieldFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            value,
            wanted,
        } = self;
        write!(f, "`{field}` is {value}, but must be {wanted}")
    }
}

/// The reason that a document is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The text is neither JSON nor TOML.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// The line number, starting at 1.
        line: usize,
        /// The column number, starting at 1.
        column: usize,
        /// The message of the parser.
        message: String,
    },
    /// The document exceeds the maximum size.
    #[error("the record has {size} bytes, but may have at most {limit}")]
    TooLong {
        /// The size of the document in bytes.
        size: usize,
        /// The maximum size in bytes.
        limit: usize,
    },
    /// One or more fields are invalid; all of them are listed.
    #[error("{}", join(.0))]
    Fields(Vec<FieldFault>),
}

/// The reason that a change is refused before it is written.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{key}: {fault}")]
pub struct CheckError {
    /// The key of the record to change.
    pub key: RecordKey,
    /// The field that is invalid.
    pub fault: FieldFault,
}

impl RecordError {
    /// Returns the error for one invalid field.
    pub(crate) fn field(field: &str, value: impl Into<String>, wanted: impl Into<String>) -> Self {
        Self::Fields(vec![FieldFault {
            field: field.to_owned(),
            value: value.into(),
            wanted: wanted.into(),
        }])
    }
}

fn join(faults: &[FieldFault]) -> String {
    let lines: Vec<_> = faults.iter().map(FieldFault::to_string).collect();
    lines.join("; ")
}
