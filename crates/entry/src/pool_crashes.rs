//! The requests of one pool that crash the backend servers that run them.
//!
//! The dispatcher of a pool sees the end of each use of a slot, whichever entry VM sent the request. A
//! request that has crashed several backend servers is shed instead of being granted another slot
//! (`oleander_balance::SuspectTable`; docs/PLATFORM.md, "Requests that crash backend servers"). A new
//! dispatcher starts without that knowledge.

use oleander_balance::{
    BackendCrash, Quarantine, ServiceId, SuspectId, SuspectTable, SuspectVerdict,
};
use oleander_base::prelude::*;
use oleander_base::{EndKind, ReleaseNotice};

/// The time within which broken requests of one backend server are ends of the same crash.
const SAME_CRASH_TIME: Span = Span::from_millis(800);

/// The table serves one pool, so that its services need no names.
const POOL_SERVICE: ServiceId = ServiceId(0);

/// The last crash of one backend server.
#[derive(Debug, Clone, Copy)]
struct LastCrash {
    number: u64,
    at: MonoTime,
}

/// The requests of one pool that are under suspicion of crashing its backend servers.
#[derive(Debug, Default)]
pub(crate) struct PoolCrashes {
    table: SuspectTable,
    last: FastMap<BackendId, LastCrash>,
    crashes: u64,
}

impl PoolCrashes {
    /// Returns the quarantine that keeps a request from being granted a slot, if there is one.
    pub(crate) fn check(&mut self, ticket: &Ticket, now: MonoTime) -> Option<Quarantine> {
        if self.table.is_empty() {
            return None;
        }
        self.table.prune(now);
        self.table.refresh(now);
        match self.table.check(&[SuspectId::Request(ticket.digest)], now) {
            SuspectVerdict::Sound => None,
            SuspectVerdict::Blocked(quarantine) => Some(quarantine),
            // No other process grants slots of this pool.
            SuspectVerdict::Probe(ids) => {
                self.table.claim(&ids, now);
                None
            }
        }
    }

    /// Notes how the use of a slot ended.
    pub(crate) fn on_release(&mut self, notice: &ReleaseNotice, now: MonoTime) {
        let ids = [SuspectId::Request(notice.digest)];
        match notice.end {
            EndKind::Finished => {
                self.table.record_answer(POOL_SERVICE, &ids, now);
            }
            EndKind::Crashed => {
                let crash = BackendCrash {
                    service: POOL_SERVICE,
                    backend: self.crash_number(notice.backend, now),
                    sent_at: MonoTime(now.0.saturating_sub(notice.total.0)),
                    at: now,
                };
                self.table.record_crash(&ids, crash, now);
            }
            EndKind::Cancelled | EndKind::Failed | EndKind::Refused => {}
        }
    }

    /// Returns a number for the crash that a request was part of: a backend server keeps its id when it
    /// starts again.
    fn crash_number(&mut self, backend: BackendId, now: MonoTime) -> u64 {
        let known = self.last.get(&backend).copied();
        let number = match known {
            Some(last) if now.since(last.at) < SAME_CRASH_TIME => last.number,
            _ => {
                self.crashes += 1;
                self.crashes
            }
        };
        self.last.insert(backend, LastCrash { number, at: now });
        number
    }
}
