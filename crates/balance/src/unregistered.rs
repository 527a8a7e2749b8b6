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
    /// How many entries of such backend servers had gone at the last look, by service.
    counts: FastMap<Arc<str>, u64>,
    /// When the entry of such a backend server was last found to be gone, by service.
    gone: FastMap<Arc<str>, MonoTime>,
}

impl UnregisteredProcesses {
    /// Takes over what the table shows now.
    pub fn observe(&mut self, fleet: &FleetTable, now: MonoTime) {
        for (service, count) in fleet.unregistered_gone().filter(|(_, count)| *count > 0) {
            let known = self.counts.insert(Arc::clone(service), count);
            if known != Some(count) {
                self.gone.insert(Arc::clone(service), now);
            }
        }
        self.gone
            .retain(|_, gone| now.since(*gone) < ORIGIN_RETENTION);
    }

    /// Returns whether a stream in progress may have begun at such a process whose entry is gone.
    pub fn has_gone(&self, service: &str, now: MonoTime) -> bool {
        let gone = self.gone.get(service);
        gone.is_some_and(|gone| now.since(*gone) < ORIGIN_RETENTION)
    }
}
