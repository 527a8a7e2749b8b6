//! Types that describe the record schemas of every kind and version.
//!
//! The tables in `schema_table.rs` are the single definition of fields, units, defaults and ranges.
//! Parsing, validation and the descriptions for operators all use them.
//!
//! A new version only adds fields that are optional or have a default. A field whose meaning must
//! change gets a new name, and the old field stays until no program reads it. A program therefore
//! applies the fields that it knows of a newer document, and the defaults for the fields that an
//! older document lacks (docs/RECORDS.md).

use std::fmt;

use serde::Serialize;

use crate::key::RecordKind;
use crate::schema_table::SCHEMAS;

/// The base of a catalog's signature. It must be above the newest version of every kind.
const SIGNATURE_BASE: u32 = 32;

/// The type and range of a field's value.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FieldForm {
    /// A text that is not empty.
    Text,
    /// The name of a record, a data centre, a model or a version.
    Name,
    /// A list of names.
    NameList,
    /// A list of lower-case hexadecimal SHA-256 hashes.
    HashList,
    /// An IP address with a port.
    Address,
    /// A Boolean.
    Flag,
    /// A number in a range; the lower bound is exclusive if `above` is set.
    Number {
        /// The lower bound.
        low: f64,
        /// The upper bound.
        high: f64,
        /// Whether the lower bound is exclusive.
        above: bool,
    },
    /// An integer in a range.
    Whole {
        /// The smallest value.
        low: u64,
        /// The largest value.
        high: u64,
    },
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// A nested table.
    Group(&'static [FieldSchema]),
    /// A list of nested tables.
    GroupList(&'static [FieldSchema]),
}

/// Whether a field must be present.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FieldNeed {
    /// The field must be present.
    Required,
    /// The field may be absent, and its absence has a meaning of its own.
    Optional,
    /// The field may be absent and then has this default value, in JSON.
    Default(&'static str),
}

/// One field of a schema.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct FieldSchema {
    /// The name of the field.
    pub name: &'static str,
    /// The type and range of its value.
    pub form: FieldForm,
    /// The unit of its value, or an empty text.
    pub unit: &'static str,
    /// Whether it must be present.
    pub need: FieldNeed,
    /// The description for operators.
    pub doc: &'static str,
}

/// One version of one kind's schema.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RecordSchema {
    /// The kind of record.
    pub kind: RecordKind,
    /// The version of the schema.
    pub version: u32,
    /// The fields, apart from `schema` and `write_id`, which every record may have.
    pub fields: &'static [FieldSchema],
}

/// The newest schema version of each kind that a program knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchemaCatalog {
    newest: Vec<(RecordKind, u32)>,
}

impl SchemaCatalog {
    /// Returns the catalog of this program.
    pub fn current() -> Self {
        let newest = RecordKind::ALL
            .into_iter()
            .map(|kind| (kind, newest_version(kind)));
        Self {
            newest: newest.collect(),
        }
    }

    /// Limits the known versions of a kind, which simulates an older program.
    #[must_use]
    pub fn up_to(mut self, kind: RecordKind, version: u32) -> Self {
        for entry in &mut self.newest {
            if entry.0 == kind {
                entry.1 = version.clamp(1, newest_version(kind));
            }
        }
        self
    }

    /// Returns the newest known version of a kind.
    pub fn newest(&self, kind: RecordKind) -> u32 {
        self.newest
            .iter()
            .find(|entry| entry.0 == kind)
            .map_or(1, |entry| entry.1)
    }

    /// Returns a number that is equal for programs that know the same versions.
    pub fn signature(&self) -> u32 {
        let versions = self.newest.iter().map(|entry| entry.1);
        versions.fold(0, |sum, version| {
            sum.wrapping_mul(SIGNATURE_BASE).wrapping_add(version)
        })
    }

    /// Returns the schema for a document of this version, or the newest known one if it is newer.
    pub fn schema(&self, kind: RecordKind, version: u32) -> &'static RecordSchema {
        let version = version.clamp(1, self.newest(kind));
        SCHEMAS
            .iter()
            .find(|schema| schema.kind == kind && schema.version == version)
            .expect("every version up to the newest has a schema")
    }
}

/// Returns all schemas that this program knows.
pub fn schemas() -> &'static [RecordSchema] {
    SCHEMAS
}

fn newest_version(kind: RecordKind) -> u32 {
    let versions = SCHEMAS.iter().filter(|schema| schema.kind == kind);
    versions.map(|schema| schema.version).max().unwrap_or(1)
}

impl fmt::Display for FieldForm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text => f.write_str("a text"),
            Self::Name => f.write_str("a name of 1 to 64 letters, digits, `.`, `_` or `-`"),
            Self::NameList => f.write_str("a list of names"),
            Self::HashList => {
                f.write_str("a list of SHA-256 hashes as 64 lower-case hexadecimal digits")
            }
            Self::Address => f.write_str("an IP address with a port, such as 10.0.0.7:8000"),
            Self::Flag => f.write_str("true or false"),
            Self::Number { low, high, above } => {
                let from = if *above { "above" } else { "from" };
                write!(f, "a number {from} {low} up to {high}")
            }
            Self::Whole { low, high } => write!(f, "a whole number from {low} to {high}"),
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::Group(fields) => write!(f, "a table with {}", field_names(fields)),
            Self::GroupList(fields) => write!(f, "a list of tables with {}", field_names(fields)),
        }
    }
}

impl fmt::Display for RecordSchema {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} schema {}", self.kind, self.version)?;
        write_fields(f, self.fields, "  ")
    }
}

fn write_fields(f: &mut fmt::Formatter<'_>, fields: &[FieldSchema], indent: &str) -> fmt::Result {
    for field in fields {
        write!(f, "{indent}{}: {}", field.name, field.form)?;
        if !field.unit.is_empty() {
            write!(f, ", in {}", field.unit)?;
        }
        match field.need {
            FieldNeed::Required => f.write_str(", required")?,
            FieldNeed::Optional => f.write_str(", optional")?,
            FieldNeed::Default(value) => write!(f, ", default {value}")?,
        }
        writeln!(f, ". {}", field.doc)?;
        if let FieldForm::Group(inner) | FieldForm::GroupList(inner) = field.form {
            write_fields(f, inner, &format!("{indent}  "))?;
        }
    }
    Ok(())
}

fn field_names(fields: &[FieldSchema]) -> String {
    let names: Vec<_> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}
