//! What a scenario file says.

use std::io;
use std::path::Path;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::deployment::DeploymentPlan;
use crate::timeline::FaultEvent;

/// A scenario file does not hold a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("cannot read the scenario: {0}")]
    Read(#[from] io::Error),
    /// The file is not TOML of the right shape.
    #[error("cannot parse the scenario: {0}")]
    Parse(#[from] toml::de::Error),
    /// A name or figure does not fit the rest.
    #[error("the scenario is not consistent: {0}")]
    Inconsistent(String),
}

/// A whole experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, for reports.
    pub name: String,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// How long requests arrive, in seconds.
    pub duration_s: f64,
    /// How much of the beginning is left out of the figures, in seconds.
    #[serde(default)]
    pub warmup_s: f64,
    /// The work that is asked for, as a share of what the engines can do.
    pub demand: f64,
    /// The number of threads that play the callers.
    #[serde(default = "default_threads")]
    pub threads: u32,
    /// What runs.
    pub deployment: DeploymentPlan,
    /// Who calls.
    pub customers: Vec<CustomerPlan>,
    /// What they ask of models.
    pub classes: Vec<ClassPlan>,
    /// Times of higher demand.
    #[serde(default)]
    pub bursts: Vec<BurstPlan>,
    /// What they ask of plain services.
    #[serde(default)]
    pub operations: Vec<OperationPlan>,
    /// What fails, and when.
    #[serde(default)]
    pub faults: Vec<FaultEvent>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// The name.
    pub name: String,
    /// The API key.
    pub key: String,
    /// The part of the requests that comes from this customer, against the others.
    pub weight: f64,
    /// The customer's share inside a tier, against the others.
    #[serde(default = "default_share")]
    pub share: f64,
}

/// The size of a prompt or an answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizePlan {
    /// The mean in tokens.
    pub mean: f64,
    /// The spread: standard deviation of the logarithm.
    #[serde(default)]
    pub spread: f64,
    /// The largest size.
    pub limit: u32,
}

/// A request class and its demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// The name.
    pub name: String,
    /// The model that is asked.
    pub model: String,
    /// The tier.
    pub tier: u8,
    /// The part of the model's work that this class asks for.
    pub demand_share: f64,
    /// Target for the first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// Target for the mean time between tokens, in milliseconds.
    pub token_gap_target_ms: u64,
    /// How long a request may wait, in milliseconds.
    pub patience_ms: u64,
    /// The weight of one completed request.
    pub goodput_weight: f64,
    /// The smallest share of a saturated pool's slots.
    pub minimum_share: f64,
    /// The size of prompts.
    pub prompt: SizePlan,
    /// The size of answers; the caller's limit is the largest.
    pub answer: SizePlan,
    /// How many different beginnings the prompts have; 0 makes each prompt its own.
    #[serde(default)]
    pub prefixes: u32,
    /// Whether answers are streamed.
    #[serde(default = "default_stream")]
    pub stream: bool,
    /// How often a caller comes back for the rest of a streamed answer that broke.
    #[serde(default)]
    pub reconnects: u32,
}

/// A time of higher demand of one class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstPlan {
    /// The class.
    pub class: String,
    /// When it begins, in seconds.
    pub from_s: f64,
    /// When it ends, in seconds.
    pub to_s: f64,
    /// The factor on the class's rate.
    pub factor: f64,
}

/// Calls of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationPlan {
    /// The name, for reports; also the name of the class.
    pub name: String,
    /// The plain service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path below the service's prefix.
    pub path: String,
    /// Whether a repeat has no further effect.
    pub idempotent: bool,
    /// Calls a second at a demand of 1.
    pub rate: f64,
    /// The share of calls that the caller sends twice, at two entry VMs.
    #[serde(default)]
    pub repeat_share: f64,
    /// The tier.
    pub tier: u8,
    /// Target for the whole answer, in milliseconds.
    pub target_ms: u64,
    /// How long a call may wait, in milliseconds.
    pub patience_ms: u64,
    /// The weight of one completed call.
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

    /// Returns the time in which figures are taken, in seconds.
    pub fn measured_s(&self) -> f64 {
        self.duration_s - self.warmup_s
    }

    /// Returns the requests a second of a class outside its bursts.
    ///
    /// The class's part of the demand is spread over the work of its mean request, in seconds of
    /// an engine of speed 1 with a full batch.
    pub fn class_rate(&self, class: &ClassPlan) -> f64 {
        let Some(group) = self.deployment.group_for_model(&class.model) else {
            return 0.0;
        };
        let cost = group.unit_cost(class.prompt.mean, class.answer.mean);
        self.demand * class.demand_share * group.total_speed() / cost
    }

    /// Returns a class's tier by name, or an operation's.
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
