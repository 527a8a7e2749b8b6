//! Which engines and plain services a scenario runs against.

use oleander_standin::{BatchSpeed, EngineSettings, OrderMode, ServiceSettings};
use serde::{Deserialize, Serialize};

/// The data centres, entry VMs, engines and plain services of a scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// The names of the data centres.
    pub centres: Vec<String>,
    /// The number of entry VMs in all, placed on the data centres in turn.
    pub entries: u32,
    /// The time one way between two data centres, in milliseconds.
    #[serde(default)]
    pub centre_delay_ms: f64,
    /// Model engines.
    pub engines: Vec<EngineGroup>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<ServiceGroup>,
}

/// Engines that are alike but for their speed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineGroup {
    /// The start of their names; a number follows.
    pub name: String,
    /// How many there are, placed on the data centres in turn.
    pub count: u32,
    /// The public name of their model.
    pub model: String,
    /// Their speeds, given out in turn.
    pub speeds: Vec<f64>,
    /// The largest batch.
    pub batch_limit: u32,
    /// Tokens a second of a sequence that has the engine for itself, at speed 1.
    pub alone_tokens_per_second: f64,
    /// Tokens a second of each sequence of a full batch, at speed 1.
    pub full_tokens_per_second: f64,
    /// Prompt tokens read a second, at speed 1.
    pub prefill_tokens_per_second: f64,
    /// How old load reports are, in milliseconds.
    #[serde(default = "default_lag_ms")]
    pub report_lag_ms: u64,
    /// The memory of the prefix cache, in tokens.
    #[serde(default = "default_cache_tokens")]
    pub cache_tokens: u32,
    /// What they do with fencing numbers.
    #[serde(default)]
    pub orders: OrderMode,
}

/// Plain services that are alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceGroup {
    /// The name of the service; its servers' names get a number.
    pub name: String,
    /// How many servers there are, placed on the data centres in turn.
    pub count: u32,
    /// How long a call takes, in milliseconds.
    pub work_ms: u64,
    /// How many calls a server takes at a time.
    pub slots: u32,
}

/// One engine of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePlan {
    /// Its data centre.
    pub centre: String,
    /// The settings of its stand-in.
    pub settings: EngineSettings,
}

/// One plain service's server of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePlan {
    /// The name of the service.
    pub service: String,
    /// Its data centre.
    pub centre: String,
    /// How many calls it takes at a time.
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

    /// Returns the sum of the speeds.
    pub fn total_speed(&self) -> f64 {
        (0..self.count).map(|number| self.speed(number)).sum()
    }

    /// Returns the seconds of an engine of speed 1 with a full batch that a request takes.
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
    /// Returns every engine.
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

    /// Returns every plain service's server.
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

    /// Returns the group that serves a model.
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
