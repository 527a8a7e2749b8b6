//! The life stages of an entry VM: starting, ready, leaving.

use std::sync::atomic::{AtomicU8, Ordering};

use serde::{Deserialize, Serialize};

/// A stage in the life of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum LifeStage {
    /// No records are in force yet.
    Starting = 0,
    /// Requests are served, and the VM may take roles.
    Ready = 1,
    /// The readiness check fails and roles are handed over; requests that still arrive are served.
    Leaving = 2,
}

/// The current stage of this process.
#[derive(Debug, Default)]
pub struct LifeCycle {
    stage: AtomicU8,
}

impl LifeCycle {
    /// Returns the current stage.
    pub fn stage(&self) -> LifeStage {
        match self.stage.load(Ordering::Acquire) {
            0 => LifeStage::Starting,
            1 => LifeStage::Ready,
            _ => LifeStage::Leaving,
        }
    }

    /// Changes from starting to ready; returns whether the process was starting.
    pub fn begin_serving(&self) -> bool {
        let (from, to) = (LifeStage::Starting as u8, LifeStage::Ready as u8);
        self.stage
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// Changes from ready to leaving; returns whether the process was ready.
    pub fn begin_leaving(&self) -> bool {
        let (from, to) = (LifeStage::Ready as u8, LifeStage::Leaving as u8);
        self.stage
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// Sets the stage; returns whether it changed.
    pub fn set_stage(&self, stage: LifeStage) -> bool {
        self.stage.swap(stage as u8, Ordering::AcqRel) != stage as u8
    }
}
