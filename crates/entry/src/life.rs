//! Whether this entry VM takes requests: starting, ready, leaving, drained.

use std::sync::atomic::{AtomicU8, Ordering};

use serde::{Deserialize, Serialize};

/// The stages of an entry VM's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum LifeStage {
    /// No records are in force yet.
    Starting = 0,
    /// Requests are served and roles are taken.
    Ready = 1,
    /// The readiness check fails and roles are handed over; what still comes is served.
    Leaving = 2,
}

/// The stage of this process.
#[derive(Debug, Default)]
pub struct LifeCycle {
    stage: AtomicU8,
}

impl LifeCycle {
    /// Returns the stage.
    pub fn stage(&self) -> LifeStage {
        match self.stage.load(Ordering::Acquire) {
            0 => LifeStage::Starting,
            1 => LifeStage::Ready,
            _ => LifeStage::Leaving,
        }
    }

    /// Becomes ready if the process was starting; returns whether it was.
    pub fn begin_serving(&self) -> bool {
        let (from, to) = (LifeStage::Starting as u8, LifeStage::Ready as u8);
        self.stage
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// Leaves if the process was ready; returns whether it was.
    pub fn begin_leaving(&self) -> bool {
        let (from, to) = (LifeStage::Ready as u8, LifeStage::Leaving as u8);
        self.stage
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// Enters a stage; returns whether it is a change.
    pub fn set_stage(&self, stage: LifeStage) -> bool {
        self.stage.swap(stage as u8, Ordering::AcqRel) != stage as u8
    }
}
