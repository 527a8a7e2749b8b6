//! Builds the content of the screens from the view and the entry VMs' statuses.

use std::collections::BTreeMap;

use oleander_base::prelude::*;
use oleander_decide::{BackendSummary, PoolSummary};
use oleander_operator::{
    BackendLine, BackendStage, CentreLine, ChangeLine, ClassLine, CustomerLine, EntryLine,
    PoolLine, StopLine, TrafficCount,
};
use oleander_peer::MemberView;
use oleander_records::StopTarget;

use crate::status::{InstanceStatus, ReceivedStatus};
use crate::view::FleetView;

/// Number of state changes on a screen.
const SCREEN_CHANGES: usize = 40;

/// Builds a screen from the view and the statuses.
pub(crate) struct ScreenBuilder<'a> {
    pub(crate) now: MonoTime,
    pub(crate) view: &'a FleetView,
    pub(crate) seen: &'a [ReceivedStatus],
}

impl ScreenBuilder<'_> {
    fn age_ms(&self, seen: &ReceivedStatus) -> u64 {
        self.now.since(seen.received).0 / 1_000
    }

    pub(crate) fn customers(&self) -> Vec<CustomerLine> {
        let mut counts: BTreeMap<CustomerId, TrafficCount> = BTreeMap::new();
        for line in self.seen.iter().flat_map(|seen| &seen.status.lines) {
            counts
                .entry(line.key.customer)
                .or_default()
                .add(&line.count);
        }
        let records = self.view.records.customers.iter();
        records
            .map(|(customer, record)| CustomerLine {
                name: record.name.clone(),
                share: record.share,
                count: counts.get(customer).copied().unwrap_or_default(),
            })
            .collect()
    }

    pub(crate) fn classes(&self) -> Vec<ClassLine> {
        let mut counts: BTreeMap<ClassId, TrafficCount> = BTreeMap::new();
        for line in self.seen.iter().flat_map(|seen| &seen.status.lines) {
            counts.entry(line.key.class).or_default().add(&line.count);
        }
        let mut queues: BTreeMap<ClassId, (u32, u32)> = BTreeMap::new();
        for class in self.pool_summaries().flat_map(|(_, pool)| &pool.classes) {
            let queue = queues.entry(class.class).or_default();
            queue.0 += class.queued;
            queue.1 += class.running;
        }
        let records = self.view.records.classes.iter();
        let mut lines: Vec<ClassLine> = records
            .map(|(class, record)| {
                let (queued, running) = queues.get(class).copied().unwrap_or_default();
                ClassLine {
                    name: record.name.clone(),
                    tier: record.tier.0,
                    first_token_target_ms: record.first_token_target_ms,
                    queued,
                    running,
                    count: counts.get(class).copied().unwrap_or_default(),
                }
            })
            .collect();
        lines.sort_by(|a, b| (a.tier, &a.name).cmp(&(b.tier, &b.name)));
        lines
    }

    fn pool_summaries(&self) -> impl Iterator<Item = (&ReceivedStatus, &PoolSummary)> {
        self.seen
            .iter()
            .flat_map(|seen| seen.status.pools.iter().map(move |pool| (seen, pool)))
    }

    pub(crate) fn pools(&self) -> Vec<PoolLine> {
        let mut lines: Vec<PoolLine> = self
            .pool_summaries()
            .map(|(seen, pool)| PoolLine {
                name: self.pool_name(pool.pool),
                dispatcher: seen.status.name.clone(),
                slots_used: pool.slots_used,
                slots_total: pool.slots_total,
                queued: pool.queued(),
                saturated: pool.saturated,
                age_ms: self.age_ms(seen),
            })
            .collect();
        lines.sort_by(|a, b| a.name.cmp(&b.name));
        lines
    }

    fn pool_name(&self, pool: PoolId) -> String {
        let record = self
            .view
            .pool(pool)
            .and_then(|route| self.view.backend(*route.backends.first()?));
        match record {
            Some(record) => {
                let served = record
                    .serves
                    .iter()
                    .find(|name| ModelId::from_name(name) == pool.model);
                format!("{}/{}", record.centre, served.map_or("", String::as_str))
            }
            None => pool.to_string(),
        }
    }

    pub(crate) fn backends(&self) -> Vec<BackendLine> {
        let mut held: BTreeMap<BackendId, u32> = BTreeMap::new();
        for used in self
            .seen
            .iter()
            .flat_map(|seen| &seen.status.held_by_backend)
        {
            *held.entry(used.backend).or_default() += used.held;
        }
        let mut known: BTreeMap<BackendId, (&ReceivedStatus, &BackendSummary)> = BTreeMap::new();
        for seen in self.seen {
            known.extend(
                seen.status
                    .backends
                    .iter()
                    .map(|backend| (backend.backend, (seen, backend))),
            );
        }
        let mut lines: Vec<BackendLine> = self
            .view
            .records
            .backends
            .iter()
            .map(|(id, record)| {
                let summary = known.get(id).copied();
                let (stage, reason) =
                    backend_stage(self.view, *id, summary.map(|(_, backend)| backend));
                BackendLine {
                    name: record.name.clone(),
                    centre: record.centre.clone(),
                    stage,
                    reason,
                    running: held.get(id).copied().unwrap_or(0),
                    limit: summary.map_or(record.slots, |(_, backend)| backend.limit),
                    speed: summary.map_or(record.speed, |(_, backend)| backend.speed),
                    age_ms: summary.map(|(seen, _)| self.age_ms(seen)),
                }
            })
            .collect();
        lines.sort_by(|a, b| (&a.centre, &a.name).cmp(&(&b.centre, &b.name)));
        lines
    }

    pub(crate) fn entries(&self, members: &MemberView) -> Vec<EntryLine> {
        let status = |instance: InstanceId| {
            self.seen
                .iter()
                .find(|seen| seen.status.instance == instance)
        };
        let mut lines: Vec<EntryLine> = members
            .members
            .values()
            .map(|member| {
                let seen = status(member.instance);
                let of = |get: fn(&InstanceStatus) -> u64| seen.map_or(0, |seen| get(&seen.status));
                EntryLine {
                    name: seen.map_or_else(
                        || member.instance.address.to_string(),
                        |seen| seen.status.name.clone(),
                    ),
                    instance: member.instance.to_string(),
                    centre: seen.map_or_else(
                        || self.centre_name(member.centre),
                        |seen| seen.status.centre.clone(),
                    ),
                    stage: member.state.to_string(),
                    revision: of(|status| status.revision.0).max(member.revision.0),
                    pending: of(|status| u64::from(status.pending)),
                    held: of(|status| u64::from(status.held)),
                    age_ms: seen.map(|seen| self.age_ms(seen)),
                }
            })
            .collect();
        lines.sort_by(|a, b| (&a.centre, &a.name).cmp(&(&b.centre, &b.name)));
        lines
    }

    fn centre_name(&self, centre: CentreId) -> String {
        let records = self.view.records.backends.values();
        let statuses = self.seen.iter().map(|seen| &seen.status.centre);
        let mut names = records.map(|record| &record.centre).chain(statuses);
        names
            .find(|name| CentreId::from_name(name) == centre)
            .map_or_else(|| centre.to_string(), String::clone)
    }

    pub(crate) fn centres(&self, members: &MemberView) -> Vec<CentreLine> {
        let mut lines: Vec<CentreLine> = members
            .centres
            .iter()
            .map(|(centre, seen)| CentreLine {
                name: self.centre_name(*centre),
                seen: seen.visible,
                unseen_ms: if seen.visible {
                    0
                } else {
                    self.now.since(seen.since).0 / 1_000
                },
                entries: seen.live,
            })
            .collect();
        lines.sort_by(|a, b| a.name.cmp(&b.name));
        lines
    }

    pub(crate) fn stops(&self) -> Vec<StopLine> {
        let mut held: BTreeMap<BackendId, u32> = BTreeMap::new();
        for used in self
            .seen
            .iter()
            .flat_map(|seen| &seen.status.held_by_backend)
        {
            *held.entry(used.backend).or_default() += used.held;
        }
        let left = |target: &StopTarget| match target {
            StopTarget::Backend(name) => {
                held.get(&BackendId::from_name(name)).copied().unwrap_or(0)
            }
            StopTarget::Entry(address) => {
                let mut seen = self.seen.iter();
                seen.find(|seen| seen.status.instance.address == *address)
                    .map_or(0, |seen| seen.status.held)
            }
            StopTarget::Centre(name) => self.held_in_centre(name, &held),
        };
        let records = self.view.records.stops.values();
        records
            .map(|record| StopLine {
                name: record.name.clone(),
                target: stop_text(&record.target),
                reason: record.reason.clone(),
                streams_left: left(&record.target),
            })
            .collect()
    }

    fn held_in_centre(&self, name: &str, held: &BTreeMap<BackendId, u32>) -> u32 {
        let inside = self
            .view
            .records
            .backends
            .iter()
            .filter(|(_, record)| record.centre == name);
        inside.filter_map(|(backend, _)| held.get(backend)).sum()
    }

    pub(crate) fn changes(&self) -> Vec<ChangeLine> {
        let mut lines: Vec<ChangeLine> = self
            .seen
            .iter()
            .flat_map(|seen| seen.status.changes.iter().map(move |change| (seen, change)))
            .map(|(seen, change)| ChangeLine {
                at_unix_ms: change.at_unix_ms,
                seen_by: seen.status.name.clone(),
                what: change.what.clone(),
                reason: change.reason.clone(),
            })
            .collect();
        lines.sort_by_key(|line| std::cmp::Reverse(line.at_unix_ms));
        lines.truncate(SCREEN_CHANGES);
        self.name_pools(&mut lines);
        lines
    }

    /// Replaces the ids of pools by their names.
    fn name_pools(&self, lines: &mut [ChangeLine]) {
        let pools: BTreeMap<PoolId, String> = self
            .pool_summaries()
            .map(|(_, pool)| (pool.pool, self.pool_name(pool.pool)))
            .collect();
        for (pool, name) in pools {
            let reference = pool.to_string();
            for line in lines
                .iter_mut()
                .filter(|line| line.what.contains(&reference))
            {
                line.what = line.what.replace(&reference, &name);
            }
        }
    }
}

fn backend_stage(
    view: &FleetView,
    id: BackendId,
    summary: Option<&BackendSummary>,
) -> (BackendStage, String) {
    if view.leaving.contains(&id) {
        return (
            BackendStage::Leaving,
            "a planned stop, the VM list or the server says so".to_owned(),
        );
    }
    match summary {
        None => (
            BackendStage::Joining,
            "no dispatcher reports on it yet".to_owned(),
        ),
        Some(summary) if summary.leaving => {
            (BackendStage::Leaving, "its load report says so".to_owned())
        }
        Some(summary) if summary.ejected => (
            BackendStage::Ejected,
            "it failed; a trickle of work probes it".to_owned(),
        ),
        Some(_) => (BackendStage::Serving, String::new()),
    }
}

fn stop_text(target: &StopTarget) -> String {
    match target {
        StopTarget::Backend(name) => format!("backend server {name}"),
        StopTarget::Entry(address) => format!("entry VM {address}"),
        StopTarget::Centre(name) => format!("data centre {name}"),
    }
}
