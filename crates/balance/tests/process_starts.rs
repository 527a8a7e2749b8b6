//! Whether the processes of a service tell when they started.

mod common;

use common::entry;
use oleander_balance::{BackendKey, EntryChange, FleetTable};
use oleander_base::prelude::*;

const SERVICE: &str = "model";
const NOW: MonoTime = MonoTime(20_000_000);

fn join(fleet: &mut FleetTable, id: &str, service: &str) -> BackendKey {
    match fleet.upsert(entry(id, service, 16)) {
        EntryChange::Joined(key) => key,
        change => panic!("{id} is known: {change:?}"),
    }
}

fn can_be_asked(fleet: &FleetTable, key: BackendKey) -> bool {
    let member = fleet.get(key).expect("it has joined");
    member.state.process.can_be_asked()
}

// Guards against a refusal for a moment that is taken for one of a service whose processes never tell their start.
#[test]
fn a_backend_server_of_a_service_that_tells_starts_counts_as_one_that_tells_its_own() {
    let mut fleet = FleetTable::default();
    let first = join(&mut fleet, "i-1", SERVICE);
    let second = join(&mut fleet, "i-2", SERVICE);
    assert!(fleet.note_start_untold(first), "none has told yet");
    assert!(!can_be_asked(&fleet, first));
    fleet.note_start_told(second, NOW);
    assert!(can_be_asked(&fleet, first));
    assert!(!fleet.note_start_untold(first));
    fleet.remove("i-2");
    let third = join(&mut fleet, "i-3", SERVICE);
    assert!(!fleet.note_start_untold(third), "one has told before");
}

// Guards against a backend server that counts as one that never tells its start because its entry has gone while it was asked.
#[test]
fn a_backend_server_without_an_entry_does_not_count_as_one_that_never_tells_its_start() {
    let mut fleet = FleetTable::default();
    let gone = join(&mut fleet, "i-1", SERVICE);
    fleet.remove("i-1");
    assert!(!fleet.note_start_untold(gone));
}

// Guards against services whose processes never tell their start and are asked again and again for another service's sake.
#[test]
fn each_service_tells_for_itself() {
    let mut fleet = FleetTable::default();
    let plain = join(&mut fleet, "p-1", "plain");
    let model = join(&mut fleet, "i-1", SERVICE);
    fleet.note_start_told(model, NOW);
    assert!(fleet.note_start_untold(plain));
    assert!(!can_be_asked(&fleet, plain));
}
