//! Handling of received datagrams, results of dialled addresses and hints from the transport.

use std::net::SocketAddr;

use oleander_base::prelude::*;
use rand::Rng;

use crate::claim::{Claim, Health};
use crate::machine::{DisseminationMode, Membership, RosterMismatch};
use crate::probe::ProbeKind;
use crate::wire::{Body, CentreStatus, Packet, RevisionUpdate, SenderState};

impl Membership {
    /// Processes a datagram from an instance and returns whether it could be decoded.
    pub fn receive(&mut self, from: InstanceId, datagram: &[u8], now: MonoTime) -> bool {
        self.advance(now);
        let Some(packet) = Packet::decode(datagram) else {
            return false;
        };
        if from == self.me {
            return true;
        }
        self.joined = true;
        self.apply_sender_state(from, &packet.sender, now);
        self.compare_rosters(packet.sender.centre, packet.hash, from, now);
        let mode = match packet.body {
            Body::Gossip => DisseminationMode::Immediate,
            Body::Roster => DisseminationMode::Skip,
            _ => DisseminationMode::Piggyback,
        };
        for claim in &packet.claims {
            self.apply_claim(claim, mode, now);
        }
        for update in &packet.revisions {
            self.apply_revision_update(update, now);
        }
        let from_local = packet.sender.centre == self.centre;
        for status in &packet.centres {
            self.apply_centre_status(status, from_local, from, now);
        }
        self.respond(from, &packet, now);
        true
    }

    fn apply_sender_state(&mut self, from: InstanceId, sender: &SenderState, now: MonoTime) {
        let claim = Claim {
            instance: from,
            centre: sender.centre,
            sequence: sender.sequence,
            phase: sender.phase,
            health: Health::Alive,
            weight: sender.weight,
            revision: sender.revision,
        };
        self.apply_claim(&claim, DisseminationMode::Immediate, now);
        if sender.centre != self.centre && self.centres.record_contact(sender.centre, now) {
            self.version += 1;
        }
    }

    fn apply_revision_update(&mut self, update: &RevisionUpdate, now: MonoTime) {
        let known = self
            .table
            .present_in(self.centre)
            .find(|claim| claim.instance.incarnation as u32 == update.tag)
            .copied();
        if let Some(claim) = known {
            let revision = update.revision;
            self.apply_claim(
                &Claim { revision, ..claim },
                DisseminationMode::Piggyback,
                now,
            );
        }
    }

    fn apply_centre_status(
        &mut self,
        status: &CentreStatus,
        from_local: bool,
        from: InstanceId,
        now: MonoTime,
    ) {
        self.compare_rosters(status.centre, status.hash, from, now);
        if status.centre != self.centre && self.centres.merge_status(status, from_local, now) {
            self.version += 1;
        }
    }

    /// Requests a roster once the local one has differed from those of others for some time.
    ///
    /// A mismatch is cleared only by the member with which it was recorded; a matching hash of
    /// another member does not show that the two rosters agree.
    fn compare_rosters(&mut self, centre: CentreId, hash: u32, from: InstanceId, now: MonoTime) {
        if self.table.hash(centre) == hash {
            if self.mismatches.get(&centre).is_some_and(|d| d.with == from) {
                self.mismatches.remove(&centre);
            }
            return;
        }
        let first = RosterMismatch {
            with: from,
            since: now,
        };
        let since = self.mismatches.entry(centre).or_insert(first).since;
        let delay = self.settings.roster_sync_delay;
        if now.since(since) >= delay {
            let jitter = Span(self.rng.random_range(0..=delay.0));
            let next = RosterMismatch {
                with: from,
                since: now + jitter,
            };
            self.mismatches.insert(centre, next);
            let centre = Some(centre);
            self.send(from, Body::RosterRequest { centre }, now);
        }
    }

    fn respond(&mut self, from: InstanceId, packet: &Packet, now: MonoTime) {
        match packet.body {
            Body::Ping { nonce } => self.send(from, Body::Ack { nonce }, now),
            Body::Ack { nonce } => self.on_ack(from, nonce, now),
            Body::IndirectPing { nonce, target } => {
                let kind = ProbeKind::Indirect {
                    requester: from,
                    nonce,
                };
                self.start_probe(target, kind, now);
            }
            Body::IndirectAck { nonce } => {
                let kind = self.probes.get(nonce).map(|probe| probe.kind);
                if matches!(kind, Some(ProbeKind::Local { .. })) {
                    self.probes.finish(nonce);
                }
            }
            Body::RosterRequest { centre } => self.send_rosters(from, centre, now),
            Body::Roster => self.send_corrections(from, &packet.claims, now),
            Body::Gossip => {}
        }
    }

    fn on_ack(&mut self, from: InstanceId, nonce: u32, now: MonoTime) {
        if self.probes.get(nonce).is_none_or(|p| p.target != from) {
            return;
        }
        let Some(probe) = self.probes.finish(nonce) else {
            return;
        };
        self.clear_stale();
        self.set_local_health(self.local_health.saturating_sub(1));
        if let ProbeKind::Indirect { requester, nonce } = probe.kind {
            self.send(requester, Body::IndirectAck { nonce }, now);
        }
        let is_suspected = |claim: &Claim| claim.health > Health::Alive;
        if self.table.get(from).is_some_and(|r| is_suspected(&r.claim)) {
            self.send(from, Body::Gossip, now);
        }
    }

    /// Sends corrections to the sender of a roster that lists members known to be gone.
    fn send_corrections(&mut self, from: InstanceId, claims: &[Claim], now: MonoTime) {
        let corrections: Vec<Claim> = claims
            .iter()
            .filter(|claim| claim.is_present())
            .filter_map(|claim| self.table.get(claim.instance))
            .map(|record| record.claim)
            .filter(|known| !known.is_present())
            .collect();
        if !corrections.is_empty() {
            self.send_claims(from, Body::Gossip, corrections, now);
        }
    }

    /// Processes the result of dialling an address: the instance that answered, if any.
    pub fn on_dial_result(
        &mut self,
        address: SocketAddr,
        answering: Option<InstanceId>,
        now: MonoTime,
    ) {
        self.advance(now);
        let at_address: Vec<Claim> = self
            .conflicts
            .values()
            .filter(|claim| claim.instance.address == address)
            .copied()
            .collect();
        for claim in &at_address {
            self.conflicts.remove(&claim.instance);
        }
        let Some(answering) = answering else {
            return;
        };
        if answering.address == address {
            self.resolve_conflict(answering, &at_address, now);
        } else {
            self.aliases.insert(address, answering);
        }
        if answering != self.me
            && self
                .table
                .get(answering)
                .is_none_or(|r| !r.claim.is_present())
        {
            self.send(answering, Body::RosterRequest { centre: None }, now);
        }
    }

    /// Marks every other instance at the address of the answering one as ended.
    fn resolve_conflict(&mut self, answering: InstanceId, conflicts: &[Claim], now: MonoTime) {
        for instance in self.table.not_final_at(answering.address) {
            if instance != answering
                && let Some(record) = self.table.get(instance).copied()
            {
                self.mark_final(&record.claim, now);
            }
        }
        for claim in conflicts {
            if claim.instance == answering {
                self.apply_claim(claim, DisseminationMode::Piggyback, now);
            } else {
                self.mark_final(claim, now);
            }
        }
    }

    /// Probes an instance at once after a hint that it may have failed.
    ///
    /// Only alive members of the local data centre that are not being probed are probed.
    pub fn probe_now(&mut self, instance: InstanceId, now: MonoTime) {
        self.advance(now);
        let is_alive_local = self
            .table
            .get(instance)
            .is_some_and(|r| r.claim.centre == self.centre && r.claim.health == Health::Alive);
        if is_alive_local && instance != self.me && !self.probes.is_probing(instance) {
            let kind = ProbeKind::Local {
                indirect_sent: false,
            };
            self.start_probe(instance, kind, now);
        }
    }
}
