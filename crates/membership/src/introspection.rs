//! The published view, the invariant check and the text dump.

use std::collections::BTreeMap;
use std::fmt::Write;

use oleander_base::prelude::*;

use crate::claim::{Claim, Health, Phase};
use crate::machine::Membership;
use crate::member::{Member, MemberState};
use crate::table::MemberRecord;
use crate::view::{CentreView, MemberView};

impl Membership {
    /// Returns the view of the fleet.
    pub fn view(&self) -> MemberView {
        let members: BTreeMap<_, _> = self
            .table
            .records()
            .map(|record| (record.claim.instance, self.member(record)))
            .collect();
        let mut centres = BTreeMap::new();
        for member in members.values() {
            let centre = centres
                .entry(member.centre)
                .or_insert_with(|| self.centre_without_members(member.centre));
            if member.state.takes_work() {
                centre.live += 1;
                centre.weight += u32::from(member.weight);
            }
        }
        for (id, _) in self.centres.iter() {
            centres
                .entry(id)
                .or_insert_with(|| self.centre_without_members(id));
        }
        MemberView {
            me: self.me,
            centre: self.centre,
            members,
            centres,
            stale_since: self.stale_since,
            version: self.version,
        }
    }

    fn member(&self, record: &MemberRecord) -> Member {
        let claim = &record.claim;
        Member {
            instance: claim.instance,
            centre: claim.centre,
            weight: claim.weight,
            state: self.state(claim),
            revision: claim.revision,
            since: record.since,
        }
    }

    fn state(&self, claim: &Claim) -> MemberState {
        if !claim.is_present() {
            return MemberState::Gone;
        }
        if !self.is_centre_visible(claim.centre) {
            return MemberState::Unreachable;
        }
        match (claim.phase, claim.health) {
            (Phase::Joining, _) => MemberState::Joining,
            (Phase::Leaving, _) => MemberState::Leaving,
            (Phase::Live, Health::Suspect) => MemberState::Suspect,
            (Phase::Live, _) => MemberState::Live,
        }
    }

    fn centre_without_members(&self, id: CentreId) -> CentreView {
        let record = self.centres.get(id);
        let oldest_revision = if id == self.centre {
            self.oldest_revision()
        } else {
            record
                .and_then(|r| r.summary)
                .and_then(|s| s.oldest_revision)
        };
        CentreView {
            visible: self.is_centre_visible(id),
            since: record.map_or(MonoTime::default(), |r| r.since),
            live: 0,
            weight: 0,
            oldest_revision,
            relays: self.relays_of(id),
        }
    }

    /// Checks the invariants of the state and describes a violation.
    pub fn verify(&self) -> Result<(), String> {
        let own = self
            .table
            .get(self.me)
            .ok_or("an instance must know itself")?;
        if own.claim.health != Health::Alive {
            return Err(format!(
                "an instance takes itself for {:?}",
                own.claim.health
            ));
        }
        let mut present = BTreeMap::new();
        for record in self.table.records() {
            let claim = &record.claim;
            let suspect = claim.health == Health::Suspect;
            if suspect != record.suspect_until.is_some() {
                return Err(format!("{} has a suspicion without end", claim.instance));
            }
            if claim.is_present()
                && let Some(other) = present.insert(claim.instance.address, claim.instance)
            {
                return Err(format!("{other} and {} share an address", claim.instance));
            }
            if claim.centre != self.centre && self.centres.get(claim.centre).is_none() {
                return Err(format!("{} is in an unknown data centre", claim.instance));
            }
        }
        for instance in self.conflicts.keys() {
            if *instance == self.me {
                return Err("an instance contests its own address".to_owned());
            }
        }
        Ok(())
    }

    /// Returns the state as text.
    pub fn dump(&self) -> String {
        let mut text = self.view().dump();
        for record in self.table.records() {
            let claim = &record.claim;
            let _ = writeln!(
                text,
                "claim {} sequence {} {:?} {:?}",
                claim.instance, claim.sequence, claim.phase, claim.health
            );
        }
        for instance in self.conflicts.keys() {
            let _ = writeln!(text, "contested {instance}");
        }
        let _ = write!(text, "relay {} joined {}", self.is_relay(), self.joined);
        let _ = writeln!(text, " strain {}", self.local_health);
        text
    }
}
