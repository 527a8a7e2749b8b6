//! Polls load reports and cache events of the model engines whose pools are dispatched here.
//!
//! An engine is polled only by its pool's dispatcher and by the holder of the order lease, so that
//! the number of polls does not grow with the number of entry VMs.

use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use oleander_base::prelude::*;
use oleander_decide::PoolKind;
use oleander_engine::{
    ClientSettings, EngineClient, EngineUpdate, PollTarget, PollerSettings, ReportPoller,
};

use oleander_records::RecordSet;

use crate::node::EntryNode;

/// Interval at which the set of engines to poll is computed again.
const TARGET_PERIOD: Duration = Duration::from_millis(500);

/// Spawns the thread that polls engines.
pub(crate) fn spawn_report_watch(node: Arc<EntryNode>) -> io::Result<()> {
    std::thread::Builder::new()
        .name("reports".to_owned())
        .spawn(move || {
            let system = ntex::rt::System::new("reports", ntex::rt::DefaultRuntime);
            system.block_on(poll_reports(node));
        })?;
    Ok(())
}

async fn poll_reports(node: Arc<EntryNode>) {
    let client = match EngineClient::open(ClientSettings::default()).await {
        Ok(client) => client,
        Err(error) => {
            log::error!("cannot open the client that polls load reports: {error}");
            return;
        }
    };
    let interval = Duration::from_millis(node.settings.dispatch.report_interval_ms);
    let settings = PollerSettings {
        interval,
        ..PollerSettings::default()
    };
    let receiver = Arc::downgrade(&node);
    let poller = ReportPoller::open(client, settings, move |backend, update| {
        if let Some(node) = receiver.upgrade() {
            on_engine_event(&node, backend, &update);
        }
    });
    let watched = Arc::downgrade(&node);
    drop(node);
    while let Some(node) = watched.upgrade() {
        poller.set_targets(&targets(&node));
        drop(node);
        tokio::time::sleep(TARGET_PERIOD).await;
    }
}

/// Returns the engines of the pools that are dispatched here, and those that get orders from here.
fn targets(node: &EntryNode) -> Vec<PollTarget> {
    let view = node.view();
    let is_dispatched_here = |pool: PoolId| node.dispatchers.contains(pool);
    let pools = view
        .pools()
        .filter(|route| route.kind == PoolKind::Engines && is_dispatched_here(route.pool));
    let mut backends: BTreeSet<BackendId> = pools
        .flat_map(|route| route.backends.iter().copied())
        .collect();
    if node.orders().is_some_and(|orders| orders.is_holder()) {
        backends.extend(ordered_backends(
            &view.records,
            &node.settings.instance.centre,
        ));
    }
    let target = |backend: &BackendId| {
        Some(PollTarget {
            backend: *backend,
            address: view.address(*backend)?,
        })
    };
    backends.iter().filter_map(target).collect()
}

/// Returns the engines of a data centre whose records state what they should hold in memory.
fn ordered_backends<'a>(
    records: &'a RecordSet,
    centre: &'a str,
) -> impl Iterator<Item = BackendId> + 'a {
    let ordered = records
        .backends
        .iter()
        .filter(move |(_, record)| record.centre == centre && record.wanted.is_some());
    ordered.map(|(backend, _)| *backend)
}

fn on_engine_event(node: &EntryNode, backend: BackendId, update: &EngineUpdate) {
    match update {
        EngineUpdate::Report(report) => node.on_load_report(backend, report),
        EngineUpdate::Cache(cache) => {
            for event in &cache.events {
                node.on_cache_event(backend, *event);
            }
        }
        // A failed poll needs no handling: reports expire by age, and failed requests say more
        // about an engine than failed polls.
        EngineUpdate::Failed(_) => {}
    }
}
