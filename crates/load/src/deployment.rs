//! The deployment of a scenario: data centres, entry VMs, engines and plain services.

use oleander_standin::{BatchSpeed, EngineSettings, OrderMode, ServiceSettings};
use serde::{Deserialize, Serialize};

/// The data centres, entry VMs, engines and plain services of a scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// The names of the data centres.
    pub centres: Vec<String>,
    /// The total number of entry VMs, assigned to the data centres round-robin.
    pub entries: u32,
    /// The one-way network delay between two data centres, in milliseconds.
    #[serde(default)]
    pub centre_delay_ms: f64,
    /// The groups of model engines.
    pub engines: Vec<EngineGroup>,
    /// The groups of servers of plain services.
    #[serde(default)]
    pub services: Vec<ServiceGroup>,
}

/// A group of engines that differ only in speed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// The prefix of the engine names; a hyphen and a number follow.
    pub name: String,
    /// The number of engines, assigned to the data centres round-robin.
    pub count: u32,
    /// The public name of the model that the engines serve.
    pub model: String,
    /// The relative speeds, assigned to the engines round-robin.
    pub speeds: Vec<f64>,
    /// The largest number of sequences in a batch.
    pub batch_limit: u32,
    /// Tokens per second of a sequence that is alone in the batch, at speed 1.
    pub alone_tokens_per_second: f64,
    /// Tokens per second of each sequence in a full batch, at speed 1.
    pub full_tokens_per_second: f64,
    /// Prompt tokens processed per second, at speed 1.
    pub prefill_tokens_per_second: f64,
    /// The age at which a load report becomes readable, in milliseconds.
    #[serde(default = "default_lag_ms")]
    pub report_lag_ms: u64,
    /// The capacity of the prefix cache, in tokens.
    #[serde(default = "default_cache_tokens")]
    pub cache_tokens: u32,
    /// Whether the engines check the fencing numbers of orders.
    #[serde(default)]
    pub orders: OrderMode,
}

/// The identical servers of one plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroup {
    /// The name of the service; a hyphen and a number are added for the name of each server.
    pub name: String,
    /// The number of servers, assigned to the data centres round-robin.
    pub count: u32,
    /// The processing time of a call, in milliseconds.
    pub work_ms: u64,
    /// The number of slots in the backend record of a server. The stand-in does not limit the
    /// number of concurrent calls.
    pub slots: u32,
}

/// One engine of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePlan {
    /// The name of its data centre.
    pub centre: String,
    /// The settings of its stand-in.
    pub settings: EngineSettings,
}

/// One server of a plain service in a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePlan {
    /// The name of the service.
    pub service: String,
    /// The name of its data centre.
    pub centre: String,
    /// The number of slots in its backend record.
    pub slots: u32,
    /// The settings of its stand-in.
    pub settings: ServiceSettings,
}

fn default_lag_ms() -> u64 {
    500
}

fn default_cache_tokens() -> u32 {
    8_000
}

impl EngineGroup {
    /// Returns the batch speed of an engine of the group at speed 1.
    pub fn unit_speed(&self) -> BatchSpeed {
        BatchSpeed {
            alone: self.alone_tokens_per_second,
            full: self.full_tokens_per_second,
            prefill: self.prefill_tokens_per_second,
            batch_limit: self.batch_limit,
        }
    }

    /// Returns the sum of the relative speeds of all engines of the group.
    pub fn total_speed(&self) -> f64 {
        (0..self.count).map(|number| self.speed(number)).sum()
    }

    /// Returns the cost of a request in seconds of one engine of speed 1 that runs a full batch.
    pub fn unit_cost(&self, prompt_tokens: f64, answer_tokens: f64) -> f64 {
        let speed = self.unit_speed();
        prompt_tokens / speed.prefill + answer_tokens / speed.capacity()
    }

    fn speed(&self, number: u32) -> f64 {
        let speeds = self.speeds.len().max(1);
        let speed = self.speeds.get(number as usize % speeds);
        speed.copied().unwrap_or(1.0)
    }
}

impl DeploymentPlan {
    /// Returns a plan for every engine.
    pub fn engine_plans(&self) -> Vec<EnginePlan> {
        let mut plans = Vec::new();
        for group in &self.engines {
            for number in 0..group.count {
                plans.push(EnginePlan {
                    centre: self.centre_of(number).to_owned(),
                    settings: engine_settings(group, number),
                });
            }
        }
        plans
    }

    /// Returns a plan for every server of the plain services.
    pub fn service_plans(&self) -> Vec<ServicePlan> {
        let mut plans = Vec::new();
        for group in &self.services {
            for number in 0..group.count {
                plans.push(ServicePlan {
                    service: group.name.clone(),
                    centre: self.centre_of(number).to_owned(),
                    slots: group.slots,
                    settings: ServiceSettings {
                        name: format!("{}-{number}", group.name),
                        work_ms: group.work_ms,
                        ..ServiceSettings::default()
                    },
                });
            }
        }
        plans
    }

    /// Returns the data centre of each entry VM.
    pub fn entry_centres(&self) -> Vec<&str> {
        (0..self.entries)
            .map(|number| self.centre_of(number))
            .collect()
    }

    /// Returns the first engine group that serves the model.
    pub fn group_for_model(&self, model: &str) -> Option<&EngineGroup> {
        self.engines.iter().find(|group| group.model == model)
    }

    fn centre_of(&self, number: u32) -> &str {
        &self.centres[number as usize % self.centres.len()]
    }
}

fn engine_settings(group: &EngineGroup, number: u32) -> EngineSettings {
    EngineSettings {
        name: format!("{}-{number}", group.name),
        models: vec![group.model.clone()],
        alone_tokens_per_second: group.alone_tokens_per_second,
        full_tokens_per_second: group.full_tokens_per_second,
        prefill_tokens_per_second: group.prefill_tokens_per_second,
        batch_limit: group.batch_limit,
        speed: group.speed(number),
        report_lag_ms: group.report_lag_ms,
        cache_tokens: group.cache_tokens,
        orders: group.orders,
        ..EngineSettings::default()
    }
}
