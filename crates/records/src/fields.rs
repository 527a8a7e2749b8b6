//! Validation of a document's fields against its schema.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use crate::error::FieldFault;
use crate::key::is_name;
use crate::schema::{FieldForm, FieldNeed, FieldSchema};

/// The maximum number of bytes of a value that an error message shows.
const MAX_SHOWN_BYTES: usize = 60;

/// Adds a fault for each field that is missing or has a value that the schema does not allow.
pub(crate) fn check_fields(
    fields: &[FieldSchema],
    values: &Map<String, Value>,
    path: &str,
    faults: &mut Vec<FieldFault>,
) {
    for field in fields {
        let field_path = format!("{path}{}", field.name);
        match values.get(field.name) {
            None | Some(Value::Null) => {
                if field.need == FieldNeed::Required {
                    faults.push(missing_field(&field_path, field));
                }
            }
            Some(value) => check_value(&field.form, value, &field_path, faults),
        }
    }
}

/// Inserts the default values of missing fields.
pub(crate) fn fill_defaults(fields: &[FieldSchema], values: &mut Map<String, Value>) {
    for field in fields {
        let is_missing = values.get(field.name).is_none_or(Value::is_null);
        if is_missing {
            if let FieldNeed::Default(text) = field.need {
                let value = serde_json::from_str(text).expect("a default is valid JSON");
                values.insert(field.name.to_owned(), value);
            }
            continue;
        }
        match (&field.form, values.get_mut(field.name)) {
            (FieldForm::Group(inner), Some(Value::Object(group))) => fill_defaults(inner, group),
            (FieldForm::GroupList(inner), Some(Value::Array(groups))) => {
                let groups = groups.iter_mut().filter_map(Value::as_object_mut);
                groups.for_each(|group| fill_defaults(inner, group));
            }
            _ => {}
        }
    }
}

/// Returns the paths of the fields that the schema does not define.
pub(crate) fn unknown_fields(
    fields: &[FieldSchema],
    values: &Map<String, Value>,
    path: &str,
) -> Vec<String> {
    let mut unknown = Vec::new();
    for (name, value) in values {
        let field_path = format!("{path}{name}");
        let Some(field) = fields.iter().find(|field| field.name == name) else {
            unknown.push(field_path);
            continue;
        };
        match (&field.form, value) {
            (FieldForm::Group(inner), Value::Object(group)) => {
                unknown.extend(unknown_fields(inner, group, &format!("{field_path}.")));
            }
            (FieldForm::GroupList(inner), Value::Array(groups)) => {
                let groups = groups.iter().filter_map(Value::as_object);
                for (index, group) in groups.enumerate() {
                    unknown.extend(unknown_fields(
                        inner,
                        group,
                        &format!("{field_path}[{index}]."),
                    ));
                }
            }
            _ => {}
        }
    }
    unknown
}

fn missing_field(field_path: &str, field: &FieldSchema) -> FieldFault {
    FieldFault {
        field: field_path.to_owned(),
        value: "nothing".to_owned(),
        wanted: field.form.to_string(),
    }
}

fn check_value(form: &FieldForm, value: &Value, field_path: &str, faults: &mut Vec<FieldFault>) {
    match (form, value) {
        (FieldForm::Group(inner), Value::Object(group)) => {
            check_fields(inner, group, &format!("{field_path}."), faults);
        }
        (FieldForm::GroupList(inner), Value::Array(groups)) => {
            for (index, group) in groups.iter().enumerate() {
                let field_path = format!("{field_path}[{index}]");
                check_value(&FieldForm::Group(inner), group, &field_path, faults);
            }
        }
        _ if matches_form(form, value) => {}
        _ => faults.push(FieldFault {
            field: field_path.to_owned(),
            value: display_value(value),
            wanted: form.to_string(),
        }),
    }
}

fn matches_form(form: &FieldForm, value: &Value) -> bool {
    match form {
        FieldForm::Text => value.as_str().is_some_and(|text| !text.is_empty()),
        FieldForm::Name => value.as_str().is_some_and(is_name),
        FieldForm::NameList => is_list(value, is_name),
        FieldForm::HashList => is_list(value, is_hash),
        FieldForm::Address => value
            .as_str()
            .is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
        FieldForm::Flag => value.is_boolean(),
        FieldForm::Number { low, high, above } => value
            .as_f64()
            .is_some_and(|number| (number > *low || !above && number == *low) && number <= *high),
        FieldForm::Whole { low, high } => value
            .as_u64()
            .is_some_and(|number| (*low..=*high).contains(&number)),
        FieldForm::Choice(words) => value.as_str().is_some_and(|text| words.contains(&text)),
        FieldForm::Group(_) | FieldForm::GroupList(_) => false,
    }
}

fn is_list(value: &Value, is_valid: fn(&str) -> bool) -> bool {
    let is_valid = |entry: &Value| entry.as_str().is_some_and(is_valid);
    value
        .as_array()
        .is_some_and(|list| list.iter().all(is_valid))
}

fn is_hash(text: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 64 && text.bytes().all(is_digit)
}

/// Returns a value as text for an error message, truncated if it is long.
pub(crate) fn display_value(value: &Value) -> String {
    let mut text = value.to_string();
    if text.len() > MAX_SHOWN_BYTES {
        let cut = text.floor_char_boundary(MAX_SHOWN_BYTES);
        text.truncate(cut);
        text.push_str("...");
    }
    text
}
