//! Building the set in force from the documents in force.

use oleander_base::StopId;
use oleander_base::prelude::*;

use crate::data::RecordSet;
use crate::document::RecordBody;
use crate::key::{RecordKey, RecordKind};
use crate::key_index::KeyIndex;

/// A document that parses but cannot be in force, or that names a record that is not there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SetFault {
    pub(crate) key: RecordKey,
    pub(crate) problem: String,
    /// Whether the record is in force all the same.
    pub(crate) is_in_force: bool,
}

/// Builds the set; bodies come in the order of their keys.
///
/// Of two names with the same reference the first one is in force, so that every process takes
/// the same one.
pub(crate) fn build_set<'a>(
    revision: Revision,
    bodies: impl Iterator<Item = (&'a RecordKey, &'a RecordBody)>,
) -> (RecordSet, Vec<SetFault>) {
    let mut set = RecordSet {
        revision,
        ..RecordSet::default()
    };
    let mut faults = Vec::new();
    for (key, body) in bodies {
        if let Some(holder) = insert_unique(&mut set, body) {
            faults.push(SetFault {
                key: key.clone(),
                problem: format!("its reference is that of `{holder}`; it needs another name"),
                is_in_force: false,
            });
        }
    }
    set.key_index = KeyIndex::build(&set.customers);
    find_dangling_references(&set, &mut faults);
    (set, faults)
}

/// Adds a record, or returns the name that holds its reference.
fn insert_unique(set: &mut RecordSet, body: &RecordBody) -> Option<String> {
    match body {
        RecordBody::Customer(record) => {
            let id = CustomerId::from_name(&record.name);
            if let Some(holder) = set.customers.get(&id) {
                return Some(holder.name.clone());
            }
            set.customers.insert(id, record.clone());
        }
        RecordBody::Class(record) => {
            let id = ClassId::from_name(&record.name);
            if let Some(holder) = set.classes.get(&id) {
                return Some(holder.name.clone());
            }
            set.classes.insert(id, record.clone());
        }
        RecordBody::Priority(record) => {
            set.priorities.insert(record.name.clone(), record.clone());
        }
        RecordBody::Backend(record) => {
            let id = BackendId::from_name(&record.name);
            if let Some(holder) = set.backends.get(&id) {
                return Some(holder.name.clone());
            }
            set.backends.insert(id, record.clone());
        }
        RecordBody::Stop(record) => {
            let id = StopId::from_name(&record.name);
            if let Some(holder) = set.stops.get(&id) {
                return Some(holder.name.clone());
            }
            set.stops.insert(id, record.clone());
        }
    }
    None
}

/// Lists references whose record is not in force, as a race of two operators can leave them.
fn find_dangling_references(set: &RecordSet, faults: &mut Vec<SetFault>) {
    let has_class = |name: &str| set.classes.contains_key(&ClassId::from_name(name));
    for customer in set.customers.values() {
        if !has_class(&customer.default_class) {
            faults.push(dangling_reference(
                RecordKind::Customer,
                &customer.name,
                format!("there is no class `{}`", customer.default_class),
            ));
        }
    }
    for priority in set.priorities.values() {
        if !has_class(&priority.class) {
            faults.push(dangling_reference(
                RecordKind::Priority,
                &priority.name,
                format!("there is no class `{}`", priority.class),
            ));
        }
    }
}

fn dangling_reference(kind: RecordKind, name: &str, problem: String) -> SetFault {
    let key = RecordKey {
        kind,
        name: name.to_owned(),
    };
    SetFault {
        key,
        problem,
        is_in_force: true,
    }
}
