//! The scenario file: its structure, parsing and consistency checks.

use std::io;
use std::path::Path;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::deployment::DeploymentPlan;
use crate::timeline::FaultEvent;

/// The reason why a scenario file cannot be used.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("cannot read the scenario: {0}")]
    Read(#[from] io::Error),
    /// The file is not valid TOML or does not have the fields of a scenario.
    #[error("cannot parse the scenario: {0}")]
    Parse(#[from] toml::de::Error),
    /// A name or value contradicts the rest of the scenario.
    #[error("the scenario is not consistent: {0}")]
    Inconsistent(String),
}

/// The description of a whole experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name of the scenario, for reports.
    pub name: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// The length of the interval in which requests arrive, in seconds.
    pub duration_s: f64,
    /// The length of the initial interval that is left out of the statistics, in seconds.
    #[serde(default)]
    pub warmup_s: f64,
    /// The offered work as a fraction of the capacity of the engines.
    pub demand: f64,
    /// The number of threads that run the callers.
    #[serde(default = "default_threads")]
    pub threads: u32,
    /// The system under test.
    pub deployment: DeploymentPlan,
    /// The customers that send the calls.
    pub customers: Vec<CustomerPlan>,
    /// The request classes, which call models.
    pub classes: Vec<ClassPlan>,
    /// Intervals of changed demand.
    #[serde(default)]
    pub bursts: Vec<BurstPlan>,
    /// The operations, which call plain services.
    #[serde(default)]
    pub operations: Vec<OperationPlan>,
    /// The timed faults.
    #[serde(default)]
    pub faults: Vec<FaultEvent>,
}

/// A customer and its share of the load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// The name of the customer.
    pub name: String,
    /// The API key that the customer sends.
    pub key: String,
    /// The customer's part of the calls, relative to the weights of the other customers.
    pub weight: f64,
    /// The customer's share inside a tier, relative to the shares of the other customers.
    #[serde(default = "default_share")]
    pub share: f64,
}

/// The distribution of the size of a prompt or an answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizePlan {
    /// The mean size, in tokens.
    pub mean: f64,
    /// The standard deviation of the logarithm of the size.
    #[serde(default)]
    pub spread: f64,
    /// The largest size, in tokens.
    pub limit: u32,
}

/// A request class and its demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// The name of the class.
    pub name: String,
    /// The public name of the model.
    pub model: String,
    /// The number of the tier; 0 is the highest.
    pub tier: u8,
    /// The fraction of the model's demand that this class offers.
    pub demand_share: f64,
    /// The target for the time to the first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// The target for the mean time between tokens, in milliseconds.
    pub token_gap_target_ms: u64,
    /// The queue timeout of a request, in milliseconds.
    pub patience_ms: u64,
    /// The weight of one whole answer in the goodput.
    pub goodput_weight: f64,
    /// The minimum share of a saturated pool's slots that the class gets.
    pub minimum_share: f64,
    /// The size of the prompts.
    pub prompt: SizePlan,
    /// The size of the answers; the largest size is also the token limit that the caller sends.
    pub answer: SizePlan,
    /// The number of different prefixes that prompts share; with 0, every prompt is distinct.
    #[serde(default)]
    pub prefixes: u32,
    /// Whether answers are streamed.
    #[serde(default = "default_stream")]
    pub stream: bool,
    /// How often a caller reconnects for the rest of an answer that broke.
    #[serde(default)]
    pub reconnects: u32,
}

/// An interval of changed demand of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstPlan {
    /// The name of the class.
    pub class: String,
    /// The start of the interval, in seconds from the start of the schedule.
    pub from_s: f64,
    /// The end of the interval, in seconds from the start of the schedule.
    pub to_s: f64,
    /// The factor by which the class's arrival rate is multiplied.
    pub factor: f64,
}

/// An operation of a plain service and the calls to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationPlan {
    /// The name in reports, which is also the name of the request class.
    pub name: String,
    /// The name of the plain service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path below the service's path prefix.
    pub path: String,
    /// Whether repeating a call has no further effect; other calls carry an idempotency key.
    pub idempotent: bool,
    /// The calls per second at a demand of 1.
    pub rate: f64,
    /// The fraction of calls that the caller sends twice, to two entry VMs.
    #[serde(default)]
    pub repeat_share: f64,
    /// The number of the tier; 0 is the highest.
    pub tier: u8,
    /// The target for the time to the whole answer, in milliseconds.
    pub target_ms: u64,
    /// The queue timeout of a call, in milliseconds.
    pub patience_ms: u64,
    /// The weight of one whole answer in the goodput.
    pub goodput_weight: f64,
}

fn default_threads() -> u32 {
    2
}

fn default_share() -> f64 {
    1.0
}

fn default_stream() -> bool {
    true
}

impl Scenario {
    /// Reads and checks a scenario file.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses and checks a scenario.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Returns the length of the measured interval, in seconds.
    pub fn measured_s(&self) -> f64 {
        self.duration_s - self.warmup_s
    }

    /// Returns the requests per second of a class outside its bursts.
    ///
    /// The rate is the class's share of the demand on the engines of its model, divided by the cost
    /// of its mean request, in seconds of an engine of speed 1 that runs a full batch.
    pub fn class_rate(&self, class: &ClassPlan) -> f64 {
        let Some(group) = self.deployment.group_for_model(&class.model) else {
            return 0.0;
        };
        let cost = group.unit_cost(class.prompt.mean, class.answer.mean);
        self.demand * class.demand_share * group.total_speed() / cost
    }

    /// Returns the tier of the class, or else of the operation, with this name.
    pub fn tier_of(&self, name: &str) -> Option<Tier> {
        let class = self.classes.iter().find(|class| class.name == name);
        let operation = self
            .operations
            .iter()
            .find(|operation| operation.name == name);
        class
            .map(|class| class.tier)
            .or(operation.map(|operation| operation.tier))
            .map(Tier)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let require = |holds: bool, what: String| {
            if holds {
                Ok(())
            } else {
                Err(ScenarioError::Inconsistent(what))
            }
        };
        require(
            self.warmup_s < self.duration_s,
            "the warm-up takes the whole duration".to_owned(),
        )?;
        require(
            !self.deployment.centres.is_empty() && self.deployment.entries > 0,
            "there is no data centre or no entry VM".to_owned(),
        )?;
        require(
            !self.customers.is_empty(),
            "there is no customer".to_owned(),
        )?;
        for class in &self.classes {
            require(
                self.deployment.group_for_model(&class.model).is_some(),
                format!("no engine serves the model of class {}", class.name),
            )?;
            require(
                class.answer.mean >= 1.0 && class.prompt.mean >= 1.0,
                format!("the sizes of class {} are below one token", class.name),
            )?;
        }
        for burst in &self.bursts {
            require(
                self.classes.iter().any(|class| class.name == burst.class),
                format!("the burst's class {} does not exist", burst.class),
            )?;
        }
        for operation in &self.operations {
            let mut services = self.deployment.services.iter();
            require(
                services.any(|service| service.name == operation.service),
                format!("no server of the service {}", operation.service),
            )?;
        }
        Ok(())
    }
}
