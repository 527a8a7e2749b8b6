//! The handle of a model engine's stand-in.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use oleander_base::EngineRole;
use oleander_base::prelude::*;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::answer::AnswerTag;
use crate::batch::BatchSpeed;
use crate::counters::{EngineCounters, EngineTotals};
use crate::engine_loop::EngineCore;
use crate::faults::{EngineFault, FaultError, OrderMode};
use crate::host::HttpHost;

/// The stamps of the answers that an engine has begun, shared with its handle.
pub(crate) type StartedTags = Arc<Mutex<FastSet<AnswerTag>>>;

/// What a model engine's stand-in is like.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Its name, for logs and answers.
    pub name: String,
    /// Where it listens; port 0 takes any.
    pub listen: SocketAddr,
    /// Public names of the models in memory.
    pub models: Vec<String>,
    /// The version of the weights.
    pub version: String,
    /// Adapters in memory, by name.
    pub adapters: Vec<String>,
    /// The role.
    pub role: EngineRole,
    /// Tokens a second of a sequence that has the engine for itself, at speed 1.
    pub alone_tokens_per_second: f64,
    /// Tokens a second of each sequence of a full batch, at speed 1.
    pub full_tokens_per_second: f64,
    /// Prompt tokens read a second, at speed 1.
    pub prefill_tokens_per_second: f64,
    /// The largest batch.
    pub batch_limit: u32,
    /// How many requests may wait inside the engine before it refuses.
    pub queue_limit: u32,
    /// The factor on all three speeds.
    pub speed: f64,
    /// The time between two load reports, in milliseconds.
    pub report_interval_ms: u64,
    /// How old a load report is before anyone can read it, in milliseconds.
    pub report_lag_ms: u64,
    /// How old a cache event is before anyone can read it, in milliseconds.
    pub event_lag_ms: u64,
    /// One cache event in so many is lost; 0 loses none.
    pub lose_event_every: u64,
    /// The memory of the prefix cache, in tokens.
    pub cache_tokens: u32,
    /// What it does with the fencing number of an order.
    pub orders: OrderMode,
    /// How long an order for other weights takes, in milliseconds.
    pub load_ms: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: vec!["model".to_owned()],
            version: "1".to_owned(),
            adapters: Vec::new(),
            role: EngineRole::Full,
            alone_tokens_per_second: 80.0,
            full_tokens_per_second: 40.0,
            prefill_tokens_per_second: 20_000.0,
            batch_limit: 16,
            queue_limit: 64,
            speed: 1.0,
            report_interval_ms: 250,
            report_lag_ms: 500,
            event_lag_ms: 500,
            lose_event_every: 10,
            cache_tokens: 40_000,
            orders: OrderMode::Checks,
            load_ms: 500,
        }
    }
}

impl EngineSettings {
    /// Returns the speed of the batch.
    pub fn batch_speed(&self) -> BatchSpeed {
        BatchSpeed {
            alone: self.alone_tokens_per_second * self.speed,
            full: self.full_tokens_per_second * self.speed,
            prefill: self.prefill_tokens_per_second * self.speed,
            batch_limit: self.batch_limit,
        }
    }
}

/// A running model engine's stand-in.
#[derive(Debug)]
pub struct EngineStandIn {
    host: HttpHost<EngineFault>,
    counters: Arc<EngineCounters>,
    started_tags: StartedTags,
    settings: EngineSettings,
}

impl EngineStandIn {
    /// Binds the address and starts the engine's thread.
    pub fn bind(settings: EngineSettings) -> io::Result<Self> {
        let counters = Arc::new(EngineCounters::default());
        let started_tags = StartedTags::default();
        let (core_counters, core_tags) = (counters.clone(), started_tags.clone());
        let core_settings = settings.clone();
        let host = HttpHost::spawn(&settings.name, settings.listen, move |commands| {
            EngineCore::new(core_settings, core_counters, core_tags, commands)
        })?;
        Ok(Self {
            host,
            counters,
            started_tags,
            settings,
        })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the settings that it was bound with.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Reads the counters.
    pub fn totals(&self) -> EngineTotals {
        self.counters.totals()
    }

    /// Returns the stamps of all answers that the engine has begun.
    pub fn started_tags(&self) -> Vec<AnswerTag> {
        self.started_tags.lock().iter().copied().collect()
    }

    /// Sets a fault and waits until it is in force.
    pub fn fault(&self, fault: EngineFault) -> Result<(), FaultError> {
        self.host.command(fault)
    }

    /// Ends the engine and its thread.
    pub fn stop(mut self) {
        self.host.stop();
    }
}

/// Runs an engine until its process ends.
pub fn run_engine(settings: EngineSettings) -> io::Result<()> {
    let mut engine = EngineStandIn::bind(settings)?;
    println!("{}", engine.address());
    engine.host.join();
    Ok(())
}
