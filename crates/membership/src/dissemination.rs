//! Sending of datagrams with piggybacked changes, and immediate dissemination.

use oleander_base::prelude::*;
use rand::seq::IndexedRandom;

use crate::claim::{Claim, Health, Phase};
use crate::machine::{Membership, MembershipAction};
use crate::rumor::Scope;
use crate::wire::{
    Body, CentreStatus, MAX_CENTRES, MAX_CENTRES_DURING_SYNC, MAX_CLAIMS, MAX_REVISIONS, Packet,
    RevisionUpdate, SenderState,
};

/// The maximum number of data centres to which a relay forwards a claim at once.
const IMMEDIATE_CENTRES: usize = 4;

impl Membership {
    /// Sends a datagram with piggybacked claims.
    ///
    /// A receiver that is suspected, gone or leaving is sent the claim about itself first, so that
    /// it can refute a suspicion or accept a request to leave.
    pub(crate) fn send(&mut self, to: InstanceId, body: Body, now: MonoTime) {
        let about = self.table.get(to).map(|record| record.claim);
        let about_receiver: Vec<Claim> = about
            .filter(|claim| claim.health > Health::Alive || claim.phase == Phase::Leaving)
            .into_iter()
            .collect();
        let limit = MAX_CLAIMS - about_receiver.len();
        let scope = self.scope(about.as_ref());
        let rumors = self.rumors.take(scope, limit);
        let mut claims = about_receiver;
        let updates = rumors.into_iter().filter_map(|i| self.table.get(i));
        claims.extend(updates.map(|record| record.claim));
        self.send_claims(to, body, claims, now);
    }

    /// Sends a datagram with the given claims.
    pub(crate) fn send_claims(
        &mut self,
        to: InstanceId,
        body: Body,
        claims: Vec<Claim>,
        now: MonoTime,
    ) {
        let about = self.table.get(to).map(|record| record.claim);
        let scope = self.scope(about.as_ref());
        let revisions = match scope {
            Scope::Local => self.revision_updates(),
            Scope::Remote => Vec::new(),
        };
        let packet = Packet {
            sender: self.sender_state(),
            hash: self.table.hash(self.centre),
            body,
            claims,
            revisions,
            centres: self.centre_statuses(about.map(|claim| claim.centre), now),
        };
        let datagram = packet.encode();
        self.push_action(MembershipAction::Send { to, datagram });
    }

    fn scope(&self, about: Option<&Claim>) -> Scope {
        match about {
            Some(claim) if claim.centre == self.centre => Scope::Local,
            _ => Scope::Remote,
        }
    }

    fn sender_state(&self) -> SenderState {
        let own = self.own_claim();
        SenderState {
            centre: own.centre,
            sequence: own.sequence,
            phase: own.phase,
            weight: own.weight,
            revision: own.revision,
        }
    }

    fn revision_updates(&mut self) -> Vec<RevisionUpdate> {
        let updates = self.rumors.take_revisions(MAX_REVISIONS);
        updates
            .into_iter()
            .filter_map(|instance| self.table.get(instance))
            .map(|record| RevisionUpdate {
                tag: record.claim.instance.incarnation as u32,
                revision: record.claim.revision,
            })
            .collect()
    }

    /// Returns the statuses of a few data centres in turn.
    ///
    /// A datagram to another data centre carries those of the sender's and the receiver's data
    /// centres first.
    fn centre_statuses(&mut self, to: Option<CentreId>, now: MonoTime) -> Vec<CentreStatus> {
        let mut statuses = Vec::new();
        if let Some(to) = to
            && to != self.centre
        {
            statuses.push(self.own_centre_status());
            let hash = self.table.hash(to);
            statuses.extend(self.centres.status(to, hash, now));
        }
        let limit = if self.mismatches.is_empty() {
            MAX_CENTRES
        } else {
            MAX_CENTRES_DURING_SYNC
        };
        let all: Vec<CentreId> = self.centres.iter().map(|(id, _)| id).collect();
        for _ in 0..all.len() {
            if statuses.len() >= limit {
                break;
            }
            self.centre_cursor = (self.centre_cursor + 1) % all.len();
            let centre = all[self.centre_cursor];
            if statuses.iter().all(|status| status.centre != centre) {
                let hash = self.table.hash(centre);
                statuses.extend(self.centres.status(centre, hash, now));
            }
        }
        statuses
    }

    fn own_centre_status(&mut self) -> CentreStatus {
        CentreStatus {
            centre: self.centre,
            age: 0,
            oldest_revision: self.oldest_revision(),
            hash: self.table.hash(self.centre),
            contact_age: None,
            cut_age: None,
        }
    }

    /// Returns the oldest revision in force on the present members of the local data centre that
    /// are past the joining phase.
    pub(crate) fn oldest_revision(&self) -> Option<Revision> {
        self.table
            .present_in(self.centre)
            .filter(|claim| claim.phase != Phase::Joining)
            .map(|claim| claim.revision)
            .min()
    }

    /// Sends the roster of one data centre, or of all.
    pub(crate) fn send_rosters(&mut self, to: InstanceId, centre: Option<CentreId>, now: MonoTime) {
        let claims: Vec<Claim> = self
            .table
            .records()
            .map(|record| record.claim)
            .filter(|c| c.is_present() && centre.is_none_or(|centre| c.centre == centre))
            .collect();
        for part in claims.chunks(MAX_CLAIMS) {
            self.send_claims(to, Body::Roster, part.to_vec(), now);
        }
    }

    /// Sends a claim at once to every other local member, and from a relay to other data centres.
    pub(crate) fn broadcast(&mut self, claim: &Claim, now: MonoTime) {
        for member in self.local_peers() {
            if member != claim.instance {
                self.send_claims(member, Body::Gossip, vec![*claim], now);
            }
        }
        self.send_to_remote_centres(claim, now);
    }

    /// Forwards a claim at once if this instance is a relay.
    ///
    /// A claim about a local member goes to other data centres, and a claim about a member of
    /// another data centre also goes to the local members.
    pub(crate) fn relay_claim(&mut self, claim: &Claim, now: MonoTime) {
        if !self.is_relay() {
            return;
        }
        if claim.centre == self.centre {
            self.send_to_remote_centres(claim, now);
        } else {
            self.broadcast(claim, now);
        }
    }

    fn send_to_remote_centres(&mut self, claim: &Claim, now: MonoTime) {
        if !self.is_relay() {
            return;
        }
        let visible: Vec<CentreId> = self
            .centres
            .iter()
            .filter(|(id, record)| record.is_visible() && *id != claim.centre)
            .map(|(id, _)| id)
            .collect();
        let chosen: Vec<CentreId> = visible
            .choose_multiple(&mut self.rng, IMMEDIATE_CENTRES)
            .copied()
            .collect();
        for centre in chosen {
            let relay = self.relays_of(centre).choose(&mut self.rng).copied();
            if let Some(relay) = relay {
                self.send_claims(relay, Body::Gossip, vec![*claim], now);
            }
        }
    }
}
