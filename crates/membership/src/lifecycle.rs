//! What this program and the platform say: readiness, leaving, records in force, the VM list.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

use oleander_base::prelude::*;

use crate::claim::{Claim, Health, Phase};
use crate::machine::{Membership, News};

/// One VM of the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedVm {
    /// Its address.
    pub address: IpAddr,
    /// The port of its peers' socket, if the list tells; ours otherwise.
    pub port: Option<u16>,
    /// Whether the list says that it is about to go.
    pub leaving: bool,
}

impl Membership {
    /// Says that this instance serves from now on.
    ///
    /// It takes a leave back too, unless the VM list still says that the VM leaves.
    pub fn serve(&mut self, now: MonoTime) {
        self.enter(Phase::Live, now);
    }

    /// Says that this instance takes no new work, and tells everyone at once.
    pub fn leave(&mut self, now: MonoTime) {
        self.enter(Phase::Leaving, now);
    }

    fn enter(&mut self, phase: Phase, now: MonoTime) {
        self.advance(now);
        let mine = self.my_claim();
        if mine.phase == phase {
            return;
        }
        let sequence = mine.sequence + 1;
        let claim = Claim {
            sequence,
            phase,
            ..mine
        };
        self.put_mine(claim, now);
        self.tell_all(&claim, now);
    }

    /// Says that this instance ends now and never comes back.
    pub fn depart(&mut self, now: MonoTime) {
        self.advance(now);
        let health = Health::Final;
        let claim = Claim {
            health,
            ..self.my_claim()
        };
        self.tell_all(&claim, now);
    }

    /// Says which records this instance has in force.
    pub fn set_revision(&mut self, revision: Revision, now: MonoTime) {
        self.advance(now);
        let mine = self.my_claim();
        if revision > mine.revision {
            self.table.put(&Claim { revision, ..mine }, now);
            let audience = self.audience();
            self.rumors.push_revision(self.me, audience);
            self.version += 1;
        }
    }

    /// Takes the platform's VM list.
    ///
    /// The list lags, so it only adds addresses to try and marks members as leaving. A member that
    /// is not on it stays as long as it answers.
    pub fn observe_list(&mut self, list: &[ListedVm], now: MonoTime) {
        self.advance(now);
        let port = self.me.address.port();
        let address_of = |vm: &ListedVm| SocketAddr::new(vm.address, vm.port.unwrap_or(port));
        let listed: BTreeSet<_> = list.iter().map(address_of).collect();
        self.contact.list(listed, now);
        for vm in list.iter().filter(|vm| vm.leaving) {
            if let Some(instance) = self.table.present_at(address_of(vm)) {
                self.mark_leaving(instance, now);
            }
        }
    }

    fn mark_leaving(&mut self, instance: InstanceId, now: MonoTime) {
        let Some(record) = self.table.get(instance).copied() else {
            return;
        };
        if record.claim.phase == Phase::Leaving {
            return;
        }
        let phase = Phase::Leaving;
        let claim = Claim {
            phase,
            ..record.claim
        };
        if instance == self.me {
            self.put_mine(claim, now);
        } else {
            self.learn(&claim, News::Fresh, now);
            self.send_claims(instance, crate::wire::Body::Gossip, vec![claim], now);
        }
        self.tell_all(&claim, now);
    }
}
