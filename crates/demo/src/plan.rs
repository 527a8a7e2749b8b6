//! The records that describe a scenario's deployment.

use std::net::SocketAddr;

use oleander_base::prelude::*;
use oleander_load::{ClassPlan, CustomerPlan, EnginePlan, OperationPlan, Scenario, ServicePlan};
use oleander_records::{
    BackendKind, BackendRecord, ClassRecord, CustomerRecord, RECORD_PREFIX, ServiceRoute, hash_key,
};
use serde::Serialize;

/// The schema version of class and customer documents.
const SCHEMA_VERSION_2: u32 = 2;
/// The schema version of backend documents.
const SCHEMA_VERSION_1: u32 = 1;
/// The token gap target of a plain service's class, in milliseconds; the record requires one,
/// although a plain service generates no tokens.
const SERVICE_TOKEN_GAP_MS: u64 = 1_000;
/// The minimum share of a plain service's class.
const SERVICE_MINIMUM_SHARE: f64 = 0.05;

/// The document of a record and its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanDocument {
    /// The key in the key-value store.
    pub key: String,
    /// The document in JSON.
    pub text: String,
}

impl PlanDocument {
    fn new(kind: &str, name: &str, schema: u32, record: &impl Serialize) -> Self {
        let mut value = serde_json::to_value(record).expect("a record is serializable");
        let fields = value
            .as_object_mut()
            .expect("a record serializes to a JSON object");
        fields.retain(|_, field| !field.is_null());
        fields.insert("schema".to_owned(), schema.into());
        Self {
            key: format!("{RECORD_PREFIX}{kind}/{name}"),
            text: value.to_string(),
        }
    }

    /// Returns the backend document of an engine stand-in.
    pub fn of_engine(plan: &EnginePlan, address: SocketAddr) -> Self {
        let record = BackendRecord {
            name: plan.settings.name.clone(),
            kind: BackendKind::Engine,
            centre: plan.centre.clone(),
            address,
            serves: plan.settings.models.clone(),
            slots: plan.settings.batch_limit,
            speed: plan.settings.speed,
            checks_fencing: true,
            wanted: None,
            routes: Vec::new(),
        };
        Self::new("backend", &record.name, SCHEMA_VERSION_1, &record)
    }

    /// Returns the backend document of the stand-in of a plain service.
    pub fn of_service(
        plan: &ServicePlan,
        operations: &[OperationPlan],
        address: SocketAddr,
    ) -> Self {
        let service_operations = operations
            .iter()
            .filter(|operation| operation.service == plan.service);
        let routes = service_operations.map(|operation| ServiceRoute {
            method: operation.method.clone(),
            path: operation.path.clone(),
            idempotent: operation.idempotent,
        });
        let record = BackendRecord {
            name: plan.settings.name.clone(),
            kind: BackendKind::Service,
            centre: plan.centre.clone(),
            address,
            serves: vec![plan.service.clone()],
            slots: plan.slots,
            speed: 1.0,
            checks_fencing: false,
            wanted: None,
            routes: routes.collect(),
        };
        Self::new("backend", &record.name, SCHEMA_VERSION_1, &record)
    }

    fn of_class(plan: &ClassPlan) -> Self {
        let record = ClassRecord {
            name: plan.name.clone(),
            tier: Tier(plan.tier),
            first_token_target_ms: plan.first_token_target_ms,
            token_gap_target_ms: plan.token_gap_target_ms,
            patience_ms: plan.patience_ms,
            goodput_weight: plan.goodput_weight,
            minimum_share: plan.minimum_share,
        };
        Self::new("class", &record.name, SCHEMA_VERSION_2, &record)
    }

    fn of_operation(plan: &OperationPlan) -> Self {
        let record = ClassRecord {
            name: plan.name.clone(),
            tier: Tier(plan.tier),
            first_token_target_ms: plan.target_ms,
            token_gap_target_ms: SERVICE_TOKEN_GAP_MS,
            patience_ms: plan.patience_ms,
            goodput_weight: plan.goodput_weight,
            minimum_share: SERVICE_MINIMUM_SHARE,
        };
        Self::new("class", &record.name, SCHEMA_VERSION_2, &record)
    }

    fn of_customer(plan: &CustomerPlan, default_class: &str) -> Self {
        let record = CustomerRecord {
            name: plan.name.clone(),
            key_hashes: vec![hash_key(&plan.key)],
            share: plan.share,
            rate_limit: None,
            concurrency_limit: None,
            default_class: default_class.to_owned(),
        };
        Self::new("customer", &record.name, SCHEMA_VERSION_2, &record)
    }
}

/// Returns the documents of a scenario's classes, operations and customers.
pub(crate) fn scenario_documents(scenario: &Scenario) -> Vec<PlanDocument> {
    let default_class = scenario
        .classes
        .first()
        .map_or("", |class| class.name.as_str());
    let classes = scenario.classes.iter().map(PlanDocument::of_class);
    let operations = scenario.operations.iter().map(PlanDocument::of_operation);
    let customers = scenario
        .customers
        .iter()
        .map(|plan| PlanDocument::of_customer(plan, default_class));
    classes.chain(operations).chain(customers).collect()
}
