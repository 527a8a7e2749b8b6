//! What arrives: datagrams, answers at dialled addresses and hints of the transport.

use std::net::SocketAddr;

use oleander_base::prelude::*;
use rand::Rng;

use crate::claim::{Claim, Health};
use crate::machine::{Membership, News, RosterDifference};
use crate::probe::ProbeKind;
use crate::wire::{Body, CentreNote, Packet, RevisionNote, SenderNote};

impl Membership {
    /// Takes a datagram from an instance; returns whether it parsed.
    pub fn receive(&mut self, from: InstanceId, datagram: &[u8], now: MonoTime) -> bool {
        self.advance(now);
        let Some(packet) = Packet::decode(datagram) else {
            return false;
        };
        if from == self.me {
            return true;
        }
        self.joined = true;
        self.learn_sender(from, &packet.sender, now);
        self.compare_rosters(packet.sender.centre, packet.hash, from, now);
        let news = match packet.body {
            Body::Gossip => News::Urgent,
            Body::Roster => News::Old,
            _ => News::Fresh,
        };
        for claim in &packet.claims {
            self.learn(claim, news, now);
        }
        for note in &packet.revisions {
            self.learn_revision(note, now);
        }
        let ours = packet.sender.centre == self.centre;
        for note in &packet.centres {
            self.learn_centre(note, ours, from, now);
        }
        self.answer(from, &packet, now);
        true
    }

    fn learn_sender(&mut self, from: InstanceId, note: &SenderNote, now: MonoTime) {
        let claim = Claim {
            instance: from,
            centre: note.centre,
            sequence: note.sequence,
            phase: note.phase,
            health: Health::Alive,
            weight: note.weight,
            revision: note.revision,
        };
        self.learn(&claim, News::Urgent, now);
        if note.centre != self.centre && self.centres.heard(note.centre, now) {
            self.version += 1;
        }
    }

    fn learn_revision(&mut self, note: &RevisionNote, now: MonoTime) {
        let known = self
            .table
            .present_in(self.centre)
            .find(|claim| claim.instance.incarnation as u32 == note.tag)
            .copied();
        if let Some(claim) = known {
            let revision = note.revision;
            self.learn(&Claim { revision, ..claim }, News::Fresh, now);
        }
    }

    fn learn_centre(&mut self, note: &CentreNote, ours: bool, from: InstanceId, now: MonoTime) {
        self.compare_rosters(note.centre, note.hash, from, now);
        if note.centre != self.centre && self.centres.learn(note, ours, now) {
            self.version += 1;
        }
    }

    /// Fetches a roster when ours has differed from others' for some time.
    ///
    /// Only the member whose roster differed first can say that there is no difference any more;
    /// the agreement of a third one proves nothing.
    fn compare_rosters(&mut self, centre: CentreId, hash: u32, from: InstanceId, now: MonoTime) {
        if self.table.hash(centre) == hash {
            if self
                .differences
                .get(&centre)
                .is_some_and(|d| d.with == from)
            {
                self.differences.remove(&centre);
            }
            return;
        }
        let first = RosterDifference {
            with: from,
            since: now,
        };
        let since = self.differences.entry(centre).or_insert(first).since;
        let delay = self.settings.sync_delay;
        if now.since(since) >= delay {
            let spread = Span(self.rng.random_range(0..=delay.0));
            let next = RosterDifference {
                with: from,
                since: now + spread,
            };
            self.differences.insert(centre, next);
            let centre = Some(centre);
            self.send(from, Body::RosterAsk { centre }, now);
        }
    }

    fn answer(&mut self, from: InstanceId, packet: &Packet, now: MonoTime) {
        match packet.body {
            Body::Ping { nonce } => self.send(from, Body::Ack { nonce }, now),
            Body::Ack { nonce } => self.on_ack(from, nonce, now),
            Body::ProbeFor { nonce, target } => {
                let kind = ProbeKind::OnBehalf { of: from, nonce };
                self.start_probe(target, kind, now);
            }
            Body::ProbeDone { nonce } => {
                let kind = self.probes.get(nonce).map(|probe| probe.kind);
                if matches!(kind, Some(ProbeKind::Inside { .. })) {
                    self.probes.finish(nonce);
                }
            }
            Body::RosterAsk { centre } => self.send_rosters(from, centre, now),
            Body::Roster => self.correct(from, &packet.claims, now),
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
        self.clear_staleness();
        self.set_strain(self.strain.saturating_sub(1));
        if let ProbeKind::OnBehalf { of, nonce } = probe.kind {
            self.send(of, Body::ProbeDone { nonce }, now);
        }
        let doubted = |claim: &Claim| claim.health > Health::Alive;
        if self.table.get(from).is_some_and(|r| doubted(&r.claim)) {
            self.send(from, Body::Gossip, now);
        }
    }

    /// Tells the sender of a roster what it takes for present and we know to be gone.
    fn correct(&mut self, from: InstanceId, claims: &[Claim], now: MonoTime) {
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

    /// Takes the outcome of dialling an address: the instance that answered, if any did.
    pub fn answered(&mut self, address: SocketAddr, found: Option<InstanceId>, now: MonoTime) {
        self.advance(now);
        let here: Vec<Claim> = self
            .contested
            .values()
            .filter(|claim| claim.instance.address == address)
            .copied()
            .collect();
        for claim in &here {
            self.contested.remove(&claim.instance);
        }
        let Some(found) = found else {
            return;
        };
        if found.address == address {
            self.settle(found, &here, now);
        } else {
            self.aliases.insert(address, found);
        }
        if found != self.me && self.table.get(found).is_none_or(|r| !r.claim.is_present()) {
            self.send(found, Body::RosterAsk { centre: None }, now);
        }
    }

    /// Ends every other instance at the address of one that answered there.
    fn settle(&mut self, found: InstanceId, contested: &[Claim], now: MonoTime) {
        for instance in self.table.unended_at(found.address) {
            if instance != found
                && let Some(record) = self.table.get(instance).copied()
            {
                self.end(&record.claim, now);
            }
        }
        for claim in contested {
            if claim.instance == found {
                self.learn(claim, News::Fresh, now);
            } else {
                self.end(claim, now);
            }
        }
    }

    /// Takes a hint that an instance may not answer any more; it is probed at once.
    pub fn doubt(&mut self, instance: InstanceId, now: MonoTime) {
        self.advance(now);
        let inside = self
            .table
            .get(instance)
            .is_some_and(|r| r.claim.centre == self.centre && r.claim.health == Health::Alive);
        if inside && instance != self.me && !self.probes.is_probing(instance) {
            let kind = ProbeKind::Inside { asked: false };
            self.start_probe(instance, kind, now);
        }
    }
}
