//! What is sent: datagrams with the changes and notes that ride on them.

use oleander_base::prelude::*;
use rand::seq::IndexedRandom;

use crate::claim::{Claim, Health, Phase};
use crate::machine::{Membership, MembershipAction};
use crate::rumor::Reach;
use crate::wire::{
    Body, CENTRE_LIMIT, CLAIM_LIMIT, CentreNote, Packet, REPAIR_CENTRE_LIMIT, REVISION_LIMIT,
    RevisionNote, SenderNote,
};

/// How many data centres a relay passes urgent news on to at once.
const URGENT_CENTRES: usize = 4;

impl Membership {
    /// Sends a datagram with whatever rides on it.
    pub(crate) fn send(&mut self, to: InstanceId, body: Body, now: MonoTime) {
        let about = self.table.get(to).map(|record| record.claim);
        let doubted: Vec<Claim> = about
            .filter(|claim| claim.health > Health::Alive || claim.phase == Phase::Leaving)
            .into_iter()
            .collect();
        let limit = CLAIM_LIMIT - doubted.len();
        let reach = self.reach(about.as_ref());
        let rumors = self.rumors.take(reach, limit);
        let mut claims = doubted;
        let news = rumors.into_iter().filter_map(|i| self.table.get(i));
        claims.extend(news.map(|record| record.claim));
        self.send_claims(to, body, claims, now);
    }

    /// Sends a datagram with these claims.
    pub(crate) fn send_claims(
        &mut self,
        to: InstanceId,
        body: Body,
        claims: Vec<Claim>,
        now: MonoTime,
    ) {
        let about = self.table.get(to).map(|record| record.claim);
        let reach = self.reach(about.as_ref());
        let revisions = match reach {
            Reach::Inside => self.revision_notes(),
            Reach::Across => Vec::new(),
        };
        let packet = Packet {
            sender: self.sender_note(),
            hash: self.table.hash(self.centre),
            body,
            claims,
            revisions,
            centres: self.centre_notes(about.map(|claim| claim.centre), now),
        };
        let datagram = packet.encode();
        self.act(MembershipAction::Send { to, datagram });
    }

    fn reach(&self, about: Option<&Claim>) -> Reach {
        match about {
            Some(claim) if claim.centre == self.centre => Reach::Inside,
            _ => Reach::Across,
        }
    }

    fn sender_note(&self) -> SenderNote {
        let mine = self.my_claim();
        SenderNote {
            centre: mine.centre,
            sequence: mine.sequence,
            phase: mine.phase,
            weight: mine.weight,
            revision: mine.revision,
        }
    }

    fn revision_notes(&mut self) -> Vec<RevisionNote> {
        let news = self.rumors.take_revisions(REVISION_LIMIT);
        news.into_iter()
            .filter_map(|instance| self.table.get(instance))
            .map(|record| RevisionNote {
                tag: record.claim.instance.incarnation as u32,
                revision: record.claim.revision,
            })
            .collect()
    }

    /// Returns a few notes in turn; another data centre gets those on both sides first.
    fn centre_notes(&mut self, to: Option<CentreId>, now: MonoTime) -> Vec<CentreNote> {
        let mut notes = Vec::new();
        if let Some(to) = to
            && to != self.centre
        {
            notes.push(self.own_note());
            let hash = self.table.hash(to);
            notes.extend(self.centres.note(to, hash, now));
        }
        let limit = if self.differences.is_empty() {
            CENTRE_LIMIT
        } else {
            REPAIR_CENTRE_LIMIT
        };
        let all: Vec<CentreId> = self.centres.iter().map(|(id, _)| id).collect();
        for _ in 0..all.len() {
            if notes.len() >= limit {
                break;
            }
            self.note_cursor = (self.note_cursor + 1) % all.len();
            let centre = all[self.note_cursor];
            if notes.iter().all(|note| note.centre != centre) {
                let hash = self.table.hash(centre);
                notes.extend(self.centres.note(centre, hash, now));
            }
        }
        notes
    }

    fn own_note(&mut self) -> CentreNote {
        CentreNote {
            centre: self.centre,
            age: 0,
            oldest_revision: self.oldest_revision(),
            hash: self.table.hash(self.centre),
            contact_age: None,
            cut_age: None,
        }
    }

    /// Returns the oldest revision in force on a present member of our data centre that serves.
    pub(crate) fn oldest_revision(&self) -> Option<Revision> {
        self.table
            .present_in(self.centre)
            .filter(|claim| claim.phase != Phase::Joining)
            .map(|claim| claim.revision)
            .min()
    }

    /// Sends the present members of one data centre, or of all.
    pub(crate) fn send_rosters(&mut self, to: InstanceId, centre: Option<CentreId>, now: MonoTime) {
        let claims: Vec<Claim> = self
            .table
            .records()
            .map(|record| record.claim)
            .filter(|c| c.is_present() && centre.is_none_or(|centre| c.centre == centre))
            .collect();
        for part in claims.chunks(CLAIM_LIMIT) {
            self.send_claims(to, Body::Roster, part.to_vec(), now);
        }
    }

    /// Tells every member of our data centre at once, and other data centres if we are a relay.
    pub(crate) fn tell_all(&mut self, claim: &Claim, now: MonoTime) {
        for member in self.inside_others() {
            if member != claim.instance {
                self.send_claims(member, Body::Gossip, vec![*claim], now);
            }
        }
        self.tell_across(claim, now);
    }

    /// Passes urgent news on: a relay tells its data centre what came from another one.
    pub(crate) fn pass_on(&mut self, claim: &Claim, now: MonoTime) {
        if !self.is_relay() {
            return;
        }
        if claim.centre == self.centre {
            self.tell_across(claim, now);
        } else {
            self.tell_all(claim, now);
        }
    }

    fn tell_across(&mut self, claim: &Claim, now: MonoTime) {
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
            .choose_multiple(&mut self.rng, URGENT_CENTRES)
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
