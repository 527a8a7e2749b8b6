//! Processes that were met at the addresses of backend servers, and that no registry entry describes.
//!
//! The software version of such a process is not known before its own entry comes. Streams may have begun there. If the
//! entry of the process before it goes first, nothing in the registry tells of it any more, so it is remembered for as
//! long as a stream that it began can be resumed.

use std::sync::Arc;

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::fleet_table::FleetTable;
use crate::stream_origin::ORIGIN_RETENTION;

/// The services at which processes were met that no entry describes.
#[derive(Debug, Default)]
pub struct UnregisteredProcesses {
    /// The services of the backend servers at whose addresses there is one now, by their ids.
    present: FastMap<Arc<str>, Arc<str>>,
    /// When the entry of such a backend server was last found to be gone, by service.
    gone: FastMap<Arc<str>, MonoTime>,
}

impl UnregisteredProcesses {
    /// Takes over what the table shows now. A backend server that has a new entry is described again.
    pub fn observe(&mut self, fleet: &FleetTable, now: MonoTime) {
        for (id, service) in self.present.drain() {
            if fleet.key_of(&id).is_none() {
                self.gone.insert(service, now);
            }
        }
        let members = fleet.members();
        let replaced = members.filter(|(_, member)| member.state.process.is_replaced());
        let names = replaced.map(|(_, member)| {
            let entry = &member.entry;
            (Arc::clone(&entry.id), Arc::clone(&entry.service))
        });
        self.present.extend(names);
        self.gone
            .retain(|_, gone| now.since(*gone) < ORIGIN_RETENTION);
    }

    /// Returns whether a stream in progress may have begun at such a process whose entry is gone.
    pub fn has_gone(&self, service: &str, now: MonoTime) -> bool {
        let gone = self.gone.get(service);
        gone.is_some_and(|gone| now.since(*gone) < ORIGIN_RETENTION)
    }
}
