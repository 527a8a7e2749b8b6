//! One budget for the answers, and the events of streams, that a gateway holds until they are complete.
//!
//! A bound for each answer alone would let many of them fill the memory together. Short answers are not
//! counted, so that they are still served while a few long ones use the budget up. All answers count towards
//! the memory that callers' connections share ([`crate::client_budget`]).

use crate::core::GatewayCore;
use crate::http::ByteBound;

/// The length up to which an answer is held outside the budget, in bytes.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// The part of the process's memory that is the budget, as a divisor.
const MEMORY_DIVISOR: u64 = 8;

/// The budget of a process whose settings limit no memory, in bytes.
const DEFAULT_BUDGET_BYTES: u64 = 64 * 1024 * 1024;

/// The bytes that one answer takes from the budget until this is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes<'a> {
    core: &'a GatewayCore,
    counted: usize,
    bytes: usize,
}

impl<'a> HeldBytes<'a> {
    /// Begins to hold an answer.
    pub(crate) fn open(core: &'a GatewayCore) -> Self {
        Self {
            core,
            counted: 0,
            bytes: 0,
        }
    }

    /// Holds this many bytes in all, unless the budget is used up.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), ByteBound> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let held = self.core.held_bytes.get() - self.counted + counted;
        if counted > 0 && held as u64 > budget(self.core) {
            return Err(ByteBound::HeldAnswers);
        }
        self.core.held_bytes.set(held);
        self.counted = counted;
        let all = self.core.answer_bytes.get();
        self.core.answer_bytes.set(all - self.bytes + bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for HeldBytes<'_> {
    fn drop(&mut self) {
        let held = self.core.held_bytes.get();
        self.core.held_bytes.set(held - self.counted);
        let all = self.core.answer_bytes.get();
        self.core.answer_bytes.set(all - self.bytes);
    }
}

fn budget(core: &GatewayCore) -> u64 {
    let memory = core.settings().memory_bytes;
    memory.map_or(DEFAULT_BUDGET_BYTES, |bytes| bytes / MEMORY_DIVISOR)
}
