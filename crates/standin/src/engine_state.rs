//! The active faults of an engine's stand-in and its loaded models.

/// The faults that are in effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct FaultState {
    pub(crate) slowdown: f64,
    pub(crate) frozen: bool,
    pub(crate) refuses: bool,
    pub(crate) leaving: bool,
    pub(crate) drop_after: Option<u32>,
}

impl Default for FaultState {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            frozen: false,
            refuses: false,
            leaving: false,
            drop_after: None,
        }
    }
}

/// The models, adapters and role that the engine has loaded, and the newest fencing number seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadedState {
    pub(crate) models: Vec<String>,
    pub(crate) version: String,
    pub(crate) adapters: Vec<String>,
    pub(crate) role: oleander_base::EngineRole,
    pub(crate) newest_fencing: u64,
}
