//! What this program and the platform say: readiness, leaving, records in force, the VM list.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

use oleander_base::prelude::*;

use crate::claim::{Claim, Health, Phase};
use crate::machine::{Dissemination, Membership};

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
        self.set_phase(Phase::Live, now);
    }

    /// Says that this instance takes no new work, and tells everyone at once.
    pub fn leave(&mut self, now: MonoTime) {
        self.set_phase(Phase::Leaving, now);
    }

    fn set_phase(&mut self, phase: Phase, now: MonoTime) {
        self.advance(now);
        let own = self.own_claim();
        if own.phase == phase {
            return;
        }
        let sequence = own.sequence + 1;
        let claim = Claim {
            sequence,
            phase,
            ..own
        };
        self.update_own_claim(claim, now);
        self.broadcast(&claim, now);
    }

    /// Says that this instance ends now and never comes back.
    pub fn depart(&mut self, now: MonoTime) {
        self.advance(now);
        let health = Health::Final;
        let claim = Claim {
            health,
            ..self.own_claim()
        };
        self.broadcast(&claim, now);
    }

    /// Says which records this instance has in force.
    pub fn set_revision(&mut self, revision: Revision, now: MonoTime) {
        self.advance(now);
        let own = self.own_claim();
        if revision > own.revision {
            self.table.merge(&Claim { revision, ..own }, now);
            let local_member_count = self.local_member_count();
            self.rumors.push_revision(self.me, local_member_count);
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
        self.discovery.set_listed(listed, now);
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
            self.update_own_claim(claim, now);
        } else {
            self.apply_claim(&claim, Dissemination::Piggyback, now);
            self.send_claims(instance, crate::wire::Body::Gossip, vec![claim], now);
        }
        self.broadcast(&claim, now);
    }
}
