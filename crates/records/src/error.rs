//! What can be wrong with a document.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::RecordKey;

/// A field that is not as it should be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldFault {
    /// The path of the field.
    pub field: String,
    /// The value found.
    pub value: String,
    /// What would be right.
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

/// Why a document cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The text is neither JSON nor TOML.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
        /// What the parser says.
        message: String,
    },
    /// The document is too long.
    #[error("the record has {size} bytes, but may have at most {limit}")]
    TooLong {
        /// Its size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// Fields are not as they should be; all of them are listed.
    #[error("{}", join(.0))]
    Fields(Vec<FieldFault>),
}

/// Why a change is refused before it is written.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{key}: {fault}")]
pub struct CheckError {
    /// The record that would be changed.
    pub key: RecordKey,
    /// What is wrong.
    pub fault: FieldFault,
}

impl RecordError {
    /// Returns the error of one field.
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
