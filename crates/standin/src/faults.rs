//! The faults that can be set on the stand-ins of engines and services.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A command that sets or ends a fault of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum EngineFault {
    /// Steps take `factor` times as long. 1 ends the fault.
    Slow {
        /// The factor on the duration of a step.
        factor: f64,
    },
    /// All connections are closed and new ones refused until a restore or the end of the given
    /// time.
    Crash {
        /// How long the engine is down, in milliseconds; `None` waits for a restore.
        for_ms: Option<u64>,
    },
    /// No step runs and no request except those under `/admin` is answered; connections stay open.
    Freeze {
        /// Whether the freeze starts or ends.
        on: bool,
    },
    /// Requests are answered with status 503 before they run.
    Refuse {
        /// Whether the refusals start or end.
        on: bool,
    },
    /// The connection of every answer is closed after its first `tokens` tokens.
    DropAfter {
        /// The number of tokens; `None` ends the fault.
        tokens: Option<u32>,
    },
    /// Load reports state that the engine is leaving, and new requests are refused.
    Leaving {
        /// Whether the engine is leaving.
        on: bool,
    },
    /// A crashed engine serves again, with an empty batch and prefix cache.
    Restore,
    /// Ends every fault except a crash.
    Heal,
}

/// A command that sets or ends a fault of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum ServiceFault {
    /// The connections of the next `count` requests are closed before their bodies are read.
    CloseBefore {
        /// The number of requests.
        count: u32,
    },
    /// The next `count` requests with an effect take effect, and their connections are closed
    /// before the answer.
    CloseAfterEffect {
        /// The number of requests.
        count: u32,
    },
    /// Every request is delayed before it runs.
    Delay {
        /// The delay in milliseconds; 0 ends the fault.
        ms: u64,
    },
    /// Requests are answered with status 503 before they run.
    Refuse {
        /// Whether the refusals start or end.
        on: bool,
    },
    /// All connections are closed and new ones refused until a restore or the end of the given
    /// time.
    Crash {
        /// How long the service is down, in milliseconds; `None` waits for a restore.
        for_ms: Option<u64>,
    },
    /// A crashed service serves again; its effects are kept.
    Restore,
    /// Ends every fault except a crash.
    Heal,
}

/// Whether an engine checks the fencing numbers of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderMode {
    /// An order with a smaller number than the largest one seen is refused.
    #[default]
    Checks,
    /// The fencing number is ignored.
    Ignores,
}

/// The error of setting a fault on a stand-in that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the stand-in's thread has ended")]
pub struct FaultError;
