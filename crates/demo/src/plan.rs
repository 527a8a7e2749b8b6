//! What a deployment consists of.

use std::net::SocketAddr;

use oleander_base::prelude::*;
use oleander_decide::PolicyKind;
use oleander_records::{
    BackendKind, BackendRecord, ClassRecord, CustomerRecord, RECORD_PREFIX, ServiceRoute, hash_key,
};
use serde::{Deserialize, Serialize};

/// A data centre and its entry VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CentrePlan {
    /// The name.
    pub name: String,
    /// Entry VMs.
    pub entries: u32,
}

/// A model engine's stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EnginePlan {
    /// The name.
    pub name: String,
    /// The data centre.
    pub centre: String,
    /// The model.
    pub model: String,
    /// The speed against the reference.
    pub speed: f64,
    /// The largest batch; also the slots of its record.
    pub slots: u32,
}

/// A plain service's stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// The name of the backend server.
    pub name: String,
    /// The data centre.
    pub centre: String,
    /// The service.
    pub service: String,
    /// The slots of its record.
    pub slots: u32,
}

/// A record's document under its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanDocument {
    /// The key in the store.
    pub key: String,
    /// The document in JSON.
    pub text: String,
}

impl PlanDocument {
    fn new(kind: &str, name: &str, schema: u32, record: &impl Serialize) -> Self {
        let mut value = serde_json::to_value(record).expect("a record is plain data");
        let fields = value.as_object_mut().expect("a record is an object");
        fields.retain(|_, field| !field.is_null());
        fields.insert("schema".to_owned(), schema.into());
        Self {
            key: format!("{RECORD_PREFIX}{kind}/{name}"),
            text: value.to_string(),
        }
    }
}

/// A whole deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeploymentPlan {
    /// Data centres.
    pub centres: Vec<CentrePlan>,
    /// Model engines.
    pub engines: Vec<EnginePlan>,
    /// Plain services.
    pub services: Vec<ServicePlan>,
    /// Request classes.
    pub classes: Vec<ClassRecord>,
    /// Customers by name; a customer's API key is its name with `-key` behind it.
    pub customers: Vec<String>,
    /// The policy of the pools.
    pub policy: PolicyKind,
    /// Worker threads of each entry VM.
    pub workers: usize,
}

impl DeploymentPlan {
    /// Returns the plan of the demonstration: two data centres with two entry VMs each.
    pub fn demo() -> Self {
        let centres = ["stred-1", "stred-2"];
        let mut engines = Vec::new();
        for (index, speed) in [1.0, 2.0, 4.0, 1.0, 2.0, 1.0].into_iter().enumerate() {
            engines.push(EnginePlan {
                name: format!("engine-{}", index + 1),
                centre: centres[index % centres.len()].to_owned(),
                model: "editor".to_owned(),
                speed,
                slots: 8,
            });
        }
        let services = centres.iter().map(|centre| ServicePlan {
            name: format!("log-{centre}"),
            centre: (*centre).to_owned(),
            service: "log".to_owned(),
            slots: 16,
        });
        Self {
            centres: centres
                .iter()
                .map(|name| CentrePlan {
                    name: (*name).to_owned(),
                    entries: 2,
                })
                .collect(),
            engines,
            services: services.collect(),
            classes: demo_classes(),
            customers: ["dennik", "rozhlas", "tyzdennik"]
                .map(str::to_owned)
                .to_vec(),
            policy: PolicyKind::Tiered,
            workers: 1,
        }
    }

    /// Returns the API key of a customer.
    pub fn api_key(customer: &str) -> String {
        format!("{customer}-key")
    }

    /// Returns the documents of the plan's records by key, given where the stand-ins listen.
    pub fn documents(&self, engines: &[SocketAddr], services: &[SocketAddr]) -> Vec<PlanDocument> {
        let mut documents = Vec::new();
        for class in &self.classes {
            documents.push(PlanDocument::new("class", &class.name, 2, class));
        }
        for name in &self.customers {
            documents.push(PlanDocument::new("customer", name, 2, &self.customer(name)));
        }
        for (plan, address) in self.engines.iter().zip(engines) {
            let record = engine_record(plan, *address);
            documents.push(PlanDocument::new("backend", &plan.name, 1, &record));
        }
        for (plan, address) in self.services.iter().zip(services) {
            let record = service_record(plan, *address);
            documents.push(PlanDocument::new("backend", &plan.name, 1, &record));
        }
        documents
    }

    fn customer(&self, name: &str) -> CustomerRecord {
        CustomerRecord {
            name: name.to_owned(),
            key_hashes: vec![hash_key(&Self::api_key(name))],
            share: 1.0,
            rate_limit: None,
            concurrency_limit: None,
            default_class: self
                .classes
                .first()
                .map(|class| class.name.clone())
                .unwrap_or_default(),
        }
    }
}

fn demo_classes() -> Vec<ClassRecord> {
    let class = |name: &str, tier: u8, target: u64, patience: u64, weight: f64| ClassRecord {
        name: name.to_owned(),
        tier: Tier(tier),
        first_token_target_ms: target,
        token_gap_target_ms: 60,
        patience_ms: patience,
        goodput_weight: weight,
        minimum_share: 0.05,
    };
    vec![
        class("correction", 0, 800, 10_000, 5.0),
        class("publish", 0, 1_000, 10_000, 10.0),
        class("lookup", 1, 1_500, 15_000, 1.0),
        class("summary", 2, 8_000, 60_000, 2.0),
    ]
}

fn engine_record(plan: &EnginePlan, address: SocketAddr) -> BackendRecord {
    BackendRecord {
        name: plan.name.clone(),
        kind: BackendKind::Engine,
        centre: plan.centre.clone(),
        address,
        serves: vec![plan.model.clone()],
        slots: plan.slots,
        speed: plan.speed,
        checks_fencing: true,
        wanted: None,
        routes: Vec::new(),
    }
}

fn service_record(plan: &ServicePlan, address: SocketAddr) -> BackendRecord {
    let route = |method: &str, path: &str, idempotent: bool| ServiceRoute {
        method: method.to_owned(),
        path: path.to_owned(),
        idempotent,
    };
    BackendRecord {
        name: plan.name.clone(),
        kind: BackendKind::Service,
        centre: plan.centre.clone(),
        address,
        serves: vec![plan.service.clone()],
        slots: plan.slots,
        speed: 1.0,
        checks_fencing: false,
        wanted: None,
        routes: vec![
            route("GET", "/stock/*", true),
            route("GET", "/entries/*", true),
        ],
    }
}
