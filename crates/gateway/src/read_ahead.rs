//! One bound for all that this gateway holds for callers that read slowly. A bound for each caller alone would let many
//! of them fill the memory together.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use oleander_balance::{HeldStream, first_given_up};
use oleander_base::{FastSet, monotonic_now};
use tokio::sync::Notify;

use crate::core::GatewayCore;
use crate::held_bytes::HeldBytes;
use crate::prelude::*;

/// The part of the process's memory that callers' unread streams may take, as a divisor.
const MEMORY_DIVISOR: u64 = 8;

/// The bound of a process whose settings limit no memory, in bytes.
const DEFAULT_BOUND_BYTES: u64 = 64 * 1024 * 1024;

/// The streams that are read ahead.
#[derive(Debug, Default)]
pub(crate) struct ReadAheadTable {
    streams: RefCell<FastMap<u64, HeldEntry>>,
    /// The bytes that all of them hold.
    held: Cell<usize>,
    /// The streams that were given up and whose memory is not free yet.
    ending: RefCell<FastSet<u64>>,
    next: Cell<u64>,
}

#[derive(Debug)]
struct HeldEntry {
    stream: HeldStream,
    give_up: Rc<Notify>,
}

impl ReadAheadTable {
    /// Returns the bytes that are held for all callers.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held.get()
    }

    fn insert(&self, number: u64, entry: HeldEntry) {
        self.held.set(self.held.get() + entry.stream.held);
        if let Some(old) = self.streams.borrow_mut().insert(number, entry) {
            self.held.set(self.held.get() - old.stream.held);
        }
    }

    fn remove(&self, number: u64) -> Option<HeldEntry> {
        let entry = self.streams.borrow_mut().remove(&number)?;
        self.held.set(self.held.get() - entry.stream.held);
        Some(entry)
    }

    /// Gives up the stream that `first_given_up` selects; returns false if it selects none, because no stream holds
    /// much. The memory is free as soon as the stream's task has run.
    fn give_up_first(&self, core: &GatewayCore) -> bool {
        let (numbers, held): (Vec<u64>, Vec<HeldStream>) = self
            .streams
            .borrow()
            .iter()
            .map(|(number, entry)| (*number, entry.stream))
            .unzip();
        let index = first_given_up(&held, monotonic_now());
        let Some(entry) = index.and_then(|index| self.remove(numbers[index])) else {
            return false;
        };
        if let Some(index) = index {
            self.ending.borrow_mut().insert(numbers[index]);
        }
        entry.give_up.notify_one();
        core.metrics.record_given_up();
        true
    }
}

/// The part of the bound that one stream takes, until this is dropped.
#[derive(Debug)]
pub(crate) struct ReadAhead<'a> {
    core: &'a GatewayCore,
    number: u64,
    give_up: Rc<Notify>,
    /// Its part of the budget of all answers and events that the gateway holds, whether read ahead or not.
    budget: HeldBytes<'a>,
}

impl<'a> ReadAhead<'a> {
    /// Begins to read a stream ahead.
    pub(crate) fn open(core: &'a GatewayCore) -> Self {
        let number = core.read_ahead.next.get();
        core.read_ahead.next.set(number + 1);
        Self {
            core,
            number,
            give_up: Rc::new(Notify::new()),
            budget: HeldBytes::open(core),
        }
    }

    /// Notes what the stream holds, and gives streams up while all of them hold too much.
    pub(crate) fn note(&mut self, stream: HeldStream) {
        let table = &self.core.read_ahead;
        let is_over_budget = self.budget.grow_to(stream.held).is_err();
        if stream.held == 0 {
            table.remove(self.number);
            return;
        }
        if table.ending.borrow().contains(&self.number) {
            return;
        }
        let entry = HeldEntry {
            stream,
            give_up: Rc::clone(&self.give_up),
        };
        table.insert(self.number, entry);
        // The budget counts a stream that was given up until its task has run, which takes a moment.
        if is_over_budget && table.ending.borrow().is_empty() {
            table.give_up_first(self.core);
        }
        while table.held_bytes() as u64 > bound(self.core) && table.give_up_first(self.core) {}
    }

    /// Waits until the stream is given up.
    pub(crate) async fn given_up(&self) {
        self.give_up.notified().await;
    }
}

impl Drop for ReadAhead<'_> {
    fn drop(&mut self) {
        let table = &self.core.read_ahead;
        table.remove(self.number);
        table.ending.borrow_mut().remove(&self.number);
    }
}

fn bound(core: &GatewayCore) -> u64 {
    let memory = core.settings().memory_bytes;
    memory.map_or(DEFAULT_BOUND_BYTES, |bytes| bytes / MEMORY_DIVISOR)
}
