//! The faults that a stand-in can be told to have.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A fault of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum EngineFault {
    /// Steps take `factor` times as long; 1 ends the fault.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// All connections close and new ones are refused, until a restore or the time is over.
    Crash {
        /// How long the engine stays away, in milliseconds; none is until a restore.
        for_ms: Option<u64>,
    },
    /// Nothing moves and nothing is answered while the connections stay open.
    Freeze {
        /// Whether the freeze begins or ends.
        on: bool,
    },
    /// Requests are answered with status 503 before they run.
    Refuse {
        /// Whether the refusals begin or end.
        on: bool,
    },
    /// The connection of every answer closes after its first `tokens` tokens.
    DropAfter {
        /// The number of tokens; none ends the fault.
        tokens: Option<u32>,
    },
    /// Load reports say that the engine leaves, and new requests are refused.
    Leaving {
        /// Whether the engine leaves.
        on: bool,
    },
    /// A crashed engine serves again, with empty memory.
    Restore,
    /// Ends every fault but a crash.
    Heal,
}

/// A fault of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum ServiceFault {
    /// The next `count` requests find their connection closed before they are read.
    CloseBefore {
        /// The number of requests.
        count: u32,
    },
    /// The next `count` requests take effect and find their connection closed before the answer.
    CloseAfterEffect {
        /// The number of requests.
        count: u32,
    },
    /// Every request waits before it runs.
    Delay {
        /// The time in milliseconds; 0 ends the fault.
        ms: u64,
    },
    /// Requests are answered with status 503 before they run.
    Refuse {
        /// Whether the refusals begin or end.
        on: bool,
    },
    /// All connections close and new ones are refused, until a restore or the time is over.
    Crash {
        /// How long the service stays away, in milliseconds; none is until a restore.
        for_ms: Option<u64>,
    },
    /// A crashed service serves again; its effects are kept.
    Restore,
    /// Ends every fault but a crash.
    Heal,
}

/// What an engine does with the fencing number of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderMode {
    /// An order with an older number than the newest seen is refused.
    #[default]
    Checks,
    /// The number is ignored.
    Ignores,
}

/// A fault could not be set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the stand-in's thread has ended")]
pub struct FaultError;
