//! The settings and the handle of a model engine's stand-in.

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

/// The tags of all answers that an engine has started, shared with its handle.
pub(crate) type StartedTags = Arc<Mutex<FastSet<AnswerTag>>>;

/// The settings of a model engine's stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// The engine's name, which its thread, its answers and the `x-engine` header carry.
    pub name: String,
    /// The address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Public names of the models that are loaded at the start.
    pub models: Vec<String>,
    /// The version of the loaded weights.
    pub version: String,
    /// Names of the adapters that are loaded at the start.
    pub adapters: Vec<String>,
    /// The phases of a request that the engine serves.
    pub role: EngineRole,
    /// Tokens per second of a sequence that runs alone, at speed 1.
    pub alone_tokens_per_second: f64,
    /// Tokens per second of each sequence in a full batch, at speed 1.
    pub full_tokens_per_second: f64,
    /// Prompt tokens prefilled per second, at speed 1.
    pub prefill_tokens_per_second: f64,
    /// The maximum number of sequences in the batch.
    pub batch_limit: u32,
    /// The maximum number of waiting requests; further ones are refused.
    pub queue_limit: u32,
    /// The factor that all three speeds are multiplied by.
    pub speed: f64,
    /// The interval between two load reports, in milliseconds.
    pub report_interval_ms: u64,
    /// The age at which a load report becomes readable, in milliseconds. The first report is
    /// readable at once.
    pub report_lag_ms: u64,
    /// The age at which a cache event becomes readable, in milliseconds.
    pub event_lag_ms: u64,
    /// The interval at which cache events are dropped: every n-th one; 0 drops none.
    pub lose_event_every: u64,
    /// The capacity of the prefix cache, in tokens.
    pub cache_tokens: u32,
    /// Whether the fencing numbers of orders are checked.
    pub orders: OrderMode,
    /// How long after its acceptance an order takes effect, in milliseconds.
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
    /// Returns the speed of the batch, scaled by `speed`.
    pub fn batch_speed(&self) -> BatchSpeed {
        BatchSpeed {
            alone: self.alone_tokens_per_second * self.speed,
            full: self.full_tokens_per_second * self.speed,
            prefill: self.prefill_tokens_per_second * self.speed,
            batch_limit: self.batch_limit,
        }
    }
}

/// A running stand-in of a model engine.
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

    /// Returns the settings that the engine was bound with.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Returns the current values of the counters.
    pub fn totals(&self) -> EngineTotals {
        self.counters.totals()
    }

    /// Returns the tags of all answers that the engine has started.
    pub fn started_tags(&self) -> Vec<AnswerTag> {
        self.started_tags.lock().iter().copied().collect()
    }

    /// Sets a fault and waits until it is in effect.
    pub fn fault(&self, fault: EngineFault) -> Result<(), FaultError> {
        self.host.command(fault)
    }

    /// Stops the engine and joins its thread.
    pub fn stop(mut self) {
        self.host.stop();
    }
}

/// Runs an engine until its process ends, and prints its address on standard output.
pub fn run_engine(settings: EngineSettings) -> io::Result<()> {
    let mut engine = EngineStandIn::bind(settings)?;
    println!("{}", engine.address());
    engine.host.join();
    Ok(())
}
