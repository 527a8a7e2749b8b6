//! Builds the set of records from the documents in force.

use oleander_base::StopId;
use oleander_base::prelude::*;

use crate::data::RecordSet;
use crate::document::RecordBody;
use crate::key::{RecordKey, RecordKind};
use crate::key_index::KeyIndex;

/// A valid document that cannot be in force, or that refers to a missing record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SetFault {
    pub(crate) key: RecordKey,
    pub(crate) problem: String,
    /// Whether the record is in force despite the problem.
    pub(crate) is_in_force: bool,
}

/// Builds the set from record bodies in the order of their keys.
///
/// If the hashes of two names are equal, the first record is in force, so that every process
/// chooses the same one.
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

/// Adds a record, or returns the name of the record that already has the same hash.
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

/// Adds a fault for each reference to a missing class, which concurrent changes can leave behind.
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
