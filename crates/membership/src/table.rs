//! The member table: the join of all claims about each instance, with local times.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oleander_base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::claim::{Claim, Health, JoinChange};

/// A member's joined claim with local times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemberRecord {
    pub(crate) claim: Claim,
    /// The time at which phase or health last changed in this table.
    pub(crate) since: MonoTime,
    /// The time at which a suspected member is declared gone; set exactly while it is suspected.
    pub(crate) suspect_until: Option<MonoTime>,
}

/// The result of merging a claim into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The claim contained nothing new.
    Unchanged,
    /// The claim only advanced the revision in force.
    RevisionAdvanced,
    /// The member is new, or its state changed.
    StateChanged,
    /// Another instance counts as present at the same address; the table is unchanged.
    AddressConflict,
}

/// The table of all known members.
#[derive(Debug)]
pub(crate) struct MemberTable {
    records: BTreeMap<InstanceId, MemberRecord>,
    hashes: BTreeMap<CentreId, u32>,
    /// The time within which a newly suspected member must refute the suspicion.
    pub(crate) suspicion_timeout: Span,
}

impl MemberTable {
    pub(crate) fn new(suspicion_timeout: Span) -> Self {
        Self {
            records: BTreeMap::new(),
            hashes: BTreeMap::new(),
            suspicion_timeout,
        }
    }

    pub(crate) fn get(&self, instance: InstanceId) -> Option<&MemberRecord> {
        self.records.get(&instance)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Returns the claims about present members of one data centre.
    pub(crate) fn present_in(&self, centre: CentreId) -> impl Iterator<Item = &Claim> {
        self.records
            .values()
            .map(|record| &record.claim)
            .filter(move |claim| claim.centre == centre && claim.is_present())
    }

    /// Returns the instance that counts as present at an address.
    pub(crate) fn present_at(&self, address: SocketAddr) -> Option<InstanceId> {
        self.instances_at(address)
            .find(|record| record.claim.is_present())
            .map(|record| record.claim.instance)
    }

    /// Returns every instance at an address whose health is not [`Health::Final`].
    pub(crate) fn not_final_at(&self, address: SocketAddr) -> Vec<InstanceId> {
        self.instances_at(address)
            .filter(|record| record.claim.health != Health::Final)
            .map(|record| record.claim.instance)
            .collect()
    }

    fn instances_at(&self, address: SocketAddr) -> impl Iterator<Item = &MemberRecord> {
        let from = InstanceId {
            address,
            incarnation: 0,
        };
        let to = InstanceId {
            address,
            incarnation: u64::MAX,
        };
        self.records.range(from..=to).map(|(_, record)| record)
    }

    /// Joins a claim with what the table holds about the instance.
    pub(crate) fn merge(&mut self, claim: &Claim, now: MonoTime) -> MergeOutcome {
        let known = self.records.get(&claim.instance).map(|r| r.claim);
        let mut joined = known.unwrap_or(*claim);
        let change = joined.join(claim);
        let was_present = known.is_some_and(|k| k.is_present());
        if joined.is_present() && !was_present && self.is_address_taken(claim.instance) {
            return MergeOutcome::AddressConflict;
        }
        if known.is_some() && change == JoinChange::Nothing {
            return MergeOutcome::Unchanged;
        }
        self.replace(joined, now);
        if known.is_some() && change == JoinChange::Revision {
            MergeOutcome::RevisionAdvanced
        } else {
            MergeOutcome::StateChanged
        }
    }

    fn is_address_taken(&self, instance: InstanceId) -> bool {
        self.present_at(instance.address)
            .is_some_and(|present| present != instance)
    }

    fn replace(&mut self, claim: Claim, now: MonoTime) {
        self.hashes.remove(&claim.centre);
        let old = self.records.get(&claim.instance).copied();
        let same_state =
            old.is_some_and(|o| o.claim.phase == claim.phase && o.claim.health == claim.health);
        let same_sequence = old.is_some_and(|o| o.claim.sequence == claim.sequence);
        let suspect_until = match claim.health {
            Health::Suspect if same_sequence => old.and_then(|o| o.suspect_until),
            _ => None,
        };
        let suspect_until = match claim.health {
            Health::Suspect => suspect_until.or(Some(now + self.suspicion_timeout)),
            _ => None,
        };
        let record = MemberRecord {
            claim,
            since: old.filter(|_| same_state).map_or(now, |o| o.since),
            suspect_until,
        };
        self.records.insert(claim.instance, record);
    }

    /// Returns the claims about suspected members whose suspicion timeout has expired.
    pub(crate) fn expired_suspects(&self, now: MonoTime) -> Vec<Claim> {
        self.records
            .values()
            .filter(|record| record.suspect_until.is_some_and(|until| until <= now))
            .map(|record| record.claim)
            .collect()
    }

    /// Restarts the timeout of every suspicion after a pause, during which this instance could not
    /// receive a refutation.
    pub(crate) fn renew_suspicions(&mut self, now: MonoTime) {
        let until = now + self.suspicion_timeout;
        for record in self.records.values_mut() {
            record.suspect_until = record.suspect_until.map(|_| until);
        }
    }

    /// Removes members that have been gone since before a time, but keeps the `keep` most recent
    /// of all gone members.
    pub(crate) fn remove_gone(&mut self, before: MonoTime, keep: usize) {
        let mut gone: Vec<_> = self
            .records
            .values()
            .filter(|record| !record.claim.is_present())
            .map(|record| (record.since, record.claim.instance))
            .collect();
        gone.sort_unstable();
        let surplus = gone.len().saturating_sub(keep);
        for (since, instance) in gone.into_iter().take(surplus) {
            if since < before {
                self.records.remove(&instance);
            }
        }
    }

    /// Returns the roster hash: a hash over the present members of one data centre.
    pub(crate) fn hash(&mut self, centre: CentreId) -> u32 {
        if let Some(hash) = self.hashes.get(&centre) {
            return *hash;
        }
        let hash = self
            .present_in(centre)
            .map(hash_claim)
            .fold(0, u32::wrapping_add);
        self.hashes.insert(centre, hash);
        hash
    }
}

fn hash_claim(claim: &Claim) -> u32 {
    let incarnation = claim.instance.incarnation.to_le_bytes();
    let state = (u64::from(claim.sequence) << 8) | claim.phase as u64;
    xxh3_64_with_seed(&incarnation, state) as u32
}
