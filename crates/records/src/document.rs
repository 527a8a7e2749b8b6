//! Parsing and writing of record documents.
//!
//! A document keeps every field that it was parsed with, including those that this program does
//! not know, so that an edit by an older program preserves them. Operators write documents in JSON
//! or TOML; they are stored as JSON.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::data::{BackendRecord, ClassRecord, CustomerRecord, PriorityRecord, StopRecord};
use crate::error::{FieldFault, RecordError};
use crate::fields::{check_fields, display_value, fill_defaults, unknown_fields};
use crate::key::{RecordKey, RecordKind};
use crate::schema::{FieldSchema, SchemaCatalog};

/// The maximum size of a document in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024;

/// The field that holds the schema version.
const SCHEMA_FIELD: &str = "schema";
/// The field that holds a random identifier by which a writer recognises its own write.
const WRITE_ID_FIELD: &str = "write_id";
/// The panic message for a failed conversion to JSON, which cannot happen.
const JSON_IS_INFALLIBLE: &str = "a map of plain values converts to JSON";

/// The contents of a document, by kind of record.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordBody {
    /// A customer.
    Customer(CustomerRecord),
    /// A request class.
    Class(ClassRecord),
    /// A priority.
    Priority(PriorityRecord),
    /// A backend server.
    Backend(BackendRecord),
    /// A planned stop.
    Stop(StopRecord),
}

/// A document that was parsed and validated against its schema.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordDocument {
    /// The key that it is stored under.
    pub key: RecordKey,
    /// The schema version in its `schema` field.
    pub version: u32,
    /// Its contents, limited to the fields that this program knows.
    pub body: RecordBody,
    fields: Map<String, Value>,
}

/// Parses a document in JSON or TOML with the newest schemas of this program.
pub fn parse_document(kind: RecordKind, text: &[u8]) -> Result<RecordDocument, RecordError> {
    parse_with(&SchemaCatalog::current(), kind, text)
}

/// Parses a document in JSON or TOML with the schemas of a catalog.
pub fn parse_with(
    catalog: &SchemaCatalog,
    kind: RecordKind,
    text: &[u8],
) -> Result<RecordDocument, RecordError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(RecordError::TooLong {
            size: text.len(),
            limit: MAX_DOCUMENT_BYTES,
        });
    }
    RecordDocument::from_fields(catalog, kind, parse_text(text)?)
}

impl RecordDocument {
    /// Validates the fields and returns the document that they form.
    pub fn from_fields(
        catalog: &SchemaCatalog,
        kind: RecordKind,
        fields: Map<String, Value>,
    ) -> Result<Self, RecordError> {
        let version = read_version(catalog, kind, &fields)?;
        let schema = catalog.schema(kind, version);
        let mut faults = Vec::new();
        check_fields(schema.fields, &fields, "", &mut faults);
        if !faults.is_empty() {
            return Err(RecordError::Fields(faults));
        }
        let mut filled = fields.clone();
        drop_unknown(schema.fields, &mut filled);
        fill_defaults(catalog.schema(kind, u32::MAX).fields, &mut filled);
        let body = read_body(kind, Value::Object(filled))?;
        let key = RecordKey {
            kind,
            name: body.name().to_owned(),
        };
        Ok(Self {
            key,
            version,
            body,
            fields,
        })
    }

    /// Returns the original fields, including unknown ones.
    pub fn fields(&self) -> &Map<String, Value> {
        &self.fields
    }

    /// Returns the identifier of the write that produced this document.
    pub fn write_id(&self) -> Option<&str> {
        self.fields.get(WRITE_ID_FIELD).and_then(Value::as_str)
    }

    /// Sets the identifier of the write.
    #[must_use]
    pub fn with_write_id(mut self, write_id: &str) -> Self {
        self.fields
            .insert(WRITE_ID_FIELD.to_owned(), write_id.into());
        self
    }

    /// Returns the document with some fields replaced; a null value removes its field.
    ///
    /// All other fields are kept.
    pub fn edited(
        &self,
        catalog: &SchemaCatalog,
        changes: &Map<String, Value>,
    ) -> Result<Self, RecordError> {
        let mut fields = self.fields.clone();
        for (name, value) in changes {
            if value.is_null() {
                fields.remove(name);
            } else {
                fields.insert(name.clone(), value.clone());
            }
        }
        Self::from_fields(catalog, self.key.kind, fields)
    }

    /// Returns the fields that the document's schema version does not define.
    ///
    /// The list is empty if the version is newer than those that the catalog knows.
    pub fn unknown_fields(&self, catalog: &SchemaCatalog) -> Vec<String> {
        if self.version > catalog.newest(self.key.kind) {
            return Vec::new();
        }
        let schema = catalog.schema(self.key.kind, self.version);
        let mut unknown = unknown_fields(schema.fields, &self.fields, "");
        unknown.retain(|name| name != SCHEMA_FIELD && name != WRITE_ID_FIELD);
        unknown
    }

    /// Returns the JSON form, in which documents are stored.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&self.fields).expect(JSON_IS_INFALLIBLE)
    }

    /// Returns the TOML form, for operators.
    pub fn to_toml(&self) -> String {
        let mut fields = self.fields.clone();
        remove_nulls(&mut fields);
        toml::to_string_pretty(&fields).expect("a map without nulls converts to TOML")
    }
}

impl RecordBody {
    /// Returns the `name` field of the record.
    pub fn name(&self) -> &str {
        match self {
            Self::Customer(record) => &record.name,
            Self::Class(record) => &record.name,
            Self::Priority(record) => &record.name,
            Self::Backend(record) => &record.name,
            Self::Stop(record) => &record.name,
        }
    }
}

fn read_version(
    catalog: &SchemaCatalog,
    kind: RecordKind,
    fields: &Map<String, Value>,
) -> Result<u32, RecordError> {
    let newest = catalog.newest(kind);
    let wanted = format!("the version of the {kind} schema, such as {newest}");
    let Some(value) = fields.get(SCHEMA_FIELD) else {
        return Err(RecordError::field(SCHEMA_FIELD, "nothing", wanted));
    };
    let version = value.as_u64().and_then(|number| u32::try_from(number).ok());
    match version {
        Some(version) if version > 0 => Ok(version),
        _ => Err(RecordError::field(
            SCHEMA_FIELD,
            display_value(value),
            wanted,
        )),
    }
}

/// Removes the top-level fields that the document's schema version does not define.
///
/// Otherwise a stray field of a later version would take effect in an older document.
fn drop_unknown(fields: &[FieldSchema], values: &mut Map<String, Value>) {
    values.retain(|name, _| fields.iter().any(|field| field.name == name));
}

fn read_body(kind: RecordKind, fields: Value) -> Result<RecordBody, RecordError> {
    Ok(match kind {
        RecordKind::Customer => RecordBody::Customer(read_fields(fields)?),
        RecordKind::Class => RecordBody::Class(read_fields(fields)?),
        RecordKind::Priority => RecordBody::Priority(read_fields(fields)?),
        RecordKind::Backend => RecordBody::Backend(read_fields(fields)?),
        RecordKind::Stop => RecordBody::Stop(read_fields(fields)?),
    })
}

fn read_fields<T: DeserializeOwned>(fields: Value) -> Result<T, RecordError> {
    serde_json::from_value(fields).map_err(|error| {
        RecordError::Fields(vec![FieldFault {
            field: "record".to_owned(),
            value: "not readable".to_owned(),
            wanted: error.to_string(),
        }])
    })
}

fn parse_text(text: &[u8]) -> Result<Map<String, Value>, RecordError> {
    let is_json = text.trim_ascii_start().first() == Some(&b'{');
    if is_json {
        return serde_json::from_slice(text).map_err(|error| RecordError::Syntax {
            line: error.line(),
            column: error.column(),
            message: error.to_string(),
        });
    }
    let text = std::str::from_utf8(text).map_err(|error| RecordError::Syntax {
        line: 1,
        column: error.valid_up_to() + 1,
        message: "the text is not UTF-8".to_owned(),
    })?;
    toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        let (line, column) = line_and_column(text, offset);
        RecordError::Syntax {
            line,
            column,
            message: error.message().to_owned(),
        }
    })
}

fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..text.floor_char_boundary(offset)];
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |index| index + 1);
    (line, before[start..].chars().count() + 1)
}

fn remove_nulls(fields: &mut Map<String, Value>) {
    fields.retain(|_, value| !value.is_null());
    for value in fields.values_mut() {
        match value {
            Value::Object(group) => remove_nulls(group),
            Value::Array(list) => {
                list.retain(|value| !value.is_null());
                list.iter_mut()
                    .filter_map(Value::as_object_mut)
                    .for_each(remove_nulls);
            }
            _ => {}
        }
    }
}
