//! What is due: probes inside and across data centres, suspicions and attempts at contact.

use oleander_base::prelude::*;
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::claim::{Claim, Health};
use crate::machine::{Membership, MembershipAction, News};
use crate::probe::{Probe, ProbeKind};
use crate::wire::Body;

/// How many members a process that woke up asks.
const WAKE_UP_PROBES: usize = 3;

impl Membership {
    pub(crate) fn probe_inside(&mut self, now: MonoTime) {
        if self.next_inside > now {
            return;
        }
        let period = self.stretched(self.settings.probe_period);
        self.next_inside = now + self.spread(period);
        let all = self.inside_others();
        let turn = self.inside_round.next(&all, &mut self.rng);
        if let Some(target) = turn
            && !self.probes.is_probing(target)
        {
            self.start_probe(target, ProbeKind::Inside { asked: false }, now);
        }
    }

    pub(crate) fn probe_across(&mut self, now: MonoTime) {
        if self.next_across > now {
            return;
        }
        self.next_across = now + self.spread(self.settings.relay_period);
        if !self.is_relay() {
            self.rumors.drop_across();
            return;
        }
        let Some(centre) = self.next_centre(now) else {
            return;
        };
        if let Some(target) = self.choose_target(centre) {
            self.start_probe(target, ProbeKind::Across { centre }, now);
        }
    }

    /// Returns the data centre to look at now; one in doubt goes first.
    fn next_centre(&mut self, now: MonoTime) -> Option<CentreId> {
        let due = |probe_at: MonoTime| probe_at <= now;
        let doubtful = self
            .centres
            .iter()
            .filter(|(_, c)| c.failures > 0 && due(c.probe_at))
            .map(|(id, _)| id)
            .choose(&mut self.rng);
        if doubtful.is_some() {
            return doubtful;
        }
        let all: Vec<_> = self
            .centres
            .iter()
            .filter(|(_, c)| due(c.probe_at))
            .map(|(id, _)| id)
            .collect();
        self.across_round.next(&all, &mut self.rng)
    }

    /// Returns the member of a data centre to talk to: a relay, or anyone present when in doubt.
    ///
    /// Members that are gone are tried only once the data centre counts as cut off: their silence
    /// proves nothing.
    ///
    /// Relays talk to those of their own rank, so that few connections stay in use and none of
    /// them falls idle.
    fn choose_target(&mut self, centre: CentreId) -> Option<InstanceId> {
        let record = self.centres.get(centre)?;
        let relays = self.relays_of(centre);
        if record.failures == 0 && !relays.is_empty() {
            let rank = self.relays_of(self.centre);
            let rank = rank.iter().position(|i| *i == self.me).unwrap_or(0);
            return relays.get(rank % relays.len()).copied();
        }
        let present: Vec<_> = self.table.present_in(centre).map(|c| c.instance).collect();
        let tries_gone = record.failures > self.settings.cut_failures && record.failures % 2 == 0;
        if !present.is_empty() && !tries_gone {
            return present.choose(&mut self.rng).copied();
        }
        self.table
            .records()
            .map(|record| record.claim)
            .filter(|claim| claim.centre == centre && claim.health != Health::Final)
            .map(|claim| claim.instance)
            .choose(&mut self.rng)
    }

    pub(crate) fn probe_anybody(&mut self, now: MonoTime) {
        let anybody: Vec<_> = self
            .reachable_others()
            .map(|claim| claim.instance)
            .collect();
        let chosen: Vec<_> = anybody
            .choose_multiple(&mut self.rng, WAKE_UP_PROBES)
            .copied()
            .collect();
        for target in chosen {
            self.start_probe(target, ProbeKind::WakeUp, now);
        }
    }

    pub(crate) fn start_probe(&mut self, target: InstanceId, kind: ProbeKind, now: MonoTime) {
        let settings = &self.settings;
        let limit = match kind {
            ProbeKind::Inside { .. } => settings.probe_period.max(settings.probe_timeout),
            ProbeKind::OnBehalf { .. } | ProbeKind::WakeUp => settings.probe_period,
            ProbeKind::Across { .. } => settings.relay_timeout,
        };
        let nonce = self.probes.start(Probe {
            target,
            kind,
            help_at: now + self.stretched(settings.probe_timeout),
            ends_at: now + self.stretched(limit),
        });
        self.send(target, Body::Ping { nonce }, now);
    }

    pub(crate) fn end_probes(&mut self, now: MonoTime) {
        for (nonce, target) in self.probes.take_unhelped(now) {
            self.ask_helpers(nonce, target, now);
        }
        for probe in self.probes.take_failed(now) {
            match probe.kind {
                ProbeKind::Inside { .. } => self.suspect(probe.target, now),
                ProbeKind::Across { centre } => self.miss(centre, now),
                ProbeKind::OnBehalf { .. } => {}
                ProbeKind::WakeUp if self.stale_since.is_some() => self.probe_anybody(now),
                ProbeKind::WakeUp => {}
            }
        }
    }

    fn ask_helpers(&mut self, nonce: u32, target: InstanceId, now: MonoTime) {
        self.send(target, Body::Ping { nonce }, now);
        let mut others = self.inside_others();
        others.retain(|other| *other != target);
        let helpers: Vec<_> = others
            .choose_multiple(&mut self.rng, self.settings.helpers)
            .copied()
            .collect();
        for helper in helpers {
            self.send(helper, Body::ProbeFor { nonce, target }, now);
        }
    }

    fn suspect(&mut self, target: InstanceId, now: MonoTime) {
        let Some(record) = self.table.get(target).copied() else {
            return;
        };
        if record.claim.health == Health::Alive {
            let health = Health::Suspect;
            let claim = Claim {
                health,
                ..record.claim
            };
            self.learn(&claim, News::Fresh, now);
        }
    }

    fn miss(&mut self, centre: CentreId, now: MonoTime) {
        let failures = self.centres.get(centre).map_or(0, |c| c.failures);
        let bound = self.settings.cut_failures;
        let recent = now - self.settings.relay_timeout;
        let doublings = failures.saturating_sub(bound).min(16);
        let period = Span(self.settings.relay_period.0 << doublings);
        let backoff = self.spread(period.min(self.settings.cut_backoff));
        if self.centres.failed(centre, now, bound, recent, backoff) {
            self.version += 1;
        }
    }

    pub(crate) fn end_suspicions(&mut self, now: MonoTime) {
        for claim in self.table.lapsed_suspects(now) {
            let health = Health::Gone;
            self.learn(&Claim { health, ..claim }, News::Fresh, now);
        }
    }

    pub(crate) fn try_contact(&mut self, now: MonoTime) {
        if !self.contact.is_due(now) {
            return;
        }
        let lonely = self.reachable_others().next().is_none();
        let bound = if lonely {
            self.settings.lonely_backoff
        } else {
            self.settings.contact_backoff
        };
        let former: Vec<_> = self
            .table
            .records()
            .filter(|r| r.claim.centre == self.centre && r.claim.health == Health::Gone)
            .map(|r| r.claim.instance.address)
            .collect();
        let table = &self.table;
        let (me, centre, centres) = (self.me, self.centre, &self.centres);
        let aliases = &self.aliases;
        let present = |instance: InstanceId| {
            let claim = table.get(instance).map(|record| record.claim);
            claim.is_some_and(|c| {
                let seen = centres.get(c.centre).is_some_and(|c| c.is_visible());
                c.is_present() && (c.centre == centre || seen)
            })
        };
        let taken = |address| {
            address == me.address
                || table.present_at(address).is_some_and(present)
                || aliases.get(&address).is_some_and(|i| present(*i))
        };
        let chosen = self
            .contact
            .choose(&former, taken, bound, now, &mut self.rng);
        if let Some(address) = chosen {
            self.act(MembershipAction::Dial { address });
        }
    }

    /// Returns a period with a tenth of it added or taken away at random.
    fn spread(&mut self, period: Span) -> Span {
        Span((period.0 as f64 * self.rng.random_range(0.9..1.1)) as u64)
    }
}
