//! Validation of a change against the records in force, before it is written.
//!
//! A document by itself is validated when it is parsed. The checks here involve other records:
//! references, names with equal 32-bit hashes, API keys and addresses in use, and the sum of the
//! minimum shares. Two concurrent changes can still leave a reference to a missing record; the
//! readers of the records tolerate that, and the replica lists it as a fault.

use std::fmt::Display;

use oleander_base::StopId;
use oleander_base::prelude::*;

use crate::data::{
    BackendKind, BackendRecord, ClassRecord, CustomerRecord, PriorityRecord, RecordSet, StopRecord,
    StopTarget,
};
use crate::document::{RecordBody, RecordDocument};
use crate::error::{CheckError, FieldFault};
use crate::key::{RecordKey, RecordKind};

/// The largest sum of the minimum shares of all classes; the remaining slots are granted by tier.
pub const MAX_MINIMUM_SHARE_SUM: f64 = 0.5;

/// A change of one record that an operator requests.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordChange {
    /// Writes a record.
    Put(Box<RecordDocument>),
    /// Deletes a record.
    Delete(RecordKey),
}

impl RecordChange {
    /// Returns the key of the record.
    pub fn key(&self) -> &RecordKey {
        match self {
            Self::Put(document) => &document.key,
            Self::Delete(key) => key,
        }
    }
}

/// Checks a change against the records in force and returns all errors.
pub fn check(set: &RecordSet, change: &RecordChange) -> Result<(), Vec<CheckError>> {
    let mut checker = ChangeChecker {
        set,
        key: change.key(),
        faults: Vec::new(),
    };
    match change {
        RecordChange::Put(document) => checker.check_body(&document.body),
        RecordChange::Delete(key) => checker.check_delete(key),
    }
    if checker.faults.is_empty() {
        return Ok(());
    }
    Err(checker.faults)
}

struct ChangeChecker<'a> {
    set: &'a RecordSet,
    key: &'a RecordKey,
    faults: Vec<CheckError>,
}

impl ChangeChecker<'_> {
    fn check_body(&mut self, body: &RecordBody) {
        match body {
            RecordBody::Customer(record) => self.check_customer(record),
            RecordBody::Class(record) => self.check_class(record),
            RecordBody::Priority(record) => self.check_priority(record),
            RecordBody::Backend(record) => self.check_backend(record),
            RecordBody::Stop(record) => self.check_stop(record),
        }
    }

    fn check_customer(&mut self, record: &CustomerRecord) {
        let id = CustomerId::from_name(&record.name);
        let found = self.set.customers.get(&id).map(|found| &found.name);
        self.check_reference(&record.name, found);
        self.check_class_name("default_class", &record.default_class);
        for hash in &record.key_hashes {
            let holder = self
                .set
                .customers
                .values()
                .find(|other| other.name != record.name && other.key_hashes.contains(hash));
            if let Some(holder) = holder {
                let wanted = format!("a key that customer {} does not have", holder.name);
                self.fault("key_hashes", hash, wanted);
            }
        }
    }

    fn check_class(&mut self, record: &ClassRecord) {
        let id = ClassId::from_name(&record.name);
        let found = self.set.classes.get(&id).map(|found| &found.name);
        self.check_reference(&record.name, found);
        if record.patience_ms < record.first_token_target_ms {
            let wanted = format!("at least the target of {} ms", record.first_token_target_ms);
            self.fault("patience_ms", &record.patience_ms, wanted);
        }
        let others = self.set.classes.values();
        let others = others.filter(|other| other.name != record.name);
        let taken: f64 = others.map(|other| other.minimum_share).sum();
        if taken + record.minimum_share > MAX_MINIMUM_SHARE_SUM + 1e-9 {
            let left = (MAX_MINIMUM_SHARE_SUM - taken).max(0.0);
            let wanted = format!(
                "at most {left:.3}, as all classes together may have {MAX_MINIMUM_SHARE_SUM}"
            );
            self.fault("minimum_share", &record.minimum_share, wanted);
        }
    }

    fn check_priority(&mut self, record: &PriorityRecord) {
        self.check_class_name("class", &record.class);
        if let Some(name) = &record.customer
            && !self
                .set
                .customers
                .contains_key(&CustomerId::from_name(name))
        {
            self.fault("customer", name, "the name of a customer record");
        }
        let duplicate = self.set.priorities.values().find(|other| {
            other.name != record.name
                && other.customer == record.customer
                && other.class == record.class
        });
        if let Some(duplicate) = duplicate {
            let wanted = format!(
                "another class or customer, as priority {} has these",
                duplicate.name
            );
            self.fault("class", &record.class, wanted);
        }
    }

    fn check_backend(&mut self, record: &BackendRecord) {
        let id = BackendId::from_name(&record.name);
        let found = self.set.backends.get(&id).map(|found| &found.name);
        self.check_reference(&record.name, found);
        let duplicate = self
            .set
            .backends
            .values()
            .find(|other| other.name != record.name && other.address == record.address);
        if let Some(duplicate) = duplicate {
            let wanted = format!("an address that backend {} does not have", duplicate.name);
            self.fault("address", &record.address, wanted);
        }
        match record.kind {
            BackendKind::Engine => self.check_engine(record),
            BackendKind::Service => self.check_service(record),
        }
        for name in &record.serves {
            self.check_model_name(name);
        }
    }

    fn check_engine(&mut self, record: &BackendRecord) {
        if record.serves.is_empty() {
            self.fault("serves", "[]", "at least one model name");
        }
        if !record.routes.is_empty() {
            let count = record.routes.len();
            self.fault(
                "routes",
                &count,
                "no routes, which only a plain service has",
            );
        }
        if let Some(wanted) = &record.wanted
            && !record.serves.contains(&wanted.model)
        {
            self.fault(
                "wanted.model",
                &wanted.model,
                "one of the names in `serves`",
            );
        }
    }

    fn check_service(&mut self, record: &BackendRecord) {
        if record.serves.len() != 1 {
            let names = record.serves.join(", ");
            self.fault("serves", &names, "the one name of the plain service");
        }
        if record.wanted.is_some() {
            self.fault(
                "wanted",
                "a table",
                "left out, as only an engine takes orders",
            );
        }
    }

    /// Rejects a model name whose hash equals that of another model, as both would share a queue.
    fn check_model_name(&mut self, name: &str) {
        let id = ModelId::from_name(name);
        let names = self.set.backends.values().flat_map(|other| &other.serves);
        let duplicate = names
            .filter(|other| other.as_str() != name)
            .find(|other| ModelId::from_name(other) == id);
        if let Some(duplicate) = duplicate {
            let wanted = format!("another name, as its reference is that of {duplicate}");
            self.fault("serves", name, wanted);
        }
    }

    fn check_stop(&mut self, record: &StopRecord) {
        let id = StopId::from_name(&record.name);
        let found = self.set.stops.get(&id).map(|found| &found.name);
        self.check_reference(&record.name, found);
        let mut backends = self.set.backends.values();
        let is_known = match &record.target {
            StopTarget::Backend(name) => backends.any(|backend| &backend.name == name),
            StopTarget::Centre(name) => backends.any(|backend| &backend.centre == name),
            StopTarget::Entry(_) => true,
        };
        match &record.target {
            StopTarget::Backend(name) if !is_known => {
                self.fault("target.name", name, "the name of a backend record");
            }
            StopTarget::Centre(name) if !is_known => {
                self.fault(
                    "target.name",
                    name,
                    "a data centre that has a backend record",
                );
            }
            _ => {}
        }
    }

    fn check_delete(&mut self, key: &RecordKey) {
        for user in referrers(self.set, key) {
            let wanted = "no longer named by other records before it is deleted";
            self.fault("name", &format!("in use by {user}"), wanted);
        }
    }

    fn check_class_name(&mut self, field: &str, name: &str) {
        if !self.set.classes.contains_key(&ClassId::from_name(name)) {
            self.fault(field, name, "the name of a class record");
        }
    }

    /// Rejects a name whose hash equals that of another record, as only one can be in force.
    fn check_reference(&mut self, name: &str, found: Option<&String>) {
        if let Some(found) = found.filter(|found| *found != name) {
            let wanted = format!("another name, as its reference is that of {found}");
            self.fault("name", name, wanted);
        }
    }

    fn fault(&mut self, field: &str, value: &(impl Display + ?Sized), wanted: impl Into<String>) {
        self.faults.push(CheckError {
            key: self.key.clone(),
            fault: FieldFault {
                field: field.to_owned(),
                value: format!("`{value}`"),
                wanted: wanted.into(),
            },
        });
    }
}

/// Returns the records that refer to this one.
fn referrers(set: &RecordSet, key: &RecordKey) -> Vec<String> {
    let name = &key.name;
    let mut referrers = Vec::new();
    match key.kind {
        RecordKind::Class => {
            let customers = set.customers.values();
            let customers = customers.filter(|customer| &customer.default_class == name);
            referrers.extend(customers.map(|customer| format!("customer {}", customer.name)));
            let priorities = set.priorities.values();
            let priorities = priorities.filter(|priority| &priority.class == name);
            referrers.extend(priorities.map(|priority| format!("priority {}", priority.name)));
        }
        RecordKind::Customer => {
            let priorities = set.priorities.values();
            let priorities = priorities.filter(|priority| priority.customer.as_ref() == Some(name));
            referrers.extend(priorities.map(|priority| format!("priority {}", priority.name)));
        }
        RecordKind::Backend => {
            let target = StopTarget::Backend(name.clone());
            let stops = set.stops.values().filter(|stop| stop.target == target);
            referrers.extend(stops.map(|stop| format!("stop {}", stop.name)));
        }
        RecordKind::Priority | RecordKind::Stop => {}
    }
    referrers
}
