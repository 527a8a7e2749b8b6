//! The shape of record schemas: what each version of each kind may hold.
//!
//! The tables in `schema_table.rs` are the one place that states fields, units, defaults and
//! ranges; reading a document, checking it and describing it to operators all use them.
//!
//! A new version only adds fields that have a default. A field whose meaning must change gets a
//! new name, and the old one stays until no program reads it. So a program honours the fields it
//! knows of a newer document, and fills in the defaults of what an older document lacks
//! (docs/RECORDS.md).

use std::fmt;

use serde::Serialize;

use crate::key::RecordKind;
use crate::schema_table::SCHEMAS;

/// The base of a catalog's signature; no kind gets as many versions.
const SIGNATURE_BASE: u32 = 32;

/// The form of one field's value.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FieldForm {
    /// Any text that is not empty.
    Text,
    /// The name of a record, a data centre, a model or a version.
    Name,
    /// A list of names.
    NameList,
    /// A list of lower-case hexadecimal SHA-256 hashes.
    HashList,
    /// An IP address with a port.
    Address,
    /// True or false.
    Flag,
    /// A number in a range; the lower bound itself is excluded if `above` is set.
    Number {
        /// The lower bound.
        low: f64,
        /// The upper bound.
        high: f64,
        /// Whether the value must be above the lower bound.
        above: bool,
    },
    /// A whole number in a range.
    Whole {
        /// The smallest value.
        low: u64,
        /// The largest value.
        high: u64,
    },
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// A table with fields of its own.
    Group(&'static [FieldSchema]),
    /// A list of tables.
    GroupList(&'static [FieldSchema]),
}

/// Whether a field must be there.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FieldNeed {
    /// The field must be there.
    Required,
    /// The field may be left out, which is a meaning of its own.
    Optional,
    /// The field may be left out and then has this value, in JSON.
    Default(&'static str),
}

/// One field of a schema.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct FieldSchema {
    /// The name.
    pub name: &'static str,
    /// The form of its value.
    pub form: FieldForm,
    /// The unit of its value, or nothing.
    pub unit: &'static str,
    /// Whether it must be there.
    pub need: FieldNeed,
    /// What it means.
    pub doc: &'static str,
}

/// One version of one kind's schema.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RecordSchema {
    /// The kind.
    pub kind: RecordKind,
    /// The version.
    pub version: u32,
    /// The fields, beside `schema` and `write_id`, which every record may have.
    pub fields: &'static [FieldSchema],
}

/// Which schema versions a program knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchemaCatalog {
    newest: Vec<(RecordKind, u32)>,
}

impl SchemaCatalog {
    /// Returns the versions that this program knows.
    pub fn current() -> Self {
        let newest = RecordKind::ALL
            .into_iter()
            .map(|kind| (kind, newest_version(kind)));
        Self {
            newest: newest.collect(),
        }
    }

    /// Returns a catalog that knows a kind only up to a version, as an older program does.
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

    /// Returns a number that is the same for programs that know the same versions.
    pub fn signature(&self) -> u32 {
        let versions = self.newest.iter().map(|entry| entry.1);
        versions.fold(0, |sum, version| {
            sum.wrapping_mul(SIGNATURE_BASE).wrapping_add(version)
        })
    }

    /// Returns the schema to read a document of this version with.
    pub fn schema(&self, kind: RecordKind, version: u32) -> &'static RecordSchema {
        let version = version.clamp(1, self.newest(kind));
        SCHEMAS
            .iter()
            .find(|schema| schema.kind == kind && schema.version == version)
            .expect("every version up to the newest has a table")
    }
}

/// Returns every schema that this program knows, for operators.
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
