//! Inputs from the program and the platform: readiness, leaving, the revision of the records and
//! the VM list.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

use oleander_base::prelude::*;

use crate::claim::{Claim, Health, Phase};
use crate::machine::{DisseminationMode, Membership};

/// One VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM's address.
    pub address: IpAddr,
    /// The port of the VM's peer socket; this instance's own port is assumed if it is absent.
    pub port: Option<u16>,
    /// Whether the list marks the VM as about to be removed.
    pub leaving: bool,
}

impl Membership {
    /// Announces that this instance serves from now on.
    ///
    /// This also cancels an earlier leave; a VM list that marks the VM as leaving sets it again.
    pub fn serve(&mut self, now: MonoTime) {
        self.set_phase(Phase::Live, now);
    }

    /// Announces at once that this instance accepts no new work.
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

    /// Announces at once that this instance ends permanently.
    pub fn depart(&mut self, now: MonoTime) {
        self.advance(now);
        let health = Health::Final;
        let claim = Claim {
            health,
            ..self.own_claim()
        };
        self.broadcast(&claim, now);
    }

    /// Sets the revision of the records that this instance applies, if it is newer.
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

    /// Processes the platform's VM list.
    ///
    /// The list lags behind the fleet, so it only adds addresses to dial and marks members as
    /// leaving. A member that is not on it stays as long as it responds to probes.
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
            self.apply_claim(&claim, DisseminationMode::Piggyback, now);
            self.send_claims(instance, crate::wire::Body::Gossip, vec![claim], now);
        }
        self.broadcast(&claim, now);
    }
}
