//! The membership state machine, its inputs and its clock.
//!
//! Every input carries the time. An input may queue actions, which the driver takes with
//! [`Membership::take_actions`] and executes in order.
//!
//! - Within a data centre every member probes one other member at a time in a shuffled round and
//!   requests indirect probes before it suspects the member (SWIM, Das et al. 2002). A suspected
//!   member that does not refute the suspicion in time is declared gone.
//!   An instance that runs late itself multiplies its timeouts (Lifeguard, Dadgar et al. 2018), so
//!   that an overloaded machine does not declare its peers dead.
//! - Between data centres only relays probe at intervals, one data centre at a time. Any instance
//!   probes a few members after it was paused.
//! - Changes are piggybacked on these datagrams; a leaving member is also announced at once.
//! - Roster hashes are piggybacked too; a mismatch that persists triggers an exchange of rosters.
//! - Two instances cannot run at the same address: the address is dialled, the instance that
//!   answers is present, and the other one has ended.

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

/// The interval between removals of members that have been gone for a long time.
const PURGE_INTERVAL: Span = Span::from_secs(10);

/// The maximum number of gone members that are kept beyond the retention time.
const MAX_GONE_MEMBERS: usize = 64;

/// The upper bound of [`Membership::local_health`]; timeouts are multiplied by at most this number
/// plus one.
const MAX_LOCAL_HEALTH: u32 = 7;

/// Describes the local instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SelfDescription {
    /// The local instance.
    pub instance: InstanceId,
    /// The local data centre.
    pub centre: CentreId,
    /// The instance's relative capacity.
    pub weight: u16,
}

/// An action for the driver to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Sends an unreliable datagram to an instance.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The datagram.
        datagram: Vec<u8>,
    },
    /// Opens a new connection to an address and reports which instance answered.
    Dial {
        /// The address.
        address: SocketAddr,
    },
    /// Notifies the program that it was paused and must not act on its earlier view.
    Resumed {
        /// The length of the pause.
        paused: Span,
    },
    /// Notifies the program that another instance answers at its address.
    Superseded,
}

/// How a claim is disseminated after it changed the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DisseminationMode {
    /// The claim is not disseminated: it comes from a roster, and every member compares rosters.
    Skip,
    /// The claim is piggybacked on other datagrams.
    Piggyback,
    /// The claim is piggybacked, and a relay also forwards at once that a member leaves or ended.
    Immediate,
}

/// A mismatch between the local roster of a data centre and another member's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RosterMismatch {
    pub(crate) with: InstanceId,
    pub(crate) since: MonoTime,
}

/// The membership state of one instance.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) me: InstanceId,
    pub(crate) centre: CentreId,
    pub(crate) table: MemberTable,
    /// Claims about instances at whose address another instance counts as present.
    pub(crate) conflicts: BTreeMap<InstanceId, Claim>,
    pub(crate) centres: CentreTable,
    pub(crate) rumors: RumorQueue,
    pub(crate) probes: ProbeSet,
    pub(crate) local_round: ProbeRound<InstanceId>,
    pub(crate) centre_round: ProbeRound<CentreId>,
    pub(crate) discovery: DiscoverySchedule,
    /// The instances that answered at addresses other than their advertised ones.
    pub(crate) aliases: BTreeMap<SocketAddr, InstanceId>,
    /// The data centres for which the local roster differs from another member's.
    pub(crate) mismatches: BTreeMap<CentreId, RosterMismatch>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) next_local_probe: MonoTime,
    pub(crate) next_centre_probe: MonoTime,
    pub(crate) centre_cursor: usize,
    pub(crate) joined: bool,
    pub(crate) stale_since: Option<MonoTime>,
    /// The local health counter of Lifeguard, 0 while inputs are on time: each late input adds one
    /// and each acknowledged probe subtracts one; see [`Self::scaled_timeout`].
    pub(crate) local_health: u32,
    pub(crate) version: u64,
    next_purge: MonoTime,
    last_time: MonoTime,
    actions: Vec<MembershipAction>,
}

impl Membership {
    /// Creates the membership of an instance that knows no other member.
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
            // Until it knows its data centre, a new instance would choose itself as a relay.
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

    /// Returns the version of the view, which increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether this instance has received a datagram from another member.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Takes the queued actions.
    pub fn take_actions(&mut self) -> Vec<MembershipAction> {
        std::mem::take(&mut self.actions)
    }

    /// Runs everything that is due.
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

    /// Advances the clock before an input is processed, and detects late inputs and pauses.
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

    /// Sets the local health counter, up to its bound, and scales the suspicion timeout by it.
    pub(crate) fn set_local_health(&mut self, local_health: u32) {
        self.local_health = local_health.min(MAX_LOCAL_HEALTH);
        self.table.suspicion_timeout = self.scaled_timeout(self.settings.suspicion_timeout);
    }

    /// Returns a timeout multiplied by one plus the local health counter, so that an instance that
    /// runs late itself gives other members more time.
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

    /// Returns the claim of this instance about itself.
    pub(crate) fn own_claim(&self) -> Claim {
        let record = self.table.get(self.me);
        record
            .expect("the table always contains the local instance")
            .claim
    }

    /// Returns whether this instance is a relay, which probes other data centres.
    pub fn is_relay(&self) -> bool {
        self.relays_of(self.centre).contains(&self.me)
    }

    pub(crate) fn relays_of(&self, centre: CentreId) -> Vec<InstanceId> {
        choose_relays(
            self.table.present_in(centre),
            self.settings.relays_per_centre,
        )
    }

    /// Returns whether a data centre is visible from this instance.
    pub(crate) fn is_centre_visible(&self, centre: CentreId) -> bool {
        centre == self.centre || self.centres.get(centre).is_some_and(|c| c.is_visible())
    }

    pub(crate) fn reachable_others(&self) -> impl Iterator<Item = &Claim> {
        self.table
            .records()
            .map(|record| &record.claim)
            .filter(|c| c.instance != self.me && c.is_present() && self.is_centre_visible(c.centre))
    }

    /// Returns the other present members of the local data centre.
    pub(crate) fn local_peers(&self) -> Vec<InstanceId> {
        self.table
            .present_in(self.centre)
            .map(|claim| claim.instance)
            .filter(|instance| *instance != self.me)
            .collect()
    }

    /// Merges a claim into the table and disseminates the change.
    pub(crate) fn apply_claim(&mut self, claim: &Claim, mode: DisseminationMode, now: MonoTime) {
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
            MergeOutcome::StateChanged => self.on_change(claim.instance, before, mode, now),
            MergeOutcome::AddressConflict => self.on_address_conflict(claim, now),
        }
    }

    fn on_change(
        &mut self,
        instance: InstanceId,
        before: Option<Claim>,
        mode: DisseminationMode,
        now: MonoTime,
    ) {
        let Some(after) = self.table.get(instance).map(|record| record.claim) else {
            return;
        };
        self.version += 1;
        if after.centre != self.centre {
            self.centres.add(after.centre, now);
        }
        if mode != DisseminationMode::Skip {
            self.push_rumor(instance);
        }
        let withdrawn = |c: &Claim| c.phase == Phase::Leaving || c.health == Health::Final;
        if mode == DisseminationMode::Immediate
            && withdrawn(&after)
            && before.is_some_and(|b| !withdrawn(&b))
        {
            self.relay_claim(&after, now);
        }
        if after.health == Health::Gone && self.reachable_others().next().is_none() {
            self.discovery.reset_backoff(now);
        }
    }

    /// Handles a claim of another member about this instance.
    ///
    /// A suspicion is refuted by a claim with a higher sequence, and a request to leave is
    /// accepted.
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

    /// Starts to determine which of two instances runs at an address.
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

    /// Records that an instance has ended permanently.
    pub(crate) fn mark_final(&mut self, claim: &Claim, now: MonoTime) {
        let health = Health::Final;
        self.apply_claim(
            &Claim { health, ..*claim },
            DisseminationMode::Piggyback,
            now,
        );
    }
}
