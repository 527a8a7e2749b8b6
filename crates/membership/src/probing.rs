//! Periodic work: probes within and between data centres, suspicion timeouts and discovery.

use oleander_base::prelude::*;
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use crate::claim::{Claim, Health};
use crate::machine::{DisseminationMode, Membership, MembershipAction};
use crate::probe::{Probe, ProbeKind};
use crate::wire::Body;

/// The number of members that an instance probes after a pause.
const RESUME_PROBES: usize = 3;

impl Membership {
    pub(crate) fn probe_local_member(&mut self, now: MonoTime) {
        if self.next_local_probe > now {
            return;
        }
        let period = self.scaled_timeout(self.settings.probe_interval);
        self.next_local_probe = now + self.jittered(period);
        let all = self.local_peers();
        let next = self.local_round.next(&all, &mut self.rng);
        if let Some(target) = next
            && !self.probes.is_probing(target)
        {
            self.start_probe(
                target,
                ProbeKind::Local {
                    indirect_sent: false,
                },
                now,
            );
        }
    }

    pub(crate) fn probe_remote_centre(&mut self, now: MonoTime) {
        if self.next_centre_probe > now {
            return;
        }
        self.next_centre_probe = now + self.jittered(self.settings.relay_probe_interval);
        if !self.is_relay() {
            self.rumors.drop_remote();
            return;
        }
        let Some(centre) = self.next_centre_to_probe(now) else {
            return;
        };
        if let Some(target) = self.choose_target(centre) {
            self.start_probe(target, ProbeKind::Remote { centre }, now);
        }
    }

    /// Returns the data centre to probe next; one with failed probes goes first.
    fn next_centre_to_probe(&mut self, now: MonoTime) -> Option<CentreId> {
        let due = |probe_at: MonoTime| probe_at <= now;
        let failing = self
            .centres
            .iter()
            .filter(|(_, c)| c.failures > 0 && due(c.probe_at))
            .map(|(id, _)| id)
            .choose(&mut self.rng);
        if failing.is_some() {
            return failing;
        }
        let all: Vec<_> = self
            .centres
            .iter()
            .filter(|(_, c)| due(c.probe_at))
            .map(|(id, _)| id)
            .collect();
        self.centre_round.next(&all, &mut self.rng)
    }

    /// Returns the member of a data centre to probe: a relay, or any present member after a failed
    /// probe.
    ///
    /// Members that are gone are candidates only while no member is present, and in every second
    /// attempt once the data centre counts as cut off. Before that, a failed probe of such a member
    /// would say nothing about the data centre.
    ///
    /// Relays probe the relay of the same rank, so that few connections are in use and none of
    /// them becomes idle.
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

    pub(crate) fn probe_after_resume(&mut self, now: MonoTime) {
        let reachable: Vec<_> = self
            .reachable_others()
            .map(|claim| claim.instance)
            .collect();
        let chosen: Vec<_> = reachable
            .choose_multiple(&mut self.rng, RESUME_PROBES)
            .copied()
            .collect();
        for target in chosen {
            self.start_probe(target, ProbeKind::Resume, now);
        }
    }

    pub(crate) fn start_probe(&mut self, target: InstanceId, kind: ProbeKind, now: MonoTime) {
        let settings = &self.settings;
        let timeout = match kind {
            ProbeKind::Local { .. } => settings.probe_interval.max(settings.probe_timeout),
            ProbeKind::Indirect { .. } | ProbeKind::Resume => settings.probe_interval,
            ProbeKind::Remote { .. } => settings.relay_probe_timeout,
        };
        let nonce = self.probes.start(Probe {
            target,
            kind,
            indirect_at: now + self.scaled_timeout(settings.probe_timeout),
            expires_at: now + self.scaled_timeout(timeout),
        });
        self.send(target, Body::Ping { nonce }, now);
    }

    pub(crate) fn expire_probes(&mut self, now: MonoTime) {
        for (nonce, target) in self.probes.take_indirect_due(now) {
            self.send_indirect_probes(nonce, target, now);
        }
        for probe in self.probes.take_expired(now) {
            match probe.kind {
                ProbeKind::Local { .. } => self.mark_suspect(probe.target, now),
                ProbeKind::Remote { centre } => self.on_centre_probe_failed(centre, now),
                ProbeKind::Indirect { .. } => {}
                ProbeKind::Resume if self.stale_since.is_some() => self.probe_after_resume(now),
                ProbeKind::Resume => {}
            }
        }
    }

    fn send_indirect_probes(&mut self, nonce: u32, target: InstanceId, now: MonoTime) {
        self.send(target, Body::Ping { nonce }, now);
        let mut others = self.local_peers();
        others.retain(|other| *other != target);
        let proxies: Vec<_> = others
            .choose_multiple(&mut self.rng, self.settings.indirect_probes)
            .copied()
            .collect();
        for proxy in proxies {
            self.send(proxy, Body::IndirectPing { nonce, target }, now);
        }
    }

    fn mark_suspect(&mut self, target: InstanceId, now: MonoTime) {
        let Some(record) = self.table.get(target).copied() else {
            return;
        };
        if record.claim.health == Health::Alive {
            let health = Health::Suspect;
            let claim = Claim {
                health,
                ..record.claim
            };
            self.apply_claim(&claim, DisseminationMode::Piggyback, now);
        }
    }

    fn on_centre_probe_failed(&mut self, centre: CentreId, now: MonoTime) {
        let failures = self.centres.get(centre).map_or(0, |c| c.failures);
        let threshold = self.settings.cut_failures;
        let recent_since = now - self.settings.relay_probe_timeout;
        let doublings = failures.saturating_sub(threshold).min(16);
        let period = Span(self.settings.relay_probe_interval.0 << doublings);
        let backoff = self.jittered(period.min(self.settings.cut_backoff));
        if self
            .centres
            .record_failure(centre, now, threshold, recent_since, backoff)
        {
            self.version += 1;
        }
    }

    pub(crate) fn expire_suspicions(&mut self, now: MonoTime) {
        for claim in self.table.expired_suspects(now) {
            let health = Health::Gone;
            self.apply_claim(
                &Claim { health, ..claim },
                DisseminationMode::Piggyback,
                now,
            );
        }
    }

    pub(crate) fn run_discovery(&mut self, now: MonoTime) {
        if !self.discovery.is_due(now) {
            return;
        }
        let isolated = self.reachable_others().next().is_none();
        let max_backoff = if isolated {
            self.settings.isolated_backoff
        } else {
            self.settings.discovery_backoff
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
        let excluded = |address| {
            address == me.address
                || table.present_at(address).is_some_and(present)
                || aliases.get(&address).is_some_and(|i| present(*i))
        };
        let chosen = self
            .discovery
            .choose(&former, excluded, max_backoff, now, &mut self.rng);
        if let Some(address) = chosen {
            self.push_action(MembershipAction::Dial { address });
        }
    }

    /// Returns a period with a random jitter of up to a tenth in either direction.
    fn jittered(&mut self, period: Span) -> Span {
        Span((period.0 as f64 * self.rng.random_range(0.9..1.1)) as u64)
    }
}
