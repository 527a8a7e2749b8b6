//! The state machine: its state, its inputs and its sense of time.
//!
//! Every input carries the time. An input may leave actions, which the driver takes with
//! [`Membership::take_actions`] and carries out in order.
//!
//! - Inside a data centre every member probes one other at a time, in a shuffled round; helpers
//!   probe for it before it suspects (the scheme of SWIM, Das et al. 2002). A suspect that does
//!   not refute in time is gone.
//!   A process that runs late itself gives the others more time (Lifeguard, Dadgar et al. 2018),
//!   so that an overloaded machine does not take its peers for dead.
//! - Between data centres only relays probe, one data centre at a time.
//! - Changes ride on these datagrams; leaving is told at once besides.
//! - Hashes of rosters ride too, and a difference that lasts leads to an exchange of rosters.
//! - Two instances at one address exclude each other: the address is dialled, and whoever answers
//!   runs there; the other one has ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oleander_base::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::centre::CentreTable;
use crate::claim::{Claim, Health, Phase};
use crate::discovery::DiscoverySchedule;
use crate::probe::{ProbeRound, ProbeSet};
use crate::relay::choose_relays;
use crate::rumor::RumorQueue;
use crate::settings::MembershipSettings;
use crate::table::{MemberTable, MergeOutcome};

/// How often members that are gone for long are looked for.
const PURGE_INTERVAL: Span = Span::from_secs(10);

/// The most members that are remembered beyond the time for which the gone are remembered.
const MAX_GONE_MEMBERS: usize = 64;

/// The most that a process which runs late stretches times: by this many times their length.
const MAX_LOCAL_HEALTH: u32 = 7;

/// The instance whose membership it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SelfDescription {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub centre: CentreId,
    /// Its size against the others.
    pub weight: u16,
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram to an instance; it may be lost.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The datagram.
        datagram: Vec<u8>,
    },
    /// Open a new connection to an address and report who answered there.
    Dial {
        /// The address.
        address: SocketAddr,
    },
    /// Tell the program that it was paused and must not act on what it knew before.
    Resumed {
        /// How long nothing ran.
        paused: Span,
    },
    /// Tell the program that another instance answers at its address.
    Superseded,
}

/// How a claim is passed on, once it changed the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Dissemination {
    /// It comes from a roster, which others compare for themselves.
    Skip,
    /// It rides on other datagrams.
    Piggyback,
    /// A relay passes the news of a leaving member on at once, too.
    Immediate,
}

/// A difference between our roster of a data centre and another member's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RosterMismatch {
    pub(crate) with: InstanceId,
    pub(crate) since: MonoTime,
}

/// The membership of one instance.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) me: InstanceId,
    pub(crate) centre: CentreId,
    pub(crate) table: MemberTable,
    /// Claims about instances at whose address another one is taken for running.
    pub(crate) conflicts: BTreeMap<InstanceId, Claim>,
    pub(crate) centres: CentreTable,
    pub(crate) rumors: RumorQueue,
    pub(crate) probes: ProbeSet,
    pub(crate) local_round: ProbeRound<InstanceId>,
    pub(crate) centre_round: ProbeRound<CentreId>,
    pub(crate) discovery: DiscoverySchedule,
    /// Who answered at addresses that are not an instance's own.
    pub(crate) aliases: BTreeMap<SocketAddr, InstanceId>,
    /// Data centres of which our roster differs from another member's.
    pub(crate) mismatches: BTreeMap<CentreId, RosterMismatch>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) next_local_probe: MonoTime,
    pub(crate) next_centre_probe: MonoTime,
    pub(crate) centre_cursor: usize,
    pub(crate) joined: bool,
    pub(crate) stale_since: Option<MonoTime>,
    /// How often this process ran late lately; see [`Self::scaled_timeout`].
    pub(crate) local_health: u32,
    pub(crate) version: u64,
    next_purge: MonoTime,
    last_time: MonoTime,
    actions: Vec<MembershipAction>,
}

impl Membership {
    /// Returns the membership of an instance that knows nobody else.
    pub fn new(
        settings: MembershipSettings,
        me: SelfDescription,
        seeds: Vec<SocketAddr>,
        random_seed: u64,
        now: MonoTime,
    ) -> Self {
        let mut table = MemberTable::new(settings.suspicion_timeout);
        let claim = Claim {
            instance: me.instance,
            centre: me.centre,
            sequence: 0,
            phase: Phase::Joining,
            health: Health::Alive,
            weight: me.weight,
            revision: Revision::default(),
        };
        table.merge(&claim, now);
        Self {
            settings,
            me: me.instance,
            centre: me.centre,
            table,
            conflicts: BTreeMap::new(),
            centres: CentreTable::default(),
            rumors: RumorQueue::default(),
            probes: ProbeSet::default(),
            local_round: ProbeRound::new(),
            centre_round: ProbeRound::new(),
            discovery: DiscoverySchedule::new(seeds, now),
            aliases: BTreeMap::new(),
            mismatches: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(random_seed),
            next_local_probe: now,
            // A new instance may take itself for a relay until it knows its data centre.
            next_centre_probe: now + settings.roster_sync_delay,
            centre_cursor: 0,
            joined: false,
            stale_since: None,
            local_health: 0,
            version: 1,
            next_purge: now + PURGE_INTERVAL,
            last_time: now,
            actions: Vec::new(),
        }
    }

    /// Returns a number that grows with each change of the view.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether this instance has heard from another member.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Takes the actions that inputs left.
    pub fn take_actions(&mut self) -> Vec<MembershipAction> {
        std::mem::take(&mut self.actions)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: MonoTime) {
        self.advance(now);
        self.expire_probes(now);
        self.expire_suspicions(now);
        self.probe_local_member(now);
        self.probe_remote_centre(now);
        self.run_discovery(now);
        self.expire_staleness(now);
        if self.next_purge <= now {
            self.next_purge = now + PURGE_INTERVAL;
            let before = now - self.settings.gone_retention;
            self.table.remove_gone(before, MAX_GONE_MEMBERS);
        }
    }

    /// Notices a pause of this process before anything else is done.
    pub(crate) fn advance(&mut self, now: MonoTime) {
        let gap = now.since(self.last_time);
        self.last_time = self.last_time.max(now);
        if gap > Span(self.settings.probe_timeout.0 / 2) {
            self.set_local_health(self.local_health + 1);
        }
        if gap > self.settings.pause_threshold {
            self.on_pause(gap, now);
        } else if gap > self.settings.probe_timeout {
            self.probes.extend(gap);
        }
    }

    /// Notes how late this process runs, which stretches the times that it gives to others.
    pub(crate) fn set_local_health(&mut self, local_health: u32) {
        self.local_health = local_health.min(MAX_LOCAL_HEALTH);
        self.table.suspicion_timeout = self.scaled_timeout(self.settings.suspicion_timeout);
    }

    /// Returns a time that is given to others, longer while this process itself runs late.
    pub(crate) fn scaled_timeout(&self, span: Span) -> Span {
        Span(span.0 * u64::from(1 + self.local_health))
    }

    fn on_pause(&mut self, paused: Span, now: MonoTime) {
        self.probes.clear();
        self.table.renew_suspicions(now);
        self.discovery.reset_backoff(now);
        if self.reachable_others().next().is_some() {
            self.stale_since = Some(now);
            self.version += 1;
        }
        self.push_action(MembershipAction::Resumed { paused });
        self.probe_after_resume(now);
    }

    fn expire_staleness(&mut self, now: MonoTime) {
        let limit = self.settings.stale_timeout;
        if self.stale_since.is_some_and(|s| now.since(s) >= limit) {
            self.clear_stale();
        }
    }

    pub(crate) fn clear_stale(&mut self) {
        if self.stale_since.take().is_some() {
            self.version += 1;
        }
    }

    pub(crate) fn push_action(&mut self, action: MembershipAction) {
        self.actions.push(action);
    }

    /// Returns what this instance says of itself.
    pub(crate) fn own_claim(&self) -> Claim {
        let record = self.table.get(self.me);
        record.expect("an instance always knows itself").claim
    }

    /// Returns whether this instance talks to other data centres.
    pub fn is_relay(&self) -> bool {
        self.relays_of(self.centre).contains(&self.me)
    }

    pub(crate) fn relays_of(&self, centre: CentreId) -> Vec<InstanceId> {
        choose_relays(
            self.table.present_in(centre),
            self.settings.relays_per_centre,
        )
    }

    /// Returns whether a data centre can be seen from here.
    pub(crate) fn is_centre_visible(&self, centre: CentreId) -> bool {
        centre == self.centre || self.centres.get(centre).is_some_and(|c| c.is_visible())
    }

    pub(crate) fn reachable_others(&self) -> impl Iterator<Item = &Claim> {
        self.table
            .records()
            .map(|record| &record.claim)
            .filter(|c| c.instance != self.me && c.is_present() && self.is_centre_visible(c.centre))
    }

    /// Returns the other present members of our data centre.
    pub(crate) fn local_peers(&self) -> Vec<InstanceId> {
        self.table
            .present_in(self.centre)
            .map(|claim| claim.instance)
            .filter(|instance| *instance != self.me)
            .collect()
    }

    /// Joins a claim into the table and tells others what it changed.
    pub(crate) fn apply_claim(
        &mut self,
        claim: &Claim,
        dissemination: Dissemination,
        now: MonoTime,
    ) {
        if claim.instance == self.me {
            self.apply_claim_about_self(claim, now);
            return;
        }
        let before = self.table.get(claim.instance).map(|record| record.claim);
        match self.table.merge(claim, now) {
            MergeOutcome::Unchanged => {}
            MergeOutcome::RevisionAdvanced => {
                self.version += 1;
                if claim.centre == self.centre {
                    let local_member_count = self.local_member_count();
                    self.rumors
                        .push_revision(claim.instance, local_member_count);
                }
            }
            MergeOutcome::StateChanged => {
                self.on_change(claim.instance, before, dissemination, now)
            }
            MergeOutcome::AddressConflict => self.on_address_conflict(claim, now),
        }
    }

    fn on_change(
        &mut self,
        instance: InstanceId,
        before: Option<Claim>,
        dissemination: Dissemination,
        now: MonoTime,
    ) {
        let Some(after) = self.table.get(instance).map(|record| record.claim) else {
            return;
        };
        self.version += 1;
        if after.centre != self.centre {
            self.centres.add(after.centre, now);
        }
        if dissemination != Dissemination::Skip {
            self.push_rumor(instance);
        }
        let withdrawn = |c: &Claim| c.phase == Phase::Leaving || c.health == Health::Final;
        if dissemination == Dissemination::Immediate
            && withdrawn(&after)
            && before.is_some_and(|b| !withdrawn(&b))
        {
            self.relay_claim(&after, now);
        }
        if after.health == Health::Gone && self.reachable_others().next().is_none() {
            self.discovery.reset_backoff(now);
        }
    }

    /// Answers what others say of this instance.
    fn apply_claim_about_self(&mut self, claim: &Claim, now: MonoTime) {
        let own = self.own_claim();
        if claim.health == Health::Final {
            self.push_action(MembershipAction::Superseded);
            return;
        }
        let suspected = claim.sequence >= own.sequence && claim.health > Health::Alive;
        let asked_to_leave = claim.sequence == own.sequence && claim.phase > own.phase;
        if !suspected && !asked_to_leave {
            return;
        }
        let phase = if asked_to_leave {
            claim.phase
        } else {
            own.phase
        };
        let sequence = if suspected {
            claim.sequence + 1
        } else {
            own.sequence
        };
        self.update_own_claim(
            Claim {
                sequence,
                phase,
                ..own
            },
            now,
        );
    }

    pub(crate) fn update_own_claim(&mut self, claim: Claim, now: MonoTime) {
        self.table.merge(&claim, now);
        self.push_rumor(self.me);
        self.version += 1;
    }

    pub(crate) fn push_rumor(&mut self, instance: InstanceId) {
        let local_member_count = self.local_member_count();
        let centres = self.centres.len();
        self.rumors.push(instance, local_member_count, centres);
    }

    pub(crate) fn local_member_count(&self) -> usize {
        self.table.present_in(self.centre).count()
    }

    /// Finds out which of two instances runs at an address.
    fn on_address_conflict(&mut self, claim: &Claim, now: MonoTime) {
        let address = claim.instance.address;
        if address == self.me.address {
            self.mark_final(claim, now);
            return;
        }
        let dialling = self.conflicts.keys().any(|other| other.address == address);
        self.conflicts.insert(claim.instance, *claim);
        if !dialling {
            self.push_action(MembershipAction::Dial { address });
        }
    }

    /// Claims that an instance has ended for good.
    pub(crate) fn mark_final(&mut self, claim: &Claim, now: MonoTime) {
        let health = Health::Final;
        self.apply_claim(&Claim { health, ..*claim }, Dissemination::Piggyback, now);
    }
}
