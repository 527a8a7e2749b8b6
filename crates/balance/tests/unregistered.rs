//! Processes that were met at the addresses of backend servers, and that no registry entry describes.

mod common;

use common::entry;
use oleander_balance::{EntryChange, FleetTable, UnregisteredProcesses};
use oleander_base::prelude::*;

const SERVICE: &str = "model";
const NOW: MonoTime = MonoTime(20_000_000);

// Guards against a process without an entry that is forgotten because the entry of the process before it goes with the first
// change of the registry after it was met.
#[test]
fn a_process_is_remembered_whose_entry_goes_before_the_table_is_observed() {
    let mut fleet = FleetTable::default();
    let mut unregistered = UnregisteredProcesses::default();
    let EntryChange::Joined(key) = fleet.upsert(entry("i-1", SERVICE, 16)) else {
        panic!("i-1 is new");
    };
    unregistered.observe(&fleet, NOW);
    fleet.mark_replaced(key, NOW);
    fleet.remove("i-1");
    unregistered.observe(&fleet, NOW);
    assert!(unregistered.has_gone(SERVICE, NOW));
}
